#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/rate_limit.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kBeaconInterval = 150 * kMs;
constexpr usec_t kSilentAfter = 4 * kBeaconInterval;
constexpr usec_t kRoundTrip = 3 * kMs; // to the keeper and back
constexpr usec_t kTimeout = 180 * kMs; // of a request to the keeper
constexpr usec_t kWindow = 5 * USEC_PER_SEC;

// Simulates several VMs that share one team's limit. Token requests to the
// keeper take time, and time out if the keeper can't be reached.
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
			rate_limit_destroy(q);
	}
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	// Starts or restarts a VM, without any state.
	void start(size_t i)
	{
		rate_limit_destroy(vms[i]);
		vms[i] = rate_limit_create(name(i).c_str());
		rate_limit_set(vms[i], "team", rate_, burst_, now);
		for (size_t j = 0; j < vms.size(); j++) {
			heard[i][j] = 0;
			if (j != i)
				rate_limit_set_peer(vms[i], name(j).c_str(),
						    false, false, now);
		}
		up[i] = true;
		leaving[i] = false;
	}
	// Resumes a VM that was frozen, with its state as before.
	void wake(size_t i)
	{
		up[i] = true;
		rate_limit_drop_tokens(vms[i], now);
	}
	void leave(size_t i)
	{
		leaving[i] = true;
		rate_limit_leave(vms[i], now);
	}
	size_t keeper() const
	{
		for (size_t i = 0; i < vms.size(); i++) {
			if (up[i] && !rate_limit_keeper(vms[i], "team"))
				return i;
		}
		return 0;
	}

	// Runs for "time" with "offered" operations per second at each VM;
	// returns how many were admitted.
	uint32_t run(usec_t time, const std::vector<double> &offered)
	{
		std::vector<double> due(vms.size());
		for (auto &d : due)
			d = (double)rng() / 4294967296.0;
		uint32_t before = (uint32_t)taken.size();
		for (usec_t end = now + time; now < end; now += kMs) {
			if (now % kBeaconInterval == 0)
				send_beacons();
			for (size_t i = 0; i < vms.size(); i++) {
				due[i] += up[i] ? offered[i] / 1000 : 0;
				for (; due[i] >= 1; due[i]--)
					request(i);
			}
			for (;
			     !timeouts.empty() && timeouts.front().first <= now;
			     timeouts.pop_front()) {
				if (up[timeouts.front().second])
					reserve(timeouts.front().second);
			}
		}
		return (uint32_t)taken.size() - before;
	}

	// Returns the most operations admitted in any window.
	size_t max_in_window() const
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

	std::vector<struct rate_limit *> vms;
	std::vector<bool> up;
	std::vector<bool> leaving;
	std::vector<std::vector<bool>> hears;	// [receiver][sender]
	std::vector<std::vector<usec_t>> heard; // last beacon, same indexes
	usec_t now = 1000 * USEC_PER_SEC;
	std::vector<usec_t> taken;
	std::mt19937 rng{ 7 };

      private:
	uint32_t rate_, burst_;
	std::deque<std::pair<usec_t, size_t>> timeouts; // (time, VM)

	static std::string name(size_t i)
	{
		return "vm-" + std::to_string(i);
	}
	void request(size_t i)
	{
		const char *k = rate_limit_keeper(vms[i], "team");
		size_t to = k ? std::stoul(std::string(k).substr(3)) : i;
		usec_t later = 0;
		if (!up[to] || (to != i && (!hears[to][i] || !hears[i][to]))) {
			timeouts.push_back({ now + kTimeout, i });
			return;
		}
		enum rate_limit_result a = rate_limit_take(
			vms[to], "team", RATE_LIMIT_URGENT, now, &later);
		if (a == RATE_LIMIT_NOT_KEEPER && to != i)
			timeouts.push_back({ now + kTimeout, i });
		else if (a == RATE_LIMIT_NOT_KEEPER)
			reserve(i);
		else if (a == RATE_LIMIT_GRANTED)
			taken.push_back(now + (to == i ? 0 : kRoundTrip));
	}
	void reserve(size_t i)
	{
		usec_t later = 0;
		double draw = (double)rng() / 4294967296.0;
		if (rate_limit_take_local(vms[i], "team", now, draw, &later))
			taken.push_back(now);
	}
	// Sends all beacons. A beacon lists the VMs that its sender does not
	// hear: a VM that is heard but does not hear this one can't serve its
	// requests either.
	void send_beacons()
	{
		auto before = heard;
		for (size_t i = 0; i < vms.size(); i++) {
			for (size_t j = 0; j < vms.size(); j++) {
				if (i == j || !up[j])
					continue;
				if (up[i] && hears[j][i])
					heard[j][i] = now;
				bool ok = recent(heard[j][i]) &&
					  (!up[i] || recent(before[i][j]));
				rate_limit_set_peer(vms[j], name(i).c_str(), ok,
						    leaving[i], now);
			}
		}
	}
	bool recent(usec_t at) const
	{
		return at && now - at <= kSilentAfter;
	}
};

