#include <stdio.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * Follows which failure domains the operator has evacuated. VMs that read for
 * their domain list the evacuations in turn and watch them; heartbeats pass on
 * the newest known set of any VM. Only deployments with the setting evacuate_ms
 * do any of this.
 *
 * A change that a watch tells is not applied: the kind is listed again, so that
 * a set is always one of the store at one position, and sets of several VMs
 * are ordered by their positions alone.
 */

/* Longest wait of a watch. Lists find what a watch misses. */
#define WATCH_MAX_MS 25000
/*
 * A list of the platform is due again after a quarter of evacuate_ms and a
 * random delay of up to a fifth, so more than half of the time is left for the
 * list, for spreading it and for the statements under way.
 */
#define LIST_AGE_PART	 4
#define LIST_SPREAD_PART 5
/*
 * VMs that hear of a change at the same moment spread their lists over this
 * part of evacuate_ms: most of them learn the set from the first one instead.
 */
#define CHANGE_PART 25
/*
 * Added to the age of a read with each VM that tells it, more than a heartbeat
 * takes: a read that is passed on becomes older, never younger.
 */
#define TRANSIT_US (50 * USEC_PER_MSEC)
/* Pages of a list; a longer one ends no evacuation. */
#define PAGES_MAX EVACUATED_DOMAINS_MAX
/* Fields of the set in a heartbeat. */
#define SET_FIELDS 5

static bool is_enabled(const struct registry *r);
static usec_t part_of_time(const struct registry *r, uint32_t part);
static struct shared_poll_policy list_policy(const struct registry *r);
static bool may_list(const struct registry *r);
static void plan_list(struct registry *r, usec_t now);
static bool needs_list(const struct registry *r, usec_t now);
static bool is_current(const struct registry *r);
static bool is_due(const struct poll *p, usec_t now);
static void request_page(struct registry *r, const char *after, usec_t now);
static void request_watch(struct registry *r, usec_t now);
static void on_list_failed(struct registry *r, struct poll *p);
static bool decode_page(struct registry *r, struct poll *p,
			struct registry_page *page);
static bool add_domain(void *ctx, const char *domain);
static void finish_list(struct registry *r, bool is_complete, usec_t now);
static void take(struct registry *r, const struct evacuated_set *set,
		 usec_t read_at, const char *from, usec_t waited, usec_t now);
static void note_age(struct registry *r, usec_t read_at);
static bool log_changes(struct registry *r, const struct evacuated_set *former,
			const char *from, usec_t now);
static void log_change(const struct registry *r, enum event_id event,
		       const char *domain, const char *from, usec_t now);
static uint64_t age_of_read_ms(const struct registry *r, usec_t now);

/* Returns true if the domain is known to be evacuated. */
bool registry_domain_is_evacuated(const struct registry *r, const char *domain)
{
	return evacuated_set_contains(&r->evacuations.known, domain);
}

/*
 * Returns true if evacuations are known, or if there are none. At the start of
 * a VM its own list counts, though it may be of a store that was just restored:
 * to wait until it is settled would keep a fleet that starts from serving for
 * seconds, and peers that run tell what such a list lacks with their first
 * heartbeat.
 */
bool registry_evacuations_known(const struct registry *r)
{
	const struct evacuations *v = &r->evacuations;

	return !is_enabled(r) || v->known.is_known || v->poll.asked_at;
}

/* Sends the requests that are due. */
void registry_evacuation_tick(struct registry *r, usec_t now)
{
	struct evacuations *v = &r->evacuations;

	if (!is_enabled(r))
		return;
	if (!may_list(r))
		return;
	plan_list(r, now);
	if (is_due(&v->list, now))
		request_page(r, "", now);
	if (r->was_reader && v->known.is_known && is_current(r) &&
	    !v->watch.busy && now >= v->watch.due_at)
		request_watch(r, now);
}

/* True if the platform has evacuations. */
static bool is_enabled(const struct registry *r)
{
	return r->proxy->kernel->settings.evacuate_ms != 0;
}

/* Returns a part of the setting evacuate_ms. */
static usec_t part_of_time(const struct registry *r, uint32_t part)
{
	return (usec_t)r->proxy->kernel->settings.evacuate_ms * USEC_PER_MSEC /
	       part;
}

