#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide/restored_list.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/* Follows the list of databases: lists of the platform and copies of peers. */

/* A VM lists the databases itself at least this often. */
#define LIST_INTERVAL_MAX_US (120 * USEC_PER_SEC)
/*
 * A list that is under way for so long, several times what one takes at the
 * users' sites, is also copied from a peer that has a newer one.
 */
#define LIST_LATE_US (50 * USEC_PER_MSEC)
/* A peer's list that is older than this tells nothing. */
#define LIST_AGE_MAX_MS (2 * LIST_INTERVAL_MAX_US / USEC_PER_MSEC)

static const struct shared_poll_policy *list_policy(const struct registry *r);
static void note_listed(struct registry *r, usec_t listed_at);
static void on_list_failed(struct registry *r, struct poll *p, usec_t now);
static void copy_if_late(struct registry *r, usec_t now);
static usec_t list_interval(const struct registry *r, usec_t now);
static void apply_list(struct registry *r, usec_t listed_at, usec_t now);
static uint64_t hash_list(const struct registry *r);
static int compare_ids(const void *a, const void *b);
static void add_database(void *ctx, const struct registry_db *db);

/* Lists the databases at the fast interval for one second. */
void registry_poll_fast(struct registry *r, usec_t now)
{
	usec_t fast_due = r->databases.requested_at +
			  r->proxy->policy.registry_fast_interval;

	r->fast_until = now + USEC_PER_SEC;
	if (r->databases.due_at > fast_due)
		r->databases.due_at = fast_due;
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
	return r->complete_from && now >= r->complete_from &&
	       !restored_list_is_partial(now, registry_restored_at(r->proxy),
					 REREGISTER_MAX_US);
}

/*
 * Returns when the newest list was requested that tells what has registered and
 * in which role; 0: none yet. A list soon after a restoration of the store does
 * not: an entry as it was before hides a promotion since.
 */
usec_t registry_listed_at(const struct registry *r)
{
	return r->full_listed_at;
}

/* Returns when the newest complete list was requested; 0: none yet. */
usec_t registry_list_requested_at(const struct registry *r)
{
	return r->listed_at;
}

/*
 * Returns true if the databases of this VM's list may prove a primary. If not,
 * the platform is asked for the list.
 */
bool registry_list_is_current(struct registry *r, usec_t now)
{
	struct db_list_view v = {
		.confirmed_at = r->list_confirmed_at,
		.outdated_since = r->newer_list_since,
		.hears_most_vms =
			heartbeat_sees_majority(r->proxy->heartbeat, now),
	};

	if (db_list_is_current(&v, now))
		return true;
	registry_poll_fast(r, now);
	return false;
}

/*
 * Takes note of whether a peer's list is the same, and obtains it if it is
 * newer and another one: from the peer if the platform does not answer this VM.
 */
void registry_on_peer_list(struct registry *r, const char *peer,
			   const struct registry_digest *n, usec_t now)
{
	usec_t listed_at = now - REGISTRY_COPY_DELAY_MAX_US;

	if (n->databases_age_ms > LIST_AGE_MAX_MS)
		return;
	listed_at -= (usec_t)n->databases_age_ms * USEC_PER_MSEC;
	if (n->databases == r->list_hash) {
		note_listed(r, listed_at + REGISTRY_COPY_DELAY_MAX_US);
		if (listed_at > r->list_confirmed_at)
			r->list_confirmed_at = listed_at;
		return;
	}
	if (listed_at <= r->listed_at)
		return;
	if (r->newer_list_since == 0)
		r->newer_list_since = now;
	if (listed_at > r->newer_listed_at) {
		r->newer_listed_at = listed_at;
		r->newer_list_hash = n->databases;
		snprintf(r->newer_list_peer, sizeof(r->newer_list_peer), "%s",
			 peer);
	}
	copy_if_late(r, now);
	registry_refresh_databases(r, now);
}

/*
 * Requests a copy from the peer that has a newer list, if this VM's own list
 * fails or is late.
 */
static void copy_if_late(struct registry *r, usec_t now)
{
	const struct poll *p = &r->databases;
	usec_t late = 2 * r->answer_took;

	if (late < LIST_LATE_US)
		late = LIST_LATE_US;
	if (r->newer_list_since == 0 ||
	    now - r->old_databases.asked_at < COPY_RETRY_US ||
	    (p->failures == 0 && (!p->busy || now - p->requested_at < late)))
		return;
	r->old_databases.asked_at = now;
	registry_copy_request(r->proxy, REGISTRY_COPY_DATABASES,
			      r->newer_list_peer);
}

/* Obtains the newest list of databases, from a peer if possible. */
void registry_refresh_databases(struct registry *r, usec_t now)
{
	if (r->databases.due_at > now)
		registry_refresh_outdated(r, &r->old_databases,
					  REGISTRY_COPY_DATABASES,
					  &r->databases, now);
}

/* Returns the newest complete list of databases; 0 while one is being read. */
const struct registry_db *registry_list(const struct registry *r, uint32_t *n)
{
	*n = r->databases.busy ? 0 : r->n_list;
	return r->list;
}

/*
 * Applies a peer's copy of the list of databases, unless this VM has a newer
 * one or is reading the second page of one. A list from before a restoration of
 * the store is outdated whatever its age.
 */
