#include <gtest/gtest.h>

extern "C" {
#include "decide/concurrency.h"
}

namespace
{
TEST(Concurrency, StartsAtTheEvenShare)
{
	const struct {
		uint32_t max, vms, limit;
	} cases[] = {
		{ 5, 9, 1 }, { 5, 1, 5 }, { 30, 9, 3 },
		{ 0, 0, 1 }, { 4, 0, 1 },
	};
	for (const auto &c : cases) {
		struct concurrency s;
		concurrency_init(&s, c.max, c.vms);
		EXPECT_EQ(concurrency_limit(&s), c.limit)
			<< c.max << "/" << c.vms;
	}
}

TEST(Concurrency, GrowsByOnePerRoundOnlyWhileQueued)
{
	struct concurrency s;
	concurrency_init(&s, 5, 9);
	for (int i = 0; i < 100; i++)
		concurrency_on_accepted(&s, false);
	EXPECT_EQ(concurrency_limit(&s), 1u);
	concurrency_on_accepted(&s, true);
	EXPECT_EQ(concurrency_limit(&s), 2u);
	for (int i = 0; i < 100; i++)
		concurrency_on_accepted(&s, true);
	EXPECT_EQ(concurrency_limit(&s), 5u);
}

TEST(Concurrency, DecreasesOnceForRefusalsInSuccession)
{
	struct concurrency s;
	concurrency_init(&s, 10, 1);
	concurrency_on_busy(&s, 1000000);
	concurrency_on_busy(&s, 1000001);
	EXPECT_EQ(concurrency_limit(&s), 7u);
	concurrency_on_busy(&s, 1010000);
	EXPECT_EQ(concurrency_limit(&s), 4u);
	for (int i = 2; i < 30; i++)
		concurrency_on_busy(&s, 1000000 + i * 10000);
	EXPECT_EQ(concurrency_limit(&s), 1u);
}

TEST(Concurrency, FollowsAChangedNumberOfSlots)
{
	struct concurrency s;
	concurrency_init(&s, 10, 1);
	concurrency_resize(&s, 4, 1);
	EXPECT_EQ(concurrency_limit(&s), 4u);
	concurrency_resize(&s, 40, 1);
	EXPECT_EQ(concurrency_limit(&s), 4u);
}
} // namespace
