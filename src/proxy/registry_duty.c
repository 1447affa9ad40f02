#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/platform.h"
#include "proxy/proxy_own.h"

/* Who may promote a database, and the promotion itself. */

/* One call about a duty, or a promotion. */
struct duty_call {
	struct proxy *proxy;
	struct platform_call call;
	char service[NAME_MAX_BYTES];
	registry_claim_fn fn;
	registry_promote_fn promote_fn;
	void *ctx;
	bool writes;
	char *reply;
};

static struct duty_call *duty_create(struct proxy *p, const char *service,
				     enum platform_op op, void *ctx);
static void on_duty(struct platform_call *c);
static void duty_done(void *ctx);

/* Reads who has the duty; the write follows when that is known. */
void registry_claim(struct proxy *p, const char *service, registry_claim_fn fn,
		    void *ctx)
{
	struct duty_call *d = duty_create(p, service, PLATFORM_GET, ctx);

	if (!d) {
		fn(ctx, false, 0);
		return;
	}
	d->fn = fn;
	d->writes = true;
	platform_submit(p->kernel, &d->call);
}

/* Reads who has the duty. */
void registry_verify(struct proxy *p, const char *service, registry_claim_fn fn,
		     void *ctx)
{
	struct duty_call *d = duty_create(p, service, PLATFORM_GET, ctx);

	if (!d) {
		fn(ctx, false, 0);
		return;
	}
	d->fn = fn;
	platform_submit(p->kernel, &d->call);
}

/* Asks for a promotion under a token. */
void registry_promote(struct proxy *p, const char *service, const char *id,
		      uint64_t token, registry_promote_fn fn, void *ctx)
{
	struct duty_call *d = duty_create(p, service, PLATFORM_PROMOTE, ctx);

	if (!d) {
		fn(ctx, PROMOTE_ANSWER_NONE);
		return;
	}
	d->promote_fn = fn;
	d->call.version = token;
	snprintf(d->call.name, sizeof(d->call.name), "%s", service);
	snprintf(d->call.from, sizeof(d->call.from), "%s", id);
	platform_submit(p->kernel, &d->call);
}

static struct duty_call *duty_create(struct proxy *p, const char *service,
				     enum platform_op op, void *ctx)
{
	struct duty_call *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->proxy = p;
	d->ctx = ctx;
	d->call.op = op;
	d->call.done = on_duty;
	d->call.ctx = d;
	snprintf(d->service, sizeof(d->service), "%s", service);
	snprintf(d->call.name, sizeof(d->call.name), "%s/%s", REGISTRY_DUTY,
		 service);
	return d;
}

/* Copies the answer; on the platform's thread. */
static void on_duty(struct platform_call *c)
{
	struct duty_call *d = c->ctx;

	d->reply = c->reply ? strdup(c->reply) : NULL;
	proxy_post(d->proxy, duty_done, d);
}

/*
 * Goes on from a read to the write that replaces it, or tells the outcome. A
 * write whose answer was lost counts as not made: the next claim reads anew.
 */
static void duty_done(void *ctx)
{
	struct duty_call *d = ctx;
	struct proxy *p = d->proxy;
	struct registry_duty duty = { 0 };
	enum platform_result result = d->call.result;
	bool read = d->call.op == PLATFORM_GET;

	if (d->promote_fn) {
		d->promote_fn(d->ctx, result == PLATFORM_OK ? PROMOTE_ANSWER_OK
				      : result == PLATFORM_CONFLICT
					      ? PROMOTE_ANSWER_REFUSED
					      : PROMOTE_ANSWER_NONE);
	} else if (read && d->writes &&
		   (result == PLATFORM_OK || result == PLATFORM_ABSENT)) {
		if (result == PLATFORM_OK && d->reply)
			registry_codec()->duty(d->reply, &duty);
		snprintf(duty.holder, sizeof(duty.holder), "%s",
			 p->kernel->settings.vm);
		duty.incarnation = p->kernel->incarnation;
		duty.claim = ++p->claims;
		d->call.op = PLATFORM_PUT;
		d->call.version = duty.revision;
		d->call.body = registry_codec()->duty_body(&duty);
		free(d->reply);
		d->reply = NULL;
		platform_submit(p->kernel, &d->call);
		return;
	} else {
		if (result == PLATFORM_OK && d->reply)
			result = registry_codec()->duty(d->reply, &duty) == 0
					 ? PLATFORM_OK
					 : PLATFORM_DOWN;
		d->fn(d->ctx, result == PLATFORM_OK && duty.revision > 0,
		      duty.revision);
	}
	free(d->call.body);
	free(d->reply);
	free(d);
}
