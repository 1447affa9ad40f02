#include "decide/route.h"

#define PPM 1000000

enum fitness {
	FIT,
	FIT_SOON, /* lags behind the session, or has no free slot */
	UNFIT,
};

static enum fitness replica_fitness(const struct group_view *v, uint32_t i,
				    const struct route_want *want,
				    const struct route_policy *policy,
				    usec_t now);
static uint32_t choose_replica(const struct group_view *v, uint32_t fit,
			       uint64_t random);
static uint32_t nth_of_mask(uint32_t mask, uint32_t nth);
static uint32_t free_slots(const struct db_view *d);
static bool wants_replica(const struct route_want *want);
static bool age_ok(const struct group_view *v, uint32_t i,
		   const struct route_want *want,
		   const struct route_policy *policy, usec_t now);
static struct route route_primary(const struct group_view *v,
				  const struct route_want *want,
				  const struct route_policy *policy,
				  usec_t now);
static struct route wait_or_refuse(const struct route_want *want,
				   const struct route_policy *policy,
				   enum error_code why, usec_t now);
static bool primary_usable(const struct group_view *v,
			   const struct route_policy *policy, usec_t now);
static bool primary_guarded(const struct group_view *v,
			    const struct route_want *want,
			    const struct route_policy *policy, usec_t at);

/*
 * Routes a read. A replica is taken if what is known of it satisfies the
 * session and the stated age; one that nearly does is waited for, within
 * wait_max_us; else the primary, if it can be shown to be the primary still.
 */
struct route route_read(const struct group_view *v,
			const struct route_want *want,
			const struct route_policy *policy, usec_t now,
			uint64_t random)
{
	struct route r = { .kind = ROUTE_REPLICA, .db = DB_NONE };
	bool soon = false;
	uint32_t fit = 0;
	uint32_t i;

	if (!wants_replica(want))
		return route_primary(v, want, policy, now);
	for (i = 0; i < v->n; i++) {
		switch (replica_fitness(v, i, want, policy, now)) {
		case FIT:
			fit |= 1U << i;
			break;
		case FIT_SOON:
			soon = true;
			break;
		case UNFIT:
			break;
		}
	}
	if (fit) {
		r.db = choose_replica(v, fit, random);
		return r;
	}
	if (soon && now - want->arrived < policy->wait_max_us &&
	    now < want->deadline)
		return wait_or_refuse(want, policy, ERR_DEADLINE, now);
	return route_primary(v, want, policy, now);
}

/* Routes a write or a new transaction: the primary, once it is known. */
struct route route_write(const struct group_view *v,
			 const struct route_want *want,
			 const struct route_policy *policy, usec_t now)
{
	struct route r = { .kind = ROUTE_PRIMARY, .db = v->primary };

	if (want->has_entry && want->seen.term > v->term)
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	if (!primary_usable(v, policy, now))
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	return r;
}

/*
 * Judges a read's answer by the status that came with it: a database may have
 * been fenced, or have cut its log, between routing and answer.
 */
bool route_answer_ok(const struct group_view *v, uint32_t db,
		     const struct route_want *want,
		     const struct route_policy *policy, usec_t now)
{
	const struct db_view *d = &v->db[db];

	if (db >= v->n || !d->known || d->fence_term != v->term)
		return false;
	if (db == v->primary) {
		if (d->role != ROLE_PRIMARY)
			return false;
		if (want->has_entry && want->seen.term > v->term)
			return false;
		return primary_guarded(v, want, policy, want->arrived);
	}
	if (!wants_replica(want))
		return false;
	if (want->has_entry && !lineage_covers(&d->lineage, d->end, want->seen))
		return false;
	return age_ok(v, db, want, policy, now);
}

/*
 * Bounds a replica's age by the primary's clock alone. The primary gave stamp
 * S after it was asked at "asked", so its clock now is at most S plus what has
 * passed since then. Stamps of another term say nothing.
 */
int64_t route_age(const struct group_view *v, uint32_t db,
		  uint32_t clock_rate_ppm, usec_t now)
{
	const struct db_view *p;
	const struct db_view *d;
	int64_t passed;
	int64_t age;

	if (v->primary >= v->n || db >= v->n)
		return ROUTE_AGE_UNKNOWN;
	p = &v->db[v->primary];
	d = &v->db[db];
	if (!p->known || p->role != ROLE_PRIMARY || p->stamp_term != v->term)
		return ROUTE_AGE_UNKNOWN;
	if (!d->known || d->stamp_term != v->term)
		return ROUTE_AGE_UNKNOWN;
	passed = now - p->asked_at;
	passed += passed / PPM * clock_rate_ppm +
		  passed % PPM * clock_rate_ppm / PPM + 1;
	age = p->stamp_us + passed - d->stamp_us;
	return age < 0 ? 0 : age;
}

/* Tells whether a replica logs the view's term and has done so lately. */
bool route_follows(const struct group_view *v, uint32_t db, usec_t fresh_us,
		   uint32_t clock_rate_ppm, usec_t now)
{
	const struct db_view *d = &v->db[db];
	int64_t age;

	if (db >= v->n || db == v->primary)
		return false;
	if (!d->known || d->role != ROLE_REPLICA)
		return false;
	if (d->fence_term != v->term || d->end.term != v->term)
		return false;
	if (now - d->heard_at > fresh_us)
		return false;
	age = route_age(v, db, clock_rate_ppm, now);
	return age != ROUTE_AGE_UNKNOWN && age <= fresh_us;
}

