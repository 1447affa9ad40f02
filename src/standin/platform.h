#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "decide/error.h"

/*
 * A stand-in for the platform's object API and VM list, served over HTTP;
 * docs/PROTOCOLS.md describes the protocol.
 */
struct platform;

struct platform_options {
	const char *listen;   /* address to serve, ip:port */
	const char *control;  /* ip:port of the fault control server */
	int64_t latency_us;   /* added to each call */
	int64_t vm_lag_ms;    /* age of the VM list served */
	int64_t vm_expiry_ms; /* from a VM's last announcement to its expiry */
};

struct platform *platform_start(const struct platform_options *o,
				struct error *e);
const char *platform_address(const struct platform *p);
const char *platform_control_address(const struct platform *p);
void platform_stop(struct platform *p);

#endif
