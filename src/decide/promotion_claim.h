#ifndef DECIDE_PROMOTION_CLAIM_H
#define DECIDE_PROMOTION_CLAIM_H

#include "decide/store_position.h"

/*
 * Record at the platform by which one VM claims the right to replace a group's
 * primary; its position in the store's history gives the fencing token. Right
 * before the holder calls the promotion, it marks the record as promoting, on
 * condition that no other VM has replaced the record. A promotion takes effect
 * some time after its call, even if another VM holds the claim by then. A
 * second promotion before that would replace a primary that VMs have just
 * started to use, so a record that is marked as promoting may be replaced only
 * once that promotion is over.
 *
 * Once a primary is known to lead, the record is closed with its term. Any
 * later promotion has to replace the closed record first, and then waits for
 * the guard. So a VM that reads the record as closed knows the primary as of
 * then.
 *
 * Each era of the store has records of its own. A promotion that was marked in
 * an earlier era may still be in progress when an era begins, so the first
 * record of an era is written only once the era is settled. Later VMs need not
 * wait: that there is a record tells that the era was settled.
 */
enum promotion_claim_state {
	PROMOTION_CLAIM_NONE,	   /* there is no record in this era */
	PROMOTION_CLAIM_HELD,	   /* a VM has claimed the promotion */
	PROMOTION_CLAIM_PROMOTING, /* the promotion may be in progress */
	PROMOTION_CLAIM_CLOSED,	   /* no promotion is claimed */
};

struct promotion_claim {
	enum promotion_claim_state state;
	struct store_position at;
	/* the group's term that the promotion ends; closed: that leads */
	uint64_t term;
	/* held, promoting: the claim replaced a record closed at this term */
	bool is_term_certain;
};

/* The record that this VM saw last, and when it first saw it. */
struct promotion_claim_sighting {
	struct store_position at;
	usec_t first_seen_at;
};

enum promotion_claim_verdict {
	PROMOTION_CLAIM_FREE, /* it may be replaced */
	/* the same, and nobody has promoted since "term" began */
	PROMOTION_CLAIM_FREE_CERTAIN,
	PROMOTION_CLAIM_BUSY,	   /* a promotion may be in progress */
	PROMOTION_CLAIM_UNSETTLED, /* one of an earlier era may be */
	PROMOTION_CLAIM_OUTDATED,  /* a later term leads than known here */
};

/*
 * Returns whether a claim may replace the record. "term" is the group's term as
 * known here, "is_settled" whether the era is, "lasts" the longest time that a
 * promotion takes.
 */
enum promotion_claim_verdict
promotion_claim_check(struct promotion_claim_sighting *s,
		      const struct promotion_claim *r, uint64_t term,
		      bool is_settled, usec_t now, usec_t lasts);
/*
 * Returns true if a VM that has a proof of the primary of "term" may close the
 * record.
 */
bool promotion_claim_may_close(struct promotion_claim_sighting *s,
			       const struct promotion_claim *r, uint64_t term,
			       bool is_settled, usec_t now, usec_t lasts);
const char *promotion_claim_verdict_name(enum promotion_claim_verdict v);

#endif
