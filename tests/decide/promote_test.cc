#include <gtest/gtest.h>

#include "view.h"

extern "C" {
#include "decide/promote.h"
}

namespace
{
constexpr struct promote_policy kPolicy = {
	.suspect_us = 300000,
	.stagger_us = 100000,
	.opinion_us = 10000,
	.retry_us = 20000,
	.phase_us = 400000,
	.backoff_us = 50000,
	.pause_us = 250000,
	.unfollowed_us = 500000,
	.replica_fresh_us = 200000,
	.reserving_ranks = 2,
	.clock_rate_ppm = 1000,
	.handover = { .settle_us = 5000,
		      .hold_max_us = 200000,
		      .retry_min_us = 1000000,
		      .retry_max_us = 8000000 },
};

// One VM's promotion state with its inputs; tick() advances the time.
struct Promoter {
	struct promote p;
	struct promote_env env = {};
	usec_t now = 50 * USEC_PER_SEC;
	struct group_view v;
	struct promote_actions out = {};

	explicit Promoter(uint32_t n = 3) : v(test_view(n, now))
	{
		promote_init(&p, &kPolicy, now);
		p.published = 5;
		env.view = &v;
		env.platform_up = true;
		env.other_domains = true;
		env.rank = 2;
		set_now(now);
	}
	void set_now(usec_t t)
	{
		now = t;
		env.now = t;
		out.n = 0;
	}
	// Databases in "mask" respond at the new time. The primary's clock
	// advances if it responds.
	void tick(usec_t by, uint32_t mask)
	{
		set_now(now + by);
		for (uint32_t i = 0; i < v.n; i++) {
			if (!(mask & 1U << i))
				continue;
			v.db[i].requested_at = v.db[i].responded_at = now;
			if (mask & 1U << v.primary)
				v.db[i].stamp_us += by;
		}
		promote_tick(&p, &env, &out);
	}
	int count(enum promote_act act) const
	{
		int n = 0;
		for (uint32_t i = 0; i < out.n; i++)
			n += out.a[i].act == act;
		return n;
	}
	const struct promote_action *find(enum promote_act act) const
	{
		for (uint32_t i = 0; i < out.n; i++) {
			if (out.a[i].act == act)
				return &out.a[i];
		}
		return nullptr;
	}
	void reserve_term(uint64_t term)
	{
		p.reserved_term = term;
		p.highest_claim = term;
	}
	// Makes the primary silent and ticks until fencing begins, at most 100
	// times.
	void fall_silent(enum opinion o)
	{
		env.unanswered_at = now;
		for (int i = 0; i < 100 && p.phase != PROMOTE_FENCING; i++) {
			tick(10000, 6);
			if (find(ACT_ASK_OPINION))
				promote_opinion(&p, &env, v.term, o);
		}
	}
	void fence(uint32_t db, struct log_pos end,
		   enum call_result r = CALL_OK)
	{
		struct db_view s = v.db[db];
		out.n = 0;
		s.fence_term = p.term;
		s.end = end;
		promote_fenced(&p, &env, db, p.term, r, &s, &out);
	}
};

TEST(Promote, NoActionWhilePrimaryResponds)
{
	Promoter t;
	for (int i = 0; i < 1000; i++) {
		t.tick(10000, 7);
		ASSERT_EQ(t.out.n, 0U);
	}
}

TEST(Promote, ReservesOneTermOnly)
{
	Promoter t;
	t.env.rank = 1;
	t.tick(10000, 7);
	ASSERT_NE(t.find(ACT_CLAIM), nullptr);
	EXPECT_EQ(t.find(ACT_CLAIM)->term, 6U);
	t.out.n = 0;
	promote_claimed(&t.p, &t.env, 6, CALL_REFUSED, 9, &t.out);
	t.tick(60000, 7);
	ASSERT_NE(t.find(ACT_CLAIM), nullptr);
	EXPECT_EQ(t.find(ACT_CLAIM)->term, 10U);
	promote_claimed(&t.p, &t.env, 10, CALL_OK, 10, &t.out);
	for (int i = 0; i < 100; i++) {
		t.tick(10000, 7);
		ASSERT_EQ(t.out.n, 0U);
	}
	EXPECT_EQ(t.p.reserved_term, 10U);
}

TEST(Promote, ClaimWithUnknownResultIsNeverUsed)
{
	Promoter t;
	t.env.rank = 0;
	t.tick(10000, 7);
	promote_claimed(&t.p, &t.env, 6, CALL_LOST, 0, &t.out);
	EXPECT_EQ(t.p.reserved_term, 0U);
	t.tick(60000, 7);
	ASSERT_NE(t.find(ACT_CLAIM), nullptr);
	EXPECT_EQ(t.find(ACT_CLAIM)->term, 7U);
	promote_claimed(&t.p, &t.env, 6, CALL_OK, 6, &t.out);
	EXPECT_EQ(t.p.reserved_term, 0U);
}

TEST(Promote, SilentPrimaryIsReplacedByLongestLog)
{
	const struct {
		const char *name;
		struct log_pos one;
		struct log_pos two;
		uint32_t want;
	} cases[] = {
		{ "longer log by position, database 1",
		  { 5, 210 },
		  { 5, 209 },
		  1 },
		{ "longer log by position, database 2",
		  { 5, 209 },
		  { 5, 210 },
		  2 },
		{ "term is compared first", { 4, 900 }, { 5, 210 }, 2 },
	};
	for (const auto &c : cases) {
		Promoter t;
		t.reserve_term(6);
		t.env.platform_up = false;
		t.fall_silent(OPINION_SILENT);
		ASSERT_EQ(t.p.phase, PROMOTE_FENCING) << c.name;
		EXPECT_EQ(t.count(ACT_FENCE), 3) << c.name;
		t.fence(1, c.one);
		EXPECT_EQ(t.count(ACT_PROMOTE), 0) << c.name;
		t.fence(2, c.two);
		ASSERT_EQ(t.count(ACT_PROMOTE), 1) << c.name;
		EXPECT_EQ(t.find(ACT_PROMOTE)->db, c.want) << c.name;
		promote_promoted(&t.p, &t.env, c.want, 6, CALL_OK, &t.out);
		ASSERT_NE(t.find(ACT_ADOPT), nullptr) << c.name;
		EXPECT_EQ(t.find(ACT_ADOPT)->primary, c.want) << c.name;
		EXPECT_EQ(t.count(ACT_FOLLOW), 2) << c.name;
		EXPECT_EQ(t.count(ACT_PUBLISH), 1) << c.name;
		EXPECT_EQ(t.p.reserved_term, 0U) << c.name;
	}
}

TEST(Promote, SilenceNeedsConfirmationByOthers)
{
	const struct {
		const char *name;
		enum opinion opinion;
		bool replicas_follow;
		bool acts;
	} cases[] = {
		{ "other VMs hear it", OPINION_ALIVE, false, false },
		{ "other VMs do not hear it", OPINION_SILENT, false, true },
		{ "other VMs do not, replicas follow", OPINION_SILENT, true,
		  true },
		{ "no opinion, replicas follow", OPINION_NONE, true, false },
		{ "no opinion, replicas hear nothing", OPINION_NONE, false,
		  true },
	};
	for (const auto &c : cases) {
		Promoter t;
		t.reserve_term(6);
		t.env.unanswered_at = t.now;
		for (int i = 0; i < 100 && t.p.phase != PROMOTE_FENCING; i++) {
			if (c.replicas_follow) {
				t.v.db[1].stamp_us += 10000;
				t.v.db[2].stamp_us += 10000;
			}
			t.tick(10000, 6);
			if (t.find(ACT_ASK_OPINION))
				promote_opinion(&t.p, &t.env, 5, c.opinion);
		}
		EXPECT_EQ(t.p.phase == PROMOTE_FENCING, c.acts) << c.name;
	}
}

TEST(Promote, LongTickGapDiscardsEvidence)
{
	Promoter t;
	t.reserve_term(6);
	t.env.unanswered_at = t.now;
	t.tick(10000, 6);
	t.tick(60 * USEC_PER_SEC, 0);
	EXPECT_EQ(t.out.n, 0U);
	EXPECT_EQ(t.p.phase, PROMOTE_IDLE);

	t.fall_silent(OPINION_SILENT);
	ASSERT_EQ(t.p.phase, PROMOTE_FENCING);
	uint64_t term = t.p.term;
	t.fence(1, { 5, 200 });
	t.tick(60 * USEC_PER_SEC, 0);
	EXPECT_EQ(t.p.phase, PROMOTE_IDLE);
	struct db_view s = t.v.db[2];
	s.fence_term = term;
	promote_fenced(&t.p, &t.env, 2, term, CALL_OK, &s, &t.out);
	EXPECT_EQ(t.count(ACT_PROMOTE), 0);
}

TEST(Promote, OneDatabasePerTerm)
{
	Promoter t;
	t.reserve_term(6);
	t.fall_silent(OPINION_SILENT);
	t.fence(1, { 5, 200 });
	t.fence(2, { 5, 201 });
	ASSERT_EQ(t.find(ACT_PROMOTE)->db, 2U);
	t.fence(0, { 5, 300 });
	EXPECT_EQ(t.count(ACT_PROMOTE), 0);
	for (int i = 0; i < 200; i++) {
		t.tick(10000, 2);
		for (uint32_t k = 0; k < t.out.n; k++) {
			if (t.out.a[k].act == ACT_PROMOTE &&
			    t.out.a[k].term == 6) {
				EXPECT_EQ(t.out.a[k].db, 2U);
			}
			if (t.out.a[k].act == ACT_FENCE) {
				EXPECT_GT(t.out.a[k].term, 6U);
			}
		}
	}
	EXPECT_GE(t.p.failures, 1U);
}

TEST(Promote, HigherFenceEndsAttempt)
{
	Promoter t;
	t.reserve_term(6);
	t.fall_silent(OPINION_SILENT);
	struct db_view s = t.v.db[1];
	s.fence_term = 8;
	promote_fenced(&t.p, &t.env, 1, 6, CALL_REFUSED, &s, &t.out);
	EXPECT_EQ(t.p.phase, PROMOTE_IDLE);
	EXPECT_EQ(t.p.highest_term, 8U);
	EXPECT_GT(t.p.quiet_until, t.now);
}

TEST(Promote, OldPrimaryIsLeftOutOfASufficientMajority)
{
	Promoter t;
	t.reserve_term(6);
	t.fall_silent(OPINION_SILENT);
	t.fence(0, { 5, 300 });
	t.fence(1, { 5, 200 });
	EXPECT_EQ(t.count(ACT_PROMOTE), 0);
	t.fence(2, { 5, 210 });
	ASSERT_EQ(t.count(ACT_PROMOTE), 1);
	EXPECT_EQ(t.find(ACT_PROMOTE)->db, 2U);
}

TEST(Promote, OldPrimaryCountsIfNeededForMajority)
{
	Promoter t;
	t.reserve_term(6);
	t.fall_silent(OPINION_SILENT);
	t.fence(0, { 5, 300 });
	t.fence(1, { 5, 200 });
	t.tick(10000, 2);
	t.tick(10000, 2);
	ASSERT_NE(t.find(ACT_PROMOTE), nullptr);
	EXPECT_EQ(t.find(ACT_PROMOTE)->db, 0U);
}

TEST(Promote, GroupOfFiveNeedsThreeFences)
{
	Promoter t(5);
	t.reserve_term(6);
	t.env.unanswered_at = t.now;
	for (int i = 0; i < 100 && t.p.phase != PROMOTE_FENCING; i++) {
		t.tick(10000, 30);
		promote_opinion(&t.p, &t.env, 5, OPINION_SILENT);
	}
	t.fence(1, { 5, 200 });
	t.fence(2, { 5, 200 });
	EXPECT_EQ(t.count(ACT_PROMOTE), 0);
	t.fence(4, { 5, 205 });
	ASSERT_NE(t.find(ACT_PROMOTE), nullptr);
	EXPECT_EQ(t.find(ACT_PROMOTE)->db, 4U);
}

TEST(Promote, UnfollowedPrimaryIsReplaced)
{
	Promoter t;
	t.reserve_term(6);
	int follows = 0;
	for (int i = 0; i < 200 && t.p.phase != PROMOTE_FENCING; i++) {
		t.tick(10000, 7);
		t.v.db[1].stamp_us = t.v.db[2].stamp_us = 1000000;
		follows += t.count(ACT_FOLLOW);
	}
	EXPECT_EQ(t.p.phase, PROMOTE_FENCING);
	EXPECT_EQ(t.p.cause, CAUSE_UNFOLLOWED);
	EXPECT_GE(follows, 2);
}

TEST(Promote, AdoptsPrimaryOfAFailedPromoter)
{
	Promoter t;
	t.v.db[1].fence_term = t.v.db[2].fence_term = 6;
	t.v.db[1].role = ROLE_PRIMARY;
	t.v.db[1].end = { 6, 200 };
	t.tick(10000, 7);
	ASSERT_NE(t.find(ACT_ADOPT), nullptr);
	EXPECT_EQ(t.find(ACT_ADOPT)->term, 6U);
	EXPECT_EQ(t.find(ACT_ADOPT)->primary, 1U);
	// Once the new primary is adopted, the other databases are told to
	// follow it and it is published.
	t.v.term = 6;
	t.v.primary = 1;
	t.v.db[1].stamp_term = 6;
	int follow = 0;
	int publish = 0;
	for (int i = 0; i < 60; i++) {
		t.tick(10000, 7);
		follow |= t.find(ACT_FOLLOW) ? 1 << t.find(ACT_FOLLOW)->db : 0;
		for (uint32_t k = 0; k < t.out.n; k++) {
			if (t.out.a[k].act == ACT_FOLLOW)
				follow |= 1 << t.out.a[k].db;
		}
		publish += t.count(ACT_PUBLISH);
	}
	EXPECT_EQ(follow, 5);
	EXPECT_GE(publish, 1);
}

TEST(Promote, ReplacesPrimaryFencedByAFailedPromoter)
{
	Promoter t;
	t.reserve_term(7);
	for (int i = 0; i < 3; i++)
		t.v.db[i].fence_term = 6;
	t.v.db[0].role = ROLE_REPLICA;
	for (int i = 0; i < 200 && t.p.phase != PROMOTE_FENCING; i++)
		t.tick(10000, 7);
	ASSERT_EQ(t.p.phase, PROMOTE_FENCING);
	EXPECT_EQ(t.p.cause, CAUSE_FENCED);
	EXPECT_EQ(t.p.term, 7U);
}

TEST(Promote, LaterTermEndsAttempt)
{
	Promoter t;
	t.reserve_term(6);
	t.fall_silent(OPINION_SILENT);
	promote_heard(&t.p, &t.env, 7, 2, true, 7, &t.out);
	EXPECT_EQ(t.p.phase, PROMOTE_IDLE);
	ASSERT_NE(t.find(ACT_ADOPT), nullptr);
	EXPECT_EQ(t.find(ACT_ADOPT)->term, 7U);
}

TEST(Promote, PublicationIsRetriedOnceThePlatformIsBack)
{
	Promoter t;
	t.p.published = 4;
	t.env.platform_up = false;
	int n = 0;
	for (int i = 0; i < 100; i++) {
		t.tick(10000, 7);
		n += t.count(ACT_PUBLISH);
	}
	EXPECT_EQ(n, 0);
	t.env.platform_up = true;
	t.tick(10000, 7);
	EXPECT_EQ(t.count(ACT_PUBLISH), 1);
	promote_published(&t.p, &t.env, 5, CALL_OK);
	for (int i = 0; i < 100; i++) {
		t.tick(10000, 7);
		EXPECT_EQ(t.count(ACT_PUBLISH), 0);
	}
}

// A departing primary; this VM has rank 0 and has reserved term 6.
struct DepartingPrimary : Promoter {
	DepartingPrimary()
	{
		env.rank = 0;
		reserve_term(6);
		v.db[0].state = DB_DEPARTING;
		tick(10000, 7);
	}
};

TEST(Handover, AllPhases)
{
	DepartingPrimary t;
	EXPECT_EQ(t.count(ACT_HOLD_WRITES), 1);
	EXPECT_EQ(t.count(ACT_TELL_HOLD), 1);
	EXPECT_GT(t.find(ACT_TELL_HOLD)->until, t.now);
	t.env.running_writes = 1;
	t.tick(6000, 7);
	EXPECT_EQ(t.count(ACT_FENCE), 0);
	t.env.running_writes = 0;
	t.v.db[0].end.position = 201;
	t.tick(1000, 7);
	EXPECT_EQ(t.count(ACT_FENCE), 0);
	t.v.db[1].end.position = 201;
	t.tick(1000, 7);
	ASSERT_EQ(t.count(ACT_FENCE), 3);
	t.fence(2, { 5, 201 });
	t.fence(1, { 5, 201 });
	EXPECT_EQ(t.count(ACT_PROMOTE), 0);
	t.fence(0, { 5, 201 });
	ASSERT_EQ(t.count(ACT_PROMOTE), 1);
	EXPECT_EQ(t.find(ACT_PROMOTE)->db, 1U);
	promote_promoted(&t.p, &t.env, 1, 6, CALL_OK, &t.out);
	EXPECT_EQ(t.count(ACT_RELEASE_WRITES), 1);
	EXPECT_EQ(t.count(ACT_TELL_RELEASE), 1);
}

TEST(Handover, LateWriteAtOldPrimaryIsKept)
{
	DepartingPrimary t;
	t.tick(6000, 7);
	t.tick(1000, 7);
	ASSERT_EQ(t.p.phase, PROMOTE_FENCING);
	t.fence(1, { 5, 200 });
	t.fence(0, { 5, 202 });
	ASSERT_EQ(t.count(ACT_PROMOTE), 1);
	EXPECT_EQ(t.find(ACT_PROMOTE)->db, 0U);
	promote_promoted(&t.p, &t.env, 0, 6, CALL_OK, &t.out);
	EXPECT_EQ(t.count(ACT_RELEASE_WRITES), 1);
	EXPECT_GT(t.p.handover.retry_at, t.now);
}

TEST(Handover, AbandonedAfterTimeout)
{
	DepartingPrimary t;
	t.env.running_writes = 1;
	int released = 0;
	for (int i = 0; i < 30; i++) {
		t.tick(10000, 7);
		EXPECT_EQ(t.count(ACT_FENCE), 0);
		released += t.count(ACT_RELEASE_WRITES);
	}
	EXPECT_EQ(released, 1);
	EXPECT_EQ(t.p.phase, PROMOTE_IDLE);
	EXPECT_EQ(t.p.reserved_term, 6U);
}

TEST(Handover, NeedsAReplicaAndATerm)
{
	Promoter a;
	a.env.rank = 0;
	a.reserve_term(6);
	for (int i = 0; i < 3; i++)
		a.v.db[i].state = DB_DEPARTING;
	a.tick(10000, 7);
	EXPECT_EQ(a.count(ACT_HOLD_WRITES), 0);

	Promoter b;
	b.env.rank = 0;
	b.env.platform_up = false;
	b.v.db[0].state = DB_DEPARTING;
	b.tick(10000, 7);
	EXPECT_EQ(b.count(ACT_HOLD_WRITES), 0);
}
} // namespace
