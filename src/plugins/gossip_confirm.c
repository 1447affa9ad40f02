#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet_internal.h"
#include "kernel/log.h"
#include "kernel/object_store.h"
#include "plugins/gossip_internal.h"

/*
 * A change that waits for the acknowledgement of another VM. gossip.lock guards
 * "next", "ended" and, while the job is listed, changes of "acceptance".
 */
struct confirm_job {
	struct confirm_job *next;
	struct gossip *gossip;
	struct gossip_confirm *owner;
	struct write_acceptance acceptance;
	struct loop_timer timer; /* loop thread only */
	uint64_t id;
	usec_t deadline;
	bool ended; /* acknowledged; finish() has been posted to the loop */
};

static void start_job(void *ctx);
static void on_timer(void *ctx);
static void push_to_peers(struct confirm_job *j);
static void push_object(struct gossip *g, const char *to, uint64_t id,
			const char *name);
static void finish(void *ctx);
static void unlink_job(struct confirm_job *j);
static void on_ack(struct gossip *g, const char *from,
		   const struct gossip_push *ack);

/* Starts to confirm a change; any thread. */
void gossip_confirm(struct kernel *k, struct gossip_confirm *c)
{
	struct confirm_job *j = calloc(1, sizeof(*j));

	(void)k;
	if (!j)
		abort();
	j->gossip = &gossip;
	j->owner = c;
	j->deadline = clock_now() + c->timeout;
	j->timer.fn = on_timer;
	j->timer.ctx = j;
	c->known_by[0] = '\0';
	c->known_domain[0] = '\0';
	loop_post(gossip.loop, start_job, j);
}

/*
 * Handles an object that a peer pushed right after it was written: applies it
 * and acknowledges with the version that is now known here.
 */
