#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "kernel/platform.h"
#include "kernel/object_store.h"
}

namespace
{
struct Seen {
	std::vector<std::string> applied;
	std::map<std::string, uint64_t> highest;
	bool reverted = false;
};

int refuse_bad(void *, const char *, uint64_t, const char *body,
	       struct error *e)
{
	if (std::string(body) != "bad")
		return 0;
	return error_set(e, ERR_UNPROCESSABLE, STEP_CONFIG_CHECK, nullptr,
			 "bad");
}

void note(void *ctx, const char *name, uint64_t version, const char *body)
{
	auto *s = static_cast<Seen *>(ctx);
	s->applied.push_back(std::string(name) + "@" + std::to_string(version) +
			     "=" + body);
	if (version <= s->highest[name])
		s->reverted = true;
	s->highest[name] = version;
}

struct Store : testing::Test {
	struct store *s = store_create();
	struct error e = {};
	Seen seen;
	~Store() override
	{
		store_destroy(s);
	}
	std::string body(const char *name)
	{
		char *b = store_get(s, name, nullptr);
		std::string r = b ? b : "none";
		free(b);
		return r;
	}
};

TEST_F(Store, AppliesOnlyNewerAndValidVersions)
{
	store_subscribe(s, "config/", refuse_bad, note, &seen);
	const struct {
		const char *what;
		const char *name;
		uint64_t version;
		const char *body_given;
		bool applied_now;
		enum error_code code;
		const char *known;
	} steps[] = {
		{ "first", "config/a", 3, "x", true, ERR_NONE, "x" },
		{ "again", "config/a", 3, "y", false, ERR_NONE, "x" },
		{ "older", "config/a", 2, "y", false, ERR_NONE, "x" },
		{ "refused", "config/a", 9, "bad", false, ERR_UNPROCESSABLE,
		  "x" },
		{ "older than the refused one", "config/a", 8, "z", true,
		  ERR_NONE, "z" },
		{ "corrected", "config/a", 9, "w", true, ERR_NONE, "w" },
		{ "unchecked prefix", "teams/a", 1, "bad", true, ERR_NONE,
		  "bad" },
		{ "no version", "config/b", 0, "x", false, ERR_BAD_REQUEST,
		  "none" },
		{ "no name", "", 1, "x", false, ERR_BAD_REQUEST, "none" },
	};
	for (const auto &c : steps) {
		EXPECT_EQ(store_update(s, c.name, c.version, c.body_given, &e),
			  c.applied_now)
			<< c.what;
		EXPECT_EQ(e.code, c.code) << c.what;
		EXPECT_EQ(body(c.name), c.known) << c.what;
	}
	EXPECT_EQ(seen.applied,
		  (std::vector<std::string>{ "config/a@3=x", "config/a@8=z",
					     "config/a@9=w" }));
	EXPECT_EQ(store_count(s), 2u);
}

TEST_F(Store, RejectsOversizedNamesAndBodies)
{
	std::string name(OBJECT_NAME_BYTES, 'n');
	std::string big(OBJECT_MAX_BYTES + 1, 'b');
	EXPECT_FALSE(store_update(s, name.c_str(), 1, "x", &e));
	EXPECT_EQ(e.code, ERR_BAD_REQUEST);
	EXPECT_FALSE(store_update(s, "n", 1, big.c_str(), &e));
	EXPECT_EQ(e.code, ERR_TOO_LARGE);
	EXPECT_TRUE(store_update(s, "n", 1, big.c_str() + 1, &e));
}

TEST_F(Store, LateSubscriberReceivesExistingObjects)
{
	ASSERT_TRUE(store_update(s, "teams/aa", 4, "t", &e));
	ASSERT_TRUE(store_update(s, "config/a", 7, "c", &e));
	store_subscribe(s, "teams/", nullptr, note, &seen);
	EXPECT_EQ(seen.applied, (std::vector<std::string>{ "teams/aa@4=t" }));
}

TEST_F(Store, EnumeratesAPrefix)
{
	for (const char *n : { "a/1", "a/2", "b/1" })
		ASSERT_TRUE(store_update(s, n, 2, "body", &e));
	std::map<std::string, size_t> got;
	store_for_each(
		s, "a/",
		[](void *ctx, const char *n, uint64_t v, size_t len) {
			auto *m = static_cast<std::map<std::string, size_t> *>(
				ctx);
			(*m)[n] = len * v;
		},
		&got);
	EXPECT_EQ(got, (std::map<std::string, size_t>{ { "a/1", 8 },
						       { "a/2", 8 } }));
	EXPECT_EQ(store_version(s, "a/1"), 2u);
	EXPECT_EQ(store_version(s, "a/3"), 0u);
}

// Versions may arrive out of order or repeatedly. No subscriber may see a lower
// version after a higher one, and the highest valid version must remain.
TEST_F(Store, NeverRevertsUnderShuffledUpdates)
{
	std::mt19937 rng(20261203);
	store_subscribe(s, "", refuse_bad, note, &seen);
	std::map<std::string, uint64_t> best;
	for (int i = 0; i < 5000; i++) {
		std::string name = "config/" + std::to_string(rng() % 7);
		uint64_t v = 1 + rng() % 200;
		bool bad = v % 13 == 0;
		if (!bad)
			best[name] = std::max(best[name], v);
		store_update(s, name.c_str(), v, bad ? "bad" : "good", &e);
	}
	EXPECT_FALSE(seen.reverted);
	EXPECT_EQ(seen.highest, best);
}
} // namespace
