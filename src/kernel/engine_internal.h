#ifndef KERNEL_ENGINE_INTERNAL_H
#define KERNEL_ENGINE_INTERNAL_H

#include <apr_hash.h>
#include <apr_thread_mutex.h>

#include "decide/admit.h"
#include "decide/config.h"
#include "decide/write_quorum.h"
#include "decide/idempotency.h"
#include "decide/health_probe.h"
#include "decide/promote.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/concurrency.h"
#include "decide/session_token.h"
#include "decide/transaction.h"
#include "kernel/database.h"
#include "kernel/engine.h"
#include "kernel/kernel.h"

#define RANDOM_WORDS	   64
#define QUEUE_TEAM_DIVISOR 2 /* one team fills at most half of a queue */

#define FORWARDS_SEEN_MAX 256

struct engine;
struct group;
struct exec;
struct tx;

/* Identifies a forwarded request, so that a duplicate is not executed. */
struct forward_seen {
	uint64_t incarnation; /* of the VM that forwarded it */
	uint64_t id;	      /* assigned by that VM */
};

/* A list of requests in order of insertion. */
struct exec_list {
	struct exec *first;
	struct exec **last;
};

/* The groups that one event-loop thread serves, and the lock over them. */
struct shard {
	struct engine *engine;
	struct kernel *kernel;
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct group *groups;
	apr_hash_t *by_service;
	apr_hash_t *by_tx; /* transactions open at this VM, by number */
	uint64_t random[RANDOM_WORDS];
	uint32_t random_left;
	uint32_t requests;	    /* unanswered requests; __atomic */
	uint32_t transactions;	    /* open transactions; __atomic */
	struct exec_list forwarded; /* requests sent on to other VMs */
	struct forward_seen forwards_seen[FORWARDS_SEEN_MAX]; /* ring buffer */
	uint32_t forwards_seen_next;
};

struct engine {
	struct kernel *kernel;
	apr_pool_t *pool;
	uint32_t n;
	struct shard *shards;
	uint64_t tx_next_number;  /* __atomic */
	uint64_t forward_next_id; /* __atomic */
	struct retry_policy retry;
	struct route_policy route;
	struct write_quorum_policy confirm;
	struct promote_policy promote;
	struct health_probe_policy probe;
};

