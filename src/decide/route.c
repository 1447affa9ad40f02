#include "decide/route.h"

#define PPM 1000000

enum fitness {
	REPLICA_FIT,
	REPLICA_FIT_SOON, /* lags behind the session, or has no free slot */
	REPLICA_UNFIT,
};

static enum fitness replica_fitness(const struct group_view *v, uint32_t i,
				    const struct route_requirements *want,
				    const struct route_policy *policy,
				    usec_t now);
static uint32_t choose_replica(const struct group_view *v, uint32_t fit,
			       uint64_t random);
static uint32_t nth_set_bit(uint32_t mask, uint32_t nth);
static uint32_t free_slots(const struct db_view *d);
static bool accepts_replica(const struct route_requirements *want);
static bool staleness_is_ok(const struct group_view *v, uint32_t i,
			    const struct route_requirements *want,
			    const struct route_policy *policy, usec_t now);
static struct route route_primary(const struct group_view *v,
				  const struct route_requirements *want,
				  const struct route_policy *policy,
				  usec_t now);
static struct route wait_or_refuse(const struct route_requirements *want,
				   const struct route_policy *policy,
				   enum error_code why, usec_t now);
static bool primary_is_usable(const struct group_view *v,
			      const struct route_policy *policy, usec_t now);
static bool primary_is_proved(const struct group_view *v,
			      const struct route_requirements *want,
			      const struct route_policy *policy, usec_t at);

/*
 * Routes a read. Takes a replica whose reported state satisfies the session and
 * the staleness bound. If one only lags behind the session or has no free slot,
 * waits for it, for at most wait_max_us. Otherwise takes the primary, if it is
 * proved to be primary still.
 */
struct route route_read(const struct group_view *v,
			const struct route_requirements *want,
			const struct route_policy *policy, usec_t now,
			uint64_t random)
{
	struct route r = { .kind = ROUTE_REPLICA, .db = DB_NONE };
	bool soon = false;
	uint32_t fit = 0;
	uint32_t i;

	if (!accepts_replica(want))
		return route_primary(v, want, policy, now);
	for (i = 0; i < v->n; i++) {
		switch (replica_fitness(v, i, want, policy, now)) {
		case REPLICA_FIT:
			fit |= 1U << i;
			break;
		case REPLICA_FIT_SOON:
			soon = true;
			break;
		case REPLICA_UNFIT:
			break;
		}
	}
	if (fit) {
		r.db = choose_replica(v, fit, random);
		return r;
	}
	if (soon && now - want->arrived_at < policy->wait_max_us &&
	    now < want->deadline)
		return wait_or_refuse(want, policy, ERR_DEADLINE, now);
	return route_primary(v, want, policy, now);
}

/* Routes a write or a new transaction to the primary, or waits for one. */
struct route route_write(const struct group_view *v,
			 const struct route_requirements *want,
			 const struct route_policy *policy, usec_t now)
{
	struct route r = { .kind = ROUTE_PRIMARY, .db = v->primary };

	if (want->has_entry && want->seen.term > v->term)
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	if (!primary_is_usable(v, policy, now))
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	return r;
}

/*
 * Checks a read's response against the status that came with it: the database
 * may have been fenced, or have truncated its log, since the read was routed.
 */
bool route_answer_ok(const struct group_view *v, uint32_t db,
		     const struct route_requirements *want,
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
		return primary_is_proved(v, want, policy, want->arrived_at);
	}
	if (!accepts_replica(want))
		return false;
	if (want->has_entry &&
	    !lineage_contains(&d->lineage, d->end, want->seen))
		return false;
	return staleness_is_ok(v, db, want, policy, now);
}

/*
 * Returns an upper bound of a replica's staleness in microseconds, using only
 * the primary's clock; ROUTE_STALENESS_UNKNOWN if it is not known. The primary
 * took its timestamp after it was asked at asked_at, so its clock is now at
 * most that timestamp plus the time passed since asked_at, increased by the
 * clock drift. Timestamps of another term are not comparable.
 */
int64_t route_staleness(const struct group_view *v, uint32_t db,
			uint32_t clock_rate_ppm, usec_t now)
{
	const struct db_view *p;
	const struct db_view *d;
	int64_t passed;
	int64_t age;

	if (v->primary >= v->n || db >= v->n)
		return ROUTE_STALENESS_UNKNOWN;
	p = &v->db[v->primary];
	d = &v->db[db];
	if (!p->known || p->role != ROLE_PRIMARY || p->stamp_term != v->term)
		return ROUTE_STALENESS_UNKNOWN;
	if (!d->known || d->stamp_term != v->term)
		return ROUTE_STALENESS_UNKNOWN;
	passed = now - p->requested_at;
	passed += passed / PPM * clock_rate_ppm +
		  passed % PPM * clock_rate_ppm / PPM + 1;
	age = p->stamp_us + passed - d->stamp_us;
	return age < 0 ? 0 : age;
}

/*
 * Returns true if a replica logs the view's term, has responded within fresh_us
 * and is stale by at most fresh_us.
 */
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
	if (now - d->responded_at > fresh_us)
		return false;
	age = route_staleness(v, db, clock_rate_ppm, now);
	return age != ROUTE_STALENESS_UNKNOWN && age <= fresh_us;
}

/*
 * Returns true if a majority has reported the view's term as its fence term to
 * requests sent at "since" or later. Then no later term was promoted before
 * "since".
 */
