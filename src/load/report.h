#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include "load/worker.h"

/* The results of a run. */
struct load_report {
	struct load_options options;
	struct load_stats stats;
	uint64_t keys_read;
	uint64_t keys_unread;
	usec_t duration;
};

void report_fill(struct load_report *r, struct load_shared *s);

#endif
