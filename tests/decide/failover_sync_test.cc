#include <gtest/gtest.h>
#include <string>

#include "failover_policy.h"

// Failovers of a service that acknowledges a commit once one replica has
// received it.

namespace
{
// What a VM knows of a database that could take over.
struct Replica {
	uint64_t position; // of its log, in term 4
	bool departing;
	bool evacuated;
	bool falls_silent; // once it is paused
};

// One VM's view of a group of three whose primary is database 0 in term 4.
class Group
{
      public:
	Group(const Replica &one, const Replica &two) : replica{ one, two }
	{
		failover_fsm_init(&s, &kPolicy);
		env.now = 1000 * USEC_PER_SEC;
		env.n = 3;
		env.primary = 0;
		env.term = 4;
		env.platform_up = true;
		env.hears_most_vms = true;
		env.knows_all_dbs = true;
		env.is_synchronous = true;
		for (uint32_t i = 0; i < 3; i++) {
			env.db[i].present = true;
			env.db[i].answers = true;
			env.db[i].reports_primary = i == 0;
			env.db[i].led_term = i == 0;
			env.db[i].term = 4;
			env.db[i].received = { 4, 100 };
		}
		for (uint32_t i = 1; i < 3; i++) {
			env.db[i].departing = replica[i - 1].departing;
			env.db[i].evacuated = replica[i - 1].evacuated;
		}
	}

	// Ticks in steps of 10 ms and returns the actions, one letter each.
	std::string run(usec_t time)
	{
		static const char letters[] = "CPSAVMRFL";
		std::string acts;
		for (usec_t end = env.now + time; env.now < end;
		     env.now += 10 * kMs) {
			struct failover_fsm_actions out;
			env.listed_at = env.now;
			failover_fsm_tick(&s, &env, &out);
			for (uint32_t i = 0; i < out.n; i++) {
				acts += letters[out.a[i].act];
				if (out.a[i].db != DB_NONE)
					acts += std::to_string(out.a[i].db);
				acts += " ";
			}
		}
		return acts;
	}

	// Runs the attempt up to the promotion and returns what is promoted,
	// "M" and the database; "" if none is.
	std::string promoted()
	{
		if (run(20 * kMs) != "C ")
			return "";
		failover_fsm_claimed(&s, env.now, true, 77, true);
		run(20 * kMs);
		for (uint32_t i = 1; i < 3; i++) {
			env.db[i].has_new_report = true;
			env.db[i].received = { 4, replica[i - 1].position };
		}
		if (env.cause == FAILOVER_CAUSE_DEPARTING) {
			failover_fsm_fenced(&s, env.now, 0, s.term, true,
					    { 4, 100 });
		} else {
			for (uint32_t i = 1; i < 3; i++) {
				env.db[i].held_term = s.term;
				failover_fsm_fenced(&s, env.now, i, s.term,
						    false, env.db[i].received);
			}
		}
		for (uint32_t i = 1; i < 3; i++)
			env.db[i].answers = !replica[i - 1].falls_silent;
		run(kPolicy.guard + kPolicy.margin + 50 * kMs);
		failover_fsm_verified(&s, env.now, true, 78);
		std::string acts = run(20 * kMs);
		size_t at = acts.find('M');
		return at == std::string::npos ? "" : acts.substr(at, 2);
	}

	struct failover_fsm s;
	struct failover_fsm_env env = {};

