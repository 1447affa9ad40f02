#include "standin/database_internal.h"

#include <stdio.h>
#include <string.h>

static enum db_refusal run_order(struct database *d, struct web_request *r,
				 uint64_t term, const char *primary);
static void log_call(struct web_request *r);

/* fence, promote and follow */
void database_order(struct web_request *r)
{
	struct database *d = r->ctx;
	json_t *j = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	json_int_t term = json_integer_value(json_object_get(j, "term"));
	const char *primary = json_string_value(json_object_get(j, "primary"));
	json_t *status = json_object();
	enum db_refusal why = DB_BAD_STATEMENT;

	pthread_mutex_lock(&d->lock);
	if (term > 0)
		why = run_order(d, r, (uint64_t)term, primary);
	database_status(d, status);
	pthread_mutex_unlock(&d->lock);
	json_decref(j);
	if (r->ready) {
		json_decref(status);
		return;
	}
	database_kick_log(d);
	if (why == DB_OK)
		web_reply(r, 200, status);
	else
		database_refuse(r, why, status);
}

/* A follower asks: its connection is not one of the limited ones. */
void database_log(struct web_request *r)
{
	struct database *d = r->ctx;
	uint64_t wait = web_number(r, "wait_ms", 0);

	web_uncount(r);
	if (wait > LOG_WAIT_MS)
		wait = LOG_WAIT_MS;
	r->due = web_now() + (usec_t)wait * USEC_PER_MSEC;
	atomic_fetch_add(&d->log_waiters, 1);
	log_call(r);
}

/* Takes "status" over. */
void database_refuse(struct web_request *r, enum db_refusal why, json_t *status)
{
	int code = why == DB_BAD_STATEMENT ? 400 : why == DB_BUSY ? 503 : 409;

	json_object_set_new(status, "outcome", json_string("not_run"));
	json_object_set_new(status, "reason",
			    json_string(db_refusal_name(why)));
	web_reply(r, code, status);
}

/* Wakes the followers' calls that wait, if there are any. */
void database_kick_log(struct database *d)
{
	if (atomic_load(&d->log_waiters) > 0)
		web_kick(d->web);
}

/* Lock held; answers 404 by itself to what is no order. */
static enum db_refusal run_order(struct database *d, struct web_request *r,
				 uint64_t term, const char *primary)
{
	enum db_refusal why;

	if (strcmp(r->url, "/v1/fence") == 0)
		return dbstore_fence(d->store, term);
	if (strcmp(r->url, "/v1/promote") == 0)
		return dbstore_promote(d->store, term, web_wall_us());
	if (strcmp(r->url, "/v1/follow") != 0) {
		web_reply_text(r, 404, NULL);
		return DB_BAD_STATEMENT;
	}
	if (!primary || strlen(primary) >= sizeof(d->primary))
		return DB_BAD_STATEMENT;
	why = dbstore_follow(d->store, term);
	if (why != DB_OK)
		return why;
	d->follow_term = term;
	d->follow_seq++;
	snprintf(d->primary, sizeof(d->primary), "%s", primary);
	pthread_cond_signal(&d->follow_changed);
	return DB_OK;
}

/* Answers once there is an entry, or at the end of the wait. */
static void log_call(struct web_request *r)
{
	struct database *d = r->ctx;
	struct log_pos after = { .term = web_number(r, "last_term", 0),
				 .position = web_number(r, "after", 0) };
	usec_t due = r->due;
	json_t *out = NULL;
	enum db_refusal why;
	uint64_t cut;

	if (atomic_load(&d->faults.cut_replication)) {
		atomic_fetch_sub(&d->log_waiters, 1);
		web_drop(r);
		return;
	}
	pthread_mutex_lock(&d->lock);
	why = dbstore_log_read(d->store, web_number(r, "term", 0), after,
			       LOG_BATCH, web_wall_us(), &out, &cut);
	pthread_mutex_unlock(&d->lock);
	if (why == DB_OK && !json_object_get(out, "reset") &&
	    json_array_size(json_object_get(out, "entries")) == 0 &&
	    web_now() < due) {
		json_decref(out);
		web_later(r, due, true, log_call);
		return;
	}
	atomic_fetch_sub(&d->log_waiters, 1);
	if (why == DB_OK) {
		web_reply(r, 200, out);
		return;
	}
	out = json_pack("{s:s,s:s}", "outcome", "not_run", "reason",
			db_refusal_name(why));
	if (why == DB_NOT_ON_LOG)
		json_object_set_new(out, "cut", json_integer((json_int_t)cut));
	web_reply(r, 409, out);
}
