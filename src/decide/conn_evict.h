#ifndef DECIDE_CONN_EVICT_H
#define DECIDE_CONN_EVICT_H

#include "decide/types.h"

/*
 * Whether a statement takes the place of another team's idle connection, where
 * a database accepts fewer connections than teams and statements at a time
 * need. A new connection occupies a slot during its handshake, and the other
 * team soon needs one in turn, so under load a team that has a connection
 * waits for that one.
 */
struct conn_evict_view {
	/* the team has a connection there, which will be free again */
	bool has_own;
	usec_t idle;	/* for how long the other team's was not used */
	usec_t latency; /* moving average of the database's answers */
};

/* A team uses a connection again within several times what statements take. */
#define CONN_EVICT_IDLE_LATENCIES 32

bool conn_evict_is_worthwhile(const struct conn_evict_view *v);

#endif
