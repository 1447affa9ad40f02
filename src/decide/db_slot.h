#ifndef DECIDE_DB_SLOT_H
#define DECIDE_DB_SLOT_H

#include "decide/types.h"

/*
 * Whether the place of a database in its group may be given to another one.
 * Connections and statements refer to their database by its place: while there
 * are any, those of a database that has left would count for the next one, or
 * be executed there.
 */
struct db_slot {
	bool is_present;   /* a database is registered there */
	bool has_conns;	   /* connections that are not closed yet */
	uint32_t n_queued; /* statements of other VMs that wait for it here */
	uint32_t n_remote; /* statements of this VM that its owner has */
};

bool db_slot_is_free(const struct db_slot *s);

#endif
