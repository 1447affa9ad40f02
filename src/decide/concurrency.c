#include "decide/concurrency.h"

#define MILLI 1000
/* Refusals within this time of a decrease belong to the same overload. */
#define DECREASE_INTERVAL_US (5 * USEC_PER_MSEC)
/* A decrease multiplies the limit by this many thousandths. */
#define DECREASE_MILLI 700

static uint32_t clamp(const struct concurrency *s, uint64_t milli);

/* Starts at the VM's even share of the database's slots, at least one. */
void concurrency_init(struct concurrency *s, uint32_t max, uint32_t vms)
{
	*s = (struct concurrency){ 0 };
	concurrency_resize(s, max, vms);
	s->limit_milli = s->share * MILLI;
}

/*
 * Applies a changed number of slots or VMs. The limit changes only if it is
 * out of its new bounds.
 */
void concurrency_resize(struct concurrency *s, uint32_t max, uint32_t vms)
{
	s->max = max ? max : 1;
	s->share = vms && s->max / vms ? s->max / vms : 1;
	s->limit_milli = clamp(s, s->limit_milli);
}

/*
 * Raises the limit by 1/limit for each accepted statement, hence by one per
 * "limit" statements. It does so only while statements are queued: otherwise
 * the limit was not reached, and acceptance does not show that it is too low.
 */
void concurrency_on_accepted(struct concurrency *s, bool waiting)
{
	if (!waiting)
		return;
	s->limit_milli =
		clamp(s, (uint64_t)s->limit_milli +
				 (uint64_t)MILLI * MILLI / s->limit_milli);
}

/* Lowers the limit, once for refusals in quick succession. */
void concurrency_on_busy(struct concurrency *s, usec_t now)
{
	if (s->decreased_at && now - s->decreased_at < DECREASE_INTERVAL_US)
		return;
	s->decreased_at = now;
	s->limit_milli =
		clamp(s, (uint64_t)s->limit_milli * DECREASE_MILLI / MILLI);
}

/* Returns how many statements may run at once now. */
uint32_t concurrency_limit(const struct concurrency *s)
{
	return s->limit_milli / MILLI;
}

/* Bounds a limit between one statement and all slots of the database. */
static uint32_t clamp(const struct concurrency *s, uint64_t milli)
{
	if (milli < MILLI)
		return MILLI;
	if (milli > (uint64_t)s->max * MILLI)
		return s->max * MILLI;
	return (uint32_t)milli;
}
