#include <gtest/gtest.h>

extern "C" {
#include "decide/db_slot.h"
}

namespace
{
// Guards against a database that takes the place of one that has left while
// statements still refer to it: their counters wrap below zero, and they are
// executed at the wrong database.
TEST(DbSlot, IsFreeOnceNothingRefersToIt)
{
	const struct {
		const char *name;
		struct db_slot slot;
		bool is_free;
	} cases[] = {
		{ "never used", { false, false, 0, 0 }, true },
		{ "in use", { true, false, 0, 0 }, false },
		{ "left, a connection is busy", { false, true, 0, 0 }, false },
		{ "left, a statement waits", { false, false, 1, 0 }, false },
		{ "left, its owner executes one",
		  { false, false, 0, 1 },
		  false },
	};
	for (const auto &c : cases)
		EXPECT_EQ(db_slot_is_free(&c.slot), c.is_free) << c.name;
}
} // namespace
