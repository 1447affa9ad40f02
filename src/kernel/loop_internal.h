#ifndef KERNEL_LOOP_INTERNAL_H
#define KERNEL_LOOP_INTERNAL_H

#include <apr_poll.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>

#include "kernel/loop.h"
#include "kernel/timer_heap.h"

#define LOOP_FDS_MAX 65536

struct loop_task {
	void (*fn)(void *ctx);
	void *ctx;
	struct loop_task *next;
};

/* A socket of curl and the events it is polled for. */
struct loop_socket {
	apr_socket_t *socket;
	apr_pollfd_t poll;
	bool polled;
	bool is_open; /* of a connection that curl opened */
};

/* Shared by loop.c and loop_http.c only. */
struct loop {
	char name[NAME_MAX_BYTES];
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_pollset_t *pollset;
	apr_thread_mutex_t *lock; /* of the task queue */
	struct loop_task *tasks_first;
	struct loop_task *tasks_last;
	bool wakeup_pending; /* the thread was woken and has not run yet */
	bool stopping;
	bool coarse_timers; /* see loop_set_coarse_timers() */
	struct timer_heap timers;
	struct loop_timer curl_timer;
	CURLM *multi;
	struct loop_socket **sockets; /* indexed by descriptor */
	CURL **idle_handles;	      /* unused handles, kept for reuse */
	uint32_t n_idle_handles;
	struct http_call *calls; /* in progress */
};

int loop_http_open(struct loop *l, struct error *e);
void loop_http_close(struct loop *l);
void loop_http_ready(struct loop *l, const apr_pollfd_t *fd);

#endif
