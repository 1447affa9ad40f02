#include <string.h>

#include "decide/escrow_own.h"

/* Answers to questions older than this no longer count. */
#define ASK_LIFE_US (10 * (usec_t)USEC_PER_SEC)
/* A question is asked again after this, then after twice as long, at most. */
#define ASK_AGAIN_US	  (4 * (usec_t)USEC_PER_MSEC)
#define ASK_AGAIN_MOST_US (256 * (usec_t)USEC_PER_MSEC)
/* A smaller part of this VM's share than one in so many isn't moved. */
#define MOVE_PARTS 16

static void put_question(struct escrow *b, struct escrow_ask *a, usec_t now,
			 struct escrow_msg *out);
static struct escrow_ask *find_ask(struct escrow *b, uint64_t id,
				   uint64_t peer);
static struct escrow_given *given_to(struct escrow *b, uint64_t peer);
static void choose(struct escrow *b, const struct escrow_msg *msg, usec_t now,
		   struct escrow_given *g);
static uint32_t keep_share(const struct escrow *b, const struct escrow_msg *msg,
			   usec_t now);
static uint32_t keep_useful(const struct escrow *b, uint32_t keep,
			    uint32_t total);
static uint64_t give_tokens(const struct escrow *b, uint32_t give,
			    const struct escrow_msg *msg);
static void fill(const struct escrow *b, struct escrow_msg *out);

/*
 * Fills in a question to a peer, with what this VM has itself. False if one
 * to that peer is open, or if this VM has no word of the fleet: it could not
 * keep what the answer brings, and the share would be lost.
 */
bool escrow_ask(struct escrow *b, uint64_t peer, usec_t now,
		struct escrow_msg *out)
{
	struct escrow_ask *a = &b->asks[0];
	uint32_t i;

	if (escrow_lapsed(b, now))
		return false;
	for (i = 0; i < ESCROW_ASKS; i++) {
		struct escrow_ask *t = &b->asks[i];

		if (t->id != 0 && now - t->at > ASK_LIFE_US)
			t->id = 0;
		if (t->id != 0 && t->peer == peer)
			return false;
		if (a->id != 0 && (t->id == 0 || t->at < a->at))
			a = t;
	}
	*a = (struct escrow_ask){
		.id = ++b->vm->next_id,
		.peer = peer,
		.at = now,
	};
	put_question(b, a, now, out);
	return true;
}

/*
 * Fills in the next open question that is due to be asked again, to *peer,
 * which answers the same as before if it has answered. Each time it waits
 * twice as long. False if none is due.
 */
bool escrow_ask_again(struct escrow *b, usec_t now, uint64_t *peer,
		      struct escrow_msg *out)
{
	uint32_t i;

	for (i = 0; i < ESCROW_ASKS; i++) {
		struct escrow_ask *a = &b->asks[i];

		if (a->id == 0 || now < a->next_at)
			continue;
		if (now - a->at > ASK_LIFE_US) {
			a->id = 0;
			continue;
		}
		*peer = a->peer;
		put_question(b, a, now, out);
		return true;
	}
	return false;
}

/*
 * Answers a peer's question. What is given is subtracted before the answer
 * exists, and is kept, so that the same question gets the same answer, also
 * if that was empty. An older question of that peer, come late, gets nothing.
 */
void escrow_on_ask(struct escrow *b, uint64_t peer, uint64_t incarnation,
		   const struct escrow_msg *msg, usec_t now,
		   struct escrow_msg *out)
{
	struct escrow_given *g = given_to(b, peer);
	bool known = g->peer == peer && g->incarnation >= incarnation;
	bool same = known && g->incarnation == incarnation && g->id == msg->id;

	escrow_move(b, msg->epoch, now);
	fill(b, out);
	out->type = ESCROW_GRANT;
	out->id = msg->id;
	if (known && !same && (g->incarnation > incarnation || g->id > msg->id))
		return;
	if (!same) {
		*g = (struct escrow_given){
			.peer = peer,
			.incarnation = incarnation,
			.id = msg->id,
			.at = now,
		};
		if (!escrow_lapsed(b, now) && b->epoch != 0 &&
		    !escrow_uncounted(b) &&
		    (msg->epoch == 0 || msg->epoch == b->epoch))
			choose(b, msg, now, g);
	}
	out->share = g->share;
	out->tokens = g->tokens;
}

/*
 * Takes in an answer, once, to a question of this epoch that is still open. A
 * VM that knows no epoch yet holds nothing, and takes the answer's epoch.
 * Whatever else arrives is dropped: its share is missing at the next recount,
 * never there twice.
 */
enum escrow_result escrow_on_grant(struct escrow *b, uint64_t peer,
				   const struct escrow_msg *msg, usec_t now)
{
	struct escrow_ask *a;
	uint64_t most;
	usec_t asked_at;

	if (escrow_lapsed(b, now))
		return ESCROW_NOTHING;
	a = find_ask(b, msg->id, peer);
	if (!a)
		return ESCROW_NOTHING;
	asked_at = a->at;
	a->id = 0;
	if (b->epoch == 0) {
		b->epoch = msg->epoch;
	} else if (msg->epoch > b->epoch) {
		escrow_move(b, msg->epoch, now);
		return ESCROW_NEWER;
	}
	if (now - asked_at > ASK_LIFE_US || msg->epoch < b->epoch ||
	    msg->share > b->whole - b->share)
		return ESCROW_NOTHING;
	if (msg->share == 0 && msg->tokens == 0)
		return ESCROW_EMPTY;
	escrow_accrue(b, now);
	most = escrow_cap(b, b->whole) - b->tokens;
	b->share += msg->share;
	b->tokens += msg->tokens < most ? msg->tokens : most;
	escrow_accrue(b, now);
	return ESCROW_GOT;
}

