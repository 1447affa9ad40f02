#include <gtest/gtest.h>

extern "C" {
#include "decide/once.h"
}

namespace
{
struct once_call call(enum once_kind kind, enum call_end end,
		      enum refusal refusal = REFUSAL_NONE)
{
	struct once_call c = {};
	c.kind = kind;
	c.retry_ok = true;
	c.end = end;
	c.refusal = refusal;
	c.now = 10;
	c.deadline = 100;
	return c;
}

constexpr auto kUnsent = CALL_END_NOT_SENT;
constexpr auto kRefused = CALL_END_REFUSED;
constexpr auto kSilent = CALL_END_NO_REPLY;
constexpr auto kDone = CALL_END_DONE;
constexpr auto kLost = CALL_END_LOST;

TEST(Idempotency, FirstCallWithoutId)
{
	const struct {
		enum once_kind kind;
		enum call_end end;
		enum refusal refusal;
		enum once_next next;
		enum outcome outcome; // if there is no further call
		enum error_code why;
		bool close;
	} cases[] = {
		{ ONCE_READ, kDone, REFUSAL_NONE, ONCE_ANSWER, OUTCOME_DONE,
		  ERR_NONE, false },
		{ ONCE_WRITE, kDone, REFUSAL_NONE, ONCE_CONFIRM,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, false },
		{ ONCE_TX_COMMIT, kDone, REFUSAL_NONE, ONCE_CONFIRM,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, false },
		{ ONCE_TX_STATEMENT, kDone, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_DONE, ERR_NONE, false },
		{ ONCE_READ, kSilent, REFUSAL_NONE, ONCE_RETRY_OTHER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, true },
		{ ONCE_WRITE, kSilent, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, true },
		{ ONCE_TX_BEGIN, kSilent, REFUSAL_NONE, ONCE_RETRY,
		  OUTCOME_NOT_RUN, ERR_TIMEOUT, true },
		{ ONCE_TX_STATEMENT, kSilent, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ ONCE_TX_COMMIT, kSilent, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, true },
		{ ONCE_TX_ROLLBACK, kSilent, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_DONE, ERR_NONE, true },
		{ ONCE_READ, kUnsent, REFUSAL_NONE, ONCE_RETRY_OTHER,
		  OUTCOME_NOT_RUN, ERR_TIMEOUT, true },
		{ ONCE_WRITE, kUnsent, REFUSAL_NONE, ONCE_RETRY,
		  OUTCOME_NOT_RUN, ERR_TIMEOUT, true },
		{ ONCE_TX_STATEMENT, kUnsent, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ ONCE_TX_COMMIT, kUnsent, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ ONCE_WRITE, kRefused, REFUSAL_STALE_TERM, ONCE_RETRY_VIEW,
		  OUTCOME_NOT_RUN, ERR_NO_PRIMARY, false },
		{ ONCE_WRITE, kRefused, REFUSAL_NOT_PRIMARY, ONCE_RETRY_VIEW,
		  OUTCOME_NOT_RUN, ERR_NO_PRIMARY, false },
		{ ONCE_WRITE, kRefused, REFUSAL_TERM_AHEAD, ONCE_RETRY_VIEW,
		  OUTCOME_NOT_RUN, ERR_NO_PRIMARY, false },
		{ ONCE_TX_COMMIT, kRefused, REFUSAL_STALE_TERM, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ ONCE_WRITE, kRefused, REFUSAL_BUSY, ONCE_RETRY,
		  OUTCOME_NOT_RUN, ERR_OVERLOAD, false },
		{ ONCE_READ, kRefused, REFUSAL_BUSY, ONCE_RETRY_OTHER,
		  OUTCOME_NOT_RUN, ERR_OVERLOAD, false },
		{ ONCE_WRITE, kRefused, REFUSAL_ID_REUSED, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_ID_REUSED, false },
		{ ONCE_WRITE, kRefused, REFUSAL_BAD_STATEMENT, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_BAD_REQUEST, false },
		{ ONCE_TX_COMMIT, kRefused, REFUSAL_TX_GONE, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ ONCE_WRITE, kLost, REFUSAL_NONE, ONCE_RETRY, OUTCOME_NOT_RUN,
		  ERR_SUPERSEDED, false },
		{ ONCE_TX_COMMIT, kLost, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_NOT_RUN, ERR_SUPERSEDED, true },
		{ ONCE_WRITE, CALL_END_UNSURE, REFUSAL_NONE, ONCE_ANSWER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, false },
	};
	int i = 0;
	for (const auto &c : cases) {
		struct once_call k = call(c.kind, c.end, c.refusal);
		struct once_verdict v = once_decide(&k);
		EXPECT_EQ(v.next, c.next) << i;
		EXPECT_EQ(v.outcome, c.outcome) << i;
		EXPECT_EQ(v.why, c.why) << i;
		EXPECT_EQ(v.close_connection, c.close) << i;
		i++;
	}
}

// Checks over all inputs that a write of unknown outcome is neither reported as
// not run nor retried without an id.
TEST(Idempotency, UnknownOutcomeIsNeverReportedAsNotRun)
{
	for (int kind = ONCE_READ; kind <= ONCE_TX_ROLLBACK; kind++) {
		for (int end = kDone; end <= CALL_END_UNSURE; end++) {
			for (int ref = 0; ref <= REFUSAL_OTHER; ref++) {
				for (int bits = 0; bits < 8; bits++) {
					struct once_call c =
						call((enum once_kind)kind,
						     (enum call_end)end,
						     (enum refusal)ref);
					c.has_id = bits & 1;
					c.maybe_ran = bits & 2;
					c.retry_ok = bits & 4;
					struct once_verdict v = once_decide(&c);
					bool writes = kind == ONCE_WRITE ||
						      kind == ONCE_TX_COMMIT;
					bool doubt =
						c.maybe_ran || end == kSilent;
					if (writes && doubt &&
					    ref != REFUSAL_ID_REUSED) {
						EXPECT_NE(v.outcome,
							  OUTCOME_NOT_RUN);
					}
					if (writes && doubt && !c.has_id) {
						EXPECT_TRUE(
							v.next == ONCE_ANSWER ||
							v.next == ONCE_CONFIRM);
					}
					if (kind == ONCE_TX_STATEMENT &&
					    end == kSilent) {
						EXPECT_TRUE(v.close_connection);
						EXPECT_EQ(v.next, ONCE_ANSWER);
					}
					if (end == kSilent) {
						EXPECT_TRUE(v.close_connection);
					}
					if (!c.retry_ok) {
						EXPECT_TRUE(
							v.next == ONCE_ANSWER ||
							v.next == ONCE_CONFIRM);
					}
				}
			}
		}
	}
}

TEST(Idempotency, RetryWithIdIsResolvedById)
{
	const struct {
		enum once_kind kind;
		enum call_end end;
		enum refusal refusal;
		enum once_next next;
	} cases[] = {
		{ ONCE_WRITE, kSilent, REFUSAL_NONE, ONCE_RESEND_ID },
		{ ONCE_WRITE, kUnsent, REFUSAL_NONE, ONCE_RESEND_ID },
		{ ONCE_WRITE, kLost, REFUSAL_NONE, ONCE_RESEND_ID },
		{ ONCE_WRITE, kRefused, REFUSAL_STALE_TERM, ONCE_RETRY_VIEW },
		{ ONCE_TX_COMMIT, kSilent, REFUSAL_NONE, ONCE_RESEND_ID },
		{ ONCE_TX_COMMIT, kUnsent, REFUSAL_NONE, ONCE_RESEND_ID },
		{ ONCE_TX_COMMIT, kRefused, REFUSAL_TX_GONE, ONCE_ANSWER },
	};
	for (const auto &c : cases) {
		struct once_call k = call(c.kind, c.end, c.refusal);
		k.has_id = true;
		k.maybe_ran = true;
		struct once_verdict v = once_decide(&k);
		EXPECT_EQ(v.next, c.next);
		EXPECT_EQ(v.outcome, OUTCOME_UNKNOWN);
		k.now = k.deadline;
		EXPECT_EQ(once_decide(&k).next, ONCE_ANSWER);
	}
}

TEST(Idempotency, Resolve)
{
	const struct {
		struct once_lookup l;
		enum outcome want;
		enum error_code why;
	} cases[] = {
		{ { true, true, 5, 5, false }, OUTCOME_DONE, ERR_NONE },
		{ { true, false, 5, 5, true }, OUTCOME_NOT_RUN, ERR_ID_REUSED },
		{ { false, false, 5, 5, true }, OUTCOME_UNKNOWN, ERR_UNKNOWN },
		{ { false, false, 5, 6, false }, OUTCOME_UNKNOWN, ERR_UNKNOWN },
		{ { false, false, 5, 6, true },
		  OUTCOME_NOT_RUN,
		  ERR_SUPERSEDED },
	};
	for (const auto &c : cases) {
		enum error_code why;
		EXPECT_EQ(once_resolve(&c.l, &why), c.want);
		EXPECT_EQ(why, c.why);
	}
}

TEST(Idempotency, RefusalNames)
{
	EXPECT_EQ(refusal_from_name("stale_term"), REFUSAL_STALE_TERM);
	EXPECT_EQ(refusal_from_name("transaction_gone"), REFUSAL_TX_GONE);
	EXPECT_EQ(refusal_from_name("?"), REFUSAL_OTHER);
}
} // namespace
