#include "kernel/engine_own.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/teams.h"

#define KEY_CHECK_GAP (100 * USEC_PER_MSEC)

static struct tx *find(struct shard *s, const struct tx_id *id);
static void act(struct tx *tx, struct run *run, struct tx_verdict v);
static void act_rollback(struct tx *tx, struct run *run, struct tx_verdict v);
static void next_waiting(struct tx *tx);
static void send_rollback(struct tx *tx);
static void on_rollback(struct db_call *c);
static void sweep(struct tx *tx);
static void check_key(struct tx *tx);

/* A begin was answered: the transaction is open here. Shard's lock. */
void tx_run_begun(struct run *run, bool ok)
{
	struct group *g = run->group;
	struct shard *s = g->shard;
	struct kernel *k = s->kernel;
	struct request *r = run->r;
	struct tx *tx = calloc(1, sizeof(*tx));
	struct tx_id id = { 0 };
	usec_t most = (usec_t)k->settings.transaction_max_ms * USEC_PER_MSEC;

	if (!tx || !ok)
		abort();
	snprintf(id.vm, sizeof(id.vm), "%s", k->settings.vm);
	id.incarnation = k->incarnation;
	id.number =
		__atomic_add_fetch(&s->engine->tx_numbers, 1, __ATOMIC_RELAXED);
	id.guard = shard_random(s);
	tx_begin(&tx->state, &id, r->team, run->call.term, run->db->index,
		 clock_now() + most);
	tx_begun(&tx->state, true, ERR_NONE);
	tx->group = g;
	tx->db = run->db;
	tx->waiting_last = &tx->waiting_first;
	snprintf(tx->key_id, sizeof(tx->key_id), "%s", r->key_id);
	memcpy(tx->remote, run->call.new_transaction, sizeof(tx->remote));
	tx->next = g->transactions;
	tx->back = &g->transactions;
	if (tx->next)
		tx->next->back = &tx->next;
	g->transactions = tx;
	__atomic_add_fetch(&s->transactions, 1, __ATOMIC_RELAXED);
	apr_hash_set(s->by_tx, &tx->state.id.number,
		     sizeof(tx->state.id.number), tx);
	tx_id_format(&id, r->answer.transaction);
	run_finish(run, OUTCOME_DONE, ERR_NONE, STEP_TX_BEGIN, "", "");
	if (tx->state.term != g->view.term)
		act(tx, NULL, tx_view(&tx->state, g->view.term));
}

/* A statement, commit or rollback of a transaction arrives. Shard's lock. */
void tx_run_arrive(struct run *run)
{
	struct group *g = run->group;
	struct kernel *k = g->shard->kernel;
	struct request *r = run->r;
	struct error e = { 0 };
	struct fleet_vm vm = { 0 };
	struct tx_id id;
	struct tx *tx;
	bool known;

	if (tx_id_parse(&id, r->transaction, &e)) {
		run_finish(run, OUTCOME_NOT_RUN, ERR_UNPROCESSABLE, STEP_PARSE,
			   "", e.message);
		return;
	}
	known = fleet_find(k, id.vm, &vm);
	if (tx_locate(&id, k->settings.vm, k->incarnation, known,
		      vm.incarnation) == TX_FORWARD &&
	    !r->forwarded) {
		forward_run(run, id.vm);
		return;
	}
	tx = find(g->shard, &id);
	if (!tx || tx->group != g) {
		run_finish(run, OUTCOME_NOT_RUN, ERR_TX_GONE, STEP_TX_STATEMENT,
			   "", "no such transaction");
		return;
	}
	if (r->op == OP_ROLLBACK)
		act(tx, run, tx_rollback(&tx->state, r->team));
	else
		act(tx, run,
		    tx_arrive(&tx->state, r->team, r->op == OP_COMMIT,
			      clock_now()));
}

/* The call of a transaction's statement or commit has ended. Shard's lock. */
void tx_run_ended(struct run *run, enum outcome o, enum error_code why)
{
	struct tx *tx = run->tx;

	run->tx = NULL;
	tx->active = NULL;
	if (run->r->op == OP_COMMIT)
		tx_commit_end(&tx->state, o, why);
	else if (run->r->op == OP_ROLLBACK)
		tx_rolled_back(&tx->state);
	else
		act(tx, NULL, tx_statement_end(&tx->state, o, why));
	next_waiting(tx);
}

/* The group's term has changed: transactions of the old one are over. */
void tx_group_view(struct group *g)
{
	struct tx *tx, *next;

	for (tx = g->transactions; tx; tx = next) {
		next = tx->next;
		act(tx, NULL, tx_view(&tx->state, g->view.term));
		next_waiting(tx);
	}
}

/* Time limits and withdrawn keys; frees what has ended. Shard's lock. */
void tx_group_tick(struct group *g, usec_t now)
{
	struct tx *tx, *next;

	for (tx = g->transactions; tx; tx = next) {
		next = tx->next;
		act(tx, NULL, tx_tick(&tx->state, now));
		if (now - tx->key_checked_at > KEY_CHECK_GAP) {
			tx->key_checked_at = now;
			check_key(tx);
		}
		next_waiting(tx);
		sweep(tx);
	}
}

