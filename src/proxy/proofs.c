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
#define ASK_AGAIN_US (40 * USEC_PER_MSEC)
/* After so long without a proof a VM asks the databases itself. */
#define ALONE_AFTER_US (120 * USEC_PER_MSEC)
/* And goes on with that for so long. */
#define ALONE_FOR_US (2 * USEC_PER_SEC)

/* The VM that keeps the group's proof; NULL: this one. */
static const char *keeper(struct pgroup *g)
{
	const struct beacon *b = g->proxy->beacon;

	if (g->proof_changes != beacon_changes(b) + 1) {
		g->proof_keeper = beacon_first(b, g->service);
		g->proof_changes = beacon_changes(b) + 1;
	}
	return g->proof_keeper;
}

/* Has this VM to ask the group's databases itself? */
bool proofs_are_own(struct pgroup *g, usec_t now)
{
	return now < g->alone_until || !keeper(g);
}

/* Asks whoever keeps the group's proof, unless that was done just now. */
void proofs_ask(struct pgroup *g, usec_t now)
{
	struct beacon *b = g->proxy->beacon;
	const char *to = keeper(g);
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (!to || now - g->proof_asked_at < ASK_AGAIN_US)
		return;
	g->proof_asked_at = now;
	g->proof_number++;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	msgpack_pack_uint32(&p, PEER_PROVE);
	msgpack_pack_uint64(&p, g->proof_number);
	wire_put_str(&p, g->service);
	msgpack_pack_uint64(&p, g->lead.term);
	beacon_send(b, to, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* A proof is needed and not there: notes since when. */
void proofs_missing(struct pgroup *g, usec_t now)
{
	if (g->unproved_since == 0)
		g->unproved_since = now;
	if (now - g->unproved_since > ALONE_AFTER_US)
		g->alone_until = now + ALONE_FOR_US;
	proofs_ask(g, now);
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
	g->wanted_at = now;
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
	beacon_reply(x->beacon, from, from_len, buf.data, buf.size);
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
	if (!g || number != g->proof_number)
		return;
	lead_proved(&g->lead, g->proof_asked_at - (usec_t)age, term);
	g->unproved_since = 0;
	if (at.term == g->lead.term && sample_age < USEC_PER_SEC)
		lead_sample(&g->lead, g->proof_asked_at - (usec_t)sample_age,
			    at);
	dispatch_pump(g);
}
