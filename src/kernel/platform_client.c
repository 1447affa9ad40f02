#include "kernel/platform_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/kernel.h"
#include "kernel/log.h"

/* A platform call and the HTTP call that carries it. */
struct http_job {
	struct http_call http;
	struct platform_call *call;
	struct platform_client *client;
	char *body;
};

static void submit(void *ctx, struct platform_call *c);
static bool is_up(void *ctx);
static void http_job_start(void *ctx);
static void http_job_done(struct http_call *h);
static void fail_call(struct platform_call *c, const char *why);
static void update_availability(struct platform_client *p, bool up,
				const char *why);

/* Starts the loop and registers the client as the platform; see the header. */
int platform_client_start(struct platform_client *p, struct kernel *k,
			  const struct platform_protocol *wire, void *ctx,
			  struct error *e)
{
	memset(p, 0, sizeof(*p));
	p->wire = wire;
	p->ctx = ctx;
	snprintf(p->address, sizeof(p->address), "%s", k->settings.platform);
	p->timeout = (usec_t)k->settings.platform_timeout_ms * USEC_PER_MSEC;
	p->iface.submit = submit;
	p->iface.is_up = is_up;
	p->iface.ctx = p;
	p->iface.loop = loop_create("platform", e);
	if (!p->iface.loop)
		return -1;
	loop_set_coarse_timers(p->iface.loop);
	if (loop_start(p->iface.loop, e)) {
		loop_destroy(p->iface.loop);
		return -1;
	}
	k->platform = &p->iface;
	return 0;
}

/* Stops the loop and unregisters the client; see the header. */
void platform_client_stop(struct platform_client *p, struct kernel *k)
{
	__atomic_store_n(&p->stopping, true, __ATOMIC_RELEASE);
	loop_stop(p->iface.loop);
	k->platform = NULL;
	loop_destroy(p->iface.loop);
}

/* Builds the HTTP request of a platform call and posts it to the loop. */
static void submit(void *ctx, struct platform_call *c)
{
	struct platform_client *p = ctx;
	struct http_job *j = calloc(1, sizeof(*j));

	error_clear(&c->error);
	c->reply = NULL;
	c->replied = false;
	c->era = 0;
	if (!j) {
		fail_call(c, "out of memory");
		return;
	}
	j->call = c;
	j->client = p;
	j->http.done = http_job_done;
	j->http.ctx = j;
	j->http.timeout = p->timeout;
	if (p->wire->request(p->ctx, c, &j->http, &j->body)) {
		free(j->body);
		free(j);
		fail_call(c, "not supported by the platform");
		return;
	}
	counter_add(CTR_PLATFORM_CALLS, 1);
	if (c->op == PLATFORM_WATCH)
		counter_add(CTR_PLATFORM_WATCHES, 1);
	loop_post(p->iface.loop, http_job_start, j);
}

/* Returns whether the call that ended last was answered. */
static bool is_up(void *ctx)
{
	struct platform_client *p = ctx;

	return __atomic_load_n(&p->up, __ATOMIC_RELAXED);
}

/* Starts the HTTP call. Loop thread. */
static void http_job_start(void *ctx)
{
	struct http_job *j = ctx;

	loop_http(j->client->iface.loop, &j->http);
}

/*
 * Translates the reply and completes the platform call. Loop thread. A
 * promotion does not change the platform's availability, because it may be
 * served at another address. Once the client is stopping, calls are dropped.
 */
static void http_job_done(struct http_call *h)
{
	struct http_job *j = h->ctx;
	struct platform_call *c = j->call;
	struct platform_client *p = j->client;

	if (!__atomic_load_n(&p->stopping, __ATOMIC_ACQUIRE)) {
		p->wire->result(h, c);
		if (c->op != PLATFORM_PROMOTE)
			update_availability(p,
					    h->status != 0 && h->status < 500,
					    c->error.message);
		/* The HTTP call keeps the reply and frees it later. */
		c->reply = h->reply;
		c->done(c);
	}
	free(j->body);
	free(j);
}

/* Fails a call that was never sent. Runs on the submitter's thread. */
static void fail_call(struct platform_call *c, const char *why)
{
	c->result = PLATFORM_DOWN;
	error_set(&c->error, ERR_INTERNAL, STEP_CONNECT, NULL, "%s", why);
	c->done(c);
}

/* Records whether the platform answers, and logs each change. */
static void update_availability(struct platform_client *p, bool up,
				const char *why)
{
	bool changed = up != p->up || !p->availability_known;

	p->availability_known = true;
	__atomic_store_n(&p->up, up, __ATOMIC_RELAXED);
	if (!changed)
		return;
	if (up)
		log_event(EV_PLATFORM_BACK, "platform=%s", p->address);
	else
		log_event(EV_PLATFORM_DOWN, "platform=%s reason=\"%s\"",
			  p->address, why);
}
