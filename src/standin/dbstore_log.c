#include "standin/dbstore_internal.h"

#include <stdlib.h>
#include <string.h>

static void evict_oldest(struct dbstore *d);
static void undo_newest(struct dbstore *d);
static bool log_contains(const struct dbstore *d, struct log_pos p);
static uint64_t divergence_point(const struct dbstore *d, struct log_pos after);
static int append_entries(struct dbstore *d, const json_t *list,
			  struct error *e);
static int replication_error(struct error *e, const char *why);

/* Returns a log entry with space for "n" key changes. */
struct log_entry *log_entry_create(struct log_pos at, int64_t stamp_us,
				   size_t n)
{
	struct log_entry *e = xzalloc(sizeof(*e));

	e->pos = at;
	e->stamp_us = stamp_us;
	e->n_changes = n;
	e->changes = xzalloc(n * sizeof(*e->changes));
	return e;
}

/* Frees a log entry; NULL is allowed. */
void log_entry_destroy(struct log_entry *e)
{
	size_t i;

	if (!e)
		return;
	for (i = 0; i < e->n_changes; i++) {
		free(e->changes[i].key);
		json_decref(e->changes[i].value);
		json_decref(e->changes[i].old_value);
	}
	free(e->changes);
	free(e->request_id);
	free(e->body_hash);
	json_decref(e->rows);
	free(e);
}

/*
 * Appends an entry, which the log then owns, applies its key changes and
 * indexes its request id. Evicts the oldest entry if the log is full.
 */
void dbstore_log_append(struct dbstore *d, struct log_entry *e)
{
	struct versioned_value *v;
	size_t i;

	if (d->position + 1 - d->first_position >= d->log_max)
		evict_oldest(d);
	d->position = e->pos.position;
	*dbstore_log_slot(d, d->position) = e;
	for (i = 0; i < e->n_changes; i++) {
		v = skiplist_get(d->keys, e->changes[i].key);
		json_decref(e->changes[i].old_value);
		e->changes[i].old_value = v ? json_incref(v->value) : NULL;
		e->changes[i].old_position = v ? v->position : 0;
		dbstore_set_key(d, e->changes[i].key, e->changes[i].value,
				e->pos.position);
	}
	if (e->request_id)
		skiplist_put(d->request_ids, e->request_id, e);
	if (d->stamp_us < e->stamp_us)
		d->stamp_us = e->stamp_us;
}

/*
 * Records that a term starts at the end of the log. Drops the oldest recorded
 * term when the table is full.
 */
void dbstore_log_begin_term(struct dbstore *d, uint64_t term)
{
	if (d->n_terms == LOG_TERMS_MAX) {
		memmove(&d->term_start[0], &d->term_start[1],
			(LOG_TERMS_MAX - 1) * sizeof(d->term_start[0]));
		d->n_terms--;
	}
	d->term_start[d->n_terms].term = term;
	d->term_start[d->n_terms].position = d->position;
	d->n_terms++;
}

/* Returns the term of the newest entry, or 0 for an empty log. */
uint64_t dbstore_log_last_term(const struct dbstore *d)
{
	return d->n_terms ? d->term_start[d->n_terms - 1].term : 0;
}

/* Drops all keys, request ids, recorded terms and log entries. */
void dbstore_clear(struct dbstore *d)
{
	for (; d->first_position <= d->position; d->first_position++)
		log_entry_destroy(*dbstore_log_slot(d, d->first_position));
	skiplist_destroy(d->keys);
	skiplist_destroy(d->request_ids);
	d->keys = skiplist_create(versioned_value_free);
	d->request_ids = skiplist_create(NULL);
	d->n_terms = 0;
	d->first_position = 1;
	d->position = 0;
}

/*
 * Returns in "out", which the caller owns, up to "max" entries that follow
 * "after". Returns a snapshot instead if "after" is position 0 or the next
 * entry has been evicted. Returns DB_NOT_ON_LOG if "after" is not on this log;
 * *truncate_at is then the position to which the follower must truncate its
 * own log. "stamp_us" is the current wall clock. Returns DB_NOT_PRIMARY if the
 * database is not primary of the term.
 */
enum dbstore_result dbstore_log_read(const struct dbstore *d, uint64_t term,
				     struct log_pos after, size_t max,
				     int64_t stamp_us, json_t **out,
				     uint64_t *truncate_at)
{
	uint64_t p = after.position + 1;
	json_t *list;

	*truncate_at = 0;
	if (dbstore_check_term(d, term) != DB_OK)
		return dbstore_check_term(d, term);
	if (d->primary_term != term)
		return DB_NOT_PRIMARY;
	if (!log_contains(d, after)) {
		*truncate_at = divergence_point(d, after);
		return DB_NOT_ON_LOG;
	}
	list = json_array();
	if (p < d->first_position || after.position == 0) {
		*out = json_pack("{s:I,s:b,s:o,s:o}", "stamp_us",
				 (json_int_t)stamp_us, "complete", true,
				 "reset", snapshot_to_json(d), "entries", list);
		return DB_OK;
	}
	for (; p <= d->position && json_array_size(list) < max; p++)
		json_array_append_new(
			list,
			log_entry_to_json(*dbstore_log_slot(d, p), false));
	*out = json_pack("{s:I,s:b,s:o}", "stamp_us", (json_int_t)stamp_us,
			 "complete", p > d->position, "entries", list);
	return DB_OK;
}

/*
 * Applies a response of the primary: a snapshot, if there is one, and then
 * whole entries in log order. Returns 0, or -1 with an error; entries before
 * the invalid one stay applied. The error is SUPERSEDED if the database does
 * not follow the term.
 */
