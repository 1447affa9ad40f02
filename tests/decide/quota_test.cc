#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/quota.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kTell = 150 * kMs;   // between two beacons
constexpr usec_t kSilent = 4 * kTell; // a VM not heard for so long
constexpr usec_t kAsk = 3 * kMs;      // to the keeper and back
constexpr usec_t kGiveUp = 180 * kMs; // no answer of the keeper
constexpr usec_t kWindow = 5 * USEC_PER_SEC;

// Some VMs before one team's limit, over simulated time. Whoever keeps the
// team is asked by messages that take their time, and may never arrive.
class Fleet
{
      public:
	Fleet(uint32_t n, uint32_t rate, uint32_t burst)
	    : vms(n), up(n, true), leaving(n, false),
	      hears(n, std::vector<bool>(n, true)),
	      heard(n, std::vector<usec_t>(n, 0)), rate_(rate), burst_(burst)
	{
		for (uint32_t i = 0; i < n; i++)
			start(i);
	}
	~Fleet()
	{
		for (auto *q : vms)
			quota_destroy(q);
	}
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	// A VM starts, or starts again with nothing.
	void start(size_t i)
	{
		quota_destroy(vms[i]);
		vms[i] = quota_create(name(i).c_str());
		quota_limit(vms[i], "team", rate_, burst_, now);
		for (size_t j = 0; j < vms.size(); j++) {
			heard[i][j] = 0;
			if (j != i)
				quota_peer(vms[i], name(j).c_str(), false,
					   false, now);
		}
		up[i] = true;
		leaving[i] = false;
	}
	// It stands still for a while, its state as it was.
	void wake(size_t i)
	{
		up[i] = true;
		quota_lapse(vms[i], now);
	}
	void leave(size_t i)
	{
		leaving[i] = true;
		quota_leave(vms[i], now);
	}
	size_t keeper() const
	{
		for (size_t i = 0; i < vms.size(); i++) {
			if (up[i] && !quota_keeper(vms[i], "team"))
				return i;
		}
		return 0;
	}

	// "asked" operations a second at each VM; returns what was let in.
	uint32_t run(usec_t time, const std::vector<double> &asked)
	{
		std::vector<double> due(vms.size());
		for (auto &d : due)
			d = (double)rng() / 4294967296.0;
		uint32_t before = (uint32_t)taken.size();
		for (usec_t end = now + time; now < end; now += kMs) {
			if (now % kTell == 0)
				tell();
			for (size_t i = 0; i < vms.size(); i++) {
				due[i] += up[i] ? asked[i] / 1000 : 0;
				for (; due[i] >= 1; due[i]--)
					ask(i);
			}
			for (; !late.empty() && late.front().first <= now;
			     late.pop_front()) {
				if (up[late.front().second])
					reserve(late.front().second);
			}
		}
		return (uint32_t)taken.size() - before;
	}

	// Most operations in any window.
	size_t most() const
	{
		std::vector<usec_t> t = taken;
		std::sort(t.begin(), t.end());
		size_t best = 0;
		for (size_t i = 0, j = 0; j < t.size(); j++) {
			while (t[j] - t[i] > kWindow)
				i++;
			best = std::max(best, j - i + 1);
		}
		return best;
	}

	std::vector<struct quota *> vms;
	std::vector<bool> up;
	std::vector<bool> leaving;
	std::vector<std::vector<bool>> hears; // [who][whom]
	std::vector<std::vector<usec_t>> heard;
	usec_t now = 1000 * USEC_PER_SEC;
	std::vector<usec_t> taken;
	std::mt19937 rng{ 7 };

      private:
	uint32_t rate_, burst_;
	std::deque<std::pair<usec_t, size_t>> late; // asks without an answer

