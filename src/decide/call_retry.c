#include "decide/call_retry.h"

/*
 * Returns twice the time of recent answers, within bounds. A shorter limit than
 * the lower bound would repeat calls whose answers are only delayed by a pause
 * of a VM; the upper one leaves time for the repetition.
 */
usec_t call_retry_limit(const struct call_retry *r)
{
	usec_t limit = 2 * r->took;

	if (limit < CALL_RETRY_OVERDUE_MIN_US)
		return CALL_RETRY_OVERDUE_MIN_US;
	if (limit > CALL_RETRY_OVERDUE_MAX_US)
		return CALL_RETRY_OVERDUE_MAX_US;
	return limit;
}

/*
 * A long time counts at once, a short one by a quarter: calls of several kinds
 * take different times. Only an answer within the least limit shows that the
 * store is not slow: the limit rises with the times, so that some answers of a
 * slow store are within it. A slow one on a new connection shows that the store
 * is slow.
 */
void call_retry_answered(struct call_retry *r, usec_t took, bool is_repeat)
{
	if (took < CALL_RETRY_OVERDUE_MIN_US)
		r->is_no_help = false;
	else if (is_repeat)
		r->is_no_help = true;
	if (took > r->took)
		r->took = took;
	else
		r->took -= (r->took - took) / 4;
}

/*
 * If a call is overdue on a second connection as well, the store is slow or
 * does not answer this VM at all: no other call is repeated until one is
 * answered within the least limit.
 */
enum call_retry_act call_retry_on_overdue(struct call_retry *r,
					  enum call_retry_kind kind,
					  bool is_repeat)
{
	if (is_repeat)
		r->is_no_help = true;
	if (is_repeat || r->is_no_help || kind == CALL_RETRY_NEVER)
		return CALL_RETRY_ACT_WAIT;
	return kind == CALL_RETRY_REPEAT ? CALL_RETRY_ACT_REPEAT
					 : CALL_RETRY_ACT_GIVE_UP;
}

/*
 * The first write may still be executed, seconds later, while its condition
 * holds. Both writes are the same and have the same condition, so at most one
 * of them takes effect.
 */
enum call_retry_verdict
call_retry_read_back(const struct call_retry_object *found, uint64_t condition)
{
	if (found->revision && found->is_ours)
		return CALL_RETRY_DONE;
	return found->revision == condition ? CALL_RETRY_WRITE_AGAIN
					    : CALL_RETRY_FAILED;
}
