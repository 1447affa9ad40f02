#include "kernel/teams_config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/loop.h"
#include "kernel/object_store.h"
#include "kernel/teams_internal.h"

/* The parsed content of one version of "teams/BB", before it is applied. */
struct teams_update {
	struct team **teams;
	uint32_t n;
	struct keyring_key *keys;
	uint32_t n_keys;
	bool failed;
};

static int check_object(void *ctx, const char *name, uint64_t version,
			const char *body, struct error *e);
static void apply_teams(void *ctx, const char *name, uint64_t version,
			const char *body);
static void apply_config(void *ctx, const char *name, uint64_t version,
			 const char *body);
static void apply_secret(void *ctx, const char *name, uint64_t version,
			 const char *body);
static void read_team(void *ctx, const struct team_config *c);
static void read_key(void *ctx, const char *team, const char *key_id,
		     const uint8_t hash[32], bool withdrawn);
static void replace_keys(struct teams *t, uint32_t object,
			 const struct teams_update *r);
static void replace_teams(struct teams *t, uint32_t object,
			  struct teams_update *r);
static void replace_team(struct teams *t, struct team_shard *s,
			 struct team *next);
static bool add_team(struct team_shard *s, struct team *team);
static void read_exceptions(struct teams *t, const char *body);
static void read_exception(void *ctx, const char *team,
			   const struct limits_patch *p);
static struct limits effective_limits(const struct teams *t, const char *team);
static void apply_limits_to_all(struct teams *t);
static void apply_limits(const struct teams *t, struct team *team, usec_t now);
static void *grow_table(void *table, uint32_t n, size_t size);

/*
 * Subscribes to the objects that define teams, limits and secrets. Each is
 * checked as a whole before it is applied.
 */
void teams_subscribe(struct teams *t, struct store *store)
{
	store_subscribe(store, "config/", check_object, apply_config, t);
	store_subscribe(store, "teams/", check_object, apply_teams, t);
	store_subscribe(store, "secrets/session", check_object, apply_secret,
			t);
}

/* Checks an object before it is applied; -1 refuses it. */
static int check_object(void *ctx, const char *name, uint64_t version,
			const char *body, struct error *e)
{
	(void)ctx;
	(void)version;
	return config_check(name, body, e);
}

/*
 * Applies "teams/BB": first the keys, so that a withdrawal takes effect at
 * once, then the teams.
 */
static void apply_teams(void *ctx, const char *name, uint64_t version,
			const char *body)
{
	uint32_t object = (uint32_t)strtoul(name + 6, NULL, 16);
	struct teams_update r = { 0 };
	struct teams *t = ctx;
	uint32_t i;

	(void)version;
	if (config_for_each_team(body, read_team, read_key, &r, NULL) == 0 &&
	    !r.failed) {
		replace_keys(t, object, &r);
		replace_teams(t, object, &r);
	}
	for (i = 0; i < r.n; i++)
		teams_free_team(r.teams[i]);
	free(r.teams);
	free(r.keys);
}

/* Applies the defaults or the exceptions to all teams. */
static void apply_config(void *ctx, const char *name, uint64_t version,
			 const char *body)
{
	struct teams *t = ctx;

	(void)version;
	switch (config_object_kind(name)) {
	case CONFIG_DEFAULTS:
		if (config_defaults_parse(body, &t->defaults, NULL) != 0)
			return;
		t->has_defaults = true;
		break;
	case CONFIG_EXCEPTIONS:
		read_exceptions(t, body);
		break;
	default:
		return;
	}
	apply_limits_to_all(t);
}

/* Applies the keys of session tokens. */
static void apply_secret(void *ctx, const char *name, uint64_t version,
			 const char *body)
{
	struct teams *t = ctx;
	uint8_t current[32] = { 0 };
	uint8_t previous[32] = { 0 };
	bool has_previous = false;

	(void)name;
	(void)version;
	if (config_session_secrets(body, current, previous, &has_previous,
				   NULL) != 0)
		return;
	apr_thread_mutex_lock(t->secret_lock);
	memcpy(t->secret, current, sizeof(current));
	memcpy(t->previous, previous, sizeof(previous));
	t->has_previous = has_previous;
	t->has_secret = true;
	apr_thread_mutex_unlock(t->secret_lock);
}

