#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "proxy/remote.h"

/*
 * Copies of the platform's data between VMs of a failure domain. In a large
 * fleet a few VMs of each domain read the configuration and the databases from
 * the platform; the others copy them from these, so that the platform's calls
 * grow with the number of failure domains.
 */

#define DATABASES_MAX 4096 /* of one copy */
/* Fields of a database in a copy. */
#define DATABASE_FIELDS 10

static void send_catalog(struct peer_link *l);
static void send_databases(struct peer_link *l);
static void read_databases(struct peer_link *l, struct wire_reader *r);
static void read_database(struct wire_reader *r, struct registry_db *out);

/*
 * Requests a copy from a peer; NULL: from a VM that reads for this failure
 * domain.
 */
void registry_copy_request(struct proxy *x, enum registry_copy kind,
			   const char *peer)
{
	struct peer_link *l;
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (!peer)
		peer = heartbeat_domain_reader(x->heartbeat, proxy_random(x));
	l = peer ? peer_link_get(x, peer) : NULL;
	if (!l)
		return;
	l->used_at = proxy_now();
	peer_link_begin(&buf, &p, 2, LINK_MSG_COPY_REQUEST);
	msgpack_pack_uint32(&p, kind);
	peer_link_send(l, &buf);
}

/* Answers a peer's request: [kind]. There is no answer without data. */
void registry_copy_on_request(struct peer_link *l, struct wire_reader *r)
{
	uint64_t kind = wire_u64(r);

	if (kind == REGISTRY_COPY_CATALOG)
		send_catalog(l);
	else if (kind == REGISTRY_COPY_DATABASES)
		send_databases(l);
	else
		r->bad = true;
}

/* Applies a copy: [kind, ...]. */
void registry_copy_on_copy(struct peer_link *l, struct wire_reader *r)
{
	uint64_t kind = wire_u64(r);
	const char *body;
	size_t len;
	char *reply;

	if (kind == REGISTRY_COPY_DATABASES) {
		read_databases(l, r);
		return;
	}
	body = wire_bin(r, 2 * MESSAGE_MAX_BYTES, &len);
	if (kind != REGISTRY_COPY_CATALOG || !body) {
		r->bad = true;
		return;
	}
	reply = strndup(body, len);
	if (reply)
		registry_apply_catalog_copy(l->proxy->registry, reply);
	free(reply);
}

/* Sends a reply that holds only the newest catalogue. */
static void send_catalog(struct peer_link *l)
{
	const char *reply = registry_catalog_reply(l->proxy->registry);
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (!reply)
		return;
	peer_link_begin(&buf, &p, 3, LINK_MSG_COPY);
	msgpack_pack_uint32(&p, REGISTRY_COPY_CATALOG);
	wire_put_bin(&p, reply, strlen(reply));
	peer_link_send(l, &buf);
}

/*
 * Sends [age in microseconds, settled, databases]; a database is [id, service,
 * address, domain, slots, departing, primary, incarnation, sequence, time for
 * which it is cold in milliseconds].
 */
static void send_databases(struct peer_link *l)
{
	const struct registry *r = l->proxy->registry;
	usec_t now = proxy_now();
	const struct registry_db *db;
	msgpack_sbuffer buf;
	msgpack_packer p;
	uint32_t n;
	uint32_t i;

	db = registry_list(r, &n);
	if (n == 0 || registry_list_requested_at(r) == 0)
		return;
	peer_link_begin(&buf, &p, 5, LINK_MSG_COPY);
	msgpack_pack_uint32(&p, REGISTRY_COPY_DATABASES);
	msgpack_pack_uint64(&p,
			    (uint64_t)(now - registry_list_requested_at(r)));
	msgpack_pack_uint32(&p, registry_is_settled(r, now));
	msgpack_pack_array(&p, n);
	for (i = 0; i < n; i++) {
		msgpack_pack_array(&p, DATABASE_FIELDS);
		wire_put_str(&p, db[i].id);
		wire_put_str(&p, db[i].service);
		wire_put_str(&p, db[i].address);
		wire_put_str(&p, db[i].domain);
		msgpack_pack_uint32(&p, db[i].slots);
		msgpack_pack_uint32(&p, db[i].departing);
		msgpack_pack_uint32(&p, db[i].primary);
		msgpack_pack_uint64(&p, db[i].incarnation);
		msgpack_pack_uint64(&p, db[i].sequence);
		msgpack_pack_uint32(&p, db[i].cold_left_ms);
	}
	peer_link_send(l, &buf);
}

/*
 * Applies a list of databases. Its age does not count the time that it was
 * under way, for which a bound is subtracted.
 */
static void read_databases(struct peer_link *l, struct wire_reader *r)
{
	uint64_t age = wire_u64(r);
	bool is_settled = wire_u64(r) != 0;
	struct wire_reader list = wire_nested_array(r, DATABASES_MAX);
	usec_t listed_at =
		proxy_now() - (usec_t)age - REGISTRY_COPY_DELAY_MAX_US;
	struct registry_db *db;
	uint32_t n = 0;

	if (r->bad || age > INT64_MAX / 2) {
		r->bad = true;
		return;
	}
	db = calloc(list.left + 1, sizeof(*db));
	if (!db) {
		log_event(EV_VM_FAIL, "reason=\"no memory for a copy\"");
		return;
	}
	while (list.left > 0 && !list.bad)
		read_database(&list, &db[n++]);
	if (list.bad)
		r->bad = true;
	else
		registry_apply_list_copy(l->proxy->registry, db, n, listed_at,
					 is_settled);
	free(db);
}

/* Reads one database of a copy. */
static void read_database(struct wire_reader *r, struct registry_db *out)
{
	struct wire_reader e = wire_nested_array(r, DATABASE_FIELDS);

	wire_str(&e, out->id, sizeof(out->id));
	wire_str(&e, out->service, sizeof(out->service));
	wire_str(&e, out->address, sizeof(out->address));
	wire_str(&e, out->domain, sizeof(out->domain));
	out->slots = (uint32_t)wire_u64(&e);
	out->departing = wire_u64(&e) != 0;
	out->primary = wire_u64(&e) != 0;
	out->incarnation = wire_u64(&e);
	out->sequence = wire_u64(&e);
	out->cold_left_ms = (uint32_t)wire_u64(&e);
	r->bad |= e.bad;
}
