#include "proxy/registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/latency.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * A watch can miss a change without an error, so it is renewed after this time
 * for each live VM. Peers exchange digests in their heartbeats, so on average
 * one VM of the fleet renews its watch each second. That is a third of the 3 s
 * within which a configuration has to be in force. A VM without peers renews at
 * the same rate alone.
 */
#define WATCH_PER_VM_MS 1000
#define WATCH_MAX_MS	25000
/*
 * A change in the list of databases has to be known within 7 s. The VMs share
 * the polling in the same way: one list each second over the fleet, and each VM
 * at least this often.
 */
#define LIST_INTERVAL_MAX_US (120 * USEC_PER_SEC)
/*
 * Back-off after a failed call: the initial delay, doubled each time up to the
 * maximum, a third of the time within which a configuration has to be in force.
 */
#define RETRY_DELAY_US	   (250 * USEC_PER_MSEC)
#define RETRY_DELAY_MAX_US (1000 * USEC_PER_MSEC)
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
/* Databases taken from one complete list. */
#define DATABASES_MAX 4096
/*
 * In a large fleet only some VMs of a failure domain read the configuration and
 * the databases from the platform; the others copy them from these. A VM that
 * knows of newer data, but gets no copy, reads from the platform after this
 * time: a fifth of the time within which a configuration has to be in force.
 */
#define COPY_MAX_US USEC_PER_SEC
/* Shortest interval between two requests for a copy. */
#define COPY_RETRY_US (100 * USEC_PER_MSEC)
/* A VM that starts knows its peers after this time. */
#define FIRST_WATCH_US USEC_PER_SEC

static const struct registry_codec *codec;

/* What this VM knows to be outdated, and how it obtains a copy. */
struct outdated {
	usec_t since;	 /* 0: it is up to date as far as known */
	usec_t asked_at; /* time of the last request for a copy */
};

/* One kind of request that is sent repeatedly. */
struct poll {
	struct registry *registry;
	struct platform_call call;
	const char *name;
	void (*handle)(struct registry *r, struct poll *p);
	usec_t due_at; /* time of the next request; 0: none is planned */
	usec_t requested_at;
	bool busy;
	uint32_t failures; /* failed requests in a row */
	char *reply;	   /* copy made on the platform's thread */
};

struct registry {
	struct proxy *proxy;
	struct poll read;  /* reads the whole catalogue */
	struct poll watch; /* waits for changes, once it was read */
	struct poll databases;
	struct poll vms;
	struct poll self; /* registers this VM */
	/* revision of the newest catalogue, which the next watch starts from */
	uint64_t revision;
	/* the databases are listed at the fast interval until this time */
	usec_t fast_until;
	/* when the newest complete list of databases was requested; 0: none */
	usec_t listed_at;
	/* the list counts as complete from this time on; 0: none read yet */
	usec_t complete_from;
	/* time of the first failed request since the last success; 0: none */
	usec_t failing_since;
	/* list the databases again as soon as the list in progress is done */
	bool list_again_now;
	struct registry_db *list;
	uint32_t n_list;
	uint64_t list_hash; /* hash_list() of the newest complete list */
	bool was_reader;    /* this VM read for its domain at the last tick */
	struct outdated old_catalog;
	struct outdated old_databases;
	char *catalog_reply; /* of the newest catalogue, kept by readers */
	struct registry_page page;
};

static void poll_init(struct registry *r, struct poll *p, const char *name,
		      void (*handle)(struct registry *, struct poll *));
static void poll_send(struct poll *p, enum platform_op op, usec_t now);
static void on_platform_reply(struct platform_call *c);
static void handle_reply(void *ctx);
static void handle_catalog_list(struct registry *r, struct poll *p);
static void handle_catalog_watch(struct registry *r, struct poll *p);
static bool apply_catalog(struct registry *r, const char *reply, bool is_whole);
static void apply_list(struct registry *r, usec_t listed_at, usec_t now);
static void become_reader(struct registry *r, usec_t now);
static void refresh(struct registry *r, struct outdated *o,
		    enum registry_copy kind, struct poll *p, usec_t now);
