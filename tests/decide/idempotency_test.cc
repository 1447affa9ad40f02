#include <gtest/gtest.h>

extern "C" {
#include "decide/idempotency.h"
}

namespace
{
struct idem_call call(enum idem_kind kind, enum call_end end,
		      enum refusal refusal = REFUSAL_NONE)
{
	struct idem_call c = {};
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
		enum idem_kind kind;
		enum call_end end;
		enum refusal refusal;
		enum idem_next next;
		enum outcome outcome; // of the request, if not continued
		enum error_code why;
		bool close;
	} cases[] = {
		{ IDEM_READ, kDone, REFUSAL_NONE, IDEM_ANSWER, OUTCOME_DONE,
		  ERR_NONE, false },
		{ IDEM_WRITE, kDone, REFUSAL_NONE, IDEM_CONFIRM,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, false },
		{ IDEM_TX_COMMIT, kDone, REFUSAL_NONE, IDEM_CONFIRM,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, false },
		{ IDEM_TX_STATEMENT, kDone, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_DONE, ERR_NONE, false },
		{ IDEM_READ, kSilent, REFUSAL_NONE, IDEM_RETRY_OTHER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, true },
		{ IDEM_WRITE, kSilent, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, true },
		{ IDEM_TX_BEGIN, kSilent, REFUSAL_NONE, IDEM_RETRY,
		  OUTCOME_NOT_RUN, ERR_TIMEOUT, true },
		{ IDEM_TX_STATEMENT, kSilent, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ IDEM_TX_COMMIT, kSilent, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, true },
		{ IDEM_TX_ROLLBACK, kSilent, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_DONE, ERR_NONE, true },
		{ IDEM_READ, kUnsent, REFUSAL_NONE, IDEM_RETRY_OTHER,
		  OUTCOME_NOT_RUN, ERR_TIMEOUT, true },
		{ IDEM_WRITE, kUnsent, REFUSAL_NONE, IDEM_RETRY,
		  OUTCOME_NOT_RUN, ERR_TIMEOUT, true },
		{ IDEM_TX_STATEMENT, kUnsent, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ IDEM_TX_COMMIT, kUnsent, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ IDEM_WRITE, kRefused, REFUSAL_STALE_TERM, IDEM_RETRY_VIEW,
		  OUTCOME_NOT_RUN, ERR_NO_PRIMARY, false },
		{ IDEM_WRITE, kRefused, REFUSAL_NOT_PRIMARY, IDEM_RETRY_VIEW,
		  OUTCOME_NOT_RUN, ERR_NO_PRIMARY, false },
		{ IDEM_WRITE, kRefused, REFUSAL_TERM_AHEAD, IDEM_RETRY_VIEW,
		  OUTCOME_NOT_RUN, ERR_NO_PRIMARY, false },
		{ IDEM_TX_COMMIT, kRefused, REFUSAL_STALE_TERM, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ IDEM_WRITE, kRefused, REFUSAL_BUSY, IDEM_RETRY,
		  OUTCOME_NOT_RUN, ERR_OVERLOAD, false },
		{ IDEM_READ, kRefused, REFUSAL_BUSY, IDEM_RETRY_OTHER,
		  OUTCOME_NOT_RUN, ERR_OVERLOAD, false },
		{ IDEM_WRITE, kRefused, REFUSAL_ID_REUSED, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_ID_REUSED, false },
		{ IDEM_WRITE, kRefused, REFUSAL_BAD_STATEMENT, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_BAD_REQUEST, false },
		{ IDEM_TX_COMMIT, kRefused, REFUSAL_TX_GONE, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_TX_GONE, true },
		{ IDEM_WRITE, kLost, REFUSAL_NONE, IDEM_RETRY, OUTCOME_NOT_RUN,
		  ERR_SUPERSEDED, false },
		{ IDEM_TX_COMMIT, kLost, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_NOT_RUN, ERR_SUPERSEDED, true },
		{ IDEM_WRITE, CALL_END_UNCONFIRMED, REFUSAL_NONE, IDEM_ANSWER,
		  OUTCOME_UNKNOWN, ERR_UNKNOWN, false },
	};
	int i = 0;
	for (const auto &c : cases) {
		struct idem_call k = call(c.kind, c.end, c.refusal);
		struct idem_verdict v = idem_decide(&k);
		EXPECT_EQ(v.next, c.next) << i;
		EXPECT_EQ(v.outcome, c.outcome) << i;
		EXPECT_EQ(v.why, c.why) << i;
		EXPECT_EQ(v.close_connection, c.close) << i;
		i++;
	}
}

