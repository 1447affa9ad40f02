#include "matrix.h"

#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/peer.h"
#include "kernel/plugin.h"
#include "kernel/object_store.h"
#include "plugins/admin_change.h"
}

// Several operators change one object at the same time through admin_change,
// while the platform and its faults are simulated. A platform call is executed
// only when every change waits for one, so the order depends on the seed alone.
namespace
{
constexpr uint32_t kSeeds = 8;
constexpr int kOperators = 3;
constexpr int kInjectionsMax = 12; // of each fault
constexpr int kSteps = 4000;	   // far more calls than any run makes
constexpr int kLateSteps = 6;	   // by which a reply is delayed
constexpr usec_t kTimeout = 600 * (usec_t)USEC_PER_SEC;
const char *const kTeam = "quotes";

// The changes that each operator makes, in order. "invalid" ones must be
// refused.
const struct PlannedChange {
	enum change_kind kind;
	const char *key;
	const char *hash;
	bool invalid;
} kPlan[] = {
	{ CHANGE_PUT_TEAM, "", nullptr, false },
	{ CHANGE_ADD_KEY, "first", "good", false },
	{ CHANGE_ADD_KEY, "broken", "short", true },
	{ CHANGE_ADD_KEY, "second", "good", false },
	{ CHANGE_WITHDRAW_KEY, "absent", nullptr, true },
	{ CHANGE_WITHDRAW_KEY, "first", nullptr, false },
};

struct Operator {
	int index = 0;
	size_t next_change = 0;
	std::unique_ptr<struct admin_change> a;
	bool ended = false;
	// An earlier attempt of the current change got no answer.
	bool has_unanswered_try = false;
	struct platform_call *pending_call = nullptr; // not yet executed
	// Executed, but its reply is delayed until step held_until.
	struct platform_call *held_call = nullptr;
	std::string reply;
	int held_until = 0;
};

struct Version {
	std::string writer; // id of the change, "" for another writer
	std::string body;
};

struct ChangeSimulation {
	const matrix_cell &cell;
	std::mt19937 rng;
	struct kernel k = {};
	struct platform iface = {};
	std::mutex lock;
	std::condition_variable changed;
	std::vector<Operator> ops;
	// Changes of VMs that died. The loop may still hold their timers.
	std::vector<std::unique_ptr<struct admin_change>> abandoned;
	std::vector<Version> versions; // [version - 1]
	std::string newest_body;       // written by a change
	bool is_corrupt = false;       // the newest version is malformed
	std::vector<std::pair<int, std::function<void()>>> delayed_writes;
	std::map<std::string, int> write_counts;
	std::set<std::string> invalid; // ids that must never take effect
	std::map<enum fault, int> injected;
	std::string violation;
	std::string object;
	int step = 0;
	int accepted = 0;
	int refused = 0;

