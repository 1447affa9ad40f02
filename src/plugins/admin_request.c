#include "plugins/admin_request.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEGMENTS_MAX 4

/* The segments of a path after its prefix. */
struct segments {
	size_t n;
	char part[SEGMENTS_MAX][NAME_MAX_BYTES];
};

/* Resources by their path, and the methods that each allows. */
static const struct resource {
	const char *collection;
	size_t n;		 /* segments */
	const char *subresource; /* NULL: none, or any */
	enum admin_resource resource;
	bool allows[ADMIN_METHOD_COUNT];
} resources[] = {
	{ "teams", 1, NULL, RESOURCE_TEAMS, { [ADMIN_GET] = true } },
	{ "teams",
	  2,
	  NULL,
	  RESOURCE_TEAM,
	  { [ADMIN_GET] = true, [ADMIN_PUT] = true, [ADMIN_DELETE] = true } },
	{ "teams", 3, "keys", RESOURCE_KEYS, { [ADMIN_POST] = true } },
	{ "teams", 4, "keys", RESOURCE_KEY, { [ADMIN_DELETE] = true } },
	{ "defaults",
	  1,
	  NULL,
	  RESOURCE_DEFAULTS,
	  { [ADMIN_GET] = true, [ADMIN_PUT] = true } },
	{ "exceptions", 1, NULL, RESOURCE_EXCEPTIONS, { [ADMIN_GET] = true } },
	{ "exceptions",
	  2,
	  NULL,
	  RESOURCE_EXCEPTION,
	  { [ADMIN_GET] = true, [ADMIN_PUT] = true, [ADMIN_DELETE] = true } },
	{ "status", 1, NULL, RESOURCE_STATUS, { [ADMIN_GET] = true } },
	{ "events", 1, NULL, RESOURCE_EVENTS, { [ADMIN_GET] = true } },
};

static const char *const method_names[ADMIN_METHOD_COUNT] = {
	[ADMIN_GET] = "GET",
	[ADMIN_PUT] = "PUT",
	[ADMIN_POST] = "POST",
	[ADMIN_DELETE] = "DELETE",
};

static int split_path(const char *path, struct segments *out);
static const struct resource *find_resource(const struct segments *s);
static int parse_method(const char *method);
static json_t *load_body(const char *body, size_t len, struct error *e);
static int parse_team(json_t *root, struct change *out, struct error *e);
static int parse_limits(json_t *root, const char *const *other_fields,
			size_t n_other_fields, struct change *out,
			struct error *e);
static int parse_limit(const json_t *v, const char *key, struct change *out,
		       struct error *e);
static int parse_exception(json_t *root, struct change *out, struct error *e);
static int parse_key(json_t *root, struct change *out, struct error *e);
static int copy_text(const json_t *root, const char *key, char *out,
		     size_t size, struct error *e);
static bool is_in_list(const char *key, const char *const *list, size_t n);
static int refuse_field(struct error *e, const char *what, const char *why);

/* Parses method and path into a target; NOT_FOUND and METHOD are errors. */
int admin_target_parse(const char *method, const char *path,
		       struct admin_target *out, struct error *e)
{
	const struct resource *p = NULL;
	struct segments s;
	int m = parse_method(method);

	memset(out, 0, sizeof(*out));
	if (split_path(path, &s) == 0)
		p = find_resource(&s);
	if (!p)
		return error_set(e, ERR_NOT_FOUND, STEP_PARSE, NULL,
				 "no such address");
	if (m < 0 || !p->allows[m])
		return error_set(e, ERR_METHOD, STEP_PARSE, NULL,
				 "method not allowed here");
	out->method = (enum admin_method)m;
	out->resource = p->resource;
	if (strcmp(p->collection, "teams") == 0 && s.n > 1)
		memcpy(out->team, s.part[1], sizeof(out->team));
	else if (s.n > 1)
		memcpy(out->id, s.part[1], sizeof(out->id));
	if (s.n == SEGMENTS_MAX)
		memcpy(out->id, s.part[3], sizeof(out->id));
	return 0;
}

/* Parses If-Match and If-None-Match, of which only one may be given. */
int admin_condition_parse(const char *if_match, const char *if_none_match,
			  struct admin_condition *out, struct error *e)
{
	char *end;

	memset(out, 0, sizeof(*out));
	if (if_none_match) {
		if (strcmp(if_none_match, "*") != 0)
			return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
					 "If-None-Match must be *");
		out->absent = true;
	}
	if (!if_match)
		return 0;
	errno = 0;
	if (if_match[0] == '"' && if_match[1] >= '0' && if_match[1] <= '9') {
		out->version = strtoull(if_match + 1, &end, 10);
		out->has_version = errno == 0 && strcmp(end, "\"") == 0;
	}
	if (!out->has_version || out->absent)
		return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
				 "If-Match must be one \"VERSION\"");
	return 0;
}

