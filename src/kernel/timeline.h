#ifndef KERNEL_TIMELINE_H
#define KERNEL_TIMELINE_H

#include "kernel/log.h"

#define TIMELINE_TEXT_BYTES 200

/* Hybrid logical clock stamp: wall microseconds, then a counter. */
struct hlc {
	int64_t wall_us;
	uint32_t count;
};

struct timeline_event {
	uint64_t number; /* consecutive at each VM */
	struct hlc at;
	enum event_id event;
	char text[TIMELINE_TEXT_BYTES];
};

int timeline_open(uint32_t events, struct error *e);
void timeline_close(void);
void timeline_add(enum event_id ev, const char *text);
/* Merges a peer's stamp, so that later stamps are ordered after it. */
void timeline_observe(struct hlc seen);
struct hlc timeline_stamp(void);
/* Copies events with numbers from "since"; *lost counts those overwritten. */
size_t timeline_read(uint64_t since, struct timeline_event *out, size_t max,
		     uint64_t *lost);

#endif
