#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "decide/session_token.h"
}

namespace
{
constexpr int64_t kNow = 1700000000000000;
constexpr int64_t kMaxAge = 3600LL * USEC_PER_SEC;

struct session_token_keys keys(uint8_t current, int previous = -1)
{
	struct session_token_keys k = {};
	memset(k.current, current, sizeof(k.current));
	if (previous >= 0) {
		memset(k.previous, previous, sizeof(k.previous));
		k.has_previous = true;
	}
	return k;
}

std::string encoded(const struct session_token &t,
		    const struct session_token_keys &k)
{
	char text[SESSION_TOKEN_TEXT_BYTES];
	EXPECT_EQ(session_token_encode(&t, &k, kNow, text), 0);
	return text;
}

struct session_token sample()
{
	struct session_token t;
	session_token_init(&t, "haneul");
	session_token_raise(&t, "quotes", { 5, 120 });
	session_token_mark_unknown(&t, "orders", 7);
	return t;
}

TEST(SessionToken, RoundTrip)
{
	struct session_token_keys k = keys(1);
	struct session_token t = sample();
	struct session_token got;
	std::string text = encoded(t, k);
	ASSERT_EQ(session_token_decode(&got, text.c_str(), "haneul", &k, kNow,
				       kMaxAge),
		  SESSION_TOKEN_OK);
	EXPECT_EQ(got.n, 2U);
	EXPECT_FALSE(got.evicted);
	EXPECT_EQ(session_token_find(&got, "quotes")->seen.position, 120U);
	EXPECT_EQ(session_token_find(&got, "orders")->unknown_term, 7U);
	EXPECT_EQ(session_token_find(&got, "wire"), nullptr);
}

TEST(SessionToken, Refused)
{
	std::string good = encoded(sample(), keys(1));
	std::string tampered = good;
	tampered[tampered.size() / 2] =
		tampered[tampered.size() / 2] == 'A' ? 'B' : 'A';
	const struct {
		const char *name;
		std::string text;
		const char *team;
		struct session_token_keys keys;
		int64_t wall;
		enum session_token_result want;
	} cases[] = {
		{ "good", good, "haneul", keys(1), kNow, SESSION_TOKEN_OK },
		{ "previous secret", good, "haneul", keys(2, 1), kNow,
		  SESSION_TOKEN_OK },
		{ "secret expired", good, "haneul", keys(3, 2), kNow,
		  SESSION_TOKEN_BAD_MAC },
		{ "tampered", tampered, "haneul", keys(1), kNow,
		  SESSION_TOKEN_BAD_MAC },
		{ "cut", good.substr(0, good.size() - 4), "haneul", keys(1),
		  kNow, SESSION_TOKEN_BAD_MAC },
		{ "empty", "", "haneul", keys(1), kNow,
		  SESSION_TOKEN_MALFORMED },
		{ "not base64", "!!!!", "haneul", keys(1), kNow,
		  SESSION_TOKEN_MALFORMED },
		{ "only a MAC", good.substr(0, 40), "haneul", keys(1), kNow,
		  SESSION_TOKEN_MALFORMED },
		{ "other team", good, "tallowgrove", keys(1), kNow,
		  SESSION_TOKEN_OTHER_TEAM },
		{ "expired", good, "haneul", keys(1), kNow + kMaxAge + 1,
		  SESSION_TOKEN_EXPIRED },
		{ "too large", std::string(SESSION_TOKEN_TEXT_BYTES, 'A'),
		  "haneul", keys(1), kNow, SESSION_TOKEN_TOO_LARGE },
	};
	for (const auto &c : cases) {
		struct session_token got;
		EXPECT_EQ(session_token_decode(&got, c.text.c_str(), c.team,
					       &c.keys, c.wall, kMaxAge),
			  c.want)
			<< c.name;
		EXPECT_EQ(got.n, c.want == SESSION_TOKEN_OK ? 2U : 0U)
			<< c.name;
		EXPECT_STREQ(got.team, c.team) << c.name;
	}
}

TEST(SessionToken, AnyChangedCharacterIsDetected)
{
	struct session_token_keys k = keys(1);
	std::string good = encoded(sample(), k);
	struct session_token got;
	for (size_t i = 0; i + 1 < good.size(); i++) {
		std::string bad = good;
		bad[i] = bad[i] == 'Q' ? 'R' : 'Q';
		EXPECT_NE(session_token_decode(&got, bad.c_str(), "haneul", &k,
					       kNow, kMaxAge),
			  SESSION_TOKEN_OK)
			<< i;
	}
}

TEST(SessionToken, PositionsNeverDecrease)
{
	struct session_token t = sample();
	const struct {
		struct log_pos seen;
		bool moved;
		struct log_pos after;
	} cases[] = {
		{ { 5, 119 }, false, { 5, 120 } },
		{ { 5, 120 }, false, { 5, 120 } },
		{ { 5, 121 }, true, { 5, 121 } },
		{ { 6, 110 }, true, { 6, 110 } },
		{ { 5, 500 }, false, { 6, 110 } },
	};
	for (const auto &c : cases) {
		EXPECT_EQ(session_token_raise(&t, "quotes", c.seen), c.moved);
		EXPECT_EQ(log_pos_cmp(session_token_find(&t, "quotes")->seen,
				      c.after),
			  0);
	}
}

TEST(SessionToken, UnknownTermIsClearedOnlyByALaterTerm)
{
	struct session_token t = sample();
	session_token_settle(&t, "orders", 7);
	EXPECT_EQ(session_token_find(&t, "orders")->unknown_term, 7U);
	session_token_mark_unknown(&t, "orders", 6);
	EXPECT_EQ(session_token_find(&t, "orders")->unknown_term, 7U);
	session_token_settle(&t, "orders", 8);
	EXPECT_EQ(session_token_find(&t, "orders")->unknown_term, 0U);
}

TEST(SessionToken, EvictsLeastRecentlyUsedEntry)
{
	struct session_token t;
	session_token_init(&t, "haneul");
	for (int i = 0; i < SESSION_TOKEN_ENTRIES_MAX; i++)
		session_token_raise(&t, ("s" + std::to_string(i)).c_str(),
				    { 1, 1 });
	EXPECT_FALSE(t.evicted);
	session_token_raise(&t, "s0", { 1, 2 });
	session_token_raise(&t, "s8", { 1, 1 });
	EXPECT_TRUE(t.evicted);
	EXPECT_EQ(t.n, (uint32_t)SESSION_TOKEN_ENTRIES_MAX);
	EXPECT_EQ(session_token_find(&t, "s1"), nullptr);
	EXPECT_NE(session_token_find(&t, "s0"), nullptr);
	EXPECT_NE(session_token_find(&t, "s8"), nullptr);
}

TEST(SessionToken, LongestNamesStayWithinSizeLimit)
{
	struct session_token_keys k = keys(1);
	struct session_token t;
	struct session_token got;
	std::string name(NAME_MAX_BYTES - 2, 'x');
	session_token_init(&t, std::string(NAME_MAX_BYTES - 1, 't').c_str());
	for (int i = 0; i < SESSION_TOKEN_ENTRIES_MAX; i++) {
		std::string s = name + (char)('0' + i);
		session_token_raise(&t, s.c_str(), { UINT64_MAX, UINT64_MAX });
		session_token_mark_unknown(&t, s.c_str(), UINT64_MAX);
	}
	std::string text = encoded(t, k);
	EXPECT_LT(text.size(), (size_t)SESSION_TOKEN_TEXT_BYTES);
	ASSERT_EQ(session_token_decode(&got, text.c_str(), t.team, &k, kNow,
				       kMaxAge),
		  SESSION_TOKEN_OK);
	EXPECT_TRUE(got.evicted);
	EXPECT_GE(got.n, 6U);
	EXPECT_NE(session_token_find(&got, (name + '7').c_str()), nullptr);
}
} // namespace
