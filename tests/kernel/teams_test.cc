#include <cstdlib>
#include <cstring>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include <sodium.h>

#include "decide/keyring.h"
#include "kernel/fleet_internal.h"
#include "kernel/kernel.h"
#include "kernel/platform.h"
#include "kernel/object_store.h"
#include "kernel/teams.h"
#include "kernel/teams_internal.h"
#include "plugins/escrow_codec.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
usec_t fake_now;

usec_t fake_clock()
{
	return fake_now;
}

std::string key_hash_hex(const char *secret)
{
	uint8_t h[KEY_HASH_BYTES];
	char hex[2 * KEY_HASH_BYTES + 1];
	key_hash(secret, h);
	sodium_bin2hex(hex, sizeof(hex), h, sizeof(h));
	return hex;
}

// An in-memory platform with versioned objects. Every write it receives is a
// claim of an epoch.
struct FakePlatform {
	struct platform table = {};
	std::map<std::string, std::pair<uint64_t, std::string>> objects;
	std::string vms = "{\"vms\":[]}";
	bool down = false;
	int lose_replies = 0;
	int writes = 0;

	FakePlatform()
	{
		table.submit = submit;
		table.ctx = this;
	}
	static void submit(void *ctx, struct platform_call *c)
	{
		((FakePlatform *)ctx)->call(c);
	}
	void call(struct platform_call *c)
	{
		c->reply = nullptr;
		c->result = down ? PLATFORM_DOWN : PLATFORM_OK;
		if (!down && c->op == PLATFORM_VMS)
			c->reply = strdup(vms.c_str());
		if (!down && c->op == PLATFORM_GET)
			get(c);
		if (!down && c->op == PLATFORM_PUT)
			put(c);
		char *reply = c->reply;
		c->done(c);
		free(reply);
	}
	void get(struct platform_call *c)
	{
		auto it = objects.find(c->name);
		if (it == objects.end()) {
			c->result = PLATFORM_NOT_FOUND;
			return;
		}
		c->version = it->second.first;
		c->reply = strdup(it->second.second.c_str());
	}
	void put(struct platform_call *c)
	{
		auto &o = objects[c->name];
		if (o.first != c->version) {
			c->result = PLATFORM_CONFLICT;
			return;
		}
		o = { o.first + 1, c->body };
		writes++;
		if (lose_replies > 0) {
			lose_replies--;
			c->result = PLATFORM_LOST;
		}
	}
};

struct Sent {
	int from;
	std::string to;
	struct escrow_msg msg;
};

// Several VMs in one process with a message bus; tests can disconnect VMs.
class Fleet
{
      public:
	FakePlatform platform;
	std::vector<std::unique_ptr<struct kernel>> vms;
	std::deque<Sent> bus;
	std::map<std::string, bool> disconnected;
	uint64_t version = 0;

