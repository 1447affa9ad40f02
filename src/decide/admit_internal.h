#ifndef DECIDE_ADMIT_INTERNAL_H
#define DECIDE_ADMIT_INTERNAL_H

#include "decide/admit.h"
#include "decide/hash_index.h"

/* Internal to admit.c and admit_queue.c. */

/* A queued request. */
struct admit_item {
	void *item;
	usec_t deadline;
	uint32_t team;	     /* HANDLE_NONE: this entry is free */
	uint32_t prev;	     /* in its team's queue */
	uint32_t next;	     /* in its team's queue, or the next free entry */
	uint32_t heap_index; /* its index in the heap of deadlines */
};

/* A team that has queued requests. */
struct admit_team {
	char name[NAME_MAX_BYTES];
	uint32_t weight;
	uint32_t deficit; /* requests it may still start in this round */
	uint32_t waiting;
	uint32_t first; /* in its queue */
	uint32_t last;
	uint32_t prev; /* in the ring of teams */
	uint32_t next; /* in the ring, or the next free entry */
};

struct admit {
	struct admit_limits limits;
	struct admit_item *items;
	struct admit_team *teams;
	uint32_t *heap;	     /* item handles by deadline, earliest first */
	uint32_t capacity;   /* of items[], teams[] and heap[] */
	uint32_t free_item;  /* head of the list of free items */
	uint32_t free_team;  /* head of the list of free teams */
	uint32_t current;    /* team whose turn it is, or HANDLE_NONE */
	uint32_t waiting;    /* queued requests; the length of the heap */
	uint64_t weight_sum; /* of the teams in the ring */
	uint32_t running;
	uint32_t usable_slots; /* below limits.slots while ramping up */
	bool held;
	int64_t average_us;	 /* moving average of the running times */
	struct hash_index index; /* from a team's name hash to its index */
};

uint32_t admit_queue_team(const struct admit *a, const char *team);
admit_handle admit_queue_add(struct admit *a, const char *team, uint32_t weight,
			     void *item, usec_t deadline);
void *admit_queue_take(struct admit *a, admit_handle h);
admit_handle admit_queue_next(struct admit *a);

#endif
