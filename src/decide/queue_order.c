#include "decide/queue_order.h"

/*
 * Returns true if the statement ends before its target if it is started now. A
 * transaction that has begun counts as on time: it occupies a connection.
 */
bool queue_order_is_on_time(const struct queue_order *q, usec_t work,
			    usec_t now)
{
	usec_t target = (usec_t)q->latency_target_ms * USEC_PER_MSEC;

	return q->is_in_tx || target == 0 ||
	       now - q->began_at + work + QUEUE_ORDER_CALLER_US < target;
}

/*
 * Orders by transaction, priority, target and age. Among equal priorities the
 * shorter target goes first: it can wait less, and its statements are usually
 * the shorter ones.
 */
bool queue_order_goes_before(const struct queue_order *a,
			     const struct queue_order *b)
{
	if (a->is_in_tx != b->is_in_tx)
		return a->is_in_tx;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->latency_target_ms != b->latency_target_ms)
		return b->latency_target_ms == 0 ||
		       (a->latency_target_ms &&
			a->latency_target_ms < b->latency_target_ms);
	return a->began_at < b->began_at;
}
