#include "standin/database_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A parsed execute, begin or commit. */
struct db_operation {
	struct dbstore_request request;
	struct statement statement;
	json_t *body;
	char transaction[DB_TX_ID_BYTES];
	bool is_begin;
	bool has_slot;
};

static bool pass_faults(struct web_request *r, http_handler retry_handler);
static bool is_silent(struct web_request *r);
static void release_response(struct web_request *r);
static void hold_silent(struct web_request *r);
static void route_request(struct web_request *r);
static void route_transaction(struct web_request *r, const char *rest);
static void parse_operation(struct web_request *r, struct db_operation *c);
static bool parse_statement(struct web_request *r, struct db_operation *c);
static void operation_free(void *data);
static void start_operation(struct web_request *r);
static void run_operation(struct web_request *r);
static void execute_operation(struct database *d, struct db_operation *c,
			      struct dbstore_response *a,
			      char tx_id[DB_TX_ID_BYTES]);
static void reply_operation(struct web_request *r, const struct db_operation *c,
			    const struct dbstore_response *a, const char *tx_id,
			    json_t *status);
static void handle_rollback(struct web_request *r, const char *transaction);
static void handle_status(struct web_request *r);
static void handle_find_request(struct web_request *r, const char *id);
static json_t *current_status(struct database *d);

/* The first look at a request: faults, then the cost of a new connection. */
void database_on_request(struct web_request *r)
{
	struct database *d = r->ctx;
	long long delay = atomic_load(&d->faults.connect_us);

	if (!pass_faults(r, database_on_request))
		return;
	if (r->conn_state && !r->conn_state->has_sent_request) {
		r->conn_state->has_sent_request = true;
		if (delay > 0) {
			http_request_defer(r, monotonic_us() + delay, false,
					   route_request);
			return;
		}
	}
	route_request(r);
}

/* Takes a connection unless it refuses all or has enough. */
bool database_can_accept(void *ctx, unsigned int open)
{
	struct database *d = ctx;
	long long limit = atomic_load(&d->faults.connections);

	if (atomic_load(&d->faults.refuse))
		return false;
	/* Followers' connections show only once they have asked. */
	return limit == 0 || open < (unsigned long long)limit + DB_MAX;
}

/* Adds the fields of a status to an object. */
void database_add_status(struct database *d, json_t *status)
{
	json_t *lineage = json_array();
	struct db_view v;
	uint32_t i;

	dbstore_status(d->store, wall_clock_us(), &v);
	for (i = 0; i < v.lineage.n; i++)
		json_array_append_new(
			lineage,
			json_pack("[I,I]", (json_int_t)v.lineage.start[i].term,
				  (json_int_t)v.lineage.start[i].position));
	json_object_set_new(status, "name", json_string(d->name));
	json_object_set_new(status, "fence_term",
			    json_integer((json_int_t)v.fence_term));
	json_object_set_new(
		status, "role",
		json_string(v.role == ROLE_PRIMARY ? "primary" : "replica"));
	json_object_set_new(status, "log_term",
			    json_integer((json_int_t)v.end.term));
	json_object_set_new(status, "position",
			    json_integer((json_int_t)v.end.position));
	json_object_set_new(status, "lineage", lineage);
	json_object_set_new(status, "stamp_term",
			    json_integer((json_int_t)v.stamp_term));
	json_object_set_new(status, "stamp_us", json_integer(v.stamp_us));
	json_object_set_new(status, "running",
			    json_integer(atomic_load(&d->running)));
	json_object_set_new(status, "slots",
			    json_integer(atomic_load(&d->faults.slots)));
}

/* False if a fault holds or has dropped the request. */
static bool pass_faults(struct web_request *r, http_handler retry_handler)
{
	struct database *d = r->ctx;

	if (atomic_load(&d->faults.refuse)) {
		http_request_drop(r);
		return false;
	}
	if (is_silent(r)) {
		hold_silent(r);
		return false;
	}
	if (atomic_load(&d->faults.paused)) {
		http_request_defer(r, monotonic_us() + PAUSE_POLL_US, true,
				   retry_handler);
		return false;
	}
	return true;
}

