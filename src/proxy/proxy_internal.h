#ifndef PROXY_PROXY_INTERNAL_H
#define PROXY_PROXY_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/queue.h>

#include "decide/member_expiry.h"
#include "decide/promotion_claim.h"
#include "decide/store_position.h"
#include "decide/primary_proof.h"
#include "decide/cold_limit.h"
#include "decide/connect_backoff.h"
#include "decide/late_queue.h"
#include "decide/load_balance.h"
#include "decide/rate_limit.h"
#include "decide/replica_loss.h"
#include "decide/session_commits.h"
#include "decide/evacuation.h"
#include "decide/failover_fsm.h"
#include "decide/shared_poll.h"
#include "decide/unlisted_db.h"
#include "kernel/kernel.h"
#include "kernel/platform.h"
#include "kernel/wire.h"
#include "proxy/catalog.h"
#include "proxy/strmap.h"
#include "proxy/protocol.h"
#include "proxy/registry.h"

/*
 * Internal declarations of the proxy: the sessions, database connections and
 * database groups of one VM. All of this state belongs to the thread of the
 * proxy's event loop, so none of it needs a lock.
 */

/* databases of a group, departing ones included */
#define DB_GROUP_MEMBERS_MAX 8
#define DB_ID_MAX_BYTES	     64	 /* length of a database's id */
#define PENDING_REPLIES_MAX  160 /* replies outstanding on a connection */
#define PREPARED_MAX	     128 /* statements prepared on a connection */

struct proxy;
struct session;
struct backend;
struct db_group;
struct peer_link;
struct remote_stream;
struct served_stream;

TAILQ_HEAD(session_list, session);
TAILQ_HEAD(backend_list, backend);
TAILQ_HEAD(peer_link_list, peer_link);

