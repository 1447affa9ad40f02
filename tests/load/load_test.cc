#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <cstring>
#include <set>
#include <string>

extern "C" {
#include "load/load.h"
#include "standin/http_server.h"
}

namespace
{
enum class Fault {
	kNone,
	kLostWrite,   // every 5th increment is acknowledged but not applied
	kDoubleWrite, // every 5th increment is applied twice
	kStaleRead,   // a read returns the value before the last write
	kOtherKey,    // a read returns a row of another key
	kOtherTeam,   // a read returns a row of another team
	kRunsThoughNotRun, // a put runs, but the response says "not_run"
	kAgeTooHigh,	   // a read states an age above the allowed one
	kRefuseOnce,	   // legal: refused, then served
	kUnknownOnce,	   // legal: runs, but the first response says "unknown"
};

// A minimal VM that serves callers over HTTP and injects one fault.
class FakeVm
{
      public:
	explicit FakeVm(Fault f) : fault(f)
	{
		struct http_server_options o = {};
		struct error e = {};
		o.listen = "127.0.0.1:0";
		o.threads = 1;
		o.connections = 64;
		o.handle = handle;
		o.ctx = this;
		http_server = http_server_start(&o, &e);
		EXPECT_NE(http_server, nullptr) << e.message;
	}
	~FakeVm()
	{
		http_server_stop(http_server);
	}
	FakeVm(const FakeVm &) = delete;
	FakeVm &operator=(const FakeVm &) = delete;

	struct http_server *http_server;
	Fault fault;
	std::mutex lock;
	std::map<std::string, long long> values, old_values;
	std::map<std::string, json_t *> replies;
	std::set<std::string> refused_ids;
	int bad_keys = 0;

