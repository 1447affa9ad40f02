#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/reader_choice.h"
#include "decide/restored_list.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * Longest wait of a watch. Reads find what a watch misses; it is renewed to
 * hear at once again.
 */
#define WATCH_MAX_MS 25000
/*
 * Back-off after a failed call: the initial delay, doubled each time up to the
 * maximum, a third of the time within which a configuration has to be in force.
 */
#define RETRY_DELAY_US	   (250 * USEC_PER_MSEC)
#define RETRY_DELAY_MAX_US (1000 * USEC_PER_MSEC)
/* After failing for so long the platform counts as not answering this VM. */
#define FAILING_US (250 * USEC_PER_MSEC)
/*
 * A read or list in progress counts as not answered after twice the time that
 * the last one took, within these bounds: half of the time within which a
 * configuration has to be in force is for rounds of them in other VMs.
 */
#define OVERDUE_MIN_US FAILING_US
#define OVERDUE_MAX_US (750 * USEC_PER_MSEC)
/*
 * The platform's client repeats an overdue call on a new connection. The VM
 * counts as not answered if that has no answer either after this time.
 */
#define REPEAT_US (100 * USEC_PER_MSEC)
/*
 * Interval of attempts of a VM that reads no longer, as it is not answered, for
 * each READER_CHOICE_FAILING_MAX such VMs of its failure domain.
 */
#define PROBE_US (10 * USEC_PER_SEC)
/*
 * VMs that start together may list each other too early. A VM whose peers know
 * others lists again, but no more often than this.
 */
#define VMS_LIST_INTERVAL_MIN_US (2 * USEC_PER_SEC)
/* Interval between lists of the VMs while no peer knows others. */
#define VMS_LIST_INTERVAL_US (120 * USEC_PER_SEC)
/*
 * After an outage of the platform of at least this length, entries of databases
 * may have expired. Databases renew their entries every 1.2 s; an entry expires
 * after three missed renewals.
 */
#define OUTAGE_EXPIRY_US (3 * USEC_PER_SEC)
/*
 * In a large fleet only some VMs of a failure domain read the configuration and
 * the databases from the platform; the others copy them from these. A VM that
 * knows of newer data, but gets no copy, reads from the platform after this
 * time: a fifth of the time within which a configuration has to be in force.
 */
#define COPY_MAX_US USEC_PER_SEC
/*
 * After a restoration of the store all VMs register again at the same moment:
 * the requests are spread over this time. Only VMs that start need the entries.
 */
#define RESTORED_REGISTER_MAX_US USEC_PER_SEC
/*
 * Peers have a list from after a restoration of the store this long after it;
 * a copy sent earlier may count as one from before.
 */
#define RESTORED_COPY_US (RESTORED_READ_MAX_US + REGISTRY_COPY_DELAY_MAX_US)
/* The VMs are listed again once all have had the time to register. */
#define RESTORED_VMS_US (2 * USEC_PER_SEC)

static const struct registry_codec *codec;

static bool list_counts(const struct registry *r,
			const struct registry_digest *n, usec_t now);
static void poll_init(struct registry *r, struct poll *p, const char *name,
		      void (*handle)(struct registry *, struct poll *));
static void on_platform_reply(struct platform_call *c);
static void handle_reply(void *ctx);
static void check_restored(struct registry *r, usec_t now);
static void plan_by(struct poll *p, usec_t at);
static void become_reader(struct registry *r, usec_t now);
static void check_outdated(struct outdated *o, struct poll *p, usec_t now);
static usec_t retry_backoff(const struct registry *r, struct poll *p);
static void track_outage(struct registry *r, const struct poll *p, usec_t now);
static void probe(struct registry *r, usec_t now);
static bool is_due(const struct poll *p, usec_t now);
static void handle_vms(struct registry *r, struct poll *p);
static void add_vm(void *ctx, const struct registry_vm *vm);
static void handle_self(struct registry *r, struct poll *p);

/* Sets the codec; called once, before main(). */
void registry_codec_register(const struct registry_codec *c)
{
	codec = c;
}

