#ifndef PLUGINS_PEER_CODEC_H
#define PLUGINS_PEER_CODEC_H

#include <msgpack.h>

#include "kernel/peer.h"
#include "kernel/timeline.h"

#define PEER_PROTOCOL	     1
#define PEER_FRAME_MAX_BYTES (PEER_BODY_MAX_BYTES + 512)

/*
 * The frame of every message between VMs, a msgpack array
 * [protocol, type, sender, incarnation, wall, count, body]. "wall" and "count"
 * are the sender's hybrid logical clock.
 */
struct peer_frame {
	enum peer_type type;
	char from[NAME_MAX_BYTES];
	uint64_t incarnation;
	struct hlc at;
	const char *body; /* after decoding: points into the unpacked message */
	size_t body_len;
};

void peer_encode(msgpack_sbuffer *out, const struct peer_frame *f);
/* The body points into "u", which the caller initialises and destroys. */
int peer_decode(msgpack_unpacked *u, const void *buf, size_t len,
		struct peer_frame *out, struct error *e);

#endif
