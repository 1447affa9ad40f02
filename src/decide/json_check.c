#include "decide/json_check.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Parses a JSON object; NULL with the line of the syntax error in "e". */
json_t *json_check_load(const char *body, const char *place, struct error *e)
{
	json_error_t err;
	json_t *root = json_loads(body, JSON_REJECT_DUPLICATES, &err);

	if (!root) {
		json_check_fail(e, place, "line %d: %s", err.line, err.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		json_check_fail(e, place, "not an object");
		json_decref(root);
		return NULL;
	}
	return root;
}

/* Sets a validation error whose message begins with the place; returns -1. */
int json_check_fail(struct error *e, const char *place, const char *fmt, ...)
{
	char text[ERROR_MESSAGE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return error_set(e, ERR_UNPROCESSABLE, STEP_CONFIG_CHECK, "", "%s: %s",
			 place, text);
}

/* Reads an optional integer from min to max; sets *has to true if present. */
int json_check_uint(const json_t *o, const char *key, uint32_t min,
		    uint32_t max, const char *place, uint32_t *out, bool *has,
		    struct error *e)
{
	const json_t *v = json_object_get(o, key);

	*has = v != NULL;
	if (!v)
		return 0;
	if (!json_is_integer(v) || json_integer_value(v) < min ||
	    json_integer_value(v) > max)
		return json_check_fail(e, place, "%s: not from %u to %u", key,
				       min, max);
	*out = (uint32_t)json_integer_value(v);
	return 0;
}

/* Reads a required integer that is not negative. */
int json_check_u64(const json_t *o, const char *key, const char *place,
		   uint64_t *out, struct error *e)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return json_check_fail(
			e, place, "%s: not a count, an integer from 0", key);
	*out = (uint64_t)json_integer_value(v);
	return 0;
}

/* Reads a required string, not empty, that fits "size" bytes with its NUL. */
int json_check_text(const json_t *o, const char *key, size_t size,
		    const char *place, char *out, struct error *e)
{
	const char *s = json_string_value(json_object_get(o, key));

	if (!s || !*s || strlen(s) >= size)
		return json_check_fail(e, place,
				       "%s: not a text of 1 to %zu bytes", key,
				       size - 1);
	snprintf(out, size, "%s", s);
	return 0;
}

/* Decodes 32 bytes from a string of 64 hex digits; false if it is not one. */
bool json_check_hex32(const json_t *v, uint8_t out[32])
{
	const char *s = json_string_value(v);
	const char *end;
	size_t n;

	if (!s || strlen(s) != 64)
		return false;
	if (sodium_hex2bin(out, 32, s, 64, NULL, &n, &end) != 0)
		return false;
	return n == 32 && end == s + 64;
}
