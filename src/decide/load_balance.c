#include "decide/load_balance.h"

/*
 * Returns the index of the database with the lowest cost, or DB_NONE if none is
 * usable. "random" decides between databases of equal cost.
 */
uint32_t load_balance_pick(const struct load_balance_db *db, uint32_t n,
			   const struct load_balance_costs *costs,
			   uint64_t random)
{
	uint32_t start = n ? (uint32_t)(random % n) : 0;
	uint32_t best = DB_NONE;
	usec_t best_cost = INT64_MAX;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t index = (start + i) % n;
		usec_t cost = load_balance_cost(&db[index], costs);

		if (cost < best_cost) {
			best_cost = cost;
			best = index;
		}
	}
	return best;
}

/*
 * Returns a statement's expected latency at a database: its average response
 * time, increased in proportion to this VM's load on the slots there, plus the
 * added costs that apply. INT64_MAX if the database can't be used.
 */
usec_t load_balance_cost(const struct load_balance_db *db,
			 const struct load_balance_costs *costs)
{
	uint32_t slots = db->slots ? db->slots : 1;
	usec_t cost;

	if (!db->usable || db->conn == LOAD_BALANCE_CONN_NONE)
		return INT64_MAX;
	cost = db->latency + db->latency * (usec_t)db->running / slots;
	if (!db->local)
		cost += costs->remote;
	if (db->primary)
		cost += db->latency * (usec_t)costs->primary_latencies;
	if (db->behind)
		cost += costs->behind;
	if (db->conn == LOAD_BALANCE_CONN_NEW)
		cost += costs->open;
	else if (db->conn == LOAD_BALANCE_CONN_EVICT)
		cost += costs->evict;
	return cost;
}
