#ifndef KERNEL_FLEET_H
#define KERNEL_FLEET_H

#include "decide/error.h"
#include "decide/freshness.h"

struct kernel;
struct fleet;

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
size_t fleet_size(struct kernel *k);
bool fleet_find(struct kernel *k, const char *name, struct fleet_vm *out);
/* This VM's rank for a key among the live ones, by rendezvous hash; 0 first. */
uint32_t fleet_rank(struct kernel *k, const char *key);
/* The first live VMs for a key, in their order. */
size_t fleet_top(struct kernel *k, const char *key, struct fleet_vm *out,
		 size_t max);
/*
 * Copies up to n other live VMs, drawn at random; none of "not_domain" if that
 * is given.
 */
size_t fleet_pick(struct kernel *k, size_t n, const char *not_domain,
		  struct fleet_vm *out);
/*
 * A message came from a VM. False if it is of an earlier incarnation and must
 * be dropped; a VM not known yet is let through.
 */
bool fleet_heard(struct kernel *k, const char *name, uint64_t incarnation,
		 usec_t now);
/* Can this incarnation never act again? See members_gone(). */
bool fleet_gone(struct kernel *k, const char *name, uint64_t incarnation,
		usec_t now, usec_t gone_after);
/* How recent this VM's knowledge of keys is, against settings.keys_fresh_ms. */
enum freshness_state fleet_freshness(struct kernel *k, usec_t now);
/* Is this VM on the platform's list, as far as it knows? */
bool fleet_self_listed(struct kernel *k);
/* Age of the newest word of the platform, in microseconds; -1: none. */
int64_t fleet_word_age(struct kernel *k, usec_t now);
/* Is this VM in contact with most failure domains? */
bool fleet_majority(struct kernel *k, usec_t now, usec_t within);

#endif
