#ifndef STANDIN_DATABASE_H
#define STANDIN_DATABASE_H

#include "decide/error.h"

/*
 * A stand-in for one database of a group, served over HTTP; docs/PROTOCOLS.md
 * describes the protocol.
 */
struct database;

/* Initial delays and limits; 0 means no delay or no limit. */
struct fault_settings {
	int64_t latency_us;  /* added to each statement */
	int64_t connect_us;  /* added to the first request of a connection */
	int64_t slots;	     /* statements executed at a time */
	int64_t connections; /* connections open at a time */
	int64_t lag_ms;	     /* delay added to replication */
};

struct database_options {
	const char *name;
	const char *domain;
	const char *listen;	/* address to serve, ip:port */
	const char *control;	/* ip:port of the fault control server */
	size_t log_max;		/* log entries to retain; 0: the default */
	usec_t tx_idle_timeout; /* timeout of an idle transaction */
	struct fault_settings faults;
	uint64_t term; /* initial fence term; 0: neither primary nor follower */
	/* Address of the primary to follow in "term"; NULL: the database is its
	 * primary. */
	const char *primary;
};

struct database *database_start(const struct database_options *o,
				struct error *e);
const char *database_address(const struct database *d);
const char *database_control_address(const struct database *d);
void database_stop(struct database *d);

#endif
