#include "kernel/engine_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"

#define VIEW_CHANGE_WAIT_US (20 * USEC_PER_MSEC)
#define BUSY_BACKOFF_US	    (1 * USEC_PER_MSEC)
#define BUSY_DOUBLINGS_MAX  4

static void wait_for_slot(struct exec *exec, usec_t now);
static void fill_call(struct exec *exec, struct group_db *db, usec_t now);
static void on_call_done(struct db_call *c);
static void adjust_slots(struct exec *exec, usec_t now);
static void handle_response(struct exec *exec, usec_t now);
static enum idem_kind idem_kind_of(const struct exec *exec);
static enum call_end call_end_of(const struct db_call *c);
static bool read_is_unconfirmed(const struct exec *exec);
static struct log_pos last_entry(const struct db_status *s);
static void wait_confirmed(struct exec *exec, struct log_pos at, usec_t now);
static void note_confirmed(struct group *g, struct log_pos at);
static void copy_response(struct exec *exec);
static enum step step_of(const struct exec *exec);
static bool is_write(const struct exec *exec);

/*
 * Sends a request to a database. The request holds a slot of its queue, unless
 * it is a statement of a transaction. The shard's lock is held.
 */
void exec_call(struct exec *exec, struct group_db *db)
{
	usec_t now = clock_now();

	if (now >= exec->request->deadline) {
		exec_refuse(exec, ERR_DEADLINE, STEP_EXECUTE,
			    "deadline passed before the call");
		return;
	}
	exec->stage = EXEC_CALLING;
	exec->db = db;
	exec->attempts++;
	fill_call(exec, db, now);
	exec->sent_term = exec->call.term;
	if (db->index != DB_NONE)
		exec->group->view.db[db->index].running++;
	if (is_write(exec))
		exec->group->writes_in_flight++;
	if (exec->has_slot)
		exec_list_add(&exec->group->in_flight, exec);
	database_submit(&exec->call);
}

/*
 * Releases the slots of the calls to a former primary, which it may never
 * answer, for requests that wait for the new one. The shard's lock is held.
 */
void exec_release_calls(struct group *g, const struct group_db *old_primary)
{
	struct exec *exec;

	for (exec = g->in_flight.first; exec; exec = exec->next) {
		if (exec->db == old_primary && exec->queue == g->primary_queue)
			exec_release_slot(exec);
	}
}

/*
 * Checks whether the log position that a request waits for is confirmed,
 * superseded or overdue, and continues accordingly. The shard's lock is held.
 */
void exec_check_confirm(struct exec *exec, usec_t now)
{
	struct group *g = exec->group;

	switch (write_quorum_check(&exec->confirm, &g->view, now)) {
	case QUORUM_WAIT:
		return;
	case QUORUM_DONE:
		exec_unlink(exec);
		g->n_confirming--;
		note_confirmed(g, exec->confirm.at);
		if (is_write(exec)) {
			counter_add(CTR_CONFIRMS, 1);
			counter_add(CTR_CONFIRM_WAIT_US,
				    (uint64_t)(now - exec->call.heard_at));
		}
		exec_finish(exec, OUTCOME_DONE, ERR_NONE, STEP_CONFIRM, "", "");
		return;
	case QUORUM_LOST:
		exec_unlink(exec);
		g->n_confirming--;
		if (is_write(exec))
			exec_call_ended(exec, CALL_END_LOST, REFUSAL_NONE);
		else
			exec_park(exec, now, false);
		return;
	case QUORUM_UNKNOWN:
		exec_unlink(exec);
		g->n_confirming--;
		if (is_write(exec))
			exec_call_ended(exec, CALL_END_UNCONFIRMED,
					REFUSAL_NONE);
		else
			exec_finish(
				exec, OUTCOME_NOT_RUN, ERR_NO_REPLICA,
				STEP_CONFIRM, exec->call.address,
				"what was read is not confirmed by a majority");
		return;
	}
}

/*
 * Decides how a request continues after a call has ended: a response to the
 * caller, a confirmation or another call. The shard's lock is held.
 */
