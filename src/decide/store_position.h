#ifndef DECIDE_STORE_POSITION_H
#define DECIDE_STORE_POSITION_H

#include "decide/types.h"

/*
 * A position in the history of the platform's store. When the store is restored
 * from an older copy, a new era begins: revisions fall back and are given out
 * again to other contents. So positions are ordered by era first.
 */
struct store_position {
	uint64_t era; /* 0: of a store that tells no era */
	uint64_t revision;
};

/* Returns a number below, equal to or above 0, like memcmp(). */
int store_position_compare(const struct store_position *a,
			   const struct store_position *b);

/*
 * Forms the fencing token of a position: unique, and higher for each later
 * position. Returns false if the position is too large for one.
 */
bool store_position_token(const struct store_position *p, uint64_t *token);

/* How a reply of the store relates to the newest era known. */
enum store_era_view {
	STORE_ERA_CURRENT,  /* of the known era, or the first one heard of */
	STORE_ERA_PAST,	    /* of an earlier era: the reply must not be used */
	STORE_ERA_RESTORED, /* of a later era: what was read before may be lost
			     */
};

/*
 * The newest era that a VM knows of. An era is settled once everything that the
 * era before it had allowed has ended.
 */
struct store_era {
	bool is_known;
	uint64_t era;
	usec_t known_since; /* when this VM, or a peer, first heard of it */
};

enum store_era_view store_era_note(struct store_era *s, uint64_t era,
				   usec_t since);
bool store_era_is_settled(const struct store_era *s, usec_t now, usec_t lasts);

#endif
