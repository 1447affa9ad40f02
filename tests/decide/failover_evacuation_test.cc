#include <gtest/gtest.h>
#include <string>

#include "failover_policy.h"

// Hand-over of a primary whose failure domain is evacuated.

namespace
{
constexpr uint32_t kBoth = 1U << 1 | 1U << 2;

// One VM's view of three databases, each in a domain of its own; database 0 is
// primary in term 4. The databases answer within a tick of 10 ms, as far as
// they are told to.
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
		env.peers_hearing = 5;
		for (uint32_t i = 0; i < 3; i++) {
			env.db[i].present = true;
			env.db[i].answers = true;
			env.db[i].reports_primary = i == 0;
			env.db[i].led_term = i == 0;
			env.db[i].term = 4;
			env.db[i].received = { 4, 100 };
		}
	}

	// Sets which databases' domains are evacuated, a bit each.
	void evacuate(uint32_t mask, bool reported = true)
	{
		for (uint32_t i = 0; i < 3; i++) {
			env.db[i].evacuated = mask >> i & 1;
			env.db[i].has_evacuation_report = reported;
		}
		if (env.primary == 0 && env.db[0].answers)
			env.cause = mask & 1 ? FAILOVER_CAUSE_EVACUATED
					     : FAILOVER_CAUSE_NONE;
	}

	// Sets the ends of the logs.
	void set_logs(uint64_t log0, uint64_t log1, uint64_t log2)
	{
		env.db[0].received.position = log0;
		env.db[1].received.position = log1;
		env.db[2].received.position = log2;
	}

	// Runs until the time is over, or until an action of this letter.
	std::string run(usec_t time, char until = 0)
	{
		std::string acts;
		for (usec_t end = env.now + time; env.now < end;
		     env.now += 10 * kMs) {
			struct failover_fsm_actions out;
			env.listed_at = env.now;
			failover_fsm_tick(&s, &env, &out);
			for (uint32_t i = 0; i < out.n; i++) {
				acts += act(out.a[i]);
				answer(out.a[i]);
			}
			if (until && acts.find(until) != std::string::npos) {
				env.now += 10 * kMs;
				break;
			}
		}
		return acts;
	}

	struct failover_fsm s;
	struct failover_fsm_env env = {};
	bool certain = true;	      // no promotion since the known term began
	bool claims = true;	      // the claim is answered
	bool steps_down = true;	      // the primary answers its step-down
	bool verifies = true;	      // the check of the claim is answered
	bool is_superseded = false;   // by another VM's claim
	uint32_t catching_up = kBoth; // replicas that have the log by then
	enum failover_fsm_answer promotion = FAILOVER_ANSWER_DONE;

      private:
	static std::string act(const struct failover_fsm_action &a)
	{
		static const char letters[] = "CPSAVMRFL";
		std::string one(1, letters[a.act]);
		if (a.db != DB_NONE)
			one += std::to_string(a.db);
		return one + " ";
	}

	void answer(const struct failover_fsm_action &a)
	{
		struct failover_fsm_db *d = &env.db[a.db < 3 ? a.db : 0];

		switch (a.act) {
		case FAILOVER_ACT_CLAIM:
			if (claims)
				failover_fsm_claimed(&s, env.now, true, 77,
						     certain);
			break;
		case FAILOVER_ACT_STEP_DOWN:
			if (!steps_down || !d->answers)
				break;
			d->reports_primary = false;
			env.primary = DB_NONE;
			failover_fsm_fenced(&s, env.now, a.db, a.term, true,
					    d->received);
			for (uint32_t i = 1; i < 3; i++) {
				if (catching_up >> i & 1)
					env.db[i].received = d->received;
			}
			break;
		case FAILOVER_ACT_PAUSE:
			if (!d->answers)
				break;
			d->held_term = a.term;
			failover_fsm_fenced(&s, env.now, a.db, a.term, false,
					    d->received);
			break;
		case FAILOVER_ACT_PROBE:
			d->has_new_report = d->answers;
			break;
		case FAILOVER_ACT_VERIFY:
			if (verifies)
				failover_fsm_verified(&s, env.now,
						      !is_superseded, 78);
			break;
		case FAILOVER_ACT_PROMOTE:
			failover_fsm_promoted(&s, env.now, promotion);
			if (promotion != FAILOVER_ANSWER_DONE)
				break;
			d->reports_primary = true;
			d->term = 5;
			d->has_new_report = true;
			break;
		case FAILOVER_ACT_ADOPT:
			env.primary = a.db;
			env.term = a.term;
			env.cause = FAILOVER_CAUSE_NONE;
			break;
		default:
			break;
		}
	}
};