/* Reads one team without its keys. */
static void read_team(void *ctx, const struct team_config *c)
{
	struct teams_update *r = ctx;
	struct team *team = calloc(1, sizeof(*team));
	void *p = grow_table(r->teams, r->n, sizeof(struct team *));

	if (p)
		r->teams = p;
	if (!team || !p) {
		free(team);
		r->failed = true;
		return;
	}
	r->teams[r->n++] = team;
	snprintf(team->name, sizeof(team->name), "%s", c->team);
	team->object_number = config_team_bucket(c->team);
	team->weight = c->weight;
	if (c->n_services == 0)
		return;
	team->services = calloc(c->n_services, sizeof(*team->services));
	if (!team->services) {
		r->failed = true;
		return;
	}
	memcpy(team->services, c->services,
	       c->n_services * sizeof(*team->services));
	team->n_services = c->n_services;
}

/* Reads one key of the team that was read last. */
static void read_key(void *ctx, const char *team, const char *key_id,
		     const uint8_t hash[32], bool withdrawn)
{
	struct teams_update *r = ctx;
	struct team *last;
	struct team_key *keys;
	void *p;

	if (r->failed || r->n == 0)
		return;
	last = r->teams[r->n - 1];
	keys = grow_table(last->keys, last->n_keys, sizeof(*keys));
	if (keys)
		last->keys = keys;
	p = grow_table(r->keys, r->n_keys, sizeof(*r->keys));
	if (p)
		r->keys = p;
	if (!keys || !p) {
		r->failed = true;
		return;
	}
	snprintf(keys[last->n_keys].id, NAME_MAX_BYTES, "%s", key_id);
	keys[last->n_keys++].withdrawn = withdrawn;
	r->keys[r->n_keys] = (struct keyring_key){ .withdrawn = withdrawn };
	memcpy(r->keys[r->n_keys].hash, hash, KEY_HASH_BYTES);
	snprintf(r->keys[r->n_keys].team, NAME_MAX_BYTES, "%s", team);
	snprintf(r->keys[r->n_keys].key_id, NAME_MAX_BYTES, "%s", key_id);
	r->n_keys++;
}

/* Replaces the object's keys in each shard of the keyring. */
static void replace_keys(struct teams *t, uint32_t object,
			 const struct teams_update *r)
{
	struct keyring_key *shard_keys =
		calloc(r->n_keys + 1, sizeof(*shard_keys));
	uint32_t shard;
	uint32_t i;

	for (shard = 0; shard_keys && shard < KEY_SHARDS; shard++) {
		struct key_shard *s = &t->keys[shard];
		uint32_t n = 0;

		for (i = 0; i < r->n_keys; i++) {
			if (r->keys[i].hash[0] % KEY_SHARDS == shard)
				shard_keys[n++] = r->keys[i];
		}
		apr_thread_mutex_lock(s->lock);
		keyring_replace(s->ring, object, shard_keys, n);
		apr_thread_mutex_unlock(s->lock);
	}
	free(shard_keys);
}

/* Replaces the object's teams, which are all in one shard. */
static void replace_teams(struct teams *t, uint32_t object,
			  struct teams_update *r)
{
	struct team_shard *s = &t->shards[object % TEAM_SHARDS];
	uint32_t i;

	t->generation++;
	apr_thread_mutex_lock(s->lock);
	for (i = 0; i < r->n; i++) {
		replace_team(t, s, r->teams[i]);
		r->teams[i] = NULL;
	}
	for (i = 0; i < s->n; i++) {
		struct team *team = s->teams[i];

		if (!team || team->object_number != object ||
		    team->generation == t->generation)
			continue;
		hash_index_remove(&s->index, hash_name(team->name), i);
		if (team->bucket && team->bucket->needs_tick)
			__atomic_sub_fetch(&s->n_ticking, 1, __ATOMIC_RELAXED);
		teams_free_team(team);
		s->teams[i] = NULL;
	}
	apr_thread_mutex_unlock(s->lock);
}

/* Adds a team, or replaces the one of that name, which keeps its bucket. */
static void replace_team(struct teams *t, struct team_shard *s,
			 struct team *next)
{
	struct team *team = teams_find(s, next->name);

