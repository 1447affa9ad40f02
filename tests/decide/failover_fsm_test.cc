#include <gtest/gtest.h>
#include <string>

#include "failover_policy.h"

namespace
{
// One VM's view of a group of three whose primary is database 0 in term 4.
class Group
{
      public:
	Group()
	{
		failover_fsm_init(&s, &kPolicy);
		env.now = 1000 * USEC_PER_SEC;
		env.n = 3;
		env.primary = 0;
		env.term = 4;
		env.platform_up = true;
		env.hears_most_vms = true;
		env.knows_all_dbs = true;
		for (uint32_t i = 0; i < 3; i++)
			env.db[i] = { .present = true,
				      .departing = false,
				      .answers = true,
				      .has_new_report = false,
				      .reports_primary = i == 0,
				      .term = 4,
				      .evacuated = false,
				      .has_evacuation_report = false,
				      .led_term = i == 0,
				      .held_term = 0,
				      .received = { 4, 100 } };
	}

	// Ticks in steps of 10 ms and returns the actions, one letter each.
	std::string run(usec_t time)
	{
		std::string acts;
		for (usec_t end = env.now + time; env.now < end;
		     env.now += 10 * kMs) {
			struct failover_fsm_actions out;
			if (lists)
				env.listed_at = env.now;
			failover_fsm_tick(&s, &env, &out);
			for (uint32_t i = 0; i < out.n; i++)
				acts += act(out.a[i]);
		}
		return acts;
	}

	void claim()
	{
		failover_fsm_claimed(&s, env.now, true, 77, certain);
	}
	void pause(uint32_t db)
	{
		failover_fsm_fenced(&s, env.now, db, s.term, false,
				    env.db[db].received);
	}
	// Runs the failover of a silent primary up to the pause of both
	// replicas.
	void silent_until_fenced()
	{
		env.cause = FAILOVER_CAUSE_SILENT;
		env.db[0].answers = false;
		run(20 * kMs);
		claim();
		run(20 * kMs);
		pause(1);
		pause(2);
	}
	// Runs that failover up to the verified claim.
	void silent_until_promote()
	{
		silent_until_fenced();
		run(kPolicy.guard + kPolicy.margin + 50 * kMs);
		failover_fsm_verified(&s, env.now, true, 78);
	}

	struct failover_fsm s;
	struct failover_fsm_env env = {};
	bool lists = true;   // the database list is refreshed at every tick
	bool certain = true; // no promotion since the known term began

