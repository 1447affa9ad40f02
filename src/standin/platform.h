#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "decide/error.h"

/* The platform's object API and VM list, as docs/PROTOCOLS.md tells. */
struct platform;

struct platform_options {
	const char *listen;
	const char *control;
	int64_t latency_us;
	int64_t vm_lag_ms;
	int64_t vm_expiry_ms; /* unannounced for this long: gone */
};

struct platform *platform_start(const struct platform_options *o,
				struct error *e);
const char *platform_address(const struct platform *p);
const char *platform_control(const struct platform *p);
void platform_stop(struct platform *p);

#endif