	Fleet(int n)
	{
		fake_now = 1000000 * kMs;
		for (int i = 0; i < n; i++)
			add(i);
		set_listed(n);
		tick(10);
	}
	~Fleet()
	{
		for (auto &k : vms) {
			teams_destroy(k->teams);
			fleet_destroy(k->fleet);
			store_destroy(k->store);
		}
	}
	struct kernel *at(int i)
	{
		return vms[i].get();
	}
	void add(int i)
	{
		auto k = std::make_unique<struct kernel>();
		snprintf(k->settings.vm, NAME_MAX_BYTES, "vm%d", i);
		snprintf(k->settings.domain, NAME_MAX_BYTES, "%c", 'a' + i % 3);
		k->settings.keys_fresh_ms = 3000;
		k->settings.escrow_wait_ms = 20;
		k->incarnation = 100 + (uint64_t)i;
		k->store = store_create();
		k->fleet = fleet_create(k.get());
		k->platform = &platform.table;
		k->teams = teams_create(k.get());
		k->teams->clock = fake_clock;
		vms.push_back(std::move(k));
		auto *ctx = new std::pair<Fleet *, int>(this, i);
		owned.emplace_back(ctx);
		teams_set_transport(at(i)->teams, send, ctx);
	}
	// Puts the first n VMs, without disconnected ones, on the platform's
	// list.
	void set_listed(int n)
	{
		std::string json;
		for (auto &k : vms) {
			fleet_lock(k->fleet);
			membership_list_begin(k->fleet->members);
			for (int i = 0; i < n; i++) {
				if (disconnected["vm" + std::to_string(i)])
					continue;
				struct member m = {};
				snprintf(m.name, NAME_MAX_BYTES, "vm%d", i);
				snprintf(m.domain, NAME_MAX_BYTES, "%c",
					 'a' + i % 3);
				m.incarnation = 100 + (uint64_t)i;
				membership_list_add(k->fleet->members, &m);
			}
			membership_list_end(k->fleet->members, fake_now);
			fleet_unlock(k->fleet);
		}
		for (int i = 0; i < n; i++) {
			std::string name = "vm" + std::to_string(i);
			if (!disconnected[name])
				json += (json.empty() ? "" : ",") +
					("{\"name\":\"" + name +
					 "\",\"incarnation\":" +
					 std::to_string(100 + i) + "}");
		}
		platform.vms = "{\"vms\":[" + json + "]}";
	}
	bool update_object(const std::string &name, const std::string &body)
	{
		bool ok = true;
		version++;
		for (auto &k : vms) {
			struct error e = {};
			ok = store_update(k->store, name.c_str(), version,
					  body.c_str(), &e) &&
			     ok;
		}
		return ok;
	}
	void team(const char *name, const std::string &state = "live")
	{
		char object[CONFIG_OBJECT_NAME_BYTES];
		config_team_object(name, object);
		ASSERT_TRUE(update_object(
			object, std::string("{\"teams\":{\"") + name +
					"\":{\"services\":[\"quotes\"],"
					"\"weight\":3,\"keys\":{\"k1\":{"
					"\"hash\":\"" +
					key_hash_hex(name) + "\",\"state\":\"" +
					state + "\"}}}}}"));
	}
	void defaults(int rate, int burst)
	{
		ASSERT_TRUE(update_object(
			"config/defaults",
			"{\"rate_per_s\":" + std::to_string(rate) +
				",\"burst\":" + std::to_string(burst) +
				",\"read_staleness_ms\":250}"));
	}
	// Advances the clock tick by tick and delivers the messages of each
	// tick.
	void tick(int steps)
	{
		for (int i = 0; i < steps; i++) {
			fake_now += TEAMS_TICK_MS * kMs;
			for (auto &k : vms) {
				if (disconnected[k->settings.vm])
					continue;
				fleet_lock(k->fleet);
				if (!platform.down)
					freshness_on_platform_contact(
						&k->fleet->fresh, fake_now);
				for (const char *d : { "a", "b", "c" })
					freshness_on_peer_report(
						&k->fleet->fresh, d, fake_now,
						platform.down ? kMs : 0);
				fleet_unlock(k->fleet);
				teams_tick(k.get(), fake_now);
			}
			deliver();
		}
	}
	void deliver()
	{
		for (int n = 0; n < 10000 && !bus.empty(); n++) {
			Sent s = bus.front();
			bus.pop_front();
			for (auto &k : vms) {
				std::string from = at(s.from)->settings.vm;
				if (s.to != k->settings.vm ||
				    disconnected[s.to] || disconnected[from])
					continue;
				teams_handle_message(k.get(), from.c_str(),
						     at(s.from)->incarnation,
						     &s.msg, fake_now);
			}
		}
	}
	// Requests a token for a team at a VM; waits and asks again on
	// TEAM_WAIT.
	enum team_admission request(int i, const char *team)
	{
		usec_t first = fake_now;
		usec_t again = 0;
		int64_t retry_ms = 0;
		for (;;) {
			enum team_admission a =
				teams_admit(at(i), team, fake_now, first,
					    &again, &retry_ms);
			if (a != TEAM_WAIT) {
				EXPECT_TRUE(a == TEAM_ADMITTED || retry_ms > 0);
				return a;
			}
			EXPECT_GT(again, fake_now);
			deliver();
			fake_now = again;
		}
	}
	uint32_t share(int i, const char *team)
	{
		struct team_shard *s = teams_shard(at(i)->teams, team);
		struct team *t = teams_find(s, team);
		return t && t->bucket ? t->bucket->escrow.share : 0;
	}
	uint64_t shares(const char *team)
	{
		uint64_t sum = 0;
		for (int i = 0; i < (int)vms.size(); i++) {
			if (!disconnected[at(i)->settings.vm])
				sum += share(i, team);
		}
		return sum;
	}

