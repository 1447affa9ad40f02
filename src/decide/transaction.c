#include "decide/transaction.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX_BASE 16

static struct tx_verdict verdict(enum tx_next next, enum outcome o,
				 enum error_code why);
static struct tx_verdict refuse_ended(const struct transaction *t);
static struct tx_verdict fail(struct transaction *t, enum error_code why);
static struct tx_verdict start_statement(struct transaction *t, bool commit);
static const char *parse_hex(const char *text, uint64_t *v);

/*
 * Writes an id as "VM.INCARNATION.NUMBER.GUARD", with the numbers in hex.
 * Returns 0, or -1 if it does not fit.
 */
int tx_id_format(const struct tx_id *id, char text[TX_ID_BYTES])
{
	int n;

	n = snprintf(text, TX_ID_BYTES, "%s.%" PRIx64 ".%" PRIx64 ".%" PRIx64,
		     id->vm, id->incarnation, id->number, id->guard);
	if (n > 0 && n < TX_ID_BYTES)
		return 0;
	text[0] = '\0';
	return -1;
}

/*
 * Parses an id. The VM's name may contain dots. Returns 0, or -1 with
 * ERR_NOT_FOUND if the id is malformed.
 */
int tx_id_parse(struct tx_id *id, const char *text, struct error *e)
{
	const char *dot[3];
	const char *end = text + strnlen(text, TX_ID_BYTES);
	const char *s = end;
	int i;

	memset(id, 0, sizeof(*id));
	for (i = 2; i >= 0; i--) {
		while (s > text && *--s != '.')
			continue;
		if (s == text)
			goto bad;
		dot[i] = s;
	}
	if (*end != '\0' || dot[0] - text >= NAME_MAX_BYTES)
		goto bad;
	memcpy(id->vm, text, (size_t)(dot[0] - text));
	if (parse_hex(dot[0] + 1, &id->incarnation) != dot[1])
		goto bad;
	if (parse_hex(dot[1] + 1, &id->number) != dot[2])
		goto bad;
	if (parse_hex(dot[2] + 1, &id->guard) != end)
		goto bad;
	return 0;
bad:
	return error_set(e, ERR_NOT_FOUND, STEP_PARSE, NULL,
			 "no such transaction");
}

/* Initializes a transaction that is to begin on a database in a term. */
void tx_begin(struct transaction *t, const struct tx_id *id, const char *team,
	      uint64_t term, uint32_t db, usec_t deadline)
{
	memset(t, 0, sizeof(*t));
	t->id = *id;
	strncpy(t->team, team, sizeof(t->team) - 1);
	t->state = TX_STARTING;
	t->term = term;
	t->db = db;
	t->deadline = deadline;
}

/* Takes the result of the begin at the database. */
void tx_begun(struct transaction *t, bool ok, enum error_code why)
{
	if (t->state != TX_STARTING)
		return;
	t->state = ok ? TX_OPEN : TX_ENDED;
	t->outcome = OUTCOME_NOT_RUN;
	t->why = ok ? ERR_NONE : why;
}

/*
 * Handles a statement or the commit. Statements run one at a time in order of
 * arrival. After the commit is requested, no more statements are accepted; a
 * second commit request gets the first one's outcome once that is known.
 */
struct tx_verdict tx_arrive(struct transaction *t, const char *team,
			    bool commit, usec_t now)
{
	if (strcmp(t->team, team) != 0)
		return verdict(TX_REFUSE, OUTCOME_NOT_RUN, ERR_FORBIDDEN);
	if (t->state == TX_ENDED && commit && t->commit_requested)
		return verdict(TX_REFUSE, t->outcome, t->why);
	if (t->state == TX_ENDED || t->state == TX_FAILED)
		return refuse_ended(t);
	if (t->commit_requested)
		return verdict(TX_REFUSE,
			       commit ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
			       commit ? ERR_UNKNOWN : ERR_TX_GONE);
	if (now >= t->deadline)
		return fail(t, ERR_DEADLINE);
	if (commit)
		t->commit_requested = true;
	if (t->state != TX_OPEN || t->n_queued) {
		t->n_queued++;
		return verdict(TX_QUEUE, OUTCOME_NOT_RUN, ERR_NONE);
	}
	return start_statement(t, commit);
}

/* Handles the first queued statement. The caller keeps the queue in order. */
struct tx_verdict tx_dequeue(struct transaction *t, bool commit, usec_t now)
{
	if (t->n_queued)
		t->n_queued--;
	if (t->state == TX_ENDED || t->state == TX_FAILED)
		return refuse_ended(t);
	if (now >= t->deadline)
		return fail(t, ERR_DEADLINE);
	return start_statement(t, commit);
}

/*
 * Ends the running statement. A refusal leaves the transaction open, unless the
 * database no longer has it. An unknown outcome fails the transaction, so that
 * it is never committed with a statement that may be missing.
 */
