#ifndef DECIDE_PROMOTION_CLAIM_H
#define DECIDE_PROMOTION_CLAIM_H

#include "decide/types.h"

/*
 * Record at the platform by which one VM claims the right to replace a group's
 * primary; its revision is the fencing token. Right before the holder calls the
 * promotion, it marks the record as promoting, on condition that no other VM
 * has replaced the record. A promotion takes effect some time after its call,
 * even if another VM holds the claim by then. A second promotion before that
 * would replace a primary that VMs have just started to use, so a record that
 * is marked as promoting may be replaced only once that promotion is over.
 */
struct promotion_claim {
	uint64_t revision;  /* of the record; 0: there is no record */
	bool is_promoting;  /* the holder's promotion may be in progress */
	uint64_t base_term; /* the group's term that the promotion ends */
};

/* The revision that this VM saw last, and when it first saw it. */
struct promotion_claim_sighting {
	uint64_t revision;
	usec_t first_seen_at;
};

/*
 * Returns true if the record may be replaced, because no promotion of its
 * holder is in progress. "term" is the group's term as known here, "lasts" the
 * longest time that a promotion takes.
 */
bool promotion_claim_is_replaceable(struct promotion_claim_sighting *s,
				    const struct promotion_claim *r,
				    uint64_t term, usec_t now, usec_t lasts);

#endif
