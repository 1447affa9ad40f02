#include "standin/dbstore_internal.h"

#include <stdlib.h>
#include <string.h>

static void evict_oldest(struct dbstore *d);
static void undo_newest(struct dbstore *d);
static bool holds(const struct dbstore *d, struct log_pos p);
static uint64_t cut_point(const struct dbstore *d, struct log_pos after);
static int take_entries(struct dbstore *d, const json_t *list, struct error *e);
static int bad(struct error *e, const char *why);

/* Makes an entry with room for "n" changes. */
struct entry *entry_create(struct log_pos at, int64_t stamp_us, size_t n)
{
	struct entry *e = must_alloc(sizeof(*e));

	e->at = at;
	e->stamp_us = stamp_us;
	e->n = n;
	e->change = must_alloc(n * sizeof(*e->change));
	return e;
}

/* Frees an entry; NULL is allowed. */
void entry_destroy(struct entry *e)
{
	size_t i;

	if (!e)
		return;
	for (i = 0; i < e->n; i++) {
		free(e->change[i].key);
		json_decref(e->change[i].value);
		json_decref(e->change[i].old);
	}
	free(e->change);
	free(e->id);
	free(e->hash);
	json_decref(e->rows);
	free(e);
}

/*
 * Appends an entry, which the log then owns, and applies its changes and its
 * request id; the oldest entry makes room if need be.
 */
void log_append(struct dbstore *d, struct entry *e)
{
	struct cell *c;
	size_t i;

	if (d->position + 1 - d->first >= d->log_max)
		evict_oldest(d);
	d->position = e->at.position;
	*log_slot(d, d->position) = e;
	for (i = 0; i < e->n; i++) {
		c = omap_get(d->keys, e->change[i].key);
		json_decref(e->change[i].old);
		e->change[i].old = c ? json_incref(c->value) : NULL;
		e->change[i].old_position = c ? c->position : 0;
		log_set_key(d, e->change[i].key, e->change[i].value,
			    e->at.position);
	}
	if (e->id)
		omap_put(d->ids, e->id, e);
	if (d->stamp_us < e->stamp_us)
		d->stamp_us = e->stamp_us;
}

/* Begins a term at the log's end, forgetting the oldest if there are many. */
void log_push_term(struct dbstore *d, uint64_t term)
{
	if (d->n_terms == TERMS_MAX) {
		memmove(&d->term[0], &d->term[1],
			(TERMS_MAX - 1) * sizeof(d->term[0]));
		d->n_terms--;
	}
	d->term[d->n_terms].term = term;
	d->term[d->n_terms].position = d->position;
	d->n_terms++;
}

/* Returns the term of the newest entry, 0 for an empty log. */
uint64_t log_last_term(const struct dbstore *d)
{
	return d->n_terms ? d->term[d->n_terms - 1].term : 0;
}

/* Forgets keys, ids, terms and entries. */
void log_clear(struct dbstore *d)
{
	for (; d->first <= d->position; d->first++)
		entry_destroy(*log_slot(d, d->first));
	omap_destroy(d->keys);
	omap_destroy(d->ids);
	d->keys = omap_create(cell_free);
	d->ids = omap_create(NULL);
	d->n_terms = 0;
	d->first = 1;
	d->position = 0;
}

/* See dbstore.h; *out is the taker's to free. */
enum db_refusal dbstore_log_read(const struct dbstore *d, uint64_t term,
				 struct log_pos after, size_t max,
				 int64_t stamp_us, json_t **out, uint64_t *cut)
{
	uint64_t p = after.position + 1;
	json_t *list;

	*cut = 0;
	if (check_term(d, term) != DB_OK)
		return check_term(d, term);
	if (d->primary_term != term)
		return DB_NOT_PRIMARY;
	if (!holds(d, after)) {
		*cut = cut_point(d, after);
		return DB_NOT_ON_LOG;
	}
	list = json_array();
	if (p < d->first || after.position == 0) {
		*out = json_pack("{s:I,s:b,s:o,s:o}", "stamp_us",
				 (json_int_t)stamp_us, "complete", true,
				 "reset", reset_to_json(d), "entries", list);
		return DB_OK;
	}
	for (; p <= d->position && json_array_size(list) < max; p++)
		json_array_append_new(list,
				      entry_to_json(*log_slot(d, p), false));
	*out = json_pack("{s:I,s:b,s:o}", "stamp_us", (json_int_t)stamp_us,
			 "complete", p > d->position, "entries", list);
	return DB_OK;
}

