#include "decide/openings.h"

/* The first pause: some handshakes, of 12 ms at the users' databases. */
#define PAUSE_US (50 * USEC_PER_MSEC)
/* It doubles so often: up to the time in which a statement has to be answered.
 */
#define DOUBLED_MAX 4

/* The pause is half fixed and half drawn, so that VMs do not come together. */
void openings_busy(struct openings *o, usec_t now, double draw)
{
	usec_t pause = PAUSE_US << o->busy;

	if (o->busy < DOUBLED_MAX)
		o->busy++;
	o->after = now + pause / 2 + (usec_t)(draw * (double)pause / 2);
}

/* The next refusal begins with the shortest pause again. */
void openings_served(struct openings *o)
{
	o->busy = 0;
}

/* Tells whether the pause is over. */
bool openings_allowed(const struct openings *o, usec_t now)
{
	return now >= o->after;
}
