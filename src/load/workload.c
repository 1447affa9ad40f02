#include "load/workload.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define CREDITS_PER_TEAM     16
#define PRICES_PER_TEAM	     8
#define SHARED_KEYS_PER_TEAM (CREDITS_PER_TEAM + PRICES_PER_TEAM)

/* The percentage of requests that are of a kind. */
struct kind_share {
	enum load_kind kind;
	uint32_t percent;
};

static const struct kind_share quotes_mix[] = {
	{ LOAD_PRICE, 35 },   { LOAD_STATUS, 30 },    { LOAD_DRAFT, 20 },
	{ LOAD_CONFIRM, 11 }, { LOAD_CONFIRM_TX, 3 }, { LOAD_REPRICE, 1 },
};
static const struct kind_share returns_mix[] = {
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

static uint32_t shared_key_handle(struct session *s,
				  const struct load_options *o,
				  struct checker *c, uint32_t *shared,
				  bool price);
static enum load_kind pick_kind(const struct kind_share *shares, size_t n,
				uint32_t percent);

/* Returns the next number of the sequence: the hash of a counter. */
uint64_t random_next(struct random *r)
{
	r->counter++;
	return XXH3_64bits_withSeed(&r->counter, sizeof(r->counter), r->seed);
}

/* Returns a number in (0, 1], a multiple of 2^-53. */
double random_unit(struct random *r)
{
	return ((double)(random_next(r) >> 11) + 1) / 9007199254740992.0;
}

/* Returns a number in [0, bound). */
uint32_t random_below(struct random *r, uint32_t bound)
{
	return (uint32_t)(random_next(r) % bound);
}

/*
 * Registers the keys that a session uses. For returns that is a credit
 * counter; for quotes it is a quote and an orders counter of its own and a
 * price. Credits and prices are shared by sessions of the same team and
 * service: "shared" caches their handles and starts with all entries
 * HANDLE_NONE.
 */
void session_keys(struct session *s, const struct load_options *o,
		  struct checker *c, uint32_t *shared)
{
	const char *team = o->team[s->team].name;
	char name[CHECKER_NAME_BYTES];

	memset(s->key, 0xff, sizeof(s->key));
	if (s->workload == WORKLOAD_RETURNS) {
		s->key[KEY_CREDIT] = shared_key_handle(s, o, c, shared, false);
		return;
	}
	s->key[KEY_PRICE] = shared_key_handle(s, o, c, shared, true);
	snprintf(name, sizeof(name), "%s-quote/%s/%u", o->run, team, s->number);
	s->key[KEY_QUOTE] = checker_add_key(c, name, team, false);
	snprintf(name, sizeof(name), "%s-orders/%s/%u", o->run, team,
		 s->number);
	s->key[KEY_ORDERS] = checker_add_key(c, name, team, true);
}

/* Returns the number of entries that "shared" of session_keys() needs. */
size_t shared_keys_count(const struct load_options *o)
{
	return o->n_services * o->n_teams * SHARED_KEYS_PER_TEAM;
}

/*
 * Chooses the next operation of a session by the percentages of its workload.
 */
struct load_op workload_next_op(const struct session *s,
				const struct load_options *o, struct random *r)
{
	struct load_op op = { .amount = 1, .max_age = o->max_age };
	uint32_t percent = random_below(r, 100);

	if (s->workload == WORKLOAD_RETURNS)
		op.kind = pick_kind(
			returns_mix,
			sizeof(returns_mix) / sizeof(returns_mix[0]), percent);
	else
		op.kind = pick_kind(quotes_mix,
				    sizeof(quotes_mix) / sizeof(quotes_mix[0]),
				    percent);
	if (op.kind == LOAD_CONFIRM_TX && o->direct)
		op.kind = LOAD_CONFIRM;
	op.slot = kinds[op.kind].slot;
	if (op.kind == LOAD_LODGE)
		op.amount = 1 + random_below(r, 12);
	op.value = s->quote + 1;
	return op;
}

/* Chooses a team with a probability proportional to its weight. */
uint32_t workload_pick_team(const struct load_options *o, struct random *r)
{
	double index = random_unit(r) * workload_total_weight(o);
	uint32_t i;

	for (i = 0; i + 1 < o->n_teams; i++) {
		index -= o->team[i].weight;
		if (index <= 0)
			return i;
	}
	return i;
}

/*
 * Returns the time until the next arrival in microseconds, exponentially
 * distributed so that arrivals form a Poisson process. "since" is the time
 * since the start of the run; "share" is the fraction of the rate that the
 * calling thread offers.
 */
double workload_next_gap_us(const struct load_options *o, usec_t since,
			    double share, struct random *r)
{
	double rate =
		o->rate * share * workload_total_weight(o) / (double)o->n_teams;

	if (since >= o->surge_at && since < o->surge_at + o->surge_duration)
		rate *= o->surge_factor;
	return -log(random_unit(r)) * USEC_PER_SEC / rate;
}

/* Returns the sum of the weights of all teams. */
double workload_total_weight(const struct load_options *o)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < o->n_teams; i++)
		sum += o->team[i].weight;
	return sum;
}

/* Tells whether requests of the kind write. */
bool load_kind_writes(enum load_kind kind)
{
	return kinds[kind].writes;
}

/*
 * Tells whether requests of the kind carry a request id and may therefore be
 * retried without running twice.
 */
bool load_kind_has_id(enum load_kind kind)
{
	return kinds[kind].has_id;
}

/* Returns the name used in reports. */
const char *load_kind_name(enum load_kind kind)
{
	return kinds[kind].name;
}

/*
 * Returns the handle of the credit or price counter that the session shares,
 * and registers the key on first use.
 */
static uint32_t shared_key_handle(struct session *s,
				  const struct load_options *o,
				  struct checker *c, uint32_t *shared,
				  bool price)
{
	const char *team = o->team[s->team].name;
	uint32_t i = s->number % (price ? PRICES_PER_TEAM : CREDITS_PER_TEAM);
	size_t index =
		(s->service * o->n_teams + s->team) * SHARED_KEYS_PER_TEAM + i;
	char name[CHECKER_NAME_BYTES];

	if (price)
		index += CREDITS_PER_TEAM;
	if (shared[index] != HANDLE_NONE)
		return shared[index];
	snprintf(name, sizeof(name), "%s-%s/%s/%u", o->run,
		 price ? "price" : "credit", team, i);
	shared[index] = checker_add_key(c, name, team, true);
	return shared[index];
}

/* Returns the kind whose range of percentages holds "percent", in [0, 100). */
static enum load_kind pick_kind(const struct kind_share *shares, size_t n,
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
