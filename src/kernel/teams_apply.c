#include "kernel/teams_apply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/loop.h"
#include "kernel/store.h"
#include "kernel/teams_own.h"

/* What one version of "teams/BB" is read into before it comes into force. */
struct reading {
	struct team **teams;
	uint32_t n;
	struct keyring_key *keys;
	uint32_t n_keys;
	bool failed;
};

static int check(void *ctx, const char *name, uint64_t version,
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
static void put_keys(struct teams *t, uint32_t object, const struct reading *r);
static void put_teams(struct teams *t, uint32_t object, struct reading *r);
static void put_team(struct teams *t, struct team_shard *s, struct team *next);
static bool add_team(struct team_shard *s, struct team *team);
static void read_exceptions(struct teams *t, const char *body);
static void read_exception(void *ctx, const char *team,
			   const struct limits_patch *p);
static struct limits limits_of(const struct teams *t, const char *team);
static void limit_all(struct teams *t);
static void limit_team(const struct teams *t, struct team *team, usec_t now);
static void *grow(void *table, uint32_t n, size_t size);

/* Subscribes to all that decides about teams; each is checked whole first. */
void teams_subscribe(struct teams *t, struct store *store)
{
	store_subscribe(store, "config/", check, apply_config, t);
	store_subscribe(store, "teams/", check, apply_teams, t);
	store_subscribe(store, "secrets/session", check, apply_secret, t);
}

static int check(void *ctx, const char *name, uint64_t version,
		 const char *body, struct error *e)
{
	(void)ctx;
	(void)version;
	return config_check(name, body, e);
}

/*
 * Brings "teams/BB" into force: first the keys, so that a withdrawal counts
 * at once, then the teams.
 */
static void apply_teams(void *ctx, const char *name, uint64_t version,
			const char *body)
{
	uint32_t object = (uint32_t)strtoul(name + 6, NULL, 16);
	struct reading r = { 0 };
	struct teams *t = ctx;
	uint32_t i;

	(void)version;
	if (config_teams_each(body, read_team, read_key, &r, NULL) == 0 &&
	    !r.failed) {
		put_keys(t, object, &r);
		put_teams(t, object, &r);
	}
	for (i = 0; i < r.n; i++)
		teams_free_team(r.teams[i]);
	free(r.teams);
	free(r.keys);
}

/* Brings the defaults or the exceptions into force, for all teams. */
static void apply_config(void *ctx, const char *name, uint64_t version,
			 const char *body)
{
	struct teams *t = ctx;

	(void)version;
	switch (config_kind_of(name)) {
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
	limit_all(t);
}

/* Brings the keys of session tokens into force. */
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

/* Reads one team, without its keys yet. */
static void read_team(void *ctx, const struct team_config *c)
{
	struct reading *r = ctx;
	struct team *team = calloc(1, sizeof(*team));
	void *p = grow(r->teams, r->n, sizeof(struct team *));

	if (p)
		r->teams = p;
	if (!team || !p) {
		free(team);
		r->failed = true;
		return;
	}
	r->teams[r->n++] = team;
	snprintf(team->name, sizeof(team->name), "%s", c->team);
	team->object = config_team_bucket(c->team);
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

/* Reads one key of the team read last. */
static void read_key(void *ctx, const char *team, const char *key_id,
		     const uint8_t hash[32], bool withdrawn)
{
	struct reading *r = ctx;
	struct team *last;
	struct team_key *keys;
	void *p;

	if (r->failed || r->n == 0)
		return;
	last = r->teams[r->n - 1];
	keys = grow(last->keys, last->n_keys, sizeof(*keys));
	if (keys)
		last->keys = keys;
	p = grow(r->keys, r->n_keys, sizeof(*r->keys));
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

/* Replaces the object's keys in each shard of the ring. */
static void put_keys(struct teams *t, uint32_t object, const struct reading *r)
{
	struct keyring_key *own = calloc(r->n_keys + 1, sizeof(*own));
	uint32_t shard;
	uint32_t i;

	for (shard = 0; own && shard < KEY_SHARDS; shard++) {
		struct key_shard *s = &t->keys[shard];
		uint32_t n = 0;

		for (i = 0; i < r->n_keys; i++) {
			if (r->keys[i].hash[0] % KEY_SHARDS == shard)
				own[n++] = r->keys[i];
		}
		apr_thread_mutex_lock(s->lock);
		keyring_replace(s->ring, object, own, n);
		apr_thread_mutex_unlock(s->lock);
	}
	free(own);
}

/* Replaces the object's teams, which are all in one shard. */
static void put_teams(struct teams *t, uint32_t object, struct reading *r)
{
	struct team_shard *s = &t->shards[object % TEAM_SHARDS];
	uint32_t i;

	t->mark++;
	apr_thread_mutex_lock(s->lock);
	for (i = 0; i < r->n; i++) {
		put_team(t, s, r->teams[i]);
		r->teams[i] = NULL;
	}
	for (i = 0; i < s->n; i++) {
		struct team *team = s->teams[i];

		if (!team || team->object != object || team->mark == t->mark)
			continue;
		hash_index_remove(&s->index, hash_name(team->name), i);
		if (team->bucket && team->bucket->busy)
			__atomic_sub_fetch(&s->busy, 1, __ATOMIC_RELAXED);
		teams_free_team(team);
		s->teams[i] = NULL;
	}
	apr_thread_mutex_unlock(s->lock);
}

/* Adds a team, or changes the one of its name, which keeps its bucket. */
static void put_team(struct teams *t, struct team_shard *s, struct team *next)
{
	struct team *team = teams_find(s, next->name);

	next->mark = t->mark;
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
	limit_team(t, team, t->clock());
}

/* Puts a new team into the shard's table; false without memory. */
static bool add_team(struct team_shard *s, struct team *team)
{
	uint32_t i;
	void *p;

	for (i = 0; i < s->n && s->teams[i]; i++)
		;
	if (i == s->room) {
		uint32_t room = s->room ? s->room * 2 : 8;

		p = realloc(s->teams, room * sizeof(void *));
		if (!p)
			return false;
		s->teams = p;
		s->room = room;
	}
	if (!hash_index_put(&s->index, hash_name(team->name), i))
		return false;
	s->teams[i] = team;
	if (i == s->n)
		s->n++;
	return true;
}

/* Replaces the table of exceptions; without memory the former one stays. */
static void read_exceptions(struct teams *t, const char *body)
{
	struct teams next = { 0 };

	if (config_exceptions_each(body, read_exception, &next, NULL) != 0) {
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

static void read_exception(void *ctx, const char *team,
			   const struct limits_patch *p)
{
	struct teams *t = ctx;
	struct exception_entry *x;
	void *table =
		grow(t->exceptions, t->n_exceptions, sizeof(*t->exceptions));

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

/* A team's limits as configured now. */
static struct limits limits_of(const struct teams *t, const char *team)
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
	return config_effective(&t->defaults, p);
}

/* Sets the limits of all teams anew. Takes the locks in turn. */
static void limit_all(struct teams *t)
{
	usec_t now = t->clock();
	uint32_t shard;
	uint32_t i;

	for (shard = 0; shard < TEAM_SHARDS; shard++) {
		struct team_shard *s = &t->shards[shard];

		apr_thread_mutex_lock(s->lock);
		for (i = 0; i < s->n; i++) {
			if (s->teams[i])
				limit_team(t, s->teams[i], now);
		}
		apr_thread_mutex_unlock(s->lock);
	}
}

/* Sets a team's limits; the shard's lock is held. */
static void limit_team(const struct teams *t, struct team *team, usec_t now)
{
	struct escrow_limit l;

	team->limits = limits_of(t, team->name);
	if (!team->bucket)
		return;
	l.rate_per_s = team->limits.rate_per_s;
	l.burst = team->limits.burst;
	escrow_set_limit(&team->bucket->escrow, &l, now);
}

/* A table with room for one more entry than n; grows by powers of two. */
static void *grow(void *table, uint32_t n, size_t size)
{
	if (n & (n - 1))
		return table;
	return realloc(table, (n ? 2 * (size_t)n : 1) * size);
}