      private:
	std::vector<std::unique_ptr<std::pair<Fleet *, int>>> owned;
	static void send(void *ctx, const char *to,
			 const struct escrow_msg *msg)
	{
		auto *p = (std::pair<Fleet *, int> *)ctx;
		p->first->bus.push_back({ p->second, to, *msg });
	}
};

enum error_code check(struct kernel *k, const char *secret, const char *service)
{
	struct team_auth ref = {};
	struct error e = {};
	return teams_check_key(k, secret, service, &ref, &e) ? e.code
							     : ERR_NONE;
}

TEST(Teams, KeyDeterminesTeamAndServices)
{
	Fleet f(1);
	f.defaults(100, 10);
	f.team("ant");
	struct team_auth ref = {};
	struct error e = {};
	ASSERT_EQ(teams_check_key(f.at(0), "ant", "quotes", &ref, &e), 0);
	EXPECT_STREQ(ref.team, "ant");
	EXPECT_STREQ(ref.key_id, "k1");
	EXPECT_EQ(ref.weight, 3u);
	EXPECT_EQ(ref.read_staleness_us, 250 * kMs);
	EXPECT_EQ(check(f.at(0), "ant", "ledger"), ERR_FORBIDDEN);
	EXPECT_EQ(check(f.at(0), "bee", "quotes"), ERR_KEY_UNKNOWN);
	EXPECT_EQ(check(f.at(0), std::string(500, 'x').c_str(), "quotes"),
		  ERR_KEY_UNKNOWN);
	EXPECT_EQ(teams_recheck_key(f.at(0), "ant", "k1", &e), 0);
	EXPECT_EQ(teams_recheck_key(f.at(0), "ant", "k2", &e), -1);
}

TEST(Teams, WithdrawnKeyStaysInvalid)
{
	Fleet f(1);
	f.team("ant");
	struct error e = {};
	f.team("ant", "withdrawn");
	EXPECT_EQ(check(f.at(0), "ant", "quotes"), ERR_KEY_UNKNOWN);
	EXPECT_EQ(teams_recheck_key(f.at(0), "ant", "k1", &e), -1);
	EXPECT_EQ(e.code, ERR_KEY_UNKNOWN);
	f.team("ant");
	EXPECT_EQ(check(f.at(0), "ant", "quotes"), ERR_KEY_UNKNOWN);
	char object[CONFIG_OBJECT_NAME_BYTES];
	config_team_object("ant", object);
	EXPECT_TRUE(f.update_object(object, "{\"teams\":{}}"));
	EXPECT_EQ(check(f.at(0), "ant", "quotes"), ERR_KEY_UNKNOWN);
	EXPECT_EQ(f.request(0, "ant"), TEAM_OVER_RATE);
}

TEST(Teams, RefusesKeysOnStaleData)
{
	Fleet f(1);
	f.team("ant");
	ASSERT_EQ(check(f.at(0), "ant", "quotes"), ERR_NONE);
	fleet_lock(f.at(0)->fleet);
	freshness_add_domain(&f.at(0)->fleet->fresh, "b");
	freshness_add_domain(&f.at(0)->fleet->fresh, "c");
	fleet_unlock(f.at(0)->fleet);
	fake_now += 4000 * kMs;
	EXPECT_EQ(check(f.at(0), "ant", "quotes"), ERR_STALE_KEYS);
	EXPECT_EQ(check(f.at(0), "bee", "quotes"), ERR_STALE_KEYS);
	struct error e = {};
	EXPECT_EQ(teams_recheck_key(f.at(0), "ant", "k1", &e), -1);
	EXPECT_EQ(e.code, ERR_STALE_KEYS);
	EXPECT_EQ(e.step, STEP_KEY);
}

