#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * Keeps track of replicas that left a group whose service replicates
 * synchronously, for the failover: see decide/replica_loss.h.
 */

/*
 * Interval of the status requests that end the account of a replica that left,
 * per rank of the VM: all VMs need the answers, but none at once.
 */
#define LOSS_PROBE_US (500 * USEC_PER_MSEC)

static void on_loss(const struct db_member *d, const struct log_pos *end);
static bool is_primary(const struct db_member *d);

/*
 * Notes that a database leaves the group without its log being found elsewhere:
 * its entry is gone, or its process started anew.
 */
void failover_replica_left(const struct db_member *d)
{
	struct db_group *g = d->group;
	struct log_pos end;
	bool has_end = failover_fsm_promoted_end(&g->succession,
						 (uint32_t)(d - g->db), &end);

	/* Another database may take its place in the group. */
	if (has_end)
		g->succession.requested = DB_NONE;
	if (g->sync_replicas == 0 || is_primary(d))
		return;
	replica_loss_note(&g->replica_loss, d->id, d->incarnation,
			  has_end ? &end : NULL, proxy_now());
	on_loss(d, has_end ? &end : NULL);
}

/* Notes that a database joined the group, with the log that it had. */
void failover_replica_joined(const struct db_member *d)
{
	replica_loss_joined(&d->group->replica_loss, d->id, d->incarnation);
}

/*
 * Notes that a database leads the group from this term on. The first term that
 * this VM knows says nothing of when its primary was promoted; it is taken for
 * long ago, else a primary that fails while the VMs start was never replaced.
 */
void failover_replica_promoted(const struct db_member *d, uint64_t term)
{
	struct db_group *g = d->group;
	struct log_pos end = d->status.received;
	bool has_end = d->status.is_primary && d->status.term == term;

	if (g->sync_replicas == 0)
		return;
	has_end |= failover_fsm_promoted_end(&g->succession,
					     (uint32_t)(d - g->db), &end);
	replica_loss_promoted(&g->replica_loss, d->id, d->incarnation,
			      has_end ? &end : NULL, proxy_now());
	on_loss(d, has_end ? &end : NULL);
}

/* Notes the end of a database's log, as it reported it in a status. */
void failover_replica_reported(const struct db_member *d,
			       const struct db_status_report *report,
			       usec_t requested_at)
{
	struct db_group *g = d->group;
	uint32_t away = g->replica_loss.n;

	if (away == 0)
		return;
	if (report->is_primary && g->primary != DB_NONE &&
	    d == &g->db[g->primary])
		replica_loss_primary_end(&g->replica_loss, requested_at,
					 report->received);
	else if (!report->is_primary)
		replica_loss_replica_end(&g->replica_loss, report->received);
	if (g->replica_loss.n == 0)
		log_event(EV_REPLICA_AWAY,
			  "service=%s database=%s away=0 received=%llu.%llu",
			  g->service, d->id,
			  (unsigned long long)report->received.term,
			  (unsigned long long)report->received.position);
}

/*
 * Requests the statuses that show whether the replicas that stayed hold what
 * one that left may have held.
 */
void failover_replicas_tick(struct db_group *g,
			    const struct failover_fsm_env *env)
{
	uint32_t i;

	if (!env->replica_is_away ||
	    env->now - g->loss_probed_at <
		    LOSS_PROBE_US * (usec_t)(env->rank + 1))
		return;
	g->loss_probed_at = env->now;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		if (i != g->primary || replica_loss_needs_end(&g->replica_loss))
			db_member_probe(&g->db[i], env->now);
	}
}

/* Logs a loss; the statuses that end it are requested a while later. */
static void on_loss(const struct db_member *d, const struct log_pos *end)
{
	struct db_group *g = d->group;

	g->loss_probed_at = proxy_now();
	log_event(
		EV_REPLICA_AWAY,
		"service=%s database=%s away=%u sync_replicas=%u end=%llu.%llu",
		g->service, d->id, g->replica_loss.n, g->sync_replicas,
		(unsigned long long)(end ? end->term : 0),
		(unsigned long long)(end ? end->position : 0));
}

/*
 * Returns true if the database was the group's primary as far as is known. What
 * a primary acknowledged is in the log of a replica.
 */
static bool is_primary(const struct db_member *d)
{
	const struct db_group *g = d->group;

	return (g->primary != DB_NONE && d == &g->db[g->primary]) ||
	       d->reports_primary ||
	       (d->primary_term && d->primary_term == g->proof.term);
}
