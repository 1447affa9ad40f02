#include <gtest/gtest.h>

extern "C" {
#include "decide/primary_proof.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kGuard = 600 * kMs;
constexpr usec_t kNow = 100 * USEC_PER_SEC;

TEST(PrimaryProof, ReplicaBeyondSampleIsProof)
{
	// The primary of term 3 reported 3.10 to a request sent at kNow.
	const struct {
		const char *name;
		struct log_pos replica;
		bool proved;
	} cases[] = {
		{ "holds less", { 3, 9 }, false },
		{ "holds as much: may be from before the request",
		  { 3, 10 },
		  false },
		{ "holds more", { 3, 11 }, true },
		{ "holds more, of an earlier term", { 2, 11 }, false },
		{ "holds more, of a later term", { 4, 11 }, false },
	};
	for (const auto &c : cases) {
		struct primary_proof l;
		primary_proof_init(&l);
		primary_proof_begin_term(&l, 3);
		primary_proof_sample(&l, kNow, { 3, 10 });
		primary_proof_replica_position(&l, c.replica);
		EXPECT_EQ(primary_proof_is_valid(&l, kNow + 1, kGuard),
			  c.proved)
			<< c.name;
	}
}

TEST(PrimaryProof, ProofExpiresAfterGuard)
{
	const struct {
		const char *name;
		usec_t after;
		bool holds;
	} cases[] = {
		{ "at once", 0, true },
		{ "just before expiry", kGuard - 1, true },
		{ "guard has run out", kGuard, false },
		{ "after a suspension", 3600 * USEC_PER_SEC, false },
	};
	for (const auto &c : cases) {
		struct primary_proof l;
		primary_proof_init(&l);
		primary_proof_begin_term(&l, 1);
		primary_proof_add(&l, kNow, 1, PRIMARY_PROOF_PEER);
		EXPECT_EQ(primary_proof_is_valid(&l, kNow + c.after, kGuard),
			  c.holds)
			<< c.name;
	}
}

TEST(PrimaryProof, EachTermNeedsItsOwnProof)
{
	struct primary_proof l;
	primary_proof_init(&l);
	EXPECT_FALSE(primary_proof_is_valid(&l, kNow, kGuard));
	primary_proof_begin_term(&l, 1);
	primary_proof_add(&l, kNow, 1, PRIMARY_PROOF_PEER);
	ASSERT_TRUE(primary_proof_is_valid(&l, kNow, kGuard));
	primary_proof_begin_term(&l, 2);
	EXPECT_FALSE(primary_proof_is_valid(&l, kNow, kGuard));
	primary_proof_add(&l, kNow, 1, PRIMARY_PROOF_PEER);
	EXPECT_FALSE(primary_proof_is_valid(&l, kNow, kGuard));
	primary_proof_add(&l, kNow, 2, PRIMARY_PROOF_PEER);
	EXPECT_TRUE(primary_proof_is_valid(&l, kNow, kGuard));
}

// Guards against a stale proof: a promotion resumes the replicas, and one that
// has not learned of the new term still reports "not paused" for the old term.
TEST(PrimaryProof, NotPausedCountsOnlyWithinGuardOfProof)
{
	const struct {
		const char *name;
		usec_t proof, asked; // after kNow; proof 0: none
		usec_t took;	     // the report
		uint64_t term;
		bool proved; // at "asked"
	} cases[] = {
		{ "without any proof", 0, kMs, kMs, 1, false },
		{ "soon after a proof", kMs, 500 * kMs, kMs, 1, true },
		{ "just within the guard", kMs, kGuard - kMs, kMs, 1, true },
		{ "when the proof has run out", kMs, kGuard + kMs, 0, 1,
		  false },
		{ "the proof ran out on the way", kMs, 500 * kMs, 101 * kMs, 1,
		  false },
		{ "for another term", kMs, 500 * kMs, kMs, 2, false },
	};
	for (const auto &c : cases) {
		struct primary_proof l;
		primary_proof_init(&l);
		primary_proof_begin_term(&l, 1);
		if (c.proof)
			primary_proof_add(&l, kNow + c.proof, 1,
					  PRIMARY_PROOF_PEER);
		primary_proof_replica_unpaused(&l, kNow + c.asked, c.term,
					       kNow + c.asked + c.took, kGuard);
		EXPECT_EQ(l.proved_at == kNow + c.asked, c.proved) << c.name;
	}
}

TEST(PrimaryProof, UnanimousReports)
{
	constexpr usec_t kA = kNow + 10 * kMs;
	constexpr usec_t kB = kNow + 20 * kMs;
	const struct {
		const char *name;
		struct primary_proof_report a, b;
		usec_t proved; // 0: no proof
	} cases[] = {
		{ "both follow",
		  { kA, false, true, false, 3, 0 },
		  { kB, false, true, false, 3, 0 },
		  kA },
		{ "one has not answered",
		  { kA, false, true, false, 3, 0 },
		  { 0, false, true, false, 0, 0 },
		  0 },
		{ "one is paused",
		  { kA, false, true, false, 3, 0 },
		  { kB, false, true, false, 3, 4 },
		  0 },
		{ "one was promoted",
		  { kA, false, true, false, 3, 0 },
		  { kB, true, true, false, 4, 0 },
		  0 },
		{ "one knows a later term",
		  { kA, false, true, false, 3, 0 },
		  { kB, false, true, false, 4, 0 },
		  0 },
		{ "the former primary does not know the term yet",
		  { kA, false, true, false, 3, 0 },
		  { kB, true, true, false, 2, 0 },
		  kA },
		{ "new replica and former primary prove nothing",
		  { kA, false, false, false, 3, 0 },
		  { kB, true, true, false, 2, 0 },
		  0 },
		{ "one has just joined",
		  { kA, false, false, false, 3, 0 },
		  { kB, false, true, false, 3, 0 },
		  kA },
		{ "both have just joined",
		  { kA, false, false, false, 3, 0 },
		  { kB, false, false, false, 3, 0 },
		  0 },
		{ "one followed and is unreachable: it may be promoted since",
		  { kA, false, true, false, 3, 0 },
		  { kB, false, true, true, 3, 0 },
		  0 },
		{ "the former primary is unreachable: the same",
		  { kA, false, true, false, 3, 0 },
		  { kB, true, true, true, 2, 0 },
		  0 },
		{ "resumed from a pause by this term",
		  { kA, false, true, false, 3, 3 },
		  { kB, false, true, false, 3, 3 },
		  kA },
	};
	for (const auto &c : cases) {
		struct primary_proof_report w[2] = { c.a, c.b };
		struct primary_proof l;
		primary_proof_init(&l);
		primary_proof_begin_term(&l, 3);
		primary_proof_check_unanimous(&l, w, 2);
		EXPECT_EQ(l.proved_at, c.proved ? c.proved : INT64_MIN)
			<< c.name;
	}
}

TEST(PrimaryProof, PositionAfterTime)
{
	struct primary_proof l;
	struct log_pos at;
	primary_proof_init(&l);
	primary_proof_begin_term(&l, 1);
	for (uint64_t i = 1; i <= 10; i++)
		primary_proof_sample(&l, kNow + (usec_t)i * 100 * kMs,
				     { 1, i });
	const struct {
		const char *name;
		usec_t since;
		uint64_t position; // 0: none
	} cases[] = {
		{ "older than all samples: the oldest", kNow, 1 },
		{ "at a sample", kNow + 300 * kMs, 3 },
		{ "between two samples: the later", kNow + 301 * kMs, 4 },
		{ "newer than all samples", kNow + 1001 * kMs, 0 },
	};
	for (const auto &c : cases) {
		bool found = primary_proof_position_after(&l, c.since, &at);
		EXPECT_EQ(found, c.position != 0) << c.name;
		if (found) {
			EXPECT_EQ(at.position, c.position) << c.name;
		}
	}
}

// Many reports in a short time must not push the older samples out.
TEST(PrimaryProof, SamplesAreThinnedOut)
{
	struct primary_proof l;
	struct log_pos at;
	primary_proof_init(&l);
	primary_proof_begin_term(&l, 1);
	for (uint64_t i = 0; i < 2000; i++)
		primary_proof_sample(&l, kNow + (usec_t)i * kMs, { 1, i });
	ASSERT_TRUE(primary_proof_position_after(&l, kNow + 500 * kMs, &at));
	EXPECT_GE(at.position, 500u);
	EXPECT_LE(at.position, 600u);
	ASSERT_TRUE(primary_proof_position_after(&l, kNow + 1999 * kMs, &at));
	EXPECT_EQ(at.position, 1999u);
}
} // namespace
