#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet_own.h"
#include "kernel/log.h"
#include "kernel/store.h"
#include "plugins/gossip_own.h"

static void take_pieces(struct gossip *g, const char *from,
			uint64_t incarnation, const struct gossip_answer *a,
			usec_t asked_at);
static void answer(struct gossip *g, const char *to,
		   const struct gossip_ask *ask);
static void fill_objects(struct gossip *g, const struct gossip_ask *ask,
			 struct gossip_answer *out);
static void fill_freshness(struct gossip *g, struct gossip_answer *out);
static size_t object_size(void *ctx, const char *name);
static void ask_back(struct gossip *g, const char *from, uint64_t incarnation,
		     const struct spread_ask *ask);
static bool asked_lately(const struct gossip *g, const char *name);
static void apply_objects(struct gossip *g, const struct gossip_answer *a);
static void apply_freshness(struct gossip *g, const char *from,
			    const struct gossip_answer *a, usec_t asked_at);
static void refuse(const struct error *e, const char *from);

/* A peer asks what it lacks: answer, and ask in turn if it has more. */
void gossip_on_ask(void *ctx, const char *from, uint64_t incarnation,
		   const void *body, size_t len)
{
	struct gossip *g = ctx;
	struct gossip_ask ask;
	struct error e = { 0 };

	if (gossip_ask_decode(body, len, &ask, &e)) {
		refuse(&e, from);
		return;
	}
	gossip_apply_news(g, &ask.news);
	answer(g, from, &ask);
	ask_back(g, from, incarnation, &ask.spread);
}

/* A peer's answer: apply it whole, then adopt how recent the peer is. */
void gossip_on_answer(void *ctx, const char *from, uint64_t incarnation,
		      const void *body, size_t len)
{
	struct ask_target more = { .incarnation = incarnation };
	struct gossip *g = ctx;
	struct gossip_answer *a = malloc(sizeof(*a));
	struct pending_ask asked;
	struct error e = { 0 };
	msgpack_unpacked u;

	if (!a)
		return;
	msgpack_unpacked_init(&u);
	if (gossip_answer_decode(&u, body, len, a, &e)) {
		refuse(&e, from);
	} else if (gossip_pending_take(g, a->id, from, &asked)) {
		gossip_apply_news(g, &a->news);
		/* A cursor of its former life would skip what it had not sent.
		 */
		if (asked.resumed && asked.incarnation != incarnation) {
			memcpy(more.to, from, strlen(from) + 1);
			gossip_ask_peer(g, &more);
		} else {
			take_pieces(g, from, incarnation, a, asked.asked_at);
		}
	}
	msgpack_unpacked_destroy(&u);
	free(a);
}

/* Applies one piece of an answer and asks for the next, if there is one. */
static void take_pieces(struct gossip *g, const char *from,
			uint64_t incarnation, const struct gossip_answer *a,
			usec_t asked_at)
{
	struct ask_target more = { .incarnation = incarnation };

	apply_objects(g, a);
	apply_freshness(g, from, a, asked_at);
	if (a->cursor.ended)
		return;
	memcpy(more.to, from, strlen(from) + 1);
	more.cursor = a->cursor;
	gossip_ask_peer(g, &more);
}

