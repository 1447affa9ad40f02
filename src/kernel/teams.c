#include "kernel/teams.h"

#include <apr_general.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/object_store.h"
#include "kernel/teams_config.h"
#include "kernel/teams_internal.h"

/* How long the result of fleet_freshness() is cached. */
#define FRESH_CACHE_US (10 * (usec_t)USEC_PER_MSEC)

static int create_locks(struct teams *t);
static void free_shard(struct team_shard *s);
static bool keys_are_fresh(struct teams *t, usec_t now);
static int refuse_stale_keys(struct error *e);
static bool may_use_service(const struct team *team, const char *service);

/* Creates the table of teams and keys; see the header. */
struct teams *teams_create(struct kernel *k)
{
	struct teams *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->kernel = k;
	t->clock = clock_now;
	t->freshness_checked_at = INT64_MIN;
	if (sodium_init() < 0 || create_locks(t) != 0) {
		teams_destroy(t);
		return NULL;
	}
	teams_subscribe(t, k->store);
	return t;
}

/* Frees the table. Neither it nor its store may be in use any more. */
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

/*
 * Sets the function that sends messages. Called before the first teams_admit().
 */
void teams_set_transport(struct teams *t, teams_send_fn send, void *ctx)
{
	t->send = send;
	t->send_ctx = ctx;
}

/*
 * Authenticates a caller; see the header. Freshness is checked first, so that a
 * VM that is cut off does not report a new key as unknown.
 */
int teams_check_key(struct kernel *k, const char *secret, const char *service,
		    struct team_auth *out, struct error *e)
{
	struct teams *t = k->teams;
	uint8_t hash[KEY_HASH_BYTES];
	const struct keyring_key *key;
	struct key_shard *ks;
	bool known;

	if (!keys_are_fresh(t, t->clock()))
		return refuse_stale_keys(e);
	if (strlen(secret) > KEY_SECRET_MAX)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "unknown key");
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
				 "unknown key");
	return teams_authorize(t, service, out, e);
}

/* Checks that an accepted key is still valid; see the header. */
int teams_recheck_key(struct kernel *k, const char *team, const char *key_id,
		      struct error *e)
{
	struct teams *t = k->teams;
	struct team_shard *s = teams_shard(t, team);
	const struct team *found;
	bool valid = false;
	uint32_t i;

	if (!keys_are_fresh(t, t->clock()))
		return refuse_stale_keys(e);
	apr_thread_mutex_lock(s->lock);
	found = teams_find(s, team);
	for (i = 0; found && i < found->n_keys; i++) {
		if (strcmp(found->keys[i].id, key_id) == 0)
			valid = !found->keys[i].withdrawn;
	}
	apr_thread_mutex_unlock(s->lock);
	if (!valid)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "the key has been withdrawn");
	return 0;
}

/* Copies the keys that authenticate session tokens; false if none is known. */
bool teams_session_secret(struct kernel *k, uint8_t current[32],
			  uint8_t previous[32], bool *has_previous)
{
	struct teams *t = k->teams;
	bool known;

	apr_thread_mutex_lock(t->secret_lock);
	known = t->has_secret;
	*has_previous = t->has_previous;
	memcpy(current, t->secret, 32);
	memcpy(previous, t->previous, 32);
	apr_thread_mutex_unlock(t->secret_lock);
	return known;
}

/*
 * Checks that the team out->team may use the service and fills in the team's
 * weight and default staleness.
 */
int teams_authorize(struct teams *t, const char *service, struct team_auth *out,
		    struct error *e)
{
	struct team_shard *s = teams_shard(t, out->team);
	const struct team *team;
	bool allowed = false;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, out->team);
	if (team) {
		allowed = may_use_service(team, service);
		out->weight = team->weight;
		out->read_staleness_us =
			(int64_t)team->limits.read_staleness_ms * USEC_PER_MSEC;
	}
	apr_thread_mutex_unlock(s->lock);
	if (!team)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
				 "unknown key");
	if (!allowed)
		return error_set(e, ERR_FORBIDDEN, STEP_KEY, NULL,
				 "the team may not use this service");
	return 0;
}

/* Returns the shard of a team. All teams of one object share it. */
struct team_shard *teams_shard(struct teams *t, const char *team)
{
	return &t->shards[config_team_bucket(team) % TEAM_SHARDS];
}

/* Returns a team by name, or NULL. The shard's lock is held. */
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

/* Frees a team and this VM's share of its limit. */
void teams_free_team(struct team *team)
{
	if (!team)
		return;
	if (team->bucket)
		reconciliation_end(&team->bucket->recount);
	free(team->bucket);
	free(team->services);
	free(team->keys);
	free(team);
}

/* Creates the locks and the keyrings; -1 on failure. */
static int create_locks(struct teams *t)
{
	uint32_t i;

	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&t->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&t->secret_lock, APR_THREAD_MUTEX_DEFAULT,
				    t->pool) != APR_SUCCESS)
		return -1;
	for (i = 0; i < TEAM_SHARDS; i++) {
		escrow_lease_init(&t->shards[i].vm, t->kernel->incarnation);
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

/* Frees a shard's teams. */
static void free_shard(struct team_shard *s)
{
	uint32_t i;

	for (i = 0; i < s->n; i++)
		teams_free_team(s->teams[i]);
	free(s->teams);
	hash_index_free(&s->index);
}

/*
 * Returns whether this VM's data on keys is recent enough to rely on. The
 * result is cached for FRESH_CACHE_US.
 */
static bool keys_are_fresh(struct teams *t, usec_t now)
{
	int64_t at =
		__atomic_load_n(&t->freshness_checked_at, __ATOMIC_ACQUIRE);
	enum freshness_state state;

	if (at != INT64_MIN && now >= at && now - at <= FRESH_CACHE_US)
		return __atomic_load_n(&t->freshness, __ATOMIC_RELAXED) !=
		       FRESH_LAPSED;
	state = fleet_freshness(t->kernel, now);
	__atomic_store_n(&t->freshness, state, __ATOMIC_RELAXED);
	__atomic_store_n(&t->freshness_checked_at, now, __ATOMIC_RELEASE);
	return state != FRESH_LAPSED;
}

/*
 * Sets the error of a request that arrives while the data on keys is stale;
 * returns -1.
 */
static int refuse_stale_keys(struct error *e)
{
	return error_set(e, ERR_STALE_KEYS, STEP_KEY, NULL,
			 "the data on keys is out of date");
}

/* Returns whether the team's list of services has this one. */
static bool may_use_service(const struct team *team, const char *service)
{
	uint32_t i;

	for (i = 0; i < team->n_services; i++) {
		if (strcmp(team->services[i], service) == 0)
			return true;
	}
	return false;
}
