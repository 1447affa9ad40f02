#include "kernel/engine_internal.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/plugin.h"
#include "kernel/object_store.h"

/*
 * How long a read waits for a replica before it goes to the primary, and how
 * often a request that waits is routed again.
 */
#define ROUTE_WAIT_MAX_US	  (3 * USEC_PER_MSEC)
#define ROUTE_RECHECK_INTERVAL_US (1 * USEC_PER_MSEC)
/* A primary serves if a majority has reported its term this recently. */
#define PRIMARY_GUARD_US (2 * USEC_PER_SEC)
/* A departing primary still accepts work for this long. */
#define DEPARTING_WORK_US	 (2 * USEC_PER_SEC)
#define CLOCK_RATE_PPM		 200 /* bound on the drift between two clocks */
#define RETRY_SHARE_PERMILLE	 100 /* retries per thousand responses */
#define RETRY_BURST		 50
#define RETRY_BACKOFF_BASE_US	 (2 * USEC_PER_MSEC)
#define RETRY_BACKOFF_MAX_US	 (50 * USEC_PER_MSEC)
#define RETRY_ATTEMPTS_MAX	 5
#define PROBES_PER_SUSPECT	 4 /* lost ones until a primary is suspected */
#define PROBE_CONFIRM_US	 (1 * USEC_PER_MSEC) /* while writes wait */
#define PROBE_ACTIVE_FOR_US	 (5 * USEC_PER_SEC)  /* after last use */
#define PROBE_IDLE_FACTOR	 10 /* longer interval for groups not in use */
#define PROBE_BACKOFF_MAX_US	 USEC_PER_SEC
#define PROMOTE_CALL_TIMEOUT_US	 (50 * USEC_PER_MSEC)
#define PROMOTE_OPINION_WAIT_US	 (100 * USEC_PER_MSEC)
#define PROMOTE_PHASE_TIMEOUT_US (2 * USEC_PER_SEC)
#define PROMOTE_BACKOFF_MIN_US	 (300 * USEC_PER_MSEC)
/* A promotion discards its evidence after a longer gap between ticks. */
#define PROMOTE_TICK_GAP_MAX_US (500 * USEC_PER_MSEC)
#define PROMOTE_NO_REPLICA_US	(2 * USEC_PER_SEC)
#define PROMOTE_RESERVING_RANKS 2 /* VMs that reserve a term in advance */
#define HANDOVER_SETTLE_US	(5 * USEC_PER_MSEC)
#define HANDOVER_HOLD_MAX_US	USEC_PER_SEC
#define HANDOVER_RETRY_MIN_US	(2 * USEC_PER_SEC)
#define HANDOVER_RETRY_MAX_US	(60 * USEC_PER_SEC)

static int start(struct kernel *k, struct error *e);
static bool is_drained(struct kernel *k);
static void stop(struct kernel *k);
static void set_policies(struct engine *e);
static int start_shard(struct engine *e, struct shard *s, uint32_t i,
		       struct error *err);
static void on_group_object(void *ctx, const char *name, uint64_t version,
			    const char *body);
static int check_group_object(void *ctx, const char *name, uint64_t version,
			      const char *body, struct error *e);
static json_t *group_status(const struct group *g);

/* One version of a group's object on its way to its shard. */
struct object_update {
	struct shard *shard;
	char name[CONFIG_OBJECT_NAME_BYTES];
	uint64_t version;
	char *body;
};

static struct plugin plugin = {
	.name = "engine",
	.rank = RANK_ENGINE,
	.form = FORM_HTTP,
	.start = start,
	.drained = is_drained,
	.stop = stop,
};
PLUGIN_REGISTER(plugin)

/*
 * Takes over a request and posts it to the loop of its group's shard. Any
 * thread.
 */
void engine_submit(struct kernel *k, struct request *r)
{
	struct shard *s = engine_shard(k->engine, r->service);

	r->owner_shard = s;
	__atomic_add_fetch(&s->requests, 1, __ATOMIC_RELAXED);
	loop_post(s->loop, exec_start, r);
}

/*
 * Returns the state of all groups as a JSON object that the caller frees. Takes
 * the shards' locks in turn.
 */
