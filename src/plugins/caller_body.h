#ifndef PLUGINS_CALLER_BODY_H
#define PLUGINS_CALLER_BODY_H

#include "kernel/request.h"

#define BODY_DEPTH_MAX 32
#define MAX_AGE_MAX_MS 3600000

struct caller_limits {
	int64_t deadline_default_ms;
	int64_t deadline_max_ms;
};

/*
 * Fills in a request from a statement's body; "arrived_at" must be set. Returns
 * -1 with "e" set if the body is invalid.
 */
int caller_body_statement(struct request *r, const char *body, size_t len,
			  const struct caller_limits *l, struct error *e);
/* Does the same for begin, commit and rollback, whose body may be empty. */
int caller_body_transaction(struct request *r, const char *body, size_t len,
			    const struct caller_limits *l, struct error *e);
/* Sets the hash that tells different requests with one request id apart. */
void caller_body_hash(struct request *r);

#endif
