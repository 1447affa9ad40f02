#include "decide/drain.h"

#include <string.h>

static bool is_phase_over(const struct drain *d, const struct drain_limits *l,
			  const struct drain_load *load, usec_t now);

static const char *const phase_names[] = {
	[DRAIN_SERVING] = "serving", [DRAIN_NOTICE] = "notice",
	[DRAIN_REFUSE] = "refuse",   [DRAIN_GIVE] = "give",
	[DRAIN_CLOSE] = "close",     [DRAIN_EXIT] = "exit",
};

/* Sets the initial phase, in which the VM serves. */
void drain_init(struct drain *d)
{
	memset(d, 0, sizeof(*d));
}

/* Begins the shutdown (SIGTERM); a second call has no effect. */
void drain_begin(struct drain *d, usec_t now)
{
	if (d->phase != DRAIN_SERVING)
		return;
	d->phase = DRAIN_NOTICE;
	d->began_at = now;
	d->phase_at = now;
}

/*
 * Advances as many phases as possible and returns the current one. When
 * l->max has passed since the signal it goes to DRAIN_EXIT; d->forced is then
 * set if requests or transactions were unfinished.
 */
enum drain_phase drain_tick(struct drain *d, const struct drain_limits *l,
			    const struct drain_load *load, usec_t now)
{
	if (d->phase == DRAIN_SERVING)
		return d->phase;
	if (d->phase != DRAIN_EXIT && now - d->began_at >= l->max) {
		d->forced = load->running > 0 || load->transactions > 0;
		d->phase = DRAIN_EXIT;
	}
	while (d->phase != DRAIN_EXIT && is_phase_over(d, l, load, now)) {
		d->phase++;
		d->phase_at = now;
	}
	return d->phase;
}

/*
 * Returns when to call drain_tick() at the latest if the load does not change
 * before; INT64_MAX while serving.
 */
usec_t drain_next_at(const struct drain *d, const struct drain_limits *l)
{
	usec_t end = d->began_at + l->max;
	usec_t at = end;

	if (d->phase == DRAIN_SERVING)
		return INT64_MAX;
	if (d->phase == DRAIN_NOTICE)
		at = d->phase_at + l->notice;
	if (d->phase == DRAIN_GIVE)
		at = d->phase_at + l->give_max;
	return at < end ? at : end;
}

/* Returns true if the load balancer should send callers here. */
bool drain_is_ready(const struct drain *d)
{
	return d->phase == DRAIN_SERVING;
}

/*
 * Returns true if new statements are accepted. Statements of open transactions
 * always are.
 */
bool drain_accepts_statements(const struct drain *d)
{
	return d->phase <= DRAIN_NOTICE;
}

/*
 * Returns true if new transactions are accepted, which is until the end of the
 * notice. Transactions that are open then may finish.
 */
bool drain_accepts_transactions(const struct drain *d)
{
	return d->phase <= DRAIN_NOTICE;
}

/* Returns the name of a phase, as in the log. */
const char *drain_phase_name(enum drain_phase p)
{
	return phase_names[p];
}

/* Returns true if the condition that ends the current phase is met. */
static bool is_phase_over(const struct drain *d, const struct drain_limits *l,
			  const struct drain_load *load, usec_t now)
{
	switch (d->phase) {
	case DRAIN_NOTICE:
		return now - d->phase_at >= l->notice;
	case DRAIN_REFUSE:
		return load->running == 0 && load->transactions == 0;
	case DRAIN_GIVE:
		return load->shares == 0 || now - d->phase_at >= l->give_max;
	case DRAIN_CLOSE:
		return load->connections == 0;
	case DRAIN_SERVING:
	case DRAIN_EXIT:
		break;
	}
	return false;
}
