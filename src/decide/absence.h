#ifndef DECIDE_ABSENCE_H
#define DECIDE_ABSENCE_H

#include "decide/types.h"

/*
 * Whether a registered member that is missing from a list has left. One that
 * had announced its departure has. Any other may have lapsed while the
 * platform was away and be on its way back: it is kept until it has been
 * missing for long enough.
 */
struct absence {
	usec_t since; /* the first list that it was missing from; 0: none */
};

/* It is in a list. */
void absence_seen(struct absence *a);
/* It is missing from a list asked for at "asked_at"; true if it has left. */
bool absence_missed(struct absence *a, usec_t asked_at, bool departing,
		    usec_t back_within);

#endif
