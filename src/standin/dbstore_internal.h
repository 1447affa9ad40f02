#ifndef STANDIN_DBSTORE_INTERNAL_H
#define STANDIN_DBSTORE_INTERNAL_H

#include "standin/dbstore.h"
#include "standin/omap.h"

#define LOG_TERMS_MAX 1024 /* terms that a log remembers */

/* A key's value and the log position that set it. */
struct versioned_value {
	json_t *value;
	uint64_t position;
};

/* A key's new value, and what an undo puts back (NULL: no such key). */
struct key_change {
	char *key;
	json_t *value;
	json_t *old_value;
	uint64_t old_position;
};

struct log_entry {
	struct log_pos pos;
	int64_t stamp_us;
	size_t n_changes;
	struct key_change *changes;
	char *request_id; /* NULL if none */
	char *body_hash;
	json_t *rows;
};

/* What a transaction has read: a key, or every key with a prefix. */
struct tx_read {
	char *key;
	bool prefix;
	uint64_t position; /* end of the log at the first such read */
	struct tx_read *next;
};

struct dbstore_tx {
	usec_t last_used;
	struct tx_read *reads;
	struct skiplist *writes; /* key to json_t */
};

struct dbstore {
	char name[NAME_MAX_BYTES];
	uint64_t start_id;
	size_t log_max;
	usec_t transaction_idle;
	struct skiplist *keys;	      /* to struct cell */
	struct skiplist *request_ids; /* to struct entry, owned by the log */
	struct skiplist *transactions;
	uint64_t last_tx_number;

	struct log_entry **log;	 /* ring; position p at p % log_max */
	uint64_t first_position; /* oldest kept position */
	uint64_t position;	 /* newest; first - 1 if none is kept */

	uint32_t n_terms;
	struct log_pos
		term_start[LOG_TERMS_MAX]; /* start of each, oldest first */

	uint64_t fence_term;
	uint64_t primary_term; /* term in which it is primary, 0 if not */
	uint64_t follow_term;  /* term in which it follows, 0 if not */
	uint64_t stamp_term;   /* term of the newest stamp */
	int64_t stamp_us;      /* at a replica */
};

/* dbstore_log.c */
struct log_entry *log_entry_create(struct log_pos at, int64_t stamp_us,
				   size_t n);
void log_entry_destroy(struct log_entry *e);
void dbstore_log_append(struct dbstore *d, struct log_entry *e);
void dbstore_log_begin_term(struct dbstore *d, uint64_t term);
uint64_t dbstore_log_last_term(const struct dbstore *d);
void dbstore_clear(struct dbstore *d);

struct log_entry **dbstore_log_slot(const struct dbstore *d, uint64_t position);
void dbstore_set_key(struct dbstore *d, const char *key, json_t *value,
		     uint64_t position);

/* dbstore_wire.c */
json_t *log_entry_to_json(const struct log_entry *e, bool undo);
struct log_entry *log_entry_from_json(const json_t *j);
json_t *snapshot_to_json(const struct dbstore *d);
int snapshot_from_json(struct dbstore *d, const json_t *j, struct error *e);

/* dbstore_tx.c */
void dbstore_tx_drop_all(struct dbstore *d);
void dbstore_tx_free(void *p);

/* dbstore.c */
enum dbstore_result dbstore_check_term(const struct dbstore *d, uint64_t term);
void versioned_value_free(void *p);

#endif
