#include <gtest/gtest.h>

#include <condition_variable>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>

extern "C" {
#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/peer.h"
#include "kernel/plugin.h"
#include "kernel/object_store.h"
#include "plugins/admin_change.h"
}

namespace
{
// A platform with one object. A script decides how each call goes, with
// one letter for each call:
//   .  succeeds
//   d  never reaches the platform, and the client knows it
//   a  a write takes effect, but its reply is lost
//   n  a write is lost before it reaches the platform
//   l  a write seems lost, but takes effect during the next call
//   x  another operator changes the object just before the call
//   b  another writer corrupts the object just before the call
class ScriptedPlatform
{
      public:
	struct platform iface = {};
	std::string script;
	std::string body;
	uint64_t version = 0;

	ScriptedPlatform(struct loop *loop)
	{
		iface.submit = [](void *ctx, struct platform_call *c) {
			auto *p = static_cast<ScriptedPlatform *>(ctx);
			c->own = p;
			c->reply = nullptr;
			error_clear(&c->error);
			loop_post(
				p->iface.loop,
				[](void *call) {
					auto *d = static_cast<
						struct platform_call *>(call);
					static_cast<ScriptedPlatform *>(d->own)
						->run_call(d);
				},
				c);
		};
		iface.is_up = [](void *) { return true; };
		iface.ctx = this;
		iface.loop = loop;
	}

	void reset(const std::string &s, const std::string &b, uint64_t v)
	{
		script = s;
		body = b;
		version = v;
		delayed_write = nullptr;
		n_other_changes = 0;
	}

	// Applies a delayed write, if its precondition still holds.
	void apply_delayed_write()
	{
		auto write = delayed_write;
		delayed_write = nullptr;
		if (write)
			write();
	}

      private:
	std::function<void()> delayed_write;
	int n_other_changes = 0;

	void run_call(struct platform_call *c)
	{
		char fault = '.';
		if (!script.empty()) {
			fault = script[0];
			script.erase(0, 1);
		}
		if (fault == 'x')
			change_by_other_operator();
		if (fault == 'b') {
			body = "{\"teams\":";
			version++;
		}
		if (c->op == PLATFORM_GET)
			get(c, fault);
		else
			put(c, fault);
	}

	void get(struct platform_call *c, char fault)
	{
		std::string copy = body;
		c->version = version;
		c->result = version ? PLATFORM_OK : PLATFORM_NOT_FOUND;
		if (fault == 'd')
			c->result = PLATFORM_DOWN;
		apply_delayed_write();
		c->reply = copy.data();
		c->done(c);
	}

	void put(struct platform_call *c, char fault)
	{
		std::string b = c->body;
		uint64_t on = c->version;
		auto write = [this, b, on] {
			if (version != on)
				return false;
			body = b;
			version++;
			return true;
		};
		apply_delayed_write();
		if (fault == 'd') {
			c->result = PLATFORM_DOWN;
		} else if (fault == 'a' || fault == 'n' || fault == 'l') {
			if (fault == 'a')
				write();
			if (fault == 'l')
				delayed_write = [write] { write(); };
			c->result = PLATFORM_LOST;
		} else if (write()) {
			c->result = PLATFORM_OK;
			c->version = version;
		} else {
			c->result = PLATFORM_CONFLICT;
			c->version = version;
		}
		c->done(c);
	}

	void change_by_other_operator()
	{
		struct change c = {};
		struct error e;
		c.kind = CHANGE_PUT_TEAM;
		snprintf(c.id, sizeof(c.id), "other-%d", n_other_changes++);
		snprintf(c.team, sizeof(c.team), "quotes");
		char *b =
			change_apply(&c, version ? body.c_str() : nullptr, &e);
		body = b;
		free(b);
		version++;
	}
};

struct AdminChange : testing::Test {
	static struct kernel k;
	static ScriptedPlatform *platform;
	std::mutex lock;
	std::condition_variable changed;
	bool ended = false;
	struct admin_change a = {};

	static struct plugin *gossip()
	{
		struct plugin *p = plugin_first();
		while (strcmp(p->name, "gossip") != 0)
			p = p->next;
		return p;
	}

