#include "kernel/engine_own.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/plugin.h"
#include "kernel/store.h"

#define ROUTE_WAIT_MAX	   (3 * USEC_PER_MSEC)
#define ROUTE_WAIT_STEP	   (1 * USEC_PER_MSEC)
#define PRIMARY_GUARD	   (2 * USEC_PER_SEC)
#define DEPARTING_WORK	   (2 * USEC_PER_SEC)
#define CLOCK_RATE_PPM	   200
#define RETRY_SHARE	   100 /* per thousand answered requests */
#define RETRY_BURST	   50
#define RETRY_BASE	   (2 * USEC_PER_MSEC)
#define RETRY_CAP	   (50 * USEC_PER_MSEC)
#define RETRY_ATTEMPTS	   5
#define PROBES_PER_SUSPECT 4 /* lost ones, until a primary is suspected */
#define PROBE_BUSY	   (1 * USEC_PER_MSEC)
#define PROBE_ACTIVE_FOR   (5 * USEC_PER_SEC)
#define PROBE_IDLE_TIMES   10
#define PROBE_BACKOFF_MAX  USEC_PER_SEC
#define PROMOTE_CALL	   (50 * USEC_PER_MSEC)
#define PROMOTE_OPINION	   (100 * USEC_PER_MSEC)
#define PROMOTE_PHASE	   (2 * USEC_PER_SEC)
#define PROMOTE_BACKOFF	   (300 * USEC_PER_MSEC)
#define PROMOTE_PAUSE	   (500 * USEC_PER_MSEC)
#define PROMOTE_UNFOLLOWED (2 * USEC_PER_SEC)
#define PROMOTE_AHEAD	   2
#define HANDOVER_SETTLE	   (5 * USEC_PER_MSEC)
#define HANDOVER_HOLD_MAX  USEC_PER_SEC
#define HANDOVER_RETRY_MIN (2 * USEC_PER_SEC)
#define HANDOVER_RETRY_MAX (60 * USEC_PER_SEC)

static int start(struct kernel *k, struct error *e);
static bool drained(struct kernel *k);
static void stop(struct kernel *k);
static void set_policies(struct engine *e);
static int start_shard(struct engine *e, struct shard *s, uint32_t i,
		       struct error *err);
static void on_group_object(void *ctx, const char *name, uint64_t version,
			    const char *body);
static int check_group_object(void *ctx, const char *name, uint64_t version,
			      const char *body, struct error *e);
static json_t *status_of(const struct group *g);

/* One version of one group's object on its way to its shard. */
struct object_news {
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
	.drained = drained,
	.stop = stop,
};
PLUGIN_REGISTER(plugin)

/* Takes over a request and runs it on its group's shard. Any thread. */
void engine_submit(struct kernel *k, struct request *r)
{
	struct shard *s = engine_shard(k->engine, r->service);

	r->engine = s;
	__atomic_add_fetch(&s->runs, 1, __ATOMIC_RELAXED);
	loop_post(s->loop, run_start, r);
}

/* The groups' state as a JSON object, malloc'd. Takes the shards' locks. */
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
			json_object_set_new(o, g->service, status_of(g));
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

/* Gives a shard's lock back. */
void shard_unlock(struct shard *s)
{
	apr_thread_mutex_unlock(s->lock);
}

/* A random number; the library is asked for many at once. Shard's lock. */
uint64_t shard_random(struct shard *s)
{
	if (s->random_left == 0) {
		randombytes_buf(s->random, sizeof(s->random));
		s->random_left = RANDOM_WORDS;
	}
	return s->random[--s->random_left];
}

/* The shard that a service's group lives in. */
struct shard *engine_shard(struct engine *e, const char *service)
{
	return &e->shards[XXH3_64bits(service, strlen(service)) % e->n];
}

/* A service's group, or NULL. Shard's lock. */
struct group *shard_group(struct shard *s, const char *service)
{
	return apr_hash_get(s->by_service, service, APR_HASH_KEY_STRING);
}

/* Makes an id that no other change has. */
void change_id_make(const struct kernel *k, char id[CHANGE_ID_BYTES])
{
	unsigned char b[12];
	char hex[2 * sizeof(b) + 1];

	randombytes_buf(b, sizeof(b));
	sodium_bin2hex(hex, sizeof(hex), b, sizeof(b));
	snprintf(id, CHANGE_ID_BYTES, "%.32s-%s", k->settings.vm, hex);
}

