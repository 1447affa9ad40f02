#include "standin/database_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A parsed execute, begin or commit. */
struct call {
	struct db_call db;
	struct statement statement;
	json_t *body;
	char transaction[DB_TX_ID_BYTES];
	bool begin;
	bool has_slot;
};

static bool gate(struct web_request *r, web_handler again);
static bool is_silent(struct web_request *r);
static void answer(struct web_request *r);
static void park_silent(struct web_request *r);
static void dispatch(struct web_request *r);
static void route_transaction(struct web_request *r, const char *rest);
static void parse_call(struct web_request *r, struct call *c);
static bool parse_statement(struct web_request *r, struct call *c);
static void call_free(void *own);
static void start_call(struct web_request *r);
static void run_call(struct web_request *r);
static void run_store(struct database *d, struct call *c, struct db_answer *a,
		      char tx[DB_TX_ID_BYTES]);
static void call_reply(struct web_request *r, const struct call *c,
		       const struct db_answer *a, const char *tx,
		       json_t *status);
static void rollback(struct web_request *r, const char *transaction);
static void status_call(struct web_request *r);
static void request_call(struct web_request *r, const char *id);
static json_t *status_now(struct database *d);

/* The first look at a request: faults, then the cost of a new connection. */
void database_handle(struct web_request *r)
{
	struct database *d = r->ctx;
	long long cost = atomic_load(&d->faults.connect_us);

	if (!gate(r, database_handle))
		return;
	if (r->peer && !r->peer->seen) {
		r->peer->seen = true;
		if (cost > 0) {
			web_later(r, web_now() + cost, false, dispatch);
			return;
		}
	}
	dispatch(r);
}

/* Takes a connection unless it refuses all or has enough. */
bool database_accept(void *ctx, unsigned int open)
{
	struct database *d = ctx;
	long long most = atomic_load(&d->faults.connections);

	if (atomic_load(&d->faults.refuse))
		return false;
	/* Followers' connections show only once they have asked. */
	return most == 0 || open < (unsigned long long)most + DB_MAX;
}

/* Adds the fields of a status to an object. */
void database_status(struct database *d, json_t *into)
{
	json_t *lineage = json_array();
	struct db_view v;
	uint32_t i;

	dbstore_view(d->store, web_wall_us(), &v);
	for (i = 0; i < v.lineage.n; i++)
		json_array_append_new(
			lineage,
			json_pack("[I,I]", (json_int_t)v.lineage.start[i].term,
				  (json_int_t)v.lineage.start[i].position));
	json_object_set_new(into, "name", json_string(d->name));
	json_object_set_new(into, "fence_term",
			    json_integer((json_int_t)v.fence_term));
	json_object_set_new(
		into, "role",
		json_string(v.role == ROLE_PRIMARY ? "primary" : "replica"));
	json_object_set_new(into, "log_term",
			    json_integer((json_int_t)v.end.term));
	json_object_set_new(into, "position",
			    json_integer((json_int_t)v.end.position));
	json_object_set_new(into, "lineage", lineage);
	json_object_set_new(into, "stamp_term",
			    json_integer((json_int_t)v.stamp_term));
	json_object_set_new(into, "stamp_us", json_integer(v.stamp_us));
	json_object_set_new(into, "running",
			    json_integer(atomic_load(&d->running)));
	json_object_set_new(into, "slots",
			    json_integer(atomic_load(&d->faults.slots)));
}

/* False if a fault holds or has dropped the request. */
static bool gate(struct web_request *r, web_handler again)
{
	struct database *d = r->ctx;

	if (atomic_load(&d->faults.refuse)) {
		web_drop(r);
		return false;
	}
	if (is_silent(r)) {
		park_silent(r);
		return false;
	}
	if (atomic_load(&d->faults.paused)) {
		web_later(r, web_now() + PAUSE_CHECK_US, true, again);
		return false;
	}
	return true;
}

static bool is_silent(struct web_request *r)
{
	struct database *d = r->ctx;
	long long before = atomic_load(&d->faults.silent_before);

	return r->peer && (long long)r->peer->seq < before;
}

/* Lets a finished answer out, unless its connection has gone silent. */
static void answer(struct web_request *r)
{
	if (!is_silent(r))
		return;
	r->ready = false;
	park_silent(r);
}

