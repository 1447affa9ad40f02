#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * Logs what keeps this VM from a failover, or a hand-over, that has a cause.
 */

/*
 * A condition that lasts no longer is not logged: statuses and an attempt of
 * another VM take less.
 */
#define HELD_LOGGED_US (500 * USEC_PER_MSEC)
/* Shortest interval between two lines of a group. */
#define HELD_INTERVAL_US (1 * USEC_PER_SEC)

static bool is_progress(enum failover_fsm_hold by);
static void log_held(const struct db_group *g, bool is_held, usec_t now);

/*
 * Notes what holds the group's failover back now, and logs it once it has
 * lasted, and again if it changes; and that nothing does any more. Only VMs of
 * the first ranks log it, as the others leave the failover to them.
 */
void failover_note_hold(struct db_group *g, const struct failover_fsm_env *env)
{
	struct failover_held *h = &g->held;
	enum failover_fsm_hold by = FAILOVER_HOLD_NONE;
	usec_t now = env->now;

	if (env->cause != FAILOVER_CAUSE_NONE &&
	    env->rank < FAILOVER_FIRST_RANKS &&
	    g->succession.phase == FAILOVER_IDLE)
		by = failover_fsm_hold(&g->succession, env);
	if (is_progress(by))
		by = FAILOVER_HOLD_NONE;
	if (by != h->by) {
		if (by == FAILOVER_HOLD_NONE && h->is_logged) {
			log_held(g, false, now);
			h->is_logged = false;
		}
		if (h->by == FAILOVER_HOLD_NONE)
			h->since = now;
		h->by = by;
		h->is_reported = false;
	}
	if (by == FAILOVER_HOLD_NONE)
		return;
	h->cause = env->cause;
	if (h->is_reported || now - h->since < HELD_LOGGED_US ||
	    now - h->logged_at < HELD_INTERVAL_US)
		return;
	h->is_logged = true;
	h->is_reported = true;
	h->logged_at = now;
	log_held(g, true, now);
}

/* Returns true if the failover goes on at another VM, or begins next. */
static bool is_progress(enum failover_fsm_hold by)
{
	return by == FAILOVER_HOLD_NO_CAUSE || by == FAILOVER_HOLD_PEER ||
	       by == FAILOVER_HOLD_RANK;
}

/*
 * Logs that a failover is held back, or no longer; "unasked" counts the
 * databases that could take over and that this VM has never heard from,
 * "failing" those that refuse connections.
 */
static void log_held(const struct db_group *g, bool is_held, usec_t now)
{
	const struct failover_held *h = &g->held;
	uint32_t listed = 0;
	uint32_t unasked = 0;
	uint32_t failing = 0;
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		listed += d->present;
		if (!d->present || d->departing || i == g->primary)
			continue;
		unasked += d->last_seen_at == 0 && d->failures == 0;
		failing += d->failures > 0;
	}
	log_event(h->cause == FAILOVER_CAUSE_EVACUATED ? EV_HANDOVER_HELD
						       : EV_FAILOVER_HELD,
		  "service=%s database=%s cause=%s held=%d lasted_us=%lld "
		  "listed=%u unasked=%u failing=%u reason=\"%s\"",
		  g->service,
		  g->primary == DB_NONE ? "-" : g->db[g->primary].id,
		  failover_fsm_cause_name(h->cause), is_held,
		  (long long)(now - h->since), listed, unasked, failing,
		  failover_fsm_hold_name(h->by));
}
