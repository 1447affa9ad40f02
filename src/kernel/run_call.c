#include "kernel/engine_own.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"

#define VIEW_RETRY     (20 * USEC_PER_MSEC)
#define BUSY_WAIT      (1 * USEC_PER_MSEC)
#define BUSY_DOUBLINGS 4

static void wait_for_slot(struct run *run, usec_t now);
static void fill_call(struct run *run, struct group_db *db, usec_t now);
static void on_call(struct db_call *c);
static void learn_slots(struct run *run, usec_t now);
static void on_answer(struct run *run, usec_t now);
static enum once_kind once_kind_of(const struct run *run);
static enum call_end call_end_of(const struct db_call *c);
static bool reads_unconfirmed(const struct run *run);
static struct log_pos last_entry(const struct db_status *s);
static void wait_confirmed(struct run *run, struct log_pos at, usec_t now);
static void note_confirmed(struct group *g, struct log_pos at);
static void take_answer(struct run *run);
static enum step step_of(const struct run *run);
static bool writes(const struct run *run);

/*
 * Sends a request to a database. It holds a slot of its queue, unless it is a
 * statement of a transaction. Shard's lock.
 */
void run_call(struct run *run, struct group_db *db)
{
	usec_t now = clock_now();

	if (now >= run->r->deadline) {
		run_refuse(run, ERR_DEADLINE, STEP_EXECUTE,
			   "deadline passed before the call");
		return;
	}
	run->stage = RUN_CALLING;
	run->db = db;
	run->attempts++;
	fill_call(run, db, now);
	run->sent_term = run->call.term;
	if (db->index != DB_NONE)
		run->group->view.db[db->index].running++;
	if (writes(run))
		run->group->writes++;
	if (run->in_slot)
		run_list_add(&run->group->calling, run);
	database_submit(&run->call);
}

/*
 * Another primary has taken over: calls that the old one may never answer give
 * their slots to the requests that wait for the new one. Shard's lock.
 */
void run_primary_gone(struct group *g, const struct group_db *was)
{
	struct run *run;

	for (run = g->calling.first; run; run = run->next) {
		if (run->db == was && run->queue == g->primary)
			run_leave_slot(run);
	}
}

/* A confirmation may have come nearer. Shard's lock. */
void run_check_confirm(struct run *run, usec_t now)
{
	struct group *g = run->group;

	switch (confirm_check(&run->confirm, &g->view, now)) {
	case CONFIRM_WAIT:
		return;
	case CONFIRM_DONE:
		run_unlink(run);
		g->confirms--;
		note_confirmed(g, run->confirm.at);
		if (writes(run)) {
			counter_add(CTR_CONFIRMS, 1);
			counter_add(CTR_CONFIRM_WAIT_US,
				    (uint64_t)(now - run->call.heard_at));
		}
		run_finish(run, OUTCOME_DONE, ERR_NONE, STEP_CONFIRM, "", "");
		return;
	case CONFIRM_LOST:
		run_unlink(run);
		g->confirms--;
		if (writes(run))
			run_resolved(run, CALL_END_LOST, REFUSAL_NONE);
		else
			run_park(run, now, false);
		return;
	case CONFIRM_UNKNOWN:
		run_unlink(run);
		g->confirms--;
		if (writes(run))
			run_resolved(run, CALL_END_UNSURE, REFUSAL_NONE);
		else
			run_finish(run, OUTCOME_NOT_RUN, ERR_NO_REPLICA,
				   STEP_CONFIRM, run->call.address,
				   "what was read is not confirmed");
		return;
	}
}

/*
 * A call has ended some way; decides what follows: an answer, a confirmation
 * or another call. Shard's lock.
 */
