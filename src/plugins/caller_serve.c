#include "kernel/engine.h"
#include "kernel/plugin.h"
#include "plugins/caller_http.h"

static int start(struct kernel *k, struct error *e);
static bool drained(struct kernel *k);
static void stop(struct kernel *k);
static int check_key(void *ctx, const char *secret, const char *service,
		     struct team_ref *out, struct error *e);
static int recheck_key(void *ctx, const char *team, const char *key_id,
		       struct error *e);
static void submit(void *ctx, struct request *r);

static struct plugin plugin = {
	.name = "caller_http",
	.rank = RANK_CALLER,
	.start = start,
	.drained = drained,
	.stop = stop,
};
PLUGIN_REGISTER(plugin)

static struct caller_http *callers;

/* Listens for callers, with the VM's own teams and engine behind. */
static int start(struct kernel *k, struct error *e)
{
	const struct caller_ops ops = {
		.ctx = k,
		.check_key = check_key,
		.recheck_key = recheck_key,
		.submit = submit,
	};

	callers = caller_http_open(k, &ops, e);
	return callers ? 0 : -1;
}

/* Is no caller's request under way? */
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

static int check_key(void *ctx, const char *secret, const char *service,
		     struct team_ref *out, struct error *e)
{
	return teams_check_key(ctx, secret, service, out, e);
}

static int recheck_key(void *ctx, const char *team, const char *key_id,
		       struct error *e)
{
	return teams_recheck(ctx, team, key_id, e);
}

static void submit(void *ctx, struct request *r)
{
	engine_submit(ctx, r);
}
