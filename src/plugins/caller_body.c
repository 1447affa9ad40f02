#include "plugins/caller_body.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HASH_BYTES 16

/* Where the fields of a body are stored, and the limits that they must keep. */
struct body_target {
	struct request *request;
	const struct caller_limits *limits;
	struct error *error;
	bool has_max_age;
};

/* The name of a field and the function that reads it. */
struct field {
	const char *name;
	int (*read)(struct body_target *t, const json_t *v);
};

static json_t *parse(const char *body, size_t len, struct error *e);
static int read_fields(struct body_target *t, json_t *root,
		       const struct field *table, size_t n);
static int read_statement(struct body_target *t, const json_t *v);
static int read_parameters(struct body_target *t, const json_t *v);
static int read_kind(struct body_target *t, const json_t *v);
static int read_max_age(struct body_target *t, const json_t *v);
static int read_deadline(struct body_target *t, const json_t *v);
static int read_transaction(struct body_target *t, const json_t *v);
static int read_number(struct body_target *t, const json_t *v, const char *name,
		       json_int_t min, json_int_t max, json_int_t *out);
static int check_combination(const struct body_target *t);
static void set_deadline(struct body_target *t, json_int_t ms);
static bool is_deeper(const json_t *v, int left);
static int refuse_field(struct error *e, const char *name, const char *bound);
static void hash_string(crypto_generichash_state *h, const char *text);

static const struct field statement_fields[] = {
	{ .name = "statement", .read = read_statement },
	{ .name = "parameters", .read = read_parameters },
	{ .name = "kind", .read = read_kind },
	{ .name = "max_age_ms", .read = read_max_age },
	{ .name = "deadline_ms", .read = read_deadline },
	{ .name = "transaction", .read = read_transaction },
};

static const struct field transaction_fields[] = {
	{ .name = "deadline_ms", .read = read_deadline },
};

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

/*
 * Fills in a statement from a caller's body. Malformed JSON is BAD_REQUEST; a
 * field that is unknown, missing, of the wrong type or out of bounds is
 * UNPROCESSABLE. Without a kind a statement is a write. Error messages contain
 * fields and bounds but never values.
 */
int caller_body_statement(struct request *r, const char *body, size_t len,
			  const struct caller_limits *l, struct error *e)
{
	struct body_target t = { .request = r, .limits = l, .error = e };
	json_t *root = parse(body, len, e);
	int rc;

	if (!root)
		return -1;
	r->op = OP_STATEMENT;
	r->kind = KIND_WRITE;
	set_deadline(&t, l->deadline_default_ms);
	rc = read_fields(&t, root, statement_fields, COUNT(statement_fields));
	json_decref(root);
	if (rc == -1)
		return -1;
	return check_combination(&t);
}

/* Fills in the deadline of a transaction's begin, commit or rollback. */
int caller_body_transaction(struct request *r, const char *body, size_t len,
			    const struct caller_limits *l, struct error *e)
{
	struct body_target t = { .request = r, .limits = l, .error = e };
	json_t *root;
	int rc;

	r->kind = KIND_WRITE;
	set_deadline(&t, l->deadline_default_ms);
	if (len == 0)
		return 0;
	root = parse(body, len, e);
	if (!root)
		return -1;
	rc = read_fields(&t, root, transaction_fields,
			 COUNT(transaction_fields));
	json_decref(root);
	return rc;
}

/*
 * Hashes operation, service, transaction, kind, statement and parameters, but
 * not the deadline or the session, which may differ when a request is repeated.
 */
void caller_body_hash(struct request *r)
{
	static const char *const ops[] = {
		[OP_STATEMENT] = "statement",
		[OP_BEGIN] = "begin",
		[OP_COMMIT] = "commit",
		[OP_ROLLBACK] = "rollback",
	};
	unsigned char raw[HASH_BYTES];
	crypto_generichash_state h;

	crypto_generichash_init(&h, NULL, 0, sizeof(raw));
	hash_string(&h, ops[r->op]);
	hash_string(&h, r->service);
	hash_string(&h, r->transaction);
	hash_string(&h, r->kind == KIND_READ ? "read" : "write");
	hash_string(&h, r->statement ? r->statement : "");
	hash_string(&h, r->parameters ? r->parameters : "");
	crypto_generichash_final(&h, raw, sizeof(raw));
	sodium_bin2hex(r->body_hash, sizeof(r->body_hash), raw, sizeof(raw));
}

/* Parses a body; it must be an object of bounded depth with unique keys. */
static json_t *parse(const char *body, size_t len, struct error *e)
{
	json_error_t why;
	json_t *root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &why);

	if (!root) {
		error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
			  json_error_code(&why) == json_error_duplicate_key
				  ? "body: a key is given twice, line %d"
				  : "body: not JSON, line %d",
			  why.line);
		return NULL;
	}
	if (!json_is_object(root)) {
		error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
			  "body: must be a JSON object");
		json_decref(root);
		return NULL;
	}
	if (is_deeper(root, BODY_DEPTH_MAX)) {
		error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
			  "body: nested deeper than %d", BODY_DEPTH_MAX);
		json_decref(root);
		return NULL;
	}
	return root;
}

