#include <msgpack.h>
#include <stdio.h>

#include "decide/fleet_start.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "kernel/wire.h"
#include "proxy/proxy_internal.h"

/*
 * The proof that a group's primary is still its only primary; the rules are in
 * decide/primary_proof.h. It works like a leader lease: a statement or
 * transaction that needs the primary starts, and a write is acknowledged, only
 * while the newest proof is younger than the guard.
 *
 * For each group one VM, the proof owner, maintains the proof by probing the
 * databases, and the other VMs request it from that VM. If every VM of a large
 * fleet probed, the probes would load the databases more than the statements
 * do. Ages are counted from the time a request was sent, so a delayed response
 * only makes the proof older, never wrong.
 */

/* A request without a response is sent again after a few round trips. */
#define REQUEST_RETRY_US (40 * USEC_PER_MSEC)
/* After this time without a proof a VM probes the databases itself. */
#define PROBE_DIRECTLY_AFTER_US (120 * USEC_PER_MSEC)
/* A VM that began to probe the databases itself continues for this long. */
#define PROBE_DIRECTLY_FOR_US (2 * USEC_PER_SEC)
/*
 * The proof of a primary in use is renewed once this fraction of the guard has
 * passed.
 */
#define PROOF_REFRESH_DIVISOR 2
/*
 * The proof owner probes for this long after a statement for the primary. An
 * expired proof is costlier to obtain: it needs all databases.
 */
#define PROBE_AFTER_USE_US (5 * USEC_PER_SEC)
/*
 * A VM requests the proof from its owner for this long after a statement for
 * the primary: the longest time that such a statement usually takes.
 */
#define REQUEST_AFTER_USE_US (1 * USEC_PER_SEC)
/*
 * While reads arrive, a new log position is requested when the newest is this
 * old: half the smallest staleness bound that routes usually have.
 */
#define POSITION_REFRESH_US (700 * USEC_PER_MSEC)
/* A database counts as unreachable after half the guard without a reply. */
#define UNREACHABLE_US (300 * USEC_PER_MSEC)
/* Shortest interval between two reads of the claim. */
#define CLAIM_CHECK_US USEC_PER_SEC
/*
 * The same while the claim has to prove the primary: a third of the guard, so
 * that a read may take longer than usual before the proof expires.
 */
#define CLAIM_PROOF_US (200 * USEC_PER_MSEC)

static bool knows_fleet(const struct proxy *p, usec_t now);
static void probe_databases(struct db_group *g, usec_t now);
static void request_proof(struct db_group *g, usec_t now);
static void check_claim(struct db_group *g, usec_t now);
static void on_claim_read(void *ctx, const struct registry_claim_outcome *o);
static void close_claim(struct db_group *g, usec_t now);
static void on_claim_closed(void *ctx, const struct registry_claim_outcome *o);
static const char *proof_owner(struct db_group *g);
static bool is_unreachable(const struct db_member *d, usec_t now);
static bool has_unreachable(const struct db_group *g, usec_t now);
static bool is_served_here(struct db_group *g, usec_t now);

/*
 * Returns true if this VM probes the group's databases itself, because it owns
 * the proof or the owner does not respond.
 */
bool db_group_proof_is_local(struct db_group *g, usec_t now)
{
	return now < g->probe_directly_until ||
	       (!proof_owner(g) && knows_fleet(g->proxy, now));
}

/* True unless this VM has just started and hears few of the others. */
static bool knows_fleet(const struct proxy *p, usec_t now)
{
	const struct fleet_start f = {
		.is_listed = p->vms_known,
		.known_for = now - p->vms_known_at,
		.n_peers = heartbeat_n_peers(p->heartbeat),
		.n_live = heartbeat_n_live(p->heartbeat),
	};

	return fleet_start_is_settled(&f);
}

/*
 * Renews the proof in g->proof if the newest statuses of all other databases
 * together prove the primary. "All" are those of the list, so it has to be
 * current.
 */
void db_group_proof_evaluate(struct db_group *g, usec_t now)
{
	struct primary_proof_report status[DB_GROUP_MEMBERS_MAX];
	uint32_t n = 0;
	uint32_t i;

	if (!registry_list_is_current(g->proxy->registry, now))
		return;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		if (!d->present || i == g->primary)
			continue;
		status[n++] = (struct primary_proof_report){
			.is_unreachable = is_unreachable(d, now),
			.asked_at = d->status_requested_at,
			.primary = d->status.is_primary,
			.can_prove =
				now >= d->trusted_from && !d->unlisted_since,
			.term = d->status.term,
			.held_term = d->status.paused_term,
		};
	}
	primary_proof_check_unanimous(&g->proof, status, n);
}