	static void SetUpTestSuite()
	{
		struct error e = {};
		k = {};
		snprintf(k.settings.vm, NAME_MAX_BYTES, "vm-1");
		snprintf(k.settings.domain, NAME_MAX_BYTES, "a");
		k.settings.gossip_ms = 1000;
		k.settings.keys_fresh_ms = 3000;
		k.incarnation = 1;
		k.store = store_create();
		k.fleet = fleet_create(&k);
		k.peer = peer_create();
		struct loop *loop = loop_create("test", &e);
		ASSERT_NE(loop, nullptr) << e.message;
		ASSERT_EQ(loop_start(loop, &e), 0);
		platform = new ScriptedPlatform(loop);
		k.platform = &platform->iface;
		ASSERT_EQ(gossip()->start(&k, &e), 0) << e.message;
	}

	static void TearDownTestSuite()
	{
		gossip()->stop(&k);
		loop_stop(platform->iface.loop);
		loop_destroy(platform->iface.loop);
		delete platform;
		peer_destroy(k.peer);
		fleet_destroy(k.fleet);
		store_destroy(k.store);
	}

	void put_team(const char *id)
	{
		a = {};
		a.kernel = &k;
		a.timeout = 60 * (usec_t)USEC_PER_SEC;
		a.change.kind = CHANGE_PUT_TEAM;
		snprintf(a.change.id, sizeof(a.change.id), "%s", id);
		snprintf(a.change.team, sizeof(a.change.team), "quotes");
		snprintf(a.change.by, sizeof(a.change.by), "op");
		a.ctx = this;
		a.done = [](struct admin_change *c) {
			auto *t = static_cast<AdminChange *>(c->ctx);
			std::lock_guard<std::mutex> g(t->lock);
			t->ended = true;
			t->changed.notify_all();
		};
	}

	void run_change()
	{
		ended = false;
		admin_change_start(&a);
		std::unique_lock<std::mutex> g(lock);
		changed.wait(g, [this] { return ended; });
	}

