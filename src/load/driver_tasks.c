#include "load/driver.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_LEAST_US ((usec_t)50 * USEC_PER_MSEC)
#define RETRY_MOST_US  ((usec_t)1 * USEC_PER_SEC)
/* A target without an answer is passed over for so long. */
#define TARGET_DOWN_US ((usec_t)1 * USEC_PER_SEC)

static uint32_t next_target(struct driver *d);
static void finish_stage(struct driver *d, struct task *t,
			 const struct attempt *a);
static void count_attempt(struct driver *d, struct task *t,
			  const struct attempt *a);
static bool again(struct driver *d, struct task *t, const struct attempt *a);
static bool again_transaction(struct task *t, const struct attempt *a);
static void retry(struct driver *d, struct task *t);
static void end_done(struct driver *d, struct task *t, const struct attempt *a);
static enum violation check(struct driver *d, struct task *t,
			    const struct attempt *a);
static enum violation check_list(struct driver *d, struct task *t,
				 const struct attempt *a);
static void end_other(struct driver *d, struct task *t,
		      const struct attempt *a);
static void close_task(struct driver *d, struct task *t, bool retire);

/* Begins an attempt at the next target: each request of a session roams. */
void driver_start(struct driver *d, struct task *t)
{
	struct load_shared *s = d->shared;

	t->target = next_target(d);
	task_prepare(t, s->o, s->o->target[t->target], s->term);
	t->sent = load_now();
	pthread_mutex_lock(&s->lock);
	measures_charge(&s->measures, s->o, t->session->team, t->sent);
	if (t->tries == 1 && t->op.kind != LOAD_FINAL)
		measures_offer(&s->measures, t->session->team,
			       measures_take(&s->measures, s->o,
					     t->session->team, t->sent));
	pthread_mutex_unlock(&s->lock);
	if (curl_multi_add_handle(d->multi, t->easy) != CURLM_OK)
		abort();
	d->in_flight++;
}

/* Takes an attempt's end in. */
void driver_finish(struct driver *d, struct task *t, CURLcode rc)
{
	struct attempt a;

	task_result(t, rc, &a);
	d->down_until[t->target] =
		a.status == 0 ? load_now() + TARGET_DOWN_US : 0;
	if (t->token[0])
		memcpy(t->session->token, t->token, sizeof(t->token));
	if (t->op.kind == LOAD_FINAL) {
		driver_final_finish(d, t, &a);
	} else {
		count_attempt(d, t, &a);
		finish_stage(d, t, &a);
	}
	attempt_clear(&a);
}

/*
 * The next target in turn, passing over those that lately gave no answer, as a
 * balancer does; if none answers, the next all the same.
 */
static uint32_t next_target(struct driver *d)
{
	uint32_t n = d->shared->o->n_targets;
	usec_t now = load_now();
	uint32_t at = d->next_target++ % n;
	uint32_t left = n;

	while (d->down_until[at] > now && --left > 0)
		at = d->next_target++ % n;
	return at;
}

/* Returns a cleared task with a handle. */
struct task *driver_task(struct driver *d)
{
	struct task *t = d->idle_tasks;
	CURL *easy;

	if (t) {
		d->idle_tasks = t->next;
		easy = t->easy;
	} else {
		t = calloc(1, sizeof(*t));
		easy = curl_easy_init();
		if (!t || !easy)
			abort();
	}
	memset(t, 0, sizeof(*t));
	t->easy = easy;
	return t;
}

void driver_release(struct driver *d, struct task *t)
{
	task_reset(t);
	t->next = d->idle_tasks;
	d->idle_tasks = t;
}

/* Goes on to a transaction's next call, tries again, or ends the task. */
static void finish_stage(struct driver *d, struct task *t,
			 const struct attempt *a)
{
	if (a->outcome == OUTCOME_DONE && t->stage == STAGE_BEGIN) {
		snprintf(t->transaction, sizeof(t->transaction), "%s",
			 a->transaction);
		t->stage = STAGE_STATEMENT;
		driver_start(d, t);
	} else if (a->outcome == OUTCOME_DONE && t->stage == STAGE_STATEMENT) {
		t->stage = STAGE_COMMIT;
		driver_start(d, t);
	} else if (t->stage == STAGE_ROLLBACK) {
		t->stage = STAGE_BEGIN;
		retry(d, t);
	} else if (a->outcome == OUTCOME_DONE) {
		end_done(d, t, a);
	} else if (again(d, t, a)) {
		retry(d, t);
	} else {
		end_other(d, t, a);
	}
}

static void count_attempt(struct driver *d, struct task *t,
			  const struct attempt *a)
{
	struct measures *m = &d->shared->measures;

	pthread_mutex_lock(&d->shared->lock);
	m->attempts++;
	if (a->status == 0)
		m->attempts_no_answer++;
	else if (a->outcome == OUTCOME_UNKNOWN)
		m->attempts_unknown++;
	if ((a->status == 429 || a->status == 503) &&
	    measures_refuse(m, d->shared->o, t->session->team, load_now()) &&
	    !t->counted) {
		t->counted = true;
		measures_refused_in_rate(m, t->session->team);
	}
	pthread_mutex_unlock(&d->shared->lock);
}

/* Is the same to be asked again? Only what cannot run twice. */
static bool again(struct driver *d, struct task *t, const struct attempt *a)
{
	bool refusal = a->status == 0 || a->status == 429 || a->status == 503 ||
		       a->status == 504;

	(void)d;
	if (!load_kind_has_id(t->op.kind) || load_now() > t->give_up_at)
		return false;
	if (t->op.kind == LOAD_CONFIRM_TX)
		return again_transaction(t, a);
	if (a->outcome == OUTCOME_UNKNOWN)
		t->maybe_ran = true;
	return refusal;
}

