#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "decide/db_owner.h"
#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/heartbeat_internal.h"

/*
 * Every VM sends every other a heartbeat several times a second, one datagram
 * each. It shows that the VM is alive, and tells which VMs it receives nothing
 * from and the state of groups whose primary is suspected. Nothing is
 * acknowledged; the next heartbeat replaces a lost one. The same socket carries
 * the requests of rate_limit_client.c and db_group_proof.c.
 */

/*
 * The send interval grows by this much for each peer, so that the rate at which
 * one VM sends and receives does not grow with the fleet.
 */
#define SEND_INTERVAL_PER_PEER_US (6 * USEC_PER_MSEC)
/* heartbeats missed in a row before a VM counts as silent */
#define MISSED_HEARTBEATS_MAX 4
#define PEERS_MAX	      RATE_LIMIT_PEERS_MAX
/*
 * A VM that has been silent for this long was removed; a pause or a network
 * fault lasts seconds.
 */
#define REMOVED_AFTER_US (30 * USEC_PER_SEC)
/*
 * After a longer gap between two ticks the peers may have taken this VM for
 * silent and have taken over its token buckets.
 */
#define TICK_GAP_MAX_US	   (500 * USEC_PER_MSEC)
#define DATAGRAM_MAX_BYTES 60000
/* A VM to which a link failed is not forwarded to for this long. */
#define LINK_RETRY_US (2 * USEC_PER_SEC)
/* Ports that the system chooses are tried until one is free for TCP too. */
#define BIND_TRIES 16

static void send_all(struct heartbeat *b, usec_t now);
static void send_one(struct heartbeat *b, const struct peer_vm *v, usec_t now);
static void set_silent(struct heartbeat *b, struct peer_vm *v, bool silent,
		       usec_t last_seen_at, usec_t now);
static void update_quota_peer(struct heartbeat *b, const struct peer_vm *v,
			      usec_t now);
static void on_readable(evutil_socket_t fd, short what, void *ctx);
static int bind_ports(struct heartbeat *b, struct sockaddr_storage *at,
		      socklen_t *len);
static XXH64_hash_t rank_hash(const char *vm, const char *service);
static usec_t send_interval(const struct heartbeat *b);

/*
 * Opens the socket on the VM's address for peers. Returns NULL if that fails.
 */
struct heartbeat *heartbeat_create(struct proxy *p, struct error *e)
{
	const char *address = p->kernel->settings.peer_listen;
	struct sockaddr_storage at;
	struct heartbeat *b;
	socklen_t len;

	b = calloc(1, sizeof(*b));
	if (!b || !address_parse(address, &at, &len)) {
		free(b);
		error_set(e, ERR_SETTINGS, STEP_LISTEN, address,
			  "not an address for peers");
		return NULL;
	}
	b->proxy = p;
	if (bind_ports(b, &at, &len) == -1) {
		error_set(e, ERR_SYSTEM, STEP_LISTEN, address, "%m");
		free(b);
		return NULL;
	}
	address_format((struct sockaddr *)&at, p->kernel->settings.peer_listen);
	b->readable =
		event_new(p->base, b->fd, EV_READ | EV_PERSIST, on_readable, b);
	if (b->readable)
		event_add(b->readable, NULL);
	return b;
}

/*
 * Binds the port of the peers' address for datagrams and for links, and writes
 * it to "at". Returns -1 with errno set if that fails.
 */
