#include "decide/once.h"

#include <string.h>

static struct once_verdict answer(enum outcome o, enum error_code why,
				  bool close);
static struct once_verdict again(const struct once_call *c, enum once_next next,
				 enum error_code why, bool close);
static struct once_verdict on_done(const struct once_call *c);
static struct once_verdict on_not_sent(const struct once_call *c);
static struct once_verdict on_refused(const struct once_call *c);
static struct once_verdict on_no_reply(const struct once_call *c);
static struct once_verdict on_lost(const struct once_call *c);
static struct once_verdict on_wrong_term(const struct once_call *c);
static enum outcome so_far(const struct once_call *c);
static bool in_transaction(const struct once_call *c);
static bool writes(const struct once_call *c);

/*
 * Decides what follows the end of one call. "not_run" is said only if no call
 * of the request can have run, or can run yet. A write without a request id
 * is sent a second time only in that case; with one it may always be sent
 * again, since the database keeps the first answer under the id.
 */
struct once_verdict once_decide(const struct once_call *c)
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
	case CALL_END_UNSURE:
		return answer(OUTCOME_UNKNOWN, ERR_UNKNOWN, false);
	}
	return answer(OUTCOME_UNKNOWN, ERR_INTERNAL, true);
}

/* Finds a refusal by the reason that a database gives. */
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
 * Judges a request by the look-up of its id. "Not found" proves something
 * only at the primary of a later term that is settled: there every copy of the
 * request still under way is refused, and what an older primary did with it
 * cannot come back. Under the same term it may yet arrive.
 */
enum outcome once_resolve(const struct once_lookup *l, enum error_code *why)
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

static struct once_verdict answer(enum outcome o, enum error_code why,
				  bool close)
{
	return (struct once_verdict){
		.next = ONCE_ANSWER,
		.outcome = o,
		.why = why,
		.close_connection = close,
	};
}

/*
 * Tries again if the budget and the deadline allow, else says what is true. A
 * write in doubt goes out again only under an id.
 */
static struct once_verdict again(const struct once_call *c, enum once_next next,
				 enum error_code why, bool close)
{
	struct once_verdict v = answer(so_far(c), why, close);

	if (v.outcome == OUTCOME_UNKNOWN)
		v.why = ERR_UNKNOWN;
	if (writes(c) && c->maybe_ran && !c->has_id)
		return v;
	if (c->retry_ok && c->now < c->deadline)
		v.next = next;
	return v;
}

static struct once_verdict on_done(const struct once_call *c)
{
	struct once_verdict v = answer(OUTCOME_DONE, ERR_NONE, false);

	if (writes(c)) {
		v.next = ONCE_CONFIRM;
		v.outcome = OUTCOME_UNKNOWN;
		v.why = ERR_UNKNOWN;
	}
	return v;
}

/* Nothing left this VM; the connection is of no use. */
static struct once_verdict on_not_sent(const struct once_call *c)
{
	if (c->kind == ONCE_READ)
		return again(c, ONCE_RETRY_OTHER, ERR_TIMEOUT, true);
	if (c->kind == ONCE_TX_ROLLBACK)
		return answer(OUTCOME_DONE, ERR_NONE, true);
	if (c->kind == ONCE_TX_COMMIT && c->maybe_ran && c->has_id)
		return again(c, ONCE_RESEND_ID, ERR_TIMEOUT, true);
	if (in_transaction(c))
		return answer(so_far(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_TX_GONE, true);
	return again(c, c->maybe_ran ? ONCE_RESEND_ID : ONCE_RETRY, ERR_TIMEOUT,
		     true);
}

/* The database says that this call executed nothing. */
static struct once_verdict on_refused(const struct once_call *c)
{
	switch (c->refusal) {
	case REFUSAL_ID_REUSED:
		return answer(OUTCOME_NOT_RUN, ERR_ID_REUSED, false);
	case REFUSAL_BAD_STATEMENT:
		return answer(so_far(c), ERR_BAD_REQUEST, false);
	case REFUSAL_STALE_TERM:
	case REFUSAL_NOT_PRIMARY:
	case REFUSAL_TERM_AHEAD:
		return on_wrong_term(c);
	case REFUSAL_BUSY:
		if (c->kind == ONCE_READ)
			return again(c, ONCE_RETRY_OTHER, ERR_OVERLOAD, false);
		return again(c, ONCE_RETRY, ERR_OVERLOAD, false);
	case REFUSAL_TX_GONE:
		if (c->kind == ONCE_TX_ROLLBACK)
			return answer(OUTCOME_DONE, ERR_NONE, false);
		return answer(so_far(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_TX_GONE, true);
	case REFUSAL_NONE:
	case REFUSAL_OTHER:
		break;
	}
	return answer(so_far(c), c->maybe_ran ? ERR_UNKNOWN : ERR_REFUSED,
		      false);
}

/* The term has moved: a transaction ends with its term, the rest goes on. */
static struct once_verdict on_wrong_term(const struct once_call *c)
{
	if (c->kind == ONCE_TX_ROLLBACK)
		return answer(OUTCOME_DONE, ERR_NONE, true);
	if (c->kind == ONCE_TX_COMMIT && c->maybe_ran && c->has_id)
		return again(c, ONCE_RESEND_ID, ERR_SUPERSEDED, true);
	if (in_transaction(c))
		return answer(so_far(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_TX_GONE, true);
	return again(c, ONCE_RETRY_VIEW, ERR_NO_PRIMARY, false);
}

/*
 * It may have run, or run yet. What cannot commit without a further word of
 * this VM has not: a transaction with a statement in doubt is never committed.
 */
static struct once_verdict on_no_reply(const struct once_call *c)
{
	struct once_call sent = *c;

	sent.maybe_ran = true;
	switch (c->kind) {
	case ONCE_READ:
		return again(&sent, ONCE_RETRY_OTHER, ERR_TIMEOUT, true);
	case ONCE_WRITE:
	case ONCE_TX_COMMIT:
		if (c->has_id)
			return again(&sent, ONCE_RESEND_ID, ERR_TIMEOUT, true);
		return answer(OUTCOME_UNKNOWN, ERR_UNKNOWN, true);
	case ONCE_TX_BEGIN:
		return again(c, ONCE_RETRY, ERR_TIMEOUT, true);
	case ONCE_TX_STATEMENT:
		return answer(OUTCOME_NOT_RUN, ERR_TX_GONE, true);
	case ONCE_TX_ROLLBACK:
		return answer(OUTCOME_DONE, ERR_NONE, true);
	}
	return answer(OUTCOME_UNKNOWN, ERR_INTERNAL, true);
}

/* It ran, and its run is cut off for good (CONFIRM_LOST). */
static struct once_verdict on_lost(const struct once_call *c)
{
	if (c->kind == ONCE_TX_COMMIT)
		return answer(so_far(c),
			      c->maybe_ran ? ERR_UNKNOWN : ERR_SUPERSEDED,
			      true);
	return again(c, c->maybe_ran ? ONCE_RESEND_ID : ONCE_RETRY,
		     ERR_SUPERSEDED, false);
}

/* What is true of the request if no further call is made. */
static enum outcome so_far(const struct once_call *c)
{
	return c->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

static bool in_transaction(const struct once_call *c)
{
	return c->kind == ONCE_TX_STATEMENT || c->kind == ONCE_TX_COMMIT;
}

static bool writes(const struct once_call *c)
{
	return c->kind == ONCE_WRITE || c->kind == ONCE_TX_COMMIT;
}
