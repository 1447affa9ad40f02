#ifndef DECIDE_MEMBERSHIP_H
#define DECIDE_MEMBERSHIP_H

#include "decide/error.h"

typedef uint32_t vm_handle;

/*
 * Membership table of the VMs: who exists, who is alive, and the rendezvous
 * hash order of the live VMs. Its sources are the platform's list of VMs and
 * SWIM-style gossip between the VMs.
 */
struct membership;

struct member {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char peer[ADDR_MAX_BYTES];   /* its address for other VMs */
	char caller[ADDR_MAX_BYTES]; /* its address for callers */
	uint64_t incarnation;
	bool departing;	      /* the VM is shutting down */
	bool listed;	      /* the platform's newest known list has it */
	usec_t unlisted_at;   /* first seen missing from the list; 0: not */
	uint64_t refutations; /* incremented by the VM to refute a suspicion */
	usec_t contact_at;    /* last message from it; INT64_MIN if none */
	bool suspect;	      /* a request timed out, no message since */
	uint32_t times_sent;  /* times its newest state was gossiped */
};

/* A gossip update: the state of one VM as a peer knows it. */
struct member_update {
	struct member member; /* without unlisted_at and contact_at */
	bool is_listed;	      /* the sender knows it to be on the list */
	bool is_unlisted;     /* the sender knows it to be off the list */
};

struct membership *membership_create(const struct member *self);
void membership_destroy(struct membership *m);

/*
 * Start, fill and finish an update from a newer list of the platform. The
 * caller makes sure that lists are applied in order. A VM that is no longer
 * listed counts as gone after it has been off the list for long enough. A
 * later incarnation of a VM replaces the earlier one and takes over its
 * handle.
 */
void membership_list_begin(struct membership *m);
int membership_list_add(struct membership *m, const struct member *vm);
void membership_list_end(struct membership *m, usec_t now);

/*
 * A message arrived from a VM itself. Returns false, and changes nothing, if
 * it comes from an earlier incarnation.
 */
bool membership_on_message(struct membership *m, const char *name,
			   uint64_t incarnation, usec_t now);
/* A request to a VM timed out: marks that incarnation as suspect. */
void membership_on_timeout(struct membership *m, const char *name,
			   uint64_t incarnation);
/* Merges a gossip update from a peer; true if it changed the table. */
bool membership_apply_update(struct membership *m,
			     const struct member_update *news, usec_t now);
/* Picks up to "max" updates to gossip, those sent least often first. */
size_t membership_pick_updates(struct membership *m, struct member_update *out,
			       size_t max);
/* Marks this VM as departing. */
void membership_set_departing(struct membership *m);
/* Sets this VM's own addresses, once its listeners are bound. */
void membership_set_addresses(struct membership *m, const char *peer,
			      const char *caller);

size_t membership_count(const struct membership *m);
const struct member *membership_get(const struct membership *m, vm_handle h);
vm_handle membership_find(const struct membership *m, const char *name);
vm_handle membership_self(const struct membership *m);
/* Returns true if a VM is listed or heard from, not suspect, not departing. */
bool membership_is_alive(const struct membership *m, vm_handle h);
/*
 * Returns true if this incarnation can never act again: a later one replaced
 * it, or it has been off the list for gone_after. Returns false for an unknown
 * VM; the caller has to wait for gone_after itself.
 */
bool membership_is_gone(const struct membership *m, const char *name,
			uint64_t incarnation, usec_t now, usec_t gone_after);
/* Removes VMs that have been off the list for twice gone_after. */
void membership_expire(struct membership *m, usec_t now, usec_t gone_after);

/* Returns the rendezvous hash rank of h for a key among live VMs, 0 first. */
uint32_t membership_rank(const struct membership *m, const char *key,
			 vm_handle h);
/* Fills in the first live VMs for a key by rank; at most "max". */
size_t membership_top_ranked(const struct membership *m, const char *key,
			     vm_handle *out, size_t max);
/* Returns true if this VM is on the newest list known. */
bool membership_is_self_listed(const struct membership *m);
/* Returns true if this VM is among its domain's "per_domain" watchers. */
bool membership_is_watcher(const struct membership *m, uint32_t per_domain);
/* Returns the number of live VMs in other failure domains. */
size_t membership_count_other_domains(const struct membership *m);

#endif
