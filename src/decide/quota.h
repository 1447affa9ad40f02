#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

#include "decide/types.h"

/*
 * A team's rate and burst over all VMs. One VM keeps each team's token bucket
 * and the others ask it: the live VM with the highest hash for the team, so
 * that all agree as far as they hear the same VMs. A VM that begins to keep a
 * team starts without tokens, since another may have given them out a moment
 * ago. One that hears fewer than half of the others keeps nothing.
 *
 * While nobody who keeps the team can be asked, a VM lets in an even part of
 * its rate by itself; keepers leave that much to each VM that they don't hear.
 * No storage and no lease is needed, and all VMs may fail at once. Times are
 * of the suspend-aware clock, in microseconds.
 */
struct quota;

#define QUOTA_TEAMS_MAX 4096
#define QUOTA_PEERS_MAX 8192

struct quota *quota_create(const char *self);
void quota_destroy(struct quota *q);

/* Sets a team's limit; tokens beyond a lower one are dropped. */
bool quota_limit(struct quota *q, const char *team, uint32_t rate_per_s,
		 uint32_t burst, usec_t now);
/* Another VM of the fleet: do both hear each other, and does it leave? */
void quota_peer(struct quota *q, const char *peer, bool heard, bool leaves,
		usec_t now);
/* It will not come back: nothing is left to it. */
void quota_peer_gone(struct quota *q, const char *peer, usec_t now);
/* All VMs were listed: if there are no others, this one keeps all teams. */
void quota_settle(struct quota *q, usec_t now);
/* Has it kept its teams for long enough to let in what they may ask for? */
bool quota_settled(const struct quota *q, usec_t now);
/* This VM stops: others keep its teams from now on. */
void quota_leave(struct quota *q, usec_t now);
/* This VM stood still: others have kept its teams meanwhile. */
void quota_lapse(struct quota *q, usec_t now);

/* The peer that keeps a team; NULL: this VM, or the team is not known. */
const char *quota_keeper(const struct quota *q, const char *team);

enum quota_answer {
	QUOTA_GRANTED,
	QUOTA_REFUSED, /* over the rate */
	QUOTA_NOT_KEPT /* not by this VM, as far as it knows */
};

/*
 * One operation of a team, at the VM that keeps it. If refused, "retry_after"
 * is the time until the next token. A team without a limit is let in.
 */
enum quota_answer quota_grant(struct quota *q, const char *team, usec_t now,
			      usec_t *retry_after);
/*
 * The same from this VM's even part, when no keeper answers. "draw", 0 to 1
 * and drawn anew each time, decides on parts of a token.
 */
bool quota_reserve(struct quota *q, const char *team, usec_t now, double draw,
		   usec_t *retry_after);

#endif
