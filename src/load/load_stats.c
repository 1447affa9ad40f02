#include "load/load_stats.h"

#define SUB_BUCKET_BITS 4 /* 16 buckets per power of two */

static void refill(struct token_bucket *b, const struct load_options *o,
		   usec_t now);
static size_t bucket_index(usec_t t);
static usec_t bucket_upper_us(size_t i);

/* Adds a latency in microseconds; a negative one counts as 0. */
void histogram_add(struct histogram *h, usec_t t)
{
	if (t < 0)
		t = 0;
	h->n++;
	h->bucket[bucket_index(t)]++;
	if (t > h->max)
		h->max = t;
}

/*
 * Returns the upper bound of the bucket that holds the quantile (0 to 1), at
 * most 1/16 above the exact value; 0 if the histogram is empty.
 */
usec_t histogram_quantile(const struct histogram *h, double quantile)
{
	uint64_t left = (uint64_t)(quantile * (double)h->n);
	usec_t top;
	size_t i;

	if (h->n == 0)
		return 0;
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		if (left < h->bucket[i])
			break;
		left -= h->bucket[i];
	}
	top = i < HISTOGRAM_BUCKETS ? bucket_upper_us(i) : h->max;
	return top < h->max ? top : h->max;
}

/*
 * Takes a token for an arrival from the bucket that models the team's rate
 * limit. Returns whether there was one, that is, whether the arrival lies
 * within the limit. Without a known limit every arrival does.
 */
bool load_stats_take_token(struct load_stats *stats,
			   const struct load_options *o, uint32_t team,
			   usec_t now)
{
	struct token_bucket *b = &stats->team[team].arrivals;

	if (o->team_rate <= 0)
		return true;
	refill(b, o, now);
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

/*
 * Charges an attempt to the bucket of what the team has been admitted. The
 * rate limit counts attempts, not requests, so each retry is charged.
 */
void load_stats_charge_attempt(struct load_stats *stats,
			       const struct load_options *o, uint32_t team,
			       usec_t now)
{
	refill(&stats->team[team].admitted, o, now);
	stats->team[team].admitted.tokens -= 1;
}

/*
 * Gives the token of a refused attempt back. Returns whether the refusal lay
 * within the team's rate, that is, whether the bucket then holds a whole
 * token.
 */
bool load_stats_refund_attempt(struct load_stats *stats,
			       const struct load_options *o, uint32_t team,
			       usec_t now)
{
	struct token_bucket *b = &stats->team[team].admitted;

	if (o->team_rate <= 0)
		return true;
	refill(b, o, now);
	b->tokens += 1;
	return b->tokens >= 1;
}

/* Counts an arrival; "in_rate" is what load_stats_take_token() returned. */
void load_stats_count_offered(struct load_stats *stats, uint32_t team,
			      bool in_rate)
{
	stats->team[team].offered++;
	if (in_rate)
		stats->team[team].offered_in_rate++;
}

/*
 * Counts a request that was refused within its team's rate. The caller calls
 * this at most once per request.
 */
void load_stats_count_refused_in_rate(struct load_stats *stats, uint32_t team)
{
	stats->team[team].refused_in_rate++;
}

/* Counts the final result of a request. */
void load_stats_count_result(struct load_stats *stats, uint32_t team,
			     enum load_kind kind, enum load_result result)
{
	stats->team[team].result[result]++;
	stats->kind[kind][result]++;
}

/*
 * Records the time of a successful write and updates the longest gap between
 * two.
 */
void load_stats_write_done(struct load_stats *stats, uint32_t service,
			   usec_t now)
{
	struct service_stats *s = &stats->service[service];

	if (s->last_write_at && now - s->last_write_at > s->longest_gap) {
		s->longest_gap = now - s->last_write_at;
		s->longest_gap_start = s->last_write_at;
	}
	if (now > s->last_write_at)
		s->last_write_at = now;
}

/* Counts the gap from each service's last write to the end of the load. */
void load_stats_finish(struct load_stats *stats, const struct load_options *o,
		       usec_t now)
{
	uint32_t i;

	for (i = 0; i < o->n_services; i++) {
		if (stats->service[i].last_write_at)
			load_stats_write_done(stats, i, now);
	}
}

/*
 * Returns the team's successful requests as a fraction of its arrivals within
 * the rate limit, at most 1.
 */
double load_stats_share_served(const struct load_stats *stats, uint32_t team)
{
	const struct team_stats *t = &stats->team[team];
	double share;

	if (t->offered_in_rate == 0)
		return 1;
	share = (double)t->result[RESULT_DONE] / (double)t->offered_in_rate;
	return share < 1 ? share : 1;
}

/*
 * Adds the tokens that have accrued since the last call; a bucket starts full.
 */
static void refill(struct token_bucket *b, const struct load_options *o,
		   usec_t now)
{
	if (b->refilled_at == 0)
		b->tokens = o->team_burst;
	else if (now > b->refilled_at)
		b->tokens += o->team_rate * (double)(now - b->refilled_at) /
			     USEC_PER_SEC;
	if (b->tokens > o->team_burst)
		b->tokens = o->team_burst;
	b->refilled_at = now;
}

/*
 * Returns the bucket of a time. Below 2^SUB_BUCKET_BITS the width is 1; above,
 * each power of two is split into 2^SUB_BUCKET_BITS buckets.
 */
static size_t bucket_index(usec_t t)
{
	uint64_t u = (uint64_t)t;
	unsigned int top;
	size_t i;

	if (u < 1U << SUB_BUCKET_BITS)
		return (size_t)u;
	top = 63U - (unsigned int)__builtin_clzll(u);
	i = ((size_t)(top - SUB_BUCKET_BITS + 1) << SUB_BUCKET_BITS) +
	    ((u >> (top - SUB_BUCKET_BITS)) & ((1U << SUB_BUCKET_BITS) - 1));
	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

/* Returns the highest time that falls into a bucket. */
static usec_t bucket_upper_us(size_t i)
{
	unsigned int octave = (unsigned int)(i >> SUB_BUCKET_BITS);
	usec_t sub = (usec_t)(i & ((1U << SUB_BUCKET_BITS) - 1));

	if (octave == 0)
		return sub;
	return (((usec_t)(1U << SUB_BUCKET_BITS) + sub + 1) << (octave - 1)) -
	       1;
}
