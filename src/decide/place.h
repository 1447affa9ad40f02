#ifndef DECIDE_PLACE_H
#define DECIDE_PLACE_H

#include "decide/types.h"

/*
 * Which database of a group a statement goes to. A cost in microseconds of
 * expected wait is worked out for each that may take it; the least wins.
 */

/* How a connection for the statement can be had at a database. */
enum place_way {
	PLACE_IDLE,  /* one is idle */
	PLACE_OPEN,  /* one may be opened */
	PLACE_EVICT, /* one of another team is closed for it */
	PLACE_NONE,
};

/* One database, as this VM sees it now. */
struct place_db {
	usec_t latency; /* moving average of its answers */
	enum place_way way;
	uint32_t running; /* statements of this VM there */
	uint32_t slots;
	bool usable; /* answers, is not departing, has not refused this one */
	bool primary;
	bool local;  /* in this VM's failure domain */
	bool behind; /* is not known to hold the position wanted */
};

struct place_costs {
	usec_t open;	/* a new connection */
	usec_t evict;	/* and the loss of one that another team may want */
	usec_t remote;	/* the way to another failure domain and back */
	usec_t behind;	/* wait or refusal at one that lags */
	usec_t primary; /* work that a replica could do, at the primary */
};

/* The database to use, or DB_NONE; ties go by "random". */
uint32_t place_read(const struct place_db *db, uint32_t n,
		    const struct place_costs *costs, uint64_t random);
/* Expected wait at one database, in microseconds; INT64_MAX if none. */
usec_t place_cost(const struct place_db *db, const struct place_costs *costs);

#endif
