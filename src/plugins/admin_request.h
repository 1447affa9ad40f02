#ifndef PLUGINS_ADMIN_REQUEST_H
#define PLUGINS_ADMIN_REQUEST_H

#include "decide/change.h"

#define ADMIN_PREFIX	     "/admin/v1/"
#define ADMIN_BODY_MAX_BYTES 65536

enum admin_method {
	ADMIN_GET,
	ADMIN_PUT,
	ADMIN_POST,
	ADMIN_DELETE,
	ADMIN_METHOD_COUNT,
};

enum admin_resource {
	RESOURCE_TEAMS,
	RESOURCE_TEAM,
	RESOURCE_KEYS,
	RESOURCE_KEY,
	RESOURCE_DEFAULTS,
	RESOURCE_EXCEPTIONS,
	RESOURCE_EXCEPTION,
	RESOURCE_STATUS,
	RESOURCE_EVENTS,
};

/* The method and resource of a request. */
struct admin_target {
	enum admin_method method;
	enum admin_resource resource;
	char team[NAME_MAX_BYTES];
	char id[NAME_MAX_BYTES]; /* of a key or an exception */
};

/* The precondition of a change. */
struct admin_condition {
	bool has_version; /* If-Match: "VERSION" */
	uint64_t version;
	bool absent; /* If-None-Match: * */
};

/* Parses method and path; returns -1 with NOT_FOUND or METHOD on failure. */
int admin_target_parse(const char *method, const char *path,
		       struct admin_target *out, struct error *e);
/*
 * Parses the headers of the precondition, each NULL if it is missing; returns
 * -1 with BAD_REQUEST on failure.
 */
int admin_condition_parse(const char *if_match, const char *if_none_match,
			  struct admin_condition *out, struct error *e);
/* Returns whether a change of this target needs a precondition. */
bool admin_needs_condition(const struct admin_target *t);
/* Returns whether the request is a change, not a read. */
bool admin_is_change(const struct admin_target *t);
/*
 * Fills in a change from the target and the body; returns -1 with BAD_REQUEST
 * or UNPROCESSABLE on failure. What depends on the current object is checked
 * when the change is applied.
 */
int admin_change_parse(const struct admin_target *t, const char *body,
		       size_t len, struct change *out, struct error *e);

#endif
