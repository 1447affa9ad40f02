#include "decide/promotion_claim.h"

static usec_t seen_for(struct promotion_claim_sighting *s,
		       const struct promotion_claim *r, usec_t now);
static bool is_over(const struct promotion_claim *r, uint64_t term);

/*
 * A promotion is over once its term is known, or its longest duration has
 * passed. The record has no timestamp because the clocks of VMs differ; its age
 * is counted from when this VM first saw its position, which is recorded in
 * "s".
 */
enum promotion_claim_verdict
promotion_claim_check(struct promotion_claim_sighting *s,
		      const struct promotion_claim *r, uint64_t term,
		      bool is_settled, usec_t now, usec_t lasts)
{
	usec_t seen = seen_for(s, r, now);

	switch (r->state) {
	case PROMOTION_CLAIM_NONE:
		return is_settled ? PROMOTION_CLAIM_FREE
				  : PROMOTION_CLAIM_UNSETTLED;
	case PROMOTION_CLAIM_HELD:
		return r->is_term_certain && r->term == term
			       ? PROMOTION_CLAIM_FREE_CERTAIN
			       : PROMOTION_CLAIM_FREE;
	case PROMOTION_CLAIM_PROMOTING:
		return is_over(r, term) || seen >= lasts ? PROMOTION_CLAIM_FREE
							 : PROMOTION_CLAIM_BUSY;
	case PROMOTION_CLAIM_CLOSED:
		if (r->term > term)
			return PROMOTION_CLAIM_OUTDATED;
		return r->term == term ? PROMOTION_CLAIM_FREE_CERTAIN
				       : PROMOTION_CLAIM_FREE;
	}
	return PROMOTION_CLAIM_BUSY;
}

/*
 * A claim is not taken from a holder that may still be at work, although that
 * would only end its attempt.
 */
bool promotion_claim_may_close(struct promotion_claim_sighting *s,
			       const struct promotion_claim *r, uint64_t term,
			       bool is_settled, usec_t now, usec_t lasts)
{
	usec_t seen = seen_for(s, r, now);

	switch (r->state) {
	case PROMOTION_CLAIM_NONE:
		return is_settled;
	case PROMOTION_CLAIM_HELD:
		return seen >= lasts;
	case PROMOTION_CLAIM_PROMOTING:
		return is_over(r, term) || seen >= lasts;
	case PROMOTION_CLAIM_CLOSED:
		return term > r->term;
	}
	return false;
}

/* Returns the name of a verdict for logs. */
const char *promotion_claim_verdict_name(enum promotion_claim_verdict v)
{
	static const char *const names[] = {
		[PROMOTION_CLAIM_FREE] = "free",
		[PROMOTION_CLAIM_FREE_CERTAIN] = "free, term certain",
		[PROMOTION_CLAIM_BUSY] = "a promotion may be in progress",
		[PROMOTION_CLAIM_UNSETTLED] =
			"a promotion of an earlier era may be in progress",
		[PROMOTION_CLAIM_OUTDATED] = "a later term leads",
	};

	return names[v];
}

/* Returns how long this VM has seen the record for, and records its sight. */
static usec_t seen_for(struct promotion_claim_sighting *s,
		       const struct promotion_claim *r, usec_t now)
{
	if (s->first_seen_at == 0 ||
	    store_position_compare(&s->at, &r->at) != 0) {
		s->at = r->at;
		s->first_seen_at = now;
	}
	return now - s->first_seen_at;
}

/*
 * Returns true if the promotion of the record has taken effect. A later term
 * may be of a promotion before it, unless its holder knew the newest one.
 */
static bool is_over(const struct promotion_claim *r, uint64_t term)
{
	return r->is_term_certain && term > r->term;
}
