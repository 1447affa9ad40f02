#ifndef DECIDE_RESTORED_LIST_H
#define DECIDE_RESTORED_LIST_H

#include "decide/types.h"

/*
 * What a list of members tells while the store, restored from an older copy,
 * has not got all entries back. An older copy lacks members that registered
 * since, and lists others as they were: before their last start, or before
 * they announced their departure. Live members register again soon after.
 */

/* What is known, or listed, of one member. */
struct restored_member {
	uint64_t incarnation; /* start time of its process; 0: unknown */
	bool departing;
	bool has_same_address; /* of the listed one: as the known address */
};

/* What to take of the entry of a known member. */
enum restored_entry {
	RESTORED_ENTRY_TAKE,
	RESTORED_ENTRY_IGNORE,	/* it is older than what is known */
	RESTORED_ENTRY_DEPARTS, /* take it, but the member still departs */
};

/*
 * Returns true if a list requested at "asked_at" may be out of date because the
 * store was restored at "restored_at" (0: it was not). Live members register
 * again within "back_within".
 */
bool restored_list_is_partial(usec_t asked_at, usec_t restored_at,
			      usec_t back_within);
/* Decides on an entry of such a list. */
enum restored_entry restored_list_entry(const struct restored_member *known,
					const struct restored_member *listed);

#endif
