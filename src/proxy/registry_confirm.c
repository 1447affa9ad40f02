#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * How long ago the platform confirmed the configuration in force as the newest:
 * a read of it began then and brought nothing newer. A watch confirms nothing:
 * it may hear nothing while the configuration changes. Peers tell the age of
 * their own reads in heartbeats; what they heard from others they don't pass
 * on.
 */

/* The time within which a configuration has to be in force. */
#define CATALOG_IN_FORCE_US (3 * USEC_PER_SEC)
/* Ages of one read, as told in heartbeats, differ by less than this. */
#define AGE_ERROR_MAX_US (100 * USEC_PER_MSEC)

static void note(struct registry *r, usec_t at, const char *from);

/* Takes note of a reply of the platform to a read that began at "asked_at". */
void registry_confirm(struct registry *r, usec_t asked_at)
{
	r->read_at = asked_at;
	note(r, asked_at, "platform");
}

/*
 * Takes note of a peer's read. It counts only if this VM has what the peer has:
 * all that was written before the read is in force here then.
 */
void registry_on_peer_confirm(struct registry *r, const char *peer,
			      const struct registry_digest *n, usec_t now)
{
	const struct catalog *c = r->proxy->catalog;

	if (!n->has_read || !c || c->version < n->catalog ||
	    n->read_age_ms > REGISTRY_AGE_MAX_MS)
		return;
	note(r, now - (usec_t)n->read_age_ms * USEC_PER_MSEC, peer);
}

/* Logs when the configuration has been unconfirmed for too long. */
void registry_confirm_tick(struct registry *r, usec_t now)
{
	if (r->confirmed_at == 0 || r->is_unconfirmed ||
	    now - r->confirmed_at <= CATALOG_IN_FORCE_US)
		return;
	r->is_unconfirmed = true;
	log_event(EV_CONFIG_UNCONFIRMED, "version=%llu age_us=%lld own_us=%lld",
		  (unsigned long long)registry_known_version(r),
		  (long long)(now - r->confirmed_at),
		  (long long)(r->read_at ? now - r->read_at : -1));
}

/* Advances the time of the newest confirmation, by this VM or a peer. */
static void note(struct registry *r, usec_t at, const char *from)
{
	usec_t gap = at - r->confirmed_at;

	if (gap <= AGE_ERROR_MAX_US)
		return;
	if (r->confirmed_at)
		latency_add(LATENCY_CONFIRM, gap);
	r->confirmed_at = at;
	if (!r->is_unconfirmed || proxy_now() - at > CATALOG_IN_FORCE_US)
		return;
	r->is_unconfirmed = false;
	log_event(EV_CONFIG_CONFIRMED, "version=%llu from=%s after_us=%lld",
		  (unsigned long long)registry_known_version(r), from,
		  (long long)gap);
}