// Checks over all inputs that a write of unknown outcome is neither reported as
// not run nor retried without an id. The exception is an id that was used for
// another request: it is reported as not run.
TEST(Idempotency, UnknownOutcomeIsNeverReportedAsNotRun)
{
	for (int kind = IDEM_READ; kind <= IDEM_TX_ROLLBACK; kind++) {
		for (int end = kDone; end <= CALL_END_UNCONFIRMED; end++) {
			for (int ref = 0; ref <= REFUSAL_OTHER; ref++) {
				for (int bits = 0; bits < 8; bits++) {
					struct idem_call c =
						call((enum idem_kind)kind,
						     (enum call_end)end,
						     (enum refusal)ref);
					c.has_id = bits & 1;
					c.maybe_ran = bits & 2;
					c.retry_ok = bits & 4;
					struct idem_verdict v = idem_decide(&c);
					bool writes = kind == IDEM_WRITE ||
						      kind == IDEM_TX_COMMIT;
					bool doubt =
						c.maybe_ran || end == kSilent;
					if (writes && doubt &&
					    ref != REFUSAL_ID_REUSED) {
						EXPECT_NE(v.outcome,
							  OUTCOME_NOT_RUN);
					}
					if (writes && doubt && !c.has_id) {
						EXPECT_TRUE(
							v.next == IDEM_ANSWER ||
							v.next == IDEM_CONFIRM);
					}
					if (kind == IDEM_TX_STATEMENT &&
					    end == kSilent) {
						EXPECT_TRUE(v.close_connection);
						EXPECT_EQ(v.next, IDEM_ANSWER);
					}
					if (end == kSilent) {
						EXPECT_TRUE(v.close_connection);
					}
					if (!c.retry_ok) {
						EXPECT_TRUE(
							v.next == IDEM_ANSWER ||
							v.next == IDEM_CONFIRM);
					}
				}
			}
		}
	}
}

TEST(Idempotency, RetryWithIdIsResolvedById)
{
	const struct {
		enum idem_kind kind;
		enum call_end end;
		enum refusal refusal;
		enum idem_next next;
	} cases[] = {
		{ IDEM_WRITE, kSilent, REFUSAL_NONE, IDEM_RESEND_ID },
		{ IDEM_WRITE, kUnsent, REFUSAL_NONE, IDEM_RESEND_ID },
		{ IDEM_WRITE, kLost, REFUSAL_NONE, IDEM_RESEND_ID },
		{ IDEM_WRITE, kRefused, REFUSAL_STALE_TERM, IDEM_RETRY_VIEW },
		{ IDEM_TX_COMMIT, kSilent, REFUSAL_NONE, IDEM_RESEND_ID },
		{ IDEM_TX_COMMIT, kUnsent, REFUSAL_NONE, IDEM_RESEND_ID },
		{ IDEM_TX_COMMIT, kRefused, REFUSAL_TX_GONE, IDEM_ANSWER },
	};
	for (const auto &c : cases) {
		struct idem_call k = call(c.kind, c.end, c.refusal);
		k.has_id = true;
		k.maybe_ran = true;
		struct idem_verdict v = idem_decide(&k);
		EXPECT_EQ(v.next, c.next);
		EXPECT_EQ(v.outcome, OUTCOME_UNKNOWN);
		k.now = k.deadline;
		EXPECT_EQ(idem_decide(&k).next, IDEM_ANSWER);
	}
}

TEST(Idempotency, Resolve)
{
	const struct {
		struct idem_lookup l;
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
		EXPECT_EQ(idem_resolve(&c.l, &why), c.want);
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
