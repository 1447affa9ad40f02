#include "plugins/gossip.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet_own.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "kernel/plugin.h"
#include "kernel/store.h"
#include "plugins/gossip_own.h"

struct gossip gossip;

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);
static void note_applied(void *ctx, const char *name, uint64_t version,
			 const char *body);
static void take_noted(void *ctx);
static void take_lost(struct gossip *g);
static void take_one(void *ctx, const char *name, uint64_t version,
		     size_t body_len);
static void first_round(void *ctx);
static void on_round(void *ctx);
static void expire_pending(struct gossip *g);
static void give_up(struct gossip *g, const struct pending_ask *a);
static size_t choose_peers(struct gossip *g, struct ask_target *out);
static void ask_seeds(struct gossip *g);
static usec_t next_interval(const struct gossip *g);
static uint64_t pending_put(struct gossip *g, const struct ask_target *t);

static struct plugin plugin = {
	.name = "gossip",
	.rank = RANK_GOSSIP,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Begins to exchange objects, members and freshness with peers. */
static int start(struct kernel *k, struct error *e)
{
	struct gossip *g = &gossip;

	memset(g, 0, sizeof(*g));
	g->kernel = k;
	g->loop = k->platform->loop;
	g->spread = spread_create();
	if (!g->spread || apr_pool_create(&g->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&g->lock, APR_THREAD_MUTEX_DEFAULT,
				    g->pool) != APR_SUCCESS ||
	    apr_thread_mutex_create(&g->noted_lock, APR_THREAD_MUTEX_DEFAULT,
				    g->pool) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_GOSSIP, NULL,
				 "no memory for gossip");
	/* Numbers of an earlier incarnation must not match this one's. */
	randombytes_buf(&g->next_id, sizeof(g->next_id));
	g->next_id &= UINT32_MAX;
	g->round.fn = on_round;
	g->round.ctx = g;
	store_subscribe(k->store, "", NULL, note_applied, g);
	peer_handle(k, PEER_GOSSIP, gossip_on_ask, g);
	peer_handle(k, PEER_GOSSIP_REPLY, gossip_on_answer, g);
	peer_handle(k, PEER_TELL, gossip_on_tell, g);
	peer_handle(k, PEER_TOLD, gossip_on_told, g);
	loop_post(g->loop, first_round, g);
	return 0;
}

/*
 * The tables stay until the process ends: the peer thread and the platform's
 * loop, which stop later, may still be using them.
 */
static void stop(struct kernel *k)
{
	peer_handle(k, PEER_GOSSIP, NULL, NULL);
	peer_handle(k, PEER_GOSSIP_REPLY, NULL, NULL);
	peer_handle(k, PEER_TELL, NULL, NULL);
	peer_handle(k, PEER_TOLD, NULL, NULL);
}

/* Offers an object; the tables of store and spread change together. */
bool gossip_offer(struct kernel *k, const char *name, uint64_t version,
		  uint64_t revision, const char *body, struct error *e)
{
	struct gossip *g = &gossip;
	bool taken;

	apr_thread_mutex_lock(g->lock);
	taken = store_offer(k->store, name, version, body, e);
	if (store_version(k->store, name) == version)
		spread_seen(g->spread, name, version, revision);
	apr_thread_mutex_unlock(g->lock);
	if (taken) {
		counter_add(CTR_CONFIG_APPLIED, 1);
		log_event(EV_CONFIG_APPLIED, "object=%s version=%llu", name,
			  (unsigned long long)version);
	} else if (e->code != ERR_NONE) {
		log_error(EV_CONFIG_REFUSED, e);
	}
	return taken;
}

/* Notes that all up to a revision is applied, as the platform said. */
void gossip_complete(struct kernel *k, uint64_t revision, usec_t asked_at)
{
	struct gossip *g = &gossip;

	apr_thread_mutex_lock(g->lock);
	spread_complete_to(g->spread, revision);
	apr_thread_mutex_unlock(g->lock);
	fleet_lock(k->fleet);
	freshness_platform(&k->fleet->fresh, asked_at);
	fleet_unlock(k->fleet);
}

/* Returns the revision up to which all is applied. */
uint64_t gossip_revision(void)
{
	uint64_t revision;

	apr_thread_mutex_lock(gossip.lock);
	revision = spread_complete(gossip.spread);
	apr_thread_mutex_unlock(gossip.lock);
	return revision;
}

/* Asks a VM for what is lacking here. Any thread; takes the locks. */
void gossip_ask_peer(struct gossip *g, const struct ask_target *t)
{
	struct gossip_ask ask = { 0 };
	msgpack_sbuffer buf;
	uint64_t id;

	apr_thread_mutex_lock(g->lock);
	id = pending_put(g, t);
	spread_ask_fill(g->spread, id, &ask.spread);
	ask.spread.cursor = t->cursor;
	apr_thread_mutex_unlock(g->lock);
	gossip_fill_news(g, t->tries > 0 || t->incarnation == 0, &ask.news);
	msgpack_sbuffer_init(&buf);
	gossip_ask_encode(&buf, &ask);
	peer_send(g->kernel, t->to, PEER_GOSSIP, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Takes a question out of those under way, if "from" was asked it. */
bool gossip_pending_take(struct gossip *g, uint64_t id, const char *from,
			 struct pending_ask *out)
{
	bool found = false;
	size_t i;

	apr_thread_mutex_lock(g->lock);
	for (i = 0; i < PENDING_MAX && !found; i++) {
		struct pending_ask *a = &g->pending[i];

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
 * Fills in the news that were told least, and this VM's own state first if the
 * peer may not know it yet: an answer needs its address.
 */
void gossip_fill_news(struct gossip *g, bool introduce, struct gossip_news *out)
{
	struct fleet *f = g->kernel->fleet;
	const struct member *self;

	fleet_lock(f);
	/* Listeners that bind a free port know it only once they run. */
	members_address_self(f->members, g->kernel->settings.peer_listen,
			     g->kernel->settings.caller_listen);
	if (introduce) {
		self = members_at(f->members, members_self(f->members));
		out->item[out->n++].member = *self;
	}
	out->n += (uint32_t)members_pick_news(f->members, &out->item[out->n],
					      GOSSIP_NEWS_MAX - out->n);
	fleet_unlock(f);
}

/* Applies news of VMs, and names their failure domains. */
void gossip_apply_news(struct gossip *g, const struct gossip_news *news)
{
	struct fleet *f = g->kernel->fleet;
	const char *joined[GOSSIP_NEWS_MAX];
	uint32_t n = 0, i;

	fleet_lock(f);
	for (i = 0; i < news->n; i++) {
		const struct member *m = &news->item[i].member;

		if (members_find(f->members, m->name) == HANDLE_NONE)
			joined[n++] = m->name;
		members_news(f->members, &news->item[i], clock_now());
		if (!news->item[i].off_list)
			freshness_domain(&f->fresh, m->domain);
	}
	fleet_unlock(f);
	for (i = 0; i < n; i++)
		log_event(EV_PEER_JOINED, "vm=%s", joined[i]);
}

/* Notes an object that came into force; inside the store's lock. */
static void note_applied(void *ctx, const char *name, uint64_t version,
			 const char *body)
{
	struct gossip *g = ctx;
	struct noted_object *o;
	bool post;

	(void)body;
	apr_thread_mutex_lock(g->noted_lock);
	if (g->n_noted < NOTED_MAX) {
		o = &g->noted[g->n_noted++];
		snprintf(o->name, sizeof(o->name), "%s", name);
		o->version = version;
	} else {
		g->noted_lost = true;
	}
	post = !g->noted_posted;
	g->noted_posted = true;
	apr_thread_mutex_unlock(g->noted_lock);
	if (post)
		loop_post(g->loop, take_noted, g);
}

/*
 * Puts the noted objects into the spread table, where those from a watch or
 * a peer are already, and asks peers soon, who learn of them by that.
 */
static void take_noted(void *ctx)
{
	static struct noted_object noted[NOTED_MAX]; /* the loop's alone */
	struct gossip *g = ctx;
	uint32_t n, i;
	bool lost;

	apr_thread_mutex_lock(g->noted_lock);
	n = g->n_noted;
	lost = g->noted_lost;
	memcpy(noted, g->noted, n * sizeof(noted[0]));
	g->n_noted = 0;
	g->noted_lost = false;
	g->noted_posted = false;
	apr_thread_mutex_unlock(g->noted_lock);
	apr_thread_mutex_lock(g->lock);
	for (i = 0; i < n; i++)
		spread_seen(g->spread, noted[i].name, noted[i].version, 0);
	if (lost)
		take_lost(g);
	apr_thread_mutex_unlock(g->lock);
	loop_timer_set(g->loop, &g->round,
		       g->round_at + ROUND_GAP_US > clock_now()
			       ? g->round_at + ROUND_GAP_US
			       : clock_now());
}

/* Looks through the whole store for what is not in the table; lock held. */
static void take_lost(struct gossip *g)
{
	store_each(g->kernel->store, "", take_one, g);
}

/* Puts one object into the table, which keeps it if it is there already. */
static void take_one(void *ctx, const char *name, uint64_t version,
		     size_t body_len)
{
	struct gossip *g = ctx;

	(void)body_len;
	spread_seen(g->spread, name, version, 0);
}

/* Starts the rounds; on the loop. */
static void first_round(void *ctx)
{
	struct gossip *g = ctx;

	loop_timer_set(g->loop, &g->round, clock_now());
}

/* Asks a few peers. */
static void on_round(void *ctx)
{
	struct ask_target targets[SPREAD_FANOUT];
	struct gossip *g = ctx;
	size_t n, i;

	g->round_at = clock_now();
	loop_timer_set(g->loop, &g->round, g->round_at + next_interval(g));
	expire_pending(g);
	n = choose_peers(g, targets);
	for (i = 0; i < n; i++)
		gossip_ask_peer(g, &targets[i]);
	if (n == 0 || gossip_revision() == 0)
		ask_seeds(g);
}

/* Asks again where an answer is overdue, or takes the peer to be down. */
static void expire_pending(struct gossip *g)
{
	struct pending_ask overdue[PENDING_MAX];
	usec_t now = clock_now();
	size_t n = 0, i;

	apr_thread_mutex_lock(g->lock);
	for (i = 0; i < PENDING_MAX; i++) {
		struct pending_ask *a = &g->pending[i];

		if (a->id == 0 || now - a->asked_at < ASK_TIMEOUT_US)
			continue;
		overdue[n++] = *a;
		a->id = 0;
	}
	apr_thread_mutex_unlock(g->lock);
	for (i = 0; i < n; i++) {
		if (overdue[i].name[0] != '\0')
			give_up(g, &overdue[i]);
	}
}

/* One lost message is not taken for a lost VM: the question goes out twice. */
static void give_up(struct gossip *g, const struct pending_ask *a)
{
	struct fleet *f = g->kernel->fleet;
	struct ask_target again = { .incarnation = a->incarnation,
				    .tries = a->tries + 1 };
	vm_handle h;
	bool was_alive;

	if (a->tries + 1 < ASK_TRIES) {
		snprintf(again.to, sizeof(again.to), "%s", a->name);
		gossip_ask_peer(g, &again);
		return;
	}
	fleet_lock(f);
	h = members_find(f->members, a->name);
	was_alive = members_alive(f->members, h);
	members_unanswered(f->members, a->name, a->incarnation);
	was_alive = was_alive && !members_alive(f->members, h);
	fleet_unlock(f);
	if (was_alive)
		log_event(EV_PEER_GONE, "vm=%s", a->name);
}

/* Draws this round's peers. */
static size_t choose_peers(struct gossip *g, struct ask_target *out)
{
	struct fleet *f = g->kernel->fleet;
	uint64_t random[SPREAD_FANOUT];
	vm_handle peers[SPREAD_FANOUT];
	size_t n, i;

	memset(out, 0, SPREAD_FANOUT * sizeof(*out));
	randombytes_buf(random, sizeof(random));
	fleet_lock(f);
	n = spread_peers(f->members, random, SPREAD_FANOUT, peers,
			 SPREAD_FANOUT);
	for (i = 0; i < n; i++) {
		const struct member *m = members_at(f->members, peers[i]);

		snprintf(out[i].to, sizeof(out[i].to), "%s", m->name);
		out[i].incarnation = m->incarnation;
	}
	fleet_unlock(f);
	return n;
}

/* Asks the peers of the settings, while no others are known. */
static void ask_seeds(struct gossip *g)
{
	const struct settings *s = &g->kernel->settings;
	struct ask_target t = { 0 };
	uint32_t i;

	for (i = 0; i < s->peers.n; i++) {
		if (strcmp(s->peers.address[i], s->peer_listen) == 0)
			continue;
		snprintf(t.to, sizeof(t.to), "%s", s->peers.address[i]);
		gossip_ask_peer(g, &t);
	}
}

/* Between three and five quarters of the set interval, at random. */
static usec_t next_interval(const struct gossip *g)
{
	uint32_t ms = g->kernel->settings.gossip_ms;
	usec_t us = (usec_t)ms * USEC_PER_MSEC;

	return us * 3 / 4 + randombytes_uniform((uint32_t)(us / 2) + 1);
}

/* Keeps a question, over the oldest if there is no room; lock held. */
static uint64_t pending_put(struct gossip *g, const struct ask_target *t)
{
	struct pending_ask *a = &g->pending[0];
	size_t i;

	for (i = 0; i < PENDING_MAX && a->id; i++) {
		struct pending_ask *b = &g->pending[i];

		if (b->id == 0 || b->asked_at < a->asked_at)
			a = b;
	}
	memset(a, 0, sizeof(*a));
	a->id = ++g->next_id;
	a->incarnation = t->incarnation;
	a->asked_at = clock_now();
	a->tries = t->tries;
	a->resumed = t->cursor.revision || t->cursor.hash;
	if (t->incarnation)
		snprintf(a->name, sizeof(a->name), "%s", t->to);
	return a->id;
}
