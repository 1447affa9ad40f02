#include "matrix.h"

#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "decide/change.h"
#include "decide/freshness.h"
#include "decide/keyring.h"
#include "decide/spread.h"
#include "kernel/store.h"
}

// VMs in three failure domains that watch a platform of teams, ask each other
// for what they lack, and answer callers by the keys they know.
namespace
{
constexpr uint32_t kSeeds = 3;
constexpr int kVms = 6;
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kRound = 200 * kMs; // between a VM's questions
constexpr usec_t kFresh = 3000 * kMs;
constexpr int kRounds = 120;
constexpr int kDown = 30;  // round in which the platform goes down
constexpr int kHeal = 75;  // round in which the faults end
constexpr int kReach = 40; // rounds in which all must know all
const char *const kTeam = "quotes";
const char *const kTeams[8] = { "quotes", "b", "c", "d", "e", "f", "g", "h" };

struct Object {
	uint64_t version;
	uint64_t revision;
	std::string body;
};

struct Vm {
	std::string name;
	std::string domain;
	struct store *store = nullptr;
	struct spread *spread = nullptr;
	struct keyring *keys = nullptr;
	struct freshness fresh;
	struct spread_cursor cursor[kVms];
	std::map<std::string, uint64_t> seen; // newest version in force
	bool reverted = false;
	usec_t paused_until = 0;
	int life = 0;

	void start();
	void stop();
	bool offer(const std::string &object, const Object &o)
	{
		struct error e;
		if (!store_offer(store, object.c_str(), o.version,
				 o.body.c_str(), &e) &&
		    e.code != ERR_NONE)
			return false;
		return spread_seen(spread, object.c_str(), o.version,
				   o.revision);
	}
};

int check(void *, const char *name, uint64_t, const char *body, struct error *e)
{
	return config_check(name, body, e);
}

void add_key(void *ctx, const char *team, const char *id,
	     const uint8_t hash[32], bool withdrawn)
{
	struct keyring_key k = {};
	memcpy(k.hash, hash, sizeof(k.hash));
	snprintf(k.team, sizeof(k.team), "%s", team);
	snprintf(k.key_id, sizeof(k.key_id), "%s", id);
	k.withdrawn = withdrawn;
	static_cast<std::vector<struct keyring_key> *>(ctx)->push_back(k);
}

void apply(void *ctx, const char *name, uint64_t version, const char *body)
{
	Vm *v = static_cast<Vm *>(ctx);
	std::vector<struct keyring_key> keys;
	struct error e;
	v->reverted = v->reverted || version <= v->seen[name];
	v->seen[name] = version;
	config_teams_each(
		body, [](void *, const struct team_config *) {}, add_key, &keys,
		&e);
	keyring_replace(v->keys, (uint32_t)strtoul(name + 6, nullptr, 16),
			keys.data(), keys.size());
}

void Vm::start()
{
	stop();
	life++;
	store = store_create();
	spread = spread_create();
	keys = keyring_create();
	seen.clear();
	freshness_init(&fresh, domain.c_str());
	for (const char *d : { "a", "b", "c" })
		freshness_domain(&fresh, d);
	memset(cursor, 0, sizeof(cursor));
	store_subscribe(store, "teams/", check, apply, this);
}

void Vm::stop()
{
	store_destroy(store);
	spread_destroy(spread);
	keyring_destroy(keys);
}

struct Answer {
	usec_t at;
	int to, from;
	int life; // of the asker
	int from_life;
	usec_t asked_at;
	std::vector<std::pair<std::string, Object>> objects;
	struct spread_cursor cursor;
	int64_t age;
};

struct ConfigWorld {
	const matrix_cell &cell;
	std::mt19937 rng;
	usec_t now = 1000 * kMs;
	int round = 0;
	std::map<std::string, Object> platform;
	uint64_t revision = 0;
	std::vector<Vm> vms;
	std::vector<Answer> bus;
	std::map<enum fault, int> struck;
	std::string broke;
	uint8_t hash[2][KEY_HASH_BYTES]; // kept, withdrawn
	usec_t withdrawn_at = INT64_MAX;
	usec_t accepted_at = INT64_MAX;
	int served = 0;
	int refused = 0;
	int applied = 0;

