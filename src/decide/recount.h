#ifndef DECIDE_RECOUNT_H
#define DECIDE_RECOUNT_H

#include "decide/error.h"

/*
 * One recount of a limit's shares, kept by the VM that claimed its epoch at
 * the platform. Every VM that has been on the platform's list since moves to
 * the epoch and reports what it held; a VM that does not is waited for until
 * it is proven gone. What is then missing from the whole exists nowhere any
 * more, as messages of the former epoch are void.
 */
struct recount_vm {
	char name[NAME_MAX_BYTES];
	uint64_t incarnation;
	bool reported;
	bool replaced;	  /* a later incarnation was seen */
	uint32_t share;	  /* as reported */
	bool listed;	  /* on the newest list */
	usec_t absent_at; /* first list without it was asked for then */
	uint64_t list;	  /* number of the newest list with it */
};

struct recount {
	uint64_t epoch;
	usec_t claimed_at; /* the claim was known to have taken effect */
	usec_t list_at;	   /* newest list was asked for; INT64_MIN: none */
	uint64_t list;	   /* its number */
	uint32_t n;
	uint32_t room;
	struct recount_vm *vms;
};

void recount_begin(struct recount *r, uint64_t epoch, usec_t now);
void recount_end(struct recount *r);
/*
 * One whole list of the platform, asked for at "asked_at", which is after the
 * claim. -1 if memory is short; the recount must then be given up.
 */
void recount_list_begin(struct recount *r, usec_t asked_at);
int recount_list_add(struct recount *r, const char *name, uint64_t incarnation);
void recount_list_end(struct recount *r);
/* A report, once counted; -1 if memory is short. */
int recount_report(struct recount *r, const char *name, uint64_t incarnation,
		   uint64_t epoch, uint32_t share);
/* VMs that are still waited for. */
uint32_t recount_pending(const struct recount *r, usec_t now,
			 usec_t gone_after);
bool recount_waits_for(const struct recount *r, const struct recount_vm *v,
		       usec_t now, usec_t gone_after);
/*
 * True once all is counted; *missing is then what may be handed out anew.
 * Nothing before gone_after from the claim, so that a VM that left the list
 * before, holding a share, has given it up.
 */
bool recount_done(const struct recount *r, usec_t now, usec_t gone_after,
		  uint32_t whole, uint32_t *missing);

#endif