TEST(Teams, InvalidObjectChangesNothing)
{
	Fleet f(1);
	f.team("ant");
	char object[CONFIG_OBJECT_NAME_BYTES];
	config_team_object("ant", object);
	EXPECT_FALSE(f.update_object(object, "{\"teams\":{\"ant\":{}}}"));
	EXPECT_FALSE(f.update_object("config/defaults", "{}"));
	EXPECT_EQ(check(f.at(0), "ant", "quotes"), ERR_NONE);
}

TEST(Teams, SessionSecrets)
{
	Fleet f(1);
	uint8_t cur[32], prev[32];
	bool has;
	EXPECT_FALSE(teams_session_secret(f.at(0), cur, prev, &has));
	f.update_object("secrets/session",
			"{\"current\":\"" + std::string(64, 'a') +
				"\",\"previous\":\"" + std::string(64, 'b') +
				"\"}");
	EXPECT_TRUE(teams_session_secret(f.at(0), cur, prev, &has));
	EXPECT_TRUE(has);
	EXPECT_EQ(cur[0], 0xaa);
	EXPECT_EQ(prev[31], 0xbb);
}

TEST(Teams, OneVmCreatesTheEpochAndAllShareIt)
{
	Fleet f(3);
	f.defaults(1000, 30);
	f.team("ant");
	f.tick(100);
	EXPECT_EQ(f.platform.writes, 1) << "by the first VM by rank alone";
	EXPECT_EQ(f.shares("ant"), ESCROW_WHOLE);
	int admitted = 0;
	usec_t began = fake_now;
	for (int k = 0; k < 60; k++)
		admitted += f.request(k % 3, "ant") == TEAM_ADMITTED;
	EXPECT_LE(admitted, 30 + (fake_now - began) / kMs);
	EXPECT_GE(admitted, 30);
	EXPECT_EQ(f.shares("ant"), ESCROW_WHOLE);
}

TEST(Teams, AdmitsNothingBeforeTheFirstEpoch)
{
	Fleet f(3);
	f.platform.down = true;
	f.defaults(1000, 30);
	f.team("ant");
	f.tick(100);
	EXPECT_EQ(f.request(0, "ant"), TEAM_OVER_RATE);
	f.platform.down = false;
	f.tick(400);
	EXPECT_EQ(f.request(0, "ant"), TEAM_ADMITTED);
}

TEST(Teams, ClaimIsReadBackAfterALostReply)
{
	Fleet f(3);
	f.platform.lose_replies = 1;
	f.defaults(1000, 30);
	f.team("ant");
	f.tick(100);
	EXPECT_EQ(f.platform.writes, 1);
	EXPECT_EQ(f.shares("ant"), ESCROW_WHOLE);
}

TEST(Teams, RefusesOverRateRequestsAtOnce)
{
	Fleet f(3);
	f.defaults(1, 5);
	f.team("ant");
	f.tick(100);
	while (f.request(0, "ant") == TEAM_ADMITTED)
		;
	usec_t before = fake_now;
	EXPECT_EQ(f.request(0, "ant"), TEAM_OVER_RATE);
	EXPECT_LE(fake_now - before, 4 * kMs)
		<< "all peers replied that they have none";
}

TEST(Teams, ExceptionsAndChangedLimitsTakeEffect)
{
	Fleet f(2);
	f.defaults(1, 5);
	f.team("ant");
	f.tick(100);
	while (f.request(0, "ant") == TEAM_ADMITTED)
		;
	f.update_object(
		"config/exceptions",
		"{\"exceptions\":{\"e\":{\"team\":\"ant\",\"rate_per_s\":1000,"
		"\"burst\":100,\"reason\":\"month end\"}}}");
	f.tick(20);
	EXPECT_EQ(f.request(0, "ant"), TEAM_ADMITTED);
	EXPECT_EQ(f.request(1, "ant"), TEAM_ADMITTED);
}

