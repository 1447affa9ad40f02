#include "kernel/engine_internal.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet.h"
#include "kernel/log.h"
#include "kernel/peer.h"
#include "kernel/wire.h"

#define OPINIONS_REQUESTED 3
#define MSG_FIELDS	   4
#define RECIPIENTS_MAX	   64

/*
 * A message between VMs about a group, packed as the array [service, term,
 * primary, value].
 */
struct group_msg {
	struct engine *engine;
	char from[NAME_MAX_BYTES];
	enum peer_type type;
	char service[NAME_MAX_BYTES];
	char primary[NAME_MAX_BYTES]; /* GROUP_VIEW; empty for a hold */
	uint64_t term;
	uint64_t value; /* enum opinion, or microseconds to hold writes */
};

static void send_msg(struct kernel *k, const char *to, enum peer_type type,
		     const struct group_msg *msg);
static void send_to_all(struct group *g, enum peer_type type,
			const struct group_msg *msg);
static int unpack(struct group_msg *msg, const void *body, size_t len);
static void on_opinion(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
static void on_opinion_reply(void *ctx, const char *from, uint64_t incarnation,
			     const void *body, size_t len);
static void on_view(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len);
static void receive(struct engine *e, enum peer_type type, const char *from,
		    const void *body, size_t len);
static void handle_msg(void *ctx);
static void handle_view(struct group *g, const struct group_msg *msg);

/* Registers the handlers for messages about groups. */
void group_peer_start(struct engine *e)
{
	peer_set_handler(e->kernel, PEER_OPINION, on_opinion, e);
	peer_set_handler(e->kernel, PEER_OPINION_REPLY, on_opinion_reply, e);
	peer_set_handler(e->kernel, PEER_GROUP_VIEW, on_view, e);
}

/* Asks VMs in other failure domains whether they hear from the primary. */
void group_peer_ask_opinion(struct group *g, uint64_t term)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm vms[OPINIONS_REQUESTED];
	struct group_msg msg = { .term = term };
	size_t n = fleet_sample(k, OPINIONS_REQUESTED, k->settings.domain, vms),
	       i;

	memcpy(msg.service, g->service, sizeof(msg.service));
	for (i = 0; i < n; i++)
		send_msg(k, vms[i].name, PEER_OPINION, &msg);
}

/*
 * Announces a new primary to all VMs. A VM that misses the message learns of it
 * by gossip.
 */
void group_peer_announce_primary(struct group *g, uint64_t term,
				 uint32_t primary)
{
	struct group_msg msg = { .term = term };

	memcpy(msg.service, g->service, sizeof(msg.service));
	memcpy(msg.primary, g->db[primary]->name, sizeof(msg.primary));
	send_to_all(g, PEER_GROUP_VIEW, &msg);
}

/* Asks all VMs to start no write for hold_us microseconds; 0 ends the hold. */
void group_peer_announce_hold(struct group *g, uint64_t term, usec_t hold_us)
{
	struct group_msg msg = { .term = term,
				 .value = hold_us > 0 ? (uint64_t)hold_us : 0 };

	memcpy(msg.service, g->service, sizeof(msg.service));
	send_to_all(g, PEER_GROUP_VIEW, &msg);
}

/* Sends a message to every other VM known, at most RECIPIENTS_MAX. */
static void send_to_all(struct group *g, enum peer_type type,
			const struct group_msg *msg)
{
	struct kernel *k = g->shard->kernel;
	struct fleet_vm *vms = calloc(RECIPIENTS_MAX, sizeof(*vms));
	size_t n, i;

	if (!vms)
		return;
	n = fleet_snapshot(k, vms, RECIPIENTS_MAX);
	for (i = 0; i < n; i++) {
		if (strcmp(vms[i].name, k->settings.vm) != 0)
			send_msg(k, vms[i].name, type, msg);
	}
	free(vms);
}