/*
 * A commit is repeated in its transaction; anything else that fails begins a
 * new one. A commit that may have run is not followed by another transaction.
 */
static bool again_transaction(struct task *t, const struct attempt *a)
{
	if (t->stage == STAGE_COMMIT && a->outcome == OUTCOME_UNKNOWN) {
		t->maybe_ran = true;
		return true;
	}
	if (t->stage == STAGE_COMMIT && !a->gone)
		return a->status == 0 || a->status == 429 || a->status == 503;
	if (t->maybe_ran)
		return false;
	if (t->stage == STAGE_STATEMENT && !a->gone)
		t->stage = STAGE_ROLLBACK;
	else
		t->stage = STAGE_BEGIN;
	return a->outcome == OUTCOME_UNKNOWN || a->status == 0 ||
	       a->status == 429 || a->status == 503;
}

/* Waits as long as the answer said, else twice as long each time. */
static void retry(struct driver *d, struct task *t)
{
	usec_t wait = RETRY_LEAST_US;
	uint32_t i;

	for (i = 1; i < t->tries && wait < RETRY_MOST_US; i++)
		wait *= 2;
	if (t->retry_after >= 0)
		wait = t->retry_after;
	wait += (usec_t)(random_unit(&d->random) * (double)RETRY_LEAST_US);
	if (t->stage == STAGE_ROLLBACK)
		wait = 0;
	t->retry_at = load_now() + wait;
	t->next = d->waiting;
	d->waiting = t;
}

static void end_done(struct driver *d, struct task *t, const struct attempt *a)
{
	struct load_shared *s = d->shared;
	struct measures *m = &s->measures;
	bool writes = load_kind_writes(t->op.kind);
	usec_t now = load_now();
	enum violation bad;

	pthread_mutex_lock(&s->lock);
	bad = check(d, t, a);
	m->violations[bad]++;
	if (bad != VIOLATION_NONE && !m->first_violation[0])
		snprintf(m->first_violation, sizeof(m->first_violation),
			 "%s: %s %s, value %lld, at %lld ms",
			 violation_name(bad), load_kind_name(t->op.kind),
			 t->name,
			 a->n_rows ? (long long)a->rows[0].value : -1LL,
			 (long long)((now - s->start) / USEC_PER_MSEC));
	histogram_add(writes ? &m->writes : &m->reads, now - t->arrived);
	if (writes) {
		measures_write_done(m, t->session->service, now);
	} else {
		m->reads_done++;
		m->reads_replica += a->replica ? 1 : 0;
	}
	measures_end(m, t->session->team, t->op.kind, END_DONE);
	pthread_mutex_unlock(&s->lock);
	if (t->op.kind == LOAD_DRAFT)
		t->session->quote = t->op.value;
	close_task(d, t, false);
}

/* Lock held. */
static enum violation check(struct driver *d, struct task *t,
			    const struct attempt *a)
{
	struct verify *v = d->shared->verify;
	int64_t *least = &t->session->floor[t->op.slot];

	if (t->op.kind == LOAD_CONFIRM_TX) {
		verify_done_blind(v, t->key, t->op.amount);
		*least += t->op.amount;
		return VIOLATION_NONE;
	}
	if (t->op.kind == LOAD_RECONCILE)
		return check_list(d, t, a);
	if (load_kind_writes(t->op.kind))
		return verify_done(v, t->key, t->op.amount, a->rows, a->n_rows,
				   load_now(), least);
	return verify_read(v, t->key, a->rows, a->n_rows, t->sent,
			   t->op.max_age, a->age, least);
}

/* A list holds none but the team's, and the session's own key as a read. */
static enum violation check_list(struct driver *d, struct task *t,
				 const struct attempt *a)
{
	struct load_shared *s = d->shared;
	const char *own = verify_name(s->verify, t->key);
	const struct verify_row *row = NULL;
	enum violation bad;
	size_t i;

	bad = verify_list(t->name, s->o->team[t->session->team].name, a->rows,
			  a->n_rows);
	if (bad != VIOLATION_NONE)
		return bad;
	for (i = 0; i < a->n_rows; i++) {
		if (strcmp(a->rows[i].key, own) == 0)
			row = &a->rows[i];
	}
	return verify_read(s->verify, t->key, row, row ? 1 : 0, t->sent,
			   t->op.max_age, a->age,
			   &t->session->floor[t->op.slot]);
}

/* The request has come to another end than "done". */
static void end_other(struct driver *d, struct task *t, const struct attempt *a)
{
	struct load_shared *s = d->shared;
	bool unknown = t->maybe_ran || a->outcome == OUTCOME_UNKNOWN;
	bool writes = load_kind_writes(t->op.kind);
	enum load_end end = END_FAILED;

	if (t->op.kind == LOAD_CONFIRM_TX && t->stage != STAGE_COMMIT)
		unknown = t->maybe_ran;
	if (unknown)
		end = END_UNKNOWN;
	else if (a->status == 429)
		end = END_OVER_RATE;
	else if (a->status == 503 || a->status == 0)
		end = END_NOT_RUN;
	pthread_mutex_lock(&s->lock);
	if (writes && unknown)
		verify_unknown(s->verify, t->key, t->op.amount);
	else if (writes)
		verify_not_run(s->verify, t->key, t->op.amount);
	measures_end(&s->measures, t->session->team, t->op.kind, end);
	pthread_mutex_unlock(&s->lock);
	close_task(d, t, unknown && t->op.kind == LOAD_DRAFT);
}

/*
 * Frees the task. A session whose quote may be either of two values asks
 * nothing more; the last read still checks its keys.
 */
static void close_task(struct driver *d, struct task *t, bool retire)
{
	if (!retire)
		driver_session_idle(d, t->session);
	driver_release(d, t);
}