int dbstore_log_apply(struct dbstore *d, uint64_t term, const json_t *response,
		      struct error *e)
{
	const json_t *reset = json_object_get(response, "reset");
	json_int_t timestamp =
		json_integer_value(json_object_get(response, "stamp_us"));

	if (!dbstore_is_following(d, term))
		return error_set(e, ERR_SUPERSEDED, STEP_FOLLOW, NULL,
				 "database does not follow term %llu",
				 (unsigned long long)term);
	if (reset && snapshot_from_json(d, reset, e))
		return -1;
	if (append_entries(d, json_object_get(response, "entries"), e))
		return -1;
	if (!json_is_true(json_object_get(response, "complete")))
		return 0;
	d->stamp_us = timestamp;
	d->stamp_term = term;
	return 0;
}

/*
 * Removes all entries after "position" and undoes their changes. Returns 0, or
 * -1 if the database does not follow the term or no longer retains the undo
 * records that this needs; the follower must then fetch a snapshot.
 */
int dbstore_log_truncate(struct dbstore *d, uint64_t term, uint64_t position,
			 struct error *e)
{
	if (!dbstore_is_following(d, term))
		return replication_error(e,
					 "database does not follow this term");
	if (position + 1 < d->first_position)
		return replication_error(
			e, "cannot cut the log before its oldest entry");
	while (d->position > position)
		undo_newest(d);
	return 0;
}

/* Returns the slot of a position in the ring buffer of the log. */
struct log_entry **dbstore_log_slot(const struct dbstore *d, uint64_t position)
{
	return &d->log[position % d->log_max];
}

/* Frees the oldest entry and drops its request id. */
static void evict_oldest(struct dbstore *d)
{
	struct log_entry *e = *dbstore_log_slot(d, d->first_position);

	if (e->request_id && skiplist_get(d->request_ids, e->request_id) == e)
		skiplist_remove(d->request_ids, e->request_id);
	log_entry_destroy(e);
	*dbstore_log_slot(d, d->first_position) = NULL;
	d->first_position++;
}

/*
 * Removes the newest entry from the log and restores the previous values of
 * the keys that it changed.
 */
static void undo_newest(struct dbstore *d)
{
	struct log_entry *e = *dbstore_log_slot(d, d->position);
	size_t i;

	for (i = e->n_changes; i-- > 0;) {
		if (e->changes[i].old_value)
			dbstore_set_key(d, e->changes[i].key,
					e->changes[i].old_value,
					e->changes[i].old_position);
		else
			skiplist_remove(d->keys, e->changes[i].key);
	}
	if (e->request_id && skiplist_get(d->request_ids, e->request_id) == e)
		skiplist_remove(d->request_ids, e->request_id);
	log_entry_destroy(e);
	*dbstore_log_slot(d, d->position) = NULL;
	d->position--;
	while (d->n_terms &&
	       d->term_start[d->n_terms - 1].position >= d->position)
		d->n_terms--;
}

/* Stores a value and the position of the entry that set it under a key. */
void dbstore_set_key(struct dbstore *d, const char *key, json_t *value,
		     uint64_t position)
{
	struct versioned_value *v = skiplist_get(d->keys, key);

	if (!v) {
		v = xzalloc(sizeof(*v));
		skiplist_put(d->keys, key, v);
	}
	json_incref(value);
	json_decref(v->value);
	v->value = value;
	v->position = position;
}

/*
 * Tells whether this log has an entry of this term at this position. Position
 * 0, the start, is part of every log.
 */
static bool log_contains(const struct dbstore *d, struct log_pos p)
{
	uint32_t i;

	if (p.position == 0)
		return true;
	if (p.position > d->position)
		return false;
	for (i = 0; i < d->n_terms; i++) {
		if (d->term_start[i].term != p.term)
			continue;
		return p.position > d->term_start[i].position &&
		       (i + 1 == d->n_terms ||
			p.position <= d->term_start[i + 1].position);
	}
	return false;
}

/*
 * Returns the highest position that the follower's log can share with this
 * log: the end, on this log, of the newest term that is not above the
 * follower's last term. The result is always below the follower's last
 * position, so that repeated truncation makes progress.
 */
static uint64_t divergence_point(const struct dbstore *d, struct log_pos after)
{
	uint64_t end = 0;
	uint32_t i;

	for (i = 0; i < d->n_terms && d->term_start[i].term <= after.term; i++)
		end = i + 1 < d->n_terms ? d->term_start[i + 1].position
					 : d->position;
	return end < after.position ? end : after.position - 1;
}

/*
 * Appends the entries of a JSON array. Returns -1 at the first entry that is
 * malformed, out of order, or of a term that decreases or exceeds the fence
 * term.
 */
static int append_entries(struct dbstore *d, const json_t *list,
			  struct error *e)
{
	const json_t *item;
	struct log_entry *entry;
	size_t i;

	json_array_foreach(list, i, item)
	{
		entry = log_entry_from_json(item);
		if (!entry || entry->pos.position != d->position + 1 ||
		    entry->pos.term < dbstore_log_last_term(d) ||
		    entry->pos.term > d->fence_term) {
			log_entry_destroy(entry);
			return replication_error(e, "log entry out of order");
		}
		if (entry->pos.term > dbstore_log_last_term(d))
			dbstore_log_begin_term(d, entry->pos.term);
		d->stamp_term = entry->pos.term;
		dbstore_log_append(d, entry);
	}
	return 0;
}

/* Sets an UNPROCESSABLE error of the replication step and returns -1. */
static int replication_error(struct error *e, const char *why)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_FOLLOW, NULL, "%s", why);
}
