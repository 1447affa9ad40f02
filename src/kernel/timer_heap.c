#include "kernel/timer_heap.h"

#include <stdlib.h>

#define HEAP_ROOM_MIN 64

static void place(struct timer_heap *h, uint32_t i, struct loop_timer *t);
static void sift_up(struct timer_heap *h, uint32_t i, struct loop_timer *t);
static void sift_down(struct timer_heap *h, uint32_t i, struct loop_timer *t);

/* Adds a timer that is not in the heap; -1 if memory is short. */
int timer_heap_insert(struct timer_heap *h, struct loop_timer *t)
{
	struct loop_timer **p;
	uint32_t room;

	if (h->n == h->capacity) {
		room = h->capacity ? h->capacity * 2 : HEAP_ROOM_MIN;
		p = realloc(h->at, room * sizeof(struct loop_timer *));
		if (!p)
			return -1;
		h->at = p;
		h->capacity = room;
	}
	sift_up(h, h->n++, t);
	return 0;
}

/* Removes a timer, or does nothing if it is not set. */
void timer_heap_remove(struct timer_heap *h, struct loop_timer *t)
{
	struct loop_timer *last;
	uint32_t i;

	if (t->slot == 0)
		return;
	i = t->slot - 1;
	t->slot = 0;
	last = h->at[--h->n];
	if (last == t)
		return;
	if (i > 0 && last->at < h->at[(i - 1) / 2]->at)
		sift_up(h, i, last);
	else
		sift_down(h, i, last);
}

/* Returns the timer that is due first, or NULL. */
struct loop_timer *timer_heap_first(const struct timer_heap *h)
{
	return h->n ? h->at[0] : NULL;
}

/* Frees the heap; the timers belong to their owners. */
void timer_heap_free(struct timer_heap *h)
{
	free(h->at);
	*h = (struct timer_heap){ 0 };
}

/* Puts a timer into slot i and records the slot in the timer. */
static void place(struct timer_heap *h, uint32_t i, struct loop_timer *t)
{
	h->at[i] = t;
	t->slot = i + 1;
}

/* Moves a timer from slot i towards the root until its parent is earlier. */
static void sift_up(struct timer_heap *h, uint32_t i, struct loop_timer *t)
{
	while (i > 0 && t->at < h->at[(i - 1) / 2]->at) {
		place(h, i, h->at[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	place(h, i, t);
}

/* Moves a timer from slot i towards the leaves until no child is earlier. */
static void sift_down(struct timer_heap *h, uint32_t i, struct loop_timer *t)
{
	uint32_t c;

	for (;;) {
		c = 2 * i + 1;
		if (c >= h->n)
			break;
		if (c + 1 < h->n && h->at[c + 1]->at < h->at[c]->at)
			c++;
		if (t->at <= h->at[c]->at)
			break;
		place(h, i, h->at[c]);
		i = c;
	}
	place(h, i, t);
}
