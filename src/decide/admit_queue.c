#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/admit_internal.h"

#define CAPACITY_MIN 8

static bool grow(struct admit *a);
static uint32_t ring_add(struct admit *a, const char *team, uint32_t weight);
static void ring_remove(struct admit *a, uint32_t t);
static void heap_up(struct admit *a, uint32_t i);
static void heap_down(struct admit *a, uint32_t i);
static void heap_remove(struct admit *a, uint32_t i);
static void heap_set(struct admit *a, uint32_t i, admit_handle h);
static void heap_swap(struct admit *a, uint32_t i, uint32_t j);
static bool is_earlier(const struct admit *a, uint32_t i, uint32_t j);

/* Returns the index of a team with queued requests, or HANDLE_NONE. */
uint32_t admit_queue_team(const struct admit *a, const char *team)
{
	uint64_t hash = hash_name(team);
	uint32_t cursor;
	uint32_t t;

	for (t = hash_index_first(&a->index, hash, &cursor); t != HANDLE_NONE;
	     t = hash_index_next(&a->index, hash, &cursor)) {
		if (strcmp(a->teams[t].name, team) == 0)
			break;
	}
	return t;
}

/*
 * Appends a request to its team's queue. Returns its handle, or HANDLE_NONE if
 * the queue is full or memory is short.
 */
admit_handle admit_queue_add(struct admit *a, const char *team, uint32_t weight,
			     void *item, usec_t deadline)
{
	struct admit_team *q;
	admit_handle h;
	uint32_t t;

	if (a->free_item == HANDLE_NONE && !grow(a))
		return HANDLE_NONE;
	h = a->free_item;
	t = admit_queue_team(a, team);
	if (t == HANDLE_NONE)
		t = ring_add(a, team, weight);
	if (t == HANDLE_NONE)
		return HANDLE_NONE;
	a->free_item = a->items[h].next;
	q = &a->teams[t];
	a->items[h] = (struct admit_item){
		.item = item,
		.deadline = deadline,
		.team = t,
		.prev = q->last,
		.next = HANDLE_NONE,
	};
	if (q->last != HANDLE_NONE)
		a->items[q->last].next = h;
	else
		q->first = h;
	q->last = h;
	q->waiting++;
	heap_set(a, a->waiting++, h);
	heap_up(a, a->items[h].heap_index);
	return h;
}

/* Removes a request and returns its item; NULL if the handle is not in use. */
void *admit_queue_take(struct admit *a, admit_handle h)
{
	struct admit_item *i;
	struct admit_team *q;
	void *item;
	uint32_t t;

	if (h >= a->capacity || a->items[h].team == HANDLE_NONE)
		return NULL;
	i = &a->items[h];
	t = i->team;
	q = &a->teams[t];
	if (i->prev != HANDLE_NONE)
		a->items[i->prev].next = i->next;
	else
		q->first = i->next;
	if (i->next != HANDLE_NONE)
		a->items[i->next].prev = i->prev;
	else
		q->last = i->prev;
	heap_remove(a, i->heap_index);
	item = i->item;
	i->team = HANDLE_NONE;
	i->next = a->free_item;
	a->free_item = h;
	if (--q->waiting == 0)
		ring_remove(a, t);
	return item;
}

/*
 * Returns the request whose turn it is by deficit round robin, and charges
 * its team; in each round a team may start as many requests as its weight. The
 * request stays in the queue. HANDLE_NONE if the queue is empty.
 */
admit_handle admit_queue_next(struct admit *a)
{
	struct admit_team *q;

	if (a->current == HANDLE_NONE)
		return HANDLE_NONE;
	q = &a->teams[a->current];
	if (q->deficit == 0) {
		a->current = q->next;
		q = &a->teams[a->current];
		q->deficit = q->weight;
	}
	q->deficit--;
	return q->first;
}

/*
 * Doubles the capacity, up to queue_max. Memory is allocated on demand because
 * most queues of a large fleet never hold a request. Returns false if the
 * queue is at its maximum or memory is short.
 */
