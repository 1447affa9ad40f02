#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "proxy/names.h"
}

namespace
{
bool set(struct strmap *t, const std::string &name, const std::string &value)
{
	return names_set(t, name.data(), name.size(), value.data(),
			 value.size(), false);
}

TEST(Names, SetReplaceRemove)
{
	struct strmap t = {};
	ASSERT_TRUE(set(&t, "a", "1"));
	ASSERT_TRUE(set(&t, "ab", "2"));
	ASSERT_TRUE(set(&t, "a", "3"));
	EXPECT_EQ(t.n, 2u);
	EXPECT_STREQ(names_find(&t, "a", 1)->value, "3");
	EXPECT_STREQ(names_find(&t, "ab", 2)->value, "2");
	EXPECT_EQ(names_find(&t, "abc", 3), nullptr);
	names_remove(&t, "a", 1);
	EXPECT_EQ(names_find(&t, "a", 1), nullptr);
	EXPECT_STREQ(names_find(&t, "ab", 2)->value, "2");
	names_clear(&t);
	EXPECT_EQ(t.n, 0u);
}

TEST(Names, Bounded)
{
	struct strmap t = {};
	for (int i = 0; i < NAMES_MAX; i++)
		ASSERT_TRUE(set(&t, std::to_string(i), "v"));
	EXPECT_FALSE(set(&t, "one more", "v"));
	EXPECT_TRUE(set(&t, "7", "w")) << "one that is there";
	names_clear(&t);
}

TEST(Names, WhatASessionNeeds)
{
	const struct {
		const char *name;
		const char *have, *want; // pairs of letters: name, value
		bool exceed;
		uint32_t differ;
	} cases[] = {
		{ "both empty", "", "", false, 0 },
		{ "the same", "a1b2", "b2a1", false, 0 },
		{ "another value", "a1b2", "a1b3", false, 1 },
		{ "one to be set", "a1", "a1b2", false, 1 },
		{ "one too many", "a1b2", "a1", true, 0 },
		{ "one too many, one missing", "a1c3", "a1b2", true, 1 },
	};
	for (const auto &c : cases) {
		struct strmap have = {}, want = {};
		for (const char *p = c.have; *p; p += 2)
			set(&have, std::string(p, 1), std::string(p + 1, 1));
		for (const char *p = c.want; *p; p += 2)
			set(&want, std::string(p, 1), std::string(p + 1, 1));
		EXPECT_EQ(names_exceed(&have, &want), c.exceed) << c.name;
		EXPECT_EQ(names_differ(&have, &want), c.differ) << c.name;
		names_clear(&have);
		names_clear(&want);
	}
}
} // namespace
