#ifndef DECIDE_DRAIN_H
#define DECIDE_DRAIN_H

#include "decide/error.h"

/* Order of a graceful shutdown. */
enum drain_phase {
	DRAIN_SERVING,
	DRAIN_NOTICE, /* not ready, departing; still takes all work */
	DRAIN_REFUSE, /* new work is refused with DRAINING; running ends */
	DRAIN_GIVE,   /* shares and connections are given back */
	DRAIN_CLOSE,  /* idle connections are closed, VM leaves */
	DRAIN_EXIT,   /* process may exit with 0 */
};

struct drain_limits {
	usec_t notice; /* time for the balancer to move callers */
	usec_t most;   /* from the signal to the exit */
	usec_t give;   /* at most for giving back */
};

struct drain {
	enum drain_phase phase;
	usec_t began_at;
	usec_t phase_at;
	bool forced; /* "most" ran out with work unfinished */
};

/* What still goes on, as the caller sees it now. */
struct drain_load {
	uint32_t running;      /* requests, queued ones included */
	uint32_t transactions; /* open ones */
	uint32_t shares;       /* buckets with a share not yet taken over */
	uint32_t connections;  /* open ones */
};

void drain_init(struct drain *d);
/* SIGTERM; a second one changes nothing. */
void drain_signal(struct drain *d, usec_t now);
/* Moves on as far as it may; returns the phase now in force. */
enum drain_phase drain_tick(struct drain *d, const struct drain_limits *l,
			    const struct drain_load *load, usec_t now);
/* When to call drain_tick() again at the latest; INT64_MAX when serving. */
usec_t drain_next(const struct drain *d, const struct drain_limits *l);
bool drain_ready(const struct drain *d);       /* readyz */
bool drain_takes_work(const struct drain *d);  /* new statements */
bool drain_takes_begin(const struct drain *d); /* new transactions */
const char *drain_phase_name(enum drain_phase p);

#endif
