#include "decide/quota.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Longest time for which tokens are counted up at once. */
#define REFILL_MAX_US (10 * USEC_PER_SEC)
/*
 * A VM's even part is counted up over this time only: the keeper may have given
 * out the whole burst, and a site allows little more than the limit.
 */
#define RESERVE_US (200 * USEC_PER_MSEC)
/* Tokens of so long are what a team may expect to find at a VM. */
#define SETTLED_US (1 * USEC_PER_SEC)
/* The VM itself, where an index of a peer is meant. */
#define SELF HANDLE_NONE

struct bucket {
	double tokens;
	usec_t at; /* counted up to then */
};

struct team {
	char name[NAME_MAX_BYTES];
	uint32_t rate;
	uint32_t burst;
	uint32_t keeper; /* index of a peer, or SELF */
	struct bucket whole;
	struct bucket reserve;
};

struct peer {
	char name[NAME_MAX_BYTES];
	uint64_t hash;
	bool heard;
	bool live; /* heard, and stays: it may keep teams */
	bool gone;
};

struct quota {
	uint64_t hash; /* of this VM's name */
	bool leaving;
	bool company;	   /* at least half of the others are heard */
	usec_t company_at; /* since then; 0: not, or not known yet */
	bool stale;	   /* others may have kept this VM's teams meanwhile */
	uint32_t n_teams;
	uint32_t n_peers;
	uint32_t n_heard;
	uint32_t n_gone;
	struct team *teams;
	struct peer *peers;
};

static struct team *find_team(const struct quota *q, const char *name);
static uint32_t find_peer(struct quota *q, const char *name, bool make);
static uint64_t weight(const struct quota *q, const struct team *t,
		       uint32_t peer);
static void set_keeper(struct team *t, uint32_t keeper, usec_t now);
static void choose_keeper(const struct quota *q, struct team *t, usec_t now);
static void peer_changed(struct quota *q, uint32_t peer, bool live, usec_t now);
static void weigh_company(struct quota *q, bool fell_silent, usec_t now);
static uint32_t vms(const struct quota *q);
static void refill(struct bucket *b, double per_s, double most, usec_t now);

/* Makes an empty table for the VM named "self"; NULL if memory is short. */
struct quota *quota_create(const char *self)
{
	struct quota *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->hash = XXH3_64bits(self, strlen(self));
	q->company = true;
	q->stale = true;
	return q;
}

/* Frees the table; NULL is allowed. */
void quota_destroy(struct quota *q)
{
	if (!q)
		return;
	free(q->teams);
	free(q->peers);
	free(q);
}

/*
 * Sets a team's rate and burst. A team that is new starts without tokens: a VM
 * that has just started can't know what the team used a moment ago.
 */
bool quota_limit(struct quota *q, const char *team, uint32_t rate_per_s,
		 uint32_t burst, usec_t now)
{
	struct team *t = find_team(q, team);
	struct team *more;

	if (!t) {
		if (q->n_teams == QUOTA_TEAMS_MAX)
			return false;
		more = realloc(q->teams, (q->n_teams + 1) * sizeof(*more));
		if (!more)
			return false;
		q->teams = more;
		t = &q->teams[q->n_teams++];
		memset(t, 0, sizeof(*t));
		strncpy(t->name, team, sizeof(t->name) - 1);
		t->keeper = SELF;
		t->whole.at = now;
		t->reserve.at = now;
		choose_keeper(q, t, now);
	}
	t->rate = rate_per_s;
	t->burst = burst;
	if (t->whole.tokens > burst)
		t->whole.tokens = burst;
	return true;
}

/* Notes whether a VM of the fleet is heard and can keep teams. */
void quota_peer(struct quota *q, const char *peer, bool heard, bool leaves,
		usec_t now)
{
	uint32_t i = find_peer(q, peer, true);
	bool live = heard && !leaves;
	bool was;

	if (i == HANDLE_NONE)
		return;
	if (q->peers[i].gone) {
		q->peers[i].gone = false;
		q->n_gone--;
	}
	was = q->peers[i].heard;
	if (was != heard)
		q->n_heard += heard ? 1 : (uint32_t)-1;
	q->peers[i].heard = heard;
	if (q->peers[i].live != live)
		peer_changed(q, i, live, now);
	weigh_company(q, was && !heard, now);
}

