#ifndef PLUGINS_GOSSIP_OWN_H
#define PLUGINS_GOSSIP_OWN_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/peer.h"
#include "plugins/gossip.h"
#include "plugins/gossip_codec.h"

#define PENDING_MAX	 64
#define NOTED_MAX	 256
#define ROUND_GAP_US	 (20 * (usec_t)USEC_PER_MSEC)
#define ASK_TIMEOUT_US	 (500 * (usec_t)USEC_PER_MSEC)
#define ASK_TRIES	 2
#define ASK_BACK_GAP_US	 (100 * (usec_t)USEC_PER_MSEC)
#define CONFIRM_RETRY_US (150 * (usec_t)USEC_PER_MSEC)
#define CONFIRM_PEERS	 3

/* A question under way. */
struct pending_ask {
	uint64_t id;		   /* 0: free */
	char name[NAME_MAX_BYTES]; /* empty: asked by address */
	uint64_t incarnation;
	usec_t asked_at;
	uint32_t tries;
	bool resumed; /* for a further piece of an answer */
};

/* Whom to ask, and where the last answer stopped. */
struct ask_target {
	char to[NAME_MAX_BYTES]; /* name, or ip:port */
	uint64_t incarnation;	 /* 0: asked by address */
	uint32_t tries;
	struct spread_cursor cursor;
};

/* An object that came into force, not yet in the spread table perhaps. */
struct noted_object {
	char name[SPREAD_NAME_BYTES];
	uint64_t version;
};

struct confirm_job;

/*
 * "lock" guards the spread table, questions and confirmations; it is taken
 * before the store's locks and the fleet's. "noted_lock" guards the noted
 * objects alone, as it is taken inside the store's.
 */
struct gossip {
	struct kernel *kernel;
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct spread *spread;
	uint64_t next_id;
	struct pending_ask pending[PENDING_MAX];
	struct confirm_job *confirms;
	apr_thread_mutex_t *noted_lock;
	uint32_t n_noted;
	bool noted_lost; /* more than fitted: all are looked through */
	bool noted_posted;
	struct noted_object noted[NOTED_MAX];
	struct loop_timer round; /* the loop's */
	usec_t round_at;	 /* the loop's: of the last round */
};

extern struct gossip gossip;

void gossip_ask_peer(struct gossip *g, const struct ask_target *t);
/* Ends the question with this id; false if it is not known or of another. */
bool gossip_pending_take(struct gossip *g, uint64_t id, const char *from,
			 struct pending_ask *out);
/* Fills in news for a peer; takes the fleet's lock. */
void gossip_fill_news(struct gossip *g, bool introduce,
		      struct gossip_news *out);
void gossip_apply_news(struct gossip *g, const struct gossip_news *news);
/* Handlers, on the peer thread. */
void gossip_on_ask(void *ctx, const char *from, uint64_t incarnation,
		   const void *body, size_t len);
void gossip_on_answer(void *ctx, const char *from, uint64_t incarnation,
		      const void *body, size_t len);
void gossip_on_tell(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len);
void gossip_on_told(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len);

#endif
