#ifndef DECIDE_JSON_CHECK_H
#define DECIDE_JSON_CHECK_H

#include <jansson.h>

#include "decide/error.h"

/*
 * Helpers for validating a configuration object. "place" names the part of the
 * object that is checked, and begins the error message.
 */
json_t *json_check_load(const char *body, const char *place, struct error *e);
int json_check_fail(struct error *e, const char *place, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
int json_check_uint(const json_t *o, const char *key, uint32_t min,
		    uint32_t max, const char *place, uint32_t *out, bool *has,
		    struct error *e);
int json_check_u64(const json_t *o, const char *key, const char *place,
		   uint64_t *out, struct error *e);
int json_check_text(const json_t *o, const char *key, size_t size,
		    const char *place, char *out, struct error *e);
bool json_check_hex32(const json_t *v, uint8_t out[32]);

#endif
