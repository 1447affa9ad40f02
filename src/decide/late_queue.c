#include "decide/late_queue.h"

/* Notes that a late statement waits, as all slots are taken. */
void late_queue_on_waiting(struct late_queue *q)
{
	q->is_waiting = true;
}

/* Notes that another statement got a slot. */
void late_queue_on_passed(struct late_queue *q, uint32_t slots)
{
	if (!q->is_waiting)
		return;
	q->passed++;
	if (q->passed >= LATE_QUEUE_PASSED_PER_SLOT * (slots ? slots : 1))
		q->refuses = true;
}

/* Notes that the database has room for late statements. */
void late_queue_on_room(struct late_queue *q)
{
	*q = (struct late_queue){ 0 };
}