TEST(Teams, ReturnedTokenAdmitsTheNextRequest)
{
	Fleet f(1);
	f.defaults(1, 1);
	f.team("ant");
	f.tick(100);
	usec_t at = fake_now;
	ASSERT_EQ(f.request(0, "ant"), TEAM_ADMITTED);
	teams_return_token(f.at(0), "ant", at);
	EXPECT_EQ(f.request(0, "ant"), TEAM_ADMITTED);
	EXPECT_EQ(f.request(0, "ant"), TEAM_OVER_RATE);
}

TEST(Teams, DrainingVmReturnsItsShare)
{
	Fleet f(3);
	f.defaults(1000, 300);
	f.team("ant");
	f.tick(100);
	for (int k = 0; k < 300; k++)
		f.request(k % 3, "ant");
	ASSERT_GT(f.share(0, "ant"), 0u);
	teams_release_shares(f.at(0));
	f.tick(100);
	EXPECT_EQ(teams_shares_held(f.at(0)), 0u);
	EXPECT_EQ(f.shares("ant"), ESCROW_WHOLE);
	EXPECT_EQ(f.request(0, "ant"), TEAM_OVER_RATE);
}

TEST(Teams, ShareOfALostVmIsRedistributed)
{
	Fleet f(3);
	f.defaults(100, 30);
	f.team("ant");
	f.tick(100);
	int holder = 0;
	while (f.share(holder, "ant") == 0)
		holder++;
	f.disconnected["vm" + std::to_string(holder)] = true;
	f.set_listed(3);
	int other = (holder + 1) % 3;
	usec_t lost_at = fake_now;
	while (f.request(other, "ant") != TEAM_ADMITTED &&
	       fake_now - lost_at < 60000 * kMs)
		f.tick(20);
	usec_t took = fake_now - lost_at;
	EXPECT_GE(took, 12000 * kMs) << "not before the VM is proven gone";
	EXPECT_LT(took, 25000 * kMs);
	EXPECT_EQ(f.shares("ant"), ESCROW_WHOLE);
	f.disconnected.clear(); // the VM was only paused
	EXPECT_EQ(f.request(holder, "ant"), TEAM_OVER_RATE);
	EXPECT_EQ(f.share(holder, "ant"), 0u);
}

TEST(EscrowCodec, RoundTripAndMalformedInput)
{
	struct escrow_msg m = {};
	m.type = ESCROW_GRANT;
	snprintf(m.bucket, sizeof(m.bucket), "ant");
	m.epoch = 7;
	m.id = UINT64_MAX;
	m.share = ESCROW_WHOLE;
	m.tokens = 1ULL << 60;
	m.demand = 9;
	msgpack_sbuffer buf;
	msgpack_sbuffer_init(&buf);
	escrow_encode(&buf, &m);
	struct escrow_msg got = {};
	ASSERT_TRUE(escrow_decode(buf.data, buf.size, &got));
	EXPECT_EQ(memcmp(&m, &got, sizeof(m)), 0);
	for (size_t n = 0; n < buf.size; n++)
		EXPECT_FALSE(escrow_decode(buf.data, n, &got)) << n;
	m.share = ESCROW_WHOLE + 1;
	msgpack_sbuffer_clear(&buf);
	escrow_encode(&buf, &m);
	EXPECT_FALSE(escrow_decode(buf.data, buf.size, &got));
	m.share = 0;
	m.type = ESCROW_TYPE_COUNT;
	msgpack_sbuffer_clear(&buf);
	escrow_encode(&buf, &m);
	EXPECT_FALSE(escrow_decode(buf.data, buf.size, &got));
	msgpack_sbuffer_destroy(&buf);
}
} // namespace
