#ifndef PLUGINS_ADMIN_HTTP_H
#define PLUGINS_ADMIN_HTTP_H

#include <jansson.h>
#include <microhttpd.h>

#include "plugins/admin_change.h"

#define ADMIN_SECRET_BYTES 32
#define ADMIN_SECRET_TEXT  64 /* base64 of the bytes, and the NUL */

/* One HTTP request of an operator. */
struct admin_request {
	struct kernel *kernel;
	struct MHD_Connection *connection;
	struct admin_target target;
	struct error error; /* found before the body was complete */
	char *body;
	size_t len;
	struct admin_change change;
	struct platform_call read;
	char secret[ADMIN_SECRET_TEXT]; /* secret of a new key */
	bool suspended;			/* HTTP server thread only */
	bool has_response;
	int status;
	uint64_t version; /* sent as the ETag header, unless 0 */
	char *reply;
};

/*
 * Checks the Authorization header against the operators' key in constant time.
 */
bool admin_key_matches(const char *authorization, const char *hash_hex);
/* Handles a complete request; responds at once or after its platform calls. */
void admin_handle(struct admin_request *r);
void admin_respond(struct admin_request *r, int status, json_t *body);
void admin_respond_error(struct admin_request *r, const struct error *e);
/* Suspends the connection until admin_resume() is called. */
void admin_suspend(struct admin_request *r);
void admin_resume(struct admin_request *r);

#endif
