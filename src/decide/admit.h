#ifndef DECIDE_ADMIT_H
#define DECIDE_ADMIT_H

#include "decide/error.h"

/*
 * Admission control for one database: a limit on requests that run at once,
 * and a queue that is fair across teams by deficit round robin. Pushing,
 * popping and removing update the fair queue in O(1); each also updates a heap
 * of deadlines in O(log n).
 */
struct admit;

typedef uint32_t admit_handle; /* one queued request */

struct admit_limits {
	uint32_t slots;	    /* most requests that run at once */
	uint32_t queue_max; /* most requests queued, all teams */
	uint32_t team_max;  /* most requests queued by one team; 0: queue_max */
};

enum admit_push_result {
	ADMIT_RUN,     /* a slot was taken; run the request now */
	ADMIT_QUEUED,  /* *handle identifies the request */
	ADMIT_REFUSED, /* "e" has the reason, *retry_after_ms the back-off */
};

struct admit *admit_create(const struct admit_limits *l);
void admit_destroy(struct admit *a);
void admit_set_limits(struct admit *a, const struct admit_limits *l);
/*
 * Offers a request. It is refused with OVERLOAD if the queue is full or the
 * predicted wait exceeds the deadline; *retry_after_ms is then the predicted
 * wait plus jitter taken from "random". "item" is what admit_pop() returns.
 */
enum admit_push_result admit_push(struct admit *a, const char *team,
				  uint32_t weight, void *item, usec_t now,
				  usec_t deadline, uint64_t random,
				  admit_handle *handle, int64_t *retry_after_ms,
				  struct error *e);
/* Dequeues the next request that may run and takes a slot; NULL if none. */
void *admit_pop(struct admit *a, usec_t now);
/* Dequeues a request whose deadline has passed; NULL if none. */
void *admit_expire(struct admit *a, usec_t now);
/* Removes a queued request, as when its caller has disconnected; or NULL. */
void *admit_remove(struct admit *a, admit_handle h);
/*
 * A request has finished: frees its slot. "took" is its running time, which
 * updates the wait prediction; negative if it is not to count.
 */
void admit_done(struct admit *a, usec_t now, usec_t took);
/*
 * Holds the queue during a failover: requests are queued whatever the
 * predicted wait, and none is dequeued. After the release, "ramp" slots are
 * usable, and one more for each request that finishes.
 */
void admit_hold(struct admit *a);
void admit_release(struct admit *a, uint32_t ramp);
/* Returns the predicted wait of a request of this team, in microseconds. */
int64_t admit_predict(const struct admit *a, const char *team, uint32_t weight);
uint32_t admit_running(const struct admit *a);
uint32_t admit_waiting(const struct admit *a);
/* Returns the earliest deadline of a queued request; INT64_MAX if none. */
usec_t admit_next_deadline(const struct admit *a);

#endif
