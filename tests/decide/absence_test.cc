#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "decide/absence.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kBack = 2500 * kMs;

TEST(Absence, LeavesOnlyAfterMissingForLong)
{
	const struct {
		const char *name;
		bool departing;
		// Lists: time in ms, negative if the member is in it.
		std::vector<int> lists;
		bool left;
	} cases[] = {
		{ "missed once", false, { 10000 }, false },
		{ "missed twice, soon", false, { 10000, 12400 }, false },
		{ "missed for long", false, { 10000, 12500 }, true },
		{ "one list long after another",
		  false,
		  { 10000, 20000 },
		  true },
		{ "back in between", false, { 10000, -11000, 13000 }, false },
		{ "back, then missed for long",
		  false,
		  { 10000, -11000, 12000, 14500 },
		  true },
		{ "had announced it", true, { 10000 }, true },
	};
	for (const auto &c : cases) {
		struct absence a = {};
		bool left = false;
		for (int t : c.lists) {
			if (t < 0)
				absence_seen(&a);
			else
				left = absence_missed(&a, t * kMs, c.departing,
						      kBack);
		}
		EXPECT_EQ(left, c.left) << c.name;
	}
}
} // namespace
