#include <gtest/gtest.h>

extern "C" {
#include "decide/error.h"
}

namespace
{
const struct lineage kLog = {
	.n = 3,
	.start = { { 1, 0 }, { 3, 57 }, { 5, 90 } },
};

TEST(Lineage, Covers)
{
	const struct {
		const char *name;
		struct log_pos want;
		bool covered;
	} cases[] = {
		{ "nothing required", { 0, 0 }, true },
		{ "in the first term", { 1, 57 }, true },
		{ "cut off by the next term", { 1, 58 }, false },
		{ "in a middle term", { 3, 90 }, true },
		{ "before the start of its term", { 3, 57 }, false },
		{ "last entry", { 5, 100 }, true },
		{ "not yet replicated", { 5, 101 }, false },
		{ "unknown term", { 4, 60 }, false },
	};
	for (const auto &c : cases)
		EXPECT_EQ(lineage_contains(&kLog, { 5, 100 }, c.want),
			  c.covered)
			<< c.name;
}

TEST(Error, CarriesStepAndPeer)
{
	struct error e;
	EXPECT_EQ(error_set(&e, ERR_NO_PRIMARY, STEP_ROUTE, "10.0.0.1:5000",
			    "%d of 3", 1),
		  -1);
	EXPECT_STREQ(error_code_name(e.code), "no_primary");
	EXPECT_STREQ(step_name(e.step), "route");
	EXPECT_STREQ(e.peer, "10.0.0.1:5000");
	EXPECT_STREQ(e.message, "1 of 3");
	EXPECT_EQ(error_http_status(e.code), 503);
}

TEST(Error, NamesRoundTrip)
{
	for (int i = 0; i < ERR_COUNT; i++)
		EXPECT_EQ(error_code_from_name(
				  error_code_name((enum error_code)i)),
			  i);
	for (int i = 0; i < STEP_COUNT; i++)
		EXPECT_EQ(step_from_name(step_name((enum step)i)), i);
}
} // namespace
