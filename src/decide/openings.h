#ifndef DECIDE_OPENINGS_H
#define DECIDE_OPENINGS_H

#include "decide/types.h"

/*
 * Exponential back-off for opening new connections to a database. A handshake
 * occupies a slot just as a statement does. A database that has no slot for
 * statements therefore gets no handshakes: they would complete only after
 * their statements have timed out, and the next ones would repeat that.
 */
struct openings {
	uint32_t refusals; /* consecutive "busy" refusals, up to the cap */
	usec_t not_before; /* open no connection before this time */
};

/* The database refused a statement as busy; "draw" is random, from 0 to 1. */
void openings_busy(struct openings *o, usec_t now, double draw);
/* The database has run a statement. */
void openings_served(struct openings *o);
/* Returns true if a connection may be opened now. */
bool openings_allowed(const struct openings *o, usec_t now);

#endif