/* Returns the codec, or NULL if the program was built without one. */
const struct registry_codec *registry_codec(void)
{
	return codec;
}

/* Creates the registry client. Returns NULL if memory is short. */
struct registry *registry_create(struct proxy *p)
{
	struct registry *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->list = calloc(DATABASES_MAX, sizeof(*r->list));
	if (!r->list) {
		free(r);
		return NULL;
	}
	r->proxy = p;
	poll_init(r, &r->read, REGISTRY_CATALOG, registry_handle_catalog_list);
	poll_init(r, &r->watch, REGISTRY_CATALOG,
		  registry_handle_catalog_watch);
	poll_init(r, &r->databases, REGISTRY_DATABASES,
		  registry_handle_databases);
	poll_init(r, &r->vms, REGISTRY_VMS, handle_vms);
	poll_init(r, &r->self, REGISTRY_VMS, handle_self);
	poll_init(r, &r->evacuations.list, REGISTRY_EVACUATIONS,
		  registry_handle_evacuation_list);
	poll_init(r, &r->evacuations.watch, REGISTRY_EVACUATIONS,
		  registry_handle_evacuation_watch);
	return r;
}

/* Sends the first requests. */
void registry_start(struct registry *r)
{
	usec_t now = proxy_now();

	r->read.due_at = now;
	r->databases.due_at = now;
	r->vms.due_at = now;
	r->self.due_at = now;
	registry_tick(r, now);
}

/* Sends the requests that are due. */
void registry_tick(struct registry *r, usec_t now)
{
	struct kernel *k = r->proxy->kernel;
	struct registry_vm self = { .incarnation = k->incarnation };
	bool is_reader = heartbeat_is_reader(r->proxy->heartbeat);

	if (is_reader && !r->was_reader)
		become_reader(r, now);
	r->was_reader = is_reader;
	check_restored(r, now);
	registry_catalog_tick(r, now);
	registry_confirm_tick(r, now);
	registry_list_tick(r, now);
	registry_evacuation_tick(r, now);
	probe(r, now);
	check_outdated(&r->old_catalog, &r->read, now);
	check_outdated(&r->old_databases, &r->databases, now);

	if (is_due(&r->read, now))
		registry_poll_send(&r->read, PLATFORM_LIST, now);
	if (is_due(&r->watch, now) && is_reader) {
		r->watch.call.after = r->position.revision;
		r->watch_era = r->position.era;
		r->watch.call.wait_ms =
			(uint32_t)registry_random_delay(r, WATCH_MAX_MS);
		registry_poll_send(&r->watch, PLATFORM_WATCH, now);
	}
	if (is_due(&r->databases, now))
		registry_request_databases(r, "", now);
	if (is_due(&r->vms, now)) {
		/*
		 * The first list has to be complete, since the limits of teams
		 * depend on it; so has any list of a small fleet.
		 */
		r->vms.call.stale_ok =
			r->proxy->vms_known &&
			!heartbeat_is_full_mesh(r->proxy->heartbeat);
		registry_poll_send(&r->vms, PLATFORM_LIST, now);
	}
	if (is_due(&r->self, now)) {
		snprintf(self.name, sizeof(self.name), "%s", k->settings.vm);
		snprintf(self.domain, sizeof(self.domain), "%s",
			 k->settings.domain);
		snprintf(self.peer, sizeof(self.peer), "%s",
			 k->settings.peer_listen);
		snprintf(r->self.call.name, sizeof(r->self.call.name), "%s/%s",
			 REGISTRY_VMS, self.name);
		free(r->self.call.body);
		r->self.call.body = codec->vm_body(&self);
		registry_poll_send(&r->self, PLATFORM_PUT, now);
	}
}

/* Returns the digest of what this VM knows. */
struct registry_digest registry_digest(const struct registry *r, usec_t now)
{
	const struct catalog *c = r->proxy->catalog;
	const struct store_era *s = &r->proxy->store_era;