/*
 * A closed claim proves the primary of its term as of the request, since a
 * later promotion has to replace it and wait for the guard. It also tells of a
 * later term than the known one. So does the lack of a claim at a platform that
 * never loses one: then nobody has promoted at all.
 */
void db_group_on_claim(struct db_group *g,
		       const struct registry_claim_outcome *o)
{
	const struct promotion_claim *c = &o->record.claim;
	uint32_t db;

	if (!o->ok)
		return;
	if (c->state == PROMOTION_CLAIM_NONE && c->at.era == 0 &&
	    g->primary != DB_NONE)
		primary_proof_add(&g->proof, o->asked_at, g->proof.term,
				  PRIMARY_PROOF_CLAIM);
	if (c->state != PROMOTION_CLAIM_CLOSED || c->term < g->proof.term)
		return;
	db = db_group_find_member(g, o->record.primary);
	if (c->term > g->proof.term) {
		if (db != DB_NONE) {
			db_group_set_primary(g, db, c->term, "claim");
		} else {
			log_event(EV_PROMOTE_VIEW,
				  "service=%s database=%s term=%llu "
				  "former_term=%llu source=claim listed=0",
				  g->service, o->record.primary,
				  (unsigned long long)c->term,
				  (unsigned long long)g->proof.term);
			primary_proof_begin_term(&g->proof, c->term);
			g->term_known_at = proxy_now();
			g->promoted_here = false;
			g->primary = DB_NONE;
		}
	}
	g->closed_at = c->at;
	g->closed_term = c->term;
	if (db != DB_NONE && db == g->primary)
		primary_proof_add(&g->proof, o->asked_at, c->term,
				  PRIMARY_PROOF_CLAIM);
}

/* Logs the basis of the newest proof, and which databases are unreachable. */
void db_group_proof_log(const struct db_group *g, usec_t now)
{
	char unreachable[DB_GROUP_MEMBERS_MAX * (DB_ID_MAX_BYTES + 1)] = "";
	size_t len = 0;
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		if (!d->present || i == g->primary || !is_unreachable(d, now))
			continue;
		len += (size_t)snprintf(unreachable + len,
					sizeof(unreachable) - len, "%s%s",
					len ? "," : "", d->id);
	}
	log_event(EV_PRIMARY_PROVED,
		  "service=%s database=%s term=%llu basis=%s age_us=%lld "
		  "unusable_us=%lld unreachable=%s",
		  g->service, g->db[g->primary].id,
		  (unsigned long long)g->proof.term,
		  primary_proof_basis_name(g->proof.basis),
		  (long long)(now - g->proof.proved_at),
		  (long long)(now - g->primary_unusable_since),
		  len ? unreachable : "none");
}

/*
 * Renews the proof of a primary in use before it expires. The result of a write
 * counts only if the proof is still valid when it arrives.
 */
void db_group_proof_refresh(struct db_group *g, usec_t now)
{
	if (g->primary == DB_NONE)
		return;
	if (db_group_proof_is_local(g, now)) {
		probe_databases(g, now);
		close_claim(g, now);
		return;
	}
	if (now - g->primary_used_at <= REQUEST_AFTER_USE_US &&
	    (g->proof.proved_at == INT64_MIN ||
	     now - g->proof.proved_at >=
		     g->proxy->policy.guard / PROOF_REFRESH_DIVISOR))
		request_proof(g, now);
}

/*
 * Obtains a proof for a statement that needs one. A VM that owns connections to
 * a database of the group, and gets none from the proof owner for too long,
 * probes the databases itself.
 */
void db_group_proof_require(struct db_group *g, usec_t now)
{
	g->primary_used_at = now;
	if (now - g->primary_unusable_since > PROBE_DIRECTLY_AFTER_US &&
	    is_served_here(g, now))
		g->probe_directly_until = now + PROBE_DIRECTLY_FOR_US;
	if (db_group_proof_is_local(g, now))
		probe_databases(g, now);
	else
		request_proof(g, now);
}

/*
 * Obtains a newer log position of the primary for reads if the newest is old,
 * so that replicas can serve them.
 */
void db_group_proof_refresh_position(struct db_group *g, usec_t now)
{
	struct primary_proof_sample newest;

	primary_proof_newest_sample(&g->proof, &newest);
	if (now - newest.asked_at <= POSITION_REFRESH_US)
		return;
	if (db_group_proof_is_local(g, now))
		g->primary_used_at = now;
	else
		request_proof(g, now);
}

/*
 * Handles a peer's request: [id, service, term]. Without a valid proof there is
 * no response, nor if the peer knows of a later term.
 */
