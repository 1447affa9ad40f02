#include "decide/member_expiry.h"

/* A quarter of the members or more counts as a mass expiry. */
#define MASS_EXPIRY_DIVISOR 4

/*
 * Returns true if the missing members may be expired now. If at least two, and
 * at least a quarter of all, are missing, they are kept until "back_within" has
 * passed since the first member list without them was requested.
 */
bool member_expiry_confirmed(struct member_expiry *a, uint32_t known,
			     uint32_t missing, usec_t asked_at,
			     usec_t back_within)
{
	if (missing == 0) {
		a->many_missing_since = 0;
		return true;
	}
	if (a->many_missing_since == 0 && missing >= 2 &&
	    missing * MASS_EXPIRY_DIVISOR >= known)
		a->many_missing_since = asked_at;
	if (a->many_missing_since &&
	    asked_at - a->many_missing_since < back_within)
		return false;
	a->many_missing_since = 0;
	return true;
}