	next->generation = t->generation;
	if (!team) {
		next->create_due = true;
		if (!add_team(s, next)) {
			teams_free_team(next);
			return;
		}
		team = next;
	} else {
		struct team old = *team;

		*team = *next;
		team->bucket = old.bucket;
		team->create_due = old.create_due;
		*next = old;
		next->bucket = NULL;
		teams_free_team(next);
	}
	apply_limits(t, team, t->clock());
}

/* Adds a new team to the shard's table; false if memory is short. */
static bool add_team(struct team_shard *s, struct team *team)
{
	uint32_t i;
	void *p;

	for (i = 0; i < s->n && s->teams[i]; i++)
		;
	if (i == s->capacity) {
		uint32_t capacity = s->capacity ? s->capacity * 2 : 8;

		p = realloc(s->teams, capacity * sizeof(void *));
		if (!p)
			return false;
		s->teams = p;
		s->capacity = capacity;
	}
	if (!hash_index_put(&s->index, hash_name(team->name), i))
		return false;
	s->teams[i] = team;
	if (i == s->n)
		s->n++;
	return true;
}

/*
 * Replaces the table of exceptions. If the body cannot be parsed, the previous
 * table stays.
 */
static void read_exceptions(struct teams *t, const char *body)
{
	struct teams next = { 0 };

	if (config_for_each_exception(body, read_exception, &next, NULL) != 0) {
		hash_index_free(&next.exception_index);
		free(next.exceptions);
		return;
	}
	hash_index_free(&t->exception_index);
	free(t->exceptions);
	t->exceptions = next.exceptions;
	t->n_exceptions = next.n_exceptions;
	t->exception_index = next.exception_index;
}

/* Adds one exception to the table that is being read. */
static void read_exception(void *ctx, const char *team,
			   const struct limits_patch *p)
{
	struct teams *t = ctx;
	struct exception_entry *x;
	void *table = grow_table(t->exceptions, t->n_exceptions,
				 sizeof(*t->exceptions));

	if (!table)
		return;
	t->exceptions = table;
	x = &t->exceptions[t->n_exceptions];
	snprintf(x->team, sizeof(x->team), "%s", team);
	x->patch = *p;
	if (hash_index_put(&t->exception_index, hash_name(team),
			   t->n_exceptions))
		t->n_exceptions++;
}

/* Returns a team's limits: the defaults with the team's exception applied. */
static struct limits effective_limits(const struct teams *t, const char *team)
{
	const struct limits_patch *p = NULL;
	uint64_t hash = hash_name(team);
	uint32_t cursor;
	uint32_t h;

	for (h = hash_index_first(&t->exception_index, hash, &cursor);
	     h != HANDLE_NONE;
	     h = hash_index_next(&t->exception_index, hash, &cursor)) {
		if (strcmp(t->exceptions[h].team, team) == 0)
			p = &t->exceptions[h].patch;
	}
	return config_effective_limits(&t->defaults, p);
}

/* Sets the limits of all teams. Takes the shards' locks in turn. */
static void apply_limits_to_all(struct teams *t)
{
	usec_t now = t->clock();
	uint32_t shard;
	uint32_t i;

	for (shard = 0; shard < TEAM_SHARDS; shard++) {
		struct team_shard *s = &t->shards[shard];

		apr_thread_mutex_lock(s->lock);
		for (i = 0; i < s->n; i++) {
			if (s->teams[i])
				apply_limits(t, s->teams[i], now);
		}
		apr_thread_mutex_unlock(s->lock);
	}
}

/* Sets a team's limits. The shard's lock is held. */
static void apply_limits(const struct teams *t, struct team *team, usec_t now)
{
	struct escrow_limit l;

	team->limits = effective_limits(t, team->name);
	if (!team->bucket)
		return;
	l.rate_per_s = team->limits.rate_per_s;
	l.burst = team->limits.burst;
	escrow_set_limit(&team->bucket->escrow, &l, now);
}

/*
 * Returns a table with space for at least one entry more than n, or NULL.
 * Capacities are powers of two.
 */
static void *grow_table(void *table, uint32_t n, size_t size)
{
	if (n & (n - 1))
		return table;
	return realloc(table, (n ? 2 * (size_t)n : 1) * size);
}
