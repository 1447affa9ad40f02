#include <errno.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/wire.h"
#include "proxy/proxy_own.h"

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
/* Groups of one beacon. */
#define GROUPS_MAX 64
/* VMs named in one beacon as not heard. */
#define SILENT_MAX 64
/* A change of a group's primary is told for so long, in each beacon. */
#define NEWS_US (5 * USEC_PER_SEC)
/* A VM silent for so long has been removed; one that is only frozen or cut off
 * is so for seconds. */
#define GONE_US (30 * USEC_PER_SEC)
/*
 * A primary that has left something unanswered for so long is told of, so that
 * others say whether they hear it: a quarter of the time after which it is
 * missed.
 */
#define WAITS_US (150 * USEC_PER_MSEC)
/* A pause between two ticks in which others took this VM for silent. */
#define STOOD_STILL_US	   (500 * USEC_PER_MSEC)
#define DATAGRAM_MAX_BYTES 60000

/* What a VM says of a primary that it can't say it hears. */
enum doubt {
	DOUBT_NONE,
	DOUBT_MISS,  /* would replace it */
	DOUBT_WAITS, /* waits for an answer for longer than is usual */
};

struct heard_group {
	char service[NAME_MAX_BYTES];
	bool hear;
	enum doubt doubt;
	bool at_work;
};

struct peer_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	struct sockaddr_storage to;
	socklen_t to_len;
	uint64_t incarnation;
	usec_t heard_at; /* 0: never */
	bool silent;
	bool deaf; /* it does not hear this VM, as it says */
	bool gone;
	bool draining;
	uint32_t n_groups;
	struct heard_group groups[GROUPS_MAX];
};

struct beacon {
	struct proxy *proxy;
	evutil_socket_t fd;
	struct event *readable;
	uint32_t n;
	struct peer_vm **peers;
	usec_t due;
	usec_t alone_at; /* most others were not heard then */
	usec_t ticked_at;
	uint64_t changes; /* of who may keep something; see beacon_first() */
	bool left;
};

static void send_all(struct beacon *b, usec_t now);
static void send_one(struct beacon *b, const struct peer_vm *v, usec_t now);
static void set_silent(struct beacon *b, struct peer_vm *v, bool silent,
		       usec_t heard_at, usec_t now);
static void pack(struct beacon *b, msgpack_sbuffer *buf, usec_t now);
static void pack_group(msgpack_packer *p, struct pgroup *g, usec_t now);
static void pack_silent(const struct beacon *b, msgpack_packer *p);
static bool to_tell(const struct beacon *b, struct pgroup *g, usec_t now);
static enum doubt doubt_of(struct pgroup *g, usec_t now);
static void tell_quota(struct beacon *b, const struct peer_vm *v, usec_t now);
static void on_readable(evutil_socket_t fd, short what, void *ctx);
static void take(struct beacon *b, const char *data, size_t len,
		 const struct sockaddr_storage *from, socklen_t from_len);
static bool take_beacon(struct beacon *b, struct wire_reader *r,
			const struct sockaddr_storage *from,
			socklen_t from_len);
static bool names_self(const struct beacon *b, struct wire_reader r);
static void take_groups(struct beacon *b, struct peer_vm *v,
			struct wire_reader r);
static enum doubt doubt_from(uint64_t v);
static XXH64_hash_t rank_of(const char *vm, const char *service);
static struct peer_vm *find(struct beacon *b, const char *name, bool make);
static bool hears(struct pgroup *g, usec_t now);
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

/* Closes the socket and forgets the peers. */
void beacon_destroy(struct beacon *b)
{
	uint32_t i;

	if (!b)
		return;
	if (b->readable)
		event_free(b->readable);
	close(b->fd);
	for (i = 0; i < b->n; i++)
		free(b->peers[i]);
	free(b->peers);
	free(b);
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
	v = find(b, vm->name, true);
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
	pack(b, &buf, now);
	for (i = 0; i < b->n && buf.size <= DATAGRAM_MAX_BYTES; i++) {
		if (sendto(b->fd, buf.data, buf.size, MSG_DONTWAIT,
			   (struct sockaddr *)&b->peers[i]->to,
			   b->peers[i]->to_len) == -1)
			continue;
		counter_add(CTR_PEER_SENT, 1);
		counter_add(CTR_PEER_SENT_BYTES, buf.size);
	}
	msgpack_sbuffer_destroy(&buf);
}

