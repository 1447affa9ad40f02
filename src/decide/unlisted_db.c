#include "decide/unlisted_db.h"

/* Decides what becomes of a database without an entry; see the header. */
enum unlisted_db_step unlisted_db_check(const struct unlisted_db *d, usec_t now)
{
	if (d->is_departing)
		return UNLISTED_DB_DROP;
	if (!d->answers)
		return UNLISTED_DB_DROP_AND_WAIT;
	return now - d->since < UNLISTED_DB_KEPT_US ? UNLISTED_DB_KEEP
						    : UNLISTED_DB_DROP_AND_WAIT;
}

/* "dropped_at" is 0 if no such database was dropped. */
bool unlisted_db_is_known(usec_t dropped_at, usec_t now)
{
	return dropped_at == 0 || now - dropped_at >= UNLISTED_DB_KNOWN_US;
}

/*
 * While the platform is down for all VMs, nobody has a newer list, and a VM
 * that hears most of the others would know of one.
 */
bool db_list_is_current(const struct db_list_view *v, usec_t now)
{
	if (v->outdated_since && now - v->outdated_since >= DB_LIST_COPY_MAX_US)
		return false;
	return v->hears_most_vms ||
	       (v->confirmed_at &&
		now - v->confirmed_at < UNLISTED_DB_KNOWN_US);
}