/* Notes that a VM has left for good. */
void quota_peer_gone(struct quota *q, const char *peer, usec_t now)
{
	uint32_t i = find_peer(q, peer, false);

	if (i == HANDLE_NONE || q->peers[i].gone)
		return;
	if (q->peers[i].heard)
		q->n_heard--;
	q->peers[i].heard = false;
	if (q->peers[i].live)
		peer_changed(q, i, false, now);
	q->peers[i].gone = true;
	q->n_gone++;
	weigh_company(q, false, now);
}

/* A VM that is alone has kept its teams from the beginning. */
void quota_settle(struct quota *q, usec_t now)
{
	if (q->n_peers == 0) {
		q->stale = false;
		q->company_at = now;
	}
}

/* A VM that has just begun to keep teams has no tokens for them yet. */
bool quota_settled(const struct quota *q, usec_t now)
{
	return q->company && q->company_at && now - q->company_at >= SETTLED_US;
}

/* Gives up all teams for good. */
void quota_leave(struct quota *q, usec_t now)
{
	uint32_t i;

	if (q->leaving)
		return;
	q->leaving = true;
	for (i = 0; i < q->n_teams; i++)
		choose_keeper(q, &q->teams[i], now);
}

/* Forgets all tokens. */
void quota_lapse(struct quota *q, usec_t now)
{
	uint32_t i;

	for (i = 0; i < q->n_teams; i++) {
		q->teams[i].whole = (struct bucket){ .at = now };
		q->teams[i].reserve = (struct bucket){ .at = now };
	}
}

/* Names the peer that keeps a team. */
const char *quota_keeper(const struct quota *q, const char *team)
{
	const struct team *t = find_team(q, team);

	return !t || t->keeper == SELF ? NULL : q->peers[t->keeper].name;
}

/* Takes a token of the whole limit, less what is left to VMs not heard. */
enum quota_answer quota_grant(struct quota *q, const char *team, usec_t now,
			      usec_t *retry_after)
{
	struct team *t = find_team(q, team);
	double heard;

	if (!t)
		return QUOTA_GRANTED;
	if (t->keeper != SELF || !q->company || q->leaving)
		return QUOTA_NOT_KEPT;
	heard = (double)(1 + q->n_heard) / vms(q);
	refill(&t->whole, t->rate * heard, t->burst * heard, now);
	if (t->whole.tokens >= 1) {
		t->whole.tokens -= 1;
		return QUOTA_GRANTED;
	}
	*retry_after = t->rate > 0 ? (usec_t)((1 - t->whole.tokens) /
					      (t->rate * heard) * USEC_PER_SEC)
				   : USEC_PER_SEC;
	return QUOTA_REFUSED;
}

/*
 * Takes a token of this VM's even part. That is far less than one where VMs
 * are many, so a part of a token lets an operation in as often as it says.
 */
bool quota_reserve(struct quota *q, const char *team, usec_t now, double draw,
		   usec_t *retry_after)
{
	struct team *t = find_team(q, team);
	double rate;

	if (!t)
		return true;
	rate = (double)t->rate / vms(q);
	refill(&t->reserve, rate,
	       rate * (double)RESERVE_US / (double)USEC_PER_SEC, now);
	if (t->reserve.tokens >= 1) {
		t->reserve.tokens -= 1;
		return true;
	}
	if (draw < t->reserve.tokens) {
		t->reserve.tokens = 0;
		return true;
	}
	/* The draw is made once for this part. */
	t->reserve.tokens = 0;
	*retry_after = rate > 1 ? (usec_t)(USEC_PER_SEC / rate) : USEC_PER_SEC;
	return false;
}

static struct team *find_team(const struct quota *q, const char *name)
{
	uint32_t i;

