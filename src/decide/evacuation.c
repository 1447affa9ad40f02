#include "decide/evacuation.h"

/*
 * Decides on a statement that has not been sent. Without a database outside
 * there is neither a hand-over nor another place for a read. A hand-over needs
 * the store, and one that takes longer than usual is not waited for.
 */
enum evacuation_verdict
evacuation_check_statement(const struct evacuation_view *v)
{
	if (!v->needs_primary) {
		if (!v->any_inside)
			return EVACUATION_PROCEED;
		return v->any_outside ? EVACUATION_ELSEWHERE
				      : EVACUATION_REFUSE;
	}
	if (v->primary_since == 0)
		return EVACUATION_PROCEED;
	if (!v->any_outside || !v->store_answers)
		return EVACUATION_REFUSE;
	return v->now - v->primary_since > EVACUATION_HAND_OVER_MAX_US
		       ? EVACUATION_REFUSE
		       : EVACUATION_WAIT;
}

/* Returns true if an open transaction has had its time; see evacuation.h. */
bool evacuation_ends_transaction(usec_t since, usec_t limit, usec_t now)
{
	return since && now - since >= limit / EVACUATION_TRANSACTION_DIVISOR;
}
