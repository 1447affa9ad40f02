#include <gtest/gtest.h>

extern "C" {
#include "decide/evacuation.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kNow = 1000 * USEC_PER_SEC;

// Guards against a statement that reaches an evacuated database, one that is
// refused although the hand-over is about to end, and one that waits in vain.
TEST(Evacuation, Statements)
{
	const struct {
		const char *name;
		usec_t known_for; // that the primary is evacuated; -1: it isn't
		bool needs_primary, inside, outside, store;
		enum evacuation_verdict verdict;
	} cases[] = {
		{ "nothing is evacuated, a read", -1, false, false, true, true,
		  EVACUATION_PROCEED },
		{ "nothing is evacuated, a write", -1, true, false, true, true,
		  EVACUATION_PROCEED },
		{ "nothing is evacuated, without the store", -1, true, false,
		  true, false, EVACUATION_PROCEED },
		{ "nothing is evacuated, no database is known", -1, false,
		  false, false, true, EVACUATION_PROCEED },
		{ "a replica is, a read", -1, false, true, true, true,
		  EVACUATION_ELSEWHERE },
		{ "a replica is, a write", -1, true, true, true, true,
		  EVACUATION_PROCEED },
		{ "all replicas are, a write", -1, true, true, false, false,
		  EVACUATION_PROCEED },
		{ "the primary is, a read", 0, false, true, true, true,
		  EVACUATION_ELSEWHERE },
		{ "the same without the store", 0, false, true, true, false,
		  EVACUATION_ELSEWHERE },
		{ "the same, long ago", 60 * USEC_PER_SEC, false, true, true,
		  true, EVACUATION_ELSEWHERE },
		{ "all are, a read", 0, false, true, false, true,
		  EVACUATION_REFUSE },
		{ "the primary is, a write", 0, true, true, true, true,
		  EVACUATION_WAIT },
		{ "the hand-over is still in its time", 3000 * kMs, true, true,
		  true, true, EVACUATION_WAIT },
		{ "it has had its time", 3001 * kMs, true, true, true, true,
		  EVACUATION_REFUSE },
		{ "the store does not answer", 0, true, true, true, false,
		  EVACUATION_REFUSE },
		{ "all are, a write", 0, true, true, false, true,
		  EVACUATION_REFUSE },
	};
	for (const auto &c : cases) {
		struct evacuation_view v = {};
		v.now = kNow;
		v.primary_since = c.known_for < 0 ? 0 : kNow - c.known_for;
		v.needs_primary = c.needs_primary;
		v.any_inside = c.inside;
		v.any_outside = c.outside;
		v.store_answers = c.store;
		EXPECT_EQ(evacuation_check_statement(&v), c.verdict) << c.name;
	}
}

// Guards against transactions that are cut off at once, and against ones that
// go on until statements must have stopped.
TEST(Evacuation, OpenTransactions)
{
	const struct {
		const char *name;
		usec_t known_for; // -1: the database is not evacuated
		usec_t limit;
		bool ends;
	} cases[] = {
		{ "not evacuated", -1, 5000 * kMs, false },
		{ "just evacuated", 0, 5000 * kMs, false },
		{ "almost a quarter", 1249 * kMs, 5000 * kMs, false },
		{ "a quarter", 1250 * kMs, 5000 * kMs, true },
		{ "long ago", 60 * USEC_PER_SEC, 5000 * kMs, true },
		{ "a shorter limit", 500 * kMs, 2000 * kMs, true },
		{ "no time at all", 0, 0, true },
	};
	for (const auto &c : cases) {
		usec_t since = c.known_for < 0 ? 0 : kNow - c.known_for;
		EXPECT_EQ(evacuation_ends_transaction(since, c.limit, kNow),
			  c.ends)
			<< c.name;
	}
}
} // namespace
