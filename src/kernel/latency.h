#ifndef KERNEL_LATENCY_H
#define KERNEL_LATENCY_H

#include <stddef.h>

#include "decide/types.h"

/* Every latency histogram: id, exported name without its prefix, help text. */
#define LATENCY_TABLE(X)                                                    \
	X(STATEMENT, "statement_seconds", "from a statement to its answer") \
	X(DATABASE, "database_seconds", "answers of databases")             \
	X(WAIT, "wait_seconds", "statements before they were sent")         \
	X(CONNECT, "connect_seconds", "new connections to databases")       \
	X(PLATFORM, "platform_seconds", "calls to the platform")            \
	X(LIMIT, "limit_seconds", "questions for tokens of team limits")    \
	X(HANDOVER, "handover_seconds",                                     \
	  "from a known evacuation to another primary")                     \
	X(CONFIRM, "config_unconfirmed_seconds",                            \
	  "between reads of the configuration, by this VM or a peer")       \
	X(EVACUATION_AGE, "evacuations_unconfirmed_seconds",                \
	  "between reads of the evacuations, by this VM or a peer")

enum latency {
#define X(id, name, help) LATENCY_##id,
	LATENCY_TABLE(X)
#undef X
		LATENCY_COUNT
};

/* Adds one latency in microseconds. Any thread, no lock. */
void latency_add(enum latency l, usec_t took);
/* Writes all histograms in the metrics text format; returns the length. */
size_t latencies_print(char *buf, size_t size);

#endif
