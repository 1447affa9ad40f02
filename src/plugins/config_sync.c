#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/config.h"
#include "kernel/fleet_internal.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/platform.h"
#include "kernel/plugin.h"
#include "kernel/object_store.h"
#include "plugins/gossip.h"
#include "plugins/platform_objects.h"

#define RETRY_MIN_US		(100 * (usec_t)USEC_PER_MSEC)
#define RETRY_MAX_US		(2 * (usec_t)USEC_PER_SEC)
#define WATCH_CHECK_INTERVAL_US (200 * (usec_t)USEC_PER_MSEC)
#define VMS_INTERVAL_MIN_US	(2 * (usec_t)USEC_PER_SEC)
/*
 * A VM that has just started polls the list of VMs more often, since the list
 * includes a new VM only after a delay.
 */
#define VMS_START_PHASE_US    (5 * (usec_t)USEC_PER_SEC)
#define VMS_START_INTERVAL_US (250 * (usec_t)USEC_PER_MSEC)
/* The time between polls of the list grows by this for each VM of the fleet. */
#define VMS_INTERVAL_PER_VM_US (100 * (usec_t)USEC_PER_MSEC)
/* The longest back-off grows by this for each VM, see retry_backoff(). */
#define RETRY_MAX_PER_VM_US  (10 * (usec_t)USEC_PER_MSEC)
#define ANNOUNCE_INTERVAL_US ((usec_t)USEC_PER_SEC)
/* Number of watches that end within keys_fresh_ms if nothing changes. */
#define WATCHES_PER_KEYS_FRESH 3
#define SECRET_BYTES	       32

/* A kind of platform call that is made periodically; loop thread only. */
struct periodic_call {
	struct platform_call call;
	struct loop_timer timer;
	usec_t sent_at;
	uint32_t failures; /* doublings of the next back-off */
	bool is_pending;
};

struct config_sync {
	struct kernel *kernel;
	struct loop *loop;
	struct periodic_call objects;  /* a list of all objects, then watches */
	struct periodic_call vms;      /* polls the list of VMs */
	struct periodic_call announce; /* sends this VM's record */
	struct periodic_call secret;   /* creates the session secret */
	uint64_t revision;  /* revision of the response being applied */
	uint32_t n_objects; /* objects in that response */
	bool has_objects;   /* the objects were listed or came from peers */
	usec_t started_at;
};

static struct config_sync sync_state;

static int start(struct kernel *k, struct error *e);
static void drain(struct kernel *k);
static void start_timers(void *ctx);
static void init_call(struct config_sync *s, struct periodic_call *r,
		      void (*on_timer)(void *),
		      void (*done)(struct platform_call *));
static void submit_call(struct config_sync *s, struct periodic_call *r,
			enum platform_op op);
static void schedule(struct config_sync *s, struct periodic_call *r,
		     usec_t delay);
static usec_t retry_backoff(struct config_sync *s, struct periodic_call *r);
static void list_or_watch(void *ctx);
static bool should_watch(struct config_sync *s);
static void on_objects(struct platform_call *c);
static usec_t state_time(const struct config_sync *s);
static void apply_object(void *ctx, const char *name, uint64_t version,
			 const char *body);
static void request_vms(void *ctx);
static void on_vms(struct platform_call *c);
static void add_vm(void *ctx, const struct member *vm);
static void announce(void *ctx);
static void on_announced(struct platform_call *c);
static void create_secret(void *ctx);
static void on_secret(struct platform_call *c);
static int check_object(void *ctx, const char *name, uint64_t version,
			const char *body, struct error *e);

static struct plugin plugin = {
	.name = "config_sync",
	.rank = RANK_CONFIG,
	.form = FORM_HTTP,
	.start = start,
	.drain = drain,
};
PLUGIN_REGISTER(plugin);

/* Starts to read the platform's objects and VMs and to announce this VM. */
static int start(struct kernel *k, struct error *e)
{
	struct config_sync *s = &sync_state;

	(void)e;
	memset(s, 0, sizeof(*s));
	s->kernel = k;
	s->loop = k->platform->loop;
	init_call(s, &s->objects, list_or_watch, on_objects);
	init_call(s, &s->vms, request_vms, on_vms);
	s->started_at = clock_now();
	init_call(s, &s->announce, announce, on_announced);
	init_call(s, &s->secret, create_secret, on_secret);
	store_subscribe(k->store, "", check_object, NULL, NULL);
	loop_post(s->loop, start_timers, s);
	return 0;
}

/* Marks this VM as departing, for the platform and for the peers. */
static void drain(struct kernel *k)
{
	fleet_lock(k->fleet);
	membership_set_departing(k->fleet->members);
	fleet_unlock(k->fleet);
	loop_post(sync_state.loop, announce, &sync_state);
}

/* Sets every timer; loop thread. */
static void start_timers(void *ctx)
{
	struct config_sync *s = ctx;

	schedule(s, &s->announce, 0);
	schedule(s, &s->objects, 0);
	schedule(s, &s->vms, 0);
	schedule(s, &s->secret, RETRY_MIN_US);
}

