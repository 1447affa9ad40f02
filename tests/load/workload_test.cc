#include <gtest/gtest.h>
#include <memory>
#include <vector>

extern "C" {
#include "load/workload.h"
}

namespace
{
std::unique_ptr<struct load_options> make_options()
{
	auto o = std::make_unique<struct load_options>();
	o->n_teams = 3;
	for (int i = 0; i < 3; i++)
		o->team[i].weight = 1;
	o->team[1].weight = 4;
	o->n_services = 1;
	o->rate = 300;
	o->surge_factor = 5;
	o->surge_at = 2 * USEC_PER_SEC;
	o->surge_duration = USEC_PER_SEC;
	return o;
}

TEST(Workload, SameSeedSameNumbers)
{
	struct random a = { 5, 0 }, b = { 5, 0 }, c = { 6, 0 };
	int same = 0;
	for (int i = 0; i < 100; i++) {
		uint64_t x = random_next(&a);
		EXPECT_EQ(x, random_next(&b));
		same += x == random_next(&c);
	}
	EXPECT_EQ(same, 0);
}

TEST(Workload, ArrivalRateAndTeamWeights)
{
	// A weight above 1 adds load: 300 * (1 + 4 + 1) / 3 is 600 per second.
	const struct {
		usec_t since;
		double rate;
	} cases[] = { { 0, 600 },
		      { 2 * USEC_PER_SEC, 3000 },
		      { 3 * USEC_PER_SEC, 600 } };
	auto o = make_options();
	struct random r = { 1, 0 };
	for (const auto &c : cases) {
		double sum = 0;
		for (int i = 0; i < 20000; i++)
			sum += workload_next_gap_us(o.get(), c.since, 0.5, &r);
		EXPECT_NEAR(20000 / (sum / USEC_PER_SEC), c.rate / 2,
			    c.rate / 40)
			<< c.since;
	}
	int team[3] = {};
	for (int i = 0; i < 60000; i++)
		team[workload_pick_team(o.get(), &r)]++;
	EXPECT_NEAR(team[0], 10000, 500);
	EXPECT_NEAR(team[1], 40000, 1000);
	EXPECT_NEAR(team[2], 10000, 500);
}

TEST(Workload, OpsBelongToTheWorkload)
{
	auto o = make_options();
	struct random r = { 1, 0 };
	struct session s = {};
	for (enum workload w : { WORKLOAD_QUOTES, WORKLOAD_RETURNS }) {
		int kind[LOAD_KINDS] = {};
		s.workload = w;
		for (int i = 0; i < 10000; i++)
			kind[workload_next_op(&s, o.get(), &r).kind]++;
		bool quotes = w == WORKLOAD_QUOTES;
		for (int k : { LOAD_PRICE, LOAD_DRAFT, LOAD_CONFIRM,
			       LOAD_CONFIRM_TX, LOAD_STATUS, LOAD_REPRICE })
			EXPECT_EQ(kind[k] > 0, quotes) << k;
		for (int k : { LOAD_LODGE, LOAD_BALANCE, LOAD_RECONCILE })
			EXPECT_EQ(kind[k] > 0, !quotes) << k;
		EXPECT_EQ(kind[LOAD_FINAL], 0);
	}
	o->direct = true;
	s.workload = WORKLOAD_QUOTES;
	for (int i = 0; i < 10000; i++)
		EXPECT_NE(workload_next_op(&s, o.get(), &r).kind,
			  LOAD_CONFIRM_TX);
}

TEST(Workload, PricesAreSharedWithinATeam)
{
	auto o = make_options();
	struct checker *v = checker_create();
	std::vector<uint32_t> shared(shared_keys_count(o.get()), HANDLE_NONE);
	snprintf(o->team[0].name, NAME_MAX_BYTES, "red");
	snprintf(o->team[1].name, NAME_MAX_BYTES, "blue");
	snprintf(o->run, sizeof(o->run), "r");
	struct session a = {}, b = {}, c = {};
	a.number = 1;
	b.number = 17;
	c.number = 1;
	c.team = 1;
	for (struct session *s : { &a, &b, &c })
		session_keys(s, o.get(), v, shared.data());
	EXPECT_EQ(a.key[KEY_PRICE], b.key[KEY_PRICE]);
	EXPECT_NE(a.key[KEY_PRICE], c.key[KEY_PRICE]);
	EXPECT_NE(a.key[KEY_QUOTE], b.key[KEY_QUOTE]);
	EXPECT_STREQ(checker_key_name(v, a.key[KEY_ORDERS]), "r-orders/red/1");
	EXPECT_STREQ(checker_key_name(v, c.key[KEY_QUOTE]), "r-quote/blue/1");
	EXPECT_EQ(a.key[KEY_CREDIT], HANDLE_NONE);
	checker_destroy(v);
}
} // namespace
