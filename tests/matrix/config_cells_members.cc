#include "matrix.h"

#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/members.h"
}

// VMs tell each other of VMs. One, the victim, restarts, pauses, leaves or is
// cut off; the others must agree on it in the end and never go back to a
// former life of it.
namespace
{
constexpr uint32_t kSeeds = 10;
constexpr int kVms = 6;
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kRound = 200 * kMs;
constexpr usec_t kGone = 9000 * kMs;
constexpr int kRounds = 300;
constexpr int kHeal = 100;
constexpr int kSettled = 200;

struct News {
	usec_t at;
	int to, from;
	uint64_t incarnation; // of the sender
	std::vector<struct member_news> news;
};

struct MembersWorld {
	const matrix_cell &cell;
	std::mt19937 rng;
	std::vector<struct members *> vms;
	std::vector<uint64_t> lives;
	std::vector<usec_t> paused;
	std::vector<std::vector<uint64_t>> newest; // known by i of j
	std::vector<News> bus;
	std::map<enum fault, int> struck;
	std::string broke;
	usec_t now = 1000 * kMs;
	int round = 0;
	int told = 0;

	explicit MembersWorld(const matrix_cell &c)
	    : cell(c), rng(c.seed), vms(kVms), lives(kVms, 10), paused(kVms, 0),
	      newest(kVms, std::vector<uint64_t>(kVms, 0))
	{
		for (int i = 0; i < kVms; i++)
			start(i);
	}
	~MembersWorld()
	{
		for (auto *m : vms)
			members_destroy(m);
	}
	struct member record(int i) const
	{
		struct member v = {};
		snprintf(v.name, sizeof(v.name), "vm-%d", i);
		snprintf(v.domain, sizeof(v.domain), "%c", 'a' + i % 3);
		v.incarnation = lives[i];
		return v;
	}
	void start(int i)
	{
		struct member self = record(i);
		members_destroy(vms[i]);
		vms[i] = members_create(&self);
		newest[i].assign(kVms, 0);
		list(i);
	}
	// The platform's list, which lags: it may have a former life.
	void list(int i)
	{
		members_list_begin(vms[i]);
		for (int j = 0; j < kVms; j++) {
			struct member v = record(j);
			if (strikes(FAULT_PLATFORM_SLOW, 2) &&
			    v.incarnation > 10)
				v.incarnation--;
			members_list_add(vms[i], &v);
		}
		members_list_end(vms[i], now);
	}
	bool strikes(enum fault f, unsigned of = 1)
	{
		if (cell.fault != f && cell.second != f)
			return false;
		if (round >= kHeal || round < 5 || rng() % of)
			return false;
		struck[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (broke.empty())
			broke = why;
	}
	bool cut(int from, int to)
	{
		if (from == kVms - 1 && strikes(FAULT_CUT_ONE_WAY))
			return true;
		return (from == kVms - 1 || to == kVms - 1) &&
		       strikes(FAULT_CUT_BOTH);
	}
	void send(int i, int j)
	{
		struct member_news out[8];
		size_t n = members_pick_news(vms[i], out, 8);
		News m = { now, j, i, lives[i], { out, out + n } };
		if (cut(i, j) || strikes(FAULT_REPLY_LOST, 2) ||
		    strikes(FAULT_DIE_BEFORE, 4) ||
		    (i == 2 && strikes(FAULT_SILENT))) {
			members_unanswered(vms[j], record(i).name, lives[i]);
			return;
		}
		if (strikes(FAULT_DELAYED, 3))
			m.at += (usec_t)(rng() % 6000) * kMs;
		if (strikes(FAULT_REORDERED, 2))
			m.at += (usec_t)(rng() % 1000) * kMs;
		bus.push_back(m);
		if (strikes(FAULT_DOUBLED, 2)) {
			m.at += (usec_t)(rng() % 3000) * kMs;
			bus.push_back(m);
		}
	}
	void deliver()
	{
		std::vector<News> later;
		for (const auto &m : bus) {
			if (m.at > now || now < paused[m.to]) {
				later.push_back(m);
				continue;
			}
			members_heard(vms[m.to], record(m.from).name,
				      m.incarnation, now);
			for (const auto &n : m.news)
				members_news(vms[m.to], &n, now);
			told += (int)m.news.size();
		}
		bus.swap(later);
	}
	void disturb()
	{
		int i = 1 + (int)(rng() % (kVms - 1));
		if (strikes(FAULT_DIE_AFTER, 10)) {
			lives[i]++;
			start(i);
		}
		if (strikes(FAULT_PAUSE, 20))
			paused[i] = now + kGone;
	}
	std::string run()
	{
		for (round = 0; round < kRounds && broke.empty(); round++) {
			now += kRound;
			deliver();
			disturb();
			for (int i = 0; i < kVms; i++) {
				if (now < paused[i])
					continue;
				if (round % 5 == 0 &&
				    !strikes(FAULT_PLATFORM_DOWN))
					list(i);
				send(i, (int)((i + 1 + rng() % (kVms - 1)) %
					      kVms));
			}
			for (int i = 0; i < kVms; i++)
				judge(i);
		}
		if (told == 0)
			fail("the step was not reached");
		if (cell.fault != FAULT_NONE && struck[cell.fault] == 0)
			fail("the fault did not strike");
		return broke;
	}
	void judge(int i)
	{
		for (int j = 0; j < kVms; j++) {
			struct member r = record(j);
			vm_handle h = members_find(vms[i], r.name);
			const struct member *v = members_at(vms[i], h);
			if (!v)
				continue;
			if (v->incarnation < newest[i][j])
				fail("a VM was taken for its former self");
			newest[i][j] = v->incarnation;
			if (members_gone(vms[i], r.name, lives[j], now, kGone))
				fail("a VM that runs was taken for gone");
			if (round < kSettled)
				continue;
			if (v->incarnation != lives[j])
				fail("a restart did not reach all");
			if (!members_alive(vms[i], h))
				fail("a VM that runs stays suspect");
		}
	}
};

std::string run_members(const matrix_cell &c)
{
	return MembersWorld(c).run();
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
