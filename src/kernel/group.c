#include "kernel/engine_own.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/log.h"
#include "kernel/platform.h"

#define FLEET_SEEN_MAX	64
#define RANK_AGE	USEC_PER_SEC
#define WATCH_RANKS	4 /* VMs that watch a group nobody uses here */
#define TICK_MIN	(1 * USEC_PER_MSEC)
#define TICK_MAX	(50 * USEC_PER_MSEC)
#define UNFOLLOWED_WAIT USEC_PER_SEC
#define TICK_UNWATCHED	(5 * USEC_PER_SEC)

static struct group *group_create(struct shard *s, const char *service);
static struct group_db *db_create(struct group *g,
				  const struct group_db_config *c);
static void db_destroy(struct group_db *db);
static void take_databases(struct group *g, const struct group_config *c);
static struct group_db *take_out(struct group *g, const char *name);
static void limit_queues(struct group *g);
static void send_probe(struct group_db *db, usec_t now);
static void on_probe(struct db_call *c);
static void on_tick(struct group *g);
static bool watched(struct group *g, usec_t now);
static void pump(struct group *g, struct admit *q, usec_t now);
static void expire(struct group *g, struct admit *q, usec_t now);
static void reroute_parked(struct group *g);
static void set_hold(struct group *g, usec_t now);

/*
 * Applies a version of a group's object: its databases, and the published
 * term if it is newer than the one known. Shard's lock; loop thread.
 */
void group_apply(struct shard *s, const char *name, uint64_t version,
		 const char *body)
{
	struct group_config c;
	struct error e = { 0 };
	struct group *g;

	if (config_group_parse(body, &c, &e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		return;
	}
	g = shard_group(s, c.service);
	if (!g)
		g = group_create(s, c.service);
	if (!g || version <= g->version)
		return;
	g->version = version;
	take_databases(g, &c);
	limit_queues(g);
	log_event(EV_CONFIG_APPLIED, "object=%s version=%llu", name,
		  (unsigned long long)version);
	failover_heard(g, c.term, c.primary, true, c.claimed);
	group_view_changed(g);
	group_poke(g);
}

/* Index of a database by name, or DB_NONE. */
uint32_t group_find_db(const struct group *g, const char *name)
{
	uint32_t i;

	for (i = 0; i < g->view.n; i++) {
		if (strcmp(g->db[i]->name, name) == 0)
			return i;
	}
	return DB_NONE;
}

/* Since when the primary has left questions unanswered; 0: it has not. */
usec_t group_unanswered(const struct group *g)
{
	if (g->view.primary == DB_NONE)
		return 0;
	return g->db[g->view.primary]->probe.unanswered_at;
}

/* What surrounds the group's promotion now. */
struct promote_env group_env(struct group *g, usec_t now)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm vm;

	if (g->rank_at == 0 || now - g->rank_at > RANK_AGE) {
		g->rank = fleet_rank(k, g->service);
		g->other_domains =
			fleet_pick(k, 1, k->settings.domain, &vm) > 0;
		g->rank_at = now;
	}
	return (struct promote_env){
		.now = now,
		.view = &g->view,
		.rank = g->rank,
		.running = g->writes,
		.unanswered_at = group_unanswered(g),
		.other_domains = g->other_domains,
		.platform_up = platform_is_up(k),
		.random = shard_random(g->shard),
	};
}

/* Takes over what a database said of itself, on whichever call. */
void group_heard(struct group_db *db, const struct db_call *c)
{
	struct group *g = db->group;

	if (c->has_status) {
		probe_heard(&db->probe, c->asked_at);
		if (db->lost)
			log_event(EV_DB_BACK, "service=%s database=%s",
				  g->service, db->name);
		db->lost = false;
		if (c->asked_at > db->failed_at)
			db->failed_at = 0;
	} else if (!db->failed_at) {
		db->failed_at = c->heard_at;
		group_poke(g);
	}
	if (db->index == DB_NONE)
		return;
	database_view_update(&g->view.db[db->index], c);
	if (c->has_status || db->index == g->view.primary)
		group_view_changed(g);
}

/*
 * Looks again at all that waits on the view: confirmations, transactions,
 * parked requests, queues.
 */
void group_view_changed(struct group *g)
{
	usec_t now = clock_now();
	struct run *run, *next;

	for (run = g->confirming.first; run; run = next) {
		next = run->next;
		run_check_confirm(run, now);
	}
	set_hold(g, now);
	reroute_parked(g);
	group_pump(g);
}

