#include "standin/web_timer.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "standin/omap.h"

struct web_timer {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct web_request **heap; /* earliest first, slot counts from 0 */
	size_t n;
	size_t room;
	bool kicked;
	atomic_uint_fast64_t kicks;
	bool stopped;
};

static void *run(void *arg);
static void wait_until(struct web_timer *t, usec_t due);
static void push(struct web_timer *t, struct web_request *r);
static struct web_request *pop(struct web_timer *t);
static void place(struct web_timer *t, size_t i, struct web_request *r);
static void sift_up(struct web_timer *t, size_t i);
static void sift_down(struct web_timer *t, size_t i);
static void apply_kick(struct web_timer *t);
static void drop(struct web_request *r);

/* Starts the thread. */
struct web_timer *web_timer_start(void)
{
	struct web_timer *t = must_alloc(sizeof(*t));
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&t->lock, NULL);
	pthread_cond_init(&t->wake, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&t->thread, NULL, run, t) != 0)
		abort();
	return t;
}

void web_timer_stop(struct web_timer *t)
{
	pthread_mutex_lock(&t->lock);
	t->stopped = true;
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
}

void web_timer_free(struct web_timer *t)
{
	pthread_mutex_destroy(&t->lock);
	pthread_cond_destroy(&t->wake);
	free(t->heap);
	free(t);
}

void web_timer_add(struct web_timer *t, struct web_request *r)
{
	bool stopped;

	pthread_mutex_lock(&t->lock);
	stopped = t->stopped;
	if (!stopped) {
		if (r->on_kick && r->kicks != atomic_load(&t->kicks))
			r->due = web_now();
		push(t, r);
		pthread_cond_signal(&t->wake);
	}
	pthread_mutex_unlock(&t->lock);
	if (stopped)
		drop(r);
}

void web_timer_kick(struct web_timer *t)
{
	pthread_mutex_lock(&t->lock);
	atomic_fetch_add(&t->kicks, 1);
	t->kicked = true;
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->lock);
}

uint64_t web_timer_kicks(struct web_timer *t)
{
	return atomic_load(&t->kicks);
}

/* Runs what is due, one at a time, without the lock. */
static void *run(void *arg)
{
	struct web_timer *t = arg;
	struct web_request *r;
	bool ready;

	pthread_mutex_lock(&t->lock);
	while (!t->stopped) {
		if (t->kicked)
			apply_kick(t);
		if (t->n == 0 || t->heap[0]->due > web_now()) {
			wait_until(t, t->n ? t->heap[0]->due : 0);
			continue;
		}
		r = pop(t);
		pthread_mutex_unlock(&t->lock);
		r->later = false;
		r->step(r);
		ready = r->ready;
		if (ready)
			MHD_resume_connection(r->conn);
		pthread_mutex_lock(&t->lock);
		if (!ready)
			push(t, r);
	}
	while (t->n)
		drop(pop(t));
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

/* Waits for a signal, at most until "due" unless that is 0; lock held. */
static void wait_until(struct web_timer *t, usec_t due)
{
	struct timespec ts;

	if (due == 0) {
		pthread_cond_wait(&t->wake, &t->lock);
		return;
	}
	ts.tv_sec = due / USEC_PER_SEC;
	ts.tv_nsec = due % USEC_PER_SEC * 1000;
	pthread_cond_timedwait(&t->wake, &t->lock, &ts);
}

static void push(struct web_timer *t, struct web_request *r)
{
	struct web_request **more;

	if (t->n == t->room) {
		t->room = t->room ? 2 * t->room : 64;
		more = realloc(t->heap, t->room * sizeof(struct web_request *));
		if (!more)
			abort();
		t->heap = more;
	}
	place(t, t->n++, r);
	sift_up(t, t->n - 1);
}

static struct web_request *pop(struct web_timer *t)
{
	struct web_request *r = t->heap[0];

	t->n--;
	if (t->n) {
		place(t, 0, t->heap[t->n]);
		sift_down(t, 0);
	}
	return r;
}

static void place(struct web_timer *t, size_t i, struct web_request *r)
{
	t->heap[i] = r;
	r->slot = i;
}

static void sift_up(struct web_timer *t, size_t i)
{
	struct web_request *r = t->heap[i];

	for (; i && t->heap[(i - 1) / 2]->due > r->due; i = (i - 1) / 2)
		place(t, i, t->heap[(i - 1) / 2]);
	place(t, i, r);
}

static void sift_down(struct web_timer *t, size_t i)
{
	struct web_request *r = t->heap[i];
	size_t c;

	while ((c = 2 * i + 1) < t->n) {
		if (c + 1 < t->n && t->heap[c + 1]->due < t->heap[c]->due)
			c++;
		if (t->heap[c]->due >= r->due)
			break;
		place(t, i, t->heap[c]);
		i = c;
	}
	place(t, i, r);
}

/* Makes due whatever asked to be woken; lock held. */
static void apply_kick(struct web_timer *t)
{
	usec_t now = web_now();
	size_t i;

	t->kicked = false;
	for (i = 0; i < t->n; i++) {
		if (!t->heap[i]->on_kick || t->heap[i]->due <= now)
			continue;
		t->heap[i]->due = now;
		sift_up(t, i);
	}
}

static void drop(struct web_request *r)
{
	web_drop(r);
	MHD_resume_connection(r->conn);
}
