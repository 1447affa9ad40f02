#include "standin/database_internal.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PULL_TIMEOUT_MS 200L /* an order to follow another waits for it */
#define RETRY_MS	10
#define FOLLOW_IDLE_MS	50
#define PULL_REPLY_MAX	(256U << 20) /* bytes */

/* An answer that waits out the replication lag. */
struct pulled {
	json_t *answer;
	usec_t due;
	struct pulled *next;
};

struct puller {
	struct database *db;
	CURL *curl;
	char *text;
	size_t len;
	/* What is being followed; another "seq" starts anew. */
	uint64_t seq;
	uint64_t term;
	char primary[ADDR_MAX_BYTES];
	struct log_pos after; /* end of the log with what is queued */
	bool ask_all;
	struct pulled *head;
	struct pulled **tail;
};

static bool wait_for_order(struct puller *p);
static void sleep_ms(struct database *d, long ms);
static void pull(struct puller *p);
static json_t *fetch(struct puller *p, long *status);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);
static void enqueue(struct puller *p, json_t *answer);
static void apply_due(struct puller *p);
static void cut(struct puller *p, const json_t *answer);
static void forget_queue(struct puller *p);
static void reread_end(struct puller *p);

/* The follower's thread: pulls from whatever primary it was told to follow. */
void *database_follow_run(void *arg)
{
	struct puller p = { .db = arg };
	struct faults *f = &p.db->faults;

	p.tail = &p.head;
	p.curl = curl_easy_init();
	if (!p.curl)
		abort();
	while (wait_for_order(&p)) {
		if (atomic_load(&f->paused)) {
			sleep_ms(p.db, RETRY_MS);
			continue;
		}
		apply_due(&p);
		if (atomic_load(&f->cut_replication))
			sleep_ms(p.db, RETRY_MS);
		else
			pull(&p);
	}
	forget_queue(&p);
	curl_easy_cleanup(p.curl);
	free(p.text);
	return NULL;
}

/* Waits until there is something to follow; false at the end. */
static bool wait_for_order(struct puller *p)
{
	struct database *d = p->db;
	bool go;

	pthread_mutex_lock(&d->lock);
	while (!d->stopping && !dbstore_follows(d->store, d->follow_term))
		pthread_cond_wait(&d->follow_changed, &d->lock);
	go = !d->stopping;
	if (go && p->seq != d->follow_seq) {
		p->seq = d->follow_seq;
		p->term = d->follow_term;
		memcpy(p->primary, d->primary, sizeof(p->primary));
		p->ask_all = false;
		forget_queue(p);
		reread_end(p);
	}
	pthread_mutex_unlock(&d->lock);
	return go;
}

/* Sleeps, but wakes for a new order or the end. */
static void sleep_ms(struct database *d, long ms)
{
	struct timespec ts;
	int64_t until = web_wall_us() + ms * USEC_PER_MSEC;

	ts.tv_sec = until / USEC_PER_SEC;
	ts.tv_nsec = until % USEC_PER_SEC * 1000;
	pthread_mutex_lock(&d->lock);
	if (!d->stopping)
		pthread_cond_timedwait(&d->follow_changed, &d->lock, &ts);
	pthread_mutex_unlock(&d->lock);
}

/* Asks once for what follows the log's end, and queues or cuts. */
static void pull(struct puller *p)
{
	long status = 0;
	json_t *answer = fetch(p, &status);

	if (!answer) {
		sleep_ms(p->db, RETRY_MS);
		return;
	}
	if (status == 200) {
		enqueue(p, answer);
		return;
	}
	if (json_object_get(answer, "cut"))
		cut(p, answer);
	else
		sleep_ms(p->db, RETRY_MS);
	json_decref(answer);
}

