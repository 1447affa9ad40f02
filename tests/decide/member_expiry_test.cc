#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "decide/member_expiry.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kBack = 2500 * kMs;

struct List {
	int at; // request time in ms
	uint32_t known, missing;
};

TEST(MemberExpiry, MassExpiryIsHeldBack)
{
	const struct {
		const char *name;
		std::vector<List> lists;
		bool left; // expired at the last list
	} cases[] = {
		{ "one of nine", { { 10000, 9, 1 } }, true },
		{ "the only one", { { 10000, 1, 1 } }, true },
		{ "two of nine", { { 10000, 9, 2 } }, true },
		{ "three of nine", { { 10000, 9, 3 } }, false },
		{ "both of two", { { 10000, 2, 2 } }, false },
		{ "all, and all again soon after",
		  { { 10000, 24, 24 }, { 12400, 24, 24 } },
		  false },
		{ "all, for the whole time",
		  { { 10000, 24, 24 }, { 12500, 24, 24 } },
		  true },
		{ "one is not back yet",
		  { { 10000, 24, 24 }, { 11900, 24, 1 } },
		  false },
		{ "one does not come back at all",
		  { { 10000, 24, 24 }, { 11900, 24, 1 }, { 12500, 24, 1 } },
		  true },
		{ "all back, then many missing again",
		  { { 10000, 24, 24 }, { 11000, 24, 0 }, { 13000, 24, 9 } },
		  false },
		{ "many left, then many missing again",
		  { { 10000, 24, 9 }, { 12500, 24, 9 }, { 13000, 15, 9 } },
		  false },
	};
	for (const auto &c : cases) {
		struct member_expiry a = {};
		bool left = false;
		for (const auto &l : c.lists)
			left = member_expiry_confirmed(&a, l.known, l.missing,
						       l.at * kMs, kBack);
		EXPECT_EQ(left, c.left) << c.name;
	}
}
} // namespace
