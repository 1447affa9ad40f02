#include <string.h>

#include "decide/peer_gossip.h"
#include "kernel/counters.h"
#include "kernel/wire.h"
#include "proxy/heartbeat_internal.h"

/* Encodes heartbeats, and decodes datagrams of all types. */

/* Live VMs of which one heartbeat passes on the news. */
#define NEWS_MAX 256UL
/*
 * One of them: the hash of its name (4 bytes), the age of the news in units of
 * 10 ms (2 bytes), flags, and its share of a core in hundredths; all with the
 * most significant byte first.
 */
#define NEWS_BYTES    8UL
#define NEWS_AGE_UNIT (10 * USEC_PER_MSEC)
#define NEWS_READY    1	 /* flags: ready */
#define NEWS_DRAINING 2	 /* draining */
#define NEWS_DIRECT   4	 /* from its own heartbeat, lately */
#define NEWS_FAILS    8	 /* the platform does not answer it */
#define DIGEST_FIELDS 12 /* of the registry's digest */
/* A change of a group's primary is included in heartbeats for this long. */
#define PRIMARY_CHANGE_NEWS_US (5 * USEC_PER_SEC)
/*
 * A primary that has left a request unanswered for this long is reported as
 * slow, so that peers report whether they reach it: a quarter of the time after
 * which it counts as failed.
 */
#define PRIMARY_SLOW_US (150 * USEC_PER_MSEC)

static void pack_digest(msgpack_packer *p, const struct registry_digest *d);
static void pack_group(msgpack_packer *p, struct db_group *g, usec_t now);
static void pack_news(const struct heartbeat *b, msgpack_packer *p, usec_t now);
static void pack_one_news(const struct peer_vm *v, uint8_t *out, usec_t now);
static bool should_report(const struct heartbeat *b, struct db_group *g,
			  usec_t now);
static enum primary_suspicion suspicion_of(struct db_group *g, usec_t now);
static bool primary_answers(struct db_group *g, usec_t now);
static bool decode_heartbeat(struct heartbeat *b, struct wire_reader *r,
			     const struct sockaddr_storage *from,
			     socklen_t from_len);
static usec_t datagram_waited(const struct heartbeat *b);
static void read_digest(const struct heartbeat *b, struct wire_reader *r,
			struct registry_digest *out);
static bool decode_news(struct heartbeat *b, const uint8_t *news, size_t len,
			usec_t now);
static void decode_groups(struct heartbeat *b, struct peer_vm *v,
			  struct wire_reader r);
static enum primary_suspicion suspicion_from(uint64_t v);

/*
 * Encodes [type, name, domain, incarnation, draining, digest, groups, news,
 * share of a core in hundredths, ready, the platform does not answer,
 * evacuations].
 */
void heartbeat_encode(struct heartbeat *b, msgpack_sbuffer *buf, usec_t now)
{
	struct proxy *p = b->proxy;
	const struct settings *s = &p->kernel->settings;
	struct registry_digest digest = registry_digest(p->registry, now);
	struct db_group *reported[HEARTBEAT_GROUPS_MAX];
	msgpack_packer packer;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < p->n_groups && n < HEARTBEAT_GROUPS_MAX; i++) {
		if (should_report(b, p->groups[i], now))
			reported[n++] = p->groups[i];
	}
	msgpack_packer_init(&packer, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 12);
	msgpack_pack_uint32(&packer, PEER_MSG_HEARTBEAT);
	wire_put_str(&packer, s->vm);
	wire_put_str(&packer, s->domain);
	msgpack_pack_uint64(&packer, p->kernel->incarnation);
	if (p->draining)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	pack_digest(&packer, &digest);
	msgpack_pack_array(&packer, n);
	for (i = 0; i < n; i++)
		pack_group(&packer, reported[i], now);
	pack_news(b, &packer, now);
	msgpack_pack_uint32(&packer, heartbeat_own_capacity(b));
	msgpack_pack_uint32(&packer, proxy_can_execute(p));
	msgpack_pack_uint32(&packer, b->own_platform_fails);
	registry_pack_evacuations(p->registry, &packer, now);
}

/*
 * Encodes [configuration, hash of its contents, databases, age of their list,
 * VMs, the era is known, era, age of the era, and the four fields of a read of
 * the configuration].
 */