// Returns the database that the actions promote, or DB_NONE.
uint32_t promoted(const std::string &acts)
{
	size_t at = acts.find('M');

	return at == std::string::npos
		       ? DB_NONE
		       : static_cast<uint32_t>(acts[at + 1] - '0');
}

// Guards against a hand-over that needs no replacement, has no target, or
// begins before a target is known to have the whole log.
TEST(FailoverEvacuation, BeginsOnlyWithCompleteTargetOutside)
{
	const struct {
		const char *name;
		uint32_t evacuated; // databases, a bit each
		uint32_t reported;  // since the evacuation was known
		uint64_t log0, log1, log2;
		uint32_t target; // DB_NONE: no attempt
		enum failover_fsm_hold hold;
	} cases[] = {
		{ "no domain", 0, 7, 100, 100, 100, DB_NONE,
		  FAILOVER_HOLD_NO_CAUSE },
		{ "the first replica's domain", 2, 7, 100, 100, 100, DB_NONE,
		  FAILOVER_HOLD_NO_CAUSE },
		{ "the second replica's domain", 4, 7, 100, 100, 100, DB_NONE,
		  FAILOVER_HOLD_NO_CAUSE },
		{ "the primary's domain", 1, 7, 100, 100, 100, 1,
		  FAILOVER_HOLD_NONE },
		{ "the second has the longer log", 1, 7, 100, 99, 100, 2,
		  FAILOVER_HOLD_NONE },
		{ "two domains", 3, 7, 100, 100, 100, 2, FAILOVER_HOLD_NONE },
		{ "the other two", 5, 7, 100, 100, 100, 1, FAILOVER_HOLD_NONE },
		{ "two, and the one outside lacks a write", 3, 7, 100, 100, 99,
		  DB_NONE, FAILOVER_HOLD_TARGET_BEHIND },
		{ "all domains", 7, 7, 100, 100, 100, DB_NONE,
		  FAILOVER_HOLD_NO_TARGET },
		{ "the primary was not asked since", 1, 6, 100, 100, 100,
		  DB_NONE, FAILOVER_HOLD_NO_STATUS },
		{ "only the primary was asked since", 1, 1, 100, 100, 100,
		  DB_NONE, FAILOVER_HOLD_NO_STATUS },
		{ "a replica was asked, and has all", 1, 3, 100, 100, 100, 1,
		  FAILOVER_HOLD_NONE },
		{ "no replica receives", 1, 7, 100, 99, 99, DB_NONE,
		  FAILOVER_HOLD_TARGET_BEHIND },
	};
	for (const auto &c : cases) {
		Group g;
		g.catching_up = 0;
		g.evacuate(c.evacuated);
		g.set_logs(c.log0, c.log1, c.log2);
		for (uint32_t i = 0; i < 3; i++)
			g.env.db[i].has_evacuation_report = c.reported >> i & 1;
		std::string acts = g.run(USEC_PER_SEC, 'C');
		EXPECT_EQ(acts, c.target == DB_NONE ? "" : "C ") << c.name;
		if (c.target == DB_NONE) {
			EXPECT_EQ(failover_fsm_hold(&g.s, &g.env), c.hold)
				<< c.name << ": "
				<< failover_fsm_hold_name(
					   failover_fsm_hold(&g.s, &g.env));
		}
		acts = g.run(USEC_PER_SEC);
		EXPECT_EQ(promoted(acts), c.target) << c.name << ": " << acts;
		EXPECT_EQ(acts.find('P'), std::string::npos)
			<< c.name << ", pauses: " << acts;
	}
}

