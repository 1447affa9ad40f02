#ifndef DECIDE_UPKEEP_H
#define DECIDE_UPKEEP_H

#include "decide/promote.h"

/* What a promoter keeps in order between changes of primary. */
void upkeep_tick(struct promote *p, const struct promote_env *env,
		 enum promote_cause cause, struct promote_actions *out);
void upkeep_claim(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out);

#endif
