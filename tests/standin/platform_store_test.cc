#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "standin/platform_store.h"
}

namespace
{
class PlatformStore : public testing::Test
{
      protected:
	PlatformStore() : s(platform_store_create(1000))
	{
	}
	~PlatformStore() override
	{
		platform_store_destroy(s);
	}
	std::string put(const char *name, uint64_t expected, int n)
	{
		json_t *body = json_pack("{s:i}", "n", n);
		uint64_t v;
		enum put_result r =
			platform_store_put(s, name, expected, body, &v);
		json_decref(body);
		return (r == PUT_OK ? "ok " : "conflict ") + std::to_string(v);
	}
	std::string list(const char *prefix, uint64_t after)
	{
		json_t *j = platform_store_list(s, prefix, after);
		std::string out;
		size_t i;
		json_t *o;
		json_array_foreach(json_object_get(j, "objects"), i, o) out +=
			std::string(
				json_string_value(json_object_get(o, "name"))) +
			" ";
		json_decref(j);
		return out;
	}
	std::string vms(usec_t now, usec_t lag)
	{
		json_t *j = platform_store_list_vms(s, now, lag);
		std::string out;
		size_t i;
		json_t *o;
		json_array_foreach(json_object_get(j, "vms"), i, o) out +=
			std::string(
				json_string_value(json_object_get(o, "name"))) +
			":" + json_string_value(json_object_get(o, "state")) +
			" ";
		json_decref(j);
		return out;
	}
	void announce(const char *name, const char *state, usec_t now)
	{
		json_t *j =
			json_pack("{s:s,s:s}", "name", name, "state", state);
		struct error e = {};
		EXPECT_EQ(platform_store_announce(s, j, now, &e), 0);
		json_decref(j);
	}
	struct platform_store *s;
};

TEST_F(PlatformStore, VersionsOnlyIncrease)
{
	const struct {
		const char *name;
		uint64_t expected;
		const char *want;
	} cases[] = {
		{ "g/a", 1, "conflict 0" }, { "g/a", 0, "ok 1" },
		{ "g/a", 0, "conflict 1" }, { "g/a", 1, "ok 2" },
		{ "g/a", 1, "conflict 2" }, { "g/b", 0, "ok 1" },
	};
	for (const auto &c : cases)
		EXPECT_EQ(put(c.name, c.expected, 1), c.want)
			<< c.name << " " << c.expected;
}

TEST_F(PlatformStore, ListsChangedObjects)
{
	put("g/a", 0, 1);
	put("h/a", 0, 1);
	put("g/b", 0, 1);
	put("g/a", 1, 2);
	const struct {
		const char *prefix;
		uint64_t after;
		const char *want;
	} cases[] = {
		{ "g/", 0, "g/a g/b " },   { "g/", 3, "g/a " }, { "g/", 4, "" },
		{ "", 1, "g/a g/b h/a " }, { "x", 0, "" },
	};
	for (const auto &c : cases) {
		EXPECT_EQ(list(c.prefix, c.after), c.want)
			<< c.prefix << " " << c.after;
		EXPECT_EQ(platform_store_has_changes(s, c.prefix, c.after),
			  *c.want != '\0')
			<< c.prefix << " " << c.after;
	}
	EXPECT_EQ(platform_store_revision(s), 4U);
}

TEST_F(PlatformStore, VmsLagAndExpire)
{
	announce("a", "live", 100);
	announce("b", "live", 200);
	announce("a", "departing", 300);
	announce("b", "live", 1000);
	const struct {
		usec_t now, lag;
		const char *want;
	} cases[] = {
		{ 300, 0, "a:departing b:live " },
		{ 300, 50, "a:live b:live " },
		{ 300, 150, "a:live " },
		{ 300, 250, "" },
		{ 1300, 0, "a:departing b:live " },
		{ 1301, 0, "b:live " },
		{ 2000, 0, "b:live " },
		{ 2500, 500, "b:live " },
		{ 2501, 500, "" },
	};
	for (const auto &c : cases)
		EXPECT_EQ(vms(c.now, c.lag), c.want) << c.now << " " << c.lag;
}
} // namespace