static void check_outdated(struct outdated *o, struct poll *p, usec_t now);
static usec_t retry_backoff(const struct registry *r, struct poll *p);
static void track_outage(struct registry *r, enum platform_result result,
			 usec_t now);
static bool is_due(const struct poll *p, usec_t now);
static uint64_t random_delay(const struct registry *r, uint64_t max);
static uint32_t watch_ms(const struct registry *r);
static usec_t list_interval(const struct registry *r, usec_t now);
static uint64_t hash_list(const struct registry *r);
static int compare_ids(const void *a, const void *b);
static void handle_databases(struct registry *r, struct poll *p);
static void add_database(void *ctx, const struct registry_db *db);
static void handle_vms(struct registry *r, struct poll *p);
static void add_vm(void *ctx, const struct registry_vm *vm);
static void handle_self(struct registry *r, struct poll *p);
static void request_databases(struct registry *r, const char *after_id,
			      usec_t now);

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
	poll_init(r, &r->read, REGISTRY_CATALOG, handle_catalog_list);
	poll_init(r, &r->watch, REGISTRY_CATALOG, handle_catalog_watch);
	poll_init(r, &r->databases, REGISTRY_DATABASES, handle_databases);
	poll_init(r, &r->vms, REGISTRY_VMS, handle_vms);
	poll_init(r, &r->self, REGISTRY_VMS, handle_self);
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
	check_outdated(&r->old_catalog, &r->read, now);
	check_outdated(&r->old_databases, &r->databases, now);

	if (is_due(&r->read, now))
		poll_send(&r->read, PLATFORM_LIST, now);
	if (is_due(&r->watch, now) && is_reader) {
		r->watch.call.after = r->revision;
		r->watch.call.wait_ms = watch_ms(r);
		poll_send(&r->watch, PLATFORM_WATCH, now);
	}
	if (is_due(&r->databases, now))
		request_databases(r, "", now);
	if (is_due(&r->vms, now)) {
		/*
		 * The first list has to be complete, since the limits of teams
		 * depend on it; so has any list of a small fleet.
		 */
		r->vms.call.stale_ok =
			r->proxy->vms_known &&
			!heartbeat_is_full_mesh(r->proxy->heartbeat);
		poll_send(&r->vms, PLATFORM_LIST, now);
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
		poll_send(&r->self, PLATFORM_PUT, now);
	}
}

/* Lists the databases at the fast interval for one second. */
void registry_poll_fast(struct registry *r, usec_t now)
{
	usec_t fast_due = r->databases.requested_at +
			  r->proxy->policy.registry_fast_interval;

	r->fast_until = now + USEC_PER_SEC;
	if (r->databases.due_at > fast_due)
		r->databases.due_at = fast_due;
}

/* Returns the digest of what this VM knows. */
struct registry_digest registry_digest(const struct registry *r, usec_t now)
{
	const struct catalog *c = r->proxy->catalog;

	return (struct registry_digest){
		.catalog = c ? c->revision : 0,
		.databases = r->list_hash,
		.databases_age_ms =
			(uint64_t)((now - r->listed_at) / USEC_PER_MSEC),
		.vms = heartbeat_members_hash(r->proxy->heartbeat),
	};
}

/*
 * Compares a peer's digest with this VM's. Obtains the catalogue if the peer's
 * is newer, the databases if the peer's list differs and is newer, and the VMs
 * if the peer knows others.
 */
void registry_on_peer_digest(struct registry *r,
			     const struct registry_digest *n, usec_t now)
{
	struct registry_digest known = registry_digest(r, now);

	if (n->catalog > known.catalog && r->read.due_at == 0)
		refresh(r, &r->old_catalog, REGISTRY_COPY_CATALOG, &r->read,
			now);
	if (n->databases != known.databases &&
	    n->databases_age_ms < known.databases_age_ms)
		registry_refresh_databases(r, now);
	if (n->vms != known.vms && r->proxy->vms_known &&
	    r->vms.due_at > r->vms.requested_at + VMS_LIST_INTERVAL_MIN_US)
		r->vms.due_at = r->vms.requested_at + VMS_LIST_INTERVAL_MIN_US;
	registry_tick(r, now);
}