static bool is_silent(struct web_request *r)
{
	struct database *d = r->ctx;
	long long silent_before = atomic_load(&d->faults.silent_before);

	return r->conn_state && (long long)r->conn_state->seq < silent_before;
}

/* Lets a finished answer out, unless its connection has gone silent. */
static void release_response(struct web_request *r)
{
	if (!is_silent(r))
		return;
	r->has_reply = false;
	hold_silent(r);
}

/*
 * Whatever came over a silent connection was lost on its way: it is neither
 * executed nor answered, also when the silence ends.
 */
static void hold_silent(struct web_request *r)
{
	if (http_request_client_is_gone(r) || !is_silent(r))
		http_request_drop(r);
	else
		http_request_defer(r, monotonic_us() + SILENT_POLL_US, true,
				   hold_silent);
}

static void route_request(struct web_request *r)
{
	static const char tx_path[] = "/v1/transactions";
	static const char requests[] = "/v1/requests/";
	bool get = strcmp(r->method, "GET") == 0;
	bool post = strcmp(r->method, "POST") == 0;

	if (get && strcmp(r->url, "/v1/status") == 0)
		handle_status(r);
	else if (get && strcmp(r->url, "/v1/log") == 0)
		database_read_log(r);
	else if (get && strncmp(r->url, requests, sizeof(requests) - 1) == 0)
		handle_find_request(r, r->url + sizeof(requests) - 1);
	else if (post && strcmp(r->url, "/v1/execute") == 0)
		start_operation(r);
	else if (strncmp(r->url, tx_path, sizeof(tx_path) - 1) == 0)
		route_transaction(r, r->url + sizeof(tx_path) - 1);
	else if (post)
		database_change_role(r);
	else
		http_reply_text(r, 404, NULL);
	if (r->has_reply)
		release_response(r);
}

/* "rest" is empty, "/X" or "/X/commit". */
static void route_transaction(struct web_request *r, const char *rest)
{
	if (strcmp(r->method, "DELETE") == 0 && rest[0] == '/')
		handle_rollback(r, rest + 1);
	else if (strcmp(r->method, "POST") == 0)
		start_operation(r);
	else
		http_reply_text(r, 404, NULL);
}

/* Reads the body and the path; on a fault the request is answered. */
static void parse_operation(struct web_request *r, struct db_operation *c)
{
	static const char prefix[] = "/v1/transactions/";
	const char *id = NULL;
	const char *end;

	c->body = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	if (!json_is_object(c->body)) {
		database_reply_not_run(r, DB_BAD_STATEMENT,
				       current_status(r->ctx));
		return;
	}
	c->request.term =
		(uint64_t)json_integer_value(json_object_get(c->body, "term"));
	c->request.request_id =
		json_string_value(json_object_get(c->body, "request_id"));
	c->request.body_hash =
		json_string_value(json_object_get(c->body, "body_hash"));
	if (strcmp(r->url, "/v1/transactions") == 0) {
		c->is_begin = true;
		return;
	}
	if (strncmp(r->url, prefix, sizeof(prefix) - 1) != 0) {
		if (!parse_statement(r, c))
			database_reply_not_run(r, DB_BAD_STATEMENT,
					       current_status(r->ctx));
		return;
	}
	id = r->url + sizeof(prefix) - 1;
	end = strchr(id, '/');
	if (!end || strcmp(end, "/commit") != 0 ||
	    (size_t)(end - id) >= sizeof(c->transaction)) {
		http_reply_text(r, 404, NULL);
		return;
	}
	memcpy(c->transaction, id, (size_t)(end - id));
	c->request.transaction = c->transaction;
}

static bool parse_statement(struct web_request *r, struct db_operation *c)
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
	c->request.kind = *kind == 'r' ? KIND_READ : KIND_WRITE;
	c->request.transaction =
		json_string_value(json_object_get(c->body, "transaction"));
	if (statement_parse(&c->statement, text,
			    json_object_get(c->body, "parameters"), &e))
		return false;
	c->request.statement = &c->statement;
	return true;
}

static void operation_free(void *data)
{
	struct db_operation *c = data;

	statement_clear(&c->statement);
	json_decref(c->body);
	free(c);
}

