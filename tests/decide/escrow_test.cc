#include <gtest/gtest.h>

#include "escrow_sim.h"

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

struct Pair {
	struct escrow_lease va, vb;
	struct escrow a, b;
	Pair(struct escrow_limit l)
	{
		escrow_lease_init(&va, 10);
		escrow_lease_init(&vb, 20);
		escrow_lease_renew(&va, 0, 1000000 * kMs);
		escrow_lease_renew(&vb, 0, 1000000 * kMs);
		escrow_init(&a, &va, &l, 0);
		escrow_init(&b, &vb, &l, 0);
		escrow_create(&a, 1, 0);
		escrow_enter_epoch(&b, 1, 0);
	}
};

int take_all(struct escrow *b, usec_t now)
{
	int n = 0;
	while (escrow_take(b, now))
		n++;
	return n;
}

TEST(Escrow, SoleHolderIsATokenBucket)
{
	Pair p({ 100, 10 });
	EXPECT_EQ(take_all(&p.a, 0), 10);
	EXPECT_EQ(take_all(&p.a, 9 * kMs), 0);
	EXPECT_EQ(escrow_next_token_at(&p.a, 9 * kMs), 10 * kMs + 1);
	EXPECT_EQ(take_all(&p.a, 10 * kMs), 1);
	EXPECT_EQ(take_all(&p.a, 5000 * kMs), 10);
	EXPECT_EQ(take_all(&p.b, 5000 * kMs), 0) << "no share";
	EXPECT_EQ(escrow_next_token_at(&p.b, 0), INT64_MAX);
}

TEST(Escrow, LimitChangesWhileTrafficRuns)
{
	Pair p({ 100, 10 });
	take_all(&p.a, 0);
	const struct escrow_limit more = { 1000, 50 };
	escrow_set_limit(&p.a, &more, 0);
	EXPECT_EQ(take_all(&p.a, 0), 0) << "a higher burst fills at the rate";
	EXPECT_EQ(take_all(&p.a, 10 * kMs), 10);
	EXPECT_EQ(take_all(&p.a, 1000 * kMs), 50);
	const struct escrow_limit less = { 10, 2 };
	escrow_set_limit(&p.a, &less, 2000 * kMs);
	EXPECT_EQ(take_all(&p.a, 2000 * kMs), 2);
	EXPECT_EQ(take_all(&p.a, 2100 * kMs), 1);
}

TEST(Escrow, NoRequestWithoutALease)
{
	Pair p({ 100, 10 });
	struct escrow_lease vm;
	struct escrow c;
	struct escrow_msg ask, g;
	const struct escrow_limit l = { 100, 10 };
	escrow_lease_init(&vm, 30);
	escrow_init(&c, &vm, &l, 0);
	EXPECT_FALSE(escrow_ask(&c, 1, 0, &ask)) << "it could keep no share";
	escrow_lease_renew(&vm, 0, 1000 * kMs);
	ASSERT_TRUE(escrow_ask(&c, 1, 0, &ask));
	escrow_on_ask(&p.a, 3, 30, &ask, 0, &g);
	EXPECT_EQ(escrow_on_grant(&c, 1, &g, 0), ESCROW_RECEIVED);
	EXPECT_EQ(c.share + p.a.share, ESCROW_WHOLE);
	EXPECT_FALSE(escrow_ask(&c, 1, 1001 * kMs, &ask)) << "lease lapsed";
}

TEST(Escrow, RefundDoesNotExceedTheBurst)
{
	Pair p({ 100, 10 });
	EXPECT_TRUE(escrow_take(&p.a, 1));
	escrow_refund(&p.a, 1, 2);
	EXPECT_EQ(take_all(&p.a, 5), 10);
	escrow_refund(&p.a, 5, 6);
	EXPECT_EQ(take_all(&p.a, 6), 1)
		<< "taken since tokens were cut to the burst";
	take_all(&p.a, 1000 * kMs);
	escrow_refund(&p.a, 6, 1000 * kMs);
	EXPECT_EQ(take_all(&p.a, 1000 * kMs), 0) << "full in between";
}

struct escrow_msg request(struct escrow *b, usec_t now)
{
	struct escrow_msg m = {};
	escrow_ask(b, 1, now, &m);
	return m;
}

