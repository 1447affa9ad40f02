#include <gtest/gtest.h>

extern "C" {
#include "decide/promotion_claim.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kLasts = 5000 * kMs;
constexpr usec_t kNow = 100 * USEC_PER_SEC;

// The record has revision 7 and is checked "after" microseconds after it was
// first seen.
TEST(PromotionClaim, FreeWhenNoPromotionIsInProgress)
{
	const struct {
		const char *name;
		struct promotion_claim record;
		uint64_t term; // the group's term as known here
		usec_t after;
		bool free;
	} cases[] = {
		{ "none recorded yet", { 0, false, 0 }, 1, 0, true },
		{ "claimed only", { 7, false, 0 }, 1, 0, true },
		{ "promotes, first seen now", { 7, true, 1 }, 1, 0, false },
		{ "promotes, just before the timeout",
		  { 7, true, 1 },
		  1,
		  4999 * kMs,
		  false },
		{ "promotes, timeout passed", { 7, true, 1 }, 1, kLasts, true },
		{ "a later term is known", { 7, true, 1 }, 2, 0, true },
		{ "only an older term is known", { 7, true, 3 }, 2, 0, false },
	};
	for (const auto &c : cases) {
		struct promotion_claim_sighting s = {};
		promotion_claim_is_replaceable(&s, &c.record, c.term, kNow,
					       kLasts);
		EXPECT_EQ(promotion_claim_is_replaceable(&s, &c.record, c.term,
							 kNow + c.after,
							 kLasts),
			  c.free)
			<< c.name;
	}
}

// A new revision is another promotion, whose time starts over.
TEST(PromotionClaim, NewRevisionRestartsTimeout)
{
	struct promotion_claim_sighting s = {};
	struct promotion_claim r = { 7, true, 1 };
	EXPECT_FALSE(promotion_claim_is_replaceable(&s, &r, 1, kNow, kLasts));
	r.revision = 8;
	EXPECT_FALSE(promotion_claim_is_replaceable(&s, &r, 1, kNow + kLasts,
						    kLasts));
	EXPECT_TRUE(promotion_claim_is_replaceable(&s, &r, 1, kNow + 2 * kLasts,
						   kLasts));
}
} // namespace
