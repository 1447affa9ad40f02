#include <string.h>

#include "decide/escrow_internal.h"

/* A request expires after this time; a later grant for it is ignored. */
#define REQUEST_LIFETIME_US (10 * (usec_t)USEC_PER_SEC)
/* Interval before the first retry of a request, then doubled up to the max. */
#define RETRY_MIN_US (4 * (usec_t)USEC_PER_MSEC)
#define RETRY_MAX_US (256 * (usec_t)USEC_PER_MSEC)
/* Less than 1/16 of this VM's share is not worth a transfer. */
#define TRANSFER_MIN_DIVISOR 16

static void fill_request(struct escrow *b, struct escrow_ask *a, usec_t now,
			 struct escrow_msg *out);
static struct escrow_ask *find_ask(struct escrow *b, uint64_t id,
				   uint64_t peer);
static struct escrow_grant *grant_to(struct escrow *b, uint64_t peer);
static void make_grant(struct escrow *b, const struct escrow_msg *msg,
		       usec_t now, struct escrow_grant *g);
static uint32_t share_to_keep(const struct escrow *b,
			      const struct escrow_msg *msg, usec_t now);
static uint32_t round_to_usable(const struct escrow *b, uint32_t keep,
				uint32_t total);
static uint64_t tokens_to_give(const struct escrow *b, uint32_t give,
			       const struct escrow_msg *msg);
static void init_message(const struct escrow *b, struct escrow_msg *out);

/*
 * Fills in a request to a peer, with what this VM holds itself. Returns false
 * if a request to that peer is open, or if the lease has expired: this VM could
 * not keep what is granted, and the share would be lost.
 */
bool escrow_ask(struct escrow *b, uint64_t peer, usec_t now,
		struct escrow_msg *out)
{
	struct escrow_ask *a = &b->asks[0];
	uint32_t i;

	if (escrow_check_lease(b, now))
		return false;
	for (i = 0; i < ESCROW_ASKS; i++) {
		struct escrow_ask *t = &b->asks[i];

		if (t->id != 0 && now - t->sent_at > REQUEST_LIFETIME_US)
			t->id = 0;
		if (t->id != 0 && t->peer == peer)
			return false;
		if (a->id != 0 && (t->id == 0 || t->sent_at < a->sent_at))
			a = t;
	}
	*a = (struct escrow_ask){
		.id = ++b->lease->next_id,
		.peer = peer,
		.sent_at = now,
	};
	fill_request(b, a, now, out);
	return true;
}

/*
 * Fills in the next open request that is due for a retry, to be sent to *peer.
 * A peer that has already granted it repeats the same grant. The interval
 * between retries doubles. Returns false if none is due.
 */
bool escrow_retry_ask(struct escrow *b, usec_t now, uint64_t *peer,
		      struct escrow_msg *out)
{
	uint32_t i;

	for (i = 0; i < ESCROW_ASKS; i++) {
		struct escrow_ask *a = &b->asks[i];

		if (a->id == 0 || now < a->retry_at)
			continue;
		if (now - a->sent_at > REQUEST_LIFETIME_US) {
			a->id = 0;
			continue;
		}
		*peer = a->peer;
		fill_request(b, a, now, out);
		return true;
	}
	return false;
}

/*
 * Handles a peer's request and fills in the grant. The granted share is
 * subtracted here first. The grant is kept, even an empty one, so that a
 * repeated request gets the same grant. An older request of that peer that
 * arrives late gets nothing.
 */
void escrow_on_ask(struct escrow *b, uint64_t peer, uint64_t incarnation,
		   const struct escrow_msg *msg, usec_t now,
		   struct escrow_msg *out)
{
	struct escrow_grant *g = grant_to(b, peer);
	bool known = g->peer == peer && g->incarnation >= incarnation;
	bool repeated =
		known && g->incarnation == incarnation && g->id == msg->id;

	escrow_enter_epoch(b, msg->epoch, now);
	init_message(b, out);
	out->type = ESCROW_GRANT;
	out->id = msg->id;
	if (known && !repeated &&
	    (g->incarnation > incarnation || g->id > msg->id))
		return;
	if (!repeated) {
		*g = (struct escrow_grant){
			.peer = peer,
			.incarnation = incarnation,
			.id = msg->id,
			.created_at = now,
		};
		if (!escrow_check_lease(b, now) && b->epoch != 0 &&
		    !escrow_report_pending(b) &&
		    (msg->epoch == 0 || msg->epoch == b->epoch))
			make_grant(b, msg, now, g);
	}
	out->share = g->share;
	out->tokens = g->tokens;
}

/*
 * Handles a grant: adds its share and tokens once, if it belongs to an open
 * request and to this epoch. A VM that knows no epoch yet holds no share and
 * adopts the epoch of the grant. Any other grant is dropped; its share is
 * recovered by the next reconciliation and never exists twice.
 */
enum escrow_result escrow_on_grant(struct escrow *b, uint64_t peer,
				   const struct escrow_msg *msg, usec_t now)
{
	struct escrow_ask *a;
	uint64_t room;
	usec_t sent_at;

	if (escrow_check_lease(b, now))
		return ESCROW_IGNORED;
	a = find_ask(b, msg->id, peer);
	if (!a)
		return ESCROW_IGNORED;
	sent_at = a->sent_at;
	a->id = 0;
	if (b->epoch == 0) {
		b->epoch = msg->epoch;
	} else if (msg->epoch > b->epoch) {
		escrow_enter_epoch(b, msg->epoch, now);
		return ESCROW_NEWER_EPOCH;
	}
	if (now - sent_at > REQUEST_LIFETIME_US || msg->epoch < b->epoch ||
	    msg->share > b->whole - b->share)
		return ESCROW_IGNORED;
	if (msg->share == 0 && msg->tokens == 0)
		return ESCROW_EMPTY;
	escrow_accrue(b, now);
	room = escrow_cap(b, b->whole) - b->tokens;
	b->share += msg->share;
	b->tokens += msg->tokens < room ? msg->tokens : room;
	escrow_accrue(b, now);
	return ESCROW_RECEIVED;
}