/* Sets the timer callback and the completion callback of a call. */
static void init_call(struct config_sync *s, struct periodic_call *r,
		      void (*on_timer)(void *),
		      void (*done)(struct platform_call *))
{
	r->timer.fn = on_timer;
	r->timer.ctx = s;
	r->call.done = done;
	r->call.ctx = s;
}

/* Submits a call to the platform client. */
static void submit_call(struct config_sync *s, struct periodic_call *r,
			enum platform_op op)
{
	r->is_pending = true;
	r->sent_at = clock_now();
	r->call.op = op;
	platform_submit(s->kernel, &r->call);
}

/* Schedules the next call after "delay" plus up to half of it as jitter. */
static void schedule(struct config_sync *s, struct periodic_call *r,
		     usec_t delay)
{
	usec_t jitter = randombytes_uniform((uint32_t)(delay / 2) + 1);

	loop_timer_set(s->loop, &r->timer, clock_now() + delay + jitter);
}

/*
 * Returns the back-off after a failure, doubled each time up to a maximum. For
 * a VM that is not one of the chosen watchers, and watches only because its
 * data got old, the maximum grows with the number of VMs, so that an outage of
 * the platform does not multiply the calls by the size of the fleet.
 */
static usec_t retry_backoff(struct config_sync *s, struct periodic_call *r)
{
	usec_t max = RETRY_MAX_US;
	usec_t delay = RETRY_MIN_US;
	uint32_t i;
	bool is_watcher;

	fleet_lock(s->kernel->fleet);
	is_watcher =
		membership_is_watcher(s->kernel->fleet->members,
				      s->kernel->settings.watchers_per_domain);
	fleet_unlock(s->kernel->fleet);
	if (!is_watcher)
		max += (usec_t)fleet_size(s->kernel) * RETRY_MAX_PER_VM_US;
	for (i = 0; i < r->failures && delay < max; i++)
		delay *= 2;
	r->failures++;
	return delay < max ? delay : max;
}

/* Lists all objects once, then watches for changes if this VM should. */
static void list_or_watch(void *ctx)
{
	struct config_sync *s = ctx;
	struct platform_call *c = &s->objects.call;

	if (s->objects.is_pending)
		return;
	/* Objects received from peers meanwhile replace the list. */
	s->has_objects = s->has_objects || gossip_revision() > 0;
	c->name[0] = '\0';
	if (!s->has_objects) {
		submit_call(s, &s->objects, PLATFORM_LIST);
		return;
	}
	if (!should_watch(s)) {
		s->objects.failures = 0;
		schedule(s, &s->objects, WATCH_CHECK_INTERVAL_US);
		return;
	}
	c->after = gossip_revision();
	c->wait_ms = s->kernel->settings.keys_fresh_ms / WATCHES_PER_KEYS_FRESH;
	submit_call(s, &s->objects, PLATFORM_WATCH);
}

/*
 * Returns whether this VM should watch the platform: it is one of the chosen
 * watchers of its failure domain, or its data is near the end of keys_fresh_ms
 * although peers should have renewed it.
 */
static bool should_watch(struct config_sync *s)
{
	struct kernel *k = s->kernel;
	usec_t fresh = (usec_t)k->settings.keys_fresh_ms * USEC_PER_MSEC;
	int64_t age = fleet_platform_data_age(k, clock_now());
	bool is_watcher;

	fleet_lock(k->fleet);
	is_watcher = membership_is_watcher(k->fleet->members,
					   k->settings.watchers_per_domain);
	fleet_unlock(k->fleet);
	return is_watcher || age < 0 || age > fresh * 3 / 4;
}

