#ifndef DECIDE_WRITE_QUORUM_H
#define DECIDE_WRITE_QUORUM_H

#include "decide/error.h"

enum write_quorum_state {
	QUORUM_WAIT,	/* continue to poll the replicas */
	QUORUM_DONE,	/* durable: no promotion can lose it */
	QUORUM_LOST,	/* discarded for good; may be executed again */
	QUORUM_UNKNOWN, /* undecided at the deadline */
};

/* One executed write that waits for a majority to hold it. */
struct write_quorum {
	struct log_pos at; /* log position of the write */
	usec_t deadline;
	uint64_t term; /* term that the masks refer to */
	/* Bit i stands for database i: */
	uint32_t held_mask;	 /* it held the write in this term */
	uint32_t discarded_mask; /* it logs this term without the write */
};

struct write_quorum_policy {
	usec_t replica_fresh_us; /* a replica follows if it responded this
				    recently and is stale by no more */
	uint32_t clock_rate_ppm; /* bound on the drift between two clocks */
};

/* Returns true if enough replicas follow the primary to confirm a write. */
bool write_quorum_is_reachable(const struct group_view *v,
			       const struct write_quorum_policy *policy,
			       usec_t now);
void write_quorum_start(struct write_quorum *c, struct log_pos at,
			usec_t deadline);
/*
 * Call after each change of the view. The status that came with the write's
 * response must be in the view before the first call.
 */
enum write_quorum_state write_quorum_check(struct write_quorum *c,
					   const struct group_view *v,
					   usec_t now);
/*
 * Returns true if the view's term is settled: a majority logs in it, so that no
 * entry outside its lineage can reappear.
 */
bool write_quorum_term_is_settled(const struct group_view *v);

#endif
