#include "load/verify.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HISTORY_MAX 128
#define HISTORY_US  ((usec_t)100 * USEC_PER_MSEC) /* each entry's width */

/* The highest value acknowledged by a time. */
struct acked_at {
	usec_t from;
	usec_t at;
	int64_t value;
};

struct key_record {
	char name[VERIFY_NAME_BYTES];
	char team[NAME_MAX_BYTES];
	bool counter;
	bool touched;
	int64_t acked;	 /* done */
	int64_t unknown; /* may have run */
	int64_t open;	 /* in flight */
	size_t first;
	size_t n;
	struct acked_at history[HISTORY_MAX];
};

struct verify {
	struct key_record **key;
	uint32_t n;
	uint32_t room;
};

static const char *const names[VIOLATION_KINDS] = {
	[VIOLATION_NONE] = "none",	 [VIOLATION_LOST] = "lost",
	[VIOLATION_DOUBLED] = "doubled", [VIOLATION_STALE] = "stale",
	[VIOLATION_MIXED] = "mixed",	 [VIOLATION_TEAM] = "wrong_team",
};

static enum violation check_key(const struct key_record *k,
				const struct verify_row *rows, size_t n);
static bool names_team(const char *key, const char *team);
static bool possible(const struct key_record *k, int64_t value);
static void note_ack(struct key_record *k, usec_t now, int64_t value);
static int64_t least_by(const struct key_record *k, usec_t when);

/* Makes an empty record. */
struct verify *verify_create(void)
{
	struct verify *v = calloc(1, sizeof(*v));

	if (!v)
		abort();
	return v;
}

void verify_destroy(struct verify *v)
{
	uint32_t i;

	for (i = 0; i < v->n; i++)
		free(v->key[i]);
	free(v->key);
	free(v);
}

uint32_t verify_add(struct verify *v, const char *name, const char *team,
		    bool counter)
{
	struct key_record **more;
	struct key_record *k;

	if (v->n == v->room) {
		v->room = v->room ? 2 * v->room : 256;
		more = realloc(v->key, v->room * sizeof(struct key_record *));
		if (!more)
			abort();
		v->key = more;
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		abort();
	snprintf(k->name, sizeof(k->name), "%s", name);
	snprintf(k->team, sizeof(k->team), "%s", team);
	k->counter = counter;
	v->key[v->n] = k;
	return v->n++;
}

uint32_t verify_count(const struct verify *v)
{
	return v->n;
}

const char *verify_name(const struct verify *v, uint32_t key)
{
	return v->key[key]->name;
}

bool verify_touched(const struct verify *v, uint32_t key)
{
	return v->key[key]->touched;
}

void verify_begin(struct verify *v, uint32_t key, int64_t amount)
{
	v->key[key]->open += amount;
	v->key[key]->touched = true;
}

void verify_not_run(struct verify *v, uint32_t key, int64_t amount)
{
	v->key[key]->open -= amount;
}

void verify_unknown(struct verify *v, uint32_t key, int64_t amount)
{
	v->key[key]->open -= amount;
	v->key[key]->unknown += amount;
}

/* Checks the one row that a write answers with, and raises the floor. */
enum violation verify_done(struct verify *v, uint32_t key, int64_t amount,
			   const struct verify_row *rows, size_t n, usec_t now,
			   int64_t *floor)
{
	struct key_record *k = v->key[key];
	enum violation bad = check_key(k, rows, n);
	int64_t value = n ? rows[0].value : 0;

	if (bad == VIOLATION_NONE && n == 0)
		bad = VIOLATION_MIXED;
	if (bad == VIOLATION_NONE && value < *floor + amount)
		bad = VIOLATION_LOST;
	if (bad == VIOLATION_NONE && !possible(k, value))
		bad = VIOLATION_DOUBLED;
	k->open -= amount;
	k->acked += amount;
	if (bad != VIOLATION_NONE)
		return bad;
	*floor = value;
	note_ack(k, now, value);
	return VIOLATION_NONE;
}

void verify_done_blind(struct verify *v, uint32_t key, int64_t amount)
{
	v->key[key]->open -= amount;
	v->key[key]->acked += amount;
}

enum violation verify_read(struct verify *v, uint32_t key,
			   const struct verify_row *rows, size_t n, usec_t sent,
			   usec_t max_age, usec_t age, int64_t *floor)
{
	const struct key_record *k = v->key[key];
	enum violation bad = check_key(k, rows, n);
	int64_t value = n ? rows[0].value : 0;

	if (bad != VIOLATION_NONE)
		return bad;
	if (value < *floor || value < least_by(k, sent - max_age))
		return VIOLATION_STALE;
	if (age > max_age)
		return VIOLATION_STALE;
	if (!possible(k, value))
		return VIOLATION_DOUBLED;
	*floor = value;
	return VIOLATION_NONE;
}

enum violation verify_list(const char *prefix, const char *team,
			   const struct verify_row *rows, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!names_team(rows[i].key, team))
			return VIOLATION_TEAM;
		if (strncmp(rows[i].key, prefix, strlen(prefix)) != 0)
			return VIOLATION_MIXED;
	}
	return VIOLATION_NONE;
}

enum violation verify_final(struct verify *v, uint32_t key,
			    const struct verify_row *rows, size_t n)
{
	const struct key_record *k = v->key[key];
	enum violation bad = check_key(k, rows, n);
	int64_t value = n ? rows[0].value : 0;

	if (bad != VIOLATION_NONE)
		return bad;
	if (value < k->acked)
		return VIOLATION_LOST;
	return possible(k, value) ? VIOLATION_NONE : VIOLATION_DOUBLED;
}

const char *violation_name(enum violation kind)
{
	return names[kind];
}

/* At most one row, of this key, an integer. */
static enum violation check_key(const struct key_record *k,
				const struct verify_row *rows, size_t n)
{
	if (n == 0)
		return VIOLATION_NONE;
	if (!names_team(rows[0].key, k->team))
		return VIOLATION_TEAM;
	if (n != 1 || strcmp(rows[0].key, k->name) != 0 || !rows[0].integer)
		return VIOLATION_MIXED;
	return VIOLATION_NONE;
}

static bool names_team(const char *key, const char *team)
{
	char part[NAME_MAX_BYTES + 2];

	snprintf(part, sizeof(part), "/%s/", team);
	return strstr(key, part) != NULL;
}

/* Can the key hold this, with what is done, unknown and in flight? */
static bool possible(const struct key_record *k, int64_t value)
{
	if (k->counter)
		return value <= k->acked + k->unknown + k->open;
	return value == k->acked || value == k->acked + k->unknown ||
	       value == k->acked + k->open;
}

static void note_ack(struct key_record *k, usec_t now, int64_t value)
{
	struct acked_at *last = NULL;

	if (k->n)
		last = &k->history[(k->first + k->n - 1) % HISTORY_MAX];
	if (last && now - last->from < HISTORY_US) {
		last->at = now;
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
	last->at = now;
	last->value = value;
}

/* The highest value known to have been acknowledged by a time, or 0. */
static int64_t least_by(const struct key_record *k, usec_t when)
{
	const struct acked_at *a;
	size_t i;

	for (i = k->n; i-- > 0;) {
		a = &k->history[(k->first + i) % HISTORY_MAX];
		if (a->at <= when)
			return a->value;
	}
	return 0;
}
