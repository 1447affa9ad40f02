#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "proxy/registry_internal.h"

/* Follows the configuration: reads, watches and copies of it. */

/* A VM that starts knows its peers after this time. */
#define FIRST_WATCH_US USEC_PER_SEC

/*
 * A read of a version that a peer has takes less, unless the platform does not
 * answer: then a copy is requested from the peer, too.
 */
#define READ_WAIT_US (200 * USEC_PER_MSEC)
/* A version that no peer has told for so long is not to be had from peers. */
#define LACKED_MAX_US (2 * USEC_PER_SEC)

/* Where a reply comes from. */
enum catalog_source {
	SOURCE_READ,  /* it tells the present state of the platform */
	SOURCE_WATCH, /* only changes of it */
	SOURCE_COPY,  /* of a peer */
};

static const char *const source_names[] = {
	[SOURCE_READ] = "read",
	[SOURCE_WATCH] = "watch",
	[SOURCE_COPY] = "peer",
};

static bool apply_catalog(struct registry *r, const char *reply, uint64_t era,
			  enum catalog_source source);
static void leave_to_peers(struct registry *r, struct poll *p);
static void advance(struct registry *r, uint64_t era, uint64_t revision);
static void note_older(struct registry *r, const struct catalog *c);
static void note_lacked(struct registry *r, usec_t now);
static void request_copy(struct registry *r, usec_t now);

/* Handles the reply with the whole catalogue and starts the first watch. */
void registry_handle_catalog_list(struct registry *r, struct poll *p)
{
	usec_t now = proxy_now();

	if (p->call.result != PLATFORM_OK ||
	    !apply_catalog(r, p->reply, p->call.era, SOURCE_READ)) {
		leave_to_peers(r, p);
		return;
	}
	p->due_at = 0;
	registry_confirm(r, p->requested_at);
	note_lacked(r, now);
	if (r->watch.due_at == 0)
		r->watch.due_at = now + FIRST_WATCH_US;
}

/*
 * After a read that failed: unless this VM is known to lack a version, or needs
 * a position for its watch, it reads again only when no other VM has read for a
 * while.
 */
static void leave_to_peers(struct registry *r, struct poll *p)
{
	bool has_watch = r->watch.busy || r->watch.due_at || !r->was_reader;

	if (registry_known_version(r) == 0 || !has_watch ||
	    r->peer_version > registry_known_version(r))
		return;
	p->retry_at = p->due_at;
	p->due_at = 0;
}

/*
 * Starts the next watch. apply_catalog() advances the position only if the
 * reply holds a configuration. After an empty reply the next watch starts from
 * the same position, in case a change was missed.
 */
void registry_handle_catalog_watch(struct registry *r, struct poll *p)
{
	if (p->call.result == PLATFORM_NOT_FOUND ||
	    (p->call.result == PLATFORM_OK && p->call.era != r->watch_era)) {
		/*
		 * The platform no longer has the history since that revision,
		 * or has another one: the whole catalogue is read again.
		 */
		p->due_at = 0;
		if (r->read.due_at == 0)
			r->read.due_at = proxy_now();
		return;
	}
	if (p->call.result == PLATFORM_OK &&
	    apply_catalog(r, p->reply, p->call.era, SOURCE_WATCH))
		p->due_at = proxy_now();
}

/* Returns a reply that holds only the newest catalogue; NULL: none yet. */
const char *registry_catalog_reply(const struct registry *r)
{
	return r->catalog_reply;
}

/* Applies a peer's copy of the catalogue. */
void registry_apply_catalog_copy(struct registry *r, const char *reply)
{
	(void)apply_catalog(r, reply, 0, SOURCE_COPY);
}

/*
 * Remembers that a peer has this version of the configuration, and obtains it
 * if it is newer: from the platform, unless that does not answer this VM or a
 * read has not brought it.
 */
void registry_on_peer_version(struct registry *r, const char *peer,
			      uint64_t version, usec_t now)
{
	if (version <= registry_known_version(r))
		return;
	if (version >= r->peer_version) {
		r->peer_version = version;
		snprintf(r->peer, sizeof(r->peer), "%s", peer);
	}
	r->told_at = now;
	if (r->lacked_since == 0)
		r->lacked_since = now;
	if (r->lacked_version >= version || r->read.failures > 0 ||
	    r->failing_since)
		request_copy(r, now);
	else if (r->read.due_at == 0)
		registry_refresh_outdated(r, &r->old_catalog,
					  REGISTRY_COPY_CATALOG, &r->read, now);
}

/*
 * If a peer has other contents under the same version, only the platform tells
 * which are in force: every VM reads them, spread over a second.
 */
void registry_on_peer_contents(struct registry *r,
			       const struct registry_digest *n, usec_t now)
{
	const struct catalog *c = r->proxy->catalog;

	if (!c || c->version != n->catalog || c->contents == n->contents ||
	    r->read.busy || r->read.due_at ||
	    now - r->read.requested_at < USEC_PER_SEC)
		return;
	r->read.due_at = now + (usec_t)registry_random_delay(r, USEC_PER_SEC);
}

/* Requests a copy of a version that a read has not brought in time. */
void registry_catalog_tick(struct registry *r, usec_t now)
{
	if (r->lacked_since && now - r->told_at >= LACKED_MAX_US)
		r->lacked_since = 0;
	if (r->lacked_since && now - r->lacked_since >= READ_WAIT_US)
		request_copy(r, now);
}

