#ifndef DECIDE_MEMBERS_H
#define DECIDE_MEMBERS_H

#include "decide/error.h"

typedef uint32_t vm_handle;

struct members;

struct member {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char peer[ADDR_MAX_BYTES];
	char caller[ADDR_MAX_BYTES];
	uint64_t incarnation;
	bool departing;
	bool listed;	    /* on the newest list known */
	usec_t unlisted_at; /* when first seen off the list, if not listed */
	uint64_t beat;	    /* raised by the VM itself to refute a suspicion */
	usec_t heard_at;    /* last word of it; INT64_MIN if never */
	bool suspect;	    /* did not answer, and no later word of it */
	uint32_t told;	    /* times its newest state was passed on */
};

/* A member's state as gossip carries it: news of one VM. */
struct member_news {
	struct member member; /* unlisted_at and heard_at stay behind */
	bool from_list;	      /* the sender knows it to be on the list */
	bool off_list;	      /* the sender knows it to be off the list */
};

struct members *members_create(const struct member *self);
void members_destroy(struct members *m);

/*
 * Begins, fills and ends one newer list of the platform; list revisions or
 * times are the caller's to order. A VM that is not on it any more is gone
 * once it has stayed off for long enough. A later incarnation replaces the
 * earlier, whose handle is then that of a new VM.
 */
void members_list_begin(struct members *m);
int members_list_add(struct members *m, const struct member *vm);
void members_list_end(struct members *m, usec_t now);

/* Word from a VM itself; an earlier incarnation's word is ignored: false. */
bool members_heard(struct members *m, const char *name, uint64_t incarnation,
		   usec_t now);
/* A question to it went unanswered. */
void members_unanswered(struct members *m, const char *name,
			uint64_t incarnation);
/* News through a peer; true if it changed what is known. */
bool members_news(struct members *m, const struct member_news *news,
		  usec_t now);
/* Picks the news told least often, at most "max"; each counts as told. */
size_t members_pick_news(struct members *m, struct member_news *out,
			 size_t max);
void members_depart_self(struct members *m);
/* Where this VM is reached, once its listeners know. */
void members_address_self(struct members *m, const char *peer,
			  const char *caller);

size_t members_count(const struct members *m);
const struct member *members_at(const struct members *m, vm_handle h);
vm_handle members_find(const struct members *m, const char *name);
vm_handle members_self(const struct members *m);
/* Known, listed or heard, not suspect, not departing. */
bool members_alive(const struct members *m, vm_handle h);
/*
 * Can this incarnation never act again? It was replaced by a later one, or
 * has been off the list for gone_after. A VM never known counts as gone only
 * by the caller's own waiting for gone_after.
 */
bool members_gone(const struct members *m, const char *name,
		  uint64_t incarnation, usec_t now, usec_t gone_after);
/* Forgets VMs that have been gone for twice gone_after. */
void members_expire(struct members *m, usec_t now, usec_t gone_after);

/* Rendezvous hash: the rank of h for a key among the live ones; 0 is first. */
uint32_t members_rank(const struct members *m, const char *key, vm_handle h);
/* The first live ones for a key, in order; at most "max". */
size_t members_top(const struct members *m, const char *key, vm_handle *out,
		   size_t max);
/* Is this VM on the platform's list, as far as known? */
bool members_self_listed(const struct members *m);
/* Is this VM one of the first "per_domain" of its domain to watch? */
bool members_watches(const struct members *m, uint32_t per_domain);
/* Live members of other failure domains than this VM's. */
size_t members_other_domains(const struct members *m);

#endif
