#ifndef DECIDE_ABSENCE_H
#define DECIDE_ABSENCE_H

#include "decide/types.h"

/*
 * Whether members that are missing from a list have left. Entries lapse when a
 * member dies, but also, many at once, while the platform is away; then those
 * that live are back soon after its return. So one that is missing alone has
 * left, and where many are missing together all are kept for that time.
 */
struct absence {
	usec_t since; /* many are missing since then; 0: no */
};

/*
 * A list asked for at "asked_at" lacks "missing" of "known" members; those
 * that announced their departure are counted in neither. True if the missing
 * ones have left.
 */
bool absence_left(struct absence *a, uint32_t known, uint32_t missing,
		  usec_t asked_at, usec_t back_within);

#endif
