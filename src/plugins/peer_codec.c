#include "plugins/peer_codec.h"

#include <string.h>

#include "kernel/wire.h"

#define FRAME_FIELDS 7

/* Appends an encoded frame to a buffer. */
void peer_encode(msgpack_sbuffer *out, const struct peer_frame *f)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	msgpack_pack_array(&p, FRAME_FIELDS);
	msgpack_pack_uint32(&p, PEER_PROTOCOL);
	msgpack_pack_uint32(&p, (uint32_t)f->type);
	wire_put_str(&p, f->from);
	msgpack_pack_uint64(&p, f->incarnation);
	msgpack_pack_int64(&p, f->at.wall_us);
	msgpack_pack_uint32(&p, f->at.count);
	wire_put_bin(&p, f->body, f->body_len);
}

/*
 * Decodes a frame; returns -1 with "e" set if it is too large, malformed, of
 * another protocol version or of a type that this version does not know.
 */
int peer_decode(msgpack_unpacked *u, const void *buf, size_t len,
		struct peer_frame *out, struct error *e)
{
	struct wire_reader r;
	uint64_t protocol, type, count;

	memset(out, 0, sizeof(*out));
	if (len > PEER_FRAME_MAX_BYTES)
		return error_set(e, ERR_TOO_LARGE, STEP_PARSE, NULL,
				 "message of %zu bytes is too large", len);
	if (!wire_unpack(u, buf, len))
		return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
				 "not exactly one msgpack message");
	r = wire_array(&u->data, FRAME_FIELDS);
	protocol = wire_u64(&r);
	type = wire_u64(&r);
	wire_str(&r, out->from, sizeof(out->from));
	out->incarnation = wire_u64(&r);
	out->at.wall_us = wire_i64(&r);
	count = wire_u64(&r);
	out->body = wire_bin(&r, PEER_BODY_MAX_BYTES, &out->body_len);
	if (r.bad || count > UINT32_MAX || out->from[0] == '\0')
		return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, out->from,
				 "malformed frame");
	if (protocol != PEER_PROTOCOL)
		return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, out->from,
				 "unsupported protocol %llu",
				 (unsigned long long)protocol);
	if (type == 0 || type >= PEER_TYPE_COUNT)
		return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, out->from,
				 "unknown message type %llu",
				 (unsigned long long)type);
	out->type = (enum peer_type)type;
	out->at.count = (uint32_t)count;
	return 0;
}
