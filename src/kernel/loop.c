#include "kernel/loop_own.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define POLL_SOCKETS 1024
#define POLL_MAX_US  1000000

static void *APR_THREAD_FUNC loop_main(apr_thread_t *thread, void *data);
static void run_inbox(struct loop *l);
static void run_timers(struct loop *l);
static usec_t poll_timeout(const struct loop *l);
static bool inbox_empty(struct loop *l);

static __thread struct loop *current;

/* Monotonic time in microseconds. */
usec_t clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Wall clock in microseconds since the epoch. */
int64_t clock_wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Makes a loop that does not run yet; NULL on failure. */
struct loop *loop_create(const char *name, struct error *e)
{
	struct loop *l = calloc(1, sizeof(*l));

	if (!l) {
		error_set(e, ERR_SYSTEM, STEP_NONE, name, "no memory");
		return NULL;
	}
	snprintf(l->name, sizeof(l->name), "%s", name);
	if (apr_pool_create(&l->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&l->lock, APR_THREAD_MUTEX_DEFAULT,
				    l->pool) != APR_SUCCESS ||
	    apr_pollset_create(&l->pollset, POLL_SOCKETS, l->pool,
			       APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
		    APR_SUCCESS) {
		error_set(e, ERR_SYSTEM, STEP_NONE, name, "no poll set");
		loop_destroy(l);
		return NULL;
	}
	if (loop_http_open(l, e)) {
		loop_destroy(l);
		return NULL;
	}
	return l;
}

/* Chooses cheap waiting over exact timers; before the start. */
void loop_set_coarse(struct loop *l)
{
	l->coarse = true;
}

/* Starts the loop's thread. */
int loop_start(struct loop *l, struct error *e)
{
	if (apr_thread_create(&l->thread, NULL, loop_main, l, l->pool) !=
	    APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, l->name,
				 "no thread");
	return 0;
}

/*
 * Ends the loop once its inbox is empty and joins its thread. Calls under way
 * end with a failure; timers never fire again.
 */
void loop_stop(struct loop *l)
{
	apr_status_t rc;

	if (!l || !l->thread)
		return;
	apr_thread_mutex_lock(l->lock);
	l->stopping = true;
	apr_thread_mutex_unlock(l->lock);
	apr_pollset_wakeup(l->pollset);
	apr_thread_join(&rc, l->thread);
	l->thread = NULL;
}

/* Frees a loop that has been stopped or was never started. */
void loop_destroy(struct loop *l)
{
	struct loop_task *t;

	if (!l)
		return;
	while ((t = l->inbox_first)) {
		l->inbox_first = t->next;
		free(t);
	}
	loop_http_close(l);
	timer_heap_free(&l->timers);
	if (l->pool)
		apr_pool_destroy(l->pool);
	free(l);
}

/*
 * Runs fn(ctx) on the loop's thread, in the order of the posts. Any thread;
 * takes the inbox's lock. Without memory the process ends: a task that is
 * silently lost would leave a request without an answer.
 */
void loop_post(struct loop *l, void (*fn)(void *ctx), void *ctx)
{
	struct loop_task *t = malloc(sizeof(*t));
	bool wake;

	if (!t)
		abort();
	*t = (struct loop_task){ .fn = fn, .ctx = ctx };
	apr_thread_mutex_lock(l->lock);
	if (l->inbox_last)
		l->inbox_last->next = t;
	else
		l->inbox_first = t;
	l->inbox_last = t;
	wake = !l->woken;
	l->woken = true;
	apr_thread_mutex_unlock(l->lock);
	if (wake && current != l)
		apr_pollset_wakeup(l->pollset);
}

/* Sets or moves a timer. Loop thread, or before the start. */
void loop_timer_set(struct loop *l, struct loop_timer *t, usec_t at)
{
	timer_heap_remove(&l->timers, t);
	t->at = at;
	if (timer_heap_put(&l->timers, t))
		abort();
}

/* Clears a timer, set or not. Loop thread. */
void loop_timer_clear(struct loop *l, struct loop_timer *t)
{
	timer_heap_remove(&l->timers, t);
}

/* Tells whether the caller runs on the loop's thread. */
bool loop_is_current(const struct loop *l)
{
	return current == l;
}

/* The loop's thread: tasks, timers, then what the sockets have. */
static void *APR_THREAD_FUNC loop_main(apr_thread_t *thread, void *data)
{
	struct loop *l = data;
	const apr_pollfd_t *fds;
	apr_int32_t n, i;
	bool stop;

	(void)thread;
	current = l;
	for (;;) {
		run_inbox(l);
		run_timers(l);
		apr_thread_mutex_lock(l->lock);
		stop = l->stopping && !l->inbox_first;
		apr_thread_mutex_unlock(l->lock);
		if (stop)
			break;
		n = 0;
		if (apr_pollset_poll(l->pollset, poll_timeout(l), &n, &fds) !=
		    APR_SUCCESS)
			continue;
		for (i = 0; i < n; i++)
			loop_http_ready(l, &fds[i]);
	}
	loop_http_close(l);
	run_inbox(l);
	current = NULL;
	return NULL;
}

/* Runs the tasks that were posted before it began. */
static void run_inbox(struct loop *l)
{
	struct loop_task *t, *next;

	apr_thread_mutex_lock(l->lock);
	t = l->inbox_first;
	l->inbox_first = NULL;
	l->inbox_last = NULL;
	l->woken = false;
	apr_thread_mutex_unlock(l->lock);
	for (; t; t = next) {
		next = t->next;
		t->fn(t->ctx);
		free(t);
	}
}

/* Runs every timer that is due; one set anew meanwhile waits a turn. */
static void run_timers(struct loop *l)
{
	struct loop_timer *t;
	usec_t now = clock_now();

	while ((t = timer_heap_first(&l->timers)) && t->at <= now) {
		timer_heap_remove(&l->timers, t);
		t->fn(t->ctx);
	}
}

/* How long the sockets may be waited for, in microseconds. */
static usec_t poll_timeout(const struct loop *l)
{
	const struct loop_timer *t = timer_heap_first(&l->timers);
	usec_t left;

	if (!inbox_empty((struct loop *)l))
		return 0;
	if (!t)
		return POLL_MAX_US;
	left = t->at - clock_now();
	if (left < 0)
		return 0;
	/* The poll set counts whole milliseconds, rounded down. */
	if (l->coarse)
		left += USEC_PER_MSEC - 1;
	return left < POLL_MAX_US ? left : POLL_MAX_US;
}

/* Is nothing posted? Takes the inbox's lock. */
static bool inbox_empty(struct loop *l)
{
	bool empty;

	apr_thread_mutex_lock(l->lock);
	empty = !l->inbox_first;
	apr_thread_mutex_unlock(l->lock);
	return empty;
}
