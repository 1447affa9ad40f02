#include "standin/database_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A parsed execute, begin or commit request. */
struct db_operation {
	struct dbstore_request request;
	struct statement statement;
	json_t *body;
	char transaction[DB_TX_ID_BYTES];
	bool is_begin;
	bool has_slot;
};

static bool pass_faults(struct http_request *r, http_handler retry_handler);
static bool is_silent(struct http_request *r);
static void release_response(struct http_request *r);
static void hold_silent(struct http_request *r);
static void route_request(struct http_request *r);
static void route_transaction(struct http_request *r, const char *rest);
static void parse_operation(struct http_request *r, struct db_operation *op);
static bool parse_statement(struct http_request *r, struct db_operation *op);
static void operation_free(void *data);
static void start_operation(struct http_request *r);
static void run_operation(struct http_request *r);
static void execute_operation(struct database *d, struct db_operation *op,
			      struct dbstore_response *resp,
			      char tx_id[DB_TX_ID_BYTES]);
static void reply_operation(struct http_request *r,
			    const struct db_operation *op,
			    const struct dbstore_response *resp,
			    const char *tx_id, json_t *status);
static void handle_rollback(struct http_request *r, const char *transaction);
static void handle_status(struct http_request *r);
static void handle_find_request(struct http_request *r, const char *id);
static json_t *current_status(struct database *d);

/*
 * Handles a new request: applies the faults, then the configured delay if it
 * is the first on its connection.
 */
void database_on_request(struct http_request *r)
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

/*
 * Tells whether to accept a connection: not while the "refuse" fault is set or
 * the connection limit is reached.
 */
bool database_can_accept(void *ctx, unsigned int open)
{
	struct database *d = ctx;
	long long limit = atomic_load(&d->faults.connections);

	if (atomic_load(&d->faults.refuse))
		return false;
	/*
	 * Allow for the connections of followers, which count against the limit
	 * until their first replication request.
	 */
	return limit == 0 || open < (unsigned long long)limit + DB_MAX;
}

/* Adds the fields of the status to a JSON object. The caller holds the lock. */
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

/*
 * Tells whether a request may proceed. Otherwise a fault has dropped or
 * deferred it; "retry_handler" resumes it after a pause.
 */
static bool pass_faults(struct http_request *r, http_handler retry_handler)
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

/* Tells whether the "silent" fault applies to the connection of a request. */
static bool is_silent(struct http_request *r)
{
	struct database *d = r->ctx;
	long long silent_before = atomic_load(&d->faults.silent_before);

	return r->conn_state && (long long)r->conn_state->seq < silent_before;
}

/* Sends a finished response, unless the connection has become silent. */
static void release_response(struct http_request *r)
{
	if (!is_silent(r))
		return;
	r->has_reply = false;
	hold_silent(r);
}

/*
 * Defers a request on a silent connection until the client closes it or the
 * fault ends, then drops it. What arrived during the fault counts as lost in
 * the network: it is never executed, and a response is never sent, even after
 * the fault ends.
 */
static void hold_silent(struct http_request *r)
{
	if (http_request_client_is_gone(r) || !is_silent(r))
		http_request_drop(r);
	else
		http_request_defer(r, monotonic_us() + SILENT_POLL_US, true,
				   hold_silent);
}

/* Passes a request to the handler of its path and method. */
static void route_request(struct http_request *r)
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

/*
 * Passes a request under /v1/transactions to its handler. "rest" is the
 * remaining path: empty, "/ID" or "/ID/commit".
 */
static void route_transaction(struct http_request *r, const char *rest)
{
	if (strcmp(r->method, "DELETE") == 0 && rest[0] == '/')
		handle_rollback(r, rest + 1);
	else if (strcmp(r->method, "POST") == 0)
		start_operation(r);
	else
		http_reply_text(r, 404, NULL);
}

/*
 * Parses the path and body of an execute, begin or commit request. Responds
 * with an error if they are invalid.
 */
static void parse_operation(struct http_request *r, struct db_operation *op)
{
	static const char prefix[] = "/v1/transactions/";
	const char *id = NULL;
	const char *end;

	op->body = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	if (!json_is_object(op->body)) {
		database_reply_not_run(r, DB_BAD_STATEMENT,
				       current_status(r->ctx));
		return;
	}
	op->request.term =
		(uint64_t)json_integer_value(json_object_get(op->body, "term"));
	op->request.request_id =
		json_string_value(json_object_get(op->body, "request_id"));
	op->request.body_hash =
		json_string_value(json_object_get(op->body, "body_hash"));
	if (strcmp(r->url, "/v1/transactions") == 0) {
		op->is_begin = true;
		return;
	}
	if (strncmp(r->url, prefix, sizeof(prefix) - 1) != 0) {
		if (!parse_statement(r, op))
			database_reply_not_run(r, DB_BAD_STATEMENT,
					       current_status(r->ctx));
		return;
	}
	id = r->url + sizeof(prefix) - 1;
	end = strchr(id, '/');
	if (!end || strcmp(end, "/commit") != 0 ||
	    (size_t)(end - id) >= sizeof(op->transaction)) {
		http_reply_text(r, 404, NULL);
		return;
	}
	memcpy(op->transaction, id, (size_t)(end - id));
	op->request.transaction = op->transaction;
}

/*
 * Parses the statement fields of the body. Returns false if one is missing or
 * invalid.
 */