	static std::string name(size_t i)
	{
		return "vm-" + std::to_string(i);
	}
	void ask(size_t i)
	{
		const char *k = quota_keeper(vms[i], "team");
		size_t to = k ? std::stoul(std::string(k).substr(3)) : i;
		usec_t later = 0;
		if (!up[to] || (to != i && (!hears[to][i] || !hears[i][to]))) {
			late.push_back({ now + kGiveUp, i });
			return;
		}
		enum quota_answer a = quota_grant(vms[to], "team", now, &later);
		if (a == QUOTA_NOT_KEPT && to != i)
			late.push_back({ now + kGiveUp, i });
		else if (a == QUOTA_NOT_KEPT)
			reserve(i);
		else if (a == QUOTA_GRANTED)
			taken.push_back(now + (to == i ? 0 : kAsk));
	}
	void reserve(size_t i)
	{
		usec_t later = 0;
		double draw = (double)rng() / 4294967296.0;
		if (quota_reserve(vms[i], "team", now, draw, &later))
			taken.push_back(now);
	}
	// A beacon names the VMs that its sender does not hear: one that is
	// heard but does not hear this VM can't be asked either.
	void tell()
	{
		auto was = heard;
		for (size_t i = 0; i < vms.size(); i++) {
			for (size_t j = 0; j < vms.size(); j++) {
				if (i == j || !up[j])
					continue;
				if (up[i] && hears[j][i])
					heard[j][i] = now;
				bool ok = recent(heard[j][i]) &&
					  (!up[i] || recent(was[i][j]));
				quota_peer(vms[j], name(i).c_str(), ok,
					   leaving[i], now);
			}
		}
	}
	bool recent(usec_t at) const
	{
		return at && now - at <= kSilent;
	}
};

// What a site allows in a window: a tenth and 20 more than the limit.
size_t allowed(uint32_t rate, uint32_t burst)
{
	double limit = rate * (double)kWindow / USEC_PER_SEC + burst;
	return (size_t)(limit * 1.1 + 20);
}

std::vector<double> each(size_t n, double per_s)
{
	return std::vector<double>(n, per_s);
}

// A team within its limit is refused nothing, however its callers are spread
// and however many VMs there are.
TEST(Quota, WithinTheLimitNobodyIsRefused)
{
	const struct {
		const char *name;
		size_t vms;
		uint32_t rate, burst;
		std::vector<double> asked; // the rest ask nothing
		double sum;
	} cases[] = {
		{ "uneven", 8, 100, 100, { 30, 0, 2, 10, 0, 15, 1, 4 }, 62 },
		{ "one VM has all", 8, 100, 100, { 90 }, 90 },
		{ "a small team over many VMs", 83, 15, 15, each(83, 12.0 / 83),
		  12 },
	};
	for (const auto &c : cases) {
		Fleet f(c.vms, c.rate, c.burst);
		std::vector<double> asked = c.asked;
		asked.resize(c.vms);
		f.run(5 * USEC_PER_SEC, each(c.vms, 0));
		uint32_t done = f.run(20 * USEC_PER_SEC, asked);
		EXPECT_NEAR(done, c.sum * 20, c.sum * 20 * 0.02 + 1) << c.name;
	}
}

// A burst after quiet is let in whole.
TEST(Quota, BurstOfOneVm)
{
	Fleet f(8, 20, 60);
	f.run(5 * USEC_PER_SEC, each(8, 0));
	std::vector<double> asked(8);
	asked[3] = 80;
	EXPECT_GE(f.run(USEC_PER_SEC, asked), 76u);
	EXPECT_LE(f.most(), allowed(20, 60));
}

// One team sends many times its usual: what passes is what the limit says.
TEST(Quota, HotTeam)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, each(8, 7));
	EXPECT_GE(f.run(10 * USEC_PER_SEC, each(8, 60)), 100u * 10 * 98 / 100);
	EXPECT_LE(f.most(), allowed(100, 100));
}

// A team that begins to send everywhere at once.
TEST(Quota, SuddenTeam)
{
	Fleet f(40, 100, 100);
	f.run(3 * USEC_PER_SEC, each(40, 0));
	f.run(6 * USEC_PER_SEC, each(40, 30));
	EXPECT_LE(f.most(), allowed(100, 100));
}

// A surge that moves from some VMs to others.
TEST(Quota, MovedCallers)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, { 60, 60, 60, 60, 0, 0, 0, 0 });
	f.run(3 * USEC_PER_SEC, { 0, 0, 0, 0, 60, 60, 60, 60 });
	f.run(3 * USEC_PER_SEC, { 60, 0, 60, 0, 60, 0, 60, 0 });
	EXPECT_LE(f.most(), allowed(100, 100));
}

