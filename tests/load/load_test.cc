#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <cstring>
#include <set>
#include <string>

extern "C" {
#include "load/load.h"
#include "standin/web.h"
}

namespace
{
enum class Lie {
	kNone,
	kForget,     // a write is answered and not kept
	kDouble,     // a write is executed twice
	kOld,	     // a read answers with the value before the last
	kOtherKey,   // the answer of another request
	kOtherTeam,  // another team's key
	kRanAnyway,  // "not run" of what ran
	kTooOld,     // claims an age above the stated one
	kRefuseOnce, // no lie: refused, then served
	kUnknown,    // no lie: executed, first answered unknown
};

// A VM that answers callers as the man page says, but for one lie.
class FakeVm
{
      public:
	explicit FakeVm(Lie l) : lie(l)
	{
		struct web_options o = {};
		struct error e = {};
		o.listen = "127.0.0.1:0";
		o.threads = 1;
		o.connections = 64;
		o.handle = handle;
		o.ctx = this;
		web = web_start(&o, &e);
		EXPECT_NE(web, nullptr) << e.message;
	}
	~FakeVm()
	{
		web_stop(web);
	}
	FakeVm(const FakeVm &) = delete;
	FakeVm &operator=(const FakeVm &) = delete;

	struct web *web;
	Lie lie;
	std::mutex lock;
	std::map<std::string, long long> now, before;
	std::map<std::string, json_t *> kept;
	std::set<std::string> seen;
	int without_key = 0;