static int bind_ports(struct heartbeat *b, struct sockaddr_storage *at,
		      socklen_t *len)
{
	const struct sockaddr_storage wanted = *at;
	uint32_t i;

	for (i = 0; i < BIND_TRIES; i++) {
		*at = wanted;
		b->fd = socket(at->ss_family,
			       SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		if (b->fd == -1)
			return -1;
		if (bind(b->fd, (struct sockaddr *)at, *len) == 0 &&
		    getsockname(b->fd, (struct sockaddr *)at, len) == 0 &&
		    peer_link_listen(b->proxy, (struct sockaddr *)at, *len) ==
			    0)
			return 0;
		close(b->fd);
	}
	return -1;
}

/*
 * Sends heartbeats when they are due, and marks peers as silent or gone. Drops
 * this VM's tokens after too long a gap between two ticks, and leaves the rate
 * limits when the VM begins to drain.
 */
void heartbeat_tick(struct heartbeat *b, usec_t now)
{
	uint32_t i;

	if (b->ticked_at && now - b->ticked_at > TICK_GAP_MAX_US)
		rate_limit_drop_tokens(b->proxy->rate_limit, now);
	b->ticked_at = now;
	if (b->proxy->draining && !b->left) {
		b->left = true;
		b->owners_version++;
		rate_limit_leave(b->proxy->rate_limit, now);
	}
	for (i = 0; i < b->n; i++) {
		struct peer_vm *v = b->peers[i];
		bool silent = v->last_seen_at == 0 ||
			      now - v->last_seen_at >
				      MISSED_HEARTBEATS_MAX * send_interval(b);

		if (v->silent && !v->gone && v->last_seen_at &&
		    now - v->last_seen_at > REMOVED_AFTER_US) {
			v->gone = true;
			rate_limit_remove_peer(b->proxy->rate_limit, v->name,
					       now);
		}
		if (v->link_retry_at && now >= v->link_retry_at) {
			v->link_retry_at = 0;
			b->owners_version++;
		}
		if (silent && !v->silent)
			set_silent(b, v, true, v->last_seen_at, now);
	}
	if (heartbeat_n_live(b) * 2 < b->n)
		b->minority_at = now;
	if (now < b->next_send_at)
		return;
	b->next_send_at = now + send_interval(b);
	send_all(b, now);
}

/*
 * Returns true if at least half of the peers have been live for as long as the
 * silence timeout.
 */
bool heartbeat_sees_majority(const struct heartbeat *b, usec_t now)
{
	return b->minority_at == 0 ||
	       now - b->minority_at > b->proxy->policy.silence_timeout;
}

/* Sends the next heartbeat at once. */
void heartbeat_send_now(struct heartbeat *b)
{
	b->next_send_at = 0;
	heartbeat_tick(b, proxy_now());
}

/* Adds a VM that the platform lists, or updates its address after a restart. */
void heartbeat_add_peer(struct heartbeat *b, const struct registry_vm *vm)
{
	struct peer_vm *v;
	struct sockaddr_storage to;
	socklen_t len;

	if (strcmp(vm->name, b->proxy->kernel->settings.vm) == 0 ||
	    !address_parse(vm->peer, &to, &len))
		return;
	v = heartbeat_find_peer(b, vm->name, true);
	if (!v || vm->incarnation < v->incarnation)
		return;
	if (v->incarnation != vm->incarnation || v->last_seen_at == 0) {
		v->incarnation = vm->incarnation;
		v->addr = to;
		v->addr_len = len;
		snprintf(v->domain, sizeof(v->domain), "%s", vm->domain);
		b->next_send_at = 0;
	}
}

/* Returns a hash of the names of all known VMs, in any order. */
uint64_t heartbeat_members_hash(const struct heartbeat *b)
{
	const char *own = b->proxy->kernel->settings.vm;
	uint64_t h = XXH3_64bits(own, strlen(own));
	uint32_t i;

	for (i = 0; i < b->n; i++)
		h ^= XXH3_64bits(b->peers[i]->name, strlen(b->peers[i]->name));
	return h;
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
	XXH64_hash_t own = rank_hash(b->proxy->kernel->settings.vm, service);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		if (v->silent || v->draining || !v->ready)
			continue;
		if (b->proxy->draining || rank_hash(v->name, service) > own)
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
	XXH64_hash_t best = 0;
	uint32_t i;

	if (!b->proxy->draining)
		best = rank_hash(b->proxy->kernel->settings.vm, service);
	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];
		XXH64_hash_t h;

		if (v->silent || v->draining || !v->ready || v->no_return_path)
			continue;
		h = rank_hash(v->name, service);
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
		.capacity = s->cpu_milli,
		.usable = !b->proxy->draining,
	};
	best = db_owner_pick(vm, b->n + 1, database, domain);
	if (best < b->n)
		owner = b->peers[best]->name;
	free(vm);
	return owner;
}

/* Finds a peer's address; returns false if the peer is unknown. */
bool heartbeat_peer_address(struct heartbeat *b, const char *peer,
			    struct sockaddr_storage *to, socklen_t *len)
{
	const struct peer_vm *v = heartbeat_find_peer(b, peer, false);

	if (!v)
		return false;
	*to = v->addr;
	*len = v->addr_len;
	return true;
}

/* Lets a peer own no database for a while, after a link to it failed. */
void heartbeat_on_link_failed(struct heartbeat *b, const char *peer, usec_t now)
{
	struct peer_vm *v = heartbeat_find_peer(b, peer, false);

	if (!v)
		return;
	v->link_retry_at = now + LINK_RETRY_US;
	b->owners_version++;
}

/* Returns the rendezvous hash of a VM for a service. */
static XXH64_hash_t rank_hash(const char *vm, const char *service)
{
	return XXH3_64bits_withSeed(vm, strlen(vm),
				    XXH3_64bits(service, strlen(service)));
}

