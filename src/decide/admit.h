#ifndef DECIDE_ADMIT_H
#define DECIDE_ADMIT_H

#include "decide/error.h"

/*
 * The way into one database: slots, and one queue that is fair over teams by
 * deficit round robin. Pushing, popping and leaving are O(1); expiry is
 * O(log n) by a heap of deadlines.
 */
struct admit;

typedef uint32_t admit_handle; /* one queued request */

struct admit_limits {
	uint32_t slots;	    /* running at once */
	uint32_t queue_max; /* waiting at once, all teams */
	uint32_t team_max;  /* waiting at once, one team; 0: queue_max */
};

enum admit_push_result {
	ADMIT_RUN,     /* a slot was taken; run it now */
	ADMIT_QUEUED,  /* *handle names it */
	ADMIT_REFUSED, /* "e" tells why; *retry_after_ms when to come back */
};

struct admit *admit_create(const struct admit_limits *l);
void admit_destroy(struct admit *a);
void admit_set_limits(struct admit *a, const struct admit_limits *l);
/*
 * Offers a request. It is refused at once with OVERLOAD if the queue is full
 * or the predicted wait passes the deadline, with a Retry-After of the
 * predicted wait and "random" as jitter. "item" comes back from admit_pop().
 */
enum admit_push_result admit_push(struct admit *a, const char *team,
				  uint32_t weight, void *item, usec_t now,
				  usec_t deadline, uint64_t random,
				  admit_handle *handle, int64_t *retry_after_ms,
				  struct error *e);
/* The next that may run now, its slot taken; NULL if none. */
void *admit_pop(struct admit *a, usec_t now);
/* One whose deadline has passed, taken off the queue; NULL if none. */
void *admit_expire(struct admit *a, usec_t now);
/* Takes one off the queue, as when its caller has gone; NULL if not there. */
void *admit_remove(struct admit *a, admit_handle h);
/* One that ran is through: its slot is free; "took" trains the prediction. */
void admit_done(struct admit *a, usec_t now, usec_t took);
/*
 * Holds the queue in a failover: nothing is popped, pushes queue whatever the
 * prediction, until released. Then slots fill in the queue's order, "ramp"
 * of them at once, one more with each that gets through.
 */
void admit_hold(struct admit *a);
void admit_release(struct admit *a, uint32_t ramp);
/* Microseconds a request of this team would wait, as predicted now. */
int64_t admit_predict(const struct admit *a, const char *team, uint32_t weight);
uint32_t admit_running(const struct admit *a);
uint32_t admit_waiting(const struct admit *a);
usec_t admit_next_deadline(const struct admit *a); /* INT64_MAX if none */

#endif
