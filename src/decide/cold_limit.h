#ifndef DECIDE_COLD_LIMIT_H
#define DECIDE_COLD_LIMIT_H

#include "decide/types.h"

/*
 * Limits the statements that a database gets while it is cold after its start.
 * The load answered is that of a whole group, or of all groups of a failure
 * domain, that turns to databases which have just come back: their caches are
 * empty, so each statement takes several times as long.
 *
 * The limit counts over all VMs. Only the VM that owns the database's
 * connections sends to it, at an even pace. A VM that becomes the owner waits,
 * since the former one may have used up the limit of that second; and each
 * sends at no more than half of the limit, since for moments two VMs may take
 * themselves for the owner.
 */

struct cold_limit_policy {
	/* statements a second that a cold database is made for, in
	 * thousandths; 0: there is no limit */
	uint64_t milli_per_s;
	/* how much of that it may get at most, in thousandths */
	uint64_t overage_milli;
};

struct cold_limit {
	usec_t owner_since; /* 0: this VM does not own the database */
	usec_t next_at;	    /* no statement before this time */
};

/* Notes whether this VM owns the database; called before each use. */
void cold_limit_set_owner(struct cold_limit *c, bool is_owner, usec_t now);
/* Returns the time from which one more statement may be sent; -1: never. */
usec_t cold_limit_next_at(const struct cold_limit *c,
			  const struct cold_limit_policy *policy);
/* Returns how long one more statement waits if "ahead" others go first. */
usec_t cold_limit_wait(const struct cold_limit *c,
		       const struct cold_limit_policy *policy, uint32_t ahead,
		       usec_t now);
/* Counts n more requests, which are sent along with the last statement. */
void cold_limit_add(struct cold_limit *c,
		    const struct cold_limit_policy *policy, uint32_t n);
/* Takes the right to send one statement; false if there is none now. */
bool cold_limit_take(struct cold_limit *c,
		     const struct cold_limit_policy *policy, usec_t now);

#endif
