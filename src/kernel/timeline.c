#include "kernel/timeline.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/time.h>

/* The event ring of this process and its hybrid logical clock. */
static struct {
	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /* protects the fields below */
	struct timeline_event *ring;
	uint32_t size;	   /* events */
	uint64_t next;	   /* number of the next event; the first is 1 */
	struct hlc latest; /* last stamp returned or observed */
} timeline;

static int64_t wall_us(void);
static struct hlc advance_clock(void);
static bool hlc_is_before(struct hlc a, struct hlc b);

/*
 * Allocates a ring of "events" events. Called before threads start. Without it
 * events are dropped and stamps are the plain wall clock.
 */
int timeline_open(uint32_t events, struct error *e)
{
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&timeline.pool, NULL) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "time line: no memory pool");
	timeline.ring = calloc(events, sizeof(*timeline.ring));
	if (!timeline.ring ||
	    apr_thread_mutex_create(&timeline.lock, APR_THREAD_MUTEX_DEFAULT,
				    timeline.pool) != APR_SUCCESS) {
		timeline_close();
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "time line: no memory for %u events", events);
	}
	timeline.size = events;
	timeline.next = 1;
	return 0;
}

/* Frees the ring. No other thread may use the timeline any more. */
void timeline_close(void)
{
	free(timeline.ring);
	timeline.ring = NULL;
	timeline.lock = NULL;
	if (timeline.pool) {
		apr_pool_destroy(timeline.pool);
		timeline.pool = NULL;
		apr_terminate();
	}
}

/*
 * Stamps an event and adds it to the ring, overwriting the oldest if it is
 * full.
 */
void timeline_add(enum event_id ev, const char *text)
{
	struct timeline_event *t;

	if (!timeline.lock)
		return;
	apr_thread_mutex_lock(timeline.lock);
	t = &timeline.ring[timeline.next % timeline.size];
	t->number = timeline.next++;
	t->at = advance_clock();
	t->event = ev;
	snprintf(t->text, sizeof(t->text), "%s", text);
	apr_thread_mutex_unlock(timeline.lock);
}

/* Advances the clock to a stamp received from a peer; never moves it back. */
void timeline_observe(struct hlc seen)
{
	if (!timeline.lock)
		return;
	apr_thread_mutex_lock(timeline.lock);
	if (hlc_is_before(timeline.latest, seen))
		timeline.latest = seen;
	apr_thread_mutex_unlock(timeline.lock);
}

/* Returns a stamp later than all that were returned or observed before. */
struct hlc timeline_stamp(void)
{
	struct hlc at = { .wall_us = wall_us() };

	if (!timeline.lock)
		return at;
	apr_thread_mutex_lock(timeline.lock);
	at = advance_clock();
	apr_thread_mutex_unlock(timeline.lock);
	return at;
}

/*
 * Copies up to "max" events with numbers from "since", oldest first. Sets *lost
 * to the number of those that were overwritten.
 */
size_t timeline_read(uint64_t since, struct timeline_event *out, size_t max,
		     uint64_t *lost)
{
	uint64_t oldest = 1;
	uint64_t number;
	size_t n = 0;

	*lost = 0;
	if (!timeline.lock)
		return 0;
	if (since == 0)
		since = 1;
	apr_thread_mutex_lock(timeline.lock);
	if (timeline.next > timeline.size)
		oldest = timeline.next - timeline.size;
	if (since < oldest)
		*lost = oldest - since;
	for (number = since < oldest ? oldest : since;
	     number < timeline.next && n < max; number++)
		out[n++] = timeline.ring[number % timeline.size];
	apr_thread_mutex_unlock(timeline.lock);
	return n;
}

/* Returns the wall clock in microseconds since the epoch. */
static int64_t wall_us(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return (int64_t)tv.tv_sec * USEC_PER_SEC + tv.tv_usec;
}

/* Advances the clock by one event and returns its stamp. The lock is held. */
static struct hlc advance_clock(void)
{
	int64_t now = wall_us();

	if (now > timeline.latest.wall_us)
		timeline.latest = (struct hlc){ .wall_us = now };
	else
		timeline.latest.count++;
	return timeline.latest;
}

/* Returns whether stamp a is earlier than stamp b. */
static bool hlc_is_before(struct hlc a, struct hlc b)
{
	if (a.wall_us != b.wall_us)
		return a.wall_us < b.wall_us;
	return a.count < b.count;
}
