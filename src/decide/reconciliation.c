#include "decide/reconciliation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 16

static struct reconciliation_vm *find(struct reconciliation *r,
				      const char *name, uint64_t incarnation);
static struct reconciliation_vm *add(struct reconciliation *r, const char *name,
				     uint64_t incarnation);
static void replace_earlier(struct reconciliation *r, const char *name,
			    uint64_t incarnation);

/*
 * Starts the reconciliation of an epoch. To be called when this VM's claim of
 * that epoch at the platform is known to be in effect.
 */
void reconciliation_begin(struct reconciliation *r, uint64_t epoch, usec_t now)
{
	memset(r, 0, sizeof(*r));
	r->epoch = epoch;
	r->claimed_at = now;
	r->list_requested_at = INT64_MIN;
}

/* Frees the memory and resets the state, so that no epoch is set. */
void reconciliation_end(struct reconciliation *r)
{
	free(r->vms);
	memset(r, 0, sizeof(*r));
}

/* Starts a whole list of the platform that was requested at "requested_at". */
void reconciliation_list_begin(struct reconciliation *r, usec_t requested_at)
{
	r->list_seq++;
	r->list_requested_at = requested_at;
}

/* Adds a VM of the list. Returns 0, or -1 if memory is short. */
int reconciliation_list_add(struct reconciliation *r, const char *name,
			    uint64_t incarnation)
{
	struct reconciliation_vm *v = find(r, name, incarnation);

	if (!v)
		v = add(r, name, incarnation);
	if (!v)
		return -1;
	v->listed = true;
	v->list_seq = r->list_seq;
	return 0;
}

/* Finishes a list: VMs that it lacks are absent since it was requested. */
void reconciliation_list_end(struct reconciliation *r)
{
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		struct reconciliation_vm *v = &r->vms[i];

		if (v->list_seq == r->list_seq || !v->listed)
			continue;
		v->listed = false;
		v->absent_at = r->list_requested_at;
	}
}

/*
 * Counts a VM's first report of this epoch; others are ignored. Returns 0, or
 * -1 if memory is short.
 */
int reconciliation_report(struct reconciliation *r, const char *name,
			  uint64_t incarnation, uint64_t epoch, uint32_t share)
{
	struct reconciliation_vm *v;

	if (epoch != r->epoch)
		return 0;
	v = find(r, name, incarnation);
	if (!v)
		v = add(r, name, incarnation);
	if (!v)
		return -1;
	if (v->reported)
		return 0;
	v->reported = true;
	v->share = share;
	return 0;
}

/* Returns how many VMs are still waited for. */
uint32_t reconciliation_pending(const struct reconciliation *r, usec_t now,
				usec_t gone_after)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		if (reconciliation_waits_for(r, &r->vms[i], now, gone_after))
			n++;
	}
	return n;
}

/*
 * Returns true if a VM has neither reported nor been proven gone. It is gone if
 * a later incarnation was seen, or after gone_after off the list.
 */
bool reconciliation_waits_for(const struct reconciliation *r,
			      const struct reconciliation_vm *v, usec_t now,
			      usec_t gone_after)
{
	(void)r;
	if (v->reported || v->replaced)
		return false;
	return v->listed || now - v->absent_at < gone_after;
}

/*
 * Returns true once all shares are known; see the header. The newest list must
 * have been requested at least gone_after after the claim. Returns false also
 * if the reports sum to more than the whole.
 */
bool reconciliation_is_complete(const struct reconciliation *r, usec_t now,
				usec_t gone_after, uint32_t whole,
				uint32_t *missing)
{
	uint64_t sum = 0;
	uint32_t i;

	if (r->list_requested_at < r->claimed_at ||
	    r->list_requested_at - r->claimed_at < gone_after ||
	    reconciliation_pending(r, now, gone_after) > 0)
		return false;
	for (i = 0; i < r->n; i++) {
		if (r->vms[i].reported)
			sum += r->vms[i].share;
	}
	if (sum > whole)
		return false;
	*missing = whole - (uint32_t)sum;
	return true;
}

/* Returns the entry of a VM's incarnation, or NULL. */
static struct reconciliation_vm *find(struct reconciliation *r,
				      const char *name, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		if (r->vms[i].incarnation == incarnation &&
		    strcmp(r->vms[i].name, name) == 0)
			return &r->vms[i];
	}
	return NULL;
}

/* Adds a VM and marks its earlier incarnations; NULL if memory is short. */
static struct reconciliation_vm *add(struct reconciliation *r, const char *name,
				     uint64_t incarnation)
{
	struct reconciliation_vm *v;

	if (r->n == r->capacity) {
		uint32_t capacity =
			r->capacity ? r->capacity * 2 : CAPACITY_MIN;
		void *p = realloc(r->vms, capacity * sizeof(*r->vms));

		if (!p)
			return NULL;
		r->vms = p;
		r->capacity = capacity;
	}
	replace_earlier(r, name, incarnation);
	v = &r->vms[r->n++];
	memset(v, 0, sizeof(*v));
	snprintf(v->name, sizeof(v->name), "%s", name);
	v->incarnation = incarnation;
	v->absent_at = r->list_requested_at == INT64_MIN ? r->claimed_at
							 : r->list_requested_at;
	return v;
}

/* Marks earlier incarnations of a VM as replaced; they can no longer act. */
static void replace_earlier(struct reconciliation *r, const char *name,
			    uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		if (r->vms[i].incarnation < incarnation &&
		    strcmp(r->vms[i].name, name) == 0)
			r->vms[i].replaced = true;
	}
}