// The most requests that may be admitted in a window: the limit, plus 10 % and
// 20 requests.
size_t allowed(uint32_t rate, uint32_t burst)
{
	double limit = rate * (double)kWindow / USEC_PER_SEC + burst;
	return (size_t)(limit * 1.1 + 20);
}

std::vector<double> each(size_t n, double per_s)
{
	return std::vector<double>(n, per_s);
}

// A team within its limit is refused nothing, regardless of how its callers
// are distributed and of the number of VMs.
TEST(RateLimit, WithinTheLimitNothingIsRefused)
{
	const struct {
		const char *name;
		size_t vms;
		uint32_t rate, burst;
		std::vector<double> offered; // the other VMs offer nothing
		double sum;
	} cases[] = {
		{ "uneven", 8, 100, 100, { 30, 0, 2, 10, 0, 15, 1, 4 }, 62 },
		{ "all at one VM", 8, 100, 100, { 90 }, 90 },
		{ "a small team over many VMs", 83, 15, 15, each(83, 12.0 / 83),
		  12 },
	};
	for (const auto &c : cases) {
		Fleet f(c.vms, c.rate, c.burst);
		std::vector<double> offered = c.offered;
		offered.resize(c.vms);
		f.run(5 * USEC_PER_SEC, each(c.vms, 0));
		uint32_t done = f.run(20 * USEC_PER_SEC, offered);
		EXPECT_NEAR(done, c.sum * 20, c.sum * 20 * 0.02 + 1) << c.name;
	}
}

// After an idle period the whole burst is admitted at one VM.
TEST(RateLimit, BurstOfOneVm)
{
	Fleet f(8, 20, 60);
	f.run(5 * USEC_PER_SEC, each(8, 0));
	std::vector<double> offered(8);
	offered[3] = 80;
	EXPECT_GE(f.run(USEC_PER_SEC, offered), 76u);
	EXPECT_LE(f.max_in_window(), allowed(20, 60));
}

// A team that offers many times its usual load is admitted up to its limit.
TEST(RateLimit, HotTeam)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, each(8, 7));
	EXPECT_GE(f.run(10 * USEC_PER_SEC, each(8, 60)), 100u * 10 * 98 / 100);
	EXPECT_LE(f.max_in_window(), allowed(100, 100));
}

// A team starts to send at all VMs at the same time.
TEST(RateLimit, SuddenTeam)
{
	Fleet f(40, 100, 100);
	f.run(3 * USEC_PER_SEC, each(40, 0));
	f.run(6 * USEC_PER_SEC, each(40, 30));
	EXPECT_LE(f.max_in_window(), allowed(100, 100));
}

// A surge moves from some VMs to others.
TEST(RateLimit, MovedCallers)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, { 60, 60, 60, 60, 0, 0, 0, 0 });
	f.run(3 * USEC_PER_SEC, { 0, 0, 0, 0, 60, 60, 60, 60 });
	f.run(3 * USEC_PER_SEC, { 60, 0, 60, 0, 60, 0, 60, 0 });
	EXPECT_LE(f.max_in_window(), allowed(100, 100));
}

// A network partition into two halves: each half admits its half of the limit.
TEST(RateLimit, PartitionIntoHalves)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, each(8, 40));
	for (size_t i = 0; i < 8; i++) {
		for (size_t j = 0; j < 8; j++)
			f.hears[i][j] = (i < 4) == (j < 4);
	}
	uint32_t done = f.run(10 * USEC_PER_SEC, each(8, 40));
	EXPECT_LE(f.max_in_window(), allowed(100, 100));
	EXPECT_GE(done, 100u * 10 * 9 / 10);
}

