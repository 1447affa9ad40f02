#include <msgpack.h>

#include "kernel/wire.h"
#include "proxy/proxy_own.h"

/*
 * One VM keeps the proof of a group's primary (decide/lead.h) by asking its
 * databases, and the others ask that VM when they need it: a fleet of many VMs
 * would else ask the databases for more than its callers do. Ages are counted
 * from when the question was sent, so that a late answer is only an older one.
 */

/* A question without an answer is asked again: some round trips. */
#define REQUEST_RETRY_US (40 * USEC_PER_MSEC)
/* After so long without a proof a VM asks the databases itself. */
#define PROBE_DIRECTLY_AFTER_US (120 * USEC_PER_MSEC)
/* And goes on with that for so long. */
#define PROBE_DIRECTLY_FOR_US (2 * USEC_PER_SEC)
/* A primary in use is proved again when this part of the guard has passed. */
#define PROOF_REFRESH_DIVISOR 2
/*
 * The primary counts as used for so long after a statement for it: a proof that
 * has run out is made anew only with the help of all databases.
 */
#define PRIMARY_USED_US (5 * USEC_PER_SEC)
/* The proof is kept fresh for so long after a statement for the primary: the
 * longest that one usually takes. */
#define KEEP_FRESH_US (1 * USEC_PER_SEC)
/* While reads come, a new position is asked for when the newest is this old:
 * half the least age that routes usually allow. */
#define POSITION_REFRESH_US (700 * USEC_PER_MSEC)
/* A database that was asked and has not answered for half the guard. */
#define UNREACHABLE_US (300 * USEC_PER_MSEC)

static void probe_databases(struct pgroup *g, usec_t now);
static void request_proof(struct pgroup *g, usec_t now);
static const char *proof_owner(struct pgroup *g);
static bool is_unreachable(const struct pdb *d, usec_t now);
static bool has_unreachable(const struct pgroup *g, usec_t now);

/* Has this VM to ask the group's databases itself? */
bool proofs_are_own(struct pgroup *g, usec_t now)
{
	return now < g->probe_directly_until || !proof_owner(g);
}

/*
 * Looks whether all that the others said last is a proof of the primary. For
 * one that does not answer the registry speaks: a database that is promoted
 * registers as such at once. The entry of a former primary that is gone says
 * nothing, but it can't be promoted before it answers again.
 */
void proofs_weigh(struct pgroup *g, usec_t now)
{
	const struct registry *r = g->proxy->registry;
	struct lead_word word[GROUP_DBS_MAX];
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < GROUP_DBS_MAX; i++) {
		const struct pdb *d = &g->db[i];

		if (!d->present || i == g->primary)
			continue;
		if (is_unreachable(d, now)) {
			if (d->primary_term > 0 &&
			    d->primary_term < g->lead.term)
				continue;
			word[n++] = (struct lead_word){
				.asked_at = registry_listed_at(r),
				.primary = d->listed_primary,
				.term = g->lead.term,
			};
			continue;
		}
		word[n++] = (struct lead_word){
			.asked_at = d->status_requested_at,
			.primary = d->status.is_primary,
			.vouches = now >= d->trusted_from,
			.term = d->status.term,
			.held_term = d->status.paused_term,
		};
	}
	lead_unanimous(&g->lead, word, n);
}

/*
 * Keeps the proof of a primary that is in use fresh: a statement's answer
 * counts only with a proof that is still good then.
 */
void proofs_refresh(struct pgroup *g, usec_t now)
{
	if (g->primary == DB_NONE)
		return;
	if (proofs_are_own(g, now)) {
		probe_databases(g, now);
		return;
	}
	if (now - g->primary_used_at <= KEEP_FRESH_US &&
	    (g->lead.proved_at == INT64_MIN ||
	     now - g->lead.proved_at >=
		     g->proxy->policy.guard / PROOF_REFRESH_DIVISOR))
		request_proof(g, now);
}

/* A proof is needed and not there; a VM that gets none makes its own. */
void proofs_missing(struct pgroup *g, usec_t now)
{
	g->primary_used_at = now;
	if (now - g->primary_unusable_since > PROBE_DIRECTLY_AFTER_US)
		g->probe_directly_until = now + PROBE_DIRECTLY_FOR_US;
	if (proofs_are_own(g, now))
		probe_databases(g, now);
	else
		request_proof(g, now);
}

/*
 * Reads come. Where the newest position of the primary's log is old, another is
 * asked for, so that reads need not go to the primary.
 */
void proofs_position(struct pgroup *g, usec_t now)
{
	struct lead_sample newest;

	lead_newest(&g->lead, &newest);
	if (now - newest.asked_at <= POSITION_REFRESH_US)
		return;
	if (proofs_are_own(g, now))
		g->primary_used_at = now;
	else
		request_proof(g, now);
}

