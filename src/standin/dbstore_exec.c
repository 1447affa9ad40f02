#include "standin/dbstore_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/dbstore_exec.h"

static struct dbstore_response failed_response(enum dbstore_result r);
static struct dbstore_response
execute_autocommit(struct dbstore *d, const struct dbstore_request *c,
		   int64_t stamp_us);
static bool replay_request(const struct dbstore *d,
			   const struct dbstore_request *c,
			   struct dbstore_response *out);
static json_t *make_row(const char *key, json_t *value);
static enum dbstore_result increment(json_t *old, int64_t amount, json_t **out);
static enum dbstore_result append(json_t *old, json_t *tail, json_t **out);
static bool value_to_text(const json_t *value, char *out, size_t size);
static enum dbstore_result list_keys(const struct dbstore *d,
				     const struct skiplist *overlay,
				     const char *prefix, json_t *rows);

/*
 * Runs one statement, by itself or inside a transaction. Nothing has been
 * executed if a refusal comes back.
 */
struct dbstore_response dbstore_execute(struct dbstore *d,
					const struct dbstore_request *c,
					usec_t now, int64_t stamp_us)
{
	enum dbstore_result r = dbstore_check_term(d, c->term);
	struct dbstore_response stored;

	if (r != DB_OK)
		return failed_response(r);
	if (c->kind == KIND_READ && statement_is_write(c->statement))
		return failed_response(DB_BAD_STATEMENT);
	if (c->kind == KIND_READ && !c->transaction)
		return execute_autocommit(d, c, stamp_us);
	if (!d->primary_term)
		return failed_response(DB_NOT_PRIMARY);
	if (c->transaction)
		return dbstore_tx_execute(d, c, now);
	if (replay_request(d, c, &stored))
		return stored;
	return execute_autocommit(d, c, stamp_us);
}

/*
 * Commits a transaction as one log entry, unless a key that it has read was
 * changed since. With a request id a second commit gets the first's answer.
 */
struct dbstore_response dbstore_commit(struct dbstore *d,
				       const struct dbstore_request *c,
				       usec_t now, int64_t stamp_us)
{
	enum dbstore_result r = dbstore_check_term(d, c->term);
	struct dbstore_response stored;

	if (r != DB_OK)
		return failed_response(r);
	if (!d->primary_term)
		return failed_response(DB_NOT_PRIMARY);
	if (replay_request(d, c, &stored)) {
		skiplist_remove(d->transactions, c->transaction);
		return stored;
	}
	return dbstore_tx_commit(d, c, now, stamp_us);
}

/*
 * Works out a statement over the keys and a transaction's own writes. "value"
 * gets what the key becomes, NULL if nothing is written; both outputs are the
 * taker's to free.
 */