void exec_call_ended(struct exec *exec, enum call_end end, enum refusal refusal)
{
	struct group *g = exec->group;
	struct engine *e = g->shard->engine;
	usec_t now = clock_now();
	struct idem_verdict v;
	struct idem_call c = {
		.kind = idem_kind_of(exec),
		.has_id = exec->request->request_id[0] != '\0',
		.maybe_ran = exec->maybe_ran,
		.end = end,
		.refusal = refusal,
		.now = now,
		.deadline = exec->request->deadline,
	};
	usec_t delay = retry_backoff(&e->retry, exec->attempts,
				     shard_random(g->shard));

	if (end == CALL_END_REFUSED && refusal == REFUSAL_BUSY && !exec->tx) {
		wait_for_slot(exec, now);
		return;
	}
	if (end == CALL_END_DONE && exec->attempts == 1)
		retry_budget_credit(&g->budget, &e->retry);
	c.retry_ok = true;
	v = idem_decide(&c);
	if (v.next >= IDEM_RETRY &&
	    !retry_budget_take(&g->budget, &e->retry, exec->attempts)) {
		c.retry_ok = false;
		v = idem_decide(&c);
	}
	if (end == CALL_END_NO_REPLY)
		exec->maybe_ran = true;
	switch (v.next) {
	case IDEM_ANSWER:
		exec_finish(exec, v.outcome, v.why, step_of(exec),
			    exec->call.address, exec->call.error.message);
		return;
	case IDEM_CONFIRM:
		wait_confirmed(exec, exec->call.at, now);
		return;
	case IDEM_RETRY:
	case IDEM_RESEND_ID:
		counter_add(CTR_RETRIES, 1);
		exec_park(exec, now + delay, false);
		return;
	case IDEM_RETRY_VIEW:
		counter_add(CTR_RETRIES, 1);
		exec_park(exec, now + VIEW_CHANGE_WAIT_US, true);
		return;
	case IDEM_RETRY_OTHER:
		counter_add(CTR_RETRIES, 1);
		if (exec->db->index != DB_NONE)
			exec->want.tried_mask |= 1u << exec->db->index;
		exec_park(exec, now, false);
		return;
	}
}

/*
 * Parks a request because all slots of the database are taken, also by other
 * VMs. Nothing was executed, so the request may wait until its deadline. The
 * VM's own limit has been cut, and the waits grow exponentially, so that
 * refusals stay rare.
 */
static void wait_for_slot(struct exec *exec, usec_t now)
{
	uint32_t n = exec->busy_refusals < BUSY_DOUBLINGS_MAX
			     ? exec->busy_refusals
			     : BUSY_DOUBLINGS_MAX;
	usec_t wait = BUSY_BACKOFF_US << n;

	exec->busy_refusals++;
	exec->attempts--;
	counter_add(CTR_RETRIES, 1);
	wait += (usec_t)(shard_random(exec->group->shard) % (uint64_t)wait);
	exec_park(exec, now + wait, false);
}

/* Fills in a call from the request. */
static void fill_call(struct exec *exec, struct group_db *db, usec_t now)
{
	const struct request *r = exec->request;
	const struct settings *s = &exec->group->shard->kernel->settings;
	struct db_call *c = &exec->call;
	usec_t max_timeout = (usec_t)s->reply_timeout_ms * USEC_PER_MSEC;

	free(c->rows);
	memset(c, 0, sizeof(*c));
	c->op = r->op == OP_BEGIN      ? DB_BEGIN
		: r->op == OP_COMMIT   ? DB_COMMIT
		: r->op == OP_ROLLBACK ? DB_ROLLBACK
				       : DB_EXECUTE;
	c->loop = exec->group->shard->loop;
	memcpy(c->address, db->address, sizeof(c->address));
	c->term = exec->tx ? exec->tx->state.term : exec->group->view.term;
	c->kind = r->kind;
	c->statement = r->statement;
	c->parameters = r->parameters;
	if (r->request_id[0]) {
		snprintf(c->request_id, sizeof(c->request_id), "%s.%s", r->team,
			 r->request_id);
		memcpy(c->body_hash, r->body_hash, sizeof(c->body_hash));
	}
	if (exec->tx)
		memcpy(c->transaction, exec->tx->db_tx_id,
		       sizeof(c->transaction));
	c->timeout = r->deadline - now < max_timeout ? r->deadline - now
						     : max_timeout;
	c->new_connection = exec->attempts > 1 && exec->call.result == DB_LOST;
	c->done = on_call_done;
	c->ctx = exec;
}

/* Handles the response to a call, or its timeout. Takes the lock. */
static void on_call_done(struct db_call *c)
{
	struct exec *exec = c->ctx;
	struct group *g = exec->group;
	struct shard *s = g->shard;
	usec_t now = clock_now();

	shard_lock(s);
	exec_unlink(exec);
	if (exec->db->index != DB_NONE)
		g->view.db[exec->db->index].running--;
	if (is_write(exec))
		g->writes_in_flight--;
	if (exec->has_slot)
		adjust_slots(exec, now);
	if (c->result == DB_LOST)
		log_event(EV_DB_SUSPECT, "service=%s database=%s step=%s",
			  g->service, exec->db->name, step_name(c->error.step));
	exec_release_slot(exec);
	group_note_response(exec->db, c);
	handle_response(exec, now);
	group_run_queues(g);
	shard_unlock(s);
}

/* Adjusts the queue's concurrency limit to what the database accepts. */
static void adjust_slots(struct exec *exec, usec_t now)
{
	const struct settings *s = &exec->group->shard->kernel->settings;
	const struct db_call *c = &exec->call;
	struct admit_limits l = { .queue_max = s->queue_max,
				  .team_max =
					  s->queue_max / QUEUE_TEAM_DIVISOR };
	uint32_t old_limit = concurrency_limit(exec->slots);

	if (c->result == DB_REFUSED && c->refusal == REFUSAL_BUSY)
		concurrency_on_busy(exec->slots, now);
	else if (c->result == DB_OK)
		concurrency_on_accepted(exec->slots,
					admit_waiting(exec->queue) > 0);
	l.slots = concurrency_limit(exec->slots);
	if (l.slots != old_limit)
		admit_set_limits(exec->queue, &l);
}

