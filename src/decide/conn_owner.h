#ifndef DECIDE_CONN_OWNER_H
#define DECIDE_CONN_OWNER_H

#include "decide/membership.h"

#define CONN_OWNERS_MAX 32

/*
 * Connection budget of a group: a few VMs own the connections to its
 * databases, and the others forward their statements to them.
 */

/* Returns how many VMs own connections, at "each" connections per VM. */
uint32_t conn_owner_count(uint32_t connections, uint32_t each, uint32_t vms);
/*
 * Picks the owners of a group's connections: the first "k" live VMs by
 * rendezvous hash, taken from the failure domains in turn so that they are
 * distributed over all of them. Returns how many, at most "max".
 */
size_t conn_owner_pick(const struct membership *m, const char *service,
		       uint32_t k, vm_handle *out, size_t max);

enum conn_owner_route {
	CONN_OWNER_DIRECT,  /* this VM owns connections itself */
	CONN_OWNER_FORWARD, /* forward to *to */
	CONN_OWNER_NONE,    /* no owner is alive */
};

/*
 * Decides how a statement reaches a group: direct if this VM owns connections,
 * else forwarded to an owner, if possible one in this VM's failure domain.
 * "random" chooses among those.
 */
enum conn_owner_route conn_owner_choose(const struct membership *m,
					const char *service, uint32_t k,
					uint64_t random, vm_handle *to);

#endif
