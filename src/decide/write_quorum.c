#include "decide/write_quorum.h"

#include "decide/route.h"

static void note_reports(struct write_quorum *c, const struct group_view *v);
static bool lineage_reaches(const struct lineage *l, uint64_t term);
static bool logs_view_term(const struct group_view *v, uint32_t i);
static uint32_t count_bits(uint32_t mask);

/*
 * Returns true if a write may start: the primary and the replicas that follow
 * its term make up a majority. A departing replica still counts.
 */
bool write_quorum_is_reachable(const struct group_view *v,
			       const struct write_quorum_policy *policy,
			       usec_t now)
{
	uint32_t held = 1;
	uint32_t i;

	if (v->primary >= v->n)
		return false;
	for (i = 0; i < v->n; i++) {
		if (route_follows(v, i, policy->replica_fresh_us,
				  policy->clock_rate_ppm, now))
			held++;
	}
	return held >= group_majority(v);
}

/* Starts to wait for the write that the primary logged at "at". */
void write_quorum_start(struct write_quorum *c, struct log_pos at,
			usec_t deadline)
{
	*c = (struct write_quorum){ .at = at, .deadline = deadline };
}

/*
 * Decides the state of a write from the databases' reports. Only reports of the
 * view's term are combined: a majority that logs that term and holds the write
 * carries it into every later term; a majority that logs that term without the
 * write discards it for good. After a change of term the reports of the old
 * term no longer count.
 */
enum write_quorum_state write_quorum_check(struct write_quorum *c,
					   const struct group_view *v,
					   usec_t now)
{
	if (c->term != v->term) {
		c->term = v->term;
		c->held_mask = 0;
		c->discarded_mask = 0;
	}
	note_reports(c, v);
	if (count_bits(c->held_mask) >= group_majority(v))
		return QUORUM_DONE;
	if (v->term > c->at.term &&
	    count_bits(c->discarded_mask) >= group_majority(v))
		return QUORUM_LOST;
	return now >= c->deadline ? QUORUM_UNKNOWN : QUORUM_WAIT;
}

/* Returns true if a majority logs the view's term. */
bool write_quorum_term_is_settled(const struct group_view *v)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (logs_view_term(v, i))
			n++;
	}
	return v->n > 0 && n >= group_majority(v);
}

/*
 * Records which databases hold the write in this term, or log the term without
 * it. A recorded report stays valid: a later fence of that database reports at
 * least as much.
 */
static void note_reports(struct write_quorum *c, const struct group_view *v)
{
	uint32_t i;

	if (v->term < c->at.term)
		return;
	for (i = 0; i < v->n; i++) {
		if (!logs_view_term(v, i))
			continue;
		if (lineage_contains(&v->db[i].lineage, v->db[i].end, c->at))
			c->held_mask |= 1U << i;
		else if (lineage_reaches(&v->db[i].lineage, c->at.term))
			c->discarded_mask |= 1U << i;
	}
}

/*
 * Returns true if a lineage still covers a term. Only the newest LINEAGE_MAX
 * terms are reported.
 */
static bool lineage_reaches(const struct lineage *l, uint64_t term)
{
	return l->n < LINEAGE_MAX || l->start[0].term <= term;
}

/*
 * Returns true if a database logs the view's term: it is fenced to that term
 * and its log ends in it. A log that ends in an older term can lose an election
 * to a shorter log of a newer term, so it does not count.
 */
static bool logs_view_term(const struct group_view *v, uint32_t i)
{
	const struct db_view *d = &v->db[i];

	return d->known && d->fence_term == v->term && d->end.term == v->term;
}

/* Returns the number of databases in a mask. */
static uint32_t count_bits(uint32_t mask)
{
	return (uint32_t)__builtin_popcount(mask);
}