/* Sums up what the live peers report about a service's primary. */
struct heartbeat_peer_reports heartbeat_peer_reports(const struct heartbeat *b,
						     const char *service)
{
	struct heartbeat_peer_reports o = { 0 };
	uint32_t i;
	uint32_t j;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		for (j = 0; j < v->n_groups && !v->silent; j++) {
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
 * Sends a heartbeat to each peer. Those that a full socket does not take are
 * lost.
 */
static void send_all(struct heartbeat *b, usec_t now)
{
	msgpack_sbuffer buf;
	uint32_t i;

	msgpack_sbuffer_init(&buf);
	heartbeat_encode(b, &buf, now);
	for (i = 0; i < b->n && buf.size <= DATAGRAM_MAX_BYTES; i++)
		heartbeat_send_to(b, (struct sockaddr *)&b->peers[i]->addr,
				  b->peers[i]->addr_len, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Sends a heartbeat to one peer. */
static void send_one(struct heartbeat *b, const struct peer_vm *v, usec_t now)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	heartbeat_encode(b, &buf, now);
	heartbeat_send_to(b, (const struct sockaddr *)&v->addr, v->addr_len,
			  buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Marks a VM, last received from at "last_seen_at", as silent or as live again.
 */
static void set_silent(struct heartbeat *b, struct peer_vm *v, bool silent,
		       usec_t last_seen_at, usec_t now)
{
	v->silent = silent;
	v->gone = false;
	b->owners_version++;
	log_event(silent ? EV_PEER_GONE : EV_PEER_JOINED,
		  "peer=%s incarnation=%llu silent_us=%lld", v->name,
		  (unsigned long long)v->incarnation,
		  (long long)(last_seen_at ? now - last_seen_at : 0));
	update_quota_peer(b, v, now);
}

/*
 * Updates a peer after its heartbeat. If it was silent, it gets this VM's
 * heartbeat at once, so that it learns without delay that it is received.
 */
void heartbeat_on_received(struct heartbeat *b, struct peer_vm *v,
			   usec_t prev_seen_at)
{
	if (!v->silent) {
		update_quota_peer(b, v, v->last_seen_at);
		return;
	}
	set_silent(b, v, false, prev_seen_at, v->last_seen_at);
	send_one(b, v, v->last_seen_at);
}

/*
 * Tells the rate limits whether requests to a VM work: they do if both VMs
 * receive each other's heartbeats.
 */
static void update_quota_peer(struct heartbeat *b, const struct peer_vm *v,
			      usec_t now)
{
	rate_limit_set_peer(b->proxy->rate_limit, v->name,
			    !v->silent && !v->no_return_path, v->draining, now);
}

/* Sends a datagram to a peer by name. */
void heartbeat_send(struct heartbeat *b, const char *peer, const void *data,
		    size_t len)
{
	struct peer_vm *v = heartbeat_find_peer(b, peer, false);

	if (v)
		heartbeat_send_to(b, (struct sockaddr *)&v->addr, v->addr_len,
				  data, len);
}

/* Sends a datagram to an address. What the socket does not take is lost. */
void heartbeat_send_to(struct heartbeat *b, const struct sockaddr *to,
		       socklen_t to_len, const void *data, size_t len)
{
	if (sendto(b->fd, data, len, MSG_DONTWAIT, to, to_len) == -1)
		return;
	counter_add(CTR_PEER_SENT, 1);
	counter_add(CTR_PEER_SENT_BYTES, len);
}

/* Handles all datagrams that have arrived. */
static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	struct heartbeat *b = ctx;
	static char data[DATAGRAM_MAX_BYTES];
	struct sockaddr_storage from;
	socklen_t len;
	ssize_t n;

	(void)what;
	for (;;) {
		len = sizeof(from);
		n = recvfrom(fd, data, sizeof(data), 0,
			     (struct sockaddr *)&from, &len);
		if (n < 0)
			return;
		heartbeat_receive(b, data, (size_t)n, &from, len);
	}
}

/* Finds a peer, or adds one that is silent until its first heartbeat. */
struct peer_vm *heartbeat_find_peer(struct heartbeat *b, const char *name,
				    bool make)
{
	struct peer_vm **grown;
	struct peer_vm *v;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		if (strcmp(b->peers[i]->name, name) == 0)
			return b->peers[i];
	}
	if (!make || b->n == PEERS_MAX)
		return NULL;
	grown = realloc(b->peers, (b->n + 1) * sizeof(struct peer_vm *));
	if (!grown)
		return NULL;
	b->peers = grown;
	v = calloc(1, sizeof(*v));
	if (!v)
		return NULL;
	snprintf(v->name, sizeof(v->name), "%s", name);
	v->silent = true;
	b->peers[b->n++] = v;
	update_quota_peer(b, v, proxy_now());
	return v;
}

/* Returns the interval between two heartbeats. */
static usec_t send_interval(const struct heartbeat *b)
{
	usec_t interval = (usec_t)b->n * SEND_INTERVAL_PER_PEER_US;

	return interval > b->proxy->policy.heartbeat_interval
		       ? interval
		       : b->proxy->policy.heartbeat_interval;
}