/*
 * Lists the databases now. A list in progress may be older than "now", so
 * another one follows it.
 */
void registry_list_now(struct registry *r, usec_t now)
{
	r->list_again_now = r->databases.busy;
	r->databases.due_at = now;
	registry_tick(r, now);
}

/* Returns true if the list of databases counts as complete. */
bool registry_is_settled(const struct registry *r, usec_t now)
{
	return r->complete_from && now >= r->complete_from;
}

/* Returns when the newest complete list was requested; 0: none yet. */
usec_t registry_listed_at(const struct registry *r)
{
	return r->listed_at;
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
static void poll_send(struct poll *p, enum platform_op op, usec_t now)
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
	p->due_at = proxy_now() + retry_backoff(r, p);
	if (p->call.op != PLATFORM_WATCH)
		latency_add(LATENCY_PLATFORM, proxy_now() - p->requested_at);
	track_outage(r, p->call.result, proxy_now());
	if (p->call.replied)
		registry_note_era(r->proxy, &p->call);
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
	return delay / 2 + (usec_t)random_delay(r, (uint64_t)delay) / 2;
}

/*
 * Tracks outages of the platform. After one that is long enough for entries to
 * expire, the list is incomplete until the databases have registered again.
 */
static void track_outage(struct registry *r, enum platform_result result,
			 usec_t now)
{
	if (result == PLATFORM_DOWN || result == PLATFORM_LOST) {
		if (r->failing_since == 0)
			r->failing_since = now;
		return;
	}
	if (r->failing_since && now - r->failing_since >= OUTAGE_EXPIRY_US)
		r->complete_from = now + REREGISTER_MAX_US;
	r->failing_since = 0;
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
static uint64_t random_delay(const struct registry *r, uint64_t max)
{
	uint64_t min = max / 10;

	return min + proxy_random(r->proxy) % (max - min);
}

/* Returns how long the platform is asked to hold a watch, in milliseconds. */
static uint32_t watch_ms(const struct registry *r)
{
	uint32_t ms =
		WATCH_PER_VM_MS * heartbeat_n_readers(r->proxy->heartbeat);

	if (ms > WATCH_MAX_MS)
		ms = WATCH_MAX_MS;
	return (uint32_t)random_delay(r, ms);
}

/* Returns the interval to the next list of databases. */
static usec_t list_interval(const struct registry *r, usec_t now)
{
	const struct proxy_policy *policy = &r->proxy->policy;
	usec_t delay = policy->registry_interval *
		       heartbeat_n_readers(r->proxy->heartbeat);

	if (now < r->fast_until)
		return policy->registry_fast_interval;
	if (delay > LIST_INTERVAL_MAX_US ||
	    !heartbeat_is_reader(r->proxy->heartbeat))
		delay = LIST_INTERVAL_MAX_US;
	return (usec_t)random_delay(r, (uint64_t)delay);
}

/* Handles the reply with the whole catalogue and starts the first watch. */
static void handle_catalog_list(struct registry *r, struct poll *p)
{
	if (p->call.result != PLATFORM_OK || !apply_catalog(r, p->reply, true))
		return;
	p->due_at = 0;
	if (r->watch.due_at == 0)
		r->watch.due_at = proxy_now() + FIRST_WATCH_US;
}

/*
 * Starts the next watch. apply_catalog() advances the revision only if the
 * reply holds a configuration. After an empty reply the next watch starts from
 * the same revision, in case a change was missed.
 */
static void handle_catalog_watch(struct registry *r, struct poll *p)
{
	if (p->call.result == PLATFORM_NOT_FOUND) {
		/*
		 * The platform no longer has the history since that revision:
		 * the whole catalogue is read again.
		 */
		p->due_at = 0;
		if (r->read.due_at == 0)
			r->read.due_at = proxy_now();
		return;
	}
	if (p->call.result == PLATFORM_OK && apply_catalog(r, p->reply, false))
		p->due_at = proxy_now();
}

/*
 * Brings a newer configuration into force; an older one is ignored. "is_whole":
 * the reply tells the present state, not only changes of it. Returns false if
 * the reply is missing or malformed.
 */
static bool apply_catalog(struct registry *r, const char *reply, bool is_whole)
{
	struct proxy *x = r->proxy;
	struct catalog *c;
	struct error e;
	uint64_t revision = 0;

	if (!reply)
		return false;
	error_clear(&e);
	c = codec->catalog(reply, &revision, &e);
	if (e.code != ERR_NONE) {
		log_error(EV_CONFIG_REFUSED, &e);
		return false;
	}
	if ((c || is_whole) && revision > r->revision)
		r->revision = revision;
	if (!c)
		return true;
	if (!x->catalog || c->revision >= x->catalog->revision) {
		free(r->catalog_reply);
		r->catalog_reply = r->was_reader ? strdup(reply) : NULL;
	}
	if (x->catalog && c->revision <= x->catalog->revision) {
		catalog_destroy(c);
		return true;
	}
	log_event(EV_CONFIG_APPLIED,
		  "version=%llu revision=%llu routes=%u teams=%u keys=%u",
		  (unsigned long long)c->version,
		  (unsigned long long)c->revision, c->n_routes, c->n_teams,
		  c->n_keys);
	catalog_destroy(x->catalog);
	x->catalog = c;
	r->old_catalog.since = 0;
	if (r->was_reader)
		heartbeat_tell_domain(x->heartbeat);
	/* Lists again, as databases of unknown services were skipped. */
	if (db_group_apply_catalog(x, proxy_now())) {
		r->listed_at = 0;
		registry_refresh_databases(r, proxy_now());
	}
	return true;
}

/* Requests one page of the list of databases. */
static void request_databases(struct registry *r, const char *after_id,
			      usec_t now)
{
	if (after_id[0] == '\0')
		r->n_list = 0;
	snprintf(r->databases.call.from, sizeof(r->databases.call.from), "%s",
		 after_id);
	poll_send(&r->databases, PLATFORM_LIST, now);
}

/* Handles one page, and the complete list with the last one. */
static void handle_databases(struct registry *r, struct poll *p)
{
	usec_t now = proxy_now();
	struct error e;

	if (p->call.result != PLATFORM_OK || !p->reply)
		return;
	error_clear(&e);
	memset(&r->page, 0, sizeof(r->page));
	if (codec->databases(p->reply, add_database, r, &r->page, &e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		return;
	}
	if (r->page.skipped)
		log_event(EV_CONFIG_REFUSED,
			  "list=databases entries_skipped=%u", r->page.skipped);
	if (r->page.more && r->page.last[0] && r->n_list < DATABASES_MAX) {
		request_databases(r, r->page.last, now);
		return;
	}
	apply_list(r, p->requested_at, now);
	if (r->list_again_now)
		p->due_at = now;
	r->list_again_now = false;
}

/* Applies the complete list in r->list, requested at "listed_at". */
static void apply_list(struct registry *r, usec_t listed_at, usec_t now)
{
	struct proxy *x = r->proxy;
	uint64_t old_hash = r->list_hash;
	usec_t relist_at;

	if (r->complete_from == 0)
		r->complete_from = now + REREGISTER_MAX_US;
	r->listed_at = listed_at;
	r->list_hash = hash_list(r);
	r->old_databases.since = 0;
	r->databases.due_at = now + list_interval(r, now);
	x->databases_known = r->n_list > 0;
	relist_at = db_group_apply_databases(x, r->list, r->n_list, listed_at);
	if (relist_at && relist_at < r->databases.due_at)
		r->databases.due_at = relist_at > now ? relist_at : now;
	if (r->list_hash != old_hash && r->was_reader)
		heartbeat_tell_domain(x->heartbeat);
}

/* Starts to read for the failure domain. */
static void become_reader(struct registry *r, usec_t now)
{
	if (!r->proxy->catalog)
		return;
	if (r->watch.due_at == 0 || r->watch.due_at > now)
		r->watch.due_at = now;
	if (!r->catalog_reply && r->read.due_at == 0)
		r->read.due_at = now;
	if (r->databases.due_at > now + list_interval(r, now))
		r->databases.due_at = now + list_interval(r, now);
}

/* Obtains the newest list of databases, from a peer if possible. */
void registry_refresh_databases(struct registry *r, usec_t now)
{
	if (r->databases.due_at > now)
		refresh(r, &r->old_databases, REGISTRY_COPY_DATABASES,
			&r->databases, now);
}

/*
 * Requests a copy of what is outdated, from a VM that reads for this failure
 * domain. A reader requests it from the platform.
 */
static void refresh(struct registry *r, struct outdated *o,
		    enum registry_copy kind, struct poll *p, usec_t now)
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
	registry_copy_request(r->proxy, kind);
}

/* Reads from the platform what no peer has sent a copy of in time. */
static void check_outdated(struct outdated *o, struct poll *p, usec_t now)
{
	if (o->since == 0 || now - o->since < COPY_MAX_US)
		return;
	o->since = 0;
	p->due_at = now;
}

/* Returns the platform's reply with the newest catalogue, NULL if not kept. */
const char *registry_catalog_reply(const struct registry *r)
{
	return r->catalog_reply;
}

/* Returns the newest complete list of databases; 0 while one is being read. */
const struct registry_db *registry_list(const struct registry *r, uint32_t *n)
{
	*n = r->databases.busy ? 0 : r->n_list;
	return r->list;
}

/* Applies a peer's copy of the catalogue. */
void registry_apply_catalog_copy(struct registry *r, const char *reply)
{
	(void)apply_catalog(r, reply, false);
}

/*
 * Applies a peer's copy of the list of databases, unless this VM has a newer
 * one or is reading one.
 */
void registry_apply_list_copy(struct registry *r, const struct registry_db *db,
			      uint32_t n, usec_t listed_at, bool is_settled)
{
	usec_t now = proxy_now();

	if (r->databases.busy || listed_at <= r->listed_at ||
	    n > DATABASES_MAX || n == 0)
		return;
	memcpy(r->list, db, n * sizeof(*db));
	r->n_list = n;
	if (!is_settled)
		r->complete_from = now + REREGISTER_MAX_US;
	apply_list(r, listed_at, now);
}

/*
 * Returns a hash of what the VMs have to agree on: the databases, their
 * addresses, incarnations, departures and roles.
 */
static uint64_t hash_list(const struct registry *r)
{
	XXH64_hash_t h = 0;
	uint32_t i;

	qsort(r->list, r->n_list, sizeof(*r->list), compare_ids);
	for (i = 0; i < r->n_list; i++) {
		const struct registry_db *d = &r->list[i];
		uint64_t packed_state = d->incarnation << 2 |
					(uint64_t)d->departing << 1 |
					(uint64_t)d->primary;

		h = XXH3_64bits_withSeed(d->id, strlen(d->id), h);
		h = XXH3_64bits_withSeed(d->address, strlen(d->address), h);
		h = XXH3_64bits_withSeed(&packed_state, sizeof(packed_state),
					 h);
	}
	return h;
}

/* Orders databases by id, for qsort(). */
static int compare_ids(const void *a, const void *b)
{
	return strcmp(((const struct registry_db *)a)->id,
		      ((const struct registry_db *)b)->id);
}

/*
 * Adds a database to the list being read; any beyond DATABASES_MAX is dropped.
 */
static void add_database(void *ctx, const struct registry_db *db)
{
	struct registry *r = ctx;

	if (r->n_list < DATABASES_MAX)
		r->list[r->n_list++] = *db;
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
	if (page.more && page.last[0]) {
		snprintf(p->call.from, sizeof(p->call.from), "%s", page.last);
		p->due_at = proxy_now();
		return;
	}
	p->call.from[0] = '\0';
	p->due_at = proxy_now() + VMS_LIST_INTERVAL_US;
	if (!r->proxy->vms_known)
		rate_limit_peers_listed(r->proxy->rate_limit, proxy_now());
	r->proxy->vms_known = true;
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
