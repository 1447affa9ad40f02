#ifndef STANDIN_DBSTORE_INTERNAL_H
#define STANDIN_DBSTORE_INTERNAL_H

#include "standin/dbstore.h"
#include "standin/skiplist.h"

#define LOG_TERMS_MAX 1024 /* terms whose start position is retained */

/* The value of a key and the position of the log entry that set it. */
struct versioned_value {
	json_t *value;
	uint64_t position;
};

/* The new value of a key and the undo record (old_value NULL: no such key). */
struct key_change {
	char *key;
	json_t *value;
	json_t *old_value;
	uint64_t old_position;
};

/* One entry of the replicated log: the writes of one commit. */
struct log_entry {
	struct log_pos pos;
	int64_t stamp_us;
	size_t n_changes;
	struct key_change *changes;
	char *request_id; /* NULL if none; else body_hash and rows are set */
	char *body_hash;
	json_t *rows;
};

/* A read of a transaction: one key, or all keys with a prefix. */
struct tx_read {
	char *key;
	bool prefix;
	uint64_t position; /* end of the log at the first read */
	struct tx_read *next;
};

/* An open transaction; its writes are applied at commit. */
struct dbstore_tx {
	usec_t last_used;
	struct tx_read *reads;
	struct skiplist *writes; /* of json_t */
};

struct dbstore {
	char name[NAME_MAX_BYTES];
	uint64_t start_id;
	size_t log_max;
	usec_t tx_idle_timeout;
	struct skiplist *keys;	       /* of versioned_value */
	struct skiplist *request_ids;  /* of log_entry, owned by the log */
	struct skiplist *transactions; /* of dbstore_tx */
	uint64_t last_tx_number;

	struct log_entry **log;	 /* ring buffer; position p at p % log_max */
	uint64_t first_position; /* position of the oldest retained entry */
	/* Position of the newest entry; first_position - 1 if there is none. */
	uint64_t position;

	uint32_t n_terms;
	/* Oldest first; a term covers the positions after its start. */
	struct log_pos term_start[LOG_TERMS_MAX];

	uint64_t fence_term;
	uint64_t primary_term; /* term in which it is primary; 0: not primary */
	uint64_t follow_term;  /* term whose primary it follows; 0: none */
	uint64_t stamp_term;   /* term of the newest timestamp */
	int64_t stamp_us;      /* newest timestamp received from a primary */
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

/* dbstore_codec.c */
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
