#include "kernel/teams.h"

#include "kernel/counters.h"
#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/peer.h"
#include "kernel/platform.h"
#include "kernel/plugin.h"
#include "plugins/escrow_codec.h"

static int start(struct kernel *k, struct error *e);
static void drain(struct kernel *k);
static bool drained(struct kernel *k);
static void stop(struct kernel *k);
static void carry(void *ctx, const char *to, const struct escrow_msg *msg);
static void on_message(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
static void begin(void *ctx);
static void on_tick(void *ctx);
static void end(void *ctx);

static struct plugin plugin = {
	.name = "teams",
	.rank = RANK_TEAMS,
	.form = FORM_HTTP,
	.start = start,
	.drain = drain,
	.drained = drained,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

static struct loop_timer timer;
static bool leaving; /* with __atomic */

/* Makes the table of teams and begins to tick it on the platform's loop. */
static int start(struct kernel *k, struct error *e)
{
	leaving = false;
	k->teams = teams_create(k);
	if (!k->teams)
		return error_set(e, ERR_SYSTEM, STEP_CONFIG_APPLY, NULL,
				 "no memory for teams");
	teams_carry(k->teams, carry, k);
	peer_handle(k, PEER_ESCROW, on_message, k);
	timer.fn = on_tick;
	timer.ctx = k;
	loop_post(k->platform->loop, begin, k);
	return 0;
}

/* Begins to give all shares to peers. */
static void drain(struct kernel *k)
{
	teams_leave(k);
	__atomic_store_n(&leaving, true, __ATOMIC_RELEASE);
}

/* Have peers taken over all shares? */
static bool drained(struct kernel *k)
{
	return !__atomic_load_n(&leaving, __ATOMIC_ACQUIRE) ||
	       fleet_size(k) < 2 || teams_shares(k) == 0;
}

/*
 * Ends the ticks. The table stays until the process ends: threads of plug-ins
 * that stop later may still use it.
 */
static void stop(struct kernel *k)
{
	peer_handle(k, PEER_ESCROW, NULL, NULL);
	loop_post(k->platform->loop, end, k);
}

/* Sends an escrow message; any thread. */
static void carry(void *ctx, const char *to, const struct escrow_msg *msg)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	escrow_encode(&buf, msg);
	peer_send(ctx, to, PEER_ESCROW, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* An escrow message of a peer, on the peer thread. */
static void on_message(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	struct escrow_msg msg;

	if (!escrow_decode(body, len, &msg)) {
		counter_add(CTR_PEER_BAD, 1);
		log_event(EV_PEER_BAD_MESSAGE, "peer=%s type=escrow", from);
		return;
	}
	teams_receive(ctx, from, incarnation, &msg, clock_now());
}

static void begin(void *ctx)
{
	struct kernel *k = ctx;

	loop_timer_set(k->platform->loop, &timer, clock_now());
}

static void on_tick(void *ctx)
{
	struct kernel *k = ctx;
	usec_t now = clock_now();

	teams_tick(k, now);
	loop_timer_set(k->platform->loop, &timer,
		       now + TEAMS_TICK_MS * (usec_t)USEC_PER_MSEC);
}

static void end(void *ctx)
{
	struct kernel *k = ctx;

	loop_timer_clear(k->platform->loop, &timer);
}