/* Continues a request whose call has ended. */
static void handle_response(struct exec *exec, usec_t now)
{
	struct group *g = exec->group;
	struct db_call *c = &exec->call;

	if (exec->request->op == OP_BEGIN && c->result == DB_OK) {
		tx_opened(exec, true);
		return;
	}
	if (c->result == DB_OK && !is_write(exec) && !exec->tx) {
		if (exec->db->index == DB_NONE ||
		    !route_answer_ok(&g->view, exec->db->index, &exec->want,
				     &g->shard->engine->route, now)) {
			if (exec->db->index != DB_NONE)
				exec->want.tried_mask |= 1u << exec->db->index;
			exec_park(exec, now, false);
			return;
		}
	}
	if (c->result == DB_OK)
		copy_response(exec);
	if (c->result == DB_OK && read_is_unconfirmed(exec)) {
		wait_confirmed(exec, last_entry(&c->status), now);
		return;
	}
	exec_call_ended(exec, call_end_of(c), c->refusal);
}

/*
 * Returns whether a read at the primary has seen an entry that no majority is
 * known to hold. A promotion could discard that entry after the session has
 * acted on it.
 */
static bool read_is_unconfirmed(const struct exec *exec)
{
	const struct group *g = exec->group;
	struct log_pos last = last_entry(&exec->call.status);

	if (exec->tx || exec->request->op != OP_STATEMENT || is_write(exec) ||
	    exec->call.status.role != ROLE_PRIMARY || last.position == 0)
		return false;
	return g->confirmed_pos.term != last.term ||
	       g->confirmed_pos.position < last.position;
}

/*
 * Returns the position and term of the last entry of a log. A term that has
 * just begun has no entries, so the entry is of an earlier term.
 */
static struct log_pos last_entry(const struct db_status *s)
{
	const struct lineage *l = &s->lineage;
	struct log_pos at = s->end;
	uint32_t i;

	for (i = l->n; i > 0 && l->start[i - 1].position >= at.position; i--)
		at.term = i > 1 ? l->start[i - 2].term : at.term;
	return at;
}

/* Waits until a majority holds the log up to a position. */
static void wait_confirmed(struct exec *exec, struct log_pos at, usec_t now)
{
	struct group *g = exec->group;

	exec->stage = EXEC_CONFIRM;
	exec_list_add(&g->confirming, exec);
	g->n_confirming++;
	write_quorum_start(&exec->confirm, at, exec->request->deadline);
	exec_check_confirm(exec, now);
	group_tick_soon(g);
}

/*
 * Records that a majority holds the log up to a position, if it is later than
 * the one recorded. A later term is later than any position of an earlier one.
 */
static void note_confirmed(struct group *g, struct log_pos at)
{
	if (log_pos_cmp(at, g->confirmed_pos) > 0)
		g->confirmed_pos = at;
}

/* Moves the database's response into the response to the caller. */
static void copy_response(struct exec *exec)
{
	struct group *g = exec->group;
	struct answer *a = &exec->request->answer;
	struct db_call *c = &exec->call;

	free(a->rows);
	a->rows = c->rows;
	c->rows = NULL;
	a->at = is_write(exec) ? c->at : c->status.end;
	a->from_replica = c->status.role == ROLE_REPLICA;
	a->age_us = 0;
	if (a->from_replica && exec->db->index != DB_NONE)
		a->age_us = route_staleness(
			&g->view, exec->db->index,
			g->shard->engine->route.clock_rate_ppm, clock_now());
}

/* Returns the kind of a request for the decision whether to retry a call. */
static enum idem_kind idem_kind_of(const struct exec *exec)
{
	switch (exec->request->op) {
	case OP_BEGIN:
		return IDEM_TX_BEGIN;
	case OP_COMMIT:
		return IDEM_TX_COMMIT;
	case OP_ROLLBACK:
		return IDEM_TX_ROLLBACK;
	case OP_STATEMENT:
		break;
	}
	if (exec->tx)
		return IDEM_TX_STATEMENT;
	return exec->request->kind == KIND_WRITE ? IDEM_WRITE : IDEM_READ;
}

/* Returns how a call ended, for the decision whether to retry it. */
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

/* Returns the step that an error of a request's call is attributed to. */
static enum step step_of(const struct exec *exec)
{
	if (exec->call.error.step != STEP_NONE)
		return exec->call.error.step;
	return STEP_CONFIRM;
}

/* Returns whether the request's call can change data durably. */
static bool is_write(const struct exec *exec)
{
	if (exec->request->op == OP_COMMIT)
		return true;
	return exec->request->op == OP_STATEMENT &&
	       exec->request->kind == KIND_WRITE && !exec->tx;
}
