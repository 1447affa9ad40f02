#ifndef DECIDE_UNLISTED_DB_H
#define DECIDE_UNLISTED_DB_H

#include "decide/types.h"

/*
 * What becomes of a database whose entry has left the registry. An entry also
 * lapses if its database can't reach the platform, while callers' statements
 * still reach it. Such a primary goes on committing, and such a replica goes on
 * proving it to VMs that have an older list. So a database that answers is kept
 * as a departing one for a while: a failover then steps it down or pauses it
 * like the others, but it proves nothing: VMs that can't reach it have dropped
 * it. After one is dropped that did not announce its departure, no failover
 * begins until all VMs know the list without it.
 */

/*
 * How long a database is kept: less than the time after which none may get
 * statements, 7 s at the users' sites.
 */
#define UNLISTED_DB_KEPT_US (5 * USEC_PER_SEC)
/*
 * VMs that are in touch with the platform or with most other VMs know a list
 * within this time: one VM of the fleet reads it within a second.
 */
#define UNLISTED_DB_KNOWN_US (2 * USEC_PER_SEC)

/*
 * A VM that knows that its list is outdated gets a copy within this time, half
 * of the above, or stops using it.
 */
#define DB_LIST_COPY_MAX_US (1 * USEC_PER_SEC)

struct unlisted_db {
	bool is_departing; /* its last entry announced its departure */
	bool answers;	   /* it leaves no request unanswered */
	usec_t since;	   /* when its entry was first missed */
};

enum unlisted_db_step {
	UNLISTED_DB_KEEP, /* as a departing database */
	UNLISTED_DB_DROP,
	UNLISTED_DB_DROP_AND_WAIT, /* other VMs may still use it */
};

/* What a VM knows about its own list of databases. */
struct db_list_view {
	/* newest time as of which the platform, or a peer, had the same list */
	usec_t confirmed_at;
	/* it knows that a peer has a newer and different list since then; 0: no
	 */
	usec_t outdated_since;
	bool hears_most_vms;
};

/*
 * Returns true if the databases of the list may prove a primary: no other VM
 * can have known a list without one of them for long enough to begin a
 * failover.
 */
bool db_list_is_current(const struct db_list_view *v, usec_t now);

enum unlisted_db_step unlisted_db_check(const struct unlisted_db *d,
					usec_t now);
/* Returns true if a failover may begin although a database was dropped then. */
bool unlisted_db_is_known(usec_t dropped_at, usec_t now);

#endif
