#include "plugins/gossip_codec.h"

#include <string.h>

#include "kernel/wire.h"

#define REQUEST_FIELDS	5
#define RESPONSE_FIELDS 6
#define CURSOR_FIELDS	5
#define PUSH_FIELDS	4
#define OBJECT_FIELDS	4
#define UNSEEN_FIELDS	2
#define CONTACT_FIELDS	2
#define UPDATE_FIELDS	10

static void put_cursor(msgpack_packer *p, const struct anti_entropy_cursor *c);
static void get_cursor(struct wire_reader *r, struct anti_entropy_cursor *out);
static void put_updates(msgpack_packer *p,
			const struct gossip_updates *updates);
static void get_updates(struct wire_reader *r, struct gossip_updates *out);
static void get_update(struct wire_reader *r, struct member_update *out);
static void put_unseen(msgpack_packer *p, const struct anti_entropy_request *a);
static void get_unseen(struct wire_reader *r, struct anti_entropy_request *out);
static void put_object(msgpack_packer *p, const struct gossip_object *o);
static void get_object(struct wire_reader *r, struct gossip_object *out);
static void get_objects(struct wire_reader *r, struct gossip_response *out);
static void get_contacts(struct wire_reader *r, struct gossip_response *out);
static void merge_bad(struct wire_reader *r, const struct wire_reader *sub);
static int malformed(struct error *e, const char *what);

/* Appends an encoded request to a buffer. */
void gossip_request_encode(msgpack_sbuffer *out, const struct gossip_request *a)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	msgpack_pack_array(&p, REQUEST_FIELDS);
	msgpack_pack_uint64(&p, a->anti_entropy.id);
	msgpack_pack_uint64(&p, a->anti_entropy.complete);
	put_cursor(&p, &a->anti_entropy.cursor);
	put_unseen(&p, &a->anti_entropy);
	put_updates(&p, &a->updates);
}

/* Decodes a request; returns -1 if it is malformed or over a bound. */
int gossip_request_decode(const void *buf, size_t len,
			  struct gossip_request *out, struct error *e)
{
	struct wire_reader r = { .bad = true };
	msgpack_unpacked u;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&u);
	if (wire_unpack(&u, buf, len))
		r = wire_array(&u.data, REQUEST_FIELDS);
	out->anti_entropy.id = wire_u64(&r);
	out->anti_entropy.complete = wire_u64(&r);
	get_cursor(&r, &out->anti_entropy.cursor);
	get_unseen(&r, &out->anti_entropy);
	get_updates(&r, &out->updates);
	msgpack_unpacked_destroy(&u);
	return r.bad ? malformed(e, "question") : 0;
}

/* Appends an encoded response to a buffer. */
void gossip_response_encode(msgpack_sbuffer *out,
			    const struct gossip_response *a)
{
	msgpack_packer p;
	uint32_t i;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	msgpack_pack_array(&p, RESPONSE_FIELDS);
	msgpack_pack_uint64(&p, a->id);
	put_cursor(&p, &a->cursor);
	msgpack_pack_int64(&p, a->platform_age_us);
	msgpack_pack_array(&p, a->n_contacts);
	for (i = 0; i < a->n_contacts; i++) {
		msgpack_pack_array(&p, CONTACT_FIELDS);
		wire_put_str(&p, a->contacts[i].domain);
		msgpack_pack_int64(&p, a->contacts[i].age_us);
	}
	put_updates(&p, &a->updates);
	msgpack_pack_array(&p, a->n_objects);
	for (i = 0; i < a->n_objects; i++)
		put_object(&p, &a->objects[i]);
}

/* Decodes a response; returns -1 if it is malformed or over a bound. */
int gossip_response_decode(msgpack_unpacked *u, const void *buf, size_t len,
			   struct gossip_response *out, struct error *e)
{
	struct wire_reader r = { .bad = true };

