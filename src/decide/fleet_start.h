#ifndef DECIDE_FLEET_START_H
#define DECIDE_FLEET_START_H

#include "decide/types.h"

/*
 * Whether a VM that has just started knows which others live, for a fleet that
 * starts at once, as after a loss of power. Until it hears of the others, each
 * VM takes itself for the owner of everything; if all act on that, they take
 * the connections that databases have left while they still keep those of the
 * VMs that lost power.
 */
struct fleet_start {
	bool is_listed;	  /* the list of VMs is known */
	usec_t known_for; /* since then */
	uint32_t n_peers; /* other VMs on the list */
	uint32_t n_live;  /* of those, heard from */
};

/* A VM that starts hears of most others within this time. */
#define FLEET_START_SETTLE_US (300 * USEC_PER_MSEC)

bool fleet_start_is_settled(const struct fleet_start *f);

#endif