/* Returns when VMs list the evacuations in turn. */
static struct shared_poll_policy list_policy(const struct registry *r)
{
	return (struct shared_poll_policy){
		.min_age = part_of_time(r, LIST_AGE_PART),
		.spread = part_of_time(r, LIST_SPREAD_PART),
	};
}

/*
 * Returns true if this VM may list the evacuations: it reads for its domain, or
 * has just started and knows none.
 */
static bool may_list(const struct registry *r)
{
	const struct evacuations *v = &r->evacuations;

	return r->was_reader || v->list.busy || !registry_evacuations_known(r);
}

/* Plans the next list if one is needed or if it is this VM's turn. */
static void plan_list(struct registry *r, usec_t now)
{
	const struct shared_poll_policy policy = list_policy(r);
	struct evacuations *v = &r->evacuations;
	usec_t turn_at = shared_poll_due_at(&v->poll, &policy);
	usec_t step = part_of_time(r, CHANGE_PART);

	if (v->list.busy || v->list.due_at)
		return;
	if (v->list.requested_at == 0) {
		v->list.due_at = now;
	} else if (needs_list(r, now)) {
		v->list.due_at =
			now + (usec_t)registry_random_delay(r, (uint64_t)step);
		if (v->list.due_at < v->list.requested_at + step)
			v->list.due_at = v->list.requested_at + step;
	} else if (r->was_reader && turn_at && now >= turn_at &&
		   now >= v->list.retry_at) {
		v->list.due_at = now;
	}
}

/*
 * Returns true if the known set lacks something that only a list tells, so that
 * it does not wait for this VM's turn.
 */
static bool needs_list(const struct registry *r, usec_t now)
{
	const struct evacuations *v = &r->evacuations;

	if (v->poll.asked_at == 0 || !is_current(r))
		return true;
	return !v->known.is_settled &&
	       store_era_is_settled(&r->proxy->store_era, now,
				    REREGISTER_MAX_US) &&
	       now - v->list.requested_at >= part_of_time(r, LIST_AGE_PART);
}

/*
 * Returns true if the known set is of the store's present era, has all changes
 * that a watch told, and can be watched from its position.
 */
static bool is_current(const struct registry *r)
{
	const struct evacuations *v = &r->evacuations;

	return !v->history_gone && v->known.at.era >= r->proxy->store_era.era &&
	       store_position_compare(&v->known.at, &v->changed_at) >= 0;
}

/* True if the request is planned for now or earlier and none is in progress. */
static bool is_due(const struct poll *p, usec_t now)
{
	return !p->busy && p->due_at && now >= p->due_at;
}

/* Requests one page of the list; the first one begins it anew. */
static void request_page(struct registry *r, const char *after, usec_t now)
{
	struct evacuations *v = &r->evacuations;

	if (after[0] == '\0') {
		memset(&v->reading, 0, sizeof(v->reading));
		v->reading_since = now;
		v->n_pages = 0;
	}
	v->n_pages++;
	snprintf(v->list.call.from, sizeof(v->list.call.from), "%s", after);
	registry_poll_send(&v->list, PLATFORM_LIST, now);
}

/* Watches for changes since the known set. */
static void request_watch(struct registry *r, usec_t now)
{
	struct evacuations *v = &r->evacuations;

	v->watch.call.after = v->known.at.revision;
	v->watch_era = v->known.at.era;
	v->watch.call.wait_ms =
		(uint32_t)registry_random_delay(r, WATCH_MAX_MS);
	registry_poll_send(&v->watch, PLATFORM_WATCH, now);
}

/*
 * Handles one page of the list, and the whole list with the last one. If the
 * store was restored between two pages, the list begins again. The position is
 * that of the first page: later changes may be missing in it.
 */
void registry_handle_evacuation_list(struct registry *r, struct poll *p)
{
	struct evacuations *v = &r->evacuations;
	struct registry_page page = { 0 };
	usec_t now = proxy_now();

	if (p->call.result != PLATFORM_OK || !p->reply ||
	    !decode_page(r, p, &page)) {
		on_list_failed(r, p);
		return;
	}
	p->due_at = 0;
	if (v->n_pages == 1) {
		v->reading.at.era = p->call.era;
		v->reading.at.revision = page.revision;
	} else if (p->call.era != v->reading.at.era) {
		p->due_at = now;
		return;
	}
	if (page.more && page.last[0] && v->n_pages < PAGES_MAX)
		request_page(r, page.last, now);
	else
		finish_list(r, !page.more, now);
}