/* Reads every field by its table entry; an unknown field is an error. */
static int read_fields(struct body_target *t, json_t *root,
		       const struct field *table, size_t n)
{
	const char *key;
	json_t *v;
	size_t i;

	json_object_foreach(root, key, v)
	{
		for (i = 0; i < n && strcmp(key, table[i].name) != 0; i++)
			;
		if (i == n)
			return refuse_field(t->error, key, "unknown field");
		if (table[i].read(t, v) == -1)
			return -1;
	}
	return 0;
}

/* Copies the statement, which only the database interprets. */
static int read_statement(struct body_target *t, const json_t *v)
{
	if (!json_is_string(v) || json_string_length(v) == 0)
		return refuse_field(t->error, "statement",
				    "must be a string, not empty");
	t->request->statement = strdup(json_string_value(v));
	if (!t->request->statement)
		return error_set(t->error, ERR_SYSTEM, STEP_PARSE, NULL,
				 "no memory");
	return 0;
}

/* Stores the parameters as compact JSON with sorted keys. */
static int read_parameters(struct body_target *t, const json_t *v)
{
	if (!json_is_array(v))
		return refuse_field(t->error, "parameters", "must be an array");
	t->request->parameters = json_dumps(v, JSON_COMPACT | JSON_SORT_KEYS);
	if (!t->request->parameters)
		return error_set(t->error, ERR_SYSTEM, STEP_PARSE, NULL,
				 "no memory");
	return 0;
}

/* Reads the kind, "read" or "write". */
static int read_kind(struct body_target *t, const json_t *v)
{
	const char *kind = json_string_value(v);

	if (kind && strcmp(kind, "read") == 0)
		t->request->kind = KIND_READ;
	else if (!kind || strcmp(kind, "write") != 0)
		return refuse_field(t->error, "kind",
				    "must be \"read\" or \"write\"");
	return 0;
}

/* Reads the greatest age of data that the caller accepts. */
static int read_max_age(struct body_target *t, const json_t *v)
{
	json_int_t ms;

	if (read_number(t, v, "max_age_ms", 0, MAX_AGE_MAX_MS, &ms) == -1)
		return -1;
	t->request->max_age_us = ms * USEC_PER_MSEC;
	t->has_max_age = true;
	return 0;
}

/* Reads the deadline, counted from the request's arrival. */
static int read_deadline(struct body_target *t, const json_t *v)
{
	json_int_t ms;

	if (read_number(t, v, "deadline_ms", 1, t->limits->deadline_max_ms,
			&ms) == -1)
		return -1;
	set_deadline(t, ms);
	return 0;
}

/* Reads the transaction that a statement belongs to. */
static int read_transaction(struct body_target *t, const json_t *v)
{
	const char *id = json_string_value(v);
	size_t len = json_string_length(v);

	if (!id || len == 0 || len >= TRANSACTION_ID_BYTES)
		return error_set(t->error, ERR_UNPROCESSABLE, STEP_PARSE, NULL,
				 "transaction: must be a string of 1 to %d "
				 "bytes",
				 TRANSACTION_ID_BYTES - 1);
	memcpy(t->request->transaction, id, len + 1);
	return 0;
}

/* Reads an integer from "min" to "max". */
static int read_number(struct body_target *t, const json_t *v, const char *name,
		       json_int_t min, json_int_t max, json_int_t *out)
{
	*out = json_integer_value(v);
	if (json_is_integer(v) && *out >= min && *out <= max)
		return 0;
	return error_set(t->error, ERR_UNPROCESSABLE, STEP_PARSE, NULL,
			 "%s: must be a whole number from %lld to %lld", name,
			 (long long)min, (long long)max);
}

/* Checks the rules that involve more than one field of a statement. */
static int check_combination(const struct body_target *t)
{
	const struct request *r = t->request;

	if (!r->statement)
		return refuse_field(t->error, "statement", "missing");
	if (t->has_max_age && r->kind != KIND_READ)
		return refuse_field(t->error, "max_age_ms", "only for reads");
	if (t->has_max_age && r->transaction[0])
		return refuse_field(t->error, "max_age_ms",
				    "not inside a transaction");
	return 0;
}

/* Sets the deadline to "ms" milliseconds after the request's arrival. */
static void set_deadline(struct body_target *t, json_int_t ms)
{
	t->request->deadline = t->request->arrived_at + ms * USEC_PER_MSEC;
}

/* Returns whether a value nests deeper than "left" levels. */
static bool is_deeper(const json_t *v, int left)
{
	const char *key;
	json_t *child;
	size_t i;

	if (!json_is_object(v) && !json_is_array(v))
		return false;
	if (left == 0)
		return true;
	json_array_foreach(v, i, child)
	{
		if (is_deeper(child, left - 1))
			return true;
	}
	json_object_foreach((json_t *)v, key, child)
	{
		if (is_deeper(child, left - 1))
			return true;
	}
	return false;
}

/* Sets the error of a field, its name and what it must be; returns -1. */
static int refuse_field(struct error *e, const char *name, const char *bound)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_PARSE, NULL, "%.40s: %s",
			 name, bound);
}

/* Hashes a string with its NUL, so that "ab","c" differs from "a","bc". */
static void hash_string(crypto_generichash_state *h, const char *text)
{
	crypto_generichash_update(h, (const unsigned char *)text,
				  strlen(text) + 1);
}
