#include <gtest/gtest.h>

#include <functional>

#include "view.h"

extern "C" {
#include "decide/write_quorum.h"
}

namespace
{
constexpr usec_t kNow = 50 * USEC_PER_SEC;
constexpr struct write_quorum_policy kPolicy = {
	.replica_fresh_us = 200000,
	.clock_rate_ppm = 1000,
};
using change = std::function<void(struct group_view &)>;

TEST(WriteQuorum, WriteMayStart)
{
	const struct {
		const char *name;
		uint32_t n;
		change set;
		bool possible;
	} cases[] = {
		{ "three live", 3, [](auto &) {}, true },
		{ "two live", 3, [](auto &v) { v.db[1].known = false; }, true },
		{ "one live", 3,
		  [](auto &v) { v.db[1].known = v.db[2].known = false; },
		  false },
		{ "replicas silent", 3,
		  [](auto &v) {
			  v.db[1].responded_at = v.db[2].responded_at =
				  kNow - 200001;
		  },
		  false },
		{ "replicas answer but do not follow", 3,
		  [](auto &v) { v.db[1].stamp_us = v.db[2].stamp_us = 1; },
		  false },
		{ "replicas fenced", 3,
		  [](auto &v) { v.db[1].fence_term = v.db[2].fence_term = 6; },
		  false },
		{ "replicas not yet in the term", 3,
		  [](auto &v) {
			  v.db[1].end = v.db[2].end = { 1, 90 };
		  },
		  false },
		{ "no primary", 3, [](auto &v) { v.primary = DB_NONE; },
		  false },
		{ "five, two replicas", 5,
		  [](auto &v) { v.db[1].known = v.db[2].known = false; },
		  true },
		{ "five, one replica", 5,
		  [](auto &v) {
			  v.db[1].known = v.db[2].known = v.db[3].known = false;
		  },
		  false },
		{ "group of one", 1, [](auto &) {}, true },
	};
	for (const auto &c : cases) {
		struct group_view v = test_view(c.n, kNow);
		c.set(v);
		EXPECT_EQ(write_quorum_is_reachable(&v, &kPolicy, kNow),
			  c.possible)
			<< c.name;
	}
}

// Sets a view of the later term 6, which began at "start" on database 1.
void supersede(struct group_view &v, uint64_t start, uint32_t followers)
{
	v.term = 6;
	v.primary = 1;
	for (uint32_t i = 0; i < v.n; i++) {
		if (!(followers & 1U << i))
			continue;
		v.db[i].fence_term = 6;
		v.db[i].end = { 6, start + 10 };
		v.db[i].lineage = { 3, { { 1, 0 }, { 5, 100 }, { 6, start } } };
		v.db[i].role = i == 1 ? ROLE_PRIMARY : ROLE_REPLICA;
	}
}

TEST(WriteQuorum, Write)
{
	const struct {
		const char *name;
		uint32_t n;
		change set;
		usec_t now;
		enum write_quorum_state want;
	} cases[] = {
		{ "primary alone", 3,
		  [](auto &v) {
			  v.db[1].end.position = v.db[2].end.position = 149;
		  },
		  kNow, QUORUM_WAIT },
		{ "one replica", 3, [](auto &v) { v.db[1].end.position = 149; },
		  kNow, QUORUM_DONE },
		{ "replica that holds it was fenced", 3,
		  [](auto &v) {
			  v.db[1].fence_term = 6;
			  v.db[2].end.position = 149;
		  },
		  kNow, QUORUM_WAIT },
		{ "deadline", 3,
		  [](auto &v) {
			  v.db[1].end.position = v.db[2].end.position = 149;
		  },
		  kNow + 1000, QUORUM_UNKNOWN },
		{ "five, one replica", 5,
		  [](auto &v) {
			  for (int i = 2; i < 5; i++)
				  v.db[i].end.position = 149;
		  },
		  kNow, QUORUM_WAIT },
		{ "five, two replicas", 5,
		  [](auto &v) {
			  for (int i = 3; i < 5; i++)
				  v.db[i].end.position = 149;
		  },
		  kNow, QUORUM_DONE },
		{ "superseded, held by one of the new term", 3,
		  [](auto &v) { supersede(v, 160, 2); }, kNow, QUORUM_WAIT },
		{ "superseded, held by two of the new term", 3,
		  [](auto &v) { supersede(v, 160, 6); }, kNow, QUORUM_DONE },
		{ "superseded, log cut by one of the new term", 3,
		  [](auto &v) { supersede(v, 140, 2); }, kNow, QUORUM_WAIT },
		{ "superseded, log cut by two of the new term", 3,
		  [](auto &v) { supersede(v, 140, 6); }, kNow, QUORUM_LOST },
		{ "superseded, two fenced, one logs the new term", 3,
		  [](auto &v) {
			  supersede(v, 140, 2);
			  v.db[2].fence_term = 6;
		  },
		  kNow, QUORUM_WAIT },
		{ "superseded, term no longer in the lineage", 3,
		  [](auto &v) {
			  supersede(v, 140, 6);
			  for (auto &d : v.db) {
				  d.lineage.n = LINEAGE_MAX;
				  for (uint64_t t = 0; t < LINEAGE_MAX; t++)
					  d.lineage.start[t] = { 6 + t, 140 };
			  }
		  },
		  kNow, QUORUM_WAIT },
	};
	for (const auto &c : cases) {
		struct group_view v = test_view(c.n, kNow);
		struct write_quorum w;
		write_quorum_start(&w, { 5, 150 }, kNow + 1000);
		c.set(v);
		EXPECT_EQ(write_quorum_check(&w, &v, c.now), c.want) << c.name;
	}
}

TEST(WriteQuorum, ReportsCountOnlyWithinTheirTerm)
{
	struct group_view v = test_view(3, kNow);
	struct write_quorum w;
	write_quorum_start(&w, { 5, 250 }, kNow + 1000);
	v.db[0].end.position = 250;
	EXPECT_EQ(write_quorum_check(&w, &v, kNow), QUORUM_WAIT);
	v.db[0].fence_term = 6;
	v.db[1].end.position = 250;
	EXPECT_EQ(write_quorum_check(&w, &v, kNow), QUORUM_DONE);
	v.term = 6;
	EXPECT_EQ(write_quorum_check(&w, &v, kNow), QUORUM_WAIT);
}

TEST(WriteQuorum, Settled)
{
	struct group_view v = test_view(3, kNow);
	EXPECT_TRUE(write_quorum_term_is_settled(&v));
	v.db[1].end.term = 1;
	EXPECT_TRUE(write_quorum_term_is_settled(&v));
	v.db[2].fence_term = 6;
	EXPECT_FALSE(write_quorum_term_is_settled(&v));
}
} // namespace
