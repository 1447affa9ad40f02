#include "decide/rate_limit.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A bucket accrues tokens for at most this time between two updates. */
#define REFILL_MAX_US (10 * USEC_PER_SEC)
/*
 * The local reserve holds at most the tokens of this time. The keeper may have
 * just granted the whole burst, and all reserves together may exceed the limit
 * only by a little.
 */
#define RESERVE_US (200 * USEC_PER_MSEC)
/*
 * A rank leaves the tokens of this time to each rank before it, at least one,
 * but no more than this part of what the bucket holds beyond one.
 */
#define RANK_US		    (25 * USEC_PER_MSEC)
#define RANK_BUCKET_DIVISOR 4
/* Time after which a new keeper's buckets count as filled. */
#define WARM_UP_US (1 * USEC_PER_SEC)
/* Stands for this VM where a peer's index is expected. */
#define SELF HANDLE_NONE

struct bucket {
	double tokens;
	usec_t accrued_at; /* tokens are accrued up to this time */
};

struct team {
	char name[NAME_MAX_BYTES];
	uint32_t rate;
	uint32_t burst;
	uint64_t generation;   /* newest configuration that has it */
	uint32_t keeper;       /* index of a peer, or SELF */
	struct bucket whole;   /* used while this VM is the keeper */
	struct bucket reserve; /* used while no keeper responds */
};

struct peer {
	char name[NAME_MAX_BYTES];
	uint64_t hash;
	bool heard; /* messages arrive in both directions */
	bool live;  /* heard and not shutting down: may be a keeper */
	bool gone;  /* left for good */
};

struct rate_limit {
	uint64_t hash; /* of this VM's name */
	bool leaving;
	bool has_quorum;  /* at least half of the other VMs are heard */
	usec_t quorum_at; /* when that began; 0: no quorum, or not known yet */
	bool stale;	  /* other VMs may have been keepers of its teams */
	uint64_t generation; /* of the configuration being set, or set last */
	uint32_t n_teams;
	uint32_t n_peers;
	uint32_t n_heard;
	uint32_t n_gone;
	struct team *teams;
	struct peer *peers;
};

static struct team *add_team(struct rate_limit *q);
static struct team *find_team(const struct rate_limit *q, const char *name);
static uint32_t find_peer(struct rate_limit *q, const char *name, bool create);
static uint64_t weight(const struct rate_limit *q, const struct team *t,
		       uint32_t peer);
static void set_keeper(struct team *t, uint32_t keeper, usec_t now);
static void pick_keeper(const struct rate_limit *q, struct team *t, usec_t now);
static void peer_changed(struct rate_limit *q, uint32_t peer, bool live,
			 usec_t now);
static void update_quorum(struct rate_limit *q, bool fell_silent, usec_t now);
static uint32_t vm_count(const struct rate_limit *q);
static double kept_for_others(enum rate_limit_rank rank, double per_s,
			      double max);
static void refill(struct bucket *b, double per_s, double max, usec_t now);

/* Creates an empty table for the VM named "self"; NULL if memory is short. */
struct rate_limit *rate_limit_create(const char *self)
{
	struct rate_limit *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->hash = XXH3_64bits(self, strlen(self));
	q->has_quorum = true;
	q->stale = true;
	return q;
}

/* Frees the table; NULL is allowed. */
void rate_limit_destroy(struct rate_limit *q)
{
	if (!q)
		return;
	free(q->teams);
	free(q->peers);
	free(q);
}

/*
 * Sets a team's rate and burst; tokens beyond a lower burst are dropped. A new
 * team starts with an empty bucket, because a VM that has just started does
 * not know what the team used before. Returns false if the table is full or
 * memory is short.
 */
bool rate_limit_set(struct rate_limit *q, const char *team, uint32_t rate_per_s,
		    uint32_t burst, usec_t now)
{
	struct team *t = find_team(q, team);

	if (!t) {
		t = add_team(q);
		if (!t)
			return false;
		memset(t, 0, sizeof(*t));
		strncpy(t->name, team, sizeof(t->name) - 1);
		t->keeper = SELF;
		t->whole.accrued_at = now;
		t->reserve.accrued_at = now;
		pick_keeper(q, t, now);
	}
	t->generation = q->generation;
	t->rate = rate_per_s;
	t->burst = burst;
	if (t->whole.tokens > burst)
		t->whole.tokens = burst;
	return true;
}

/* Begins a new configuration, which has none of the teams yet. */
void rate_limit_begin(struct rate_limit *q)
{
	q->generation++;
}

/* Keeps the place of a team that the new configuration has too. */
void rate_limit_keep(struct rate_limit *q, const char *team)
{
	struct team *t = find_team(q, team);

	if (t)
		t->generation = q->generation;
}

/*
 * Returns a place for another team, or NULL. If the table is full, a team that
 * the configuration no longer has gives up its own. Its tokens are lost, as
 * those of a new team, so that a team that returns is not granted its rate
 * twice.
 */
