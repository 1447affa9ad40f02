#include "standin/database_internal.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FETCH_TIMEOUT_MS	 200L /* a new follow request waits this long */
#define FETCH_RETRY_MS		 10
#define FOLLOW_IDLE_MS		 50
#define FETCH_RESPONSE_MAX_BYTES (256U << 20)

/* A response of the primary that is held back for the replication lag. */
struct log_batch {
	json_t *response;
	usec_t due;
	struct log_batch *next;
};

/* The state of the follower thread. */
struct log_fetcher {
	struct database *database;
	CURL *curl;
	char *body;
	size_t body_len;
	/* The follow request in effect; a new one restarts replication. */
	uint64_t generation;
	uint64_t term;
	char primary[ADDR_MAX_BYTES];
	struct log_pos log_end; /* end of the log, queued entries included */
	bool needs_snapshot;
	struct log_batch *head;
	struct log_batch **tail;
};

static bool wait_for_primary(struct log_fetcher *f);
static void interruptible_sleep(struct database *d, long ms);
static void fetch_batch(struct log_fetcher *f);
static json_t *send_request(struct log_fetcher *f, long *status);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);
static void enqueue_batch(struct log_fetcher *f, json_t *response);
static void apply_due_batches(struct log_fetcher *f);
static void truncate_log(struct log_fetcher *f, const json_t *response);
static void clear_queue(struct log_fetcher *f);
static void reload_log_end(struct log_fetcher *f);

/*
 * Runs the follower thread, which replicates the log from the current primary
 * until the database stops.
 */
void *database_follower_run(void *arg)
{
	struct log_fetcher f = { .database = arg };
	struct faults *faults = &f.database->faults;

	f.tail = &f.head;
	f.curl = curl_easy_init();
	if (!f.curl)
		abort();
	while (wait_for_primary(&f)) {
		if (atomic_load(&faults->paused)) {
			interruptible_sleep(f.database, FETCH_RETRY_MS);
			continue;
		}
		apply_due_batches(&f);
		if (atomic_load(&faults->cut_replication))
			interruptible_sleep(f.database, FETCH_RETRY_MS);
		else
			fetch_batch(&f);
	}
	clear_queue(&f);
	curl_easy_cleanup(f.curl);
	free(f.body);
	return NULL;
}

/*
 * Waits until there is a primary to follow and adopts a new follow request.
 * Returns false if the database is stopping.
 */
static bool wait_for_primary(struct log_fetcher *f)
{
	struct database *d = f->database;
	bool running;

	pthread_mutex_lock(&d->lock);
	while (!d->stopping && !dbstore_is_following(d->store, d->follow_term))
		pthread_cond_wait(&d->follow_changed, &d->lock);
	running = !d->stopping;
	if (running && f->generation != d->follow_generation) {
		f->generation = d->follow_generation;
		f->term = d->follow_term;
		memcpy(f->primary, d->primary, sizeof(f->primary));
		f->needs_snapshot = false;
		clear_queue(f);
		reload_log_end(f);
	}
	pthread_mutex_unlock(&d->lock);
	return running;
}

/*
 * Sleeps, but returns early on a new follow request or when the database stops.
 */
static void interruptible_sleep(struct database *d, long ms)
{
	struct timespec ts;
	int64_t until = wall_clock_us() + ms * USEC_PER_MSEC;

	ts.tv_sec = until / USEC_PER_SEC;
	ts.tv_nsec = until % USEC_PER_SEC * 1000;
	pthread_mutex_lock(&d->lock);
	if (!d->stopping)
		pthread_cond_timedwait(&d->follow_changed, &d->lock, &ts);
	pthread_mutex_unlock(&d->lock);
}

/*
 * Requests the entries after the end of the log once, then queues them or
 * truncates the log as the response requires.
 */
static void fetch_batch(struct log_fetcher *f)
{
	long status = 0;
	json_t *response = send_request(f, &status);

	if (!response) {
		interruptible_sleep(f->database, FETCH_RETRY_MS);
		return;
	}
	if (status == 200) {
		enqueue_batch(f, response);
		return;
	}
	if (json_object_get(response, "cut"))
		truncate_log(f, response);
	else
		interruptible_sleep(f->database, FETCH_RETRY_MS);
	json_decref(response);
}

/*
 * Sends one log request. Returns the response, which the caller owns, or NULL
 * if it failed.
 */
