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
			call_retry_answered(&r, took * kMs, false);
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
		call_retry_answered(&r, 4 * kMs, false);
		for (int i = 0; i < 100; i++) {
			bool is_repeat = false;
			if (c.took * kMs >= call_retry_limit(&r) &&
			    call_retry_on_overdue(&r, CALL_RETRY_REPEAT,
						  false) ==
				    CALL_RETRY_ACT_REPEAT) {
				repeated++;
				is_repeat = true;
				if (c.took * kMs >= call_retry_limit(&r))
					call_retry_on_overdue(
						&r, CALL_RETRY_REPEAT, true);
			}
			call_retry_answered(&r, c.took * kMs, is_repeat);
		}
		EXPECT_EQ(repeated, c.repeated) << c.took;
	}
}

// Guards against the same where answers of a slow store take different times,
// and some arrive within the limit.
TEST(CallRetry, UnevenlySlowStoreGetsNoSecondCallForEach)
{
	const struct {
		const char *name;
		std::vector<usec_t> took; // of the answers in turn, in ms
		int repeated;		  // of 400 calls, at most
	} cases[] = {
		{ "60 times as slow", { 240, 600, 360, 480 }, 1 },
		{ "120 times as slow", { 480, 1200, 600, 960, 720 }, 1 },
		{ "around the limit", { 700, 800 }, 1 },
		{ "one call in eight",
		  { 300, 300, 300, 300, 300, 300, 300, 1000 },
		  1 },
	};
	for (const auto &c : cases) {
		struct call_retry r = {};
		size_t n = 0;
		int repeated = 0;
		call_retry_answered(&r, 4 * kMs, false);
		for (int i = 0; i < 400; i++) {
			usec_t took = c.took[n++ % c.took.size()] * kMs;
			bool is_repeat = false;
			if (took >= call_retry_limit(&r) &&
			    call_retry_on_overdue(&r, CALL_RETRY_REPEAT,
						  false) ==
				    CALL_RETRY_ACT_REPEAT) {
				repeated++;
				is_repeat = true;
				took = c.took[n++ % c.took.size()] * kMs;
				if (took >= call_retry_limit(&r))
					call_retry_on_overdue(
						&r, CALL_RETRY_REPEAT, true);
			}
			call_retry_answered(&r, took, is_repeat);
		}
		EXPECT_LE(repeated, c.repeated) << c.name;
	}
}

// Guards against a store whose silent connections are not noticed any more
// after it was slow.
TEST(CallRetry, FastAnswerShowsThatTheStoreIsNotSlowAnyMore)
{
	const struct {
		const char *name;
		usec_t took; // in ms
		enum call_retry_act act;
	} cases[] = {
		{ "usual answer", 4, CALL_RETRY_ACT_REPEAT },
		{ "just below the least limit", 249, CALL_RETRY_ACT_REPEAT },
		{ "slow, but within the limit", 600, CALL_RETRY_ACT_WAIT },
	};
	for (const auto &c : cases) {
		struct call_retry r = { 900 * kMs, true };
		call_retry_answered(&r, c.took * kMs, false);
		EXPECT_EQ(call_retry_on_overdue(&r, CALL_RETRY_REPEAT, false),
			  c.act)
			<< c.name;
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
