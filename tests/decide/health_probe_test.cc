#include <gtest/gtest.h>

extern "C" {
#include "decide/health_probe.h"
}

namespace
{
constexpr usec_t kNow = 50 * USEC_PER_SEC;
constexpr struct health_probe_policy kPolicy = {
	.busy_us = 1000,
	.active_us = 50000,
	.idle_us = 500000,
	.active_for_us = 5 * USEC_PER_SEC,
	.reply_us = 100000,
	.backoff_max_us = 2 * USEC_PER_SEC,
};

TEST(HealthProbe, Due)
{
	const usec_t never = 0;
	const struct {
		const char *name;
		struct health_probe p;
		struct health_probe_demand need;
		bool primary;
		usec_t due;
	} cases[] = {
		{ "never probed", {}, { 0, false, never }, false, kNow },
		{ "idle",
		  { 0, kNow, kNow, 0, 0 },
		  { 0, false, never },
		  false,
		  kNow + 500000 },
		{ "active",
		  { 0, kNow, kNow, 0, 0 },
		  { 0, false, kNow },
		  false,
		  kNow + 50000 },
		{ "writes wait, replica",
		  { 0, kNow, kNow, 0, 0 },
		  { 3, false, kNow },
		  false,
		  kNow + 1000 },
		{ "writes wait, primary",
		  { 0, kNow, kNow, 0, 0 },
		  { 3, false, kNow },
		  true,
		  kNow + 50000 },
		{ "promotion in progress",
		  { 0, kNow, kNow, 0, 0 },
		  { 0, true, kNow },
		  true,
		  kNow + 1000 },
		{ "heard by a statement's response",
		  { 0, kNow, kNow - 40000, 0, 0 },
		  { 0, false, kNow },
		  false,
		  kNow + 50000 },
		{ "probe pending",
		  { kNow - 10, 0, kNow - 10, 0, 0 },
		  { 3, false, kNow },
		  false,
		  kNow - 10 + 100000 },
		{ "two misses",
		  { 0, 1, kNow, 2, 1 },
		  { 3, false, kNow },
		  false,
		  kNow + 4000 },
		{ "many misses",
		  { 0, 1, kNow, 99, 1 },
		  { 0, false, never },
		  false,
		  kNow + 2 * USEC_PER_SEC },
		{ "primary, many misses",
		  { 0, 1, kNow, 9, 1 },
		  { 0, false, kNow },
		  true,
		  kNow + 50000 },
	};
	for (const auto &c : cases)
		EXPECT_EQ(health_probe_due(&c.p, &kPolicy, &c.need, c.primary,
					   kNow),
			  c.due)
			<< c.name;
}

TEST(HealthProbe, SilenceIsMeasuredFromFirstUnansweredProbe)
{
	struct health_probe p = {};
	health_probe_sent(&p, 1000);
	EXPECT_EQ(p.unanswered_at, 1000);
	EXPECT_FALSE(health_probe_expire(&p, &kPolicy, 100999));
	EXPECT_TRUE(health_probe_expire(&p, &kPolicy, 101000));
	EXPECT_FALSE(health_probe_expire(&p, &kPolicy, 102000));
	health_probe_sent(&p, 110000);
	EXPECT_EQ(p.unanswered_at, 1000);
	EXPECT_EQ(p.misses, 1U);
	health_probe_answered(&p, 110000);
	EXPECT_EQ(p.unanswered_at, 0);
	EXPECT_EQ(p.misses, 0U);
	EXPECT_EQ(p.pending_since, 0);
}

TEST(HealthProbe, ResponseToEarlierRequestKeepsProbePending)
{
	struct health_probe p = {};
	health_probe_sent(&p, 2000);
	health_probe_answered(&p, 1500);
	EXPECT_EQ(p.pending_since, 2000);
	EXPECT_EQ(p.unanswered_at, 2000);
	EXPECT_EQ(p.answered_at, 1500);
}
} // namespace
