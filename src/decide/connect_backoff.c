#include "decide/connect_backoff.h"

/* First back-off: several handshakes, of 12 ms at the users' databases. */
#define BACKOFF_BASE_US (50 * USEC_PER_MSEC)
/* Doublings of the back-off: up to the time in which a statement has to end. */
#define DOUBLINGS_MAX 4

/*
 * Starts the next back-off, twice as long as the last one. Half of it is
 * fixed and half random, so that the VMs do not retry at the same time.
 */
void connect_backoff_on_busy(struct connect_backoff *o, usec_t now, double draw)
{
	usec_t pause = BACKOFF_BASE_US << o->refusals;

	if (o->refusals < DOUBLINGS_MAX)
		o->refusals++;
	o->not_before = now + pause / 2 + (usec_t)(draw * (double)pause / 2);
}

/* Resets the length of the next back-off to the shortest. */
void connect_backoff_on_success(struct connect_backoff *o)
{
	o->refusals = 0;
}

/* Returns true if the back-off is over. */
bool connect_backoff_is_over(const struct connect_backoff *o, usec_t now)
{
	return now >= o->not_before;
}
