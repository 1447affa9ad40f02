#include "kernel/kernel.h"

#include <apr_time.h>

#include "decide/drain.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/plugin.h"

#define DRAIN_POLL_US	  (5L * USEC_PER_MSEC)
#define DRAIN_GIVE_MAX_US (2L * USEC_PER_SEC)

static struct drain_load remaining_work(struct kernel *k,
					enum drain_phase phase);
static void enter_phase(struct kernel *k, enum drain_phase phase);
static void set_flag(bool *flag);

/* Starts the plug-ins in order of rank. */
int kernel_start(struct kernel *k, struct error *e)
{
	k->incarnation = (uint64_t)clock_wall_us();
	log_event(EV_VM_START, "domain=%s region=%s incarnation=%llu",
		  k->settings.domain, k->settings.region,
		  (unsigned long long)k->incarnation);
	plugin_set_form(k->settings.form);
	return plugin_start_all(k, e);
}

/*
 * Runs the phases of a graceful shutdown: report not ready, refuse new work,
 * give back what the VM holds. Returns false if work was left when the time ran
 * out. Blocks.
 */
bool kernel_drain(struct kernel *k)
{
	const struct settings *s = &k->settings;
	const struct drain_limits limits = {
		.notice = kernel_drain_notice(s),
		.max = kernel_drain_max(s),
		.give_max = DRAIN_GIVE_MAX_US,
	};
	enum drain_phase phase = DRAIN_SERVING;
	struct drain_load load;
	struct drain d;

	drain_init(&d);
	drain_begin(&d, clock_now());
	for (;;) {
		for (; phase < d.phase; phase++)
			enter_phase(k, phase + 1);
		if (phase == DRAIN_EXIT)
			break;
		apr_sleep(DRAIN_POLL_US);
		load = remaining_work(k, phase);
		drain_tick(&d, &limits, &load, clock_now());
	}
	return !d.forced;
}

/*
 * Returns the time from the signal until new work is refused or, in the
 * sessions form, sessions are ended, in microseconds. With grace_s set it is
 * two fifths of the whole.
 */
usec_t kernel_drain_notice(const struct settings *s)
{
	if (s->grace_s)
		return kernel_drain_max(s) * 2 / 5;
	return (usec_t)s->drain_notice_ms * USEC_PER_MSEC;
}

/*
 * Returns the time from the signal to the exit, in microseconds. With grace_s
 * set it ends one second before SIGKILL, or half a second after the signal if
 * grace_s is 1.
 */
usec_t kernel_drain_max(const struct settings *s)
{
	if (s->grace_s > 1)
		return (usec_t)(s->grace_s - 1) * USEC_PER_SEC;
	if (s->grace_s == 1)
		return USEC_PER_SEC / 2;
	return (usec_t)s->drain_max_ms * USEC_PER_MSEC;
}

/* Stops the plug-ins in reverse order of their start. */
void kernel_stop(struct kernel *k)
{
	plugin_stop_all(k);
	log_event(EV_VM_STOP, "incarnation=%llu",
		  (unsigned long long)k->incarnation);
}

/*
 * Returns 1 in the field of the phase if any plug-in has work left, else 0. The
 * work is requests up to DRAIN_REFUSE and shares of limits after it.
 */
static struct drain_load remaining_work(struct kernel *k,
					enum drain_phase phase)
{
	const uint32_t left = plugin_drained_all(k) ? 0 : 1;
	struct drain_load load = { 0 };

	if (phase <= DRAIN_REFUSE)
		load.running = left;
	else
		load.shares = left;
	return load;
}

/* Takes the actions at the start of a phase. */
static void enter_phase(struct kernel *k, enum drain_phase phase)
{
	log_event(EV_VM_DRAIN, "phase=%s", drain_phase_name(phase));
	switch (phase) {
	case DRAIN_NOTICE:
		set_flag(&k->draining);
		break;
	case DRAIN_REFUSE:
		set_flag(&k->refusing);
		break;
	case DRAIN_GIVE:
		plugin_drain_all(k);
		break;
	default:
		break;
	}
}

/* Sets a flag that other threads read. */
static void set_flag(bool *flag)
{
	__atomic_store_n(flag, true, __ATOMIC_RELEASE);
}
