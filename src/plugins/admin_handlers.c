#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/keyring.h"
#include "kernel/kernel.h"
#include "kernel/object_store.h"
#include "plugins/admin_http.h"
#include "plugins/admin_view.h"

#define KEY_ID_BYTES		     8
#define CHANGE_ID_RANDOM_BYTES	     16
#define PLATFORM_TIMEOUTS_PER_CHANGE 3
#define RETRY_DELAY_US		     (100 * (usec_t)USEC_PER_MSEC)
#define BEARER			     "Bearer "

static void handle_read(struct admin_request *r);
static void on_read(struct platform_call *c);
static void respond_object(struct admin_request *r, const char *body,
			   uint64_t version, bool from_platform);
static void handle_events(struct admin_request *r);
static void handle_change(struct admin_request *r);
static int prepare_change(struct admin_request *r, struct error *e);
static int generate_key(struct admin_request *r, struct error *e);
static void random_hex(char *out, size_t size, size_t bytes);
static void copy_header(struct admin_request *r, const char *name, char *out,
			size_t size);
static void on_changed(struct admin_change *a);
static int change_status(const struct admin_change *a);
static const char *get_header(struct admin_request *r, const char *name);

/*
 * Checks the Authorization header against the hash of the operators' key. The
 * comparison takes constant time, and a missing key is hashed and compared like
 * a wrong one.
 */
bool admin_key_matches(const char *authorization, const char *hash_hex)
{
	uint8_t want[KEY_HASH_BYTES] = { 0 };
	uint8_t got[KEY_HASH_BYTES];
	bool bearer = authorization &&
		      strncmp(authorization, BEARER, strlen(BEARER)) == 0;
	size_t len = 0;

	key_hash(bearer ? authorization + strlen(BEARER) : "", got);
	if (sodium_hex2bin(want, sizeof(want), hash_hex, strlen(hash_hex), NULL,
			   &len, NULL) ||
	    len != sizeof(want))
		return false;
	return sodium_memcmp(want, got, sizeof(want)) == 0 && bearer;
}

/* Handles a request: responds at once, or after its platform calls. */
void admin_handle(struct admin_request *r)
{
	switch (r->target.resource) {
	case RESOURCE_STATUS:
		admin_respond(r, MHD_HTTP_OK, admin_view_status(r->kernel));
		return;
	case RESOURCE_EVENTS:
		handle_events(r);
		return;
	case RESOURCE_TEAMS:
		admin_respond(r, MHD_HTTP_OK, admin_view_teams(r->kernel));
		return;
	default:
		break;
	}
	if (admin_is_change(&r->target))
		handle_change(r);
	else
		handle_read(r);
}

/* Reads an object from the platform, which has the current version. */
static void handle_read(struct admin_request *r)
{
	struct platform_call *c = &r->read;

	c->op = PLATFORM_GET;
	c->done = on_read;
	c->ctx = r;
	switch (r->target.resource) {
	case RESOURCE_TEAM:
		config_team_object(r->target.team, c->name);
		break;
	case RESOURCE_DEFAULTS:
		snprintf(c->name, sizeof(c->name), "config/defaults");
		break;
	default:
		snprintf(c->name, sizeof(c->name), "config/exceptions");
		break;
	}
	admin_suspend(r);
	platform_submit(r->kernel, c);
}

/* Responds with what was read; while the platform is down, from the store. */
static void on_read(struct platform_call *c)
{
	struct admin_request *r = c->ctx;
	uint64_t version = 0;
	char *body;

	if (c->result == PLATFORM_OK) {
		respond_object(r, c->reply, c->version, true);
	} else if (c->result == PLATFORM_NOT_FOUND) {
		respond_object(r, NULL, 0, true);
	} else {
		body = store_get(r->kernel->store, c->name, &version);
		respond_object(r, body, version, false);
		free(body);
	}
	admin_resume(r);
}

/* Responds with the requested part of an object. */
static void respond_object(struct admin_request *r, const char *body,
			   uint64_t version, bool from_platform)
{
	struct error e = { 0 };
	json_t *j;

	switch (r->target.resource) {
	case RESOURCE_TEAM:
		j = admin_view_team(body, r->target.team, &e);
		break;
	case RESOURCE_DEFAULTS:
		j = admin_view_defaults(body, &e);
		break;
	case RESOURCE_EXCEPTION:
		j = admin_view_exception(body, r->target.id, &e);
		break;
	default:
		j = admin_view_exceptions(body);
		break;
	}
	r->version = version;
	if (!j) {
		admin_respond_error(r, &e);
		return;
	}
	json_object_set_new(j, "version", json_integer((json_int_t)version));
	if (!from_platform)
		json_object_set_new(j, "from", json_string("vm"));
	admin_respond(r, MHD_HTTP_OK, j);
}

