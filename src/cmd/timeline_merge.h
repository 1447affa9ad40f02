#ifndef CMD_TIMELINE_MERGE_H
#define CMD_TIMELINE_MERGE_H

#include <jansson.h>
#include <stdio.h>

#include "decide/types.h"

/* The events of many VMs, merged by their hybrid logical clocks. */
struct timeline_merge {
	size_t n;
	size_t room;
	struct timeline_row *rows;
	size_t vms;
	struct timeline_gap *gaps; /* one a VM */
};

/* Adds a page of a VM's events, as /admin/v1/events gives it; -1 if it is not.
 */
int timeline_merge_add(struct timeline_merge *m, const json_t *page);
void timeline_merge_sort(struct timeline_merge *m);
/* Prints the gaps, then one line an event. */
void timeline_merge_print(const struct timeline_merge *m, FILE *out);
void timeline_merge_free(struct timeline_merge *m);

#endif
