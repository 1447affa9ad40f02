#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * How long ago the platform confirmed the configuration in force as the newest:
 * a read of it began then and brought nothing newer. A watch confirms nothing:
 * it may hear nothing while the configuration changes. Peers tell the age of
 * their own reads in heartbeats; what they heard from others they don't pass
 * on, as the error of an age grows with each VM that tells it.
 */

/* The time within which a configuration has to be in force. */
#define CATALOG_IN_FORCE_US (3 * USEC_PER_SEC)

static void note(struct registry *r, usec_t at, const char *from);

/*
 * Takes note of a reply of the platform to a read that began at "asked_at", and
 * tells the VMs that read.
 */
void registry_confirm(struct registry *r, usec_t asked_at)
{
	r->read_at = asked_at;
	note(r, asked_at, "platform");
	heartbeat_tell_readers(r->proxy->heartbeat);
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
	    (c->version == n->catalog && c->contents != n->contents) ||
	    n->read_age_ms > REGISTRY_AGE_MAX_MS)
		return;
	note(r, now - (usec_t)n->read_age_ms * USEC_PER_MSEC, peer);
}

/*
 * Reads the configuration if it is this VM's turn, and logs when it has been
 * unconfirmed for too long.
 */
void registry_confirm_tick(struct registry *r, usec_t now)
{
	const struct shared_poll *s = &r->catalog_poll;
	usec_t due_at = shared_poll_due_at(s, &r->proxy->policy.catalog_poll);

	if (due_at == 0)
		return;
	if (r->was_reader && r->read.due_at == 0 && now >= due_at &&
	    now >= r->read.retry_at)
		r->read.due_at = now;
	if (r->is_unconfirmed || now - s->asked_at <= CATALOG_IN_FORCE_US)
		return;
	r->is_unconfirmed = true;
	log_event(EV_CONFIG_UNCONFIRMED,
		  "version=%llu age_us=%lld own_us=%lld failing_us=%lld "
		  "reader=%d",
		  (unsigned long long)registry_known_version(r),
		  (long long)(now - s->asked_at),
		  (long long)(r->read_at ? now - r->read_at : -1),
		  (long long)(r->failing_since ? now - r->failing_since : -1),
		  r->was_reader);
}

/* Returns the age of the newest confirmation; -1: there was none. */
usec_t registry_confirm_age(const struct registry *r, usec_t now)
{
	return r->catalog_poll.asked_at ? now - r->catalog_poll.asked_at : -1;
}

/* Returns whether a read by any VM is recent enough; see registry.h. */
bool registry_is_confirmed(const struct registry *r, usec_t now)
{
	usec_t age = registry_confirm_age(r, now);

	return age >= 0 && age <= CATALOG_IN_FORCE_US;
}

/* Advances the time of the newest confirmation, by this VM or a peer. */
static void note(struct registry *r, usec_t at, const char *from)
{
	struct proxy *x = r->proxy;
	usec_t former = r->catalog_poll.asked_at;

	if (!shared_poll_answered(&r->catalog_poll, &x->policy.catalog_poll, at,
				  heartbeat_n_readers(x->heartbeat),
				  proxy_random_unit(x)))
		return;
	if (former)
		latency_add(LATENCY_CONFIRM, at - former);
	if (!r->is_unconfirmed || proxy_now() - at > CATALOG_IN_FORCE_US)
		return;
	r->is_unconfirmed = false;
	log_event(EV_CONFIG_CONFIRMED, "version=%llu from=%s after_us=%lld",
		  (unsigned long long)registry_known_version(r), from,
		  (long long)(at - former));
}
