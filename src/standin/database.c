#include "standin/database_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATABASE_THREADS 4

static int set_initial_role(struct database *d,
			    const struct database_options *o, struct error *e);
static void handle_control(struct http_request *r);
static void reply_control_state(struct database *d, struct http_request *r);
static void apply_control(struct http_request *r);

/*
 * Starts a database with its HTTP servers and follower thread. Returns NULL
 * with an error on failure.
 */
struct database *database_start(const struct database_options *o,
				struct error *e)
{
	struct database *d = xzalloc(sizeof(*d));
	struct dbstore_options store_options = {
		.name = o->name,
		.start_id = (uint64_t)wall_clock_us(),
		.log_max = o->log_max,
		.tx_idle_timeout = o->tx_idle_timeout
	};
	struct http_server_options server_options = {
		.listen = o->listen,
		.threads = DATABASE_THREADS,
		.connections = CONNECTIONS_MAX,
		.handle = database_on_request,
		.accept = database_can_accept,
		.ctx = d
	};
	struct http_server_options control_options = { .listen = o->control,
						       .threads = 1,
						       .connections = 64,
						       .handle = handle_control,
						       .ctx = d };

	snprintf(d->name, sizeof(d->name), "%s", o->name);
	snprintf(d->domain, sizeof(d->domain), "%s", o->domain);
	faults_init(&d->faults, &o->faults);
	pthread_mutex_init(&d->lock, NULL);
	pthread_cond_init(&d->follow_changed, NULL);
	d->store = dbstore_create(&store_options);
	if (set_initial_role(d, o, e))
		goto fail_store;
	if (pthread_create(&d->follower, NULL, database_follower_run, d) != 0) {
		error_set(e, ERR_SYSTEM, STEP_FOLLOW, NULL,
			  "cannot create the follower thread");
		goto fail_store;
	}
	d->server = http_server_start(&server_options, e);
	if (d->server)
		d->control_server = http_server_start(&control_options, e);
	if (d->control_server)
		return d;
	database_stop(d);
	return NULL;
fail_store:
	dbstore_destroy(d->store);
	free(d);
	return NULL;
}

/* Returns the address that serves statements and replication. */
const char *database_address(const struct database *d)
{
	return http_server_address(d->server);
}

/* Returns the address of the fault control server. */
const char *database_control_address(const struct database *d)
{
	return http_server_address(d->control_server);
}

/* Stops all threads and frees the database. Deferred requests are dropped. */
void database_stop(struct database *d)
{
	pthread_mutex_lock(&d->lock);
	d->stopping = true;
	pthread_cond_signal(&d->follow_changed);
	pthread_mutex_unlock(&d->lock);
	pthread_join(d->follower, NULL);
	if (d->control_server)
		http_server_stop(d->control_server);
	if (d->server)
		http_server_stop(d->server);
	pthread_mutex_destroy(&d->lock);
	pthread_cond_destroy(&d->follow_changed);
	dbstore_destroy(d->store);
	free(d);
}

/*
 * Makes the database primary or follower of the term in the options. Returns
 * 0, or -1 with SETTINGS.
 */
static int set_initial_role(struct database *d,
			    const struct database_options *o, struct error *e)
{
	enum dbstore_result r = DB_OK;

	if (o->term && o->primary) {
		r = dbstore_follow(d->store, o->term);
		d->follow_term = o->term;
		d->follow_generation = 1;
		snprintf(d->primary, sizeof(d->primary), "%s", o->primary);
	} else if (o->term) {
		r = dbstore_fence(d->store, o->term);
		if (r == DB_OK)
			r = dbstore_promote(d->store, o->term, wall_clock_us());
	}
	if (r == DB_OK)
		return 0;
	return error_set(e, ERR_SETTINGS, STEP_SETTINGS, o->name,
			 "cannot take the first role: %s",
			 dbstore_result_name(r));
}

/*
 * Handles a request to the control server: GET returns the fault controls and
 * the status; POST sets fault controls first.
 */
static void handle_control(struct http_request *r)
{
	struct database *d = r->ctx;
	struct error e = { 0 };
	json_t *j;
	int rc;

	if (strcmp(r->url, "/control") != 0) {
		http_reply_text(r, 404, NULL);
		return;
	}
	if (strcmp(r->method, "POST") != 0) {
		reply_control_state(d, r);
		return;
	}
	j = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	rc = faults_set(&d->faults, j, http_server_next_conn_seq(d->server),
			&e);
	json_decref(j);
	if (rc)
		http_reply_json(r, 400,
				json_pack("{s:s}", "message", e.message));
	else
		apply_control(r);
}

/* Responds with the fault controls and the status. */
static void reply_control_state(struct database *d, struct http_request *r)
{
	json_t *j = faults_to_json(&d->faults);

	json_object_set_new(j, "open_connections",
			    json_integer(http_server_n_connections(d->server)));
	json_object_set_new(j, "domain", json_string(d->domain));
	pthread_mutex_lock(&d->lock);
	json_object_set_new(
		j, "transactions",
		json_integer((json_int_t)dbstore_n_transactions(d->store)));
	database_add_status(d, j);
	pthread_mutex_unlock(&d->lock);
	http_reply_json(r, 200, j);
}

/*
 * Responds to a change of fault controls and resumes the deferred requests,
 * which the change may affect.
 */
static void apply_control(struct http_request *r)
{
	struct database *d = r->ctx;

	http_server_wake(d->server);
	reply_control_state(d, r);
}
