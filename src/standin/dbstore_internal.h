#ifndef STANDIN_DBSTORE_INTERNAL_H
#define STANDIN_DBSTORE_INTERNAL_H

#include "standin/dbstore.h"
#include "standin/omap.h"

#define TERMS_MAX 1024 /* terms that a log remembers */

/* A key's value and the log position that set it. */
struct cell {
	json_t *value;
	uint64_t position;
};

/* A key's new value, and what an undo puts back (NULL: no such key). */
struct change {
	char *key;
	json_t *value;
	json_t *old;
	uint64_t old_position;
};

struct entry {
	struct log_pos at;
	int64_t stamp_us;
	size_t n;
	struct change *change;
	char *id; /* NULL if none */
	char *hash;
	json_t *rows;
};

/* What a transaction has read: a key, or every key with a prefix. */
struct tx_read {
	char *key;
	bool prefix;
	uint64_t position; /* end of the log at the first such read */
	struct tx_read *next;
};

struct transaction {
	usec_t used_at;
	struct tx_read *reads;
	struct omap *writes; /* key to json_t */
};

struct dbstore {
	char name[NAME_MAX_BYTES];
	uint64_t boot;
	size_t log_max;
	usec_t transaction_idle;
	struct omap *keys; /* to struct cell */
	struct omap *ids;  /* to struct entry, owned by the log */
	struct omap *transactions;
	uint64_t transaction_next;

	struct entry **log; /* ring; position p at p % log_max */
	uint64_t first;	    /* oldest kept position */
	uint64_t position;  /* newest; first - 1 if none is kept */

	uint32_t n_terms;
	struct log_pos term[TERMS_MAX]; /* start of each, oldest first */

	uint64_t fence_term;
	uint64_t primary_term; /* term in which it is primary, 0 if not */
	uint64_t follow_term;  /* term in which it follows, 0 if not */
	uint64_t stamp_term;   /* term of the newest stamp */
	int64_t stamp_us;      /* at a replica */
};

/* dbstore_log.c */
struct entry *entry_create(struct log_pos at, int64_t stamp_us, size_t n);
void entry_destroy(struct entry *e);
void log_append(struct dbstore *d, struct entry *e);
void log_push_term(struct dbstore *d, uint64_t term);
uint64_t log_last_term(const struct dbstore *d);
void log_clear(struct dbstore *d);

struct entry **log_slot(const struct dbstore *d, uint64_t position);
void log_set_key(struct dbstore *d, const char *key, json_t *value,
		 uint64_t position);

/* dbstore_wire.c */
json_t *entry_to_json(const struct entry *e, bool undo);
struct entry *entry_from_json(const json_t *j);
json_t *reset_to_json(const struct dbstore *d);
int reset_from_json(struct dbstore *d, const json_t *j, struct error *e);

/* dbstore_tx.c */
void transactions_drop(struct dbstore *d);
void transaction_free(void *p);

/* dbstore.c */
enum db_refusal check_term(const struct dbstore *d, uint64_t term);
void cell_free(void *p);

#endif
