#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "decide/homes.h"
}

namespace
{
using Regions = std::vector<std::string>;

struct homes homes_of(const Regions &names)
{
	struct homes h = {};
	for (const auto &name : names)
		homes_add(&h, name.c_str());
	return h;
}

// Guards against a statement, or its text, that reaches a region where its
// route or its team must not run.
TEST(Homes, RouteAndTeam)
{
	const struct {
		const char *name;
		Regions route;
		Regions team;
		const char *region;
		bool allowed;
	} cases[] = {
		{ "nothing bound", {}, {}, "east", true },
		{ "nothing bound, region unknown", {}, {}, nullptr, true },
		{ "the route's home", { "east" }, {}, "east", true },
		{ "not the route's home", { "east" }, {}, "west", false },
		{ "the team's home", {}, { "west", "east" }, "east", true },
		{ "not the team's home", {}, { "west" }, "east", false },
		{ "home of both",
		  { "east", "north" },
		  { "north", "west" },
		  "north",
		  true },
		{ "only the route's",
		  { "east", "north" },
		  { "north", "west" },
		  "east",
		  false },
		{ "nothing in common", { "east" }, { "west" }, "east", false },
		{ "bound, region unknown", { "east" }, {}, nullptr, false },
		{ "a region twice", { "east", "east" }, {}, "east", true },
	};
	for (const auto &c : cases) {
		struct homes route = homes_of(c.route);
		struct homes team = homes_of(c.team);
		struct homes both = homes_both(&route, &team);
		EXPECT_EQ(homes_allow(&both, c.region), c.allowed) << c.name;
	}
}

// More regions than fit close those beyond, and open none.
TEST(Homes, TooMany)
{
	Regions names;
	for (int i = 0; i < HOMES_MAX + 1; i++)
		names.push_back("r" + std::to_string(i));
	struct homes h = homes_of(names);
	EXPECT_TRUE(homes_allow(&h, "r0"));
	EXPECT_FALSE(homes_allow(&h, names.back().c_str()));
}
} // namespace
