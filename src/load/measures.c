#include "load/measures.h"

#define SUB_BITS 4 /* 16 buckets to each power of two */

static void refill(struct rate_bucket *b, const struct load_options *o,
		   usec_t now);
static size_t bucket_of(usec_t t);
static usec_t bucket_top(size_t i);

/* Adds a time in microseconds. */
void histogram_add(struct histogram *h, usec_t t)
{
	if (t < 0)
		t = 0;
	h->n++;
	h->bucket[bucket_of(t)]++;
	if (t > h->max)
		h->max = t;
}

/* The time below which a part of all lie, within 1/16; 0 if there is none. */
usec_t histogram_at(const struct histogram *h, double part)
{
	uint64_t left = (uint64_t)(part * (double)h->n);
	usec_t top;
	size_t i;

	if (h->n == 0)
		return 0;
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		if (left < h->bucket[i])
			break;
		left -= h->bucket[i];
	}
	top = i < HISTOGRAM_BUCKETS ? bucket_top(i) : h->max;
	return top < h->max ? top : h->max;
}

bool measures_take(struct measures *m, const struct load_options *o,
		   uint32_t team, usec_t now)
{
	struct rate_bucket *b = &m->team[team].arrivals;

	if (o->team_rate <= 0)
		return true;
	refill(b, o, now);
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

/* The rate counts attempts, not requests: each repetition takes from it. */
void measures_charge(struct measures *m, const struct load_options *o,
		     uint32_t team, usec_t now)
{
	refill(&m->team[team].admitted, o, now);
	m->team[team].admitted.tokens -= 1;
}

bool measures_refuse(struct measures *m, const struct load_options *o,
		     uint32_t team, usec_t now)
{
	struct rate_bucket *b = &m->team[team].admitted;

	if (o->team_rate <= 0)
		return true;
	refill(b, o, now);
	b->tokens += 1;
	return b->tokens >= 1;
}

void measures_offer(struct measures *m, uint32_t team, bool in_rate)
{
	m->team[team].offered++;
	if (in_rate)
		m->team[team].offered_in_rate++;
}

void measures_refused_in_rate(struct measures *m, uint32_t team)
{
	m->team[team].refused_in_rate++;
}

void measures_end(struct measures *m, uint32_t team, enum load_kind kind,
		  enum load_end end)
{
	m->team[team].end[end]++;
	m->kind[kind][end]++;
}

void measures_write_done(struct measures *m, uint32_t service, usec_t now)
{
	struct service_measures *s = &m->service[service];

	if (s->last_write && now - s->last_write > s->gap) {
		s->gap = now - s->last_write;
		s->gap_at = s->last_write;
	}
	if (now > s->last_write)
		s->last_write = now;
}

void measures_close(struct measures *m, const struct load_options *o,
		    usec_t now)
{
	uint32_t i;

	for (i = 0; i < o->n_services; i++) {
		if (m->service[i].last_write)
			measures_write_done(m, i, now);
	}
}

double measures_share(const struct measures *m, uint32_t team)
{
	const struct team_measures *t = &m->team[team];
	double share;

	if (t->offered_in_rate == 0)
		return 1;
	share = (double)t->end[END_DONE] / (double)t->offered_in_rate;
	return share < 1 ? share : 1;
}

static void refill(struct rate_bucket *b, const struct load_options *o,
		   usec_t now)
{
	if (b->at == 0)
		b->tokens = o->team_burst;
	else if (now > b->at)
		b->tokens +=
			o->team_rate * (double)(now - b->at) / USEC_PER_SEC;
	if (b->tokens > o->team_burst)
		b->tokens = o->team_burst;
	b->at = now;
}

static size_t bucket_of(usec_t t)
{
	uint64_t u = (uint64_t)t;
	unsigned int top;
	size_t i;

	if (u < 1U << SUB_BITS)
		return (size_t)u;
	top = 63U - (unsigned int)__builtin_clzll(u);
	i = ((size_t)(top - SUB_BITS + 1) << SUB_BITS) +
	    ((u >> (top - SUB_BITS)) & ((1U << SUB_BITS) - 1));
	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

/* The highest time that falls into a bucket. */
static usec_t bucket_top(size_t i)
{
	unsigned int octave = (unsigned int)(i >> SUB_BITS);
	usec_t sub = (usec_t)(i & ((1U << SUB_BITS) - 1));

	if (octave == 0)
		return sub;
	return (((usec_t)(1U << SUB_BITS) + sub + 1) << (octave - 1)) - 1;
}