      private:
	static std::string act(const struct failover_fsm_action &a)
	{
		static const char letters[] = "CPSAVMRFL";
		std::string one(1, letters[a.act]);
		if (a.db != DB_NONE)
			one += std::to_string(a.db);
		return one + " ";
	}
};

TEST(FailoverFsm, StartConditions)
{
	const struct {
		const char *name;
		enum failover_fsm_cause cause;
		uint32_t hear, miss, rank;
		bool platform_up, in_company, at_work;
		usec_t time;
		bool acts;
	} cases[] = {
		{ "nothing is wrong", FAILOVER_CAUSE_NONE, 0, 0, 0, true, true,
		  false, USEC_PER_SEC, false },
		{ "silent, all peers miss it", FAILOVER_CAUSE_SILENT, 0, 7, 0,
		  true, true, false, 20 * kMs, true },
		{ "silent here, most peers hear it", FAILOVER_CAUSE_SILENT, 5,
		  2, 0, true, true, false, USEC_PER_SEC, false },
		{ "a tie: no failover", FAILOVER_CAUSE_SILENT, 4, 3, 0, true,
		  true, false, USEC_PER_SEC, false },
		{ "silent, most peers miss it", FAILOVER_CAUSE_SILENT, 3, 4, 0,
		  true, true, false, 20 * kMs, true },
		{ "departing, all peers hear it", FAILOVER_CAUSE_DEPARTING, 7,
		  0, 0, true, true, false, 20 * kMs, true },
		{ "this VM may be cut off itself", FAILOVER_CAUSE_SILENT, 0, 0,
		  0, true, false, false, USEC_PER_SEC, false },
		{ "the platform is unavailable", FAILOVER_CAUSE_SILENT, 0, 7, 0,
		  false, true, false, USEC_PER_SEC, false },
		{ "a peer is at work on it", FAILOVER_CAUSE_SILENT, 0, 7, 0,
		  true, true, true, USEC_PER_SEC, false },
		{ "rank 1 waits", FAILOVER_CAUSE_SILENT, 0, 7, 1, true, true,
		  false, 200 * kMs, false },
		{ "rank 1 acts after its delay", FAILOVER_CAUSE_SILENT, 0, 7, 1,
		  true, true, false, 300 * kMs, true },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = c.cause;
		g.env.peers_hearing = c.hear;
		g.env.peers_missing = c.miss;
		g.env.rank = c.rank;
		g.env.platform_up = c.platform_up;
		g.env.hears_most_vms = c.in_company;
		g.env.peer_is_acting = c.at_work;
		EXPECT_EQ(g.run(c.time), c.acts ? "C " : "") << c.name;
	}
}

// Guards against a failover that never begins because the VM has not heard from
// any replica: it has just started, and nothing but the failover would ask
// them.
TEST(FailoverFsm, AsksTheDatabasesThatCouldTakeOver)
{
	enum { UNHEARD, UNREPORTED, KNOWN };
	const struct {
		const char *name;
		enum failover_fsm_cause cause;
		uint32_t rank;
		uint64_t term;	// the group's, as this VM knows it
		int replica[2]; // what it knows of each
		bool alone;
		usec_t time;
		const char *acts;
	} cases[] = {
		{ "no primary, no replica heard",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  0,
		  0,
		  { UNHEARD, UNHEARD },
		  false,
		  20 * kMs,
		  "A1 A2 " },
		{ "asked again",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  0,
		  0,
		  { UNHEARD, UNHEARD },
		  false,
		  250 * kMs,
		  "A1 A2 A1 A2 " },
		{ "one heard, its status not known",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  0,
		  0,
		  { UNREPORTED, UNHEARD },
		  false,
		  20 * kMs,
		  "A1 A2 " },
		{ "one has reported",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  0,
		  0,
		  { UNHEARD, KNOWN },
		  false,
		  20 * kMs,
		  "C " },
		{ "the term is known",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  0,
		  4,
		  { UNREPORTED, UNHEARD },
		  false,
		  20 * kMs,
		  "C " },
		{ "silent primary",
		  FAILOVER_CAUSE_SILENT,
		  0,
		  4,
		  { UNHEARD, UNHEARD },
		  false,
		  20 * kMs,
		  "A1 A2 " },
		{ "primary that refuses",
		  FAILOVER_CAUSE_REFUSED,
		  0,
		  4,
		  { UNHEARD, UNHEARD },
		  false,
		  20 * kMs,
		  "A1 A2 " },
		{ "departing primary",
		  FAILOVER_CAUSE_DEPARTING,
		  0,
		  4,
		  { UNHEARD, UNHEARD },
		  false,
		  20 * kMs,
		  "A1 A2 " },
		{ "rank 2 leaves it to others",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  2,
		  0,
		  { UNHEARD, UNHEARD },
		  false,
		  2 * kPolicy.stagger,
		  "" },
		{ "rank 2 asks after its delay",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  2,
		  0,
		  { UNHEARD, UNHEARD },
		  false,
		  2 * kPolicy.stagger + 20 * kMs,
		  "A1 A2 " },
		{ "a VM that hears few others",
		  FAILOVER_CAUSE_NO_PRIMARY,
		  0,
		  0,
		  { UNHEARD, UNHEARD },
		  true,
		  USEC_PER_SEC,
		  "" },
		{ "no cause",
		  FAILOVER_CAUSE_NONE,
		  0,
		  4,
		  { UNHEARD, UNHEARD },
		  false,
		  USEC_PER_SEC,
		  "" },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = c.cause;
		g.env.rank = c.rank;
		g.env.term = c.term;
		g.env.hears_most_vms = !c.alone;
		if (c.cause == FAILOVER_CAUSE_NO_PRIMARY) {
			g.env.primary = DB_NONE;
			g.env.db[0].present = false;
		}
		for (uint32_t i = 0; i < 2; i++) {
			g.env.db[i + 1].answers = c.replica[i] != UNHEARD;
			if (c.replica[i] != KNOWN)
				g.env.db[i + 1].term = 0;
		}
		EXPECT_EQ(g.run(c.time), c.acts) << c.name;
	}
}

// Guards against VMs that begin failovers of one group at the same moment, and
// supersede each other's claims: what had kept them back ends for all at once,
// long after the cause began.
TEST(FailoverFsm, RanksCountFromTheEndOfWhatHeldAllBack)
{
	const struct {
		const char *name;
		void (*hold)(struct failover_fsm_env *env, bool held);
	} cases[] = {
		{ "the store was away",
		  [](struct failover_fsm_env *env, bool held) {
			  env->platform_up = !held;
		  } },
		{ "the databases were not all known",
		  [](struct failover_fsm_env *env, bool held) {
			  env->knows_all_dbs = !held;
		  } },
		{ "the fleet was split",
		  [](struct failover_fsm_env *env, bool held) {
			  env->hears_most_vms = !held;
		  } },
		{ "a peer acted and failed",
		  [](struct failover_fsm_env *env, bool held) {
			  env->peer_is_acting = held;
		  } },
	};
	for (const auto &c : cases) {
		for (uint32_t rank = 0; rank < 4; rank++) {
			Group g;
			const usec_t delay = rank * kPolicy.stagger;
			g.env.cause = FAILOVER_CAUSE_DEPARTING;
			g.env.rank = rank;
			c.hold(&g.env, true);
			EXPECT_EQ(g.run(5 * USEC_PER_SEC), "") << c.name;
			c.hold(&g.env, false);
			if (rank > 0) {
				EXPECT_EQ(g.run(delay - 20 * kMs), "")
					<< c.name << rank;
			}
			EXPECT_EQ(g.run(50 * kMs), "C ") << c.name << rank;
		}
	}
}

// Guards against two VMs that promote in turn: a departing primary that was
// promoted again, since no replica had its log, departs as seen from all VMs.
TEST(FailoverFsm, PromotionByAnotherVmLeavesItTheNextOne)
{
	const struct {
		const char *name;
		bool promoted_here;
		usec_t known_for; // of the term; 0: no promotion is known
		bool acts;
	} cases[] = {
		{ "no promotion is known", false, 0, true },
		{ "another VM has just promoted", false, 10 * kMs, false },
		{ "it promoted almost a turn ago", false,
		  kPolicy.turn - 50 * kMs, false },
		{ "it promoted a turn ago", false, kPolicy.turn, true },
		{ "this VM has just promoted", true, 10 * kMs, true },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = FAILOVER_CAUSE_DEPARTING;
		g.env.db[0].departing = true;
		g.env.promoted_here = c.promoted_here;
		if (c.known_for)
			g.env.term_known_at = g.env.now - c.known_for;
		EXPECT_EQ(g.run(20 * kMs), c.acts ? "C " : "") << c.name;
	}
}

TEST(FailoverFsm, SilentPrimary)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_SILENT;
	g.env.db[0].answers = false;
	EXPECT_EQ(g.run(20 * kMs), "C ");
	g.claim();
	EXPECT_EQ(g.run(20 * kMs), "A0 P1 P2 ");
	EXPECT_EQ(g.s.term, 5u);
	g.pause(1);
	EXPECT_EQ(g.run(100 * kMs), "A0 P2 ");
	g.pause(2);
	g.env.db[2].received = { 4, 120 };
	std::string acts = g.run(kPolicy.guard);
	EXPECT_EQ(acts.find('V'), std::string::npos) << "within the guard";
	acts = g.run(kPolicy.margin + 60 * kMs);
	EXPECT_NE(acts.find('V'), std::string::npos);
	failover_fsm_verified(&g.s, g.env.now, true, 78);
	EXPECT_EQ(g.run(20 * kMs), "M2 ") << "the longest log";
	failover_fsm_promoted(&g.s, g.env.now, FAILOVER_ANSWER_DONE);
	EXPECT_EQ(g.run(20 * kMs), "A2 ");
	// The new term may be known here before it is confirmed.
	g.env.term = 5;
	g.env.primary = 2;
	g.env.db[2].has_new_report = true;
	g.env.db[2].reports_primary = true;
	g.env.db[2].term = 5;
	EXPECT_EQ(g.run(20 * kMs), "L2 R1 ");
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
}