/* Starts the shards' threads and follows the groups' objects. */
static int start(struct kernel *k, struct error *e)
{
	struct engine *g = calloc(1, sizeof(*g));
	uint32_t i;

	if (!g || apr_pool_create(&g->pool, NULL) != APR_SUCCESS) {
		free(g);
		return error_set(e, ERR_SYSTEM, STEP_NONE, "", "no memory");
	}
	g->kernel = k;
	g->n = k->settings.shards;
	g->shards = calloc(g->n, sizeof(*g->shards));
	if (!g->shards)
		return error_set(e, ERR_SYSTEM, STEP_NONE, "", "no memory");
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

/* Are all requests answered and all transactions ended? */
static bool drained(struct kernel *k)
{
	struct engine *e = k->engine;
	uint32_t i, n = 0;

	for (i = 0; i < e->n; i++) {
		n += __atomic_load_n(&e->shards[i].runs, __ATOMIC_RELAXED);
		n += __atomic_load_n(&e->shards[i].transactions,
				     __ATOMIC_RELAXED);
	}
	return n == 0;
}

/* Ends the shards' threads; requests still open are answered by then. */
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

/* The decisions' policies, from the settings. */
static void set_policies(struct engine *e)
{
	const struct settings *s = &e->kernel->settings;
	usec_t fresh = (usec_t)s->replica_fresh_ms * USEC_PER_MSEC;
	usec_t probe = (usec_t)s->probe_ms * USEC_PER_MSEC;

	e->route = (struct route_policy){
		.view_max_age_us = fresh,
		.wait_max_us = ROUTE_WAIT_MAX,
		.wait_step_us = ROUTE_WAIT_STEP,
		.guard_us = PRIMARY_GUARD,
		.departing_us = DEPARTING_WORK,
		.clock_rate_ppm = CLOCK_RATE_PPM,
	};
	e->confirm = (struct confirm_policy){
		.replica_fresh_us = fresh,
		.clock_rate_ppm = CLOCK_RATE_PPM,
	};
	e->retry = (struct retry_policy){
		.share_permille = RETRY_SHARE,
		.burst = RETRY_BURST,
		.base_us = RETRY_BASE,
		.cap_us = RETRY_CAP,
		.attempts_max = RETRY_ATTEMPTS,
	};
	e->probe = (struct probe_policy){
		.busy_us = PROBE_BUSY,
		.active_us = probe,
		.idle_us = probe * PROBE_IDLE_TIMES,
		.active_for_us = PROBE_ACTIVE_FOR,
		.reply_us = (usec_t)s->suspect_ms * USEC_PER_MSEC /
			    PROBES_PER_SUSPECT,
		.backoff_max_us = PROBE_BACKOFF_MAX,
	};
	e->promote = (struct promote_policy){
		.suspect_us = (usec_t)s->suspect_ms * USEC_PER_MSEC,
		.stagger_us = (usec_t)s->promote_stagger_ms * USEC_PER_MSEC,
		.opinion_us = PROMOTE_OPINION,
		.call_us = PROMOTE_CALL,
		.phase_us = PROMOTE_PHASE,
		.backoff_us = PROMOTE_BACKOFF,
		.pause_us = PROMOTE_PAUSE,
		.unfollowed_us = PROMOTE_UNFOLLOWED,
		.replica_fresh_us = fresh,
		.ahead_ranks = PROMOTE_AHEAD,
		.clock_rate_ppm = CLOCK_RATE_PPM,
		.handover = {
			.settle_us = HANDOVER_SETTLE,
			.hold_max_us = HANDOVER_HOLD_MAX,
			.retry_min_us = HANDOVER_RETRY_MIN,
			.retry_max_us = HANDOVER_RETRY_MAX,
		},
	};
}

/* Starts one shard. */
static int start_shard(struct engine *e, struct shard *s, uint32_t i,
		       struct error *err)
{
	char name[NAME_MAX_BYTES];

	s->engine = e;
	s->kernel = e->kernel;
	if (apr_pool_create(&s->pool, e->pool) != APR_SUCCESS)
		return error_set(err, ERR_SYSTEM, STEP_NONE, "", "no memory");
	s->by_service = apr_hash_make(s->pool);
	s->by_tx = apr_hash_make(s->pool);
	run_list_init(&s->forwarded);
	if (apr_thread_mutex_create(&s->lock, APR_THREAD_MUTEX_DEFAULT,
				    s->pool) != APR_SUCCESS)
		return error_set(err, ERR_SYSTEM, STEP_NONE, "", "no lock");
	snprintf(name, sizeof(name), "shard-%u", i);
	s->loop = loop_create(name, err);
	if (!s->loop)
		return -1;
	return loop_start(s->loop, err);
}

/* Refuses an object that is no group before it comes into force. */
static int check_group_object(void *ctx, const char *name, uint64_t version,
			      const char *body, struct error *e)
{
	(void)ctx;
	(void)version;
	return config_check(name, body, e);
}

/* Runs on the shard's loop: applies one version of a group's object. */
static void apply_object(void *ctx)
{
	struct object_news *n = ctx;

	shard_lock(n->shard);
	group_apply(n->shard, n->name, n->version, n->body);
	shard_unlock(n->shard);
	free(n->body);
	free(n);
}

/* Hands a group's object to the shard it lives in. Any thread. */
static void on_group_object(void *ctx, const char *name, uint64_t version,
			    const char *body)
{
	struct engine *e = ctx;
	struct object_news *n = calloc(1, sizeof(*n));

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

/* One group's state. Shard's lock. */
static json_t *status_of(const struct group *g)
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
				(json_int_t)(d->known ? (now - d->heard_at) /
								USEC_PER_MSEC
						      : -1),
				"fence_term", (json_int_t)d->fence_term,
				"log_term", (json_int_t)d->end.term, "position",
				(json_int_t)d->end.position, "departing",
				d->state == DB_DEPARTING, "age_us",
				(json_int_t)route_age(v, i, CLOCK_RATE_PPM,
						      now)));
	}
	return json_pack("{s:I,s:s,s:I,s:s,s:b,s:I,s:I,s:o}", "term",
			 (json_int_t)v->term, "primary", primary, "version",
			 (json_int_t)g->version, "promotion",
			 promote_phase_name(g->promote.phase), "held",
			 (int)g->held, "waiting",
			 (json_int_t)admit_waiting(g->primary), "confirming",
			 (json_int_t)g->confirms, "databases", dbs);
}
