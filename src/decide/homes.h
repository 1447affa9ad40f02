#ifndef DECIDE_HOMES_H
#define DECIDE_HOMES_H

#include "decide/types.h"

/*
 * The regions in which a statement may run. A route and a team may each name
 * some; if both do, the statement may run where both allow it. A region is kept
 * as the hash of its name, so that what was taken from one version of the
 * configuration can be compared with another.
 */

/* Regions that one route or team may name. */
#define HOMES_MAX 8

struct homes {
	bool is_bound; /* false: anywhere */
	uint8_t n;
	uint64_t regions[HOMES_MAX];
};

/* Binds to one more region; beyond HOMES_MAX the region stays closed. */
void homes_add(struct homes *h, const char *region);
/* Returns the regions that both allow. */
struct homes homes_both(const struct homes *a, const struct homes *b);
/* True if a statement may run in the region; NULL: the region is unknown. */
bool homes_allow(const struct homes *h, const char *region);

#endif