// Guards against a VM that acts out of turn or cut off from the others.
TEST(FailoverEvacuation, HeldBackByItsOwnState)
{
	const struct {
		const char *name;
		bool store, company, all_dbs, peer_acts, just_promoted;
		uint32_t rank;
		enum failover_fsm_hold hold;
	} cases[] = {
		{ "it may begin", true, true, true, false, false, 0,
		  FAILOVER_HOLD_NONE },
		{ "the store is lost", false, true, true, false, false, 0,
		  FAILOVER_HOLD_STORE },
		{ "it hears few", true, false, true, false, false, 0,
		  FAILOVER_HOLD_ALONE },
		{ "it may not know all databases", true, true, false, false,
		  false, 0, FAILOVER_HOLD_UNKNOWN_DBS },
		{ "a peer acts", true, true, true, true, false, 0,
		  FAILOVER_HOLD_PEER },
		{ "a peer has just promoted", true, true, true, false, true, 0,
		  FAILOVER_HOLD_TURN },
		{ "rank 2 comes later", true, true, true, false, false, 2,
		  FAILOVER_HOLD_RANK },
	};
	for (const auto &c : cases) {
		Group g;
		g.evacuate(1);
		g.env.platform_up = c.store;
		g.env.hears_most_vms = c.company;
		g.env.knows_all_dbs = c.all_dbs;
		g.env.peer_is_acting = c.peer_acts;
		g.env.rank = c.rank;
		if (c.just_promoted)
			g.env.term_known_at = g.env.now;
		EXPECT_EQ(g.run(20 * kMs),
			  c.hold == FAILOVER_HOLD_NONE ? "C S0 " : "")
			<< c.name;
		if (c.hold != FAILOVER_HOLD_NONE) {
			EXPECT_EQ(failover_fsm_hold(&g.s, &g.env), c.hold)
				<< c.name;
		}
	}
}

// Guards against a change of primary that is not needed any more, and against
// one that is left half-way, without a primary.
TEST(FailoverEvacuation, WithdrawnOrExtendedDuringAttempt)
{
	const struct {
		const char *name;
		char after;	    // change after this action
		uint32_t evacuated; // from then on
		uint32_t target;    // DB_NONE: given up
	} cases[] = {
		{ "withdrawn during the claim", 'C', 0, DB_NONE },
		{ "withdrawn after the step-down", 'S', 0, 1 },
		{ "withdrawn during the guard", 'A', 0, 1 },
		{ "withdrawn during the check", 'V', 0, 1 },
		{ "the target's domain too, during the claim", 'C', 3, 2 },
		{ "the target's domain too, after the step-down", 'S', 3, 2 },
		{ "the target's domain too, during the check", 'V', 3, 2 },
		{ "all domains, during the claim", 'C', 7, 0 },
		{ "all domains, after the step-down", 'S', 7, 0 },
		{ "all domains, during the check", 'V', 7, 0 },
		{ "another instead, after the step-down", 'S', 2, 2 },
	};
	for (const auto &c : cases) {
		Group g;
		g.evacuate(1);
		g.claims = c.after != 'C';
		g.steps_down = c.after != 'S';
		g.verifies = c.after != 'V';
		std::string acts = g.run(2 * USEC_PER_SEC, c.after);
		ASSERT_NE(acts.find(c.after), std::string::npos)
			<< c.name << ": " << acts;
		g.evacuate(c.evacuated);
		g.steps_down = true;
		g.verifies = true;
		if (c.after == 'C')
			failover_fsm_claimed(&g.s, g.env.now, true, 77, true);
		if (c.after == 'V')
			failover_fsm_verified(&g.s, g.env.now, true, 78);
		acts = g.run(2 * USEC_PER_SEC);
		EXPECT_EQ(promoted(acts), c.target) << c.name << ": " << acts;
		EXPECT_EQ(acts.find('P'), std::string::npos)
			<< c.name << ", pauses: " << acts;
		if (c.target == DB_NONE) {
			EXPECT_EQ(acts, "") << c.name;
		}
	}
}

