#ifndef DECIDE_HANDOVER_H
#define DECIDE_HANDOVER_H

#include "decide/error.h"

enum handover_state {
	HANDOVER_IDLE,
	HANDOVER_HOLDING,  /* new writes are held, running ones finish */
	HANDOVER_CATCHING, /* a replica catches up with the primary */
	HANDOVER_READY,	   /* fence and promote now */
};

struct handover_policy {
	usec_t settle_us;    /* hold before the first comparison */
	usec_t hold_max_us;  /* then writes are released */
	usec_t retry_min_us; /* wait after an abandoned one, doubled each time
			      */
	usec_t retry_max_us;
};

struct handover {
	enum handover_state state;
	usec_t since;
	usec_t retry_at;
	uint32_t failures;
	uint32_t target; /* replica to promote */
};

/* A replica that may take over from a departing primary, or DB_NONE. */
uint32_t handover_target(const struct group_view *v, usec_t fresh_us,
			 uint32_t clock_rate_ppm, usec_t now);
bool handover_due(const struct handover *h, const struct group_view *v,
		  usec_t now);
void handover_begin(struct handover *h, uint32_t target, usec_t now);
/* Moves on; "running" is this VM's writes still at the primary. */
enum handover_state handover_step(struct handover *h,
				  const struct handover_policy *policy,
				  const struct group_view *v, uint32_t running,
				  usec_t now);
void handover_abandon(struct handover *h, const struct handover_policy *policy,
		      usec_t now);
void handover_end(struct handover *h);

#endif
