#include "kernel/engine_own.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet.h"
#include "kernel/log.h"
#include "kernel/peer.h"
#include "kernel/wire.h"

#define OPINIONS_ASKED 3
#define WORD_FIELDS    4
#define TELL_MAX       64

/* What VMs tell each other of a group: [service, term, primary, word]. */
struct group_word {
	struct engine *engine;
	char from[NAME_MAX_BYTES];
	enum peer_type type;
	char service[NAME_MAX_BYTES];
	char primary[NAME_MAX_BYTES]; /* GROUP_VIEW; empty in a hold */
	uint64_t term;
	uint64_t word; /* an opinion, or how long to hold, in microseconds */
};

static void send_word(struct kernel *k, const char *to, enum peer_type type,
		      const struct group_word *w);
static void tell_all(struct group *g, enum peer_type type,
		     const struct group_word *w);
static int unpack(struct group_word *w, const void *body, size_t len);
static void on_opinion(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
static void on_opinion_reply(void *ctx, const char *from, uint64_t incarnation,
			     const void *body, size_t len);
static void on_view(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len);
static void receive(struct engine *e, enum peer_type type, const char *from,
		    const void *body, size_t len);
static void handle(void *ctx);
static void take_view(struct group *g, const struct group_word *w);

/* Takes the peers' words on groups. */
void group_peer_start(struct engine *e)
{
	peer_handle(e->kernel, PEER_OPINION, on_opinion, e);
	peer_handle(e->kernel, PEER_OPINION_REPLY, on_opinion_reply, e);
	peer_handle(e->kernel, PEER_GROUP_VIEW, on_view, e);
}

/* Asks VMs in other failure domains what they hear of the primary. */
void group_peer_ask_opinion(struct group *g, uint64_t term)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm vms[OPINIONS_ASKED];
	struct group_word w = { .term = term };
	size_t n = fleet_pick(k, OPINIONS_ASKED, k->settings.domain, vms), i;

	memcpy(w.service, g->service, sizeof(w.service));
	for (i = 0; i < n; i++)
		send_word(k, vms[i].name, PEER_OPINION, &w);
}

/* Tells the fleet of a new primary; what is lost here gossip brings. */
void group_peer_tell_view(struct group *g, uint64_t term, uint32_t primary)
{
	struct group_word w = { .term = term };

	memcpy(w.service, g->service, sizeof(w.service));
	memcpy(w.primary, g->db[primary]->name, sizeof(w.primary));
	tell_all(g, PEER_GROUP_VIEW, &w);
}

/* Asks the fleet to start no write for a while; 0 ends it. */
void group_peer_tell_hold(struct group *g, uint64_t term, usec_t hold_us)
{
	struct group_word w = { .term = term,
				.word = hold_us > 0 ? (uint64_t)hold_us : 0 };

	memcpy(w.service, g->service, sizeof(w.service));
	tell_all(g, PEER_GROUP_VIEW, &w);
}

/* Sends to every VM known, up to a bound. */
static void tell_all(struct group *g, enum peer_type type,
		     const struct group_word *w)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm *vms = calloc(TELL_MAX, sizeof(*vms));
	size_t n, i;

	if (!vms)
		return;
	n = fleet_snapshot(k, vms, TELL_MAX);
	for (i = 0; i < n; i++) {
		if (strcmp(vms[i].name, k->settings.vm) != 0)
			send_word(k, vms[i].name, type, w);
	}
	free(vms);
}

/* Packs and sends one word. */
static void send_word(struct kernel *k, const char *to, enum peer_type type,
		      const struct group_word *w)
{
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, WORD_FIELDS);
	wire_put_str(&p, w->service);
	msgpack_pack_uint64(&p, w->term);
	wire_put_str(&p, w->primary);
	msgpack_pack_uint64(&p, w->word);
	peer_send(k, to, type, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Unpacks one word; -1 if it is not of that form. */
static int unpack(struct group_word *w, const void *body, size_t len)
{
	struct wire_reader r;
	msgpack_unpacked u;

	msgpack_unpacked_init(&u);
	if (!wire_unpack(&u, body, len)) {
		msgpack_unpacked_destroy(&u);
		return -1;
	}
	r = wire_array(&u.data, WORD_FIELDS);
	wire_str(&r, w->service, sizeof(w->service));
	w->term = wire_u64(&r);
	wire_str(&r, w->primary, sizeof(w->primary));
	w->word = wire_u64(&r);
	msgpack_unpacked_destroy(&u);
	return r.bad ? -1 : 0;
}

/* Peer thread. */
static void on_opinion(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	(void)incarnation;
	receive(ctx, PEER_OPINION, from, body, len);
}

/* Peer thread. */
static void on_opinion_reply(void *ctx, const char *from, uint64_t incarnation,
			     const void *body, size_t len)
{
	(void)incarnation;
	receive(ctx, PEER_OPINION_REPLY, from, body, len);
}

/* Peer thread. */
static void on_view(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len)
{
	(void)incarnation;
	receive(ctx, PEER_GROUP_VIEW, from, body, len);
}

/* Hands a word to the shard of its group. Peer thread. */
static void receive(struct engine *e, enum peer_type type, const char *from,
		    const void *body, size_t len)
{
	struct group_word *w = calloc(1, sizeof(*w));

	if (!w)
		return;
	w->engine = e;
	w->type = type;
	memcpy(w->from, from, strnlen(from, sizeof(w->from) - 1));
	if (unpack(w, body, len)) {
		counter_add(CTR_PEER_BAD, 1);
		log_event(EV_PEER_BAD_MESSAGE, "from=%s type=%d", w->from,
			  (int)type);
		free(w);
		return;
	}
	loop_post(engine_shard(e, w->service)->loop, handle, w);
}

/* The shard's loop: acts on a peer's word. Takes the lock. */
static void handle(void *ctx)
{
	struct group_word *w = ctx;
	struct shard *s = engine_shard(w->engine, w->service);
	struct promote_env env;
	struct group *g;

	shard_lock(s);
	g = shard_group(s, w->service);
	if (g && w->type == PEER_OPINION) {
		g->used_at = clock_now(); /* so that the group is probed */
		group_poke(g);
		w->word =
			promote_give_opinion(&g->promote, &g->view, w->term,
					     group_unanswered(g), clock_now());
		send_word(s->kernel, w->from, PEER_OPINION_REPLY, w);
	} else if (g && w->type == PEER_OPINION_REPLY) {
		env = group_env(g, clock_now());
		if (w->word <= OPINION_NONE)
			promote_opinion(&g->promote, &env, w->term,
					(enum opinion)w->word);
		group_poke(g);
	} else if (g) {
		take_view(g, w);
	}
	shard_unlock(s);
	free(w);
}

/* A peer tells of a new primary, or asks to hold writes. */
static void take_view(struct group *g, const struct group_word *w)
{
	usec_t most = g->promote.policy.handover.hold_max_us;
	usec_t hold = w->word < (uint64_t)most ? (usec_t)w->word : most;
	uint32_t primary;

	if (!w->primary[0]) {
		if (w->term != g->view.term)
			return;
		g->hold_until = hold ? clock_now() + hold : 0;
		group_view_changed(g);
		group_poke(g);
		return;
	}
	primary = group_find_db(g, w->primary);
	if (primary != DB_NONE)
		failover_heard(g, w->term, primary, false, w->term);
}