// Guards against the loss of a confirmed write: a replica that does not receive
// the log's end is not promoted, and the old primary goes on.
TEST(FailoverEvacuation, NoTargetWithWholeLogInTime)
{
	const struct {
		const char *name;
		bool certain;
		uint32_t evacuated;
		uint32_t catching_up;
		uint32_t target;
	} cases[] = {
		{ "both receive it", true, 1, kBoth, 1 },
		{ "one receives it", true, 1, 1U << 2, 2 },
		{ "none receives it", true, 1, 0, 0 },
		{ "only one inside receives it", true, 3, 1U << 1, 0 },
		{ "uncertain term, both receive it", false, 1, kBoth, 1 },
		{ "uncertain term, one receives it", false, 1, 1U << 2, 2 },
		{ "uncertain term, none receives it", false, 1, 0, 0 },
	};
	for (const auto &c : cases) {
		Group g;
		g.certain = c.certain;
		g.catching_up = c.catching_up;
		g.evacuate(c.evacuated);
		std::string acts = g.run(USEC_PER_SEC, 'C');
		// The primary takes a last write of a VM that knows nothing
		// yet.
		g.env.db[0].received.position++;
		usec_t began_at = g.env.now;
		acts += g.run(3 * USEC_PER_SEC, 'V');
		EXPECT_EQ(acts.find('P') != std::string::npos, !c.certain)
			<< c.name << ": " << acts;
		if (!c.certain) {
			EXPECT_GE(g.env.now - began_at,
				  kPolicy.guard + kPolicy.margin)
				<< c.name;
		}
		acts += g.run(USEC_PER_SEC);
		EXPECT_EQ(promoted(acts), c.target) << c.name << ": " << acts;
		if (c.target != 0)
			continue;
		// It doesn't step the old primary down in quick succession.
		g.evacuate(c.evacuated);
		EXPECT_EQ(g.run(kPolicy.turn - USEC_PER_SEC), "") << c.name;
	}
}

// Guards against replicas that are paused, and so lack confirmed writes, while
// an evacuated primary still commits; and against a primary that died in the
// hand-over and is never replaced.
TEST(FailoverEvacuation, StepDownWithoutAnswer)
{
	const struct {
		const char *name;
		enum failover_fsm_cause cause; // from the step-down on
		uint32_t hear, miss;
		uint32_t evacuated;
		uint32_t target; // DB_NONE: given up
	} cases[] = {
		{ "it still leads", FAILOVER_CAUSE_EVACUATED, 5, 0, 1,
		  DB_NONE },
		{ "it is silent here only", FAILOVER_CAUSE_SILENT, 5, 0, 1,
		  DB_NONE },
		{ "it died", FAILOVER_CAUSE_SILENT, 0, 5, 1, 1 },
		{ "it died, a replica is inside", FAILOVER_CAUSE_REFUSED, 0, 5,
		  3, 2 },
		{ "it departs and is silent", FAILOVER_CAUSE_DEPARTING, 5, 0, 1,
		  1 },
	};
	for (const auto &c : cases) {
		Group g;
		g.evacuate(c.evacuated);
		g.steps_down = false;
		std::string acts = g.run(USEC_PER_SEC, 'S');
		g.env.cause = c.cause;
		g.env.peers_hearing = c.hear;
		g.env.peers_missing = c.miss;
		g.env.db[0].answers = c.cause == FAILOVER_CAUSE_EVACUATED;
		acts = g.run(kPolicy.phase_max, 'M');
		EXPECT_EQ(promoted(acts), c.target) << c.name << ": " << acts;
		EXPECT_EQ(acts.find('P') != std::string::npos,
			  c.target != DB_NONE)
			<< c.name << ": " << acts;
	}
}

