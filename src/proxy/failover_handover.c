#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * Follows the hand-over of a primary whose failure domain is evacuated: obtains
 * the statuses that it needs before it begins.
 */

/* VMs of these ranks prepare a hand-over; the others leave it to them. */
#define PREPARING_RANKS 3

static void probe_group(struct db_group *g, usec_t now);

/* Obtains the statuses for a hand-over that has not begun. */
void failover_handover_tick(struct db_group *g,
			    const struct failover_fsm_env *env)
{
	if (env->cause == FAILOVER_CAUSE_EVACUATED &&
	    env->rank < PREPARING_RANKS && g->succession.phase == FAILOVER_IDLE)
		probe_group(g, env->now);
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
