#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "decide/peer_gossip.h"
#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/heartbeat_internal.h"

/*
 * VMs send each other heartbeats several times a second, one datagram each: in
 * a small fleet every VM to every other, in a larger one to a few (see
 * decide/peer_gossip.h). A heartbeat shows that the VM is alive, passes on how
 * old its news of the other VMs is, and tells the state of groups whose primary
 * is suspected. Nothing is acknowledged; the next heartbeat replaces a lost
 * one. The same socket carries the requests of rate_limit_client.c and
 * db_group_proof.c, and the reads of heartbeat_confirm.c.
 */

#define PEERS_MAX RATE_LIMIT_PEERS_MAX
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

static void note_platform(struct heartbeat *b, usec_t now);
static void send_round(struct heartbeat *b, usec_t now);
static void add_failover_peers(struct heartbeat *b, struct db_group *g,
			       bool *targets);
static uint64_t draw_random(void *ctx);
static bool is_silent(const struct heartbeat *b, const struct peer_vm *v,
		      usec_t now);
static bool add_peer(struct heartbeat *b, struct peer_vm *v);
static void send_one(struct heartbeat *b, const struct peer_vm *v, usec_t now);
static void set_silent(struct heartbeat *b, struct peer_vm *v, bool silent,
		       usec_t last_seen_at, usec_t now);
static void update_quota_peer(struct heartbeat *b, const struct peer_vm *v,
			      usec_t now);
static void on_readable(evutil_socket_t fd, short what, void *ctx);
static int bind_ports(struct heartbeat *b, struct sockaddr_storage *at,
		      socklen_t *len);

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
	b->members_hash = XXH3_64bits(p->kernel->settings.vm,
				      strlen(p->kernel->settings.vm));
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
 * this VM's tokens, with a log line, after too long a gap between two ticks,
 * and leaves the rate limits when the VM begins to drain.
 */
