#include "load/workload.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define KIOSKS_PER_TEAM 16
#define PRICES_PER_TEAM 8
#define SHARED_PER_TEAM (KIOSKS_PER_TEAM + PRICES_PER_TEAM)

struct share {
	enum load_kind kind;
	uint32_t percent;
};

static const struct share quotes[] = {
	{ LOAD_PRICE, 35 },   { LOAD_STATUS, 30 },    { LOAD_DRAFT, 20 },
	{ LOAD_CONFIRM, 11 }, { LOAD_CONFIRM_TX, 3 }, { LOAD_REPRICE, 1 },
};
static const struct share returns[] = {
	{ LOAD_BALANCE, 70 },
	{ LOAD_LODGE, 29 },
	{ LOAD_RECONCILE, 1 },
};

static const struct {
	const char *name;
	enum session_key slot;
	bool writes;
	bool has_id;
} kinds[LOAD_KINDS] = {
	[LOAD_PRICE] = { "price", KEY_PRICE, false, false },
	[LOAD_DRAFT] = { "draft", KEY_QUOTE, true, false },
	[LOAD_CONFIRM] = { "confirm", KEY_ORDERS, true, true },
	[LOAD_CONFIRM_TX] = { "confirm_tx", KEY_ORDERS, true, true },
	[LOAD_STATUS] = { "status", KEY_QUOTE, false, false },
	[LOAD_REPRICE] = { "reprice", KEY_PRICE, true, true },
	[LOAD_LODGE] = { "lodge", KEY_CREDIT, true, true },
	[LOAD_BALANCE] = { "balance", KEY_CREDIT, false, false },
	[LOAD_RECONCILE] = { "reconcile", KEY_CREDIT, false, false },
	[LOAD_FINAL] = { "final", KEY_QUOTE, false, false },
};

static uint32_t shared_key(struct session *s, const struct load_options *o,
			   struct verify *v, uint32_t *shared, bool price);
static enum load_kind pick(const struct share *shares, size_t n,
			   uint32_t percent);

uint64_t random_next(struct random *r)
{
	r->drawn++;
	return XXH3_64bits_withSeed(&r->drawn, sizeof(r->drawn), r->seed);
}

double random_unit(struct random *r)
{
	return ((double)(random_next(r) >> 11) + 1) / 9007199254740992.0;
}

uint32_t random_below(struct random *r, uint32_t bound)
{
	return (uint32_t)(random_next(r) % bound);
}

/*
 * Gives a session its keys: a quote and a count of orders of its own, a
 * kiosk's credit and a price that others of its team and service use too.
 */
void session_keys(struct session *s, const struct load_options *o,
		  struct verify *v, uint32_t *shared)
{
	const char *team = o->team[s->team].name;
	char name[VERIFY_NAME_BYTES];

	memset(s->key, 0xff, sizeof(s->key));
	if (s->workload == WORKLOAD_RETURNS) {
		s->key[KEY_CREDIT] = shared_key(s, o, v, shared, false);
		return;
	}
	s->key[KEY_PRICE] = shared_key(s, o, v, shared, true);
	snprintf(name, sizeof(name), "%s-quote/%s/%u", o->run, team, s->number);
	s->key[KEY_QUOTE] = verify_add(v, name, team, false);
	snprintf(name, sizeof(name), "%s-orders/%s/%u", o->run, team,
		 s->number);
	s->key[KEY_ORDERS] = verify_add(v, name, team, true);
}

/* Room that "shared" of session_keys() needs, filled with HANDLE_NONE. */
size_t shared_keys_count(const struct load_options *o)
{
	return o->n_services * o->n_teams * SHARED_PER_TEAM;
}

/* Chooses by the workload's shares. */
struct load_op workload_next(const struct session *s,
			     const struct load_options *o, struct random *r)
{
	struct load_op op = { .amount = 1, .max_age = o->max_age };
	uint32_t percent = random_below(r, 100);

	if (s->workload == WORKLOAD_RETURNS)
		op.kind = pick(returns, sizeof(returns) / sizeof(returns[0]),
			       percent);
	else
		op.kind = pick(quotes, sizeof(quotes) / sizeof(quotes[0]),
			       percent);
	if (op.kind == LOAD_CONFIRM_TX && o->direct)
		op.kind = LOAD_CONFIRM;
	op.slot = kinds[op.kind].slot;
	if (op.kind == LOAD_LODGE)
		op.amount = 1 + random_below(r, 12);
	op.value = s->quote + 1;
	return op;
}

/* Chooses a team by weight. */
uint32_t workload_team(const struct load_options *o, struct random *r)
{
	double at = random_unit(r) * workload_weight(o);
	uint32_t i;

	for (i = 0; i + 1 < o->n_teams; i++) {
		at -= o->team[i].weight;
		if (at <= 0)
			return i;
	}
	return i;
}

/* Arrivals are Poisson; "share" is this thread's part of the rate. */
double workload_gap(const struct load_options *o, usec_t since, double share,
		    struct random *r)
{
	double rate = o->rate * share * workload_weight(o) / (double)o->n_teams;

	if (since >= o->surge_at && since < o->surge_at + o->surge_length)
		rate *= o->surge_times;
	return -log(random_unit(r)) * USEC_PER_SEC / rate;
}

double workload_weight(const struct load_options *o)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < o->n_teams; i++)
		sum += o->team[i].weight;
	return sum;
}

bool load_kind_writes(enum load_kind kind)
{
	return kinds[kind].writes;
}

/* Such a request may be asked again without running twice. */
bool load_kind_has_id(enum load_kind kind)
{
	return kinds[kind].has_id;
}

const char *load_kind_name(enum load_kind kind)
{
	return kinds[kind].name;
}

static uint32_t shared_key(struct session *s, const struct load_options *o,
			   struct verify *v, uint32_t *shared, bool price)
{
	const char *team = o->team[s->team].name;
	uint32_t i = s->number % (price ? PRICES_PER_TEAM : KIOSKS_PER_TEAM);
	size_t at = (s->service * o->n_teams + s->team) * SHARED_PER_TEAM + i;
	char name[VERIFY_NAME_BYTES];

	if (price)
		at += KIOSKS_PER_TEAM;
	if (shared[at] != HANDLE_NONE)
		return shared[at];
	snprintf(name, sizeof(name), "%s-%s/%s/%u", o->run,
		 price ? "price" : "credit", team, i);
	shared[at] = verify_add(v, name, team, true);
	return shared[at];
}

static enum load_kind pick(const struct share *shares, size_t n,
			   uint32_t percent)
{
	size_t i;

	for (i = 0; i + 1 < n; i++) {
		if (percent < shares[i].percent)
			return shares[i].kind;
		percent -= shares[i].percent;
	}
	return shares[i].kind;
}