static void pack_digest(msgpack_packer *p, const struct registry_digest *d)
{
	msgpack_pack_array(p, DIGEST_FIELDS);
	msgpack_pack_uint64(p, d->catalog);
	msgpack_pack_uint64(p, d->contents);
	msgpack_pack_uint64(p, d->databases);
	msgpack_pack_uint64(p, d->databases_age_ms);
	msgpack_pack_uint64(p, d->vms);
	msgpack_pack_uint32(p, d->knows_era);
	msgpack_pack_uint64(p, d->era);
	msgpack_pack_uint64(p, d->era_age_ms);
	heartbeat_pack_read(p, &d->read);
}

/*
 * A group is reported while this VM or a peer suspects its primary or performs
 * a failover, and for a while after its primary has changed.
 */
static bool should_report(const struct heartbeat *b, struct db_group *g,
			  usec_t now)
{
	return now - g->primary_changed_at < PRIMARY_CHANGE_NEWS_US ||
	       heartbeat_is_urgent(b, g, now);
}

/*
 * Returns true while this VM or a peer suspects the group's primary or performs
 * a failover.
 */
bool heartbeat_is_urgent(const struct heartbeat *b, struct db_group *g,
			 usec_t now)
{
	struct heartbeat_peer_reports o = heartbeat_peer_reports(b, g->service);

	return g->succession.phase != FAILOVER_IDLE || o.is_suspected ||
	       o.in_failover || suspicion_of(g, now) != SUSPICION_NONE;
}

/* Returns how this VM rates the responsiveness of a group's primary. */
static enum primary_suspicion suspicion_of(struct db_group *g, usec_t now)
{
	enum failover_fsm_cause cause = failover_cause(g, now);
	const struct db_member *d;

	if (g->primary == DB_NONE)
		return SUSPICION_NONE;
	if (cause == FAILOVER_CAUSE_SILENT || cause == FAILOVER_CAUSE_REFUSED)
		return SUSPICION_DOWN;
	d = &g->db[g->primary];
	return d->unanswered_since &&
			       now - d->unanswered_since > PRIMARY_SLOW_US
		       ? SUSPICION_SLOW
		       : SUSPICION_NONE;
}

/*
 * Encodes the news of live VMs. If there are more than fit, it begins with a
 * random one.
 */
static void pack_news(const struct heartbeat *b, msgpack_packer *p, usec_t now)
{
	uint8_t news[NEWS_MAX * NEWS_BYTES];
	uint32_t start =
		b->n > NEWS_MAX ? (uint32_t)(proxy_random(b->proxy) % b->n) : 0;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < b->n && n < NEWS_MAX; i++) {
		const struct peer_vm *v = b->peers[(start + i) % b->n];

		if (!v->silent)
			pack_one_news(v, news + NEWS_BYTES * n++, now);
	}
	wire_put_bin(p, news, n * NEWS_BYTES);
}

/* Encodes the news of one VM. */
static void pack_one_news(const struct peer_vm *v, uint8_t *out, usec_t now)
{
	usec_t age = (now - v->last_seen_at) / NEWS_AGE_UNIT;

	if (age > UINT16_MAX)
		age = UINT16_MAX;
	out[0] = (uint8_t)(v->name_hash >> 24);
	out[1] = (uint8_t)(v->name_hash >> 16);
	out[2] = (uint8_t)(v->name_hash >> 8);
	out[3] = (uint8_t)v->name_hash;
	out[4] = (uint8_t)(age >> 8);
	out[5] = (uint8_t)age;
	out[6] = (v->ready ? NEWS_READY : 0) |
		 (v->draining ? NEWS_DRAINING : 0) |
		 (v->platform_fails ? NEWS_FAILS : 0) |
		 (v->direct_seen_at && now - v->direct_seen_at <=
					       peer_gossip_timeout(0)
			  ? NEWS_DIRECT
			  : 0);
	out[7] = v->capacity;
}

/* Encodes [service, primary, term, reachable, suspicion, in failover]. */
static void pack_group(msgpack_packer *p, struct db_group *g, usec_t now)
{
	bool known = g->primary != DB_NONE;
	bool is_reachable = known && primary_answers(g, now);

	msgpack_pack_array(p, 6);
	wire_put_str(p, g->service);
	wire_put_str(p, known ? g->db[g->primary].id : "");
	msgpack_pack_uint64(p, g->proof.term);
	msgpack_pack_uint32(p, is_reachable);
	msgpack_pack_uint32(p, suspicion_of(g, now));
	msgpack_pack_uint32(p, g->succession.phase != FAILOVER_IDLE);
}