static json_t *send_request(struct log_fetcher *f, long *status)
{
	char url[256];
	json_t *j;

	snprintf(url, sizeof(url),
		 "http://%s/v1/log?term=%llu&after=%llu&last_term=%llu"
		 "&wait_ms=%d",
		 f->primary, (unsigned long long)f->term,
		 f->needs_snapshot ? 0ULL
				   : (unsigned long long)f->log_end.position,
		 f->needs_snapshot ? 0ULL : (unsigned long long)f->log_end.term,
		 LOG_WAIT_MAX_MS);
	f->body_len = 0;
	curl_easy_setopt(f->curl, CURLOPT_URL, url);
	curl_easy_setopt(f->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(f->curl, CURLOPT_TIMEOUT_MS, FETCH_TIMEOUT_MS);
	curl_easy_setopt(f->curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(f->curl, CURLOPT_WRITEDATA, f);
	if (curl_easy_perform(f->curl) != CURLE_OK)
		return NULL;
	curl_easy_getinfo(f->curl, CURLINFO_RESPONSE_CODE, status);
	j = json_loadb(f->body ? f->body : "", f->body_len, 0, NULL);
	return j;
}

/*
 * Appends received data to the response body. Returns 0, which aborts the
 * transfer, if the body is too large.
 */
static size_t on_data(char *data, size_t size, size_t n, void *ctx)
{
	struct log_fetcher *f = ctx;
	size_t len = size * n;
	char *more;

	if (f->body_len + len > FETCH_RESPONSE_MAX_BYTES)
		return 0;
	more = realloc(f->body, f->body_len + len);
	if (!more)
		return 0;
	f->body = more;
	memcpy(f->body + f->body_len, data, len);
	f->body_len += len;
	return len;
}

/*
 * Queues a response until the replication lag has passed and advances the end
 * of the log to fetch from. Takes ownership of the response.
 */
static void enqueue_batch(struct log_fetcher *f, json_t *response)
{
	const json_t *entries = json_object_get(response, "entries");
	const json_t *reset = json_object_get(response, "reset");
	const json_t *last;
	struct log_batch *batch = xzalloc(sizeof(*batch));
	usec_t lag = atomic_load(&f->database->faults.lag_ms) * USEC_PER_MSEC;

	batch->response = response;
	batch->due = monotonic_us() + lag;
	*f->tail = batch;
	f->tail = &batch->next;
	f->needs_snapshot = false;
	if (json_array_size(entries)) {
		last = json_array_get(entries, json_array_size(entries) - 1);
		f->log_end.term = (uint64_t)json_integer_value(
			json_object_get(last, "term"));
		f->log_end.position = (uint64_t)json_integer_value(
			json_object_get(last, "position"));
	}
	if (reset) {
		last = json_object_get(reset, "terms");
		f->log_end.position = (uint64_t)json_integer_value(
			json_object_get(reset, "position"));
		last = json_array_get(last, json_array_size(last) - 1);
		f->log_end.term =
			(uint64_t)json_integer_value(json_array_get(last, 0));
	}
	if (lag == 0)
		apply_due_batches(f);
}

/*
 * Applies the queued responses whose lag has passed. On an error discards the
 * queue and continues from the end of the applied log.
 */
static void apply_due_batches(struct log_fetcher *f)
{
	struct error e = { 0 };
	struct log_batch *batch;
	int rc;

	while (f->head && f->head->due <= monotonic_us()) {
		batch = f->head;
		f->head = batch->next;
		if (!f->head)
			f->tail = &f->head;
		pthread_mutex_lock(&f->database->lock);
		rc = f->generation == f->database->follow_generation
			     ? dbstore_log_apply(f->database->store, f->term,
						 batch->response, &e)
			     : 0;
		if (rc) {
			clear_queue(f);
			reload_log_end(f);
		}
		pthread_mutex_unlock(&f->database->lock);
		json_decref(batch->response);
		free(batch);
	}
}

/*
 * Truncates the log to the position in the response, because the primary's log
 * has diverged. Requests a snapshot if the undo records do not reach back that
 * far.
 */
static void truncate_log(struct log_fetcher *f, const json_t *response)
{
	uint64_t position =
		(uint64_t)json_integer_value(json_object_get(response, "cut"));
	struct error e = { 0 };

	clear_queue(f);
	pthread_mutex_lock(&f->database->lock);
	if (f->generation == f->database->follow_generation &&
	    dbstore_log_truncate(f->database->store, f->term, position, &e))
		f->needs_snapshot = true;
	reload_log_end(f);
	pthread_mutex_unlock(&f->database->lock);
}

/* Discards all queued responses. */
static void clear_queue(struct log_fetcher *f)
{
	struct log_batch *batch;

	while (f->head) {
		batch = f->head;
		f->head = batch->next;
		json_decref(batch->response);
		free(batch);
	}
	f->tail = &f->head;
}

/*
 * Sets the position to fetch from to the end of the applied log. The caller
 * holds the lock.
 */
static void reload_log_end(struct log_fetcher *f)
{
	struct db_view v;

	dbstore_status(f->database->store, 0, &v);
	f->log_end = v.end;
}
