#include "decide/confirmation.h"

static bool confirms(const struct confirmation_data *read,
		     const struct confirmation_data *held);
static bool was_taken(const struct confirmation *c, struct confirmation_id id);
static void take(struct confirmation *c, const struct confirmation_read *read);
static struct confirmation_told tell(const struct confirmation_read *read,
				     usec_t now);

/* A read that took long may have begun before one that another VM told. */
bool confirmation_add_own(struct confirmation *c,
			  const struct confirmation_read *read)
{
	c->own = *read;
	if (c->newest.id.number && read->began_at <= c->newest.began_at)
		return false;
	take(c, read);
	return true;
}

/*
 * The datagram's own delay is added in a large fleet, where reads are told on.
 * In a small one each VM tells its own reads only, several times a second, and
 * the error of an age does not add up.
 */
bool confirmation_add_told(struct confirmation *c,
			   const struct confirmation_told *told,
			   const struct confirmation_data *held, bool is_large,
			   usec_t now)
{
	struct confirmation_read read = {
		.id = told->id,
		.data = told->data,
		.hops = told->hops + 1,
	};

	if (told->id.number == 0 || told->age_ms > CONFIRMATION_AGE_MAX_MS ||
	    told->hops >= CONFIRMATION_HOPS_MAX ||
	    !confirms(&told->data, held) || was_taken(c, told->id))
		return false;
	read.began_at = now - (usec_t)told->age_ms * USEC_PER_MSEC;
	if (is_large || told->hops > 0)
		read.began_at -= CONFIRMATION_TRANSIT_US;
	if (c->newest.id.number && read.began_at <= c->newest.began_at)
		return false;
	take(c, &read);
	return true;
}

/*
 * Two VMs of a domain tell it, so that one lost datagram or one VM not yet
 * known to be dead is made up for. VMs that disagree on who these are bound
 * their datagrams each by itself.
 */
enum confirmation_audience confirmation_send(struct confirmation *c,
					     const struct confirmation_view *v,
					     usec_t now)
{
	const struct confirmation_read *n = &c->newest;
	bool is_own = n->hops == 0;

	if (!v->is_large || n->id.number == 0 ||
	    n->hops >= CONFIRMATION_HOPS_MAX ||
	    now - n->began_at > CONFIRMATION_USE_MAX_US ||
	    (c->sent_at && now - c->sent_at < CONFIRMATION_SEND_INTERVAL_US))
		return CONFIRMATION_TO_NOBODY;
	if (!is_own && (!v->is_relay || v->is_read_in_domain))
		return CONFIRMATION_TO_NOBODY;
	c->sent_at = now;
	return is_own ? CONFIRMATION_TO_DOMAIN_AND_READERS
		      : CONFIRMATION_TO_DOMAIN;
}

/* The data are those that were read. */
struct confirmation_told confirmation_tell(const struct confirmation *c,
					   usec_t now)
{
	return tell(&c->newest, now);
}

/*
 * A heartbeat tells what its VM holds anyway. What confirms that confirms all
 * VMs that hold the same or a newer version, so the data that were read need
 * not be told. A read that does not confirm it is left out.
 */
struct confirmation_told
confirmation_tell_held(const struct confirmation *c,
		       const struct confirmation_data *held, bool is_large,
		       usec_t now)
{
	const struct confirmation_read *read = is_large ? &c->newest : &c->own;
	struct confirmation_told told = { 0 };

	if (read->id.number == 0 || read->hops >= CONFIRMATION_HOPS_MAX ||
	    (read->hops > 0 && !confirms(&read->data, held)))
		return told;
	told = tell(read, now);
	told.data = *held;
	return told;
}

/*
 * Returns true if all that was written before a read that brought "read" is in
 * force where "held" is.
 */
static bool confirms(const struct confirmation_data *read,
		     const struct confirmation_data *held)
{
	return held->version > 0 && (held->version > read->version ||
				     (held->version == read->version &&
				      held->contents == read->contents));
}

/* Returns true if a read is among the last ones that were taken. */
static bool was_taken(const struct confirmation *c, struct confirmation_id id)
{
	uint32_t i;

	for (i = 0; i < c->n_taken && i < CONFIRMATION_TAKEN_MAX; i++) {
		if (c->taken[i].vm == id.vm && c->taken[i].number == id.number)
			return true;
	}
	return false;
}

/* Makes a read the newest. */
static void take(struct confirmation *c, const struct confirmation_read *read)
{
	c->newest = *read;
	c->taken[c->n_taken++ % CONFIRMATION_TAKEN_MAX] = read->id;
}

/* Tells a read; its age is rounded up. */
static struct confirmation_told tell(const struct confirmation_read *read,
				     usec_t now)
{
	usec_t age = now - read->began_at + USEC_PER_MSEC - 1;

	return (struct confirmation_told){
		.id = read->id,
		.data = read->data,
		.age_ms = (uint64_t)(age / USEC_PER_MSEC),
		.hops = read->hops,
	};
}
