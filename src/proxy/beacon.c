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
 * what it demands of each team's limit and what it hears of each primary. A
 * lost datagram is made up for by the next; nothing is acknowledged.
 */

#define BEACON_VERSION 1
/* Each VM adds this much to the pause between two beacons, so that what one
 * VM sends and takes in does not grow with the fleet. */
#define PER_PEER_US (6 * USEC_PER_MSEC)
/* Beacons missed in a row before a VM counts as silent. */
#define MISSED_MAX 4
#define PEERS_MAX  QUOTA_PEERS_MAX
/* Groups of one beacon. */
#define GROUPS_MAX	   64
#define DATAGRAM_MAX_BYTES 60000

struct heard_group {
	char service[NAME_MAX_BYTES];
	bool hear;
	bool miss;
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
	msgpack_packer *packing;
	uint32_t demands;
};

static void send_all(struct beacon *b, usec_t now);
static void pack(struct beacon *b, msgpack_sbuffer *buf, usec_t now);
static void pack_group(msgpack_packer *p, struct pgroup *g, usec_t now);
static void count_demand(void *ctx, const char *team, double per_s);
static void pack_demand(void *ctx, const char *team, double per_s);
static void on_readable(evutil_socket_t fd, short what, void *ctx);
static void take(struct beacon *b, const char *data, size_t len,
		 const struct sockaddr_storage *from, socklen_t from_len);
static void take_groups(struct beacon *b, struct peer_vm *v,
			struct wire_reader r);
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

	for (i = 0; i < b->n; i++) {
		struct peer_vm *v = b->peers[i];
		bool silent = v->heard_at == 0 ||
			      now - v->heard_at > MISSED_MAX * pause_of(b);

		if (silent == v->silent)
			continue;
		v->silent = silent;
		log_event(silent ? EV_PEER_GONE : EV_PEER_JOINED,
			  "peer=%s incarnation=%llu silent_us=%lld", v->name,
			  (unsigned long long)v->incarnation,
			  (long long)(v->heard_at ? now - v->heard_at : 0));
		quota_peer(b->proxy->quota, v->name, silent);
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
	const struct proxy *p = b->proxy;
	XXH64_hash_t seed = XXH3_64bits(service, strlen(service));
	const char *own_name = p->kernel->settings.vm;
	XXH64_hash_t own =
		XXH3_64bits_withSeed(own_name, strlen(own_name), seed);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		if (v->silent || v->draining)
			continue;
		if (p->draining ||
		    XXH3_64bits_withSeed(v->name, strlen(v->name), seed) > own)
			rank++;
	}
	return rank;
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
			o.miss += g->miss;
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

/* [version, name, domain, incarnation, draining, news, groups, demands] */
static void pack(struct beacon *b, msgpack_sbuffer *buf, usec_t now)
{
	struct proxy *p = b->proxy;
	const struct settings *s = &p->kernel->settings;
	struct registry_news news = registry_news(p->registry, now);
	msgpack_packer packer;
	uint32_t n = p->n_groups < GROUPS_MAX ? p->n_groups : GROUPS_MAX;
	uint32_t i;

	msgpack_packer_init(&packer, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 8);
	msgpack_pack_uint32(&packer, BEACON_VERSION);
	wire_put_str(&packer, s->vm);
	wire_put_str(&packer, s->domain);
	msgpack_pack_uint64(&packer, p->kernel->incarnation);
	if (p->draining)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, news.catalog);
	msgpack_pack_uint64(&packer, news.databases);
	msgpack_pack_uint64(&packer, news.age_ms);
	msgpack_pack_array(&packer, n);
	for (i = 0; i < n; i++)
		pack_group(&packer, p->groups[i], now);
	b->demands = 0;
	quota_demands(p->quota, now, count_demand, b);
	msgpack_pack_array(&packer, (size_t)b->demands * 2);
	b->packing = &packer;
	quota_demands(p->quota, now, pack_demand, b);
	b->packing = NULL;
}

