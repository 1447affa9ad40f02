#ifndef KERNEL_WIRE_H
#define KERNEL_WIRE_H

#include <msgpack.h>

#include "decide/types.h"

/*
 * Reads msgpack messages with limits on all sizes. A reader iterates over one
 * array. The first field that is missing, of another type or too long makes it
 * bad, and everything read after that is zero or empty.
 */
struct wire_reader {
	const msgpack_object *next;
	uint32_t left; /* fields */
	bool bad;
};

/* Unpacks one message, which must fill the buffer; false if it does not. */
bool wire_unpack(msgpack_unpacked *u, const void *buf, size_t len);
/* Starts reading an array of at least "min" fields. */
struct wire_reader wire_array(const msgpack_object *o, uint32_t min);
uint64_t wire_u64(struct wire_reader *r);
int64_t wire_i64(struct wire_reader *r);
/* Skips a field that is nil or missing; false if there is another one. */
bool wire_skip_nil(struct wire_reader *r);
bool wire_bool(struct wire_reader *r);
/*
 * Copies a string without NULs that is shorter than "size"; otherwise the
 * reader is bad.
 */
void wire_str(struct wire_reader *r, char *out, size_t size);
/* Returns a pointer into the message, to at most "max" bytes. */
const char *wire_bin(struct wire_reader *r, size_t max, size_t *len);
/* Reads the next field as an array of at most "max" elements. */
struct wire_reader wire_nested_array(struct wire_reader *r, uint32_t max);

void wire_put_str(msgpack_packer *p, const char *s);
void wire_put_bin(msgpack_packer *p, const void *data, size_t len);

#endif
