#ifndef PLUGINS_ESCROW_CODEC_H
#define PLUGINS_ESCROW_CODEC_H

#include <msgpack.h>

#include "decide/escrow.h"

/*
 * Encodes the body of PEER_ESCROW, a msgpack array
 * [type, bucket, epoch, id, share, tokens, demand].
 */
void escrow_encode(msgpack_sbuffer *buf, const struct escrow_msg *msg);
/* Returns false if the bytes are no such array or a field is out of bounds. */
bool escrow_decode(const void *body, size_t len, struct escrow_msg *out);

#endif
