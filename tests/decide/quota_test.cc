#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "decide/quota.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kTell = 150 * kMs; // between two beacons

// Some VMs before one team's limit, over simulated time.
class Fleet
{
      public:
	Fleet(uint32_t n, uint32_t rate, uint32_t burst)
	    : vms(n), up(n, true), hears(n, std::vector<bool>(n, true))
	{
		for (uint32_t i = 0; i < n; i++)
			start(i, rate, burst);
	}
	~Fleet()
	{
		for (auto *q : vms)
			quota_destroy(q);
	}
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	void start(uint32_t i, uint32_t rate, uint32_t burst)
	{
		quota_destroy(vms[i]);
		vms[i] = quota_create();
		quota_limit(vms[i], "team", rate, burst, now);
		for (uint32_t j = 0; j < vms.size(); j++) {
			if (j != i)
				quota_peer(vms[i], name(j).c_str(), true);
		}
		up[i] = true;
	}

	// "asked" operations a second at each VM; returns what was let in.
	std::vector<uint32_t> run(usec_t time, const std::vector<double> &asked)
	{
		std::vector<uint32_t> done(vms.size());
		std::vector<double> due(vms.size());
		for (usec_t end = now + time; now < end; now += kMs) {
			if (now % kTell == 0)
				tell();
			for (size_t i = 0; i < vms.size(); i++) {
				due[i] += up[i] ? asked[i] / 1000 : 0;
				for (; due[i] >= 1; due[i]--) {
					usec_t later;
					bool in = quota_take(vms[i], "team",
							     now, &later);
					done[i] += in;
					if (in)
						taken.push_back(now);
				}
			}
		}
		return done;
	}

	// Most operations in any window.
	size_t most(usec_t window) const
	{
		size_t best = 0;
		for (size_t i = 0, j = 0; j < taken.size(); j++) {
			while (taken[j] - taken[i] > window)
				i++;
			best = std::max(best, j - i + 1);
		}
		return best;
	}

	std::vector<struct quota *> vms;
	std::vector<bool> up;
	std::vector<std::vector<bool>> hears; // [who][whom]
	usec_t now = 1000 * USEC_PER_SEC;
	std::vector<usec_t> taken;

      private:
	static std::string name(size_t i)
	{
		return "vm-" + std::to_string(i);
	}
	void tell()
	{
		for (size_t i = 0; i < vms.size(); i++) {
			double d = 0;
			quota_demands(
				vms[i], now,
				[](void *ctx, const char *, double per_s) {
					*(double *)ctx = per_s;
				},
				&d);
			for (size_t j = 0; j < vms.size(); j++) {
				bool heard = up[i] && up[j] && hears[j][i];
				if (i == j)
					continue;
				quota_peer(vms[j], name(i).c_str(), !heard);
				if (heard)
					quota_peer_demand(vms[j],
							  name(i).c_str(),
							  "team", d);
			}
		}
	}
};

uint32_t sum(const std::vector<uint32_t> &v)
{
	uint32_t s = 0;
	for (auto n : v)
		s += n;
	return s;
}

// What a site allows in a window: a tenth and 20 more than the limit.
size_t allowed(uint32_t rate, uint32_t burst, usec_t window)
{
	double limit = rate * (double)window / USEC_PER_SEC + burst;
	return (size_t)(limit * 1.1 + 20);
}

// A team at 62% of its limit whose callers are spread unevenly is refused
// nothing.
TEST(Quota, UnevenCallersWithinTheLimit)
{
	Fleet f(8, 100, 100);
	std::vector<double> asked = { 30, 0, 2, 10, 0, 15, 1, 4 };
	f.run(2 * USEC_PER_SEC, asked);
	auto done = f.run(20 * USEC_PER_SEC, asked);
	for (size_t i = 0; i < asked.size(); i++)
		EXPECT_NEAR(done[i], asked[i] * 20, 2) << i;
}

// One team sends many times its usual: no window passes more than allowed,
// and what passes is what the limit says.
TEST(Quota, HotTeam)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, std::vector<double>(8, 7));
	auto done = f.run(10 * USEC_PER_SEC, std::vector<double>(8, 60));
	EXPECT_LE(f.most(5 * USEC_PER_SEC),
		  allowed(100, 100, 5 * USEC_PER_SEC));
	EXPECT_GE(sum(done), 100u * 10 * 95 / 100);
}

