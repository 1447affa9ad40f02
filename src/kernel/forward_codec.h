#ifndef KERNEL_FORWARD_CODEC_H
#define KERNEL_FORWARD_CODEC_H

#include <msgpack.h>

#include "kernel/request.h"

/* A request on its way to the VM that holds its transaction. */
void forward_pack(msgpack_sbuffer *buf, uint64_t id, const struct request *r,
		  usec_t now);
/* The request, made anew, or NULL if the bytes are none. */
struct request *forward_unpack(const void *body, size_t len, uint64_t *id,
			       usec_t now);
/* Its answer on the way back. */
void forward_pack_answer(msgpack_sbuffer *buf, uint64_t id,
			 const struct request *r);
/* -1 if the bytes are no answer; "rows" is then NULL. */
int forward_unpack_answer(const void *body, size_t len, uint64_t *id,
			  char service[NAME_MAX_BYTES], struct answer *a);

#endif
