#ifndef DECIDE_RATE_LIMIT_H
#define DECIDE_RATE_LIMIT_H

#include "decide/types.h"

/*
 * Distributed rate limit: one token bucket per team, shared by all VMs.
 *
 * Each team has a keeper, the VM that holds the team's bucket; the other VMs
 * request tokens from it. The keeper is the live VM with the highest
 * rendezvous hash for the team, so VMs that see the same live peers choose the
 * same keeper. A VM that becomes keeper starts with an empty bucket, because
 * the previous keeper may have just granted the tokens. A VM that hears
 * from fewer than half of the other VMs grants nothing as a keeper.
 *
 * While no keeper can be reached, a VM admits requests from a local reserve,
 * an even share of the team's rate. Keepers reduce their own rate by that
 * share for each VM that they do not hear from. The scheme needs neither
 * storage nor leases, and survives the failure of all VMs at once. Times come
 * from a clock that includes suspend, in microseconds.
 */
struct rate_limit;

#define RATE_LIMIT_TEAMS_MAX 4096
#define RATE_LIMIT_PEERS_MAX 8192

struct rate_limit *rate_limit_create(const char *self);
void rate_limit_destroy(struct rate_limit *q);

/*
 * Begins a new configuration. Call rate_limit_keep() for each team of it, then
 * rate_limit_set(); teams that are not of it may give up their places.
 */
void rate_limit_begin(struct rate_limit *q);
void rate_limit_keep(struct rate_limit *q, const char *team);
/*
 * Sets a team's limit; tokens beyond a lower burst are dropped. Returns false
 * if the table is full of other teams of the configuration or memory is short.
 */
bool rate_limit_set(struct rate_limit *q, const char *team, uint32_t rate_per_s,
		    uint32_t burst, usec_t now);
/*
 * Updates the state of another VM. "heard": messages arrive in both
 * directions; "leaves": the VM is shutting down.
 */
void rate_limit_set_peer(struct rate_limit *q, const char *peer, bool heard,
			 bool leaves, usec_t now);
/* Removes a VM that will not return; no share is reserved for it any more. */
void rate_limit_remove_peer(struct rate_limit *q, const char *peer, usec_t now);
/* Call when all VMs are listed: a VM without peers is keeper of all teams. */
void rate_limit_peers_listed(struct rate_limit *q, usec_t now);
/* Returns true once this VM's buckets have had time to fill. */
bool rate_limit_is_warm(const struct rate_limit *q, usec_t now);
/* This VM shuts down: other VMs are keepers of its teams from now on. */
void rate_limit_leave(struct rate_limit *q, usec_t now);
/* This VM was suspended: other VMs were keepers of its teams meanwhile. */
void rate_limit_drop_tokens(struct rate_limit *q, usec_t now);

/* The peer that is a team's keeper; NULL: this VM, or the team is unknown. */
const char *rate_limit_keeper(const struct rate_limit *q, const char *team);

enum rate_limit_result {
	RATE_LIMIT_GRANTED,
	RATE_LIMIT_REFUSED,   /* over the rate */
	RATE_LIMIT_NOT_KEEPER /* this VM is not the team's keeper, or may
				  not grant: no quorum, or shutting down */
};

/*
 * What a team that asks for more than its rate gets first. A caller that was
 * refused comes back later than a token would have, so when tokens go to
 * whoever asks first, many go to operations that are late by then.
 */
enum rate_limit_rank {
	RATE_LIMIT_URGENT,  /* on time, of a route of the highest priority */
	RATE_LIMIT_ON_TIME, /* can still meet its route's latency target */
	RATE_LIMIT_LATE,
	RATE_LIMIT_RANKS
};

/*
 * Takes one token for an operation of a team; call at the team's keeper. The
 * last tokens are kept for operations that go first. If refused, "retry_after"
 * is the time until there is a token for this one, if no other takes it. A VM
 * is not the keeper of a team that it doesn't know.
 */
enum rate_limit_result rate_limit_take(struct rate_limit *q, const char *team,
				       enum rate_limit_rank rank, usec_t now,
				       usec_t *retry_after);
/*
 * Takes one token from this VM's local reserve, for use when no keeper
 * responds. "draw" is a fresh random number from 0 to 1, which decides on
 * fractions of a token. A team that is not known is refused.
 */
bool rate_limit_take_local(struct rate_limit *q, const char *team, usec_t now,
			   double draw, usec_t *retry_after);

#endif