/*
 * Leaves a list that failed to other VMs for a while, unless this VM needs one:
 * then it is requested again after the usual delay.
 */
static void on_list_failed(struct registry *r, struct poll *p)
{
	if (needs_list(r, proxy_now()))
		return;
	p->retry_at = p->due_at;
	p->due_at = 0;
}

/* Adds the entries of a page to the list in progress; false if it is none. */
static bool decode_page(struct registry *r, struct poll *p,
			struct registry_page *page)
{
	struct error e;

	error_clear(&e);
	if (registry_codec()->evacuations(p->reply, add_domain,
					  &r->evacuations.reading, page, &e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		return false;
	}
	registry_note_skipped(r, REGISTRY_EVACUATIONS, page);
	return true;
}

/* Adds a domain to a set; one that it can't hold counts as skipped. */
static bool add_domain(void *ctx, const char *domain)
{
	return evacuated_set_add(ctx, domain);
}

/*
 * Takes over a list. One that is not complete, or that was requested before all
 * entries were back after a restoration of the store, ends no evacuation.
 */
static void finish_list(struct registry *r, bool is_complete, usec_t now)
{
	struct evacuations *v = &r->evacuations;

	v->reading.is_settled =
		is_complete &&
		store_era_is_settled(&r->proxy->store_era, v->reading_since,
				     REREGISTER_MAX_US);
	v->reading.is_known = v->reading.is_settled;
	v->history_gone = false;
	take(r, &v->reading, v->reading_since, "platform", 0, now);
	heartbeat_tell_readers(r->proxy->heartbeat);
}

/*
 * Handles the reply to a watch. After a change the next watch waits for a list
 * that holds it. A reply without one confirms nothing, as the watch may have
 * missed changes.
 */
void registry_handle_evacuation_watch(struct registry *r, struct poll *p)
{
	struct evacuations *v = &r->evacuations;
	struct store_position at = { .era = p->call.era };
	usec_t now = proxy_now();
	struct error e;
	int n;

	if (p->call.result == PLATFORM_NOT_FOUND ||
	    (p->call.result == PLATFORM_OK && p->call.era != v->watch_era)) {
		v->history_gone = true;
		p->due_at = now + part_of_time(r, LIST_AGE_PART);
		return;
	}
	if (p->call.result != PLATFORM_OK || !p->reply)
		return;
	error_clear(&e);
	n = registry_codec()->changes(p->reply, &at.revision, &e);
	if (n < 0) {
		log_error(EV_CONFIG_REFUSED, &e);
		return;
	}
	p->due_at = now;
	if (n > 0 && store_position_compare(&at, &v->changed_at) > 0)
		v->changed_at = at;
}

/*
 * Encodes [era, revision, settled, age of the read in milliseconds, domains] of
 * the newest known set, whichever VM read it.
 */
void registry_pack_evacuations(const struct registry *r, msgpack_packer *p,
			       usec_t now)
{
	const struct evacuated_set *s = &r->evacuations.known;
	uint32_t i;

	if (!is_enabled(r) || !registry_evacuations_known(r)) {
		msgpack_pack_nil(p);
		return;
	}
	msgpack_pack_array(p, SET_FIELDS);
	msgpack_pack_uint64(p, s->at.era);
	msgpack_pack_uint64(p, s->at.revision);
	msgpack_pack_uint32(p, s->is_settled);
	msgpack_pack_uint64(p, age_of_read_ms(r, now));
	msgpack_pack_array(p, s->n);
	for (i = 0; i < s->n; i++)
		wire_put_str(p, s->domain[i]);
}

/* Returns the age of the newest read, at most one that tells nothing. */
static uint64_t age_of_read_ms(const struct registry *r, usec_t now)
{
	usec_t read_at = r->evacuations.poll.asked_at;
	uint64_t age_ms;

	if (read_at == 0)
		return CONFIRMATION_AGE_MAX_MS + 1;
	age_ms = (uint64_t)(now - read_at) / USEC_PER_MSEC;
	return age_ms > CONFIRMATION_AGE_MAX_MS ? CONFIRMATION_AGE_MAX_MS + 1
						: age_ms;
}

/* Takes over a peer's set; an older one changes nothing. */
bool registry_on_peer_evacuations(struct registry *r, const char *peer,
				  struct wire_reader *in, usec_t waited,
				  usec_t now)
{
	struct evacuated_set set = { .is_known = true };
	char domain[NAME_MAX_BYTES];
	struct wire_reader domains;
	struct wire_reader f;
	uint64_t age_ms;
	usec_t read_at = 0;

	if (wire_skip_nil(in))
		return !in->bad;
	f = wire_nested_array(in, SET_FIELDS);
	set.at.era = wire_u64(&f);
	set.at.revision = wire_u64(&f);
	set.is_settled = wire_u64(&f) != 0;
	age_ms = wire_u64(&f);
	domains = wire_nested_array(&f, EVACUATED_DOMAINS_MAX);
	while (domains.left > 0 && !domains.bad) {
		wire_str(&domains, domain, sizeof(domain));
		domains.bad |= !evacuated_set_add(&set, domain);
	}
	if (in->bad || f.bad || domains.bad)
		return false;
	if (age_ms <= CONFIRMATION_AGE_MAX_MS)
		read_at = now - (usec_t)age_ms * USEC_PER_MSEC - waited -
			  TRANSIT_US;
	if (is_enabled(r))
		take(r, &set, read_at, peer, waited, now);
	return true;
}

/*
 * Merges a set that was read at "read_at" (0: too long ago to tell) into the
 * known one. "waited" is how long it may have waited here. A change applies to
 * the databases at once, and is told to the domain, by VMs that read also to
 * all others that read. A list that was planned is left out if the set makes it
 * unnecessary.
 */
static void take(struct registry *r, const struct evacuated_set *set,
		 usec_t read_at, const char *from, usec_t waited, usec_t now)
{
	struct evacuations *v = &r->evacuations;
	struct proxy *x = r->proxy;
	struct evacuated_set former = v->known;

	evacuated_set_merge(&v->known, set);
	if (read_at && store_position_compare(&set->at, &former.at) >= 0)
		note_age(r, read_at);
	if (!v->list.busy && v->list.due_at && !needs_list(r, now))
		v->list.due_at = 0;
	if (!log_changes(r, &former, from, now))
		return;
	db_group_apply_evacuations(x, waited, now);
	heartbeat_tell_domain(x->heartbeat);
	if (r->was_reader)
		heartbeat_tell_readers(x->heartbeat);
}

/* Advances the time of the newest read, by this VM or a peer. */
static void note_age(struct registry *r, usec_t read_at)
{
	const struct shared_poll_policy policy = list_policy(r);
	struct evacuations *v = &r->evacuations;
	struct proxy *x = r->proxy;
	usec_t former = v->poll.asked_at;

	if (shared_poll_answered(&v->poll, &policy, read_at,
				 heartbeat_n_readers(x->heartbeat),
				 proxy_random_unit(x)) &&
	    former)
		latency_add(LATENCY_EVACUATION_AGE, read_at - former);
}

/* Logs and counts what has changed; returns false if nothing has. */
static bool log_changes(struct registry *r, const struct evacuated_set *former,
			const char *from, usec_t now)
{
	const struct evacuated_set *s = &r->evacuations.known;
	bool has_changed = false;
	uint32_t i;

	for (i = 0; i < s->n; i++) {
		if (evacuated_set_contains(former, s->domain[i]))
			continue;
		has_changed = true;
		counter_add(CTR_EVACUATIONS_STARTED, 1);
		log_change(r, EV_EVACUATION_STARTED, s->domain[i], from, now);
	}
	for (i = 0; i < former->n; i++) {
		if (evacuated_set_contains(s, former->domain[i]))
			continue;
		has_changed = true;
		counter_add(CTR_EVACUATIONS_ENDED, 1);
		log_change(r, EV_EVACUATION_ENDED, former->domain[i], from,
			   now);
	}
	return has_changed;
}

/* Logs the start or end of an evacuation. */
static void log_change(const struct registry *r, enum event_id event,
		       const char *domain, const char *from, usec_t now)
{
	const struct evacuations *v = &r->evacuations;

	log_event(event, "domain=%s from=%s era=%llu revision=%llu age_us=%lld",
		  domain, from, (unsigned long long)v->known.at.era,
		  (unsigned long long)v->known.at.revision,
		  (long long)(v->poll.asked_at ? now - v->poll.asked_at : -1));
}
