#include "standin/dbstore_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/dbstore_exec.h"

static struct dbstore_response failed_response(enum dbstore_result r);
static struct dbstore_response
execute_autocommit(struct dbstore *d, const struct dbstore_request *req,
		   int64_t stamp_us);
static bool replay_request(const struct dbstore *d,
			   const struct dbstore_request *req,
			   struct dbstore_response *out);
static json_t *make_row(const char *key, json_t *value);
static enum dbstore_result increment(json_t *old, int64_t amount, json_t **out);
static enum dbstore_result append(json_t *old, json_t *tail, json_t **out);
static bool value_to_text(const json_t *value, char *out, size_t size);
static enum dbstore_result list_keys(const struct dbstore *d,
				     const struct skiplist *overlay,
				     const char *prefix, json_t *rows);

/*
 * Executes one statement, in its own transaction or inside an open one. If the
 * result is not DB_OK, nothing was executed. "now" is monotonic; "stamp_us" is
 * the wall clock and becomes the timestamp of the log entry.
 */
struct dbstore_response dbstore_execute(struct dbstore *d,
					const struct dbstore_request *req,
					usec_t now, int64_t stamp_us)
{
	enum dbstore_result r = dbstore_check_term(d, req->term);
	struct dbstore_response stored;

	if (r != DB_OK)
		return failed_response(r);
	if (req->kind == KIND_READ && statement_is_write(req->statement))
		return failed_response(DB_BAD_STATEMENT);
	if (req->kind == KIND_READ && !req->transaction)
		return execute_autocommit(d, req, stamp_us);
	if (!d->primary_term)
		return failed_response(DB_NOT_PRIMARY);
	if (req->transaction)
		return dbstore_tx_execute(d, req, now);
	if (replay_request(d, req, &stored))
		return stored;
	return execute_autocommit(d, req, stamp_us);
}

/*
 * Commits a transaction as one log entry, unless a key that it read has
 * changed since. A repeated commit with the same request id gets the stored
 * response of the first.
 */
struct dbstore_response dbstore_commit(struct dbstore *d,
				       const struct dbstore_request *req,
				       usec_t now, int64_t stamp_us)
{
	enum dbstore_result r = dbstore_check_term(d, req->term);
	struct dbstore_response stored;

	if (r != DB_OK)
		return failed_response(r);
	if (!d->primary_term)
		return failed_response(DB_NOT_PRIMARY);
	if (replay_request(d, req, &stored)) {
		skiplist_remove(d->transactions, req->transaction);
		return stored;
	}
	return dbstore_tx_commit(d, req, now, stamp_us);
}

/*
 * Evaluates a statement against the keys and a transaction's own writes
 * (overlay, may be NULL). Sets "value" to the new value of the key, or NULL if
 * the statement writes nothing. The caller owns both outputs.
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

/*
 * Returns the value of a key, or NULL; a transaction's own write takes
 * precedence. The caller does not own it.
 */
json_t *dbstore_get_key(const struct dbstore *d, const struct skiplist *overlay,
			const char *key)
{
	json_t *written = overlay ? skiplist_get(overlay, key) : NULL;
	struct versioned_value *stored;

	if (written)
		return written;
	stored = skiplist_get(d->keys, key);
	return stored ? stored->value : NULL;
}

/*
 * Stores a request's id, body hash and result rows in its log entry, so that
 * the response can be replayed.
 */
void log_entry_set_request(struct log_entry *e,
			   const struct dbstore_request *req, json_t *rows)
{
	if (!req->request_id)
		return;
	e->request_id = xstrdup(req->request_id);
	e->body_hash = xstrdup(req->body_hash ? req->body_hash : "");
	e->rows = json_incref(rows);
}

/* Returns a response that carries only a result code. */
static struct dbstore_response failed_response(enum dbstore_result r)
{
	struct dbstore_response resp = { .result = r };

	return resp;
}

/*
 * Executes a statement outside any transaction. A write is logged as one
 * entry; a statement with a request id is logged even if it changes no key.
 */
static struct dbstore_response
execute_autocommit(struct dbstore *d, const struct dbstore_request *req,
		   int64_t stamp_us)
{
	struct dbstore_response resp = { .result = DB_OK };
	struct log_entry *e;
	json_t *value;

	resp.result =
		dbstore_evaluate(d, NULL, req->statement, &resp.rows, &value);
	if (resp.result != DB_OK || req->kind == KIND_READ)
		return resp;
	if (!value && !req->request_id)
		return resp;
	resp.pos.term = d->primary_term;
	resp.pos.position = d->position + 1;
	e = log_entry_create(resp.pos, stamp_us, value ? 1 : 0);
	if (value) {
		e->changes[0].key = xstrdup(req->statement->key);
		e->changes[0].value = value;
	}
	log_entry_set_request(e, req, resp.rows);
	dbstore_log_append(d, e);
	return resp;
}

/*
 * Fills in the stored response of a request whose id is known, or DB_ID_REUSED
 * if its body hash differs. Returns false if the request is new or has no id.
 */
static bool replay_request(const struct dbstore *d,
			   const struct dbstore_request *req,
			   struct dbstore_response *out)
{
	const struct log_entry *e;

	if (!req->request_id)
		return false;
	e = skiplist_get(d->request_ids, req->request_id);
	if (!e)
		return false;
	memset(out, 0, sizeof(*out));
	if (strcmp(e->body_hash, req->body_hash ? req->body_hash : "") != 0) {
		out->result = DB_ID_REUSED;
		return true;
	}
	out->replayed = true;
	out->pos = e->pos;
	out->rows = json_incref(e->rows);
	return true;
}

/* Returns a result row that holds a key and its value. */
static json_t *make_row(const char *key, json_t *value)
{
	return json_pack("{s:s,s:O}", "key", key, "value", value);
}

/*
 * Adds an amount to an integer; a missing value counts as 0. Returns
 * DB_BAD_STATEMENT if the value is not an integer or the sum overflows.
 */
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

/*
 * Concatenates two values as text. Returns DB_BAD_STATEMENT if either is
 * neither a string nor an integer or the result is too long.
 */
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

/*
 * Writes a string or an integer as text. Returns false for any other type or
 * if it does not fit.
 */
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

/*
 * Adds a row for every key with a prefix, in key order, merged with the
 * transaction's own writes. Returns DB_BAD_STATEMENT if there are more than
 * DB_LIST_ROWS_MAX rows.
 */
static enum dbstore_result list_keys(const struct dbstore *d,
				     const struct skiplist *overlay,
				     const char *prefix, json_t *rows)
{
	struct skiplist_node *a = skiplist_lower_bound(d->keys, prefix);
	struct skiplist_node *b =
		overlay ? skiplist_lower_bound(overlay, prefix) : NULL;
	size_t n = strlen(prefix);
	const struct versioned_value *v;
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
			v = skiplist_value(a);
			json_array_append_new(
				rows, make_row(skiplist_key(a), v->value));
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
