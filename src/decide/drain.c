#include "decide/drain.h"

#include <string.h>

static bool may_move_on(const struct drain *d, const struct drain_limits *l,
			const struct drain_load *load, usec_t now);

static const char *const phase_names[] = {
	[DRAIN_SERVING] = "serving", [DRAIN_NOTICE] = "notice",
	[DRAIN_REFUSE] = "refuse",   [DRAIN_GIVE] = "give",
	[DRAIN_CLOSE] = "close",     [DRAIN_EXIT] = "exit",
};

void drain_init(struct drain *d)
{
	memset(d, 0, sizeof(*d));
}

/* SIGTERM; a second one changes nothing. */
void drain_signal(struct drain *d, usec_t now)
{
	if (d->phase != DRAIN_SERVING)
		return;
	d->phase = DRAIN_NOTICE;
	d->began_at = now;
	d->phase_at = now;
}

/*
 * Moves on as far as it may. When "most" has passed since the signal it is
 * forced to the exit; "forced" then tells that work was left.
 */
enum drain_phase drain_tick(struct drain *d, const struct drain_limits *l,
			    const struct drain_load *load, usec_t now)
{
	if (d->phase == DRAIN_SERVING)
		return d->phase;
	if (d->phase != DRAIN_EXIT && now - d->began_at >= l->most) {
		d->forced = load->running > 0 || load->transactions > 0;
		d->phase = DRAIN_EXIT;
	}
	while (d->phase != DRAIN_EXIT && may_move_on(d, l, load, now)) {
		d->phase++;
		d->phase_at = now;
	}
	return d->phase;
}

/* When to call drain_tick() again at the latest; INT64_MAX when serving. */
usec_t drain_next(const struct drain *d, const struct drain_limits *l)
{
	usec_t last = d->began_at + l->most;
	usec_t at = last;

	if (d->phase == DRAIN_SERVING)
		return INT64_MAX;
	if (d->phase == DRAIN_NOTICE)
		at = d->phase_at + l->notice;
	if (d->phase == DRAIN_GIVE)
		at = d->phase_at + l->give;
	return at < last ? at : last;
}

/* Should the balancer send callers here? */
bool drain_ready(const struct drain *d)
{
	return d->phase == DRAIN_SERVING;
}

/* Are statements taken? Those of open transactions always are. */
bool drain_takes_work(const struct drain *d)
{
	return d->phase <= DRAIN_NOTICE;
}

/* Are new transactions taken? They need not outlive the notice. */
bool drain_takes_begin(const struct drain *d)
{
	return d->phase <= DRAIN_NOTICE;
}

const char *drain_phase_name(enum drain_phase p)
{
	return phase_names[p];
}

/* Is what this phase waits for done? */
static bool may_move_on(const struct drain *d, const struct drain_limits *l,
			const struct drain_load *load, usec_t now)
{
	switch (d->phase) {
	case DRAIN_NOTICE:
		return now - d->phase_at >= l->notice;
	case DRAIN_REFUSE:
		return load->running == 0 && load->transactions == 0;
	case DRAIN_GIVE:
		return load->shares == 0 || now - d->phase_at >= l->give;
	case DRAIN_CLOSE:
		return load->connections == 0;
	case DRAIN_SERVING:
	case DRAIN_EXIT:
		break;
	}
	return false;
}