// The keeper is killed, frozen, partitioned or shuts down while a team offers
// far more than its limit. Each fault hits the then current keeper four times.
TEST(RateLimit, KeeperFails)
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
		{ "cut off by a partition", CUT, 8, 100, 100 },
		{ "cut off in one direction", CUT_ONE_WAY, 8, 100, 100 },
		{ "shuts down", LEAVE, 8, 100, 100 },
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
		EXPECT_LE(f.max_in_window(), allowed(c.rate, c.burst))
			<< c.name;
		// Most of the limit stays available throughout.
		EXPECT_GE(f.taken.size(), c.rate * 20u * 6 / 10) << c.name;
	}
}

// Restarted VMs have no tokens, so restarts do not raise the limit.
TEST(RateLimit, AllRestarted)
{
	Fleet f(8, 100, 100);
	f.run(3 * USEC_PER_SEC, each(8, 40));
	for (uint32_t i = 0; i < 8; i++)
		f.start(i);
	f.run(USEC_PER_SEC, each(8, 40));
	for (uint32_t i = 0; i < 8; i++)
		f.start(i);
	f.run(3 * USEC_PER_SEC, each(8, 40));
	EXPECT_LE(f.max_in_window(), allowed(100, 100));
}

// A failed VM reduces the limit by at most an even share, and a VM
// that has left for good does not reduce it.
TEST(RateLimit, DeadVm)
{
	Fleet f(4, 100, 100);
	f.run(3 * USEC_PER_SEC, each(4, 100));
	f.up[3] = false;
	f.run(USEC_PER_SEC, { 100, 100, 100, 0 });
	uint32_t done = f.run(10 * USEC_PER_SEC, { 100, 100, 100, 0 });
	EXPECT_GE(done, 740u);
	EXPECT_LE(done, 850u);
	struct rate_limit *q = rate_limit_create("a");
	usec_t later;
	rate_limit_set(q, "team", 10, 10, 0);
	rate_limit_set_peer(q, "b", true, false, 0);
	rate_limit_set_peer(q, "c", false, false, 0);
	rate_limit_remove_peer(q, "b", 0);
	rate_limit_remove_peer(q, "c", 0);
	uint32_t n = 0;
	while (rate_limit_take(q, "team", RATE_LIMIT_URGENT, 10 * USEC_PER_SEC,
			       &later) == RATE_LIMIT_GRANTED)
		n++;
	EXPECT_EQ(n, 10u);
	rate_limit_destroy(q);
}

TEST(RateLimit, LowerLimit)
{
	Fleet f(4, 100, 100);
	f.run(5 * USEC_PER_SEC, each(4, 5));
	for (auto *q : f.vms)
		rate_limit_set(q, "team", 10, 10, f.now);
	f.taken.clear();
	f.run(10 * USEC_PER_SEC, each(4, 50));
	EXPECT_LE(f.max_in_window(), allowed(10, 10));
}

// VMs that hear the same peers choose the same keeper, and a keeper changes
// only if it is the VM that joined or left.
TEST(RateLimit, KeepersAgree)
{
	constexpr int kVms = 12;
	std::vector<struct rate_limit *> q;
	auto name = [](int i) { return "vm-" + std::to_string(i); };
	auto keeper = [&](int i, const std::string &team) {
		const char *k = rate_limit_keeper(q[(size_t)i], team.c_str());
		return k ? std::string(k) : name(i);
	};
	for (int i = 0; i < kVms; i++) {
		q.push_back(rate_limit_create(name(i).c_str()));
		for (int t = 0; t < 40; t++)
			rate_limit_set(q.back(), std::to_string(t).c_str(), 1,
				       1, 0);
		for (int j = 0; j < kVms; j++) {
			if (j != i)
				rate_limit_set_peer(q.back(), name(j).c_str(),
						    true, false, 0);
		}
	}
	std::vector<std::string> before;
	for (int t = 0; t < 40; t++) {
		before.push_back(keeper(0, std::to_string(t)));
		for (int i = 1; i < kVms; i++)
			EXPECT_EQ(keeper(i, std::to_string(t)), before.back());
	}
	for (int i = 0; i < kVms; i++) {
		if (i != 5)
			rate_limit_set_peer(q[(size_t)i], "vm-5", true, true,
					    0);
	}
	rate_limit_leave(q[5], 0);
	for (int t = 0; t < 40; t++) {
		std::string now = keeper(0, std::to_string(t));
		EXPECT_NE(now, "vm-5");
		if (before[(size_t)t] != "vm-5") {
			EXPECT_EQ(now, before[(size_t)t]);
		}
		for (int i = 1; i < kVms; i++)
			EXPECT_EQ(keeper(i, std::to_string(t)), now);
	}
	for (auto *x : q)
		rate_limit_destroy(x);
}

