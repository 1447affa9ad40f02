#ifndef PLUGINS_ESCROW_CODEC_H
#define PLUGINS_ESCROW_CODEC_H

#include <msgpack.h>

#include "decide/escrow.h"

/* Body of PEER_ESCROW: [type, bucket, epoch, id, share, tokens, demand]. */
void escrow_encode(msgpack_sbuffer *buf, const struct escrow_msg *msg);
/* False if the bytes are no such body, or a field is out of its bounds. */
bool escrow_decode(const void *body, size_t len, struct escrow_msg *out);

#endif