// Guards against the failover of a healthy primary by a VM that was partitioned
// and has just reconnected.
TEST(FailoverFsm, SilentPrimaryThatRespondsIsNotReplaced)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_SILENT;
	g.run(20 * kMs);
	g.claim();
	EXPECT_EQ(g.run(20 * kMs), "A0 P1 P2 ");
	g.pause(1);
	g.env.db[0].has_new_report = true;
	EXPECT_EQ(g.run(20 * kMs), "F1 ");
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
}

// Guards against a write that another VM acknowledges at the old primary after
// the promotion: to a VM that is cut off by resets, a primary in use refuses
// connections, too.
TEST(FailoverFsm, RefusedPrimaryIsReplacedOnlyAfterGuard)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_REFUSED;
	g.env.db[0].answers = false;
	g.run(20 * kMs);
	g.claim();
	g.run(20 * kMs);
	g.pause(1);
	g.pause(2);
	std::string acts = g.run(kPolicy.guard);
	EXPECT_EQ(acts.find('V'), std::string::npos) << "within the guard";
	acts = g.run(kPolicy.margin + 60 * kMs);
	EXPECT_NE(acts.find('V'), std::string::npos) << "after the guard";
}

// A primary that this VM did not know of is discovered during the fence.
TEST(FailoverFsm, UnknownPrimaryIsDiscovered)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_NO_PRIMARY;
	g.env.primary = DB_NONE;
	EXPECT_EQ(g.run(20 * kMs), "C ");
	g.claim();
	EXPECT_EQ(g.run(20 * kMs), "P0 P1 P2 ");
	g.pause(1);
	g.env.db[0].has_new_report =
		true; // it responds to the pause as primary
	EXPECT_EQ(g.run(20 * kMs), "F1 ");
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
}

