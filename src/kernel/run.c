#include "kernel/engine_own.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/teams.h"

#define TOKEN_AGE_MAX	(24LL * 3600 * USEC_PER_SEC)
#define FORMER_RETRY_MS 50
#define HELD_RETRY_MS	500

static void run_admit(struct run *run);
static void on_timer(void *ctx);
static bool read_token(struct run *run);
static void want_of(struct run *run);
static void enqueue(struct run *run, struct admit *q, struct slots *limit);
static bool needs_primary(const struct run *run);
static void write_token(struct run *run, enum outcome o);
static void count(const struct run *run, enum outcome o, enum error_code code);

/* Starts a request that was posted to its shard. Takes the lock. */
void run_start(void *ctx)
{
	struct request *r = ctx;
	struct shard *s = r->engine;
	struct run *run = calloc(1, sizeof(*run));

	if (!run)
		abort();
	counter_add(CTR_REQUESTS, 1);
	shard_lock(s);
	run->r = r;
	run->timer.fn = on_timer;
	run->timer.ctx = run;
	run->group = shard_group(s, r->service);
	if (!run->group) {
		r->answer.outcome = OUTCOME_NOT_RUN;
		error_set(&r->answer.error, ERR_NOT_FOUND, STEP_ROUTE, "",
			  "no service \"%s\"", r->service);
		free(run);
		__atomic_sub_fetch(&s->runs, 1, __ATOMIC_RELAXED);
		shard_unlock(s);
		r->done(r);
		return;
	}
	group_use(run->group);
	if (read_token(run)) {
		want_of(run);
		run_admit(run);
	}
	shard_unlock(s);
}

/*
 * Sends a request on its way: into the queue of the database that may serve
 * it, or back to its caller. Statements of a transaction go with that.
 */
void run_route(struct run *run)
{
	struct group *g = run->group;
	struct engine *e = g->shard->engine;
	usec_t now = clock_now();
	struct route rt;

	if (run->tx) {
		run_call(run, run->tx->db);
		return;
	}
	if (run->r->transaction[0]) {
		tx_run_arrive(run);
		return;
	}
	if (needs_primary(run))
		rt = route_write(&g->view, &run->want, &e->route, now);
	else
		rt = route_read(&g->view, &run->want, &e->route, now,
				shard_random(g->shard));
	switch (rt.kind) {
	case ROUTE_REPLICA:
		run->db = g->db[rt.db];
		enqueue(run, run->db->reads, &run->db->reads_limit);
		break;
	case ROUTE_PRIMARY:
		run->db = NULL;
		enqueue(run, g->primary, &g->primary_limit);
		break;
	case ROUTE_WAIT:
		if (needs_primary(run) && g->held) {
			run->db = NULL;
			enqueue(run, g->primary, &g->primary_limit);
			break;
		}
		run_park(run, rt.until, true);
		break;
	case ROUTE_REFUSE:
		run_refuse(run, rt.why, STEP_ROUTE,
			   "no database can serve this now");
		break;
	}
}

/* A request's turn has come; it holds a slot. The view may have moved on. */
void run_popped(struct run *run)
{
	struct group *g = run->group;
	struct engine *e = g->shard->engine;
	usec_t now = clock_now();
	struct route rt;

	if (run->db) {
		if (run->db->index != DB_NONE &&
		    route_answer_ok(&g->view, run->db->index, &run->want,
				    &e->route, now)) {
			run_call(run, run->db);
			return;
		}
		run_leave_slot(run);
		run_park(run, now, false);
		return;
	}
	if (needs_primary(run)) {
		rt = route_write(&g->view, &run->want, &e->route, now);
		if (rt.kind == ROUTE_PRIMARY) {
			rt.kind = group_may_write(g, now, &rt.why);
			rt.until = now + FORMER_RETRY_MS * USEC_PER_MSEC;
		}
		if (rt.kind == ROUTE_WAIT) {
			run_leave_slot(run);
			run_park(run, rt.until, true);
			return;
		}
		if (rt.kind == ROUTE_REFUSE) {
			run_finish(run, OUTCOME_NOT_RUN, rt.why, STEP_ROUTE, "",
				   "no database can take a write now");
			return;
		}
	}
	if (g->view.primary == DB_NONE) {
		run_leave_slot(run);
		run_park(run, now + FORMER_RETRY_MS * USEC_PER_MSEC, true);
		return;
	}
	run_call(run, g->db[g->view.primary]);
}

