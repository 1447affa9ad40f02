#include <gtest/gtest.h>

extern "C" {
#include "decide/duty.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kLasts = 5000 * kMs;
constexpr usec_t kNow = 100 * USEC_PER_SEC;

// The record of revision 7, as it is looked at "after" its first sight.
TEST(Duty, FreeWhenNoPromotionIsUnderWay)
{
	const struct {
		const char *name;
		struct duty_record record;
		uint64_t term; // known here
		usec_t after;
		bool free;
	} cases[] = {
		{ "none yet", { 0, false, 0 }, 1, 0, true },
		{ "claimed only", { 7, false, 0 }, 1, 0, true },
		{ "promotes now", { 7, true, 1 }, 1, 0, false },
		{ "promotes, a moment later",
		  { 7, true, 1 },
		  1,
		  4999 * kMs,
		  false },
		{ "has had the time", { 7, true, 1 }, 1, kLasts, true },
		{ "its term is known", { 7, true, 1 }, 2, 0, true },
		{ "an older term here", { 7, true, 3 }, 2, 0, false },
	};
	for (const auto &c : cases) {
		struct duty_sight s = {};
		duty_is_free(&s, &c.record, c.term, kNow, kLasts);
		EXPECT_EQ(duty_is_free(&s, &c.record, c.term, kNow + c.after,
				       kLasts),
			  c.free)
			<< c.name;
	}
}

// Another record is another promotion: its time begins anew.
TEST(Duty, AnotherRecordBeginsAnew)
{
	struct duty_sight s = {};
	struct duty_record r = { 7, true, 1 };
	EXPECT_FALSE(duty_is_free(&s, &r, 1, kNow, kLasts));
	r.revision = 8;
	EXPECT_FALSE(duty_is_free(&s, &r, 1, kNow + kLasts, kLasts));
	EXPECT_TRUE(duty_is_free(&s, &r, 1, kNow + 2 * kLasts, kLasts));
}
} // namespace