/* Returns 0, or -1 with what was wrong; then nothing further was taken. */
int dbstore_log_take(struct dbstore *d, uint64_t term, const json_t *answer,
		     struct error *e)
{
	const json_t *reset = json_object_get(answer, "reset");
	json_int_t stamp =
		json_integer_value(json_object_get(answer, "stamp_us"));

	if (!dbstore_follows(d, term))
		return error_set(e, ERR_SUPERSEDED, STEP_FOLLOW, NULL,
				 "does not follow term %llu",
				 (unsigned long long)term);
	if (reset && reset_from_json(d, reset, e))
		return -1;
	if (take_entries(d, json_object_get(answer, "entries"), e))
		return -1;
	if (!json_is_true(json_object_get(answer, "complete")))
		return 0;
	d->stamp_us = stamp;
	d->stamp_term = term;
	return 0;
}

/*
 * Returns 0; -1 if it does not follow that term, or no longer keeps what an
 * undo that far needs: it then has to ask for all from position 0.
 */
int dbstore_cut(struct dbstore *d, uint64_t term, uint64_t position,
		struct error *e)
{
	if (!dbstore_follows(d, term))
		return bad(e, "does not follow this term");
	if (position + 1 < d->first)
		return bad(e, "cut lies before the kept log");
	while (d->position > position)
		undo_newest(d);
	return 0;
}

struct entry **log_slot(const struct dbstore *d, uint64_t position)
{
	return &d->log[position % d->log_max];
}

static void evict_oldest(struct dbstore *d)
{
	struct entry *e = *log_slot(d, d->first);

	if (e->id && omap_get(d->ids, e->id) == e)
		omap_remove(d->ids, e->id);
	entry_destroy(e);
	*log_slot(d, d->first) = NULL;
	d->first++;
}

/* Puts back what the newest entry changed and takes it off the log. */
static void undo_newest(struct dbstore *d)
{
	struct entry *e = *log_slot(d, d->position);
	size_t i;

	for (i = e->n; i-- > 0;) {
		if (e->change[i].old)
			log_set_key(d, e->change[i].key, e->change[i].old,
				    e->change[i].old_position);
		else
			omap_remove(d->keys, e->change[i].key);
	}
	if (e->id && omap_get(d->ids, e->id) == e)
		omap_remove(d->ids, e->id);
	entry_destroy(e);
	*log_slot(d, d->position) = NULL;
	d->position--;
	while (d->n_terms && d->term[d->n_terms - 1].position >= d->position)
		d->n_terms--;
}

void log_set_key(struct dbstore *d, const char *key, json_t *value,
		 uint64_t position)
{
	struct cell *c = omap_get(d->keys, key);

	if (!c) {
		c = must_alloc(sizeof(*c));
		omap_put(d->keys, key, c);
	}
	json_incref(value);
	json_decref(c->value);
	c->value = value;
	c->position = position;
}

/* Is this the end of a prefix of the log? Position 0 is of every log. */
static bool holds(const struct dbstore *d, struct log_pos p)
{
	uint32_t i;

	if (p.position == 0)
		return true;
	if (p.position > d->position)
		return false;
	for (i = 0; i < d->n_terms; i++) {
		if (d->term[i].term != p.term)
			continue;
		return p.position > d->term[i].position &&
		       (i + 1 == d->n_terms ||
			p.position <= d->term[i + 1].position);
	}
	return false;
}

/*
 * The furthest position that the logs can have in common: the end here of the
 * newest term that is not above the follower's. Always below its own.
 */
static uint64_t cut_point(const struct dbstore *d, struct log_pos after)
{
	uint64_t end = 0;
	uint32_t i;

	for (i = 0; i < d->n_terms && d->term[i].term <= after.term; i++)
		end = i + 1 < d->n_terms ? d->term[i + 1].position
					 : d->position;
	return end < after.position ? end : after.position - 1;
}

static int take_entries(struct dbstore *d, const json_t *list, struct error *e)
{
	const json_t *item;
	struct entry *entry;
	size_t i;

	json_array_foreach(list, i, item)
	{
		entry = entry_from_json(item);
		if (!entry || entry->at.position != d->position + 1 ||
		    entry->at.term < log_last_term(d) ||
		    entry->at.term > d->fence_term) {
			entry_destroy(entry);
			return bad(e, "entry out of order");
		}
		if (entry->at.term > log_last_term(d))
			log_push_term(d, entry->at.term);
		d->stamp_term = entry->at.term;
		log_append(d, entry);
	}
	return 0;
}

static int bad(struct error *e, const char *why)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_FOLLOW, NULL, "%s", why);
}
