#ifndef DECIDE_CONFIRM_H
#define DECIDE_CONFIRM_H

#include "decide/error.h"

enum confirm_state {
	CONFIRM_WAIT,	 /* continue to poll the replicas */
	CONFIRM_DONE,	 /* durable: no promotion can lose it */
	CONFIRM_LOST,	 /* discarded for good; may be executed again */
	CONFIRM_UNKNOWN, /* undecided at the deadline */
};

/* One executed write that waits for a majority to hold it. */
struct confirm {
	struct log_pos at; /* position of the write */
	usec_t deadline;
	uint64_t term; /* term that the masks refer to */
	/* Bit i stands for database i: */
	uint32_t held_mask;	 /* it held the write in this term */
	uint32_t discarded_mask; /* it logs this term without the write */
};

struct confirm_policy {
	usec_t replica_fresh_us; /* a replica followed this recently */
	uint32_t clock_rate_ppm; /* bound on the drift between two clocks */
};

/* Returns true if enough replicas follow to confirm a write. */
bool confirm_possible(const struct group_view *v,
		      const struct confirm_policy *policy, usec_t now);
void confirm_start(struct confirm *c, struct log_pos at, usec_t deadline);
/*
 * Call after each change of the view. The status that came with the write's
 * response must be in the view before the first call.
 */
enum confirm_state confirm_check(struct confirm *c, const struct group_view *v,
				 usec_t now);
/*
 * Returns true if the view's term is settled: a majority logs in it, so that no
 * entry outside its lineage can reappear.
 */
bool confirm_settled(const struct group_view *v);

#endif
