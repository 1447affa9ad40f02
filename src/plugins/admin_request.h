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
	ADMIN_METHODS,
};

enum admin_place {
	PLACE_TEAMS,
	PLACE_TEAM,
	PLACE_KEYS,
	PLACE_KEY,
	PLACE_DEFAULTS,
	PLACE_EXCEPTIONS,
	PLACE_EXCEPTION,
	PLACE_STATUS,
	PLACE_EVENTS,
};

/* What a request is about. */
struct admin_target {
	enum admin_method method;
	enum admin_place place;
	char team[NAME_MAX_BYTES];
	char id[NAME_MAX_BYTES]; /* of a key or an exception */
};

/* The condition of a change. */
struct admin_condition {
	bool has_version; /* If-Match: "VERSION" */
	uint64_t version;
	bool absent; /* If-None-Match: * */
};

/* Finds the target: 0, or -1 with NOT_FOUND or METHOD. */
int admin_target_parse(const char *method, const char *path,
		       struct admin_target *out, struct error *e);
/* Reads the conditions; a value may be NULL. -1 with BAD_REQUEST. */
int admin_condition_parse(const char *if_match, const char *if_none_match,
			  struct admin_condition *out, struct error *e);
/* Does a change of this target have to say which version it is of? */
bool admin_condition_needed(const struct admin_target *t);
/* Is the target one that changes something? */
bool admin_is_change(const struct admin_target *t);
/*
 * Fills in a change from the target and the body. -1 with BAD_REQUEST or
 * UNPROCESSABLE; what depends on the current object is checked later.
 */
int admin_change_parse(const struct admin_target *t, const char *body,
		       size_t len, struct change *out, struct error *e);

#endif
