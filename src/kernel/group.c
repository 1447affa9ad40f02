#include "kernel/engine_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/log.h"
#include "kernel/platform.h"

#define VMS_COUNTED_MAX 64 /* VMs that share a database's slots */
#define RANK_MAX_AGE_US USEC_PER_SEC
#define WATCHER_RANKS	4 /* VMs that probe a group they don't use */
#define TICK_MIN_US	(1 * USEC_PER_MSEC)
#define TICK_MAX_US	(50 * USEC_PER_MSEC)
/* Without enough replicas writes wait for this long, then are refused. */
#define NO_REPLICA_WAIT_US USEC_PER_SEC
#define TICK_UNWATCHED_US  (5 * USEC_PER_SEC)

static struct group *group_create(struct shard *s, const char *service);
static struct group_db *db_create(struct group *g,
				  const struct group_db_config *c);
static void db_destroy(struct group_db *db);
static void update_databases(struct group *g, const struct group_config *c);
static struct group_db *detach_db(struct group *g, const char *name);
static void resize_queues(struct group *g);
static void send_probe(struct group_db *db, usec_t now);
static void on_probe(struct db_call *c);
static void on_tick(struct group *g);
static bool is_watched(struct group *g, usec_t now);
static void run_queue(struct group *g, struct admit *q, usec_t now);
static void expire_queue(struct group *g, struct admit *q, usec_t now);
static void reroute_parked(struct group *g);
static void update_hold(struct group *g, usec_t now);

/*
 * Applies a version of a group's object: its databases, and the published term
 * if it is newer than the one known. Older versions are ignored. Loop thread;
 * the shard's lock is held.
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
	update_databases(g, &c);
	resize_queues(g);
	log_event(EV_CONFIG_APPLIED, "object=%s version=%llu", name,
		  (unsigned long long)version);
	failover_note_term(g, c.term, c.primary, true, c.claimed);
	group_view_changed(g);
	group_tick_soon(g);
}

/* Returns the index of the database of that name, or DB_NONE. */
uint32_t group_find_db(const struct group *g, const char *name)
{
	uint32_t i;

	for (i = 0; i < g->view.n; i++) {
		if (strcmp(g->db[i]->name, name) == 0)
			return i;
	}
	return DB_NONE;
}

/*
 * Returns when the oldest status request was sent that the primary has left
 * unanswered; 0 if there is none.
 */
usec_t group_unanswered_since(const struct group *g)
{
	if (g->view.primary == DB_NONE)
		return 0;
	return g->db[g->view.primary]->probe.unanswered_at;
}

/*
 * Returns what the promotion decides by: the view, this VM's rank and load, and
 * whether other domains and the platform are reachable. Recomputes the rank
 * once it is RANK_MAX_AGE_US old.
 */
struct promote_env group_promote_env(struct group *g, usec_t now)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm vm;

	if (g->rank_computed_at == 0 ||
	    now - g->rank_computed_at > RANK_MAX_AGE_US) {
		g->rank = fleet_rank(k, g->service);
		g->other_domains =
			fleet_sample(k, 1, k->settings.domain, &vm) > 0;
		g->rank_computed_at = now;
	}
	return (struct promote_env){
		.now = now,
		.view = &g->view,
		.rank = g->rank,
		.running_writes = g->writes_in_flight,
		.unanswered_at = group_unanswered_since(g),
		.other_domains = g->other_domains,
		.platform_up = platform_is_up(k),
		.random = shard_random(g->shard),
	};
}

/*
 * Updates the view with the status that a call of any kind returned, or notes
 * that the call failed.
 */
void group_note_response(struct group_db *db, const struct db_call *c)
{
	struct group *g = db->group;

	if (c->has_status) {
		health_probe_answered(&db->probe, c->asked_at);
		if (db->is_silent)
			log_event(EV_DB_BACK, "service=%s database=%s",
				  g->service, db->name);
		db->is_silent = false;
		if (c->asked_at > db->failed_at)
			db->failed_at = 0;
	} else if (!db->failed_at) {
		db->failed_at = c->heard_at;
		group_tick_soon(g);
	}
	if (db->index == DB_NONE)
		return;
	database_view_update(&g->view.db[db->index], c);
	if (c->has_status || db->index == g->view.primary)
		group_view_changed(g);
}

/*
 * Re-evaluates everything that depends on the view: confirmations, the hold on
 * writes, parked requests and queues.
 */
