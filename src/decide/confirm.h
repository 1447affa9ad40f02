#ifndef DECIDE_CONFIRM_H
#define DECIDE_CONFIRM_H

#include "decide/error.h"

enum confirm_state {
	CONFIRM_WAIT,	 /* poll the replicas on */
	CONFIRM_DONE,	 /* no promotion can lose it */
	CONFIRM_LOST,	 /* superseded for good: not run, may run again */
	CONFIRM_UNKNOWN, /* the deadline came first */
};

/* One executed write that waits for a majority. */
struct confirm {
	struct log_pos at;
	usec_t deadline;
	uint64_t term; /* the masks speak of this term */
	uint32_t held; /* bit i: database i held the write in this term */
	uint32_t past; /* bit i: it follows this term without the write */
};

struct confirm_policy {
	usec_t replica_fresh_us; /* a replica followed this lately */
	uint32_t clock_rate_ppm;
};

/* May a write start: does enough of the group follow to confirm it? */
bool confirm_possible(const struct group_view *v,
		      const struct confirm_policy *policy, usec_t now);
void confirm_start(struct confirm *c, struct log_pos at, usec_t deadline);
/* Call after each change of the view; the write's answer is put in first. */
enum confirm_state confirm_check(struct confirm *c, const struct group_view *v,
				 usec_t now);
/*
 * Is the view's term settled: does a majority log in it, so that no entry
 * outside its lineage can come back?
 */
bool confirm_settled(const struct group_view *v);

#endif
