#include "standin/dbstore_internal.h"

#include <stdlib.h>

static void install_snapshot(struct dbstore *d, const json_t *j,
			     struct log_entry **entries, size_t n);
static uint64_t positive_u64(const json_t *j);
static bool terms_are_valid(const struct dbstore *d, const json_t *terms,
			    uint64_t position);
static bool keys_are_valid(const json_t *keys, uint64_t position);
static int replication_error(struct error *e, const char *why);

/*
 * Encodes a log entry. With "undo" each change also carries the previous value
 * of the key and the position that set it.
 */
json_t *log_entry_to_json(const struct log_entry *e, bool undo)
{
	json_t *changes = json_array();
	json_t *change;
	json_t *j;
	size_t i;

	for (i = 0; i < e->n_changes; i++) {
		change = json_pack("[s,O]", e->changes[i].key,
				   e->changes[i].value);
		if (undo) {
			json_array_append_new(
				change,
				e->changes[i].old_value
					? json_incref(e->changes[i].old_value)
					: json_null());
			json_array_append_new(
				change, json_integer((json_int_t)e->changes[i]
							     .old_position));
		}
		json_array_append_new(changes, change);
	}
	j = json_pack("{s:I,s:I,s:I,s:o}", "term", (json_int_t)e->pos.term,
		      "position", (json_int_t)e->pos.position, "stamp_us",
		      (json_int_t)e->stamp_us, "changes", changes);
	if (e->request_id) {
		json_object_set_new(j, "id", json_string(e->request_id));
		json_object_set_new(j, "hash", json_string(e->body_hash));
		json_object_set(j, "rows", e->rows);
	}
	return j;
}

/*
 * Decodes a log entry. Returns NULL if a required field is missing or has the
 * wrong type.
 */
struct log_entry *log_entry_from_json(const json_t *j)
{
	const json_t *changes = json_object_get(j, "changes");
	const char *id = json_string_value(json_object_get(j, "id"));
	const char *hash = json_string_value(json_object_get(j, "hash"));
	struct log_pos at;
	const json_t *change;
	struct log_entry *e;
	size_t i;

	at.term = positive_u64(json_object_get(j, "term"));
	at.position = positive_u64(json_object_get(j, "position"));
	if (at.term == 0 || at.position == 0)
		return NULL;
	if (id && !json_is_array(json_object_get(j, "rows")))
		return NULL;
	e = log_entry_create(at,
			     json_integer_value(json_object_get(j, "stamp_us")),
			     json_array_size(changes));
	for (i = 0; i < e->n_changes; i++) {
		change = json_array_get(changes, i);
		if (!json_is_string(json_array_get(change, 0)) ||
		    json_array_size(change) < 2) {
			log_entry_destroy(e);
			return NULL;
		}
		e->changes[i].key =
			xstrdup(json_string_value(json_array_get(change, 0)));
		e->changes[i].value = json_incref(json_array_get(change, 1));
		e->changes[i].old_position =
			(uint64_t)json_integer_value(json_array_get(change, 3));
		if (json_array_get(change, 2) &&
		    !json_is_null(json_array_get(change, 2)))
			e->changes[i].old_value =
				json_incref(json_array_get(change, 2));
	}
	if (id) {
		e->request_id = xstrdup(id);
		e->body_hash = xstrdup(hash ? hash : "");
		e->rows = json_incref(json_object_get(j, "rows"));
	}
	return e;
}

/*
 * Encodes the whole state for a follower that is too far behind to catch up
 * from log entries. The JSON key of a snapshot is "reset".
 */
json_t *snapshot_to_json(const struct dbstore *d)
{
	json_t *keys = json_array();
	json_t *terms = json_array();
	json_t *log = json_array();
	struct skiplist_node *n;
	struct versioned_value *v;
	uint64_t p;
	uint32_t i;

	for (n = skiplist_lower_bound(d->keys, ""); n; n = skiplist_next(n)) {
		v = skiplist_value(n);
		json_array_append_new(keys, json_pack("[s,O,I]",
						      skiplist_key(n), v->value,
						      (json_int_t)v->position));
	}
	for (i = 0; i < d->n_terms; i++)
		json_array_append_new(
			terms,
			json_pack("[I,I]", (json_int_t)d->term_start[i].term,
				  (json_int_t)d->term_start[i].position));
	for (p = d->first_position; p <= d->position; p++)
		json_array_append_new(
			log, log_entry_to_json(*dbstore_log_slot(d, p), true));
	return json_pack("{s:I,s:o,s:o,s:o}", "position",
			 (json_int_t)d->position, "keys", keys, "terms", terms,
			 "log", log);
}