static bool parse_statement(struct http_request *r, struct db_operation *op)
{
	const char *kind = json_string_value(json_object_get(op->body, "kind"));
	const char *text =
		json_string_value(json_object_get(op->body, "statement"));
	struct error e = { 0 };

	(void)r;
	if (!kind || !text)
		return false;
	if (strcmp(kind, "read") != 0 && strcmp(kind, "write") != 0)
		return false;
	op->request.kind = *kind == 'r' ? KIND_READ : KIND_WRITE;
	op->request.transaction =
		json_string_value(json_object_get(op->body, "transaction"));
	if (statement_parse(&op->statement, text,
			    json_object_get(op->body, "parameters"), &e))
		return false;
	op->request.statement = &op->statement;
	return true;
}

/* Frees a parsed request. */
static void operation_free(void *data)
{
	struct db_operation *op = data;

	statement_clear(&op->statement);
	json_decref(op->body);
	free(op);
}

/*
 * Parses a request, takes a statement slot and executes the request, now or
 * after the configured latency. Responds with DB_BUSY if no slot is free.
 */
static void start_operation(struct http_request *r)
{
	struct database *d = r->ctx;
	struct db_operation *op = xzalloc(sizeof(*op));
	long long slots = atomic_load(&d->faults.slots);
	long long latency = atomic_load(&d->faults.latency_us);

	r->handler_data = op;
	r->free_handler_data = operation_free;
	if (faults_consume(&d->faults.drop_requests)) {
		http_request_drop(r);
		return;
	}
	parse_operation(r, op);
	if (r->has_reply)
		return;
	if (atomic_fetch_add(&d->running, 1) >= slots && slots > 0) {
		atomic_fetch_sub(&d->running, 1);
		database_reply_not_run(r, DB_BUSY, current_status(d));
		return;
	}
	op->has_slot = true;
	if (latency > 0)
		http_request_defer(r, monotonic_us() + latency, false,
				   run_operation);
	else
		run_operation(r);
}

/*
 * Executes a parsed request, releases its slot and responds. While the
 * database is paused the request stays deferred with its slot.
 */
static void run_operation(struct http_request *r)
{
	struct database *d = r->ctx;
	struct db_operation *op = r->handler_data;
	char tx_id[DB_TX_ID_BYTES] = "";
	struct dbstore_response resp = { 0 };
	json_t *status = json_object();

	if (atomic_load(&d->faults.paused)) {
		json_decref(status);
		http_request_defer(r, monotonic_us() + PAUSE_POLL_US, true,
				   run_operation);
		return;
	}
	pthread_mutex_lock(&d->lock);
	execute_operation(d, op, &resp, tx_id);
	atomic_fetch_sub(&d->running, 1);
	op->has_slot = false;
	database_add_status(d, status);
	pthread_mutex_unlock(&d->lock);
	if (resp.pos.position && !resp.replayed)
		database_wake_followers(d);
	reply_operation(r, op, &resp, tx_id, status);
	if (resp.result == DB_OK && faults_consume(&d->faults.drop_replies))
		http_request_drop(r);
	release_response(r);
}

/* Runs a parsed request against the store. The caller holds the lock. */
static void execute_operation(struct database *d, struct db_operation *op,
			      struct dbstore_response *resp,
			      char tx_id[DB_TX_ID_BYTES])
{
	if (op->is_begin)
		resp->result = dbstore_begin(d->store, op->request.term,
					     monotonic_us(), tx_id);
	else if (op->request.statement)
		*resp = dbstore_execute(d->store, &op->request, monotonic_us(),
					wall_clock_us());
	else
		*resp = dbstore_commit(d->store, &op->request, monotonic_us(),
				       wall_clock_us());
}

/*
 * Sets the response of an executed request. Takes ownership of "status" and of
 * the rows.
 */
static void reply_operation(struct http_request *r,
			    const struct db_operation *op,
			    const struct dbstore_response *resp,
			    const char *tx_id, json_t *status)
{
	if (resp->result != DB_OK) {
		database_reply_not_run(r, resp->result, status);
		return;
	}
	if (op->is_begin) {
		json_object_set_new(status, "transaction", json_string(tx_id));
		http_reply_json(r, 200, status);
		return;
	}
	json_object_set_new(status, "outcome", json_string("done"));
	json_object_set_new(status, "rows", resp->rows);
	json_object_set_new(status, "replayed", json_boolean(resp->replayed));
	if (resp->pos.position)
		json_object_set_new(status, "at",
				    json_pack("{s:I,s:I}", "term",
					      (json_int_t)resp->pos.term,
					      "position",
					      (json_int_t)resp->pos.position));
	http_reply_json(r, 200, status);
}

/* Rolls back a transaction and responds with the status. */
static void handle_rollback(struct http_request *r, const char *transaction)
{
	struct database *d = r->ctx;

	pthread_mutex_lock(&d->lock);
	dbstore_rollback(d->store, transaction, 0);
	pthread_mutex_unlock(&d->lock);
	handle_status(r);
}

/* Responds with the status. */
static void handle_status(struct http_request *r)
{
	http_reply_json(r, 200, current_status(r->ctx));
}

/* Responds with the status and what is stored for a request id. */
static void handle_find_request(struct http_request *r, const char *id)
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
	http_reply_json(r, 200, j);
}

/* Returns the status as a new JSON object. Takes the lock. */
static json_t *current_status(struct database *d)
{
	json_t *j = json_object();

	pthread_mutex_lock(&d->lock);
	database_add_status(d, j);
	pthread_mutex_unlock(&d->lock);
	return j;
}
