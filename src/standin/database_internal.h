#ifndef STANDIN_DATABASE_INTERNAL_H
#define STANDIN_DATABASE_INTERNAL_H

#include <pthread.h>

#include "standin/database.h"
#include "standin/dbstore.h"
#include "standin/faults.h"
#include "standin/omap.h"
#include "standin/web.h"

#define LOG_BATCH_ENTRIES_MAX 512 /* entries in one answer to a follower */
#define LOG_WAIT_MAX_MS	      20  /* longest hold of such an answer */
#define PAUSE_POLL_US	      2000
#define SILENT_POLL_US	      20000
#define CONNECTIONS_MAX	      4096

struct database {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	struct web *server;
	struct web *control_server;
	struct faults faults;
	atomic_llong running;
	atomic_int log_waiters;

	pthread_mutex_t lock; /* of all below */
	pthread_cond_t follow_changed;
	struct dbstore *store;
	uint64_t follow_term;
	uint64_t follow_order_seq; /* rises with each order to follow */
	char primary[ADDR_MAX_BYTES];
	bool stopping;
	pthread_t follower;
};

/* database_calls.c */
void database_on_request(struct web_request *r);
bool database_can_accept(void *ctx, unsigned int open);
void database_add_status(struct database *d, json_t *into); /* lock held */
/* database_group.c */
void database_change_role(struct web_request *r);
void database_read_log(struct web_request *r);
void database_reply_not_run(struct web_request *r, enum dbstore_result why,
			    json_t *status); /* takes it */
void database_wake_followers(struct database *d);
/* database_follow.c */
void *database_follower_run(void *arg);

#endif
