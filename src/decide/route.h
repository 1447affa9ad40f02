#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include "decide/error.h"

#define ROUTE_STALENESS_UNKNOWN (-1)

/* Requirements of one request on the database that it runs at. */
struct route_requirements {
	bool session_known;    /* a valid session token came with it */
	bool session_evicted;  /* entries of the token were evicted */
	bool has_entry;	       /* the token has an entry for this service */
	struct log_pos seen;   /* position that the session has seen */
	uint64_t unknown_term; /* term of a write of unknown outcome; 0: none */
	int64_t max_staleness_us; /* staleness bound; negative: newest state */
	usec_t arrived_at;
	usec_t deadline;
	uint32_t tried_mask; /* bit i: database i has failed this read */
};

struct route_policy {
	usec_t view_max_age_us; /* an older report of a replica is ignored */
	usec_t wait_max_us; /* longest wait for a suitable replica; after it the
			     primary is used */
	usec_t wait_step_us; /* interval between routing attempts */
	usec_t guard_us; /* the primary is proved if a majority held its term
			  this recently */
	usec_t departing_us; /* a departing primary is still used this long */
	uint32_t clock_rate_ppm; /* bound on the drift between two clocks */
};

enum route_kind {
	ROUTE_REPLICA,
	ROUTE_PRIMARY,
	ROUTE_WAIT,
	ROUTE_REFUSE,
};

struct route {
	enum route_kind kind;
	uint32_t db;	 /* REPLICA, PRIMARY */
	usec_t retry_at; /* WAIT: route again then or once the view changes */
	enum error_code why; /* REFUSE; WAIT: error if the deadline passes */
};

/* Returns the majority of a group: 2 of 3 databases, 3 of 5. */
static inline uint32_t group_majority(const struct group_view *v)
{
	return v->n / 2 + 1;
}

struct route route_read(const struct group_view *v,
			const struct route_requirements *want,
			const struct route_policy *policy, usec_t now,
			uint64_t random);
/* Routes a write or a new transaction: PRIMARY, WAIT or REFUSE. */
struct route route_write(const struct group_view *v,
			 const struct route_requirements *want,
			 const struct route_policy *policy, usec_t now);
/*
 * Returns true if the status that "db" reported with its response, which is
 * already in the view, still satisfies the read. If not, the caller drops the
 * rows and routes again with db in want->tried_mask.
 */
bool route_answer_ok(const struct group_view *v, uint32_t db,
		     const struct route_requirements *want,
		     const struct route_policy *policy, usec_t now);
/*
 * Returns an upper bound of a replica's staleness in us, or
 * ROUTE_STALENESS_UNKNOWN.
 */
int64_t route_staleness(const struct group_view *v, uint32_t db,
			uint32_t clock_rate_ppm, usec_t now);
/* Returns true if a replica follows with a staleness within fresh_us. */
bool route_follows(const struct group_view *v, uint32_t db, usec_t fresh_us,
		   uint32_t clock_rate_ppm, usec_t now);
/*
 * Returns true if a majority reported the view's term to requests sent at
 * "since" or later.
 */
bool route_term_has_majority(const struct group_view *v, usec_t since);

#endif