      private:
	static void handle(struct web_request *r)
	{
		auto *vm = static_cast<FakeVm *>(r->ctx);
		std::lock_guard<std::mutex> hold(vm->lock);
		vm->answer(r);
	}
	void refuse(struct web_request *r, int status, const char *outcome)
	{
		web_reply(r, status, json_pack("{s:s}", "outcome", outcome));
	}
	void answer(struct web_request *r)
	{
		const char *key = web_header(r, "Authorization");
		if (!key || strcmp(key, "Bearer red-key") != 0)
			without_key++;
		if (!strstr(r->url, "/statements")) {
			refuse(r, 404, "not_run");
			return;
		}
		const char *id = web_header(r, "Idempotency-Key");
		if (id && kept.count(id)) {
			web_reply(r, 200, json_deep_copy(kept[id]));
			return;
		}
		if (lie == Lie::kRefuseOnce && id && seen.insert(id).second) {
			refuse(r, 503, "not_run");
			return;
		}
		json_t *body = json_loadb(r->body, r->len, 0, nullptr);
		std::string text =
			json_string_value(json_object_get(body, "statement"));
		long long n = json_integer_value(
			json_array_get(json_object_get(body, "parameters"), 0));
		json_decref(body);
		size_t space = text.find(' ');
		std::string verb = text.substr(0, space);
		std::string name = text.substr(space + 1);
		name = name.substr(0, name.find(' '));
		json_t *reply = run(verb, name, n);
		if (lie == Lie::kRanAnyway && verb == "put") {
			json_decref(reply);
			refuse(r, 503, "not_run");
			return;
		}
		if (id)
			kept[id] = json_deep_copy(reply);
		if (lie == Lie::kUnknown && id) {
			json_decref(reply);
			refuse(r, 504, "unknown");
			return;
		}
		web_reply(r, 200, reply);
	}
	json_t *run(const std::string &verb, const std::string &name,
		    long long n)
	{
		json_t *rows = json_array();
		if (verb == "put" || verb == "increment")
			write(verb, name, n);
		if (verb == "list") {
			for (const auto &[k, v] : now) {
				if (k.rfind(name, 0) == 0)
					add(rows, k, v);
			}
		} else if (now.count(name)) {
			bool old = verb == "get" && lie == Lie::kOld;
			add(rows, shown(verb, name),
			    old ? before[name] : now[name]);
		}
		int age = lie == Lie::kTooOld && verb == "get" ? 60000 : 0;
		return json_pack("{s:s,s:o,s:s,s:i}", "outcome", "done", "rows",
				 rows, "served_by",
				 verb == "get" ? "replica" : "primary",
				 "age_ms", age);
	}
	void write(const std::string &verb, const std::string &name,
		   long long n)
	{
		before[name] = now[name];
		if (verb == "put") {
			now[name] = n;
			return;
		}
		now[name] += n;
		writes++;
		if (lie == Lie::kDouble && writes % 5 == 0)
			now[name] += n;
		if (lie == Lie::kForget && writes % 5 == 0)
			now[name] -= n;
	}
	std::string shown(const std::string &verb, const std::string &name)
	{
		if (verb == "get" && lie == Lie::kOtherKey)
			return name + "0";
		if (verb == "get" && lie == Lie::kOtherTeam)
			return "x/blue/1";
		return name;
	}
	static void add(json_t *rows, const std::string &k, long long v)
	{
		json_array_append_new(rows,
				      json_pack("{s:s,s:I}", "key", k.c_str(),
						"value", (json_int_t)v));
	}
	int writes = 0;
};

struct load_options options(const FakeVm &vm, enum workload w)
{
	struct load_options o = {};
	o.n_targets = 1;
	snprintf(o.target[0], ADDR_MAX_BYTES, "%s", web_address(vm.web));
	o.n_teams = 1;
	snprintf(o.team[0].name, NAME_MAX_BYTES, "red");
	snprintf(o.team[0].secret, LOAD_SECRET_BYTES, "red-key");
	o.team[0].weight = 1;
	o.n_services = 1;
	snprintf(o.service[0], NAME_MAX_BYTES, "s");
	o.workload = w;
	o.rate = 2000;
	o.duration = 200 * USEC_PER_MSEC;
	o.seed = 7;
	o.surge_times = 1;
	o.max_age = 1 * USEC_PER_SEC;
	o.deadline = 2 * USEC_PER_SEC;
	o.give_up = 60 * (usec_t)USEC_PER_SEC;
	o.threads = 1;
	o.connections = 8;
	snprintf(o.run, sizeof(o.run), "r");
	o.quiet = true;
	return o;
}

TEST(Load, FindsWhatIsWrong)
{
	const struct {
		const char *name;
		Lie lie;
		enum workload workload;
		std::set<std::string> found; // the kinds of violation
	} cases[] = {
		{ "honest returns", Lie::kNone, WORKLOAD_RETURNS, {} },
		{ "refused, then served",
		  Lie::kRefuseOnce,
		  WORKLOAD_RETURNS,
		  {} },
		{ "unknown, then replayed",
		  Lie::kUnknown,
		  WORKLOAD_RETURNS,
		  {} },
		{ "forgets",
		  Lie::kForget,
		  WORKLOAD_RETURNS,
		  { "lost", "stale" } },
		{ "doubles", Lie::kDouble, WORKLOAD_RETURNS, { "doubled" } },
		{ "reads old", Lie::kOld, WORKLOAD_RETURNS, { "stale" } },
		{ "too old", Lie::kTooOld, WORKLOAD_RETURNS, { "stale" } },
		{ "another's answer",
		  Lie::kOtherKey,
		  WORKLOAD_RETURNS,
		  { "mixed" } },
		{ "another team's",
		  Lie::kOtherTeam,
		  WORKLOAD_RETURNS,
		  { "wrong_team" } },
		{ "ran anyway",
		  Lie::kRanAnyway,
		  WORKLOAD_QUOTES,
		  { "doubled" } },
	};
	for (const auto &c : cases) {
		FakeVm vm(c.lie);
		struct load_options o = options(vm, c.workload);
		struct error e = {};
		struct load_report *r = load_run(&o, &e);
		ASSERT_NE(r, nullptr) << e.message;
		EXPECT_EQ(load_report_clean(r), c.found.empty()) << c.name;
		char *text = nullptr;
		size_t len = 0;
		FILE *f = open_memstream(&text, &len);
		EXPECT_EQ(load_report_json(r, f), 0);
		fclose(f);
		json_t *j = json_loads(text, 0, nullptr);
		const char *kind;
		json_t *n;
		json_object_foreach(json_object_get(j, "violations"), kind, n)
		{
			if (c.found.count(kind) == 0) {
				EXPECT_EQ(json_integer_value(n), 0)
					<< c.name << ": " << text;
			}
		}
		if (!c.found.empty()) {
			json_t *v = json_object_get(j, "violations");
			EXPECT_GT(json_integer_value(json_object_get(
					  v, c.found.begin()->c_str())),
				  0)
				<< c.name;
		}
		EXPECT_GT(json_integer_value(json_object_get(j, "offered")),
			  100)
			<< c.name;
		EXPECT_EQ(vm.without_key, 0) << c.name;
		json_decref(j);
		free(text);
		load_report_free(r);
		for (auto &[id, kept] : vm.kept)
			json_decref(kept);
	}
}
} // namespace