/* Sends a beacon to one peer. */
static void send_one(struct beacon *b, const struct peer_vm *v, usec_t now)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	pack(b, &buf, now);
	beacon_reply(b, (const struct sockaddr *)&v->to, v->to_len, buf.data,
		     buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* [kind, name, domain, incarnation, draining, news, groups, silent] */
static void pack(struct beacon *b, msgpack_sbuffer *buf, usec_t now)
{
	struct proxy *p = b->proxy;
	const struct settings *s = &p->kernel->settings;
	struct registry_news news = registry_news(p->registry, now);
	struct pgroup *tell[GROUPS_MAX];
	msgpack_packer packer;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < p->n_groups && n < GROUPS_MAX; i++) {
		if (to_tell(b, p->groups[i], now))
			tell[n++] = p->groups[i];
	}
	msgpack_packer_init(&packer, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 8);
	msgpack_pack_uint32(&packer, PEER_BEACON);
	wire_put_str(&packer, s->vm);
	wire_put_str(&packer, s->domain);
	msgpack_pack_uint64(&packer, p->kernel->incarnation);
	if (p->draining)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_uint64(&packer, news.catalog);
	msgpack_pack_uint64(&packer, news.databases);
	msgpack_pack_uint64(&packer, news.age_ms);
	msgpack_pack_uint64(&packer, news.vms);
	msgpack_pack_array(&packer, n);
	for (i = 0; i < n; i++)
		pack_group(&packer, tell[i], now);
	pack_silent(b, &packer);
}

/*
 * A group is told of while this VM or another doubts its primary or is at
 * work on it, and for a while after its primary has changed.
 */
static bool to_tell(const struct beacon *b, struct pgroup *g, usec_t now)
{
	struct beacon_opinion o = beacon_opinion(b, g->service);

	return g->succession.phase != SUCCESSION_IDLE || o.doubt || o.at_work ||
	       now - g->led_at < NEWS_US || doubt_of(g, now) != DOUBT_NONE;
}

/* What this VM thinks of a group's primary. */
static enum doubt doubt_of(struct pgroup *g, usec_t now)
{
	enum succession_cause cause = failover_cause(g, now);
	const struct pdb *d;

	if (g->primary == DB_NONE)
		return DOUBT_NONE;
	if (cause == SUCCESSION_SILENT || cause == SUCCESSION_REFUSED)
		return DOUBT_MISS;
	d = &g->db[g->primary];
	return d->silent_since && now - d->silent_since > WAITS_US ? DOUBT_WAITS
								   : DOUBT_NONE;
}

/* The names of VMs that are listed, but not heard. */
static void pack_silent(const struct beacon *b, msgpack_packer *p)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < b->n && n < SILENT_MAX; i++)
		n += b->peers[i]->silent && !b->peers[i]->gone;
	msgpack_pack_array(p, n);
	for (i = 0; i < b->n && n > 0; i++) {
		if (!b->peers[i]->silent || b->peers[i]->gone)
			continue;
		wire_put_str(p, b->peers[i]->name);
		n--;
	}
}

/* [service, primary, term, hear, doubt, at work] */
static void pack_group(msgpack_packer *p, struct pgroup *g, usec_t now)
{
	bool known = g->primary != DB_NONE;
	bool hear = known && hears(g, now);

	msgpack_pack_array(p, 6);
	wire_put_str(p, g->service);
	wire_put_str(p, known ? g->db[g->primary].id : "");
	msgpack_pack_uint64(p, g->lead.term);
	msgpack_pack_uint32(p, hear);
	msgpack_pack_uint32(p, doubt_of(g, now));
	msgpack_pack_uint32(p, g->succession.phase != SUCCESSION_IDLE);
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
	struct peer_vm *v = find(b, peer, false);

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
		take(b, data, (size_t)n, &from, len);
	}
}

/* Takes in one datagram; its first field tells its kind. */
static void take(struct beacon *b, const char *data, size_t len,
		 const struct sockaddr_storage *from, socklen_t from_len)
{
	struct wire_reader r = { .bad = true };
	msgpack_unpacked u;

	counter_add(CTR_PEER_RECEIVED, 1);
	counter_add(CTR_PEER_RECEIVED_BYTES, len);
	msgpack_unpacked_init(&u);
	if (wire_unpack(&u, data, len))
		r = wire_array(&u.data, 3);
	switch (wire_u64(&r)) {
	case PEER_BEACON:
		r.bad |= !take_beacon(b, &r, from, from_len);
		break;
	case PEER_ASK:
		limits_take_ask(b->proxy->limits, &r,
				(const struct sockaddr *)from, from_len);
		break;
	case PEER_GRANT:
		limits_take_grant(b->proxy->limits, &r);
		break;
	case PEER_PROVE:
		proofs_take_ask(b->proxy, &r, (const struct sockaddr *)from,
				from_len);
		break;
	case PEER_PROOF:
		proofs_take_answer(b->proxy, &r);
		break;
	default:
		r.bad = true;
		break;
	}
	if (r.bad)
		counter_add(CTR_PEER_BAD, 1);
	msgpack_unpacked_destroy(&u);
}