/* Returns true if the primary has answered within the silence timeout. */
static bool primary_answers(struct db_group *g, usec_t now)
{
	const struct db_member *d = &g->db[g->primary];

	return d->last_seen_at &&
	       now - d->last_seen_at < g->proxy->policy.silence_timeout &&
	       !(d->unanswered_since &&
		 now - d->unanswered_since > g->proxy->policy.silence_timeout);
}

/* Handles one datagram; its first field is the type. */
void heartbeat_receive(struct heartbeat *b, const char *data, size_t len,
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
	case PEER_MSG_HEARTBEAT:
		r.bad |= !decode_heartbeat(b, &r, from, from_len);
		break;
	case PEER_MSG_TOKEN_REQUEST:
		rate_limit_client_on_request(b->proxy->rate_limiter, &r,
					     (const struct sockaddr *)from,
					     from_len);
		break;
	case PEER_MSG_TOKEN_RESPONSE:
		rate_limit_client_on_response(b->proxy->rate_limiter, &r);
		break;
	case PEER_MSG_PROOF_REQUEST:
		db_group_proof_on_request(
			b->proxy, &r, (const struct sockaddr *)from, from_len);
		break;
	case PEER_MSG_PROOF_RESPONSE:
		db_group_proof_on_response(b->proxy, &r);
		break;
	case PEER_MSG_READ:
		heartbeat_on_read(b, &r);
		break;
	default:
		r.bad = true;
		break;
	}
	if (r.bad)
		counter_add(CTR_PEER_BAD, 1);
	msgpack_unpacked_destroy(&u);
}

/*
 * Handles a heartbeat. Returns false if it is malformed or of an earlier
 * incarnation.
 */
static bool decode_heartbeat(struct heartbeat *b, struct wire_reader *r,
			     const struct sockaddr_storage *from,
			     socklen_t from_len)
{
	struct wire_reader groups;
	struct registry_digest digest;
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint64_t incarnation;
	struct peer_vm *v;
	usec_t prev_seen_at;
	uint64_t capacity;
	bool ready;
	bool platform_fails;
	const char *news;
	size_t news_len;
	bool draining;
	bool no_return_path;

	wire_str(r, name, sizeof(name));
	wire_str(r, domain, sizeof(domain));
	incarnation = wire_u64(r);
	draining = wire_bool(r);
	read_digest(b, r, &digest);
	groups = wire_nested_array(r, HEARTBEAT_GROUPS_MAX);
	news = wire_bin(r, NEWS_MAX * NEWS_BYTES, &news_len);
	capacity = wire_u64(r);
	ready = wire_u64(r) != 0;
	platform_fails = wire_u64(r) != 0;
	if (r->bad || name[0] == '\0' || capacity > UINT8_MAX ||
	    strcmp(name, b->proxy->kernel->settings.vm) == 0)
		return false;
	v = heartbeat_find_peer(b, name, true);
	if (!v || incarnation < v->incarnation)
		return false;
	prev_seen_at = v->last_seen_at;
	v->incarnation = incarnation;
	v->last_seen_at = proxy_now();
	v->direct_seen_at = v->last_seen_at;
	no_return_path = !decode_news(b, (const uint8_t *)news, news_len,
				      v->last_seen_at);
	b->owners_version += draining != v->draining ||
			     no_return_path != v->no_return_path ||
			     ready != v->ready || capacity != v->capacity;
	b->platform_version += platform_fails != v->platform_fails;
	v->platform_fails = platform_fails;
	v->ready = ready;
	v->capacity = (uint8_t)capacity;
	v->draining = draining;
	v->no_return_path = no_return_path;
	v->addr = *from;
	v->addr_len = from_len;
	snprintf(v->domain, sizeof(v->domain), "%s", domain);
	b->n_reporting -= v->n_groups > 0;
	decode_groups(b, v, groups);
	b->n_reporting += v->n_groups > 0;
	heartbeat_on_received(b, v, prev_seen_at);
	registry_on_peer_digest(b->proxy->registry, v->name, &digest,
				v->last_seen_at);
	return registry_on_peer_evacuations(b->proxy->registry, v->name, r,
					    datagram_waited(b),
					    v->last_seen_at);
}

/*
 * Returns how long a datagram may have waited: since the last tick, which is
 * long ago if this VM was suspended.
 */
static usec_t datagram_waited(const struct heartbeat *b)
{
	return b->arrived_after ? proxy_now() - b->arrived_after : 0;
}

