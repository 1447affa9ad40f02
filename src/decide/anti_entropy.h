#ifndef DECIDE_ANTI_ENTROPY_H
#define DECIDE_ANTI_ENTROPY_H

#include "decide/membership.h"

#define ANTI_ENTROPY_NAME_BYTES 128
#define ANTI_ENTROPY_FANOUT	3 /* peers queried in each round */
#define ANTI_ENTROPY_UNSEEN_MAX \
	64 /* accepted writes not yet observed by a watch */

/*
 * Anti-entropy between VMs: determines which configuration objects a peer
 * lacks.
 *
 * Every object carries the platform's revision up to which it was observed. A
 * VM is "complete to" revision R if it has all objects up to R. A peer that is
 * complete to R needs only the objects with later revisions, so a round costs
 * two numbers and the changes, regardless of the number of VMs and objects.
 *
 * An object that was written through this fleet has no revision until a watch
 * observes it. Such "unseen" objects are few, and every request lists those
 * that its sender has.
 */
struct anti_entropy;

struct anti_entropy_object {
	char name[ANTI_ENTROPY_NAME_BYTES];
	uint64_t version;
	uint64_t revision; /* 0: not yet observed by a watch */
};

/*
 * Where a partial response ended. The requester returns it in its next request
 * to the same peer, so that a long response is split into several; all zero
 * starts from the beginning.
 */
struct anti_entropy_cursor {
	uint64_t revision;    /* sort key of the last object sent; 0: none */
	uint64_t hash;	      /* of the name of the last object sent */
	uint64_t complete_to; /* the requester is complete to this revision
				 once it has applied all partial responses */
	bool is_last;	      /* this is the last partial response */
	bool is_up_to_date;   /* is_last, and the responder is still complete
				 to complete_to and no further */
};

/* A request to a peer; the response carries the same id. */
struct anti_entropy_request {
	uint64_t id;
	uint64_t complete; /* the requester is complete to this revision */
	struct anti_entropy_cursor cursor; /* from this peer's last response */
	uint32_t n;			   /* entries in unseen[] */
	struct anti_entropy_object
		unseen[ANTI_ENTROPY_UNSEEN_MAX]; /* the requester's */
};

struct anti_entropy *anti_entropy_create(void);
void anti_entropy_destroy(struct anti_entropy *s);
/*
 * Records an object that took effect here. "revision" is that of the list or
 * watch response it came in, the one given by the peer that sent it, or 0 for
 * an accepted write. False if memory is short.
 */
bool anti_entropy_record(struct anti_entropy *s, const char *name,
			 uint64_t version, uint64_t revision);
/* Call when a whole list, or a watch from anti_entropy_complete() on, is
 * applied. */
void anti_entropy_set_complete(struct anti_entropy *s, uint64_t revision);
/* Returns the revision to which this VM is complete. */
uint64_t anti_entropy_complete(const struct anti_entropy *s);
/* Fills in a request that starts from the beginning. */
void anti_entropy_fill_request(const struct anti_entropy *s, uint64_t id,
			       struct anti_entropy_request *out);
/* Returns the bytes that an object takes in a message. */
typedef size_t (*anti_entropy_size_fn)(void *ctx, const char *name);

/*
 * Selects the objects to send in response: those that the requester lacks in
 * order of revision, then the unseen ones that the request does not list. They
 * are at most "max" objects and at most "bytes" in size, but at least one if
 * any is due. Returns how many. After the response with cursor->is_last, a
 * requester that has applied all partial responses may call
 * anti_entropy_set_complete() with cursor->complete_to.
 */
size_t anti_entropy_respond(const struct anti_entropy *s,
			    const struct anti_entropy_request *ask,
			    struct anti_entropy_object *out, size_t max,
			    size_t bytes, anti_entropy_size_fn object_size,
			    void *ctx, struct anti_entropy_cursor *cursor);
/*
 * Returns true if this VM has all unseen objects that a request lists. If not,
 * it should send a request to the requester in turn.
 */
bool anti_entropy_has_all(const struct anti_entropy *s,
			  const struct anti_entropy_request *ask);

/*
 * Picks up to "max" peers to query in this round: one from another failure
 * domain if there is one, the others at random. "random" holds n_random random
 * numbers, one for each pick. Returns how many were picked.
 */
size_t anti_entropy_pick_peers(const struct membership *m,
			       const uint64_t *random, size_t n_random,
			       vm_handle *out, size_t max);
/*
 * Tracks whether a write is accepted: a VM of another failure domain has to
 * acknowledge it, or any other VM if there is no other failure domain. A VM
 * that is alone accepts it at once.
 */
struct write_acceptance {
	char own_domain[NAME_MAX_BYTES];
	bool need_domain; /* there may be VMs in other failure domains */
	bool need_peer;	  /* there may be other VMs */
	bool accepted;
};
/* Sets what a write needs to be accepted, given the VMs that may exist now. */
void write_acceptance_init(struct write_acceptance *a,
			   const struct membership *m, usec_t now);
/* A peer acknowledged the version or a later one; true once accepted. */
bool write_acceptance_on_ack(struct write_acceptance *a,
			     const char *peer_domain);

#endif
