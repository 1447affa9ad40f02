#ifndef PLUGINS_PLATFORM_HTTP_H
#define PLUGINS_PLATFORM_HTTP_H

#include "kernel/loop.h"
#include "kernel/platform.h"

/*
 * The HTTP codec of the platform client: builds the HTTP request of a call and
 * reads the call's result from the HTTP reply. "timeout" is in microseconds.
 */
int platform_http_build_request(struct http_call *h,
				const struct platform_call *c,
				const char *address, usec_t timeout);
void platform_http_read_result(const struct http_call *h,
			       struct platform_call *c);

#endif