TEST(Escrow, RepeatedRequestIsSubtractedOnce)
{
	Pair p({ 1000, 100 });
	struct escrow_msg again = {};
	struct escrow_msg ask = request(&p.b, 0);
	struct escrow_msg g1 = {}, g2 = {}, g3 = {};
	escrow_on_ask(&p.a, 2, 7, &ask, 0, &g1);
	EXPECT_EQ(g1.share, ESCROW_WHOLE) << "an idle VM grants all";
	uint64_t peer = 0;
	EXPECT_FALSE(escrow_retry_ask(&p.b, kMs, &peer, &again));
	EXPECT_TRUE(escrow_retry_ask(&p.b, 10 * kMs, &peer, &again));
	EXPECT_EQ(peer, 1u);
	EXPECT_EQ(again.id, ask.id);
	escrow_on_ask(&p.a, 2, 7, &again, 1, &g2);
	EXPECT_EQ(g2.share, g1.share) << "the same answer";
	EXPECT_EQ(g2.tokens, g1.tokens);
	EXPECT_EQ(p.a.share, 0u);
	EXPECT_EQ(escrow_on_grant(&p.b, 1, &g1, 2), ESCROW_RECEIVED);
	EXPECT_EQ(escrow_on_grant(&p.b, 1, &g2, 2), ESCROW_IGNORED)
		<< "doubled by the network";
	EXPECT_FALSE(escrow_retry_ask(&p.b, 90 * kMs, &peer, &again));
	EXPECT_EQ(take_all(&p.b, 2), 100);
	struct escrow_msg later = request(&p.b, 5);
	escrow_on_ask(&p.a, 2, 7, &later, 5, &g3);
	escrow_on_ask(&p.a, 2, 7, &ask, 5, &g3);
	EXPECT_EQ(g3.share, 0u) << "an older question that arrives late";
	EXPECT_EQ(p.a.share + p.b.share, ESCROW_WHOLE);
}

TEST(Escrow, IgnoredGrants)
{
	const struct {
		const char *name;
		uint64_t peer;
		uint64_t epoch;
		int64_t id;
		uint32_t share;
		usec_t at;
		bool accepted;
	} cases[] = {
		{ "as requested", 1, 1, 0, 5, 1, true },
		{ "from another VM", 2, 1, 0, 5, 1, false },
		{ "for no open question", 1, 1, 1, 5, 1, false },
		{ "more than the whole", 1, 1, 0, ESCROW_WHOLE + 1, 1, false },
		{ "too late", 1, 1, 0, 5, 11000 * kMs, false },
		{ "from a later epoch", 1, 2, 0, 5, 1, false },
	};
	for (const auto &c : cases) {
		Pair p({ 1000, 100 });
		struct escrow_msg ask = request(&p.b, 0);
		struct escrow_msg g = {};
		g.type = ESCROW_GRANT;
		g.epoch = c.epoch;
		g.id = ask.id + (uint64_t)c.id;
		g.share = c.share;
		EXPECT_EQ(escrow_on_grant(&p.b, c.peer, &g, c.at) ==
				  ESCROW_RECEIVED,
			  c.accepted)
			<< c.name;
		EXPECT_EQ(p.b.share, c.accepted ? c.share : 0) << c.name;
	}
}

TEST(Escrow, SharesFollowDemand)
{
	Pair p({ 1000, 100 });
	for (usec_t t = 0; t < 1000; t++) {
		for (int k = 0; k < (t % 4 == 0 ? 1 : 0); k++)
			escrow_count_request(&p.a, t * kMs);
		escrow_count_request(&p.b, t * kMs);
	}
	struct escrow_msg ask = request(&p.b, 1000 * kMs), g = {};
	escrow_on_ask(&p.a, 2, 7, &ask, 1000 * kMs, &g);
	EXPECT_NEAR(g.share, ESCROW_WHOLE * 0.8, ESCROW_WHOLE * 0.01);
	EXPECT_NEAR((double)g.tokens, 80.0 * ESCROW_WHOLE * 1e6, 1e14);
	escrow_on_grant(&p.b, 1, &g, 1000 * kMs);
	ask = request(&p.b, 1000 * kMs);
	escrow_on_ask(&p.a, 2, 7, &ask, 1000 * kMs, &g);
	EXPECT_EQ(g.share, 0u) << "already in that proportion";
}

TEST(Escrow, SmallBurstIsNotSplitBelowAToken)
{
	for (uint32_t burst = 1; burst <= 4; burst++) {
		Pair p({ 10, burst });
		escrow_count_request(&p.a, 1);
		for (int i = 0; i < 50; i++)
			escrow_count_request(&p.b, 1);
		struct escrow_msg ask = request(&p.b, 1), g = {};
		escrow_on_ask(&p.a, 2, 7, &ask, 1, &g);
		escrow_on_grant(&p.b, 1, &g, 1);
		uint32_t min = (ESCROW_WHOLE + burst - 1) / burst;
		EXPECT_TRUE(p.a.share == 0 || p.a.share >= min) << burst;
		EXPECT_GE(p.b.share, min) << burst;
		EXPECT_GE(take_all(&p.a, 1) + take_all(&p.b, 1),
			  (int)burst - 1);
	}
}

