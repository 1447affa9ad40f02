#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * Follows the hand-over of a primary whose failure domain is evacuated: obtains
 * the statuses that it needs before it begins, and logs what holds it back.
 */

/* VMs of these ranks watch over a hand-over; the others leave it to them. */
#define WATCHING_RANKS 3
/*
 * A condition that lasts no longer is not logged: statuses and an attempt of
 * another VM take less.
 */
#define HELD_LOGGED_US (500 * USEC_PER_MSEC)
/* Shortest interval between two lines of a group. */
#define HELD_INTERVAL_US (1 * USEC_PER_SEC)

static void probe_group(struct db_group *g, usec_t now);
static void note_hold(struct db_group *g, enum failover_fsm_hold by,
		      usec_t now);
static void log_held(const struct db_group *g, bool is_held, usec_t now);

/* Watches over a hand-over that has not begun. */
void failover_handover_tick(struct db_group *g,
			    const struct failover_fsm_env *env)
{
	enum failover_fsm_hold by = FAILOVER_HOLD_NONE;

	if (env->cause == FAILOVER_CAUSE_EVACUATED &&
	    env->rank < WATCHING_RANKS &&
	    g->succession.phase == FAILOVER_IDLE) {
		probe_group(g, env->now);
		by = failover_fsm_hold(&g->succession, env);
	}
	/* An attempt of another VM is the hand-over itself. */
	if (by == FAILOVER_HOLD_PEER)
		by = FAILOVER_HOLD_NONE;
	note_hold(g, by, env->now);
}

/* Logs that a hand-over begins here, as the claim was obtained. */
void failover_handover_begun(const struct db_group *g)
{
	const struct db_member *d = &g->db[g->succession.old_primary];

	log_event(EV_HANDOVER_START,
		  "service=%s database=%s domain=%s known_us=%lld", g->service,
		  d->id, d->domain,
		  (long long)(g->succession.began_at - d->evacuated_since));
}

/*
 * Logs that a hand-over ended with this database as primary, which is the
 * former one if no other had its log, and how long it took since the evacuation
 * was known.
 */
void failover_handover_done(const struct db_group *g, uint32_t db)
{
	const struct failover_fsm *s = &g->succession;
	const struct db_member *former = &g->db[s->old_primary];
	usec_t since =
		former->evacuated_since ? former->evacuated_since : s->began_at;
	usec_t took = proxy_now() - since;

	log_event(EV_HANDOVER_DONE,
		  "service=%s database=%s former=%s took_us=%lld "
		  "attempt_us=%lld",
		  g->service, g->db[db].id, former->id, (long long)took,
		  (long long)(proxy_now() - s->began_at));
	if (db != s->old_primary)
		latency_add(LATENCY_HANDOVER, took);
}

/* Requests the statuses of the primary and of the databases outside. */
static void probe_group(struct db_group *g, usec_t now)
{
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		struct db_member *d = &g->db[i];

		if (i == g->primary || (!d->departing && !d->evacuated_since))
			db_member_probe(d, now);
	}
}

/*
 * Notes what holds the hand-over back now, and logs it once it has lasted, and
 * again if it changes; and that nothing does any more.
 */
static void note_hold(struct db_group *g, enum failover_fsm_hold by, usec_t now)
{
	struct failover_held *h = &g->held;

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
	if (by == FAILOVER_HOLD_NONE || h->is_reported ||
	    now - h->since < HELD_LOGGED_US ||
	    now - h->logged_at < HELD_INTERVAL_US)
		return;
	h->is_logged = true;
	h->is_reported = true;
	h->logged_at = now;
	log_held(g, true, now);
}

/* Logs that a hand-over is held back, or no longer. */
static void log_held(const struct db_group *g, bool is_held, usec_t now)
{
	const struct failover_held *h = &g->held;

	log_event(EV_HANDOVER_HELD,
		  "service=%s database=%s held=%d lasted_us=%lld reason=\"%s\"",
		  g->service,
		  g->primary == DB_NONE ? "-" : g->db[g->primary].id, is_held,
		  (long long)(now - h->since), failover_fsm_hold_name(h->by));
}