// A replica that another VM resumed proves the old primary again, so the fence
// and the guard must start over.
TEST(FailoverFsm, PauseLostDuringGuard)
{
	Group g;
	g.silent_until_fenced();
	g.run(300 * kMs);
	ASSERT_EQ(g.s.phase, FAILOVER_GUARD);
	g.env.db[1].has_new_report = true;
	g.env.db[1].held_term = 0;
	std::string acts = g.run(20 * kMs);
	EXPECT_EQ(g.s.phase, FAILOVER_FENCE) << acts;
	EXPECT_EQ(acts.find('V'), std::string::npos);
}

// A database that joins the group is not paused. Unless the fence starts over,
// it continues to prove the old primary, or is promoted without a pause.
TEST(FailoverFsm, DatabaseJoinsDuringAttempt)
{
	const struct {
		const char *name;
		usec_t guard; // time in the guard before the database joins
		bool verified;
	} cases[] = {
		{ "during the guard", 300 * kMs, false },
		{ "after the guard", kPolicy.guard + kPolicy.margin + 50 * kMs,
		  true },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = FAILOVER_CAUSE_SILENT;
		g.env.db[0].answers = false;
		g.env.db[2].present = false;
		g.run(20 * kMs);
		g.claim();
		g.run(20 * kMs);
		g.pause(1);
		g.run(c.guard);
		g.env.db[2].present = true;
		if (c.verified)
			failover_fsm_verified(&g.s, g.env.now, true, 78);
		std::string acts = g.run(40 * kMs);
		EXPECT_EQ(acts.find('M'), std::string::npos) << c.name;
		EXPECT_EQ(g.s.phase, FAILOVER_FENCE) << c.name;
		EXPECT_NE(acts.find("P1 P2"), std::string::npos)
			<< c.name << ": " << acts;
	}
}

