#ifndef DECIDE_RECONCILIATION_H
#define DECIDE_RECONCILIATION_H

#include "decide/error.h"

/*
 * Reconciliation of the shares of one escrow limit, run by the VM that claimed
 * the epoch at the platform. The log calls it a recount.
 *
 * Every VM on the platform's list since the claim has to enter the epoch and
 * to report the share it held. A VM that does not report is waited for until
 * it is proven gone. The part of the whole that nobody reported then exists
 * nowhere, because messages of former epochs are void, and can be granted
 * again.
 */
struct reconciliation_vm {
	char name[NAME_MAX_BYTES];
	uint64_t incarnation;
	bool reported;
	bool replaced;	   /* a later incarnation was seen */
	uint32_t share;	   /* as reported */
	bool listed;	   /* on the newest list */
	usec_t absent_at;  /* request time of the first list without it */
	uint64_t list_seq; /* newest list that contains it */
};

struct reconciliation {
	uint64_t epoch;
	usec_t claimed_at;	  /* when the claim was known to be in effect */
	usec_t list_requested_at; /* request time of the newest list; INT64_MIN:
				     none */
	uint64_t list_seq;	  /* sequence number of the newest list */
	uint32_t n;
	uint32_t capacity; /* allocated entries of vms[] */
	struct reconciliation_vm *vms;
};

void reconciliation_begin(struct reconciliation *r, uint64_t epoch, usec_t now);
void reconciliation_end(struct reconciliation *r);
/*
 * Start, fill and finish a whole list of the platform that was requested at
 * "requested_at", after the claim. reconciliation_list_add() returns -1 if
 * memory is short; the reconciliation must then be abandoned.
 */
void reconciliation_list_begin(struct reconciliation *r, usec_t requested_at);
int reconciliation_list_add(struct reconciliation *r, const char *name,
			    uint64_t incarnation);
void reconciliation_list_end(struct reconciliation *r);
/*
 * Records a VM's first report; later ones, and those of other epochs, are
 * ignored. Returns -1 if memory is short.
 */
int reconciliation_report(struct reconciliation *r, const char *name,
			  uint64_t incarnation, uint64_t epoch, uint32_t share);
/* Returns how many VMs are still waited for. */
uint32_t reconciliation_pending(const struct reconciliation *r, usec_t now,
				usec_t gone_after);
/* Returns true if a VM has neither reported nor been proven gone. */
bool reconciliation_waits_for(const struct reconciliation *r,
			      const struct reconciliation_vm *v, usec_t now,
			      usec_t gone_after);
/*
 * Returns true once all shares are known, with the share that may be granted
 * again in *missing. Never before gone_after has passed since the claim, so
 * that a VM that left the list before the claim has given up its share.
 */
bool reconciliation_is_complete(const struct reconciliation *r, usec_t now,
				usec_t gone_after, uint32_t whole,
				uint32_t *missing);

#endif
