#include "kernel/loop_internal.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define POLLSET_SIZE 1024
#define POLL_MAX_US  1000000

static void *APR_THREAD_FUNC loop_main(apr_thread_t *thread, void *data);
static void run_tasks(struct loop *l);
static void run_timers(struct loop *l);
static usec_t poll_timeout(const struct loop *l);
static bool has_no_tasks(struct loop *l);

static __thread struct loop *current;

/* Returns monotonic time in microseconds. */
usec_t clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Returns the wall clock in microseconds since the Unix epoch. */
int64_t clock_wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Creates a loop that is not running yet; NULL on failure. */
struct loop *loop_create(const char *name, struct error *e)
{
	struct loop *l = calloc(1, sizeof(*l));

	if (!l) {
		error_set(e, ERR_SYSTEM, STEP_NONE, name, "out of memory");
		return NULL;
	}
	snprintf(l->name, sizeof(l->name), "%s", name);
	if (apr_pool_create(&l->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&l->lock, APR_THREAD_MUTEX_DEFAULT,
				    l->pool) != APR_SUCCESS ||
	    apr_pollset_create(&l->pollset, POLLSET_SIZE, l->pool,
			       APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
		    APR_SUCCESS) {
		error_set(e, ERR_SYSTEM, STEP_NONE, name,
			  "cannot create the poll set");
		loop_destroy(l);
		return NULL;
	}
	if (loop_http_open(l, e)) {
		loop_destroy(l);
		return NULL;
	}
	return l;
}

/*
 * Allows timers to fire up to 1 ms late, which saves busy polling. Called
 * before the start.
 */
void loop_set_coarse_timers(struct loop *l)
{
	l->coarse_timers = true;
}

/* Starts the loop's thread. */
int loop_start(struct loop *l, struct error *e)
{
	if (apr_thread_create(&l->thread, NULL, loop_main, l, l->pool) !=
	    APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, l->name,
				 "cannot start the thread");
	return 0;
}

/*
 * Stops the loop once its task queue is empty, and joins its thread. Calls in
 * progress fail; timers do not fire any more.
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
	while ((t = l->tasks_first)) {
		l->tasks_first = t->next;
		free(t);
	}
	loop_http_close(l);
	timer_heap_free(&l->timers);
	if (l->pool)
		apr_pool_destroy(l->pool);
	free(l);
}

/*
 * Queues fn(ctx) to run on the loop's thread, in the order of the calls. Any
 * thread; takes the lock of the task queue. Aborts if memory is short, because
 * a lost task would leave a request without a response.
 */
void loop_post(struct loop *l, void (*fn)(void *ctx), void *ctx)
{
	struct loop_task *t = malloc(sizeof(*t));
	bool needs_wakeup;

	if (!t)
		abort();
	*t = (struct loop_task){ .fn = fn, .ctx = ctx };
	apr_thread_mutex_lock(l->lock);
	if (l->tasks_last)
		l->tasks_last->next = t;
	else
		l->tasks_first = t;
	l->tasks_last = t;
	needs_wakeup = !l->wakeup_pending;
	l->wakeup_pending = true;
	apr_thread_mutex_unlock(l->lock);
	if (needs_wakeup && current != l)
		apr_pollset_wakeup(l->pollset);
}

/* Sets or moves a timer. Loop thread, or before the start. */
void loop_timer_set(struct loop *l, struct loop_timer *t, usec_t at)
{
	timer_heap_remove(&l->timers, t);
	t->at = at;
	if (timer_heap_insert(&l->timers, t))
		abort();
}

/* Clears a timer, whether it is set or not. Loop thread. */
void loop_timer_clear(struct loop *l, struct loop_timer *t)
{
	timer_heap_remove(&l->timers, t);
}

/* Returns whether the caller runs on the loop's thread. */
bool loop_is_current(const struct loop *l)
{
	return current == l;
}

/* Runs the loop's thread: tasks, timers, then the sockets that are ready. */
static void *APR_THREAD_FUNC loop_main(apr_thread_t *thread, void *data)
{
	struct loop *l = data;
	const apr_pollfd_t *fds;
	apr_int32_t n, i;
	bool stop;

	(void)thread;
	current = l;
	for (;;) {
		run_tasks(l);
		run_timers(l);
		apr_thread_mutex_lock(l->lock);
		stop = l->stopping && !l->tasks_first;
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
	run_tasks(l);
	current = NULL;
	return NULL;
}

/* Runs the tasks that were queued before it began. */
static void run_tasks(struct loop *l)
{
	struct loop_task *t, *next;

	apr_thread_mutex_lock(l->lock);
	t = l->tasks_first;
	l->tasks_first = NULL;
	l->tasks_last = NULL;
	l->wakeup_pending = false;
	apr_thread_mutex_unlock(l->lock);
	for (; t; t = next) {
		next = t->next;
		t->fn(t->ctx);
		free(t);
	}
}

/* Runs every timer that was due when it began. */
static void run_timers(struct loop *l)
{
	struct loop_timer *t;
	usec_t now = clock_now();

	while ((t = timer_heap_first(&l->timers)) && t->at <= now) {
		timer_heap_remove(&l->timers, t);
		t->fn(t->ctx);
	}
}

/* Returns how long to wait for the sockets, in microseconds. */
static usec_t poll_timeout(const struct loop *l)
{
	const struct loop_timer *t = timer_heap_first(&l->timers);
	usec_t remaining;

	if (!has_no_tasks((struct loop *)l))
		return 0;
	if (!t)
		return POLL_MAX_US;
	remaining = t->at - clock_now();
	if (remaining < 0)
		return 0;
	/* The poll set rounds down to whole milliseconds. */
	if (l->coarse_timers)
		remaining += USEC_PER_MSEC - 1;
	return remaining < POLL_MAX_US ? remaining : POLL_MAX_US;
}

/* Returns whether the task queue is empty. Takes its lock. */
static bool has_no_tasks(struct loop *l)
{
	bool empty;

	apr_thread_mutex_lock(l->lock);
	empty = !l->tasks_first;
	apr_thread_mutex_unlock(l->lock);
	return empty;
}
