#include "decide/admit.h"

#include <stdlib.h>

#include "decide/admit_internal.h"

/* Weight of a new running time in the moving average: 1/16. */
#define AVERAGE_DIVISOR 16
/* The jitter of Retry-After is up to 1/2 of the predicted wait. */
#define JITTER_DIVISOR 2

static bool is_team_full(const struct admit *a, const char *team);
static int64_t retry_after(int64_t wait_us, uint64_t random);

/* Creates an empty queue; NULL if memory is short. */
struct admit *admit_create(const struct admit_limits *l)
{
	struct admit *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->free_item = HANDLE_NONE;
	a->free_team = HANDLE_NONE;
	a->current = HANDLE_NONE;
	a->limits = *l;
	a->usable_slots = l->slots;
	return a;
}

/*
 * Frees the queue; NULL is allowed. The caller has to respond to the queued
 * requests before.
 */
void admit_destroy(struct admit *a)
{
	if (!a)
		return;
	hash_index_free(&a->index);
	free(a->items);
	free(a->teams);
	free(a->heap);
	free(a);
}

/*
 * Changes the limits. Requests that run or are queued beyond the new limits
 * stay. A ramp that is in progress continues below the new number of slots.
 */
void admit_set_limits(struct admit *a, const struct admit_limits *l)
{
	bool ramping = a->usable_slots < a->limits.slots;

	a->limits = *l;
	if (!ramping || a->usable_slots > l->slots)
		a->usable_slots = l->slots;
}

/* Offers a request; see the header. */
enum admit_push_result admit_push(struct admit *a, const char *team,
				  uint32_t weight, void *item, usec_t now,
				  usec_t deadline, uint64_t random,
				  admit_handle *handle, int64_t *retry_after_ms,
				  struct error *e)
{
	int64_t wait = 0;

	if (!a->held && a->waiting == 0 && a->running < a->usable_slots) {
		a->running++;
		return ADMIT_RUN;
	}
	wait = admit_predict(a, team, weight);
	*retry_after_ms = retry_after(wait, random);
	if (now >= deadline) {
		error_set(e, ERR_DEADLINE, STEP_QUEUE, "", "deadline passed");
		return ADMIT_REFUSED;
	}
	if (a->waiting >= a->limits.queue_max || is_team_full(a, team)) {
		error_set(e, ERR_OVERLOAD, STEP_QUEUE, "",
			  "queue or team's part of it is full, %u queued",
			  a->waiting);
		return ADMIT_REFUSED;
	}
	if (!a->held && wait > deadline - now) {
		error_set(e, ERR_OVERLOAD, STEP_QUEUE, "",
			  "predicted wait of %lld us exceeds the deadline",
			  (long long)wait);
		return ADMIT_REFUSED;
	}
	*handle = admit_queue_add(a, team, weight, item, deadline);
	if (*handle == HANDLE_NONE) {
		error_set(e, ERR_OVERLOAD, STEP_QUEUE, "", "no memory");
		return ADMIT_REFUSED;
	}
	return ADMIT_QUEUED;
}

/*
 * Dequeues the next request that may run and takes a slot; NULL if none. The
 * caller has to remove expired requests with admit_expire() first.
 */
void *admit_pop(struct admit *a, usec_t now)
{
	(void)now;
	if (a->held || a->waiting == 0 || a->running >= a->usable_slots)
		return NULL;
	a->running++;
	return admit_queue_take(a, admit_queue_next(a));
}

/* Dequeues a request whose deadline has passed; NULL if none. */
void *admit_expire(struct admit *a, usec_t now)
{
	if (a->waiting == 0 || a->items[a->heap[0]].deadline > now)
		return NULL;
	return admit_queue_take(a, a->heap[0]);
}

/*
 * Removes a queued request, as when its caller has disconnected. Returns its
 * item, or NULL if the handle identifies no queued request.
 */
void *admit_remove(struct admit *a, admit_handle h)
{
	return admit_queue_take(a, h);
}

/*
 * Frees the slot of a finished request, advances a ramp by one slot, and adds
 * the running time to the average unless it is negative.
 */
void admit_done(struct admit *a, usec_t now, usec_t took)
{
	(void)now;
	if (a->running > 0)
		a->running--;
	if (a->usable_slots < a->limits.slots)
		a->usable_slots++;
	if (took < 0)
		return;
	if (a->average_us == 0)
		a->average_us = took;
	else
		a->average_us += (took - a->average_us) / AVERAGE_DIVISOR;
}

/* Holds the queue: no request is dequeued until the release. */
void admit_hold(struct admit *a)
{
	a->held = true;
}

/*
 * Releases the queue with "ramp" usable slots, at least one, and one more for
 * each request that finishes. Does nothing if the queue is not held.
 */
void admit_release(struct admit *a, uint32_t ramp)
{
	if (!a->held)
		return;
	a->held = false;
	a->usable_slots = ramp ? ramp : 1;
	if (a->usable_slots > a->limits.slots)
		a->usable_slots = a->limits.slots;
}

/*
 * Returns the predicted wait of a request of this team, in microseconds; 0 if
 * nothing is ahead of it and a slot is free. Ahead of it are the team's own
 * queued requests and, for each round of the ring up to the one that starts
 * it, as many requests of every other queued team as that team's weight; at
 * most all that are queued. Each of these requests, and the request itself,
 * takes the average running time, spread over the usable slots.
 */
int64_t admit_predict(const struct admit *a, const char *team, uint32_t weight)
{
	uint32_t t = admit_queue_team(a, team);
	uint64_t own = t == HANDLE_NONE ? 0 : a->teams[t].waiting;
	uint64_t others = a->weight_sum;
	uint64_t w = weight ? weight : 1;
	uint64_t ahead;

	if (t != HANDLE_NONE) {
		w = a->teams[t].weight;
		others -= w;
	}
	ahead = own + (own / w + 1) * others;
	if (ahead > a->waiting)
		ahead = a->waiting;
	if (ahead == 0 && a->running < a->usable_slots)
		return 0;
	return (int64_t)((ahead + 1) * (uint64_t)a->average_us /
			 (a->usable_slots ? a->usable_slots : 1));
}

/* Returns how many requests run now. */
uint32_t admit_running(const struct admit *a)
{
	return a->running;
}

/* Returns how many requests are queued now. */
uint32_t admit_waiting(const struct admit *a)
{
	return a->waiting;
}

/* Returns when admit_expire() is due next; INT64_MAX if the queue is empty. */
usec_t admit_next_deadline(const struct admit *a)
{
	return a->waiting ? a->items[a->heap[0]].deadline : INT64_MAX;
}

/*
 * Returns true if a team may not queue more requests. A team may have at most
 * as many requests queued as there are free places. So places remain for a
 * team without queued requests, however many teams overload the queue, and
 * many small teams together can still fill it.
 */
static bool is_team_full(const struct admit *a, const char *team)
{
	uint32_t max = a->limits.team_max;
	uint32_t left = a->limits.queue_max - a->waiting;
	uint32_t t = admit_queue_team(a, team);

	if (t == HANDLE_NONE)
		return false;
	if (max && a->teams[t].waiting >= max)
		return true;
	return a->teams[t].waiting >= left;
}

/* Returns the back-off in milliseconds: the predicted wait plus jitter. */
static int64_t retry_after(int64_t wait_us, uint64_t random)
{
	int64_t ms = wait_us / USEC_PER_MSEC + 1;
	uint64_t jitter = (uint64_t)ms / JITTER_DIVISOR + 1;

	return ms + (int64_t)(random % (jitter + 1));
}
