#include "kernel/engine_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/teams.h"

#define TOKEN_MAX_AGE_US    (24LL * 3600 * USEC_PER_SEC)
#define NO_PRIMARY_RETRY_MS 50
#define HELD_RETRY_MS	    500

static void exec_admit(struct exec *exec);
static void on_timer(void *ctx);
static bool read_token(struct exec *exec);
static void set_route_requirements(struct exec *exec);
static void enqueue(struct exec *exec, struct admit *q,
		    struct concurrency *slots);
static bool needs_primary(const struct exec *exec);
static void update_token(struct exec *exec, enum outcome o);
static void count_outcome(const struct exec *exec, enum outcome o,
			  enum error_code code);

/* Starts a request that was posted to its shard. Takes the lock. */
void exec_start(void *ctx)
{
	struct request *r = ctx;
	struct shard *s = r->owner_shard;
	struct exec *exec = calloc(1, sizeof(*exec));

	if (!exec)
		abort();
	counter_add(CTR_REQUESTS, 1);
	shard_lock(s);
	exec->request = r;
	exec->timer.fn = on_timer;
	exec->timer.ctx = exec;
	exec->group = shard_group(s, r->service);
	if (!exec->group) {
		r->answer.outcome = OUTCOME_NOT_RUN;
		error_set(&r->answer.error, ERR_NOT_FOUND, STEP_ROUTE, "",
			  "no service \"%s\"", r->service);
		free(exec);
		__atomic_sub_fetch(&s->requests, 1, __ATOMIC_RELAXED);
		shard_unlock(s);
		r->done(r);
		return;
	}
	group_note_request(exec->group);
	if (read_token(exec)) {
		set_route_requirements(exec);
		exec_admit(exec);
	}
	shard_unlock(s);
}

/*
 * Routes a request: queues it at a database that can serve it, parks it, or
 * refuses it. A statement of a transaction goes to the transaction's database.
 */
void exec_route(struct exec *exec)
{
	struct group *g = exec->group;
	struct engine *e = g->shard->engine;
	usec_t now = clock_now();
	struct route rt;

	if (exec->tx) {
		exec_call(exec, exec->tx->db);
		return;
	}
	if (exec->request->transaction[0]) {
		tx_submit(exec);
		return;
	}
	if (needs_primary(exec))
		rt = route_write(&g->view, &exec->want, &e->route, now);
	else
		rt = route_read(&g->view, &exec->want, &e->route, now,
				shard_random(g->shard));
	switch (rt.kind) {
	case ROUTE_REPLICA:
		exec->db = g->db[rt.db];
		enqueue(exec, exec->db->read_queue, &exec->db->read_slots);
		break;
	case ROUTE_PRIMARY:
		exec->db = NULL;
		enqueue(exec, g->primary_queue, &g->primary_slots);
		break;
	case ROUTE_WAIT:
		if (needs_primary(exec) && g->is_held) {
			exec->db = NULL;
			enqueue(exec, g->primary_queue, &g->primary_slots);
			break;
		}
		exec_park(exec, rt.retry_at, true);
		break;
	case ROUTE_REFUSE:
		exec_refuse(exec, rt.why, STEP_ROUTE,
			    "no database can serve the request now");
		break;
	}
}

/*
 * Sends a request that has been taken off its queue and holds a slot. The view
 * may have changed since, so the choice of database is checked again.
 */
void exec_dequeued(struct exec *exec)
{
	struct group *g = exec->group;
	struct engine *e = g->shard->engine;
	usec_t now = clock_now();
	struct route rt;

	if (exec->db) {
		if (exec->db->index != DB_NONE &&
		    route_answer_ok(&g->view, exec->db->index, &exec->want,
				    &e->route, now)) {
			exec_call(exec, exec->db);
			return;
		}
		exec_release_slot(exec);
		exec_park(exec, now, false);
		return;
	}
	if (needs_primary(exec)) {
		rt = route_write(&g->view, &exec->want, &e->route, now);
		if (rt.kind == ROUTE_PRIMARY) {
			rt.kind = group_check_write(g, now, &rt.why);
			rt.retry_at = now + NO_PRIMARY_RETRY_MS * USEC_PER_MSEC;
		}
		if (rt.kind == ROUTE_WAIT) {
			exec_release_slot(exec);
			exec_park(exec, rt.retry_at, true);
			return;
		}
		if (rt.kind == ROUTE_REFUSE) {
			exec_finish(exec, OUTCOME_NOT_RUN, rt.why, STEP_ROUTE,
				    "", "no database can take a write now");
			return;
		}
	}
	if (g->view.primary == DB_NONE) {
		exec_release_slot(exec);
		exec_park(exec, now + NO_PRIMARY_RETRY_MS * USEC_PER_MSEC,
			  true);
		return;
	}
	exec_call(exec, g->db[g->view.primary]);
}

