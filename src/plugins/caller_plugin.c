#include "kernel/engine.h"
#include "kernel/fleet.h"
#include "kernel/loop.h"
#include "kernel/plugin.h"
#include "plugins/caller_http.h"

static int start(struct kernel *k, struct error *e);
static bool drained(struct kernel *k);
static void stop(struct kernel *k);
static int check_key(void *ctx, const char *secret, const char *service,
		     struct team_auth *out, struct error *e);
static int recheck_key(void *ctx, const char *team, const char *key_id,
		       struct error *e);
static void submit(void *ctx, struct request *r);
static bool ready(void *ctx);

static struct plugin plugin = {
	.name = "caller_http",
	.rank = RANK_CALLER,
	.form = FORM_HTTP,
	.start = start,
	.drained = drained,
	.stop = stop,
};
PLUGIN_REGISTER(plugin)

static struct caller_http *callers;

/* Opens the callers' HTTP server with the VM's teams and engine. */
static int start(struct kernel *k, struct error *e)
{
	const struct caller_ops ops = {
		.ctx = k,
		.check_key = check_key,
		.recheck_key = recheck_key,
		.submit = submit,
		.ready = ready,
	};

	callers = caller_http_open(k, &ops, e);
	return callers ? 0 : -1;
}

/* Returns whether no request of a caller is being handled. */
static bool drained(struct kernel *k)
{
	(void)k;
	return caller_http_idle(callers);
}

/* Closes all callers' connections. */
static void stop(struct kernel *k)
{
	(void)k;
	caller_http_close(callers);
	callers = NULL;
}

/* Finds the team of a key and checks that it may use the service. */
static int check_key(void *ctx, const char *secret, const char *service,
		     struct team_auth *out, struct error *e)
{
	return teams_check_key(ctx, secret, service, out, e);
}

/* Checks that a team's key is still valid. */
static int recheck_key(void *ctx, const char *team, const char *key_id,
		       struct error *e)
{
	return teams_recheck_key(ctx, team, key_id, e);
}

/* Submits a request to the engine. */
static void submit(void *ctx, struct request *r)
{
	engine_submit(ctx, r);
}

/*
 * Returns whether the VM can serve requests. One that is not on the platform's
 * list yet, whose keys are out of date or that has no secret for session tokens
 * would refuse requests that other VMs serve.
 */
static bool ready(void *ctx)
{
	struct kernel *k = ctx;
	uint8_t current[32], previous[32];
	bool has_previous;

	return fleet_self_listed(k) &&
	       fleet_freshness(k, clock_now()) != FRESH_LAPSED &&
	       teams_session_secret(k, current, previous, &has_previous);
}
