#include "kernel/teams.h"

#include <apr_general.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/store.h"
#include "kernel/teams_apply.h"
#include "kernel/teams_own.h"

/* A judgement of freshness serves all requests for so long. */
#define FRESH_CACHE_US (10 * (usec_t)USEC_PER_MSEC)

static int make(struct teams *t);
static void free_shard(struct team_shard *s);
static bool fresh(struct teams *t, usec_t now);
static int refuse_stale(struct error *e);
static bool may_use(const struct team *team, const char *service);

/* Makes the table of teams and keys; see the header. */
struct teams *teams_create(struct kernel *k)
{
	struct teams *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->kernel = k;
	t->clock = clock_now;
	t->fresh_at = INT64_MIN;
	if (sodium_init() < 0 || make(t) != 0) {
		teams_destroy(t);
		return NULL;
	}
	teams_subscribe(t, k->store);
	return t;
}

/* Frees the table; nobody may use it or its store any more. */
void teams_destroy(struct teams *t)
{
	uint32_t i;

	if (!t)
		return;
	for (i = 0; i < TEAM_SHARDS; i++)
		free_shard(&t->shards[i]);
	for (i = 0; i < KEY_SHARDS; i++)
		keyring_destroy(t->keys[i].ring);
	hash_index_free(&t->exception_index);
	free(t->exceptions);
	sodium_memzero(t->secret, sizeof(t->secret));
	sodium_memzero(t->previous, sizeof(t->previous));
	if (t->pool)
		apr_pool_destroy(t->pool);
	free(t);
}

/* Sets who carries messages; before the first teams_admit(). */
void teams_carry(struct teams *t, teams_send_fn send, void *ctx)
{
	t->send = send;
	t->send_ctx = ctx;
}

/*
 * Finds the team of a caller's key for a service; see the header. What is
 * known must be fresh first, so that a new key is not called unknown by a VM
 * that is cut off.
 */
int teams_check_key(struct kernel *k, const char *secret, const char *service,
		    struct team_ref *out, struct error *e)
{
	struct teams *t = k->teams;
	uint8_t hash[KEY_HASH_BYTES];
	const struct keyring_key *key;
	struct key_shard *ks;
	bool known;

	if (!fresh(t, t->clock()))
		return refuse_stale(e);
	if (strlen(secret) > KEY_SECRET_MAX)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "no such key");
	key_hash(secret, hash);
	ks = &t->keys[hash[0] % KEY_SHARDS];
	apr_thread_mutex_lock(ks->lock);
	key = keyring_find(ks->ring, hash);
	known = key && !key->withdrawn;
	if (known) {
		memcpy(out->team, key->team, sizeof(out->team));
		memcpy(out->key_id, key->key_id, sizeof(out->key_id));
	}
	apr_thread_mutex_unlock(ks->lock);
	if (!known)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "no such key");
	return teams_fill(t, service, out, e);
}

/* Is the key, found earlier by teams_check_key(), still good? */
int teams_recheck(struct kernel *k, const char *team, const char *key_id,
		  struct error *e)
{
	struct teams *t = k->teams;
	struct team_shard *s = teams_shard(t, team);
	const struct team *found;
	bool live = false;
	uint32_t i;

	if (!fresh(t, t->clock()))
		return refuse_stale(e);
	apr_thread_mutex_lock(s->lock);
	found = teams_find(s, team);
	for (i = 0; found && i < found->n_keys; i++) {
		if (strcmp(found->keys[i].id, key_id) == 0)
			live = !found->keys[i].withdrawn;
	}
	apr_thread_mutex_unlock(s->lock);
	if (!live)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "key withdrawn");
	return 0;
}

/* The keys that authenticate session tokens; false if none is known. */
bool teams_session_secret(struct kernel *k, uint8_t current[32],
			  uint8_t previous[32], bool *has_previous)
{
	struct teams *t = k->teams;
	bool has;

	apr_thread_mutex_lock(t->secret_lock);
	has = t->has_secret;
	*has_previous = t->has_previous;
	memcpy(current, t->secret, 32);
	memcpy(previous, t->previous, 32);
	apr_thread_mutex_unlock(t->secret_lock);
	return has;
}

