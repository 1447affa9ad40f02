#include "decide/admit.h"

#include <stdlib.h>

#include "decide/admit_own.h"

/* The mean of running times moves by one part in so many with each. */
#define TOOK_PARTS 16
/* Jitter of Retry-After, as parts of the predicted wait. */
#define JITTER_PARTS 2

static bool team_full(const struct admit *a, const char *team);
static int64_t retry_after(int64_t wait_us, uint64_t random);

/* A queue with these limits, or NULL without memory. */
struct admit *admit_create(const struct admit_limits *l)
{
	struct admit *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->free_item = HANDLE_NONE;
	a->free_team = HANDLE_NONE;
	a->turn = HANDLE_NONE;
	a->limits = *l;
	a->window = l->slots;
	return a;
}

/* Frees the queue; what waits in it is the caller's to answer before. */
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

/* Changes the limits; what runs or waits beyond them already goes on. */
void admit_set_limits(struct admit *a, const struct admit_limits *l)
{
	bool ramping = a->window < a->limits.slots;

	a->limits = *l;
	if (!ramping || a->window > l->slots)
		a->window = l->slots;
}

/* Offers a request; see the header. */
enum admit_push_result admit_push(struct admit *a, const char *team,
				  uint32_t weight, void *item, usec_t now,
				  usec_t deadline, uint64_t random,
				  admit_handle *handle, int64_t *retry_after_ms,
				  struct error *e)
{
	int64_t wait = 0;

	if (!a->held && a->waiting == 0 && a->running < a->window) {
		a->running++;
		return ADMIT_RUN;
	}
	wait = admit_predict(a, team, weight);
	*retry_after_ms = retry_after(wait, random);
	if (now >= deadline) {
		error_set(e, ERR_DEADLINE, STEP_QUEUE, "", "deadline passed");
		return ADMIT_REFUSED;
	}
	if (a->waiting >= a->limits.queue_max || team_full(a, team)) {
		error_set(e, ERR_OVERLOAD, STEP_QUEUE, "", "%u wait already",
			  a->waiting);
		return ADMIT_REFUSED;
	}
	if (!a->held && wait > deadline - now) {
		error_set(e, ERR_OVERLOAD, STEP_QUEUE, "",
			  "predicted wait of %lld us is past the deadline",
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
 * The next request that may run now, its slot taken; NULL if none. Those
 * whose deadline has passed are to be taken by admit_expire() first.
 */
void *admit_pop(struct admit *a, usec_t now)
{
	(void)now;
	if (a->held || a->waiting == 0 || a->running >= a->window)
		return NULL;
	a->running++;
	return admit_queue_take(a, admit_queue_next(a));
}

/* A request whose deadline has passed, taken off the queue; NULL if none. */
void *admit_expire(struct admit *a, usec_t now)
{
	if (a->waiting == 0 || a->items[a->heap[0]].deadline > now)
		return NULL;
	return admit_queue_take(a, a->heap[0]);
}

/* Takes one off the queue, as when its caller has gone; NULL if not there. */
void *admit_remove(struct admit *a, admit_handle h)
{
	return admit_queue_take(a, h);
}

/* One that ran is through: its slot is free, and the ramp goes on. */
void admit_done(struct admit *a, usec_t now, usec_t took)
{
	(void)now;
	if (a->running > 0)
		a->running--;
	if (a->window < a->limits.slots)
		a->window++;
	if (took < 0)
		return;
	if (a->took_us == 0)
		a->took_us = took;
	else
		a->took_us += (took - a->took_us) / TOOK_PARTS;
}

/* Holds the queue: nothing runs until it is released. */
void admit_hold(struct admit *a)
{
	a->held = true;
}

/* Releases the queue: "ramp" at once, one more with each that is through. */
void admit_release(struct admit *a, uint32_t ramp)
{
	if (!a->held)
		return;
	a->held = false;
	a->window = ramp ? ramp : 1;
	if (a->window > a->limits.slots)
		a->window = a->limits.slots;
}

/*
 * Microseconds that a request of this team would wait: its rounds to go, each
 * with one turn of every waiting team, at most all that wait, over the slots.
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
	if (ahead == 0 && a->running < a->window)
		return 0;
	return (int64_t)((ahead + 1) * (uint64_t)a->took_us /
			 (a->window ? a->window : 1));
}

uint32_t admit_running(const struct admit *a)
{
	return a->running;
}

uint32_t admit_waiting(const struct admit *a)
{
	return a->waiting;
}

/* When admit_expire() is due next; INT64_MAX if nothing waits. */
usec_t admit_next_deadline(const struct admit *a)
{
	return a->waiting ? a->items[a->heap[0]].deadline : INT64_MAX;
}

/*
 * May a team have no more waiting? It may have as many as there are places
 * left, so that however many teams overload the queue, places stay for one
 * that comes new, and many small teams can fill it.
 */
static bool team_full(const struct admit *a, const char *team)
{
	uint32_t most = a->limits.team_max;
	uint32_t left = a->limits.queue_max - a->waiting;
	uint32_t t = admit_queue_team(a, team);

	if (t == HANDLE_NONE)
		return false;
	if (most && a->teams[t].waiting >= most)
		return true;
	return a->teams[t].waiting >= left;
}

/* Milliseconds to wait before coming back: the predicted wait and jitter. */
static int64_t retry_after(int64_t wait_us, uint64_t random)
{
	int64_t ms = wait_us / USEC_PER_MSEC + 1;
	uint64_t jitter = (uint64_t)ms / JITTER_PARTS + 1;

	return ms + (int64_t)(random % (jitter + 1));
}
