#ifndef KERNEL_FORWARD_CODEC_H
#define KERNEL_FORWARD_CODEC_H

#include <msgpack.h>

#include "kernel/request.h"

/* Packs a request for the VM that holds its transaction. */
void forward_pack(msgpack_sbuffer *buf, uint64_t id, const struct request *r,
		  usec_t now);
/* Returns the request, which the caller owns, or NULL if it is malformed. */
struct request *forward_unpack(const void *body, size_t len, uint64_t *id,
			       usec_t now);
/* Packs the response to a forwarded request. */
void forward_pack_answer(msgpack_sbuffer *buf, uint64_t id,
			 const struct request *r);
/* Returns -1 if the response is malformed; a->rows is then NULL. */
int forward_unpack_answer(const void *body, size_t len, uint64_t *id,
			  char service[NAME_MAX_BYTES], struct answer *a);

#endif