// A VM that was alone keeps its tokens when a second one joins; a VM that joins
// others has none.
TEST(RateLimit, SecondVmJoins)
{
	const struct {
		const char *name;
		bool alone;
		uint32_t tokens;
	} cases[] = {
		{ "was alone", true, 10 },
		{ "joined others", false, 0 },
	};
	for (const auto &c : cases) {
		struct rate_limit *q = rate_limit_create("a");
		usec_t later;
		usec_t now = 100 * USEC_PER_SEC;
		rate_limit_set(q, "team", 10, 10, now);
		if (c.alone)
			rate_limit_peers_listed(q, now);
		now += 5 * USEC_PER_SEC;
		rate_limit_set_peer(q, "b", false, false, now);
		rate_limit_peers_listed(q, now);
		EXPECT_EQ(rate_limit_take(q, "team", RATE_LIMIT_URGENT, now,
					  &later),
			  RATE_LIMIT_NOT_KEEPER)
			<< c.name;
		// The peer is heard but leaving: this VM is the keeper.
		rate_limit_set_peer(q, "b", true, true, now);
		uint32_t n = 0;
		while (rate_limit_take(q, "team", RATE_LIMIT_URGENT, now,
				       &later) == RATE_LIMIT_GRANTED)
			n++;
		EXPECT_EQ(n, c.tokens) << c.name;
		EXPECT_FALSE(rate_limit_is_warm(q, now)) << c.name;
		EXPECT_TRUE(rate_limit_is_warm(q, now + USEC_PER_SEC))
			<< c.name;
		rate_limit_destroy(q);
	}
}

TEST(RateLimit, UnknownTeamsAndNoRate)
{
	struct rate_limit *q = rate_limit_create("a");
	usec_t later = 0;
	EXPECT_EQ(rate_limit_take(q, "nobody", RATE_LIMIT_URGENT, 1, &later),
		  RATE_LIMIT_NOT_KEEPER);
	EXPECT_FALSE(rate_limit_take_local(q, "nobody", 1, 0.0, &later));
	EXPECT_EQ(rate_limit_keeper(q, "nobody"), nullptr);
	ASSERT_TRUE(rate_limit_set(q, "team", 0, 0, 1));
	EXPECT_EQ(rate_limit_take(q, "team", RATE_LIMIT_URGENT, 1, &later),
		  RATE_LIMIT_REFUSED);
	EXPECT_GT(later, 0);
	EXPECT_FALSE(
		rate_limit_take_local(q, "team", USEC_PER_SEC, 0.5, &later));
	rate_limit_destroy(q);
}
// Guards against tokens that go to operations that are late by then: one team
// asks for three times its rate, callers that are refused come back twice, 50
// to 250 ms later, and must have their answer within 200 ms. A fifth of the
// operations is urgent, which is 0.6 of the rate; without ranks a third of them
// got a token. Holds for teams of any size.
TEST(RateLimit, HotTeamGetsItsTokensInTime)
{
	const uint32_t rates[] = { 5, 20, 200, 2000 };

	for (uint32_t rate : rates) {
		struct rate_limit *q = rate_limit_create("a");
		const usec_t end = 20 * USEC_PER_SEC;
		const usec_t gap = USEC_PER_SEC / (3 * rate);
		std::mt19937_64 random(rate);
		std::multimap<usec_t, std::pair<usec_t, bool>> arrivals;
		double granted = 0, late = 0, urgent = 0, urgent_granted = 0;

		for (usec_t at = 0; at < end; at += gap)
			arrivals.insert({ at, { at, random() % 5 == 0 } });
		rate_limit_set(q, "team", rate, rate, 0);
		rate_limit_peers_listed(q, 0);
		while (!arrivals.empty()) {
			const auto [now, op] = *arrivals.begin();
			const auto [began_at, is_urgent] = op;
			usec_t waited = now - began_at;
			usec_t later = 0;
			enum rate_limit_rank rank = RATE_LIMIT_ON_TIME;

			arrivals.erase(arrivals.begin());
			if (waited >= 100 * USEC_PER_MSEC)
				rank = RATE_LIMIT_LATE;
			else if (is_urgent)
				rank = RATE_LIMIT_URGENT;
			urgent += is_urgent && waited == 0;
			if (rate_limit_take(q, "team", rank, now, &later) ==
			    RATE_LIMIT_GRANTED) {
				granted++;
				late += rank == RATE_LIMIT_LATE;
				urgent_granted += is_urgent;
			} else if (waited < 250 * USEC_PER_MSEC) {
				usec_t wait = 50 + random() % 200;

				arrivals.insert(
					{ now + wait * USEC_PER_MSEC, op });
			}
		}
		EXPECT_GE(granted, 0.95 * rate * 20) << rate;
		EXPECT_LE(granted, rate * 21 + 1) << rate;
		EXPECT_LE(late, 0.05 * granted) << rate;
		EXPECT_GE(urgent_granted, 0.8 * urgent) << rate;
		rate_limit_destroy(q);
	}
}