      private:
	Replica replica[2];
};

// Guards against a promotion that drops acknowledged commits: the database that
// received them departs, is evacuated, or does not respond at that moment.
TEST(FailoverSync, PromotesTheMostCompleteLogOrNone)
{
	const struct {
		const char *name;
		enum failover_fsm_cause cause;
		Replica one, two;
		bool is_synchronous;
		bool replica_is_away;
		const char *promoted;
	} cases[] = {
		{ "the one that departs has more",
		  FAILOVER_CAUSE_SILENT,
		  { 100, true, false, false },
		  { 95, false, false, false },
		  true,
		  false,
		  "M1" },
		{ "the same without synchronous replicas",
		  FAILOVER_CAUSE_SILENT,
		  { 100, true, false, false },
		  { 95, false, false, false },
		  false,
		  false,
		  "M2" },
		{ "both have it: the one that stays",
		  FAILOVER_CAUSE_SILENT,
		  { 100, true, false, false },
		  { 100, false, false, false },
		  true,
		  false,
		  "M2" },
		{ "both depart",
		  FAILOVER_CAUSE_REFUSED,
		  { 95, true, false, false },
		  { 100, true, false, false },
		  true,
		  false,
		  "M2" },
		{ "the one that is evacuated has more",
		  FAILOVER_CAUSE_SILENT,
		  { 100, false, true, false },
		  { 95, false, false, false },
		  true,
		  false,
		  "M1" },
		{ "both have it: the one outside",
		  FAILOVER_CAUSE_SILENT,
		  { 100, false, true, false },
		  { 100, false, false, false },
		  true,
		  false,
		  "M2" },
		{ "an evacuated one rather than one that departs",
		  FAILOVER_CAUSE_SILENT,
		  { 100, true, false, false },
		  { 100, false, true, false },
		  true,
		  false,
		  "M2" },
		{ "the one with more falls silent",
		  FAILOVER_CAUSE_SILENT,
		  { 100, false, false, true },
		  { 95, false, false, false },
		  true,
		  false,
		  "" },
		{ "the one with less falls silent",
		  FAILOVER_CAUSE_SILENT,
		  { 95, false, false, true },
		  { 100, false, false, false },
		  true,
		  false,
		  "M2" },
		{ "a replica with more may have left",
		  FAILOVER_CAUSE_SILENT,
		  { 95, false, false, false },
		  { 95, false, false, false },
		  true,
		  true,
		  "" },
		{ "planned: one that stays has it",
		  FAILOVER_CAUSE_DEPARTING,
		  { 100, true, false, false },
		  { 100, false, false, false },
		  true,
		  false,
		  "M2" },
		{ "planned: the old primary rather than one that departs",
		  FAILOVER_CAUSE_DEPARTING,
		  { 100, true, false, false },
		  { 95, false, false, false },
		  true,
		  false,
		  "M0" },
		{ "planned: the old primary tells the end of its log",
		  FAILOVER_CAUSE_DEPARTING,
		  { 95, false, false, false },
		  { 100, false, false, false },
		  true,
		  true,
		  "M2" },
	};
	for (const auto &c : cases) {
		Group g(c.one, c.two);
		g.env.cause = c.cause;
		g.env.db[0].answers = c.cause == FAILOVER_CAUSE_DEPARTING;
		g.env.db[0].departing = c.cause == FAILOVER_CAUSE_DEPARTING;
		g.env.is_synchronous = c.is_synchronous;
		g.env.replica_is_away = c.replica_is_away;
		EXPECT_EQ(g.promoted(), c.promoted) << c.name;
	}
}

// Guards against the second hand-over of a departing primary, which promoted a
// replica without its log.
TEST(FailoverSync, DepartingPrimaryLeadsUntilAnotherHasItsLog)
{
	Group g({ 95, false, false, false }, { 90, false, false, false });
	g.s.old_primary_kept = true;
	g.env.cause = FAILOVER_CAUSE_DEPARTING;
	g.env.db[0].departing = true;
	EXPECT_EQ(g.promoted(), "M0");
}

// Guards against a group that is never given another primary: the database that
// was promoted fails before anyone has asked for its status, so that nobody
// knows the log that another one has to hold.
TEST(FailoverSync, PromotingVmKnowsTheLogThatItsTargetLeadsWith)
{
	const struct {
		const char *name;
		bool answered; // the platform's answer arrived
		enum failover_fsm_answer answer;
		uint32_t db;
		bool known;
	} cases[] = {
		{ "requested", false, FAILOVER_ANSWER_DONE, 1, true },
		{ "accepted", true, FAILOVER_ANSWER_DONE, 1, true },
		{ "the answer is lost", true, FAILOVER_ANSWER_LOST, 1, true },
		{ "refused", true, FAILOVER_ANSWER_REFUSED, 1, false },
		{ "another database", true, FAILOVER_ANSWER_DONE, 2, false },
	};
	for (const auto &c : cases) {
		Group g({ 100, false, false, false },
			{ 95, false, false, false });
		struct log_pos end = {};
		g.env.cause = FAILOVER_CAUSE_SILENT;
		g.env.db[0].answers = false;
		EXPECT_FALSE(failover_fsm_promoted_end(&g.s, 1, &end));
		EXPECT_EQ(g.promoted(), "M1");
		if (c.answered)
			failover_fsm_promoted(&g.s, g.env.now, c.answer);
		EXPECT_EQ(failover_fsm_promoted_end(&g.s, c.db, &end), c.known)
			<< c.name;
		EXPECT_EQ(end.position, c.known ? 100u : 0u) << c.name;
		failover_fsm_superseded(&g.s, g.env.now, 2, 6);
		EXPECT_FALSE(failover_fsm_promoted_end(&g.s, c.db, &end))
			<< c.name << ", after another promotion";
	}
}

// Guards against a group that stays without a primary although a database could
// take over, and against an attempt that pauses the replicas in vain.
TEST(FailoverSync, StartConditions)
{
	const struct {
		const char *name;
		enum failover_fsm_cause cause;
		bool all_depart, away;
		const char *acts;
		enum failover_fsm_hold hold;
	} cases[] = {
		{ "all replicas depart", FAILOVER_CAUSE_SILENT, true, false,
		  "C ", FAILOVER_HOLD_NONE },
		{ "a replica that left may hold more", FAILOVER_CAUSE_SILENT,
		  false, true, "", FAILOVER_HOLD_REPLICA_AWAY },
		{ "no primary, a replica left", FAILOVER_CAUSE_NO_PRIMARY,
		  false, true, "", FAILOVER_HOLD_REPLICA_AWAY },
		{ "a departing primary tells its end", FAILOVER_CAUSE_DEPARTING,
		  false, true, "C ", FAILOVER_HOLD_NONE },
	};
	for (const auto &c : cases) {
		const Replica r = { 100, c.all_depart, false, false };
		Group g(r, r);
		g.env.cause = c.cause;
		g.env.db[0].departing = c.cause == FAILOVER_CAUSE_DEPARTING;
		g.env.replica_is_away = c.away;
		if (c.cause == FAILOVER_CAUSE_NO_PRIMARY) {
			g.env.primary = DB_NONE;
			g.env.db[0].present = false;
		}
		EXPECT_EQ(g.run(20 * kMs), c.acts) << c.name;
		if (c.hold != FAILOVER_HOLD_NONE) {
			EXPECT_EQ(failover_fsm_hold(&g.s, &g.env), c.hold)
				<< c.name;
		}
	}
}
} // namespace