static struct team *add_team(struct rate_limit *q)
{
	struct team *teams;
	uint32_t i;

	if (q->n_teams < RATE_LIMIT_TEAMS_MAX) {
		teams = realloc(q->teams, (q->n_teams + 1) * sizeof(*teams));
		if (!teams)
			return NULL;
		q->teams = teams;
		return &q->teams[q->n_teams++];
	}
	for (i = 0; i < q->n_teams; i++) {
		if (q->teams[i].generation != q->generation)
			return &q->teams[i];
	}
	return NULL;
}

/* Records whether a peer is heard from and whether it is shutting down. */
void rate_limit_set_peer(struct rate_limit *q, const char *peer, bool heard,
			 bool leaves, usec_t now)
{
	uint32_t i = find_peer(q, peer, true);
	bool live = heard && !leaves;
	bool was_heard;

	if (i == HANDLE_NONE)
		return;
	if (q->peers[i].gone) {
		q->peers[i].gone = false;
		q->n_gone--;
	}
	was_heard = q->peers[i].heard;
	if (was_heard != heard)
		q->n_heard += heard ? 1 : (uint32_t)-1;
	q->peers[i].heard = heard;
	if (q->peers[i].live != live)
		peer_changed(q, i, live, now);
	update_quorum(q, was_heard && !heard, now);
}

/* Records that a peer has left for good. */
void rate_limit_remove_peer(struct rate_limit *q, const char *peer, usec_t now)
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
	update_quorum(q, false, now);
}

/*
 * Declares the list of peers complete. A VM without peers has been the keeper
 * of all teams since its start, so it may use the tokens accrued so far.
 */
void rate_limit_peers_listed(struct rate_limit *q, usec_t now)
{
	if (q->n_peers == 0) {
		q->stale = false;
		q->quorum_at = now;
	}
}

/*
 * Returns true once this VM has had a quorum of peers for long enough that its
 * buckets, which start empty, have accrued tokens.
 */
bool rate_limit_is_warm(const struct rate_limit *q, usec_t now)
{
	return q->has_quorum && q->quorum_at &&
	       now - q->quorum_at >= WARM_UP_US;
}

/* Stops being a keeper, for good; does nothing if called again. */
void rate_limit_leave(struct rate_limit *q, usec_t now)
{
	uint32_t i;

	if (q->leaving)
		return;
	q->leaving = true;
	for (i = 0; i < q->n_teams; i++)
		pick_keeper(q, &q->teams[i], now);
}

/* Empties all buckets. */
void rate_limit_drop_tokens(struct rate_limit *q, usec_t now)
{
	uint32_t i;

	for (i = 0; i < q->n_teams; i++) {
		q->teams[i].whole = (struct bucket){ .accrued_at = now };
		q->teams[i].reserve = (struct bucket){ .accrued_at = now };
	}
}

/*
 * Returns the name of the peer that is a team's keeper, or NULL if the keeper
 * is this VM or the team is not known.
 */
const char *rate_limit_keeper(const struct rate_limit *q, const char *team)
{
	const struct team *t = find_team(q, team);

	return !t || t->keeper == SELF ? NULL : q->peers[t->keeper].name;
}

/*
 * Takes a token from the keeper's bucket. Its rate and burst are the team's,
 * less an even share for each VM that is not heard from.
 */
enum rate_limit_result rate_limit_take(struct rate_limit *q, const char *team,
				       enum rate_limit_rank rank, usec_t now,
				       usec_t *retry_after)
{
	struct team *t = find_team(q, team);
	double heard_share;
	double per_s;
	double max;
	double needed;

	if (!t || t->keeper != SELF || !q->has_quorum || q->leaving)
		return RATE_LIMIT_NOT_KEEPER;
	heard_share = (double)(1 + q->n_heard) / vm_count(q);
	per_s = t->rate * heard_share;
	max = t->burst * heard_share;
	refill(&t->whole, per_s, max, now);
	needed = 1 + kept_for_others(rank, per_s, max);
	if (t->whole.tokens >= needed) {
		t->whole.tokens -= 1;
		return RATE_LIMIT_GRANTED;
	}
	*retry_after = t->rate > 0 ? (usec_t)((needed - t->whole.tokens) /
					      per_s * USEC_PER_SEC)
				   : USEC_PER_SEC;
	return RATE_LIMIT_REFUSED;
}

/*
 * Returns how many tokens an operation leaves to those that go first. "per_s"
 * and "max" are the rate and the size of the bucket.
 */
static double kept_for_others(enum rate_limit_rank rank, double per_s,
			      double max)
{
	double each = per_s * RANK_US / USEC_PER_SEC;
	double most = (max - 1) / RANK_BUCKET_DIVISOR;

	if (each < 1)
		each = 1;
	if (each > most)
		each = most > 0 ? most : 0;
	return each * rank;
}

/*
 * Takes a token from this VM's local reserve. With many VMs the reserve holds
 * far less than one token, so a fraction of a token admits an operation with
 * that probability.
 */