// Guards against a small burst that is kept for operations that never come.
TEST(RateLimit, SmallBurstServesAllRanks)
{
	const uint32_t bursts[] = { 1, 2, 8, 100 };

	for (uint32_t burst : bursts) {
		for (int rank = 0; rank < RATE_LIMIT_RANKS; rank++) {
			struct rate_limit *q = rate_limit_create("a");
			usec_t later = 0;
			usec_t now = 0;
			uint32_t n = 0;

			rate_limit_set(q, "team", 10, burst, 0);
			rate_limit_peers_listed(q, 0);
			for (; now < 20 * USEC_PER_SEC; now += 20000)
				n += rate_limit_take(q, "team",
						     (enum rate_limit_rank)rank,
						     now, &later) ==
				     RATE_LIMIT_GRANTED;
			EXPECT_GE(n, 170u) << burst << " " << rank;
			EXPECT_LE(n, 200 + burst) << burst << " " << rank;
			rate_limit_destroy(q);
		}
	}
}

// Guards against a table that fills up with teams that are gone, so that new
// ones have no limit. The teams of the configuration keep their tokens.
TEST(RateLimit, TeamsThatAreGoneMakeRoom)
{
	usec_t now = USEC_PER_SEC;
	usec_t retry_after = 0;
	std::unique_ptr<struct rate_limit, void (*)(struct rate_limit *)> q(
		rate_limit_create("vm"), rate_limit_destroy);
	auto name = [](int i) { return "team-" + std::to_string(i); };
	auto take = [&](const std::string &team) {
		return rate_limit_take(q.get(), team.c_str(), RATE_LIMIT_URGENT,
				       now, &retry_after);
	};
	rate_limit_peers_listed(q.get(), now);
	rate_limit_begin(q.get());
	for (int i = 0; i < RATE_LIMIT_TEAMS_MAX; i++)
		ASSERT_TRUE(
			rate_limit_set(q.get(), name(i).c_str(), 10, 10, now));
	EXPECT_FALSE(rate_limit_set(q.get(), "one more", 10, 10, now))
		<< "no team of the configuration gives up its place";
	now += 2 * USEC_PER_SEC;
	EXPECT_EQ(take(name(0)), RATE_LIMIT_GRANTED);
	// The next configuration has the first team and a new one.
	rate_limit_begin(q.get());
	rate_limit_keep(q.get(), name(0).c_str());
	rate_limit_keep(q.get(), "one more");
	ASSERT_TRUE(rate_limit_set(q.get(), "one more", 10, 10, now));
	ASSERT_TRUE(rate_limit_set(q.get(), name(0).c_str(), 10, 10, now));
	EXPECT_EQ(take(name(0)), RATE_LIMIT_GRANTED);
	EXPECT_EQ(take("one more"), RATE_LIMIT_REFUSED) << "it starts empty";
	now += USEC_PER_SEC;
	int granted = 0;
	for (int i = 0; i < 100; i++)
		granted += take("one more") == RATE_LIMIT_GRANTED;
	EXPECT_EQ(granted, 10) << "it has its limit";
}
} // namespace