	explicit ChangeSimulation(const matrix_cell &c)
	    : cell(c), rng(c.seed), ops(kOperators)
	{
	}
	bool has_fault(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool inject(enum fault f, unsigned one_in)
	{
		if (!has_fault(f) || injected[f] >= kInjectionsMax ||
		    step < 3 || rng() % one_in)
			return false;
		injected[f]++;
		return true;
	}
	void fail(const std::string &why)
	{
		if (violation.empty())
			violation = why;
	}
	static struct plugin *gossip()
	{
		struct plugin *p = plugin_first();
		while (strcmp(p->name, "gossip") != 0)
			p = p->next;
		return p;
	}
	static int check(void *, const char *name, uint64_t, const char *body,
			 struct error *e)
	{
		return config_check(name, body, e);
	}
	static void apply(void *ctx, const char *name, uint64_t,
			  const char *body)
	{
		struct error e;
		if (config_check(name, body, &e))
			static_cast<ChangeSimulation *>(ctx)->fail(
				"a broken object came into force");
	}
	bool setup()
	{
		struct error e = {};
		char name[CONFIG_OBJECT_NAME_BYTES];
		snprintf(k.settings.vm, NAME_MAX_BYTES, "vm-1");
		snprintf(k.settings.domain, NAME_MAX_BYTES, "a");
		k.settings.gossip_ms = 1000;
		k.settings.keys_fresh_ms = 3000;
		k.incarnation = 1;
		k.store = store_create();
		k.fleet = fleet_create(&k);
		k.peer = peer_create();
		iface.submit = [](void *ctx, struct platform_call *c) {
			static_cast<ChangeSimulation *>(ctx)->submit(c);
		};
		iface.is_up = [](void *) { return true; };
		iface.ctx = this;
		iface.loop = loop_create("change", &e);
		k.platform = &iface;
		store_subscribe(k.store, "teams/", check, apply, this);
		config_team_object(kTeam, name);
		object = name;
		return iface.loop && loop_start(iface.loop, &e) == 0 &&
		       gossip()->start(&k, &e) == 0;
	}
	void teardown()
	{
		gossip()->stop(&k);
		loop_stop(iface.loop);
		loop_destroy(iface.loop);
		peer_destroy(k.peer);
		fleet_destroy(k.fleet);
		store_destroy(k.store);
	}
	// Queues a platform call until run_step() executes it. May be called
	// from any thread.
	void submit(struct platform_call *c)
	{
		std::lock_guard<std::mutex> g(lock);
		error_clear(&c->error);
		c->reply = nullptr;
		for (auto &o : ops) {
			if (o.a && &o.a->call == c)
				o.pending_call = c;
		}
		changed.notify_all();
	}
	std::string id_of(const Operator &o) const
	{
		return "op" + std::to_string(o.index) + "-" +
		       std::to_string(o.next_change);
	}
	// Starts or restarts the operator's current change.
	void start_change(Operator &o)
	{
		const PlannedChange &w = kPlan[o.next_change];
		std::string key = w.key + std::to_string(o.index);
		std::string id = id_of(o);
		auto *a = new struct admin_change();
		a->kernel = &k;
		a->timeout = kTimeout;
		a->change.kind = w.kind;
		snprintf(a->change.id, sizeof(a->change.id), "%s", id.c_str());
		snprintf(a->change.by, sizeof(a->change.by), "op%d", o.index);
		snprintf(a->change.team, sizeof(a->change.team), "%s", kTeam);
		if (w.key[0])
			snprintf(a->change.key_id, sizeof(a->change.key_id),
				 "%s", key.c_str());
		if (w.hash)
			snprintf(a->change.key_hash, sizeof(a->change.key_hash),
				 "%s",
				 strcmp(w.hash, "good") == 0
					 ? std::string(64, 'a').c_str()
					 : "aa");
		if (w.invalid)
			invalid.insert(id);
		a->ctx = this;
		a->done = [](struct admin_change *c) {
			static_cast<ChangeSimulation *>(c->ctx)->done(c);
		};
		{
			std::lock_guard<std::mutex> g(lock);
			if (o.a)
				abandoned.push_back(std::move(o.a));
			o.a.reset(a);
			o.ended = false;
			o.pending_call = nullptr;
			o.held_call = nullptr;
		}
		admin_change_start(a);
	}
	void done(struct admin_change *a)
	{
		std::lock_guard<std::mutex> g(lock);
		for (auto &o : ops) {
			if (o.a.get() == a)
				o.ended = true;
		}
		changed.notify_all();
	}
	// Blocks until every change waits for the platform or has ended.
	void wait_idle()
	{
		std::unique_lock<std::mutex> g(lock);
		changed.wait(g, [this] {
			for (const auto &o : ops) {
				if (o.a && !o.ended && !o.pending_call &&
				    !o.held_call)
					return false;
			}
			return true;
		});
	}
	void reply_to(Operator &o, struct platform_call *c,
		      const std::string &body)
	{
		{
			std::lock_guard<std::mutex> g(lock);
			o.reply = body;
			o.pending_call = nullptr;
			o.held_call = nullptr;
		}
		if (c->result == PLATFORM_DOWN || c->result == PLATFORM_LOST)
			error_set(&c->error, ERR_PLATFORM, STEP_CONFIG_WRITE,
				  "platform", "no answer");
		c->reply = o.reply.data();
		loop_post(
			iface.loop,
			[](void *call) {
				auto *p = static_cast<struct platform_call *>(
					call);
				p->done(p);
			},
			c);
	}
	// Executes a conditional write. Returns true if it took effect.
	bool write(const std::string &id, const std::string &body,
		   uint64_t expected)
	{
		struct error e;
		if (expected != versions.size())
			return false;
		versions.push_back({ id, body });
		if (config_check(object.c_str(), body.c_str(), &e))
			fail("a broken object was written: " +
			     std::string(e.message));
		if (!newest_body.empty() &&
		    change_took_effect(newest_body.c_str(), id.c_str()))
			fail(id + " was written on top of itself");
		write_counts[id]++;
		newest_body = body;
		is_corrupt = false;
		return true;
	}
	// Simulates another writer that stores a malformed object and restores
	// it later.
	void foreign_writer()
	{
		if (cell.step != STEP_CONFIG_CHECK || newest_body.empty())
			return;
		if (!is_corrupt && step < 200 && rng() % 8 == 0) {
			versions.push_back(
				{ "", newest_body.substr(0, newest_body.size() /
								    2) });
			is_corrupt = true;
		} else if (is_corrupt && rng() % 4 == 0) {
			versions.push_back({ "", newest_body });
			is_corrupt = false;
		}
	}
	void run_delayed_writes()
	{
		for (size_t i = 0; i < delayed_writes.size(); i++) {
			if (delayed_writes[i].first > step)
				continue;
			auto fn = delayed_writes[i].second;
			delayed_writes.erase(delayed_writes.begin() +
					     (long)i--);
			fn();
		}
	}
	void execute(Operator &o)
	{
		struct platform_call *c = o.pending_call;
		bool put = c->op == PLATFORM_PUT;
		std::string id = id_of(o);
		std::string body = put ? c->body : "";
		uint64_t expected = c->version;
		auto effect = [this, id, body, expected] {
			write(id, body, expected);
		};
		bool unreachable = inject(FAULT_PLATFORM_DOWN, 2);
		bool before = inject(FAULT_DIE_BEFORE, 3);
		bool silent = inject(FAULT_SILENT, 2) ||
			      (o.index == 0 && inject(FAULT_CUT_BOTH, 2));
		bool after = inject(FAULT_DIE_AFTER, 3);
		bool lost = inject(FAULT_REPLY_LOST, 2) ||
			    inject(FAULT_PLATFORM_LOST, 2) ||
			    (o.index == 0 && inject(FAULT_CUT_ONE_WAY, 2));
		bool delayed = !unreachable && inject(FAULT_DELAYED, 2);
		if (before) {
			o.has_unanswered_try = true;
			start_change(o);
			return;
		}
		if (unreachable || silent || (delayed && put)) {
			if (delayed && put)
				delayed_writes.push_back(
					{ step + 1 + (int)(rng() % kLateSteps),
					  effect });
			c->result = unreachable || !put ? PLATFORM_DOWN
							: PLATFORM_LOST;
			reply_to(o, c, "");
			return;
		}
		if (put) {
			bool ok = write(id, body, expected);
			c->result = ok ? PLATFORM_OK : PLATFORM_CONFLICT;
			if (inject(FAULT_DOUBLED, 2))
				delayed_writes.push_back(
					{ step + 1 + (int)(rng() % kLateSteps),
					  effect });
		} else {
			c->result = versions.empty() ? PLATFORM_NOT_FOUND
						     : PLATFORM_OK;
		}
		c->version = versions.size();
		std::string now = versions.empty() ? "" : versions.back().body;
		if (after) {
			o.has_unanswered_try = true;
			start_change(o);
			return;
		}
		if (lost) {
			c->result = put ? PLATFORM_LOST : PLATFORM_DOWN;
			reply_to(o, c, "");
			return;
		}
		if (inject(FAULT_REORDERED, 2) ||
		    inject(FAULT_PLATFORM_SLOW, 2)) {
			std::lock_guard<std::mutex> g(lock);
			o.held_call = c;
			o.pending_call = nullptr;
			o.reply = now;
			o.held_until = step + kLateSteps;
			return;
		}
		reply_to(o, c, now);
	}
	// Checks the result of a change and starts the operator's next one. A
	// change that is unknown, or refused although it is valid, is retried.
	void finish_change(Operator &o)
	{
		const struct admin_change &a = *o.a;
		std::string id = id_of(o);
		bool took_effect = write_counts[id] > 0;
		if (a.result == ADMIN_ACCEPTED || a.result == ADMIN_WRITTEN) {
			accepted++;
			if (!took_effect)
				fail(id + " was accepted without effect");
		}
		if (a.result == ADMIN_REFUSED) {
			// A refusal because the object could not be read says
			// nothing about an earlier attempt, which may have
			// taken effect without an answer.
			bool unread = o.has_unanswered_try &&
				      (a.error.code == ERR_PLATFORM ||
				       a.error.code == ERR_UNPROCESSABLE);
			refused++;
			if (took_effect && !unread)
				fail(id + " was refused, with effect");
			if (!a.error.code)
				fail(id + " was refused without a reason");
		}
		// The result may be unknown only where a malformed object hides
		// what was written.
		if (a.result == ADMIN_UNKNOWN && cell.step != STEP_CONFIG_CHECK)
			fail(id + " ended unknown though the platform answers");
		o.has_unanswered_try =
			o.has_unanswered_try || a.result == ADMIN_UNKNOWN;
		if (a.result == ADMIN_UNKNOWN ||
		    (a.result == ADMIN_REFUSED && !invalid.count(id))) {
			start_change(o);
			return;
		}
		if (a.result != ADMIN_REFUSED && invalid.count(id))
			fail(id + " is an invalid change and was not refused");
		if (kPlan[o.next_change].kind == CHANGE_WITHDRAW_KEY &&
		    !kPlan[o.next_change].invalid)
			injected[FAULT_KEY_WITHDRAWN]++;
		o.has_unanswered_try = false;
		if (++o.next_change < sizeof(kPlan) / sizeof(kPlan[0])) {
			start_change(o);
			return;
		}
		std::lock_guard<std::mutex> g(lock);
		abandoned.push_back(std::move(o.a));
	}
	bool has_work()
	{
		for (const auto &o : ops) {
			if (o.a)
				return true;
		}
		return false;
	}
	void run_step()
	{
		std::vector<Operator *> ready;
		wait_idle();
		run_delayed_writes();
		foreign_writer();
		for (auto &o : ops) {
			if (o.held_call && o.held_until <= step)
				reply_to(o, o.held_call, o.reply);
			else if (o.ended || o.pending_call)
				ready.push_back(&o);
		}
		if (ready.empty())
			return;
		Operator &o = *ready[rng() % ready.size()];
		if (o.ended) {
			o.ended = false;
			finish_change(o);
		} else if (!inject(FAULT_PAUSE, 2)) {
			execute(o);
		} else {
			// The VM pauses during its call.
			std::lock_guard<std::mutex> g(lock);
			o.held_call = o.pending_call;
			o.pending_call = nullptr;
			execute_paused(o);
		}
	}
	// Executes the call of a paused VM, which receives the reply later.
	void execute_paused(Operator &o)
	{
		struct platform_call *c = o.held_call;
		o.held_until = step + 2 * kLateSteps;
		if (c->op == PLATFORM_PUT) {
			bool ok = write(id_of(o), c->body, c->version);
			c->result = ok ? PLATFORM_OK : PLATFORM_CONFLICT;
		} else {
			c->result = versions.empty() ? PLATFORM_NOT_FOUND
						     : PLATFORM_OK;
		}
		c->version = versions.size();
		o.reply = versions.empty() ? "" : versions.back().body;
	}
	static void key(void *ctx, const char *, const char *id,
			const uint8_t[32], bool withdrawn)
	{
		(*static_cast<std::map<std::string, bool> *>(ctx))[id] =
			withdrawn;
	}
	// Checks that every accepted change is in the object, and took effect
	// once.
	void check_invariants()
	{
		std::map<std::string, bool> keys;
		struct error e;
		for (const auto &f : write_counts) {
			if (f.second > 1)
				fail(f.first + " took effect more than once");
			if (f.second && invalid.count(f.first))
				fail(f.first + " must not take effect");
		}
		config_for_each_team(
			newest_body.c_str(),
			[](void *, const struct team_config *) {}, key, &keys,
			&e);
		for (const auto &o : ops) {
			std::string suffix = std::to_string(o.index);
			if (!keys.count("first" + suffix) ||
			    !keys["first" + suffix])
				fail("a withdrawn key is live again");
			if (!keys.count("second" + suffix) ||
			    keys["second" + suffix])
				fail("an accepted key is missing");
		}
		if (keys.size() != 2 * kOperators)
			fail("there are keys that nobody added");
		if (accepted < kOperators * 4 || refused < kOperators * 2)
			fail("the step was not reached");
	}
	std::string run()
	{
		if (!setup())
			return "the simulation could not be set up";
		for (int i = 0; i < kOperators; i++) {
			ops[(size_t)i].index = i;
			start_change(ops[(size_t)i]);
		}
		for (; step < kSteps && has_work() && violation.empty(); step++)
			run_step();
		wait_idle();
		if (has_work() && violation.empty())
			fail("a change never ended");
		for (auto &l : delayed_writes)
			l.second();
		if (violation.empty())
			check_invariants();
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && injected[f] == 0)
				fail("the fault was not injected");
		}
		teardown();
		return violation;
	}
};

std::string run_change(const matrix_cell &c)
{
	return std::make_unique<ChangeSimulation>(c)->run();
}

const std::vector<enum fault> kFaults = {
	FAULT_NONE,	     FAULT_DIE_BEFORE,	  FAULT_DIE_AFTER,
	FAULT_REPLY_LOST,    FAULT_DELAYED,	  FAULT_DOUBLED,
	FAULT_REORDERED,     FAULT_SILENT,	  FAULT_PAUSE,
	FAULT_CUT_ONE_WAY,   FAULT_CUT_BOTH,	  FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_SLOW, FAULT_PLATFORM_LOST, FAULT_KEY_WITHDRAWN,
};

struct matrix_register rows({
	{ STEP_CONFIG_CHECK, kFaults, false, kSeeds, run_change },
	{ STEP_CONFIG_WRITE, kFaults, true, kSeeds, run_change },
});
} // namespace
