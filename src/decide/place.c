#include "decide/place.h"

/* Picks the database of the least cost; DB_NONE if none may take it. */
uint32_t place_read(const struct place_db *db, uint32_t n,
		    const struct place_costs *costs, uint64_t random)
{
	uint32_t start = n ? (uint32_t)(random % n) : 0;
	uint32_t best = DB_NONE;
	usec_t least = INT64_MAX;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t at = (start + i) % n;
		usec_t cost = place_cost(&db[at], costs);

		if (cost < least) {
			least = cost;
			best = at;
		}
	}
	return best;
}

/*
 * Adds up what a statement would wait for: the work of this VM already there
 * in proportion to the slots, and what is special about the way.
 */
usec_t place_cost(const struct place_db *db, const struct place_costs *costs)
{
	uint32_t slots = db->slots ? db->slots : 1;
	usec_t cost;

	if (!db->usable || db->way == PLACE_NONE)
		return INT64_MAX;
	cost = db->latency + db->latency * (usec_t)db->running / slots;
	if (!db->local)
		cost += costs->remote;
	if (db->primary)
		cost += costs->primary;
	if (db->behind)
		cost += costs->behind;
	if (db->way == PLACE_OPEN)
		cost += costs->open;
	else if (db->way == PLACE_EVICT)
		cost += costs->evict;
	return cost;
}
