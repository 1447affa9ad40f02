#ifndef DECIDE_PLACE_H
#define DECIDE_PLACE_H

#include "decide/types.h"

/*
 * Load balancing over the databases of a group. Each database that can take a
 * statement gets a cost, its expected latency in microseconds; the statement
 * goes to the database with the lowest cost.
 */

/* How a connection for the statement can be obtained at a database. */
enum place_way {
	PLACE_IDLE,  /* an idle connection exists */
	PLACE_OPEN,  /* a new one can be opened */
	PLACE_EVICT, /* another team's idle one has to be closed first */
	PLACE_NONE,  /* none can be obtained now */
};

/* One database's state, as this VM sees it now. */
struct place_db {
	usec_t latency; /* moving average of its response times */
	enum place_way conn;
	uint32_t running; /* statements of this VM running there */
	uint32_t slots;	  /* statements it can run at once */
	bool usable; /* responds, not departing, has not refused this one */
	bool primary;
	bool local;  /* in this VM's failure domain */
	bool behind; /* not known to have replayed the required position */
};

/* Added costs in microseconds. */
struct place_costs {
	usec_t open;	/* opening a connection */
	usec_t evict;	/* that, and closing one that another team may need */
	usec_t remote;	/* round trip to another failure domain */
	usec_t behind;	/* waiting for, or refusal by, a lagging replica */
	usec_t primary; /* loading the primary with a replica's work */
};

/* Returns the index of the database to use, or DB_NONE. */
uint32_t place_read(const struct place_db *db, uint32_t n,
		    const struct place_costs *costs, uint64_t random);
/* Returns one database's cost in microseconds; INT64_MAX if not usable. */
usec_t place_cost(const struct place_db *db, const struct place_costs *costs);

#endif