char *engine_status(struct kernel *k)
{
	struct engine *e = k->engine;
	json_t *o = json_object();
	struct group *g;
	uint32_t i;
	char *text;

	for (i = 0; i < e->n; i++) {
		shard_lock(&e->shards[i]);
		for (g = e->shards[i].groups; g; g = g->next)
			json_object_set_new(o, g->service, group_status(g));
		shard_unlock(&e->shards[i]);
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Takes a shard's lock. */
void shard_lock(struct shard *s)
{
	apr_thread_mutex_lock(s->lock);
}

/* Releases a shard's lock. */
void shard_unlock(struct shard *s)
{
	apr_thread_mutex_unlock(s->lock);
}

/*
 * Returns a random number. Draws RANDOM_WORDS at once from the library, to save
 * calls. The shard's lock is held.
 */
uint64_t shard_random(struct shard *s)
{
	if (s->random_left == 0) {
		randombytes_buf(s->random, sizeof(s->random));
		s->random_left = RANDOM_WORDS;
	}
	return s->random[--s->random_left];
}

/* Returns the shard that a service's group belongs to. */
struct shard *engine_shard(struct engine *e, const char *service)
{
	return &e->shards[XXH3_64bits(service, strlen(service)) % e->n];
}

/* Returns a service's group, or NULL. The shard's lock is held. */
struct group *shard_group(struct shard *s, const char *service)
{
	return apr_hash_get(s->by_service, service, APR_HASH_KEY_STRING);
}

/*
 * Generates a change id from the VM's name, cut to 32 bytes, and 12 random
 * bytes in hex.
 */
void change_id_generate(const struct kernel *k, char id[CHANGE_ID_BYTES])
{
	unsigned char b[12];
	char hex[2 * sizeof(b) + 1];

	randombytes_buf(b, sizeof(b));
	sodium_bin2hex(hex, sizeof(hex), b, sizeof(b));
	snprintf(id, CHANGE_ID_BYTES, "%.32s-%s", k->settings.vm, hex);
}

/* Starts the shards' threads and subscribes to the groups' objects. */
static int start(struct kernel *k, struct error *e)
{
	struct engine *g = calloc(1, sizeof(*g));
	uint32_t i;

	if (!g || apr_pool_create(&g->pool, NULL) != APR_SUCCESS) {
		free(g);
		return error_set(e, ERR_SYSTEM, STEP_NONE, "", "out of memory");
	}
	g->kernel = k;
	g->n = k->settings.shards;
	g->shards = calloc(g->n, sizeof(*g->shards));
	if (!g->shards)
		return error_set(e, ERR_SYSTEM, STEP_NONE, "", "out of memory");
	set_policies(g);
	for (i = 0; i < g->n; i++) {
		if (start_shard(g, &g->shards[i], i, e))
			return -1;
	}
	k->engine = g;
	group_peer_start(g);
	forward_start(g);
	store_subscribe(k->store, "groups/", check_group_object,
			on_group_object, g);
	return 0;
}

/* Returns true once all requests are answered and all transactions ended. */
static bool is_drained(struct kernel *k)
{
	struct engine *e = k->engine;
	uint32_t i, n = 0;

	for (i = 0; i < e->n; i++) {
		n += __atomic_load_n(&e->shards[i].requests, __ATOMIC_RELAXED);
		n += __atomic_load_n(&e->shards[i].transactions,
				     __ATOMIC_RELAXED);
	}
	return n == 0;
}

/*
 * Stops the shards' threads and frees everything. All requests must have been
 * answered.
 */
static void stop(struct kernel *k)
{
	struct engine *e = k->engine;
	struct group *g;
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		loop_stop(e->shards[i].loop);
		while ((g = e->shards[i].groups)) {
			e->shards[i].groups = g->next;
			group_destroy(g);
		}
		loop_destroy(e->shards[i].loop);
	}
	k->engine = NULL;
	apr_pool_destroy(e->pool);
	free(e->shards);
	free(e);
}

/* Fills in the policies of the decision modules from the settings. */
static void set_policies(struct engine *e)
{
	const struct settings *s = &e->kernel->settings;
	usec_t fresh = (usec_t)s->replica_fresh_ms * USEC_PER_MSEC;
	usec_t probe = (usec_t)s->probe_ms * USEC_PER_MSEC;

	e->route = (struct route_policy){
		.view_max_age_us = fresh,
		.wait_max_us = ROUTE_WAIT_MAX_US,
		.wait_step_us = ROUTE_RECHECK_INTERVAL_US,
		.guard_us = PRIMARY_GUARD_US,
		.departing_us = DEPARTING_WORK_US,
		.clock_rate_ppm = CLOCK_RATE_PPM,
	};
	e->confirm = (struct write_quorum_policy){
		.replica_fresh_us = fresh,
		.clock_rate_ppm = CLOCK_RATE_PPM,
	};
	e->retry = (struct retry_policy){
		.share_permille = RETRY_SHARE_PERMILLE,
		.burst = RETRY_BURST,
		.base_us = RETRY_BACKOFF_BASE_US,
		.cap_us = RETRY_BACKOFF_MAX_US,
		.attempts_max = RETRY_ATTEMPTS_MAX,
	};
	e->probe = (struct health_probe_policy){
		.busy_us = PROBE_CONFIRM_US,
		.active_us = probe,
		.idle_us = probe * PROBE_IDLE_FACTOR,
		.active_for_us = PROBE_ACTIVE_FOR_US,
		.reply_us = (usec_t)s->suspect_ms * USEC_PER_MSEC /
			    PROBES_PER_SUSPECT,
		.backoff_max_us = PROBE_BACKOFF_MAX_US,
	};
	e->promote = (struct promote_policy){
		.suspect_us = (usec_t)s->suspect_ms * USEC_PER_MSEC,
		.stagger_us = (usec_t)s->promote_stagger_ms * USEC_PER_MSEC,
		.opinion_us = PROMOTE_OPINION_WAIT_US,
		.retry_us = PROMOTE_CALL_TIMEOUT_US,
		.phase_us = PROMOTE_PHASE_TIMEOUT_US,
		.backoff_us = PROMOTE_BACKOFF_MIN_US,
		.pause_us = PROMOTE_TICK_GAP_MAX_US,
		.unfollowed_us = PROMOTE_NO_REPLICA_US,
		.replica_fresh_us = fresh,
		.reserving_ranks = PROMOTE_RESERVING_RANKS,
		.clock_rate_ppm = CLOCK_RATE_PPM,
		.handover = {
			.settle_us = HANDOVER_SETTLE_US,
			.hold_max_us = HANDOVER_HOLD_MAX_US,
			.retry_min_us = HANDOVER_RETRY_MIN_US,
			.retry_max_us = HANDOVER_RETRY_MAX_US,
		},
	};
}

/* Initialises shard number i and starts its thread. */
static int start_shard(struct engine *e, struct shard *s, uint32_t i,
		       struct error *err)
{
	char name[NAME_MAX_BYTES];

	s->engine = e;
	s->kernel = e->kernel;
	if (apr_pool_create(&s->pool, e->pool) != APR_SUCCESS)
		return error_set(err, ERR_SYSTEM, STEP_NONE, "",
				 "out of memory");
	s->by_service = apr_hash_make(s->pool);
	s->by_tx = apr_hash_make(s->pool);
	exec_list_init(&s->forwarded);
	if (apr_thread_mutex_create(&s->lock, APR_THREAD_MUTEX_DEFAULT,
				    s->pool) != APR_SUCCESS)
		return error_set(err, ERR_SYSTEM, STEP_NONE, "",
				 "cannot create the lock");
	snprintf(name, sizeof(name), "shard-%u", i);
	s->loop = loop_create(name, err);
	if (!s->loop)
		return -1;
	return loop_start(s->loop, err);
}

/* Checks a group's object before it is applied; -1 refuses it. */
static int check_group_object(void *ctx, const char *name, uint64_t version,
			      const char *body, struct error *e)
{
	(void)ctx;
	(void)version;
	return config_check(name, body, e);
}

/*
 * Applies one version of a group's object. Runs on the shard's loop; takes the
 * shard's lock.
 */
static void apply_object(void *ctx)
{
	struct object_update *n = ctx;

	shard_lock(n->shard);
	group_apply(n->shard, n->name, n->version, n->body);
	shard_unlock(n->shard);
	free(n->body);
	free(n);
}

/* Posts a group's object to the shard it belongs to. Any thread. */
static void on_group_object(void *ctx, const char *name, uint64_t version,
			    const char *body)
{
	struct engine *e = ctx;
	struct object_update *n = calloc(1, sizeof(*n));

	if (!n)
		abort();
	n->shard = engine_shard(e, name + strlen("groups/"));
	snprintf(n->name, sizeof(n->name), "%s", name);
	n->version = version;
	n->body = strdup(body);
	if (!n->body)
		abort();
	loop_post(n->shard->loop, apply_object, n);
}

/* Returns one group's state as JSON. The shard's lock is held. */
static json_t *group_status(const struct group *g)
{
	const struct group_view *v = &g->view;
	const char *primary =
		v->primary == DB_NONE ? "" : g->db[v->primary]->name;
	json_t *dbs = json_array();
	usec_t now = clock_now();
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		const struct db_view *d = &v->db[i];

		json_array_append_new(
			dbs,
			json_pack(
				"{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:b,s:I}", "name",
				g->db[i]->name, "address", g->db[i]->address,
				"heard", (int)d->known, "heard_ms_ago",
				(json_int_t)(d->known
						     ? (now - d->responded_at) /
							       USEC_PER_MSEC
						     : -1),
				"fence_term", (json_int_t)d->fence_term,
				"log_term", (json_int_t)d->end.term, "position",
				(json_int_t)d->end.position, "departing",
				d->state == DB_DEPARTING, "age_us",
				(json_int_t)route_staleness(
					v, i, CLOCK_RATE_PPM, now)));
	}
	return json_pack(
		"{s:I,s:s,s:I,s:s,s:b,s:I,s:I,s:o}", "term",
		(json_int_t)v->term, "primary", primary, "version",
		(json_int_t)g->version, "promotion",
		promote_phase_name(g->promote.phase), "held", (int)g->is_held,
		"waiting", (json_int_t)admit_waiting(g->primary_queue),
		"confirming", (json_int_t)g->n_confirming, "databases", dbs);
}