void run_resolved(struct run *run, enum call_end end, enum refusal refusal)
{
	struct group *g = run->group;
	struct engine *e = g->shard->engine;
	usec_t now = clock_now();
	struct once_verdict v;
	struct once_call c = {
		.kind = once_kind_of(run),
		.has_id = run->r->request_id[0] != '\0',
		.maybe_ran = run->maybe_ran,
		.end = end,
		.refusal = refusal,
		.now = now,
		.deadline = run->r->deadline,
	};
	usec_t delay =
		retry_delay(&e->retry, run->attempts, shard_random(g->shard));

	if (end == CALL_END_REFUSED && refusal == REFUSAL_BUSY && !run->tx) {
		wait_for_slot(run, now);
		return;
	}
	if (end == CALL_END_DONE && run->attempts == 1)
		retry_earn(&g->budget, &e->retry);
	c.retry_ok = true;
	v = once_decide(&c);
	if (v.next >= ONCE_RETRY &&
	    !retry_take(&g->budget, &e->retry, run->attempts)) {
		c.retry_ok = false;
		v = once_decide(&c);
	}
	if (end == CALL_END_NO_REPLY)
		run->maybe_ran = true;
	switch (v.next) {
	case ONCE_ANSWER:
		run_finish(run, v.outcome, v.why, step_of(run),
			   run->call.address, run->call.error.message);
		return;
	case ONCE_CONFIRM:
		wait_confirmed(run, run->call.at, now);
		return;
	case ONCE_RETRY:
	case ONCE_RESEND_ID:
		counter_add(CTR_RETRIES, 1);
		run_park(run, now + delay, false);
		return;
	case ONCE_RETRY_VIEW:
		counter_add(CTR_RETRIES, 1);
		run_park(run, now + VIEW_RETRY, true);
		return;
	case ONCE_RETRY_OTHER:
		counter_add(CTR_RETRIES, 1);
		if (run->db->index != DB_NONE)
			run->want.tried |= 1u << run->db->index;
		run_park(run, now, false);
		return;
	}
}

/*
 * All slots of the database are taken, by other VMs too. Nothing has run, so
 * that the request may wait for its deadline; the limit of this VM has been
 * cut, and the waits grow, so that the refusals stay few.
 */
static void wait_for_slot(struct run *run, usec_t now)
{
	uint32_t n = run->busy < BUSY_DOUBLINGS ? run->busy : BUSY_DOUBLINGS;
	usec_t wait = BUSY_WAIT << n;

	run->busy++;
	run->attempts--;
	counter_add(CTR_RETRIES, 1);
	wait += (usec_t)(shard_random(run->group->shard) % (uint64_t)wait);
	run_park(run, now + wait, false);
}

/* Fills in a call from the request. */
static void fill_call(struct run *run, struct group_db *db, usec_t now)
{
	const struct request *r = run->r;
	const struct settings *s = &run->group->shard->kernel->settings;
	struct db_call *c = &run->call;
	usec_t most = (usec_t)s->reply_timeout_ms * USEC_PER_MSEC;

	free(c->rows);
	memset(c, 0, sizeof(*c));
	c->op = r->op == OP_BEGIN      ? DB_BEGIN
		: r->op == OP_COMMIT   ? DB_COMMIT
		: r->op == OP_ROLLBACK ? DB_ROLLBACK
				       : DB_EXECUTE;
	c->loop = run->group->shard->loop;
	memcpy(c->address, db->address, sizeof(c->address));
	c->term = run->tx ? run->tx->state.term : run->group->view.term;
	c->kind = r->kind;
	c->statement = r->statement;
	c->parameters = r->parameters;
	if (r->request_id[0]) {
		snprintf(c->request_id, sizeof(c->request_id), "%s.%s", r->team,
			 r->request_id);
		memcpy(c->body_hash, r->body_hash, sizeof(c->body_hash));
	}
	if (run->tx)
		memcpy(c->transaction, run->tx->remote, sizeof(c->transaction));
	c->timeout = r->deadline - now < most ? r->deadline - now : most;
	c->fresh = run->attempts > 1 && run->call.result == DB_LOST;
	c->done = on_call;
	c->ctx = run;
}

/* A database has answered, or has not. Takes the lock. */
static void on_call(struct db_call *c)
{
	struct run *run = c->ctx;
	struct group *g = run->group;
	struct shard *s = g->shard;
	usec_t now = clock_now();

	shard_lock(s);
	run_unlink(run);
	if (run->db->index != DB_NONE)
		g->view.db[run->db->index].running--;
	if (writes(run))
		g->writes--;
	if (run->in_slot)
		learn_slots(run, now);
	if (c->result == DB_LOST)
		log_event(EV_DB_SUSPECT, "service=%s database=%s step=%s",
			  g->service, run->db->name, step_name(c->error.step));
	run_leave_slot(run);
	group_heard(run->db, c);
	on_answer(run, now);
	group_pump(g);
	shard_unlock(s);
}

/* Fits the queue's slots to what the database takes. */
static void learn_slots(struct run *run, usec_t now)
{
	const struct settings *s = &run->group->shard->kernel->settings;
	const struct db_call *c = &run->call;
	struct admit_limits l = { .queue_max = s->queue_max,
				  .team_max = s->queue_max / QUEUE_TEAM_PART };
	uint32_t was = slots_limit(run->limit);

	if (c->result == DB_REFUSED && c->refusal == REFUSAL_BUSY)
		slots_busy(run->limit, now);
	else if (c->result == DB_OK)
		slots_taken(run->limit, admit_waiting(run->queue) > 0);
	l.slots = slots_limit(run->limit);
	if (l.slots != was)
		admit_set_limits(run->queue, &l);
}

