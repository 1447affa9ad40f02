#ifndef STANDIN_DBSTORE_H
#define STANDIN_DBSTORE_H

#include <jansson.h>

#include "standin/statement.h"

/*
 * The state machine of one database in a group: keys, a replicated log,
 * request ids, open transactions and the fence term. It has no clock, lock or
 * network; the caller passes the time and holds a lock. The newest "log_max"
 * log entries and the request ids in them are retained, in memory only.
 */
struct dbstore;

#define DB_LOG_ENTRIES_MAX  131072 /* default of log_max */
#define DB_TRANSACTIONS_MAX 256	   /* open at a time */
#define DB_LIST_ROWS_MAX    10000  /* rows of one "list" statement */
#define DB_TX_ID_BYTES	    96

enum dbstore_result {
	DB_OK,
	DB_STALE_TERM,	/* the term is below the fence term */
	DB_NOT_PRIMARY, /* is not primary, or may not become primary */
	DB_TERM_AHEAD,	/* the term is above the fence term */
	DB_BUSY,
	DB_TRANSACTION_GONE, /* ended, expired, or in conflict at commit */
	DB_ID_REUSED, /* the request id is known with another body hash */
	DB_BAD_STATEMENT,
	DB_NOT_ON_LOG, /* the logs diverged before the follower's position */
};

struct dbstore_options {
	const char *name;
	uint64_t start_id; /* makes transaction ids unique across restarts */
	size_t log_max;	   /* log entries to retain; 0: the default */
	usec_t tx_idle_timeout; /* then an idle transaction is rolled back */
};

/* A statement, or the commit of a transaction if "statement" is NULL. */
struct dbstore_request {
	uint64_t term;
	enum statement_kind kind;
	const struct statement *statement;
	const char *request_id;	 /* idempotency key; NULL if none */
	const char *body_hash;	 /* NULL if none */
	const char *transaction; /* transaction id; NULL if none */
};

struct dbstore_response {
	enum dbstore_result result;
	json_t *rows;	    /* owned by the caller; NULL unless DB_OK */
	bool replayed;	    /* the stored response of an earlier request */
	struct log_pos pos; /* log position of a write; 0 if it wrote nothing */
};

/*
 * Times passed in are monotonic; timestamps (stamp_us) are the primary's wall
 * clock.
 */
struct dbstore *dbstore_create(const struct dbstore_options *o);
void dbstore_destroy(struct dbstore *d);

enum dbstore_result dbstore_fence(struct dbstore *d, uint64_t term);
enum dbstore_result dbstore_promote(struct dbstore *d, uint64_t term,
				    int64_t stamp_us);
enum dbstore_result dbstore_follow(struct dbstore *d, uint64_t term);
bool dbstore_is_following(const struct dbstore *d, uint64_t term);
bool dbstore_is_primary(const struct dbstore *d);
void dbstore_status(const struct dbstore *d, int64_t stamp_us,
		    struct db_view *out);

struct dbstore_response dbstore_execute(struct dbstore *d,
					const struct dbstore_request *req,
					usec_t now, int64_t stamp_us);
enum dbstore_result dbstore_begin(struct dbstore *d, uint64_t term, usec_t now,
				  char out[DB_TX_ID_BYTES]);
enum dbstore_result dbstore_rollback(struct dbstore *d, const char *transaction,
				     uint64_t term);
struct dbstore_response dbstore_commit(struct dbstore *d,
				       const struct dbstore_request *req,
				       usec_t now, int64_t stamp_us);
size_t dbstore_n_transactions(const struct dbstore *d);
bool dbstore_find_request(const struct dbstore *d, const char *id,
			  struct log_pos *at, json_t **rows, char **hash);

enum dbstore_result dbstore_log_read(const struct dbstore *d, uint64_t term,
				     struct log_pos after, size_t max,
				     int64_t stamp_us, json_t **out,
				     uint64_t *truncate_at);
int dbstore_log_apply(struct dbstore *d, uint64_t term, const json_t *response,
		      struct error *e);
int dbstore_log_truncate(struct dbstore *d, uint64_t term, uint64_t position,
			 struct error *e);
const char *dbstore_result_name(enum dbstore_result r);

#endif