struct tx_verdict tx_statement_end(struct transaction *t, enum outcome o,
				   enum error_code why)
{
	if (t->state != TX_RUNNING)
		return verdict(TX_NOTHING, OUTCOME_NOT_RUN, t->why);
	t->state = TX_OPEN;
	if (o == OUTCOME_DONE)
		return verdict(TX_NOTHING, o, ERR_NONE);
	if (o == OUTCOME_UNKNOWN) {
		t->in_doubt = true;
		return fail(t, ERR_TX_GONE);
	}
	if (why == ERR_TX_GONE || why == ERR_SUPERSEDED) {
		t->in_doubt = true;
		return fail(t, why);
	}
	return verdict(TX_NOTHING, o, why);
}

/* Ends the commit: confirmed, refused or of unknown outcome. */
void tx_commit_end(struct transaction *t, enum outcome o, enum error_code why)
{
	if (t->state != TX_COMMITTING)
		return;
	t->state = TX_ENDED;
	t->outcome = o;
	t->why = why;
	if (o != OUTCOME_DONE)
		t->in_doubt = true;
}

/* Handles the caller's rollback; refused once the commit has been sent. */
struct tx_verdict tx_rollback(struct transaction *t, const char *team)
{
	if (strcmp(t->team, team) != 0)
		return verdict(TX_REFUSE, OUTCOME_NOT_RUN, ERR_FORBIDDEN);
	if (t->state == TX_COMMITTING)
		return verdict(TX_REFUSE, OUTCOME_UNKNOWN, ERR_UNKNOWN);
	if (t->state == TX_ENDED)
		return refuse_ended(t);
	return fail(t, ERR_TX_GONE);
}

/* Records that the rollback was sent or the connection was closed instead. */
void tx_rolled_back(struct transaction *t)
{
	if (t->state != TX_FAILED)
		return;
	t->state = TX_ENDED;
	t->outcome = OUTCOME_NOT_RUN;
}

/* Fails a transaction at its deadline; a commit in progress may finish. */
struct tx_verdict tx_tick(struct transaction *t, usec_t now)
{
	if (now < t->deadline || t->state >= TX_COMMITTING)
		return verdict(TX_NOTHING, OUTCOME_NOT_RUN, ERR_NONE);
	return fail(t, ERR_DEADLINE);
}

/*
 * Fails a transaction whose caller's key was withdrawn; a commit in progress
 * may finish.
 */
struct tx_verdict tx_key_withdrawn(struct transaction *t)
{
	if (t->state >= TX_COMMITTING)
		return verdict(TX_NOTHING, OUTCOME_NOT_RUN, ERR_NONE);
	return fail(t, ERR_KEY_UNKNOWN);
}

/*
 * Fails a transaction if the group has moved to a later term; a commit in
 * progress may finish.
 */
struct tx_verdict tx_term_changed(struct transaction *t, uint64_t term)
{
	if (term <= t->term || t->state >= TX_COMMITTING)
		return verdict(TX_NOTHING, OUTCOME_NOT_RUN, ERR_NONE);
	return fail(t, ERR_SUPERSEDED);
}

/*
 * Returns where a transaction is held: by this VM, by another one, or nowhere
 * because its VM or that VM's incarnation has ended.
 */
enum tx_location tx_locate(const struct tx_id *id, const char *vm,
			   uint64_t incarnation, bool holder_known,
			   uint64_t holder_incarnation)
{
	if (strcmp(id->vm, vm) == 0)
		return id->incarnation == incarnation ? TX_HERE : TX_GONE;
	if (!holder_known || holder_incarnation > id->incarnation)
		return TX_GONE;
	return TX_FORWARD;
}

/* Builds a verdict. */
static struct tx_verdict verdict(enum tx_next next, enum outcome o,
				 enum error_code why)
{
	return (struct tx_verdict){ .next = next, .outcome = o, .why = why };
}

/* Refuses a statement of an ended or failed transaction. */
static struct tx_verdict refuse_ended(const struct transaction *t)
{
	enum error_code why = t->why != ERR_NONE ? t->why : ERR_TX_GONE;

	return verdict(TX_REFUSE, OUTCOME_NOT_RUN, why);
}

/*
 * Fails a transaction, which can then only be rolled back. It never commits, so
 * all its statements count as not run. If a statement is still running at the
 * database, the state of the connection is unknown.
 */
static struct tx_verdict fail(struct transaction *t, enum error_code why)
{
	if (t->state == TX_RUNNING || t->state == TX_STARTING)
		t->in_doubt = true;
	t->state = TX_FAILED;
	t->why = why;
	t->outcome = OUTCOME_NOT_RUN;
	return verdict(TX_ROLLBACK, OUTCOME_NOT_RUN, why);
}

/* Marks a statement or commit as sent; returns the verdict to send it. */
static struct tx_verdict start_statement(struct transaction *t, bool commit)
{
	t->state = commit ? TX_COMMITTING : TX_RUNNING;
	t->sent++;
	return verdict(TX_SEND, OUTCOME_NOT_RUN, ERR_NONE);
}

/* Parses a hex number. Returns the end of it, or NULL if there is none. */
static const char *parse_hex(const char *text, uint64_t *v)
{
	char *end;

	if (*text == '-' || *text == '+' || *text == ' ')
		return NULL;
	errno = 0;
	*v = strtoull(text, &end, HEX_BASE);
	return errno || end == text ? NULL : end;
}
