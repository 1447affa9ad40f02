#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "proxy/strmap.h"
}

namespace
{
bool set(struct strmap *t, const std::string &name, const std::string &value)
{
	return strmap_set(t, name.data(), name.size(), value.data(),
			  value.size(), false);
}

TEST(Strmap, SetReplaceRemove)
{
	struct strmap t = {};
	ASSERT_TRUE(set(&t, "a", "1"));
	ASSERT_TRUE(set(&t, "ab", "2"));
	ASSERT_TRUE(set(&t, "a", "3"));
	EXPECT_EQ(t.n, 2u);
	EXPECT_STREQ(strmap_find(&t, "a", 1)->value, "3");
	EXPECT_STREQ(strmap_find(&t, "ab", 2)->value, "2");
	EXPECT_EQ(strmap_find(&t, "abc", 3), nullptr);
	strmap_remove(&t, "a", 1);
	EXPECT_EQ(strmap_find(&t, "a", 1), nullptr);
	EXPECT_STREQ(strmap_find(&t, "ab", 2)->value, "2");
	strmap_clear(&t);
	EXPECT_EQ(t.n, 0u);
}

TEST(Strmap, Bounded)
{
	struct strmap t = {};
	for (int i = 0; i < STRMAP_ENTRIES_MAX; i++)
		ASSERT_TRUE(set(&t, std::to_string(i), "v"));
	EXPECT_FALSE(set(&t, "one more", "v"));
	EXPECT_TRUE(set(&t, "7", "w")) << "replacing a value";
	strmap_clear(&t);
}

TEST(Strmap, Differences)
{
	const struct {
		const char *name;
		const char *have, *want; // pairs of letters: name, value
		bool has_extra;
		uint32_t missing;
	} cases[] = {
		{ "both empty", "", "", false, 0 },
		{ "equal", "a1b2", "b2a1", false, 0 },
		{ "one value differs", "a1b2", "a1b3", false, 1 },
		{ "one missing", "a1", "a1b2", false, 1 },
		{ "one extra", "a1b2", "a1", true, 0 },
		{ "one extra, one missing", "a1c3", "a1b2", true, 1 },
	};
	for (const auto &c : cases) {
		struct strmap have = {}, want = {};
		for (const char *p = c.have; *p; p += 2)
			set(&have, std::string(p, 1), std::string(p + 1, 1));
		for (const char *p = c.want; *p; p += 2)
			set(&want, std::string(p, 1), std::string(p + 1, 1));
		EXPECT_EQ(strmap_has_extra(&have, &want), c.has_extra)
			<< c.name;
		EXPECT_EQ(strmap_count_changes(&have, &want), c.missing)
			<< c.name;
		strmap_clear(&have);
		strmap_clear(&want);
	}
}
} // namespace
