#ifndef DECIDE_HANDOVER_H
#define DECIDE_HANDOVER_H

#include "decide/error.h"

/* A planned change of primary away from a departing database. */
enum handover_state {
	HANDOVER_IDLE,
	HANDOVER_HOLDING,     /* new writes are held, running writes finish */
	HANDOVER_CATCHING_UP, /* the target catches up with the primary */
	HANDOVER_READY,	      /* the target may be promoted now */
};

struct handover_policy {
	usec_t settle_us;    /* shortest hold before logs are compared */
	usec_t hold_max_us;  /* longest hold; then writes are released */
	usec_t retry_min_us; /* first back-off, doubled after each failure */
	usec_t retry_max_us; /* longest back-off */
};

struct handover {
	enum handover_state state;
	usec_t held_since; /* start of the hold */
	usec_t retry_at;   /* no new attempt before this time */
	uint32_t failures; /* consecutive abandoned attempts */
	uint32_t target;   /* replica to promote */
};

/* Returns the replica to take over from a departing primary, or DB_NONE. */
uint32_t handover_target(const struct group_view *v, usec_t fresh_us,
			 uint32_t clock_rate_ppm, usec_t now);
bool handover_due(const struct handover *h, const struct group_view *v,
		  usec_t now);
void handover_begin(struct handover *h, uint32_t target, usec_t now);
/*
 * Advances the hand-over and returns its state. "running" is the number of this
 * VM's writes that still run at the primary.
 */
enum handover_state handover_step(struct handover *h,
				  const struct handover_policy *policy,
				  const struct group_view *v, uint32_t running,
				  usec_t now);
void handover_abandon(struct handover *h, const struct handover_policy *policy,
		      usec_t now);
void handover_end(struct handover *h);

#endif
