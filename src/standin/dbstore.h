#ifndef STANDIN_DBSTORE_H
#define STANDIN_DBSTORE_H

#include <jansson.h>

#include "standin/statement.h"

/*
 * One database of a group, as pure state: keys, a log, request ids,
 * transactions and the fence. No clock, lock or network; the caller passes
 * the time and holds a lock. Kept in memory are the newest "log_max" entries
 * and the request ids that they carry, nothing older.
 */
struct dbstore;

#define DB_LOG_ENTRIES_MAX  131072
#define DB_TRANSACTIONS_MAX 256
#define DB_LIST_ROWS_MAX    10000
#define DB_TX_ID_BYTES	    96

enum dbstore_result {
	DB_OK,
	DB_STALE_TERM,
	DB_NOT_PRIMARY,
	DB_TERM_AHEAD,
	DB_BUSY,
	DB_TRANSACTION_GONE,
	DB_ID_REUSED,
	DB_BAD_STATEMENT,
	DB_NOT_ON_LOG,
};

struct dbstore_options {
	const char *name;
	uint64_t start_id; /* tells transaction ids of two starts apart */
	size_t log_max;	   /* entries kept */
	usec_t transaction_idle;
};

/* A statement, or the commit of a transaction when "statement" is NULL. */
struct dbstore_request {
	uint64_t term;
	enum statement_kind kind;
	const struct statement *statement;
	const char *request_id;	 /* NULL if none */
	const char *body_hash;	 /* NULL if none */
	const char *transaction; /* NULL if none */
};

struct dbstore_response {
	enum dbstore_result result;
	json_t *rows; /* owned by the taker; NULL on a refusal */
	bool replayed;
	struct log_pos pos; /* of a write; position 0 if it wrote nothing */
};

/* The times given are monotonic; stamps are of the primary's wall clock. */
struct dbstore *dbstore_create(const struct dbstore_options *o);
void dbstore_destroy(struct dbstore *d);

enum dbstore_result dbstore_fence(struct dbstore *d, uint64_t term);
enum dbstore_result dbstore_promote(struct dbstore *d, uint64_t term,
				    int64_t stamp_us);
enum dbstore_result dbstore_follow(struct dbstore *d, uint64_t term);
bool dbstore_is_following(const struct dbstore *d, uint64_t term);
bool dbstore_is_primary(const struct dbstore *d);
/* Fills in all of a view that a database knows of itself. */
void dbstore_status(const struct dbstore *d, int64_t stamp_us,
		    struct db_view *out);

struct dbstore_response dbstore_execute(struct dbstore *d,
					const struct dbstore_request *c,
					usec_t now, int64_t stamp_us);
enum dbstore_result dbstore_begin(struct dbstore *d, uint64_t term, usec_t now,
				  char out[DB_TX_ID_BYTES]);
enum dbstore_result dbstore_rollback(struct dbstore *d, const char *transaction,
				     uint64_t term);
struct dbstore_response dbstore_commit(struct dbstore *d,
				       const struct dbstore_request *c,
				       usec_t now, int64_t stamp_us);
size_t dbstore_n_transactions(const struct dbstore *d);
/* Looks a request id up; false if not kept. "rows" and "hash" are owned. */
bool dbstore_find_request(const struct dbstore *d, const char *id,
			  struct log_pos *at, json_t **rows, char **hash);

/*
 * What a follower asks of its primary: entries after "after", or all that is
 * kept if that is 0 or lies too far back. Refused with
 * NOT_ON_LOG and *cut, the position to cut at, if "after" is not on this log.
 */
enum dbstore_result dbstore_log_read(const struct dbstore *d, uint64_t term,
				     struct log_pos after, size_t max,
				     int64_t stamp_us, json_t **out,
				     uint64_t *cut);
/* A follower takes such an answer in, whole entries in order. */
int dbstore_log_apply(struct dbstore *d, uint64_t term, const json_t *answer,
		      struct error *e);
/* Cuts the log after a position, undoing what lay beyond. */
int dbstore_log_truncate(struct dbstore *d, uint64_t term, uint64_t position,
			 struct error *e);
const char *dbstore_result_name(enum dbstore_result r);

#endif
