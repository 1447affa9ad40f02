#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/admit.h"
#include "decide/drain.h"
}

namespace
{
using Admit = std::unique_ptr<struct admit, void (*)(struct admit *)>;

Admit make(uint32_t slots, uint32_t queue_max)
{
	const struct admit_limits l = { slots, queue_max, 0 };
	return Admit(admit_create(&l), admit_destroy);
}

struct Req {
	std::string team;
	int number;
};

struct Push {
	enum admit_push_result result;
	admit_handle handle;
	int64_t retry_after_ms;
	struct error error;
};

Push push(struct admit *a, Req *r, usec_t now, usec_t deadline,
	  uint32_t weight = 1)
{
	Push p = {};
	p.result = admit_push(a, r->team.c_str(), weight, r, now, deadline, 7,
			      &p.handle, &p.retry_after_ms, &p.error);
	return p;
}

std::string pop(struct admit *a)
{
	auto *r = (Req *)admit_pop(a, 0);
	return r ? r->team + std::to_string(r->number) : "";
}

TEST(Admit, RunsUpToTheSlotsThenInFairOrder)
{
	Admit a = make(1, 100);
	std::deque<Req> reqs;
	auto offer = [&](const char *team, int i, uint32_t w = 1) {
		reqs.push_back({ team, i });
		return push(a.get(), &reqs.back(), 0, 1000000, w).result;
	};
	EXPECT_EQ(offer("a", 0), ADMIT_RUN);
	for (int i = 1; i <= 6; i++)
		EXPECT_EQ(offer("a", i), ADMIT_QUEUED);
	EXPECT_EQ(offer("b", 1), ADMIT_QUEUED);
	for (int i = 1; i <= 4; i++)
		EXPECT_EQ(offer("c", i, 2), ADMIT_QUEUED);
	EXPECT_EQ(pop(a.get()), "") << "no slot";
	std::vector<std::string> got;
	for (int i = 0; i < 11; i++) {
		admit_done(a.get(), 0, 100);
		got.push_back(pop(a.get()));
	}
	EXPECT_EQ(got,
		  (std::vector<std::string>{ "a1", "b1", "c1", "c2", "a2", "c3",
					     "c4", "a3", "a4", "a5", "a6" }));
	EXPECT_EQ(admit_waiting(a.get()), 0u);
	EXPECT_EQ(admit_running(a.get()), 1u);
}

TEST(Admit, RefusesRequestsThatWouldMissTheirDeadline)
{
	Admit a = make(2, 100);
	std::deque<Req> reqs;
	for (int i = 0; i < 40; i++)
		reqs.push_back({ "a", i });
	push(a.get(), &reqs[0], 0, 1000);
	admit_done(a.get(), 0, 10000); // sets the average to 10 ms
	push(a.get(), &reqs[0], 0, 1000);
	push(a.get(), &reqs[1], 0, 1000);
	Push p = push(a.get(), &reqs[2], 0, 4000);
	EXPECT_EQ(p.result, ADMIT_REFUSED);
	EXPECT_EQ(p.error.code, ERR_OVERLOAD);
	EXPECT_EQ(p.error.step, STEP_QUEUE);
	EXPECT_GE(p.retry_after_ms, 5);
	EXPECT_EQ(push(a.get(), &reqs[2], 0, 6000).result, ADMIT_QUEUED);
	EXPECT_EQ(push(a.get(), &reqs[3], 0, 6000).result, ADMIT_REFUSED);
	EXPECT_EQ(push(a.get(), &reqs[3], 0, 60000).result, ADMIT_QUEUED);
	EXPECT_EQ(push(a.get(), &reqs[4], 9, 9).error.code, ERR_DEADLINE);
}

TEST(Admit, OverloadingTeamLeavesRoomForOthers)
{
	Admit a = make(1, 100);
	std::deque<Req> reqs;
	reqs.push_back({ "x", 0 });
	push(a.get(), &reqs.back(), 0, 1);
	int queued = 0;
	for (int i = 0; i < 1000; i++) {
		reqs.push_back({ "big", i });
		if (push(a.get(), &reqs.back(), 0, 1000000).result ==
		    ADMIT_QUEUED)
			queued++;
	}
	EXPECT_EQ(queued, 50);
	int small = 0;
	for (int i = 0; i < 50; i++) {
		reqs.push_back({ "small" + std::to_string(i), i });
		if (push(a.get(), &reqs.back(), 0, 1000000).result ==
		    ADMIT_QUEUED)
			small++;
	}
	EXPECT_EQ(small, 50) << "the surge fills the queue to its bound";
	EXPECT_EQ(admit_waiting(a.get()), 100u);
}

TEST(Admit, HoldThenReleaseByRamp)
{
	Admit a = make(4, 100);
	std::deque<Req> reqs;
	admit_hold(a.get());
	for (int i = 0; i < 10; i++) {
		reqs.push_back({ "a", i });
		EXPECT_EQ(push(a.get(), &reqs.back(), 0, 100 + i).result,
			  ADMIT_QUEUED);
	}
	EXPECT_EQ(pop(a.get()), "");
	EXPECT_EQ(admit_next_deadline(a.get()), 100);
	auto *r = (Req *)admit_expire(a.get(), 100);
	ASSERT_NE(r, nullptr);
	EXPECT_EQ(r->number, 0);
	EXPECT_EQ(admit_expire(a.get(), 100), nullptr);
	admit_release(a.get(), 1);
	std::vector<std::string> got = { pop(a.get()), pop(a.get()) };
	EXPECT_EQ(got, (std::vector<std::string>{ "a1", "" }));
	admit_done(a.get(), 0, 5);
	got = { pop(a.get()), pop(a.get()), pop(a.get()) };
	EXPECT_EQ(got, (std::vector<std::string>{ "a2", "a3", "" }));
	for (int i = 0; i < 2; i++)
		admit_done(a.get(), 0, 5);
	for (int i = 4; i <= 7; i++)
		EXPECT_EQ(pop(a.get()), "a" + std::to_string(i));
	EXPECT_EQ(pop(a.get()), "");
}

TEST(Admit, TeamsWithinTheirFairShareLoseNothing)
{
	Admit a = make(3, 600);
	std::mt19937 rng(11);
	std::map<std::string, int> lost;
	std::deque<Req> reqs;
	std::deque<usec_t> ends; // of running requests, earliest first
	for (usec_t now = 0; now < 20000000; now += 1000) {
		while (!ends.empty() && ends.front() <= now) {
			ends.pop_front();
			admit_done(a.get(), now, 10000);
		}
		for (int t = 0; t < 8; t++) {
			// The capacity is 300/s and the fair share 37/s. Team 0
			// offers 10 times that, the others less.
			int per_s = t == 0 ? 370 : 30;
			if ((int)(rng() % 1000) >= per_s)
				continue;
			reqs.push_back({ std::to_string(t), 0 });
			Push p = push(a.get(), &reqs.back(), now, now + 500000);
			if (p.result == ADMIT_RUN)
				ends.push_back(now + 10000);
			if (p.result == ADMIT_REFUSED)
				lost[reqs.back().team]++;
		}
		while (auto *r = (Req *)admit_expire(a.get(), now))
			lost[r->team]++;
		while (admit_pop(a.get(), now))
			ends.push_back(now + 10000);
	}
	EXPECT_GT(lost["0"], 1000) << "there is an overload";
	for (int t = 1; t < 8; t++)
		EXPECT_EQ(lost[std::to_string(t)], 0) << "team " << t;
}

// Compares random pushes, pops, removals and expiries with a simple model.
TEST(Admit, NoRequestIsLostOrDuplicated)
{
	for (unsigned seed = 0; seed < 100; seed++) {
		std::mt19937 rng(seed);
		Admit a = make(2, 20);
		std::deque<Req> reqs;
		std::map<Req *, admit_handle> queued;
		uint32_t running = 0;
		for (usec_t now = 0; now < 400; now++) {
			Req *out = nullptr;
			switch (rng() % 5) {
			case 0:
			case 1: {
				reqs.push_back(
					{ std::to_string(rng() % 5), 0 });
				Push p = push(a.get(), &reqs.back(), now,
					      now + 5 + rng() % 50,
					      1 + rng() % 3);
				if (p.result == ADMIT_RUN)
					running++;
				if (p.result == ADMIT_QUEUED)
					queued[&reqs.back()] = p.handle;
				break;
			}
			case 2:
				out = (Req *)admit_pop(a.get(), now);
				running += out ? 1 : 0;
				break;
			case 3:
				out = (Req *)admit_expire(a.get(), now);
				break;
			case 4:
				if (!queued.empty() && rng() % 4 == 0) {
					auto it = queued.begin();
					EXPECT_EQ(admit_remove(a.get(),
							       it->second),
						  it->first);
					EXPECT_EQ(admit_remove(a.get(),
							       it->second),
						  nullptr);
					queued.erase(it);
				} else if (running > 0) {
					admit_done(a.get(), now, 3);
					running--;
				}
				break;
			}
			if (out) {
				ASSERT_EQ(queued.erase(out), 1u);
			}
			ASSERT_EQ(admit_waiting(a.get()), queued.size());
			ASSERT_EQ(admit_running(a.get()), running);
			ASSERT_LE(running, 2u);
		}
	}
}

TEST(Drain, PhasesInOrder)
{
	const struct drain_limits l = { 100, 1000, 50 };
	struct drain d;
	drain_init(&d);
	const struct {
		const char *name;
		usec_t now;
		struct drain_load load;
		enum drain_phase want;
	} steps[] = {
		{ "notice not over", 99, { 5, 1, 2, 3 }, DRAIN_NOTICE },
		{ "requests running", 100, { 5, 1, 2, 3 }, DRAIN_REFUSE },
		{ "transactions open", 200, { 0, 1, 2, 3 }, DRAIN_REFUSE },
		{ "shares held", 300, { 0, 0, 2, 3 }, DRAIN_GIVE },
		{ "connections open", 320, { 0, 0, 0, 3 }, DRAIN_CLOSE },
		{ "nothing left: exit", 330, { 0, 0, 0, 0 }, DRAIN_EXIT },
	};
	EXPECT_TRUE(drain_is_ready(&d));
	EXPECT_EQ(drain_next_at(&d, &l), INT64_MAX);
	EXPECT_EQ(drain_tick(&d, &l, &steps[0].load, 0), DRAIN_SERVING);
	drain_begin(&d, 0);
	drain_begin(&d, 90);
	EXPECT_FALSE(drain_is_ready(&d));
	EXPECT_TRUE(drain_accepts_statements(&d));
	EXPECT_EQ(drain_next_at(&d, &l), 100);
	for (const auto &s : steps)
		EXPECT_EQ(drain_tick(&d, &l, &s.load, s.now), s.want) << s.name;
	EXPECT_FALSE(d.forced);
	EXPECT_FALSE(drain_accepts_transactions(&d));
	EXPECT_STREQ(drain_phase_name(d.phase), "exit");
}

TEST(Drain, EndsWithinItsTimeLimit)
{
	const struct drain_limits l = { 100, 1000, 50 };
	const struct drain_load stuck = { 1, 0, 1, 1 };
	const struct drain_load share_left = { 0, 0, 1, 0 };
	struct drain d;
	drain_init(&d);
	drain_begin(&d, 0);
	EXPECT_EQ(drain_tick(&d, &l, &stuck, 999), DRAIN_REFUSE);
	EXPECT_EQ(drain_tick(&d, &l, &stuck, 1000), DRAIN_EXIT);
	EXPECT_TRUE(d.forced);
	drain_init(&d);
	drain_begin(&d, 0);
	drain_tick(&d, &l, &share_left, 100);
	EXPECT_EQ(d.phase, DRAIN_GIVE);
	EXPECT_EQ(drain_tick(&d, &l, &share_left, 150), DRAIN_EXIT);
	EXPECT_FALSE(d.forced) << "reconciliation recovers the lost share";
}
} // namespace
