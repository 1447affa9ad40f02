#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "proxy/registry_internal.h"

/* Follows the configuration: reads, watches and copies of it. */

/* A VM that starts knows its peers after this time. */
#define FIRST_WATCH_US USEC_PER_SEC

static bool apply_catalog(struct registry *r, const char *reply, bool is_whole);

/* Handles the reply with the whole catalogue and starts the first watch. */
void registry_handle_catalog_list(struct registry *r, struct poll *p)
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
void registry_handle_catalog_watch(struct registry *r, struct poll *p)
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

/* Returns the platform's reply with the newest catalogue, NULL if not kept. */
const char *registry_catalog_reply(const struct registry *r)
{
	return r->catalog_reply;
}

/* Applies a peer's copy of the catalogue. */
void registry_apply_catalog_copy(struct registry *r, const char *reply)
{
	(void)apply_catalog(r, reply, false);
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
	c = registry_codec()->catalog(reply, &revision, &e);
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
