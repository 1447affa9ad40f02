#ifndef DECIDE_REPLICA_LOSS_H
#define DECIDE_REPLICA_LOSS_H

#include "decide/types.h"

/*
 * Replicas that left a group whose service replicates synchronously. A commit
 * is acknowledged there once some replica has received it, so one that left may
 * be the only one to hold what was acknowledged; no other may be promoted then.
 * A database that was promoted has left the replicas too: until another one has
 * followed, it may be the only one with the log that it led on with. That ends
 *   - when the replica is back, with the log that it had;
 *   - when a replica holds the log up to an end that the primary reported after
 *     the loss, or up to that of the lost one, where it is known.
 */
#define REPLICA_LOSS_MAX 8

struct replica_loss_entry {
	char id[NAME_MAX_BYTES];
	uint64_t incarnation; /* start time of its process */
	usec_t since;
	bool has_end;
	struct log_pos end; /* another log that has it holds what was lost */
};

struct replica_loss {
	uint32_t n;
	struct replica_loss_entry entry[REPLICA_LOSS_MAX]; /* oldest first */
};

/*
 * A replica left the group, or its process started anew without its log. "end"
 * is that of its log if it was fenced; NULL: unknown.
 */
void replica_loss_note(struct replica_loss *l, const char *id,
		       uint64_t incarnation, const struct log_pos *end,
		       usec_t now);
/* A database was promoted; its log is the group's from then on. */
void replica_loss_promoted(struct replica_loss *l, const char *id,
			   uint64_t incarnation, const struct log_pos *end,
			   usec_t now);
/* A replica joined the group. */
void replica_loss_joined(struct replica_loss *l, const char *id,
			 uint64_t incarnation);
/* The primary reported this end of its log to a request of "asked_at". */
void replica_loss_primary_end(struct replica_loss *l, usec_t asked_at,
			      struct log_pos end);
/* A replica of the group reported that it has received the log up to "end". */
void replica_loss_replica_end(struct replica_loss *l, struct log_pos end);
/* Returns true if the primary's end is still to be learned for a loss. */
bool replica_loss_needs_end(const struct replica_loss *l);
/*
 * Returns true if acknowledged commits may be held only by replicas that left.
 * "sync_replicas" receive each commit before it is acknowledged; 0: none must.
 */
bool replica_loss_may_hide(const struct replica_loss *l,
			   uint32_t sync_replicas);

#endif
