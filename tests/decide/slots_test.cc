#include <gtest/gtest.h>

extern "C" {
#include "decide/slots.h"
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
		struct slots s;
		slots_init(&s, c.max, c.vms);
		EXPECT_EQ(slots_limit(&s), c.limit) << c.max << "/" << c.vms;
	}
}

TEST(Concurrency, GrowsByOnePerRoundOnlyWhileQueued)
{
	struct slots s;
	slots_init(&s, 5, 9);
	for (int i = 0; i < 100; i++)
		slots_taken(&s, false);
	EXPECT_EQ(slots_limit(&s), 1u);
	slots_taken(&s, true);
	EXPECT_EQ(slots_limit(&s), 2u);
	for (int i = 0; i < 100; i++)
		slots_taken(&s, true);
	EXPECT_EQ(slots_limit(&s), 5u);
}

TEST(Concurrency, DecreasesOnceForRefusalsInSuccession)
{
	struct slots s;
	slots_init(&s, 10, 1);
	slots_busy(&s, 1000000);
	slots_busy(&s, 1000001);
	EXPECT_EQ(slots_limit(&s), 7u);
	slots_busy(&s, 1010000);
	EXPECT_EQ(slots_limit(&s), 4u);
	for (int i = 2; i < 30; i++)
		slots_busy(&s, 1000000 + i * 10000);
	EXPECT_EQ(slots_limit(&s), 1u);
}

TEST(Concurrency, FollowsAChangedNumberOfSlots)
{
	struct slots s;
	slots_init(&s, 10, 1);
	slots_resize(&s, 4, 1);
	EXPECT_EQ(slots_limit(&s), 4u);
	slots_resize(&s, 40, 1);
	EXPECT_EQ(slots_limit(&s), 4u);
}
} // namespace