	return (struct registry_digest){
		.catalog = c ? c->version : 0,
		.contents = c ? c->contents : 0,
		.databases = r->list_hash,
		.databases_age_ms =
			(uint64_t)((now - r->listed_at) / USEC_PER_MSEC),
		.vms = heartbeat_members_hash(r->proxy->heartbeat),
		.knows_era = s->is_known,
		.era = s->era,
		.era_age_ms = s->is_known ? (uint64_t)((now - s->known_since) /
						       USEC_PER_MSEC)
					  : 0,
		.read = registry_told_read(r, now),
	};
}

/*
 * Compares a peer's digest with this VM's. Obtains the catalogue if the peer's
 * is newer, the databases if the peer's list differs and is newer, and the VMs
 * if the peer knows others.
 */
void registry_on_peer_digest(struct registry *r, const char *peer,
			     const struct registry_digest *n, usec_t now)
{
	struct registry_digest known;

	if (n->knows_era)
		registry_note_peer_era(r->proxy, peer, n->era, n->era_age_ms);
	known = registry_digest(r, now);
	registry_on_peer_version(r, peer, n->catalog, now);
	registry_on_peer_contents(r, n, now);
	registry_on_peer_read(r, &n->read, now);
	if (list_counts(r, n, now))
		registry_on_peer_list(r, peer, n, now);
	if (n->vms != known.vms && r->proxy->vms_known &&
	    r->vms.due_at > r->vms.requested_at + VMS_LIST_INTERVAL_MIN_US)
		r->vms.due_at = r->vms.requested_at + VMS_LIST_INTERVAL_MIN_US;
	registry_tick(r, now);
}

/*
 * Returns false if the peer's list of databases may be of an earlier era of the
 * store, or if no copy of it would be taken yet.
 */
static bool list_counts(const struct registry *r,
			const struct registry_digest *n, usec_t now)
{
	const struct store_era *s = &r->proxy->store_era;

	if (s->is_known && (!n->knows_era || n->era < s->era))
		return false;
	return r->was_reader ||
	       !restored_list_is_partial(now, registry_restored_at(r->proxy),
					 RESTORED_COPY_US);
}

/* Prepares one kind of request; "handle" is called with its replies. */
static void poll_init(struct registry *r, struct poll *p, const char *name,
		      void (*handle)(struct registry *, struct poll *))
{
	p->registry = r;
	p->name = name;
	p->handle = handle;
	p->call.done = on_platform_reply;
	p->call.ctx = p;
}

/* Sends one request; the reply arrives on the proxy's thread. */
void registry_poll_send(struct poll *p, enum platform_op op, usec_t now)
{
	p->busy = true;
	p->requested_at = now;
	p->call.op = op;
	if (op != PLATFORM_PUT)
		snprintf(p->call.name, sizeof(p->call.name), "%s", p->name);
	platform_submit(p->registry->proxy->kernel, &p->call);
}

/* Copies the reply; runs on the platform's thread. */
static void on_platform_reply(struct platform_call *c)
{
	struct poll *p = c->ctx;

	p->reply = c->reply ? strdup(c->reply) : NULL;
	proxy_post(p->registry->proxy, handle_reply, p);
}

/* Handles a reply on the proxy's thread and sends what is due next. */
static void handle_reply(void *ctx)
{
	struct poll *p = ctx;
	struct registry *r = p->registry;

	p->busy = false;
	/* An object of an earlier era has another revision now, or none. */
	if (p->call.replied && !registry_note_era(r->proxy, &p->call)) {
		p->call.result = PLATFORM_DOWN;
		p->call.version = 0;
	}
	p->due_at = proxy_now() + retry_backoff(r, p);
	if (p->call.op != PLATFORM_WATCH)
		latency_add(LATENCY_PLATFORM, proxy_now() - p->requested_at);
	track_outage(r, p, proxy_now());
	p->handle(r, p);
	free(p->reply);
	p->reply = NULL;
	registry_tick(r, proxy_now());
}

/*
 * Returns the delay before the request is sent again: fixed after a success,
 * exponential with jitter after failures.
 */
