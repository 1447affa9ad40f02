#include <gtest/gtest.h>

extern "C" {
#include "decide/retry.h"
}

namespace
{
constexpr struct retry_policy kPolicy = {
	.share_permille = 100,
	.burst = 5,
	.base_us = 1000,
	.cap_us = 16000,
	.attempts_max = 3,
};

TEST(Retry, StaysWithinTheBudget)
{
	struct retry_budget b;
	uint32_t taken = 0;
	retry_budget_init(&b, &kPolicy);
	for (int i = 0; i < 10000; i++) {
		retry_budget_credit(&b, &kPolicy);
		while (retry_budget_take(&b, &kPolicy, 1))
			taken++;
	}
	EXPECT_GE(taken, 1000U);
	EXPECT_LE(taken, 1000U + kPolicy.burst);
}

TEST(Retry, FailedRequestsDoNotCreditTheBudget)
{
	struct retry_budget b;
	uint32_t taken = 0;
	retry_budget_init(&b, &kPolicy);
	for (int i = 0; i < 1000; i++)
		taken += retry_budget_take(&b, &kPolicy, 1);
	EXPECT_EQ(taken, kPolicy.burst);
}

TEST(Retry, AttemptsAreBounded)
{
	struct retry_budget b;
	retry_budget_init(&b, &kPolicy);
	EXPECT_TRUE(retry_budget_take(&b, &kPolicy, 2));
	EXPECT_FALSE(retry_budget_take(&b, &kPolicy, 3));
}

TEST(Retry, DelayIsJitteredAndBounded)
{
	const struct {
		uint32_t attempts;
		usec_t max;
	} cases[] = { { 0, 1000 }, { 1, 1000 },	 { 2, 2000 },
		      { 3, 4000 }, { 5, 16000 }, { 500, 16000 } };
	for (const auto &c : cases) {
		EXPECT_EQ(retry_backoff(&kPolicy, c.attempts, 0), 0);
		EXPECT_EQ(retry_backoff(&kPolicy, c.attempts, (uint64_t)c.max),
			  c.max);
		EXPECT_EQ(retry_backoff(&kPolicy, c.attempts,
					(uint64_t)c.max + 1),
			  0);
	}
}
} // namespace
