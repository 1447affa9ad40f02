#include "decide/suspect.h"

#include "decide/route.h"

static bool heard_as_primary(const struct group_view *v, usec_t within,
			     usec_t now);
static bool unfollowed(const struct promote_policy *policy,
		       const struct group_view *v, usec_t now);

/* Names the first cause that holds; a silent primary goes before the rest. */
enum promote_cause suspect_cause(const struct promote_policy *policy,
				 const struct group_view *v,
				 usec_t unanswered_at, usec_t since, usec_t now)
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
	if (unfollowed(policy, v, now))
		return CAUSE_UNFOLLOWED;
	if (p->state == DB_DEPARTING)
		return CAUSE_DEPARTING;
	return CAUSE_NONE;
}

/* Silence has been long already when it becomes a cause; the rest has not. */
usec_t suspect_patience(const struct promote_policy *policy,
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

/* Counts databases that answer but have nothing young of the primary. */
bool suspect_replicas_agree(const struct promote_policy *policy,
			    const struct group_view *v, usec_t now)
{
	uint32_t agree = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (i == v->primary || !v->db[i].known)
			continue;
		if (now - v->db[i].heard_at > policy->suspect_us)
			continue;
		if (route_follows(v, i, policy->suspect_us,
				  policy->clock_rate_ppm, now))
			return false;
		agree++;
	}
	return agree >= group_majority(v);
}

/*
 * Finds a database that was promoted in a term above the view's and that a
 * majority is fenced to; DB_NONE if there is none. Its term's one promoter may
 * be gone before it told anyone.
 */
uint32_t suspect_new_primary(const struct group_view *v)
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
 * Tells whether a database that answers does not follow the view's primary,
 * though it may: an old primary that came back, one that missed the change,
 * or one whose replication has stopped.
 */
bool suspect_astray(const struct promote_policy *policy,
		    const struct group_view *v, uint32_t db, usec_t now)
{
	const struct db_view *d = &v->db[db];

	if (db == v->primary || !d->known || d->fence_term > v->term)
		return false;
	if (!heard_as_primary(v, policy->suspect_us, now))
		return false;
	if (now - d->heard_at > policy->replica_fresh_us)
		return false;
	return !route_follows(v, db, policy->replica_fresh_us,
			      policy->clock_rate_ppm, now);
}

static bool heard_as_primary(const struct group_view *v, usec_t within,
			     usec_t now)
{
	const struct db_view *p;

	if (v->primary >= v->n)
		return false;
	p = &v->db[v->primary];
	return p->known && p->role == ROLE_PRIMARY &&
	       p->fence_term == v->term && now - p->heard_at <= within;
}

/*
 * The primary answers and too few replicas follow it, though enough of them
 * answer to make a majority without it: another primary may do better.
 */
static bool unfollowed(const struct promote_policy *policy,
		       const struct group_view *v, usec_t now)
{
	uint32_t answering = 0;
	uint32_t following = 1;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (i == v->primary || !v->db[i].known)
			continue;
		if (now - v->db[i].heard_at <= policy->replica_fresh_us)
			answering++;
		if (route_follows(v, i, policy->replica_fresh_us,
				  policy->clock_rate_ppm, now))
			following++;
	}
	return answering >= group_majority(v) && following < group_majority(v);
}
