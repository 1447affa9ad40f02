#ifndef DECIDE_CONCURRENCY_H
#define DECIDE_CONCURRENCY_H

#include "decide/types.h"

/*
 * Concurrency limit of one VM at one database, whose slots all VMs share. It
 * is adapted by AIMD: additive increase while statements are queued and the
 * database accepts them, multiplicative decrease when it responds "busy".
 */
struct concurrency {
	uint32_t max;	      /* the database's slots */
	uint32_t share;	      /* even share of this VM, at least 1 */
	uint32_t limit_milli; /* limit in thousandths of a statement */
	usec_t decreased_at;  /* last decrease */
};

void concurrency_init(struct concurrency *s, uint32_t max, uint32_t vms);
void concurrency_resize(struct concurrency *s, uint32_t max, uint32_t vms);
/* The database accepted a statement; "waiting": others are queued here. */
void concurrency_on_accepted(struct concurrency *s, bool waiting);
/* The database refused a statement as "busy". */
void concurrency_on_busy(struct concurrency *s, usec_t now);
/* Returns how many statements may run at once now. */
uint32_t concurrency_limit(const struct concurrency *s);

#endif
