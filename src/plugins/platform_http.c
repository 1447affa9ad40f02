#include "plugins/platform_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

struct platform_http {
	struct platform iface;
	char address[ADDR_MAX_BYTES];
	usec_t timeout;
	bool up; /* loop's thread writes; read with __atomic */
	bool ever_answered;
	bool stopping; /* read and written with __atomic */
};

struct job {
	struct http_call http;
	struct platform_call *call;
	struct platform_http *platform;
};

static struct platform_http platform;

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);
static void submit(void *ctx, struct platform_call *c);
static bool is_up(void *ctx);
static void job_start(void *ctx);
static void job_done(struct http_call *h);
static void refuse(struct platform_call *c, const char *why);
static void note_up(struct platform_http *p, bool up, const char *why);

static struct plugin plugin = {
	.name = "platform_http",
	.rank = RANK_PLATFORM,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Starts the loop that all calls to the platform run on. */
static int start(struct kernel *k, struct error *e)
{
	struct platform_http *p = &platform;

	memset(p, 0, sizeof(*p));
	snprintf(p->address, sizeof(p->address), "%s", k->settings.platform);
	p->timeout = (usec_t)k->settings.platform_timeout_ms * USEC_PER_MSEC;
	p->iface.submit = submit;
	p->iface.is_up = is_up;
	p->iface.ctx = p;
	p->iface.loop = loop_create("platform", e);
	if (!p->iface.loop)
		return -1;
	loop_set_coarse(p->iface.loop);
	if (loop_start(p->iface.loop, e)) {
		loop_destroy(p->iface.loop);
		return -1;
	}
	k->platform = &p->iface;
	return 0;
}

/* Ends the loop. Calls under way are dropped: their owners have stopped. */
static void stop(struct kernel *k)
{
	__atomic_store_n(&platform.stopping, true, __ATOMIC_RELEASE);
	loop_stop(platform.iface.loop);
	k->platform = NULL;
	loop_destroy(platform.iface.loop);
}

/* Makes the HTTP call of a platform call and hands it to the loop. */
static void submit(void *ctx, struct platform_call *c)
{
	struct platform_http *p = ctx;
	struct job *j = calloc(1, sizeof(*j));

	error_clear(&c->error);
	c->reply = NULL;
	if (!j) {
		refuse(c, "no memory");
		return;
	}
	j->call = c;
	j->platform = p;
	j->http.done = job_done;
	j->http.ctx = j;
	if (platform_http_request(&j->http, c, p->address, p->timeout)) {
		free(j);
		refuse(c, "name not fit for the platform");
		return;
	}
	counter_add(CTR_PLATFORM_CALLS, 1);
	if (c->op == PLATFORM_WATCH)
		counter_add(CTR_PLATFORM_WATCHES, 1);
	loop_post(p->iface.loop, job_start, j);
}

/* Tells whether the newest call that ended was answered. */
static bool is_up(void *ctx)
{
	struct platform_http *p = ctx;

	return __atomic_load_n(&p->up, __ATOMIC_RELAXED);
}

/* Starts the HTTP call; on the loop's thread. */
static void job_start(void *ctx)
{
	struct job *j = ctx;

	loop_http(j->platform->iface.loop, &j->http);
}

/* Maps the reply and passes it on; on the loop's thread. */
static void job_done(struct http_call *h)
{
	struct job *j = h->ctx;
	struct platform_call *c = j->call;

	if (__atomic_load_n(&j->platform->stopping, __ATOMIC_ACQUIRE)) {
		free(j);
		return;
	}
	platform_http_result(h, c);
	note_up(j->platform, h->status != 0 && h->status < 500,
		c->error.message);
	/* The reply stays the HTTP call's, which frees it after this. */
	c->reply = h->reply;
	c->done(c);
	free(j);
}

/* Ends a call that never left; on the submitter's thread. */
static void refuse(struct platform_call *c, const char *why)
{
	c->result = PLATFORM_DOWN;
	error_set(&c->error, ERR_INTERNAL, STEP_CONNECT, NULL, "%s", why);
	c->done(c);
}

/* Keeps whether the platform answers, and logs each change. */
static void note_up(struct platform_http *p, bool up, const char *why)
{
	bool changed = up != p->up || !p->ever_answered;

	p->ever_answered = true;
	__atomic_store_n(&p->up, up, __ATOMIC_RELAXED);
	if (!changed)
		return;
	if (up)
		log_event(EV_PLATFORM_BACK, "platform=%s", p->address);
	else
		log_event(EV_PLATFORM_DOWN, "platform=%s reason=\"%s\"",
			  p->address, why);
}