/*
 * Whatever came over a silent connection was lost on its way: it is neither
 * executed nor answered, also when the silence ends.
 */
static void park_silent(struct web_request *r)
{
	if (web_client_gone(r) || !is_silent(r))
		web_drop(r);
	else
		web_later(r, web_now() + SILENT_CHECK_US, true, park_silent);
}

static void dispatch(struct web_request *r)
{
	static const char tx[] = "/v1/transactions";
	static const char requests[] = "/v1/requests/";
	bool get = strcmp(r->method, "GET") == 0;
	bool post = strcmp(r->method, "POST") == 0;

	if (get && strcmp(r->url, "/v1/status") == 0)
		status_call(r);
	else if (get && strcmp(r->url, "/v1/log") == 0)
		database_log(r);
	else if (get && strncmp(r->url, requests, sizeof(requests) - 1) == 0)
		request_call(r, r->url + sizeof(requests) - 1);
	else if (post && strcmp(r->url, "/v1/execute") == 0)
		start_call(r);
	else if (strncmp(r->url, tx, sizeof(tx) - 1) == 0)
		route_transaction(r, r->url + sizeof(tx) - 1);
	else if (post)
		database_order(r);
	else
		web_reply_text(r, 404, NULL);
	if (r->ready)
		answer(r);
}

/* "rest" is empty, "/X" or "/X/commit". */
static void route_transaction(struct web_request *r, const char *rest)
{
	if (strcmp(r->method, "DELETE") == 0 && rest[0] == '/')
		rollback(r, rest + 1);
	else if (strcmp(r->method, "POST") == 0)
		start_call(r);
	else
		web_reply_text(r, 404, NULL);
}

/* Reads the body and the path; on a fault the request is answered. */
static void parse_call(struct web_request *r, struct call *c)
{
	static const char prefix[] = "/v1/transactions/";
	const char *id = NULL;
	const char *end;

	c->body = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	if (!json_is_object(c->body)) {
		database_refuse(r, DB_BAD_STATEMENT, status_now(r->ctx));
		return;
	}
	c->db.term =
		(uint64_t)json_integer_value(json_object_get(c->body, "term"));
	c->db.request_id =
		json_string_value(json_object_get(c->body, "request_id"));
	c->db.body_hash =
		json_string_value(json_object_get(c->body, "body_hash"));
	if (strcmp(r->url, "/v1/transactions") == 0) {
		c->begin = true;
		return;
	}
	if (strncmp(r->url, prefix, sizeof(prefix) - 1) != 0) {
		if (!parse_statement(r, c))
			database_refuse(r, DB_BAD_STATEMENT,
					status_now(r->ctx));
		return;
	}
	id = r->url + sizeof(prefix) - 1;
	end = strchr(id, '/');
	if (!end || strcmp(end, "/commit") != 0 ||
	    (size_t)(end - id) >= sizeof(c->transaction)) {
		web_reply_text(r, 404, NULL);
		return;
	}
	memcpy(c->transaction, id, (size_t)(end - id));
	c->db.transaction = c->transaction;
}

static bool parse_statement(struct web_request *r, struct call *c)
{
	const char *kind = json_string_value(json_object_get(c->body, "kind"));
	const char *text =
		json_string_value(json_object_get(c->body, "statement"));
	struct error e = { 0 };

	(void)r;
	if (!kind || !text)
		return false;
	if (strcmp(kind, "read") != 0 && strcmp(kind, "write") != 0)
		return false;
	c->db.kind = *kind == 'r' ? KIND_READ : KIND_WRITE;
	c->db.transaction =
		json_string_value(json_object_get(c->body, "transaction"));
	if (statement_parse(&c->statement, text,
			    json_object_get(c->body, "parameters"), &e))
		return false;
	c->db.statement = &c->statement;
	return true;
}

static void call_free(void *own)
{
	struct call *c = own;

	statement_clear(&c->statement);
	json_decref(c->body);
	free(c);
}