/* Takes in one beacon; false for one of an earlier incarnation, or a bad one.
 */
static bool take_beacon(struct beacon *b, struct wire_reader *r,
			const struct sockaddr_storage *from, socklen_t from_len)
{
	struct wire_reader groups;
	struct wire_reader silent;
	struct wire_reader told;
	struct registry_news news;
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t incarnation;
	struct peer_vm *v;
	usec_t before;
	bool draining;
	bool deaf;

	wire_str(r, name, sizeof(name));
	wire_str(r, domain, sizeof(domain));
	incarnation = wire_u64(r);
	draining = wire_bool(r);
	told = wire_sub(r, 4);
	news.catalog = wire_u64(&told);
	news.databases = wire_u64(&told);
	news.age_ms = wire_u64(&told);
	news.vms = wire_u64(&told);
	groups = wire_sub(r, GROUPS_MAX);
	silent = wire_sub(r, SILENT_MAX);
	if (r->bad || told.bad || name[0] == '\0' ||
	    strcmp(name, b->proxy->kernel->settings.vm) == 0)
		return false;
	v = find(b, name, true);
	if (!v || incarnation < v->incarnation)
		return false;
	before = v->heard_at;
	v->incarnation = incarnation;
	v->heard_at = proxy_now();
	deaf = names_self(b, silent);
	b->changes += draining != v->draining || deaf != v->deaf;
	v->draining = draining;
	v->deaf = deaf;
	v->to = *from;
	v->to_len = from_len;
	snprintf(v->domain, sizeof(v->domain), "%s", domain);
	take_groups(b, v, groups);
	if (v->silent) {
		set_silent(b, v, false, before, v->heard_at);
		/* It shall not wait for the next one to know that. */
		send_one(b, v, v->heard_at);
	} else {
		tell_quota(b, v, v->heard_at);
	}
	registry_peer_news(b->proxy->registry, &news, v->heard_at);
	return true;
}

/* Is this VM among those that the peer does not hear? */
static bool names_self(const struct beacon *b, struct wire_reader r)
{
	char name[NAME_MAX_BYTES];

	while (r.left > 0 && !r.bad) {
		wire_str(&r, name, sizeof(name));
		if (strcmp(name, b->proxy->kernel->settings.vm) == 0)
			return true;
	}
	return false;
}

/* What the peer says of each group; a later primary is taken over. */
static void take_groups(struct beacon *b, struct peer_vm *v,
			struct wire_reader r)
{
	char primary[NAME_MAX_BYTES];
	uint64_t term;

	v->n_groups = 0;
	while (r.left > 0 && v->n_groups < GROUPS_MAX) {
		struct wire_reader e = wire_sub(&r, 6);
		struct heard_group *h = &v->groups[v->n_groups];
		struct pgroup *g;
		uint32_t db;

		wire_str(&e, h->service, sizeof(h->service));
		wire_str(&e, primary, sizeof(primary));
		term = wire_u64(&e);
		h->hear = wire_u64(&e) != 0;
		h->doubt = doubt_from(wire_u64(&e));
		h->at_work = wire_u64(&e) != 0;
		if (e.bad || r.bad)
			return;
		v->n_groups++;
		g = cluster_group(b->proxy, h->service);
		if (!g || primary[0] == '\0')
			continue;
		db = cluster_find(g, primary);
		if (term > g->lead.term && db != DB_NONE)
			cluster_lead(g, db, term, v->name);
		else if (term > g->lead.term)
			registry_hurry(b->proxy->registry, proxy_now());
		/* An opinion counts for the primary that this VM means. */
		if (term != g->lead.term) {
			h->hear = false;
			h->doubt = DOUBT_NONE;
		}
	}
}

static enum doubt doubt_from(uint64_t v)
{
	return v == DOUBT_MISS	  ? DOUBT_MISS
	       : v == DOUBT_WAITS ? DOUBT_WAITS
				  : DOUBT_NONE;
}

/* Finds a peer, or makes one that has not been heard yet. */
static struct peer_vm *find(struct beacon *b, const char *name, bool make)
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

/* Has the primary answered lately? */
static bool hears(struct pgroup *g, usec_t now)
{
	const struct pdb *d = &g->db[g->primary];

	return d->heard_at && now - d->heard_at < g->proxy->policy.silence &&
	       !(d->silent_since &&
		 now - d->silent_since > g->proxy->policy.silence);
}

/* The pause between two beacons. */
static usec_t pause_of(const struct beacon *b)
{
	usec_t grown = (usec_t)b->n * PER_PEER_US;

	return grown > b->proxy->policy.beacon_every
		       ? grown
		       : b->proxy->policy.beacon_every;
}