static bool grow(struct admit *a)
{
	uint32_t capacity = a->capacity ? 2 * a->capacity : CAPACITY_MIN;
	uint32_t i;
	void *p;

	if (capacity > a->limits.queue_max)
		capacity = a->limits.queue_max;
	if (capacity <= a->capacity)
		return false;
	p = realloc(a->items, capacity * sizeof(*a->items));
	if (!p)
		return false;
	a->items = p;
	p = realloc(a->teams, capacity * sizeof(*a->teams));
	if (!p)
		return false;
	a->teams = p;
	p = realloc(a->heap, capacity * sizeof(*a->heap));
	if (!p)
		return false;
	a->heap = p;
	for (i = capacity; i > a->capacity; i--) {
		a->items[i - 1].team = HANDLE_NONE;
		a->items[i - 1].next = a->free_item;
		a->free_item = i - 1;
		a->teams[i - 1].waiting = 0;
		a->teams[i - 1].next = a->free_team;
		a->free_team = i - 1;
	}
	a->capacity = capacity;
	return true;
}

/* Adds a team at the end of the ring; HANDLE_NONE if memory is short. */
static uint32_t ring_add(struct admit *a, const char *team, uint32_t weight)
{
	uint32_t t = a->free_team;
	struct admit_team *q;

	if (t == HANDLE_NONE || !hash_index_put(&a->index, hash_name(team), t))
		return HANDLE_NONE;
	q = &a->teams[t];
	a->free_team = q->next;
	*q = (struct admit_team){
		.weight = weight ? weight : 1,
		.first = HANDLE_NONE,
		.last = HANDLE_NONE,
	};
	snprintf(q->name, sizeof(q->name), "%s", team);
	if (a->current == HANDLE_NONE) {
		q->prev = t;
		q->next = t;
		q->deficit = q->weight;
		a->current = t;
	} else {
		q->next = a->current;
		q->prev = a->teams[a->current].prev;
		a->teams[q->prev].next = t;
		a->teams[a->current].prev = t;
	}
	a->weight_sum += q->weight;
	return t;
}

/* Removes a team without queued requests from the ring. */
static void ring_remove(struct admit *a, uint32_t t)
{
	struct admit_team *q = &a->teams[t];

	hash_index_remove(&a->index, hash_name(q->name), t);
	a->weight_sum -= q->weight;
	if (q->next == t) {
		a->current = HANDLE_NONE;
	} else {
		a->teams[q->prev].next = q->next;
		a->teams[q->next].prev = q->prev;
		if (a->current == t) {
			a->current = q->next;
			a->teams[a->current].deficit =
				a->teams[a->current].weight;
		}
	}
	q->next = a->free_team;
	a->free_team = t;
}

/* Returns true if heap entry i has an earlier deadline than entry j. */
static bool is_earlier(const struct admit *a, uint32_t i, uint32_t j)
{
	return a->items[a->heap[i]].deadline < a->items[a->heap[j]].deadline;
}

/* Stores a request at heap index i. */
static void heap_set(struct admit *a, uint32_t i, admit_handle h)
{
	a->heap[i] = h;
	a->items[h].heap_index = i;
}

/* Swaps two heap entries. */
static void heap_swap(struct admit *a, uint32_t i, uint32_t j)
{
	admit_handle h = a->heap[i];

	heap_set(a, i, a->heap[j]);
	heap_set(a, j, h);
}

/* Moves a heap entry up until its parent is not later. */
static void heap_up(struct admit *a, uint32_t i)
{
	while (i > 0 && is_earlier(a, i, (i - 1) / 2)) {
		heap_swap(a, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

/* Moves a heap entry down until neither child is earlier. */
static void heap_down(struct admit *a, uint32_t i)
{
	for (;;) {
		uint32_t min = i;

		if (2 * i + 1 < a->waiting && is_earlier(a, 2 * i + 1, min))
			min = 2 * i + 1;
		if (2 * i + 2 < a->waiting && is_earlier(a, 2 * i + 2, min))
			min = 2 * i + 2;
		if (min == i)
			return;
		heap_swap(a, i, min);
		i = min;
	}
}

/* Removes a heap entry and decrements the number of queued requests. */
static void heap_remove(struct admit *a, uint32_t i)
{
	a->waiting--;
	if (i == a->waiting)
		return;
	heap_set(a, i, a->heap[a->waiting]);
	heap_up(a, i);
	heap_down(a, i);
}
