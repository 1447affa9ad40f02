#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include "load/driver.h"

/* What is left of a run. */
struct load_report {
	struct load_options options;
	struct measures measures;
	uint64_t keys_read;
	uint64_t keys_unread;
	usec_t length;
};

void report_fill(struct load_report *r, struct load_shared *s);

#endif
