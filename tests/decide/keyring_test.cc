#include <cstring>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

extern "C" {
#include "decide/freshness.h"
#include "decide/hash_index.h"
#include "decide/keyring.h"
}

namespace
{
struct keyring_key key(const char *secret, const char *team, bool withdrawn)
{
	struct keyring_key k = {};
	key_hash(secret, k.hash);
	snprintf(k.team, sizeof(k.team), "%s", team);
	snprintf(k.key_id, sizeof(k.key_id), "id-%s", secret);
	k.withdrawn = withdrawn;
	return k;
}

const struct keyring_key *find(struct keyring *k, const char *secret)
{
	uint8_t h[KEY_HASH_BYTES];
	key_hash(secret, h);
	return keyring_find(k, h);
}

TEST(Keyring, ReplaceWithdrawsAndRemoves)
{
	struct keyring *k = keyring_create();
	std::vector<struct keyring_key> v = { key("s1", "ant", false),
					      key("s2", "ant", false) };
	ASSERT_EQ(keyring_replace(k, 7, v.data(), v.size()), 0);
	struct keyring_key other = key("s3", "bee", false);
	ASSERT_EQ(keyring_replace(k, 8, &other, 1), 0);
	ASSERT_NE(find(k, "s1"), nullptr);
	EXPECT_STREQ(find(k, "s1")->team, "ant");
	EXPECT_EQ(find(k, "s4"), nullptr);

	v = { key("s1", "ant", true) };
	ASSERT_EQ(keyring_replace(k, 7, v.data(), v.size()), 0);
	EXPECT_TRUE(find(k, "s1")->withdrawn);
	EXPECT_EQ(find(k, "s2"), nullptr) << "not in the newer version";
	EXPECT_NE(find(k, "s3"), nullptr) << "in another object";

	v = { key("s1", "ant", false) };
	ASSERT_EQ(keyring_replace(k, 7, v.data(), v.size()), 0);
	EXPECT_TRUE(find(k, "s1")->withdrawn) << "never live again";
	EXPECT_EQ(keyring_count(k), 2u);
	keyring_destroy(k);
}

TEST(Keyring, ManyKeysComeAndGo)
{
	struct keyring *k = keyring_create();
	for (uint32_t round = 0; round < 5; round++) {
		std::vector<struct keyring_key> v;
		for (int i = 0; i < 1000; i++)
			v.push_back(key(
				("s" + std::to_string(round * 500 + i)).c_str(),
				"ant", false));
		ASSERT_EQ(keyring_replace(k, 1, v.data(), v.size()), 0);
		ASSERT_EQ(keyring_count(k), 1000u);
		for (const auto &c : v)
			ASSERT_NE(keyring_find(k, c.hash), nullptr);
	}
	EXPECT_EQ(find(k, "s0"), nullptr);
	keyring_destroy(k);
}

TEST(HashIndex, MatchesASetUnderCollisions)
{
	struct hash_index ix = {};
	std::unordered_set<uint32_t> in;
	std::mt19937 rng(5);
	for (int i = 0; i < 20000; i++) {
		uint32_t h = rng() % 300;
		uint64_t hash = h % 37;
		if (in.count(h)) {
			hash_index_remove(&ix, hash, h);
			in.erase(h);
		} else {
			ASSERT_TRUE(hash_index_put(&ix, hash, h));
			in.insert(h);
		}
		uint32_t want = rng() % 300;
		uint32_t cursor;
		bool found = false;
		for (uint32_t g = hash_index_first(&ix, want % 37, &cursor);
		     g != HANDLE_NONE;
		     g = hash_index_next(&ix, want % 37, &cursor))
			found = found || g == want;
		ASSERT_EQ(found, in.count(want) == 1);
	}
	hash_index_free(&ix);
}

TEST(Freshness, States)
{
	const usec_t s = USEC_PER_SEC;
	const usec_t now = 100 * s;
	const struct {
		const char *name;
		// Ages; -1 stands for none.
		usec_t platform;      // this VM's own contact with the platform
		usec_t peer;	      // a peer's response
		usec_t peer_platform; // the platform contact that it reports
		usec_t b, c;	      // contact with domains b and c
		bool others;
		enum freshness_state want;
	} cases[] = {
		{ "nothing heard", -1, -1, 0, -1, -1, true, FRESH_LAPSED },
		{ "own contact", 2 * s, -1, 0, -1, -1, true, FRESH },
		{ "own contact too old", 4 * s, -1, 0, -1, -1, true,
		  FRESH_LAPSED },
		{ "contact of a peer", -1, s, s, -1, -1, true, FRESH },
		{ "contact of a peer too old", -1, s, 3 * s, -1, -1, true,
		  FRESH_OUTAGE }, // b responded, only c may be missing
		{ "outage, all domains reached", 60 * s, s, 60 * s, s, s, true,
		  FRESH_OUTAGE },
		{ "outage, one domain unreachable", 60 * s, s, 60 * s, s, -1,
		  true, FRESH_OUTAGE },
		{ "cut off: only the own domain reached", 60 * s, -1, 0, -1, -1,
		  true, FRESH_LAPSED },
		{ "all contacts too old", 60 * s, 9 * s, 60 * s, 9 * s, 9 * s,
		  true, FRESH_LAPSED },
	};
	for (const auto &c : cases) {
		struct freshness f;
		freshness_init(&f, "a");
		freshness_add_domain(&f, "b");
		freshness_add_domain(&f, "c");
		if (c.platform >= 0)
			freshness_on_platform_contact(&f, now - c.platform);
		if (c.peer >= 0)
			freshness_on_peer_report(&f, "b", now - c.peer,
						 c.peer_platform);
		freshness_on_domain_contact(&f, "b", now, c.b);
		freshness_on_domain_contact(&f, "c", now, c.c);
		EXPECT_EQ(freshness_check(&f, now, 3 * s, c.others), c.want)
			<< c.name;
	}
}

// Two VMs that have both lost the platform must not keep each other fresh.
TEST(Freshness, LapsedVmDoesNotRefreshAPeer)
{
	struct freshness a;
	struct freshness b;
	freshness_init(&a, "a");
	freshness_init(&b, "b");
	for (const char *d : { "a", "b", "c" }) {
		freshness_add_domain(&a, d);
		freshness_add_domain(&b, d);
	}
	freshness_on_platform_contact(&a, 0);
	EXPECT_EQ(freshness_check(&a, 5, 10, true), FRESH);
	EXPECT_EQ(freshness_platform_age(&a, 5), 5);
	EXPECT_EQ(freshness_platform_age(&a, 50), -1) << "lapsed";
	freshness_on_peer_report(&b, "a", 50, freshness_platform_age(&a, 50));
	freshness_on_peer_report(&a, "b", 50, freshness_platform_age(&b, 50));
	EXPECT_EQ(freshness_check(&a, 51, 10, true), FRESH_LAPSED);
	EXPECT_EQ(freshness_check(&b, 51, 10, true), FRESH_LAPSED);
}

TEST(Freshness, AloneInTheFleet)
{
	struct freshness f;
	freshness_init(&f, "a");
	EXPECT_EQ(freshness_check(&f, 100, 10, false), FRESH_LAPSED);
	freshness_on_platform_contact(&f, 0);
	EXPECT_EQ(freshness_check(&f, 100, 10, false), FRESH_OUTAGE);
	EXPECT_EQ(freshness_check(&f, 100, 10, true), FRESH_LAPSED);
}

// During an outage of the platform, a VM serves only if it reaches all failure
// domains but one. So no VMs in two domains beyond its reach can accept a
// change that it does not know.
TEST(Freshness, ServingInAnOutageExcludesAcceptance)
{
	const char *names[] = { "a", "b", "c", "d", "e" };
	for (unsigned n = 2; n <= 5; n++) {
		for (unsigned reach = 1; reach < (1U << n); reach += 2) {
			struct freshness f;
			freshness_init(&f, "a");
			freshness_on_platform_contact(&f, 0);
			for (unsigned i = 1; i < n; i++) {
				freshness_add_domain(&f, names[i]);
				if (reach & (1U << i))
					freshness_on_peer_report(&f, names[i],
								 1000, 1000);
			}
			f.peer_at = 1000;
			bool serves = freshness_check(&f, 1000, 100, true) ==
				      FRESH_OUTAGE;
			unsigned unreached = n - __builtin_popcount(reach);
			EXPECT_EQ(serves, unreached < 2) << n << " " << reach;
		}
	}
}
} // namespace