/* A new primary is known: its term goes before every lower one. */
void group_set_primary(struct group *g, uint64_t term, uint32_t primary)
{
	if (term < g->view.term ||
	    (term == g->view.term && primary == g->view.primary))
		return;
	if (g->view.primary != DB_NONE && primary != g->view.primary)
		run_primary_gone(g, g->db[g->view.primary]);
	g->view.term = term;
	g->view.primary = primary;
	log_event(EV_PROMOTE_VIEW, "service=%s term=%llu primary=%s",
		  g->service, (unsigned long long)term,
		  primary == DB_NONE ? "" : g->db[primary]->name);
	tx_group_view(g);
	limit_queues(g);
	group_view_changed(g);
	group_poke(g);
}

/*
 * May a write start? Not while no replica follows: at once after a change of
 * primary it waits for one, later it is refused. Sets the code of a refusal.
 */
enum route_kind group_may_write(struct group *g, usec_t now,
				enum error_code *why)
{
	const struct engine *e = g->shard->engine;

	*why = ERR_NO_REPLICA;
	if (confirm_possible(&g->view, &e->confirm, now)) {
		g->unfollowed_at = 0;
		return ROUTE_PRIMARY;
	}
	if (!g->unfollowed_at)
		g->unfollowed_at = now;
	return now - g->unfollowed_at < UNFOLLOWED_WAIT ? ROUTE_WAIT
							: ROUTE_REFUSE;
}

/* Starts what the slots allow, and answers what waited too long. */
void group_pump(struct group *g)
{
	usec_t now = clock_now();
	uint32_t i;

	pump(g, g->primary, now);
	for (i = 0; i < g->view.n; i++)
		pump(g, g->db[i]->reads, now);
}

/* Has the group's timer fire soon, as when a request has come. */
void group_poke(struct group *g)
{
	usec_t at = clock_now() + TICK_MIN;

	if (g->tick.slot && g->tick.at <= at)
		return;
	loop_timer_set(g->shard->loop, &g->tick, at);
}

/*
 * Notes that a request has come. A group that was not used here lately may
 * not have been watched: what is known of its replicas is renewed at once.
 */
void group_use(struct group *g)
{
	usec_t now = clock_now();
	bool idle = now - g->used_at >= g->shard->engine->probe.active_for_us;

	g->used_at = now;
	if (idle)
		group_poke(g);
}

/* The group's timer: probes, promotion, deadlines. Takes the lock. */
void group_tick(void *ctx)
{
	struct group *g = ctx;

	shard_lock(g->shard);
	on_tick(g);
	shard_unlock(g->shard);
}

/* Frees a group; its requests must have been answered. */
void group_destroy(struct group *g)
{
	struct group_db *db;
	uint32_t i;

	tx_group_drop(g);
	for (i = 0; i < g->view.n; i++)
		db_destroy(g->db[i]);
	while ((db = g->left)) {
		g->left = db->next;
		db_destroy(db);
	}
	admit_destroy(g->primary);
	free(g);
}

/* Makes the group of a service that was not known. */
static struct group *group_create(struct shard *s, const char *service)
{
	struct group *g = calloc(1, sizeof(*g));
	struct admit_limits limits = {
		.slots = 1,
		.queue_max = s->kernel->settings.queue_max,
		.team_max = s->kernel->settings.queue_max / QUEUE_TEAM_PART,
	};

	if (!g)
		abort();
	g->shard = s;
	snprintf(g->service, sizeof(g->service), "%s", service);
	g->view.primary = DB_NONE;
	g->primary = admit_create(&limits);
	if (!g->primary)
		abort();
	slots_init(&g->primary_limit, 1, 1);
	run_list_init(&g->parked);
	run_list_init(&g->confirming);
	run_list_init(&g->calling);
	promote_init(&g->promote, &s->engine->promote, clock_now());
	retry_init(&g->budget, &s->engine->retry);
	g->tick.fn = group_tick;
	g->tick.ctx = g;
	g->next = s->groups;
	s->groups = g;
	apr_hash_set(s->by_service, g->service, APR_HASH_KEY_STRING, g);
	return g;
}

/* Makes a database that the group has not had. */
static struct group_db *db_create(struct group *g,
				  const struct group_db_config *c)
{
	struct group_db *db = calloc(1, sizeof(*db));
	const struct settings *s = &g->shard->kernel->settings;
	struct admit_limits limits = {
		.slots = 1,
		.queue_max = s->queue_max,
		.team_max = s->queue_max / QUEUE_TEAM_PART,
	};

	if (!db)
		abort();
	db->group = g;
	snprintf(db->name, sizeof(db->name), "%s", c->name);
	db->reads = admit_create(&limits);
	if (!db->reads)
		abort();
	slots_init(&db->reads_limit, c->slots, 1);
	return db;
}