/* Sets a request aside until a time or, if wanted, the next view. */
void run_park(struct run *run, usec_t until, bool wants_view)
{
	struct group *g = run->group;

	run->stage = RUN_PARKED;
	run->wants_view = wants_view;
	run_list_add(&g->parked, run);
	if (until > run->r->deadline)
		until = run->r->deadline;
	loop_timer_set(g->shard->loop, &run->timer, until);
}

/* Gives the slot of a queue back, if one is held. */
void run_leave_slot(struct run *run)
{
	usec_t now = clock_now();

	if (!run->in_slot)
		return;
	run->in_slot = false;
	admit_done(run->queue, now, now - run->slot_at);
	run->queue = NULL;
}

/* Ends a request without a further call: not run, unless it may have. */
void run_refuse(struct run *run, enum error_code code, enum step step,
		const char *why)
{
	if (run->maybe_ran)
		run_finish(run, OUTCOME_UNKNOWN, ERR_UNKNOWN, step,
			   run->call.address, why);
	else
		run_finish(run, OUTCOME_NOT_RUN, code, step, "", why);
}

/* Answers a request and frees what the engine has of it. */
void run_finish(struct run *run, enum outcome o, enum error_code code,
		enum step step, const char *peer, const char *why)
{
	struct request *r = run->r;
	struct group *g = run->group;
	struct shard *s = g->shard;
	struct answer *a = &r->answer;

	run_leave_slot(run);
	run_unlink(run);
	loop_timer_clear(s->loop, &run->timer);
	if (run->tx)
		tx_run_ended(run, o, code);
	a->outcome = o;
	if (code != ERR_NONE)
		error_set(&a->error, code, step, peer, "%s", why);
	if (o == OUTCOME_NOT_RUN && !a->retry_after_ms)
		a->retry_after_ms = g->held ? HELD_RETRY_MS : FORMER_RETRY_MS;
	if (o == OUTCOME_NOT_RUN && run->charged && run->attempts == 0)
		teams_refund(s->kernel, r->team, run->admitted_at);
	write_token(run, o);
	count(run, o, code);
	free(run);
	__atomic_sub_fetch(&s->runs, 1, __ATOMIC_RELAXED);
	r->done(r);
}

/* Makes an empty list. */
void run_list_init(struct run_list *l)
{
	l->first = NULL;
	l->last = &l->first;
}

/* Appends a request that is in no list. */
void run_list_add(struct run_list *l, struct run *run)
{
	run->next = NULL;
	run->back = l->last;
	run->list = l;
	*l->last = run;
	l->last = &run->next;
}

/* Takes a request out of its list, if it is in one. */
void run_unlink(struct run *run)
{
	if (!run->list)
		return;
	*run->back = run->next;
	if (run->next)
		run->next->back = run->back;
	else
		run->list->last = run->back;
	run->list = NULL;
}

/* Takes a token of the team's rate, or waits for one, or refuses. */
static void run_admit(struct run *run)
{
	struct request *r = run->r;
	struct kernel *k = run->group->shard->kernel;
	usec_t now = clock_now(), again = now;

	if (r->op == OP_ROLLBACK || r->forwarded) {
		run_route(run);
		return;
	}
	if (!run->first_tried)
		run->first_tried = now;
	run->stage = RUN_ADMIT;
	switch (teams_admit(k, r->team, now, run->first_tried, &again,
			    &r->answer.retry_after_ms)) {
	case TEAM_ADMITTED:
		run->charged = true;
		run->admitted_at = now;
		run_route(run);
		return;
	case TEAM_WAIT:
		if (again < r->deadline) {
			loop_timer_set(run->group->shard->loop, &run->timer,
				       again);
			return;
		}
		break;
	case TEAM_OVER_RATE:
		break;
	}
	counter_add(CTR_OVER_RATE, 1);
	run_finish(run, OUTCOME_NOT_RUN, ERR_OVER_RATE, STEP_ADMIT, "",
		   "over the team's rate");
}

/* A request's timer: it waited for a token, or was parked. Takes the lock. */
static void on_timer(void *ctx)
{
	struct run *run = ctx;
	struct shard *s = run->group->shard;

	shard_lock(s);
	if (run->stage == RUN_ADMIT) {
		run_admit(run);
	} else if (run->stage == RUN_FORWARDED) {
		forward_overdue(run);
	} else if (run->stage == RUN_PARKED) {
		run_unlink(run);
		if (clock_now() >= run->r->deadline)
			run_refuse(run, ERR_DEADLINE, STEP_ROUTE,
				   "deadline passed");
		else
			run_route(run);
	}
	shard_unlock(s);
}

/*
 * Reads the session token. One that is malformed or too large is the caller's
 * fault; one that cannot be trusted counts as none, so the primary serves.
 * False if the request has been answered.
 */
