#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide/db_owner.h"
#include "decide/peer_gossip.h"
#include "proxy/heartbeat_internal.h"

/*
 * What follows from the VMs that this one believes alive: ranks, the owners of
 * databases and proofs, the VMs that read the platform's data, and what peers
 * report of primaries.
 */

#define DOMAINS_MAX 64 /* failure domains of the fleet */

static struct domain_readers *find_domain(struct domain_readers *domains,
					  uint32_t *n, const char *name);
static void count_failing(struct domain_readers *domains, uint32_t *n,
			  const struct peer_vm *v);
static void add_reader(const struct heartbeat *b, struct domain_readers *d,
		       struct peer_vm *v);
static bool is_better_reader(const struct heartbeat *b, const struct peer_vm *v,
			     const struct peer_vm *w);

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
 * Counts the live VMs whose hash for the service is above this one's
 * (rendezvous hashing). A draining VM ranks last. One that is not ready does
 * not count.
 */
uint32_t heartbeat_rank(const struct heartbeat *b, const char *service)
{
	uint64_t own =
		heartbeat_rank_hash(b->proxy->kernel->settings.vm, service);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		if (v->silent || v->draining || !v->ready)
			continue;
		if (b->proxy->draining ||
		    heartbeat_rank_hash(v->name, service) > own)
			rank++;
	}
	return rank;
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
 * fleet, else the strongest of each failure domain.
 */
bool heartbeat_is_reader(const struct heartbeat *b)
{
	uint32_t i;

	if (heartbeat_is_full_mesh(b))
		return true;
	heartbeat_update_readers((struct heartbeat *)b);
	for (i = 0; i < b->own_domain.n; i++) {
		if (!b->own_domain.reader[i])
			return true;
	}
	return false;
}

/* Returns the number of VMs in the fleet that read the platform's data. */
uint32_t heartbeat_n_readers(const struct heartbeat *b)
{
	if (heartbeat_is_full_mesh(b))
		return heartbeat_n_live(b) + 1;
	heartbeat_update_readers((struct heartbeat *)b);
	return b->n_readers;
}

/* Returns one of the VMs that read for this failure domain, or NULL. */
const char *heartbeat_domain_reader(const struct heartbeat *b, uint64_t random)
{
	const struct peer_vm *v;

	heartbeat_update_readers((struct heartbeat *)b);
	if (b->own_domain.n == 0)
		return NULL;
	v = b->own_domain.reader[random % b->own_domain.n];
	return v ? v->name : NULL;
}

/*
 * Chooses the readers of all failure domains anew if the live VMs have changed.
 * This VM's domain comes first.
 */
void heartbeat_update_readers(struct heartbeat *b)
{
	const uint64_t version = b->owners_version + b->platform_version + 1;
	struct domain_readers domains[DOMAINS_MAX];
	struct domain_readers *own;
	uint32_t n = 0;
	uint32_t i;
	uint32_t j;

	if (b->readers_version == version)
		return;
	b->readers_version = version;
	own = find_domain(domains, &n, b->proxy->kernel->settings.domain);
	own->most += b->own_platform_fails;
	for (i = 0; i < b->n; i++)
		count_failing(domains, &n, b->peers[i]);
	add_reader(b, own, NULL);
	for (i = 0; i < b->n; i++) {
		struct peer_vm *v = b->peers[i];

		v->is_reader = false;
		if (!v->silent && !v->draining)
			add_reader(b, find_domain(domains, &n, v->domain), v);
	}
	b->own_domain = domains[0];
	b->n_readers = 0;
	for (i = 0; i < n; i++) {
		b->n_readers += domains[i].n;
		for (j = 0; j < domains[i].n; j++) {
			if (domains[i].reader[j])
				domains[i].reader[j]->is_reader = true;
		}
	}
}

/*
 * Returns the entry of a failure domain, a new one if there is none; NULL if
 * the table is full.
 */
static struct domain_readers *find_domain(struct domain_readers *domains,
					  uint32_t *n, const char *name)
{
	uint32_t i;

	for (i = 0; i < *n; i++) {
		if (strcmp(domains[i].name, name) == 0)
			return &domains[i];
	}
	if (*n == DOMAINS_MAX)
		return NULL;
	domains[*n] = (struct domain_readers){
		.name = name,
		.most = DOMAIN_READERS,
	};
	return &domains[(*n)++];
}

/* If the platform does not answer a VM, one more of its domain reads. */
static void count_failing(struct domain_readers *domains, uint32_t *n,
			  const struct peer_vm *v)
{
	struct domain_readers *d;

	if (v->silent || v->draining)
		return;
	d = find_domain(domains, n, v->domain);
	if (d && v->platform_fails && d->most < DOMAIN_READERS_MAX)
		d->most++;
}

/* Inserts a VM among the readers of its domain if it ranks high enough. */
static void add_reader(const struct heartbeat *b, struct domain_readers *d,
		       struct peer_vm *v)
{
	uint32_t i;

	if (!d || (!v && b->proxy->draining))
		return;
	i = d->n;
	if (i == d->most) {
		if (!is_better_reader(b, v, d->reader[i - 1]))
			return;
		i--;
	} else {
		d->n++;
	}
	for (; i > 0 && is_better_reader(b, v, d->reader[i - 1]); i--)
		d->reader[i] = d->reader[i - 1];
	d->reader[i] = v;
}

/*
 * Compares two VMs as readers; NULL is this one. One that the platform answers
 * is better, then the stronger one.
 */
static bool is_better_reader(const struct heartbeat *b, const struct peer_vm *v,
			     const struct peer_vm *w)
{
	uint8_t v_capacity = v ? v->capacity : heartbeat_own_capacity(b);
	uint8_t w_capacity = w ? w->capacity : heartbeat_own_capacity(b);
	bool v_fails = v ? v->platform_fails : b->own_platform_fails;
	bool w_fails = w ? w->platform_fails : b->own_platform_fails;
	const char *own = b->proxy->kernel->settings.vm;

	if (v_fails != w_fails)
		return w_fails;
	if (v_capacity != w_capacity)
		return v_capacity > w_capacity;
	return heartbeat_rank_hash(v ? v->name : own, REGISTRY_CATALOG) >
	       heartbeat_rank_hash(w ? w->name : own, REGISTRY_CATALOG);
}
