#ifndef KERNEL_TIMER_HEAP_H
#define KERNEL_TIMER_HEAP_H

#include "kernel/loop.h"

/* A binary heap of timers, earliest first; each records its slot. */
struct timer_heap {
	struct loop_timer **at;
	uint32_t n;
	uint32_t capacity;
};

int timer_heap_insert(struct timer_heap *h, struct loop_timer *t);
void timer_heap_remove(struct timer_heap *h, struct loop_timer *t);
struct loop_timer *timer_heap_first(const struct timer_heap *h);
void timer_heap_free(struct timer_heap *h);

#endif
