#ifndef DECIDE_SLOTS_H
#define DECIDE_SLOTS_H

#include "decide/types.h"

/*
 * How many statements one VM runs at once at one database, whose slots all
 * VMs share: additive increase while work waits and the database takes all,
 * multiplicative decrease when it answers "busy".
 */
struct slots {
	uint32_t most;	/* the database's slots */
	uint32_t share; /* even part of this VM, at least 1 */
	uint32_t milli; /* limit in thousandths of a statement */
	usec_t cut_at;	/* last decrease */
};

void slots_init(struct slots *s, uint32_t most, uint32_t vms);
void slots_resize(struct slots *s, uint32_t most, uint32_t vms);
/* A statement was taken; "waiting" tells whether others queue behind it. */
void slots_taken(struct slots *s, bool waiting);
/* A statement was refused as "busy". */
void slots_busy(struct slots *s, usec_t now);
uint32_t slots_limit(const struct slots *s);

#endif
