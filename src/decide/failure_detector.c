#include "decide/failure_detector.h"

#include "decide/route.h"

static bool heard_as_primary(const struct group_view *v, usec_t within,
			     usec_t now);
static bool is_unfollowed(const struct promote_policy *policy,
			  const struct group_view *v, usec_t now);

/* Returns the first cause that applies; a silent primary takes precedence. */
enum promote_cause detector_cause(const struct promote_policy *policy,
				  const struct group_view *v,
				  usec_t unanswered_at, usec_t since,
				  usec_t now)
{
	const struct db_view *p;

	if (v->n == 0)
		return CAUSE_NONE;
	if (v->primary >= v->n)
		return now - since >= policy->suspect_us ? CAUSE_SILENT
							 : CAUSE_NONE;
	if (unanswered_at > since)
		since = unanswered_at;
	if (unanswered_at && now - since >= policy->suspect_us)
		return CAUSE_SILENT;
	p = &v->db[v->primary];
	if (!p->known)
		return CAUSE_NONE;
	if (p->fence_term > v->term ||
	    (p->fence_term == v->term && p->role != ROLE_PRIMARY))
		return CAUSE_FENCED;
	if (is_unfollowed(policy, v, now))
		return CAUSE_UNFOLLOWED;
	if (p->state == DB_DEPARTING)
		return CAUSE_DEPARTING;
	return CAUSE_NONE;
}

/*
 * Returns how long a cause must last before this VM acts. A silent primary
 * needs no further delay, because its timeout has already passed.
 */
usec_t detector_delay(const struct promote_policy *policy,
		      enum promote_cause cause)
{
	switch (cause) {
	case CAUSE_FENCED:
		return policy->phase_us;
	case CAUSE_UNFOLLOWED:
		return policy->unfollowed_us;
	default:
		return 0;
	}
}

/*
 * Returns true if a majority of databases responds but does not follow the
 * primary. Returns false if any of them follows it.
 */
bool detector_replicas_agree(const struct promote_policy *policy,
			     const struct group_view *v, usec_t now)
{
	uint32_t agree = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (i == v->primary || !v->db[i].known)
			continue;
		if (now - v->db[i].responded_at > policy->suspect_us)
			continue;
		if (route_follows(v, i, policy->suspect_us,
				  policy->clock_rate_ppm, now))
			return false;
		agree++;
	}
	return agree >= group_majority(v);
}

/*
 * Finds a database that was promoted in a term above the view's and to whose
 * term a majority is fenced; DB_NONE if there is none. The VM that promoted it
 * may have failed before it announced the new primary.
 */
uint32_t detector_new_primary(const struct group_view *v)
{
	uint32_t held;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < v->n; i++) {
		if (!v->db[i].known || v->db[i].role != ROLE_PRIMARY)
			continue;
		if (v->db[i].fence_term <= v->term)
			continue;
		held = 0;
		for (j = 0; j < v->n; j++) {
			if (v->db[j].known &&
			    v->db[j].fence_term == v->db[i].fence_term)
				held++;
		}
		if (held >= group_majority(v))
			return i;
	}
	return DB_NONE;
}

/*
 * Returns true if a database responds and could follow the view's primary but
 * does not: an old primary that returned, one that missed the change of
 * primary, or one whose replication has stopped.
 */
bool detector_needs_follow(const struct promote_policy *policy,
			   const struct group_view *v, uint32_t db, usec_t now)
{
	const struct db_view *d = &v->db[db];

	if (db == v->primary || !d->known || d->fence_term > v->term)
		return false;
	if (!heard_as_primary(v, policy->suspect_us, now))
		return false;
	if (now - d->responded_at > policy->replica_fresh_us)
		return false;
	return !route_follows(v, db, policy->replica_fresh_us,
			      policy->clock_rate_ppm, now);
}

/* Returns true if the view's primary reported itself as such recently. */
static bool heard_as_primary(const struct group_view *v, usec_t within,
			     usec_t now)
{
	const struct db_view *p;

	if (v->primary >= v->n)
		return false;
	p = &v->db[v->primary];
	return p->known && p->role == ROLE_PRIMARY &&
	       p->fence_term == v->term && now - p->responded_at <= within;
}

/*
 * Returns true if too few replicas follow the primary for a majority, although
 * enough of them respond for a majority without it. They may be able to follow
 * another primary.
 */
static bool is_unfollowed(const struct promote_policy *policy,
			  const struct group_view *v, usec_t now)
{
	uint32_t answering = 0;
	uint32_t following = 1;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (i == v->primary || !v->db[i].known)
			continue;
		if (now - v->db[i].responded_at <= policy->replica_fresh_us)
			answering++;
		if (route_follows(v, i, policy->replica_fresh_us,
				  policy->clock_rate_ppm, now))
			following++;
	}
	return answering >= group_majority(v) && following < group_majority(v);
}
