#include "plugins/escrow_codec.h"

#include <string.h>

#include "kernel/wire.h"

#define ESCROW_FIELDS 7

/* Appends an encoded escrow message to the buffer. */
void escrow_encode(msgpack_sbuffer *buf, const struct escrow_msg *msg)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, ESCROW_FIELDS);
	msgpack_pack_uint8(&p, (uint8_t)msg->type);
	wire_put_str(&p, msg->bucket);
	msgpack_pack_uint64(&p, msg->epoch);
	msgpack_pack_uint64(&p, msg->id);
	msgpack_pack_uint32(&p, msg->share);
	msgpack_pack_uint64(&p, msg->tokens);
	msgpack_pack_uint32(&p, msg->demand);
}

/*
 * Decodes an escrow message; returns false if it is malformed or a field is out
 * of bounds.
 */
bool escrow_decode(const void *body, size_t len, struct escrow_msg *out)
{
	msgpack_unpacked u;
	struct wire_reader r;
	uint64_t type;
	uint64_t share;
	uint64_t demand;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&u);
	if (!wire_unpack(&u, body, len)) {
		msgpack_unpacked_destroy(&u);
		return false;
	}
	r = wire_array(&u.data, ESCROW_FIELDS);
	type = wire_u64(&r);
	wire_str(&r, out->bucket, sizeof(out->bucket));
	out->epoch = wire_u64(&r);
	out->id = wire_u64(&r);
	share = wire_u64(&r);
	out->tokens = wire_u64(&r);
	demand = wire_u64(&r);
	msgpack_unpacked_destroy(&u);
	if (r.bad || type == 0 || type >= ESCROW_TYPE_COUNT ||
	    share > ESCROW_WHOLE || demand > UINT32_MAX || !out->bucket[0])
		return false;
	out->type = (enum escrow_type)type;
	out->share = (uint32_t)share;
	out->demand = (uint32_t)demand;
	return true;
}