	memset(out, 0, sizeof(*out));
	if (wire_unpack(u, buf, len))
		r = wire_array(&u->data, RESPONSE_FIELDS);
	out->id = wire_u64(&r);
	get_cursor(&r, &out->cursor);
	out->platform_age_us = wire_i64(&r);
	get_contacts(&r, out);
	get_updates(&r, &out->updates);
	get_objects(&r, out);
	return r.bad ? malformed(e, "answer") : 0;
}

/* Appends an encoded push, or its acknowledgement, to a buffer. */
void gossip_push_encode(msgpack_sbuffer *out, const struct gossip_push *t)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	msgpack_pack_array(&p, PUSH_FIELDS);
	msgpack_pack_uint64(&p, t->id);
	wire_put_str(&p, t->object.name);
	msgpack_pack_uint64(&p, t->object.version);
	wire_put_bin(&p, t->object.body, t->object.body_len);
}

/* Decodes a push or its acknowledgement; returns -1 if it is malformed. */
int gossip_push_decode(msgpack_unpacked *u, const void *buf, size_t len,
		       struct gossip_push *out, struct error *e)
{
	struct gossip_object *o = &out->object;
	struct wire_reader r = { .bad = true };

	memset(out, 0, sizeof(*out));
	if (wire_unpack(u, buf, len))
		r = wire_array(&u->data, PUSH_FIELDS);
	out->id = wire_u64(&r);
	wire_str(&r, o->name, sizeof(o->name));
	o->version = wire_u64(&r);
	o->body = wire_bin(&r, OBJECT_MAX_BYTES, &o->body_len);
	return r.bad ? malformed(e, "object") : 0;
}

/* Writes the cursor that says how far a response went. */
static void put_cursor(msgpack_packer *p, const struct anti_entropy_cursor *c)
{
	msgpack_pack_array(p, CURSOR_FIELDS);
	msgpack_pack_uint64(p, c->revision);
	msgpack_pack_uint64(p, c->hash);
	msgpack_pack_uint64(p, c->complete_to);
	msgpack_pack_uint8(p, c->is_last);
	msgpack_pack_uint8(p, c->is_up_to_date);
}

/* Reads the cursor that says how far a response went. */
static void get_cursor(struct wire_reader *r, struct anti_entropy_cursor *out)
{
	struct wire_reader c = wire_nested_array(r, CURSOR_FIELDS);

	out->revision = wire_u64(&c);
	out->hash = wire_u64(&c);
	out->complete_to = wire_u64(&c);
	out->is_last = wire_u64(&c) != 0;
	out->is_up_to_date = wire_u64(&c) != 0;
	merge_bad(r, &c);
}

/* Writes member updates. */
static void put_updates(msgpack_packer *p, const struct gossip_updates *updates)
{
	uint32_t i;

	msgpack_pack_array(p, updates->n);
	for (i = 0; i < updates->n; i++) {
		const struct member_update *w = &updates->item[i];
		const struct member *m = &w->member;

		msgpack_pack_array(p, UPDATE_FIELDS);
		wire_put_str(p, m->name);
		wire_put_str(p, m->domain);
		wire_put_str(p, m->peer);
		wire_put_str(p, m->caller);
		msgpack_pack_uint64(p, m->incarnation);
		msgpack_pack_uint64(p, m->refutations);
		msgpack_pack_uint8(p, m->departing);
		msgpack_pack_uint8(p, m->suspect);
		msgpack_pack_uint8(p, w->is_listed);
		msgpack_pack_uint8(p, w->is_unlisted);
	}
}

/* Reads member updates, at most GOSSIP_UPDATES_MAX. */
static void get_updates(struct wire_reader *r, struct gossip_updates *out)
{
	struct wire_reader list = wire_nested_array(r, GOSSIP_UPDATES_MAX);
	struct wire_reader item;

	while (!list.bad && list.left) {
		item = wire_nested_array(&list, UPDATE_FIELDS);
		get_update(&item, &out->item[out->n++]);
		merge_bad(&list, &item);
	}
	merge_bad(r, &list);
}

