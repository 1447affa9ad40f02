#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include "decide/error.h"

#define ROUTE_AGE_UNKNOWN (-1)

/* What a read asks for. */
struct route_want {
	bool session_known; /* a good token came with the read */
	bool session_evicted;
	bool has_entry; /* the token has one for this service */
	struct log_pos seen;
	uint64_t unknown_term; /* of the entry; 0: none */
	int64_t max_age_us;    /* negative: the newest state */
	usec_t arrived;
	usec_t deadline;
	uint32_t tried; /* bit i: database i failed this read already */
};

struct route_policy {
	usec_t view_max_age_us;	 /* older views of a replica are not used */
	usec_t wait_max_us;	 /* for a replica, before the primary */
	usec_t wait_step_us;	 /* look again after */
	usec_t guard_us;	 /* a primary's majority is seen this lately */
	usec_t departing_us;	 /* a departing primary takes work so long */
	uint32_t clock_rate_ppm; /* bound between the rates of two clocks */
};

enum route_kind {
	ROUTE_REPLICA,
	ROUTE_PRIMARY,
	ROUTE_WAIT,
	ROUTE_REFUSE,
};

struct route {
	enum route_kind kind;
	uint32_t db;	     /* REPLICA, PRIMARY */
	usec_t until;	     /* WAIT: decide again then, or at a new view */
	enum error_code why; /* REFUSE; WAIT: what would be refused */
};

/* Majority of a group: of 3 it is 2. */
static inline uint32_t group_majority(const struct group_view *v)
{
	return v->n / 2 + 1;
}

struct route route_read(const struct group_view *v,
			const struct route_want *want,
			const struct route_policy *policy, usec_t now,
			uint64_t random);
/* Where a write or a new transaction runs: PRIMARY, WAIT or REFUSE. */
struct route route_write(const struct group_view *v,
			 const struct route_want *want,
			 const struct route_policy *policy, usec_t now);
/*
 * After the answer: does what "db" reported with it (already in the view)
 * still satisfy the read? If not, the rows are dropped and routing starts
 * again with db in want->tried.
 */
bool route_answer_ok(const struct group_view *v, uint32_t db,
		     const struct route_want *want,
		     const struct route_policy *policy, usec_t now);
/* Upper bound of a replica's age in microseconds, or ROUTE_AGE_UNKNOWN. */
int64_t route_age(const struct group_view *v, uint32_t db,
		  uint32_t clock_rate_ppm, usec_t now);
/* Does this replica follow the view's primary, with an age within fresh_us? */
bool route_follows(const struct group_view *v, uint32_t db, usec_t fresh_us,
		   uint32_t clock_rate_ppm, usec_t now);
/* Has a majority reported the view's term to questions asked since? */
bool route_term_held(const struct group_view *v, usec_t since);

#endif
