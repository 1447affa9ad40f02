#ifndef DECIDE_HEALTH_PROBE_H
#define DECIDE_HEALTH_PROBE_H

#include "decide/types.h"

struct health_probe_policy {
	/* Probe intervals: */
	usec_t busy_us;	       /* in a promotion or hand-over; for replicas also
				  while writes wait for confirmation */
	usec_t active_us;      /* groups in use */
	usec_t idle_us;	       /* groups without a request for active_for_us */
	usec_t active_for_us;  /* a group is in use this long after a request */
	usec_t reply_us;       /* timeout of a probe */
	usec_t backoff_max_us; /* longest interval if there is no response */
};

/* State of the health probes of one database by one VM. */
struct health_probe {
	usec_t pending_since; /* when the pending probe was sent; 0: none */
	usec_t answered_at;   /* send time of the newest request, of any kind,
				 that got a response */
	usec_t sent_at;	      /* when the last probe was sent */
	uint32_t misses;      /* consecutive probes that timed out */
	usec_t unanswered_at; /* send time of the first probe without a response
				 since the last response; 0: none */
};

/* Current load of the group, which sets the probe interval. */
struct health_probe_demand {
	uint32_t waiting_writes; /* writes that wait for confirmation */
	bool urgent;		 /* a promotion or hand-over is in progress */
	usec_t used_at;		 /* time of the group's last request */
};

/* Returns when to send the next probe; due if that is not in the future. */
usec_t health_probe_due(const struct health_probe *p,
			const struct health_probe_policy *policy,
			const struct health_probe_demand *need, bool primary,
			usec_t now);
void health_probe_sent(struct health_probe *p, usec_t now);
/* Any response with a status, also to a statement, replaces a probe. */
void health_probe_answered(struct health_probe *p, usec_t asked_at);
/* Returns true once if the pending probe has timed out. */
bool health_probe_expire(struct health_probe *p,
			 const struct health_probe_policy *policy, usec_t now);

#endif
