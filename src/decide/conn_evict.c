#include "decide/conn_evict.h"

/* Returns true if the other team's connection is to be closed for this one. */
bool conn_evict_is_worthwhile(const struct conn_evict_view *v)
{
	return !v->has_own || v->idle >= CONN_EVICT_IDLE_LATENCIES * v->latency;
}
