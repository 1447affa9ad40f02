#include "decide/queue_wait.h"

/*
 * Returns the time until as many statements have ended as have to before this
 * one starts. The slots together end one in service / slots.
 */
usec_t queue_wait_predict(const struct queue_wait *q)
{
	uint32_t slots = q->slots ? q->slots : 1;
	uint32_t before = q->running + q->ahead;

	if (before < slots)
		return 0;
	return q->service * (usec_t)(before - slots + 1) / slots;
}

/* Returns true if the statement has to wait and is not expected to end in time.
 */
bool queue_wait_is_too_long(const struct queue_wait *q, usec_t left)
{
	usec_t wait = queue_wait_predict(q);

	return wait > 0 && wait + q->service > left;
}
