#include "decide/confirm.h"

#include "decide/route.h"

static void note_reports(struct confirm *c, const struct group_view *v);
static bool reaches_back(const struct lineage *l, uint64_t term);
static bool logs_term(const struct group_view *v, uint32_t i);
static uint32_t count(uint32_t mask);

/*
 * Tells whether a write may start: with the primary, enough replicas follow
 * its term for a majority. A departing replica still counts.
 */
bool confirm_possible(const struct group_view *v,
		      const struct confirm_policy *policy, usec_t now)
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

/* Starts to wait for the write that the primary's answer placed at "at". */
void confirm_start(struct confirm *c, struct log_pos at, usec_t deadline)
{
	*c = (struct confirm){ .at = at, .deadline = deadline };
}

/*
 * Judges a write by what the databases have reported. Reports are only set
 * side by side if they are of one term, the view's: a majority that logs that
 * term and holds the write carries it into each later term; a majority that
 * logs it without the write shuts the write out for good. After a change of
 * term the old one's reports no longer confirm anything.
 */
enum confirm_state confirm_check(struct confirm *c, const struct group_view *v,
				 usec_t now)
{
	if (c->term != v->term) {
		c->term = v->term;
		c->held = 0;
		c->past = 0;
	}
	note_reports(c, v);
	if (count(c->held) >= group_majority(v))
		return CONFIRM_DONE;
	if (v->term > c->at.term && count(c->past) >= group_majority(v))
		return CONFIRM_LOST;
	return now >= c->deadline ? CONFIRM_UNKNOWN : CONFIRM_WAIT;
}

/* Tells whether a majority logs the view's term. */
bool confirm_settled(const struct group_view *v)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (logs_term(v, i))
			n++;
	}
	return v->n > 0 && n >= group_majority(v);
}

/*
 * Keeps which databases have held the write, or gone past it, in this term. A
 * report once true stays true: a later fence of that database reports at least
 * as much.
 */
static void note_reports(struct confirm *c, const struct group_view *v)
{
	uint32_t i;

	if (v->term < c->at.term)
		return;
	for (i = 0; i < v->n; i++) {
		if (!logs_term(v, i))
			continue;
		if (lineage_covers(&v->db[i].lineage, v->db[i].end, c->at))
			c->held |= 1U << i;
		else if (reaches_back(&v->db[i].lineage, c->at.term))
			c->past |= 1U << i;
	}
}

/*
 * Tells whether a lineage, of which only the newest terms are reported, still
 * shows what became of a term.
 */
static bool reaches_back(const struct lineage *l, uint64_t term)
{
	return l->n < LINEAGE_MAX || l->start[0].term <= term;
}

/*
 * A database counts for a term only while fenced to it, and with its log
 * within it: a log that ends in an older term can lose an election to one
 * that is shorter, but younger.
 */
static bool logs_term(const struct group_view *v, uint32_t i)
{
	const struct db_view *d = &v->db[i];

	return d->known && d->fence_term == v->term && d->end.term == v->term;
}

static uint32_t count(uint32_t mask)
{
	return (uint32_t)__builtin_popcount(mask);
}