/* The open question with this id to this peer, or NULL. */
static struct escrow_ask *find_ask(struct escrow *b, uint64_t id, uint64_t peer)
{
	uint32_t i;

	for (i = 0; id != 0 && i < ESCROW_ASKS; i++) {
		if (b->asks[i].id == id && b->asks[i].peer == peer)
			return &b->asks[i];
	}
	return NULL;
}

/* The question itself; it is due again after twice as long as the last time. */
static void put_question(struct escrow *b, struct escrow_ask *a, usec_t now,
			 struct escrow_msg *out)
{
	usec_t wait = now - a->at + ASK_AGAIN_US;

	a->next_at =
		now + (wait < ASK_AGAIN_MOST_US ? wait : ASK_AGAIN_MOST_US);
	fill(b, out);
	out->type = ESCROW_ASK;
	out->id = a->id;
	out->share = b->share;
	out->tokens = b->tokens;
	out->demand = b->units ? 1 : escrow_demand_per_s(b, now);
}

/* Where the last answer to a peer is kept; else the oldest place. */
static struct escrow_given *given_to(struct escrow *b, uint64_t peer)
{
	struct escrow_given *g = &b->given[0];
	uint32_t i;

	for (i = 0; i < ESCROW_PEERS; i++) {
		if (b->given[i].peer == peer)
			return &b->given[i];
		if (b->given[i].peer == 0 || b->given[i].at < g->at)
			g = &b->given[i];
	}
	return g;
}

/* Decides what to give and subtracts it here. */
static void choose(struct escrow *b, const struct escrow_msg *msg, usec_t now,
		   struct escrow_given *g)
{
	uint32_t keep;

	if (b->units) {
		if (b->share > b->in_use)
			g->share = (b->share - b->in_use + 1) / 2;
		if (b->leaving)
			g->share = b->share;
		b->share -= g->share;
		return;
	}
	escrow_accrue(b, now);
	keep = keep_share(b, msg, now);
	g->share = b->share - keep;
	g->tokens = give_tokens(b, g->share, msg);
	b->share = keep;
	b->tokens -= g->tokens;
	if (g->share || g->tokens)
		b->cut_at = now + 1;
	escrow_accrue(b, now);
}

/*
 * The share that this VM keeps: of what both hold together, the part that is
 * its part of their demand; at least what can hold a token, for either.
 */
static uint32_t keep_share(const struct escrow *b, const struct escrow_msg *msg,
			   usec_t now)
{
	uint64_t own = escrow_demand_per_s(b, now);
	uint64_t theirs = msg->demand ? msg->demand : 1;
	uint64_t total = (uint64_t)b->share + msg->share;
	uint32_t keep;

	if (b->leaving)
		return 0;
	if (total > b->whole)
		return b->share;
	keep = (uint32_t)(total * own / (own + theirs));
	keep = keep_useful(b, keep, (uint32_t)total);
	if (keep >= b->share)
		return b->share;
	if (b->share - keep < b->share / MOVE_PARTS &&
	    msg->share >= escrow_useful(b))
		return b->share;
	return keep;
}

/*
 * Rounds a division so that neither part is too small to ever hold a token.
 * If only one can be, it is the asker's once there is a token to pass on.
 */
static uint32_t keep_useful(const struct escrow *b, uint32_t keep,
			    uint32_t total)
{
	uint32_t least = escrow_useful(b);

	if (total >= 2 * least) {
		if (keep > 0 && keep < least)
			return least;
		return total - keep < least ? total - least : keep;
	}
	if (b->share < least || b->tokens >= escrow_token(b))
		return 0;
	return b->share;
}

/*
 * The tokens to give along: so many that both buckets are equally full after,
 * and no more than the asker's will hold.
 */
static uint64_t give_tokens(const struct escrow *b, uint32_t give,
			    const struct escrow_msg *msg)
{
	uint64_t room = escrow_cap(b, msg->share + give);
	uint64_t keep = b->share - give;
	uint64_t total = (uint64_t)b->share + msg->share;
	unsigned __int128 sum = (unsigned __int128)b->tokens + msg->tokens;
	uint64_t most;
	uint64_t left;

	if (total == 0 || msg->tokens >= room)
		return 0;
	left = (uint64_t)(sum * keep / total);
	most = b->tokens > left ? b->tokens - left : 0;
	return most < room - msg->tokens ? most : room - msg->tokens;
}

/* The epoch, and nothing else yet; the bucket's name is the sender's to set. */
static void fill(const struct escrow *b, struct escrow_msg *out)
{
	out->epoch = b->epoch;
	out->id = 0;
	out->share = 0;
	out->tokens = 0;
	out->demand = 0;
}
