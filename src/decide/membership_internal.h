#ifndef DECIDE_MEMBERSHIP_INTERNAL_H
#define DECIDE_MEMBERSHIP_INTERNAL_H

#include "decide/hash_index.h"
#include "decide/membership.h"

/* Internal to membership.c and membership_rank.c. */
struct vm {
	struct member m;
	uint64_t hash;	   /* of the name */
	uint64_t list_seq; /* newest list that contains it */
	usec_t known_at;   /* added by a gossip update at this time; else 0 */
	bool used;
};

struct membership {
	struct vm *vms;		 /* indexed by handle */
	uint32_t n;		 /* handles ever used; 0 is this VM */
	uint32_t used;		 /* VMs known */
	uint32_t capacity;	 /* allocated entries */
	uint64_t list_seq;	 /* sequence number of the newest list */
	struct hash_index index; /* from a name's hash to the handle */
};

#endif
