#ifndef CMD_ADMIN_CALL_H
#define CMD_ADMIN_CALL_H

#include <jansson.h>

#include "decide/types.h"

#define ADMIN_KEY_MAX	  128
#define ADMIN_PATH_MAX	  256
#define ADMIN_ID_BYTES	  64
#define ADMIN_CALL_SECS	  30
#define ADMIN_FAIL_BYTES  256
#define ADMIN_REPLY_BYTES (16UL * 1024 * 1024)

/* Exit codes besides those of sysexits. */
enum admin_exit {
	EXIT_ACCEPTED = 0,
	EXIT_REFUSED = 1,
	EXIT_UNKNOWN = 3,
	EXIT_WRITTEN = 4, /* written, not yet known where it has to be */
};

/* Where and as whom calls are made. */
struct admin_client {
	char address[ADDR_MAX_BYTES];
	char key[ADMIN_KEY_MAX];
	char operator_name[NAME_MAX_BYTES];
	char change[ADMIN_ID_BYTES]; /* id of the change */
};

/* One call and its answer. */
struct admin_call {
	const char *method;
	char path[ADMIN_PATH_MAX]; /* after /admin/v1/ */
	json_t *body;		   /* may be NULL; borrowed */
	bool has_version;
	uint64_t version; /* sent as If-Match; then the answer's */
	int status;	  /* 0: no answer */
	bool sent;	  /* the request may have reached the VM */
	char failure[ADMIN_FAIL_BYTES];
	json_t *reply; /* a new reference, or NULL */
};

void admin_call(const struct admin_client *c, struct admin_call *call);

#endif
