#ifndef STANDIN_DATABASE_INTERNAL_H
#define STANDIN_DATABASE_INTERNAL_H

#include <pthread.h>

#include "standin/database.h"
#include "standin/dbstore.h"
#include "standin/fault_injection.h"
#include "standin/skiplist.h"
#include "standin/http_server.h"

#define LOG_BATCH_ENTRIES_MAX 512   /* entries in one response to a follower */
#define LOG_WAIT_MAX_MS	      20    /* longest wait for a new entry */
#define PAUSE_POLL_US	      2000  /* between checks whether a pause is over */
#define SILENT_POLL_US	      20000 /* between checks for a closed client */
#define CONNECTIONS_MAX	      4096  /* open, also without a fault limit */

struct database {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	struct http_server *server;
	struct http_server *control_server;
	struct faults faults;
	atomic_llong running;	/* statements that hold a slot */
	atomic_int log_waiters; /* log requests being served */

	pthread_mutex_t lock;	       /* protects the fields below */
	pthread_cond_t follow_changed; /* follow request or stop */
	struct dbstore *store;
	uint64_t follow_term;	      /* term of the latest follow request */
	uint64_t follow_generation;   /* increases with each follow request */
	char primary[ADDR_MAX_BYTES]; /* address to follow in follow_term */
	bool stopping;
	pthread_t follower; /* thread of database_follower_run() */
};

/* database_api.c */
void database_on_request(struct http_request *r);
bool database_can_accept(void *ctx, unsigned int open);
void database_add_status(struct database *d, json_t *status);
/* database_replication.c */
void database_change_role(struct http_request *r);
void database_read_log(struct http_request *r);
void database_reply_not_run(struct http_request *r, enum dbstore_result result,
			    json_t *status);
void database_wake_followers(struct database *d);
/* database_follower.c */
void *database_follower_run(void *arg);

#endif
