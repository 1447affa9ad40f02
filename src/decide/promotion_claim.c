#include "decide/promotion_claim.h"

/*
 * Returns true if the record's promotion is over: a later term is known, or the
 * longest duration of a promotion has passed. The record has no timestamp
 * because the clocks of VMs differ; its age is counted from when this VM first
 * saw its revision, which is recorded in "s".
 */
bool promotion_claim_is_replaceable(struct promotion_claim_sighting *s,
				    const struct promotion_claim *r,
				    uint64_t term, usec_t now, usec_t lasts)
{
	if (s->first_seen_at == 0 || s->revision != r->revision)
		*s = (struct promotion_claim_sighting){ r->revision, now };
	if (!r->is_promoting || term > r->base_term)
		return true;
	return now - s->first_seen_at >= lasts;
}
