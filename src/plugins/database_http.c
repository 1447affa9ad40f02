#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/database.h"
#include "kernel/plugin.h"

#define REPLY_MAX_BYTES (8u << 20)

static int start(struct kernel *k, struct error *e);
static void submit(struct db_call *c);
static int fill_request(struct db_call *c);
static json_t *make_body(const struct db_call *c);
static int add_statement(json_t *o, const struct db_call *c);
static void on_reply(struct http_call *h);
static void read_reply(struct db_call *c, const struct http_call *h);
static void read_success(struct db_call *c, json_t *o);
static void read_error_reply(struct db_call *c, json_t *o, int status);
static bool read_status(struct db_status *s, json_t *o);
static bool read_lineage(struct lineage *l, json_t *a);
static bool read_u64(json_t *o, const char *key, uint64_t *out);

static struct plugin plugin = {
	.name = "database_http",
	.rank = RANK_DATABASE,
	.form = FORM_HTTP,
	.start = start,
};
PLUGIN_REGISTER(plugin)

static const struct database_ops http_ops = {
	.name = "http",
	.submit = submit,
};

/* Method, path and error step of each operation; %s is its only argument. */
static const struct {
	const char *method;
	const char *path;
	enum step step;
} operations[] = {
	[DB_EXECUTE] = { "POST", "execute", STEP_EXECUTE },
	[DB_BEGIN] = { "POST", "transactions", STEP_TX_BEGIN },
	[DB_COMMIT] = { "POST", "transactions/%s/commit", STEP_TX_COMMIT },
	[DB_ROLLBACK] = { "DELETE", "transactions/%s", STEP_TX_ROLLBACK },
	[DB_STATUS] = { "GET", "status", STEP_PROBE },
	[DB_FENCE] = { "POST", "fence", STEP_FENCE },
	[DB_PROMOTE] = { "POST", "promote", STEP_PROMOTE },
	[DB_FOLLOW] = { "POST", "follow", STEP_FOLLOW },
	[DB_LOOKUP] = { "GET", "requests/%s", STEP_RESOLVE },
};

/* Registers HTTP as the transport to databases. */
static int start(struct kernel *k, struct error *e)
{
	(void)k;
	(void)e;
	database_register(&http_ops);
	return 0;
}

/* Starts a call on its event loop. */
static void submit(struct db_call *c)
{
	struct http_call *h = &c->http;

	memset(h, 0, sizeof(*h));
	counter_add(c->op == DB_STATUS ? CTR_PROBES : CTR_DB_CALLS, 1);
	if (fill_request(c))
		h->url[0] = '\0'; /* makes the loop fail it without sending */
	h->body = c->body;
	h->body_len = c->body ? strlen(c->body) : 0;
	h->timeout = c->timeout;
	h->reply_max = REPLY_MAX_BYTES;
	h->new_connection = c->new_connection;
	h->done = on_reply;
	h->ctx = c;
	loop_http(c->loop, h);
}

/*
 * Fills in method, URL and body; returns -1 if the URL does not fit or the body
 * cannot be made. A write without a request id is not idempotent, so it must be
 * sent at most once.
 */
static int fill_request(struct db_call *c)
{
	struct http_call *h = &c->http;
	char path[HTTP_URL_BYTES];
	const char *arg = c->op == DB_LOOKUP ? c->request_id : c->transaction;
	bool writes = c->op == DB_COMMIT ||
		      (c->op == DB_EXECUTE && c->kind == KIND_WRITE);
	json_t *o;
	int n;

	h->method = operations[c->op].method;
	h->send_once = writes && !c->request_id[0];
	n = snprintf(path, sizeof(path), operations[c->op].path, arg);
	if (n < 0 || (size_t)n >= sizeof(path))
		return -1;
	n = snprintf(h->url, sizeof(h->url), "http://%s/v1/%s", c->address,
		     path);
	if (n < 0 || (size_t)n >= sizeof(h->url))
		return -1;
	if (strcmp(h->method, "POST") != 0)
		return 0;
	o = make_body(c);
	c->body = o ? json_dumps(o, JSON_COMPACT) : NULL;
	json_decref(o);
	return c->body ? 0 : -1;
}

/* Returns the JSON body of a POST; NULL if the parameters are not JSON. */
static json_t *make_body(const struct db_call *c)
{
	json_t *o = json_object();

	json_object_set_new(o, "term", json_integer((json_int_t)c->term));
	if (c->op == DB_FOLLOW)
		json_object_set_new(o, "primary", json_string(c->primary));
	if (c->op == DB_EXECUTE && add_statement(o, c)) {
		json_decref(o);
		return NULL;
	}
	if (c->request_id[0] && (c->op == DB_EXECUTE || c->op == DB_COMMIT)) {
		json_object_set_new(o, "request_id",
				    json_string(c->request_id));
		json_object_set_new(o, "body_hash", json_string(c->body_hash));
	}
	return o;
}

/* Adds the fields of a statement; returns -1 if the parameters are not JSON. */
static int add_statement(json_t *o, const struct db_call *c)
{
	const char *kind = c->kind == KIND_WRITE ? "write" : "read";
	json_t *p = c->parameters ? json_loads(c->parameters, 0, NULL)
				  : json_array();

	if (!p)
		return -1;
	json_object_set_new(o, "kind", json_string(kind));
	json_object_set_new(o, "statement", json_string(c->statement));
	json_object_set_new(o, "parameters", p);
	if (c->transaction[0])
		json_object_set_new(o, "transaction",
				    json_string(c->transaction));
	return 0;
}

