#ifndef DECIDE_ADMIT_OWN_H
#define DECIDE_ADMIT_OWN_H

#include "decide/admit.h"
#include "decide/hash_index.h"

/* Shared by admit.c and admit_queue.c alone. */
struct admit_item {
	void *item;
	usec_t deadline;
	uint32_t team; /* HANDLE_NONE: this place is free */
	uint32_t prev; /* in its team's queue */
	uint32_t next; /* in its team's queue, or the next free place */
	uint32_t heap; /* place in the heap of deadlines */
};

/* A team that has something waiting. */
struct admit_team {
	char name[NAME_MAX_BYTES];
	uint32_t weight;
	uint32_t credit; /* requests it may still send in this round */
	uint32_t waiting;
	uint32_t first; /* in its queue */
	uint32_t last;
	uint32_t prev; /* in the ring of such teams */
	uint32_t next; /* in the ring, or the next free place */
};

struct admit {
	struct admit_limits limits;
	struct admit_item *items;
	struct admit_team *teams;
	uint32_t *heap;
	uint32_t room;	     /* of all three */
	uint32_t free_item;  /* first free place */
	uint32_t free_team;  /* first free place */
	uint32_t turn;	     /* team whose turn it is, or HANDLE_NONE */
	uint32_t waiting;    /* also the length of the heap */
	uint64_t weight_sum; /* of the teams that wait */
	uint32_t running;
	uint32_t window; /* slots usable now; below slots after a hold */
	bool held;
	int64_t took_us; /* moving mean of running times */
	struct hash_index index;
};

uint32_t admit_queue_team(const struct admit *a, const char *team);
admit_handle admit_queue_add(struct admit *a, const char *team, uint32_t weight,
			     void *item, usec_t deadline);
void *admit_queue_take(struct admit *a, admit_handle h);
admit_handle admit_queue_next(struct admit *a);

#endif
