#ifndef KERNEL_FLEET_H
#define KERNEL_FLEET_H

#include "decide/error.h"

struct kernel;

/* One VM of the fleet as this one knows it. */
struct fleet_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char peer[ADDR_MAX_BYTES];
	char caller[ADDR_MAX_BYTES];
	uint64_t incarnation;
	bool departing;
	bool alive; /* heard lately, by itself or through others */
};

struct fleet *fleet_create(const struct kernel *k);
void fleet_destroy(struct fleet *f);

/* Copies the known VMs, this one included; returns how many. */
size_t fleet_snapshot(struct kernel *k, struct fleet_vm *out, size_t max);
bool fleet_find(struct kernel *k, const char *name, struct fleet_vm *out);
/* This VM's rank for a key among the live ones, by rendezvous hash; 0 first. */
uint32_t fleet_rank(struct kernel *k, const char *key);

/*
 * Copies up to n other live VMs, drawn at random; none of "not_domain" if that
 * is given.
 */
size_t fleet_pick(struct kernel *k, size_t n, const char *not_domain,
		  struct fleet_vm *out);

#endif