// Databases that joined are known only from a list requested after the guard.
TEST(FailoverFsm, PromotesOnlyWithListRequestedAfterGuard)
{
	Group g;
	g.silent_until_fenced();
	g.run(300 * kMs);
	g.lists = false;
	g.run(kPolicy.guard + kPolicy.margin);
	failover_fsm_verified(&g.s, g.env.now, true, 78);
	EXPECT_EQ(g.run(100 * kMs).find('M'), std::string::npos);
	g.lists = true;
	EXPECT_EQ(g.run(20 * kMs), "M1 ");
}

// A VM that may not know all databases yet does not start a failover.
TEST(FailoverFsm, UnsettledVmDoesNotAct)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_NO_PRIMARY;
	g.env.primary = DB_NONE;
	g.env.knows_all_dbs = false;
	EXPECT_EQ(g.run(USEC_PER_SEC), "");
	g.env.knows_all_dbs = true;
	EXPECT_EQ(g.run(20 * kMs), "C ");
}

// An old primary that responds during the guard is left in place.
TEST(FailoverFsm, PrimaryRespondsDuringGuard)
{
	Group g;
	g.silent_until_fenced();
	g.run(300 * kMs);
	g.env.db[0].has_new_report = true;
	std::string acts = g.run(20 * kMs);
	EXPECT_EQ(acts, "F1 F2 ");
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
}

// A VM that was suspended during an attempt must not continue it: other VMs may
// have resumed the replicas since.
TEST(FailoverFsm, VmSuspendedDuringAttempt)
{
	Group g;
	g.silent_until_promote();
	g.env.now += 4 * USEC_PER_SEC;
	std::string acts = g.run(20 * kMs);
	EXPECT_EQ(acts.find('M'), std::string::npos) << acts;
}

TEST(FailoverFsm, DepartingPrimary)
{
	const struct {
		const char *name;
		uint64_t replica; // log position of both replicas
		const char *promoted;
	} cases[] = {
		{ "a replica has the whole log", 100, "M1 " },
		{ "none has it: the old primary leads on", 99, "M0 " },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = FAILOVER_CAUSE_DEPARTING;
		g.env.db[0].departing = true;
		EXPECT_EQ(g.run(20 * kMs), "C ") << c.name;
		g.claim();
		EXPECT_EQ(g.run(20 * kMs), "S0 ") << c.name;
		failover_fsm_fenced(&g.s, g.env.now, 0, 5, true, { 4, 100 });
		for (uint32_t i = 1; i < 3; i++) {
			g.env.db[i].has_new_report = true;
			g.env.db[i].received = { 4, c.replica };
		}
		std::string acts = g.run(kPolicy.catch_up_max + 100 * kMs);
		EXPECT_NE(acts.find('V'), std::string::npos) << c.name;
		failover_fsm_verified(&g.s, g.env.now, true, 78);
		EXPECT_EQ(g.run(20 * kMs), c.promoted) << c.name;
	}
}

// A VM that has not learned of a change of primary steps the former primary
// down again, which proves nothing. It must see that another database leads.
TEST(FailoverFsm, DepartingPrimaryWasReplacedBefore)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_DEPARTING;
	g.env.db[0].departing = true;
	g.env.db[0].reports_primary = false;
	g.run(20 * kMs);
	g.claim();
	g.run(20 * kMs);
	failover_fsm_fenced(&g.s, g.env.now, 0, 5, true, { 4, 100 });
	g.env.db[1].has_new_report = true;
	g.env.db[1].received = { 4, 100 };
	std::string acts = g.run(40 * kMs);
	EXPECT_NE(acts.find("A2"), std::string::npos) << acts;
	EXPECT_EQ(acts.find('V'), std::string::npos) << acts;
	g.env.db[2].has_new_report = true;
	g.env.db[2].reports_primary = true;
	g.env.db[2].term = 5;
	acts += g.run(kPolicy.catch_up_max + 100 * kMs);
	EXPECT_EQ(acts.find('V'), std::string::npos) << acts;
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
}