TEST(Escrow, VmThatResumesAfterAPauseHoldsNothing)
{
	Pair p({ 1000, 100 });
	escrow_lease_init(&p.va, 10);
	escrow_lease_renew(&p.va, 0, 100);
	p.a.lease_generation = p.va.generation;
	EXPECT_TRUE(escrow_take(&p.a, 100));
	EXPECT_FALSE(escrow_take(&p.a, 101));
	EXPECT_EQ(p.a.share, 0u);

	Pair q({ 1000, 100 });
	q.va.expires_at = 100;
	escrow_lease_renew(&q.va, 200, 300); // renewed before any other call
	EXPECT_FALSE(escrow_take(&q.a, 200)) << "the share is from before";
	struct escrow_msg r = {};
	escrow_enter_epoch(&q.a, 2, 200);
	escrow_report(&q.a, &r);
	EXPECT_EQ(r.share, 0u);
}

TEST(Escrow, RecoveredShareHasNoTokens)
{
	Pair p({ 1000, 100 });
	take_all(&p.a, 0);
	escrow_enter_epoch(&p.a, 2, 0);
	escrow_enter_epoch(&p.b, 2, 0);
	EXPECT_FALSE(escrow_add_missing(&p.b, 1, 5, 0)) << "an older claim";
	EXPECT_TRUE(escrow_add_missing(&p.b, 2, ESCROW_WHOLE / 2, 0));
	EXPECT_FALSE(escrow_add_missing(&p.b, 2, ESCROW_WHOLE, 0));
	EXPECT_EQ(take_all(&p.b, 0), 0);
	EXPECT_EQ(take_all(&p.b, 10 * kMs), 5);
}

TEST(Escrow, IndivisibleUnits)
{
	struct escrow_lease va, vb;
	struct escrow a, b;
	escrow_lease_init(&va, 10);
	escrow_lease_init(&vb, 20);
	escrow_lease_renew(&va, 0, 1000);
	escrow_lease_renew(&vb, 0, 1000);
	escrow_init_units(&a, &va, 35, 0);
	escrow_init_units(&b, &vb, 35, 0);
	escrow_create(&a, 1, 0);
	escrow_enter_epoch(&b, 1, 0);
	for (int i = 0; i < 30; i++)
		EXPECT_TRUE(escrow_take(&a, 0));
	EXPECT_FALSE(escrow_needs_more(&a, 0));
	EXPECT_TRUE(escrow_needs_more(&b, 0));
	struct escrow_msg ask = {}, g = {};
	escrow_ask(&b, 1, 0, &ask);
	escrow_on_ask(&a, 2, 7, &ask, 0, &g);
	EXPECT_EQ(g.share, 3u) << "half of what is not in use";
	escrow_on_grant(&b, 1, &g, 0);
	int n = 0;
	while (escrow_take(&a, 0) || escrow_take(&b, 0))
		n++;
	EXPECT_EQ(n, 5);
	EXPECT_EQ(a.in_use + b.in_use, 35u);
	escrow_refund(&b, 0, 0);
	EXPECT_TRUE(escrow_take(&b, 0));
}

TEST(Reconciliation, WaitsForAllVmsNotProvenGone)
{
	struct reconciliation r;
	uint32_t missing = 0;
	reconciliation_begin(&r, 2, 100);
	EXPECT_FALSE(reconciliation_is_complete(&r, 1000, 50, 100, &missing))
		<< "no list";
	auto list = [&](usec_t at,
			std::vector<std::pair<const char *, int>> v) {
		reconciliation_list_begin(&r, at);
		for (auto &x : v)
			reconciliation_list_add(&r, x.first,
						(uint64_t)x.second);
		reconciliation_list_end(&r);
	};
	list(110, { { "a", 1 }, { "b", 1 }, { "c", 1 }, { "d", 1 } });
	EXPECT_EQ(reconciliation_pending(&r, 110, 50), 4u);
	reconciliation_report(&r, "a", 1, 2, 30);
	reconciliation_report(&r, "a", 1, 2, 99);
	reconciliation_report(&r, "b", 1, 1, 99);
	list(120, { { "a", 1 }, { "b", 1 }, { "d", 2 } });
	EXPECT_EQ(reconciliation_pending(&r, 169, 50), 3u)
		<< "b, c and the new d";
	EXPECT_EQ(reconciliation_pending(&r, 170, 50), 2u) << "c is gone";
	reconciliation_report(&r, "b", 1, 2, 20);
	reconciliation_report(&r, "d", 2, 2, 0);
	EXPECT_FALSE(reconciliation_is_complete(&r, 170, 50, 100, &missing))
		<< "the newest list is too old";
	list(160, { { "a", 1 }, { "b", 1 }, { "d", 2 } });
	ASSERT_TRUE(reconciliation_is_complete(&r, 171, 50, 100, &missing));
	EXPECT_EQ(missing, 50u);
	list(172, { { "a", 1 }, { "b", 1 }, { "d", 2 }, { "e", 1 } });
	EXPECT_FALSE(reconciliation_is_complete(&r, 172, 50, 100, &missing))
		<< "e is new";
	reconciliation_end(&r);
}