bool rate_limit_take_local(struct rate_limit *q, const char *team, usec_t now,
			   double draw, usec_t *retry_after)
{
	struct team *t = find_team(q, team);
	double rate;

	if (!t) {
		*retry_after = USEC_PER_SEC;
		return false;
	}
	rate = (double)t->rate / vm_count(q);
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
	/* The fraction is spent whether or not the draw succeeded. */
	t->reserve.tokens = 0;
	*retry_after = rate > 1 ? (usec_t)(USEC_PER_SEC / rate) : USEC_PER_SEC;
	return false;
}

/* Returns a team by its name, or NULL. */
static struct team *find_team(const struct rate_limit *q, const char *name)
{
	uint32_t i;

	for (i = 0; i < q->n_teams; i++) {
		if (strcmp(q->teams[i].name, name) == 0)
			return &q->teams[i];
	}
	return NULL;
}

/*
 * Returns the index of a peer, adding the peer if "create" is set. HANDLE_NONE
 * if there is none, the table is full or memory is short.
 */
static uint32_t find_peer(struct rate_limit *q, const char *name, bool create)
{
	struct peer *peers;
	uint32_t i;

	for (i = 0; i < q->n_peers; i++) {
		if (strcmp(q->peers[i].name, name) == 0)
			return i;
	}
	if (!create || q->n_peers == RATE_LIMIT_PEERS_MAX)
		return HANDLE_NONE;
	peers = realloc(q->peers, (q->n_peers + 1) * sizeof(*peers));
	if (!peers)
		return HANDLE_NONE;
	q->peers = peers;
	memset(&q->peers[q->n_peers], 0, sizeof(*peers));
	strncpy(q->peers[q->n_peers].name, name, NAME_MAX_BYTES - 1);
	q->peers[q->n_peers].hash = XXH3_64bits(name, strlen(name));
	return q->n_peers++;
}

/*
 * Returns the rendezvous hash of a team and a VM, a peer or SELF. The live VM
 * with the highest one is the team's keeper.
 */
static uint64_t weight(const struct rate_limit *q, const struct team *t,
		       uint32_t peer)
{
	uint64_t hash = peer == SELF ? q->hash : q->peers[peer].hash;

	return XXH3_64bits_withSeed(t->name, strlen(t->name), hash);
}

/* Sets a team's keeper. If that is now this VM, its bucket starts empty. */
static void set_keeper(struct team *t, uint32_t keeper, usec_t now)
{
	if (t->keeper == keeper)
		return;
	t->keeper = keeper;
	if (keeper == SELF)
		t->whole = (struct bucket){ .accrued_at = now };
}

/*
 * Chooses a team's keeper among this VM and its live peers. A VM that is
 * leaving remains the keeper only if there is no live peer.
 */
static void pick_keeper(const struct rate_limit *q, struct team *t, usec_t now)
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

/*
 * Handles one peer that became live or ceased to be: only teams for which it
 * becomes, or was, the keeper change.
 */
static void peer_changed(struct rate_limit *q, uint32_t peer, bool live,
			 usec_t now)
{
	uint32_t i;

	q->peers[peer].live = live;
	for (i = 0; i < q->n_teams; i++) {
		struct team *t = &q->teams[i];

		if (!live && t->keeper == peer)
			pick_keeper(q, t, now);
		else if (live && ((t->keeper == SELF && q->leaving) ||
				  weight(q, t, peer) > weight(q, t, t->keeper)))
			set_keeper(t, peer, now);
	}
}

/*
 * Recomputes whether at least half of the other VMs are heard from. While this
 * VM was without that quorum, other VMs may have been keepers of its teams, so
 * its tokens are dropped when the quorum returns. They are kept if the quorum
 * was lost only because a newly listed VM has not been heard from yet.
 */
static void update_quorum(struct rate_limit *q, bool fell_silent, usec_t now)
{
	q->has_quorum = q->n_heard * 2 >= q->n_peers - q->n_gone;
	if (!q->has_quorum)
		q->quorum_at = 0;
	else if (q->quorum_at == 0 && q->n_heard > 0)
		q->quorum_at = now;
	if (!q->has_quorum) {
		q->stale |= fell_silent;
	} else if (q->stale && q->n_heard > 0) {
		q->stale = false;
		rate_limit_drop_tokens(q, now);
	}
}

/* Returns the number of VMs that may admit operations, heard from or not. */
static uint32_t vm_count(const struct rate_limit *q)
{
	return 1 + q->n_peers - q->n_gone;
}

/* Accrues the tokens of the elapsed time, up to "max" in the bucket. */
static void refill(struct bucket *b, double per_s, double max, usec_t now)
{
	usec_t elapsed = now - b->accrued_at;

	if (elapsed < 0)
		elapsed = 0;
	if (elapsed > REFILL_MAX_US)
		elapsed = REFILL_MAX_US;
	b->tokens += per_s * (double)elapsed / (double)USEC_PER_SEC;
	b->accrued_at = now;
	if (b->tokens > max)
		b->tokens = max;
}