void db_group_proof_on_request(struct proxy *x, struct wire_reader *r,
			       const struct sockaddr *from, socklen_t from_len)
{
	uint64_t request_id = wire_u64(r);
	usec_t now = proxy_now();
	char service[NAME_MAX_BYTES];
	struct primary_proof_sample sample = { 0 };
	msgpack_sbuffer buf;
	struct db_group *g;
	msgpack_packer p;
	uint64_t term;

	wire_str(r, service, sizeof(service));
	term = wire_u64(r);
	if (r->bad)
		return;
	g = db_group_find(x, service);
	if (!g)
		return;
	g->primary_used_at = now;
	if (!db_group_primary_is_usable(g, now) || g->proof.term < term)
		return;
	primary_proof_newest_sample(&g->proof, &sample);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 9);
	msgpack_pack_uint32(&p, PEER_MSG_PROOF_RESPONSE);
	msgpack_pack_uint64(&p, request_id);
	wire_put_str(&p, service);
	msgpack_pack_uint64(&p, g->proof.term);
	msgpack_pack_uint64(&p, (uint64_t)(now - g->proof.proved_at));
	msgpack_pack_uint64(&p, sample.at.term);
	msgpack_pack_uint64(&p, sample.at.position);
	msgpack_pack_uint64(&p, (uint64_t)(now - sample.asked_at));
	wire_put_str(&p, g->db[g->primary].id);
	heartbeat_send_to(x->heartbeat, from, from_len, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * Handles a response: [id, service, term, age of the proof, newest log position
 * of the primary as term and position, its age, primary]; ages in microseconds.
 * Only the response to the newest request counts. A primary of a later term, or
 * the one of this term if none is known, is adopted.
 */
void db_group_proof_on_response(struct proxy *x, struct wire_reader *r)
{
	uint64_t request_id = wire_u64(r);
	char service[NAME_MAX_BYTES];
	struct log_pos at;
	uint64_t sample_age;
	struct db_group *g;
	char primary[DB_ID_MAX_BYTES];
	uint64_t term;
	uint64_t age;
	uint32_t db;

	wire_str(r, service, sizeof(service));
	term = wire_u64(r);
	age = wire_u64(r);
	at.term = wire_u64(r);
	at.position = wire_u64(r);
	sample_age = wire_u64(r);
	wire_str(r, primary, sizeof(primary));
	if (r->bad || age > USEC_PER_SEC)
		return;
	g = db_group_find(x, service);
	if (!g || request_id != g->proof_request_id)
		return;
	db = db_group_find_member(g, primary);
	if (db != DB_NONE && (term > g->proof.term ||
			      (term == g->proof.term && g->primary == DB_NONE)))
		db_group_set_primary(g, db, term, "proof owner");
	primary_proof_add(&g->proof, g->proof_requested_at - (usec_t)age, term,
			  PRIMARY_PROOF_PEER);
	if (at.term == g->proof.term && sample_age < USEC_PER_SEC)
		primary_proof_sample(&g->proof,
				     g->proof_requested_at - (usec_t)sample_age,
				     at);
	dispatch_waiting(g);
}

/*
 * Probes replicas while the primary is in use: one at a time in turn when the
 * proof is to be renewed, all of them once it has expired. Also probes the
 * primary when the newest position of its log is old, as peers request that
 * too.
 */
static void probe_databases(struct db_group *g, usec_t now)
{
	usec_t guard = g->proxy->policy.guard;
	bool is_valid = primary_proof_is_valid(&g->proof, now, guard);
	struct primary_proof_sample newest;
	uint32_t i;

	if (g->primary == DB_NONE)
		return;
	if (g->proof.proved_at != INT64_MIN &&
	    now - g->primary_used_at > PROBE_AFTER_USE_US)
		return;
	primary_proof_newest_sample(&g->proof, &newest);
	if (is_valid && now - newest.asked_at > guard / PROOF_REFRESH_DIVISOR)
		db_member_probe(&g->db[g->primary], now);
	if (is_valid &&
	    now - g->proof.proved_at < guard / PROOF_REFRESH_DIVISOR)
		return;
	if (!is_valid) {
		check_claim(g, now);
		db_group_proof_evaluate(g, now);
	}
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		uint32_t at = (g->next_probe + i) % DB_GROUP_MEMBERS_MAX;
		struct db_member *d = &g->db[at];

		if (at == g->primary || now < d->retry_at ||
		    !db_member_can_probe(d, now))
			continue;
		db_member_probe(d, now);
		if (!is_valid)
			continue;
		g->next_probe = at + 1;
		return;
	}
}

/*
 * Reads the claim, if a database joined so lately that it might have missed the
 * PAUSE of a promotion, or can't be asked whether it was promoted, or if the
 * databases have not proved the primary for a while.
 */
