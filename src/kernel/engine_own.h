#ifndef KERNEL_ENGINE_OWN_H
#define KERNEL_ENGINE_OWN_H

#include <apr_hash.h>
#include <apr_thread_mutex.h>

#include "decide/admit.h"
#include "decide/config.h"
#include "decide/confirm.h"
#include "decide/once.h"
#include "decide/probe.h"
#include "decide/promote.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/slots.h"
#include "decide/token.h"
#include "decide/transaction.h"
#include "kernel/database.h"
#include "kernel/engine.h"
#include "kernel/kernel.h"

#define RANDOM_WORDS	64
#define QUEUE_TEAM_PART 2 /* one team fills at most this part of a queue */

#define FORWARDS_SEEN 256

struct engine;
struct group;
struct run;
struct tx;

/* A request that another VM has passed on: never taken twice. */
struct forward_seen {
	uint64_t incarnation;
	uint64_t id;
};

/* A list of runs, in order. */
struct run_list {
	struct run *first;
	struct run **last;
};

/* One thread's part of the groups, with the lock that guards it. */
struct shard {
	struct engine *engine;
	struct kernel *kernel;
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct group *groups;
	apr_hash_t *by_service;
	apr_hash_t *by_tx; /* transactions held here, by number */
	uint64_t random[RANDOM_WORDS];
	uint32_t random_left;
	uint32_t runs;		   /* requests not yet answered */
	uint32_t transactions;	   /* open ones */
	struct run_list forwarded; /* at other VMs */
	struct forward_seen seen[FORWARDS_SEEN];
	uint32_t seen_next;
};

struct engine {
	struct kernel *kernel;
	apr_pool_t *pool;
	uint32_t n;
	struct shard *shards;
	uint64_t tx_numbers;	  /* __atomic */
	uint64_t forward_numbers; /* __atomic */
	struct retry_policy retry;
	struct route_policy route;
	struct confirm_policy confirm;
	struct promote_policy promote;
	struct probe_policy probe;
};