// A cut in the middle of the fleet: neither half gets more than its part.
TEST(Quota, HalvesThatDoNotHearEachOther)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, each(8, 40));
	for (size_t i = 0; i < 8; i++) {
		for (size_t j = 0; j < 8; j++)
			f.hears[i][j] = (i < 4) == (j < 4);
	}
	uint32_t done = f.run(10 * USEC_PER_SEC, each(8, 40));
	EXPECT_LE(f.most(), allowed(100, 100));
	EXPECT_GE(done, 100u * 10 * 9 / 10);
}

// The keeper is killed, frozen, cut off or leaves, under a team that asks for
// far more than its limit; each is repeated, the keeper of then again.
TEST(Quota, KeeperFails)
{
	enum { KILL, FREEZE, CUT, CUT_ONE_WAY, LEAVE };
	const struct {
		const char *name;
		int how;
		size_t vms;
		uint32_t rate, burst;
	} cases[] = {
		{ "killed", KILL, 8, 100, 100 },
		{ "frozen", FREEZE, 8, 100, 100 },
		{ "cut off", CUT, 8, 100, 100 },
		{ "cut one way", CUT_ONE_WAY, 8, 100, 100 },
		{ "leaves", LEAVE, 8, 100, 100 },
		{ "killed, many VMs", KILL, 83, 15, 30 },
		{ "frozen, many VMs", FREEZE, 83, 15, 30 },
		{ "cut off, many VMs", CUT, 83, 15, 30 },
	};
	for (const auto &c : cases) {
		Fleet f(c.vms, c.rate, c.burst);
		std::vector<double> hot =
			each(c.vms, 6.0 * c.rate / (double)c.vms);
		f.run(5 * USEC_PER_SEC, each(c.vms, 0));
		for (int round = 0; round < 4; round++) {
			f.run(1700 * kMs, hot);
			size_t k = f.keeper();
			if (c.how == KILL || c.how == FREEZE)
				f.up[k] = false;
			if (c.how == LEAVE)
				f.leave(k);
			for (size_t j = 0; j < c.vms; j++) {
				if (c.how == CUT && j != k)
					f.hears[k][j] = f.hears[j][k] = false;
				if (c.how == CUT_ONE_WAY && j != k)
					f.hears[j][k] = false;
			}
			f.run(2300 * kMs, hot);
			for (auto &h : f.hears)
				h.assign(c.vms, true);
			if (c.how == KILL || c.how == LEAVE)
				f.start(k);
			if (c.how == FREEZE)
				f.wake(k);
		}
		f.run(4 * USEC_PER_SEC, hot);
		EXPECT_LE(f.most(), allowed(c.rate, c.burst)) << c.name;
		// Most of the limit is let in all the while.
		EXPECT_GE(f.taken.size(), c.rate * 20u * 6 / 10) << c.name;
	}
}

// VMs that die and start again bring no tokens with them.
TEST(Quota, AllRestarted)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, each(8, 40));
	for (uint32_t i = 0; i < 8; i++)
		f.start(i);
	f.run(USEC_PER_SEC, each(8, 40));
	for (uint32_t i = 0; i < 8; i++)
		f.start(i);
	f.run(3 * USEC_PER_SEC, each(8, 40));
	EXPECT_LE(f.most(), allowed(100, 100));
}

// A VM that is dead takes no more than an even part with it, and one that has
// left for good takes nothing.
TEST(Quota, DeadVm)
{
	Fleet f(4, 100, 100);
	f.run(3 * USEC_PER_SEC, each(4, 100));
	f.up[3] = false;
	f.run(USEC_PER_SEC, { 100, 100, 100, 0 });
	uint32_t done = f.run(10 * USEC_PER_SEC, { 100, 100, 100, 0 });
	EXPECT_GE(done, 740u);
	EXPECT_LE(done, 850u);
	struct quota *q = quota_create("a");
	usec_t later;
	quota_limit(q, "team", 10, 10, 0);
	quota_peer(q, "b", true, false, 0);
	quota_peer(q, "c", false, false, 0);
	quota_peer_gone(q, "b", 0);
	quota_peer_gone(q, "c", 0);
	uint32_t n = 0;
	while (quota_grant(q, "team", 10 * USEC_PER_SEC, &later) ==
	       QUOTA_GRANTED)
		n++;
	EXPECT_EQ(n, 10u);
	quota_destroy(q);
}

