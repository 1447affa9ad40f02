#ifndef PLUGINS_PLATFORM_HTTP_H
#define PLUGINS_PLATFORM_HTTP_H

#include "kernel/loop.h"
#include "kernel/platform.h"

/*
 * The platform's wire form, apart from the loop that carries it: the request
 * of a call, and the result that a reply means. "timeout" in microseconds.
 */
int platform_http_request(struct http_call *h, const struct platform_call *c,
			  const char *address, usec_t timeout);
void platform_http_result(const struct http_call *h, struct platform_call *c);

#endif