struct Schedule {
	const char *name;
	SimFaults faults;
	int seeds;
	int steps;
};

// Over thousands of random fault schedules, the fleet never admits more than
// one central bucket would, and the shares never sum to more than the whole.
TEST(EscrowSim, NeverExceedsTheLimitUnderFaults)
{
	const Schedule schedules[] = {
		{ "loss, duplication, delay",
		  { .lose = 0.2, .duplicate = 0.3, .late = 0.1 },
		  500,
		  400 },
		{ "pauses",
		  { .lose = 0.05, .late = 0.1, .pause = 0.003 },
		  500,
		  800 },
		{ "pauses and reconciliations",
		  { .duplicate = 0.2,
		    .late = 0.05,
		    .pause = 0.002,
		    .recount = 0.002 },
		  700,
		  1500 },
		{ "restarts and reconciliations",
		  { .lose = 0.1,
		    .duplicate = 0.1,
		    .late = 0.05,
		    .restart = 0.002,
		    .recount = 0.002 },
		  700,
		  1500 },
		{ "all together",
		  { .lose = 0.1,
		    .duplicate = 0.2,
		    .late = 0.1,
		    .pause = 0.001,
		    .restart = 0.001,
		    .drop_listed = 0.001,
		    .recount = 0.003 },
		  1000,
		  2000 },
	};
	for (const auto &s : schedules) {
		for (int seed = 0; seed < s.seeds; seed++) {
			EscrowSim sim(4, { 2000, 40 }, (unsigned)seed);
			sim.create(0);
			sim.faults = s.faults;
			for (int t = 0; t < s.steps; t++) {
				int hot = (t / 300) % 4;
				for (int k = 0; k < 3; k++) {
					int i = k ? hot : (int)(sim.rng() % 4);
					if (sim.runs(i))
						sim.offer(i);
				}
				sim.step();
			}
			ASSERT_EQ(sim.over_limit, 0) << s.name << " " << seed;
			ASSERT_TRUE(sim.sum_is_valid) << s.name << " " << seed;
			ASSERT_GT(sim.admitted, 0);
		}
	}
}

// After the faults end, one reconciliation recovers all lost shares.
TEST(EscrowSim, LostSharesAreRecovered)
{
	for (unsigned seed = 0; seed < 300; seed++) {
		EscrowSim sim(4, { 2000, 40 }, seed);
		sim.create(0);
		sim.faults = { .lose = 0.2,
			       .duplicate = 0.2,
			       .late = 0.1,
			       .pause = 0.001,
			       .restart = 0.002,
			       .drop_listed = 0.001,
			       .recount = 0.001 };
		for (int t = 0; t < 1000; t++) {
			int i = (int)(sim.rng() % 4);
			if (sim.runs(i))
				sim.offer(i);
			sim.step();
		}
		sim.faults = {};
		for (int t = 0; t < 6000; t++)
			sim.step();
		sim.start_reconciliation((int)(seed % 4));
		for (int t = 0; t < 2000; t++)
			sim.step();
		ASSERT_EQ(sim.held(), ESCROW_WHOLE) << seed;
	}
}

// Requests within the rate are not refused, regardless of the VMs they arrive
// at. If messages are lost, at most 10 per 10,000 are refused.
TEST(EscrowSim, NoRefusalsWithinTheRate)
{
	const struct {
		const char *name;
		int hot_ms; // time until the hot VM changes; 0: no hot VM
		double lose;
		int max; // refusals per 10,000
	} cases[] = {
		{ "even", 0, 0, 0 },
		{ "all on one VM", 1000000, 0, 0 },
		{ "moving every second", 1000, 0, 0 },
		{ "moving, messages lost", 1000, 0.2, 10 },
	};
	for (const auto &c : cases) {
		EscrowSim sim(9, { 1000, 100 }, 42);
		sim.create(0);
		sim.faults.lose = c.lose;
		for (int t = 0; t < 20000; t++) {
			int hot = c.hot_ms ? (t / c.hot_ms) % 9 : -1;
			if (sim.chance(0.7))
				sim.offer(hot >= 0 ? hot
						   : (int)(sim.rng() % 9));
			sim.step();
		}
		EXPECT_EQ(sim.over_limit, 0) << c.name;
		EXPECT_LE(sim.refused * 10000, c.max * sim.offered)
			<< c.name << ": " << sim.refused << " of "
			<< sim.offered;
		EXPECT_EQ(sim.central_refusals(), 0) << c.name;
	}
}
} // namespace