/* Frees a database. */
static void db_destroy(struct group_db *db)
{
	admit_destroy(db->reads);
	free(db);
}

/*
 * Takes over the object's list of databases. Those that stay keep their view;
 * if the set or the order changed, masks of indices are void: the promotion
 * starts afresh and the confirmations count again.
 */
static void take_databases(struct group *g, const struct group_config *c)
{
	struct group_db *db[DB_MAX];
	struct db_view view[DB_MAX] = { 0 };
	bool same = c->n == g->view.n;
	struct run *run;
	uint32_t i, was;

	for (i = 0; i < c->n; i++) {
		was = group_find_db(g, c->db[i].name);
		same = same && was == i;
		if (was != DB_NONE)
			view[i] = g->view.db[was];
	}
	for (i = 0; i < c->n; i++) {
		db[i] = take_out(g, c->db[i].name);
		if (!db[i])
			db[i] = db_create(g, &c->db[i]);
		snprintf(db[i]->address, sizeof(db[i]->address), "%s",
			 c->db[i].address);
		snprintf(db[i]->domain, sizeof(db[i]->domain), "%s",
			 c->db[i].domain);
		db[i]->slots = c->db[i].slots;
		db[i]->connections = c->db[i].connections;
		db[i]->index = i;
		if (c->db[i].state == DB_DEPARTING &&
		    view[i].state != DB_DEPARTING)
			view[i].departing_at = clock_now();
		view[i].state = c->db[i].state;
		view[i].slots = c->db[i].slots;
	}
	for (i = 0; i < g->view.n; i++) {
		if (!g->db[i])
			continue;
		g->db[i]->index = DB_NONE;
		g->db[i]->next = g->left;
		g->left = g->db[i];
	}
	for (i = 0; i < c->n; i++)
		g->db[i] = db[i];
	memcpy(g->view.db, view, sizeof(view));
	g->view.n = c->n;
	if (same)
		return;
	if (g->view.primary != DB_NONE && g->view.term == c->term)
		g->view.primary = c->primary;
	promote_init(&g->promote, &g->shard->engine->promote, clock_now());
	for (run = g->confirming.first; run; run = run->next)
		confirm_start(&run->confirm, run->confirm.at,
			      run->confirm.deadline);
}

/* Takes a database out of the group's present list; NULL if not there. */
static struct group_db *take_out(struct group *g, const char *name)
{
	struct group_db *db;
	uint32_t i;

	for (i = 0; i < g->view.n; i++) {
		db = g->db[i];
		if (!db || strcmp(db->name, name) != 0)
			continue;
		g->db[i] = NULL;
		return db;
	}
	return NULL;
}

/* Fits the queues to the databases' slots and the number of VMs. */
static void limit_queues(struct group *g)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm vms[FLEET_SEEN_MAX];
	uint32_t n = (uint32_t)fleet_snapshot(k, vms, FLEET_SEEN_MAX);
	struct admit_limits l = {
		.queue_max = k->settings.queue_max,
		.team_max = k->settings.queue_max / QUEUE_TEAM_PART,
	};
	uint32_t i, slots = 1;

	for (i = 0; i < g->view.n; i++) {
		slots_resize(&g->db[i]->reads_limit, g->db[i]->slots, n);
		l.slots = slots_limit(&g->db[i]->reads_limit);
		admit_set_limits(g->db[i]->reads, &l);
	}
	if (g->view.primary != DB_NONE)
		slots = g->db[g->view.primary]->slots;
	slots_resize(&g->primary_limit, slots, n);
	l.slots = slots_limit(&g->primary_limit);
	admit_set_limits(g->primary, &l);
}

