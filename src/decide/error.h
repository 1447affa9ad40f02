#ifndef DECIDE_ERROR_H
#define DECIDE_ERROR_H

#include "decide/types.h"

/*
 * Every step at which a request, a transaction, a promotion, a transfer of a
 * limit's share or a configuration change can fail. Each error carries its
 * step, and the fault matrix of the tests has cells for each.
 */
#define STEP_TABLE(X)                             \
	X(NONE, "none")                           \
	X(SETTINGS, "settings")                   \
	X(LISTEN, "listen")                       \
	X(PARSE, "parse")                         \
	X(KEY, "key")                             \
	X(ADMIT, "admit")                         \
	X(QUEUE, "queue")                         \
	X(ROUTE, "route")                         \
	X(CONNECT, "connect")                     \
	X(EXECUTE, "execute")                     \
	X(CONFIRM, "confirm")                     \
	X(RESOLVE, "resolve")                     \
	X(ANSWER, "answer")                       \
	X(FORWARD, "forward")                     \
	X(TX_BEGIN, "transaction_begin")          \
	X(TX_STATEMENT, "transaction_statement")  \
	X(TX_COMMIT, "transaction_commit")        \
	X(TX_ROLLBACK, "transaction_rollback")    \
	X(PROBE, "probe")                         \
	X(OPINION, "opinion")                     \
	X(CLAIM, "claim")                         \
	X(FENCE, "fence")                         \
	X(PROMOTE, "promote")                     \
	X(FOLLOW, "follow")                       \
	X(PUBLISH, "publish")                     \
	X(HANDOVER_HOLD, "handover_hold")         \
	X(HANDOVER_CATCH_UP, "handover_catch_up") \
	X(ESCROW_ASK, "escrow_ask")               \
	X(ESCROW_GIVE, "escrow_give")             \
	X(RECOUNT_CLAIM, "recount_claim")         \
	X(RECOUNT_REPORT, "recount_report")       \
	X(RECOUNT_SHARE, "recount_share")         \
	X(CONFIG_CHECK, "config_check")           \
	X(CONFIG_WRITE, "config_write")           \
	X(CONFIG_SPREAD, "config_spread")         \
	X(CONFIG_APPLY, "config_apply")           \
	X(WATCH, "watch")                         \
	X(GOSSIP, "gossip")                       \
	X(MEMBERS, "members")                     \
	X(DRAIN, "drain")

enum step {
#define X(id, text) STEP_##id,
	STEP_TABLE(X)
#undef X
		STEP_COUNT
};

/* Error codes: identifier, name for callers and logs, and HTTP status. */
#define ERROR_TABLE(X)                           \
	X(NONE, "none", 200)                     \
	X(BAD_REQUEST, "bad_request", 400)       \
	X(BAD_TOKEN, "bad_session_token", 400)   \
	X(TOO_LARGE, "too_large", 413)           \
	X(UNPROCESSABLE, "unprocessable", 422)   \
	X(KEY_UNKNOWN, "key_unknown", 401)       \
	X(FORBIDDEN, "forbidden", 403)           \
	X(NOT_FOUND, "not_found", 404)           \
	X(METHOD, "method_not_allowed", 405)     \
	X(ID_REUSED, "request_id_reused", 409)   \
	X(CONFLICT, "version_conflict", 409)     \
	X(PRECONDITION, "version_required", 428) \
	X(OVER_RATE, "over_rate", 429)           \
	X(OVERLOAD, "overload", 503)             \
	X(NO_PRIMARY, "no_primary", 503)         \
	X(NO_REPLICA, "no_replica_follows", 503) \
	X(DEADLINE, "deadline", 503)             \
	X(STALE_KEYS, "keys_not_fresh", 503)     \
	X(DRAINING, "draining", 503)             \
	X(TX_GONE, "transaction_gone", 503)      \
	X(SUPERSEDED, "superseded", 503)         \
	X(PLATFORM, "platform_unavailable", 503) \
	X(UNKNOWN, "outcome_unknown", 504)       \
	X(SETTINGS, "settings", 500)             \
	X(SYSTEM, "system", 500)                 \
	X(TIMEOUT, "timeout", 503)               \
	X(REFUSED, "refused", 503)               \
	X(INTERNAL, "internal", 500)

enum error_code {
#define X(id, text, status) ERR_##id,
	ERROR_TABLE(X)
#undef X
		ERR_COUNT
};

#define ERROR_MESSAGE_BYTES 192

/* Passed down by pointer and filled in where the failure occurs. */
struct error {
	enum error_code code;
	enum step step;
	char peer[ADDR_MAX_BYTES];
	char message[ERROR_MESSAGE_BYTES];
};

int error_set(struct error *e, enum error_code code, enum step step,
	      const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
void error_clear(struct error *e);
const char *error_code_name(enum error_code code);
enum error_code error_code_from_name(const char *name);
int error_http_status(enum error_code code);
const char *step_name(enum step step);
enum step step_from_name(const char *name);

#endif
