#include "decide/absence.h"

/* This part of the members, and more, is many. */
#define MANY_PART 4

/* Holds the missing ones from the first list that lacks many. */
bool absence_left(struct absence *a, uint32_t known, uint32_t missing,
		  usec_t asked_at, usec_t back_within)
{
	if (missing == 0) {
		a->since = 0;
		return true;
	}
	if (a->since == 0 && missing >= 2 && missing * MANY_PART >= known)
		a->since = asked_at;
	if (a->since && asked_at - a->since < back_within)
		return false;
	a->since = 0;
	return true;
}
