#include "decide/idempotency.h"

#include <string.h>

static struct idem_verdict answer(enum outcome o, enum error_code why,
				  bool close);
static struct idem_verdict retry_or_answer(const struct idem_call *c,
					   enum idem_next next,
					   enum error_code why, bool close);
static struct idem_verdict on_done(const struct idem_call *c);
static struct idem_verdict on_not_sent(const struct idem_call *c);
static struct idem_verdict on_refused(const struct idem_call *c);
static struct idem_verdict on_no_reply(const struct idem_call *c);
static struct idem_verdict on_lost(const struct idem_call *c);
static struct idem_verdict on_wrong_term(const struct idem_call *c);
static enum outcome known_outcome(const struct idem_call *c);
static bool is_in_transaction(const struct idem_call *c);
static bool is_write(const struct idem_call *c);

/*
 * Decides what to do after one call, so that a write is never executed twice.
 * The outcome is "not_run" only if no call of the request can have run or can
 * still run. A write without a request id is retried only in that case. A write
 * with an id may always be retried, because the database keeps the first reply
 * under the id.
 */
struct idem_verdict idem_decide(const struct idem_call *c)
{
	switch (c->end) {
	case CALL_END_DONE:
		return on_done(c);
	case CALL_END_NOT_SENT:
		return on_not_sent(c);
	case CALL_END_REFUSED:
		return on_refused(c);
	case CALL_END_NO_REPLY:
		return on_no_reply(c);
	case CALL_END_LOST:
		return on_lost(c);
	case CALL_END_UNCONFIRMED:
		return answer(OUTCOME_UNKNOWN, ERR_UNKNOWN, false);
	}
	return answer(OUTCOME_UNKNOWN, ERR_INTERNAL, true);
}

/* Returns the refusal for a reason given by a database. */
enum refusal refusal_from_name(const char *name)
{
	static const struct {
		const char *name;
		enum refusal refusal;
	} names[] = {
		{ "stale_term", REFUSAL_STALE_TERM },
		{ "not_primary", REFUSAL_NOT_PRIMARY },
		{ "term_ahead", REFUSAL_TERM_AHEAD },
		{ "busy", REFUSAL_BUSY },
		{ "transaction_gone", REFUSAL_TX_GONE },
		{ "id_reused", REFUSAL_ID_REUSED },
		{ "bad_statement", REFUSAL_BAD_STATEMENT },
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(names[i].name, name) == 0)
			return names[i].refusal;
	}
	return REFUSAL_OTHER;
}

/*
 * Decides the outcome of a request by the look-up of its id. "Not found" proves
 * that it did not run only at the primary of a later, settled term: that
 * primary refuses every copy of the request that is still in transit, and a
 * write by an older primary can't reappear. In the same term a copy may still
 * arrive.
 */
enum outcome idem_resolve(const struct idem_lookup *l, enum error_code *why)
{
	if (l->found && l->same_body) {
		*why = ERR_NONE;
		return OUTCOME_DONE;
	}
	if (l->found) {
		*why = ERR_ID_REUSED;
		return OUTCOME_NOT_RUN;
	}
	if (l->term_settled && l->answer_term > l->sent_term) {
		*why = ERR_SUPERSEDED;
		return OUTCOME_NOT_RUN;
	}
	*why = ERR_UNKNOWN;
	return OUTCOME_UNKNOWN;
}

/* Builds a verdict to respond to the caller. */
static struct idem_verdict answer(enum outcome o, enum error_code why,
				  bool close)
{
	return (struct idem_verdict){
		.next = IDEM_ANSWER,
		.outcome = o,
		.why = why,
		.close_connection = close,
	};
}

/*
 * Retries if the budget and the deadline allow it, else responds with the known
 * outcome. A write of unknown outcome is retried only with a request id.
 */
static struct idem_verdict retry_or_answer(const struct idem_call *c,
					   enum idem_next next,
					   enum error_code why, bool close)
{
	struct idem_verdict v = answer(known_outcome(c), why, close);

	if (v.outcome == OUTCOME_UNKNOWN)
		v.why = ERR_UNKNOWN;
	if (is_write(c) && c->maybe_ran && !c->has_id)
		return v;
	if (c->retry_ok && c->now < c->deadline)
		v.next = next;
	return v;
}

/* Decides after an executed call. Only a write still has to be confirmed. */
static struct idem_verdict on_done(const struct idem_call *c)
{
	struct idem_verdict v = answer(OUTCOME_DONE, ERR_NONE, false);

	if (is_write(c)) {
		v.next = IDEM_CONFIRM;
		v.outcome = OUTCOME_UNKNOWN;
		v.why = ERR_UNKNOWN;
	}
	return v;
}

