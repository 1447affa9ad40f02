#ifndef KERNEL_PLATFORM_CLIENT_H
#define KERNEL_PLATFORM_CLIENT_H

#include "kernel/loop.h"
#include "kernel/platform.h"

/*
 * What all plug-ins that speak to a platform over HTTP have in common: a loop
 * for the calls, jobs, whether the platform answers. How a call is written and
 * what a reply means is the plug-in's.
 */
struct platform_wire {
	/* Fills in the request; -1 if the call has no form. "body" is freed
	 * after the call, if it is set. */
	int (*request)(void *ctx, const struct platform_call *c,
		       struct http_call *h, char **body);
	/* Fills in the result and what else a reply tells, but for its text. */
	void (*result)(const struct http_call *h, struct platform_call *c);
};

struct platform_client {
	struct platform iface;
	const struct platform_wire *wire;
	void *ctx; /* for the wire */
	char address[ADDR_MAX_BYTES];
	usec_t timeout; /* of a call that does not wait */
	bool up;	/* loop's thread writes; read with __atomic */
	bool ever_answered;
	bool stopping; /* read and written with __atomic */
};

/* Starts the loop and puts the client into the kernel; -1 on failure. */
int platform_client_start(struct platform_client *p, struct kernel *k,
			  const struct platform_wire *wire, void *ctx,
			  struct error *e);
/* Ends the loop. Calls under way are dropped: their owners have stopped. */
void platform_client_stop(struct platform_client *p, struct kernel *k);

#endif
