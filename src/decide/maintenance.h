#ifndef DECIDE_MAINTENANCE_H
#define DECIDE_MAINTENANCE_H

#include "decide/promote.h"

/*
 * Periodic maintenance of a group while no change of primary is under way:
 * publish a primary that the platform lacks, claim a term in advance, and make
 * the replicas follow the primary.
 */
void maintenance_tick(struct promote *p, const struct promote_env *env,
		      enum promote_cause cause, struct promote_actions *out);
/* Claims a term in advance; see maintenance.c. */
void maintenance_claim(struct promote *p, const struct promote_env *env,
		       struct promote_actions *out);

#endif
