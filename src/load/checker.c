#include "load/checker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HISTORY_MAX 128
#define HISTORY_US  ((usec_t)100 * USEC_PER_MSEC) /* per entry */

/* The highest value acknowledged up to the end of an interval. */
struct ack_interval {
	usec_t from;
	usec_t until;
	int64_t value;
};

/* The writes to one key and what became of them. */
struct key_record {
	char name[CHECKER_NAME_BYTES];
	char team[NAME_MAX_BYTES];
	bool is_counter;
	bool written;	 /* a write has begun */
	int64_t acked;	 /* sum of all successful writes */
	int64_t unknown; /* sum of all writes that may have run */
	int64_t in_flight;
	size_t first; /* oldest entry of the ring */
	size_t n;
	struct ack_interval history[HISTORY_MAX];
};

struct checker {
	struct key_record **key;
	uint32_t n;
	uint32_t capacity;
};

static const char *const violation_names[VIOLATION_KINDS] = {
	[VIOLATION_NONE] = "none",	 [VIOLATION_LOST] = "lost",
	[VIOLATION_DOUBLED] = "doubled", [VIOLATION_STALE] = "stale",
	[VIOLATION_MIXED] = "mixed",	 [VIOLATION_TEAM] = "wrong_team",
};

static enum violation check_key(const struct key_record *k,
				const struct checker_row *rows, size_t n);
static bool key_has_team(const char *key, const char *team);
static bool is_possible(const struct key_record *k, int64_t value);
static void record_ack(struct key_record *k, usec_t now, int64_t value);
static int64_t acked_by(const struct key_record *k, usec_t when);

/* Returns a checker without keys. */
struct checker *checker_create(void)
{
	struct checker *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	return c;
}

/* Frees the checker and all keys. */
void checker_destroy(struct checker *c)
{
	uint32_t i;

	for (i = 0; i < c->n; i++)
		free(c->key[i]);
	free(c->key);
	free(c);
}

/* Adds a key and returns its handle. The name must contain "/TEAM/". */
uint32_t checker_add_key(struct checker *c, const char *name, const char *team,
			 bool is_counter)
{
	struct key_record **grown;
	struct key_record *k;

	if (c->n == c->capacity) {
		c->capacity = c->capacity ? 2 * c->capacity : 256;
		grown = realloc(c->key,
				c->capacity * sizeof(struct key_record *));
		if (!grown)
			abort();
		c->key = grown;
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		abort();
	snprintf(k->name, sizeof(k->name), "%s", name);
	snprintf(k->team, sizeof(k->team), "%s", team);
	k->is_counter = is_counter;
	c->key[c->n] = k;
	return c->n++;
}

/* Returns the number of keys; handles count from 0. */
uint32_t checker_n_keys(const struct checker *c)
{
	return c->n;
}

/* Returns the name of a key, owned by the checker. */
const char *checker_key_name(const struct checker *c, uint32_t key)
{
	return c->key[key]->name;
}

/* Tells whether a write to the key has ever begun, whatever its outcome. */
bool checker_key_is_written(const struct checker *c, uint32_t key)
{
	return c->key[key]->written;
}

/* Records that a write is in flight. */
void checker_begin_write(struct checker *c, uint32_t key, int64_t amount)
{
	c->key[key]->in_flight += amount;
	c->key[key]->written = true;
}

/* Ends a write that did not run. */
void checker_write_not_run(struct checker *c, uint32_t key, int64_t amount)
{
	c->key[key]->in_flight -= amount;
}

/* Ends a write that may or may not have run. */
void checker_write_unknown(struct checker *c, uint32_t key, int64_t amount)
{
	c->key[key]->in_flight -= amount;
	c->key[key]->unknown += amount;
}

/*
 * Ends a successful write, checks the one row that the response must hold and
 * raises the session's lowest acceptable value to what the row shows.
 */
enum violation checker_write_done(struct checker *c, uint32_t key,
				  int64_t amount,
				  const struct checker_row *rows, size_t n,
				  usec_t now, int64_t *min_value)
{
	struct key_record *k = c->key[key];
	enum violation violation = check_key(k, rows, n);
	int64_t value = n ? rows[0].value : 0;

	if (violation == VIOLATION_NONE && n == 0)
		violation = VIOLATION_MIXED;
	if (violation == VIOLATION_NONE && value < *min_value + amount)
		violation = VIOLATION_LOST;
	if (violation == VIOLATION_NONE && !is_possible(k, value))
		violation = VIOLATION_DOUBLED;
	k->in_flight -= amount;
	k->acked += amount;
	if (violation != VIOLATION_NONE)
		return violation;
	*min_value = value;
	record_ack(k, now, value);
	return VIOLATION_NONE;
}

/*
 * Ends a successful write whose response holds no value, as that of a
 * transaction's commit does.
 */
void checker_write_done_no_value(struct checker *c, uint32_t key,
				 int64_t amount)
{
	c->key[key]->in_flight -= amount;
	c->key[key]->acked += amount;
}

/*
 * Checks a read that was sent at "sent" with "max_age" as the allowed
 * staleness. "age" is what the response states, -1 if nothing, and may not
 * exceed max_age. The value may not be lower than what the session has seen,
 * nor than what was acknowledged before sent - max_age. A valid value raises
 * *min_value.
 */
enum violation checker_read(struct checker *c, uint32_t key,
			    const struct checker_row *rows, size_t n,
			    usec_t sent, usec_t max_age, usec_t age,
			    int64_t *min_value)
{
	const struct key_record *k = c->key[key];
	enum violation violation = check_key(k, rows, n);
	int64_t value = n ? rows[0].value : 0;

	if (violation != VIOLATION_NONE)
		return violation;
	if (value < *min_value || value < acked_by(k, sent - max_age))
		return VIOLATION_STALE;
	if (age > max_age)
		return VIOLATION_STALE;
	if (!is_possible(k, value))
		return VIOLATION_DOUBLED;
	*min_value = value;
	return VIOLATION_NONE;
}

/*
 * Checks that every row of a list belongs to the team and begins with the
 * prefix.
 */
enum violation checker_list(const char *prefix, const char *team,
			    const struct checker_row *rows, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!key_has_team(rows[i].key, team))
			return VIOLATION_TEAM;
		if (strncmp(rows[i].key, prefix, strlen(prefix)) != 0)
			return VIOLATION_MIXED;
	}
	return VIOLATION_NONE;
}

