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

/* Makes an entry with room for "n" changes. */
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

/* Frees an entry; NULL is allowed. */
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
 * Appends an entry, which the log then owns, and applies its changes and its
 * request id; the oldest entry makes room if need be.
 */
void dbstore_log_append(struct dbstore *d, struct log_entry *e)
{
	struct versioned_value *c;
	size_t i;

	if (d->position + 1 - d->first_position >= d->log_max)
		evict_oldest(d);
	d->position = e->pos.position;
	*dbstore_log_slot(d, d->position) = e;
	for (i = 0; i < e->n_changes; i++) {
		c = skiplist_get(d->keys, e->changes[i].key);
		json_decref(e->changes[i].old_value);
		e->changes[i].old_value = c ? json_incref(c->value) : NULL;
		e->changes[i].old_position = c ? c->position : 0;
		dbstore_set_key(d, e->changes[i].key, e->changes[i].value,
				e->pos.position);
	}
	if (e->request_id)
		skiplist_put(d->request_ids, e->request_id, e);
	if (d->stamp_us < e->stamp_us)
		d->stamp_us = e->stamp_us;
}

/* Begins a term at the log's end, forgetting the oldest if there are many. */
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

/* Returns the term of the newest entry, 0 for an empty log. */
uint64_t dbstore_log_last_term(const struct dbstore *d)
{
	return d->n_terms ? d->term_start[d->n_terms - 1].term : 0;
}

/* Forgets keys, ids, terms and entries. */
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

/* See dbstore.h; *out is the taker's to free. */
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

/* Returns 0, or -1 with what was wrong; then nothing further was taken. */
int dbstore_log_apply(struct dbstore *d, uint64_t term, const json_t *response,
		      struct error *e)
{
	const json_t *reset = json_object_get(response, "reset");
	json_int_t stamp =
		json_integer_value(json_object_get(response, "stamp_us"));

	if (!dbstore_is_following(d, term))
		return error_set(e, ERR_SUPERSEDED, STEP_FOLLOW, NULL,
				 "does not follow term %llu",
				 (unsigned long long)term);
	if (reset && snapshot_from_json(d, reset, e))
		return -1;
	if (append_entries(d, json_object_get(response, "entries"), e))
		return -1;
	if (!json_is_true(json_object_get(response, "complete")))
		return 0;
	d->stamp_us = stamp;
	d->stamp_term = term;
	return 0;
}

/*
 * Returns 0; -1 if it does not follow that term, or no longer keeps what an
 * undo that far needs: it then has to ask for all from position 0.
 */
int dbstore_log_truncate(struct dbstore *d, uint64_t term, uint64_t position,
			 struct error *e)
{
	if (!dbstore_is_following(d, term))
		return replication_error(e, "does not follow this term");
	if (position + 1 < d->first_position)
		return replication_error(e, "cut lies before the kept log");
	while (d->position > position)
		undo_newest(d);
	return 0;
}

struct log_entry **dbstore_log_slot(const struct dbstore *d, uint64_t position)
{
	return &d->log[position % d->log_max];
}

static void evict_oldest(struct dbstore *d)
{
	struct log_entry *e = *dbstore_log_slot(d, d->first_position);

	if (e->request_id && skiplist_get(d->request_ids, e->request_id) == e)
		skiplist_remove(d->request_ids, e->request_id);
	log_entry_destroy(e);
	*dbstore_log_slot(d, d->first_position) = NULL;
	d->first_position++;
}

/* Puts back what the newest entry changed and takes it off the log. */
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

void dbstore_set_key(struct dbstore *d, const char *key, json_t *value,
		     uint64_t position)
{
	struct versioned_value *c = skiplist_get(d->keys, key);

	if (!c) {
		c = xzalloc(sizeof(*c));
		skiplist_put(d->keys, key, c);
	}
	json_incref(value);
	json_decref(c->value);
	c->value = value;
	c->position = position;
}

/* Is this the end of a prefix of the log? Position 0 is of every log. */
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
 * The furthest position that the logs can have in common: the end here of the
 * newest term that is not above the follower's. Always below its own.
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
			return replication_error(e, "entry out of order");
		}
		if (entry->pos.term > dbstore_log_last_term(d))
			dbstore_log_begin_term(d, entry->pos.term);
		d->stamp_term = entry->pos.term;
		dbstore_log_append(d, entry);
	}
	return 0;
}

static int replication_error(struct error *e, const char *why)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_FOLLOW, NULL, "%s", why);
}
