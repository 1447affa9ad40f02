#ifndef STANDIN_DATABASE_H
#define STANDIN_DATABASE_H

#include "decide/error.h"

/* One database of a group, served over HTTP as docs/PROTOCOLS.md tells. */
struct database;

/* Sizes as set at the start; 0 means no limit or no delay. */
struct fault_settings {
	int64_t latency_us;  /* of a statement */
	int64_t connect_us;  /* of a connection's first request */
	int64_t slots;	     /* statements at a time; 0: no limit */
	int64_t connections; /* open at a time; 0: no limit */
	int64_t lag_ms;	     /* of replication */
};

struct database_options {
	const char *name;
	const char *domain;
	const char *listen;
	const char *control;
	size_t log_max; /* entries; 0: the default */
	usec_t transaction_idle;
	struct fault_settings faults;
	uint64_t term;	     /* 0: not fenced, neither primary nor following */
	const char *primary; /* to follow in "term"; NULL: be its primary */
};

struct database *database_start(const struct database_options *o,
				struct error *e);
const char *database_address(const struct database *d);
const char *database_control(const struct database *d);
void database_stop(struct database *d);

#endif