/*
 * Decodes a digest. The read in it confirms the configuration that the peer has
 * now.
 */
static void read_digest(const struct heartbeat *b, struct wire_reader *r,
			struct registry_digest *out)
{
	struct wire_reader d = wire_nested_array(r, DIGEST_FIELDS);

	out->catalog = wire_u64(&d);
	out->contents = wire_u64(&d);
	out->databases = wire_u64(&d);
	out->databases_age_ms = heartbeat_arrived_age(b, wire_u64(&d));
	out->vms = wire_u64(&d);
	out->knows_era = wire_u64(&d) != 0;
	out->era = wire_u64(&d);
	out->era_age_ms = wire_u64(&d);
	heartbeat_unpack_read(b, &d, &out->read);
	out->read.data = (struct confirmation_data){
		.version = out->catalog,
		.contents = out->contents,
	};
	r->bad |= d.bad;
}

/*
 * Takes the newer news of other VMs from a heartbeat. Returns true if its
 * sender receives this VM's heartbeats, as far as that is known: in a large
 * fleet they are not sent to all VMs.
 */
static bool decode_news(struct heartbeat *b, const uint8_t *news, size_t len,
			usec_t now)
{
	uint32_t own = heartbeat_name_hash(b->proxy->kernel->settings.vm);
	bool is_mesh = heartbeat_is_full_mesh(b);
	bool is_heard = !is_mesh;
	const uint8_t *e;

	for (e = news; e && len >= NEWS_BYTES;
	     e += NEWS_BYTES, len -= NEWS_BYTES) {
		uint32_t hash = (uint32_t)e[0] << 24 | (uint32_t)e[1] << 16 |
				(uint32_t)e[2] << 8 | e[3];
		usec_t age = ((usec_t)e[4] << 8 | e[5]) * NEWS_AGE_UNIT;
		const struct peer_news n = {
			.ready = (e[6] & NEWS_READY) != 0,
			.draining = (e[6] & NEWS_DRAINING) != 0,
			.platform_fails = (e[6] & NEWS_FAILS) != 0,
			.capacity = e[7],
		};
		struct peer_vm *v;

		if (hash == own) {
			is_heard |= (e[6] & NEWS_DIRECT) != 0;
			continue;
		}
		v = is_mesh ? NULL : heartbeat_find_hash(b, hash);
		if (v)
			heartbeat_on_news(b, v, now - age, &n, now);
	}
	return is_heard;
}

/*
 * Handles what the peer reports of each group; a primary of a later term is
 * adopted.
 */
static void decode_groups(struct heartbeat *b, struct peer_vm *v,
			  struct wire_reader r)
{
	char primary[NAME_MAX_BYTES];
	uint64_t term;

	v->n_groups = 0;
	if (r.left > 0 && !v->groups)
		v->groups = calloc(HEARTBEAT_GROUPS_MAX, sizeof(*v->groups));
	while (r.left > 0 && v->groups && v->n_groups < HEARTBEAT_GROUPS_MAX) {
		struct wire_reader e = wire_nested_array(&r, 6);
		struct peer_group_state *h = &v->groups[v->n_groups];
		struct db_group *g;
		uint32_t db;

		wire_str(&e, h->service, sizeof(h->service));
		wire_str(&e, primary, sizeof(primary));
		term = wire_u64(&e);
		h->is_reachable = wire_u64(&e) != 0;
		h->suspicion = suspicion_from(wire_u64(&e));
		h->in_failover = wire_u64(&e) != 0;
		if (e.bad || r.bad)
			return;
		v->n_groups++;
		g = db_group_find(b->proxy, h->service);
		if (!g || primary[0] == '\0')
			continue;
		db = db_group_find_member(g, primary);
		if (term > g->proof.term && db != DB_NONE)
			db_group_set_primary(g, db, term, v->name);
		else if (term > g->proof.term)
			registry_refresh_databases(b->proxy->registry,
						   proxy_now());
		/*
		 * The report counts only if it is about the primary of the term
		 * that this VM knows.
		 */
		if (term != g->proof.term) {
			h->is_reachable = false;
			h->suspicion = SUSPICION_NONE;
		}
	}
}

/* Decodes a suspicion; unknown values count as none. */
static enum primary_suspicion suspicion_from(uint64_t v)
{
	return v == SUSPICION_DOWN   ? SUSPICION_DOWN
	       : v == SUSPICION_SLOW ? SUSPICION_SLOW
				     : SUSPICION_NONE;
}