/* Packs and sends one message. */
static void send_msg(struct kernel *k, const char *to, enum peer_type type,
		     const struct group_msg *msg)
{
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, MSG_FIELDS);
	wire_put_str(&p, msg->service);
	msgpack_pack_uint64(&p, msg->term);
	wire_put_str(&p, msg->primary);
	msgpack_pack_uint64(&p, msg->value);
	peer_send(k, to, type, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Unpacks a message; -1 if it is malformed. */
static int unpack(struct group_msg *msg, const void *body, size_t len)
{
	struct wire_reader r;
	msgpack_unpacked u;

	msgpack_unpacked_init(&u);
	if (!wire_unpack(&u, body, len)) {
		msgpack_unpacked_destroy(&u);
		return -1;
	}
	r = wire_array(&u.data, MSG_FIELDS);
	wire_str(&r, msg->service, sizeof(msg->service));
	msg->term = wire_u64(&r);
	wire_str(&r, msg->primary, sizeof(msg->primary));
	msg->value = wire_u64(&r);
	msgpack_unpacked_destroy(&u);
	return r.bad ? -1 : 0;
}

/*
 * Handles a peer's question whether this VM hears from the group's primary.
 * Peer thread.
 */
static void on_opinion(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	(void)incarnation;
	receive(ctx, PEER_OPINION, from, body, len);
}

/*
 * Handles a peer's reply to the question whether it hears from the primary.
 * Peer thread.
 */
static void on_opinion_reply(void *ctx, const char *from, uint64_t incarnation,
			     const void *body, size_t len)
{
	(void)incarnation;
	receive(ctx, PEER_OPINION_REPLY, from, body, len);
}

/*
 * Handles a peer's announcement of a new primary, or its request to hold
 * writes. Peer thread.
 */
static void on_view(void *ctx, const char *from, uint64_t incarnation,
		    const void *body, size_t len)
{
	(void)incarnation;
	receive(ctx, PEER_GROUP_VIEW, from, body, len);
}

/*
 * Unpacks a message and posts it to the shard of its group; counts and logs one
 * that is malformed. Peer thread.
 */
static void receive(struct engine *e, enum peer_type type, const char *from,
		    const void *body, size_t len)
{
	struct group_msg *msg = calloc(1, sizeof(*msg));

	if (!msg)
		return;
	msg->engine = e;
	msg->type = type;
	memcpy(msg->from, from, strnlen(from, sizeof(msg->from) - 1));
	if (unpack(msg, body, len)) {
		counter_add(CTR_PEER_BAD, 1);
		log_event(EV_PEER_BAD_MESSAGE, "from=%s type=%d", msg->from,
			  (int)type);
		free(msg);
		return;
	}
	loop_post(engine_shard(e, msg->service)->loop, handle_msg, msg);
}

/* Processes a peer's message on the shard's loop. Takes the lock. */
static void handle_msg(void *ctx)
{
	struct group_msg *msg = ctx;
	struct shard *s = engine_shard(msg->engine, msg->service);
	struct promote_env env;
	struct group *g;

	shard_lock(s);
	g = shard_group(s, msg->service);
	if (g && msg->type == PEER_OPINION) {
		g->last_request_at = clock_now(); /* starts probing the group */
		group_tick_soon(g);
		msg->value = promote_give_opinion(
			&g->promote, &g->view, msg->term,
			group_unanswered_since(g), clock_now());
		send_msg(s->kernel, msg->from, PEER_OPINION_REPLY, msg);
	} else if (g && msg->type == PEER_OPINION_REPLY) {
		env = group_promote_env(g, clock_now());
		if (msg->value <= OPINION_NONE)
			promote_opinion(&g->promote, &env, msg->term,
					(enum opinion)msg->value);
		group_tick_soon(g);
	} else if (g) {
		handle_view(g, msg);
	}
	shard_unlock(s);
	free(msg);
}

/*
 * Applies a peer's announcement of a new primary, or its request to hold
 * writes. A hold for another term is ignored; its length is limited.
 */
static void handle_view(struct group *g, const struct group_msg *msg)
{
	usec_t max_hold = g->promote.policy.handover.hold_max_us;
	usec_t hold =
		msg->value < (uint64_t)max_hold ? (usec_t)msg->value : max_hold;
	uint32_t primary;

	if (!msg->primary[0]) {
		if (msg->term != g->view.term)
			return;
		g->hold_until = hold ? clock_now() + hold : 0;
		group_view_changed(g);
		group_tick_soon(g);
		return;
	}
	primary = group_find_db(g, msg->primary);
	if (primary != DB_NONE)
		failover_note_term(g, msg->term, primary, false, msg->term);
}
