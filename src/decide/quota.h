#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

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
struct quota;

#define QUOTA_TEAMS_MAX 4096
#define QUOTA_PEERS_MAX 8192

struct quota *quota_create(const char *self);
void quota_destroy(struct quota *q);

/*
 * Sets a team's limit; tokens beyond a lower burst are dropped. Returns false
 * if the table is full or memory is short.
 */
bool quota_limit(struct quota *q, const char *team, uint32_t rate_per_s,
		 uint32_t burst, usec_t now);
/*
 * Updates the state of another VM. "heard": messages arrive in both
 * directions; "leaves": the VM is shutting down.
 */
void quota_peer(struct quota *q, const char *peer, bool heard, bool leaves,
		usec_t now);
/* Removes a VM that will not return; no share is reserved for it any more. */
void quota_peer_gone(struct quota *q, const char *peer, usec_t now);
/* Call when all VMs are listed: a VM without peers is keeper of all teams. */
void quota_settle(struct quota *q, usec_t now);
/* Returns true once this VM's buckets have had time to fill. */
bool quota_settled(const struct quota *q, usec_t now);
/* This VM shuts down: other VMs are keepers of its teams from now on. */
void quota_leave(struct quota *q, usec_t now);
/* This VM was suspended: other VMs were keepers of its teams meanwhile. */
void quota_lapse(struct quota *q, usec_t now);

/* The peer that is a team's keeper; NULL: this VM, or the team is unknown. */
const char *quota_keeper(const struct quota *q, const char *team);

enum quota_answer {
	QUOTA_GRANTED,
	QUOTA_REFUSED, /* over the rate */
	QUOTA_NOT_KEPT /* this VM is not the team's keeper */
};

/*
 * Takes one token for an operation of a team; call at the team's keeper. If
 * refused, "retry_after" is the time until the next token. A team that has no
 * limit is always granted.
 */
enum quota_answer quota_grant(struct quota *q, const char *team, usec_t now,
			      usec_t *retry_after);
/*
 * Takes one token from this VM's local reserve, for use when no keeper
 * responds. "draw" is a fresh random number from 0 to 1, which decides on
 * fractions of a token.
 */
bool quota_reserve(struct quota *q, const char *team, usec_t now, double draw,
		   usec_t *retry_after);

#endif
