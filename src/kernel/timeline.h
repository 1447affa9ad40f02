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
	uint64_t number; /* per VM, without gaps */
	struct hlc at;
	enum event_id event;
	char text[TIMELINE_TEXT_BYTES];
};

int timeline_open(uint32_t events, struct error *e);
void timeline_close(void);
void timeline_add(enum event_id ev, const char *text);
/* Merges a peer's stamp, so that what follows is ordered after it. */
void timeline_observe(struct hlc seen);
struct hlc timeline_stamp(void);
/* Copies events from number "since" on; "*lost" counts overwritten ones. */
size_t timeline_read(uint64_t since, struct timeline_event *out, size_t max,
		     uint64_t *lost);

#endif
