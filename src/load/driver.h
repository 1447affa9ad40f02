#ifndef LOAD_DRIVER_H
#define LOAD_DRIVER_H

#include <pthread.h>

#include "load/measures.h"
#include "load/task.h"

#define SESSIONS_PER_TEAM 256 /* per thread */
#define FINAL_GIVE_UP_US  ((usec_t)30 * USEC_PER_SEC)

/* Whose key it is. */
struct key_home {
	uint32_t team;
	uint32_t service;
};

/* What the threads share. */
struct load_shared {
	const struct load_options *o;
	uint64_t term; /* of a database driven directly */
	usec_t start;
	usec_t end; /* of arrivals */

	pthread_mutex_t lock; /* of all below */
	struct verify *verify;
	struct measures measures;
	uint32_t *shared_keys;
	struct key_home *homes; /* by the key's handle */
	uint32_t homes_room;
	uint64_t keys_read;   /* checked at the end */
	uint64_t keys_unread; /* could not be read at the end */
};

/* One thread with its own sessions and connections. */
struct driver {
	struct load_shared *shared;
	uint32_t index;
	pthread_t thread;
	struct random random;
	CURLM *multi;
	struct task *idle_tasks;
	struct task *waiting; /* to be tried again */
	uint32_t in_flight;
	uint32_t sessions;
	uint32_t team_sessions[LOAD_TEAMS_MAX];
	struct session *idle_head[LOAD_TEAMS_MAX];
	struct session *idle_tail[LOAD_TEAMS_MAX];
	struct session **all; /* for the end */
	double next_arrival;  /* microseconds since the start */
	uint64_t ids;
	uint32_t next_target;
	usec_t down_until[LOAD_TARGETS_MAX]; /* passed over until then */
};

void *driver_run(void *arg);	   /* arrivals, then all answers */
void *driver_run_final(void *arg); /* reads every key back */
int driver_init(struct driver *d, struct load_shared *s, uint32_t index);
void driver_destroy(struct driver *d);

/* driver_tasks.c */
void driver_start(struct driver *d, struct task *t);
void driver_finish(struct driver *d, struct task *t, CURLcode rc);
struct task *driver_task(struct driver *d);
void driver_release(struct driver *d, struct task *t);
/* driver_sessions.c */
struct session *driver_session(struct driver *d, uint32_t team);
void driver_session_idle(struct driver *d, struct session *s);
/* driver_final.c */
void driver_final_start(struct driver *d);
void driver_final_finish(struct driver *d, struct task *t,
			 const struct attempt *a);

usec_t load_now(void);

#endif