      private:
	static void handle(struct http_request *r)
	{
		auto *vm = static_cast<FakeVm *>(r->ctx);
		std::lock_guard<std::mutex> hold(vm->lock);
		vm->respond(r);
	}
	void refuse(struct http_request *r, int status, const char *outcome)
	{
		http_reply_json(r, status,
				json_pack("{s:s}", "outcome", outcome));
	}
	void respond(struct http_request *r)
	{
		const char *key = http_request_header(r, "Authorization");
		if (!key || strcmp(key, "Bearer red-key") != 0)
			bad_keys++;
		if (!strstr(r->url, "/statements")) {
			refuse(r, 404, "not_run");
			return;
		}
		const char *id = http_request_header(r, "Idempotency-Key");
		if (id && replies.count(id)) {
			http_reply_json(r, 200, json_deep_copy(replies[id]));
			return;
		}
		if (fault == Fault::kRefuseOnce && id &&
		    refused_ids.insert(id).second) {
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
		if (fault == Fault::kRunsThoughNotRun && verb == "put") {
			json_decref(reply);
			refuse(r, 503, "not_run");
			return;
		}
		if (id)
			replies[id] = json_deep_copy(reply);
		if (fault == Fault::kUnknownOnce && id) {
			json_decref(reply);
			refuse(r, 504, "unknown");
			return;
		}
		http_reply_json(r, 200, reply);
	}
	json_t *run(const std::string &verb, const std::string &name,
		    long long n)
	{
		json_t *rows = json_array();
		if (verb == "put" || verb == "increment")
			write(verb, name, n);
		if (verb == "list") {
			for (const auto &[k, v] : values) {
				if (k.rfind(name, 0) == 0)
					append_row(rows, k, v);
			}
		} else if (values.count(name)) {
			bool old = verb == "get" && fault == Fault::kStaleRead;
			append_row(rows, reply_key(verb, name),
				   old ? old_values[name] : values[name]);
		}
		int age = fault == Fault::kAgeTooHigh && verb == "get" ? 60000
								       : 0;
		return json_pack("{s:s,s:o,s:s,s:i}", "outcome", "done", "rows",
				 rows, "served_by",
				 verb == "get" ? "replica" : "primary",
				 "age_ms", age);
	}
	void write(const std::string &verb, const std::string &name,
		   long long n)
	{
		old_values[name] = values[name];
		if (verb == "put") {
			values[name] = n;
			return;
		}
		values[name] += n;
		writes++;
		if (fault == Fault::kDoubleWrite && writes % 5 == 0)
			values[name] += n;
		if (fault == Fault::kLostWrite && writes % 5 == 0)
			values[name] -= n;
	}
	std::string reply_key(const std::string &verb, const std::string &name)
	{
		if (verb == "get" && fault == Fault::kOtherKey)
			return name + "0";
		if (verb == "get" && fault == Fault::kOtherTeam)
			return "x/blue/1";
		return name;
	}
	static void append_row(json_t *rows, const std::string &k, long long v)
	{
		json_array_append_new(rows,
				      json_pack("{s:s,s:I}", "key", k.c_str(),
						"value", (json_int_t)v));
	}
	int writes = 0;
};

struct load_options make_options(const FakeVm &vm, enum workload w)
{
	struct load_options o = {};
	o.n_targets = 1;
	snprintf(o.target[0], ADDR_MAX_BYTES, "%s",
		 http_server_address(vm.http_server));
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
	o.surge_factor = 1;
	o.max_age = 1 * USEC_PER_SEC;
	o.deadline = 2 * USEC_PER_SEC;
	o.give_up = 60 * (usec_t)USEC_PER_SEC;
	o.threads = 1;
	o.connections = 8;
	snprintf(o.run, sizeof(o.run), "r");
	o.quiet = true;
	return o;
}

TEST(Load, DetectsViolations)
{
	const struct {
		const char *name;
		Fault fault;
		enum workload workload;
		// The violations allowed; the first one must occur.
		std::set<std::string> expected;
	} cases[] = {
		{ "returns without a fault",
		  Fault::kNone,
		  WORKLOAD_RETURNS,
		  {} },
		{ "refused, then served",
		  Fault::kRefuseOnce,
		  WORKLOAD_RETURNS,
		  {} },
		{ "unknown, then replayed",
		  Fault::kUnknownOnce,
		  WORKLOAD_RETURNS,
		  {} },
		{ "loses a write",
		  Fault::kLostWrite,
		  WORKLOAD_RETURNS,
		  { "lost", "stale" } },
		{ "runs a write twice",
		  Fault::kDoubleWrite,
		  WORKLOAD_RETURNS,
		  { "doubled" } },
		{ "stale reads",
		  Fault::kStaleRead,
		  WORKLOAD_RETURNS,
		  { "stale" } },
		{ "states too high an age",
		  Fault::kAgeTooHigh,
		  WORKLOAD_RETURNS,
		  { "stale" } },
		{ "answer of another key",
		  Fault::kOtherKey,
		  WORKLOAD_RETURNS,
		  { "mixed" } },
		{ "another team",
		  Fault::kOtherTeam,
		  WORKLOAD_RETURNS,
		  { "wrong_team" } },
		{ "runs though not_run",
		  Fault::kRunsThoughNotRun,
		  WORKLOAD_QUOTES,
		  { "doubled" } },
	};
	for (const auto &c : cases) {
		FakeVm vm(c.fault);
		struct load_options o = make_options(vm, c.workload);
		struct error e = {};
		struct load_report *r = load_run(&o, &e);
		ASSERT_NE(r, nullptr) << e.message;
		EXPECT_EQ(load_report_is_clean(r), c.expected.empty())
			<< c.name;
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
			if (c.expected.count(kind) == 0) {
				EXPECT_EQ(json_integer_value(n), 0)
					<< c.name << ": " << text;
			}
		}
		if (!c.expected.empty()) {
			json_t *v = json_object_get(j, "violations");
			EXPECT_GT(json_integer_value(json_object_get(
					  v, c.expected.begin()->c_str())),
				  0)
				<< c.name;
		}
		EXPECT_GT(json_integer_value(json_object_get(j, "offered")),
			  100)
			<< c.name;
		EXPECT_EQ(vm.bad_keys, 0) << c.name;
		json_decref(j);
		free(text);
		load_report_free(r);
		for (auto &[id, reply] : vm.replies)
			json_decref(reply);
	}
}
} // namespace
