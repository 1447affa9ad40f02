#ifndef DECIDE_SLOTS_H
#define DECIDE_SLOTS_H

#include "decide/types.h"

/*
 * Concurrency limit of one VM at one database, whose slots all VMs share. It
 * is adapted by AIMD: additive increase while statements are queued and the
 * database accepts them, multiplicative decrease when it responds "busy".
 */
struct slots {
	uint32_t max;	      /* the database's slots */
	uint32_t share;	      /* even share of this VM, at least 1 */
	uint32_t limit_milli; /* limit in thousandths of a statement */
	usec_t decreased_at;  /* last decrease */
};

void slots_init(struct slots *s, uint32_t max, uint32_t vms);
void slots_resize(struct slots *s, uint32_t max, uint32_t vms);
/* The database accepted a statement; "waiting": others are queued here. */
void slots_taken(struct slots *s, bool waiting);
/* The database refused a statement as "busy". */
void slots_busy(struct slots *s, usec_t now);
/* Returns how many statements may run at once now. */
uint32_t slots_limit(const struct slots *s);

#endif
