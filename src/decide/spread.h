#ifndef DECIDE_SPREAD_H
#define DECIDE_SPREAD_H

#include "decide/members.h"

#define SPREAD_NAME_BYTES 128
#define SPREAD_FANOUT	  3  /* peers asked each round */
#define SPREAD_UNSEEN_MAX 64 /* accepted writes not yet seen in a watch */

/*
 * Which objects of the platform a peer lacks. Every object carries the
 * platform's revision by which it was seen at the latest; a VM is "complete
 * to" R when it has everything up to R. A peer that is complete to R needs
 * only what carries a later revision, so a round costs two numbers and the
 * changes, however many VMs and objects there are. An object written through
 * this fleet and not yet seen in a watch has no revision: such "unseen" ones
 * are few, and are named in each question.
 */
struct spread;

struct spread_object {
	char name[SPREAD_NAME_BYTES];
	uint64_t version;
	uint64_t revision; /* 0: not yet seen in a watch */
};

/*
 * How far an answer went. A peer's next question carries it back, so that a
 * long answer comes in pieces; all zero begins anew.
 */
struct spread_cursor {
	uint64_t revision;
	uint64_t hash;
	uint64_t upto; /* the asker is complete to this after the last piece */
	bool ended;    /* that was the last piece */
	bool whole;    /* and nothing newer is here: freshness may be taken */
};

/* A question to a peer; its answer is matched to it by "id". */
struct spread_ask {
	uint64_t id;
	uint64_t complete;	     /* all up to this revision is here */
	struct spread_cursor cursor; /* of the same peer's last answer */
	uint32_t n;		     /* unseen ones that the asker has */
	struct spread_object unseen[SPREAD_UNSEEN_MAX];
};

struct spread *spread_create(void);
void spread_destroy(struct spread *s);
/*
 * An object came into force here: by a list or watch answer up to "revision",
 * by a peer with the revision it gave, or by an accepted write (revision 0).
 * False if memory is short.
 */
bool spread_seen(struct spread *s, const char *name, uint64_t version,
		 uint64_t revision);
/* A whole list, or a watch from spread_complete() on, has been applied. */
void spread_complete_to(struct spread *s, uint64_t revision);
uint64_t spread_complete(const struct spread *s);
void spread_ask_fill(const struct spread *s, uint64_t id,
		     struct spread_ask *out);
/* Bytes that an object takes in a message. */
typedef size_t (*spread_size_fn)(void *ctx, const char *name);

/*
 * What to send to a peer that asked: objects in the order of their revision,
 * then unseen ones that it did not name, up to "max" of them and "bytes", but
 * at least one if any is due. Returns how many. When the cursor has ended, the
 * asker that has applied all pieces may call spread_complete_to(upto).
 */
size_t spread_answer(const struct spread *s, const struct spread_ask *ask,
		     struct spread_object *out, size_t max, size_t bytes,
		     spread_size_fn size, void *ctx,
		     struct spread_cursor *cursor);
/*
 * Does this VM have all that the asker named as unseen? If not, it should ask
 * the asker in turn.
 */
bool spread_has(const struct spread *s, const struct spread_ask *ask);

/*
 * The peers to ask this round: one of another failure domain if there is
 * one, the others at random; "random" are as many random numbers.
 */
size_t spread_peers(const struct members *m, const uint64_t *random,
		    size_t n_random, vm_handle *out, size_t max);
/* Is a write accepted: is it known to a VM of another failure domain? */
struct spread_acceptance {
	char own_domain[NAME_MAX_BYTES];
	bool need_domain; /* the fleet has live VMs of other domains */
	bool need_peer;	  /* the fleet has other VMs at all */
	bool accepted;
};
void spread_acceptance_init(struct spread_acceptance *a,
			    const struct members *m, usec_t now);
/* A peer said that it has the version or a later one; true once accepted. */
bool spread_acceptance_heard(struct spread_acceptance *a,
			     const char *peer_domain);

#endif