/* One database of a group. */
struct db_member {
	bool present; /* registered, or still has connections to close */
	char id[DB_ID_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t incarnation; /* start time of its process, as it reports it */
	/*
	 * Its status counts towards a proof of the primary from this time on:
	 * see TRUST_DELAY_US in db_group.c.
	 */
	usec_t trusted_from;
	usec_t joined_at; /* time of the list that first had it */
	uint32_t slots;
	struct late_queue late; /* of the statements that wait for a slot */
	bool departing;
	bool listed;		  /* in the newest list of the registry */
	bool probing;		  /* a status request is outstanding */
	bool announced_departure; /* by its last entry */
	/* its failure domain is evacuated, known since then; 0: it is not */
	usec_t evacuated_since;
	/* the news of that may have waited here for so long */
	usec_t evacuation_waited;
	/* after an evacuation or a connection that failed, only a list
	 * requested from this time on tells whether it is cold; 0: any does */
	usec_t relisted_from;
	/* without such a list it counts as cold until then; 0: without end */
	usec_t relisted_by;
	usec_t cold_until; /* slow after its start; 0: it is not */
	struct cold_limit cold;
	/* its owner could send it no more, as it is cold: no reads until then
	 */
	usec_t cold_retry_at;
	/* another VM gave a statement back then because its domain is
	 * evacuated; 0: none did */
	usec_t evacuation_told_at;
	bool reports_primary;
	/* its entry is missing since this time; 0: it has one */
	usec_t unlisted_since;
	/* newest term in which this VM saw it as primary; 0: none */
	uint64_t primary_term;
	struct db_group *group;
	struct backend_list conns;
	uint32_t n_conns;
	/* statements of this VM that it executes */
	uint32_t running;
	/* connections that this VM may hold to it */
	uint32_t conn_limit;
	usec_t conn_limit_changed_at; /* last change of conn_limit */
	/* number of connections refused as TOOMANY, in a row */
	uint32_t full_refusals;
	/* after such a refusal no connection is opened before this time */
	usec_t open_retry_at;
	/* statements forwarded to it by other VMs that wait here */
	uint32_t n_queued;
	/* time of the last statement that another VM forwarded; 0: none */
	usec_t served_at;
	/* reads are better sent elsewhere until this time, as it lagged */
	usec_t behind_until;
	/* statements of this VM that its owner executes or queues */
	uint32_t n_remote;
	/* statements running and queued at its owner, as last reported */
	uint32_t remote_load;
	usec_t remote_load_at;
	/* the VM that owns the connections to it; NULL: this VM */
	const char *owner;
	/* heartbeat_owners_version() when owner was computed, plus 1 */
	uint64_t owner_version;
	struct connect_backoff
		connect_backoff; /* paces the opening of connections */
	struct log_pos position; /* newest log position it reported */
	/* time of the last data received from it; 0: never */
	usec_t last_seen_at;
	/*
	 * Send time of the oldest request without a reply; 0: none is
	 * outstanding.
	 */
	usec_t unanswered_since;
	/* time of the last failed connection attempt; 0: none since it last
	 * responded */
	usec_t connect_failed_at;
	/* after a failure the database is not used before this time */
	usec_t retry_at;
	/* connection attempts that failed, in a row */
	uint32_t failures;
	usec_t latency;	  /* moving average of its response time */
	usec_t deviation; /* mean deviation from it, at the owner */
	/* when the newest statement or status request was sent that it has
	 * answered; 0: none */
	usec_t answered_sent_at;
	usec_t probed_at;		/* time of the last status request */
	struct db_status_report status; /* last status it reported */
	/* when that status was requested; 0: never */
	usec_t status_requested_at;
	/* it reports a pause for a later term since this time; 0: none */
	usec_t paused_since;
	uint64_t paused_for; /* that term */
};

/* What holds a failover back, as it was logged. */
struct failover_held {
	enum failover_fsm_hold by;
	enum failover_fsm_cause cause;
	usec_t since;
	usec_t logged_at;
	bool is_reported; /* "by" was logged */
	bool is_logged;	  /* a line was written that has no end yet */
};

/*
 * One service: its databases, its primary, and the sessions that wait for it.
 */
struct db_group {
	struct proxy *proxy;
	/* its index in the proxy's groups, which are never freed */
	group_handle handle;
	char service[NAME_MAX_BYTES];
	/* connections that one database accepts, from all VMs */
	uint32_t max_connections;
	uint64_t cold_milli_per_s; /* see catalog.h */
	/* replicas that receive a commit before it is acknowledged */
	uint32_t sync_replicas;
	struct db_member db[DB_GROUP_MEMBERS_MAX];
	uint32_t primary; /* index into db, or DB_NONE */
	/* when the primary was proved to be the only one; its log positions */
	struct primary_proof proof;
	uint32_t next_probe; /* index of the database to probe next */
	usec_t used_at;	     /* time of the last statement for the service */
	/* time of the last use of the primary, here or by a peer; 0: none */
	usec_t primary_used_at;
	struct session_list waiting;
	uint32_t n_waiting;
	/* rank of this VM for the group, computed at rank_version */
	uint32_t rank;
	bool is_dispatching;	  /* dispatch_waiting() is walking the queue */
	bool claim_check_pending; /* a claim is being read */
	bool promoted_here; /* this VM promoted the primary of this term */
	struct failover_fsm succession;
	struct failover_held held; /* a failover that does not begin */
	struct replica_loss replica_loss;
	usec_t loss_probed_at; /* time of the last requests for its end */
	/* when a database was last dropped that other VMs may still use */
	usec_t dropped_at;
	/* when this VM last requested to mark its claim as promoting */
	usec_t claim_verified_at;
	struct promotion_claim_sighting claim_seen;
	struct promotion_claim own_claim; /* that this VM wrote last */
	/* the claim was closed there at this term, as this VM knows */
	struct store_position closed_at;
	uint64_t closed_term;
	/*
	 * VM that maintains the proof of the primary; NULL: this VM. Computed
	 * at proof_owner_version.
	 */
	const char *proof_owner;
	/* heartbeat_owners_version() when proof_owner was computed, plus 1 */
	uint64_t proof_owner_version;
	uint64_t rank_version; /* heartbeat_rank_version() then, plus 1 */
	/* when this VM last read the claim to judge the databases by it */
	usec_t claim_checked_at;
	/* id of the newest request to the proof owner */
	uint64_t proof_request_id;
	/* when the newest request to the proof owner was sent */
	usec_t proof_requested_at;
	/* this VM probes the databases itself until this time */
	usec_t probe_directly_until;
	usec_t resumed_at; /* time of the last RESUME to a paused replica */
	/* when this VM learned of the proof's term after another one; 0: it
	 * knows only one */
	usec_t term_known_at;
	/* when this VM last learned of another primary */
	usec_t primary_changed_at;
	/*
	 * The primary has been unusable for statements since this time; 0: it
	 * is usable, or none was needed.
	 */
	usec_t primary_unusable_since;
	usec_t primary_unusable_at; /* last time it was found unusable */
	/* time since which no primary is known; 0: one is known */
	usec_t no_primary_since;
};

/* Result of a statement at a database. */
enum exec_result {
	RESULT_REPLY, /* a complete reply of the database */
	/* certainly not executed; the error code gives the reason */
	RESULT_NOT_RUN,
	RESULT_FAILED,	/* executed, with an error */
	RESULT_UNKNOWN, /* may have been executed */
};

enum exec_stage {
	EXEC_NONE,
	EXEC_RATE_CHECK, /* waits for a token of its team's rate limit */
	EXEC_STARTING,	 /* a database is being chosen for it */
	EXEC_QUEUED,	 /* waits for a connection, a replica or a primary */
	EXEC_CONNECTING, /* its connection is being opened */
	/* the session's state is being sent to the connection */
	EXEC_PREPARING,
	EXEC_RUNNING, /* sent to the database */
};

/* One statement being executed. */
struct stmt_exec {
	enum exec_stage stage;
	char *line; /* as received; msg points into it */
	size_t line_len;
	struct caller_msg msg;
	char id[STATEMENT_ID_MAX];
	bool is_write;	/* may change data */
	bool is_commit; /* commits the transaction at the database */
	/* first of its operation, which takes a rate limit token */
	bool first;
	bool needs_primary; /* must be executed by the primary */
	bool has_after;	    /* the database must have the position "after" */
	bool is_proved;	    /* the owner had a proof of the primary at its reply
			     */
	struct log_pos after;
	uint32_t tried_mask; /* bit mask of the databases that refused it */
	uint32_t db;	     /* index of the database it was last sent to */
	const char *via;     /* VM that it was forwarded to; NULL: none */
	uint32_t attempts;
	bool was_held; /* has waited for a hand-over */
	/* a forwarded read that no other database can run */
	bool has_no_choice;
	usec_t began_at;
	usec_t arrived_at; /* at this VM; as began_at unless forwarded */
	usec_t deadline;
	usec_t sent_at;
	usec_t retry_at;
	enum reply_error_code last_refusal; /* why it was not executed so far */
};

/* One caller's session; it lasts as long as the caller's connection. */
struct session {
	TAILQ_ENTRY(session) entry;
	TAILQ_ENTRY(session) queue_entry; /* in its group's queue */
	struct proxy *proxy;
	struct bufferevent *bev;
	struct event *timer;
	bool started;
	bool closing; /* closes once the output is sent */
	bool closed;  /* waits for session_reap() */
	char *host;
	char *key;
	/*
	 * The team of the key. On a public route without a known key: the first
	 * team of the configuration, or "open" if it has none.
	 */
	char team[NAME_MAX_BYTES];
	struct strmap vars;		/* values set by SET */
	struct strmap prepared;		/* PREPARE: name to statement shape */
	struct session_commits commits; /* its newest ones */
	char state;
	/* State of the transaction: */
	bool in_tx;	   /* the caller has begun a transaction */
	bool tx_read_only; /* the transaction began with BEGIN READ */
	/* BEGIN was sent to the database and acknowledged */
	bool tx_at_database;
	/* the operation's route is not public: its team rests on the key */
	bool needs_key;
	bool tx_wrote; /* a write was sent in the transaction */
	/* it was lost between two statements, so the caller was not told */
	bool tx_loss_untold;
	bool tx_answered;     /* a statement of it got its reply */
	bool is_reading;      /* session_read_lines() is running */
	usec_t tx_idle_until; /* the transaction may be idle until then */
	struct backend *backend;
	/* its work at another VM; NULL: none */
	struct remote_stream *remote;
	/* the stream of another VM that it stands for; NULL: a caller's */
	struct served_stream *stream;
	/* The route in force for the operation: */
	struct db_group *group;
	enum read_consistency consistency;
	uint32_t timeout_ms;
	uint32_t priority;
	uint32_t max_staleness_ms;
	uint32_t latency_target_ms; /* of an operation; 0: none */
	uint32_t tx_idle_ms;
	/* when the operation began; if it is probably one that was refused
	 * before, when that did */
	usec_t operation_began_at;
	usec_t refused_at;  /* the last operation ended so; 0: it did not */
	struct homes homes; /* regions in which it may run */
	struct stmt_exec exec;
};

enum backend_state {
	BACKEND_CONNECTING,
	BACKEND_STARTING,
	BACKEND_IDLE,
	BACKEND_BUSY, /* executes for its session, or has replies outstanding */
};

/* What the next reply on a connection is a response to. */
enum expected_reply {
	EXPECT_START,
	EXPECT_STATE, /* RESET, SET, PREPARE or ROLLBACK sent by the proxy */
	EXPECT_BEGIN,
	EXPECT_STATEMENT,
	EXPECT_CONTROL, /* STATUS, PAUSE, ...: see control_verb */
};

struct expected {
	enum expected_reply kind;
	usec_t sent_at;
};

typedef void (*control_fn)(void *ctx, struct db_member *db, bool ok,
			   const struct db_status_report *report,
			   usec_t requested_at);

/* One connection to a database, used for one team. */
struct backend {
	TAILQ_ENTRY(backend) link;
	struct proxy *proxy;
	struct db_member *db;
	char team[NAME_MAX_BYTES];
	struct bufferevent *bev;
	struct event *timer;
	enum backend_state state;
	bool has_served; /* has returned the result of a statement */
	struct session *session;
	struct strmap vars;
	struct strmap prepared;
	bool needs_reset; /* its variables are uncertain until a RESET */
	bool in_tx;	  /* a transaction is open on it at the database */
	/* its statement is no longer counted as running: its answer is
	 * probably lost */
	bool is_overdue;
	bool must_close;   /* closed instead of returned to the pool */
	bool closed;	   /* waits for backend_reap() */
	char remote_state; /* state in the last READY; idle once a
			      ROLLBACK was sent */
	usec_t used_at;
	usec_t opened_at;
	/* Replies outstanding, oldest first: */
	uint32_t n_expected;
	struct expected expected[PENDING_REPLIES_MAX];
	/* The reply being read: */
	struct evbuffer *reply;
	bool complete;
	bool failed;
	enum reply_error_code code;
	/* parsed from the reply to a control request */
	struct db_status_report status;
	bool has_status;
	control_fn control;
	void *control_ctx;
	enum control_verb control_verb;
	uint64_t control_term;
};

/* Timeouts, intervals and costs; proxy.c holds the values and their reasons. */
struct proxy_policy {
	usec_t guard;
	usec_t connect_timeout;
	usec_t full_backoff;
	usec_t silence_timeout;
	usec_t registry_fast_interval;
	struct shared_poll_policy catalog_poll;
	struct shared_poll_policy list_poll;
	struct shared_poll_policy list_poll_large; /* of a large fleet */
	struct load_balance_costs costs;
};

/* Log lines of sessions refused by the configuration, which are bounded. */
struct refused_lines {
	usec_t since; /* start of the second in which n were written */
	uint32_t n;
	uint32_t left_out; /* since the last line */
};

struct proxy {
	struct kernel *kernel;
	struct event_base *base;
	const struct protocol *protocol;
	struct proxy_policy policy;
	struct catalog *catalog;
	struct db_group **groups;
	uint32_t n_groups;
	struct session_list sessions;
	uint32_t n_sessions;
	struct session_list closed_sessions; /* closed, not yet freed */
	struct backend_list closed_backends; /* closed, not yet freed */
	struct peer_link_list links;	     /* connections with other VMs */
	struct peer_link_list closed_links;  /* closed, not yet freed */
	uint64_t next_stream_id;
	uint32_t n_served; /* streams of other VMs */
	struct evconnlistener *link_listener;
	struct registry *registry;
	struct store_era store_era;
	struct heartbeat *heartbeat;
	struct rate_limit *rate_limit;
	struct rate_limiter *rate_limiter;
	struct member_expiry
		absence; /* of databases from the registry's list */
	struct evconnlistener *listener;
	struct evhttp *ready;
	struct evhttp *metrics;
	struct event *tick;
	/* not ready for new callers, but still serves all sessions */
	bool draining;
	bool closing_idle; /* sessions are closed as they become idle */
	usec_t drain_at;
	usec_t vms_known_at;
	bool databases_known;
	bool vms_known;
	bool limits_known; /* this VM's share of the team limits is known */
	bool was_restored; /* the store was, since its era is known here */
	struct refused_lines refused_lines;
	uint64_t n_claims; /* promotion claims written by this VM */
	struct proxy_inbox *inbox;
	uint64_t random[16];
	uint32_t random_left;
};

/* proxy.c */
uint64_t proxy_random(struct proxy *p);
/* A random number from 0 to 1. */
double proxy_random_unit(struct proxy *p);
usec_t proxy_now(void);
bool proxy_is_ready(const struct proxy *p);
/* True if this VM knows enough to execute statements of other VMs. */
bool proxy_can_execute(const struct proxy *p);
/* Runs fn(ctx) soon on the proxy's thread. May be called from any thread. */
void proxy_post(struct proxy *p, void (*fn)(void *ctx), void *ctx);
uint32_t proxy_fleet_size(const struct proxy *p);

/* session.c */
void session_accept(struct proxy *p, int fd);
void session_close(struct session *s);
enum rate_limit_rank session_rank(const struct session *s, usec_t now);
/*
 * The commit that a read of the session has to see; none unless its route
 * promises a session its own writes.
 */
struct session_commit session_own_commit(const struct session *s);
/* Delivers the response to an operation that waited for a rate limit token. */
void session_on_rate_result(struct session *s, bool granted,
			    usec_t retry_after);
void session_reap(struct proxy *p);
/* Ends the statement; "reply" is the complete reply if there is one, or NULL.
 */
void session_on_result(struct session *s, enum exec_result end,
		       enum reply_error_code code, struct evbuffer *reply,
		       const struct reply_msg *ready);
/*
 * The session's database connection was lost while no statement was executing.
 */
void session_on_backend_lost(struct session *s);
void session_close_if_idle(struct session *s);
/*
 * Answers the statement in progress with an error and closes the session,
 * because the VM stops.
 */
void session_stop(struct session *s);
void session_send_error(struct session *s, enum reply_error_code code,
			const char *reason);
/* Refuses a statement that was not executed and has too little time left. */
void session_refuse_overdue(struct session *s);
/* Refuses a statement whose database has too many others. */
void session_refuse_overloaded(struct session *s, usec_t retry_after);

/* dispatch.c */
void dispatch_start(struct session *s);
void dispatch_waiting(struct db_group *g);
void dispatch_cancel(struct session *s);
void dispatch_retry(struct session *s, enum reply_error_code code);
void dispatch_on_connected(struct session *s, struct backend *b);
/* True if a database is left that has not refused the statement. */
bool dispatch_has_choice(const struct session *s);
/* Queues a statement that has to wait for its database. */
void dispatch_requeue(struct session *s);
/* Takes the connection or stream from a session. */
void dispatch_release(struct session *s);

/* placement.c: where a session's statements may run */
/* True if the regions of the session's route and team have the database's. */
bool placement_allows_db(const struct session *s, const struct db_member *d);
/* True if a statement may be forwarded to the peer. */
bool placement_allows_peer(const struct session *s, const char *peer);
/* True if the group has a database that may run the session's statement. */
bool placement_has_db(const struct session *s, usec_t now);
/* Takes over from an entry how long the database is cold. */
void placement_note_cold(struct db_member *d, uint32_t cold_left_ms,
			 usec_t listed_at);
/* Takes note that the evacuation of the database's domain has ended. */
void placement_on_evacuation_end(struct db_member *d, usec_t now);
/* Takes note that no connection to the database could be opened. */
void placement_on_connect_failed(struct db_member *d, usec_t now);
/* True if statements to the database are limited, as it is cold. */
bool placement_is_cold(const struct db_member *d, usec_t now);
/* True if it is cold and can take no more reads now, as far as known. */
bool placement_is_exhausted(const struct db_member *d, usec_t now);
/* True if a read at the cold database "at" can run at no other one now. */
bool placement_has_no_choice(const struct session *s, uint32_t at, usec_t now);
/*
 * Takes the right to send one statement to the database; false if it is cold
 * and may get none now.
 */
bool placement_take_cold(struct db_member *d, usec_t now);
/* Returns how long a statement behind "ahead" others waits for its right. */
usec_t placement_cold_wait(const struct db_member *d, uint32_t ahead,
			   usec_t now);
/* Counts requests that are sent along with a statement. */
void placement_add_cold(struct db_member *d, uint32_t n, usec_t now);

/* dispatch_evacuation.c */
/*
 * Takes a statement back that was not sent to its database, as the database's
 * failure domain is evacuated.
 */
void dispatch_return_evacuated(struct session *s);
/* Takes a statement back that waits for a cold database of another owner. */
void dispatch_return_cold(struct session *s);
/* Notes that a statement waits for the hand-over of the primary. */
void dispatch_wait_for_hand_over(struct session *s, usec_t now);
/* Refuses a statement that no database outside evacuated domains can run. */
void dispatch_refuse_evacuated(struct session *s);
/* Ends a transaction that had its time, before its next statement is sent. */
void dispatch_abort_evacuated(struct session *s);

/* backend.c */
struct backend *backend_open(struct db_member *db, const char *team);
void backend_close(struct backend *b, const char *reason);
void backend_run(struct backend *b, struct session *s);
/* Takes the connection back from its session. */
void backend_release(struct backend *b);
void backend_control(struct backend *b, enum control_verb verb, uint64_t term,
		     control_fn fn, void *ctx);
void backend_tick(struct backend *b, usec_t now);
void backend_reap(struct proxy *p);
/* Disables Nagle's algorithm and detects a dead peer within a few seconds. */
void backend_set_socket_options(evutil_socket_t fd);
/* Closes connections that are probably silent, where nothing is lost by it. */
void backend_check_answers(struct db_member *db, usec_t now);

/* conn_pool.c */
struct backend *conn_pool_find_idle(struct db_member *db,
				    const struct session *s);
enum load_balance_conn conn_pool_availability(struct db_member *db,
					      const struct session *s);
struct backend *conn_pool_acquire(struct db_member *db, const struct session *s,
				  enum load_balance_conn way);
void conn_pool_on_full(struct db_member *db);
/* Called when the database had no execution slot for a statement. */
void conn_pool_on_busy(struct db_member *db);
/* Called when a statement got its reply on the connection. */
void conn_pool_on_reply(struct backend *b);
/* True if this VM may send one more statement to the database. */
bool conn_pool_has_free_slot(const struct db_member *db);
/* Closes a connection that exceeds this VM's share of the database's. */
void conn_pool_trim(struct db_member *db, usec_t now);
/* Returns an idle connection for the proxy's own requests, or NULL. */
struct backend *conn_pool_any_idle(struct db_member *db);

/* db_group.c */
struct db_group *db_group_find(struct proxy *p, const char *service);
/* True if the primary has been unusable for longer than a failover takes. */
bool db_group_failover_overdue(const struct db_group *g, usec_t now);
/* True if there are new services. */
bool db_group_apply_catalog(struct proxy *p, usec_t now);
/*
 * Applies a complete list. Returns when to list again because entries are
 * missing, or 0.
 */
usec_t db_group_apply_databases(struct proxy *p, const struct registry_db *db,
				uint32_t n, usec_t requested_at);
void db_group_tick(struct proxy *p, usec_t now);
void db_group_note_position(struct db_member *db, usec_t requested_at,
			    const struct log_pos *at);
void db_group_set_primary(struct db_group *g, uint32_t db, uint64_t term,
			  const char *source);
/*
 * Forgets the primary after it refused a write as read-only, and asks all
 * databases and the registry for the current one.
 */
void db_group_recheck_primary(struct db_group *g, usec_t now);
bool db_group_primary_is_usable(struct db_group *g, usec_t now);
/* Sends a control request to a database, on an idle connection or a new one. */
bool db_member_send_control(struct db_member *db, enum control_verb verb,
			    uint64_t term, control_fn fn, void *ctx);
/* Returns true if a status request may be sent to the database now. */
bool db_member_can_probe(const struct db_member *db, usec_t now);
/* Requests a database's status; the response is handled in db_group.c. */
void db_member_probe(struct db_member *db, usec_t now);
uint32_t db_group_find_member(const struct db_group *g, const char *id);
/* The VM that owns the connections to a database; NULL: this VM. */
const char *db_member_owner(struct db_member *db);
/* True if this VM owns the database's connections or works as its owner. */
bool db_member_is_served_here(struct db_member *db, usec_t now);
/* True if the database has left requests unanswered for too long for reads. */
bool db_member_is_silent(const struct db_member *db, usec_t now);
/* Statements that run and wait at this VM for the database. */
uint32_t db_member_load(const struct db_member *db);

/* db_group_evacuation.c */
/* Takes over which failure domains are evacuated. */
void db_group_apply_evacuations(struct proxy *p, usec_t waited, usec_t now);
void db_member_note_evacuation(struct db_member *d, usec_t waited, usec_t now);
/* True if this VM, or lately another one, takes its domain for evacuated. */
bool db_member_is_evacuated(const struct db_member *d, usec_t now);
/* True if the session's next statement may be sent to the database. */
bool db_member_may_execute(const struct db_member *d, const struct session *s,
			   usec_t now);
/* What becomes of a statement that no database was chosen for. */
enum evacuation_verdict
db_group_check_statement(struct db_group *g, bool needs_primary, usec_t now);
void db_group_evacuation_tick(struct proxy *p, usec_t now);

/* failover_handover.c */
void failover_handover_tick(struct db_group *g,
			    const struct failover_fsm_env *env);
void failover_handover_begun(const struct db_group *g);
void failover_handover_done(const struct db_group *g, uint32_t db);

/* failover_held.c */
void failover_note_hold(struct db_group *g, const struct failover_fsm_env *env);

/* failover_replicas.c */
void failover_replica_left(const struct db_member *d);
void failover_replica_joined(const struct db_member *d);
void failover_replica_promoted(const struct db_member *d, uint64_t term);
void failover_replica_reported(const struct db_member *d,
			       const struct db_status_report *report,
			       usec_t requested_at);
void failover_replicas_tick(struct db_group *g,
			    const struct failover_fsm_env *env);

/* failover.c */
void failover_init(struct db_group *g);
void failover_tick(struct db_group *g, usec_t now);
enum failover_fsm_cause failover_cause(struct db_group *g, usec_t now);

/* heartbeat.c */
struct heartbeat *heartbeat_create(struct proxy *p, struct error *e);
void heartbeat_tick(struct heartbeat *b, usec_t now);
void heartbeat_add_peer(struct heartbeat *b, const struct registry_vm *vm);
uint32_t heartbeat_n_peers(const struct heartbeat *b);
uint64_t heartbeat_members_hash(const struct heartbeat *b);
/* Number of known peers that are not silent. */
uint32_t heartbeat_n_live(const struct heartbeat *b);
/*
 * In a large fleet only the VMs of the first ranks hear of a failover in
 * progress.
 */
#define FAILOVER_FIRST_RANKS 3
/* Rank of this VM for a service among the live VMs; 0 is the first. */
uint32_t heartbeat_rank(const struct heartbeat *b, const char *service);
/* The live peer that ranks first for a service; NULL if this VM does. */
const char *heartbeat_service_owner(const struct heartbeat *b,
				    const char *service);
/* The VM that owns a database's connections; NULL if this VM does. */
const char *heartbeat_database_owner(const struct heartbeat *b,
				     const char *database, const char *domain);
/* The failure domain of a peer; NULL if the peer is unknown. */
const char *heartbeat_peer_domain(const struct heartbeat *b, const char *peer);
/* Finds a peer's address; returns false if the peer is unknown. */
bool heartbeat_peer_address(struct heartbeat *b, const char *peer,
			    struct sockaddr_storage *to, socklen_t *len);
/* A link to the peer failed: for a while it owns nothing, as seen from here. */
void heartbeat_on_link_failed(struct heartbeat *b, const char *peer,
			      usec_t now);
uint64_t heartbeat_owners_version(const struct heartbeat *b);
uint64_t heartbeat_rank_version(const struct heartbeat *b);
/* True if this VM has received heartbeats of a majority for a while. */
bool heartbeat_sees_majority(const struct heartbeat *b, usec_t now);
/* True if this VM reads the platform's data for its failure domain. */
bool heartbeat_is_reader(const struct heartbeat *b);
/* True if all VMs of the fleet send each other every heartbeat. */
bool heartbeat_is_full_mesh(const struct heartbeat *b);
/* Number of VMs in the fleet that read the platform's data. */
uint32_t heartbeat_n_readers(const struct heartbeat *b);
/* One of the VMs that read for this failure domain; NULL: none but this one. */
const char *heartbeat_domain_reader(const struct heartbeat *b, uint64_t random);
/* True if this VM is one of the first readers of its failure domain. */
bool heartbeat_is_first_reader(const struct heartbeat *b);
/* The number of VMs of this domain that the platform does not answer. */
uint32_t heartbeat_n_failing(const struct heartbeat *b);
/* Sends the next heartbeat at once, also to all VMs of the failure domain. */
void heartbeat_tell_domain(struct heartbeat *b);
/* Sends the next heartbeat at once, also to all VMs that read. */
void heartbeat_tell_readers(struct heartbeat *b);
/* Sends the next heartbeat at once. */
void heartbeat_send_now(struct heartbeat *b);
/*
 * Sends one datagram to a peer, or to the source address of one; it may be
 * lost.
 */
void heartbeat_send(struct heartbeat *b, const char *peer, const void *data,
		    size_t len);
void heartbeat_send_to(struct heartbeat *b, const struct sockaddr *to,
		       socklen_t to_len, const void *data, size_t len);
/* What the live peers report about a service's primary. */
struct heartbeat_peer_reports {
	uint32_t n_reachable;
	uint32_t n_unreachable;
	bool in_failover;
	bool is_suspected; /* some peer finds it down or slow */
};
struct heartbeat_peer_reports heartbeat_peer_reports(const struct heartbeat *b,
						     const char *service);

/* heartbeat_confirm.c */
/* Returns the number that stands for this VM in the ids of its reads. */
uint32_t heartbeat_own_hash(const struct heartbeat *b);
/* Returns a VM's name by that number; NULL if it is unknown. */
const char *heartbeat_name_of(const struct heartbeat *b, uint32_t hash);
/* True if a VM is known to be in this VM's failure domain. */
bool heartbeat_is_in_domain(const struct heartbeat *b, uint32_t hash);
/* Sends a read of the configuration on, one datagram to each VM. */
void heartbeat_send_read(struct heartbeat *b,
			 const struct confirmation_told *told,
			 enum confirmation_audience to);

/* rate_limit_client.c */
/* Types of the datagrams between VMs; the first field of each. */
enum peer_msg_type {
	PEER_MSG_HEARTBEAT = 9, /* 1, 2, 7 and 8 were older formats */
	PEER_MSG_TOKEN_REQUEST = 3,
	PEER_MSG_TOKEN_RESPONSE = 4,
	PEER_MSG_PROOF_REQUEST = 5,
	PEER_MSG_PROOF_RESPONSE = 6,
	PEER_MSG_READ = 10,
};

enum rate_limit_client_result {
	RATE_LIMIT_CLIENT_GRANTED,
	RATE_LIMIT_CLIENT_REFUSED,
	RATE_LIMIT_CLIENT_PENDING, /* session_on_rate_result() is called later
				    */
};

struct rate_limiter *rate_limit_client_create(struct proxy *p);
enum rate_limit_client_result rate_limit_client_acquire(struct rate_limiter *l,
							struct session *s,
							usec_t *retry_after);
void rate_limit_client_cancel(struct rate_limiter *l, const struct session *s);
void rate_limit_client_tick(struct rate_limiter *l, usec_t now);
void rate_limit_client_on_request(struct rate_limiter *l, struct wire_reader *r,
				  const struct sockaddr *from,
				  socklen_t from_len);
void rate_limit_client_on_response(struct rate_limiter *l,
				   struct wire_reader *r);

/* registry_era.c */
/*
 * Takes note of the era of the platform's store that a reply tells. Returns
 * false if the reply must not be used.
 */
bool registry_note_era(struct proxy *p, const struct platform_call *c);
/* Takes note of the era that a peer has known for "age_ms". */
void registry_note_peer_era(struct proxy *p, const char *peer, uint64_t era,
			    uint64_t age_ms);
/* When this VM or a peer first heard of the newest restoration; 0: none. */
usec_t registry_restored_at(const struct proxy *p);

/* registry_copy.c */
/* Requests a copy of a peer; NULL: of a VM that reads for this domain. */
void registry_copy_request(struct proxy *x, enum registry_copy kind,
			   const char *peer);

/* peer_link.c */
int peer_link_listen(struct proxy *p, const struct sockaddr *at, socklen_t len);
void peer_link_tick(struct proxy *p, usec_t now);
void peer_link_reap(struct proxy *p);

/* remote_client.c */
bool remote_client_start(struct session *s, uint32_t db, const char *owner);
void remote_client_continue(struct session *s);
void remote_client_release(struct session *s);
/* The database that the session's stream is for. */
struct db_member *remote_client_database(const struct session *s);

/* remote_server.c; a session with a stream stands for one of another VM */
void remote_server_on_result(struct session *s, enum exec_result result,
			     enum reply_error_code code, struct evbuffer *reply,
			     const struct reply_msg *ready);
void remote_server_on_not_run(struct session *s, enum reply_error_code code);
/* The flags are those of enum done_flag. */
void remote_server_refuse(struct session *s, enum reply_error_code code,
			  uint32_t flags);
void remote_server_refuse_unserved(struct session *s);
void remote_server_refuse_overloaded(struct session *s);
void remote_server_refuse_not_primary(struct session *s);
void remote_server_refuse_evacuated(struct session *s);
void remote_server_on_lost(struct session *s);
bool remote_server_is_overdue(const struct session *s, usec_t now);

/* db_group_proof.c */
/* True if this VM probes the group's databases itself. */
bool db_group_proof_is_local(struct db_group *g, usec_t now);
/*
 * Renews the proof if the newest statuses of all databases together prove the
 * primary.
 */
void db_group_proof_evaluate(struct db_group *g, usec_t now);
/* Takes what a claim that was read tells of the primary. */
void db_group_on_claim(struct db_group *g,
		       const struct registry_claim_outcome *o);
/* Logs what the proof of the primary rests on. */
void db_group_proof_log(const struct db_group *g, usec_t now);
/* Renews the proof of a primary in use, by probes or from the proof owner. */
void db_group_proof_refresh(struct db_group *g, usec_t now);
/* Obtains a proof for a statement that needs one. */
void db_group_proof_require(struct db_group *g, usec_t now);
/* Obtains a newer log position of the primary if the newest is old. */
void db_group_proof_refresh_position(struct db_group *g, usec_t now);
void db_group_proof_on_request(struct proxy *x, struct wire_reader *r,
			       const struct sockaddr *from, socklen_t from_len);
void db_group_proof_on_response(struct proxy *x, struct wire_reader *r);

#endif
