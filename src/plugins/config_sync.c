#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/config.h"
#include "kernel/fleet_own.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/platform.h"
#include "kernel/plugin.h"
#include "kernel/store.h"
#include "plugins/gossip.h"
#include "plugins/platform_objects.h"

#define RETRY_MIN_US	 (100 * (usec_t)USEC_PER_MSEC)
#define RETRY_MAX_US	 (2 * (usec_t)USEC_PER_SEC)
#define LOOK_INTERVAL_US (200 * (usec_t)USEC_PER_MSEC)
#define VMS_MIN_US	 (2 * (usec_t)USEC_PER_SEC)
/* A VM that has just started asks more often: the list lags behind it. */
#define VMS_START_US	  (5 * (usec_t)USEC_PER_SEC)
#define VMS_SOON_US	  (250 * (usec_t)USEC_PER_MSEC)
#define VMS_PER_VM_US	  (100 * (usec_t)USEC_PER_MSEC)
#define OUTAGE_PER_VM_US  (10 * (usec_t)USEC_PER_MSEC)
#define ANNOUNCE_US	  ((usec_t)USEC_PER_SEC)
#define WATCHES_PER_FRESH 3
#define SECRET_BYTES	  32

/* One kind of call, made again and again; the loop's own. */
struct repeated_call {
	struct platform_call call;
	struct loop_timer timer;
	usec_t asked_at;
	uint32_t failures;
	bool busy;
};

struct config_sync {
	struct kernel *kernel;
	struct loop *loop;
	struct repeated_call objects; /* the list, then watches */
	struct repeated_call vms;
	struct repeated_call announce;
	struct repeated_call secret;
	uint64_t revision; /* of the answer being applied */
	uint32_t taken;	   /* objects in it */
	bool listed;
	usec_t started_at;
};

static struct config_sync sync_state;

static int start(struct kernel *k, struct error *e);
static void drain(struct kernel *k);
static void begin(void *ctx);
static void prepare(struct config_sync *s, struct repeated_call *r,
		    void (*on_timer)(void *),
		    void (*done)(struct platform_call *));
static void submit(struct config_sync *s, struct repeated_call *r,
		   enum platform_op op);
static void again_at(struct config_sync *s, struct repeated_call *r,
		     usec_t delay);
static usec_t retry_delay(struct config_sync *s, struct repeated_call *r);
static void look(void *ctx);
static bool should_watch(struct config_sync *s);
static void on_objects(struct platform_call *c);
static usec_t word_at(const struct config_sync *s);
static void take_object(void *ctx, const char *name, uint64_t version,
			const char *body);
static void ask_vms(void *ctx);
static void on_vms(struct platform_call *c);
static void take_vm(void *ctx, const struct member *vm);
static void announce(void *ctx);
static void on_announced(struct platform_call *c);
static void make_secret(void *ctx);
static void on_secret(struct platform_call *c);
static int check(void *ctx, const char *name, uint64_t version,
		 const char *body, struct error *e);

static struct plugin plugin = {
	.name = "config_sync",
	.rank = RANK_CONFIG,
	.form = FORM_HTTP,
	.start = start,
	.drain = drain,
};
PLUGIN_REGISTER(plugin);

/* Begins to take in the platform's objects and VMs, and to announce this VM. */
static int start(struct kernel *k, struct error *e)
{
	struct config_sync *s = &sync_state;

	(void)e;
	memset(s, 0, sizeof(*s));
	s->kernel = k;
	s->loop = k->platform->loop;
	prepare(s, &s->objects, look, on_objects);
	prepare(s, &s->vms, ask_vms, on_vms);
	s->started_at = clock_now();
	prepare(s, &s->announce, announce, on_announced);
	prepare(s, &s->secret, make_secret, on_secret);
	store_subscribe(k->store, "", check, NULL, NULL);
	loop_post(s->loop, begin, s);
	return 0;
}

/* Tells the platform and the peers that this VM departs. */
static void drain(struct kernel *k)
{
	fleet_lock(k->fleet);
	members_depart_self(k->fleet->members);
	fleet_unlock(k->fleet);
	loop_post(sync_state.loop, announce, &sync_state);
}

/* Sets every timer; on the loop. */
static void begin(void *ctx)
{
	struct config_sync *s = ctx;

	again_at(s, &s->announce, 0);
	again_at(s, &s->objects, 0);
	again_at(s, &s->vms, 0);
	again_at(s, &s->secret, RETRY_MIN_US);
}