/* A peer asks: [number, service, term]. No answer if there is no proof. */
void proofs_take_ask(struct proxy *x, struct wire_reader *r,
		     const struct sockaddr *from, socklen_t from_len)
{
	uint64_t number = wire_u64(r);
	usec_t now = proxy_now();
	char service[NAME_MAX_BYTES];
	struct lead_sample sample = { 0 };
	msgpack_sbuffer buf;
	struct pgroup *g;
	msgpack_packer p;
	uint64_t term;

	wire_str(r, service, sizeof(service));
	term = wire_u64(r);
	if (r->bad)
		return;
	g = cluster_group(x, service);
	if (!g)
		return;
	g->primary_used_at = now;
	if (!cluster_primary_usable(g, now) || g->lead.term != term)
		return;
	lead_newest(&g->lead, &sample);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 8);
	msgpack_pack_uint32(&p, PEER_PROOF);
	msgpack_pack_uint64(&p, number);
	wire_put_str(&p, service);
	msgpack_pack_uint64(&p, term);
	msgpack_pack_uint64(&p, (uint64_t)(now - g->lead.proved_at));
	msgpack_pack_uint64(&p, sample.at.term);
	msgpack_pack_uint64(&p, sample.at.position);
	msgpack_pack_uint64(&p, (uint64_t)(now - sample.asked_at));
	beacon_reply(x->heartbeat, from, from_len, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * An answer: [number, service, term, age of the proof, newest sample of the
 * primary's log and its age]. Only the newest question is answered by it.
 */
void proofs_take_answer(struct proxy *x, struct wire_reader *r)
{
	uint64_t number = wire_u64(r);
	char service[NAME_MAX_BYTES];
	struct log_pos at;
	uint64_t sample_age;
	struct pgroup *g;
	uint64_t term;
	uint64_t age;

	wire_str(r, service, sizeof(service));
	term = wire_u64(r);
	age = wire_u64(r);
	at.term = wire_u64(r);
	at.position = wire_u64(r);
	sample_age = wire_u64(r);
	if (r->bad || age > USEC_PER_SEC)
		return;
	g = cluster_group(x, service);
	if (!g || number != g->proof_request_id)
		return;
	lead_proved(&g->lead, g->proof_requested_at - (usec_t)age, term);
	if (at.term == g->lead.term && sample_age < USEC_PER_SEC)
		lead_sample(&g->lead,
			    g->proof_requested_at - (usec_t)sample_age, at);
	dispatch_pump(g);
}

/*
 * Asks replicas while the primary is in use and its proof ages: one at a time,
 * in turn, but all of them once the proof has run out. Whoever keeps the proof
 * for others asks the primary, too, how far its log has come.
 */
static void probe_databases(struct pgroup *g, usec_t now)
{
	usec_t guard = g->proxy->policy.guard;
	bool one = lead_holds(&g->lead, now, guard);
	struct lead_sample newest;
	uint32_t i;

	if (g->lead.proved_at != INT64_MIN &&
	    now - g->primary_used_at > PRIMARY_USED_US)
		return;
	lead_newest(&g->lead, &newest);
	if (one && now - newest.asked_at > guard / PROOF_REFRESH_DIVISOR)
		cluster_probe(&g->db[g->primary], now);
	if (one && now - g->lead.proved_at < guard / PROOF_REFRESH_DIVISOR)
		return;
	if (!one) {
		proofs_weigh(g, now);
		if (has_unreachable(g, now))
			registry_hurry(g->proxy->registry, now);
	}
	for (i = 0; i < GROUP_DBS_MAX; i++) {
		uint32_t at = (g->next_probe + i) % GROUP_DBS_MAX;
		struct pdb *d = &g->db[at];

		if (at == g->primary || now < d->retry_at ||
		    !cluster_may_probe(d, now))
			continue;
		cluster_probe(d, now);
		if (!one)
			continue;
		g->next_probe = at + 1;
		return;
	}
}

/* Asks whoever keeps the group's proof, unless that was done just now. */
static void request_proof(struct pgroup *g, usec_t now)
{
	struct heartbeat *b = g->proxy->heartbeat;
	const char *to = proof_owner(g);
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (!to || now - g->proof_requested_at < REQUEST_RETRY_US)
		return;
	g->proof_requested_at = now;
	g->proof_request_id++;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	msgpack_pack_uint32(&p, PEER_PROVE);
	msgpack_pack_uint64(&p, g->proof_request_id);
	wire_put_str(&p, g->service);
	msgpack_pack_uint64(&p, g->lead.term);
	beacon_send(b, to, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* The VM that keeps the group's proof; NULL: this one. */
static const char *proof_owner(struct pgroup *g)
{
	const struct heartbeat *b = g->proxy->heartbeat;

	if (g->proof_owner_version != beacon_changes(b) + 1) {
		g->proof_owner = beacon_first(b, g->service);
		g->proof_owner_version = beacon_changes(b) + 1;
	}
	return g->proof_owner;
}

/* Has it answered nothing lately, though it was asked? */
static bool is_unreachable(const struct pdb *d, usec_t now)
{
	return d->failures > 0 || (d->unanswered_since &&
				   now - d->unanswered_since > UNREACHABLE_US);
}

/* Is there a database other than the primary that has to be vouched for? */
static bool has_unreachable(const struct pgroup *g, usec_t now)
{
	uint32_t i;

	for (i = 0; i < GROUP_DBS_MAX; i++) {
		if (g->db[i].present && i != g->primary &&
		    is_unreachable(&g->db[i], now))
			return true;
	}
	return false;
}
