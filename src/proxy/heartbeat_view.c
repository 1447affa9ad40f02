#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide/db_owner.h"
#include "decide/failover_rank.h"
#include "decide/peer_gossip.h"
#include "decide/reader_choice.h"
#include "kernel/log.h"
#include "proxy/heartbeat_internal.h"

/*
 * What follows from the VMs that this one believes alive: ranks, the owners of
 * databases and proofs, the VMs that read the platform's data, and what peers
 * report of primaries.
 */

static struct failover_rank_vm rank_of_peer(const struct peer_vm *v,
					    const char *service);
static bool reads_for_domain(const struct heartbeat *b,
			     const struct peer_vm *v);
static uint32_t add_vm(struct reader_vm *vm, uint32_t n, const char *name,
		       const char *domain, uint32_t id);

/*
 * Returns true if at least half of the peers have been live for as long as the
 * silence timeout.
 */
bool heartbeat_sees_majority(const struct heartbeat *b, usec_t now)
{
	return b->minority_at == 0 ||
	       now - b->minority_at > b->proxy->policy.silence_timeout;
}

/* Returns the number of known VMs besides this one. */
uint32_t heartbeat_n_peers(const struct heartbeat *b)
{
	return b->n;
}

/* Returns the number of live VMs besides this one. */
uint32_t heartbeat_n_live(const struct heartbeat *b)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++)
		n += !b->peers[i]->silent;
	return n;
}

/*
 * Returns this VM's rank for a failover of the service: counts the live VMs
 * that begin before it (decide/failover_rank). One that is not ready does not
 * count.
 */
uint32_t heartbeat_rank(const struct heartbeat *b, const char *service)
{
	const struct failover_rank_vm own = {
		.hash = heartbeat_rank_hash(b->proxy->kernel->settings.vm,
					    service),
		.is_draining = b->proxy->draining,
		.fails = b->own_platform_fails,
	};
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];
		const struct failover_rank_vm peer = rank_of_peer(v, service);

		rank += v->ready && !v->silent &&
			failover_rank_is_before(&peer, &own);
	}
	return rank;
}

/* Describes a peer for the order in which VMs begin a failover. */
static struct failover_rank_vm rank_of_peer(const struct peer_vm *v,
					    const char *service)
{
	return (struct failover_rank_vm){
		.hash = heartbeat_rank_hash(v->name, service),
		.is_draining = v->draining,
		.fails = v->platform_fails,
	};
}

/* Finds the peers that begin a failover first, in the order of their ranks. */
uint32_t heartbeat_first_ranks(const struct heartbeat *b, const char *service,
			       uint32_t out[FAILOVER_FIRST_RANKS])
{
	struct failover_rank_vm best[FAILOVER_FIRST_RANKS];
	uint32_t n = 0;
	uint32_t i;
	uint32_t at;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];
		const struct failover_rank_vm peer = rank_of_peer(v, service);

		if (!v->ready || v->silent)
			continue;
		for (at = n; at > 0; at--) {
			if (!failover_rank_is_before(&peer, &best[at - 1]))
				break;
			if (at < FAILOVER_FIRST_RANKS) {
				best[at] = best[at - 1];
				out[at] = out[at - 1];
			}
		}
		if (at == FAILOVER_FIRST_RANKS)
			continue;
		best[at] = peer;
		out[at] = i;
		n += n < FAILOVER_FIRST_RANKS;
	}
	return n;
}

/* Returns a number that changes whenever heartbeat_rank() may change. */
uint64_t heartbeat_rank_version(const struct heartbeat *b)
{
	return b->owners_version + b->platform_version;
}

/*
 * Returns a number that changes whenever heartbeat_service_owner() may return
 * another VM.
 */
uint64_t heartbeat_owners_version(const struct heartbeat *b)
{
	return b->owners_version;
}

/*
 * Returns the live peer with the highest hash for the service, or NULL if this
 * VM's is higher.
 */
