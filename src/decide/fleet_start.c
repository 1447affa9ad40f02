#include "decide/fleet_start.h"

/*
 * Returns true if the VM may act as owner. One that hears few of the others may
 * be all that is left of the fleet, so it does after a while.
 */
bool fleet_start_is_settled(const struct fleet_start *f)
{
	if (!f->is_listed)
		return false;
	return 2 * f->n_live >= f->n_peers ||
	       f->known_for >= FLEET_START_SETTLE_US;
}
