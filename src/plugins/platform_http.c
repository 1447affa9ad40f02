#include "plugins/platform_http.h"

#include "kernel/kernel.h"
#include "kernel/platform_client.h"
#include "kernel/plugin.h"

static struct platform_client client;

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);
static int request(void *ctx, const struct platform_call *c,
		   struct http_call *h, char **body);

static const struct platform_protocol wire = {
	.request = request,
	.result = platform_http_read_result,
};

static struct plugin plugin = {
	.name = "platform_http",
	.rank = RANK_PLATFORM,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Starts the platform client with the HTTP codec. */
static int start(struct kernel *k, struct error *e)
{
	return platform_client_start(&client, k, &wire, &client, e);
}

/* Stops the platform client. */
static void stop(struct kernel *k)
{
	platform_client_stop(&client, k);
}

/* Fills in the HTTP request of a call, which keeps ownership of its body. */
static int request(void *ctx, const struct platform_call *c,
		   struct http_call *h, char **body)
{
	const struct platform_client *p = ctx;

	(void)body;
	return platform_http_build_request(h, c, p->address, p->timeout);
}