/*
 * Brings a newer configuration into force; an older one is ignored, also one
 * that the platform was restored to: the operator writes the newer one again.
 * Of two with the same version, the one that the platform holds is in force.
 * Returns false if the reply is missing or malformed.
 */
static bool apply_catalog(struct registry *r, const char *reply, uint64_t era,
			  enum catalog_source source)
{
	struct proxy *x = r->proxy;
	struct catalog *c;
	struct error e;
	uint64_t revision = 0;
	bool is_rewritten;

	if (!reply)
		return false;
	error_clear(&e);
	c = registry_codec()->catalog(reply, &revision, &e);
	if (e.code != ERR_NONE) {
		log_error(EV_CONFIG_REFUSED, &e);
		return false;
	}
	if (source == SOURCE_READ || (source == SOURCE_WATCH && c))
		advance(r, era, revision);
	if (!c)
		return true;
	is_rewritten = source == SOURCE_READ && x->catalog &&
		       c->version == x->catalog->version &&
		       c->contents != x->catalog->contents;
	if (is_rewritten)
		log_event(EV_CONFIG_REFUSED,
			  "version=%llu revision=%llu reason=\"the platform "
			  "holds other contents under this version, which "
			  "replace those in force\"",
			  (unsigned long long)c->version,
			  (unsigned long long)c->revision);
	if (!r->catalog_reply || c->version > registry_known_version(r) ||
	    is_rewritten) {
		free(r->catalog_reply);
		r->catalog_reply = registry_codec()->catalog_copy(reply);
	}
	if (x->catalog && c->version <= x->catalog->version && !is_rewritten) {
		if (source == SOURCE_READ)
			note_older(r, c);
		catalog_destroy(c);
		return true;
	}
	log_event(EV_CONFIG_APPLIED,
		  "version=%llu revision=%llu routes=%u teams=%u keys=%u "
		  "from=%s confirmed_us=%lld",
		  (unsigned long long)c->version,
		  (unsigned long long)c->revision, c->n_routes, c->n_teams,
		  c->n_keys, source_names[source],
		  (long long)registry_confirm_age(r, proxy_now()));
	catalog_destroy(x->catalog);
	x->catalog = c;
	r->old_catalog.since = 0;
	if (c->version >= r->peer_version)
		r->lacked_since = 0;
	r->refused_version = 0;
	if (r->was_reader) {
		heartbeat_tell_domain(x->heartbeat);
		heartbeat_tell_readers(x->heartbeat);
	}
	/* Lists again, as databases of unknown services were skipped. */
	if (db_group_apply_catalog(x, proxy_now())) {
		r->listed_at = 0;
		r->full_listed_at = 0;
		registry_refresh_databases(r, proxy_now());
	}
	return true;
}

/* Advances the position that the next watch starts from. */
static void advance(struct registry *r, uint64_t era, uint64_t revision)
{
	struct store_position at = { .era = era, .revision = revision };

	if (store_position_compare(&at, &r->position) > 0)
		r->position = at;
}

/* Logs once that the platform holds an older version than the one in force. */
static void note_older(struct registry *r, const struct catalog *c)
{
	if (c->version == registry_known_version(r) ||
	    c->version == r->refused_version)
		return;
	r->refused_version = c->version;
	log_event(
		EV_CONFIG_REFUSED,
		"version=%llu known=%llu era=%llu reason=\"the platform holds "
		"an older version\"",
		(unsigned long long)c->version,
		(unsigned long long)registry_known_version(r),
		(unsigned long long)r->proxy->store_era.era);
}

/*
 * Requests a copy if a read of the platform has not brought the version that a
 * peer has: the platform may have been restored to an older one.
 */
static void note_lacked(struct registry *r, usec_t now)
{
	if (r->peer_version <= registry_known_version(r))
		return;
	if (r->lacked_version < r->peer_version)
		log_event(EV_CONFIG_REFUSED,
			  "version=%llu known=%llu peer=%s era=%llu "
			  "reason=\"a peer has a newer version than the "
			  "platform\"",
			  (unsigned long long)r->peer_version,
			  (unsigned long long)registry_known_version(r),
			  r->peer, (unsigned long long)r->proxy->store_era.era);
	r->lacked_version = r->peer_version;
	request_copy(r, now);
}

/*
 * Requests a copy of the catalogue: from the peer that told the newest version,
 * or, in a large fleet, first from a VM that reads for this failure domain, to
 * save traffic between domains. If none comes in time, the platform is read
 * again.
 */
static void request_copy(struct registry *r, usec_t now)
{
	bool asks_peer;

	if (r->old_catalog.since == 0)
		r->old_catalog.since = now;
	if (now - r->old_catalog.asked_at < COPY_RETRY_US)
		return;
	r->old_catalog.asked_at = now;
	asks_peer = r->was_reader ||
		    (r->lacked_since && now - r->lacked_since >= READ_WAIT_US);
	registry_copy_request(r->proxy, REGISTRY_COPY_CATALOG,
			      asks_peer ? r->peer : NULL);
}

/* Returns the version of the configuration in force; 0: none. */
uint64_t registry_known_version(const struct registry *r)
{
	return r->proxy->catalog ? r->proxy->catalog->version : 0;
}
