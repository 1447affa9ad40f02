#ifndef DECIDE_FAILURE_DETECTOR_H
#define DECIDE_FAILURE_DETECTOR_H

#include "decide/promote.h"

/*
 * Failure detector: returns why the group may need another primary, judged only
 * by what this VM has heard; CAUSE_NONE if there is no reason. "unanswered_at"
 * is from the primary's struct health_probe; evidence from before "since" is
 * ignored.
 */
enum promote_cause detector_cause(const struct promote_policy *policy,
				  const struct group_view *v,
				  usec_t unanswered_at, usec_t since,
				  usec_t now);
/* Returns how long a cause must last, in microseconds, before a VM acts. */
usec_t detector_delay(const struct promote_policy *policy,
		      enum promote_cause cause);
/*
 * Returns true if the replicas confirm that the primary is silent: a majority
 * of the group responds, and none of them has followed it within suspect_us.
 */
bool detector_replicas_agree(const struct promote_policy *policy,
			     const struct group_view *v, usec_t now);
/* Returns a primary of a later term with a fenced majority, or DB_NONE. */
uint32_t detector_new_primary(const struct group_view *v);
/* Returns true if this database must be told to follow the view's primary. */
bool detector_needs_follow(const struct promote_policy *policy,
			   const struct group_view *v, uint32_t db, usec_t now);

#endif
