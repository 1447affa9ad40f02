#ifndef DECIDE_DRAIN_H
#define DECIDE_DRAIN_H

#include "decide/error.h"

/* Phases of a graceful shutdown, in order. */
enum drain_phase {
	DRAIN_SERVING,
	DRAIN_NOTICE, /* not ready, departing; still accepts requests */
	DRAIN_REFUSE, /* refuses new requests with DRAINING, finishes others */
	DRAIN_GIVE,   /* transfers its shares of limits to other VMs */
	DRAIN_CLOSE,  /* closes idle connections, VM leaves */
	DRAIN_EXIT,   /* the process may exit with status 0 */
};

/* Durations in microseconds. */
struct drain_limits {
	usec_t notice;	 /* time for the load balancer to move callers */
	usec_t max;	 /* maximum from the signal to the exit */
	usec_t give_max; /* maximum for transferring shares */
};

struct drain {
	enum drain_phase phase;
	usec_t began_at; /* time of the signal */
	usec_t phase_at; /* start of the current phase */
	bool forced;	 /* the maximum time ended with requests or
			    transactions unfinished */
};

/* Work that remains, as the caller sees it now. */
struct drain_load {
	uint32_t running;      /* requests that run or are queued */
	uint32_t transactions; /* open transactions */
	uint32_t shares;       /* limits whose share no VM has taken over yet */
	uint32_t connections;  /* open connections */
};

void drain_init(struct drain *d);
/* Begins the shutdown (SIGTERM); a second call has no effect. */
void drain_begin(struct drain *d, usec_t now);
/* Advances as many phases as possible; returns the current phase. */
enum drain_phase drain_tick(struct drain *d, const struct drain_limits *l,
			    const struct drain_load *load, usec_t now);
/* Returns when to call drain_tick() next; INT64_MAX while serving. */
usec_t drain_next_at(const struct drain *d, const struct drain_limits *l);
/* Returns true if /readyz reports ready. */
bool drain_is_ready(const struct drain *d);
/* Returns true if new statements are accepted. */
bool drain_accepts_statements(const struct drain *d);
/* Returns true if new transactions are accepted. */
bool drain_accepts_transactions(const struct drain *d);
const char *drain_phase_name(enum drain_phase p);

#endif
