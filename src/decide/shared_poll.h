#ifndef DECIDE_SHARED_POLL_H
#define DECIDE_SHARED_POLL_H

#include <stdint.h>

#include "decide/types.h"

/*
 * When a VM asks the platform again for data that all VMs need. They tell each
 * other how long ago each of them asked and was answered; a VM asks when the
 * newest answer, its own or another's, is old enough, after a random delay. So
 * usually one VM asks, and the others hear of its answer before their delays
 * are over. If VMs can't reach the platform, those with longer delays ask
 * instead: the age of the newest answer is bounded as long as one VM reaches
 * the platform.
 *
 * The delays are distributed exponentially up to a longest one, most of them
 * near it, so that few VMs ask before they have heard of the first
 * (Nonnenmacher and Biersack, "Scalable Feedback for Large Groups", IEEE/ACM
 * Transactions on Networking 7(3), 1999).
 */

/*
 * Ages that VMs tell of one answer differ by less than this: by the time that a
 * message takes.
 */
#define SHARED_POLL_AGE_ERROR_US (100 * USEC_PER_MSEC)

struct shared_poll_policy {
	usec_t min_age; /* of the newest answer before any VM asks again */
	usec_t spread;	/* longest random delay after that */
};

struct shared_poll {
	usec_t asked_at; /* when the newest answered request began; 0: none */
	usec_t delay;	 /* this VM's, for the next request */
};

/*
 * Takes note of an answer, of this VM or another, to a request that began at
 * "asked_at". Returns true if it is newer than the one known. "vms" share the
 * requests; "unit" is random, from 0 to 1.
 */
bool shared_poll_answered(struct shared_poll *p,
			  const struct shared_poll_policy *policy,
			  usec_t asked_at, uint32_t vms, double unit);
/* Returns when this VM asks, unless it hears of a newer answer; 0: never. */
usec_t shared_poll_due_at(const struct shared_poll *p,
			  const struct shared_poll_policy *policy);

#endif
