#include "standin/database_internal.h"

#include <stdio.h>
#include <string.h>

static enum dbstore_result apply_role_change(struct database *d,
					     struct http_request *r,
					     uint64_t term,
					     const char *primary);
static void serve_log(struct http_request *r);

/*
 * Handles a fence, promote or follow request, then wakes the waiting log
 * requests, which may now have to be refused. Responds with the status.
 */
void database_change_role(struct http_request *r)
{
	struct database *d = r->ctx;
	json_t *j = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	json_int_t term = json_integer_value(json_object_get(j, "term"));
	const char *primary = json_string_value(json_object_get(j, "primary"));
	json_t *status = json_object();
	enum dbstore_result result = DB_BAD_STATEMENT;

	pthread_mutex_lock(&d->lock);
	if (term > 0)
		result = apply_role_change(d, r, (uint64_t)term, primary);
	database_add_status(d, status);
	pthread_mutex_unlock(&d->lock);
	json_decref(j);
	if (r->has_reply) {
		json_decref(status);
		return;
	}
	database_wake_followers(d);
	if (result == DB_OK)
		http_reply_json(r, 200, status);
	else
		database_reply_not_run(r, result, status);
}

/*
 * Handles a follower's request for log entries, which waits up to "wait_ms"
 * for new ones. The connection does not count against the connection limit.
 */
void database_read_log(struct http_request *r)
{
	struct database *d = r->ctx;
	uint64_t wait = http_request_query_u64(r, "wait_ms", 0);

	http_request_uncount_conn(r);
	if (wait > LOG_WAIT_MAX_MS)
		wait = LOG_WAIT_MAX_MS;
	r->due = monotonic_us() + (usec_t)wait * USEC_PER_MSEC;
	atomic_fetch_add(&d->log_waiters, 1);
	serve_log(r);
}

/*
 * Responds that a request was not executed, with the reason and the status.
 * Takes ownership of "status".
 */
void database_reply_not_run(struct http_request *r, enum dbstore_result result,
			    json_t *status)
{
	int code = result == DB_BAD_STATEMENT ? 400
		   : result == DB_BUSY	      ? 503
					      : 409;

	json_object_set_new(status, "outcome", json_string("not_run"));
	json_object_set_new(status, "reason",
			    json_string(dbstore_result_name(result)));
	http_reply_json(r, code, status);
}

/* Wakes the followers' requests that wait for log entries, if there are any. */
void database_wake_followers(struct database *d)
{
	if (atomic_load(&d->log_waiters) > 0)
		http_server_wake(d->server);
}

/*
 * Applies a fence, promote or follow request. Responds with 404 itself if the
 * path is none of these. The caller holds the lock.
 */
static enum dbstore_result apply_role_change(struct database *d,
					     struct http_request *r,
					     uint64_t term, const char *primary)
{
	enum dbstore_result result;

	if (strcmp(r->url, "/v1/fence") == 0)
		return dbstore_fence(d->store, term);
	if (strcmp(r->url, "/v1/promote") == 0)
		return dbstore_promote(d->store, term, wall_clock_us());
	if (strcmp(r->url, "/v1/follow") != 0) {
		http_reply_text(r, 404, NULL);
		return DB_BAD_STATEMENT;
	}
	if (!primary || strlen(primary) >= sizeof(d->primary))
		return DB_BAD_STATEMENT;
	result = dbstore_follow(d->store, term);
	if (result != DB_OK)
		return result;
	d->follow_term = term;
	d->follow_generation++;
	snprintf(d->primary, sizeof(d->primary), "%s", primary);
	pthread_cond_signal(&d->follow_changed);
	return DB_OK;
}

/*
 * Responds to a log request once there is an entry or the wait is over;
 * otherwise defers it.
 */
static void serve_log(struct http_request *r)
{
	struct database *d = r->ctx;
	struct log_pos after = {
		.term = http_request_query_u64(r, "last_term", 0),
		.position = http_request_query_u64(r, "after", 0)
	};
	usec_t due = r->due;
	json_t *out = NULL;
	enum dbstore_result result;
	uint64_t truncate_at;

	if (atomic_load(&d->faults.cut_replication)) {
		atomic_fetch_sub(&d->log_waiters, 1);
		http_request_drop(r);
		return;
	}
	pthread_mutex_lock(&d->lock);
	result = dbstore_log_read(
		d->store, http_request_query_u64(r, "term", 0), after,
		LOG_BATCH_ENTRIES_MAX, wall_clock_us(), &out, &truncate_at);
	pthread_mutex_unlock(&d->lock);
	if (result == DB_OK && !json_object_get(out, "reset") &&
	    json_array_size(json_object_get(out, "entries")) == 0 &&
	    monotonic_us() < due) {
		json_decref(out);
		http_request_defer(r, due, true, serve_log);
		return;
	}
	atomic_fetch_sub(&d->log_waiters, 1);
	if (result == DB_OK) {
		http_reply_json(r, 200, out);
		return;
	}
	out = json_pack("{s:s,s:s}", "outcome", "not_run", "reason",
			dbstore_result_name(result));
	if (result == DB_NOT_ON_LOG)
		json_object_set_new(out, "cut",
				    json_integer((json_int_t)truncate_at));
	http_reply_json(r, 409, out);
}