	for (i = 0; i < q->n_teams; i++) {
		if (strcmp(q->teams[i].name, name) == 0)
			return &q->teams[i];
	}
	return NULL;
}

/* Finds a peer, or makes it; HANDLE_NONE if there is none. */
static uint32_t find_peer(struct quota *q, const char *name, bool make)
{
	struct peer *more;
	uint32_t i;

	for (i = 0; i < q->n_peers; i++) {
		if (strcmp(q->peers[i].name, name) == 0)
			return i;
	}
	if (!make || q->n_peers == QUOTA_PEERS_MAX)
		return HANDLE_NONE;
	more = realloc(q->peers, (q->n_peers + 1) * sizeof(*more));
	if (!more)
		return HANDLE_NONE;
	q->peers = more;
	memset(&q->peers[q->n_peers], 0, sizeof(*more));
	strncpy(q->peers[q->n_peers].name, name, NAME_MAX_BYTES - 1);
	q->peers[q->n_peers].hash = XXH3_64bits(name, strlen(name));
	return q->n_peers++;
}

/* The VM with the highest weight keeps the team (rendezvous hashing). */
static uint64_t weight(const struct quota *q, const struct team *t,
		       uint32_t peer)
{
	uint64_t hash = peer == SELF ? q->hash : q->peers[peer].hash;

	return XXH3_64bits_withSeed(t->name, strlen(t->name), hash);
}

/* A VM that begins to keep a team starts without tokens. */
static void set_keeper(struct team *t, uint32_t keeper, usec_t now)
{
	if (t->keeper == keeper)
		return;
	t->keeper = keeper;
	if (keeper == SELF)
		t->whole = (struct bucket){ .at = now };
}

/* Finds the keeper among all; a VM that leaves keeps what nobody else can. */
static void choose_keeper(const struct quota *q, struct team *t, usec_t now)
{
	uint32_t best = SELF;
	uint32_t i;

	for (i = 0; i < q->n_peers; i++) {
		if (!q->peers[i].live)
			continue;
		if ((best == SELF && q->leaving) ||
		    weight(q, t, i) > weight(q, t, best))
			best = i;
	}
	set_keeper(t, best, now);
}

/* One VM came or went: only the teams that it keeps, or kept, change. */
static void peer_changed(struct quota *q, uint32_t peer, bool live, usec_t now)
{
	uint32_t i;

	q->peers[peer].live = live;
	for (i = 0; i < q->n_teams; i++) {
		struct team *t = &q->teams[i];

		if (!live && t->keeper == peer)
			choose_keeper(q, t, now);
		else if (live && ((t->keeper == SELF && q->leaving) ||
				  weight(q, t, peer) > weight(q, t, t->keeper)))
			set_keeper(t, peer, now);
	}
}

/*
 * Others may have kept the teams while this VM was without company, unless it
 * lacks nothing but the word of a VM that has just been listed.
 */
static void weigh_company(struct quota *q, bool fell_silent, usec_t now)
{
	q->company = q->n_heard * 2 >= q->n_peers - q->n_gone;
	if (!q->company)
		q->company_at = 0;
	else if (q->company_at == 0 && q->n_heard > 0)
		q->company_at = now;
	if (!q->company) {
		q->stale |= fell_silent;
	} else if (q->stale && q->n_heard > 0) {
		q->stale = false;
		quota_lapse(q, now);
	}
}

/* VMs that may let operations in, heard or not. */
static uint32_t vms(const struct quota *q)
{
	return 1 + q->n_peers - q->n_gone;
}

/* Adds the tokens of the time since, up to "most". */
static void refill(struct bucket *b, double per_s, double most, usec_t now)
{
	usec_t since = now - b->at;

	if (since < 0)
		since = 0;
	if (since > REFILL_MAX_US)
		since = REFILL_MAX_US;
	b->tokens += per_s * (double)since / (double)USEC_PER_SEC;
	b->at = now;
	if (b->tokens > most)
		b->tokens = most;
}
