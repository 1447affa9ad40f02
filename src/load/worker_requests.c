#include "load/worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MIN_US ((usec_t)50 * USEC_PER_MSEC)
#define RETRY_MAX_US ((usec_t)1 * USEC_PER_SEC)
/* A target that gave no response is skipped for this time. */
#define TARGET_SKIP_US ((usec_t)1 * USEC_PER_SEC)

static uint32_t pick_target(struct worker *w);
static void finish_stage(struct worker *w, struct load_request *r,
			 const struct attempt *a);
static void count_attempt(struct worker *w, struct load_request *r,
			  const struct attempt *a);
static bool should_retry(struct worker *w, struct load_request *r,
			 const struct attempt *a);
static bool should_retry_transaction(struct load_request *r,
				     const struct attempt *a);
static void schedule_retry(struct worker *w, struct load_request *r);
static void finish_done(struct worker *w, struct load_request *r,
			const struct attempt *a);
static enum violation check_response(struct worker *w, struct load_request *r,
				     const struct attempt *a);
static enum violation check_list(struct worker *w, struct load_request *r,
				 const struct attempt *a);
static void finish_not_done(struct worker *w, struct load_request *r,
			    const struct attempt *a);
static void close_request(struct worker *w, struct load_request *r,
			  bool retire);

/*
 * Starts an attempt at the next target; a session's requests go to all targets
 * in turn.
 */
void worker_start_attempt(struct worker *w, struct load_request *r)
{
	struct load_shared *s = w->shared;

	r->target = pick_target(w);
	load_request_prepare(r, s->o, s->o->target[r->target], s->fence_term);
	r->sent = load_now();
	pthread_mutex_lock(&s->lock);
	load_stats_charge_attempt(&s->stats, s->o, r->session->team, r->sent);
	if (r->attempts == 1 && r->op.kind != LOAD_FINAL)
		load_stats_count_offered(&s->stats, r->session->team,
					 load_stats_take_token(&s->stats, s->o,
							       r->session->team,
							       r->sent));
	pthread_mutex_unlock(&s->lock);
	if (curl_multi_add_handle(w->multi, r->easy) != CURLM_OK)
		abort();
	w->in_flight++;
}

/* Processes the end of an attempt: the request goes on, is retried, or ends. */
void worker_finish_attempt(struct worker *w, struct load_request *r,
			   CURLcode rc)
{
	struct attempt a;

	load_request_read_response(r, rc, &a);
	w->unavailable_until[r->target] =
		a.status == 0 ? load_now() + TARGET_SKIP_US : 0;
	if (r->token[0])
		memcpy(r->session->token, r->token, sizeof(r->token));
	if (r->op.kind == LOAD_FINAL) {
		worker_finish_final_read(w, r, &a);
	} else {
		count_attempt(w, r, &a);
		finish_stage(w, r, &a);
	}
	attempt_clear(&a);
}

/*
 * Returns the next target in turn. Targets that recently gave no response are
 * skipped, as a load balancer does; if all are, the last one tried is
 * returned.
 */
static uint32_t pick_target(struct worker *w)
{
	uint32_t n = w->shared->o->n_targets;
	usec_t now = load_now();
	uint32_t at = w->next_target++ % n;
	uint32_t left = n;

	while (w->unavailable_until[at] > now && --left > 0)
		at = w->next_target++ % n;
	return at;
}

/* Returns a cleared request with a libcurl handle, reused if possible. */
struct load_request *worker_alloc_request(struct worker *w)
{
	struct load_request *r = w->free_requests;
	CURL *easy;

	if (r) {
		w->free_requests = r->next;
		easy = r->easy;
	} else {
		r = calloc(1, sizeof(*r));
		easy = curl_easy_init();
		if (!r || !easy)
			abort();
	}
	memset(r, 0, sizeof(*r));
	r->easy = easy;
	return r;
}

/* Puts a request on the free list. */
void worker_release_request(struct worker *w, struct load_request *r)
{
	load_request_reset(r);
	r->next = w->free_requests;
	w->free_requests = r;
}

/*
 * Continues a transaction with its next call, retries the request, or ends it.
 */
