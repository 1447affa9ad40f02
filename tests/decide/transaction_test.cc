#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "decide/transaction.h"
}

namespace
{
const struct tx_id kId = { "vm-1.kr", 0x5f0, 7, 0xabcdef };

struct transaction open_tx()
{
	struct transaction t;
	tx_begin(&t, &kId, "haneul", 5, 0, 1000);
	tx_begun(&t, true, ERR_NONE);
	return t;
}

TEST(Transaction, IdRoundTrip)
{
	char text[TX_ID_BYTES];
	struct tx_id got;
	ASSERT_EQ(tx_id_format(&kId, text), 0);
	EXPECT_STREQ(text, "vm-1.kr.5f0.7.abcdef");
	ASSERT_EQ(tx_id_parse(&got, text, NULL), 0);
	EXPECT_STREQ(got.vm, kId.vm);
	EXPECT_EQ(got.incarnation, kId.incarnation);
	EXPECT_EQ(got.number, kId.number);
	EXPECT_EQ(got.guard, kId.guard);
}

TEST(Transaction, BadIds)
{
	const std::string cases[] = {
		"",
		".",
		"a.1.2",
		"a.1.2.",
		"a..2.3",
		"a.1.2.x",
		"a.1.-2.3",
		".1.2.3",
		"a.1.2.3z",
		"a.1. 2.3",
		"a.1.2.0x",
		"a.1.2.11112222333344445",
		std::string(70, 'a') + ".1.2.3",
		std::string(200, '.'),
	};
	for (const auto &c : cases) {
		struct tx_id got;
		struct error e = {};
		EXPECT_EQ(tx_id_parse(&got, c.c_str(), &e), -1) << c;
		EXPECT_EQ(e.code, ERR_NOT_FOUND) << c;
	}
}

TEST(Transaction, StatementsRunOneAtATimeInOrder)
{
	struct transaction t = open_tx();
	EXPECT_EQ(tx_arrive(&t, "haneul", false, 1).next, TX_SEND);
	EXPECT_EQ(tx_arrive(&t, "haneul", false, 1).next, TX_QUEUE);
	EXPECT_EQ(tx_arrive(&t, "haneul", true, 1).next, TX_QUEUE);
	EXPECT_EQ(tx_arrive(&t, "haneul", false, 1).next, TX_REFUSE);
	tx_statement_end(&t, OUTCOME_DONE, ERR_NONE);
	EXPECT_EQ(tx_dequeue(&t, false, 2).next, TX_SEND);
	tx_statement_end(&t, OUTCOME_DONE, ERR_NONE);
	EXPECT_EQ(tx_dequeue(&t, true, 2).next, TX_SEND);
	EXPECT_EQ(t.state, TX_COMMITTING);
	tx_commit_end(&t, OUTCOME_DONE, ERR_NONE);
	struct tx_verdict again = tx_arrive(&t, "haneul", true, 3);
	EXPECT_EQ(again.outcome, OUTCOME_DONE);
	EXPECT_EQ(tx_arrive(&t, "haneul", false, 3).outcome, OUTCOME_NOT_RUN);
	EXPECT_FALSE(t.in_doubt);
}

TEST(Transaction, NewStatementWaitsBehindQueue)
{
	struct transaction t = open_tx();
	tx_arrive(&t, "haneul", false, 1);
	EXPECT_EQ(tx_arrive(&t, "haneul", false, 1).next, TX_QUEUE);
	tx_statement_end(&t, OUTCOME_DONE, ERR_NONE);
	EXPECT_EQ(tx_arrive(&t, "haneul", false, 1).next, TX_QUEUE);
	EXPECT_EQ(t.n_queued, 2U);
}

TEST(Transaction, OtherTeamIsRefused)
{
	struct transaction t = open_tx();
	struct tx_verdict v = tx_arrive(&t, "tallowgrove", false, 1);
	EXPECT_EQ(v.next, TX_REFUSE);
	EXPECT_EQ(v.why, ERR_FORBIDDEN);
	EXPECT_EQ(tx_rollback(&t, "tallowgrove").why, ERR_FORBIDDEN);
	EXPECT_EQ(t.state, TX_OPEN);
}

// A transaction that ends before its commit is sent has the outcome not run.
TEST(Transaction, EndsBeforeCommitIsSent)
{
	const struct {
		const char *name;
		struct tx_verdict (*end)(struct transaction *t);
		enum error_code why;
	} cases[] = {
		{ "deadline",
		  [](struct transaction *t) { return tx_tick(t, 1000); },
		  ERR_DEADLINE },
		{ "key withdrawn",
		  [](struct transaction *t) { return tx_key_withdrawn(t); },
		  ERR_KEY_UNKNOWN },
		{ "superseded by a later term",
		  [](struct transaction *t) { return tx_term_changed(t, 6); },
		  ERR_SUPERSEDED },
		{ "rolled back",
		  [](struct transaction *t) {
			  return tx_rollback(t, "haneul");
		  },
		  ERR_TX_GONE },
		{ "statement without reply",
		  [](struct transaction *t) {
			  return tx_statement_end(t, OUTCOME_UNKNOWN,
						  ERR_UNKNOWN);
		  },
		  ERR_TX_GONE },
		{ "database has lost it",
		  [](struct transaction *t) {
			  return tx_statement_end(t, OUTCOME_NOT_RUN,
						  ERR_TX_GONE);
		  },
		  ERR_TX_GONE },
	};
	for (const auto &c : cases) {
		struct transaction t = open_tx();
		tx_arrive(&t, "haneul", false, 1);
		EXPECT_EQ(c.end(&t).next, TX_ROLLBACK) << c.name;
		EXPECT_TRUE(t.in_doubt) << c.name;
		struct tx_verdict v = tx_arrive(&t, "haneul", true, 2);
		EXPECT_EQ(v.next, TX_REFUSE) << c.name;
		EXPECT_EQ(v.outcome, OUTCOME_NOT_RUN) << c.name;
		EXPECT_EQ(v.why, c.why) << c.name;
		tx_rolled_back(&t);
		EXPECT_EQ(t.state, TX_ENDED) << c.name;
		EXPECT_EQ(t.outcome, OUTCOME_NOT_RUN) << c.name;
	}
}

// Once the commit is sent, only its reply decides the outcome.
TEST(Transaction, EndsAfterCommitIsSent)
{
	struct transaction t = open_tx();
	EXPECT_EQ(tx_arrive(&t, "haneul", true, 1).next, TX_SEND);
	EXPECT_EQ(tx_tick(&t, 2000).next, TX_NOTHING);
	EXPECT_EQ(tx_key_withdrawn(&t).next, TX_NOTHING);
	EXPECT_EQ(tx_term_changed(&t, 6).next, TX_NOTHING);
	EXPECT_EQ(tx_rollback(&t, "haneul").outcome, OUTCOME_UNKNOWN);
	EXPECT_EQ(tx_arrive(&t, "haneul", true, 1).outcome, OUTCOME_UNKNOWN);
	tx_commit_end(&t, OUTCOME_UNKNOWN, ERR_UNKNOWN);
	EXPECT_TRUE(t.in_doubt);
	EXPECT_EQ(tx_arrive(&t, "haneul", true, 1).outcome, OUTCOME_UNKNOWN);
}

TEST(Transaction, RefusedStatementLeavesTransactionOpen)
{
	struct transaction t = open_tx();
	tx_arrive(&t, "haneul", false, 1);
	struct tx_verdict v =
		tx_statement_end(&t, OUTCOME_NOT_RUN, ERR_BAD_REQUEST);
	EXPECT_EQ(v.next, TX_NOTHING);
	EXPECT_EQ(tx_arrive(&t, "haneul", true, 2).next, TX_SEND);
}

TEST(Transaction, Locate)
{
	const struct {
		const char *vm;
		uint64_t own_incarnation;
		bool holder_known;
		uint64_t holder_incarnation;
		enum tx_location want;
	} cases[] = {
		{ "vm-1.kr", 0x5f0, true, 0x5f0, TX_HERE },
		{ "vm-1.kr", 0x5f1, true, 0x5f1, TX_GONE },
		{ "vm-2.kr", 1, true, 0x5f0, TX_FORWARD },
		{ "vm-2.kr", 1, true, 0x5f1, TX_GONE },
		{ "vm-2.kr", 1, false, 0, TX_GONE },
	};
	for (const auto &c : cases)
		EXPECT_EQ(tx_locate(&kId, c.vm, c.own_incarnation,
				    c.holder_known, c.holder_incarnation),
			  c.want);
}
} // namespace
