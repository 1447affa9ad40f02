#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * Requests to the platform that promote a database. A VM first writes a claim,
 * an object of which there is one per service, then marks it as promoting, and
 * then requests the promotion under the claim's revision as fencing token.
 */

/*
 * Longest time from marking a claim as promoting to the effect of the
 * promotion: the attempt lasts up to 3 s, and the platform takes up to a
 * second, longer when it is slow.
 */
#define PROMOTION_MAX_US (5 * USEC_PER_SEC)

/* One request about a claim, or a promotion. */
struct promotion_call {
	struct proxy *proxy;
	struct platform_call call;
	struct db_group *group;
	registry_claim_done_fn fn;
	registry_promote_done_fn promote_fn;
	void *ctx;
	bool is_claim; /* reads a claim in order to replace it next */
	bool is_check; /* reads whether there is a claim */
	char *reply;
};

static struct promotion_call *call_create(struct proxy *p, struct db_group *g,
					  enum platform_op op, void *ctx);
static void read_claim(struct proxy *p, struct db_group *g,
		       registry_claim_done_fn fn, void *ctx, bool is_check);
static void on_platform_reply(struct platform_call *c);
static void handle_reply(void *ctx);
static bool replace_claim(struct promotion_call *d,
			  const struct registry_claim_record *found);
static void write_claim(struct promotion_call *d, uint64_t revision,
			bool promotes);

/* Reads the current claim; handle_reply() then replaces it if it may. */
void registry_claim_promotion(struct proxy *p, struct db_group *g,
			      registry_claim_done_fn fn, void *ctx)
{
	struct promotion_call *d = call_create(p, g, PLATFORM_GET, ctx);

	if (!d) {
		fn(ctx, false, 0);
		return;
	}
	d->fn = fn;
	d->is_claim = true;
	platform_submit(p->kernel, &d->call);
}

/* Replaces this VM's own claim by one that is marked as promoting. */
void registry_mark_promoting(struct proxy *p, struct db_group *g,
			     uint64_t token, registry_claim_done_fn fn,
			     void *ctx)
{
	struct promotion_call *d = call_create(p, g, PLATFORM_PUT, ctx);

	if (!d) {
		fn(ctx, false, 0);
		return;
	}
	d->fn = fn;
	write_claim(d, token, true);
}

/* Reads the current claim. */
void registry_read_claim(struct proxy *p, struct db_group *g,
			 registry_claim_done_fn fn, void *ctx)
{
	read_claim(p, g, fn, ctx, false);
}

/* Reads whether a claim was ever made. */
void registry_check_unclaimed(struct proxy *p, struct db_group *g,
			      registry_claim_done_fn fn, void *ctx)
{
	read_claim(p, g, fn, ctx, true);
}

/* Reads the claim, or only whether there is one. */
static void read_claim(struct proxy *p, struct db_group *g,
		       registry_claim_done_fn fn, void *ctx, bool is_check)
{
	struct promotion_call *d = call_create(p, g, PLATFORM_GET, ctx);

	if (!d) {
		fn(ctx, false, 0);
		return;
	}
	d->fn = fn;
	d->is_check = is_check;
	platform_submit(p->kernel, &d->call);
}

/* Requests a promotion under a fencing token. */
void registry_promote(struct proxy *p, struct db_group *g, const char *id,
		      uint64_t token, registry_promote_done_fn fn, void *ctx)
{
	struct promotion_call *d = call_create(p, g, PLATFORM_PROMOTE, ctx);

	if (!d) {
		fn(ctx, REGISTRY_PROMOTE_UNKNOWN);
		return;
	}
	d->promote_fn = fn;
	d->call.version = token;
	snprintf(d->call.name, sizeof(d->call.name), "%s", g->service);
	snprintf(d->call.from, sizeof(d->call.from), "%s", id);
	platform_submit(p->kernel, &d->call);
}

