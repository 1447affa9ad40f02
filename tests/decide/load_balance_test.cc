#include <gtest/gtest.h>

extern "C" {
#include "decide/load_balance.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr struct load_balance_costs kCosts = {
	.open = 16 * kMs,
	.evict = 24 * kMs,
	.remote = 6 * kMs,
	.behind = 20 * kMs,
	.primary_latencies = 4,
};

struct load_balance_db db(bool primary, bool local, enum load_balance_conn way,
			  uint32_t running = 0, bool behind = false)
{
	return { .latency = 30 * kMs,
		 .conn = way,
		 .running = running,
		 .slots = 5,
		 .usable = true,
		 .primary = primary,
		 .local = local,
		 .behind = behind };
}

TEST(LoadBalance, Read)
{
	const struct load_balance_db unusable = {};
	const struct {
		const char *name;
		struct load_balance_db db[3];
		uint32_t best;
	} cases[] = {
		{ "all idle: the local replica",
		  { db(true, false, LOAD_BALANCE_CONN_IDLE),
		    db(false, true, LOAD_BALANCE_CONN_IDLE),
		    db(false, false, LOAD_BALANCE_CONN_IDLE) },
		  1 },
		{ "an idle connection is preferred to a new one",
		  { db(true, false, LOAD_BALANCE_CONN_NEW),
		    db(false, true, LOAD_BALANCE_CONN_NEW),
		    db(false, false, LOAD_BALANCE_CONN_IDLE) },
		  2 },
		{ "a new one is preferred to one taken from another team",
		  { unusable, db(false, true, LOAD_BALANCE_CONN_EVICT),
		    db(false, true, LOAD_BALANCE_CONN_NEW) },
		  2 },
		{ "burst at the local replica: the other replica",
		  { db(true, false, LOAD_BALANCE_CONN_IDLE),
		    db(false, true, LOAD_BALANCE_CONN_IDLE, 5),
		    db(false, false, LOAD_BALANCE_CONN_IDLE) },
		  2 },
		{ "both replicas busy: not the primary, for its writes",
		  { db(true, false, LOAD_BALANCE_CONN_IDLE),
		    db(false, true, LOAD_BALANCE_CONN_IDLE, 10),
		    db(false, false, LOAD_BALANCE_CONN_IDLE, 5) },
		  2 },
		{ "long queues at both replicas: the primary",
		  { db(true, false, LOAD_BALANCE_CONN_IDLE),
		    db(false, true, LOAD_BALANCE_CONN_IDLE, 25),
		    db(false, false, LOAD_BALANCE_CONN_IDLE, 25) },
		  0 },
		{ "local replica lags: the other replica",
		  { unusable, db(false, true, LOAD_BALANCE_CONN_IDLE, 0, true),
		    db(false, false, LOAD_BALANCE_CONN_IDLE) },
		  2 },
		{ "no usable database",
		  { unusable, unusable, unusable },
		  DB_NONE },
		{ "no connection available",
		  { db(true, true, LOAD_BALANCE_CONN_NONE), unusable,
		    unusable },
		  DB_NONE },
	};
	for (const auto &c : cases) {
		for (uint64_t random = 0; random < 3; random++)
			EXPECT_EQ(load_balance_pick(c.db, 3, &kCosts, random),
				  c.best)
				<< c.name;
	}
}

TEST(LoadBalance, TiesAreBrokenAtRandom)
{
	const struct load_balance_db two[] = {
		db(false, true, LOAD_BALANCE_CONN_IDLE),
		db(false, true, LOAD_BALANCE_CONN_IDLE)
	};
	EXPECT_EQ(load_balance_pick(two, 2, &kCosts, 0), 0u);
	EXPECT_EQ(load_balance_pick(two, 2, &kCosts, 1), 1u);
	EXPECT_EQ(load_balance_pick(two, 0, &kCosts, 1), DB_NONE);
}
} // namespace
