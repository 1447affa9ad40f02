#ifndef DECIDE_UNLISTED_DB_H
#define DECIDE_UNLISTED_DB_H

#include "decide/types.h"

/*
 * What becomes of a database whose entry has left the registry. An entry also
 * lapses if its database can't reach the platform, while callers' statements
 * still reach it. Such a primary goes on committing, and such a replica goes on
 * proving it to VMs that have an older list. So a database that answers is kept
 * as a departing one for a while: a failover then steps it down or pauses it
 * like the others. After one is dropped that did not announce its departure, no
 * failover begins until all VMs know the list without it.
 */

/*
 * How long a database is kept: less than the time after which none may get
 * statements, 7 s at the users' sites.
 */
#define UNLISTED_DB_KEPT_US (5 * USEC_PER_SEC)
/*
 * VMs that are in touch with the platform or with most other VMs know a list
 * within this time: one VM of the fleet reads it about once a second.
 */
#define UNLISTED_DB_KNOWN_US (2 * USEC_PER_SEC)

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

enum unlisted_db_step unlisted_db_check(const struct unlisted_db *d,
					usec_t now);
/* Returns true if a failover may begin although a database was dropped then. */
bool unlisted_db_is_known(usec_t dropped_at, usec_t now);

#endif
