#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "decide/replica_loss.h"
}

namespace
{
enum Kind { LEFT, LEFT_AT, JOINED, PROMOTED, PROMOTED_AT, PRIMARY, REPLICA };

// Something that a VM learns of the group. "at" is the time, or the time of the
// request that a report answers; positions are of term 4.
struct Event {
	Kind kind;
	const char *id;
	uint64_t incarnation;
	usec_t at;
	uint64_t position;
};

void apply(replica_loss *l, const Event &e)
{
	const log_pos end = { 4, e.position };
	switch (e.kind) {
	case LEFT:
		replica_loss_note(l, e.id, e.incarnation, nullptr, e.at);
		return;
	case LEFT_AT:
		replica_loss_note(l, e.id, e.incarnation, &end, e.at);
		return;
	case JOINED:
		replica_loss_joined(l, e.id, e.incarnation);
		return;
	case PROMOTED:
		replica_loss_promoted(l, e.id, e.incarnation, nullptr, e.at);
		return;
	case PROMOTED_AT:
		replica_loss_promoted(l, e.id, e.incarnation, &end, e.at);
		return;
	case PRIMARY:
		replica_loss_primary_end(l, e.at, end);
		return;
	case REPLICA:
		replica_loss_replica_end(l, end);
		return;
	}
}

// Guards against a promotion that drops acknowledged commits because the only
// replica that received them is not there at that moment; and against a group
// that is never given another primary because a replica left long ago.
TEST(ReplicaLoss, HidesCommitsUntilAnotherReplicaHoldsThem)
{
	const Event left = { LEFT, "b", 1, 100, 0 };
	const struct {
		const char *name;
		std::vector<Event> events;
		bool hides_of_one; // syncReplicas 1
		bool hides_of_two; // syncReplicas 2
	} cases[] = {
		{ "nothing happened", {}, false, false },
		{ "a replica left", { left }, true, false },
		{ "two left", { left, { LEFT, "c", 1, 110, 0 } }, true, true },
		{ "it is back",
		  { left, { JOINED, "b", 1, 0, 0 } },
		  false,
		  false },
		{ "its process started anew",
		  { left, { JOINED, "b", 2, 0, 0 } },
		  true,
		  false },
		{ "another one joined",
		  { left, { JOINED, "c", 1, 0, 0 } },
		  true,
		  false },
		{ "a replica that stayed has the primary's end",
		  { left,
		    { PRIMARY, "", 0, 100, 7 },
		    { REPLICA, "", 0, 0, 7 } },
		  false,
		  false },
		{ "it lacks a commit",
		  { left,
		    { PRIMARY, "", 0, 100, 7 },
		    { REPLICA, "", 0, 0, 6 } },
		  true,
		  false },
		{ "it follows later",
		  { left,
		    { PRIMARY, "", 0, 100, 7 },
		    { REPLICA, "", 0, 0, 6 },
		    { PRIMARY, "", 0, 200, 9 },
		    { REPLICA, "", 0, 0, 7 } },
		  false,
		  false },
		{ "the primary's end is older than the loss",
		  { { PRIMARY, "", 0, 90, 7 },
		    left,
		    { PRIMARY, "", 0, 99, 7 },
		    { REPLICA, "", 0, 0, 7 } },
		  true,
		  false },
		{ "a second one left since",
		  { left,
		    { PRIMARY, "", 0, 100, 7 },
		    { LEFT, "c", 1, 110, 0 },
		    { REPLICA, "", 0, 0, 9 } },
		  true,
		  false },
		{ "its own end is known, another one has it",
		  { { LEFT_AT, "b", 1, 100, 7 }, { REPLICA, "", 0, 0, 7 } },
		  false,
		  false },
		{ "its own end is known, the other one lacks it",
		  { { LEFT_AT, "b", 1, 100, 7 }, { REPLICA, "", 0, 0, 6 } },
		  true,
		  false },
		{ "promoted, nobody has followed",
		  { { PROMOTED, "b", 1, 100, 0 } },
		  true,
		  false },
		{ "promoted and followed",
		  { { PROMOTED_AT, "b", 1, 100, 7 }, { REPLICA, "", 0, 0, 7 } },
		  false,
		  false },
		{ "what left before a promotion counts no more",
		  { left,
		    { PROMOTED_AT, "c", 1, 110, 7 },
		    { REPLICA, "", 0, 0, 7 } },
		  false,
		  false },
	};
	for (const auto &c : cases) {
		replica_loss l = {};
		for (const auto &e : c.events)
			apply(&l, e);
		EXPECT_EQ(replica_loss_may_hide(&l, 1), c.hides_of_one)
			<< c.name;
		EXPECT_EQ(replica_loss_may_hide(&l, 2), c.hides_of_two)
			<< c.name;
		EXPECT_FALSE(replica_loss_may_hide(&l, 0)) << c.name;
	}
}

// Guards against an overflow of the table: the account does not shrink.
TEST(ReplicaLoss, FullTable)
{
	replica_loss l = {};
	for (uint32_t i = 0; i < 3 * REPLICA_LOSS_MAX; i++)
		replica_loss_note(&l, ("db-" + std::to_string(i)).c_str(), i,
				  nullptr, i);
	EXPECT_EQ(l.n, (uint32_t)REPLICA_LOSS_MAX);
	EXPECT_TRUE(replica_loss_may_hide(&l, REPLICA_LOSS_MAX));
}
} // namespace
