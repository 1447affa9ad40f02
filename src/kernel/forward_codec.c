#include "kernel/forward_codec.h"

#include <stdlib.h>
#include <string.h>

#define REQUEST_FIELDS 14
#define ANSWER_FIELDS  14
#define DEADLINE_MAX   (3600LL * USEC_PER_SEC)

/* Reads the fields of an array in turn; the first bad one fails the rest. */
struct reader {
	const msgpack_object *at;
	bool bad;
};

static void put_text(msgpack_packer *p, const char *s);
static void get_text(struct reader *r, char *out, size_t size);
static char *get_alloc(struct reader *r);
static uint64_t get_u64(struct reader *r, uint64_t most);
static int64_t get_i64(struct reader *r);
static bool open_array(msgpack_unpacked *u, struct reader *r, const void *body,
		       size_t len, uint32_t fields);

/* Packs a request; its deadline goes as the time left. */
void forward_pack(msgpack_sbuffer *buf, uint64_t id, const struct request *r,
		  usec_t now)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, REQUEST_FIELDS);
	msgpack_pack_uint64(&p, id);
	msgpack_pack_uint64(&p, (uint64_t)r->op);
	put_text(&p, r->team);
	put_text(&p, r->key_id);
	put_text(&p, r->service);
	msgpack_pack_uint64(&p, (uint64_t)r->kind);
	put_text(&p, r->statement);
	put_text(&p, r->parameters);
	msgpack_pack_int64(&p, r->max_age_us);
	msgpack_pack_uint64(
		&p, r->deadline > now ? (uint64_t)(r->deadline - now) : 0);
	put_text(&p, r->request_id);
	put_text(&p, r->body_hash);
	put_text(&p, r->transaction);
	put_text(&p, r->token_given ? r->token : NULL);
}

/* Unpacks a request that another VM has passed on. */
struct request *forward_unpack(const void *body, size_t len, uint64_t *id,
			       usec_t now)
{
	struct request *r = request_create();
	msgpack_unpacked u;
	struct reader rd;

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
	get_text(&rd, r->team, sizeof(r->team));
	get_text(&rd, r->key_id, sizeof(r->key_id));
	get_text(&rd, r->service, sizeof(r->service));
	r->kind = (enum statement_kind)get_u64(&rd, KIND_WRITE);
	r->statement = get_alloc(&rd);
	r->parameters = get_alloc(&rd);
	r->max_age_us = get_i64(&rd);
	r->arrived = now;
	r->deadline = now + (usec_t)get_u64(&rd, DEADLINE_MAX);
	get_text(&rd, r->request_id, sizeof(r->request_id));
	get_text(&rd, r->body_hash, sizeof(r->body_hash));
	get_text(&rd, r->transaction, sizeof(r->transaction));
	r->token_given = rd.at->type == MSGPACK_OBJECT_STR;
	get_text(&rd, r->token, sizeof(r->token));
	r->forwarded = true;
	msgpack_unpacked_destroy(&u);
	if (rd.bad || (r->op == OP_STATEMENT && !r->statement)) {
		request_destroy(r);
		return NULL;
	}
	return r;
}

/* Packs the answer of a request. */
void forward_pack_answer(msgpack_sbuffer *buf, uint64_t id,
			 const struct request *r)
{
	const struct answer *a = &r->answer;
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, ANSWER_FIELDS);
	msgpack_pack_uint64(&p, id);
	put_text(&p, r->service);
	msgpack_pack_uint64(&p, (uint64_t)a->outcome);
	msgpack_pack_uint64(&p, (uint64_t)a->error.code);
	msgpack_pack_uint64(&p, (uint64_t)a->error.step);
	put_text(&p, a->error.peer);
	put_text(&p, a->error.message);
	put_text(&p, a->rows);
	msgpack_pack_uint64(&p, a->from_replica);
	msgpack_pack_uint64(&p, a->at.term);
	msgpack_pack_uint64(&p, a->at.position);
	msgpack_pack_int64(&p, a->age_us);
	msgpack_pack_int64(&p, a->retry_after_ms);
	put_text(&p, a->token);
}