/* Sends what the asker lacks, and what is known here lately. */
static void answer(struct gossip *g, const char *to,
		   const struct gossip_ask *ask)
{
	struct gossip_answer *a = calloc(1, sizeof(*a));
	msgpack_sbuffer buf;
	uint32_t i;

	if (!a)
		return;
	a->id = ask->spread.id;
	fill_freshness(g, a);
	fill_objects(g, ask, a);
	gossip_fill_news(g, false, &a->news);
	msgpack_sbuffer_init(&buf);
	gossip_answer_encode(&buf, a);
	peer_send(g->kernel, to, PEER_GOSSIP_REPLY, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	for (i = 0; i < a->n_objects; i++)
		free((char *)a->objects[i].body);
	free(a);
}

/*
 * Copies the objects that the asker lacks. An object that is newer in the
 * store than in the table goes without a revision, as its own is not known.
 */
static void fill_objects(struct gossip *g, const struct gossip_ask *ask,
			 struct gossip_answer *out)
{
	struct spread_object due[GOSSIP_OBJECTS_MAX];
	struct store *s = g->kernel->store;
	size_t n, i;

	apr_thread_mutex_lock(g->lock);
	n = spread_answer(g->spread, &ask->spread, due, GOSSIP_OBJECTS_MAX,
			  GOSSIP_BODIES_BYTES, object_size, s, &out->cursor);
	for (i = 0; i < n; i++) {
		struct gossip_object *o = &out->objects[out->n_objects];

		o->body = store_get(s, due[i].name, &o->version);
		if (!o->body)
			continue;
		memcpy(o->name, due[i].name, sizeof(due[i].name));
		o->body_len = strlen(o->body);
		o->revision =
			o->version == due[i].version ? due[i].revision : 0;
		out->n_objects++;
	}
	apr_thread_mutex_unlock(g->lock);
}

/*
 * Fills in how old this VM's word of the platform and its contacts are. This
 * comes before the objects, so that these hold all that the word vouches for.
 */
static void fill_freshness(struct gossip *g, struct gossip_answer *out)
{
	struct fleet *f = g->kernel->fleet;
	usec_t now = clock_now();
	uint32_t i;

	fleet_lock(f);
	out->word_age_us = freshness_word_age(&f->fresh, now);
	for (i = 1; i < f->fresh.n; i++) {
		struct gossip_contact *c = &out->contacts[out->n_contacts];

		if (f->fresh.domain[i].at == INT64_MIN)
			continue;
		memcpy(c->domain, f->fresh.domain[i].name, sizeof(c->domain));
		c->age_us = now - f->fresh.domain[i].at;
		out->n_contacts++;
	}
	fleet_unlock(f);
}

/* Bytes of an object in an answer. */
static size_t object_size(void *ctx, const char *name)
{
	return store_size(ctx, name);
}

/* Asks a peer that has what is lacking here, unless it was asked just now. */
static void ask_back(struct gossip *g, const char *from, uint64_t incarnation,
		     const struct spread_ask *ask)
{
	struct ask_target t = { .incarnation = incarnation };
	bool lacks;

	apr_thread_mutex_lock(g->lock);
	lacks = ask->complete > spread_complete(g->spread) ||
		!spread_has(g->spread, ask);
	lacks = lacks && !asked_lately(g, from);
	apr_thread_mutex_unlock(g->lock);
	if (!lacks)
		return;
	memcpy(t.to, from, strlen(from) + 1);
	gossip_ask_peer(g, &t);
}

/* Is a recent question to a VM under way? The lock is held. */
static bool asked_lately(const struct gossip *g, const char *name)
{
	usec_t now = clock_now();
	size_t i;

	for (i = 0; i < PENDING_MAX; i++) {
		const struct pending_ask *a = &g->pending[i];

		if (a->id && now - a->asked_at < ASK_BACK_GAP_US &&
		    strcmp(a->name, name) == 0)
			return true;
	}
	return false;
}

/* Offers each object; the cursor says what is complete with them. */
static void apply_objects(struct gossip *g, const struct gossip_answer *a)
{
	struct error e;
	uint32_t i;
	char *body;

	for (i = 0; i < a->n_objects; i++) {
		const struct gossip_object *o = &a->objects[i];

		body = strndup(o->body ? o->body : "", o->body_len);
		if (!body)
			return;
		gossip_offer(g->kernel, o->name, o->version, o->revision, body,
			     &e);
		free(body);
	}
	if (!a->cursor.ended)
		return;
	apr_thread_mutex_lock(g->lock);
	spread_complete_to(g->spread, a->cursor.upto);
	apr_thread_mutex_unlock(g->lock);
}

/* A peer's word counts once all that it had is applied here. */
static void apply_freshness(struct gossip *g, const char *from,
			    const struct gossip_answer *a, usec_t asked_at)
{
	struct fleet *f = g->kernel->fleet;
	const struct member *peer;
	uint32_t i;

	fleet_lock(f);
	peer = members_at(f->members, members_find(f->members, from));
	if (peer) {
		freshness_peer(&f->fresh, peer->domain, asked_at,
			       a->cursor.whole ? a->word_age_us : -1);
		/* Who may not rely on its word vouches for no contact. */
		for (i = 0; i < a->n_contacts && a->word_age_us >= 0; i++)
			freshness_contact(&f->fresh, a->contacts[i].domain,
					  asked_at, a->contacts[i].age_us);
	}
	fleet_unlock(f);
}

/* Counts and logs a body that could not be read. */
static void refuse(const struct error *e, const char *from)
{
	struct error named = *e;

	memcpy(named.peer, from, strlen(from) + 1);
	counter_add(CTR_PEER_BAD, 1);
	log_error(EV_PEER_BAD_MESSAGE, &named);
}