static void check_claim(struct db_group *g, usec_t now)
{
	bool is_proof = has_unreachable(g, now) ||
			(g->primary_unusable_since &&
			 now - g->primary_unusable_since > CLAIM_PROOF_US);
	usec_t interval = is_proof ? CLAIM_PROOF_US : CLAIM_CHECK_US;
	bool is_needed = is_proof;
	uint32_t i;

	if (g->claim_check_pending || now - g->claim_checked_at < interval)
		return;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++)
		is_needed |= g->db[i].present && now < g->db[i].trusted_from;
	if (!is_needed)
		return;
	g->claim_checked_at = now;
	g->claim_check_pending = true;
	registry_read_claim(g->proxy, g, on_claim_read, g);
}

/*
 * Trusts the databases that had joined before the claim was requested if no
 * promotion was claimed then: a later one finds them in the registry and pauses
 * them.
 */
static void on_claim_read(void *ctx, const struct registry_claim_outcome *o)
{
	const struct promotion_claim *c = &o->record.claim;
	struct db_group *g = ctx;
	bool is_unclaimed;
	uint32_t i;

	g->claim_check_pending = false;
	if (!o->ok)
		return;
	db_group_on_claim(g, o);
	is_unclaimed =
		c->state == PROMOTION_CLAIM_NONE
			? c->at.era == 0 ||
				  registry_era_is_settled(g->proxy, o->asked_at)
			: c->state == PROMOTION_CLAIM_CLOSED &&
				  c->term == g->proof.term;
	for (i = 0; is_unclaimed && i < DB_GROUP_MEMBERS_MAX; i++) {
		if (g->db[i].joined_at < o->asked_at)
			g->db[i].trusted_from = 0;
	}
	db_group_proof_evaluate(g, proxy_now());
	dispatch_waiting(g);
}

/*
 * Closes the claim of the proved primary, unless it is known to be closed, so
 * that the primary can be proved without the other databases later.
 */
static void close_claim(struct db_group *g, usec_t now)
{
	if (g->claim_check_pending ||
	    now - g->claim_checked_at < CLAIM_CHECK_US ||
	    (g->closed_term == g->proof.term &&
	     g->closed_at.era == g->proxy->store_era.era) ||
	    !g->proxy->store_era.is_known ||
	    (!g->promoted_here &&
	     !primary_proof_is_valid(&g->proof, now, g->proxy->policy.guard)))
		return;
	g->claim_checked_at = now;
	g->claim_check_pending = true;
	registry_close_claim(g->proxy, g, on_claim_closed, g);
}

/* Notes that the claim was closed, or what it tells instead. */
static void on_claim_closed(void *ctx, const struct registry_claim_outcome *o)
{
	struct db_group *g = ctx;

	g->claim_check_pending = false;
	db_group_on_claim(g, o);
}

/* Requests the proof from its owner, unless a request was sent a moment ago. */
static void request_proof(struct db_group *g, usec_t now)
{
	struct heartbeat *b = g->proxy->heartbeat;
	const char *owner = proof_owner(g);
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (!owner || now - g->proof_requested_at < REQUEST_RETRY_US)
		return;
	g->proof_requested_at = now;
	g->proof_request_id++;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	msgpack_pack_uint32(&p, PEER_MSG_PROOF_REQUEST);
	msgpack_pack_uint64(&p, g->proof_request_id);
	wire_put_str(&p, g->service);
	msgpack_pack_uint64(&p, g->proof.term);
	heartbeat_send(b, owner, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Returns the VM that owns the group's proof, or NULL if this one does. */
static const char *proof_owner(struct db_group *g)
{
	const struct heartbeat *b = g->proxy->heartbeat;

	if (g->proof_owner_version != heartbeat_owners_version(b) + 1) {
		g->proof_owner = heartbeat_service_owner(b, g->service);
		g->proof_owner_version = heartbeat_owners_version(b) + 1;
	}
	return g->proof_owner;
}

/*
 * True if the database could not be connected to or has not answered for a
 * while.
 */
static bool is_unreachable(const struct db_member *d, usec_t now)
{
	return d->failures > 0 || (d->unanswered_since &&
				   now - d->unanswered_since > UNREACHABLE_US);
}

/*
 * True if a database other than the primary is unreachable, so that the claim
 * has to tell whether it may have been promoted.
 */
static bool has_unreachable(const struct db_group *g, usec_t now)
{
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		if (g->db[i].present && i != g->primary &&
		    is_unreachable(&g->db[i], now))
			return true;
	}
	return false;
}

/* True if this VM owns the connections to a database of the group. */
static bool is_served_here(struct db_group *g, usec_t now)
{
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		if (g->db[i].present &&
		    db_member_is_served_here(&g->db[i], now))
			return true;
	}
	return false;
}
