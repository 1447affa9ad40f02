#include "decide/absence.h"

/* Forgets that it was missing. */
void absence_seen(struct absence *a)
{
	a->since = 0;
}

/* Notes since when it is missing and tells whether that is long enough. */
bool absence_missed(struct absence *a, usec_t asked_at, bool departing,
		    usec_t back_within)
{
	if (departing)
		return true;
	if (a->since == 0)
		a->since = asked_at;
	return asked_at - a->since >= back_within;
}