// A step-down whose answer was lost is requested again, also if the group has
// no primary as this VM sees it by then.
TEST(FailoverEvacuation, LostAnswerOfStepDown)
{
	Group g;
	g.evacuate(1);
	g.steps_down = false;
	std::string acts = g.run(USEC_PER_SEC, 'S');
	g.env.db[0].reports_primary = false;
	g.env.primary = DB_NONE;
	g.env.cause = FAILOVER_CAUSE_NO_PRIMARY;
	g.run(100 * kMs);
	g.steps_down = true;
	acts = g.run(USEC_PER_SEC);
	EXPECT_NE(acts.find("S0"), std::string::npos) << acts;
	EXPECT_EQ(promoted(acts), 1U) << acts;
}

// Guards against a second promotion by one attempt: a promotion whose answer
// was lost may have taken effect, whatever is evacuated since.
TEST(FailoverEvacuation, LostAnswerOfPromotion)
{
	const struct {
		const char *name;
		uint32_t evacuated; // after the lost answer
		bool again;	    // the same database is promoted again
	} cases[] = {
		{ "nothing changes", 1, true },
		{ "withdrawn", 0, true },
		{ "the target's domain is evacuated", 3, false },
	};
	for (const auto &c : cases) {
		Group g;
		g.evacuate(1);
		g.promotion = FAILOVER_ANSWER_LOST;
		std::string acts = g.run(USEC_PER_SEC, 'M');
		ASSERT_EQ(promoted(acts), 1U) << c.name << ": " << acts;
		g.evacuate(c.evacuated);
		g.promotion = FAILOVER_ANSWER_DONE;
		acts = g.run(500 * kMs);
		EXPECT_EQ(promoted(acts), c.again ? 1 : DB_NONE)
			<< c.name << ": " << acts;
		EXPECT_EQ(acts.find('F'), std::string::npos)
			<< c.name << ", resumes: " << acts;
	}
}

// Another VM with another view of the evacuated domains replaced the claim, or
// promoted already: this VM's attempt must not promote.
TEST(FailoverEvacuation, AnotherVmActs)
{
	const struct {
		const char *name;
		bool leads; // its new primary is found before the check
	} cases[] = {
		{ "its claim is newer", false },
		{ "its primary leads", true },
	};
	for (const auto &c : cases) {
		Group g;
		g.evacuate(1);
		g.is_superseded = true;
		g.run(USEC_PER_SEC, 'S');
		if (c.leads) {
			g.env.db[2].reports_primary = true;
			g.env.db[2].term = 5;
			g.env.db[2].has_new_report = true;
		}
		std::string acts = g.run(500 * kMs);
		EXPECT_EQ(promoted(acts), DB_NONE) << c.name << ": " << acts;
		EXPECT_EQ(acts.find('V') == std::string::npos, c.leads)
			<< c.name << ": " << acts;
	}
}

// Guards against a group left without a primary: a statement that the old
// primary refuses after its step-down makes the VM forget it, and a peer that
// does not know of the step-down yet names it again.
TEST(FailoverEvacuation, PrimaryLearnedDuringAttempt)
{
	const struct {
		const char *name;
		uint32_t primary;
		uint64_t later_by; // its term, from that of the old primary
		uint32_t target;   // DB_NONE: the attempt ends
	} cases[] = {
		{ "the old primary", 0, 0, 1 },
		{ "the old primary in a later term", 0, 1, DB_NONE },
		{ "another one", 2, 1, DB_NONE },
	};
	for (const auto &c : cases) {
		for (auto cause :
		     { FAILOVER_CAUSE_EVACUATED, FAILOVER_CAUSE_DEPARTING }) {
			Group g;
			g.evacuate(1);
			g.env.cause = cause;
			g.verifies = false;
			g.run(USEC_PER_SEC, 'V');
			uint64_t term = g.env.term + c.later_by;
			failover_fsm_superseded(&g.s, g.env.now, c.primary,
						term);
			g.env.primary = c.primary;
			g.env.term = term;
			g.env.cause = FAILOVER_CAUSE_NONE;
			failover_fsm_verified(&g.s, g.env.now, true, 78);
			std::string acts = g.run(USEC_PER_SEC);
			EXPECT_EQ(promoted(acts), c.target)
				<< c.name << ", "
				<< failover_fsm_cause_name(cause) << ": "
				<< acts;
		}
	}
}

