#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * How long ago the platform confirmed the configuration in force as the newest:
 * a read of it began then and brought nothing newer. A watch confirms nothing:
 * it may hear nothing while the configuration changes. VMs tell each other of
 * reads as decide/confirmation decides.
 */

/* The time within which a configuration has to be in force. */
#define CATALOG_IN_FORCE_US (3 * USEC_PER_SEC)

static struct confirmation_data held(const struct registry *r);
static bool is_large(const struct registry *r);
static void send_on(struct registry *r, usec_t now);
static struct shared_poll_policy poll_policy(const struct registry *r);
static void note(struct registry *r, usec_t at, const char *from);

/*
 * Takes note of a reply of the platform to a read that began at "asked_at", and
 * tells others: in a small fleet all VMs by a heartbeat.
 */
void registry_confirm(struct registry *r, usec_t asked_at)
{
	const struct confirmation_read read = {
		.id = {
			.vm = heartbeat_own_hash(r->proxy->heartbeat),
			.number = (uint32_t)proxy_random(r->proxy) | 1,
		},
		.data = held(r),
		.began_at = asked_at,
	};

	if (confirmation_add_own(&r->confirmation, &read)) {
		note(r, asked_at, "platform");
		send_on(r, proxy_now());
	}
	if (!is_large(r))
		heartbeat_tell_readers(r->proxy->heartbeat);
}

/*
 * Takes note of a read that another VM told, its own or a third one's, and
 * sends it on if others rely on this VM for it.
 */
void registry_on_peer_read(struct registry *r,
			   const struct confirmation_told *told, usec_t now)
{
	const struct confirmation_data own = held(r);
	const char *from;

	if (!confirmation_add_told(&r->confirmation, told, &own, is_large(r),
				   now))
		return;
	from = heartbeat_name_of(r->proxy->heartbeat, told->id.vm);
	note(r, r->confirmation.newest.began_at, from ? from : "unknown");
	send_on(r, now);
}

/* Returns the read that heartbeats tell: in a small fleet this VM's own. */
struct confirmation_told registry_told_read(const struct registry *r,
					    usec_t now)
{
	const struct confirmation_data own = held(r);

	return confirmation_tell_held(&r->confirmation, &own, is_large(r), now);
}

/* Sends the newest read on by datagrams, if it is up to this VM. */
static void send_on(struct registry *r, usec_t now)
{
	struct heartbeat *b = r->proxy->heartbeat;
	const struct confirmation_read *newest = &r->confirmation.newest;
	const struct confirmation_view view = {
		.is_large = is_large(r),
		.is_relay = heartbeat_is_first_reader(b),
		.is_read_in_domain = heartbeat_is_in_domain(b, newest->id.vm),
	};
	enum confirmation_audience to =
		confirmation_send(&r->confirmation, &view, now);
	struct confirmation_told told =
		confirmation_tell(&r->confirmation, now);

	heartbeat_send_read(b, &told, to);
}

/* Returns the configuration in force here; its version is 0 if there is none.
 */
static struct confirmation_data held(const struct registry *r)
{
	const struct catalog *c = r->proxy->catalog;

	return (struct confirmation_data){
		.version = c ? c->version : 0,
		.contents = c ? c->contents : 0,
	};
}

/* True if the fleet is so large that news spreads by gossip. */
static bool is_large(const struct registry *r)
{
	return !heartbeat_is_full_mesh(r->proxy->heartbeat);
}

/*
 * Reads the configuration if it is this VM's turn, and logs when it has been
 * unconfirmed for too long.
 */
void registry_confirm_tick(struct registry *r, usec_t now)
{
	const struct shared_poll *s = &r->catalog_poll;
	const struct confirmation_read *own = &r->confirmation.own;
	const struct shared_poll_policy policy = poll_policy(r);
	usec_t due_at = shared_poll_due_at(s, &policy);

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
		  (long long)(own->id.number ? now - own->began_at : -1),
		  (long long)(r->failing_since ? now - r->failing_since : -1),
		  r->was_reader);
}

/*
 * Returns when the configuration is read again. In a large fleet the allowance
 * that a told age contains is added, or the platform would be read more often.
 */
static struct shared_poll_policy poll_policy(const struct registry *r)
{
	struct shared_poll_policy policy = r->proxy->policy.catalog_poll;

	if (is_large(r))
		policy.min_age += CONFIRMATION_TRANSIT_US;
	return policy;
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
