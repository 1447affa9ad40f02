#ifndef DECIDE_MEMBERS_OWN_H
#define DECIDE_MEMBERS_OWN_H

#include "decide/hash_index.h"
#include "decide/members.h"

/* Shared by members.c and members_rank.c alone. */
struct vm {
	struct member m;
	uint64_t hash;	 /* of the name */
	uint64_t list;	 /* newest list that had it */
	usec_t known_at; /* first known, by news */
	bool used;
};

struct members {
	struct vm *vms;
	uint32_t n;    /* handles ever used; 0 is this VM */
	uint32_t used; /* VMs known */
	uint32_t room;
	uint64_t list; /* number of the newest list */
	struct hash_index index;
};

#endif