// A VM that acted fails in some phase; what another VM finds must still end
// with one primary that lacks no confirmed write.
TEST(FailoverEvacuation, ContinuedAfterVmFailed)
{
	const struct {
		const char *name;
		bool stepped_down;
		uint64_t log0, log1, log2;
		uint32_t evacuated;
		uint32_t target;
	} cases[] = {
		{ "killed after its claim", false, 100, 100, 100, 1, 1 },
		{ "killed after the step-down", true, 100, 100, 100, 1, 1 },
		{ "the same, one outside has the longer log", true, 100, 99,
		  100, 1, 2 },
		{ "the same, nobody outside has the whole log", true, 100, 99,
		  98, 1, 0 },
		{ "the same, one inside that never led has it", true, 98, 100,
		  99, 3, 2 },
		{ "the same, all domains are evacuated", true, 100, 99, 100, 7,
		  0 },
	};
	for (const auto &c : cases) {
		Group g;
		g.catching_up = 0;
		g.evacuate(c.evacuated);
		g.set_logs(c.log0, c.log1, c.log2);
		if (c.stepped_down) {
			g.env.primary = DB_NONE;
			g.env.db[0].reports_primary = false;
			g.env.cause = FAILOVER_CAUSE_NO_PRIMARY;
		}
		std::string acts = g.run(3 * USEC_PER_SEC, 'M');
		EXPECT_EQ(promoted(acts), c.target) << c.name << ": " << acts;
	}
}

// Guards against a failover into an evacuated domain while another database is
// available, and against none at all if all are inside.
TEST(FailoverEvacuation, OtherCausesPreferDatabasesOutside)
{
	const struct {
		const char *name;
		enum failover_fsm_cause cause;
		uint32_t evacuated;
		uint64_t log0, log1, log2;
		bool second_answers;
		uint32_t target;
	} cases[] = {
		{ "silent, the first is inside", FAILOVER_CAUSE_SILENT, 2, 100,
		  100, 100, true, 2 },
		{ "the same, it has the longer log", FAILOVER_CAUSE_SILENT, 2,
		  100, 100, 99, true, 2 },
		{ "silent, both are inside", FAILOVER_CAUSE_SILENT, 6, 100, 99,
		  100, true, 2 },
		{ "departing, the first is inside", FAILOVER_CAUSE_DEPARTING, 2,
		  100, 100, 100, true, 2 },
		{ "departing, both are inside", FAILOVER_CAUSE_DEPARTING, 6,
		  100, 100, 100, true, 1 },
		{ "departing from an evacuated domain",
		  FAILOVER_CAUSE_DEPARTING, 3, 100, 100, 100, true, 2 },
		{ "departing, the one outside is silent",
		  FAILOVER_CAUSE_DEPARTING, 2, 100, 100, 100, false, 1 },
	};
	for (const auto &c : cases) {
		Group g;
		g.catching_up = 0;
		g.evacuate(c.evacuated);
		g.env.cause = c.cause;
		g.env.peers_hearing = 0;
		g.env.db[0].answers = c.cause == FAILOVER_CAUSE_DEPARTING;
		g.env.db[0].departing = c.cause == FAILOVER_CAUSE_DEPARTING;
		g.env.db[2].answers = c.second_answers;
		g.set_logs(c.log0, c.log1, c.log2);
		std::string acts = g.run(3 * USEC_PER_SEC, 'M');
		EXPECT_EQ(promoted(acts), c.target) << c.name << ": " << acts;
	}
}
} // namespace
