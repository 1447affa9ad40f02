#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

#include "decide/types.h"

/*
 * A team's rate and burst, divided over the VMs by their demand. Each VM holds
 * a token bucket with its part of both; the parts sum to one while all VMs
 * hear each other. A part of the whole is kept for each VM whatever its
 * demand, and a VM that is not heard keeps an even part, so that a cut or a
 * frozen VM takes away no more than that. No storage and no lease is needed:
 * all that is shared is each VM's demand, told every few hundred milliseconds.
 * Times are of the suspend-aware clock, in microseconds.
 */
struct quota;

#define QUOTA_TEAMS_MAX 4096
#define QUOTA_PEERS_MAX 1024

struct quota *quota_create(void);
void quota_destroy(struct quota *q);

/* Sets a team's limit; tokens beyond a lower one are dropped. */
bool quota_limit(struct quota *q, const char *team, uint32_t rate_per_s,
		 uint32_t burst, usec_t now);
/*
 * Counts one operation and takes a token for it. If there is none, returns
 * false with the time after which it may come back, in microseconds.
 */
bool quota_take(struct quota *q, const char *team, usec_t now,
		usec_t *retry_after);

/* A VM of the fleet, heard or not; "silent" if nothing came of it lately. */
void quota_peer(struct quota *q, const char *peer, bool silent);
/* It will not come back. */
void quota_peer_gone(struct quota *q, const char *peer);
/* Forgets a peer's demands; what it still has is told anew. */
void quota_peer_quiet(struct quota *q, const char *peer);
/* A peer's demand for a team, in operations a second. */
void quota_peer_demand(struct quota *q, const char *peer, const char *team,
		       double per_s);

typedef void (*quota_demand_fn)(void *ctx, const char *team, double per_s);
/* This VM's demand for each team it has any for, to be told to all peers. */
void quota_demands(struct quota *q, usec_t now, quota_demand_fn fn, void *ctx);
/* This VM's part of a team's limit, 0 to 1. */
double quota_part(struct quota *q, const char *team);

#endif
