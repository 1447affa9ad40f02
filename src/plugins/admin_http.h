#ifndef PLUGINS_ADMIN_HTTP_H
#define PLUGINS_ADMIN_HTTP_H

#include <jansson.h>
#include <microhttpd.h>

#include "plugins/admin_change.h"

#define ADMIN_SECRET_BYTES 32
#define ADMIN_SECRET_TEXT  64 /* base64 of the bytes, and the NUL */

/* One request of an operator, from its first byte to its answer. */
struct admin_request {
	struct kernel *kernel;
	struct MHD_Connection *connection;
	struct admin_target target;
	struct error error; /* found before the body was whole */
	char *body;
	size_t len;
	struct admin_change change;
	struct platform_call read;
	char secret[ADMIN_SECRET_TEXT]; /* of a new key */
	bool suspended;			/* the server's thread alone */
	bool answered;
	int status;
	uint64_t version; /* sent as ETag, if not 0 */
	char *reply;
};

/* Is this the operators' key? Takes the same time whatever it is. */
bool admin_key_ok(const char *authorization, const char *hash_hex);
/* Begins to answer a whole request; it may be answered later, or at once. */
void admin_serve(struct admin_request *r);
void admin_answer(struct admin_request *r, int status, json_t *body);
void admin_answer_error(struct admin_request *r, const struct error *e);
/* Suspends the connection, to be resumed by admin_resume(). */
void admin_suspend(struct admin_request *r);
void admin_resume(struct admin_request *r);

#endif
