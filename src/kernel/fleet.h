#ifndef KERNEL_FLEET_H
#define KERNEL_FLEET_H

#include "decide/error.h"
#include "decide/freshness.h"

struct kernel;
struct fleet;

/* What this VM knows about one VM of the fleet. */
struct fleet_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char peer_address[ADDR_MAX_BYTES];
	char caller_address[ADDR_MAX_BYTES];
	uint64_t incarnation;
	bool departing;
	bool alive; /* heard from recently, directly or through others */
};

struct fleet *fleet_create(const struct kernel *k);
void fleet_destroy(struct fleet *f);

/* Copies the known VMs, this one included, and returns their number. */
size_t fleet_snapshot(struct kernel *k, struct fleet_vm *out, size_t max);
size_t fleet_size(struct kernel *k);
bool fleet_find(struct kernel *k, const char *name, struct fleet_vm *out);
/*
 * Returns this VM's rank for a key among the live VMs by rendezvous hashing; 0
 * is first.
 */
uint32_t fleet_rank(struct kernel *k, const char *key);
/* Copies the live VMs that rank first for a key, in order of rank. */
size_t fleet_top_ranked(struct kernel *k, const char *key, struct fleet_vm *out,
			size_t max);
/*
 * Copies up to n other live VMs, chosen at random. Excludes the domain
 * "not_domain" unless it is NULL.
 */
size_t fleet_sample(struct kernel *k, size_t n, const char *not_domain,
		    struct fleet_vm *out);
/*
 * Records that a message came from a VM. Returns false if it is of an earlier
 * incarnation and must be dropped; a message of a VM that is not known yet is
 * accepted.
 */
bool fleet_note_message(struct kernel *k, const char *name,
			uint64_t incarnation, usec_t now);
/* Returns whether this incarnation can never act again; see
 * membership_is_gone(). */
bool fleet_incarnation_ended(struct kernel *k, const char *name,
			     uint64_t incarnation, usec_t now,
			     usec_t gone_after);
/*
 * Returns how recent this VM's data on keys is, compared to
 * settings.keys_fresh_ms.
 */
enum freshness_state fleet_freshness(struct kernel *k, usec_t now);
/* Returns whether the platform lists this VM, as far as this VM knows. */
bool fleet_self_listed(struct kernel *k);
/*
 * Returns the age in microseconds of the newest data from the platform,
 * received directly or through peers; -1 if there is none that may be relied
 * on.
 */
int64_t fleet_platform_data_age(struct kernel *k, usec_t now);
/*
 * Returns whether this VM was in contact with a majority of the failure domains
 * within the last "within" microseconds.
 */
bool fleet_has_majority(struct kernel *k, usec_t now, usec_t within);

#endif
