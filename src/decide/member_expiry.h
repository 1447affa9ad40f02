#ifndef DECIDE_MEMBER_EXPIRY_H
#define DECIDE_MEMBER_EXPIRY_H

#include "decide/types.h"

/*
 * Decides whether members that are missing from the registry's list have left.
 * An entry expires when its member dies, but many entries also expire at once
 * while the platform is unavailable; live members register again soon after it
 * returns. A member that is missing alone is therefore taken as gone, while
 * members that are missing in large numbers are kept until they have had time
 * to register again.
 */
struct member_expiry {
	usec_t many_missing_since; /* request time of the first list that lacked
				      many members; 0: none */
};

/*
 * Returns true if the missing members are to be taken as gone. The list
 * requested at "asked_at" lacks "missing" of "known" members; members that
 * announced their departure count in neither. Live members register again
 * within "back_within".
 */
bool member_expiry_confirmed(struct member_expiry *a, uint32_t known,
			     uint32_t missing, usec_t asked_at,
			     usec_t back_within);

#endif