bool route_term_has_majority(const struct group_view *v, usec_t since)
{
	uint32_t held = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (!v->db[i].known || v->db[i].fence_term != v->term)
			continue;
		if (v->db[i].requested_at >= since)
			held++;
	}
	return v->n > 0 && held >= group_majority(v);
}

/*
 * Returns true if a replica may serve the read. Only a valid token shows what
 * the session has written: without a token, with a write of unknown outcome, or
 * if the entry may have been evicted, the primary serves the read.
 */
static bool accepts_replica(const struct route_requirements *want)
{
	if (!want->session_known || want->unknown_term)
		return false;
	if (want->session_evicted && !want->has_entry)
		return false;
	return want->max_staleness_us >= 0;
}

/* Returns whether a replica can serve the read now, soon or not at all. */
static enum fitness replica_fitness(const struct group_view *v, uint32_t i,
				    const struct route_requirements *want,
				    const struct route_policy *policy,
				    usec_t now)
{
	const struct db_view *d = &v->db[i];

	if (i == v->primary || !d->known || d->role != ROLE_REPLICA)
		return REPLICA_UNFIT;
	if (d->state != DB_LIVE || (want->tried_mask & 1U << i))
		return REPLICA_UNFIT;
	if (d->fence_term != v->term || d->slots == 0)
		return REPLICA_UNFIT;
	if (now - d->responded_at > policy->view_max_age_us)
		return REPLICA_UNFIT;
	if (!staleness_is_ok(v, i, want, policy, now))
		return REPLICA_UNFIT;
	if (want->has_entry &&
	    !lineage_contains(&d->lineage, d->end, want->seen))
		return want->seen.term == v->term ? REPLICA_FIT_SOON
						  : REPLICA_UNFIT;
	return free_slots(d) ? REPLICA_FIT : REPLICA_FIT_SOON;
}

/* Returns true if the replica is within the read's staleness bound. */
static bool staleness_is_ok(const struct group_view *v, uint32_t i,
			    const struct route_requirements *want,
			    const struct route_policy *policy, usec_t now)
{
	int64_t age = route_staleness(v, i, policy->clock_rate_ppm, now);

	return age != ROUTE_STALENESS_UNKNOWN && age <= want->max_staleness_us;
}

/*
 * Picks two random replicas of the mask and returns the one with more free
 * slots.
 */
static uint32_t choose_replica(const struct group_view *v, uint32_t fit,
			       uint64_t random)
{
	uint32_t n = (uint32_t)__builtin_popcount(fit);
	uint32_t first = (uint32_t)(random % n);
	uint32_t a = nth_set_bit(fit, first);
	uint32_t b;

	if (n == 1)
		return a;
	b = nth_set_bit(fit,
			(first + 1 + (uint32_t)(random >> 32) % (n - 1)) % n);
	return free_slots(&v->db[b]) > free_slots(&v->db[a]) ? b : a;
}

/* Returns the index of the nth set bit, counted from 0. */
static uint32_t nth_set_bit(uint32_t mask, uint32_t nth)
{
	while (nth--)
		mask &= mask - 1;
	return (uint32_t)__builtin_ctz(mask);
}

/* Returns how many more statements this VM may run at a database. */
static uint32_t free_slots(const struct db_view *d)
{
	return d->running < d->slots ? d->slots - d->running : 0;
}

/* Routes a read to the primary, or waits until the primary is proved. */
static struct route route_primary(const struct group_view *v,
				  const struct route_requirements *want,
				  const struct route_policy *policy, usec_t now)
{
	struct route r = { .kind = ROUTE_PRIMARY, .db = v->primary };

	if (want->has_entry && want->seen.term > v->term)
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	if (!primary_is_usable(v, policy, now))
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	if (!primary_is_proved(v, want, policy, now))
		return wait_or_refuse(want, policy, ERR_NO_PRIMARY, now);
	return r;
}

/* Returns a wait of wait_step_us, or a refusal once the deadline has passed. */
static struct route wait_or_refuse(const struct route_requirements *want,
				   const struct route_policy *policy,
				   enum error_code why, usec_t now)
{
	struct route r = { .kind = ROUTE_WAIT, .db = DB_NONE, .why = why };

	if (now >= want->deadline) {
		r.kind = ROUTE_REFUSE;
		return r;
	}
	r.retry_at = now + policy->wait_step_us;
	if (r.retry_at > want->deadline)
		r.retry_at = want->deadline;
	return r;
}

/*
 * Returns true if the primary is not known to be fenced and has not been
 * departing for longer than departing_us. A primary without a report yet is
 * usable; its response to the first statement shows whether it is fenced.
 */
static bool primary_is_usable(const struct group_view *v,
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
 * Returns true if the primary may serve a read at time "at": a majority has
 * held its term within guard_us before, so that it was not superseded
 * unnoticed. A primary without such a majority still serves a session that has
 * seen a position of its term and sets no staleness bound.
 */
static bool primary_is_proved(const struct group_view *v,
			      const struct route_requirements *want,
			      const struct route_policy *policy, usec_t at)
{
	const struct db_view *d = &v->db[v->primary];

	if (route_term_has_majority(v, at - policy->guard_us))
		return true;
	if (!want->session_known || !want->has_entry || want->unknown_term)
		return false;
	return want->max_staleness_us < 0 && want->seen.term == v->term &&
	       lineage_contains(&d->lineage, d->end, want->seen);
}