// Guards against a promotion beside a primary in use: a former primary reports
// a step-down, too, while the database that replaced it can't be asked.
TEST(FailoverFsm, StepDownAtUncertainTermDoesNotReplaceGuard)
{
	Group g;
	g.certain = false;
	g.env.cause = FAILOVER_CAUSE_DEPARTING;
	g.env.db[0].departing = true;
	g.env.db[2].answers = false;
	g.run(20 * kMs);
	g.claim();
	g.run(20 * kMs);
	failover_fsm_fenced(&g.s, g.env.now, 0, 5, true, { 4, 100 });
	g.env.db[1].has_new_report = true;
	std::string acts = g.run(kPolicy.catch_up_max + 100 * kMs);
	EXPECT_EQ(acts.find('V'), std::string::npos) << acts;
	EXPECT_NE(acts.find("P1 P2"), std::string::npos) << acts;
}

// A departing primary that was promoted again is replaced at the second try.
TEST(FailoverFsm, DepartingPrimaryIsPromotedAgainOnlyOnce)
{
	Group g;
	g.s.old_primary_kept = true;
	g.env.cause = FAILOVER_CAUSE_DEPARTING;
	g.env.db[0].departing = true;
	g.run(20 * kMs);
	g.claim();
	g.run(20 * kMs);
	failover_fsm_fenced(&g.s, g.env.now, 0, 5, true, { 4, 100 });
	for (uint32_t i = 1; i < 3; i++) {
		g.env.db[i].has_new_report = true;
		g.env.db[i].received = { 4, 97 + i };
	}
	g.run(kPolicy.catch_up_max + 100 * kMs);
	failover_fsm_verified(&g.s, g.env.now, true, 78);
	EXPECT_EQ(g.run(20 * kMs), "M2 ");
}

// A departing primary that does not respond is fenced like a silent one.
TEST(FailoverFsm, DepartingAndSilent)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_DEPARTING;
	g.env.db[0].departing = true;
	g.run(20 * kMs);
	g.claim();
	std::string acts = g.run(300 * kMs);
	EXPECT_NE(acts.find("P1 P2"), std::string::npos) << acts;
	g.pause(1);
	g.pause(2);
	acts = g.run(kPolicy.guard);
	EXPECT_EQ(acts.find('V'), std::string::npos) << "within the guard";
}

// Another VM has already replaced a departing primary that is silent here. The
// new primary must be neither paused nor replaced.
TEST(FailoverFsm, DepartingPrimaryReplacedByAnotherVm)
{
	const struct {
		const char *name;
		bool in_guard;
	} cases[] = {
		{ "found during the fence", false },
		{ "found during the guard", true },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = FAILOVER_CAUSE_DEPARTING;
		g.env.db[0].departing = true;
		g.run(20 * kMs);
		g.claim();
		g.run(300 * kMs);
		g.pause(2);
		if (c.in_guard)
			g.pause(1);
		g.run(40 * kMs);
		g.env.db[1].has_new_report = true;
		g.env.db[1].reports_primary = true;
		g.env.db[1].term = 5;
		g.run(20 * kMs);
		EXPECT_EQ(g.s.phase, FAILOVER_IDLE) << c.name;
	}
}

TEST(FailoverFsm, SupersededClaimIsNotUsed)
{
	Group g;
	g.silent_until_promote();
	EXPECT_EQ(g.run(20 * kMs), "M1 ");
	Group h;
	h.silent_until_fenced();
	h.run(kPolicy.guard + kPolicy.margin + 50 * kMs);
	failover_fsm_verified(&h.s, h.env.now, false, 78);
	EXPECT_EQ(h.run(100 * kMs).find('M'), std::string::npos);
	EXPECT_EQ(h.s.phase, FAILOVER_IDLE);
}

TEST(FailoverFsm, PromotionResults)
{
	const struct {
		const char *name;
		enum failover_fsm_answer answer;
		const char *next;
	} cases[] = {
		{ "not running: the other replica", FAILOVER_ANSWER_REFUSED,
		  "M2 " },
		{ "no answer: the same replica again", FAILOVER_ANSWER_LOST,
		  "M1 " },
	};
	for (const auto &c : cases) {
		Group g;
		g.silent_until_promote();
		EXPECT_EQ(g.run(20 * kMs), "M1 ") << c.name;
		failover_fsm_promoted(&g.s, g.env.now, c.answer);
		EXPECT_EQ(g.run(20 * kMs), "V ") << c.name;
		failover_fsm_verified(&g.s, g.env.now, true, 78);
		EXPECT_EQ(g.run(20 * kMs), c.next) << c.name;
	}
}

