#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plugins/platform_http.h"

/* Response limits, for many objects and for one, which the platform bounds. */
#define LIST_MAX_BYTES	(64UL * 1024 * 1024)
#define REPLY_MAX_BYTES (OBJECT_MAX_BYTES + 4096UL)

static bool is_url_safe(const char *name);
static int format_url(struct http_call *h, const struct platform_call *c,
		      const char *address);
static bool parse_version(const char *etag, uint64_t *version);
static void map_success(const struct http_call *h, struct platform_call *c);
static void map_failure(const struct http_call *h, struct platform_call *c);

/*
 * Fills in the HTTP request of a call. Returns -1 if the object's name would
 * need escaping, the URL is too long or the operation is PLATFORM_PROMOTE.
 */
int platform_http_build_request(struct http_call *h,
				const struct platform_call *c,
				const char *address, usec_t timeout)
{
	if (!is_url_safe(c->name))
		return -1;
	if (format_url(h, c, address))
		return -1;
	h->method = "GET";
	h->timeout = timeout;
	h->reply_max = REPLY_MAX_BYTES;
	switch (c->op) {
	case PLATFORM_GET:
	case PLATFORM_VMS:
		break;
	case PLATFORM_LIST:
		h->reply_max = LIST_MAX_BYTES;
		break;
	case PLATFORM_WATCH:
		h->reply_max = LIST_MAX_BYTES;
		h->timeout = timeout + (usec_t)c->wait_ms * USEC_PER_MSEC;
		break;
	case PLATFORM_ANNOUNCE:
		h->method = "POST";
		break;
	case PLATFORM_PROMOTE:
		return -1; /* this platform's databases are called directly */
	case PLATFORM_PUT:
		h->method = "PUT";
		h->if_none_match = c->version == 0;
		if (c->version > 0)
			snprintf(h->if_match, sizeof(h->if_match), "%" PRIu64,
				 c->version);
		break;
	}
	if (c->body) {
		h->body = c->body;
		h->body_len = strlen(c->body);
	}
	return 0;
}

/* Sets the call's result, version and error from the completed HTTP call. */
void platform_http_read_result(const struct http_call *h,
			       struct platform_call *c)
{
	if (h->status == 200)
		map_success(h, c);
	else
		map_failure(h, c);
}

/*
 * Returns whether a name or prefix can be put into a URL as it is, without
 * escaping and without "..".
 */
static bool is_url_safe(const char *name)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-._~/";

	return strstr(name, "..") == NULL &&
	       name[strspn(name, allowed)] == '\0';
}

/* Writes the URL; returns -1 if it does not fit. */
static int format_url(struct http_call *h, const struct platform_call *c,
		      const char *address)
{
	size_t size = sizeof(h->url);
	int n = -1;

	switch (c->op) {
	case PLATFORM_GET:
	case PLATFORM_PUT:
		n = snprintf(h->url, size, "http://%s/v1/objects/%s", address,
			     c->name);
		break;
	case PLATFORM_LIST:
		n = snprintf(h->url, size, "http://%s/v1/objects?prefix=%s",
			     address, c->name);
		break;
	case PLATFORM_WATCH:
		n = snprintf(h->url, size,
			     "http://%s/v1/watch?prefix=%s&after=%" PRIu64
			     "&wait_ms=%" PRIu32,
			     address, c->name, c->after, c->wait_ms);
		break;
	case PLATFORM_PROMOTE:
		break;
	case PLATFORM_VMS:
	case PLATFORM_ANNOUNCE:
		n = snprintf(h->url, size, "http://%s/v1/vms", address);
		break;
	}
	return n < 0 || (size_t)n >= size ? -1 : 0;
}

/* Parses a version, a positive decimal integer without sign or blanks. */
static bool parse_version(const char *etag, uint64_t *version)
{
	unsigned long long v;
	char *end;

	if (etag[0] < '1' || etag[0] > '9')
		return false;
	errno = 0;
	v = strtoull(etag, &end, 10);
	if (errno != 0 || *end != '\0')
		return false;
	*version = v;
	return true;
}

/*
 * Sets the result for status 200. A read or write without a version is not a
 * success: the write may have taken effect, the read failed.
 */
static void map_success(const struct http_call *h, struct platform_call *c)
{
	bool versioned = c->op == PLATFORM_GET || c->op == PLATFORM_PUT;

	c->result = PLATFORM_OK;
	if (!versioned || parse_version(h->etag, &c->version))
		return;
	c->result = c->op == PLATFORM_PUT ? PLATFORM_LOST : PLATFORM_DOWN;
	error_set(&c->error, ERR_PLATFORM, STEP_PARSE, c->name,
		  "answer without a version");
}

/*
 * Sets the result for a status other than 200, or no reply. A write that was
 * sent and not refused with a 4xx status may have taken effect: PLATFORM_LOST.
 */
static void map_failure(const struct http_call *h, struct platform_call *c)
{
	bool may_have_run = c->op == PLATFORM_PUT && h->sent;

	if (h->status == 404 && c->op == PLATFORM_GET) {
		c->result = PLATFORM_NOT_FOUND;
		c->version = 0;
		error_set(&c->error, ERR_NOT_FOUND, STEP_NONE, c->name,
			  "no such object");
		return;
	}
	if (h->status == 412 && c->op == PLATFORM_PUT) {
		c->result = PLATFORM_CONFLICT;
		if (!parse_version(h->etag, &c->version))
			c->version = 0;
		error_set(&c->error, ERR_CONFLICT, STEP_CONFIG_WRITE, c->name,
			  "current version is %" PRIu64, c->version);
		return;
	}
	if (h->status >= 400 && h->status < 500) {
		c->result = PLATFORM_DOWN;
		error_set(&c->error, ERR_UNPROCESSABLE, STEP_NONE, c->name,
			  "platform refused the request with status %d",
			  h->status);
		return;
	}
	c->result = may_have_run ? PLATFORM_LOST : PLATFORM_DOWN;
	if (h->status)
		error_set(&c->error, ERR_PLATFORM, STEP_NONE, c->name,
			  "platform failed with status %d", h->status);
	else
		error_set(&c->error, h->timed_out ? ERR_TIMEOUT : ERR_PLATFORM,
			  STEP_CONNECT, c->name, "%s", h->error_text);
}