const char *heartbeat_service_owner(const struct heartbeat *b,
				    const char *service)
{
	const struct peer_vm *first = NULL;
	uint64_t best = 0;
	uint32_t i;

	if (!b->proxy->draining)
		best = heartbeat_rank_hash(b->proxy->kernel->settings.vm,
					   service);
	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];
		uint64_t h;

		if (v->silent || v->draining || !v->ready || v->no_return_path)
			continue;
		h = heartbeat_rank_hash(v->name, service);
		if (h > best) {
			best = h;
			first = v;
		}
	}
	return first ? first->name : NULL;
}

/*
 * Returns the VM that owns a database's connections, or NULL if this one does:
 * see decide/db_owner.h. A draining VM owns none.
 */
const char *heartbeat_database_owner(const struct heartbeat *b,
				     const char *database, const char *domain)
{
	const struct settings *s = &b->proxy->kernel->settings;
	struct db_owner_vm *vm = calloc(b->n + 1, sizeof(*vm));
	const char *owner = NULL;
	uint32_t best;
	uint32_t i;

	if (!vm)
		return NULL;
	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		vm[i] = (struct db_owner_vm){
			.name = v->name,
			.domain = v->domain,
			.capacity = v->capacity,
			.usable = v->ready && !v->silent && !v->draining &&
				  !v->no_return_path && v->link_retry_at == 0,
		};
	}
	vm[b->n] = (struct db_owner_vm){
		.name = s->vm,
		.domain = s->domain,
		.capacity = heartbeat_own_capacity(b),
		.usable = !b->proxy->draining,
	};
	best = db_owner_pick(vm, b->n + 1, database, domain);
	if (best < b->n)
		owner = b->peers[best]->name;
	free(vm);
	return owner;
}

/* Returns this VM's share of a core, in hundredths, at most 2.55 cores. */
uint8_t heartbeat_own_capacity(const struct heartbeat *b)
{
	uint32_t hundredths = b->proxy->kernel->settings.cpu_milli / 10;

	return hundredths < UINT8_MAX ? (uint8_t)hundredths : UINT8_MAX;
}

/* Returns the rendezvous hash of a VM for a service. */
uint64_t heartbeat_rank_hash(const char *vm, const char *service)
{
	return XXH3_64bits_withSeed(vm, strlen(vm),
				    XXH3_64bits(service, strlen(service)));
}

/* Sums up what the live peers report about a service's primary. */
struct heartbeat_peer_reports heartbeat_peer_reports(const struct heartbeat *b,
						     const char *service)
{
	struct heartbeat_peer_reports o = { 0 };
	usec_t now = proxy_now();
	uint32_t i;
	uint32_t j;

	for (i = 0; i < b->n && b->n_reporting > 0; i++) {
		const struct peer_vm *v = b->peers[i];

		if (v->n_groups == 0 || v->silent ||
		    now - v->direct_seen_at > peer_gossip_timeout(0))
			continue;
		for (j = 0; j < v->n_groups; j++) {
			const struct peer_group_state *g = &v->groups[j];

			if (strcmp(g->service, service) != 0)
				continue;
			o.n_reachable += g->is_reachable;
			o.n_unreachable += g->suspicion == SUSPICION_DOWN;
			o.is_suspected |= g->suspicion != SUSPICION_NONE;
			o.in_failover |= g->in_failover;
		}
	}
	return o;
}

/*
 * Returns true if this VM reads the platform's data itself: all VMs of a small
 * fleet, else some of each failure domain (see decide/reader_choice.h).
 */
bool heartbeat_is_reader(const struct heartbeat *b)
{
	if (heartbeat_is_full_mesh(b))
		return true;
	heartbeat_update_readers((struct heartbeat *)b);
	return b->is_reader;
}

/*
 * Returns true if this VM is one of the first readers of its failure domain,
 * which tell it what other domains have read (see decide/confirmation.h).
 */