/* Ties a call to what begins it and to what takes its answer. */
static void prepare(struct config_sync *s, struct repeated_call *r,
		    void (*on_timer)(void *),
		    void (*done)(struct platform_call *))
{
	r->timer.fn = on_timer;
	r->timer.ctx = s;
	r->call.done = done;
	r->call.ctx = s;
}

/* Starts a call. */
static void submit(struct config_sync *s, struct repeated_call *r,
		   enum platform_op op)
{
	r->busy = true;
	r->asked_at = clock_now();
	r->call.op = op;
	platform_submit(s->kernel, &r->call);
}

/* Sets when the call is made again, half a delay at random upon it. */
static void again_at(struct config_sync *s, struct repeated_call *r,
		     usec_t delay)
{
	usec_t jitter = randombytes_uniform((uint32_t)(delay / 2) + 1);

	loop_timer_set(s->loop, &r->timer, clock_now() + delay + jitter);
}

/*
 * How long to wait after a failure: doubled each time. A VM that watches only
 * because it hears nothing waits longer the more VMs there are, so that an
 * outage does not multiply the calls by the size of the fleet.
 */
static usec_t retry_delay(struct config_sync *s, struct repeated_call *r)
{
	usec_t max = RETRY_MAX_US;
	usec_t delay = RETRY_MIN_US;
	uint32_t i;
	bool watches;

	fleet_lock(s->kernel->fleet);
	watches = members_watches(s->kernel->fleet->members,
				  s->kernel->settings.watchers_per_domain);
	fleet_unlock(s->kernel->fleet);
	if (!watches)
		max += (usec_t)fleet_size(s->kernel) * OUTAGE_PER_VM_US;
	for (i = 0; i < r->failures && delay < max; i++)
		delay *= 2;
	r->failures++;
	return delay < max ? delay : max;
}

/* Lists everything at first; then watches, if that is this VM's part. */
static void look(void *ctx)
{
	struct config_sync *s = ctx;
	struct platform_call *c = &s->objects.call;

	if (s->objects.busy)
		return;
	/* What peers gave meanwhile is as good as a list. */
	s->listed = s->listed || gossip_revision() > 0;
	c->name[0] = '\0';
	if (!s->listed) {
		submit(s, &s->objects, PLATFORM_LIST);
		return;
	}
	if (!should_watch(s)) {
		s->objects.failures = 0;
		again_at(s, &s->objects, LOOK_INTERVAL_US);
		return;
	}
	c->after = gossip_revision();
	c->wait_ms = s->kernel->settings.keys_fresh_ms / WATCHES_PER_FRESH;
	submit(s, &s->objects, PLATFORM_WATCH);
}

/* Chosen VMs watch, and those that hear nothing recent from peers. */
static bool should_watch(struct config_sync *s)
{
	struct kernel *k = s->kernel;
	usec_t fresh = (usec_t)k->settings.keys_fresh_ms * USEC_PER_MSEC;
	int64_t age = fleet_word_age(k, clock_now());
	bool watches;

	fleet_lock(k->fleet);
	watches = members_watches(k->fleet->members,
				  k->settings.watchers_per_domain);
	fleet_unlock(k->fleet);
	return watches || age < 0 || age > fresh * 3 / 4;
}