/* Returns the open request with this id to this peer, or NULL. */
static struct escrow_ask *find_ask(struct escrow *b, uint64_t id, uint64_t peer)
{
	uint32_t i;

	for (i = 0; id != 0 && i < ESCROW_ASKS; i++) {
		if (b->asks[i].id == id && b->asks[i].peer == peer)
			return &b->asks[i];
	}
	return NULL;
}

/*
 * Fills in a request and schedules its next retry. The interval is the time
 * since the request was first sent plus RETRY_MIN_US, so it about doubles.
 */
static void fill_request(struct escrow *b, struct escrow_ask *a, usec_t now,
			 struct escrow_msg *out)
{
	usec_t wait = now - a->sent_at + RETRY_MIN_US;

	a->retry_at = now + (wait < RETRY_MAX_US ? wait : RETRY_MAX_US);
	init_message(b, out);
	out->type = ESCROW_ASK;
	out->id = a->id;
	out->share = b->share;
	out->tokens = b->tokens;
	out->demand = b->is_units ? 1 : escrow_demand_per_s(b, now);
}

/* Returns the slot of the last grant to a peer, else a free or oldest one. */
static struct escrow_grant *grant_to(struct escrow *b, uint64_t peer)
{
	struct escrow_grant *g = &b->grants[0];
	uint32_t i;

	for (i = 0; i < ESCROW_GRANTS_KEPT; i++) {
		if (b->grants[i].peer == peer)
			return &b->grants[i];
		if (b->grants[i].peer == 0 ||
		    b->grants[i].created_at < g->created_at)
			g = &b->grants[i];
	}
	return g;
}

/* Decides what to grant, subtracts it here and stores it in "g". */
static void make_grant(struct escrow *b, const struct escrow_msg *msg,
		       usec_t now, struct escrow_grant *g)
{
	uint32_t keep;

	if (b->is_units) {
		if (b->share > b->in_use)
			g->share = (b->share - b->in_use + 1) / 2;
		if (b->draining)
			g->share = b->share;
		b->share -= g->share;
		return;
	}
	escrow_accrue(b, now);
	keep = share_to_keep(b, msg, now);
	g->share = b->share - keep;
	g->tokens = tokens_to_give(b, g->share, msg);
	b->share = keep;
	b->tokens -= g->tokens;
	if (g->share || g->tokens)
		b->no_refund_at = now + 1;
	escrow_accrue(b, now);
}

/*
 * Returns the share that this VM keeps. The sum of both shares is divided in
 * proportion to the demand of both VMs, rounded so that each part can hold a
 * token. A VM that drains keeps nothing; a change that is too small is not
 * made.
 */
static uint32_t share_to_keep(const struct escrow *b,
			      const struct escrow_msg *msg, usec_t now)
{
	uint64_t own = escrow_demand_per_s(b, now);
	uint64_t theirs = msg->demand ? msg->demand : 1;
	uint64_t total = (uint64_t)b->share + msg->share;
	uint32_t keep;

	if (b->draining)
		return 0;
	if (total > b->whole)
		return b->share;
	keep = (uint32_t)(total * own / (own + theirs));
	keep = round_to_usable(b, keep, (uint32_t)total);
	if (keep >= b->share)
		return b->share;
	if (b->share - keep < b->share / TRANSFER_MIN_DIVISOR &&
	    msg->share >= escrow_min_share(b))
		return b->share;
	return keep;
}

/*
 * Rounds the share to keep so that the requester's part, and this VM's unless
 * it is zero, can hold a token. If the total is too small for two such parts,
 * the requester gets all of it if this VM's share could not hold a token
 * anyway, or if there is a token to transfer with it; else nothing.
 */
static uint32_t round_to_usable(const struct escrow *b, uint32_t keep,
				uint32_t total)
{
	uint32_t min = escrow_min_share(b);

	if (total >= 2 * min) {
		if (keep > 0 && keep < min)
			return min;
		return total - keep < min ? total - min : keep;
	}
	if (b->share < min || b->tokens >= escrow_token(b))
		return 0;
	return b->share;
}

/*
 * Returns the tokens to transfer with a share: as many as make both buckets
 * equally full, and no more than the requester's bucket will hold.
 */
static uint64_t tokens_to_give(const struct escrow *b, uint32_t give,
			       const struct escrow_msg *msg)
{
	uint64_t room = escrow_cap(b, msg->share + give);
	uint64_t keep = b->share - give;
	uint64_t total = (uint64_t)b->share + msg->share;
	unsigned __int128 sum = (unsigned __int128)b->tokens + msg->tokens;
	uint64_t spare;
	uint64_t left;

	if (total == 0 || msg->tokens >= room)
		return 0;
	left = (uint64_t)(sum * keep / total);
	spare = b->tokens > left ? b->tokens - left : 0;
	return spare < room - msg->tokens ? spare : room - msg->tokens;
}

/*
 * Fills in the epoch and clears the other fields, except the bucket's name,
 * which the sender sets.
 */
static void init_message(const struct escrow *b, struct escrow_msg *out)
{
	out->epoch = b->epoch;
	out->id = 0;
	out->share = 0;
	out->tokens = 0;
	out->demand = 0;
}