// Guards against two promotions by one attempt: a call without an answer may
// have taken effect, although its database is silent since.
TEST(FailoverFsm, LostPromotionIsNotFollowedByOneOfAnotherDatabase)
{
	Group g;
	g.silent_until_promote();
	ASSERT_EQ(g.run(20 * kMs), "M1 ");
	failover_fsm_promoted(&g.s, g.env.now, FAILOVER_ANSWER_LOST);
	g.env.db[1].answers = false;
	std::string acts = g.run(20 * kMs);
	failover_fsm_verified(&g.s, g.env.now, true, 78);
	acts += g.run(200 * kMs);
	EXPECT_EQ(acts.find('M'), std::string::npos) << acts;
	EXPECT_EQ(acts.find('F'), std::string::npos)
		<< "resumed while the promotion may take effect: " << acts;
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
}

TEST(FailoverFsm, ResumesReplicasAfterGivingUp)
{
	Group g;
	g.env.cause = FAILOVER_CAUSE_SILENT;
	g.env.db[0].answers = false;
	g.run(20 * kMs);
	g.claim();
	g.run(20 * kMs);
	g.pause(1); // the other replica never responds
	std::string acts = g.run(kPolicy.phase_max + 20 * kMs);
	EXPECT_NE(acts.find("F1"), std::string::npos);
	EXPECT_EQ(acts.find('M'), std::string::npos);
}

// Guards against a group that is unusable for seconds, as its replicas stay
// paused: an attempt begins without a known primary, pauses them, fences once
// more in a later term, and learns then that the primary leads on.
TEST(FailoverFsm, ResumesReplicasIfThePrimaryLeadsOn)
{
	const struct {
		const char *name;
		usec_t runs;	   // from the pause until that is known
		uint64_t later_by; // the primary's term, from that of before
		uint32_t again;	   // replicas that are paused again by then
		bool resumes;
	} cases[] = {
		{ "after the pause", 20 * kMs, 0, 6, true },
		{ "while waiting for the guard", 300 * kMs, 0, 6, true },
		{ "while the claim is verified", 750 * kMs, 0, 6, true },
		{ "during the second fence", 20 * kMs, 0, 0, true },
		{ "another VM has promoted", 300 * kMs, 1, 6, false },
	};
	for (const auto &c : cases) {
		Group g;
		g.env.cause = FAILOVER_CAUSE_NO_PRIMARY;
		g.env.primary = DB_NONE;
		g.env.db[0].reports_primary = false;
		g.run(20 * kMs);
		g.claim();
		g.run(20 * kMs);
		for (uint32_t i = 0; i < 3; i++)
			g.pause(i);
		if (!c.again) // a pause was lost, so all are paused again
			g.env.db[1].has_new_report = true;
		g.run(c.runs);
		failover_fsm_superseded(&g.s, g.env.now, 0,
					g.env.term + c.later_by);
		std::string acts = g.run(50 * kMs);
		for (const char *act : { "F1 ", "F2 " })
			EXPECT_EQ(acts.find(act) != std::string::npos,
				  c.resumes)
				<< c.name << ": " << acts;
		EXPECT_EQ(acts.find('M'), std::string::npos) << c.name;
	}
}

TEST(FailoverFsm, LateAndUnexpectedResultsAreIgnored)
{
	Group g;
	failover_fsm_claimed(&g.s, g.env.now, true, 1, true);
	failover_fsm_verified(&g.s, g.env.now, true, 78);
	failover_fsm_promoted(&g.s, g.env.now, FAILOVER_ANSWER_DONE);
	failover_fsm_fenced(&g.s, g.env.now, 1, 5, false, { 4, 1 });
	EXPECT_EQ(g.s.phase, FAILOVER_IDLE);
	EXPECT_EQ(g.run(USEC_PER_SEC), "");
}
} // namespace