/* One database of a replication group, as this VM uses it. */
struct group_db {
	uint32_t index; /* in the group's db[]; DB_NONE once removed */
	char name[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint32_t slots;
	uint32_t connections;
	struct health_probe probe;
	struct db_call probe_call;
	bool probe_in_flight;
	bool is_silent;	  /* EV_DB_LOST was logged and nothing heard since */
	usec_t failed_at; /* time of the first failed call since the last
			   * status; 0: none */
	struct group *group;
	struct group_db *next; /* in the group's "removed" list */
	struct admit *read_queue;
	struct concurrency read_slots;
};

/* One replication group: its view, its queues and its failover state. */
struct group {
	struct group *next;
	struct shard *shard;
	char service[NAME_MAX_BYTES];
	uint64_t version; /* of the group's object on the platform */
	struct group_view view;
	struct group_db *db[DB_MAX];
	struct group_db *removed;    /* list of those no longer in the object */
	struct admit *primary_queue; /* all requests that need the primary */
	struct concurrency primary_slots;
	bool is_held;	   /* the primary's queue is on hold */
	bool hold_local;   /* this VM's own hand-over holds writes */
	usec_t hold_until; /* end of a peer's hold on writes; 0: none */
	struct exec_list parked;
	struct exec_list confirming;
	struct exec_list in_flight;   /* at a database, outside transactions */
	struct log_pos confirmed_pos; /* a majority holds the log up to here */
	uint32_t n_confirming;	      /* length of "confirming" */
	uint32_t writes_in_flight;    /* this VM's writes sent to the primary */
	struct promote promote;
	struct retry_budget budget;
	struct loop_timer tick;
	usec_t no_replica_since; /* since when too few replicas follow the
				  * primary; 0: enough do */
	usec_t last_request_at;
	uint32_t rank; /* this VM's place in the order in which VMs probe and
			* promote for the group; 0 acts first */
	usec_t rank_computed_at;
	bool other_domains; /* there are live VMs in other failure domains;
			     * computed with "rank" */
	struct tx *transactions;
};

enum exec_stage {
	EXEC_ADMIT,	/* waits for a token of its team's rate limit */
	EXEC_PARKED,	/* waits for a new view, a replica or a back-off */
	EXEC_QUEUED,	/* waits in a database's queue */
	EXEC_CALLING,	/* sent to a database */
	EXEC_CONFIRM,	/* waits until a majority holds its log position */
	EXEC_FORWARDED, /* sent to the VM that holds its transaction */
};

/* The execution of one request. */
struct exec {
	struct request *request;
	struct group *group;
	enum exec_stage stage;
	struct exec *next; /* the next one in "list" */
	struct exec **pprev;
	struct exec_list *list;
	struct loop_timer timer;
	usec_t first_admit_at; /* first call of teams_admit(); 0: none yet */
	bool took_token;       /* took a token of the team's rate limit */
	usec_t admitted_at;
	struct session_token token;
	struct route_requirements want;
	struct admit *queue; /* the queue it waits in or holds a slot of */
	struct concurrency *slots; /* the concurrency limit of that queue */
	admit_handle queue_handle;
	bool has_slot;
	usec_t slot_taken_at;
	struct group_db *db; /* NULL: the primary, whichever it is then */
	uint32_t attempts;
	uint32_t busy_refusals; /* calls refused for lack of a free slot */
	bool maybe_ran;		/* an earlier call may have been executed */
	bool wait_for_view;	/* parked until the view changes */
	uint64_t sent_term;
	struct db_call call;
	struct write_quorum confirm;
	struct tx *tx;
	struct exec *tx_next; /* next one waiting for the same transaction */
	uint64_t forward_id;
};

/* An open transaction that this VM holds. */
struct tx {
	struct transaction state;
	struct group *group;
	struct tx *next;
	struct tx **pprev;
	char db_tx_id[TRANSACTION_ID_BYTES]; /* assigned by the database */
	struct exec *waiting_first;
	struct exec **waiting_last;
	char key_id[NAME_MAX_BYTES];
	struct group_db *db;
	struct exec *active; /* the statement at the database */
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
void change_id_generate(const struct kernel *k, char id[CHANGE_ID_BYTES]);

/* group.c: the shard's lock is held unless noted. */
void group_apply(struct shard *s, const char *name, uint64_t version,
		 const char *body);
void group_tick(void *ctx); /* takes the lock */
void group_tick_soon(struct group *g);
void group_note_request(struct group *g);
void group_view_changed(struct group *g);
void group_note_response(struct group_db *db, const struct db_call *c);
void group_run_queues(struct group *g);
enum route_kind group_check_write(struct group *g, usec_t now,
				  enum error_code *why);
void group_set_primary(struct group *g, uint64_t term, uint32_t primary);
uint32_t group_find_db(const struct group *g, const char *name);
usec_t group_unanswered_since(const struct group *g);
struct promote_env group_promote_env(struct group *g, usec_t now);
void group_destroy(struct group *g);

/* exec.c */
void exec_start(void *ctx); /* ctx: struct request; takes the lock */
void exec_route(struct exec *exec);
void exec_dequeued(struct exec *exec);
void exec_park(struct exec *exec, usec_t until, bool wait_for_view);
void exec_unlink(struct exec *exec);
void exec_release_slot(struct exec *exec);
void exec_finish(struct exec *exec, enum outcome o, enum error_code code,
		 enum step step, const char *peer, const char *why);
void exec_refuse(struct exec *exec, enum error_code code, enum step step,
		 const char *why);
void exec_list_init(struct exec_list *l);
void exec_list_add(struct exec_list *l, struct exec *exec);

/* exec_call.c */
void exec_call(struct exec *exec, struct group_db *db);
void exec_check_confirm(struct exec *exec, usec_t now);
void exec_release_calls(struct group *g, const struct group_db *old_primary);
void exec_call_ended(struct exec *exec, enum call_end end,
		     enum refusal refusal);

/* tx.c */
void tx_opened(struct exec *exec, bool ok);
void tx_submit(struct exec *exec);
void tx_call_ended(struct exec *exec, enum outcome o, enum error_code why);
void tx_group_term_changed(struct group *g);
void tx_group_tick(struct group *g, usec_t now);
void tx_group_free(struct group *g);

/* forward.c */
void forward_start(struct engine *e);
void forward_request(struct exec *exec, const char *vm);
void forward_timed_out(struct exec *exec);

/* failover.c */
void failover_execute(struct group *g, const struct promote_actions *out);
void failover_note_term(struct group *g, uint64_t term, uint32_t primary,
			bool published, uint64_t claimed);

/* failover_platform.c */
void failover_claim(struct group *g, uint64_t term);
void failover_publish(struct group *g, uint64_t term, uint32_t primary);

/* group_peer.c */
void group_peer_start(struct engine *e);
void group_peer_ask_opinion(struct group *g, uint64_t term);
void group_peer_announce_primary(struct group *g, uint64_t term,
				 uint32_t primary);
void group_peer_announce_hold(struct group *g, uint64_t term, usec_t hold_us);

#endif