void group_view_changed(struct group *g)
{
	usec_t now = clock_now();
	struct exec *exec, *next;

	for (exec = g->confirming.first; exec; exec = next) {
		next = exec->next;
		exec_check_confirm(exec, now);
	}
	update_hold(g, now);
	reroute_parked(g);
	group_run_queues(g);
}

/*
 * Sets the term and the primary of the view. A lower term than the one known is
 * ignored.
 */
void group_set_primary(struct group *g, uint64_t term, uint32_t primary)
{
	if (term < g->view.term ||
	    (term == g->view.term && primary == g->view.primary))
		return;
	if (g->view.primary != DB_NONE && primary != g->view.primary)
		exec_release_calls(g, g->db[g->view.primary]);
	g->view.term = term;
	g->view.primary = primary;
	log_event(EV_PROMOTE_VIEW, "service=%s term=%llu primary=%s",
		  g->service, (unsigned long long)term,
		  primary == DB_NONE ? "" : g->db[primary]->name);
	tx_group_term_changed(g);
	resize_queues(g);
	group_view_changed(g);
	group_tick_soon(g);
}

/*
 * Decides whether a write may start, which needs enough replicas that follow
 * the primary to confirm it. Without them it waits for NO_REPLICA_WAIT_US, as
 * after a change of primary, and is then refused. Sets *why to the code of a
 * refusal.
 */
enum route_kind group_check_write(struct group *g, usec_t now,
				  enum error_code *why)
{
	const struct engine *e = g->shard->engine;

	*why = ERR_NO_REPLICA;
	if (write_quorum_is_reachable(&g->view, &e->confirm, now)) {
		g->no_replica_since = 0;
		return ROUTE_PRIMARY;
	}
	if (!g->no_replica_since)
		g->no_replica_since = now;
	return now - g->no_replica_since < NO_REPLICA_WAIT_US ? ROUTE_WAIT
							      : ROUTE_REFUSE;
}

/*
 * Runs queued requests for which there are slots, and refuses those whose
 * deadline has passed.
 */
void group_run_queues(struct group *g)
{
	usec_t now = clock_now();
	uint32_t i;

	run_queue(g, g->primary_queue, now);
	for (i = 0; i < g->view.n; i++)
		run_queue(g, g->db[i]->read_queue, now);
}

/*
 * Makes the group's timer fire within TICK_MIN_US, for instance after a request
 * has arrived.
 */
void group_tick_soon(struct group *g)
{
	usec_t at = clock_now() + TICK_MIN_US;

	if (g->tick.slot && g->tick.at <= at)
		return;
	loop_timer_set(g->shard->loop, &g->tick, at);
}

/*
 * Records that a request has arrived. If the group was idle it may not have
 * been probed, so its replicas are probed at once.
 */
void group_note_request(struct group *g)
{
	usec_t now = clock_now();
	bool idle = now - g->last_request_at >=
		    g->shard->engine->probe.active_for_us;

	g->last_request_at = now;
	if (idle)
		group_tick_soon(g);
}

/* Handles the group's timer: probes, promotion, deadlines. Takes the lock. */
void group_tick(void *ctx)
{
	struct group *g = ctx;

	shard_lock(g->shard);
	on_tick(g);
	shard_unlock(g->shard);
}

/* Frees a group. Its requests must have been answered. */
void group_destroy(struct group *g)
{
	struct group_db *db;
	uint32_t i;

	tx_group_free(g);
	for (i = 0; i < g->view.n; i++)
		db_destroy(g->db[i]);
	while ((db = g->removed)) {
		g->removed = db->next;
		db_destroy(db);
	}
	admit_destroy(g->primary_queue);
	free(g);
}

/* Creates the group of a service that was not known before. */
static struct group *group_create(struct shard *s, const char *service)
{
	struct group *g = calloc(1, sizeof(*g));
	struct admit_limits limits = {
		.slots = 1,
		.queue_max = s->kernel->settings.queue_max,
		.team_max = s->kernel->settings.queue_max / QUEUE_TEAM_DIVISOR,
	};

	if (!g)
		abort();
	g->shard = s;
	snprintf(g->service, sizeof(g->service), "%s", service);
	g->view.primary = DB_NONE;
	g->primary_queue = admit_create(&limits);
	if (!g->primary_queue)
		abort();
	concurrency_init(&g->primary_slots, 1, 1);
	exec_list_init(&g->parked);
	exec_list_init(&g->confirming);
	exec_list_init(&g->in_flight);
	promote_init(&g->promote, &s->engine->promote, clock_now());
	retry_budget_init(&g->budget, &s->engine->retry);
	g->tick.fn = group_tick;
	g->tick.ctx = g;
	g->next = s->groups;
	s->groups = g;
	apr_hash_set(s->by_service, g->service, APR_HASH_KEY_STRING, g);
	return g;
}