/* Reads the update of one member, which must have a name and a domain. */
static void get_update(struct wire_reader *r, struct member_update *out)
{
	struct member *m = &out->member;

	wire_str(r, m->name, sizeof(m->name));
	wire_str(r, m->domain, sizeof(m->domain));
	wire_str(r, m->peer, sizeof(m->peer));
	wire_str(r, m->caller, sizeof(m->caller));
	m->incarnation = wire_u64(r);
	m->refutations = wire_u64(r);
	m->departing = wire_u64(r) != 0;
	m->suspect = wire_u64(r) != 0;
	out->is_listed = wire_u64(r) != 0;
	out->is_unlisted = wire_u64(r) != 0;
	if (m->name[0] == '\0' || m->domain[0] == '\0')
		r->bad = true;
}

/* Writes the names and versions of objects not yet seen in a watch. */
static void put_unseen(msgpack_packer *p, const struct anti_entropy_request *a)
{
	uint32_t i;

	msgpack_pack_array(p, a->n);
	for (i = 0; i < a->n; i++) {
		msgpack_pack_array(p, UNSEEN_FIELDS);
		wire_put_str(p, a->unseen[i].name);
		msgpack_pack_uint64(p, a->unseen[i].version);
	}
}

/* Reads the names and versions of at most ANTI_ENTROPY_UNSEEN_MAX objects. */
static void get_unseen(struct wire_reader *r, struct anti_entropy_request *out)
{
	struct wire_reader list = wire_nested_array(r, ANTI_ENTROPY_UNSEEN_MAX);
	struct wire_reader item;

	while (!list.bad && list.left) {
		struct anti_entropy_object *o = &out->unseen[out->n++];

		item = wire_nested_array(&list, UNSEEN_FIELDS);
		wire_str(&item, o->name, sizeof(o->name));
		o->version = wire_u64(&item);
		merge_bad(&list, &item);
	}
	merge_bad(r, &list);
}

/* Writes one object. */
static void put_object(msgpack_packer *p, const struct gossip_object *o)
{
	msgpack_pack_array(p, OBJECT_FIELDS);
	wire_put_str(p, o->name);
	msgpack_pack_uint64(p, o->version);
	msgpack_pack_uint64(p, o->revision);
	wire_put_bin(p, o->body, o->body_len);
}

/* Reads one object; its body points into the message. */
static void get_object(struct wire_reader *r, struct gossip_object *out)
{
	wire_str(r, out->name, sizeof(out->name));
	out->version = wire_u64(r);
	out->revision = wire_u64(r);
	out->body = wire_bin(r, OBJECT_MAX_BYTES, &out->body_len);
}

/* Reads objects, at most GOSSIP_OBJECTS_MAX. */
static void get_objects(struct wire_reader *r, struct gossip_response *out)
{
	struct wire_reader list = wire_nested_array(r, GOSSIP_OBJECTS_MAX);
	struct wire_reader item;

	while (!list.bad && list.left) {
		item = wire_nested_array(&list, OBJECT_FIELDS);
		get_object(&item, &out->objects[out->n_objects++]);
		merge_bad(&list, &item);
	}
	merge_bad(r, &list);
}

/* Reads the peer's last contacts, at most FRESHNESS_DOMAINS_MAX. */
static void get_contacts(struct wire_reader *r, struct gossip_response *out)
{
	struct wire_reader list = wire_nested_array(r, FRESHNESS_DOMAINS_MAX);
	struct wire_reader item;

	while (!list.bad && list.left) {
		struct gossip_contact *c = &out->contacts[out->n_contacts++];

		item = wire_nested_array(&list, CONTACT_FIELDS);
		wire_str(&item, c->domain, sizeof(c->domain));
		c->age_us = wire_i64(&item);
		merge_bad(&list, &item);
	}
	merge_bad(r, &list);
}

/* Marks the outer reader as bad if the inner one is. */
static void merge_bad(struct wire_reader *r, const struct wire_reader *sub)
{
	if (sub->bad)
		r->bad = true;
}

/* Fills in the error for a malformed message of kind "what"; returns -1. */
static int malformed(struct error *e, const char *what)
{
	return error_set(e, ERR_BAD_REQUEST, STEP_GOSSIP, NULL, "malformed %s",
			 what);
}
