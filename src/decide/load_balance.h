#ifndef DECIDE_LOAD_BALANCE_H
#define DECIDE_LOAD_BALANCE_H

#include "decide/types.h"

/*
 * Load balancing over the databases of a group. Each database that can take a
 * statement gets a cost, its expected latency in microseconds; the statement
 * goes to the database with the lowest cost.
 */

/* How a connection for the statement can be obtained at a database. */
enum load_balance_conn {
	LOAD_BALANCE_CONN_IDLE,	 /* an idle connection exists */
	LOAD_BALANCE_CONN_NEW,	 /* a new one can be opened */
	LOAD_BALANCE_CONN_EVICT, /* another team's idle one has to be closed
				    first */
	LOAD_BALANCE_CONN_NONE,	 /* none can be obtained now */
};

/* One database's state, as this VM sees it now. */
struct load_balance_db {
	usec_t latency; /* moving average of its response times */
	enum load_balance_conn conn;
	uint32_t running; /* statements of this VM running there */
	uint32_t slots;	  /* statements it can run at once */
	bool usable; /* responds, not departing, has not refused this one */
	bool primary;
	bool local;  /* in this VM's failure domain */
	bool behind; /* not known to have replayed the required position */
};

/* Added costs, in microseconds where nothing else is said. */
struct load_balance_costs {
	usec_t open;   /* opening a connection */
	usec_t evict;  /* that, and closing one that another team may need */
	usec_t remote; /* round trip to another failure domain */
	usec_t behind; /* waiting for, or refusal by, a lagging replica */
	/*
	 * Work that a replica could do, added to the primary's queue: in
	 * average response times of the primary.
	 */
	uint32_t primary_latencies;
};

/* Returns the index of the database to use, or DB_NONE. */
uint32_t load_balance_pick(const struct load_balance_db *db, uint32_t n,
			   const struct load_balance_costs *costs,
			   uint64_t random);
/* Returns one database's cost in microseconds; INT64_MAX if not usable. */
usec_t load_balance_cost(const struct load_balance_db *db,
			 const struct load_balance_costs *costs);

#endif
