#include "decide/quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Part of a limit that is divided evenly, so that a VM without recent demand
 * serves its first requests. */
#define EVEN_PART 0.25
/* Demand is averaged over about this time. */
#define DEMAND_US (1 * USEC_PER_SEC)
/* Demand below this counts as none, operations a second. */
#define DEMAND_MIN 0.05
/* Demand counts as far as peers were told of it, so that all parts sum to one;
 * below this, operations a second, it counts at once. */
#define DEMAND_FREE 2.0
/* Demand that peers know nothing of may have begun everywhere: this part of it
 * is assumed at each of them. */
#define SUDDEN_PART 0.5
/* Longest time for which tokens are counted up at once. */
#define REFILL_MAX_US (10 * USEC_PER_SEC)

struct team {
	char name[NAME_MAX_BYTES];
	uint32_t rate;
	uint32_t burst;
	double tokens;
	usec_t at;
	double demand; /* of this VM, operations a second */
	double told;   /* of it, what peers were told last */
	usec_t demand_at;
	double *peers; /* demand by peer, room for n_room */
	uint32_t n_room;
};

struct peer {
	char name[NAME_MAX_BYTES];
	bool silent;
	bool gone;
};

struct quota {
	uint32_t n_teams;
	uint32_t n_peers;
	struct team *teams;
	struct peer *peers;
};

static struct team *find_team(struct quota *q, const char *name);
static uint32_t find_peer(struct quota *q, const char *name, bool make);
static void decay(struct team *t, usec_t now);
static double part(const struct quota *q, const struct team *t);
static void refill(const struct quota *q, struct team *t, usec_t now);

/* Makes an empty table; NULL if memory is short. */
struct quota *quota_create(void)
{
	return calloc(1, sizeof(struct quota));
}

/* Frees the table; NULL is allowed. */
void quota_destroy(struct quota *q)
{
	uint32_t i;

	if (!q)
		return;
	for (i = 0; i < q->n_teams; i++)
		free(q->teams[i].peers);
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
		t->at = now;
		t->demand_at = now;
	}
	refill(q, t, now);
	t->rate = rate_per_s;
	t->burst = burst;
	refill(q, t, now);
	return true;
}

/* Counts an operation as demand, and takes a token if there is one. */
bool quota_take(struct quota *q, const char *team, usec_t now,
		usec_t *retry_after)
{
	struct team *t = find_team(q, team);
	double per_s;

	if (!t)
		return true;
	decay(t, now);
	t->demand += (double)USEC_PER_SEC / (double)DEMAND_US;
	refill(q, t, now);
	if (t->tokens >= 1) {
		t->tokens -= 1;
		return true;
	}
	per_s = (double)t->rate * part(q, t);
	*retry_after = per_s > 0 ? (usec_t)((1 - t->tokens) / per_s *
					    (double)USEC_PER_SEC)
				 : USEC_PER_SEC;
	return false;
}

/* Notes a VM of the fleet. */
void quota_peer(struct quota *q, const char *peer, bool silent)
{
	uint32_t i = find_peer(q, peer, true);

	if (i == HANDLE_NONE)
		return;
	q->peers[i].silent = silent;
	q->peers[i].gone = false;
}

/* Notes that a VM has left for good. */
void quota_peer_gone(struct quota *q, const char *peer)
{
	uint32_t i = find_peer(q, peer, false);

	if (i != HANDLE_NONE)
		q->peers[i].gone = true;
}

/* Takes all of a peer's demands for nothing. */
void quota_peer_quiet(struct quota *q, const char *peer)
{
	uint32_t i = find_peer(q, peer, false);
	uint32_t t;

	for (t = 0; i != HANDLE_NONE && t < q->n_teams; t++) {
		if (i < q->teams[t].n_room)
			q->teams[t].peers[i] = 0;
	}
}

/* Notes a peer's demand; unknown teams and peers are left out. */
void quota_peer_demand(struct quota *q, const char *peer, const char *team,
		       double per_s)
{
	struct team *t = find_team(q, team);
	uint32_t i = find_peer(q, peer, false);
	double *more;

	if (!t || i == HANDLE_NONE)
		return;
	if (i >= t->n_room) {
		more = realloc(t->peers, q->n_peers * sizeof(*more));
		if (!more)
			return;
		memset(more + t->n_room, 0,
		       (q->n_peers - t->n_room) * sizeof(*more));
		t->peers = more;
		t->n_room = q->n_peers;
	}
	t->peers[i] = per_s > 0 && isfinite(per_s) ? per_s : 0;
}

/* Tells this VM's demand, team by team, and notes what was told. */
void quota_demands(struct quota *q, usec_t now, quota_demand_fn fn, void *ctx)
{
	uint32_t i;

	for (i = 0; i < q->n_teams; i++) {
		struct team *t = &q->teams[i];

		decay(t, now);
		t->told = t->demand >= DEMAND_MIN ? t->demand : 0;
		if (t->told > 0)
			fn(ctx, t->name, t->told);
	}
}

/* Tells this VM's part; 0 for a team that is not known. */
double quota_part(struct quota *q, const char *team)
{
	const struct team *t = find_team(q, team);

	return t ? part(q, t) : 0;
}

static struct team *find_team(struct quota *q, const char *name)
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
	return q->n_peers++;
}

/* Lets the demand fade with time. */
static void decay(struct team *t, usec_t now)
{
	usec_t since = now - t->demand_at;

	if (since <= 0)
		return;
	t->demand *= exp(-(double)since / (double)DEMAND_US);
	t->demand_at = now;
}

/*
 * This VM's part of the whole: an even share of what is divided evenly, and
 * of the rest as much as it has of the demand of all VMs that are heard. What
 * VMs that are not heard may be using, an even part each, is left to them.
 */
static double part(const struct quota *q, const struct team *t)
{
	double others = 0;
	double mine = fmax(t->told, fmin(t->demand, DEMAND_FREE));
	uint32_t silent = 0;
	uint32_t vms = 1;
	double even;
	uint32_t i;

	for (i = 0; i < q->n_peers; i++) {
		if (q->peers[i].gone)
			continue;
		vms++;
		if (q->peers[i].silent)
			silent++;
		else if (i < t->n_room)
			others += t->peers[i];
	}
	even = 1.0 / vms;
	if (t->told <= 0)
		others = fmax(others, mine * SUDDEN_PART * (vms - 1 - silent));
	if (mine + others < DEMAND_MIN)
		return even;
	return (1 - silent * even) * (EVEN_PART / (vms - silent) +
				      (1 - EVEN_PART) * mine / (mine + others));
}

/* Adds the tokens of the time since, up to this VM's part of the burst. */
static void refill(const struct quota *q, struct team *t, usec_t now)
{
	double mine = part(q, t);
	double most = t->burst * mine;
	usec_t since = now - t->at;

	if (since < 0)
		since = 0;
	if (since > REFILL_MAX_US)
		since = REFILL_MAX_US;
	t->tokens +=
		(double)t->rate * mine * (double)since / (double)USEC_PER_SEC;
	t->at = now;
	if (most < 1)
		most = 1;
	if (t->tokens > most)
		t->tokens = most;
}
