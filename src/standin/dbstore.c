#include "standin/dbstore_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const result_names[] = {
	[DB_OK] = "ok",
	[DB_STALE_TERM] = "stale_term",
	[DB_NOT_PRIMARY] = "not_primary",
	[DB_TERM_AHEAD] = "term_ahead",
	[DB_BUSY] = "busy",
	[DB_TRANSACTION_GONE] = "transaction_gone",
	[DB_ID_REUSED] = "id_reused",
	[DB_BAD_STATEMENT] = "bad_statement",
	[DB_NOT_ON_LOG] = "not_on_log",
};

static void step_down(struct dbstore *d);

/*
 * Returns an empty store with fence term 0 that is neither primary nor
 * follower.
 */
struct dbstore *dbstore_create(const struct dbstore_options *o)
{
	struct dbstore *d = xzalloc(sizeof(*d));

	snprintf(d->name, sizeof(d->name), "%s", o->name);
	d->start_id = o->start_id;
	d->log_max = o->log_max ? o->log_max : DB_LOG_ENTRIES_MAX;
	d->tx_idle_timeout = o->tx_idle_timeout;
	d->keys = skiplist_create(versioned_value_free);
	d->request_ids = skiplist_create(NULL);
	d->transactions = skiplist_create(dbstore_tx_free);
	d->log = xzalloc(d->log_max * sizeof(struct log_entry *));
	d->first_position = 1;
	return d;
}

/* Frees a store and everything in it. */
void dbstore_destroy(struct dbstore *d)
{
	dbstore_clear(d);
	skiplist_destroy(d->keys);
	skiplist_destroy(d->request_ids);
	skiplist_destroy(d->transactions);
	free(d->log);
	free(d);
}

/*
 * Raises the fence term. A primary or follower of a lower term loses that role
 * and its open transactions. Fencing again with the current term changes
 * nothing. Returns DB_STALE_TERM if the term is below the fence term.
 */
enum dbstore_result dbstore_fence(struct dbstore *d, uint64_t term)
{
	if (term < d->fence_term)
		return DB_STALE_TERM;
	if (term == d->fence_term)
		return DB_OK;
	d->fence_term = term;
	step_down(d);
	return DB_OK;
}

/*
 * Makes the database primary of its fence term and starts the term with an
 * empty log entry, so that the end of the log carries the new term. Returns
 * DB_STALE_TERM or DB_TERM_AHEAD if the term is not the fence term, and
 * DB_NOT_PRIMARY if the database already follows another primary of this term
 * or its log has reached the term.
 */
enum dbstore_result dbstore_promote(struct dbstore *d, uint64_t term,
				    int64_t stamp_us)
{
	struct log_pos at;

	if (term < d->fence_term)
		return DB_STALE_TERM;
	if (term > d->fence_term)
		return DB_TERM_AHEAD;
	if (d->primary_term == term)
		return DB_OK;
	if (d->follow_term == term || term == 0 ||
	    dbstore_log_last_term(d) >= term)
		return DB_NOT_PRIMARY;
	d->primary_term = term;
	d->stamp_term = term;
	dbstore_log_begin_term(d, term);
	at.term = term;
	at.position = d->position + 1;
	dbstore_log_append(d, log_entry_create(at, stamp_us, 0));
	return DB_OK;
}

/*
 * Raises the fence term and makes the database a follower of the primary of
 * that term. Returns DB_STALE_TERM for a term below the fence term and
 * DB_NOT_PRIMARY if the database itself is primary of the term.
 */
enum dbstore_result dbstore_follow(struct dbstore *d, uint64_t term)
{
	if (term < d->fence_term)
		return DB_STALE_TERM;
	if (term == 0 || d->primary_term == term)
		return DB_NOT_PRIMARY;
	if (term > d->fence_term)
		step_down(d);
	d->fence_term = term;
	d->follow_term = term;
	return DB_OK;
}

/* Tells whether log entries from the primary of the term may be applied. */
bool dbstore_is_following(const struct dbstore *d, uint64_t term)
{
	return term != 0 && d->follow_term == term && d->fence_term == term;
}

/* Tells whether the database is primary of its fence term. */
bool dbstore_is_primary(const struct dbstore *d)
{
	return d->primary_term != 0;
}

/*
 * Fills in every field of a view that the database knows about itself.
 * "stamp_us" is the current wall clock; a primary reports it as its timestamp,
 * while a replica reports the last timestamp received from its primary.
 */
void dbstore_status(const struct dbstore *d, int64_t stamp_us,
		    struct db_view *out)
{
	uint32_t skip = d->n_terms > LINEAGE_MAX ? d->n_terms - LINEAGE_MAX : 0;

	memset(out, 0, sizeof(*out));
	out->known = true;
	out->fence_term = d->fence_term;
	out->role = d->primary_term ? ROLE_PRIMARY : ROLE_REPLICA;
	out->end.term = dbstore_log_last_term(d);
	out->end.position = d->position;
	out->lineage.n = d->n_terms - skip;
	memcpy(out->lineage.start, &d->term_start[skip],
	       out->lineage.n * sizeof(d->term_start[0]));
	out->stamp_term = d->stamp_term;
	out->stamp_us = d->primary_term ? stamp_us : d->stamp_us;
}

/*
 * Looks up a request id. Returns false if it is not retained; otherwise the
 * caller owns "rows" and "hash".
 */
bool dbstore_find_request(const struct dbstore *d, const char *id,
			  struct log_pos *at, json_t **rows, char **hash)
{
	const struct log_entry *e = skiplist_get(d->request_ids, id);

	if (!e)
		return false;
	*at = e->pos;
	*rows = json_incref(e->rows);
	*hash = xstrdup(e->body_hash ? e->body_hash : "");
	return true;
}

/* Returns the name of a result in the HTTP protocol. */
const char *dbstore_result_name(enum dbstore_result r)
{
	return result_names[r];
}

/* Compares the term of a request with the fence term. */
enum dbstore_result dbstore_check_term(const struct dbstore *d, uint64_t term)
{
	if (term < d->fence_term)
		return DB_STALE_TERM;
	if (term > d->fence_term)
		return DB_TERM_AHEAD;
	return DB_OK;
}

/* Frees a value of the key map; NULL is allowed. */
void versioned_value_free(void *p)
{
	struct versioned_value *v = p;

	if (!v)
		return;
	json_decref(v->value);
	free(v);
}

/* Ends the role of primary or follower and drops all transactions. */
static void step_down(struct dbstore *d)
{
	d->primary_term = 0;
	d->follow_term = 0;
	dbstore_tx_drop_all(d);
}