/*
 * Tells whether a majority has reported the view's term as its fence term to
 * questions asked at "since" or later: then no later term was promoted before.
 */
bool route_term_held(const struct group_view *v, usec_t since)
{
	uint32_t held = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (!v->db[i].known || v->db[i].fence_term != v->term)
			continue;
		if (v->db[i].asked_at >= since)
			held++;
	}
	return v->n > 0 && held >= group_majority(v);
}

/*
 * Only a good token shows what the session has written: without one, after an
 * eviction or with an outcome unknown, the primary answers.
 */
static bool wants_replica(const struct route_want *want)
{
	if (!want->session_known || want->unknown_term)
		return false;
	if (want->session_evicted && !want->has_entry)
		return false;
	return want->max_age_us >= 0;
}

static enum fitness replica_fitness(const struct group_view *v, uint32_t i,
				    const struct route_want *want,
				    const struct route_policy *policy,
				    usec_t now)
{
	const struct db_view *d = &v->db[i];

	if (i == v->primary || !d->known || d->role != ROLE_REPLICA)
		return UNFIT;
	if (d->state != DB_LIVE || (want->tried & 1U << i))
		return UNFIT;
	if (d->fence_term != v->term || d->slots == 0)
		return UNFIT;
	if (now - d->heard_at > policy->view_max_age_us)
		return UNFIT;
	if (!age_ok(v, i, want, policy, now))
		return UNFIT;
	if (want->has_entry && !lineage_covers(&d->lineage, d->end, want->seen))
		return want->seen.term == v->term ? FIT_SOON : UNFIT;
	return free_slots(d) ? FIT : FIT_SOON;
}

static bool age_ok(const struct group_view *v, uint32_t i,
		   const struct route_want *want,
		   const struct route_policy *policy, usec_t now)
{
	int64_t age = route_age(v, i, policy->clock_rate_ppm, now);

	return age != ROUTE_AGE_UNKNOWN && age <= want->max_age_us;
}

/* Draws two of the fit replicas and takes the one with more free slots. */
static uint32_t choose_replica(const struct group_view *v, uint32_t fit,
			       uint64_t random)
{
	uint32_t n = (uint32_t)__builtin_popcount(fit);
	uint32_t first = (uint32_t)(random % n);
	uint32_t a = nth_of_mask(fit, first);
	uint32_t b;

	if (n == 1)
		return a;
	b = nth_of_mask(fit,
			(first + 1 + (uint32_t)(random >> 32) % (n - 1)) % n);
	return free_slots(&v->db[b]) > free_slots(&v->db[a]) ? b : a;
}

static uint32_t nth_of_mask(uint32_t mask, uint32_t nth)
{
	while (nth--)
		mask &= mask - 1;
	return (uint32_t)__builtin_ctz(mask);
}

static uint32_t free_slots(const struct db_view *d)
{
	return d->running < d->slots ? d->slots - d->running : 0;
}

static struct route route_primary(const struct group_view *v,
				  const struct route_want *want,
				  const struct route_policy *policy, usec_t now)
{
	struct route r = { .kind = ROUTE_PRIMARY, .db = v->primary };

	if (want->has_entry && want->seen.term > v->term)
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	if (!primary_usable(v, policy, now))
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	if (!primary_guarded(v, want, policy, now))
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	return r;
}

/* Looks again after wait_step_us; at the deadline the read is refused. */
static struct route wait_or_refuse(const struct route_want *want,
				   const struct route_policy *policy,
				   enum error_code why, usec_t now)
{
	struct route r = { .kind = ROUTE_WAIT, .db = DB_NONE, .why = why };

	if (now >= want->deadline) {
		r.kind = ROUTE_REFUSE;
		return r;
	}
	r.until = now + policy->wait_step_us;
	if (r.until > want->deadline)
		r.until = want->deadline;
	return r;
}

/*
 * A primary that is not known to be fenced, nor too long on its departure. It
 * may not have been heard of yet: the first statement then tells.
 */
static bool primary_usable(const struct group_view *v,
			   const struct route_policy *policy, usec_t now)
{
	const struct db_view *d;

	if (v->primary >= v->n)
		return false;
	d = &v->db[v->primary];
	if (d->state == DB_DEPARTING &&
	    now - d->departing_at > policy->departing_us)
		return false;
	if (!d->known)
		return true;
	return d->fence_term <= v->term &&
	       (d->fence_term < v->term || d->role == ROLE_PRIMARY);
}

/*
 * Guards against a primary that was superseded unnoticed: a majority has held
 * its term within guard_us before "at". A primary left alone still answers a
 * session that has already seen its term and asks for no stated age.
 */
static bool primary_guarded(const struct group_view *v,
			    const struct route_want *want,
			    const struct route_policy *policy, usec_t at)
{
	const struct db_view *d = &v->db[v->primary];

	if (route_term_held(v, at - policy->guard_us))
		return true;
	if (!want->session_known || !want->has_entry || want->unknown_term)
		return false;
	return want->max_age_us < 0 && want->seen.term == v->term &&
	       lineage_covers(&d->lineage, d->end, want->seen);
}
