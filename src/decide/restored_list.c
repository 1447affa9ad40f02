#include "decide/restored_list.h"

/* A list is complete again once all live members have registered. */
bool restored_list_is_partial(usec_t asked_at, usec_t restored_at,
			      usec_t back_within)
{
	return restored_at && asked_at - restored_at < back_within;
}

/*
 * An entry of a later start is newer than what is known. Of the same start, an
 * entry with another address can't be ordered, and a departure is not taken
 * back.
 */
enum restored_entry restored_list_entry(const struct restored_member *known,
					const struct restored_member *listed)
{
	if (known->incarnation && listed->incarnation > known->incarnation)
		return RESTORED_ENTRY_TAKE;
	if (listed->incarnation < known->incarnation ||
	    !listed->has_same_address)
		return RESTORED_ENTRY_IGNORE;
	return known->departing && !listed->departing ? RESTORED_ENTRY_DEPARTS
						      : RESTORED_ENTRY_TAKE;
}
