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
static void send_message(void *ctx, const char *to,
			 const struct escrow_msg *msg);
static void on_message(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
static void start_timer(void *ctx);
static void on_timer(void *ctx);
static void stop_timer(void *ctx);

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
static bool is_draining; /* accessed with __atomic */

/* Creates the table of teams and starts its timer on the platform's loop. */
static int start(struct kernel *k, struct error *e)
{
	is_draining = false;
	k->teams = teams_create(k);
	if (!k->teams)
		return error_set(e, ERR_SYSTEM, STEP_CONFIG_APPLY, NULL,
				 "no memory for teams");
	teams_set_transport(k->teams, send_message, k);
	peer_set_handler(k, PEER_ESCROW, on_message, k);
	timer.fn = on_timer;
	timer.ctx = k;
	loop_post(k->platform->loop, start_timer, k);
	return 0;
}

/* Starts to hand over all shares of team limits to peers. */
static void drain(struct kernel *k)
{
	teams_release_shares(k);
	__atomic_store_n(&is_draining, true, __ATOMIC_RELEASE);
}

/*
 * Returns whether peers have taken over all shares, or there is nothing to wait
 * for: no drain, or no other VM.
 */
static bool drained(struct kernel *k)
{
	return !__atomic_load_n(&is_draining, __ATOMIC_ACQUIRE) ||
	       fleet_size(k) < 2 || teams_shares_held(k) == 0;
}

/*
 * Stops the timer. The table stays until the process ends: threads of plug-ins
 * that stop later may still use it.
 */
static void stop(struct kernel *k)
{
	peer_set_handler(k, PEER_ESCROW, NULL, NULL);
	loop_post(k->platform->loop, stop_timer, k);
}

/* Encodes and sends an escrow message; any thread. */
static void send_message(void *ctx, const char *to,
			 const struct escrow_msg *msg)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	escrow_encode(&buf, msg);
	peer_send(ctx, to, PEER_ESCROW, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Handles an escrow message of a peer; peer thread. */
static void on_message(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	struct escrow_msg msg;

	if (!escrow_decode(body, len, &msg)) {
		counter_add(CTR_PEER_BAD, 1);
		log_event(EV_PEER_BAD_MESSAGE, "peer=%s type=escrow", from);
		return;
	}
	teams_handle_message(ctx, from, incarnation, &msg, clock_now());
}

/* Starts the timer; loop thread. */
static void start_timer(void *ctx)
{
	struct kernel *k = ctx;

	loop_timer_set(k->platform->loop, &timer, clock_now());
}

/* Runs the periodic work of the teams; loop thread. */
static void on_timer(void *ctx)
{
	struct kernel *k = ctx;
	usec_t now = clock_now();

	teams_tick(k, now);
	loop_timer_set(k->platform->loop, &timer,
		       now + TEAMS_TICK_MS * (usec_t)USEC_PER_MSEC);
}

/* Clears the timer; loop thread. */
static void stop_timer(void *ctx)
{
	struct kernel *k = ctx;

	loop_timer_clear(k->platform->loop, &timer);
}
