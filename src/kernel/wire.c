#include "kernel/wire.h"

#include <string.h>

static const msgpack_object *next_field(struct wire_reader *r,
					msgpack_object_type type);

/*
 * Unpacks one message. The caller has initialised "u" and destroys it in either
 * case.
 */
bool wire_unpack(msgpack_unpacked *u, const void *buf, size_t len)
{
	size_t off = 0;

	if (msgpack_unpack_next(u, buf, len, &off) != MSGPACK_UNPACK_SUCCESS)
		return false;
	return off == len;
}

/*
 * Starts reading an array; the reader is bad if "o" is not one or has fewer
 * than "min" fields.
 */
struct wire_reader wire_array(const msgpack_object *o, uint32_t min)
{
	struct wire_reader r = { .bad = true };

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < min)
		return r;
	r.next = o->via.array.ptr;
	r.left = o->via.array.size;
	r.bad = false;
	return r;
}

/* Reads an unsigned integer. */
uint64_t wire_u64(struct wire_reader *r)
{
	const msgpack_object *o =
		next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

/*
 * Skips a field that is nil; one that is missing, as senders of an earlier
 * version leave it out, counts as nil.
 */
bool wire_skip_nil(struct wire_reader *r)
{
	if (r->bad || r->left == 0)
		return true;
	if (r->next->type != MSGPACK_OBJECT_NIL)
		return false;
	r->next++;
	r->left--;
	return true;
}

/* Reads a signed integer of 64 bits. */
int64_t wire_i64(struct wire_reader *r)
{
	const msgpack_object *o;

	if (!r->bad && r->left &&
	    r->next->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		o = next_field(r, MSGPACK_OBJECT_NEGATIVE_INTEGER);
		return o->via.i64;
	}
	o = next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (!o)
		return 0;
	if (o->via.u64 > INT64_MAX) {
		r->bad = true;
		return 0;
	}
	return (int64_t)o->via.u64;
}

/* Reads a boolean. */
bool wire_bool(struct wire_reader *r)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

/* Copies a string, NUL-terminated; empty if the reader is bad. */
void wire_str(struct wire_reader *r, char *out, size_t size)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_STR);

	memset(out, 0, size);
	if (!o || o->via.str.size == 0)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->bad = true;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
}

/* Reads bytes. The pointer is valid as long as the unpacked message. */
const char *wire_bin(struct wire_reader *r, size_t max, size_t *len)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BIN);

	*len = 0;
	if (!o)
		return NULL;
	if (o->via.bin.size > max) {
		r->bad = true;
		return NULL;
	}
	*len = o->via.bin.size;
	return o->via.bin.ptr;
}

/* Reads a nested array; if it fails, both readers are bad. */
struct wire_reader wire_nested_array(struct wire_reader *r, uint32_t max)
{
	struct wire_reader sub = { .bad = true };
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_ARRAY);

	if (!o)
		return sub;
	sub = wire_array(o, 0);
	if (sub.left > max) {
		sub.bad = true;
		sub.left = 0;
		r->bad = true;
	}
	return sub;
}

/* Writes a string. */
void wire_put_str(msgpack_packer *p, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(p, len);
	msgpack_pack_str_body(p, s, len);
}

/* Writes bytes. */
void wire_put_bin(msgpack_packer *p, const void *data, size_t len)
{
	msgpack_pack_bin(p, len);
	if (len)
		msgpack_pack_bin_body(p, data, len);
}

/*
 * Returns the next field if it has the type; otherwise NULL, and the reader is
 * bad.
 */
static const msgpack_object *next_field(struct wire_reader *r,
					msgpack_object_type type)
{
	if (r->bad || r->left == 0 || r->next->type != type) {
		r->bad = true;
		return NULL;
	}
	r->left--;
	return r->next++;
}