/* Allocates a request; returns NULL if memory is short. */
static struct promotion_call *call_create(struct proxy *p, struct db_group *g,
					  enum platform_op op, void *ctx)
{
	struct promotion_call *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->proxy = p;
	d->ctx = ctx;
	d->call.op = op;
	d->call.done = on_platform_reply;
	d->call.ctx = d;
	d->group = g;
	snprintf(d->call.name, sizeof(d->call.name), "%s/%s", REGISTRY_CLAIM,
		 g->service);
	return d;
}

/* Copies the reply; runs on the platform's thread. */
static void on_platform_reply(struct platform_call *c)
{
	struct promotion_call *d = c->ctx;

	d->reply = c->reply ? strdup(c->reply) : NULL;
	proxy_post(d->proxy, handle_reply, d);
}

/*
 * Follows a read by the write that replaces the claim, or reports the outcome
 * and frees the request. A write whose response was lost counts as failed: the
 * next claim reads the record again.
 */
static void handle_reply(void *ctx)
{
	struct promotion_call *d = ctx;
	struct registry_claim_record duty = { 0 };
	enum platform_result result = d->call.result;

	if (d->call.replied && !d->promote_fn)
		(void)registry_note_era(d->proxy, &d->call);
	if (result == PLATFORM_OK && d->reply && !d->promote_fn &&
	    registry_codec()->claim(d->reply, &duty) != 0)
		result = PLATFORM_DOWN;
	if (d->promote_fn) {
		d->promote_fn(d->ctx, result == PLATFORM_OK
					      ? REGISTRY_PROMOTE_OK
				      : result == PLATFORM_CONFLICT
					      ? REGISTRY_PROMOTE_REFUSED
					      : REGISTRY_PROMOTE_UNKNOWN);
	} else if (d->is_check) {
		d->fn(d->ctx, result == PLATFORM_NOT_FOUND, 0);
	} else if (d->is_claim &&
		   (result == PLATFORM_OK || result == PLATFORM_NOT_FOUND) &&
		   replace_claim(d, &duty)) {
		return;
	} else {
		d->fn(d->ctx,
		      result == PLATFORM_OK && !d->is_claim &&
			      duty.revision > 0,
		      duty.revision);
	}
	free(d->call.body);
	free(d->reply);
	free(d);
}

/*
 * Replaces the claim that was read, unless its holder may be promoting. Returns
 * false if it was not replaced.
 */
static bool replace_claim(struct promotion_call *d,
			  const struct registry_claim_record *found)
{
	struct db_group *g = d->group;
	const struct promotion_claim record = {
		.revision = found->revision,
		.is_promoting = found->is_promoting,
		.base_term = found->base_term,
	};

	if (!promotion_claim_is_replaceable(&g->claim_seen, &record,
					    g->proof.term, proxy_now(),
					    PROMOTION_MAX_US)) {
		log_event(
			EV_SUCCESSION,
			"service=%s phase=claim holder=%s token=%llu "
			"base=%llu seen_us=%lld reason=\"a promotion may be "
			"in progress\"",
			g->service, found->holder,
			(unsigned long long)found->revision,
			(unsigned long long)found->base_term,
			(long long)(proxy_now() - g->claim_seen.first_seen_at));
		return false;
	}
	d->is_claim = false;
	free(d->reply);
	d->reply = NULL;
	write_claim(d, found->revision, false);
	return true;
}

/* Writes this VM's claim over the one with this revision; 0 creates it. */
static void write_claim(struct promotion_call *d, uint64_t revision,
			bool promotes)
{
	struct proxy *p = d->proxy;
	struct registry_claim_record duty = {
		.incarnation = p->kernel->incarnation,
		.claim_number = ++p->n_claims,
		.is_promoting = promotes,
		.base_term = d->group->proof.term,
	};

	snprintf(duty.holder, sizeof(duty.holder), "%s",
		 p->kernel->settings.vm);
	d->call.op = PLATFORM_PUT;
	d->call.version = revision;
	d->call.body = registry_codec()->claim_body(&duty);
	platform_submit(p->kernel, &d->call);
}
