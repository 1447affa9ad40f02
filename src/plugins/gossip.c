#include "plugins/gossip.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet_internal.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "kernel/plugin.h"
#include "kernel/object_store.h"
#include "plugins/gossip_internal.h"

struct gossip gossip;

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);
static void queue_applied(void *ctx, const char *name, uint64_t version,
			  const char *body);
static void add_applied(void *ctx);
static void add_all_stored(struct gossip *g);
static void add_stored(void *ctx, const char *name, uint64_t version,
		       size_t body_len);
static void start_rounds(void *ctx);
static void on_round(void *ctx);
static void expire_pending(struct gossip *g);
static void retry_or_fail(struct gossip *g, const struct pending_request *a);
static size_t choose_peers(struct gossip *g, struct request_target *out);
static void request_from_seeds(struct gossip *g);
static usec_t next_interval(const struct gossip *g);
static uint64_t pending_add(struct gossip *g, const struct request_target *t);

static struct plugin plugin = {
	.name = "gossip",
	.rank = RANK_GOSSIP,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Starts to exchange objects, members and freshness with peers. */
static int start(struct kernel *k, struct error *e)
{
	struct gossip *g = &gossip;

	memset(g, 0, sizeof(*g));
	g->kernel = k;
	g->loop = k->platform->loop;
	g->versions = anti_entropy_create();
	if (!g->versions || apr_pool_create(&g->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&g->lock, APR_THREAD_MUTEX_DEFAULT,
				    g->pool) != APR_SUCCESS ||
	    apr_thread_mutex_create(&g->applied_lock, APR_THREAD_MUTEX_DEFAULT,
				    g->pool) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_GOSSIP, NULL,
				 "no memory for gossip");
	/* Request ids of an earlier incarnation must not match this one's. */
	randombytes_buf(&g->next_id, sizeof(g->next_id));
	g->next_id &= UINT32_MAX;
	g->round.fn = on_round;
	g->round.ctx = g;
	store_subscribe(k->store, "", NULL, queue_applied, g);
	peer_set_handler(k, PEER_GOSSIP, gossip_on_request, g);
	peer_set_handler(k, PEER_GOSSIP_REPLY, gossip_on_response, g);
	peer_set_handler(k, PEER_OBJECT_PUSH, gossip_on_push, g);
	peer_set_handler(k, PEER_OBJECT_ACK, gossip_on_push_ack, g);
	loop_post(g->loop, start_rounds, g);
	return 0;
}

/*
 * Removes the handlers. The tables stay until the process ends: the peer
 * thread and the platform's loop, which stop later, may still be using them.
 */
static void stop(struct kernel *k)
{
	peer_set_handler(k, PEER_GOSSIP, NULL, NULL);
	peer_set_handler(k, PEER_GOSSIP_REPLY, NULL, NULL);
	peer_set_handler(k, PEER_OBJECT_PUSH, NULL, NULL);
	peer_set_handler(k, PEER_OBJECT_ACK, NULL, NULL);
}

/*
 * Offers an object to the store. The lock makes the store and the version table
 * change together. Returns true if the object was applied; logs a refusal.
 */
bool gossip_apply_object(struct kernel *k, const char *name, uint64_t version,
			 uint64_t revision, const char *body, struct error *e)
{
	struct gossip *g = &gossip;
	bool is_applied;

	apr_thread_mutex_lock(g->lock);
	is_applied = store_update(k->store, name, version, body, e);
	if (store_version(k->store, name) == version)
		anti_entropy_record(g->versions, name, version, revision);
	apr_thread_mutex_unlock(g->lock);
	if (is_applied) {
		counter_add(CTR_CONFIG_APPLIED, 1);
		log_event(EV_CONFIG_APPLIED, "object=%s version=%llu", name,
			  (unsigned long long)version);
	} else if (e->code != ERR_NONE) {
		log_error(EV_CONFIG_REFUSED, e);
	}
	return is_applied;
}

/*
 * Records that everything up to "revision" is applied, by the platform's state
 * at "sent_at".
 */
void gossip_mark_complete(struct kernel *k, uint64_t revision, usec_t sent_at)
{
	struct gossip *g = &gossip;

	apr_thread_mutex_lock(g->lock);
	anti_entropy_set_complete(g->versions, revision);
	apr_thread_mutex_unlock(g->lock);
	fleet_lock(k->fleet);
	freshness_on_platform_contact(&k->fleet->fresh, sent_at);
	fleet_unlock(k->fleet);
}

/*
 * Returns the platform revision up to which this VM has applied all objects; 0
 * if there is no such revision yet. Takes the lock.
 */
uint64_t gossip_revision(void)
{
	uint64_t revision;

	apr_thread_mutex_lock(gossip.lock);
	revision = anti_entropy_complete(gossip.versions);
	apr_thread_mutex_unlock(gossip.lock);
	return revision;
}

/*
 * Requests from a VM the objects that are missing here. Any thread; takes the
 * locks.
 */
void gossip_send_request(struct gossip *g, const struct request_target *t)
{
	struct gossip_request req = { 0 };
	msgpack_sbuffer buf;
	uint64_t id;

	apr_thread_mutex_lock(g->lock);
	id = pending_add(g, t);
	anti_entropy_fill_request(g->versions, id, &req.anti_entropy);
	req.anti_entropy.cursor = t->cursor;
	apr_thread_mutex_unlock(g->lock);
	gossip_fill_updates(g, t->attempts > 0 || t->incarnation == 0,
			    &req.updates);
	msgpack_sbuffer_init(&buf);
	gossip_request_encode(&buf, &req);
	peer_send(g->kernel, t->to, PEER_GOSSIP, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * Removes a pending request and copies it to "out". Returns false if the id is
 * unknown or the request went to another VM than "from". Takes the lock.
 */
bool gossip_pending_take(struct gossip *g, uint64_t id, const char *from,
			 struct pending_request *out)
{
	bool found = false;
	size_t i;

	apr_thread_mutex_lock(g->lock);
	for (i = 0; i < PENDING_MAX && !found; i++) {
		struct pending_request *a = &g->pending[i];

		if (a->id == 0 || a->id != id)
			continue;
		if (a->name[0] != '\0' && strcmp(a->name, from) != 0)
			break;
		*out = *a;
		a->id = 0;
		found = true;
	}
	apr_thread_mutex_unlock(g->lock);
	return found;
}

/*
 * Fills in the member updates that were sent least often. With "introduce" this
 * VM's own state comes first: a peer that does not know this VM's address
 * cannot respond. Takes the fleet's lock.
 */
void gossip_fill_updates(struct gossip *g, bool introduce,
			 struct gossip_updates *out)
{
	struct fleet *f = g->kernel->fleet;
	const struct member *self;

	fleet_lock(f);
	/* A listener on port 0 knows its port only once it has been bound. */
	membership_set_addresses(f->members, g->kernel->settings.peer_listen,
				 g->kernel->settings.caller_listen);
	if (introduce) {
		self = membership_get(f->members, membership_self(f->members));
		out->item[out->n++].member = *self;
	}
	out->n += (uint32_t)membership_pick_updates(
		f->members, &out->item[out->n], GOSSIP_UPDATES_MAX - out->n);
	fleet_unlock(f);
}

/*
 * Applies member updates, adds the failure domains of members that are not
 * unlisted to the freshness table and logs VMs that were unknown. Takes the
 * fleet's lock.
 */
void gossip_apply_updates(struct gossip *g,
			  const struct gossip_updates *updates)
{
	struct fleet *f = g->kernel->fleet;
	const char *joined[GOSSIP_UPDATES_MAX];
	uint32_t n = 0, i;

	fleet_lock(f);
	for (i = 0; i < updates->n; i++) {
		const struct member *m = &updates->item[i].member;

		if (membership_find(f->members, m->name) == HANDLE_NONE)
			joined[n++] = m->name;
		membership_apply_update(f->members, &updates->item[i],
					clock_now());
		if (!updates->item[i].is_unlisted)
			freshness_add_domain(&f->fresh, m->domain);
	}
	fleet_unlock(f);
	for (i = 0; i < n; i++)
		log_event(EV_PEER_JOINED, "vm=%s", joined[i]);
}

/* Queues an applied object for the version table; the store's lock is held. */
static void queue_applied(void *ctx, const char *name, uint64_t version,
			  const char *body)
{
	struct gossip *g = ctx;
	struct applied_object *o;
	bool post;

	(void)body;
	apr_thread_mutex_lock(g->applied_lock);
	if (g->n_applied < APPLIED_MAX) {
		o = &g->applied[g->n_applied++];
		snprintf(o->name, sizeof(o->name), "%s", name);
		o->version = version;
	} else {
		g->applied_overflow = true;
	}
	post = !g->applied_posted;
	g->applied_posted = true;
	apr_thread_mutex_unlock(g->applied_lock);
	if (post)
		loop_post(g->loop, add_applied, g);
}

/*
 * Adds the queued objects to the version table, which already has those that
 * came from a watch or a peer, and brings the next round forward: its requests
 * tell peers of the new objects. Loop thread.
 */
static void add_applied(void *ctx)
{
	static struct applied_object
		applied[APPLIED_MAX]; /* loop thread only */
	struct gossip *g = ctx;
	uint32_t n, i;
	bool lost;

	apr_thread_mutex_lock(g->applied_lock);
	n = g->n_applied;
	lost = g->applied_overflow;
	memcpy(applied, g->applied, n * sizeof(applied[0]));
	g->n_applied = 0;
	g->applied_overflow = false;
	g->applied_posted = false;
	apr_thread_mutex_unlock(g->applied_lock);
	apr_thread_mutex_lock(g->lock);
	for (i = 0; i < n; i++)
		anti_entropy_record(g->versions, applied[i].name,
				    applied[i].version, 0);
	if (lost)
		add_all_stored(g);
	apr_thread_mutex_unlock(g->lock);
	loop_timer_set(g->loop, &g->round,
		       g->round_at + ROUND_GAP_MIN_US > clock_now()
			       ? g->round_at + ROUND_GAP_MIN_US
			       : clock_now());
}

/* Adds every object of the store to the version table; the lock is held. */
static void add_all_stored(struct gossip *g)
{
	store_for_each(g->kernel->store, "", add_stored, g);
}

/* Adds one object to the version table; an entry that exists is kept. */
static void add_stored(void *ctx, const char *name, uint64_t version,
		       size_t body_len)
{
	struct gossip *g = ctx;

	(void)body_len;
	anti_entropy_record(g->versions, name, version, 0);
}

/* Starts the first round; loop thread. */
static void start_rounds(void *ctx)
{
	struct gossip *g = ctx;

	loop_timer_set(g->loop, &g->round, clock_now());
}

/* Runs one gossip round: sends requests to a few peers; loop thread. */
static void on_round(void *ctx)
{
	struct request_target targets[ANTI_ENTROPY_FANOUT];
	struct gossip *g = ctx;
	size_t n, i;

	g->round_at = clock_now();
	loop_timer_set(g->loop, &g->round, g->round_at + next_interval(g));
	expire_pending(g);
	n = choose_peers(g, targets);
	for (i = 0; i < n; i++)
		gossip_send_request(g, &targets[i]);
	if (n == 0 || gossip_revision() == 0)
		request_from_seeds(g);
}

/* Removes requests that timed out: retries them or marks the peer as failed. */
static void expire_pending(struct gossip *g)
{
	struct pending_request overdue[PENDING_MAX];
	usec_t now = clock_now();
	size_t n = 0, i;

	apr_thread_mutex_lock(g->lock);
	for (i = 0; i < PENDING_MAX; i++) {
		struct pending_request *a = &g->pending[i];

		if (a->id == 0 || now - a->sent_at < REQUEST_TIMEOUT_US)
			continue;
		overdue[n++] = *a;
		a->id = 0;
	}
	apr_thread_mutex_unlock(g->lock);
	for (i = 0; i < n; i++) {
		if (overdue[i].name[0] != '\0')
			retry_or_fail(g, &overdue[i]);
	}
}

/*
 * Sends a request that timed out again, until REQUEST_ATTEMPTS_MAX were made,
 * so that one lost message does not mark a VM as failed; then marks it and logs
 * that.
 */
static void retry_or_fail(struct gossip *g, const struct pending_request *a)
{
	struct fleet *f = g->kernel->fleet;
	struct request_target again = { .incarnation = a->incarnation,
					.attempts = a->attempts + 1 };
	vm_handle h;
	bool was_alive;

	if (a->attempts + 1 < REQUEST_ATTEMPTS_MAX) {
		snprintf(again.to, sizeof(again.to), "%s", a->name);
		gossip_send_request(g, &again);
		return;
	}
	fleet_lock(f);
	h = membership_find(f->members, a->name);
	was_alive = membership_is_alive(f->members, h);
	membership_on_timeout(f->members, a->name, a->incarnation);
	was_alive = was_alive && !membership_is_alive(f->members, h);
	fleet_unlock(f);
	if (was_alive)
		log_event(EV_PEER_GONE, "vm=%s", a->name);
}

/* Picks this round's peers at random; returns how many. */
static size_t choose_peers(struct gossip *g, struct request_target *out)
{
	struct fleet *f = g->kernel->fleet;
	uint64_t random[ANTI_ENTROPY_FANOUT];
	vm_handle peers[ANTI_ENTROPY_FANOUT];
	size_t n, i;

	memset(out, 0, ANTI_ENTROPY_FANOUT * sizeof(*out));
	randombytes_buf(random, sizeof(random));
	fleet_lock(f);
	n = anti_entropy_pick_peers(f->members, random, ANTI_ENTROPY_FANOUT,
				    peers, ANTI_ENTROPY_FANOUT);
	for (i = 0; i < n; i++) {
		const struct member *m = membership_get(f->members, peers[i]);

		snprintf(out[i].to, sizeof(out[i].to), "%s", m->name);
		out[i].incarnation = m->incarnation;
	}
	fleet_unlock(f);
	return n;
}

/* Sends requests to the peers in the settings, which are known by address. */
static void request_from_seeds(struct gossip *g)
{
	const struct settings *s = &g->kernel->settings;
	struct request_target t = { 0 };
	uint32_t i;

	for (i = 0; i < s->peers.n; i++) {
		if (strcmp(s->peers.address[i], s->peer_listen) == 0)
			continue;
		snprintf(t.to, sizeof(t.to), "%s", s->peers.address[i]);
		gossip_send_request(g, &t);
	}
}

/* Returns the time to the next round: 3/4 to 5/4 of gossip_ms, at random. */
static usec_t next_interval(const struct gossip *g)
{
	uint32_t ms = g->kernel->settings.gossip_ms;
	usec_t us = (usec_t)ms * USEC_PER_MSEC;

	return us * 3 / 4 + randombytes_uniform((uint32_t)(us / 2) + 1);
}

/*
 * Records a request as pending and returns its id. A full table overwrites the
 * oldest one. The lock is held.
 */
static uint64_t pending_add(struct gossip *g, const struct request_target *t)
{
	struct pending_request *a = &g->pending[0];
	size_t i;

	for (i = 0; i < PENDING_MAX && a->id; i++) {
		struct pending_request *b = &g->pending[i];

		if (b->id == 0 || b->sent_at < a->sent_at)
			a = b;
	}
	memset(a, 0, sizeof(*a));
	a->id = ++g->next_id;
	a->incarnation = t->incarnation;
	a->sent_at = clock_now();
	a->attempts = t->attempts;
	a->resumed = t->cursor.revision || t->cursor.hash;
	if (t->incarnation)
		snprintf(a->name, sizeof(a->name), "%s", t->to);
	return a->id;
}