/* Fills in a team's own fields, if it may use the service. */
int teams_fill(struct teams *t, const char *service, struct team_ref *out,
	       struct error *e)
{
	struct team_shard *s = teams_shard(t, out->team);
	const struct team *team;
	bool may = false;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, out->team);
	if (team) {
		may = may_use(team, service);
		out->weight = team->weight;
		out->read_staleness_us =
			(int64_t)team->limits.read_staleness_ms * USEC_PER_MSEC;
	}
	apr_thread_mutex_unlock(s->lock);
	if (!team)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "no such key");
	if (!may)
		return error_set(e, ERR_FORBIDDEN, STEP_KEY, NULL,
				 "not a service of this team");
	return 0;
}

/* The shard of a team; all teams of one object share it. */
struct team_shard *teams_shard(struct teams *t, const char *team)
{
	return &t->shards[config_team_bucket(team) % TEAM_SHARDS];
}

/* A team by its name, or NULL; the shard's lock is held. */
struct team *teams_find(struct team_shard *s, const char *team)
{
	uint64_t hash = hash_name(team);
	uint32_t cursor;
	uint32_t h;

	for (h = hash_index_first(&s->index, hash, &cursor); h != HANDLE_NONE;
	     h = hash_index_next(&s->index, hash, &cursor)) {
		if (strcmp(s->teams[h]->name, team) == 0)
			return s->teams[h];
	}
	return NULL;
}

/* Frees a team and what this VM holds of its limit. */
void teams_free_team(struct team *team)
{
	if (!team)
		return;
	if (team->bucket)
		recount_end(&team->bucket->recount);
	free(team->bucket);
	free(team->services);
	free(team->keys);
	free(team);
}

/* Makes the locks and rings. */
static int make(struct teams *t)
{
	uint32_t i;

	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&t->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&t->secret_lock, APR_THREAD_MUTEX_DEFAULT,
				    t->pool) != APR_SUCCESS)
		return -1;
	for (i = 0; i < TEAM_SHARDS; i++) {
		escrow_vm_init(&t->shards[i].vm, t->kernel->incarnation);
		if (apr_thread_mutex_create(&t->shards[i].lock,
					    APR_THREAD_MUTEX_DEFAULT,
					    t->pool) != APR_SUCCESS)
			return -1;
	}
	for (i = 0; i < KEY_SHARDS; i++) {
		t->keys[i].ring = keyring_create();
		if (!t->keys[i].ring ||
		    apr_thread_mutex_create(&t->keys[i].lock,
					    APR_THREAD_MUTEX_DEFAULT,
					    t->pool) != APR_SUCCESS)
			return -1;
	}
	return 0;
}

static void free_shard(struct team_shard *s)
{
	uint32_t i;

	for (i = 0; i < s->n; i++)
		teams_free_team(s->teams[i]);
	free(s->teams);
	hash_index_free(&s->index);
}

/* May keys be relied on? One judgement serves for a few milliseconds. */
static bool fresh(struct teams *t, usec_t now)
{
	int64_t at = __atomic_load_n(&t->fresh_at, __ATOMIC_ACQUIRE);
	enum freshness_state state;

	if (at != INT64_MIN && now >= at && now - at <= FRESH_CACHE_US)
		return __atomic_load_n(&t->fresh, __ATOMIC_RELAXED) !=
		       FRESH_LAPSED;
	state = fleet_freshness(t->kernel, now);
	__atomic_store_n(&t->fresh, state, __ATOMIC_RELAXED);
	__atomic_store_n(&t->fresh_at, now, __ATOMIC_RELEASE);
	return state != FRESH_LAPSED;
}

static int refuse_stale(struct error *e)
{
	return error_set(e, ERR_STALE_KEYS, STEP_KEY, NULL,
			 "no recent word on keys");
}

static bool may_use(const struct team *team, const char *service)
{
	uint32_t i;

	for (i = 0; i < team->n_services; i++) {
		if (strcmp(team->services[i], service) == 0)
			return true;
	}
	return false;
}