	explicit ConfigWorld(const matrix_cell &c)
	    : cell(c), rng(c.seed), vms(kVms)
	{
		key_hash("kept", hash[0]);
		key_hash("withdrawn", hash[1]);
		for (int i = 0; i < kVms; i++) {
			vms[i].name = "vm-" + std::to_string(i);
			vms[i].domain = std::string(1, (char)('a' + i % 3));
			vms[i].start();
		}
	}
	~ConfigWorld()
	{
		for (auto &v : vms)
			v.stop();
	}
	bool has(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool strikes(enum fault f, unsigned of = 1)
	{
		if (!has(f) || round >= kHeal || round < 5 || rng() % of)
			return false;
		struck[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (broke.empty())
			broke = why;
	}
	// The change takes effect at the platform, on the newest version.
	void write(enum change_kind kind, const char *key)
	{
		struct change c = {};
		struct error e;
		char hex[KEY_HASH_HEX_BYTES];
		std::string team = key ? kTeam : kTeams[revision % 8];
		char name[CONFIG_OBJECT_NAME_BYTES];
		config_team_object(team.c_str(), name);
		Object &o = platform[name];
		c.kind = kind;
		snprintf(c.id, sizeof(c.id), "c%llu",
			 (unsigned long long)revision);
		snprintf(c.team, sizeof(c.team), "%s", team.c_str());
		c.weight = 1 + (uint32_t)revision % 9;
		if (key) {
			const uint8_t *h = hash[key[0] == 'w'];
			for (int i = 0; i < KEY_HASH_BYTES; i++)
				snprintf(hex + 2 * i, 3, "%02x", h[i]);
			snprintf(c.key_id, sizeof(c.key_id), "%s", key);
			snprintf(c.key_hash, sizeof(c.key_hash), "%s", hex);
		}
		char *b = change_apply(&c, o.version ? o.body.c_str() : nullptr,
				       &e);
		if (!b)
			return fail("a good change was refused");
		o = { o.version + 1, ++revision, b };
		free(b);
	}
	// Only VMs 0 and 1, of two domains, watch.
	void watch(int i)
	{
		Vm &v = vms[i];
		bool lost = down() && strikes(FAULT_PLATFORM_DOWN);
		lost |= strikes(FAULT_PLATFORM_LOST, 2);
		lost |= i == 0 && strikes(FAULT_SILENT);
		usec_t asked = now;
		if (strikes(FAULT_PLATFORM_SLOW, 2))
			asked -= kRound;
		if (lost)
			return;
		bool whole = true;
		for (const auto &o : platform) {
			if (o.second.revision > spread_complete(v.spread))
				whole = v.offer(o.first, o.second) && whole;
		}
		if (!whole)
			return;
		spread_complete_to(v.spread, revision);
		freshness_platform(&v.fresh, asked);
	}
	// VM 5 is cut off from all, one way or both.
	bool cut(int i)
	{
		bool one = i == 5 && strikes(FAULT_CUT_ONE_WAY);
		bool both = i == 5 && strikes(FAULT_CUT_BOTH);
		return one || both;
	}
	bool down() const
	{
		return has(FAULT_PLATFORM_DOWN) && round >= kDown;
	}
	void ask(int i)
	{
		for (int k = 0; k < SPREAD_FANOUT; k++) {
			int p = (int)(rng() % kVms);
			// One peer of another domain, as spread_peers() does.
			if (k == 0 && vms[p].domain == vms[i].domain)
				p = (p + 1) % kVms;
			if (p != i && now >= vms[p].paused_until && !cut(i) &&
			    !cut(p))
				answer(i, p);
		}
	}
	static size_t size(void *, const char *)
	{
		return 100;
	}
	void answer(int i, int p)
	{
		struct spread_ask q;
		struct spread_object out[4];
		Answer a = {};
		spread_ask_fill(vms[i].spread, 1, &q);
		q.cursor = vms[i].cursor[p];
		size_t n = spread_answer(vms[p].spread, &q, out, 4, 300, size,
					 nullptr, &a.cursor);
		for (size_t j = 0; j < n; j++) {
			uint64_t version;
			char *b =
				store_get(vms[p].store, out[j].name, &version);
			a.objects.push_back(
				{ out[j].name,
				  { version, out[j].revision, b ? b : "" } });
			free(b);
		}
		a.at = now;
		a.to = i;
		a.from = p;
		a.life = vms[i].life;
		a.from_life = vms[p].life;
		a.asked_at = now;
		a.age = freshness_word_age(&vms[p].fresh, now);
		if (strikes(FAULT_REPLY_LOST, 2) ||
		    strikes(FAULT_DIE_BEFORE, 3) ||
		    (p == 2 && strikes(FAULT_SILENT)))
			return;
		if (strikes(FAULT_DELAYED, 3))
			a.at += kFresh / 2 + (usec_t)(rng() % kFresh);
		if (strikes(FAULT_REORDERED, 2))
			a.at += (usec_t)(rng() % (3 * kRound));
		bus.push_back(a);
		if (strikes(FAULT_DOUBLED, 2)) {
			a.at += (usec_t)(rng() % (4 * kRound));
			bus.push_back(a);
		}
	}
	void deliver()
	{
		std::vector<Answer> later;
		for (const auto &a : bus) {
			if (a.at > now || now < vms[a.to].paused_until)
				later.push_back(a);
			else
				take(a);
		}
		bus.swap(later);
	}
	// An answer that comes too late is no answer any more.
	void take(const Answer &a)
	{
		Vm &v = vms[a.to];
		if (a.life != v.life)
			return;
		for (const auto &o : a.objects) {
			if (!v.offer(o.first, o.second))
				return;
			applied++;
		}
		if (now - a.asked_at > kRound)
			return;
		// A cursor is good for the same life of the same peer only.
		if (a.from_life == vms[a.from].life)
			v.cursor[a.from] = a.cursor;
		if (a.cursor.ended)
			spread_complete_to(v.spread, a.cursor.upto);
		if (a.cursor.whole)
			freshness_peer(&v.fresh, vms[a.from].domain.c_str(),
				       a.asked_at, a.age);
	}
	void disturb()
	{
		int i = 2 + (int)(rng() % 4);
		if (strikes(FAULT_DIE_AFTER, 4)) {
			vms[i].start();
			for (auto &v : vms)
				v.cursor[i] = {};
		}
		if (strikes(FAULT_PAUSE, 8))
			vms[i].paused_until = now + kFresh + 8 * kRound;
	}
	// Would a caller's request run at this VM now?
	bool runs(Vm &v, int key)
	{
		const struct keyring_key *k = keyring_find(v.keys, hash[key]);
		return freshness_check(&v.fresh, now, kFresh, true) !=
			       FRESH_LAPSED &&
		       k && !k->withdrawn;
	}
	void callers()
	{
		for (auto &v : vms) {
			if (now < v.paused_until)
				continue;
			bool ok = runs(v, 0);
			served += ok;
			refused += !ok;
			if (runs(v, 1) && withdrawn_at != INT64_MAX &&
			    now - withdrawn_at > kFresh + kRound)
				fail("a withdrawn key still works");
			// The platform alone being down refuses nobody.
			if (!ok && round > 10 && cell.second == FAULT_NONE &&
			    (cell.fault == FAULT_PLATFORM_DOWN ||
			     cell.fault == FAULT_PLATFORM_SLOW ||
			     cell.fault == FAULT_PLATFORM_LOST))
				fail("a valid key was refused");
		}
	}
	std::string run()
	{
		write(CHANGE_PUT_TEAM, nullptr);
		while (revision < 16)
			write(CHANGE_PUT_TEAM, nullptr);
		write(CHANGE_ADD_KEY, "kept");
		write(CHANGE_ADD_KEY, "withdrawn");
		for (round = 0; round < kRounds && broke.empty(); round++) {
			now += kRound;
			deliver();
			disturb();
			if (round < kHeal && round % 10 == 6 && !down())
				write(CHANGE_PUT_TEAM, nullptr);
			if (round == 25 && !down()) {
				write(CHANGE_WITHDRAW_KEY, "withdrawn");
				withdrawn_at = now;
				struck[FAULT_KEY_WITHDRAWN]++;
			}
			for (int i = 0; i < kVms; i++) {
				if (now < vms[i].paused_until)
					continue;
				if (i < 2)
					watch(i);
				ask(i);
			}
			callers();
			judge();
		}
		if (applied == 0 || served < kVms)
			fail("the step was not reached");
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && struck[f] == 0)
				fail("the fault did not strike");
		}
		return broke;
	}
	void judge()
	{
		for (auto &v : vms) {
			if (v.reverted)
				fail("a configuration reverted");
			for (const auto &o : platform)
				judge(v, o.first, o.second);
		}
	}
	void judge(const Vm &v, const std::string &name, const Object &newest)
	{
		uint64_t version = 0;
		char *b = store_get(v.store, name.c_str(), &version);
		if (spread_complete(v.spread) >= newest.revision &&
		    version < newest.version)
			fail("complete to what it lacks");
		if (version == newest.version && b != newest.body)
			fail("another body than was written");
		if (round > kHeal + kReach && version != newest.version)
			fail("a change did not reach all");
		free(b);
	}
};

std::string run_config(const matrix_cell &c)
{
	return ConfigWorld(c).run();
}

const std::vector<enum fault> kAll = {
	FAULT_NONE,	     FAULT_DIE_BEFORE,	  FAULT_DIE_AFTER,
	FAULT_REPLY_LOST,    FAULT_DELAYED,	  FAULT_DOUBLED,
	FAULT_REORDERED,     FAULT_SILENT,	  FAULT_PAUSE,
	FAULT_CUT_ONE_WAY,   FAULT_CUT_BOTH,	  FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_SLOW, FAULT_PLATFORM_LOST,
};

std::vector<enum fault> with_key()
{
	std::vector<enum fault> f = kAll;
	f.push_back(FAULT_KEY_WITHDRAWN);
	return f;
}

struct matrix_register rows({
	{ STEP_KEY, with_key(), true, kSeeds, run_config },
	{ STEP_CONFIG_SPREAD, kAll, false, kSeeds, run_config },
	{ STEP_WATCH, kAll, false, kSeeds, run_config },
	{ STEP_GOSSIP, kAll, false, kSeeds, run_config },
	{ STEP_CONFIG_APPLY, kAll, false, kSeeds, run_config },
});
} // namespace
