#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/beacon_own.h"

/*
 * Every VM tells every other, a few times a second and in one datagram each,
 * that it lives, whom it does not hear and what it hears of primaries that
 * someone misses. A lost datagram is made up for by the next; nothing is
 * acknowledged. The same socket carries the questions of limits.c and proofs.c.
 */

/* Each VM adds this much to the pause between two beacons, so that what one
 * VM sends and takes in does not grow with the fleet. */
#define PER_PEER_US (6 * USEC_PER_MSEC)
/* Beacons missed in a row before a VM counts as silent. */
#define MISSED_MAX 4
#define PEERS_MAX  QUOTA_PEERS_MAX
/* A VM silent for so long has been removed; one that is only frozen or cut off
 * is so for seconds. */
#define GONE_US (30 * USEC_PER_SEC)
/* A pause between two ticks in which others took this VM for silent. */
#define STOOD_STILL_US	   (500 * USEC_PER_MSEC)
#define DATAGRAM_MAX_BYTES 60000

static void send_all(struct beacon *b, usec_t now);
static void send_one(struct beacon *b, const struct peer_vm *v, usec_t now);
static void set_silent(struct beacon *b, struct peer_vm *v, bool silent,
		       usec_t heard_at, usec_t now);
static void tell_quota(struct beacon *b, const struct peer_vm *v, usec_t now);
static void on_readable(evutil_socket_t fd, short what, void *ctx);
static XXH64_hash_t rank_of(const char *vm, const char *service);
static usec_t pause_of(const struct beacon *b);

/* Opens the socket on the VM's address for peers; NULL if that fails. */
struct beacon *beacon_create(struct proxy *p, struct error *e)
{
	const char *address = p->kernel->settings.peer_listen;
	struct sockaddr_storage at;
	struct beacon *b;
	socklen_t len;

	b = calloc(1, sizeof(*b));
	if (!b || !address_parse(address, &at, &len)) {
		free(b);
		error_set(e, ERR_SETTINGS, STEP_LISTEN, address,
			  "not an address for peers");
		return NULL;
	}
	b->proxy = p;
	b->fd = socket(at.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		       0);
	if (b->fd == -1 || bind(b->fd, (struct sockaddr *)&at, len) == -1 ||
	    getsockname(b->fd, (struct sockaddr *)&at, &len) == -1) {
		error_set(e, ERR_SYSTEM, STEP_LISTEN, address, "%m");
		if (b->fd != -1)
			close(b->fd);
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

/* Sends when it is time, and notes who has fallen silent. */
void beacon_tick(struct beacon *b, usec_t now)
{
	uint32_t i;

	if (b->ticked_at && now - b->ticked_at > STOOD_STILL_US)
		quota_lapse(b->proxy->quota, now);
	b->ticked_at = now;
	if (b->proxy->draining && !b->left) {
		b->left = true;
		b->changes++;
		quota_leave(b->proxy->quota, now);
	}
	for (i = 0; i < b->n; i++) {
		struct peer_vm *v = b->peers[i];
		bool silent = v->heard_at == 0 ||
			      now - v->heard_at > MISSED_MAX * pause_of(b);

		if (v->silent && !v->gone && v->heard_at &&
		    now - v->heard_at > GONE_US) {
			v->gone = true;
			quota_peer_gone(b->proxy->quota, v->name, now);
		}
		if (silent && !v->silent)
			set_silent(b, v, true, v->heard_at, now);
	}
	if (beacon_live(b) * 2 < b->n)
		b->alone_at = now;
	if (now < b->due)
		return;
	b->due = now + pause_of(b);
	send_all(b, now);
}

/* Tells whether most others have been heard for as long as silence takes. */
bool beacon_in_company(const struct beacon *b, usec_t now)
{
	return b->alone_at == 0 || now - b->alone_at > b->proxy->policy.silence;
}

/* Makes the next beacon due. */
void beacon_hurry(struct beacon *b)
{
	b->due = 0;
	beacon_tick(b, proxy_now());
}

/* A VM that the platform lists. */
void beacon_peer(struct beacon *b, const struct registry_vm *vm)
{
	struct peer_vm *v;
	struct sockaddr_storage to;
	socklen_t len;

	if (strcmp(vm->name, b->proxy->kernel->settings.vm) == 0 ||
	    !address_parse(vm->peer, &to, &len))
		return;
	v = beacon_find(b, vm->name, true);
	if (!v || vm->incarnation < v->incarnation)
		return;
	if (v->incarnation != vm->incarnation || v->heard_at == 0) {
		v->incarnation = vm->incarnation;
		v->to = to;
		v->to_len = len;
		snprintf(v->domain, sizeof(v->domain), "%s", vm->domain);
		b->due = 0;
	}
}

/* A hash of the names of all VMs known, whatever their order. */
uint64_t beacon_names(const struct beacon *b)
{
	const char *own = b->proxy->kernel->settings.vm;
	uint64_t h = XXH3_64bits(own, strlen(own));
	uint32_t i;

	for (i = 0; i < b->n; i++)
		h ^= XXH3_64bits(b->peers[i]->name, strlen(b->peers[i]->name));
	return h;
}

/* VMs known besides this one. */
uint32_t beacon_peers(const struct beacon *b)
{
	return b->n;
}

/* VMs heard lately, besides this one. */
uint32_t beacon_live(const struct beacon *b)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++)
		n += !b->peers[i]->silent;
	return n;
}

/* Counts the live VMs whose hash for the service is above this one's. */
uint32_t beacon_rank(const struct beacon *b, const char *service)
{
	XXH64_hash_t own = rank_of(b->proxy->kernel->settings.vm, service);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		if (v->silent || v->draining)
			continue;
		if (b->proxy->draining || rank_of(v->name, service) > own)
			rank++;
	}
	return rank;
}

