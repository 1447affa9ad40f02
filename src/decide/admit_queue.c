#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/admit_own.h"

#define ROOM_LEAST 8 /* waiting requests */

static bool grow(struct admit *a);
static uint32_t team_open(struct admit *a, const char *team, uint32_t weight);
static void team_close(struct admit *a, uint32_t t);
static void heap_up(struct admit *a, uint32_t i);
static void heap_down(struct admit *a, uint32_t i);
static void heap_remove(struct admit *a, uint32_t i);
static void heap_set(struct admit *a, uint32_t i, admit_handle h);
static void heap_swap(struct admit *a, uint32_t i, uint32_t j);
static bool earlier(const struct admit *a, uint32_t i, uint32_t j);

/* The place of a team that has something waiting, or HANDLE_NONE. */
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

/* Adds a request at the end of its team's queue; HANDLE_NONE if it can't. */
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
		t = team_open(a, team, weight);
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
	heap_up(a, a->items[h].heap);
	return h;
}

/* Takes a request off the queue; NULL if the handle names none. */
void *admit_queue_take(struct admit *a, admit_handle h)
{
	struct admit_item *i;
	struct admit_team *q;
	void *item;
	uint32_t t;

	if (h >= a->room || a->items[h].team == HANDLE_NONE)
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
	heap_remove(a, i->heap);
	item = i->item;
	i->team = HANDLE_NONE;
	i->next = a->free_item;
	a->free_item = h;
	if (--q->waiting == 0)
		team_close(a, t);
	return item;
}

/*
 * The request whose turn it is: each team sends as many a round as its
 * weight. Its credit is spent. HANDLE_NONE if none waits.
 */
admit_handle admit_queue_next(struct admit *a)
{
	struct admit_team *q;

	if (a->turn == HANDLE_NONE)
		return HANDLE_NONE;
	q = &a->teams[a->turn];
	if (q->credit == 0) {
		a->turn = q->next;
		q = &a->teams[a->turn];
		q->credit = q->weight;
	}
	q->credit--;
	return q->first;
}

/*
 * Makes room for more waiting requests, up to the queue's bound: most queues
 * of a large fleet never hold one. False at the bound or without memory.
 */
static bool grow(struct admit *a)
{
	uint32_t room = a->room ? 2 * a->room : ROOM_LEAST;
	uint32_t i;
	void *p;

	if (room > a->limits.queue_max)
		room = a->limits.queue_max;
	if (room <= a->room)
		return false;
	p = realloc(a->items, room * sizeof(*a->items));
	if (!p)
		return false;
	a->items = p;
	p = realloc(a->teams, room * sizeof(*a->teams));
	if (!p)
		return false;
	a->teams = p;
	p = realloc(a->heap, room * sizeof(*a->heap));
	if (!p)
		return false;
	a->heap = p;
	for (i = room; i > a->room; i--) {
		a->items[i - 1].team = HANDLE_NONE;
		a->items[i - 1].next = a->free_item;
		a->free_item = i - 1;
		a->teams[i - 1].waiting = 0;
		a->teams[i - 1].next = a->free_team;
		a->free_team = i - 1;
	}
	a->room = room;
	return true;
}

/* Puts a team at the end of the ring. */
static uint32_t team_open(struct admit *a, const char *team, uint32_t weight)
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
	if (a->turn == HANDLE_NONE) {
		q->prev = t;
		q->next = t;
		q->credit = q->weight;
		a->turn = t;
	} else {
		q->next = a->turn;
		q->prev = a->teams[a->turn].prev;
		a->teams[q->prev].next = t;
		a->teams[a->turn].prev = t;
	}
	a->weight_sum += q->weight;
	return t;
}

/* Takes a team with nothing waiting out of the ring. */
static void team_close(struct admit *a, uint32_t t)
{
	struct admit_team *q = &a->teams[t];

	hash_index_remove(&a->index, hash_name(q->name), t);
	a->weight_sum -= q->weight;
	if (q->next == t) {
		a->turn = HANDLE_NONE;
	} else {
		a->teams[q->prev].next = q->next;
		a->teams[q->next].prev = q->prev;
		if (a->turn == t) {
			a->turn = q->next;
			a->teams[a->turn].credit = a->teams[a->turn].weight;
		}
	}
	q->next = a->free_team;
	a->free_team = t;
}

static bool earlier(const struct admit *a, uint32_t i, uint32_t j)
{
	return a->items[a->heap[i]].deadline < a->items[a->heap[j]].deadline;
}

static void heap_set(struct admit *a, uint32_t i, admit_handle h)
{
	a->heap[i] = h;
	a->items[h].heap = i;
}

static void heap_swap(struct admit *a, uint32_t i, uint32_t j)
{
	admit_handle h = a->heap[i];

	heap_set(a, i, a->heap[j]);
	heap_set(a, j, h);
}

static void heap_up(struct admit *a, uint32_t i)
{
	while (i > 0 && earlier(a, i, (i - 1) / 2)) {
		heap_swap(a, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void heap_down(struct admit *a, uint32_t i)
{
	for (;;) {
		uint32_t least = i;

		if (2 * i + 1 < a->waiting && earlier(a, 2 * i + 1, least))
			least = 2 * i + 1;
		if (2 * i + 2 < a->waiting && earlier(a, 2 * i + 2, least))
			least = 2 * i + 2;
		if (least == i)
			return;
		heap_swap(a, i, least);
		i = least;
	}
}

static void heap_remove(struct admit *a, uint32_t i)
{
	a->waiting--;
	if (i == a->waiting)
		return;
	heap_set(a, i, a->heap[a->waiting]);
	heap_up(a, i);
	heap_down(a, i);
}