/* Responds with the timeline's events from number ?since= on. */
static void handle_events(struct admin_request *r)
{
	const char *text = MHD_lookup_connection_value(
		r->connection, MHD_GET_ARGUMENT_KIND, "since");
	unsigned long long since = 0;
	struct error e;
	char *end;

	if (text) {
		errno = 0;
		since = strtoull(text, &end, 10);
		if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno) {
			error_set(&e, ERR_BAD_REQUEST, STEP_PARSE, NULL,
				  "since: must be a number");
			admin_respond_error(r, &e);
			return;
		}
	}
	admin_respond(r, MHD_HTTP_OK, admin_view_events(r->kernel, since));
}

/* Starts a change; on_changed() responds with its outcome. */
static void handle_change(struct admin_request *r)
{
	struct error e = { 0 };

	if (prepare_change(r, &e)) {
		admin_respond_error(r, &e);
		return;
	}
	admin_suspend(r);
	admin_change_start(&r->change);
}

/* Fills in the change from the request's body and headers; -1 on failure. */
static int prepare_change(struct admin_request *r, struct error *e)
{
	struct admin_change *a = &r->change;
	struct change *c = &a->change;

	a->kernel = r->kernel;
	a->timeout = (usec_t)r->kernel->settings.platform_timeout_ms *
		     USEC_PER_MSEC * PLATFORM_TIMEOUTS_PER_CHANGE;
	a->retry_backoff = RETRY_DELAY_US;
	a->done = on_changed;
	a->ctx = r;
	if (admin_condition_parse(get_header(r, MHD_HTTP_HEADER_IF_MATCH),
				  get_header(r, MHD_HTTP_HEADER_IF_NONE_MATCH),
				  &a->condition, e))
		return -1;
	if (admin_needs_condition(&r->target) && !a->condition.has_version &&
	    !a->condition.absent)
		return error_set(e, ERR_PRECONDITION, STEP_PARSE, NULL,
				 "If-Match or If-None-Match must be given");
	if (admin_change_parse(&r->target, r->body ? r->body : "", r->len, c,
			       e))
		return -1;
	copy_header(r, "Gypsumcleat-Operator", c->by, sizeof(c->by));
	copy_header(r, "Gypsumcleat-Change", c->id, sizeof(c->id));
	if (c->by[0] == '\0')
		snprintf(c->by, sizeof(c->by), "operator");
	if (c->id[0] == '\0')
		random_hex(c->id, sizeof(c->id), CHANGE_ID_RANDOM_BYTES);
	return c->kind == CHANGE_ADD_KEY ? generate_key(r, e) : 0;
}

/*
 * Generates a key's id, unless one is given, and its secret. Only the hash of
 * the secret is stored; the secret itself goes into the response alone.
 */
static int generate_key(struct admin_request *r, struct error *e)
{
	struct change *c = &r->change.change;
	uint8_t raw[ADMIN_SECRET_BYTES];
	uint8_t hash[KEY_HASH_BYTES];

	if (c->key_id[0] == '\0')
		random_hex(c->key_id, sizeof(c->key_id), KEY_ID_BYTES);
	randombytes_buf(raw, sizeof(raw));
	if (!sodium_bin2base64(r->secret, sizeof(r->secret), raw, sizeof(raw),
			       sodium_base64_VARIANT_URLSAFE_NO_PADDING))
		return error_set(e, ERR_INTERNAL, STEP_KEY, NULL,
				 "cannot encode the secret");
	sodium_memzero(raw, sizeof(raw));
	key_hash(r->secret, hash);
	sodium_bin2hex(c->key_hash, sizeof(c->key_hash), hash, sizeof(hash));
	return 0;
}

/* Writes "bytes" random bytes in hex, CHANGE_ID_RANDOM_BYTES at most. */
static void random_hex(char *out, size_t size, size_t bytes)
{
	uint8_t raw[CHANGE_ID_RANDOM_BYTES];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(out, size, raw, bytes);
}

/* Copies a header's value; one that is no valid name counts as missing. */
static void copy_header(struct admin_request *r, const char *name, char *out,
			size_t size)
{
	const char *text = get_header(r, name);

	out[0] = '\0';
	if (text && config_name_is_valid(text))
		snprintf(out, size, "%s", text);
}

/* Responds with a change's outcome; clears the secret. */
static void on_changed(struct admin_change *a)
{
	struct admin_request *r = a->ctx;

	r->version = a->version;
	admin_respond(r, change_status(a),
		      admin_view_change(a, r->secret[0] ? r->secret : NULL));
	sodium_memzero(r->secret, sizeof(r->secret));
	admin_resume(r);
}

/* Returns the HTTP status of a change's outcome. */
static int change_status(const struct admin_change *a)
{
	switch (a->result) {
	case ADMIN_ACCEPTED:
		return MHD_HTTP_OK;
	case ADMIN_WRITTEN:
		return MHD_HTTP_ACCEPTED;
	case ADMIN_REFUSED:
		return error_http_status(a->error.code);
	case ADMIN_UNKNOWN:
		return MHD_HTTP_GATEWAY_TIMEOUT;
	}
	return MHD_HTTP_INTERNAL_SERVER_ERROR;
}

/* Returns a header's value; NULL if it is missing. */
static const char *get_header(struct admin_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND,
					   name);
}