/* Applies the response to a list or watch and starts the next call at once. */
static void on_objects(struct platform_call *c)
{
	struct config_sync *s = c->ctx;
	struct periodic_call *r = &s->objects;
	struct error e = { 0 };

	r->is_pending = false;
	s->n_objects = 0;
	if (c->result != PLATFORM_OK) {
		schedule(s, r, retry_backoff(s, r));
		return;
	}
	if (platform_objects_parse(c->reply, &s->revision, apply_object, s,
				   &e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		schedule(s, r, retry_backoff(s, r));
		return;
	}
	r->failures = 0;
	s->has_objects = true;
	gossip_mark_complete(s->kernel, s->revision, state_time(s));
	loop_timer_set(s->loop, &r->timer, clock_now());
}

/*
 * Returns the time whose state the response certainly reflects. A watch without
 * changes was held for its whole wait and reflects the end of it; any other
 * response may be as old as its request.
 */
static usec_t state_time(const struct config_sync *s)
{
	const struct periodic_call *r = &s->objects;
	usec_t wait_us = (usec_t)r->call.wait_ms * USEC_PER_MSEC;

	if (r->call.op == PLATFORM_WATCH && s->n_objects == 0 &&
	    clock_now() - r->sent_at >= wait_us)
		return r->sent_at + wait_us;
	return r->sent_at;
}

/* Offers an object of a response to the store, with the response's revision. */
static void apply_object(void *ctx, const char *name, uint64_t version,
			 const char *body)
{
	struct config_sync *s = ctx;
	struct error e;

	s->n_objects++;
	gossip_apply_object(s->kernel, name, version, s->revision, body, &e);
}

/* Requests the list of VMs, unless a request for it is pending. */
static void request_vms(void *ctx)
{
	struct config_sync *s = ctx;

	if (!s->vms.is_pending)
		submit_call(s, &s->vms, PLATFORM_VMS);
}

/*
 * Applies the list of VMs and schedules the next poll, which is later the more
 * VMs there are. Takes the fleet's lock.
 */
static void on_vms(struct platform_call *c)
{
	struct config_sync *s = c->ctx;
	struct fleet *f = s->kernel->fleet;
	struct periodic_call *r = &s->vms;
	usec_t wait = (usec_t)fleet_size(s->kernel) * VMS_INTERVAL_PER_VM_US;
	struct error e = { 0 };

	r->is_pending = false;
	if (c->result != PLATFORM_OK) {
		schedule(s, r, retry_backoff(s, r));
		return;
	}
	r->failures = 0;
	fleet_lock(f);
	membership_list_begin(f->members);
	if (platform_vms_parse(c->reply, add_vm, s, &e) == 0)
		membership_list_end(f->members, clock_now());
	fleet_unlock(f);
	if (e.code != ERR_NONE)
		log_error(EV_CONFIG_REFUSED, &e);
	if (clock_now() - s->started_at < VMS_START_PHASE_US)
		wait = VMS_START_INTERVAL_US;
	else if (wait < VMS_INTERVAL_MIN_US)
		wait = VMS_INTERVAL_MIN_US;
	schedule(s, r, wait);
}

/* Adds one VM of the list; the fleet's lock is held. */
static void add_vm(void *ctx, const struct member *vm)
{
	struct config_sync *s = ctx;
	struct fleet *f = s->kernel->fleet;

	membership_list_add(f->members, vm);
	freshness_add_domain(&f->fresh, vm->domain);
}

/* Sends this VM's record to the platform, unless one is being sent. */
static void announce(void *ctx)
{
	struct config_sync *s = ctx;
	struct fleet *f = s->kernel->fleet;
	struct platform_call *c = &s->announce.call;

	if (s->announce.is_pending)
		return;
	fleet_lock(f);
	membership_set_addresses(f->members, s->kernel->settings.peer_listen,
				 s->kernel->settings.caller_listen);
	c->body = platform_vm_record(
		membership_get(f->members, membership_self(f->members)));
	fleet_unlock(f);
	if (c->body)
		submit_call(s, &s->announce, PLATFORM_ANNOUNCE);
	else
		schedule(s, &s->announce, ANNOUNCE_INTERVAL_US);
}

/* Schedules the next announcement; the platform removes VMs that send none. */
static void on_announced(struct platform_call *c)
{
	struct config_sync *s = c->ctx;

	free(c->body);
	c->body = NULL;
	s->announce.is_pending = false;
	schedule(s, &s->announce, ANNOUNCE_INTERVAL_US);
}

/*
 * Creates the secret that signs session tokens, if there is none and this VM
 * watches the platform. The write succeeds only if the object does not exist.
 */
static void create_secret(void *ctx)
{
	struct config_sync *s = ctx;
	struct platform_call *c = &s->secret.call;
	uint8_t secret[SECRET_BYTES];
	char hex[SECRET_BYTES * 2 + 1];
	size_t size = sizeof(hex) + sizeof("{\"current\":\"\"}");

	if (s->secret.is_pending ||
	    store_version(s->kernel->store, "secrets/session") > 0)
		return;
	if (!s->has_objects || !should_watch(s)) {
		schedule(s, &s->secret, WATCH_CHECK_INTERVAL_US);
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
	submit_call(s, &s->secret, PLATFORM_PUT);
}

/*
 * Applies the new secret. If another VM created one first, the write failed and
 * that VM's secret arrives like any other object.
 */
static void on_secret(struct platform_call *c)
{
	struct config_sync *s = c->ctx;
	struct error e;

	s->secret.is_pending = false;
	if (c->result == PLATFORM_OK)
		gossip_apply_object(s->kernel, c->name, c->version, 0, c->body,
				    &e);
	sodium_memzero(c->body, strlen(c->body));
	free(c->body);
	c->body = NULL;
	schedule(s, &s->secret, RETRY_MAX_US);
}

/* Checks every object before it is applied, whatever its source. */
static int check_object(void *ctx, const char *name, uint64_t version,
			const char *body, struct error *e)
{
	(void)ctx;
	(void)version;
	if (!platform_object_is_own(name))
		return error_set(e, ERR_BAD_REQUEST, STEP_CONFIG_CHECK, NULL,
				 "%s: not an object of the system", name);
	return config_check(name, body, e);
}