/* Applies a list or what a watch brought, and goes on at once. */
static void on_objects(struct platform_call *c)
{
	struct config_sync *s = c->ctx;
	struct repeated_call *r = &s->objects;
	struct error e = { 0 };

	r->busy = false;
	s->taken = 0;
	if (c->result != PLATFORM_OK) {
		again_at(s, r, retry_delay(s, r));
		return;
	}
	if (platform_objects_parse(c->reply, &s->revision, take_object, s,
				   &e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		again_at(s, r, retry_delay(s, r));
		return;
	}
	r->failures = 0;
	s->listed = true;
	gossip_mark_complete(s->kernel, s->revision, word_at(s));
	loop_timer_set(s->loop, &r->timer, clock_now());
}

/*
 * The time of which the answer tells. A watch that brought nothing was held
 * for its whole wait, so it tells of the end of that; any other answer may be
 * as old as its question.
 */
static usec_t word_at(const struct config_sync *s)
{
	const struct repeated_call *r = &s->objects;
	usec_t held = (usec_t)r->call.wait_ms * USEC_PER_MSEC;

	if (r->call.op == PLATFORM_WATCH && s->taken == 0 &&
	    clock_now() - r->asked_at >= held)
		return r->asked_at + held;
	return r->asked_at;
}

/* Offers one object, with the revision by which it was seen at the latest. */
static void take_object(void *ctx, const char *name, uint64_t version,
			const char *body)
{
	struct config_sync *s = ctx;
	struct error e;

	s->taken++;
	gossip_offer(s->kernel, name, version, s->revision, body, &e);
}

/* Asks for the list of VMs; the more VMs, the more rarely. */
static void ask_vms(void *ctx)
{
	struct config_sync *s = ctx;

	if (!s->vms.busy)
		submit(s, &s->vms, PLATFORM_VMS);
}

/* Takes in the list. */
static void on_vms(struct platform_call *c)
{
	struct config_sync *s = c->ctx;
	struct fleet *f = s->kernel->fleet;
	struct repeated_call *r = &s->vms;
	usec_t wait = (usec_t)fleet_size(s->kernel) * VMS_PER_VM_US;
	struct error e = { 0 };

	r->busy = false;
	if (c->result != PLATFORM_OK) {
		again_at(s, r, retry_delay(s, r));
		return;
	}
	r->failures = 0;
	fleet_lock(f);
	members_list_begin(f->members);
	if (platform_vms_parse(c->reply, take_vm, s, &e) == 0)
		members_list_end(f->members, clock_now());
	fleet_unlock(f);
	if (e.code != ERR_NONE)
		log_error(EV_CONFIG_REFUSED, &e);
	if (clock_now() - s->started_at < VMS_START_US)
		wait = VMS_SOON_US;
	else if (wait < VMS_MIN_US)
		wait = VMS_MIN_US;
	again_at(s, r, wait);
}

/* Adds one VM of the list; the fleet's lock is held. */
static void take_vm(void *ctx, const struct member *vm)
{
	struct config_sync *s = ctx;
	struct fleet *f = s->kernel->fleet;

	members_list_add(f->members, vm);
	freshness_domain(&f->fresh, vm->domain);
}

/* Announces this VM as it stands now. */
static void announce(void *ctx)
{
	struct config_sync *s = ctx;
	struct fleet *f = s->kernel->fleet;
	struct platform_call *c = &s->announce.call;

	if (s->announce.busy)
		return;
	fleet_lock(f);
	members_address_self(f->members, s->kernel->settings.peer_listen,
			     s->kernel->settings.caller_listen);
	c->body = platform_vm_record(
		members_at(f->members, members_self(f->members)));
	fleet_unlock(f);
	if (c->body)
		submit(s, &s->announce, PLATFORM_ANNOUNCE);
	else
		again_at(s, &s->announce, ANNOUNCE_US);
}

/* Announces again later: a VM that falls silent leaves the list. */
static void on_announced(struct platform_call *c)
{
	struct config_sync *s = c->ctx;

	free(c->body);
	c->body = NULL;
	s->announce.busy = false;
	again_at(s, &s->announce, ANNOUNCE_US);
}

/* Creates the key of session tokens if there is none and this VM watches. */
static void make_secret(void *ctx)
{
	struct config_sync *s = ctx;
	struct platform_call *c = &s->secret.call;
	uint8_t secret[SECRET_BYTES];
	char hex[SECRET_BYTES * 2 + 1];
	size_t size = sizeof(hex) + sizeof("{\"current\":\"\"}");

	if (s->secret.busy ||
	    store_version(s->kernel->store, "secrets/session") > 0)
		return;
	if (!s->listed || !should_watch(s)) {
		again_at(s, &s->secret, LOOK_INTERVAL_US);
		return;
	}
	c->body = malloc(size);
	if (!c->body)
		return;
	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(hex, sizeof(hex), secret, sizeof(secret));
	snprintf(c->body, size, "{\"current\":\"%s\"}", hex);
	sodium_memzero(secret, sizeof(secret));
	sodium_memzero(hex, sizeof(hex));
	snprintf(c->name, sizeof(c->name), "secrets/session");
	c->version = 0;
	submit(s, &s->secret, PLATFORM_PUT);
}

/* Takes the key into force; where another VM was first, theirs comes. */
static void on_secret(struct platform_call *c)
{
	struct config_sync *s = c->ctx;
	struct error e;

	s->secret.busy = false;
	if (c->result == PLATFORM_OK)
		gossip_offer(s->kernel, c->name, c->version, 0, c->body, &e);
	sodium_memzero(c->body, strlen(c->body));
	free(c->body);
	c->body = NULL;
	again_at(s, &s->secret, RETRY_MAX_US);
}

/* Checks every object before it comes into force, whoever brings it. */
static int check(void *ctx, const char *name, uint64_t version,
		 const char *body, struct error *e)
{
	(void)ctx;
	(void)version;
	if (!platform_object_ours(name))
		return error_set(e, ERR_BAD_REQUEST, STEP_CONFIG_CHECK, NULL,
				 "%s: not an object of the system", name);
	return config_check(name, body, e);
}
