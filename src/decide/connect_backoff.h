#ifndef DECIDE_CONNECT_BACKOFF_H
#define DECIDE_CONNECT_BACKOFF_H

#include "decide/types.h"

/*
 * Exponential back-off for opening new connections to a database. A handshake
 * occupies a slot just as a statement does. A database that has no slot for
 * statements therefore gets no handshakes: they would complete only after
 * their statements have timed out, and the next ones would repeat that.
 */
struct connect_backoff {
	uint32_t refusals; /* consecutive "busy" refusals, up to the cap */
	usec_t not_before; /* open no connection before this time */
};

/* The database refused a statement as busy; "draw" is random, from 0 to 1. */
void connect_backoff_on_busy(struct connect_backoff *o, usec_t now,
			     double draw);
/* The database has run a statement. */
void connect_backoff_on_success(struct connect_backoff *o);
/* Returns true if a connection may be opened now. */
bool connect_backoff_is_over(const struct connect_backoff *o, usec_t now);

#endif