static usec_t retry_backoff(const struct registry *r, struct poll *p)
{
	usec_t delay = RETRY_DELAY_US;
	uint32_t i;

	if (p->call.result != PLATFORM_DOWN &&
	    p->call.result != PLATFORM_LOST) {
		p->failures = 0;
		return delay;
	}
	for (i = 0; i < p->failures && delay < RETRY_DELAY_MAX_US; i++)
		delay *= 2;
	p->failures++;
	return delay / 2 +
	       (usec_t)registry_random_delay(r, (uint64_t)delay) / 2;
}

/*
 * Tracks outages of the platform. After one that is long enough for entries to
 * expire, the list is incomplete until the databases have registered again.
 */
static void track_outage(struct registry *r, const struct poll *p, usec_t now)
{
	if (p->call.result == PLATFORM_DOWN ||
	    p->call.result == PLATFORM_LOST) {
		if (r->failing_since == 0)
			r->failing_since = p->call.op == PLATFORM_WATCH
						   ? now
						   : p->requested_at;
		r->failed_at = now;
		return;
	}
	if (p->call.op != PLATFORM_WATCH)
		r->answer_took = now - p->requested_at;
	if (r->failing_since && now - r->failing_since >= OUTAGE_EXPIRY_US)
		r->complete_from = now + REREGISTER_MAX_US;
	r->failing_since = 0;
}

/*
 * Returns true if calls of this VM have failed for a while, or if one that
 * other VMs can make in its place is overdue.
 */
bool registry_platform_fails(const struct registry *r, usec_t now)
{
	return (r->failing_since && now - r->failing_since >= FAILING_US) ||
	       registry_is_overdue(r, &r->read, now - REPEAT_US) ||
	       registry_is_overdue(r, &r->databases, now - REPEAT_US);
}

/*
 * After a claim that had no answer this VM counts as not answered, so that the
 * failover is left to the next one by rank.
 */
void registry_claim_unanswered(struct registry *r, usec_t now)
{
	if (r->failing_since == 0 || r->failing_since > now - FAILING_US)
		r->failing_since = now - FAILING_US;
	r->failed_at = now;
	heartbeat_send_now(r->proxy->heartbeat);
}

/* True if a call has been in progress for longer than is usual. */
bool registry_is_overdue(const struct registry *r, const struct poll *p,
			 usec_t now)
{
	usec_t most = 2 * r->answer_took;

	if (most < OVERDUE_MIN_US)
		most = OVERDUE_MIN_US;
	if (most > OVERDUE_MAX_US)
		most = OVERDUE_MAX_US;
	return p->busy && now - p->requested_at >= most;
}

/*
 * Reads the configuration now and then to find out whether the platform answers
 * this VM again, if it reads no longer since it did not.
 */
static void probe(struct registry *r, usec_t now)
{
	uint32_t failing;

	if (r->was_reader || !r->failing_since || r->read.busy ||
	    now - r->failed_at < PROBE_US)
		return;
	failing = heartbeat_n_failing(r->proxy->heartbeat);
	if (now - r->failed_at <
	    PROBE_US * (1 + failing / READER_CHOICE_FAILING_MAX))
		return;
	r->failed_at = now;
	r->read.due_at = now;
}

/* True if the request is planned for now or earlier and none is in progress. */
static bool is_due(const struct poll *p, usec_t now)
{
	return !p->busy && p->due_at && now >= p->due_at;
}

/*
 * Returns a random time from a tenth of "max" to "max". A change makes all
 * VMs send requests at the same moment; without the jitter they would stay in
 * step from then on.
 */
uint64_t registry_random_delay(const struct registry *r, uint64_t max)
{
	uint64_t min = max / 10;

	return min + proxy_random(r->proxy) % (max - min);
}

/*
 * After a restoration of the store: reads again what this VM reads for its
 * failure domain, and registers it again, as its entry may be lost. The other
 * VMs of a large fleet learn of changes from those that read. A request in
 * progress is sent again if its reply turns out to be of an earlier era.
 */
