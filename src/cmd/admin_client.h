#ifndef CMD_ADMIN_CLIENT_H
#define CMD_ADMIN_CLIENT_H

#include <jansson.h>

#include "decide/types.h"

#define ADMIN_KEY_BYTES	      128
#define ADMIN_PATH_BYTES      256
#define ADMIN_CHANGE_ID_BYTES 64
#define ADMIN_CALL_TIMEOUT_S  30
#define ADMIN_FAILURE_BYTES   256
#define ADMIN_REPLY_MAX_BYTES (16UL * 1024 * 1024)

/* Exit codes of "admin", besides those of sysexits.h. */
enum admin_exit {
	EXIT_ACCEPTED = 0,
	EXIT_REFUSED = 1,
	EXIT_UNKNOWN = 3,
	EXIT_WRITTEN = 4, /* not yet known in another failure domain */
};

/* The VM to call and the operator who calls it. */
struct admin_client {
	char address[ADDR_MAX_BYTES];
	char key[ADMIN_KEY_BYTES];
	char operator_name[NAME_MAX_BYTES];
	char change[ADMIN_CHANGE_ID_BYTES]; /* id of the change */
};

/* One request and its response. */
struct admin_call {
	const char *method;
	char path[ADMIN_PATH_BYTES]; /* after /admin/v1/ */
	json_t *body;		     /* may be NULL; borrowed */
	bool has_version;
	uint64_t version; /* sent in If-Match; then that of the response */
	int status;	  /* HTTP; 0: no response */
	bool sent;	  /* the request may have reached the VM */
	char failure[ADMIN_FAILURE_BYTES]; /* why there is no response */
	json_t *reply;			   /* a new reference, or NULL */
};

void admin_call(const struct admin_client *c, struct admin_call *call);

#endif
