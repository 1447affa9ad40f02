#include "decide/absence.h"

/* A quarter of the members or more counts as a mass expiry. */
#define MASS_EXPIRY_DIVISOR 4

/*
 * Keeps the missing members for "back_within" from the first list that lacks at
 * least two members and a quarter of all.
 */
bool absence_left(struct absence *a, uint32_t known, uint32_t missing,
		  usec_t asked_at, usec_t back_within)
{
	if (missing == 0) {
		a->since = 0;
		return true;
	}
	if (a->since == 0 && missing >= 2 &&
	    missing * MASS_EXPIRY_DIVISOR >= known)
		a->since = asked_at;
	if (a->since && asked_at - a->since < back_within)
		return false;
	a->since = 0;
	return true;
}
