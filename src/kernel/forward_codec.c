#include "kernel/forward_codec.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/peer.h"
#include "kernel/wire.h"

#define REQUEST_FIELDS	15
#define RESPONSE_FIELDS 14
#define DEADLINE_MAX_US (3600LL * USEC_PER_SEC)

static void put_string(msgpack_packer *p, const char *s);
static bool open_array(msgpack_unpacked *u, struct wire_reader *r,
		       const void *body, size_t len, uint32_t fields);
static char *get_string(struct wire_reader *r);
static uint64_t get_u64(struct wire_reader *r, uint64_t max);

/*
 * Packs a request. Its deadline is sent as the time that is left, because
 * clocks differ.
 */
void forward_pack(msgpack_sbuffer *buf, uint64_t id, const struct request *r,
		  usec_t now)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, REQUEST_FIELDS);
	msgpack_pack_uint64(&p, id);
	msgpack_pack_uint64(&p, (uint64_t)r->op);
	wire_put_str(&p, r->team);
	wire_put_str(&p, r->key_id);
	wire_put_str(&p, r->service);
	msgpack_pack_uint64(&p, (uint64_t)r->kind);
	put_string(&p, r->statement);
	put_string(&p, r->parameters);
	msgpack_pack_int64(&p, r->max_age_us);
	msgpack_pack_uint64(
		&p, r->deadline > now ? (uint64_t)(r->deadline - now) : 0);
	wire_put_str(&p, r->request_id);
	wire_put_str(&p, r->body_hash);
	wire_put_str(&p, r->transaction);
	msgpack_pack_uint64(&p, r->has_token);
	wire_put_str(&p, r->token);
}

/*
 * Unpacks a request that another VM forwarded; its deadline counts from "now".
 */
struct request *forward_unpack(const void *body, size_t len, uint64_t *id,
			       usec_t now)
{
	struct request *r = request_create();
	msgpack_unpacked u;
	struct wire_reader rd;

	if (!r)
		return NULL;
	msgpack_unpacked_init(&u);
	if (!open_array(&u, &rd, body, len, REQUEST_FIELDS)) {
		msgpack_unpacked_destroy(&u);
		request_destroy(r);
		return NULL;
	}
	*id = get_u64(&rd, UINT64_MAX);
	r->op = (enum request_op)get_u64(&rd, OP_ROLLBACK);
	wire_str(&rd, r->team, sizeof(r->team));
	wire_str(&rd, r->key_id, sizeof(r->key_id));
	wire_str(&rd, r->service, sizeof(r->service));
	r->kind = (enum statement_kind)get_u64(&rd, KIND_WRITE);
	r->statement = get_string(&rd);
	r->parameters = get_string(&rd);
	r->max_age_us = wire_i64(&rd);
	r->arrived_at = now;
	r->deadline = now + (usec_t)get_u64(&rd, DEADLINE_MAX_US);
	wire_str(&rd, r->request_id, sizeof(r->request_id));
	wire_str(&rd, r->body_hash, sizeof(r->body_hash));
	wire_str(&rd, r->transaction, sizeof(r->transaction));
	r->has_token = get_u64(&rd, 1) != 0;
	wire_str(&rd, r->token, sizeof(r->token));
	r->forwarded = true;
	msgpack_unpacked_destroy(&u);
	if (rd.bad || (r->op == OP_STATEMENT && !r->statement)) {
		request_destroy(r);
		return NULL;
	}
	return r;
}

/* Packs the response to a request. */
void forward_pack_answer(msgpack_sbuffer *buf, uint64_t id,
			 const struct request *r)
{
	const struct answer *a = &r->answer;
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, RESPONSE_FIELDS);
	msgpack_pack_uint64(&p, id);
	wire_put_str(&p, r->service);
	msgpack_pack_uint64(&p, (uint64_t)a->outcome);
	msgpack_pack_uint64(&p, (uint64_t)a->error.code);
	msgpack_pack_uint64(&p, (uint64_t)a->error.step);
	wire_put_str(&p, a->error.peer);
	wire_put_str(&p, a->error.message);
	put_string(&p, a->rows);
	msgpack_pack_uint64(&p, a->from_replica);
	msgpack_pack_uint64(&p, a->at.term);
	msgpack_pack_uint64(&p, a->at.position);
	msgpack_pack_int64(&p, a->age_us);
	msgpack_pack_int64(&p, a->retry_after_ms);
	wire_put_str(&p, a->token);
}

/* Unpacks a response. */
int forward_unpack_answer(const void *body, size_t len, uint64_t *id,
			  char service[NAME_MAX_BYTES], struct answer *a)
{
	msgpack_unpacked u;
	struct wire_reader rd;

	memset(a, 0, sizeof(*a));
	msgpack_unpacked_init(&u);
	if (!open_array(&u, &rd, body, len, RESPONSE_FIELDS)) {
		msgpack_unpacked_destroy(&u);
		return -1;
	}
	*id = get_u64(&rd, UINT64_MAX);
	wire_str(&rd, service, NAME_MAX_BYTES);
	a->outcome = (enum outcome)get_u64(&rd, OUTCOME_UNKNOWN);
	a->error.code = (enum error_code)get_u64(&rd, ERR_COUNT - 1);
	a->error.step = (enum step)get_u64(&rd, STEP_COUNT - 1);
	wire_str(&rd, a->error.peer, sizeof(a->error.peer));
	wire_str(&rd, a->error.message, sizeof(a->error.message));
	a->rows = get_string(&rd);
	a->from_replica = get_u64(&rd, 1) != 0;
	a->at.term = get_u64(&rd, UINT64_MAX);
	a->at.position = get_u64(&rd, UINT64_MAX);
	a->age_us = wire_i64(&rd);
	a->retry_after_ms = wire_i64(&rd);
	wire_str(&rd, a->token, sizeof(a->token));
	msgpack_unpacked_destroy(&u);
	if (!rd.bad)
		return 0;
	free(a->rows);
	a->rows = NULL;
	return -1;
}

/* Packs a string of any length; NULL is packed as empty. */
static void put_string(msgpack_packer *p, const char *s)
{
	wire_put_bin(p, s, s ? strlen(s) : 0);
}

/* Unpacks an array of exactly "fields" elements; false if it is not one. */
static bool open_array(msgpack_unpacked *u, struct wire_reader *r,
		       const void *body, size_t len, uint32_t fields)
{
	if (!wire_unpack(u, body, len))
		return false;
	*r = wire_array(&u->data, fields);
	return !r->bad && r->left == fields;
}

/* Reads a string into allocated memory; NULL if it is empty. */
static char *get_string(struct wire_reader *r)
{
	const char *b;
	size_t len;

	b = wire_bin(r, PEER_BODY_MAX_BYTES, &len);
	if (!b || len == 0)
		return NULL;
	if (memchr(b, 0, len)) {
		r->bad = true;
		return NULL;
	}
	return strndup(b, len);
}

/* Reads an unsigned integer; one over "max" makes the reader bad. */
static uint64_t get_u64(struct wire_reader *r, uint64_t max)
{
	uint64_t v = wire_u64(r);

	if (v <= max)
		return v;
	r->bad = true;
	return 0;
}
