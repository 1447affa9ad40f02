#ifndef DECIDE_DB_OWNER_H
#define DECIDE_DB_OWNER_H

#include "decide/types.h"

/*
 * Chooses the VM that owns the connections to a database. All other VMs forward
 * their statements for the database to it, so that one queue knows the
 * database's free slots and connections. Weighted rendezvous hashing: each VM
 * owns databases in proportion to its capacity, and a VM that joins or leaves
 * moves only the databases that it gains or loses.
 */

#define DB_OWNER_NONE UINT32_MAX

/* One VM that may own connections. */
struct db_owner_vm {
	const char *name;
	const char *domain;
	uint32_t capacity; /* share of a core, in any unit; 0 counts as 1 */
	bool usable;	   /* live, reachable from here and not draining */
};

/*
 * Returns the index of the database's owner, or DB_OWNER_NONE if no VM is
 * usable. A VM in the database's failure domain goes before all others.
 */
uint32_t db_owner_pick(const struct db_owner_vm *vm, uint32_t n,
		       const char *database, const char *domain);

#endif
