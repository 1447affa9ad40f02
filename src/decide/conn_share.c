#include "decide/conn_share.h"

/*
 * Returns the number of connections, at least one: for the owner all but what
 * it leaves to others, for another VM an even share of the reserve.
 */
uint32_t conn_share(const struct conn_share_view *v)
{
	uint32_t left =
		CONN_SHARE_SUCCESSOR_PER_SLOT * v->slots + CONN_SHARE_CONTROL;
	uint32_t reserve = v->max_connections / CONN_SHARE_RESERVE_DIVISOR + 1;
	uint32_t share;

	if (v->is_owner && v->max_connections > left)
		return v->max_connections - left;
	share = v->fleet_size ? reserve / v->fleet_size : 0;
	return share ? share : 1;
}
