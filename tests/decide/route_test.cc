#include <gtest/gtest.h>

#include <functional>

#include "view.h"

namespace
{
constexpr usec_t kNow = 50 * USEC_PER_SEC;
constexpr struct route_policy kPolicy = {
	.view_max_age_us = 300000,
	.wait_max_us = 5000,
	.wait_step_us = 1000,
	.guard_us = 200000,
	.departing_us = 2000000,
	.clock_rate_ppm = 1000,
};

struct route_requirements session(struct log_pos seen, int64_t max_age)
{
	struct route_requirements w = {};
	w.session_known = true;
	w.has_entry = seen.position > 0;
	w.seen = seen;
	w.max_staleness_us = max_age;
	w.arrived_at = kNow;
	w.deadline = kNow + 100000;
	return w;
}

using change =
	std::function<void(struct group_view &, struct route_requirements &)>;

TEST(Route, Read)
{
	const struct {
		const char *name;
		change set;
		enum route_kind kind;
		int db; // -1: any replica
	} cases[] = {
		{ "each replica has all that was seen", [](auto &, auto &) {},
		  ROUTE_REPLICA, -1 },
		{ "no session",
		  [](auto &, auto &w) { w.session_known = false; },
		  ROUTE_PRIMARY, 0 },
		{ "write of unknown outcome",
		  [](auto &, auto &w) { w.unknown_term = 5; }, ROUTE_PRIMARY,
		  0 },
		{ "newest state requested",
		  [](auto &, auto &w) { w.max_staleness_us = -1; },
		  ROUTE_PRIMARY, 0 },
		{ "never used the service",
		  [](auto &, auto &w) { w.has_entry = false; }, ROUTE_REPLICA,
		  -1 },
		{ "entry evicted",
		  [](auto &, auto &w) {
			  w.has_entry = false;
			  w.session_evicted = true;
		  },
		  ROUTE_PRIMARY, 0 },
		{ "one lags behind the session",
		  [](auto &v, auto &) { v.db[1].end.position = 149; },
		  ROUTE_REPLICA, 2 },
		{ "one is fenced to another term",
		  [](auto &v, auto &) { v.db[2].fence_term = 6; },
		  ROUTE_REPLICA, 1 },
		{ "one departs",
		  [](auto &v, auto &) { v.db[2].state = DB_DEPARTING; },
		  ROUTE_REPLICA, 1 },
		{ "one was not heard recently",
		  [](auto &v, auto &) { v.db[1].responded_at = kNow - 300001; },
		  ROUTE_REPLICA, 2 },
		{ "one failed this read",
		  [](auto &, auto &w) { w.tried_mask = 2; }, ROUTE_REPLICA, 2 },
		{ "one with a stamp by an older term",
		  [](auto &v, auto &) { v.db[1].stamp_term = 1; },
		  ROUTE_REPLICA, 2 },
		{ "one beyond the staleness bound",
		  [](auto &v, auto &) { v.db[1].stamp_us -= 60000; },
		  ROUTE_REPLICA, 2 },
		{ "both without a free slot",
		  [](auto &v, auto &) {
			  v.db[1].running = v.db[2].running = 4;
		  },
		  ROUTE_WAIT, 0 },
		{ "both without a free slot for too long",
		  [](auto &v, auto &w) {
			  v.db[1].running = v.db[2].running = 4;
			  w.arrived_at = kNow - 5000;
		  },
		  ROUTE_PRIMARY, 0 },
		{ "seen in an older term",
		  [](auto &, auto &w) {
			  w.seen = { 1, 100 };
		  },
		  ROUTE_REPLICA, -1 },
		{ "has seen what was cut off the log",
		  [](auto &, auto &w) {
			  w.seen = { 1, 101 };
		  },
		  ROUTE_PRIMARY, 0 },
		{ "session is a term ahead",
		  [](auto &, auto &w) {
			  w.seen = { 6, 150 };
		  },
		  ROUTE_WAIT, 0 },
		{ "session is a term ahead, at its deadline",
		  [](auto &, auto &w) {
			  w.seen = { 6, 150 };
			  w.deadline = kNow;
		  },
		  ROUTE_REFUSE, 0 },
		{ "primary fenced",
		  [](auto &v, auto &w) {
			  w.session_known = false;
			  v.db[0].fence_term = 6;
		  },
		  ROUTE_WAIT, 0 },
		{ "primary demoted",
		  [](auto &v, auto &w) {
			  w.session_known = false;
			  v.db[0].role = ROLE_REPLICA;
		  },
		  ROUTE_WAIT, 0 },
		{ "majority is fenced to another term",
		  [](auto &v, auto &w) {
			  w.session_known = false;
			  v.db[1].fence_term = v.db[2].fence_term = 6;
		  },
		  ROUTE_WAIT, 0 },
		{ "primary alone, nothing proves its term",
		  [](auto &v, auto &w) {
			  w.max_staleness_us = -1;
			  w.has_entry = false;
			  v.db[1].requested_at = v.db[2].requested_at = 0;
		  },
		  ROUTE_WAIT, 0 },
		{ "primary alone, session of this term",
		  [](auto &v, auto &w) {
			  w.max_staleness_us = -1;
			  v.db[1].requested_at = v.db[2].requested_at = 0;
		  },
		  ROUTE_PRIMARY, 0 },
		{ "departing primary",
		  [](auto &v, auto &w) {
			  w.session_known = false;
			  v.db[0].state = DB_DEPARTING;
			  v.db[0].departing_at = kNow - 2000000;
		  },
		  ROUTE_PRIMARY, 0 },
		{ "primary departing for too long",
		  [](auto &v, auto &w) {
			  w.session_known = false;
			  v.db[0].state = DB_DEPARTING;
			  v.db[0].departing_at = kNow - 2000001;
		  },
		  ROUTE_WAIT, 0 },
		{ "no primary known",
		  [](auto &v, auto &) { v.primary = DB_NONE; }, ROUTE_WAIT, 0 },
	};
	for (const auto &c : cases) {
		for (uint64_t random = 0; random < 8; random++) {
			struct group_view v = test_view(3, kNow);
			struct route_requirements w =
				session({ 5, 150 }, 50000);
			c.set(v, w);
			struct route r = route_read(&v, &w, &kPolicy, kNow,
						    random << 31 | random);
			EXPECT_EQ(r.kind, c.kind) << c.name;
			if (c.db < 0) {
				EXPECT_NE(r.db, 0U) << c.name;
			} else if (r.kind <= ROUTE_PRIMARY) {
				EXPECT_EQ(r.db, (uint32_t)c.db) << c.name;
			} else if (r.kind == ROUTE_WAIT) {
				EXPECT_GT(r.retry_at, kNow) << c.name;
			}
		}
	}
}

TEST(Route, StalenessIsAnUpperBound)
{
	// The primary's clock is 7 s ahead of the VM's. Its timestamp was taken
	// at any time between request and response.
	const int64_t offset = 7 * USEC_PER_SEC;
	for (usec_t reply = 0; reply <= 4000; reply += 1000) {
		for (int64_t lag = 0; lag <= 40000; lag += 10000) {
			struct group_view v = test_view(3, kNow);
			v.db[0].requested_at = kNow - 9000;
			v.db[0].stamp_us = kNow - 9000 + reply + offset;
			v.db[1].stamp_us = kNow + offset - lag;
			EXPECT_GE(route_staleness(&v, 1, 1000, kNow), lag);
			EXPECT_LE(route_staleness(&v, 1, 1000, kNow),
				  lag + reply + 10);
		}
	}
	struct group_view v = test_view(3, kNow);
	v.db[0].stamp_term = 4;
	EXPECT_EQ(route_staleness(&v, 1, 1000, kNow), ROUTE_STALENESS_UNKNOWN);
}

TEST(Route, PrefersFreeSlots)
{
	struct group_view v = test_view(3, kNow);
	struct route_requirements w = session({ 5, 150 }, 50000);
	v.db[1].running = 3;
	for (uint64_t random = 0; random < 16; random++)
		EXPECT_EQ(route_read(&v, &w, &kPolicy, kNow, random).db, 2U);
}

TEST(Route, ResponseIsCheckedAgain)
{
	const struct {
		const char *name;
		uint32_t db;
		change set;
		bool ok;
	} cases[] = {
		{ "replica as routed", 1, [](auto &, auto &) {}, true },
		{ "replica cut its log", 1,
		  [](auto &v, auto &) { v.db[1].end.position = 140; }, false },
		{ "replica fenced since", 1,
		  [](auto &v, auto &) { v.db[1].fence_term = 6; }, false },
		{ "new term known since", 1,
		  [](auto &v, auto &) { v.term = 6; }, false },
		{ "answer too old", 1,
		  [](auto &v, auto &) { v.db[1].stamp_us -= 60000; }, false },
		{ "primary as routed", 0, [](auto &, auto &) {}, true },
		{ "primary demoted since", 0,
		  [](auto &v, auto &) { v.db[0].role = ROLE_REPLICA; }, false },
		{ "majority is fenced to another term", 0,
		  [](auto &v, auto &w) {
			  w.max_staleness_us = 0;
			  v.db[1].fence_term = v.db[2].fence_term = 6;
		  },
		  false },
	};
	for (const auto &c : cases) {
		struct group_view v = test_view(3, kNow);
		struct route_requirements w = session({ 5, 150 }, 50000);
		c.set(v, w);
		EXPECT_EQ(route_answer_ok(&v, c.db, &w, &kPolicy, kNow), c.ok)
			<< c.name;
	}
}
} // namespace