static void finish_stage(struct worker *w, struct load_request *r,
			 const struct attempt *a)
{
	if (a->outcome == OUTCOME_DONE && r->stage == STAGE_BEGIN) {
		snprintf(r->transaction, sizeof(r->transaction), "%s",
			 a->transaction);
		r->stage = STAGE_STATEMENT;
		worker_start_attempt(w, r);
	} else if (a->outcome == OUTCOME_DONE && r->stage == STAGE_STATEMENT) {
		r->stage = STAGE_COMMIT;
		worker_start_attempt(w, r);
	} else if (r->stage == STAGE_ROLLBACK) {
		r->stage = STAGE_BEGIN;
		schedule_retry(w, r);
	} else if (a->outcome == OUTCOME_DONE) {
		finish_done(w, r, a);
	} else if (should_retry(w, r, a)) {
		schedule_retry(w, r);
	} else {
		finish_not_done(w, r, a);
	}
}

/* Counts an attempt, and a refusal within the team's rate once per request. */
static void count_attempt(struct worker *w, struct load_request *r,
			  const struct attempt *a)
{
	struct load_stats *stats = &w->shared->stats;

	pthread_mutex_lock(&w->shared->lock);
	stats->attempts++;
	if (a->status == 0)
		stats->attempts_no_response++;
	else if (a->outcome == OUTCOME_UNKNOWN)
		stats->attempts_unknown++;
	if ((a->status == 429 || a->status == 503) &&
	    load_stats_refund_attempt(stats, w->shared->o, r->session->team,
				      load_now()) &&
	    !r->refusal_counted) {
		r->refusal_counted = true;
		load_stats_count_refused_in_rate(stats, r->session->team);
	}
	pthread_mutex_unlock(&w->shared->lock);
}

/*
 * Tells whether the request is to be sent again. Only requests with an id are,
 * since those cannot run twice.
 */
static bool should_retry(struct worker *w, struct load_request *r,
			 const struct attempt *a)
{
	bool is_retryable = a->status == 0 || a->status == 429 ||
			    a->status == 503 || a->status == 504;

	(void)w;
	if (!load_kind_has_id(r->op.kind) || load_now() > r->give_up_at)
		return false;
	if (r->op.kind == LOAD_CONFIRM_TX)
		return should_retry_transaction(r, a);
	if (a->outcome == OUTCOME_UNKNOWN)
		r->may_have_run = true;
	return is_retryable;
}

/*
 * Tells whether a transaction goes on after a failed call, and sets its next
 * stage. A commit is repeated in its transaction, unless it did not run and
 * the transaction is gone. Any other failure starts a new transaction, after a
 * rollback if there may be one to roll back, but never after a commit that may
 * have run.
 */
static bool should_retry_transaction(struct load_request *r,
				     const struct attempt *a)
{
	if (r->stage == STAGE_COMMIT && a->outcome == OUTCOME_UNKNOWN) {
		r->may_have_run = true;
		return true;
	}
	if (r->stage == STAGE_COMMIT && !a->transaction_gone)
		return a->status == 0 || a->status == 429 || a->status == 503;
	if (r->may_have_run)
		return false;
	if (r->stage == STAGE_STATEMENT && !a->transaction_gone)
		r->stage = STAGE_ROLLBACK;
	else
		r->stage = STAGE_BEGIN;
	return a->outcome == OUTCOME_UNKNOWN || a->status == 0 ||
	       a->status == 429 || a->status == 503;
}

/*
 * Queues the request for a retry after the time in Retry-After, else after an
 * exponential back-off, both with jitter. A rollback is sent at once.
 */
static void schedule_retry(struct worker *w, struct load_request *r)
{
	usec_t wait = RETRY_MIN_US;
	uint32_t i;

	for (i = 1; i < r->attempts && wait < RETRY_MAX_US; i++)
		wait *= 2;
	if (r->retry_after >= 0)
		wait = r->retry_after;
	wait += (usec_t)(random_unit(&w->random) * (double)RETRY_MIN_US);
	if (r->stage == STAGE_ROLLBACK)
		wait = 0;
	r->retry_at = load_now() + wait;
	r->next = w->retry_list;
	w->retry_list = r;
}

/*
 * Ends a successful request: checks the response and counts its result and
 * latency.
 */