/*
 * Checks a read from the primary after all requests have ended: every
 * acknowledged write must be there.
 */
enum violation checker_final_read(struct checker *c, uint32_t key,
				  const struct checker_row *rows, size_t n)
{
	const struct key_record *k = c->key[key];
	enum violation violation = check_key(k, rows, n);
	int64_t value = n ? rows[0].value : 0;

	if (violation != VIOLATION_NONE)
		return violation;
	if (value < k->acked)
		return VIOLATION_LOST;
	return is_possible(k, value) ? VIOLATION_NONE : VIOLATION_DOUBLED;
}

/* Returns the name used in reports. */
const char *violation_name(enum violation kind)
{
	return violation_names[kind];
}

/*
 * Checks that there is at most one row, and that it is of this key and holds
 * an integer.
 */
static enum violation check_key(const struct key_record *k,
				const struct checker_row *rows, size_t n)
{
	if (n == 0)
		return VIOLATION_NONE;
	if (!key_has_team(rows[0].key, k->team))
		return VIOLATION_TEAM;
	if (n != 1 || strcmp(rows[0].key, k->name) != 0 || !rows[0].is_integer)
		return VIOLATION_MIXED;
	return VIOLATION_NONE;
}

/* Tells whether a key's name contains the team as a path component. */
static bool key_has_team(const char *key, const char *team)
{
	char component[NAME_MAX_BYTES + 2];

	snprintf(component, sizeof(component), "/%s/", team);
	return strstr(key, component) != NULL;
}

/*
 * Tells whether the key can hold the value, given the writes that are
 * acknowledged, unknown and in flight.
 */
static bool is_possible(const struct key_record *k, int64_t value)
{
	if (k->is_counter)
		return value <= k->acked + k->unknown + k->in_flight;
	return value == k->acked || value == k->acked + k->unknown ||
	       value == k->acked + k->in_flight;
}

/*
 * Adds an acknowledged value to the history. Acknowledgements within
 * HISTORY_US share an entry, whose time is that of the last one, so that the
 * check errs towards accepting a value.
 */
static void record_ack(struct key_record *k, usec_t now, int64_t value)
{
	struct ack_interval *last = NULL;

	if (k->n)
		last = &k->history[(k->first + k->n - 1) % HISTORY_MAX];
	if (last && now - last->from < HISTORY_US) {
		last->until = now;
		if (value > last->value)
			last->value = value;
		return;
	}
	if (last && last->value > value)
		value = last->value;
	if (k->n == HISTORY_MAX)
		k->first = (k->first + 1) % HISTORY_MAX;
	else
		k->n++;
	last = &k->history[(k->first + k->n - 1) % HISTORY_MAX];
	last->from = now;
	last->until = now;
	last->value = value;
}

/* Returns the highest value known to have been acknowledged by a time, or 0. */
static int64_t acked_by(const struct key_record *k, usec_t when)
{
	const struct ack_interval *a;
	size_t i;

	for (i = k->n; i-- > 0;) {
		a = &k->history[(k->first + i) % HISTORY_MAX];
		if (a->until <= when)
			return a->value;
	}
	return 0;
}