/* Creates a database that is new to the group. */
static struct group_db *db_create(struct group *g,
				  const struct group_db_config *c)
{
	struct group_db *db = calloc(1, sizeof(*db));
	const struct settings *s = &g->shard->kernel->settings;
	struct admit_limits limits = {
		.slots = 1,
		.queue_max = s->queue_max,
		.team_max = s->queue_max / QUEUE_TEAM_DIVISOR,
	};

	if (!db)
		abort();
	db->group = g;
	snprintf(db->name, sizeof(db->name), "%s", c->name);
	db->read_queue = admit_create(&limits);
	if (!db->read_queue)
		abort();
	concurrency_init(&db->read_slots, c->slots, 1);
	return db;
}

/* Frees a database. */
static void db_destroy(struct group_db *db)
{
	admit_destroy(db->read_queue);
	free(db);
}

/*
 * Replaces the group's list of databases by the object's. Databases that stay
 * keep their view. If the set or the order changed, bit masks of indices are
 * invalid, so the promotion and the counting of confirmations start again.
 */
static void update_databases(struct group *g, const struct group_config *c)
{
	struct group_db *db[DB_MAX];
	struct db_view view[DB_MAX] = { 0 };
	bool same = c->n == g->view.n;
	struct exec *exec;
	uint32_t i, was;

	for (i = 0; i < c->n; i++) {
		was = group_find_db(g, c->db[i].name);
		same = same && was == i;
		if (was != DB_NONE)
			view[i] = g->view.db[was];
	}
	for (i = 0; i < c->n; i++) {
		db[i] = detach_db(g, c->db[i].name);
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
		g->db[i]->next = g->removed;
		g->removed = g->db[i];
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
	for (exec = g->confirming.first; exec; exec = exec->next)
		write_quorum_start(&exec->confirm, exec->confirm.at,
				   exec->confirm.deadline);
}

/*
 * Removes a database from the group's current list and returns it; NULL if it
 * is not there.
 */
static struct group_db *detach_db(struct group *g, const char *name)
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

/*
 * Fits the limits of the queues to the databases' slots and the number of VMs.
 */
static void resize_queues(struct group *g)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm vms[VMS_COUNTED_MAX];
	uint32_t n = (uint32_t)fleet_snapshot(k, vms, VMS_COUNTED_MAX);
	struct admit_limits l = {
		.queue_max = k->settings.queue_max,
		.team_max = k->settings.queue_max / QUEUE_TEAM_DIVISOR,
	};
	uint32_t i, slots = 1;

	for (i = 0; i < g->view.n; i++) {
		concurrency_resize(&g->db[i]->read_slots, g->db[i]->slots, n);
		l.slots = concurrency_limit(&g->db[i]->read_slots);
		admit_set_limits(g->db[i]->read_queue, &l);
	}
	if (g->view.primary != DB_NONE)
		slots = g->db[g->view.primary]->slots;
	concurrency_resize(&g->primary_slots, slots, n);
	l.slots = concurrency_limit(&g->primary_slots);
	admit_set_limits(g->primary_queue, &l);
}

/*
 * Advances the promotion, the confirmations, transactions and queues, sends the
 * probes that are due, and sets the timer again. The shard's lock is held.
 */
static void on_tick(struct group *g)
{
	struct engine *e = g->shard->engine;
	struct promote_actions out = { 0 };
	struct promote_env env;
	struct health_probe_demand need;
	usec_t now = clock_now(), next = now + TICK_MAX_US, due;
	struct exec *exec, *after;
	uint32_t i;

	env = group_promote_env(g, now);
	promote_tick(&g->promote, &env, &out);
	failover_execute(g, &out);
	for (exec = g->confirming.first; exec; exec = after) {
		after = exec->next;
		exec_check_confirm(exec, now);
	}
	tx_group_tick(g, now);
	update_hold(g, now);
	group_run_queues(g);
	if (!is_watched(g, now)) {
		loop_timer_set(g->shard->loop, &g->tick,
			       now + TICK_UNWATCHED_US);
		return;
	}
	need = (struct health_probe_demand){
		.waiting_writes = g->n_confirming,
		.urgent = g->promote.phase != PROMOTE_IDLE || g->is_held,
		.used_at = g->last_request_at,
	};
	for (i = 0; i < g->view.n; i++) {
		struct group_db *db = g->db[i];

		if (health_probe_expire(&db->probe, &e->probe, now) &&
		    !db->is_silent) {
			db->is_silent = true;
			log_event(EV_DB_LOST, "service=%s database=%s",
				  g->service, db->name);
		}
		due = health_probe_due(&db->probe, &e->probe, &need,
				       i == g->view.primary, now);
		if (due <= now && !db->probe_in_flight) {
			send_probe(db, now);
			due = now + TICK_MAX_US;
		}
		if (due < next)
			next = due;
	}
	if (next < now + TICK_MIN_US)
		next = now + TICK_MIN_US;
	loop_timer_set(g->shard->loop, &g->tick, next);
}

