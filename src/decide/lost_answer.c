#include "decide/lost_answer.h"

static usec_t overdue_after(const struct lost_answer_view *v);
static usec_t close_after(const struct lost_answer_view *v);

/*
 * Returns what to do about a request without an answer. A write stays on its
 * connection until its deadline, as the answer may still come and no other one
 * tells whether it was executed.
 */
enum lost_answer_action lost_answer_check(const struct lost_answer_view *v,
					  usec_t now)
{
	usec_t waited = now - v->sent_at;

	if (v->answered_sent_at <= v->sent_at || waited <= overdue_after(v))
		return LOST_ANSWER_WAIT;
	if (v->kind == LOST_ANSWER_WRITE || waited <= close_after(v))
		return LOST_ANSWER_FREE_SLOT;
	return LOST_ANSWER_CLOSE;
}

/* Returns the time after which the answer is overdue. */
static usec_t overdue_after(const struct lost_answer_view *v)
{
	usec_t limit = v->latency + LOST_ANSWER_DEVIATIONS * v->deviation;

	return limit < LOST_ANSWER_MIN_US ? LOST_ANSWER_MIN_US : limit;
}

/*
 * Returns the time after which the connection is given up. A read that has
 * waited elsewhere before waits here for at least as long: among short ones a
 * long one would else be taken from each connection in turn.
 */
static usec_t close_after(const struct lost_answer_view *v)
{
	usec_t limit = overdue_after(v);
	usec_t least = 0;

	if (v->kind == LOST_ANSWER_ABANDONED)
		return limit;
	if (v->kind == LOST_ANSWER_READ)
		least = v->sent_at - v->began_at;
	if (v->kind == LOST_ANSWER_ROLLBACK)
		least = (v->deadline - v->sent_at) /
			LOST_ANSWER_ROLLBACK_DIVISOR;
	limit *= LOST_ANSWER_CLOSE_LIMITS;
	return limit < least ? least : limit;
}