/* Takes a slot, and runs the call now or after the set latency. */
static void start_operation(struct web_request *r)
{
	struct database *d = r->ctx;
	struct db_operation *c = xzalloc(sizeof(*c));
	long long slots = atomic_load(&d->faults.slots);
	long long latency = atomic_load(&d->faults.latency_us);

	r->handler_data = c;
	r->free_handler_data = operation_free;
	if (faults_consume(&d->faults.drop_requests)) {
		http_request_drop(r);
		return;
	}
	parse_operation(r, c);
	if (r->has_reply)
		return;
	if (atomic_fetch_add(&d->running, 1) >= slots && slots > 0) {
		atomic_fetch_sub(&d->running, 1);
		database_reply_not_run(r, DB_BUSY, current_status(d));
		return;
	}
	c->has_slot = true;
	if (latency > 0)
		http_request_defer(r, monotonic_us() + latency, false,
				   run_operation);
	else
		run_operation(r);
}

static void run_operation(struct web_request *r)
{
	struct database *d = r->ctx;
	struct db_operation *c = r->handler_data;
	char tx_id[DB_TX_ID_BYTES] = "";
	struct dbstore_response a = { 0 };
	json_t *status = json_object();

	if (atomic_load(&d->faults.paused)) {
		json_decref(status);
		http_request_defer(r, monotonic_us() + PAUSE_POLL_US, true,
				   run_operation);
		return;
	}
	pthread_mutex_lock(&d->lock);
	execute_operation(d, c, &a, tx_id);
	atomic_fetch_sub(&d->running, 1);
	c->has_slot = false;
	database_add_status(d, status);
	pthread_mutex_unlock(&d->lock);
	if (a.pos.position && !a.replayed)
		database_wake_followers(d);
	reply_operation(r, c, &a, tx_id, status);
	if (a.result == DB_OK && faults_consume(&d->faults.drop_replies))
		http_request_drop(r);
	release_response(r);
}

static void execute_operation(struct database *d, struct db_operation *c,
			      struct dbstore_response *a,
			      char tx_id[DB_TX_ID_BYTES])
{
	if (c->is_begin)
		a->result = dbstore_begin(d->store, c->request.term,
					  monotonic_us(), tx_id);
	else if (c->request.statement)
		*a = dbstore_execute(d->store, &c->request, monotonic_us(),
				     wall_clock_us());
	else
		*a = dbstore_commit(d->store, &c->request, monotonic_us(),
				    wall_clock_us());
}

/* Takes "status" and the answer's rows over. */
static void reply_operation(struct web_request *r, const struct db_operation *c,
			    const struct dbstore_response *a, const char *tx_id,
			    json_t *status)
{
	if (a->result != DB_OK) {
		database_reply_not_run(r, a->result, status);
		return;
	}
	if (c->is_begin) {
		json_object_set_new(status, "transaction", json_string(tx_id));
		web_reply(r, 200, status);
		return;
	}
	json_object_set_new(status, "outcome", json_string("done"));
	json_object_set_new(status, "rows", a->rows);
	json_object_set_new(status, "replayed", json_boolean(a->replayed));
	if (a->pos.position)
		json_object_set_new(
			status, "at",
			json_pack("{s:I,s:I}", "term", (json_int_t)a->pos.term,
				  "position", (json_int_t)a->pos.position));
	web_reply(r, 200, status);
}

static void handle_rollback(struct web_request *r, const char *transaction)
{
	struct database *d = r->ctx;

	pthread_mutex_lock(&d->lock);
	dbstore_rollback(d->store, transaction, 0);
	pthread_mutex_unlock(&d->lock);
	handle_status(r);
}

static void handle_status(struct web_request *r)
{
	web_reply(r, 200, current_status(r->ctx));
}

static void handle_find_request(struct web_request *r, const char *id)
{
	struct database *d = r->ctx;
	json_t *j = json_object();
	json_t *rows = NULL;
	char *hash = NULL;
	struct log_pos at;
	bool found;

	pthread_mutex_lock(&d->lock);
	found = dbstore_find_request(d->store, id, &at, &rows, &hash);
	database_add_status(d, j);
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

static json_t *current_status(struct database *d)
{
	json_t *j = json_object();

	pthread_mutex_lock(&d->lock);
	database_add_status(d, j);
	pthread_mutex_unlock(&d->lock);
	return j;
}
