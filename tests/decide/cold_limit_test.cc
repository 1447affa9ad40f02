#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "decide/cold_limit.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kS = USEC_PER_SEC;

// Returns the most statements in any sliding second.
size_t most_in_a_second(std::vector<usec_t> sent)
{
	std::sort(sent.begin(), sent.end());
	size_t most = 0;
	for (size_t first = 0, last = 0; last < sent.size(); last++) {
		while (sent[last] - sent[first] >= kS)
			first++;
		most = std::max(most, last - first + 1);
	}
	return most;
}

TEST(ColdLimit, Rules)
{
	constexpr struct cold_limit_policy kLimited = { 10000, 1500 };
	constexpr struct cold_limit_policy kNone = { 0, 1500 };
	constexpr struct cold_limit_policy kNoOverage = { 10000, 0 };
	const struct {
		const char *name;
		struct cold_limit_policy policy;
		bool is_owner;
		usec_t owner_for;
		bool granted;
	} cases[] = {
		{ "no limit", kNone, false, 0, true },
		{ "not the owner", kLimited, false, 0, false },
		{ "a new owner", kLimited, true, 900 * kMs, false },
		{ "an owner", kLimited, true, 1000 * kMs, true },
		{ "nothing beyond the rate is known", kNoOverage, true, 2 * kS,
		  true },
	};
	for (const auto &c : cases) {
		struct cold_limit limit = {};
		cold_limit_set_owner(&limit, c.is_owner, 100 * kS);
		EXPECT_EQ(cold_limit_take(&limit, &c.policy,
					  100 * kS + c.owner_for),
			  c.granted)
			<< c.name;
	}
}

// Guards against a herd that meets databases which have just come back: however
// many statements wait, each second has no more than the limit, also while the
// database changes its owner and while two VMs take themselves for it.
TEST(ColdLimit, NoSecondAboveTheLimit)
{
	const struct {
		const char *name;
		uint64_t milli_per_s;
		usec_t change_every; // of the owner
		usec_t overlap;	     // both take themselves for the owner
	} cases[] = {
		{ "one owner", 20000, 60 * kS, 0 },
		{ "a change", 20000, 5 * kS, 0 },
		{ "changes in a row", 20000, 300 * kMs, 0 },
		{ "changes with overlaps", 20000, 3 * kS, 2 * kS },
		{ "two owners all the while", 100000, 60 * kS, 60 * kS },
		{ "a low rate", 500, 4 * kS, 2 * kS },
	};
	constexpr double kOverage = 1.5;
	constexpr size_t kSlack = 5;
	for (const auto &c : cases) {
		const struct cold_limit_policy policy = { c.milli_per_s, 1500 };
		struct cold_limit limits[2] = {};
		std::mt19937_64 random(7);
		std::vector<usec_t> sent;
		for (usec_t now = kS; now < 60 * kS;
		     now += (usec_t)(random() % 4000)) {
			size_t owner = (size_t)(now / c.change_every) % 2;
			bool both = now % c.change_every < c.overlap;
			for (size_t vm = 0; vm < 2; vm++) {
				cold_limit_set_owner(&limits[vm],
						     vm == owner || both, now);
				if (cold_limit_take(&limits[vm], &policy, now))
					sent.push_back(now);
			}
		}
		EXPECT_LE(most_in_a_second(sent),
			  (size_t)((double)c.milli_per_s / 1000 * kOverage) +
				  kSlack)
			<< c.name;
	}
}

// An owner that stays uses the rate that it may.
TEST(ColdLimit, RateIsUsed)
{
	constexpr struct cold_limit_policy kPolicy = { 20000, 2000 };
	struct cold_limit limit = {};
	size_t n = 0;
	cold_limit_set_owner(&limit, true, kS);
	for (usec_t now = 2 * kS; now < 12 * kS; now += kMs)
		n += cold_limit_take(&limit, &kPolicy, now);
	EXPECT_NEAR((double)n, 200, 10);
}

// Guards against statements that wait for a turn that comes after their end.
TEST(ColdLimit, Wait)
{
	constexpr struct cold_limit_policy kLimited = { 10000, 2000 };
	constexpr struct cold_limit_policy kNone = { 0, 2000 };
	constexpr struct cold_limit_policy kNothing = { 10000, 0 };
	const struct {
		const char *name;
		struct cold_limit_policy policy;
		usec_t owner_for;
		uint32_t ahead;
		usec_t wait;
	} cases[] = {
		{ "no limit", kNone, 0, 100, 0 },
		{ "a new owner", kLimited, 0, 0, 1000 * kMs },
		{ "a new owner, others go first", kLimited, 200 * kMs, 5,
		  1300 * kMs },
		{ "its turn", kLimited, 2 * kS, 0, 0 },
		{ "others go first", kLimited, 2 * kS, 5, 500 * kMs },
		{ "never", kNothing, 2 * kS, UINT32_MAX, 3600 * kS },
	};
	for (const auto &c : cases) {
		struct cold_limit limit = {};
		cold_limit_set_owner(&limit, true, 100 * kS);
		EXPECT_NEAR((double)cold_limit_wait(&limit, &c.policy, c.ahead,
						    100 * kS + c.owner_for),
			    (double)c.wait, (double)kMs)
			<< c.name;
	}
}

// Guards against statements whose connections lack much of their sessions'
// state: what is sent along counts too.
TEST(ColdLimit, RequestsSentAlongCount)
{
	constexpr struct cold_limit_policy kPolicy = { 10000, 2000 };
	constexpr uint32_t kAlong = 4;
	struct cold_limit limit = {};
	std::vector<usec_t> sent;
	cold_limit_set_owner(&limit, true, kS);
	for (usec_t now = 2 * kS; now < 12 * kS; now += kMs) {
		if (!cold_limit_take(&limit, &kPolicy, now))
			continue;
		cold_limit_add(&limit, &kPolicy, kAlong);
		sent.insert(sent.end(), kAlong + 1, now);
	}
	EXPECT_NEAR((double)sent.size(), 100, 10);
	EXPECT_LE(most_in_a_second(sent), 15U);
}
} // namespace