enum dbstore_result dbstore_evaluate(const struct dbstore *d,
				     const struct skiplist *overlay,
				     const struct statement *s, json_t **rows,
				     json_t **value)
{
	json_t *old = dbstore_get_key(d, overlay, s->key);
	enum dbstore_result r = DB_OK;

	*value = NULL;
	*rows = json_array();
	switch (s->verb) {
	case VERB_GET:
		if (old)
			json_array_append_new(*rows, make_row(s->key, old));
		break;
	case VERB_CHECK:
		r = old && json_equal(old, s->value) ? DB_OK : DB_BAD_STATEMENT;
		break;
	case VERB_LIST:
		r = list_keys(d, overlay, s->key, *rows);
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
		json_array_append_new(*rows, make_row(s->key, *value));
	if (r == DB_OK)
		return DB_OK;
	json_decref(*rows);
	*rows = NULL;
	return r;
}

/* Returns a key's value, borrowed, or NULL. */
json_t *dbstore_get_key(const struct dbstore *d, const struct skiplist *overlay,
			const char *key)
{
	json_t *v = overlay ? skiplist_get(overlay, key) : NULL;
	struct versioned_value *c;

	if (v)
		return v;
	c = skiplist_get(d->keys, key);
	return c ? c->value : NULL;
}

/* Puts a request's id, hash and answer into the entry that it makes. */
void log_entry_set_request(struct log_entry *e, const struct dbstore_request *c,
			   json_t *rows)
{
	if (!c->request_id)
		return;
	e->request_id = xstrdup(c->request_id);
	e->body_hash = xstrdup(c->body_hash ? c->body_hash : "");
	e->rows = json_incref(rows);
}

static struct dbstore_response failed_response(enum dbstore_result r)
{
	struct dbstore_response a = { .result = r };

	return a;
}

static struct dbstore_response
execute_autocommit(struct dbstore *d, const struct dbstore_request *c,
		   int64_t stamp_us)
{
	struct dbstore_response a = { .result = DB_OK };
	struct log_entry *e;
	json_t *value;

	a.result = dbstore_evaluate(d, NULL, c->statement, &a.rows, &value);
	if (a.result != DB_OK || c->kind == KIND_READ)
		return a;
	if (!value && !c->request_id)
		return a;
	a.pos.term = d->primary_term;
	a.pos.position = d->position + 1;
	e = log_entry_create(a.pos, stamp_us, value ? 1 : 0);
	if (value) {
		e->changes[0].key = xstrdup(c->statement->key);
		e->changes[0].value = value;
	}
	log_entry_set_request(e, c, a.rows);
	dbstore_log_append(d, e);
	return a;
}

/* Answers a request whose id is known; false if it is new or has none. */
static bool replay_request(const struct dbstore *d,
			   const struct dbstore_request *c,
			   struct dbstore_response *out)
{
	const struct log_entry *e;

	if (!c->request_id)
		return false;
	e = skiplist_get(d->request_ids, c->request_id);
	if (!e)
		return false;
	memset(out, 0, sizeof(*out));
	if (strcmp(e->body_hash, c->body_hash ? c->body_hash : "") != 0) {
		out->result = DB_ID_REUSED;
		return true;
	}
	out->replayed = true;
	out->pos = e->pos;
	out->rows = json_incref(e->rows);
	return true;
}

static json_t *make_row(const char *key, json_t *value)
{
	return json_pack("{s:s,s:O}", "key", key, "value", value);
}

static enum dbstore_result increment(json_t *old, int64_t amount, json_t **out)
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

static enum dbstore_result append(json_t *old, json_t *tail, json_t **out)
{
	size_t size = VALUE_MAX_BYTES + 1;
	char *text = xzalloc(size);
	size_t n;

	if ((old && !value_to_text(old, text, size)) ||
	    !value_to_text(tail, text + strlen(text), size - strlen(text))) {
		free(text);
		return DB_BAD_STATEMENT;
	}
	n = strlen(text);
	*out = json_stringn(text, n);
	free(text);
	return *out ? DB_OK : DB_BAD_STATEMENT;
}

/* Writes a string or an integer as text; false if it is other or too long. */
static bool value_to_text(const json_t *value, char *out, size_t size)
{
	int n;

	if (json_is_string(value))
		n = snprintf(out, size, "%s", json_string_value(value));
	else if (json_is_integer(value))
		n = snprintf(out, size, "%" JSON_INTEGER_FORMAT,
			     json_integer_value(value));
	else
		return false;
	return n >= 0 && (size_t)n < size;
}

/* Merges the keys with a prefix and the transaction's own, in order. */
static enum dbstore_result list_keys(const struct dbstore *d,
				     const struct skiplist *overlay,
				     const char *prefix, json_t *rows)
{
	struct skiplist_node *a = skiplist_lower_bound(d->keys, prefix);
	struct skiplist_node *b =
		overlay ? skiplist_lower_bound(overlay, prefix) : NULL;
	size_t n = strlen(prefix);
	const struct versioned_value *c;
	int order;

	for (;;) {
		if (a && strncmp(skiplist_key(a), prefix, n) != 0)
			a = NULL;
		if (b && strncmp(skiplist_key(b), prefix, n) != 0)
			b = NULL;
		if (!a && !b)
			return DB_OK;
		if (json_array_size(rows) == DB_LIST_ROWS_MAX)
			return DB_BAD_STATEMENT;
		order = !a   ? 1
			: !b ? -1
			     : strcmp(skiplist_key(a), skiplist_key(b));
		if (order < 0) {
			c = skiplist_value(a);
			json_array_append_new(
				rows, make_row(skiplist_key(a), c->value));
		} else {
			json_array_append_new(
				rows,
				make_row(skiplist_key(b), skiplist_value(b)));
		}
		if (order <= 0)
			a = skiplist_next(a);
		if (order >= 0)
			b = skiplist_next(b);
	}
}