/* Counts the changes after which beacon_first() may give another answer. */
uint64_t beacon_changes(const struct beacon *b)
{
	return b->changes;
}

/* Names the live peer with the highest hash, if it is above this one's. */
const char *beacon_first(const struct beacon *b, const char *service)
{
	const struct peer_vm *first = NULL;
	XXH64_hash_t best = 0;
	uint32_t i;

	if (!b->proxy->draining)
		best = rank_of(b->proxy->kernel->settings.vm, service);
	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];
		XXH64_hash_t h;

		if (v->silent || v->draining || v->deaf)
			continue;
		h = rank_of(v->name, service);
		if (h > best) {
			best = h;
			first = v;
		}
	}
	return first ? first->name : NULL;
}

static XXH64_hash_t rank_of(const char *vm, const char *service)
{
	return XXH3_64bits_withSeed(vm, strlen(vm),
				    XXH3_64bits(service, strlen(service)));
}

/* Sums up what live peers say of a service's primary. */
struct beacon_opinion beacon_opinion(const struct beacon *b,
				     const char *service)
{
	struct beacon_opinion o = { 0 };
	uint32_t i;
	uint32_t j;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		for (j = 0; j < v->n_groups && !v->silent; j++) {
			const struct heard_group *g = &v->groups[j];

			if (strcmp(g->service, service) != 0)
				continue;
			o.hear += g->hear;
			o.miss += g->doubt == DOUBT_MISS;
			o.doubt |= g->doubt != DOUBT_NONE;
			o.at_work |= g->at_work;
		}
	}
	return o;
}

/* Sends one beacon to each peer; a full socket drops the rest. */
static void send_all(struct beacon *b, usec_t now)
{
	msgpack_sbuffer buf;
	uint32_t i;

	msgpack_sbuffer_init(&buf);
	beacon_pack(b, &buf, now);
	for (i = 0; i < b->n && buf.size <= DATAGRAM_MAX_BYTES; i++)
		beacon_reply(b, (struct sockaddr *)&b->peers[i]->to,
			     b->peers[i]->to_len, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Sends a beacon to one peer. */
static void send_one(struct beacon *b, const struct peer_vm *v, usec_t now)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	beacon_pack(b, &buf, now);
	beacon_reply(b, (const struct sockaddr *)&v->to, v->to_len, buf.data,
		     buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* A VM last heard at "heard_at" has fallen silent, or is heard again. */
static void set_silent(struct beacon *b, struct peer_vm *v, bool silent,
		       usec_t heard_at, usec_t now)
{
	v->silent = silent;
	v->gone = false;
	b->changes++;
	log_event(silent ? EV_PEER_GONE : EV_PEER_JOINED,
		  "peer=%s incarnation=%llu silent_us=%lld", v->name,
		  (unsigned long long)v->incarnation,
		  (long long)(heard_at ? now - heard_at : 0));
	tell_quota(b, v, now);
}

/*
 * Takes note of a beacon. One that was not heard before gets this VM's at once:
 * it shall not wait for the next one to know that it is heard.
 */
void beacon_heard(struct beacon *b, struct peer_vm *v, usec_t before)
{
	if (!v->silent) {
		tell_quota(b, v, v->heard_at);
		return;
	}
	set_silent(b, v, false, before, v->heard_at);
	send_one(b, v, v->heard_at);
}

/* A VM can be asked if it and this one hear each other. */
static void tell_quota(struct beacon *b, const struct peer_vm *v, usec_t now)
{
	quota_peer(b->proxy->quota, v->name, !v->silent && !v->deaf,
		   v->draining, now);
}

/* Sends to a peer by name. */
void beacon_send(struct beacon *b, const char *peer, const void *data,
		 size_t len)
{
	struct peer_vm *v = beacon_find(b, peer, false);

	if (v)
		beacon_reply(b, (struct sockaddr *)&v->to, v->to_len, data,
			     len);
}

/* Sends to an address; what the socket does not take is lost. */
void beacon_reply(struct beacon *b, const struct sockaddr *to, socklen_t to_len,
		  const void *data, size_t len)
{
	if (sendto(b->fd, data, len, MSG_DONTWAIT, to, to_len) == -1)
		return;
	counter_add(CTR_PEER_SENT, 1);
	counter_add(CTR_PEER_SENT_BYTES, len);
}

/* Takes in all datagrams that wait. */
static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	struct beacon *b = ctx;
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
		beacon_take(b, data, (size_t)n, &from, len);
	}
}

/* Finds a peer, or makes one that has not been heard yet. */
struct peer_vm *beacon_find(struct beacon *b, const char *name, bool make)
{
	struct peer_vm **more;
	struct peer_vm *v;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		if (strcmp(b->peers[i]->name, name) == 0)
			return b->peers[i];
	}
	if (!make || b->n == PEERS_MAX)
		return NULL;
	more = realloc(b->peers, (b->n + 1) * sizeof(struct peer_vm *));
	if (!more)
		return NULL;
	b->peers = more;
	v = calloc(1, sizeof(*v));
	if (!v)
		return NULL;
	snprintf(v->name, sizeof(v->name), "%s", name);
	v->silent = true;
	b->peers[b->n++] = v;
	tell_quota(b, v, proxy_now());
	return v;
}

/* The pause between two beacons. */
static usec_t pause_of(const struct beacon *b)
{
	usec_t grown = (usec_t)b->n * PER_PEER_US;

	return grown > b->proxy->policy.beacon_every
		       ? grown
		       : b->proxy->policy.beacon_every;
}
