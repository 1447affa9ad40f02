#include "standin/dbstore_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/dbstore_exec.h"

static struct db_answer refuse(enum db_refusal r);
static struct db_answer run_plain(struct dbstore *d, const struct db_call *c,
				  int64_t stamp_us);
static bool replay(const struct dbstore *d, const struct db_call *c,
		   struct db_answer *out);
static json_t *row(const char *key, json_t *value);
static enum db_refusal increment(json_t *old, int64_t amount, json_t **out);
static enum db_refusal append(json_t *old, json_t *tail, json_t **out);
static bool text_of(const json_t *value, char *out, size_t room);
static enum db_refusal list(const struct dbstore *d, const struct omap *overlay,
			    const char *prefix, json_t *rows);

/*
 * Runs one statement, by itself or inside a transaction. Nothing has been
 * executed if a refusal comes back.
 */
struct db_answer dbstore_execute(struct dbstore *d, const struct db_call *c,
				 usec_t now, int64_t stamp_us)
{
	enum db_refusal r = check_term(d, c->term);
	struct db_answer kept;

	if (r != DB_OK)
		return refuse(r);
	if (c->kind == KIND_READ && statement_writes(c->statement))
		return refuse(DB_BAD_STATEMENT);
	if (c->kind == KIND_READ && !c->transaction)
		return run_plain(d, c, stamp_us);
	if (!d->primary_term)
		return refuse(DB_NOT_PRIMARY);
	if (c->transaction)
		return transaction_execute(d, c, now);
	if (replay(d, c, &kept))
		return kept;
	return run_plain(d, c, stamp_us);
}

/*
 * Commits a transaction as one log entry, unless a key that it has read was
 * changed since. With a request id a second commit gets the first's answer.
 */
struct db_answer dbstore_commit(struct dbstore *d, const struct db_call *c,
				usec_t now, int64_t stamp_us)
{
	enum db_refusal r = check_term(d, c->term);
	struct db_answer kept;

	if (r != DB_OK)
		return refuse(r);
	if (!d->primary_term)
		return refuse(DB_NOT_PRIMARY);
	if (replay(d, c, &kept)) {
		omap_remove(d->transactions, c->transaction);
		return kept;
	}
	return transaction_commit(d, c, now, stamp_us);
}

/*
 * Works out a statement over the keys and a transaction's own writes. "value"
 * gets what the key becomes, NULL if nothing is written; both outputs are the
 * taker's to free.
 */
enum db_refusal evaluate(const struct dbstore *d, const struct omap *overlay,
			 const struct statement *s, json_t **rows,
			 json_t **value)
{
	json_t *old = key_value(d, overlay, s->key);
	enum db_refusal r = DB_OK;

	*value = NULL;
	*rows = json_array();
	switch (s->verb) {
	case VERB_GET:
		if (old)
			json_array_append_new(*rows, row(s->key, old));
		break;
	case VERB_CHECK:
		r = old && json_equal(old, s->value) ? DB_OK : DB_BAD_STATEMENT;
		break;
	case VERB_LIST:
		r = list(d, overlay, s->key, *rows);
		break;
	case VERB_PUT:
		*value = json_incref(s->value);
		break;
	case VERB_INCREMENT:
		r = increment(old, s->amount, value);
		break;
	case VERB_APPEND:
		r = append(old, s->value, value);
		break;
	}
	if (*value)
		json_array_append_new(*rows, row(s->key, *value));
	if (r == DB_OK)
		return DB_OK;
	json_decref(*rows);
	*rows = NULL;
	return r;
}

/* Returns a key's value, borrowed, or NULL. */
json_t *key_value(const struct dbstore *d, const struct omap *overlay,
		  const char *key)
{
	json_t *v = overlay ? omap_get(overlay, key) : NULL;
	struct cell *c;

	if (v)
		return v;
	c = omap_get(d->keys, key);
	return c ? c->value : NULL;
}

/* Puts a request's id, hash and answer into the entry that it makes. */
void entry_keep_request(struct entry *e, const struct db_call *c, json_t *rows)
{
	if (!c->request_id)
		return;
	e->id = must_strdup(c->request_id);
	e->hash = must_strdup(c->body_hash ? c->body_hash : "");
	e->rows = json_incref(rows);
}

