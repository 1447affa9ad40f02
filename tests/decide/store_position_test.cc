#include <gtest/gtest.h>

extern "C" {
#include "decide/store_position.h"
}

namespace
{
constexpr usec_t kNow = 100 * USEC_PER_SEC;

// A restored store gives revisions out again: a later era is later whatever the
// revision.
TEST(StorePosition, OrderedByEraFirst)
{
	const struct {
		const char *name;
		struct store_position a, b;
		int order;
	} cases[] = {
		{ "same", { 1, 7 }, { 1, 7 }, 0 },
		{ "later revision", { 1, 8 }, { 1, 7 }, 1 },
		{ "later era, lower revision", { 2, 3 }, { 1, 7 }, 1 },
		{ "earlier era, same revision", { 1, 7 }, { 2, 7 }, -1 },
		{ "no era told", { 0, 9 }, { 1, 1 }, -1 },
	};
	for (const auto &c : cases)
		EXPECT_EQ(store_position_compare(&c.a, &c.b), c.order)
			<< c.name;
}

TEST(StorePosition, TokensRiseOverEras)
{
	const struct {
		const char *name;
		struct store_position earlier, later;
	} cases[] = {
		{ "revisions", { 0, 7 }, { 0, 8 } },
		{ "an era told for the first time", { 0, 4000000 }, { 1, 7 } },
		{ "revision fell", { 1, 4000000 }, { 2, 1 } },
		{ "revision given out again", { 1, 7 }, { 2, 7 } },
		{ "twice restored", { 2, UINT64_C(1) << 39 }, { 4, 1 } },
	};
	for (const auto &c : cases) {
		uint64_t a = 0, b = 0;
		ASSERT_TRUE(store_position_token(&c.earlier, &a)) << c.name;
		ASSERT_TRUE(store_position_token(&c.later, &b)) << c.name;
		EXPECT_LT(a, b) << c.name;
	}
}

TEST(StorePosition, RefusesWhatNoTokenCanHold)
{
	const struct {
		const char *name;
		struct store_position at;
		bool ok;
	} cases[] = {
		{ "no revision", { 1, 0 }, false },
		{ "largest revision", { 1, (UINT64_C(1) << 40) - 1 }, true },
		{ "revision too large", { 1, UINT64_C(1) << 40 }, false },
		{ "largest era", { (UINT64_C(1) << 23) - 1, 1 }, true },
		{ "era too large", { UINT64_C(1) << 23, 1 }, false },
	};
	for (const auto &c : cases) {
		uint64_t token = 0;
		EXPECT_EQ(store_position_token(&c.at, &token), c.ok) << c.name;
		EXPECT_LE(token, (uint64_t)INT64_MAX) << c.name;
	}
}

TEST(StoreEra, NotesEras)
{
	const struct {
		const char *name;
		struct store_era known;
		uint64_t era;
		enum store_era_view view;
		uint64_t after;
		usec_t since;
	} cases[] = {
		{ "first heard of",
		  { false, 0, 0 },
		  5,
		  STORE_ERA_CURRENT,
		  5,
		  kNow },
		{ "first one is 0",
		  { false, 0, 0 },
		  0,
		  STORE_ERA_CURRENT,
		  0,
		  kNow },
		{ "known",
		  { true, 5, kNow - 10 },
		  5,
		  STORE_ERA_CURRENT,
		  5,
		  kNow - 10 },
		{ "a peer heard of it earlier",
		  { true, 5, kNow + 10 },
		  5,
		  STORE_ERA_CURRENT,
		  5,
		  kNow },
		{ "later", { true, 5, 10 }, 6, STORE_ERA_RESTORED, 6, kNow },
		{ "later by two",
		  { true, 5, 10 },
		  7,
		  STORE_ERA_RESTORED,
		  7,
		  kNow },
		{ "earlier", { true, 5, 10 }, 4, STORE_ERA_PAST, 5, 10 },
		{ "no longer told", { true, 5, 10 }, 0, STORE_ERA_PAST, 5, 10 },
	};
	for (const auto &c : cases) {
		struct store_era s = c.known;
		EXPECT_EQ(store_era_note(&s, c.era, kNow), c.view) << c.name;
		EXPECT_EQ(s.era, c.after) << c.name;
		EXPECT_EQ(s.known_since, c.since) << c.name;
		EXPECT_TRUE(s.is_known) << c.name;
	}
}

TEST(StoreEra, SettledAfterItsTime)
{
	const struct {
		const char *name;
		struct store_era s;
		bool settled;
	} cases[] = {
		{ "none known", { false, 0, 0 }, false },
		{ "just heard of", { true, 1, kNow }, false },
		{ "almost", { true, 1, kNow - 4 }, false },
		{ "long enough", { true, 1, kNow - 5 }, true },
	};
	for (const auto &c : cases)
		EXPECT_EQ(store_era_is_settled(&c.s, kNow, 5), c.settled)
			<< c.name;
}
} // namespace