/* Sets the call's result from the ended HTTP call and calls done(). */
static void on_reply(struct http_call *h)
{
	struct db_call *c = h->ctx;

	c->heard_at = clock_now();
	free(c->body);
	c->body = NULL;
	if (h->status == 0) {
		c->result = h->sent ? DB_LOST : DB_NOT_SENT;
		error_set(&c->error, h->timed_out ? ERR_TIMEOUT : ERR_REFUSED,
			  operations[c->op].step, c->address, "%s",
			  h->error_text);
	} else {
		read_reply(c, h);
	}
	c->done(c);
}

/*
 * Reads a reply. A call whose reply cannot be understood may have been
 * executed, so its result is DB_LOST, not DB_REFUSED.
 */
static void read_reply(struct db_call *c, const struct http_call *h)
{
	json_t *o = NULL;

	c->result = DB_LOST;
	if (h->reply)
		o = json_loadb(h->reply, h->reply_len, JSON_REJECT_DUPLICATES,
			       NULL);
	if (!json_is_object(o)) {
		error_set(&c->error, ERR_INTERNAL, operations[c->op].step,
			  c->address, "status %d without a JSON object",
			  h->status);
		json_decref(o);
		return;
	}
	c->has_status = read_status(&c->status, o);
	if (h->status != 200)
		read_error_reply(c, o, h->status);
	else
		read_success(c, o);
	json_decref(o);
}

/* Reads the fields of a successful reply that belong to its operation. */
static void read_success(struct db_call *c, json_t *o)
{
	json_t *v;

	if (!c->has_status) {
		error_set(&c->error, ERR_INTERNAL, operations[c->op].step,
			  c->address, "answer without a status");
		return;
	}
	v = json_object_get(o, "at");
	if (json_is_object(v) && (!read_u64(v, "term", &c->at.term) ||
				  !read_u64(v, "position", &c->at.position))) {
		error_set(&c->error, ERR_INTERNAL, operations[c->op].step,
			  c->address, "answer with a bad position");
		return;
	}
	v = json_object_get(o, "transaction");
	if (json_is_string(v))
		snprintf(c->new_transaction, sizeof(c->new_transaction), "%s",
			 json_string_value(v));
	if (c->op == DB_BEGIN && !c->new_transaction[0]) {
		error_set(&c->error, ERR_INTERNAL, STEP_TX_BEGIN, c->address,
			  "answer without a transaction");
		return;
	}
	c->result = DB_OK;
	c->replayed = json_is_true(json_object_get(o, "replayed"));
	c->found = json_is_true(json_object_get(o, "found"));
	v = json_object_get(o, "rows");
	if (json_is_array(v))
		c->rows = json_dumps(v, JSON_COMPACT);
}

/*
 * Reads an error reply. Only one with the outcome "not_run" is known to have
 * had no effect; any other leaves the result at DB_LOST.
 */
static void read_error_reply(struct db_call *c, json_t *o, int status)
{
	const char *out = json_string_value(json_object_get(o, "outcome"));
	const char *why = json_string_value(json_object_get(o, "reason"));

	if (!out || strcmp(out, "not_run") != 0) {
		error_set(&c->error, ERR_INTERNAL, operations[c->op].step,
			  c->address, "status %d without an outcome", status);
		return;
	}
	c->result = DB_REFUSED;
	c->refusal = refusal_from_name(why ? why : "");
	error_set(&c->error, ERR_REFUSED, operations[c->op].step, c->address,
		  "%s", why ? why : "no reason given");
}

/* Reads the status that is part of every reply; false if a field is missing. */
static bool read_status(struct db_status *s, json_t *o)
{
	const char *role = json_string_value(json_object_get(o, "role"));
	uint64_t stamp, running, slots;

	if (!role || !read_u64(o, "fence_term", &s->fence_term) ||
	    !read_u64(o, "log_term", &s->end.term) ||
	    !read_u64(o, "position", &s->end.position) ||
	    !read_u64(o, "stamp_term", &s->stamp_term) ||
	    !read_u64(o, "stamp_us", &stamp) ||
	    !read_u64(o, "running", &running) || !read_u64(o, "slots", &slots))
		return false;
	s->role = strcmp(role, "primary") == 0 ? ROLE_PRIMARY : ROLE_REPLICA;
	s->stamp_us = (int64_t)stamp;
	s->running = (uint32_t)running;
	s->slots = (uint32_t)slots;
	return read_lineage(&s->lineage, json_object_get(o, "lineage"));
}

/*
 * Reads the terms' start positions, [[term, start], ...], oldest first; returns
 * false if the list is malformed or longer than LINEAGE_MAX.
 */
static bool read_lineage(struct lineage *l, json_t *a)
{
	json_t *pair, *t, *p;
	size_t i;

	if (!json_is_array(a) || json_array_size(a) > LINEAGE_MAX)
		return false;
	l->n = (uint32_t)json_array_size(a);
	json_array_foreach(a, i, pair)
	{
		t = json_array_get(pair, 0);
		p = json_array_get(pair, 1);
		if (!json_is_integer(t) || !json_is_integer(p) ||
		    json_integer_value(t) < 0 || json_integer_value(p) < 0)
			return false;
		l->start[i].term = (uint64_t)json_integer_value(t);
		l->start[i].position = (uint64_t)json_integer_value(p);
	}
	return true;
}

/* Reads a non-negative integer; returns false if it is missing or malformed. */
static bool read_u64(json_t *o, const char *key, uint64_t *out)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}