/* Frees all transactions of a group that goes away. */
void tx_group_drop(struct group *g)
{
	struct tx *tx;

	while ((tx = g->transactions)) {
		g->transactions = tx->next;
		free(tx);
	}
}

/* A transaction by its whole id; the guard keeps ids from being guessed. */
static struct tx *find(struct shard *s, const struct tx_id *id)
{
	struct tx *tx = apr_hash_get(s->by_tx, &id->number, sizeof(id->number));

	if (!tx || tx->state.id.incarnation != id->incarnation ||
	    sodium_memcmp(&tx->state.id.guard, &id->guard, sizeof(id->guard)) !=
		    0)
		return NULL;
	return tx;
}

/* Carries out a verdict, on a request or on the transaction itself. */
static void act(struct tx *tx, struct run *run, struct tx_verdict v)
{
	if (!run && (v.next == TX_SEND || v.next == TX_QUEUE))
		return; /* these speak of a statement only */
	switch (v.next) {
	case TX_SEND:
		run->tx = tx;
		tx->active = run;
		run_call(run, tx->db);
		return;
	case TX_QUEUE:
		run->stage = RUN_QUEUED;
		run->tx_next = NULL;
		*tx->waiting_last = run;
		tx->waiting_last = &run->tx_next;
		return;
	case TX_ROLLBACK:
		act_rollback(tx, run, v);
		return;
	case TX_REFUSE:
		if (run)
			run_finish(run, v.outcome, v.why, STEP_TX_STATEMENT, "",
				   "the transaction does not take it");
		return;
	case TX_NOTHING:
		if (run)
			run_finish(run, OUTCOME_DONE, ERR_NONE,
				   STEP_TX_ROLLBACK, "", "");
		return;
	}
}

/*
 * Rolls back: a caller's own rollback carries the call itself; any other
 * statement is refused and the transaction rolled back behind it.
 */
static void act_rollback(struct tx *tx, struct run *run, struct tx_verdict v)
{
	if (run && run->r->op == OP_ROLLBACK && !tx->rolling_back) {
		run->tx = tx;
		tx->active = run;
		run_call(run, tx->db);
		return;
	}
	if (run)
		run_finish(run, v.outcome, v.why, STEP_TX_STATEMENT, "",
			   "the transaction is rolled back");
	send_rollback(tx);
}

/* Takes up the statements that wait behind one that has ended, in order. */
static void next_waiting(struct tx *tx)
{
	struct run *run;

	while (!tx->active && (run = tx->waiting_first)) {
		tx->waiting_first = run->tx_next;
		if (!tx->waiting_first)
			tx->waiting_last = &tx->waiting_first;
		act(tx, run,
		    tx_dequeue(&tx->state, run->r->op == OP_COMMIT,
			       clock_now()));
	}
}

/* Rolls a transaction back that nobody ends. */
static void send_rollback(struct tx *tx)
{
	struct group *g = tx->group;
	struct db_call *c = &tx->rollback;

	if (tx->rolling_back)
		return;
	tx->rolling_back = true;
	memset(c, 0, sizeof(*c));
	c->op = DB_ROLLBACK;
	c->loop = g->shard->loop;
	memcpy(c->address, tx->db->address, sizeof(c->address));
	memcpy(c->transaction, tx->remote, sizeof(c->transaction));
	c->timeout = g->shard->engine->probe.reply_us;
	c->fresh = tx->state.doubt;
	c->done = on_rollback;
	c->ctx = tx;
	database_submit(c);
}

/* The rollback is through, or the database ends it by its own limit. */
static void on_rollback(struct db_call *c)
{
	struct tx *tx = c->ctx;
	struct shard *s = tx->group->shard;

	shard_lock(s);
	group_heard(tx->db, c);
	tx->rolling_back = false;
	tx_rolled_back(&tx->state);
	next_waiting(tx);
	shard_unlock(s);
}

/* Frees a transaction that has ended and that nothing refers to. */
static void sweep(struct tx *tx)
{
	struct shard *s = tx->group->shard;

	if (tx->state.state != TX_ENDED || tx->active || tx->waiting_first ||
	    tx->rolling_back)
		return;
	*tx->back = tx->next;
	if (tx->next)
		tx->next->back = tx->back;
	apr_hash_set(s->by_tx, &tx->state.id.number,
		     sizeof(tx->state.id.number), NULL);
	__atomic_sub_fetch(&s->transactions, 1, __ATOMIC_RELAXED);
	free(tx);
}

/* Ends a transaction whose key has been withdrawn. */
static void check_key(struct tx *tx)
{
	struct kernel *k = tx->group->shard->kernel;
	struct error e = { 0 };

	if (!teams_recheck(k, tx->state.team, tx->key_id, &e))
		return;
	if (e.code == ERR_KEY_UNKNOWN)
		act(tx, NULL, tx_key_withdrawn(&tx->state));
}
