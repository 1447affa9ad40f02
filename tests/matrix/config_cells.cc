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
#include "decide/anti_entropy.h"
#include "kernel/object_store.h"
}

// VMs in three failure domains. Some watch the team objects of the platform,
// all fetch newer objects from each other, and each accepts or refuses callers
// by the keys it knows.
namespace
{
constexpr uint32_t kSeeds = 3;
constexpr int kVms = 6;
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kRoundTime = 200 * kMs; // between polls of peers
constexpr usec_t kKeysFresh = 3000 * kMs;
constexpr int kRounds = 120;
constexpr int kOutageRound = 30;    // the platform goes down
constexpr int kHealRound = 75;	    // the faults end
constexpr int kConvergeRounds = 40; // limit for all VMs to have every change
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
	struct anti_entropy *spread = nullptr;
	struct keyring *keys = nullptr;
	struct freshness freshness_state;
	struct anti_entropy_cursor cursor[kVms];
	std::map<std::string, uint64_t> versions; // newest version in force
	bool has_reverted = false;
	usec_t paused_until = 0;
	int incarnation = 0;

	void start();
	void stop();
	bool offer(const std::string &object, const Object &o)
	{
		struct error e;
		if (!store_update(store, object.c_str(), o.version,
				  o.body.c_str(), &e) &&
		    e.code != ERR_NONE)
			return false;
		return anti_entropy_record(spread, object.c_str(), o.version,
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
	v->has_reverted = v->has_reverted || version <= v->versions[name];
	v->versions[name] = version;
	config_for_each_team(
		body, [](void *, const struct team_config *) {}, add_key, &keys,
		&e);
	keyring_replace(v->keys, (uint32_t)strtoul(name + 6, nullptr, 16),
			keys.data(), keys.size());
}

void Vm::start()
{
	stop();
	incarnation++;
	store = store_create();
	spread = anti_entropy_create();
	keys = keyring_create();
	versions.clear();
	freshness_init(&freshness_state, domain.c_str());
	for (const char *d : { "a", "b", "c" })
		freshness_add_domain(&freshness_state, d);
	memset(cursor, 0, sizeof(cursor));
	store_subscribe(store, "teams/", check, apply, this);
}

void Vm::stop()
{
	store_destroy(store);
	anti_entropy_destroy(spread);
	keyring_destroy(keys);
}

struct PeerReply {
	usec_t at;
	int to, from;
	int incarnation; // of the requester
	int from_incarnation;
	usec_t requested_at;
	std::vector<std::pair<std::string, Object>> objects;
	struct anti_entropy_cursor cursor;
	int64_t age;
};

struct ConfigSimulation {
	const matrix_cell &cell;
	std::mt19937 rng;
	usec_t now = 1000 * kMs;
	int round = 0;
	std::map<std::string, Object> platform;
	uint64_t revision = 0;
	std::vector<Vm> vms;
	std::vector<PeerReply> network;
	std::map<enum fault, int> injected;
	std::string violation;
	uint8_t hash[2][KEY_HASH_BYTES]; // of the valid and the withdrawn key
	usec_t withdrawn_at = INT64_MAX;
	usec_t accepted_at = INT64_MAX;
	int served = 0;
	int refused = 0;
	int objects_received = 0; // in replies; stored or already known

	explicit ConfigSimulation(const matrix_cell &c)
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
	~ConfigSimulation()
	{
		for (auto &v : vms)
			v.stop();
	}
	bool has_fault(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool inject(enum fault f, unsigned one_in = 1)
	{
		if (!has_fault(f) || round >= kHealRound || round < 5 ||
		    rng() % one_in)
			return false;
		injected[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (violation.empty())
			violation = why;
	}
	// Applies a change to the newest version of an object at the platform.
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
			return fail("a valid change was refused");
		o = { o.version + 1, ++revision, b };
		free(b);
	}
	// Delivers the newer objects of the platform. Only VMs 0 and 1, in
	// different domains, watch it.
	void watch(int i)
	{
		Vm &v = vms[i];
		bool lost = platform_is_down() && inject(FAULT_PLATFORM_DOWN);
		lost |= inject(FAULT_PLATFORM_LOST, 2);
		lost |= i == 0 && inject(FAULT_SILENT);
		usec_t requested_at = now;
		if (inject(FAULT_PLATFORM_SLOW, 2))
			requested_at -= kRoundTime;
		if (lost)
			return;
		bool complete = true;
		for (const auto &o : platform) {
			if (o.second.revision > anti_entropy_complete(v.spread))
				complete =
					v.offer(o.first, o.second) && complete;
		}
		if (!complete)
			return;
		anti_entropy_set_complete(v.spread, revision);
		freshness_on_platform_contact(&v.freshness_state, requested_at);
	}
	// Returns true if VM i is partitioned from its peers. Only VM 5 is.
	bool is_partitioned(int i)
	{
		bool one = i == 5 && inject(FAULT_CUT_ONE_WAY);
		bool both = i == 5 && inject(FAULT_CUT_BOTH);
		return one || both;
	}
	bool platform_is_down() const
	{
		return has_fault(FAULT_PLATFORM_DOWN) && round >= kOutageRound;
	}
	void poll_peers(int i)
	{
		for (int k = 0; k < ANTI_ENTROPY_FANOUT; k++) {
			int p = (int)(rng() % kVms);
			// The first peer is of another domain, as in
			// anti_entropy_pick_peers().
			if (k == 0 && vms[p].domain == vms[i].domain)
				p = (p + 1) % kVms;
			if (p != i && now >= vms[p].paused_until &&
			    !is_partitioned(i) && !is_partitioned(p))
				exchange(i, p);
		}
	}
	static size_t object_size(void *, const char *)
	{
		return 100;
	}
	void exchange(int i, int p)
	{
		struct anti_entropy_request q;
		struct anti_entropy_object out[4];
		PeerReply a = {};
		anti_entropy_fill_request(vms[i].spread, 1, &q);
		q.cursor = vms[i].cursor[p];
		size_t n =
			anti_entropy_respond(vms[p].spread, &q, out, 4, 300,
					     object_size, nullptr, &a.cursor);
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
		a.incarnation = vms[i].incarnation;
		a.from_incarnation = vms[p].incarnation;
		a.requested_at = now;
		a.age = freshness_platform_age(&vms[p].freshness_state, now);
		if (inject(FAULT_REPLY_LOST, 2) ||
		    inject(FAULT_DIE_BEFORE, 3) ||
		    (p == 2 && inject(FAULT_SILENT)))
			return;
		if (inject(FAULT_DELAYED, 3))
			a.at += kKeysFresh / 2 + (usec_t)(rng() % kKeysFresh);
		if (inject(FAULT_REORDERED, 2))
			a.at += (usec_t)(rng() % (3 * kRoundTime));
		network.push_back(a);
		if (inject(FAULT_DOUBLED, 2)) {
			a.at += (usec_t)(rng() % (4 * kRoundTime));
			network.push_back(a);
		}
	}
	void deliver()
	{
		std::vector<PeerReply> undelivered;
		for (const auto &a : network) {
			if (a.at > now || now < vms[a.to].paused_until)
				undelivered.push_back(a);
			else
				receive(a);
		}
		network.swap(undelivered);
	}
	// Applies a reply. Its objects count even if it is late; its cursor and
	// freshness count only within a round.
	void receive(const PeerReply &a)
	{
		Vm &v = vms[a.to];
		if (a.incarnation != v.incarnation)
			return;
		for (const auto &o : a.objects) {
			if (!v.offer(o.first, o.second))
				return;
			objects_received++;
		}
		if (now - a.requested_at > kRoundTime)
			return;
		// A cursor is valid only for the peer incarnation that sent it.
		if (a.from_incarnation == vms[a.from].incarnation)
			v.cursor[a.from] = a.cursor;
		if (a.cursor.is_last)
			anti_entropy_set_complete(v.spread,
						  a.cursor.complete_to);
		if (a.cursor.is_up_to_date)
			freshness_on_peer_report(&v.freshness_state,
						 vms[a.from].domain.c_str(),
						 a.requested_at, a.age);
	}
	void inject_vm_faults()
	{
		int i = 2 + (int)(rng() % 4);
		if (inject(FAULT_DIE_AFTER, 4)) {
			vms[i].start();
			for (auto &v : vms)
				v.cursor[i] = {};
		}
		if (inject(FAULT_PAUSE, 8))
			vms[i].paused_until = now + kKeysFresh + 8 * kRoundTime;
	}
	// Returns true if the VM would run a caller's request now.
	bool would_serve(Vm &v, int key)
	{
		const struct keyring_key *k = keyring_find(v.keys, hash[key]);
		return freshness_check(&v.freshness_state, now, kKeysFresh,
				       true) != FRESH_LAPSED &&
		       k && !k->withdrawn;
	}
	void check_callers()
	{
		for (auto &v : vms) {
			if (now < v.paused_until)
				continue;
			bool ok = would_serve(v, 0);
			served += ok;
			refused += !ok;
			if (would_serve(v, 1) && withdrawn_at != INT64_MAX &&
			    now - withdrawn_at > kKeysFresh + kRoundTime)
				fail("a withdrawn key still works");
			// A fault of the platform alone must not refuse valid
			// keys.
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
		for (round = 0; round < kRounds && violation.empty(); round++) {
			now += kRoundTime;
			deliver();
			inject_vm_faults();
			if (round < kHealRound && round % 10 == 6 &&
			    !platform_is_down())
				write(CHANGE_PUT_TEAM, nullptr);
			if (round == 25 && !platform_is_down()) {
				write(CHANGE_WITHDRAW_KEY, "withdrawn");
				withdrawn_at = now;
				injected[FAULT_KEY_WITHDRAWN]++;
			}
			for (int i = 0; i < kVms; i++) {
				if (now < vms[i].paused_until)
					continue;
				if (i < 2)
					watch(i);
				poll_peers(i);
			}
			check_callers();
			check_invariants();
		}
		if (objects_received == 0 || served < kVms)
			fail("the step was not reached");
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && injected[f] == 0)
				fail("the fault was not injected");
		}
		return violation;
	}
	void check_invariants()
	{
		for (auto &v : vms) {
			if (v.has_reverted)
				fail("a configuration reverted");
			for (const auto &o : platform)
				check_invariants(v, o.first, o.second);
		}
	}
	void check_invariants(const Vm &v, const std::string &name,
			      const Object &newest)
	{
		uint64_t version = 0;
		char *b = store_get(v.store, name.c_str(), &version);
		if (anti_entropy_complete(v.spread) >= newest.revision &&
		    version < newest.version)
			fail("a VM is marked complete without what it lacks");
		if (version == newest.version && b != newest.body)
			fail("a body differs from what was written");
		if (round > kHealRound + kConvergeRounds &&
		    version != newest.version)
			fail("a change did not reach all");
		free(b);
	}
};

std::string run_config(const matrix_cell &c)
{
	return ConfigSimulation(c).run();
}

const std::vector<enum fault> kFaults = {
	FAULT_NONE,	     FAULT_DIE_BEFORE,	  FAULT_DIE_AFTER,
	FAULT_REPLY_LOST,    FAULT_DELAYED,	  FAULT_DOUBLED,
	FAULT_REORDERED,     FAULT_SILENT,	  FAULT_PAUSE,
	FAULT_CUT_ONE_WAY,   FAULT_CUT_BOTH,	  FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_SLOW, FAULT_PLATFORM_LOST,
};

std::vector<enum fault> faults_with_key()
{
	std::vector<enum fault> f = kFaults;
	f.push_back(FAULT_KEY_WITHDRAWN);
	return f;
}

struct matrix_register rows({
	{ STEP_KEY, faults_with_key(), true, kSeeds, run_config },
	{ STEP_CONFIG_SPREAD, kFaults, false, kSeeds, run_config },
	{ STEP_WATCH, kFaults, false, kSeeds, run_config },
	{ STEP_GOSSIP, kFaults, false, kSeeds, run_config },
	{ STEP_CONFIG_APPLY, kFaults, false, kSeeds, run_config },
});
} // namespace