/*
 * Parks a request until a time, at most its deadline, or until the view changes
 * if wait_for_view is set.
 */
void exec_park(struct exec *exec, usec_t until, bool wait_for_view)
{
	struct group *g = exec->group;

	exec->stage = EXEC_PARKED;
	exec->wait_for_view = wait_for_view;
	exec_list_add(&g->parked, exec);
	if (until > exec->request->deadline)
		until = exec->request->deadline;
	loop_timer_set(g->shard->loop, &exec->timer, until);
}

/* Releases the queue's slot if the request holds one. */
void exec_release_slot(struct exec *exec)
{
	usec_t now = clock_now();

	if (!exec->has_slot)
		return;
	exec->has_slot = false;
	admit_done(exec->queue, now, now - exec->slot_taken_at);
	exec->queue = NULL;
}

/*
 * Ends a request without a further call. The outcome is "not run", or "unknown"
 * if an earlier call may have been executed.
 */
void exec_refuse(struct exec *exec, enum error_code code, enum step step,
		 const char *why)
{
	if (exec->maybe_ran)
		exec_finish(exec, OUTCOME_UNKNOWN, ERR_UNKNOWN, step,
			    exec->call.address, why);
	else
		exec_finish(exec, OUTCOME_NOT_RUN, code, step, "", why);
}

/*
 * Completes a request with its outcome, returns an unused token of the team's
 * rate limit, and frees the execution.
 */
void exec_finish(struct exec *exec, enum outcome o, enum error_code code,
		 enum step step, const char *peer, const char *why)
{
	struct request *r = exec->request;
	struct group *g = exec->group;
	struct shard *s = g->shard;
	struct answer *a = &r->answer;

	exec_release_slot(exec);
	exec_unlink(exec);
	loop_timer_clear(s->loop, &exec->timer);
	if (exec->tx)
		tx_call_ended(exec, o, code);
	a->outcome = o;
	if (code != ERR_NONE)
		error_set(&a->error, code, step, peer, "%s", why);
	if (o == OUTCOME_NOT_RUN && !a->retry_after_ms)
		a->retry_after_ms =
			g->is_held ? HELD_RETRY_MS : NO_PRIMARY_RETRY_MS;
	if (o == OUTCOME_NOT_RUN && exec->took_token && exec->attempts == 0)
		teams_return_token(s->kernel, r->team, exec->admitted_at);
	update_token(exec, o);
	count_outcome(exec, o, code);
	free(exec);
	__atomic_sub_fetch(&s->requests, 1, __ATOMIC_RELAXED);
	r->done(r);
}

/* Initialises an empty list. */
void exec_list_init(struct exec_list *l)
{
	l->first = NULL;
	l->last = &l->first;
}

/* Appends a request that is in no list. */
void exec_list_add(struct exec_list *l, struct exec *exec)
{
	exec->next = NULL;
	exec->pprev = l->last;
	exec->list = l;
	*l->last = exec;
	l->last = &exec->next;
}

/* Removes a request from its list, if it is in one. */
void exec_unlink(struct exec *exec)
{
	if (!exec->list)
		return;
	*exec->pprev = exec->next;
	if (exec->next)
		exec->next->pprev = exec->pprev;
	else
		exec->list->last = exec->pprev;
	exec->list = NULL;
}

/*
 * Takes a token of the team's rate limit, waits for one, or refuses the
 * request. Rollbacks and forwarded requests need none.
 */
static void exec_admit(struct exec *exec)
{
	struct request *r = exec->request;
	struct kernel *k = exec->group->shard->kernel;
	usec_t now = clock_now(), retry_at = now;

	if (r->op == OP_ROLLBACK || r->forwarded) {
		exec_route(exec);
		return;
	}
	if (!exec->first_admit_at)
		exec->first_admit_at = now;
	exec->stage = EXEC_ADMIT;
	switch (teams_admit(k, r->team, now, exec->first_admit_at, &retry_at,
			    &r->answer.retry_after_ms)) {
	case TEAM_ADMITTED:
		exec->took_token = true;
		exec->admitted_at = now;
		exec_route(exec);
		return;
	case TEAM_WAIT:
		if (retry_at < r->deadline) {
			loop_timer_set(exec->group->shard->loop, &exec->timer,
				       retry_at);
			return;
		}
		break;
	case TEAM_OVER_RATE:
		break;
	}
	counter_add(CTR_OVER_RATE, 1);
	exec_finish(exec, OUTCOME_NOT_RUN, ERR_OVER_RATE, STEP_ADMIT, "",
		    "over the team's rate");
}

/*
 * Handles a request's timer, which ends a wait for a token, a park or a
 * forward. Takes the lock.
 */