/* One database of a group as its VM uses it. */
struct group_db {
	uint32_t index; /* in its group; DB_NONE once it has left */
	char name[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint32_t slots;
	uint32_t connections;
	struct probe probe;
	struct db_call probing;
	bool probe_under_way;
	bool lost;	  /* told so in the log */
	usec_t failed_at; /* a call failed then, and nothing was heard since */
	struct group *group;
	struct group_db *next; /* in left */
	struct admit *reads;
	struct slots reads_limit;
};

/* One group: its view, its queues and its promotion. */
struct group {
	struct group *next;
	struct shard *shard;
	char service[NAME_MAX_BYTES];
	uint64_t version; /* of the platform's object */
	struct group_view view;
	struct group_db *db[DB_MAX];
	struct group_db *left; /* databases that have left, by next */
	struct admit *primary; /* queue of all that needs the primary */
	struct slots primary_limit;
	bool held;
	bool hold_here;	   /* this VM's promotion says so */
	usec_t hold_until; /* on a peer's word; 0: none */
	struct run_list parked;
	struct run_list confirming;
	struct run_list calling;  /* at a database, not in transactions */
	struct log_pos confirmed; /* a majority holds all up to here */
	uint32_t confirms;
	uint32_t writes; /* calls under way that write at the primary */
	struct promote promote;
	struct retry_budget budget;
	struct loop_timer tick;
	usec_t unfollowed_at; /* no replica follows since; 0: some does */
	usec_t used_at;
	uint32_t rank;
	usec_t rank_at;
	bool other_domains; /* live VMs there; as old as the rank */
	struct tx *transactions;
};

enum run_stage {
	RUN_ADMIT,     /* waits for a token of its team */
	RUN_PARKED,    /* waits for a view, a replica or its back-off */
	RUN_QUEUED,    /* in a database's queue */
	RUN_CALLING,   /* at a database */
	RUN_CONFIRM,   /* waits for a second database */
	RUN_FORWARDED, /* at another VM */
};

/* One request in the engine. */
struct run {
	struct request *r;
	struct group *group;
	enum run_stage stage;
	struct run *next; /* in parked or confirming */
	struct run **back;
	struct run_list *list;
	struct loop_timer timer;
	usec_t first_tried;
	bool charged; /* a token of the team was taken */
	usec_t admitted_at;
	struct session_token token;
	struct route_want want;
	struct admit *queue;
	struct slots *limit;
	admit_handle queued;
	bool in_slot;
	usec_t slot_at;
	struct group_db *db;
	uint32_t attempts;
	uint32_t busy; /* refusals for want of a slot */
	bool maybe_ran;
	bool wants_view; /* parked until the view changes */
	uint64_t sent_term;
	struct db_call call;
	struct confirm confirm;
	struct tx *tx;
	struct run *tx_next; /* behind the running statement */
	uint64_t forward_id;
};

/* An open transaction, held by this VM. */
struct tx {
	struct transaction state;
	struct group *group;
	struct tx *next;
	struct tx **back;
	char remote[TRANSACTION_ID_BYTES]; /* the database's own id */
	struct run *waiting_first;
	struct run **waiting_last;
	char key_id[NAME_MAX_BYTES];
	struct group_db *db;
	struct run *active; /* at the database */
	usec_t key_checked_at;
	struct db_call rollback;
	bool rolling_back;
};

/* engine.c */
void shard_lock(struct shard *s);
void shard_unlock(struct shard *s);
uint64_t shard_random(struct shard *s);
struct shard *engine_shard(struct engine *e, const char *service);
struct group *shard_group(struct shard *s, const char *service);
void change_id_make(const struct kernel *k, char id[CHANGE_ID_BYTES]);

/* group.c: all under the shard's lock. */
void group_apply(struct shard *s, const char *name, uint64_t version,
		 const char *body);
void group_tick(void *ctx); /* takes the lock itself */
void group_poke(struct group *g);
void group_use(struct group *g);
void group_view_changed(struct group *g);
void group_heard(struct group_db *db, const struct db_call *c);
void group_pump(struct group *g);
enum route_kind group_may_write(struct group *g, usec_t now,
				enum error_code *why);
void group_set_primary(struct group *g, uint64_t term, uint32_t primary);
uint32_t group_find_db(const struct group *g, const char *name);
usec_t group_unanswered(const struct group *g);
struct promote_env group_env(struct group *g, usec_t now);
void group_destroy(struct group *g);

/* run.c */
void run_start(void *ctx); /* ctx: struct request; takes the lock itself */
void run_route(struct run *run);
void run_popped(struct run *run);
void run_park(struct run *run, usec_t until, bool wants_view);
void run_unlink(struct run *run);
void run_leave_slot(struct run *run);
void run_finish(struct run *run, enum outcome o, enum error_code code,
		enum step step, const char *peer, const char *why);
void run_refuse(struct run *run, enum error_code code, enum step step,
		const char *why);
void run_list_init(struct run_list *l);
void run_list_add(struct run_list *l, struct run *run);

/* run_call.c */
void run_call(struct run *run, struct group_db *db);
void run_check_confirm(struct run *run, usec_t now);
void run_primary_gone(struct group *g, const struct group_db *was);
void run_resolved(struct run *run, enum call_end end, enum refusal refusal);

/* tx.c */
void tx_run_begun(struct run *run, bool ok);
void tx_run_arrive(struct run *run);
void tx_run_ended(struct run *run, enum outcome o, enum error_code why);
void tx_group_view(struct group *g);
void tx_group_tick(struct group *g, usec_t now);
void tx_group_drop(struct group *g);

/* forward.c */
void forward_start(struct engine *e);
void forward_run(struct run *run, const char *vm);
void forward_overdue(struct run *run);

/* failover.c */
void failover_act(struct group *g, const struct promote_actions *out);
void failover_heard(struct group *g, uint64_t term, uint32_t primary,
		    bool published, uint64_t claimed);

/* failover_platform.c */
void failover_claim(struct group *g, uint64_t term);
void failover_publish(struct group *g, uint64_t term, uint32_t primary);

/* group_peer.c */
void group_peer_start(struct engine *e);
void group_peer_ask_opinion(struct group *g, uint64_t term);
void group_peer_tell_view(struct group *g, uint64_t term, uint32_t primary);
void group_peer_tell_hold(struct group *g, uint64_t term, usec_t hold_us);

#endif