/* Makes one call; NULL if it failed. */
static json_t *fetch(struct puller *p, long *status)
{
	char url[256];
	json_t *j;

	snprintf(url, sizeof(url),
		 "http://%s/v1/log?term=%llu&after=%llu&last_term=%llu"
		 "&wait_ms=%d",
		 p->primary, (unsigned long long)p->term,
		 p->ask_all ? 0ULL : (unsigned long long)p->after.position,
		 p->ask_all ? 0ULL : (unsigned long long)p->after.term,
		 LOG_WAIT_MS);
	p->len = 0;
	curl_easy_setopt(p->curl, CURLOPT_URL, url);
	curl_easy_setopt(p->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(p->curl, CURLOPT_TIMEOUT_MS, PULL_TIMEOUT_MS);
	curl_easy_setopt(p->curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(p->curl, CURLOPT_WRITEDATA, p);
	if (curl_easy_perform(p->curl) != CURLE_OK)
		return NULL;
	curl_easy_getinfo(p->curl, CURLINFO_RESPONSE_CODE, status);
	j = json_loadb(p->text ? p->text : "", p->len, 0, NULL);
	return j;
}

static size_t on_data(char *data, size_t size, size_t n, void *ctx)
{
	struct puller *p = ctx;
	size_t len = size * n;
	char *more;

	if (p->len + len > PULL_REPLY_MAX)
		return 0;
	more = realloc(p->text, p->len + len);
	if (!more)
		return 0;
	p->text = more;
	memcpy(p->text + p->len, data, len);
	p->len += len;
	return len;
}

/* Queues an answer until the lag has passed, and moves on behind it. */
static void enqueue(struct puller *p, json_t *answer)
{
	const json_t *entries = json_object_get(answer, "entries");
	const json_t *reset = json_object_get(answer, "reset");
	const json_t *last;
	struct pulled *q = must_alloc(sizeof(*q));
	usec_t lag = atomic_load(&p->db->faults.lag_ms) * USEC_PER_MSEC;

	q->answer = answer;
	q->due = web_now() + lag;
	*p->tail = q;
	p->tail = &q->next;
	p->ask_all = false;
	if (json_array_size(entries)) {
		last = json_array_get(entries, json_array_size(entries) - 1);
		p->after.term = (uint64_t)json_integer_value(
			json_object_get(last, "term"));
		p->after.position = (uint64_t)json_integer_value(
			json_object_get(last, "position"));
	}
	if (reset) {
		last = json_object_get(reset, "terms");
		p->after.position = (uint64_t)json_integer_value(
			json_object_get(reset, "position"));
		last = json_array_get(last, json_array_size(last) - 1);
		p->after.term =
			(uint64_t)json_integer_value(json_array_get(last, 0));
	}
	if (lag == 0)
		apply_due(p);
}

/* Takes in what has waited long enough; on a fault starts at the log's end. */
static void apply_due(struct puller *p)
{
	struct error e = { 0 };
	struct pulled *q;
	int rc;

	while (p->head && p->head->due <= web_now()) {
		q = p->head;
		p->head = q->next;
		if (!p->head)
			p->tail = &p->head;
		pthread_mutex_lock(&p->db->lock);
		rc = p->seq == p->db->follow_seq
			     ? dbstore_log_take(p->db->store, p->term,
						q->answer, &e)
			     : 0;
		if (rc) {
			forget_queue(p);
			reread_end(p);
		}
		pthread_mutex_unlock(&p->db->lock);
		json_decref(q->answer);
		free(q);
	}
}

/* The primary does not have this log's end: cut where it says, or lower. */
static void cut(struct puller *p, const json_t *answer)
{
	uint64_t to =
		(uint64_t)json_integer_value(json_object_get(answer, "cut"));
	struct error e = { 0 };

	forget_queue(p);
	pthread_mutex_lock(&p->db->lock);
	if (p->seq == p->db->follow_seq &&
	    dbstore_cut(p->db->store, p->term, to, &e))
		p->ask_all = true;
	reread_end(p);
	pthread_mutex_unlock(&p->db->lock);
}

static void forget_queue(struct puller *p)
{
	struct pulled *q;

	while (p->head) {
		q = p->head;
		p->head = q->next;
		json_decref(q->answer);
		free(q);
	}
	p->tail = &p->head;
}

/* Lock held. */
static void reread_end(struct puller *p)
{
	struct db_view v;

	dbstore_view(p->db->store, 0, &v);
	p->after = v.end;
}
