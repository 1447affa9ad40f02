#include <gtest/gtest.h>

extern "C" {
#include "decide/promotion_claim.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kLasts = 5000 * kMs;
constexpr usec_t kNow = 100 * USEC_PER_SEC;

constexpr auto kNone = PROMOTION_CLAIM_NONE;
constexpr auto kHeld = PROMOTION_CLAIM_HELD;
constexpr auto kPromoting = PROMOTION_CLAIM_PROMOTING;
constexpr auto kClosed = PROMOTION_CLAIM_CLOSED;

// The record is checked "after" microseconds after it was first seen.
TEST(PromotionClaim, FreeWhenNoPromotionIsInProgress)
{
	const struct {
		const char *name;
		struct promotion_claim record;
		uint64_t term; // the group's term as known here
		bool settled;
		usec_t after;
		enum promotion_claim_verdict verdict;
	} cases[] = {
		{ "none recorded yet",
		  { kNone, { 3, 0 }, 0, false },
		  1,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE },
		{ "none recorded, the era may be new",
		  { kNone, { 3, 0 }, 0, false },
		  1,
		  false,
		  kLasts,
		  PROMOTION_CLAIM_UNSETTLED },
		{ "claimed only",
		  { kHeld, { 3, 7 }, 1, false },
		  1,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE },
		{ "a record tells that the era is settled",
		  { kHeld, { 3, 7 }, 1, false },
		  1,
		  false,
		  0,
		  PROMOTION_CLAIM_FREE },
		{ "claimed at a certain term",
		  { kHeld, { 3, 7 }, 1, true },
		  1,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE_CERTAIN },
		{ "claimed at a certain term, another known here",
		  { kHeld, { 3, 7 }, 2, true },
		  1,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE },
		{ "promotes, first seen now",
		  { kPromoting, { 3, 7 }, 1, true },
		  1,
		  true,
		  0,
		  PROMOTION_CLAIM_BUSY },
		{ "promotes, just before the timeout",
		  { kPromoting, { 3, 7 }, 1, false },
		  1,
		  true,
		  kLasts - kMs,
		  PROMOTION_CLAIM_BUSY },
		{ "promotes, timeout passed",
		  { kPromoting, { 3, 7 }, 1, true },
		  1,
		  true,
		  kLasts,
		  PROMOTION_CLAIM_FREE },
		{ "a later term is known: of this promotion",
		  { kPromoting, { 3, 7 }, 1, true },
		  2,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE },
		{ "a later term is known: it may be of one before",
		  { kPromoting, { 3, 7 }, 1, false },
		  2,
		  true,
		  0,
		  PROMOTION_CLAIM_BUSY },
		{ "only an older term is known",
		  { kPromoting, { 3, 7 }, 3, false },
		  2,
		  true,
		  0,
		  PROMOTION_CLAIM_BUSY },
		{ "closed at the known term",
		  { kClosed, { 3, 7 }, 2, false },
		  2,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE_CERTAIN },
		{ "closed at a later term",
		  { kClosed, { 3, 7 }, 3, false },
		  2,
		  true,
		  kLasts,
		  PROMOTION_CLAIM_OUTDATED },
		{ "closed at an earlier term",
		  { kClosed, { 3, 7 }, 1, false },
		  2,
		  true,
		  0,
		  PROMOTION_CLAIM_FREE },
	};
	for (const auto &c : cases) {
		struct promotion_claim_sighting s = {};
		promotion_claim_check(&s, &c.record, c.term, c.settled, kNow,
				      kLasts);
		EXPECT_EQ(promotion_claim_check(&s, &c.record, c.term,
						c.settled, kNow + c.after,
						kLasts),
			  c.verdict)
			<< c.name;
	}
}

// A new position is another promotion, whose time starts over. A restored store
// gives the same revision to another record.
TEST(PromotionClaim, NewPositionRestartsTimeout)
{
	const struct {
		const char *name;
		struct store_position next;
	} cases[] = {
		{ "next revision", { 3, 8 } },
		{ "same revision in the next era", { 4, 7 } },
	};
	for (const auto &c : cases) {
		struct promotion_claim_sighting s = {};
		struct promotion_claim r = { kPromoting, { 3, 7 }, 1, false };
		auto check = [&](usec_t now) {
			return promotion_claim_check(&s, &r, 1, true, now,
						     kLasts);
		};
		EXPECT_EQ(check(kNow), PROMOTION_CLAIM_BUSY) << c.name;
		r.at = c.next;
		EXPECT_EQ(check(kNow + kLasts), PROMOTION_CLAIM_BUSY) << c.name;
		EXPECT_EQ(check(kNow + 2 * kLasts), PROMOTION_CLAIM_FREE)
			<< c.name;
	}
}

// A VM with a proof of the primary closes the record, but not while another VM
// may be promoting.
TEST(PromotionClaim, ClosedOnlyWhenNobodyIsAtWork)
{
	const struct {
		const char *name;
		struct promotion_claim record;
		uint64_t term;
		bool settled;
		usec_t after;
		bool may;
	} cases[] = {
		{ "no record",
		  { kNone, { 3, 0 }, 0, false },
		  1,
		  true,
		  0,
		  true },
		{ "no record in a new era",
		  { kNone, { 3, 0 }, 0, false },
		  1,
		  false,
		  kLasts,
		  false },
		{ "just claimed",
		  { kHeld, { 3, 7 }, 1, false },
		  1,
		  true,
		  kLasts - kMs,
		  false },
		{ "claimed long ago",
		  { kHeld, { 3, 7 }, 1, false },
		  1,
		  true,
		  kLasts,
		  true },
		{ "promoting",
		  { kPromoting, { 3, 7 }, 1, false },
		  1,
		  true,
		  0,
		  false },
		{ "promoting long ago",
		  { kPromoting, { 3, 7 }, 1, false },
		  1,
		  true,
		  kLasts,
		  true },
		{ "promoted",
		  { kPromoting, { 3, 7 }, 1, true },
		  2,
		  true,
		  0,
		  true },
		{ "promoting, the later term may be of one before",
		  { kPromoting, { 3, 7 }, 1, false },
		  2,
		  true,
		  0,
		  false },
		{ "closed already",
		  { kClosed, { 3, 7 }, 2, false },
		  2,
		  true,
		  kLasts,
		  false },
		{ "closed at an earlier term",
		  { kClosed, { 3, 7 }, 1, false },
		  2,
		  true,
		  0,
		  true },
		{ "closed at a later term",
		  { kClosed, { 3, 7 }, 3, false },
		  2,
		  true,
		  kLasts,
		  false },
	};
	for (const auto &c : cases) {
		struct promotion_claim_sighting s = {};
		promotion_claim_may_close(&s, &c.record, c.term, c.settled,
					  kNow, kLasts);
		EXPECT_EQ(promotion_claim_may_close(&s, &c.record, c.term,
						    c.settled, kNow + c.after,
						    kLasts),
			  c.may)
			<< c.name;
	}
}
} // namespace
