#include "kernel/engine_internal.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/teams.h"

#define KEY_CHECK_INTERVAL_US (100 * USEC_PER_MSEC)

static struct tx *find_tx(struct shard *s, const struct tx_id *id);
static void apply_verdict(struct tx *tx, struct exec *exec,
			  struct tx_verdict v);
static void apply_rollback(struct tx *tx, struct exec *exec,
			   struct tx_verdict v);
static void send_waiting(struct tx *tx);
static void send_rollback(struct tx *tx);
static void on_rollback(struct db_call *c);
static void free_if_ended(struct tx *tx);
static void check_key(struct tx *tx);

/*
 * Registers the transaction that a begin has opened, and answers the begin. The
 * shard's lock is held.
 */
void tx_opened(struct exec *exec, bool ok)
{
	struct group *g = exec->group;
	struct shard *s = g->shard;
	struct kernel *k = s->kernel;
	struct request *r = exec->request;
	struct tx *tx = calloc(1, sizeof(*tx));
	struct tx_id id = { 0 };
	usec_t max_duration =
		(usec_t)k->settings.transaction_max_ms * USEC_PER_MSEC;

	if (!tx || !ok)
		abort();
	snprintf(id.vm, sizeof(id.vm), "%s", k->settings.vm);
	id.incarnation = k->incarnation;
	id.number = __atomic_add_fetch(&s->engine->tx_next_number, 1,
				       __ATOMIC_RELAXED);
	id.guard = shard_random(s);
	tx_begin(&tx->state, &id, r->team, exec->call.term, exec->db->index,
		 clock_now() + max_duration);
	tx_begun(&tx->state, true, ERR_NONE);
	tx->group = g;
	tx->db = exec->db;
	tx->waiting_last = &tx->waiting_first;
	snprintf(tx->key_id, sizeof(tx->key_id), "%s", r->key_id);
	memcpy(tx->db_tx_id, exec->call.new_transaction, sizeof(tx->db_tx_id));
	tx->next = g->transactions;
	tx->pprev = &g->transactions;
	if (tx->next)
		tx->next->pprev = &tx->next;
	g->transactions = tx;
	__atomic_add_fetch(&s->transactions, 1, __ATOMIC_RELAXED);
	apr_hash_set(s->by_tx, &tx->state.id.number,
		     sizeof(tx->state.id.number), tx);
	tx_id_format(&id, r->answer.transaction);
	exec_finish(exec, OUTCOME_DONE, ERR_NONE, STEP_TX_BEGIN, "", "");
	if (tx->state.term != g->view.term)
		apply_verdict(tx, NULL,
			      tx_term_changed(&tx->state, g->view.term));
}

/*
 * Submits a statement, commit or rollback to its transaction, or forwards it to
 * the VM that holds it. The shard's lock is held.
 */
void tx_submit(struct exec *exec)
{
	struct group *g = exec->group;
	struct kernel *k = g->shard->kernel;
	struct request *r = exec->request;
	struct error e = { 0 };
	struct fleet_vm vm = { 0 };
	struct tx_id id;
	struct tx *tx;
	bool known;

	if (tx_id_parse(&id, r->transaction, &e)) {
		exec_finish(exec, OUTCOME_NOT_RUN, ERR_UNPROCESSABLE,
			    STEP_PARSE, "", e.message);
		return;
	}
	known = fleet_find(k, id.vm, &vm);
	if (tx_locate(&id, k->settings.vm, k->incarnation, known,
		      vm.incarnation) == TX_FORWARD &&
	    !r->forwarded) {
		forward_request(exec, id.vm);
		return;
	}
	tx = find_tx(g->shard, &id);
	if (!tx || tx->group != g) {
		exec_finish(exec, OUTCOME_NOT_RUN, ERR_TX_GONE,
			    STEP_TX_STATEMENT, "", "no such transaction");
		return;
	}
	if (r->op == OP_ROLLBACK)
		apply_verdict(tx, exec, tx_rollback(&tx->state, r->team));
	else
		apply_verdict(tx, exec,
			      tx_arrive(&tx->state, r->team, r->op == OP_COMMIT,
					clock_now()));
}

/*
 * Updates a transaction after the call of its statement, commit or rollback has
 * ended. The shard's lock is held.
 */
void tx_call_ended(struct exec *exec, enum outcome o, enum error_code why)
{
	struct tx *tx = exec->tx;

	exec->tx = NULL;
	tx->active = NULL;
	if (exec->request->op == OP_COMMIT)
		tx_commit_end(&tx->state, o, why);
	else if (exec->request->op == OP_ROLLBACK)
		tx_rolled_back(&tx->state);
	else
		apply_verdict(tx, NULL, tx_statement_end(&tx->state, o, why));
	send_waiting(tx);
}

/*
 * Ends the transactions of earlier terms after the group's term has changed.
 * The shard's lock is held.
 */
void tx_group_term_changed(struct group *g)
{
	struct tx *tx, *next;

	for (tx = g->transactions; tx; tx = next) {
		next = tx->next;
		apply_verdict(tx, NULL,
			      tx_term_changed(&tx->state, g->view.term));
		send_waiting(tx);
	}
}