TEST(Quota, LowerLimit)
{
	Fleet f(4, 100, 100);
	f.run(5 * USEC_PER_SEC, each(4, 5));
	for (auto *q : f.vms)
		quota_limit(q, "team", 10, 10, f.now);
	f.taken.clear();
	f.run(10 * USEC_PER_SEC, each(4, 50));
	EXPECT_LE(f.most(), allowed(10, 10));
}

// All VMs that hear the same others name the same keeper, and teams move only
// to or from the VM that came or went.
TEST(Quota, KeepersAgree)
{
	constexpr int kVms = 12;
	std::vector<struct quota *> q;
	auto name = [](int i) { return "vm-" + std::to_string(i); };
	auto keeper = [&](int i, const std::string &team) {
		const char *k = quota_keeper(q[(size_t)i], team.c_str());
		return k ? std::string(k) : name(i);
	};
	for (int i = 0; i < kVms; i++) {
		q.push_back(quota_create(name(i).c_str()));
		for (int t = 0; t < 40; t++)
			quota_limit(q.back(), std::to_string(t).c_str(), 1, 1,
				    0);
		for (int j = 0; j < kVms; j++) {
			if (j != i)
				quota_peer(q.back(), name(j).c_str(), true,
					   false, 0);
		}
	}
	std::vector<std::string> was;
	for (int t = 0; t < 40; t++) {
		was.push_back(keeper(0, std::to_string(t)));
		for (int i = 1; i < kVms; i++)
			EXPECT_EQ(keeper(i, std::to_string(t)), was.back());
	}
	for (int i = 0; i < kVms; i++) {
		if (i != 5)
			quota_peer(q[(size_t)i], "vm-5", true, true, 0);
	}
	quota_leave(q[5], 0);
	for (int t = 0; t < 40; t++) {
		std::string now = keeper(0, std::to_string(t));
		EXPECT_NE(now, "vm-5");
		if (was[(size_t)t] != "vm-5") {
			EXPECT_EQ(now, was[(size_t)t]);
		}
		for (int i = 1; i < kVms; i++)
			EXPECT_EQ(keeper(i, std::to_string(t)), now);
	}
	for (auto *x : q)
		quota_destroy(x);
}

// A VM that was alone keeps its tokens when a second one comes; one that comes
// to others has none.
TEST(Quota, SecondVmComes)
{
	const struct {
		const char *name;
		bool alone;
		uint32_t tokens;
	} cases[] = {
		{ "was alone", true, 10 },
		{ "came to others", false, 0 },
	};
	for (const auto &c : cases) {
		struct quota *q = quota_create("a");
		usec_t later;
		usec_t now = 100 * USEC_PER_SEC;
		quota_limit(q, "team", 10, 10, now);
		if (c.alone)
			quota_settle(q, now);
		now += 5 * USEC_PER_SEC;
		quota_peer(q, "b", false, false, now);
		quota_settle(q, now);
		EXPECT_EQ(quota_grant(q, "team", now, &later), QUOTA_NOT_KEPT)
			<< c.name;
		// Heard, but leaving: this VM keeps the team.
		quota_peer(q, "b", true, true, now);
		uint32_t n = 0;
		while (quota_grant(q, "team", now, &later) == QUOTA_GRANTED)
			n++;
		EXPECT_EQ(n, c.tokens) << c.name;
		EXPECT_FALSE(quota_settled(q, now)) << c.name;
		EXPECT_TRUE(quota_settled(q, now + USEC_PER_SEC)) << c.name;
		quota_destroy(q);
	}
}

TEST(Quota, UnknownTeamsAndNoRate)
{
	struct quota *q = quota_create("a");
	usec_t later = 0;
	EXPECT_EQ(quota_grant(q, "nobody", 1, &later), QUOTA_GRANTED);
	EXPECT_EQ(quota_keeper(q, "nobody"), nullptr);
	ASSERT_TRUE(quota_limit(q, "team", 0, 0, 1));
	EXPECT_EQ(quota_grant(q, "team", 1, &later), QUOTA_REFUSED);
	EXPECT_GT(later, 0);
	EXPECT_FALSE(quota_reserve(q, "team", USEC_PER_SEC, 0.5, &later));
	quota_destroy(q);
}
} // namespace
