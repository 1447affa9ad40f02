#ifndef PLUGINS_GOSSIP_INTERNAL_H
#define PLUGINS_GOSSIP_INTERNAL_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/peer.h"
#include "plugins/gossip.h"
#include "plugins/gossip_codec.h"

#define PENDING_MAX 64	/* requests awaiting a response */
#define APPLIED_MAX 256 /* applied objects queued for the version table */
/* Least time between two rounds, however often objects change. */
#define ROUND_GAP_MIN_US   (20 * (usec_t)USEC_PER_MSEC)
#define REQUEST_TIMEOUT_US (500 * (usec_t)USEC_PER_MSEC)
/* One lost message must not mark a VM as failed. */
#define REQUEST_ATTEMPTS_MAX 2
/*
 * A peer that has objects missing here is sent no request if an earlier one to
 * it is pending and younger than this.
 */
#define REVERSE_REQUEST_GAP_US (100 * (usec_t)USEC_PER_MSEC)
#define CONFIRM_RETRY_US       (150 * (usec_t)USEC_PER_MSEC)
#define CONFIRM_PEERS	       3 /* peers pushed to in each attempt */

/* A request that awaits its response. */
struct pending_request {
	uint64_t id;		   /* 0: free slot */
	char name[NAME_MAX_BYTES]; /* the peer's; empty: sent to an address */
	uint64_t incarnation;
	usec_t sent_at;
	uint32_t attempts;
	bool resumed; /* continues an earlier response at its cursor */
};

/* The peer to send a request to, and the cursor of its last response. */
struct request_target {
	char to[NAME_MAX_BYTES]; /* name, or ip:port */
	uint64_t incarnation;	 /* 0: sent to an address */
	uint32_t attempts;
	struct anti_entropy_cursor cursor;
};

/* An object that the store applied; it may not be in the version table yet. */
struct applied_object {
	char name[ANTI_ENTROPY_NAME_BYTES];
	uint64_t version;
};

struct confirm_job;

/*
 * "lock" guards the version table, pending requests and confirmations; it is
 * taken before the store's locks and the fleet's. "applied_lock" guards only
 * the queue of applied objects, because it is taken with the store's lock held.
 */
struct gossip {
	struct kernel *kernel;
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct anti_entropy
		*versions; /* objects with their versions and revisions */
	uint64_t next_id;
	struct pending_request pending[PENDING_MAX];
	struct confirm_job *confirms;
	apr_thread_mutex_t *applied_lock;
	uint32_t n_applied;
	bool applied_overflow; /* the queue was full: scan the whole store */
	bool applied_posted;
	struct applied_object applied[APPLIED_MAX];
	struct loop_timer round; /* loop thread only */
	usec_t round_at;	 /* start of the last round; loop thread only */
};

extern struct gossip gossip;

void gossip_send_request(struct gossip *g, const struct request_target *t);
/* Removes a pending request; false if unknown or not sent to "from". */
bool gossip_pending_take(struct gossip *g, uint64_t id, const char *from,
			 struct pending_request *out);
/*
 * Fills in member updates for a peer, with "introduce" this VM's own state
 * first; takes the fleet's lock.
 */
void gossip_fill_updates(struct gossip *g, bool introduce,
			 struct gossip_updates *out);
void gossip_apply_updates(struct gossip *g,
			  const struct gossip_updates *updates);
/* Message handlers; they run on the peer thread. */
void gossip_on_request(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
void gossip_on_response(void *ctx, const char *from, uint64_t incarnation,
			const void *body, size_t len);
void gossip_on_push(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len);
void gossip_on_push_ack(void *ctx, const char *from, uint64_t incarnation,
			const void *body, size_t len);

#endif