void gossip_on_push(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len)
{
	struct gossip *g = ctx;
	struct gossip_push t;
	struct error e = { 0 };
	msgpack_unpacked u;
	msgpack_sbuffer buf;
	char *text;

	(void)incarnation;
	msgpack_unpacked_init(&u);
	if (gossip_push_decode(&u, body, len, &t, &e)) {
		counter_add(CTR_PEER_BAD, 1);
		log_error(EV_PEER_BAD_MESSAGE, &e);
		msgpack_unpacked_destroy(&u);
		return;
	}
	text = strndup(t.object.body ? t.object.body : "", t.object.body_len);
	if (text)
		gossip_apply_object(g->kernel, t.object.name, t.object.version,
				    0, text, &e);
	free(text);
	msgpack_unpacked_destroy(&u);
	t.object.version = store_version(g->kernel->store, t.object.name);
	t.object.body = NULL;
	t.object.body_len = 0;
	msgpack_sbuffer_init(&buf);
	gossip_push_encode(&buf, &t);
	peer_send(g->kernel, from, PEER_OBJECT_ACK, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * Handles a peer's acknowledgement, which says which version of an object the
 * peer holds.
 */
void gossip_on_push_ack(void *ctx, const char *from, uint64_t incarnation,
			const void *body, size_t len)
{
	struct gossip_push ack;
	struct error e = { 0 };
	msgpack_unpacked u;

	(void)incarnation;
	msgpack_unpacked_init(&u);
	if (gossip_push_decode(&u, body, len, &ack, &e) == 0)
		on_ack(ctx, from, &ack);
	else
		log_error(EV_PEER_BAD_MESSAGE, &e);
	msgpack_unpacked_destroy(&u);
}

/*
 * Adds the job to the list of waiting ones and makes the first attempt, or
 * finishes at once if the fleet has no other VM that has to know. Loop thread.
 */
static void start_job(void *ctx)
{
	struct confirm_job *j = ctx;
	struct gossip *g = j->gossip;

	fleet_lock(g->kernel->fleet);
	write_acceptance_init(&j->acceptance, g->kernel->fleet->members,
			      clock_now());
	fleet_unlock(g->kernel->fleet);
	if (j->acceptance.accepted) {
		finish(j);
		return;
	}
	apr_thread_mutex_lock(g->lock);
	j->id = ++g->next_id;
	j->next = g->confirms;
	g->confirms = j;
	apr_thread_mutex_unlock(g->lock);
	on_timer(j);
}

/*
 * Pushes the object to peers drawn at random, and again every CONFIRM_RETRY_US
 * until the job has ended; finishes the job at its deadline. Loop thread.
 */
static void on_timer(void *ctx)
{
	struct confirm_job *j = ctx;
	usec_t now = clock_now();
	bool ended;

	apr_thread_mutex_lock(j->gossip->lock);
	ended = j->ended;
	if (!ended && now >= j->deadline)
		unlink_job(j);
	apr_thread_mutex_unlock(j->gossip->lock);
	if (ended)
		return;
	if (now >= j->deadline) {
		finish(j);
		return;
	}
	push_to_peers(j);
	loop_timer_set(j->gossip->loop, &j->timer, now + CONFIRM_RETRY_US);
}

/* Pushes the object to peers whose acknowledgement would count. */
static void push_to_peers(struct confirm_job *j)
{
	struct kernel *k = j->gossip->kernel;
	const char *not_domain =
		j->acceptance.need_domain ? k->settings.domain : NULL;
	struct fleet_vm peers[CONFIRM_PEERS];
	size_t n, i;

	n = fleet_sample(k, CONFIRM_PEERS, not_domain, peers);
	for (i = 0; i < n; i++)
		push_object(j->gossip, peers[i].name, j->id, j->owner->name);
}

/* Sends the version of an object that the store holds now. */
static void push_object(struct gossip *g, const char *to, uint64_t id,
			const char *name)
{
	struct gossip_push t = { .id = id };
	msgpack_sbuffer buf;
	char *body;

	body = store_get(g->kernel->store, name, &t.object.version);
	if (!body)
		return;
	snprintf(t.object.name, sizeof(t.object.name), "%s", name);
	t.object.body = body;
	t.object.body_len = strlen(body);
	msgpack_sbuffer_init(&buf);
	gossip_push_encode(&buf, &t);
	peer_send(g->kernel, to, PEER_OBJECT_PUSH, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	free(body);
}

/* Sets the result, frees the job and calls done(); loop thread, once. */
static void finish(void *ctx)
{
	struct confirm_job *j = ctx;
	struct gossip_confirm *c = j->owner;

	loop_timer_clear(j->gossip->loop, &j->timer);
	c->missing = MISSING_NOTHING;
	if (!j->acceptance.accepted)
		c->missing = j->acceptance.need_domain ? MISSING_DOMAIN
						       : MISSING_PEER;
	free(j);
	c->done(c);
}

/* Removes a job from the list of waiting ones; the lock is held. */
static void unlink_job(struct confirm_job *j)
{
	struct confirm_job **p;

	for (p = &j->gossip->confirms; *p; p = &(*p)->next) {
		if (*p == j) {
			*p = j->next;
			return;
		}
	}
}

/* Finishes the job that an acknowledgement completes. Takes the lock. */
static void on_ack(struct gossip *g, const char *from,
		   const struct gossip_push *ack)
{
	struct fleet_vm peer;
	struct confirm_job *j;

	if (!fleet_find(g->kernel, from, &peer))
		return;
	apr_thread_mutex_lock(g->lock);
	for (j = g->confirms; j; j = j->next) {
		if (j->id == ack->id &&
		    strcmp(j->owner->name, ack->object.name) == 0 &&
		    ack->object.version >= j->owner->version &&
		    write_acceptance_on_ack(&j->acceptance, peer.domain))
			break;
	}
	if (j) {
		memcpy(j->owner->known_by, peer.name, sizeof(peer.name));
		memcpy(j->owner->known_domain, peer.domain,
		       sizeof(peer.domain));
		j->ended = true;
		unlink_job(j);
	}
	apr_thread_mutex_unlock(g->lock);
	if (j)
		loop_post(g->loop, finish, j);
}
