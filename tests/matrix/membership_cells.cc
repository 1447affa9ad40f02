#include "matrix.h"

#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/membership.h"
}

// VMs exchange membership updates by gossip while VMs restart, pause or are
// partitioned. All must converge on the same view, and none may return to an
// earlier incarnation of another.
namespace
{
constexpr uint32_t kSeeds = 10;
constexpr int kVms = 6;
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kRoundTime = 200 * kMs;
constexpr usec_t kGoneAfter = 9000 * kMs;
constexpr int kRounds = 300;
constexpr int kHealRound = 100;
constexpr int kConvergedRound = 200;

struct GossipMessage {
	usec_t at;
	int to, from;
	uint64_t incarnation; // of the sender
	std::vector<struct member_update> news;
};

struct MembersSimulation {
	const matrix_cell &cell;
	std::mt19937 rng;
	std::vector<struct membership *> vms;
	std::vector<uint64_t> incarnations;
	std::vector<usec_t> paused_until;
	// [i][j]: newest incarnation of VM j that VM i has seen
	std::vector<std::vector<uint64_t>> newest;
	std::vector<GossipMessage> network;
	std::map<enum fault, int> injected;
	std::string violation;
	usec_t now = 1000 * kMs;
	int round = 0;
	int delivered = 0;

	explicit MembersSimulation(const matrix_cell &c)
	    : cell(c), rng(c.seed), vms(kVms), incarnations(kVms, 10),
	      paused_until(kVms, 0),
	      newest(kVms, std::vector<uint64_t>(kVms, 0))
	{
		for (int i = 0; i < kVms; i++)
			start(i);
	}
	~MembersSimulation()
	{
		for (auto *m : vms)
			membership_destroy(m);
	}
	struct member record(int i) const
	{
		struct member v = {};
		snprintf(v.name, sizeof(v.name), "vm-%d", i);
		snprintf(v.domain, sizeof(v.domain), "%c", 'a' + i % 3);
		v.incarnation = incarnations[i];
		return v;
	}
	void start(int i)
	{
		struct member self = record(i);
		membership_destroy(vms[i]);
		vms[i] = membership_create(&self);
		newest[i].assign(kVms, 0);
		refresh_list(i);
	}
	// Applies the platform's list, which may lag and contain an earlier
	// incarnation.
	void refresh_list(int i)
	{
		membership_list_begin(vms[i]);
		for (int j = 0; j < kVms; j++) {
			struct member v = record(j);
			if (inject(FAULT_PLATFORM_SLOW, 2) &&
			    v.incarnation > 10)
				v.incarnation--;
			membership_list_add(vms[i], &v);
		}
		membership_list_end(vms[i], now);
	}
	bool inject(enum fault f, unsigned one_in = 1)
	{
		if (cell.fault != f && cell.second != f)
			return false;
		if (round >= kHealRound || round < 5 || rng() % one_in)
			return false;
		injected[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (violation.empty())
			violation = why;
	}
	bool is_partitioned(int from, int to)
	{
		if (from == kVms - 1 && inject(FAULT_CUT_ONE_WAY))
			return true;
		return (from == kVms - 1 || to == kVms - 1) &&
		       inject(FAULT_CUT_BOTH);
	}
	void send(int i, int j)
	{
		struct member_update out[8];
		size_t n = membership_pick_updates(vms[i], out, 8);
		GossipMessage m = {
			now, j, i, incarnations[i], { out, out + n }
		};
		if (is_partitioned(i, j) || inject(FAULT_REPLY_LOST, 2) ||
		    inject(FAULT_DIE_BEFORE, 4) ||
		    (i == 2 && inject(FAULT_SILENT))) {
			membership_on_timeout(vms[j], record(i).name,
					      incarnations[i]);
			return;
		}
		if (inject(FAULT_DELAYED, 3))
			m.at += (usec_t)(rng() % 6000) * kMs;
		if (inject(FAULT_REORDERED, 2))
			m.at += (usec_t)(rng() % 1000) * kMs;
		network.push_back(m);
		if (inject(FAULT_DOUBLED, 2)) {
			m.at += (usec_t)(rng() % 3000) * kMs;
			network.push_back(m);
		}
	}
	void deliver()
	{
		std::vector<GossipMessage> undelivered;
		for (const auto &m : network) {
			if (m.at > now || now < paused_until[m.to]) {
				undelivered.push_back(m);
				continue;
			}
			membership_on_message(vms[m.to], record(m.from).name,
					      m.incarnation, now);
			for (const auto &n : m.news)
				membership_apply_update(vms[m.to], &n, now);
			delivered += (int)m.news.size();
		}
		network.swap(undelivered);
	}
	void inject_vm_faults()
	{
		int i = 1 + (int)(rng() % (kVms - 1));
		if (inject(FAULT_DIE_AFTER, 10)) {
			incarnations[i]++;
			start(i);
		}
		if (inject(FAULT_PAUSE, 20))
			paused_until[i] = now + kGoneAfter;
	}
	std::string run()
	{
		for (round = 0; round < kRounds && violation.empty(); round++) {
			now += kRoundTime;
			deliver();
			inject_vm_faults();
			for (int i = 0; i < kVms; i++) {
				if (now < paused_until[i])
					continue;
				if (round % 5 == 0 &&
				    !inject(FAULT_PLATFORM_DOWN))
					refresh_list(i);
				send(i, (int)((i + 1 + rng() % (kVms - 1)) %
					      kVms));
			}
			for (int i = 0; i < kVms; i++)
				check_invariants(i);
		}
		if (delivered == 0)
			fail("the step was not reached");
		if (cell.fault != FAULT_NONE && injected[cell.fault] == 0)
			fail("the fault was not injected");
		return violation;
	}
	void check_invariants(int i)
	{
		for (int j = 0; j < kVms; j++) {
			struct member r = record(j);
			vm_handle h = membership_find(vms[i], r.name);
			const struct member *v = membership_get(vms[i], h);
			if (!v)
				continue;
			if (v->incarnation < newest[i][j])
				fail("a VM was taken for an earlier incarnation");
			newest[i][j] = v->incarnation;
			if (membership_is_gone(vms[i], r.name, incarnations[j],
					       now, kGoneAfter))
				fail("a running VM was taken for gone");
			if (round < kConvergedRound)
				continue;
			if (v->incarnation != incarnations[j])
				fail("a restart did not reach all");
			if (!membership_is_alive(vms[i], h))
				fail("a running VM stays suspect");
		}
	}
};

std::string run_members(const matrix_cell &c)
{
	return MembersSimulation(c).run();
}

struct matrix_register rows({
	{ STEP_MEMBERS,
	  { FAULT_NONE, FAULT_DIE_BEFORE, FAULT_DIE_AFTER, FAULT_REPLY_LOST,
	    FAULT_DELAYED, FAULT_DOUBLED, FAULT_REORDERED, FAULT_SILENT,
	    FAULT_PAUSE, FAULT_CUT_ONE_WAY, FAULT_CUT_BOTH,
	    FAULT_PLATFORM_DOWN },
	  false,
	  kSeeds,
	  run_members },
});
} // namespace
