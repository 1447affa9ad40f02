#include "standin/database_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATABASE_THREADS 4

static int first_role(struct database *d, const struct database_options *o,
		      struct error *e);
static void on_control(struct web_request *r);
static void control_reply(struct database *d, struct web_request *r);
static void open_control(struct web_request *r);

/* Starts a database and its follower thread; NULL with an error. */
struct database *database_start(const struct database_options *o,
				struct error *e)
{
	struct database *d = must_alloc(sizeof(*d));
	struct dbstore_options so = { .name = o->name,
				      .boot = (uint64_t)web_wall_us(),
				      .log_max = o->log_max,
				      .transaction_idle = o->transaction_idle };
	struct web_options wo = { .listen = o->listen,
				  .threads = DATABASE_THREADS,
				  .connections = CONNECTION_HARD_MAX,
				  .handle = database_handle,
				  .accept = database_accept,
				  .ctx = d };
	struct web_options co = { .listen = o->control,
				  .threads = 1,
				  .connections = 64,
				  .handle = on_control,
				  .ctx = d };

	snprintf(d->name, sizeof(d->name), "%s", o->name);
	snprintf(d->domain, sizeof(d->domain), "%s", o->domain);
	faults_init(&d->faults, &o->faults);
	pthread_mutex_init(&d->lock, NULL);
	pthread_cond_init(&d->follow_changed, NULL);
	d->store = dbstore_create(&so);
	if (first_role(d, o, e))
		goto fail_store;
	if (pthread_create(&d->follower, NULL, database_follow_run, d) != 0) {
		error_set(e, ERR_SYSTEM, STEP_FOLLOW, NULL, "no thread");
		goto fail_store;
	}
	d->web = web_start(&wo, e);
	if (d->web)
		d->control = web_start(&co, e);
	if (d->control)
		return d;
	database_stop(d);
	return NULL;
fail_store:
	dbstore_destroy(d->store);
	free(d);
	return NULL;
}

const char *database_address(const struct database *d)
{
	return web_address(d->web);
}

const char *database_control(const struct database *d)
{
	return web_address(d->control);
}

/* Stops all threads; requests that wait are dropped. */
void database_stop(struct database *d)
{
	pthread_mutex_lock(&d->lock);
	d->stopping = true;
	pthread_cond_signal(&d->follow_changed);
	pthread_mutex_unlock(&d->lock);
	pthread_join(d->follower, NULL);
	if (d->control)
		web_stop(d->control);
	if (d->web)
		web_stop(d->web);
	pthread_mutex_destroy(&d->lock);
	pthread_cond_destroy(&d->follow_changed);
	dbstore_destroy(d->store);
	free(d);
}

/* Becomes primary or follower of the term that the options give. */
static int first_role(struct database *d, const struct database_options *o,
		      struct error *e)
{
	enum db_refusal r = DB_OK;

	if (o->term && o->primary) {
		r = dbstore_follow(d->store, o->term);
		d->follow_term = o->term;
		d->follow_seq = 1;
		snprintf(d->primary, sizeof(d->primary), "%s", o->primary);
	} else if (o->term) {
		r = dbstore_fence(d->store, o->term);
		if (r == DB_OK)
			r = dbstore_promote(d->store, o->term, web_wall_us());
	}
	if (r == DB_OK)
		return 0;
	return error_set(e, ERR_SETTINGS, STEP_SETTINGS, o->name,
			 "first role: %s", db_refusal_name(r));
}

/* GET tells the faults and the status; POST sets faults. */
static void on_control(struct web_request *r)
{
	struct database *d = r->ctx;
	struct error e = { 0 };
	json_t *j;
	int rc;

	if (strcmp(r->url, "/control") != 0) {
		web_reply_text(r, 404, NULL);
		return;
	}
	if (strcmp(r->method, "POST") != 0) {
		control_reply(d, r);
		return;
	}
	j = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	rc = faults_set(&d->faults, j, web_next_seq(d->web), &e);
	json_decref(j);
	if (rc)
		web_reply(r, 400, json_pack("{s:s}", "message", e.message));
	else
		open_control(r);
}

static void control_reply(struct database *d, struct web_request *r)
{
	json_t *j = faults_to_json(&d->faults);

	json_object_set_new(j, "open_connections",
			    json_integer(web_open(d->web)));
	json_object_set_new(j, "domain", json_string(d->domain));
	pthread_mutex_lock(&d->lock);
	json_object_set_new(
		j, "transactions",
		json_integer((json_int_t)dbstore_transactions(d->store)));
	database_status(d, j);
	pthread_mutex_unlock(&d->lock);
	web_reply(r, 200, j);
}

/* Answers a change, and has whatever it concerns looked at again. */
static void open_control(struct web_request *r)
{
	struct database *d = r->ctx;

	web_kick(d->web);
	control_reply(d, r);
}