/* One turn of the group's timer. Shard's lock. */
static void on_tick(struct group *g)
{
	struct engine *e = g->shard->engine;
	struct promote_actions out = { 0 };
	struct promote_env env;
	struct probe_need need;
	usec_t now = clock_now(), next = now + TICK_MAX, due;
	struct run *run, *after;
	uint32_t i;

	env = group_env(g, now);
	promote_tick(&g->promote, &env, &out);
	failover_act(g, &out);
	for (run = g->confirming.first; run; run = after) {
		after = run->next;
		run_check_confirm(run, now);
	}
	tx_group_tick(g, now);
	set_hold(g, now);
	group_pump(g);
	if (!watched(g, now)) {
		loop_timer_set(g->shard->loop, &g->tick, now + TICK_UNWATCHED);
		return;
	}
	need = (struct probe_need){
		.confirms = g->confirms,
		.urgent = g->promote.phase != PROMOTE_IDLE || g->held,
		.used_at = g->used_at,
	};
	for (i = 0; i < g->view.n; i++) {
		struct group_db *db = g->db[i];

		if (probe_expire(&db->probe, &e->probe, now) && !db->lost) {
			db->lost = true;
			log_event(EV_DB_LOST, "service=%s database=%s",
				  g->service, db->name);
		}
		due = probe_due(&db->probe, &e->probe, &need,
				i == g->view.primary, now);
		if (due <= now && !db->probe_under_way) {
			send_probe(db, now);
			due = now + TICK_MAX;
		}
		if (due < next)
			next = due;
	}
	if (next < now + TICK_MIN)
		next = now + TICK_MIN;
	loop_timer_set(g->shard->loop, &g->tick, next);
}

/* Does this VM watch the group: used here lately, or by its rank? */
static bool watched(struct group *g, usec_t now)
{
	return now - g->used_at < g->shard->engine->probe.active_for_us ||
	       g->rank < WATCH_RANKS || g->confirms || g->transactions ||
	       admit_waiting(g->primary) || g->promote.phase != PROMOTE_IDLE;
}

/* Asks a database for its status. */
static void send_probe(struct group_db *db, usec_t now)
{
	struct group *g = db->group;
	struct db_call *c = &db->probing;

	memset(c, 0, sizeof(*c));
	c->op = DB_STATUS;
	c->loop = g->shard->loop;
	memcpy(c->address, db->address, sizeof(c->address));
	c->timeout = g->shard->engine->probe.reply_us;
	c->fresh = db->probe.misses > 0; /* the old one may have gone silent */
	c->done = on_probe;
	c->ctx = db;
	db->probe_under_way = true;
	probe_sent(&db->probe, now);
	database_submit(c);
}

/* A status has come, or none. */
static void on_probe(struct db_call *c)
{
	struct group_db *db = c->ctx;
	struct group *g = db->group;

	shard_lock(g->shard);
	db->probe_under_way = false;
	if (!c->has_status)
		probe_expire(&db->probe, &g->shard->engine->probe,
			     db->probe.asked_at +
				     g->shard->engine->probe.reply_us);
	group_heard(db, c);
	if (g->confirms)
		group_poke(g);
	shard_unlock(g->shard);
}

/* Lets a queue's head run while there are slots. */
static void pump(struct group *g, struct admit *q, usec_t now)
{
	struct run *run;

	expire(g, q, now);
	while ((run = admit_pop(q, now))) {
		run->in_slot = true;
		run->slot_at = now;
		run_popped(run);
	}
}

/* Answers what has waited in a queue past its deadline. */
static void expire(struct group *g, struct admit *q, usec_t now)
{
	struct run *run;
	enum error_code code;

	while ((run = admit_expire(q, now))) {
		run->queue = NULL;
		code = g->held && q == g->primary ? ERR_NO_PRIMARY
						  : ERR_DEADLINE;
		run_refuse(run, code, STEP_QUEUE,
			   "deadline passed in the queue");
	}
}

/* Routes the parked requests again that wait for a view, in order. */
static void reroute_parked(struct group *g)
{
	struct run_list again;
	struct run *run, *next;

	run_list_init(&again);
	for (run = g->parked.first; run; run = next) {
		next = run->next;
		if (!run->wants_view)
			continue;
		run_unlink(run);
		run_list_add(&again, run);
	}
	while ((run = again.first)) {
		run_unlink(run);
		loop_timer_clear(g->shard->loop, &run->timer);
		run_route(run);
	}
}

/*
 * Holds the primary's queue while there is no primary, it fails to answer, a
 * hand-over runs here or a peer has asked for it; releases it slot by slot.
 */
static void set_hold(struct group *g, usec_t now)
{
	bool hold = g->view.primary == DB_NONE || g->hold_here ||
		    now < g->hold_until || g->db[g->view.primary]->failed_at;

	if (hold == g->held)
		return;
	g->held = hold;
	if (hold)
		admit_hold(g->primary);
	else
		admit_release(g->primary, slots_limit(&g->primary_limit));
}