bool heartbeat_is_first_reader(const struct heartbeat *b)
{
	heartbeat_update_readers((struct heartbeat *)b);
	return b->is_first_reader;
}

/* Returns the number of VMs in the fleet that read the platform's data. */
uint32_t heartbeat_n_readers(const struct heartbeat *b)
{
	if (heartbeat_is_full_mesh(b))
		return heartbeat_n_live(b) + 1;
	heartbeat_update_readers((struct heartbeat *)b);
	return b->n_readers;
}

/* Returns a peer that reads for this failure domain, or NULL. */
const char *heartbeat_domain_reader(const struct heartbeat *b, uint64_t random)
{
	uint32_t n = 0;
	uint32_t i;

	heartbeat_update_readers((struct heartbeat *)b);
	for (i = 0; i < b->n; i++)
		n += reads_for_domain(b, b->peers[i]);
	if (n == 0)
		return NULL;
	n = (uint32_t)(random % n);
	for (i = 0; !reads_for_domain(b, b->peers[i]) || n-- > 0; i++)
		;
	return b->peers[i]->name;
}

/* True if a peer reads for this VM's failure domain. */
static bool reads_for_domain(const struct heartbeat *b, const struct peer_vm *v)
{
	return v->is_reader &&
	       strcmp(v->domain, b->proxy->kernel->settings.domain) == 0;
}

/*
 * Returns the number of live VMs of this failure domain, this one included,
 * that the platform does not answer.
 */
uint32_t heartbeat_n_failing(const struct heartbeat *b)
{
	heartbeat_update_readers((struct heartbeat *)b);
	return b->n_failing;
}

/*
 * Chooses the readers of all failure domains anew if the live VMs have changed.
 */
void heartbeat_update_readers(struct heartbeat *b)
{
	const uint64_t version = b->owners_version + b->platform_version + 1;
	const struct settings *s = &b->proxy->kernel->settings;
	struct reader_vm *vm;
	uint32_t place = 0;
	uint32_t n = 0;
	uint32_t i;

	if (b->readers_version == version)
		return;
	vm = calloc(b->n + 1, sizeof(*vm));
	if (!vm) {
		log_event(EV_VM_FAIL,
			  "reason=\"no memory to choose the readers\"");
		return;
	}
	b->readers_version = version;
	b->n_readers = 0;
	b->n_failing = 0;
	b->is_reader = false;
	b->is_first_reader = false;
	if (!b->proxy->draining) {
		vm[n].capacity = heartbeat_own_capacity(b);
		vm[n].fails = b->own_platform_fails;
		n = add_vm(vm, n, s->vm, s->domain, b->n);
	}
	for (i = 0; i < b->n; i++) {
		struct peer_vm *v = b->peers[i];

		v->is_reader = false;
		if (v->silent || v->draining)
			continue;
		vm[n].capacity = v->capacity;
		vm[n].fails = v->platform_fails;
		n = add_vm(vm, n, v->name, v->domain, i);
	}
	reader_choice(vm, n);
	for (i = 0; i < n; i++) {
		b->n_failing +=
			vm[i].fails && strcmp(vm[i].domain, s->domain) == 0;
		b->n_readers += vm[i].reads;
		if (i > 0 && strcmp(vm[i].domain, vm[i - 1].domain) == 0)
			place++;
		else
			place = 0;
		if (vm[i].id == b->n) {
			b->is_reader = vm[i].reads;
			b->is_first_reader = place < CONFIRMATION_RELAYS;
		} else {
			b->peers[vm[i].id]->is_reader = vm[i].reads;
		}
	}
	free(vm);
}

/* Completes the entry of a VM for the choice; returns the number of entries. */
static uint32_t add_vm(struct reader_vm *vm, uint32_t n, const char *name,
		       const char *domain, uint32_t id)
{
	vm[n].domain = domain;
	vm[n].hash = heartbeat_rank_hash(name, REGISTRY_CATALOG);
	vm[n].id = id;
	return n + 1;
}