	// Counts how often the change is in the object, after delayed writes.
	int count_effects()
	{
		int n = 0;
		platform->apply_delayed_write();
		std::string id = "\"" + std::string(a.change.id) + "\"";
		for (size_t at = platform->body.find(id);
		     at != std::string::npos;
		     at = platform->body.find(id, at + 1))
			n++;
		return n;
	}
};
struct kernel AdminChange::k;
ScriptedPlatform *AdminChange::platform;

TEST_F(AdminChange, OutcomeIsCorrectAfterLostCalls)
{
	const struct {
		const char *name;
		const char *script; // read, write, ...
		enum admin_result result;
		enum error_code code;
		int effects;
	} cases[] = {
		{ "nothing lost", "..", ADMIN_ACCEPTED, ERR_NONE, 1 },
		{ "read fails twice", "dd..", ADMIN_ACCEPTED, ERR_NONE, 1 },
		{ "platform down", "ddd", ADMIN_REFUSED, ERR_NONE, 0 },
		{ "write not sent", ".d", ADMIN_REFUSED, ERR_NONE, 0 },
		{ "reply lost after the write", ".a", ADMIN_ACCEPTED, ERR_NONE,
		  1 },
		{ "reply lost, then reads fail", ".adddd", ADMIN_ACCEPTED,
		  ERR_NONE, 1 },
		{ "write lost", ".n", ADMIN_ACCEPTED, ERR_NONE, 1 },
		{ "write late", ".l", ADMIN_ACCEPTED, ERR_NONE, 1 },
		{ "write late, twice", ".l.l", ADMIN_ACCEPTED, ERR_NONE, 1 },
		{ "reply lost, then another's change", ".ax", ADMIN_ACCEPTED,
		  ERR_NONE, 1 },
		{ "write lost, then another's change", ".nx", ADMIN_ACCEPTED,
		  ERR_NONE, 1 },
		{ "write late, then another's change", ".lx", ADMIN_ACCEPTED,
		  ERR_NONE, 1 },
		{ "in effect, then the object is broken", ".ab", ADMIN_UNKNOWN,
		  ERR_UNKNOWN, 0 },
		{ "another's change first", ".x", ADMIN_ACCEPTED, ERR_NONE, 1 },
	};
	for (const auto &c : cases) {
		platform->reset(c.script, "", 0);
		put_team(c.name);
		snprintf(a.change.id, sizeof(a.change.id), "change-1");
		run_change();
		EXPECT_EQ(a.result, c.result)
			<< c.name << ": " << a.error.message;
		EXPECT_EQ(count_effects(), c.effects) << c.name;
	}
}

TEST_F(AdminChange, HonoursThePrecondition)
{
	const std::string object = "{\"teams\":{\"quotes\":{\"services\":[],"
				   "\"weight\":1,\"keys\":{}}},\"changes\":[]}";
	const struct {
		const char *name;
		const char *script;
		uint64_t expected;
		bool absent;
		enum admin_result result;
		uint64_t version; // told to the operator
		int effects;
	} cases[] = {
		{ "current", "..", 7, false, ADMIN_ACCEPTED, 8, 1 },
		{ "older", "..", 6, false, ADMIN_REFUSED, 7, 0 },
		{ "changed between", ".x", 7, false, ADMIN_REFUSED, 8, 0 },
		{ "lost, then changed", ".nx", 7, false, ADMIN_REFUSED, 8, 0 },
		{ "in effect, then changed", ".ax", 7, false, ADMIN_ACCEPTED, 9,
		  1 },
		{ "must be absent", "..", 0, true, ADMIN_REFUSED, 7, 0 },
	};
	for (const auto &c : cases) {
		platform->reset(c.script, object, 7);
		put_team("change-2");
		a.condition.has_version = !c.absent;
		a.condition.version = c.expected;
		a.condition.absent = c.absent;
		run_change();
		EXPECT_EQ(a.result, c.result) << c.name;
		EXPECT_EQ(a.version, c.version) << c.name;
		EXPECT_EQ(a.error.code == ERR_CONFLICT,
			  c.result == ADMIN_REFUSED)
			<< c.name;
		EXPECT_EQ(count_effects(), c.effects) << c.name;
	}
}

TEST_F(AdminChange, SameChangeIdTakesEffectOnce)
{
	platform->reset("", "", 0);
	put_team("change-3");
	run_change();
	EXPECT_FALSE(a.already_applied);
	put_team("change-3");
	run_change();
	EXPECT_EQ(a.result, ADMIN_ACCEPTED);
	EXPECT_TRUE(a.already_applied);
	EXPECT_EQ(platform->version, 1u);
}

TEST_F(AdminChange, LostReplyBeyondChangeHistoryIsUnknown)
{
	platform->reset("", "", 0);
	put_team("change-4");
	run_change();
	ASSERT_EQ(a.result, ADMIN_ACCEPTED);
	platform->reset(".n", platform->body, 1);
	put_team("change-5");
	a.reply_lost = true;
	a.base_version = 1;
	platform->version = 1 + CHANGES_KEPT + 1;
	run_change();
	EXPECT_EQ(a.result, ADMIN_UNKNOWN);
	EXPECT_EQ(a.error.code, ERR_UNKNOWN);
}

TEST_F(AdminChange, OutcomeIsCorrectAfterRandomLosses)
{
	std::mt19937 rng(42);
	int counts[4] = {};
	for (int i = 0; i < 3000; i++) {
		std::string script;
		for (int n = 0; n < 8; n++)
			script += ".dandlx"[rng() % 7];
		platform->reset(script, "", 0);
		put_team("change-6");
		a.condition.has_version = rng() % 2;
		run_change();
		int n = count_effects();
		EXPECT_LE(n, 1) << script;
		if (a.result != ADMIN_UNKNOWN) {
			EXPECT_EQ(n, a.result == ADMIN_ACCEPTED) << script;
		}
		counts[a.result]++;
	}
	EXPECT_GT(counts[ADMIN_ACCEPTED], 0);
	EXPECT_GT(counts[ADMIN_REFUSED], 0);
}
} // namespace
