#include "kernel/timeline.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/time.h>

/* The ring of this process, and its hybrid logical clock. */
static struct {
	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /* guards all below */
	struct timeline_event *ring;
	uint32_t size;	   /* events */
	uint64_t next;	   /* number of the next event; the first is 1 */
	struct hlc latest; /* last stamp given or seen */
} line;

static int64_t wall_us(void);
static struct hlc tick(void);
static bool hlc_before(struct hlc a, struct hlc b);

/*
 * Allocates a ring of "events" events. Called before threads start; without
 * it events are dropped and stamps are the bare wall clock.
 */
int timeline_open(uint32_t events, struct error *e)
{
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&line.pool, NULL) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "time line: no memory pool");
	line.ring = calloc(events, sizeof(*line.ring));
	if (!line.ring ||
	    apr_thread_mutex_create(&line.lock, APR_THREAD_MUTEX_DEFAULT,
				    line.pool) != APR_SUCCESS) {
		timeline_close();
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "time line: no room for %u events", events);
	}
	line.size = events;
	line.next = 1;
	return 0;
}

/* Frees the ring. No other thread may use the time line any more. */
void timeline_close(void)
{
	free(line.ring);
	line.ring = NULL;
	line.lock = NULL;
	if (line.pool) {
		apr_pool_destroy(line.pool);
		line.pool = NULL;
		apr_terminate();
	}
}

/* Stamps an event and adds it, over the oldest if the ring is full. */
void timeline_add(enum event_id ev, const char *text)
{
	struct timeline_event *t;

	if (!line.lock)
		return;
	apr_thread_mutex_lock(line.lock);
	t = &line.ring[line.next % line.size];
	t->number = line.next++;
	t->at = tick();
	t->event = ev;
	snprintf(t->text, sizeof(t->text), "%s", text);
	apr_thread_mutex_unlock(line.lock);
}

/* Moves the clock up to a stamp that a peer sent; never back. */
void timeline_observe(struct hlc seen)
{
	if (!line.lock)
		return;
	apr_thread_mutex_lock(line.lock);
	if (hlc_before(line.latest, seen))
		line.latest = seen;
	apr_thread_mutex_unlock(line.lock);
}

/* Returns a stamp later than all given or seen before. */
struct hlc timeline_stamp(void)
{
	struct hlc at = { .wall_us = wall_us() };

	if (!line.lock)
		return at;
	apr_thread_mutex_lock(line.lock);
	at = tick();
	apr_thread_mutex_unlock(line.lock);
	return at;
}

/*
 * Copies up to "max" events from number "since" on, oldest first, and counts
 * in "*lost" those from "since" on that were overwritten.
 */
size_t timeline_read(uint64_t since, struct timeline_event *out, size_t max,
		     uint64_t *lost)
{
	uint64_t oldest = 1;
	uint64_t number;
	size_t n = 0;

	*lost = 0;
	if (!line.lock)
		return 0;
	if (since == 0)
		since = 1;
	apr_thread_mutex_lock(line.lock);
	if (line.next > line.size)
		oldest = line.next - line.size;
	if (since < oldest)
		*lost = oldest - since;
	for (number = since < oldest ? oldest : since;
	     number < line.next && n < max; number++)
		out[n++] = line.ring[number % line.size];
	apr_thread_mutex_unlock(line.lock);
	return n;
}

/* Returns the wall clock in microseconds since the epoch. */
static int64_t wall_us(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return (int64_t)tv.tv_sec * USEC_PER_SEC + tv.tv_usec;
}

/* Advances the clock by one event. Lock held. */
static struct hlc tick(void)
{
	int64_t now = wall_us();

	if (now > line.latest.wall_us)
		line.latest = (struct hlc){ .wall_us = now };
	else
		line.latest.count++;
	return line.latest;
}

/* Orders two stamps. */
static bool hlc_before(struct hlc a, struct hlc b)
{
	if (a.wall_us != b.wall_us)
		return a.wall_us < b.wall_us;
	return a.count < b.count;
}