/*
 * Returns whether this VM probes the group: it has served a request for it
 * lately, ranks among its watchers, or has work in progress.
 */
static bool is_watched(struct group *g, usec_t now)
{
	return now - g->last_request_at <
		       g->shard->engine->probe.active_for_us ||
	       g->rank < WATCHER_RANKS || g->n_confirming || g->transactions ||
	       admit_waiting(g->primary_queue) ||
	       g->promote.phase != PROMOTE_IDLE;
}

/* Sends a status request to a database. */
static void send_probe(struct group_db *db, usec_t now)
{
	struct group *g = db->group;
	struct db_call *c = &db->probe_call;

	memset(c, 0, sizeof(*c));
	c->op = DB_STATUS;
	c->loop = g->shard->loop;
	memcpy(c->address, db->address, sizeof(c->address));
	c->timeout = g->shard->engine->probe.reply_us;
	c->new_connection =
		db->probe.misses > 0; /* a pooled connection may be dead */
	c->done = on_probe;
	c->ctx = db;
	db->probe_in_flight = true;
	health_probe_sent(&db->probe, now);
	database_submit(c);
}

/* Handles the response to a probe, or its timeout. Takes the lock. */
static void on_probe(struct db_call *c)
{
	struct group_db *db = c->ctx;
	struct group *g = db->group;

	shard_lock(g->shard);
	db->probe_in_flight = false;
	if (!c->has_status)
		health_probe_expire(&db->probe, &g->shard->engine->probe,
				    db->probe.pending_since +
					    g->shard->engine->probe.reply_us);
	group_note_response(db, c);
	if (g->n_confirming)
		group_tick_soon(g);
	shard_unlock(g->shard);
}

/* Runs the requests at the head of a queue while it has free slots. */
static void run_queue(struct group *g, struct admit *q, usec_t now)
{
	struct exec *exec;

	expire_queue(g, q, now);
	while ((exec = admit_pop(q, now))) {
		exec->has_slot = true;
		exec->slot_taken_at = now;
		exec_dequeued(exec);
	}
}

/* Refuses the requests in a queue whose deadline has passed. */
static void expire_queue(struct group *g, struct admit *q, usec_t now)
{
	struct exec *exec;
	enum error_code code;

	while ((exec = admit_expire(q, now))) {
		exec->queue = NULL;
		code = g->is_held && q == g->primary_queue ? ERR_NO_PRIMARY
							   : ERR_DEADLINE;
		exec_refuse(exec, code, STEP_QUEUE,
			    "deadline passed in the queue");
	}
}

/* Routes again, in order, the parked requests that wait for a new view. */
static void reroute_parked(struct group *g)
{
	struct exec_list again;
	struct exec *exec, *next;

	exec_list_init(&again);
	for (exec = g->parked.first; exec; exec = next) {
		next = exec->next;
		if (!exec->wait_for_view)
			continue;
		exec_unlink(exec);
		exec_list_add(&again, exec);
	}
	while ((exec = again.first)) {
		exec_unlink(exec);
		loop_timer_clear(g->shard->loop, &exec->timer);
		exec_route(exec);
	}
}

/*
 * Holds the primary's queue while there is no primary, the primary fails to
 * answer, or this VM or a peer holds writes for a hand-over. After the
 * release, as many requests as the slot limit start at once, and one more each
 * time a request ends.
 */
static void update_hold(struct group *g, usec_t now)
{
	bool hold = g->view.primary == DB_NONE || g->hold_local ||
		    now < g->hold_until || g->db[g->view.primary]->failed_at;

	if (hold == g->is_held)
		return;
	g->is_held = hold;
	if (hold)
		admit_hold(g->primary_queue);
	else
		admit_release(g->primary_queue,
			      concurrency_limit(&g->primary_slots));
}
