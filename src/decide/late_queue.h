#ifndef DECIDE_LATE_QUEUE_H
#define DECIDE_LATE_QUEUE_H

#include "decide/types.h"

/*
 * Whether statements that have missed their latency target are refused at a
 * database, for a lasting overload: statements that are still on time take all
 * of its slots, so the late ones would wait in vain until their deadline. They
 * are refused once many others have passed them and none of them was started,
 * until there is room for one again. A database that starts nothing, as during
 * a failover, refuses nobody.
 */
struct late_queue {
	uint32_t passed; /* statements started since, none of them late */
	bool is_waiting; /* a late statement waits for a slot */
	bool refuses;
};

/* Late statements are refused after this many others for each slot. */
#define LATE_QUEUE_PASSED_PER_SLOT 16

/* A late statement waits for a slot. */
void late_queue_on_waiting(struct late_queue *q);
/* A statement that is on time was started. */
void late_queue_on_passed(struct late_queue *q, uint32_t slots);
/* A late statement was started, or could have been if one had waited. */
void late_queue_on_room(struct late_queue *q);

#endif