/*
 * Enforces time limits and key withdrawals, and frees transactions that have
 * ended. The shard's lock is held.
 */
void tx_group_tick(struct group *g, usec_t now)
{
	struct tx *tx, *next;

	for (tx = g->transactions; tx; tx = next) {
		next = tx->next;
		apply_verdict(tx, NULL, tx_tick(&tx->state, now));
		if (now - tx->key_checked_at > KEY_CHECK_INTERVAL_US) {
			tx->key_checked_at = now;
			check_key(tx);
		}
		send_waiting(tx);
		free_if_ended(tx);
	}
}

/* Frees all transactions of a group that is destroyed. */
void tx_group_free(struct group *g)
{
	struct tx *tx;

	while ((tx = g->transactions)) {
		g->transactions = tx->next;
		free(tx);
	}
}

/*
 * Returns a transaction by its full id, or NULL. The random guard is compared
 * in constant time, so that ids cannot be guessed.
 */
static struct tx *find_tx(struct shard *s, const struct tx_id *id)
{
	struct tx *tx = apr_hash_get(s->by_tx, &id->number, sizeof(id->number));

	if (!tx || tx->state.id.incarnation != id->incarnation ||
	    sodium_memcmp(&tx->state.id.guard, &id->guard, sizeof(id->guard)) !=
		    0)
		return NULL;
	return tx;
}

/*
 * Applies a verdict to a request, or to the transaction alone if exec is NULL.
 */
static void apply_verdict(struct tx *tx, struct exec *exec, struct tx_verdict v)
{
	if (!exec && (v.next == TX_SEND || v.next == TX_QUEUE))
		return; /* these apply to statements only */
	switch (v.next) {
	case TX_SEND:
		exec->tx = tx;
		tx->active = exec;
		exec_call(exec, tx->db);
		return;
	case TX_QUEUE:
		exec->stage = EXEC_QUEUED;
		exec->tx_next = NULL;
		*tx->waiting_last = exec;
		tx->waiting_last = &exec->tx_next;
		return;
	case TX_ROLLBACK:
		apply_rollback(tx, exec, v);
		return;
	case TX_REFUSE:
		if (exec)
			exec_finish(
				exec, v.outcome, v.why, STEP_TX_STATEMENT, "",
				"the transaction does not accept the statement");
		return;
	case TX_NOTHING:
		if (exec)
			exec_finish(exec, OUTCOME_DONE, ERR_NONE,
				    STEP_TX_ROLLBACK, "", "");
		return;
	}
}

/*
 * Rolls back. A rollback by the caller is sent as it is; any other statement is
 * refused and a rollback is sent on the transaction's behalf.
 */
static void apply_rollback(struct tx *tx, struct exec *exec,
			   struct tx_verdict v)
{
	if (exec && exec->request->op == OP_ROLLBACK && !tx->rolling_back) {
		exec->tx = tx;
		tx->active = exec;
		exec_call(exec, tx->db);
		return;
	}
	if (exec)
		exec_finish(exec, v.outcome, v.why, STEP_TX_STATEMENT, "",
			    "the transaction is rolled back");
	send_rollback(tx);
}

/* Processes the queued statements, in order, until one is at the database. */
static void send_waiting(struct tx *tx)
{
	struct exec *exec;

	while (!tx->active && (exec = tx->waiting_first)) {
		tx->waiting_first = exec->tx_next;
		if (!tx->waiting_first)
			tx->waiting_last = &tx->waiting_first;
		apply_verdict(tx, exec,
			      tx_dequeue(&tx->state,
					 exec->request->op == OP_COMMIT,
					 clock_now()));
	}
}

/* Sends a rollback that no caller requested. */
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
	memcpy(c->transaction, tx->db_tx_id, sizeof(c->transaction));
	c->timeout = g->shard->engine->probe.reply_us;
	c->new_connection = tx->state.in_doubt;
	c->done = on_rollback;
	c->ctx = tx;
	database_submit(c);
}

/*
 * Handles the end of the rollback. If it failed, the database ends the
 * transaction by its own time limit. Takes the lock.
 */
static void on_rollback(struct db_call *c)
{
	struct tx *tx = c->ctx;
	struct shard *s = tx->group->shard;

	shard_lock(s);
	group_note_response(tx->db, c);
	tx->rolling_back = false;
	tx_rolled_back(&tx->state);
	send_waiting(tx);
	shard_unlock(s);
}

/* Frees a transaction that has ended and is no longer referred to. */
static void free_if_ended(struct tx *tx)
{
	struct shard *s = tx->group->shard;

	if (tx->state.state != TX_ENDED || tx->active || tx->waiting_first ||
	    tx->rolling_back)
		return;
	*tx->pprev = tx->next;
	if (tx->next)
		tx->next->pprev = tx->pprev;
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

	if (!teams_recheck_key(k, tx->state.team, tx->key_id, &e))
		return;
	if (e.code == ERR_KEY_UNKNOWN)
		apply_verdict(tx, NULL, tx_key_withdrawn(&tx->state));
}