static struct db_answer refuse(enum db_refusal r)
{
	struct db_answer a = { .refusal = r };

	return a;
}

static struct db_answer run_plain(struct dbstore *d, const struct db_call *c,
				  int64_t stamp_us)
{
	struct db_answer a = { .refusal = DB_OK };
	struct entry *e;
	json_t *value;

	a.refusal = evaluate(d, NULL, c->statement, &a.rows, &value);
	if (a.refusal != DB_OK || c->kind == KIND_READ)
		return a;
	if (!value && !c->request_id)
		return a;
	a.at.term = d->primary_term;
	a.at.position = d->position + 1;
	e = entry_create(a.at, stamp_us, value ? 1 : 0);
	if (value) {
		e->change[0].key = must_strdup(c->statement->key);
		e->change[0].value = value;
	}
	entry_keep_request(e, c, a.rows);
	log_append(d, e);
	return a;
}

/* Answers a request whose id is known; false if it is new or has none. */
static bool replay(const struct dbstore *d, const struct db_call *c,
		   struct db_answer *out)
{
	const struct entry *e;

	if (!c->request_id)
		return false;
	e = omap_get(d->ids, c->request_id);
	if (!e)
		return false;
	memset(out, 0, sizeof(*out));
	if (strcmp(e->hash, c->body_hash ? c->body_hash : "") != 0) {
		out->refusal = DB_ID_REUSED;
		return true;
	}
	out->replayed = true;
	out->at = e->at;
	out->rows = json_incref(e->rows);
	return true;
}

static json_t *row(const char *key, json_t *value)
{
	return json_pack("{s:s,s:O}", "key", key, "value", value);
}

static enum db_refusal increment(json_t *old, int64_t amount, json_t **out)
{
	int64_t sum;

	if (old && !json_is_integer(old))
		return DB_BAD_STATEMENT;
	if (__builtin_add_overflow((int64_t)json_integer_value(old), amount,
				   &sum))
		return DB_BAD_STATEMENT;
	*out = json_integer(sum);
	return DB_OK;
}

static enum db_refusal append(json_t *old, json_t *tail, json_t **out)
{
	size_t room = VALUE_MAX_BYTES + 1;
	char *text = must_alloc(room);
	size_t n;

	if ((old && !text_of(old, text, room)) ||
	    !text_of(tail, text + strlen(text), room - strlen(text))) {
		free(text);
		return DB_BAD_STATEMENT;
	}
	n = strlen(text);
	*out = json_stringn(text, n);
	free(text);
	return *out ? DB_OK : DB_BAD_STATEMENT;
}

/* Writes a string or an integer as text; false if it is other or too long. */
static bool text_of(const json_t *value, char *out, size_t room)
{
	int n;

	if (json_is_string(value))
		n = snprintf(out, room, "%s", json_string_value(value));
	else if (json_is_integer(value))
		n = snprintf(out, room, "%" JSON_INTEGER_FORMAT,
			     json_integer_value(value));
	else
		return false;
	return n >= 0 && (size_t)n < room;
}

/* Merges the keys with a prefix and the transaction's own, in order. */
static enum db_refusal list(const struct dbstore *d, const struct omap *overlay,
			    const char *prefix, json_t *rows)
{
	struct omap_node *a = omap_from(d->keys, prefix);
	struct omap_node *b = overlay ? omap_from(overlay, prefix) : NULL;
	size_t n = strlen(prefix);
	const struct cell *c;
	int order;

	for (;;) {
		if (a && strncmp(omap_key(a), prefix, n) != 0)
			a = NULL;
		if (b && strncmp(omap_key(b), prefix, n) != 0)
			b = NULL;
		if (!a && !b)
			return DB_OK;
		if (json_array_size(rows) == DB_LIST_MAX)
			return DB_BAD_STATEMENT;
		order = !a ? 1 : !b ? -1 : strcmp(omap_key(a), omap_key(b));
		if (order < 0) {
			c = omap_value(a);
			json_array_append_new(rows, row(omap_key(a), c->value));
		} else {
			json_array_append_new(rows,
					      row(omap_key(b), omap_value(b)));
		}
		if (order <= 0)
			a = omap_next(a);
		if (order >= 0)
			b = omap_next(b);
	}
}