static void on_timer(void *ctx)
{
	struct exec *exec = ctx;
	struct shard *s = exec->group->shard;

	shard_lock(s);
	if (exec->stage == EXEC_ADMIT) {
		exec_admit(exec);
	} else if (exec->stage == EXEC_FORWARDED) {
		forward_timed_out(exec);
	} else if (exec->stage == EXEC_PARKED) {
		exec_unlink(exec);
		if (clock_now() >= exec->request->deadline)
			exec_refuse(exec, ERR_DEADLINE, STEP_ROUTE,
				    "deadline passed");
		else
			exec_route(exec);
	}
	shard_unlock(s);
}

/*
 * Reads the session token. A malformed or oversized token is the caller's error
 * and refuses the request. A token that cannot be authenticated is ignored, so
 * the primary serves the request. Returns false if the request has been
 * answered.
 */
static bool read_token(struct exec *exec)
{
	struct request *r = exec->request;
	struct session_token_keys keys;
	enum session_token_result res = SESSION_TOKEN_BAD_MAC;

	session_token_init(&exec->token, r->team);
	if (!r->has_token)
		return true;
	if (teams_session_secret(exec->group->shard->kernel, keys.current,
				 keys.previous, &keys.has_previous))
		res = session_token_decode(&exec->token, r->token, r->team,
					   &keys, clock_wall_us(),
					   TOKEN_MAX_AGE_US);
	if (res == SESSION_TOKEN_OK) {
		exec->want.session_known = true;
		return true;
	}
	session_token_init(&exec->token, r->team);
	if (res != SESSION_TOKEN_MALFORMED && res != SESSION_TOKEN_TOO_LARGE)
		return true;
	exec_finish(exec, OUTCOME_NOT_RUN, ERR_BAD_TOKEN, STEP_PARSE, "",
		    session_token_result_name(res));
	return false;
}

/* Sets what the request requires of the database that serves it. */
static void set_route_requirements(struct exec *exec)
{
	const struct session_token_entry *t =
		session_token_find(&exec->token, exec->request->service);
	struct route_requirements *want = &exec->want;

	want->session_evicted = exec->token.evicted;
	want->has_entry = t != NULL;
	if (t) {
		want->seen = t->seen;
		want->unknown_term = t->unknown_term;
	}
	want->max_staleness_us = exec->request->max_age_us;
	want->arrived_at = exec->request->arrived_at;
	want->deadline = exec->request->deadline;
}

/*
 * Puts a request into a queue; runs it at once if a slot is free, refuses it if
 * the queue does not accept it.
 */
static void enqueue(struct exec *exec, struct admit *q,
		    struct concurrency *slots)
{
	struct request *r = exec->request;
	struct error e = { 0 };
	usec_t now = clock_now();

	exec->queue = q;
	exec->slots = slots;
	exec->stage = EXEC_QUEUED;
	switch (admit_push(q, r->team, r->weight ? r->weight : 1, exec, now,
			   r->deadline, shard_random(exec->group->shard),
			   &exec->queue_handle, &r->answer.retry_after_ms,
			   &e)) {
	case ADMIT_RUN:
		exec->has_slot = true;
		exec->slot_taken_at = now;
		exec_dequeued(exec);
		break;
	case ADMIT_QUEUED:
		break;
	case ADMIT_REFUSED:
		exec->queue = NULL;
		exec_refuse(exec, e.code, STEP_QUEUE, e.message);
		break;
	}
}

/* Returns whether the request needs the primary, regardless of its token. */
static bool needs_primary(const struct exec *exec)
{
	return exec->request->op != OP_STATEMENT ||
	       exec->request->kind == KIND_WRITE;
}

/*
 * Updates the session token with the position of the session's writes and
 * reads, so that a later read never shows an older state than an earlier one
 * did.
 */
static void update_token(struct exec *exec, enum outcome o)
{
	struct request *r = exec->request;
	struct session_token_keys keys;
	bool moved = false;

	if (o == OUTCOME_DONE && r->answer.at.position)
		moved = session_token_raise(&exec->token, r->service,
					    r->answer.at);
	if (o == OUTCOME_UNKNOWN && needs_primary(exec)) {
		session_token_mark_unknown(&exec->token, r->service,
					   exec->sent_term);
		moved = true;
	}
	if (o == OUTCOME_DONE && exec->want.unknown_term &&
	    write_quorum_term_is_settled(&exec->group->view)) {
		session_token_settle(&exec->token, r->service,
				     exec->group->view.term);
		moved = true;
	}
	if (!moved && r->has_token && exec->want.session_known)
		return;
	if (o == OUTCOME_NOT_RUN)
		return;
	if (!teams_session_secret(exec->group->shard->kernel, keys.current,
				  keys.previous, &keys.has_previous))
		return;
	if (session_token_encode(&exec->token, &keys, clock_wall_us(),
				 r->answer.token))
		r->answer.token[0] = '\0';
}

/* Counts an outcome, and logs those other than "done". */
static void count_outcome(const struct exec *exec, enum outcome o,
			  enum error_code code)
{
	const struct request *r = exec->request;

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
