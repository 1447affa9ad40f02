#ifndef PROXY_PROXY_OWN_H
#define PROXY_PROXY_OWN_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/queue.h>

#include "decide/absence.h"
#include "decide/duty.h"
#include "decide/lead.h"
#include "decide/openings.h"
#include "decide/place.h"
#include "decide/quota.h"
#include "decide/succession.h"
#include "kernel/kernel.h"
#include "kernel/wire.h"
#include "proxy/catalog.h"
#include "proxy/names.h"
#include "proxy/protocol.h"
#include "proxy/registry.h"

/*
 * The state of one VM's sessions, connections and groups. All of it belongs
 * to the thread of the proxy's event loop; nothing here needs a lock.
 */

#define GROUP_DBS_MAX	   8   /* databases of a group, leaving ones included */
#define INSTANCE_MAX_BYTES 64  /* a database's own id */
#define EXPECT_MAX	   160 /* replies outstanding on a connection */
#define PREPARED_MAX	   128 /* names prepared on a connection */

struct proxy;
struct session;
struct backend;
struct pgroup;

TAILQ_HEAD(session_list, session);
TAILQ_HEAD(backend_list, backend);

/* One database of a group. */
struct pdb {
	bool present; /* in the registry, or its connections still close */
	char id[INSTANCE_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t incarnation; /* start of this incarnation, as it says */
	usec_t trusted_from;  /* it proves no primary before: see cluster.c */
	uint32_t slots;
	bool departing;
	bool listed; /* in the newest list */
	bool reports_primary;
	bool listed_primary;   /* the registry's newest word */
	uint64_t primary_term; /* it led in this term, as known here; 0: none */
	struct pgroup *group;
	struct backend_list conns;
	uint32_t n_conns;
	uint32_t running;	      /* statements of this VM there */
	uint32_t conn_limit;	      /* connections this VM may hold */
	usec_t conn_limit_changed_at; /* last change of it */
	uint32_t full_refusals;	      /* for want of room, in a row */
	struct openings openings;     /* when new connections may be opened */
	struct log_pos position;      /* newest position it showed */
	usec_t last_seen_at;	      /* last byte of it; 0: never */
	usec_t unanswered_since;  /* oldest question without an answer; 0: none
				   */
	usec_t connect_failed_at; /* a connection was refused or reset; 0: none
				   */
	usec_t retry_at;	  /* not before; after failures */
	uint32_t failures;	  /* in a row */
	usec_t latency;		  /* moving average of answers */
	usec_t probed_at;	  /* last question for its status */
	bool probing;
	struct db_report status;    /* its last status */
	usec_t status_requested_at; /* when that was asked for; 0: never */
	usec_t paused_since;	    /* for a later term; 0: it is not */
};

/* One service: its databases, its primary, and who waits for it. */
struct pgroup {
	struct proxy *proxy;
	char service[NAME_MAX_BYTES];
	uint32_t max_connections; /* a database takes, of all VMs */
	struct pdb db[GROUP_DBS_MAX];
	uint32_t primary; /* index or DB_NONE */
	struct lead lead;
	bool in_handover;    /* a planned change of the primary is under way */
	uint32_t next_probe; /* the database to ask next */
	usec_t used_at;	     /* last statement for it */
	usec_t primary_used_at; /* last statement that needs the primary; 0:
				   none */
	struct session_list waiting;
	uint32_t n_waiting;
	bool is_dispatching; /* the queue is being gone through */
	struct succession succession;
	usec_t claim_verified_at; /* the claim was asked for then */
	struct duty_sight claim_seen;
	const char *proof_owner;      /* as of proof_changes; NULL: this VM */
	uint64_t proof_owner_version; /* beacon_changes() then, plus one */
	uint64_t proof_request_id;    /* of the newest question to its keeper */
	usec_t proof_requested_at;    /* when that was sent */
	usec_t probe_directly_until;  /* this VM asks the databases itself */
	usec_t resumed_at;	      /* paused ones were let go last */
	bool promoted_here;	      /* the primary of this term, by this VM */
	usec_t primary_changed_at;    /* its primary was last changed here */
	usec_t primary_unusable_since; /* statements for the primary can't be
					  sent */
	usec_t primary_unusable_at;    /* when that was seen last */
	usec_t no_primary_since; /* no primary is known since; 0: one is */
};

/* What a finished statement came to. */
enum exec_result {
	RESULT_REPLY,	/* a whole reply of the database */
	RESULT_NOT_RUN, /* surely not run; the code says why */
	RESULT_FAILED,	/* run without success */
	RESULT_UNKNOWN, /* may have run */
};

enum exec_stage {
	EXEC_NONE,
	EXEC_RATE_CHECK, /* its team's limit is asked for */
	EXEC_QUEUED,	 /* for a connection, a replica or a primary */
	EXEC_CONNECTING, /* its connection is being opened */
	EXEC_PREPARING,	 /* the connection takes on the session's state */
	EXEC_RUNNING,	 /* at the database */
};

/* One statement on its way. */
struct stmt_exec {
	enum exec_stage stage;
	char *line; /* as received; owns the texts of msg */
	struct caller_msg msg;
	char id[STATEMENT_ID_MAX];
	bool is_write;	    /* may change data */
	bool is_commit;	    /* ends the transaction at the database */
	bool first;	    /* of its operation: it was charged */
	bool needs_primary; /* must run there */
	bool has_after;
	struct log_pos after;
	uint32_t tried_mask; /* mask of databases that refused it */
	uint32_t db;	     /* where it is or was last */
	uint32_t attempts;
	usec_t began_at;
	usec_t deadline;
	usec_t sent_at;
	usec_t retry_at;
	enum refusal_code last_refusal; /* why it was not run yet */
};

/* One caller's session, which is its connection. */
struct session {
	TAILQ_ENTRY(session) entry;
	TAILQ_ENTRY(session) queue_entry; /* in its group's queue */
	struct proxy *proxy;
	struct bufferevent *bev;
	struct event *timer;
	bool started;
	bool closing; /* after the output is sent */
	bool closed;  /* waits to be freed */
	char *host;
	char *key;
	char team[NAME_MAX_BYTES];  /* empty on a route open to all */
	struct strmap vars;	    /* SET */
	struct strmap prepared;	    /* PREPARE: name to shape */
	struct log_pos last_commit; /* newest commit of its own */
	char last_commit_service[NAME_MAX_BYTES]; /* the service of that */
	char state;
	/* A transaction: */
	bool in_tx;	      /* the caller is in one */
	bool tx_read_only;    /* it began as reading only */
	bool tx_at_database;  /* the database has it too */
	bool tx_wrote;	      /* a write was sent in it */
	bool tx_answered;     /* a statement of it was answered */
	bool is_reading;      /* lines are being taken */
	usec_t tx_idle_until; /* idle until then */
	struct backend *backend;
	/* The route in force for the operation: */
	struct pgroup *group;
	enum route_freshness consistency;
	uint32_t timeout_ms;
	uint32_t priority;
	uint32_t max_staleness_ms;
	uint32_t tx_idle_ms;
	struct stmt_exec exec;
};

enum backend_state {
	BACKEND_CONNECTING,
	BACKEND_STARTING,
	BACKEND_IDLE,
	BACKEND_BUSY, /* serves its holder, or has replies outstanding */
};

/* What the next reply on a connection answers. */
enum expected_reply {
	EXPECT_START,
	EXPECT_STATE, /* RESET, SET, PREPARE, ROLLBACK of the system's own */
	EXPECT_BEGIN,
	EXPECT_STATEMENT,
	EXPECT_CONTROL, /* STATUS, PAUSE, ...: see control */
};

struct expected {
	enum expected_reply kind;
	usec_t sent_at;
};

typedef void (*control_fn)(void *ctx, struct pdb *db, bool ok,
			   const struct db_report *report, usec_t asked_at);

/* One connection to a database, for one team. */
struct backend {
	TAILQ_ENTRY(backend) link;
	struct proxy *proxy;
	struct pdb *db;
	char team[NAME_MAX_BYTES];
	struct bufferevent *bev;
	struct event *timer;
	enum backend_state state;
	bool has_served; /* it has answered a statement */
	struct session *session;
	struct strmap vars;
	struct strmap prepared;
	bool needs_reset; /* its values may not be what they seem */
	bool in_tx;	  /* the database has a transaction open on it */
	bool must_close;  /* closed instead of pooled */
	bool closed;	  /* waits for backend_reap() */
	char remote_state;
	usec_t used_at;
	usec_t opened_at;
	/* Replies outstanding, oldest first: */
	uint32_t n_expected;
	struct expected expected[EXPECT_MAX];
	/* The reply being read: */
	struct evbuffer *reply;
	bool complete;
	bool failed;
	enum refusal_code code;
	struct db_report status; /* of a control's reply */
	bool has_status;
	control_fn control;
	void *control_ctx;
	enum control_verb control_verb;
	uint64_t control_term;
};

/* Bounds and waits; proxy_policy in proxy.c says where each comes from. */
struct proxy_policy {
	usec_t guard;
	usec_t connect_timeout;
	usec_t full_backoff;
	usec_t silence_timeout;
	usec_t registry_interval;
	usec_t registry_fast_interval;
	usec_t heartbeat_interval;
	struct place_costs costs;
};

struct proxy {
	struct kernel *kernel;
	struct event_base *base;
	const struct protocol *protocol;
	struct proxy_policy policy;
	struct catalog *catalog;
	struct pgroup **groups;
	uint32_t n_groups;
	struct session_list sessions;
	uint32_t n_sessions;
	struct session_list closed_sessions; /* closed, to be freed */
	struct backend_list closed_backends; /* likewise */
	struct registry *registry;
	struct heartbeat *heartbeat;
	struct quota *quota;
	struct rate_limiter *rate_limiter;
	struct absence absence; /* of databases */
	struct evconnlistener *listener;
	struct evhttp *ready;
	struct evhttp *metrics;
	struct event *tick;
	bool draining;	   /* not ready; all sessions are still served */
	bool closing_idle; /* sessions are closed as they become idle */
	usec_t drain_at;
	bool databases_known;
	bool vms_known;
	bool limits_known; /* the share of team limits is there */
	uint64_t n_claims; /* of duties, by this VM */
	struct proxy_inbox *inbox;
	uint64_t random[16];
	uint32_t random_left;
};

/* proxy.c */
uint64_t proxy_random(struct proxy *p);
/* A number from 0 to 1, drawn anew. */
double proxy_draw(struct proxy *p);
usec_t proxy_now(void);
bool proxy_is_ready(const struct proxy *p);
/* Runs fn(ctx) on the proxy's thread, soon; any thread. */
void proxy_post(struct proxy *p, void (*fn)(void *ctx), void *ctx);
uint32_t proxy_fleet_size(const struct proxy *p);

/* session.c */
void session_accept(struct proxy *p, int fd);
void session_close(struct session *s);
/* The answer to an operation that waits for its team's limit. */
void session_admitted(struct session *s, bool granted, usec_t retry_after);
void session_reap(struct proxy *p);
/* Ends the task: the reply so far read lies in "reply" if there is one. */
void session_ended(struct session *s, enum exec_result end,
		   enum refusal_code code, struct evbuffer *reply,
		   const struct reply_msg *ready);
/* The session's connection to the database is gone while no task ran. */
void session_lost_backend(struct session *s);
void session_drain(struct session *s);
/* Answers what is under way, as the VM stops, and closes. */
void session_stop(struct session *s);
void session_refuse(struct session *s, enum refusal_code code, const char *why);

/* dispatch.c */
void dispatch_start(struct session *s);
void dispatch_pump(struct pgroup *g);
void dispatch_cancel(struct session *s);
void dispatch_again(struct session *s, enum refusal_code code);
void dispatch_ready(struct session *s, struct backend *b);

/* backend.c */
struct backend *backend_open(struct pdb *db, const char *team);
void backend_close(struct backend *b, const char *why);
void backend_run(struct backend *b, struct session *s);
/* The holder has no more use for it. */
void backend_release(struct backend *b);
void backend_control(struct backend *b, enum control_verb verb, uint64_t term,
		     control_fn fn, void *ctx);
void backend_tick(struct backend *b, usec_t now);
void backend_reap(struct proxy *p);

/* pool.c */
struct backend *pool_idle(struct pdb *db, const struct session *s);
enum place_way pool_way(struct pdb *db, const struct session *s);
struct backend *pool_take(struct pdb *db, const struct session *s,
			  enum place_way way);
void pool_refused(struct pdb *db);
/* The database had no slot for a statement, or has answered one. */
void pool_busy(struct pdb *db);
void pool_served(struct backend *b);
/* A connection for the system's own questions; NULL if none may be had. */
struct backend *pool_any(struct pdb *db);

/* cluster.c */
struct pgroup *cluster_group(struct proxy *p, const char *service);
/* Is it known that no statement can go to the primary for a while? */
bool cluster_hopeless(const struct pgroup *g, usec_t now);
/* True if there are new services. */
bool cluster_apply_catalog(struct proxy *p, usec_t now);
/* Takes in a whole list; when to list again for what is missing, 0: no need. */
usec_t cluster_apply_databases(struct proxy *p, const struct registry_db *db,
			       uint32_t n, usec_t asked_at);
void cluster_tick(struct proxy *p, usec_t now);
void cluster_heard(struct pdb *db, usec_t asked_at, const struct log_pos *at);
void cluster_lead(struct pgroup *g, uint32_t db, uint64_t term,
		  const char *source);
/* The primary turned a write away: who leads is found out anew. */
void cluster_doubt(struct pgroup *g, usec_t now);
bool cluster_primary_usable(struct pgroup *g, usec_t now);
/* Asks a database, on a connection of its own if none is idle. */
bool cluster_ask(struct pdb *db, enum control_verb verb, uint64_t term,
		 control_fn fn, void *ctx);
/* Asks a database for its status and takes in the answer. */
bool cluster_may_probe(const struct pdb *db, usec_t now);
void cluster_probe(struct pdb *db, usec_t now);
uint32_t cluster_find(const struct pgroup *g, const char *id);

/* failover.c */
void failover_init(struct pgroup *g);
void failover_tick(struct pgroup *g, usec_t now);
enum succession_cause failover_cause(struct pgroup *g, usec_t now);

/* beacon.c */
struct heartbeat *beacon_create(struct proxy *p, struct error *e);
void beacon_tick(struct heartbeat *b, usec_t now);
void beacon_peer(struct heartbeat *b, const struct registry_vm *vm);
uint32_t beacon_peers(const struct heartbeat *b);
uint64_t beacon_names(const struct heartbeat *b);
/* Of them, those heard lately. */
uint32_t beacon_live(const struct heartbeat *b);
/* Rank of this VM for a service among those heard lately; 0 first. */
uint32_t beacon_rank(const struct heartbeat *b, const char *service);
/* The peer that comes first for a service; NULL: this VM does. */
const char *beacon_first(const struct heartbeat *b, const char *service);
uint64_t beacon_changes(const struct heartbeat *b);
/* Has this VM heard most of the others for a while? */
bool beacon_in_company(const struct heartbeat *b, usec_t now);
/* Sends the next beacon at once. */
void beacon_hurry(struct heartbeat *b);
/* One datagram to a peer, or to where one came from; it may be lost. */
void beacon_send(struct heartbeat *b, const char *peer, const void *data,
		 size_t len);
void beacon_reply(struct heartbeat *b, const struct sockaddr *to,
		  socklen_t to_len, const void *data, size_t len);
/* What peers say of a service's primary. */
struct beacon_opinion {
	uint32_t n_reachable;
	uint32_t n_unreachable;
	bool in_failover;
	bool is_suspected; /* some live peer misses it, or waits for it */
};
struct beacon_opinion beacon_opinion(const struct heartbeat *b,
				     const char *service);

/* limits.c */
/* The kinds of datagrams between VMs; the first field of each. */
enum peer_kind {
	PEER_BEACON = 2, /* 1 had another form */
	PEER_ASK = 3,
	PEER_GRANT = 4,
	PEER_PROVE = 5,
	PEER_PROOF = 6,
};

enum limits_answer {
	LIMITS_GRANTED,
	LIMITS_REFUSED,
	LIMITS_PENDING, /* session_admitted() follows */
};

struct rate_limiter *limits_create(struct proxy *p);
enum limits_answer limits_take(struct rate_limiter *l, struct session *s,
			       usec_t *retry_after);
void limits_cancel(struct rate_limiter *l, const struct session *s);
void limits_tick(struct rate_limiter *l, usec_t now);
void limits_take_ask(struct rate_limiter *l, struct wire_reader *r,
		     const struct sockaddr *from, socklen_t from_len);
void limits_take_grant(struct rate_limiter *l, struct wire_reader *r);

/* proofs.c */
/* Does this VM ask the group's databases itself? */
bool proofs_are_own(struct pgroup *g, usec_t now);
/* Do the newest words of all databases together prove the primary? */
void proofs_weigh(struct pgroup *g, usec_t now);
/* Keeps the proof of a primary in use fresh, from wherever it comes. */
void proofs_refresh(struct pgroup *g, usec_t now);
/* There is none, and a statement waits for it. */
void proofs_missing(struct pgroup *g, usec_t now);
/* Reads come, that need a position not too old. */
void proofs_position(struct pgroup *g, usec_t now);
void proofs_take_ask(struct proxy *x, struct wire_reader *r,
		     const struct sockaddr *from, socklen_t from_len);
void proofs_take_answer(struct proxy *x, struct wire_reader *r);

#endif