/* Takes a slot, and runs the call now or after the set latency. */
static void start_call(struct web_request *r)
{
	struct database *d = r->ctx;
	struct call *c = must_alloc(sizeof(*c));
	long long slots = atomic_load(&d->faults.slots);
	long long latency = atomic_load(&d->faults.latency_us);

	r->own = c;
	r->free_own = call_free;
	if (faults_take(&d->faults.drop_requests)) {
		web_drop(r);
		return;
	}
	parse_call(r, c);
	if (r->ready)
		return;
	if (atomic_fetch_add(&d->running, 1) >= slots && slots > 0) {
		atomic_fetch_sub(&d->running, 1);
		database_refuse(r, DB_BUSY, status_now(d));
		return;
	}
	c->has_slot = true;
	if (latency > 0)
		web_later(r, web_now() + latency, false, run_call);
	else
		run_call(r);
}

static void run_call(struct web_request *r)
{
	struct database *d = r->ctx;
	struct call *c = r->own;
	char tx[DB_TX_ID_BYTES] = "";
	struct db_answer a = { 0 };
	json_t *status = json_object();

	if (atomic_load(&d->faults.paused)) {
		json_decref(status);
		web_later(r, web_now() + PAUSE_CHECK_US, true, run_call);
		return;
	}
	pthread_mutex_lock(&d->lock);
	run_store(d, c, &a, tx);
	atomic_fetch_sub(&d->running, 1);
	c->has_slot = false;
	database_status(d, status);
	pthread_mutex_unlock(&d->lock);
	if (a.at.position && !a.replayed)
		database_kick_log(d);
	call_reply(r, c, &a, tx, status);
	if (a.refusal == DB_OK && faults_take(&d->faults.drop_replies))
		web_drop(r);
	answer(r);
}

static void run_store(struct database *d, struct call *c, struct db_answer *a,
		      char tx[DB_TX_ID_BYTES])
{
	if (c->begin)
		a->refusal = dbstore_begin(d->store, c->db.term, web_now(), tx);
	else if (c->db.statement)
		*a = dbstore_execute(d->store, &c->db, web_now(),
				     web_wall_us());
	else
		*a = dbstore_commit(d->store, &c->db, web_now(), web_wall_us());
}

/* Takes "status" and the answer's rows over. */
static void call_reply(struct web_request *r, const struct call *c,
		       const struct db_answer *a, const char *tx,
		       json_t *status)
{
	if (a->refusal != DB_OK) {
		database_refuse(r, a->refusal, status);
		return;
	}
	if (c->begin) {
		json_object_set_new(status, "transaction", json_string(tx));
		web_reply(r, 200, status);
		return;
	}
	json_object_set_new(status, "outcome", json_string("done"));
	json_object_set_new(status, "rows", a->rows);
	json_object_set_new(status, "replayed", json_boolean(a->replayed));
	if (a->at.position)
		json_object_set_new(
			status, "at",
			json_pack("{s:I,s:I}", "term", (json_int_t)a->at.term,
				  "position", (json_int_t)a->at.position));
	web_reply(r, 200, status);
}

static void rollback(struct web_request *r, const char *transaction)
{
	struct database *d = r->ctx;

	pthread_mutex_lock(&d->lock);
	dbstore_rollback(d->store, transaction, 0);
	pthread_mutex_unlock(&d->lock);
	status_call(r);
}

static void status_call(struct web_request *r)
{
	web_reply(r, 200, status_now(r->ctx));
}

static void request_call(struct web_request *r, const char *id)
{
	struct database *d = r->ctx;
	json_t *j = json_object();
	json_t *rows = NULL;
	char *hash = NULL;
	struct log_pos at;
	bool found;

	pthread_mutex_lock(&d->lock);
	found = dbstore_request(d->store, id, &at, &rows, &hash);
	database_status(d, j);
	pthread_mutex_unlock(&d->lock);
	json_object_set_new(j, "found", json_boolean(found));
	if (found) {
		json_object_set_new(j, "body_hash", json_string(hash));
		json_object_set_new(j, "rows", rows);
		json_object_set_new(j, "at",
				    json_pack("{s:I,s:I}", "term",
					      (json_int_t)at.term, "position",
					      (json_int_t)at.position));
	}
	free(hash);
	web_reply(r, 200, j);
}

static json_t *status_now(struct database *d)
{
	json_t *j = json_object();

	pthread_mutex_lock(&d->lock);
	database_status(d, j);
	pthread_mutex_unlock(&d->lock);
	return j;
}
