#ifndef KERNEL_PLATFORM_H
#define KERNEL_PLATFORM_H

#include "decide/error.h"

struct kernel;
struct loop;
struct platform_call;

/* The operations of the platform's plug-in, which sets k->platform. */
struct platform {
	void (*submit)(void *ctx, struct platform_call *c);
	bool (*is_up)(void *ctx);
	void *ctx;
	struct loop *loop; /* runs done(); others may set timers on it */
};

#define OBJECT_NAME_BYTES 128
#define OBJECT_MAX_BYTES  1048576

enum platform_op {
	PLATFORM_GET,
	PLATFORM_PUT,
	PLATFORM_LIST,
	PLATFORM_WATCH,
	PLATFORM_VMS,
	PLATFORM_ANNOUNCE,
	PLATFORM_PROMOTE, /* a database, with a fencing token */
};

enum platform_result {
	PLATFORM_OK,
	PLATFORM_CONFLICT, /* the version was not the expected one */
	PLATFORM_NOT_FOUND,
	PLATFORM_DOWN, /* certainly without effect */
	PLATFORM_LOST, /* may have taken effect */
};

/* One call, owned by its submitter; done() runs on the platform's loop. */
struct platform_call {
	enum platform_op op;
	char name[OBJECT_NAME_BYTES]; /* name of an object, or a prefix */
	char from[OBJECT_NAME_BYTES]; /* LIST: continue after this name;
					 PROMOTE: the database */
	char *body;	  /* PUT, ANNOUNCE; owned by the submitter */
	uint64_t version; /* in: expected (0: must not exist); out: current */
	uint64_t after;	  /* WATCH: return changes after this revision */
	uint32_t wait_ms; /* WATCH: longest wait for a change */
	bool stale_ok;	  /* LIST: may be some seconds old, and costs less */
	bool new_connection; /* use none that may have fallen silent */
	usec_t timeout;	     /* of the whole call, if shorter; 0: as set */
	uint64_t object_era; /* GET, PUT: the era of the store that the object
				belongs to; 0: any. One of another era is a
				different object. */
	void (*done)(struct platform_call *c);
	void *ctx;
	enum platform_result result;
	bool replied; /* out: the platform replied, if only with an error */
	uint64_t era; /* out: era of the store that replied; 0: not told */
	struct error error;
	char *reply; /* JSON; freed after done() */
	void *own;   /* private to the plug-in */
};

/*
 * Starts a call. Any thread. Without a platform plug-in, done() is called at
 * once with PLATFORM_DOWN.
 */
void platform_submit(struct kernel *k, struct platform_call *c);
bool platform_is_up(struct kernel *k); /* as far as this VM knows */

#endif