/* [service, primary, term, hear, miss, at work] */
static void pack_group(msgpack_packer *p, struct pgroup *g, usec_t now)
{
	bool known = g->primary != DB_NONE;
	bool hear = known && hears(g, now);
	enum succession_cause cause = failover_cause(g, now);
	bool miss = known &&
		    (cause == SUCCESSION_SILENT || cause == SUCCESSION_REFUSED);

	msgpack_pack_array(p, 6);
	wire_put_str(p, g->service);
	wire_put_str(p, known ? g->db[g->primary].id : "");
	msgpack_pack_uint64(p, g->lead.term);
	msgpack_pack_uint32(p, hear);
	msgpack_pack_uint32(p, miss);
	msgpack_pack_uint32(p, g->succession.phase != SUCCESSION_IDLE);
}

static void count_demand(void *ctx, const char *team, double per_s)
{
	struct beacon *b = ctx;

	(void)team;
	(void)per_s;
	b->demands++;
}

/* team, operations in 1000 seconds */
static void pack_demand(void *ctx, const char *team, double per_s)
{
	struct beacon *b = ctx;

	wire_put_str(b->packing, team);
	msgpack_pack_uint64(b->packing, (uint64_t)(per_s * 1000));
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

/* Takes in one beacon; one of an earlier incarnation is dropped. */
static void take(struct beacon *b, const char *data, size_t len,
		 const struct sockaddr_storage *from, socklen_t from_len)
{
	struct wire_reader r;
	struct wire_reader groups;
	struct wire_reader demands;
	struct wire_reader told;
	struct registry_news news;
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char team[NAME_MAX_BYTES];
	uint64_t incarnation;
	msgpack_unpacked u;
	struct peer_vm *v;
	bool draining;

	counter_add(CTR_PEER_RECEIVED, 1);
	counter_add(CTR_PEER_RECEIVED_BYTES, len);
	msgpack_unpacked_init(&u);
	if (!wire_unpack(&u, data, len))
		goto bad;
	r = wire_array(&u.data, 8);
	if (wire_u64(&r) != BEACON_VERSION)
		goto bad;
	wire_str(&r, name, sizeof(name));
	wire_str(&r, domain, sizeof(domain));
	incarnation = wire_u64(&r);
	draining = wire_bool(&r);
	told = wire_sub(&r, 3);
	news.catalog = wire_u64(&told);
	news.databases = wire_u64(&told);
	news.age_ms = wire_u64(&told);
	groups = wire_sub(&r, GROUPS_MAX);
	demands = wire_sub(&r, QUOTA_TEAMS_MAX * 2);
	if (r.bad || told.bad || name[0] == '\0' ||
	    strcmp(name, b->proxy->kernel->settings.vm) == 0)
		goto bad;
	v = find(b, name, true);
	if (!v || incarnation < v->incarnation)
		goto bad;
	v->incarnation = incarnation;
	v->heard_at = proxy_now();
	v->draining = draining;
	v->to = *from;
	v->to_len = from_len;
	snprintf(v->domain, sizeof(v->domain), "%s", domain);
	take_groups(b, v, groups);
	quota_peer_quiet(b->proxy->quota, name);
	while (demands.left >= 2 && !demands.bad) {
		wire_str(&demands, team, sizeof(team));
		quota_peer_demand(b->proxy->quota, name, team,
				  (double)wire_u64(&demands) / 1000);
	}
	msgpack_unpacked_destroy(&u);
	registry_peer_news(b->proxy->registry, &news, v->heard_at);
	return;
bad:
	msgpack_unpacked_destroy(&u);
	counter_add(CTR_PEER_BAD, 1);
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
		h->miss = wire_u64(&e) != 0;
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
			h->miss = false;
		}
	}
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
	quota_peer(b->proxy->quota, name, true);
	b->peers[b->n++] = v;
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