void heartbeat_tick(struct heartbeat *b, usec_t now)
{
	usec_t former = b->ticked_at;
	uint32_t i;

	b->ticked_at = now;
	if (former && now - former > TICK_GAP_MAX_US) {
		log_event(EV_VM_SUSPENDED, "gap_us=%lld",
			  (long long)(now - former));
		rate_limit_drop_tokens(b->proxy->rate_limit, now);
		/* These datagrams may have waited since the former tick. */
		b->reads_waiting = true;
		on_readable(b->fd, EV_READ, b);
		b->reads_waiting = false;
	}
	if (!b->reads_waiting)
		b->arrived_after = now;
	if (b->proxy->draining && !b->left) {
		b->left = true;
		b->owners_version++;
		rate_limit_leave(b->proxy->rate_limit, now);
	}
	for (i = 0; i < b->n; i++) {
		struct peer_vm *v = b->peers[i];
		bool silent = is_silent(b, v, now);

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
	note_platform(b, now);
	if (heartbeat_n_live(b) * 2 < b->n)
		b->minority_at = now;
	if (now < b->next_send_at)
		return;
	b->next_send_at = now + peer_gossip_interval(b->n);
	send_round(b, now);
}

/* Tells the domain if the platform no longer answers this VM, or does again. */
static void note_platform(struct heartbeat *b, usec_t now)
{
	bool fails = registry_platform_fails(b->proxy->registry, now);

	if (fails == b->own_platform_fails)
		return;
	b->own_platform_fails = fails;
	b->platform_version++;
	heartbeat_tell_domain(b);
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
	if (v->incarnation != vm->incarnation || v->direct_seen_at == 0) {
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
	return b->members_hash;
}

/* Returns the failure domain of a peer; NULL if the peer is unknown. */
const char *heartbeat_peer_domain(const struct heartbeat *b, const char *peer)
{
	const struct peer_vm *v =
		heartbeat_find_peer((struct heartbeat *)b, peer, false);

	return v ? v->domain : NULL;
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

/*
 * Sends a heartbeat to the targets of this round, and to the VMs that take part
 * in a failover. Those that a full socket does not take are lost.
 */
static void send_round(struct heartbeat *b, usec_t now)
{
	const char *domain = b->proxy->kernel->settings.domain;
	uint32_t *picked = calloc(b->n + 1, sizeof(*picked));
	bool *is_local = calloc(b->n + 1, sizeof(*is_local));
	bool *targets = calloc(b->n + 1, sizeof(*targets));
	msgpack_sbuffer buf;
	uint32_t n;
	uint32_t i;

	msgpack_sbuffer_init(&buf);
	if (!picked || !is_local || !targets)
		goto done;
	heartbeat_update_readers(b);
	for (i = 0; i < b->n; i++)
		is_local[i] = strcmp(b->peers[i]->domain, domain) == 0;
	n = peer_gossip_pick(is_local, b->n, draw_random, b->proxy, picked);
	for (i = 0; i < n; i++)
		targets[picked[i]] = true;
	for (i = 0; i < b->n; i++)
		targets[i] |= (b->tell_domain && is_local[i]) ||
			      (b->tell_readers && b->peers[i]->is_reader);
	b->tell_domain = false;
	b->tell_readers = false;
	for (i = 0; i < b->proxy->n_groups && !heartbeat_is_full_mesh(b); i++) {
		if (heartbeat_is_urgent(b, b->proxy->groups[i], now))
			add_failover_peers(b, b->proxy->groups[i], targets);
	}
	heartbeat_encode(b, &buf, now);
	for (i = 0; i < b->n && buf.size <= DATAGRAM_MAX_BYTES; i++) {
		const struct peer_vm *v = b->peers[i];

		if (targets[i])
			heartbeat_send_to(b, (const struct sockaddr *)&v->addr,
					  v->addr_len, buf.data, buf.size);
	}
done:
	msgpack_sbuffer_destroy(&buf);
	free(picked);
	free(is_local);
	free(targets);
}

/*
 * Adds the VMs that can judge or replace the group's primary: the first by rank
 * and the owners of its databases.
 */
static void add_failover_peers(struct heartbeat *b, struct db_group *g,
			       bool *targets)
{
	uint32_t picked[FAILOVER_FIRST_RANKS];
	uint32_t n = heartbeat_first_ranks(b, g->service, picked);
	uint32_t i;

	for (i = 0; i < n; i++)
		targets[picked[i]] = true;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const char *owner =
			g->db[i].present ? db_member_owner(&g->db[i]) : NULL;
		uint32_t j;

		for (j = 0; owner && j < b->n; j++)
			targets[j] |= strcmp(b->peers[j]->name, owner) == 0;
	}
}

/* Sends the next heartbeat at once, also to all VMs of the failure domain. */
void heartbeat_tell_domain(struct heartbeat *b)
{
	b->tell_domain = true;
	b->next_send_at = 0;
}

/* Sends the next heartbeat at once, also to all VMs that read. */
void heartbeat_tell_readers(struct heartbeat *b)
{
	b->tell_readers = true;
	b->next_send_at = 0;
}

/* Draws a random number, for peer_gossip_pick(). */
static uint64_t draw_random(void *ctx)
{
	return proxy_random(ctx);
}

/*
 * True if there is no recent news of a peer. In a small fleet only its own
 * heartbeats count.
 */
static bool is_silent(const struct heartbeat *b, const struct peer_vm *v,
		      usec_t now)
{
	usec_t seen_at =
		heartbeat_is_full_mesh(b) ? v->direct_seen_at : v->last_seen_at;

	return seen_at == 0 || now - seen_at > peer_gossip_timeout(b->n);
}

/* True if all VMs of the fleet send each other every heartbeat. */
bool heartbeat_is_full_mesh(const struct heartbeat *b)
{
	return b->n <= PEER_GOSSIP_ALL_MAX;
}

/* Applies newer news of a peer that another one passed on. */
void heartbeat_on_news(struct heartbeat *b, struct peer_vm *v, usec_t seen_at,
		       const struct peer_news *n, usec_t now)
{
	usec_t prev_seen_at = v->last_seen_at;

	if (seen_at <= v->last_seen_at)
		return;
	v->last_seen_at = seen_at;
	b->platform_version += n->platform_fails != v->platform_fails;
	v->platform_fails = n->platform_fails;
	if (n->ready != v->ready || n->draining != v->draining ||
	    n->capacity != v->capacity) {
		v->ready = n->ready;
		v->draining = n->draining;
		v->capacity = n->capacity;
		b->owners_version++;
		update_quota_peer(b, v, now);
	}
	if (v->silent && !is_silent(b, v, now))
		set_silent(b, v, false, prev_seen_at, now);
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
		update_quota_peer(b, v, v->direct_seen_at);
		return;
	}
	set_silent(b, v, false, prev_seen_at, v->direct_seen_at);
	send_one(b, v, v->direct_seen_at);
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
	uint32_t hash = heartbeat_name_hash(name);
	struct peer_vm *v = heartbeat_find_hash(b, hash);

	if (v)
		return strcmp(v->name, name) == 0 ? v : NULL;
	if (!make || b->n == PEERS_MAX)
		return NULL;
	v = calloc(1, sizeof(*v));
	if (!v)
		return NULL;
	snprintf(v->name, sizeof(v->name), "%s", name);
	v->name_hash = hash;
	v->silent = true;
	if (!add_peer(b, v)) {
		free(v);
		return NULL;
	}
	b->members_hash ^= XXH3_64bits(name, strlen(name));
	update_quota_peer(b, v, proxy_now());
	return v;
}

/* Adds a peer to both tables. Returns false if memory is short. */
static bool add_peer(struct heartbeat *b, struct peer_vm *v)
{
	const size_t size = (b->n + 1) * sizeof(struct peer_vm *);
	struct peer_vm **peers = realloc(b->peers, size);
	struct peer_vm **by_hash;
	uint32_t i = b->n;

	if (!peers)
		return false;
	b->peers = peers;
	by_hash = realloc(b->by_hash, size);
	if (!by_hash)
		return false;
	b->by_hash = by_hash;
	b->peers[b->n++] = v;
	for (; i > 0 && by_hash[i - 1]->name_hash > v->name_hash; i--)
		by_hash[i] = by_hash[i - 1];
	by_hash[i] = v;
	return true;
}

/* Finds a peer by the hash of its name, by binary search; NULL if unknown. */
struct peer_vm *heartbeat_find_hash(const struct heartbeat *b, uint32_t hash)
{
	uint32_t low = 0;
	uint32_t high = b->n;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (b->by_hash[middle]->name_hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low < b->n && b->by_hash[low]->name_hash == hash
		       ? b->by_hash[low]
		       : NULL;
}

/* Returns the hash that stands for a VM's name in heartbeats. */
uint32_t heartbeat_name_hash(const char *name)
{
	return (uint32_t)XXH3_64bits(name, strlen(name));
}