static bool read_token(struct run *run)
{
	struct request *r = run->r;
	struct token_keys keys;
	enum token_result res = TOKEN_BAD_MAC;

	token_init(&run->token, r->team);
	if (!r->token_given)
		return true;
	if (teams_session_secret(run->group->shard->kernel, keys.current,
				 keys.previous, &keys.has_previous))
		res = token_decode(&run->token, r->token, r->team, &keys,
				   clock_wall_us(), TOKEN_AGE_MAX);
	if (res == TOKEN_OK) {
		run->want.session_known = true;
		return true;
	}
	token_init(&run->token, r->team);
	if (res != TOKEN_MALFORMED && res != TOKEN_TOO_LARGE)
		return true;
	run_finish(run, OUTCOME_NOT_RUN, ERR_BAD_TOKEN, STEP_PARSE, "",
		   token_result_name(res));
	return false;
}

/* What the request asks of the database that serves it. */
static void want_of(struct run *run)
{
	const struct token_entry *t = token_find(&run->token, run->r->service);
	struct route_want *w = &run->want;

	w->session_evicted = run->token.evicted;
	w->has_entry = t != NULL;
	if (t) {
		w->seen = t->seen;
		w->unknown_term = t->unknown_term;
	}
	w->max_age_us = run->r->max_age_us;
	w->arrived = run->r->arrived;
	w->deadline = run->r->deadline;
}

/* Puts a request into a queue, or runs it, or refuses it. */
static void enqueue(struct run *run, struct admit *q, struct slots *limit)
{
	struct request *r = run->r;
	struct error e = { 0 };
	usec_t now = clock_now();

	run->queue = q;
	run->limit = limit;
	run->stage = RUN_QUEUED;
	switch (admit_push(q, r->team, r->weight ? r->weight : 1, run, now,
			   r->deadline, shard_random(run->group->shard),
			   &run->queued, &r->answer.retry_after_ms, &e)) {
	case ADMIT_RUN:
		run->in_slot = true;
		run->slot_at = now;
		run_popped(run);
		break;
	case ADMIT_QUEUED:
		break;
	case ADMIT_REFUSED:
		run->queue = NULL;
		run_refuse(run, e.code, STEP_QUEUE, e.message);
		break;
	}
}

/* Does the request need the primary whatever its token says? */
static bool needs_primary(const struct run *run)
{
	return run->r->op != OP_STATEMENT || run->r->kind == KIND_WRITE;
}

/*
 * Moves the session's token on, by its writes and by its reads: a later read
 * must not show an older state than an earlier one did.
 */
static void write_token(struct run *run, enum outcome o)
{
	struct request *r = run->r;
	struct token_keys keys;
	bool moved = false;

	if (o == OUTCOME_DONE && r->answer.at.position)
		moved = token_raise(&run->token, r->service, r->answer.at);
	if (o == OUTCOME_UNKNOWN && needs_primary(run)) {
		token_mark_unknown(&run->token, r->service, run->sent_term);
		moved = true;
	}
	if (o == OUTCOME_DONE && run->want.unknown_term &&
	    confirm_settled(&run->group->view)) {
		token_settle(&run->token, r->service, run->group->view.term);
		moved = true;
	}
	if (!moved && r->token_given && run->want.session_known)
		return;
	if (o == OUTCOME_NOT_RUN)
		return;
	if (!teams_session_secret(run->group->shard->kernel, keys.current,
				  keys.previous, &keys.has_previous))
		return;
	if (token_encode(&run->token, &keys, clock_wall_us(), r->answer.token))
		r->answer.token[0] = '\0';
}

/* Counts an answer, and logs those that are not "done". */
static void count(const struct run *run, enum outcome o, enum error_code code)
{
	const struct request *r = run->r;

	switch (o) {
	case OUTCOME_DONE:
		counter_add(CTR_DONE, 1);
		if (r->op == OP_STATEMENT && r->kind == KIND_READ)
			counter_add(r->answer.from_replica ? CTR_READS_REPLICA
							   : CTR_READS_PRIMARY,
				    1);
		return;
	case OUTCOME_NOT_RUN:
		counter_add(CTR_NOT_RUN, 1);
		log_event(EV_CALLER_REFUSED, "service=%s team=%s code=%s",
			  r->service, r->team, error_code_name(code));
		return;
	case OUTCOME_UNKNOWN:
		counter_add(CTR_UNKNOWN, 1);
		log_event(EV_CALLER_UNKNOWN, "service=%s team=%s step=%s",
			  r->service, r->team, step_name(r->answer.error.step));
		return;
	}
}
