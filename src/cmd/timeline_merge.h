#ifndef CMD_TIMELINE_MERGE_H
#define CMD_TIMELINE_MERGE_H

#include <jansson.h>
#include <stdio.h>

#include "decide/types.h"

/* The events of several VMs, merged by their hybrid logical clocks. */
struct timeline_merge {
	size_t n;
	size_t capacity;
	struct timeline_row *rows;
	size_t n_gaps;
	struct timeline_gap *gaps; /* one per VM */
};

int timeline_merge_add(struct timeline_merge *m, const json_t *page);
void timeline_merge_sort(struct timeline_merge *m);
void timeline_merge_print(const struct timeline_merge *m, FILE *out);
void timeline_merge_free(struct timeline_merge *m);

#endif
