#ifndef DECIDE_OPENINGS_H
#define DECIDE_OPENINGS_H

#include "decide/types.h"

/*
 * When new connections to a database may be opened. A handshake takes a slot as
 * a statement does, so a database that has none for statements is not given
 * handshakes: they would be over when their statements have timed out, and the
 * next ones begin again.
 */
struct openings {
	uint32_t busy; /* statements it had no slot for, in a row */
	usec_t after;  /* not before */
};

/* It had no slot for a statement; "draw" is from 0 to 1, drawn anew. */
void openings_busy(struct openings *o, usec_t now, double draw);
/* It has answered a statement. */
void openings_served(struct openings *o);
bool openings_allowed(const struct openings *o, usec_t now);

#endif