/* Decides after a call that was not sent. Its connection is unusable. */
static struct idem_verdict on_not_sent(const struct idem_call *c)
{
	if (c->kind == IDEM_READ)
		return retry_or_answer(c, IDEM_RETRY_OTHER, ERR_TIMEOUT, true);
	if (c->kind == IDEM_TX_ROLLBACK)
		return answer(OUTCOME_DONE, ERR_NONE, true);
	if (c->kind == IDEM_TX_COMMIT && c->maybe_ran && c->has_id)
		return retry_or_answer(c, IDEM_RESEND_ID, ERR_TIMEOUT, true);
	if (is_in_transaction(c))
		return answer(known_outcome(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_TX_GONE, true);
	return retry_or_answer(c, c->maybe_ran ? IDEM_RESEND_ID : IDEM_RETRY,
			       ERR_TIMEOUT, true);
}

/* Decides after a refusal: the database executed nothing of this call. */
static struct idem_verdict on_refused(const struct idem_call *c)
{
	switch (c->refusal) {
	case REFUSAL_ID_REUSED:
		return answer(OUTCOME_NOT_RUN, ERR_ID_REUSED, false);
	case REFUSAL_BAD_STATEMENT:
		return answer(known_outcome(c), ERR_BAD_REQUEST, false);
	case REFUSAL_STALE_TERM:
	case REFUSAL_NOT_PRIMARY:
	case REFUSAL_TERM_AHEAD:
		return on_wrong_term(c);
	case REFUSAL_BUSY:
		if (c->kind == IDEM_READ)
			return retry_or_answer(c, IDEM_RETRY_OTHER,
					       ERR_OVERLOAD, false);
		return retry_or_answer(c, IDEM_RETRY, ERR_OVERLOAD, false);
	case REFUSAL_TX_GONE:
		if (c->kind == IDEM_TX_ROLLBACK)
			return answer(OUTCOME_DONE, ERR_NONE, false);
		return answer(known_outcome(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_TX_GONE, true);
	case REFUSAL_NONE:
	case REFUSAL_OTHER:
		break;
	}
	return answer(known_outcome(c),
		      c->maybe_ran ? ERR_UNKNOWN : ERR_REFUSED, false);
}

/*
 * Decides after a refusal because the term or the primary has changed. A
 * transaction ends, unless its commit may have run and can be resent with its
 * id; other requests are retried.
 */
static struct idem_verdict on_wrong_term(const struct idem_call *c)
{
	if (c->kind == IDEM_TX_ROLLBACK)
		return answer(OUTCOME_DONE, ERR_NONE, true);
	if (c->kind == IDEM_TX_COMMIT && c->maybe_ran && c->has_id)
		return retry_or_answer(c, IDEM_RESEND_ID, ERR_SUPERSEDED, true);
	if (is_in_transaction(c))
		return answer(known_outcome(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_TX_GONE, true);
	return retry_or_answer(c, IDEM_RETRY_VIEW, ERR_NO_PRIMARY, false);
}

/*
 * Decides after a call without a reply, which may have run or may still run. A
 * statement in a transaction counts as not run: it can't commit without a
 * further request of this VM, which never commits a transaction with a
 * statement of unknown outcome.
 */
static struct idem_verdict on_no_reply(const struct idem_call *c)
{
	struct idem_call sent = *c;

	sent.maybe_ran = true;
	switch (c->kind) {
	case IDEM_READ:
		return retry_or_answer(&sent, IDEM_RETRY_OTHER, ERR_TIMEOUT,
				       true);
	case IDEM_WRITE:
	case IDEM_TX_COMMIT:
		if (c->has_id)
			return retry_or_answer(&sent, IDEM_RESEND_ID,
					       ERR_TIMEOUT, true);
		return answer(OUTCOME_UNKNOWN, ERR_UNKNOWN, true);
	case IDEM_TX_BEGIN:
		return retry_or_answer(c, IDEM_RETRY, ERR_TIMEOUT, true);
	case IDEM_TX_STATEMENT:
		return answer(OUTCOME_NOT_RUN, ERR_TX_GONE, true);
	case IDEM_TX_ROLLBACK:
		return answer(OUTCOME_DONE, ERR_NONE, true);
	}
	return answer(OUTCOME_UNKNOWN, ERR_INTERNAL, true);
}

/*
 * Decides after a call that ran but whose effect a later term discarded
 * (QUORUM_LOST).
 */
static struct idem_verdict on_lost(const struct idem_call *c)
{
	if (c->kind == IDEM_TX_COMMIT)
		return answer(known_outcome(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_SUPERSEDED,
			      true);
	return retry_or_answer(c, c->maybe_ran ? IDEM_RESEND_ID : IDEM_RETRY,
			       ERR_SUPERSEDED, false);
}

/* Returns the outcome of the request if no further call is made. */
static enum outcome known_outcome(const struct idem_call *c)
{
	return c->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/* Returns true for a statement or the commit of a transaction. */
static bool is_in_transaction(const struct idem_call *c)
{
	return c->kind == IDEM_TX_STATEMENT || c->kind == IDEM_TX_COMMIT;
}

/* Returns true if the call can commit a write. */
static bool is_write(const struct idem_call *c)
{
	return c->kind == IDEM_WRITE || c->kind == IDEM_TX_COMMIT;
}
