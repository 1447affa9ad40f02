#ifndef STANDIN_DATABASE_INTERNAL_H
#define STANDIN_DATABASE_INTERNAL_H

#include <pthread.h>

#include "standin/database.h"
#include "standin/dbstore.h"
#include "standin/faults.h"
#include "standin/omap.h"
#include "standin/web.h"

#define LOG_BATCH	    512 /* entries in one answer to a follower */
#define LOG_WAIT_MS	    20	/* longest hold of such an answer */
#define PAUSE_CHECK_US	    2000
#define SILENT_CHECK_US	    20000
#define CONNECTION_HARD_MAX 4096

struct database {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	struct web *web;
	struct web *control;
	struct faults faults;
	atomic_llong running;
	atomic_int log_waiters;

	pthread_mutex_t lock; /* of all below */
	pthread_cond_t follow_changed;
	struct dbstore *store;
	uint64_t follow_term;
	uint64_t follow_seq; /* rises with each order to follow */
	char primary[ADDR_MAX_BYTES];
	bool stopping;
	pthread_t follower;
};

/* database_calls.c */
void database_handle(struct web_request *r);
bool database_accept(void *ctx, unsigned int open);
void database_status(struct database *d, json_t *into); /* lock held */
/* database_group.c */
void database_order(struct web_request *r);
void database_log(struct web_request *r);
void database_refuse(struct web_request *r, enum db_refusal why,
		     json_t *status); /* takes it */
void database_kick_log(struct database *d);
/* database_follow.c */
void *database_follow_run(void *arg);

#endif