/* Unpacks an answer. */
int forward_unpack_answer(const void *body, size_t len, uint64_t *id,
			  char service[NAME_MAX_BYTES], struct answer *a)
{
	msgpack_unpacked u;
	struct reader rd;

	memset(a, 0, sizeof(*a));
	msgpack_unpacked_init(&u);
	if (!open_array(&u, &rd, body, len, ANSWER_FIELDS)) {
		msgpack_unpacked_destroy(&u);
		return -1;
	}
	*id = get_u64(&rd, UINT64_MAX);
	get_text(&rd, service, NAME_MAX_BYTES);
	a->outcome = (enum outcome)get_u64(&rd, OUTCOME_UNKNOWN);
	a->error.code = (enum error_code)get_u64(&rd, ERR_COUNT - 1);
	a->error.step = (enum step)get_u64(&rd, STEP_COUNT - 1);
	get_text(&rd, a->error.peer, sizeof(a->error.peer));
	get_text(&rd, a->error.message, sizeof(a->error.message));
	a->rows = get_alloc(&rd);
	a->from_replica = get_u64(&rd, 1) != 0;
	a->at.term = get_u64(&rd, UINT64_MAX);
	a->at.position = get_u64(&rd, UINT64_MAX);
	a->age_us = get_i64(&rd);
	a->retry_after_ms = get_i64(&rd);
	get_text(&rd, a->token, sizeof(a->token));
	msgpack_unpacked_destroy(&u);
	if (!rd.bad)
		return 0;
	free(a->rows);
	a->rows = NULL;
	return -1;
}

/* Packs a string, or nil for NULL. */
static void put_text(msgpack_packer *p, const char *s)
{
	if (s)
		msgpack_pack_str_with_body(p, s, strlen(s));
	else
		msgpack_pack_nil(p);
}

/* Opens an array of just so many fields. */
static bool open_array(msgpack_unpacked *u, struct reader *r, const void *body,
		       size_t len, uint32_t fields)
{
	size_t off = 0;

	if (msgpack_unpack_next(u, body, len, &off) != MSGPACK_UNPACK_SUCCESS ||
	    off != len || u->data.type != MSGPACK_OBJECT_ARRAY ||
	    u->data.via.array.size != fields)
		return false;
	r->at = u->data.via.array.ptr;
	r->bad = false;
	return true;
}

/* Copies a string that fits; nil gives an empty one. */
static void get_text(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o = r->at++;

	out[0] = '\0';
	if (o->type == MSGPACK_OBJECT_NIL)
		return;
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size ||
	    (o->via.str.size && memchr(o->via.str.ptr, 0, o->via.str.size))) {
		r->bad = true;
		return;
	}
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

/* A malloc'd copy of a string, or NULL for nil. */
static char *get_alloc(struct reader *r)
{
	const msgpack_object *o = r->at++;

	if (o->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (o->type != MSGPACK_OBJECT_STR ||
	    (o->via.str.size && memchr(o->via.str.ptr, 0, o->via.str.size))) {
		r->bad = true;
		return NULL;
	}
	return strndup(o->via.str.size ? o->via.str.ptr : "", o->via.str.size);
}

/* A whole number up to a bound. */
static uint64_t get_u64(struct reader *r, uint64_t most)
{
	const msgpack_object *o = r->at++;

	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > most) {
		r->bad = true;
		return 0;
	}
	return o->via.u64;
}

/* A whole number of either sign. */
static int64_t get_i64(struct reader *r)
{
	const msgpack_object *o = r->at++;

	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return o->via.i64;
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= INT64_MAX)
		return (int64_t)o->via.u64;
	r->bad = true;
	return 0;
}
