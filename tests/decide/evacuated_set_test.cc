#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/evacuated_set.h"
}

namespace
{
struct Spec {
	bool is_known, is_settled;
	store_position at;
	std::vector<const char *> domains;
};

evacuated_set make(const Spec &s)
{
	evacuated_set out = {};
	out.is_known = s.is_known;
	out.is_settled = s.is_settled;
	out.at = s.at;
	for (const char *d : s.domains)
		EXPECT_TRUE(evacuated_set_add(&out, d));
	return out;
}

std::vector<std::string> domains(const evacuated_set &s)
{
	std::vector<std::string> out;
	for (uint32_t i = 0; i < s.n; i++)
		out.push_back(s.domain[i]);
	return out;
}

TEST(EvacuatedSet, Add)
{
	const struct {
		const char *name;
		std::string domain;
		bool added;
		uint32_t n;
	} cases[] = {
		{ "first", "z-2", true, 1 },
		{ "before it", "z-1", true, 2 },
		{ "again", "z-2", true, 2 },
		{ "empty", "", false, 2 },
		{ "longest", std::string(NAME_MAX_BYTES - 1, 'a'), true, 3 },
		{ "too long", std::string(NAME_MAX_BYTES, 'b'), false, 3 },
	};
	evacuated_set s = {};
	for (const auto &c : cases) {
		EXPECT_EQ(evacuated_set_add(&s, c.domain.c_str()), c.added)
			<< c.name;
		EXPECT_EQ(s.n, c.n) << c.name;
		EXPECT_EQ(evacuated_set_contains(&s, c.domain.c_str()), c.added)
			<< c.name;
	}
	auto all = domains(s);
	EXPECT_TRUE(std::is_sorted(all.begin(), all.end()));
	for (int i = 0; i < 2 * EVACUATED_DOMAINS_MAX; i++)
		evacuated_set_add(&s, ("d" + std::to_string(i)).c_str());
	EXPECT_EQ(s.n, (uint32_t)EVACUATED_DOMAINS_MAX);
	EXPECT_FALSE(evacuated_set_add(&s, "one more"));
}

TEST(EvacuatedSet, Merge)
{
	const struct {
		const char *name;
		Spec known, other;
		Spec result;
	} cases[] = {
		{ "first settled list",
		  { false, false, { 0, 0 }, {} },
		  { true, true, { 3, 10 }, { "a" } },
		  { true, true, { 3, 10 }, { "a" } } },
		{ "first list, which may lack entries",
		  { false, false, { 0, 0 }, {} },
		  { false, false, { 3, 10 }, { "a" } },
		  { false, false, { 3, 10 }, { "a" } } },
		{ "a domain more",
		  { true, true, { 3, 10 }, { "b" } },
		  { true, true, { 3, 11 }, { "a", "b" } },
		  { true, true, { 3, 11 }, { "a", "b" } } },
		{ "withdrawn",
		  { true, true, { 3, 10 }, { "a", "b" } },
		  { true, true, { 3, 11 }, { "b" } },
		  { true, true, { 3, 11 }, { "b" } } },
		{ "an older one of a peer",
		  { true, true, { 3, 11 }, {} },
		  { true, true, { 3, 10 }, { "a" } },
		  { true, true, { 3, 11 }, {} } },
		{ "the same",
		  { true, true, { 3, 10 }, { "a" } },
		  { true, true, { 3, 10 }, { "a" } },
		  { true, true, { 3, 10 }, { "a" } } },
		{ "a later revision of an earlier era",
		  { true, true, { 4, 2 }, {} },
		  { true, true, { 3, 900 }, { "a" } },
		  { true, true, { 4, 2 }, {} } },
		{ "restored, the copy lacks an entry",
		  { true, true, { 3, 900 }, { "a" } },
		  { false, false, { 4, 2 }, { "b" } },
		  { true, false, { 4, 2 }, { "a", "b" } } },
		{ "restored, and entries are back",
		  { true, true, { 3, 900 }, { "a" } },
		  { true, true, { 4, 2 }, { "b" } },
		  { true, true, { 4, 2 }, { "b" } } },
		{ "the kept entry, at the same position, to a VM that started",
		  { false, false, { 4, 2 }, {} },
		  { true, false, { 4, 2 }, { "a" } },
		  { true, false, { 4, 2 }, { "a" } } },
		{ "the list of a VM that started, to one with a kept entry",
		  { true, false, { 4, 2 }, { "a" } },
		  { false, false, { 4, 3 }, {} },
		  { true, false, { 4, 3 }, { "a" } } },
		{ "a VM that started hears one that has not seen the new era",
		  { false, false, { 4, 2 }, {} },
		  { true, true, { 3, 900 }, { "a" } },
		  { true, false, { 4, 2 }, { "a" } } },
		{ "settled at the same position: the kept entry ends",
		  { true, false, { 4, 2 }, { "a" } },
		  { true, true, { 4, 2 }, {} },
		  { true, true, { 4, 2 }, {} } },
		{ "settled, but older than an unsettled one",
		  { true, false, { 4, 5 }, { "b" } },
		  { true, true, { 4, 2 }, { "a" } },
		  { true, false, { 4, 5 }, { "a", "b" } } },
		{ "unsettled, but later than a settled one of the era",
		  { true, true, { 4, 2 }, { "a" } },
		  { true, false, { 4, 5 }, { "b" } },
		  { true, false, { 4, 5 }, { "b" } } },
		{ "unsettled at the position of a settled one",
		  { true, true, { 4, 2 }, {} },
		  { true, false, { 4, 2 }, { "a" } },
		  { true, true, { 4, 2 }, {} } },
	};
	for (const auto &c : cases) {
		evacuated_set got = make(c.known);
		evacuated_set other = make(c.other);
		evacuated_set_merge(&got, &other);
		EXPECT_EQ(got.is_known, c.result.is_known) << c.name;
		EXPECT_EQ(got.is_settled, c.result.is_settled) << c.name;
		EXPECT_EQ(store_position_compare(&got.at, &c.result.at), 0)
			<< c.name;
		EXPECT_EQ(domains(got), domains(make(c.result))) << c.name;
	}
}

// Guards against a set that depends on the order in which the sets of several
// lists arrive: whatever that is, the newest settled list is what all have.
TEST(EvacuatedSet, EveryOrderEndsWithTheNewestSettledList)
{
	const std::vector<Spec> lists = {
		{ true, true, { 3, 10 }, { "a" } },
		{ true, true, { 3, 20 }, { "a", "b" } },
		{ true, true, { 3, 900 }, { "b" } },
		{ false, false, { 4, 15 }, { "a" } },
		{ false, false, { 4, 16 }, {} },
		{ true, true, { 4, 17 }, { "c" } },
	};
	std::mt19937 random(20261204);
	for (int i = 0; i < 2000; i++) {
		std::vector<Spec> order = lists;
		evacuated_set s = {};
		std::shuffle(order.begin(), order.end(), random);
		for (const auto &o : order) {
			evacuated_set other = make(o);
			evacuated_set_merge(&s, &other);
		}
		EXPECT_EQ(domains(s), std::vector<std::string>{ "c" });
		EXPECT_TRUE(s.is_settled && s.is_known);
	}
}
} // namespace
