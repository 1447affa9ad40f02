#ifndef KERNEL_PLATFORM_CLIENT_H
#define KERNEL_PLATFORM_CLIENT_H

#include "decide/call_retry.h"
#include "kernel/loop.h"
#include "kernel/platform.h"

/*
 * The common part of plug-ins that reach a platform over HTTP: a loop for the
 * calls, and whether the platform answers. Each plug-in implements its own
 * requests and the interpretation of the replies.
 */
struct platform_protocol {
	/* Fills in the request; -1 if the platform does not support the call.
	 * "body" is freed after the call, if it is set. */
	int (*request)(void *ctx, const struct platform_call *c,
		       struct http_call *h, char **body);
	/* Fills in the result and the fields that a reply sets, except for
	 * c->reply. */
	void (*result)(const struct http_call *h, struct platform_call *c);
	/* Overdue calls are continued on new connections. Submitters of
	 * conditional writes read the object back if the result is LOST. */
	bool continues_overdue;
};

struct http_job;

struct platform_client {
	struct platform iface;
	const struct platform_protocol *wire;
	void *ctx; /* passed to the callbacks of "wire" */
	char address[ADDR_MAX_BYTES];
	usec_t timeout; /* of a call, without the wait of a WATCH */
	bool up;	/* written on the loop's thread; with __atomic */
	bool availability_known;
	bool stopping; /* with __atomic */
	/* On the loop's thread, if overdue calls are continued: */
	struct call_retry retry;
	struct http_job *watches; /* in progress */
	uint32_t n_silent;	  /* found since the last log line */
	usec_t silent_logged_at;
};

/* Starts the loop and sets k->platform; -1 on failure. */
int platform_client_start(struct platform_client *p, struct kernel *k,
			  const struct platform_protocol *wire, void *ctx,
			  struct error *e);
/*
 * Stops the loop. Calls in progress are dropped without done(); their owners
 * must have stopped.
 */
void platform_client_stop(struct platform_client *p, struct kernel *k);

#endif