// A team without any demand that begins to send everywhere at once: before the
// first beacons no VM may take the whole for itself.
TEST(Quota, SuddenTeam)
{
	Fleet f(40, 100, 100);
	f.run(3 * USEC_PER_SEC, std::vector<double>(40, 0));
	f.run(6 * USEC_PER_SEC, std::vector<double>(40, 30));
	EXPECT_LE(f.most(5 * USEC_PER_SEC),
		  allowed(100, 100, 5 * USEC_PER_SEC));
}

// A surge that moves from some VMs to others.
TEST(Quota, MovedCallers)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, { 60, 60, 60, 60, 0, 0, 0, 0 });
	f.run(3 * USEC_PER_SEC, { 0, 0, 0, 0, 60, 60, 60, 60 });
	f.run(3 * USEC_PER_SEC, { 60, 0, 60, 0, 60, 0, 60, 0 });
	EXPECT_LE(f.most(5 * USEC_PER_SEC),
		  allowed(100, 100, 5 * USEC_PER_SEC));
}

// A cut in the middle of the fleet: neither half gets more than its part.
TEST(Quota, HalvesThatDoNotHearEachOther)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, std::vector<double>(8, 40));
	for (size_t i = 0; i < 8; i++) {
		for (size_t j = 0; j < 8; j++)
			f.hears[i][j] = (i < 4) == (j < 4);
	}
	auto done = f.run(10 * USEC_PER_SEC, std::vector<double>(8, 40));
	EXPECT_LE(f.most(5 * USEC_PER_SEC),
		  allowed(100, 100, 5 * USEC_PER_SEC));
	EXPECT_GE(sum(done), 100u * 10 * 9 / 10);
}

// VMs that die and start again bring no tokens with them.
TEST(Quota, AllRestarted)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, std::vector<double>(8, 40));
	for (uint32_t i = 0; i < 8; i++)
		f.start(i, 100, 100);
	f.run(USEC_PER_SEC, std::vector<double>(8, 40));
	for (uint32_t i = 0; i < 8; i++)
		f.start(i, 100, 100);
	f.run(3 * USEC_PER_SEC, std::vector<double>(8, 40));
	EXPECT_LE(f.most(5 * USEC_PER_SEC),
		  allowed(100, 100, 5 * USEC_PER_SEC));
}

// A VM that is dead takes no more than an even part with it.
TEST(Quota, DeadVm)
{
	Fleet f(4, 100, 100);
	f.run(3 * USEC_PER_SEC, { 100, 100, 100, 100 });
	f.up[3] = false;
	auto done = f.run(10 * USEC_PER_SEC, { 100, 100, 100, 0 });
	EXPECT_GE(sum(done), 740u);
	EXPECT_LE(sum(done), 850u);
}

TEST(Quota, LowerLimit)
{
	Fleet f(4, 100, 100);
	f.run(5 * USEC_PER_SEC, { 5, 5, 5, 5 });
	for (auto *q : f.vms)
		quota_limit(q, "team", 10, 10, f.now);
	f.taken.clear();
	f.run(10 * USEC_PER_SEC, { 50, 50, 50, 50 });
	EXPECT_LE(f.most(5 * USEC_PER_SEC), allowed(10, 10, 5 * USEC_PER_SEC));
}

TEST(Quota, UnknownTeamsAndOddNumbers)
{
	struct quota *q = quota_create();
	usec_t later = 0;
	EXPECT_TRUE(quota_take(q, "nobody", 1, &later));
	EXPECT_EQ(quota_part(q, "nobody"), 0);
	ASSERT_TRUE(quota_limit(q, "team", 10, 10, 1));
	EXPECT_FALSE(quota_take(q, "team", 1, &later));
	EXPECT_GT(later, 0);
	quota_peer(q, "p", false);
	quota_peer_demand(q, "p", "team", -5);
	quota_peer_demand(q, "p", "team", 0.0 / 0.0);
	quota_peer_demand(q, "unknown", "team", 5);
	EXPECT_GT(quota_part(q, "team"), 0);
	EXPECT_LE(quota_part(q, "team"), 1);
	quota_peer_gone(q, "p");
	EXPECT_EQ(quota_part(q, "team"), 1);
	quota_destroy(q);
}
} // namespace