/*
 * Returns whether a change needs a precondition. Adding and withdrawing a key
 * do not: they cannot overwrite another change of the team.
 */
bool admin_needs_condition(const struct admin_target *t)
{
	return admin_is_change(t) && t->resource != RESOURCE_KEYS &&
	       t->resource != RESOURCE_KEY;
}

/* Returns whether the request is a change: any method except GET. */
bool admin_is_change(const struct admin_target *t)
{
	return t->method != ADMIN_GET;
}

/* Fills in a change from the target and the request's body. */
int admin_change_parse(const struct admin_target *t, const char *body,
		       size_t len, struct change *out, struct error *e)
{
	bool put = t->method == ADMIN_PUT;
	json_t *root = NULL;
	int rc = 0;

	memcpy(out->team, t->team, sizeof(out->team));
	if (t->method != ADMIN_DELETE) {
		root = load_body(body, len, e);
		if (!root)
			return -1;
	}
	switch (t->resource) {
	case RESOURCE_TEAM:
		out->kind = put ? CHANGE_PUT_TEAM : CHANGE_DELETE_TEAM;
		rc = put ? parse_team(root, out, e) : 0;
		break;
	case RESOURCE_KEYS:
		out->kind = CHANGE_ADD_KEY;
		rc = parse_key(root, out, e);
		break;
	case RESOURCE_KEY:
		out->kind = CHANGE_WITHDRAW_KEY;
		memcpy(out->key_id, t->id, sizeof(out->key_id));
		break;
	case RESOURCE_DEFAULTS:
		out->kind = CHANGE_PUT_DEFAULTS;
		rc = parse_limits(root, NULL, 0, out, e);
		break;
	case RESOURCE_EXCEPTION:
		out->kind =
			put ? CHANGE_PUT_EXCEPTION : CHANGE_DELETE_EXCEPTION;
		memcpy(out->exception_id, t->id, sizeof(out->exception_id));
		rc = put ? parse_exception(root, out, e) : 0;
		break;
	default:
		rc = error_set(e, ERR_METHOD, STEP_PARSE, NULL,
			       "nothing to change here");
		break;
	}
	json_decref(root);
	return rc;
}

/*
 * Splits the path after its prefix into segments; returns -1 if the prefix is
 * missing, there are too many segments or one is not a valid name.
 */
static int split_path(const char *path, struct segments *out)
{
	const char *slash;
	size_t len;

	memset(out, 0, sizeof(*out));
	if (strncmp(path, ADMIN_PREFIX, strlen(ADMIN_PREFIX)) != 0)
		return -1;
	path += strlen(ADMIN_PREFIX);
	for (;;) {
		slash = strchrnul(path, '/');
		len = (size_t)(slash - path);
		if (out->n == SEGMENTS_MAX || len == 0 || len >= NAME_MAX_BYTES)
			return -1;
		memcpy(out->part[out->n], path, len);
		if (!config_name_is_valid(out->part[out->n++]))
			return -1;
		if (*slash == '\0')
			return 0;
		path = slash + 1;
	}
}

/* Returns the resource with this path; NULL if there is none. */
static const struct resource *find_resource(const struct segments *s)
{
	size_t i;

	for (i = 0; i < sizeof(resources) / sizeof(resources[0]); i++) {
		const struct resource *p = &resources[i];

		if (s->n == p->n && strcmp(s->part[0], p->collection) == 0 &&
		    (!p->subresource ||
		     strcmp(s->part[2], p->subresource) == 0))
			return p;
	}
	return NULL;
}

/* Returns the method with this name; -1 if it is not supported. */
static int parse_method(const char *method)
{
	int i;

	for (i = 0; i < ADMIN_METHOD_COUNT; i++) {
		if (strcmp(method, method_names[i]) == 0)
			return i;
	}
	return -1;
}

/* Parses a body as a JSON object; an empty body counts as an empty object. */
static json_t *load_body(const char *body, size_t len, struct error *e)
{
	json_error_t why;
	json_t *root;

	if (len == 0)
		return json_object();
	if (len > ADMIN_BODY_MAX_BYTES) {
		error_set(e, ERR_TOO_LARGE, STEP_PARSE, NULL,
			  "body over %d bytes", ADMIN_BODY_MAX_BYTES);
		return NULL;
	}
	root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &why);
	if (!root) {
		error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
			  "body, line %d: %s", why.line, why.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		json_decref(root);
		error_set(e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
			  "body: must be a JSON object");
		return NULL;
	}
	return root;
}

