#include "standin/http_timer.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "standin/skiplist.h"

struct http_timer {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct http_request **heap; /* binary heap, earliest due first */
	size_t n_requests;
	size_t capacity;
	bool wake_pending;
	atomic_uint_fast64_t n_wakes;
	bool stopped;
};

static void *timer_run(void *arg);
static void wait_until(struct http_timer *t, usec_t due);
static void heap_push(struct http_timer *t, struct http_request *r);
static struct http_request *heap_pop(struct http_timer *t);
static void heap_set(struct http_timer *t, size_t i, struct http_request *r);
static void sift_up(struct http_timer *t, size_t i);
static void sift_down(struct http_timer *t, size_t i);
static void wake_requests(struct http_timer *t);
static void drop_request(struct http_request *r);

/*
 * Starts the timer thread; aborts the process if there are no resources for
 * it.
 */
struct http_timer *http_timer_start(void)
{
	struct http_timer *t = xzalloc(sizeof(*t));
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&t->lock, NULL);
	pthread_cond_init(&t->changed, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&t->thread, NULL, timer_run, t) != 0)
		abort();
	return t;
}

/*
 * Stops and joins the timer thread. Requests that are deferred, now or later,
 * are dropped.
 */
void http_timer_stop(struct http_timer *t)
{
	pthread_mutex_lock(&t->lock);
	t->stopped = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
}

/* Frees a stopped timer. */
void http_timer_free(struct http_timer *t)
{
	pthread_mutex_destroy(&t->lock);
	pthread_cond_destroy(&t->changed);
	free(t->heap);
	free(t);
}

/*
 * Adds a deferred request, whose connection is suspended. If a wake came after
 * its handler began, the request is due at once, so that no state change is
 * missed.
 */
void http_timer_add(struct http_timer *t, struct http_request *r)
{
	bool stopped;

	pthread_mutex_lock(&t->lock);
	stopped = t->stopped;
	if (!stopped) {
		if (r->can_wake && r->n_wakes != atomic_load(&t->n_wakes))
			r->due = monotonic_us();
		heap_push(t, r);
		pthread_cond_signal(&t->changed);
	}
	pthread_mutex_unlock(&t->lock);
	if (stopped)
		drop_request(r);
}

/* Makes every request that can be woken due now. */
void http_timer_wake(struct http_timer *t)
{
	pthread_mutex_lock(&t->lock);
	atomic_fetch_add(&t->n_wakes, 1);
	t->wake_pending = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

/*
 * Returns the number of wakes so far. A request records it before its handler
 * looks at any state; see http_timer_add().
 */
uint64_t http_timer_n_wakes(struct http_timer *t)
{
	return atomic_load(&t->n_wakes);
}

/*
 * Runs the timer thread: resumes each request that is due, one at a time,
 * without holding the lock.
 */
static void *timer_run(void *arg)
{
	struct http_timer *t = arg;
	struct http_request *r;
	bool ready;

	pthread_mutex_lock(&t->lock);
	while (!t->stopped) {
		if (t->wake_pending)
			wake_requests(t);
		if (t->n_requests == 0 || t->heap[0]->due > monotonic_us()) {
			wait_until(t, t->n_requests ? t->heap[0]->due : 0);
			continue;
		}
		r = heap_pop(t);
		pthread_mutex_unlock(&t->lock);
		r->is_deferred = false;
		r->resume(r);
		ready = r->has_reply;
		if (ready)
			MHD_resume_connection(r->conn);
		pthread_mutex_lock(&t->lock);
		if (!ready)
			heap_push(t, r);
	}
	while (t->n_requests)
		drop_request(heap_pop(t));
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

/*
 * Waits for a signal, until "due" at the latest; 0 waits without a timeout.
 * The caller holds the lock.
 */
static void wait_until(struct http_timer *t, usec_t due)
{
	struct timespec ts;

	if (due == 0) {
		pthread_cond_wait(&t->changed, &t->lock);
		return;
	}
	ts.tv_sec = due / USEC_PER_SEC;
	ts.tv_nsec = due % USEC_PER_SEC * 1000;
	pthread_cond_timedwait(&t->changed, &t->lock, &ts);
}

/* Adds a request to the heap. The caller holds the lock. */
static void heap_push(struct http_timer *t, struct http_request *r)
{
	struct http_request **grown;

	if (t->n_requests == t->capacity) {
		t->capacity = t->capacity ? 2 * t->capacity : 64;
		grown = realloc(t->heap,
				t->capacity * sizeof(struct http_request *));
		if (!grown)
			abort();
		t->heap = grown;
	}
	heap_set(t, t->n_requests++, r);
	sift_up(t, t->n_requests - 1);
}

/*
 * Removes and returns the request that is due first. The caller holds the
 * lock.
 */
static struct http_request *heap_pop(struct http_timer *t)
{
	struct http_request *r = t->heap[0];

	t->n_requests--;
	if (t->n_requests) {
		heap_set(t, 0, t->heap[t->n_requests]);
		sift_down(t, 0);
	}
	return r;
}

/* Puts a request at a heap index. */
static void heap_set(struct http_timer *t, size_t i, struct http_request *r)
{
	t->heap[i] = r;
	r->heap_index = i;
}

/* Moves a request towards the root until its parent is not due later. */
static void sift_up(struct http_timer *t, size_t i)
{
	struct http_request *r = t->heap[i];

	for (; i && t->heap[(i - 1) / 2]->due > r->due; i = (i - 1) / 2)
		heap_set(t, i, t->heap[(i - 1) / 2]);
	heap_set(t, i, r);
}

/* Moves a request towards the leaves until no child is due earlier. */
static void sift_down(struct http_timer *t, size_t i)
{
	struct http_request *r = t->heap[i];
	size_t child;

	while ((child = 2 * i + 1) < t->n_requests) {
		if (child + 1 < t->n_requests &&
		    t->heap[child + 1]->due < t->heap[child]->due)
			child++;
		if (t->heap[child]->due >= r->due)
			break;
		heap_set(t, i, t->heap[child]);
		i = child;
	}
	heap_set(t, i, r);
}

/* Makes every request that can be woken due now. The caller holds the lock. */
static void wake_requests(struct http_timer *t)
{
	usec_t now = monotonic_us();
	size_t i;

	t->wake_pending = false;
	for (i = 0; i < t->n_requests; i++) {
		if (!t->heap[i]->can_wake || t->heap[i]->due <= now)
			continue;
		t->heap[i]->due = now;
		sift_up(t, i);
	}
}

/* Closes the connection of a deferred request without a response. */
static void drop_request(struct http_request *r)
{
	http_request_drop(r);
	MHD_resume_connection(r->conn);
}