static void finish_done(struct worker *w, struct load_request *r,
			const struct attempt *a)
{
	struct load_shared *s = w->shared;
	struct load_stats *stats = &s->stats;
	bool writes = load_kind_writes(r->op.kind);
	usec_t now = load_now();
	enum violation violation;

	pthread_mutex_lock(&s->lock);
	violation = check_response(w, r, a);
	stats->violations[violation]++;
	if (violation != VIOLATION_NONE && !stats->first_violation[0])
		snprintf(stats->first_violation, sizeof(stats->first_violation),
			 "%s: %s %s, value %lld, at %lld ms",
			 violation_name(violation), load_kind_name(r->op.kind),
			 r->name,
			 a->n_rows ? (long long)a->rows[0].value : -1LL,
			 (long long)((now - s->start) / USEC_PER_MSEC));
	histogram_add(writes ? &stats->write_latency : &stats->read_latency,
		      now - r->arrived);
	if (writes) {
		load_stats_write_done(stats, r->session->service, now);
	} else {
		stats->reads_done++;
		stats->reads_replica += a->from_replica ? 1 : 0;
	}
	load_stats_count_result(stats, r->session->team, r->op.kind,
				RESULT_DONE);
	pthread_mutex_unlock(&s->lock);
	if (r->op.kind == LOAD_DRAFT)
		r->session->quote = r->op.value;
	close_request(w, r, false);
}

/* Checks the response to a successful request. The caller holds the lock. */
static enum violation check_response(struct worker *w, struct load_request *r,
				     const struct attempt *a)
{
	struct checker *checker = w->shared->checker;
	int64_t *min_value = &r->session->min_value[r->op.slot];

	if (r->op.kind == LOAD_CONFIRM_TX) {
		checker_write_done_no_value(checker, r->key, r->op.amount);
		*min_value += r->op.amount;
		return VIOLATION_NONE;
	}
	if (r->op.kind == LOAD_RECONCILE)
		return check_list(w, r, a);
	if (load_kind_writes(r->op.kind))
		return checker_write_done(checker, r->key, r->op.amount,
					  a->rows, a->n_rows, load_now(),
					  min_value);
	return checker_read(checker, r->key, a->rows, a->n_rows, r->sent,
			    r->op.max_age, a->age, min_value);
}

/*
 * Checks that a list holds only rows of the team, and the session's own key as
 * a read would. The caller holds the lock.
 */
static enum violation check_list(struct worker *w, struct load_request *r,
				 const struct attempt *a)
{
	struct load_shared *s = w->shared;
	const char *own_key = checker_key_name(s->checker, r->key);
	const struct checker_row *row = NULL;
	enum violation violation;
	size_t i;

	violation = checker_list(r->name, s->o->team[r->session->team].name,
				 a->rows, a->n_rows);
	if (violation != VIOLATION_NONE)
		return violation;
	for (i = 0; i < a->n_rows; i++) {
		if (strcmp(a->rows[i].key, own_key) == 0)
			row = &a->rows[i];
	}
	return checker_read(s->checker, r->key, row, row ? 1 : 0, r->sent,
			    r->op.max_age, a->age,
			    &r->session->min_value[r->op.slot]);
}

/* Ends a request that did not succeed and counts its result. */
static void finish_not_done(struct worker *w, struct load_request *r,
			    const struct attempt *a)
{
	struct load_shared *s = w->shared;
	bool unknown = r->may_have_run || a->outcome == OUTCOME_UNKNOWN;
	bool writes = load_kind_writes(r->op.kind);
	enum load_result result = RESULT_FAILED;

	if (r->op.kind == LOAD_CONFIRM_TX && r->stage != STAGE_COMMIT)
		unknown = r->may_have_run;
	if (unknown)
		result = RESULT_UNKNOWN;
	else if (a->status == 429)
		result = RESULT_OVER_RATE;
	else if (a->status == 503 || a->status == 0)
		result = RESULT_NOT_RUN;
	pthread_mutex_lock(&s->lock);
	if (writes && unknown)
		checker_write_unknown(s->checker, r->key, r->op.amount);
	else if (writes)
		checker_write_not_run(s->checker, r->key, r->op.amount);
	load_stats_count_result(&s->stats, r->session->team, r->op.kind,
				result);
	pthread_mutex_unlock(&s->lock);
	close_request(w, r, unknown && r->op.kind == LOAD_DRAFT);
}

/*
 * Releases the request and its session. A session is retired if its quote may
 * have either of two values: it sends nothing more, but the final read still
 * checks its keys.
 */
static void close_request(struct worker *w, struct load_request *r, bool retire)
{
	if (!retire)
		worker_release_session(w, r->session);
	worker_release_request(w, r);
}