/* Reads {"services": [...], "weight": N}. */
static int parse_team(json_t *root, struct change *out, struct error *e)
{
	static const char *const keys[] = { "services", "weight", "reason" };
	json_t *services = json_object_get(root, "services");
	json_t *weight = json_object_get(root, "weight");
	const char *key, *text;
	json_t *v;
	size_t i;

	json_object_foreach(root, key, v)
	{
		if (!is_in_list(key, keys, sizeof(keys) / sizeof(keys[0])))
			return refuse_field(e, key, "not a field of a team");
	}
	if (!json_is_array(services) ||
	    json_array_size(services) > TEAM_SERVICES_MAX)
		return refuse_field(e, "services", "must be a list of names");
	json_array_foreach(services, i, v)
	{
		text = json_string_value(v);
		if (!text || !config_name_is_valid(text))
			return refuse_field(e, "services",
					    "must contain names");
		snprintf(out->services[i], NAME_MAX_BYTES, "%s", text);
	}
	out->n_services = (uint32_t)json_array_size(services);
	if (weight) {
		if (!json_is_integer(weight) ||
		    json_integer_value(weight) < 1 ||
		    json_integer_value(weight) > WEIGHT_MAX)
			return refuse_field(e, "weight",
					    "must be from 1 to 1000");
		out->weight = (uint32_t)json_integer_value(weight);
	}
	return copy_text(root, "reason", out->reason, sizeof(out->reason), e);
}

/* Reads limits; any other field must be one of "other_fields". */
static int parse_limits(json_t *root, const char *const *other_fields,
			size_t n_other_fields, struct change *out,
			struct error *e)
{
	const char *key;
	json_t *v;

	json_object_foreach(root, key, v)
	{
		if (is_in_list(key, other_fields, n_other_fields))
			continue;
		if (parse_limit(v, key, out, e))
			return -1;
	}
	return 0;
}

/* Reads one limit; its range is checked when the object is changed. */
static int parse_limit(const json_t *v, const char *key, struct change *out,
		       struct error *e)
{
	struct limits_patch *p = &out->patch;
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0 || n > UINT32_MAX)
		return refuse_field(e, key, "must be a whole number");
	if (strcmp(key, "rate_per_s") == 0) {
		p->limits.rate_per_s = (uint32_t)n;
		p->has_rate = true;
	} else if (strcmp(key, "burst") == 0) {
		p->limits.burst = (uint32_t)n;
		p->has_burst = true;
	} else if (strcmp(key, "read_staleness_ms") == 0) {
		p->limits.read_staleness_ms = (uint32_t)n;
		p->has_staleness = true;
	} else {
		return refuse_field(e, key, "not a limit");
	}
	return 0;
}

/* Reads {"team": T, "reason": R} and limits. */
static int parse_exception(json_t *root, struct change *out, struct error *e)
{
	static const char *const other_fields[] = { "team", "reason" };

	if (copy_text(root, "team", out->team, sizeof(out->team), e) ||
	    copy_text(root, "reason", out->reason, sizeof(out->reason), e))
		return -1;
	if (!config_name_is_valid(out->team))
		return refuse_field(e, "team", "must be a name");
	if (strspn(out->reason, " \t\r\n") == strlen(out->reason))
		return refuse_field(e, "reason", "required for an exception");
	return parse_limits(root, other_fields, 2, out, e);
}

/* Reads {"key_id": ID}, which is optional. */
static int parse_key(json_t *root, struct change *out, struct error *e)
{
	const char *key;
	json_t *v;

	json_object_foreach(root, key, v)
	{
		if (strcmp(key, "key_id") != 0)
			return refuse_field(e, key, "not a field of a key");
	}
	if (copy_text(root, "key_id", out->key_id, sizeof(out->key_id), e))
		return -1;
	if (out->key_id[0] != '\0' && !config_name_is_valid(out->key_id))
		return refuse_field(e, "key_id", "must be a name");
	return 0;
}

/* Copies an optional string; returns -1 if it is no string or too long. */
static int copy_text(const json_t *root, const char *key, char *out,
		     size_t size, struct error *e)
{
	const json_t *v = json_object_get(root, key);

	if (!v)
		return 0;
	if (!json_is_string(v) || json_string_length(v) >= size)
		return refuse_field(e, key, "must be a text that fits");
	memcpy(out, json_string_value(v), json_string_length(v) + 1);
	return 0;
}

/* Returns whether a key is in a list. */
static bool is_in_list(const char *key, const char *const *list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(key, list[i]) == 0)
			return true;
	}
	return false;
}

/* Sets the error of a field, the reason why it is refused; returns -1. */
static int refuse_field(struct error *e, const char *what, const char *why)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_CONFIG_CHECK, NULL,
			 "%.64s: %s", what, why);
}