/*
 * Replaces the whole state by a decoded snapshot, whose entries include undo
 * records. Returns 0, or -1 with the state unchanged if any part is invalid.
 */
int snapshot_from_json(struct dbstore *d, const json_t *j, struct error *e)
{
	const json_t *log = json_object_get(j, "log");
	uint64_t position = positive_u64(json_object_get(j, "position"));
	size_t n = json_array_size(log);
	struct log_entry **entries;
	size_t i;

	if (n == 0 || n > d->log_max || n > position)
		return replication_error(e, "reset: log is empty or too long");
	if (!terms_are_valid(d, json_object_get(j, "terms"), position))
		return replication_error(e, "reset: terms out of order");
	if (!keys_are_valid(json_object_get(j, "keys"), position))
		return replication_error(e, "reset: invalid key");
	entries = xzalloc(n * sizeof(struct log_entry *));
	for (i = 0; i < n; i++) {
		entries[i] = log_entry_from_json(json_array_get(log, i));
		if (entries[i] &&
		    entries[i]->pos.position == position + 1 - n + i)
			continue;
		do
			log_entry_destroy(entries[i]);
		while (i-- > 0);
		free(entries);
		return replication_error(e, "reset: invalid log entry");
	}
	dbstore_clear(d);
	d->position = position;
	d->first_position = position + 1 - n;
	install_snapshot(d, j, entries, n);
	free(entries);
	return 0;
}

/*
 * Installs a snapshot that has been validated; takes ownership of the entries.
 */
static void install_snapshot(struct dbstore *d, const json_t *j,
			     struct log_entry **entries, size_t n)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(j, "keys"), i, item)
	{
		dbstore_set_key(d, json_string_value(json_array_get(item, 0)),
				json_array_get(item, 1),
				positive_u64(json_array_get(item, 2)));
	}
	json_array_foreach(json_object_get(j, "terms"), i, item)
	{
		d->term_start[i].term = positive_u64(json_array_get(item, 0));
		d->term_start[i].position =
			positive_u64(json_array_get(item, 1));
	}
	d->n_terms = (uint32_t)json_array_size(json_object_get(j, "terms"));
	for (i = 0; i < n; i++) {
		*dbstore_log_slot(d, entries[i]->pos.position) = entries[i];
		if (entries[i]->request_id)
			skiplist_put(d->request_ids, entries[i]->request_id,
				     entries[i]);
	}
}

/* Returns an integer above 0, or 0 for any other value. */
static uint64_t positive_u64(const json_t *j)
{
	json_int_t n = json_integer_value(j);

	return n > 0 ? (uint64_t)n : 0;
}

/*
 * Tells whether terms and their start positions both increase, no term exceeds
 * the fence term and each starts before the end of the log.
 */
static bool terms_are_valid(const struct dbstore *d, const json_t *terms,
			    uint64_t position)
{
	struct log_pos last = { 0 };
	struct log_pos at;
	const json_t *item;
	size_t i;

	if (json_array_size(terms) == 0 ||
	    json_array_size(terms) > LOG_TERMS_MAX)
		return false;
	json_array_foreach(terms, i, item)
	{
		at.term = positive_u64(json_array_get(item, 0));
		at.position = positive_u64(json_array_get(item, 1));
		if (at.term <= last.term || at.term > d->fence_term ||
		    at.position >= position)
			return false;
		if (i > 0 && at.position <= last.position)
			return false;
		last = at;
	}
	return true;
}

/*
 * Tells whether every key is a string with a value and a position that is on
 * the log.
 */
static bool keys_are_valid(const json_t *keys, uint64_t position)
{
	const json_t *item;
	uint64_t at;
	size_t i;

	json_array_foreach(keys, i, item)
	{
		at = positive_u64(json_array_get(item, 2));
		if (!json_is_string(json_array_get(item, 0)) ||
		    !json_array_get(item, 1) || at == 0 || at > position)
			return false;
	}
	return true;
}

/* Sets an UNPROCESSABLE error of the replication step and returns -1. */
static int replication_error(struct error *e, const char *why)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_FOLLOW, NULL, "%s", why);
}