/* Goes on with a request whose call has ended. */
static void on_answer(struct run *run, usec_t now)
{
	struct group *g = run->group;
	struct db_call *c = &run->call;

	if (run->r->op == OP_BEGIN && c->result == DB_OK) {
		tx_run_begun(run, true);
		return;
	}
	if (c->result == DB_OK && !writes(run) && !run->tx) {
		if (run->db->index == DB_NONE ||
		    !route_answer_ok(&g->view, run->db->index, &run->want,
				     &g->shard->engine->route, now)) {
			if (run->db->index != DB_NONE)
				run->want.tried |= 1u << run->db->index;
			run_park(run, now, false);
			return;
		}
	}
	if (c->result == DB_OK)
		take_answer(run);
	if (c->result == DB_OK && reads_unconfirmed(run)) {
		wait_confirmed(run, last_entry(&c->status), now);
		return;
	}
	run_resolved(run, call_end_of(c), c->refusal);
}

/*
 * Has a read at the primary seen what no other database is known to hold? A
 * promotion could take it back, after the session has built on it.
 */
static bool reads_unconfirmed(const struct run *run)
{
	const struct group *g = run->group;
	struct log_pos last = last_entry(&run->call.status);

	if (run->tx || run->r->op != OP_STATEMENT || writes(run) ||
	    run->call.status.role != ROLE_PRIMARY || last.position == 0)
		return false;
	return g->confirmed.term != last.term ||
	       g->confirmed.position < last.position;
}

/* The last entry of a log; a term that has just begun has none of its own. */
static struct log_pos last_entry(const struct db_status *s)
{
	const struct lineage *l = &s->lineage;
	struct log_pos at = s->end;
	uint32_t i;

	for (i = l->n; i > 0 && l->start[i - 1].position >= at.position; i--)
		at.term = i > 1 ? l->start[i - 2].term : at.term;
	return at;
}

/* Waits until a majority holds the log up to a place. */
static void wait_confirmed(struct run *run, struct log_pos at, usec_t now)
{
	struct group *g = run->group;

	run->stage = RUN_CONFIRM;
	run_list_add(&g->confirming, run);
	g->confirms++;
	confirm_start(&run->confirm, at, run->r->deadline);
	run_check_confirm(run, now);
	group_poke(g);
}

/* A majority holds the log up to a place; places of later terms go first. */
static void note_confirmed(struct group *g, struct log_pos at)
{
	if (log_pos_cmp(at, g->confirmed) > 0)
		g->confirmed = at;
}

/* Moves what the database answered into the caller's answer. */
static void take_answer(struct run *run)
{
	struct group *g = run->group;
	struct answer *a = &run->r->answer;
	struct db_call *c = &run->call;

	free(a->rows);
	a->rows = c->rows;
	c->rows = NULL;
	a->at = writes(run) ? c->at : c->status.end;
	a->from_replica = c->status.role == ROLE_REPLICA;
	a->age_us = 0;
	if (a->from_replica && run->db->index != DB_NONE)
		a->age_us = route_age(&g->view, run->db->index,
				      g->shard->engine->route.clock_rate_ppm,
				      clock_now());
}

/* What kind of call the decision about retries sees. */
static enum once_kind once_kind_of(const struct run *run)
{
	switch (run->r->op) {
	case OP_BEGIN:
		return ONCE_TX_BEGIN;
	case OP_COMMIT:
		return ONCE_TX_COMMIT;
	case OP_ROLLBACK:
		return ONCE_TX_ROLLBACK;
	case OP_STATEMENT:
		break;
	}
	if (run->tx)
		return ONCE_TX_STATEMENT;
	return run->r->kind == KIND_WRITE ? ONCE_WRITE : ONCE_READ;
}

/* How a call ended, as the decision about retries sees it. */
static enum call_end call_end_of(const struct db_call *c)
{
	switch (c->result) {
	case DB_OK:
		return CALL_END_DONE;
	case DB_REFUSED:
		return CALL_END_REFUSED;
	case DB_NOT_SENT:
		return CALL_END_NOT_SENT;
	case DB_LOST:
		break;
	}
	return CALL_END_NO_REPLY;
}

/* The step that an error of a request's call belongs to. */
static enum step step_of(const struct run *run)
{
	if (run->call.error.step != STEP_NONE)
		return run->call.error.step;
	return STEP_CONFIRM;
}

/* Can the request's call change data for good? */
static bool writes(const struct run *run)
{
	if (run->r->op == OP_COMMIT)
		return true;
	return run->r->op == OP_STATEMENT && run->r->kind == KIND_WRITE &&
	       !run->tx;
}
