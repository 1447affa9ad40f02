#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "decide/call_retry.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

TEST(CallRetry, LimitFollowsWhatAnswersTake)
{
	const struct {
		const char *name;
		std::vector<usec_t> took; // in ms, one answer after the other
		usec_t limit;		  // in ms
	} cases[] = {
		{ "no answer yet", {}, 250 },
		{ "usual answers", { 4, 4, 4 }, 250 },
		{ "60 times as slow", { 4, 240 }, 480 },
		{ "120 times as slow", { 4, 480 }, 750 },
		{ "one that took most of the time", { 4, 5000 }, 750 },
		{ "a short one after a long one", { 200, 4 }, 302 },
		{ "fast again", { 480, 4, 4, 4, 4 }, 309 },
	};
	for (const auto &c : cases) {
		struct call_retry r = {};
		for (usec_t took : c.took)
			call_retry_answered(&r, took * kMs);
		EXPECT_EQ(call_retry_limit(&r) / kMs, c.limit) << c.name;
	}
}

TEST(CallRetry, OverdueCallIsRepeatedOnceAndOnlyIfThatIsSafe)
{
	const struct {
		const char *name;
		enum call_retry_kind kind;
		bool is_repeat, is_no_help;
		enum call_retry_act act;
	} cases[] = {
		{ "read", CALL_RETRY_REPEAT, false, false,
		  CALL_RETRY_ACT_REPEAT },
		{ "read, second time", CALL_RETRY_REPEAT, true, false,
		  CALL_RETRY_ACT_WAIT },
		{ "read, while repeating does not help", CALL_RETRY_REPEAT,
		  false, true, CALL_RETRY_ACT_WAIT },
		{ "conditional write", CALL_RETRY_READ_BACK, false, false,
		  CALL_RETRY_ACT_GIVE_UP },
		{ "conditional write, while repeating does not help",
		  CALL_RETRY_READ_BACK, false, true, CALL_RETRY_ACT_WAIT },
		{ "promotion", CALL_RETRY_NEVER, false, false,
		  CALL_RETRY_ACT_WAIT },
	};
	for (const auto &c : cases) {
		struct call_retry r = { 4 * kMs, c.is_no_help };
		EXPECT_EQ(call_retry_on_overdue(&r, c.kind, c.is_repeat), c.act)
			<< c.name;
		EXPECT_EQ(r.is_no_help, c.is_no_help || c.is_repeat) << c.name;
	}
}

// Guards against doubling the load of a store that has become slow: a VM makes
// one call after the other, and all answers take longer from one moment on.
TEST(CallRetry, SlowStoreGetsNoSecondCallForEach)
{
	const struct {
		usec_t took;  // of each answer, in ms
		int repeated; // of 100 calls
	} cases[] = {
		{ 4, 0 }, { 240, 0 }, { 480, 1 }, { 900, 1 }, { 2000, 1 },
	};
	for (const auto &c : cases) {
		struct call_retry r = {};
		int repeated = 0;
		call_retry_answered(&r, 4 * kMs);
		for (int i = 0; i < 100; i++) {
			if (c.took * kMs >= call_retry_limit(&r) &&
			    call_retry_on_overdue(&r, CALL_RETRY_REPEAT,
						  false) ==
				    CALL_RETRY_ACT_REPEAT) {
				repeated++;
				if (c.took * kMs >= call_retry_limit(&r))
					call_retry_on_overdue(
						&r, CALL_RETRY_REPEAT, true);
			}
			call_retry_answered(&r, c.took * kMs);
		}
		EXPECT_EQ(repeated, c.repeated) << c.took;
	}
}

TEST(CallRetry, WriteIsJudgedByTheObjectReadBack)
{
	const struct {
		const char *name;
		struct call_retry_object found;
		uint64_t condition;
		enum call_retry_verdict verdict;
	} cases[] = {
		{ "ours replaced another", { true, 8 }, 5, CALL_RETRY_DONE },
		{ "ours was created", { true, 8 }, 0, CALL_RETRY_DONE },
		{ "not executed yet", { false, 5 }, 5, CALL_RETRY_WRITE_AGAIN },
		{ "not created yet", { false, 0 }, 0, CALL_RETRY_WRITE_AGAIN },
		{ "another VM's", { false, 7 }, 5, CALL_RETRY_FAILED },
		{ "another VM created one",
		  { false, 7 },
		  0,
		  CALL_RETRY_FAILED },
		{ "deleted meanwhile", { false, 0 }, 5, CALL_RETRY_FAILED },
	};
	for (const auto &c : cases)
		EXPECT_EQ(call_retry_read_back(&c.found, c.condition),
			  c.verdict)
			<< c.name;
}
} // namespace
