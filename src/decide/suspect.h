#ifndef DECIDE_SUSPECT_H
#define DECIDE_SUSPECT_H

#include "decide/promote.h"

/*
 * Why the group may need another primary, by what this VM has heard alone;
 * CAUSE_NONE while it is well. "unanswered_at" is that of the
 * primary's struct probe; "since" is when the watch began.
 */
enum promote_cause suspect_cause(const struct promote_policy *policy,
				 const struct group_view *v,
				 usec_t unanswered_at, usec_t since,
				 usec_t now);
/* How long a cause must last before this VM acts on it. */
usec_t suspect_patience(const struct promote_policy *policy,
			enum promote_cause cause);
/*
 * Do the replicas say too that the primary is silent: does a majority of the
 * group answer lately, none of it with a stamp as young as fresh_us?
 */
bool suspect_replicas_agree(const struct promote_policy *policy,
			    const struct group_view *v, usec_t now);
/* A primary of a later term, held by a majority and not yet in the view. */
uint32_t suspect_new_primary(const struct group_view *v);
/* Should this database be told (again) to follow the view's primary? */
bool suspect_astray(const struct promote_policy *policy,
		    const struct group_view *v, uint32_t db, usec_t now);

#endif
