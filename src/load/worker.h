#ifndef LOAD_WORKER_H
#define LOAD_WORKER_H

#include <pthread.h>

#include "load/load_stats.h"
#include "load/load_request.h"

#define SESSIONS_PER_TEAM_MAX 256			  /* per thread */
#define FINAL_READ_TIMEOUT_US ((usec_t)30 * USEC_PER_SEC) /* with retries */

/* The team and service that a key belongs to. */
struct key_owner {
	uint32_t team;
	uint32_t service;
};

/* The state of a run that all worker threads share. */
struct load_shared {
	const struct load_options *o;
	uint64_t fence_term; /* of the database if it is called directly */
	usec_t start;
	usec_t end; /* no arrivals from then on */

	pthread_mutex_t lock; /* guards all fields below */
	struct checker *checker;
	struct load_stats stats;
	uint32_t *shared_keys;	  /* handles; see session_keys() */
	struct key_owner *owners; /* indexed by key handle */
	uint32_t owners_capacity;
	uint64_t keys_read;   /* by the final read */
	uint64_t keys_unread; /* could not be read by the final read */
};

/* One thread of the load generator, with its own sessions and connections. */
struct worker {
	struct load_shared *shared;
	uint32_t index;
	pthread_t thread;
	struct random random;
	CURLM *multi;
	struct load_request *free_requests;
	struct load_request *retry_list; /* due at their retry_at */
	uint32_t in_flight;
	uint32_t n_sessions;
	uint32_t n_team_sessions[LOAD_TEAMS_MAX];
	struct session *idle_head[LOAD_TEAMS_MAX];
	struct session *idle_tail[LOAD_TEAMS_MAX];
	struct session **all_sessions; /* freed by worker_destroy() */
	double next_arrival; /* microseconds since the start of the run */
	uint64_t last_id;    /* counts the request ids given out */
	uint32_t next_target;
	usec_t unavailable_until[LOAD_TARGETS_MAX]; /* per target */
};

void *worker_run(void *arg);
void *worker_run_final(void *arg);
int worker_init(struct worker *w, struct load_shared *s, uint32_t index);
void worker_destroy(struct worker *w);

/* Requests and their attempts. */
void worker_start_attempt(struct worker *w, struct load_request *r);
void worker_finish_attempt(struct worker *w, struct load_request *r,
			   CURLcode rc);
struct load_request *worker_alloc_request(struct worker *w);
void worker_release_request(struct worker *w, struct load_request *r);
/* Sessions. */
struct session *worker_acquire_session(struct worker *w, uint32_t team);
void worker_release_session(struct worker *w, struct session *s);
/* The final read. */
void worker_start_final_reads(struct worker *w);
void worker_finish_final_read(struct worker *w, struct load_request *r,
			      const struct attempt *a);

usec_t load_now(void);

#endif