static void check_restored(struct registry *r, usec_t now)
{
	const struct proxy *p = r->proxy;

	if (!p->was_restored || r->restored_era == p->store_era.era)
		return;
	r->restored_era = p->store_era.era;
	if (r->was_reader) {
		plan_by(&r->read, now + (usec_t)registry_random_delay(
						r, RESTORED_READ_MAX_US));
		plan_by(&r->databases, now + (usec_t)registry_random_delay(
						     r, RESTORED_READ_MAX_US));
	}
	if (!r->self.busy)
		r->self.call.version = 0;
	plan_by(&r->self, now + (usec_t)registry_random_delay(
					r, RESTORED_REGISTER_MAX_US));
	plan_by(&r->vms, now + RESTORED_VMS_US);
}

/* Plans a request for "at", unless it is planned for earlier. */
static void plan_by(struct poll *p, usec_t at)
{
	if (p->due_at == 0 || p->due_at > at)
		p->due_at = at;
}

/* Starts to read for the failure domain. */
static void become_reader(struct registry *r, usec_t now)
{
	if (!r->proxy->catalog)
		return;
	if (r->watch.due_at == 0 || r->watch.due_at > now)
		r->watch.due_at = now;
	if (r->position.revision == 0 && r->read.due_at == 0)
		r->read.due_at = now;
}

/*
 * Requests a copy of what is outdated, from a VM that reads for this failure
 * domain. A reader requests it from the platform.
 */
void registry_refresh_outdated(struct registry *r, struct outdated *o,
			       enum registry_copy kind, struct poll *p,
			       usec_t now)
{
	if (heartbeat_is_reader(r->proxy->heartbeat)) {
		p->due_at = now;
		return;
	}
	if (o->since == 0)
		o->since = now;
	if (now - o->asked_at < COPY_RETRY_US)
		return;
	o->asked_at = now;
	registry_copy_request(r->proxy, kind, NULL);
}

/* Reads from the platform what no peer has sent a copy of in time. */
static void check_outdated(struct outdated *o, struct poll *p, usec_t now)
{
	if (o->since == 0 || now - o->since < COPY_MAX_US)
		return;
	o->since = 0;
	p->due_at = now;
}

/* Handles one page of the list of VMs. */
static void handle_vms(struct registry *r, struct poll *p)
{
	struct registry_page page = { 0 };
	struct error e;

	if (p->call.result != PLATFORM_OK || !p->reply)
		return;
	error_clear(&e);
	if (codec->vms(p->reply, add_vm, r, &page, &e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		return;
	}
	registry_note_skipped(r, REGISTRY_VMS, &page);
	if (page.more && !page.last[0]) {
		log_event(EV_CONFIG_REFUSED,
			  "list=vms reason=\"a page without names\"");
		return;
	}
	if (page.more) {
		snprintf(p->call.from, sizeof(p->call.from), "%s", page.last);
		p->due_at = proxy_now();
		return;
	}
	p->call.from[0] = '\0';
	p->due_at = proxy_now() + VMS_LIST_INTERVAL_US;
	if (!r->proxy->vms_known)
		rate_limit_peers_listed(r->proxy->rate_limit, proxy_now());
	r->proxy->vms_known = true;
	r->proxy->vms_known_at = proxy_now();
}

/* Passes a listed VM to the heartbeats as a peer. */
static void add_vm(void *ctx, const struct registry_vm *vm)
{
	struct registry *r = ctx;

	heartbeat_add_peer(r->proxy->heartbeat, vm);
}

/*
 * Handles the reply to this VM's registration. The entry does not expire, so it
 * is written once. On a conflict an entry of an earlier incarnation is
 * replaced.
 */
static void handle_self(struct registry *r, struct poll *p)
{
	(void)r;
	if (p->call.result == PLATFORM_OK)
		p->due_at = 0;
	else if (p->call.result == PLATFORM_CONFLICT)
		p->due_at = proxy_now();
	else if (p->call.result == PLATFORM_NOT_FOUND)
		p->call.version = 0;
}