void registry_apply_list_copy(struct registry *r, const struct registry_db *db,
			      uint32_t n, usec_t listed_at, bool is_settled)
{
	usec_t now = proxy_now();

	if ((r->databases.busy && r->databases.call.from[0] != '\0') ||
	    listed_at <= r->listed_at ||
	    listed_at < registry_restored_at(r->proxy) || n > DATABASES_MAX ||
	    n == 0)
		return;
	memcpy(r->list, db, n * sizeof(*db));
	r->n_list = n;
	if (!is_settled)
		r->complete_from = now + REREGISTER_MAX_US;
	apply_list(r, listed_at, now);
}

/* Requests one page of the list of databases. */
void registry_request_databases(struct registry *r, const char *after_id,
				usec_t now)
{
	snprintf(r->databases.call.from, sizeof(r->databases.call.from), "%s",
		 after_id);
	registry_poll_send(&r->databases, PLATFORM_LIST, now);
}

/*
 * Handles one page, and the complete list with the last one. If the store was
 * restored between two pages, the list begins again with the first.
 */
void registry_handle_databases(struct registry *r, struct poll *p)
{
	usec_t now = proxy_now();
	struct error e;

	if (p->call.result != PLATFORM_OK || !p->reply) {
		on_list_failed(r, p, now);
		return;
	}
	if (p->call.from[0] == '\0') {
		r->list_era = p->call.era;
		r->n_list = 0;
	}
	if (p->call.era != r->list_era) {
		r->n_list = 0;
		return;
	}
	error_clear(&e);
	memset(&r->page, 0, sizeof(r->page));
	if (registry_codec()->databases(p->reply, add_database, r, &r->page,
					&e)) {
		log_error(EV_CONFIG_REFUSED, &e);
		r->n_list = 0;
		return;
	}
	registry_note_skipped(r, REGISTRY_DATABASES, &r->page);
	if (r->page.more && !r->page.last[0]) {
		log_event(EV_CONFIG_REFUSED,
			  "list=databases reason=\"a page without names\"");
		r->n_list = 0;
		return;
	}
	if (r->page.more && r->n_list < DATABASES_MAX) {
		registry_request_databases(r, r->page.last, now);
		return;
	}
	apply_list(r, p->requested_at, now);
	heartbeat_tell_readers(r->proxy->heartbeat);
	if (r->list_again_now)
		p->due_at = now;
	r->list_again_now = false;
}

/*
 * After a list that failed: one that was only this VM's turn is left to the
 * others for a while. The pages read so far are no list.
 */
static void on_list_failed(struct registry *r, struct poll *p, usec_t now)
{
	if (p->call.from[0] != '\0')
		r->n_list = 0;
	if (!r->list_is_turn || r->newer_list_since || r->list_again_now ||
	    now < r->fast_until)
		return;
	r->list_is_turn = false;
	p->retry_at = p->due_at;
	p->due_at = now + list_interval(r, now);
}

/* Returns when VMs list the databases in turn. */
static const struct shared_poll_policy *list_policy(const struct registry *r)
{
	const struct proxy_policy *p = &r->proxy->policy;

	return heartbeat_is_full_mesh(r->proxy->heartbeat)
		       ? &p->list_poll
		       : &p->list_poll_large;
}

/* Lists the databases if it is this VM's turn; copies a list that is late. */
void registry_list_tick(struct registry *r, usec_t now)
{
	usec_t due_at = shared_poll_due_at(&r->list_poll, list_policy(r));

	if (due_at && r->was_reader && now >= due_at &&
	    now >= r->databases.retry_at && r->databases.due_at > now) {
		r->databases.due_at = now;
		r->list_is_turn = true;
	}
	copy_if_late(r, now);
}

/* Takes note of a list, of this VM or of a peer that has the same. */
static void note_listed(struct registry *r, usec_t listed_at)
{
	struct proxy *x = r->proxy;

	(void)shared_poll_answered(&r->list_poll, list_policy(r), listed_at,
				   heartbeat_n_readers(x->heartbeat),
				   proxy_random_unit(x));
}

/* Returns the interval to the next list of this VM that no other replaces. */
static usec_t list_interval(const struct registry *r, usec_t now)
{
	if (now < r->fast_until)
		return r->proxy->policy.registry_fast_interval;
	return (usec_t)registry_random_delay(r, LIST_INTERVAL_MAX_US);
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
	if (!restored_list_is_partial(listed_at, registry_restored_at(x),
				      REREGISTER_MAX_US))
		r->full_listed_at = listed_at;
	r->list_hash = hash_list(r);
	r->old_databases.since = 0;
	if (listed_at > r->list_confirmed_at)
		r->list_confirmed_at = listed_at;
	if (listed_at >= r->newer_listed_at ||
	    r->list_hash == r->newer_list_hash)
		r->newer_list_since = 0;
	note_listed(r, listed_at);
	r->list_is_turn = false;
	r->databases.due_at = now + list_interval(r, now);
	x->databases_known = r->n_list > 0;
	relist_at = db_group_apply_databases(x, r->list, r->n_list, listed_at);
	if (relist_at && relist_at < r->databases.due_at)
		r->databases.due_at = relist_at > now ? relist_at : now;
	if (r->list_hash != old_hash && r->was_reader)
		heartbeat_tell_domain(x->heartbeat);
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

/*
 * Returns a hash of what the VMs have to agree on: the databases, their
 * addresses, incarnations, departures and roles, and which are cold.
 */
static uint64_t hash_list(const struct registry *r)
{
	XXH64_hash_t h = 0;
	uint32_t i;

	qsort(r->list, r->n_list, sizeof(*r->list), compare_ids);
	for (i = 0; i < r->n_list; i++) {
		const struct registry_db *d = &r->list[i];
		uint64_t packed_state = d->incarnation << 3 |
					(uint64_t)(d->cold_left_ms > 0) << 2 |
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
