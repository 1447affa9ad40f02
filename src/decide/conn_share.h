#ifndef DECIDE_CONN_SHARE_H
#define DECIDE_CONN_SHARE_H

#include "decide/types.h"

/*
 * How many of a database's connections one VM may hold. The owner works with
 * nearly all of them; with fewer connections than teams and open transactions
 * need, statements wait for connections. A database keeps the connections of a
 * VM that lost power for seconds, so the owner leaves some to its successor,
 * and the others give up theirs when they no longer use them.
 */
struct conn_share_view {
	uint32_t max_connections; /* that the database accepts */
	uint32_t slots;		  /* statements that it executes at once */
	uint32_t fleet_size;
	bool is_owner; /* or works as its owner */
};

/* Connections that are left to a successor for each of the slots. */
#define CONN_SHARE_SUCCESSOR_PER_SLOT 2
/* Connections that are left to other VMs for status requests and failovers. */
#define CONN_SHARE_CONTROL 2
/*
 * One in this many connections is shared by the VMs that are not the owner, for
 * statements that can't reach it.
 */
#define CONN_SHARE_RESERVE_DIVISOR 8

uint32_t conn_share(const struct conn_share_view *v);

#endif
