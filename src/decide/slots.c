#include "decide/slots.h"

#define MILLI	  1000
#define CUT_GAP	  (5 * USEC_PER_MSEC) /* one decrease per round of refusals */
#define CUT_MILLI 700

static uint32_t clamp(const struct slots *s, uint64_t milli);

/* Starts at the VM's even part of the database's slots, at least one. */
void slots_init(struct slots *s, uint32_t most, uint32_t vms)
{
	*s = (struct slots){ 0 };
	slots_resize(s, most, vms);
	s->milli = s->share * MILLI;
}

/* Takes over a changed number of slots or VMs; the limit stays in bounds. */
void slots_resize(struct slots *s, uint32_t most, uint32_t vms)
{
	s->most = most ? most : 1;
	s->share = vms && s->most / vms ? s->most / vms : 1;
	s->milli = clamp(s, s->milli);
}

/*
 * One more statement per limit of statements taken, so that the limit grows
 * by one in a round; only while work waits, for an unused limit says nothing.
 */
void slots_taken(struct slots *s, bool waiting)
{
	if (!waiting)
		return;
	s->milli = clamp(s, (uint64_t)s->milli +
				    (uint64_t)MILLI * MILLI / s->milli);
}

/* Cuts the limit, once for refusals that come together. */
void slots_busy(struct slots *s, usec_t now)
{
	if (s->cut_at && now - s->cut_at < CUT_GAP)
		return;
	s->cut_at = now;
	s->milli = clamp(s, (uint64_t)s->milli * CUT_MILLI / MILLI);
}

/* Statements that may run at once now. */
uint32_t slots_limit(const struct slots *s)
{
	return s->milli / MILLI;
}

/* Keeps a limit between one statement and all slots. */
static uint32_t clamp(const struct slots *s, uint64_t milli)
{
	if (milli < MILLI)
		return MILLI;
	if (milli > (uint64_t)s->most * MILLI)
		return s->most * MILLI;
	return (uint32_t)milli;
}
