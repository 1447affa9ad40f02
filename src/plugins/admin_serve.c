#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/keyring.h"
#include "kernel/kernel.h"
#include "kernel/store.h"
#include "plugins/admin_http.h"
#include "plugins/admin_view.h"

#define KEY_ID_BYTES	    8
#define CHANGE_ID_RANDOM    16
#define TIMEOUTS_PER_CHANGE 3
#define RETRY_PAUSE_US	    (100 * (usec_t)USEC_PER_MSEC)
#define BEARER		    "Bearer "

static void serve_read(struct admin_request *r);
static void on_read(struct platform_call *c);
static void show_object(struct admin_request *r, const char *body,
			uint64_t version, bool from_platform);
static void serve_events(struct admin_request *r);
static void serve_change(struct admin_request *r);
static int prepare_change(struct admin_request *r, struct error *e);
static int make_key(struct admin_request *r, struct error *e);
static void random_hex(char *out, size_t size, size_t bytes);
static void copy_header(struct admin_request *r, const char *name, char *out,
			size_t size);
static void on_changed(struct admin_change *a);
static int change_status(const struct admin_change *a);
static const char *header(struct admin_request *r, const char *name);

/* See the header. A missing key is compared like a wrong one. */
bool admin_key_ok(const char *authorization, const char *hash_hex)
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

/* Answers a request, at once or once its calls have ended. */
void admin_serve(struct admin_request *r)
{
	switch (r->target.place) {
	case PLACE_STATUS:
		admin_answer(r, MHD_HTTP_OK, admin_view_status(r->kernel));
		return;
	case PLACE_EVENTS:
		serve_events(r);
		return;
	case PLACE_TEAMS:
		admin_answer(r, MHD_HTTP_OK, admin_view_teams(r->kernel));
		return;
	default:
		break;
	}
	if (admin_is_change(&r->target))
		serve_change(r);
	else
		serve_read(r);
}

/* Reads an object from the platform, whose version is the current one. */
static void serve_read(struct admin_request *r)
{
	struct platform_call *c = &r->read;

	c->op = PLATFORM_GET;
	c->done = on_read;
	c->ctx = r;
	switch (r->target.place) {
	case PLACE_TEAM:
		config_team_object(r->target.team, c->name);
		break;
	case PLACE_DEFAULTS:
		snprintf(c->name, sizeof(c->name), "config/defaults");
		break;
	default:
		snprintf(c->name, sizeof(c->name), "config/exceptions");
		break;
	}
	admin_suspend(r);
	platform_submit(r->kernel, c);
}

/* Shows what was read, or what this VM knows while the platform is down. */
static void on_read(struct platform_call *c)
{
	struct admin_request *r = c->ctx;
	uint64_t version = 0;
	char *body;

	if (c->result == PLATFORM_OK) {
		show_object(r, c->reply, c->version, true);
	} else if (c->result == PLATFORM_ABSENT) {
		show_object(r, NULL, 0, true);
	} else {
		body = store_get(r->kernel->store, c->name, &version);
		show_object(r, body, version, false);
		free(body);
	}
	admin_resume(r);
}

/* Answers with one object's part that was asked for. */
static void show_object(struct admin_request *r, const char *body,
			uint64_t version, bool from_platform)
{
	struct error e = { 0 };
	json_t *j;

	switch (r->target.place) {
	case PLACE_TEAM:
		j = admin_view_team(body, r->target.team, &e);
		break;
	case PLACE_DEFAULTS:
		j = admin_view_defaults(body, &e);
		break;
	case PLACE_EXCEPTION:
		j = admin_view_exception(body, r->target.id, &e);
		break;
	default:
		j = admin_view_exceptions(body);
		break;
	}
	r->version = version;
	if (!j) {
		admin_answer_error(r, &e);
		return;
	}
	json_object_set_new(j, "version", json_integer((json_int_t)version));
	if (!from_platform)
		json_object_set_new(j, "from", json_string("vm"));
	admin_answer(r, MHD_HTTP_OK, j);
}

/* Answers with the time line from ?since= on. */
static void serve_events(struct admin_request *r)
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
			admin_answer_error(r, &e);
			return;
		}
	}
	admin_answer(r, MHD_HTTP_OK, admin_view_events(r->kernel, since));
}

/* Starts a change; it is answered when its outcome is known. */
static void serve_change(struct admin_request *r)
{
	struct error e = { 0 };

	if (prepare_change(r, &e)) {
		admin_answer_error(r, &e);
		return;
	}
	admin_suspend(r);
	admin_change_start(&r->change);
}

/* Makes the change from the request's body and headers. */
static int prepare_change(struct admin_request *r, struct error *e)
{
	struct admin_change *a = &r->change;
	struct change *c = &a->change;

	a->kernel = r->kernel;
	a->timeout = (usec_t)r->kernel->settings.platform_timeout_ms *
		     USEC_PER_MSEC * TIMEOUTS_PER_CHANGE;
	a->pause = RETRY_PAUSE_US;
	a->done = on_changed;
	a->ctx = r;
	if (admin_condition_parse(header(r, MHD_HTTP_HEADER_IF_MATCH),
				  header(r, MHD_HTTP_HEADER_IF_NONE_MATCH),
				  &a->condition, e))
		return -1;
	if (admin_condition_needed(&r->target) && !a->condition.has_version &&
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
		random_hex(c->id, sizeof(c->id), CHANGE_ID_RANDOM);
	return c->kind == CHANGE_ADD_KEY ? make_key(r, e) : 0;
}

/* Draws a key's secret; only its hash leaves this VM's memory. */
static int make_key(struct admin_request *r, struct error *e)
{
	struct change *c = &r->change.change;
	uint8_t raw[ADMIN_SECRET_BYTES];
	uint8_t hash[KEY_HASH_BYTES];

	if (c->key_id[0] == '\0')
		random_hex(c->key_id, sizeof(c->key_id), KEY_ID_BYTES);
	randombytes_buf(raw, sizeof(raw));
	if (!sodium_bin2base64(r->secret, sizeof(r->secret), raw, sizeof(raw),
			       sodium_base64_VARIANT_URLSAFE_NO_PADDING))
		return error_set(e, ERR_INTERNAL, STEP_KEY, NULL, "no secret");
	sodium_memzero(raw, sizeof(raw));
	key_hash(r->secret, hash);
	sodium_bin2hex(c->key_hash, sizeof(c->key_hash), hash, sizeof(hash));
	return 0;
}

/* Writes random bytes in hex. */
static void random_hex(char *out, size_t size, size_t bytes)
{
	uint8_t raw[CHANGE_ID_RANDOM];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(out, size, raw, bytes);
}

/* Copies a header's value if it is a name; else it counts as not given. */
static void copy_header(struct admin_request *r, const char *name, char *out,
			size_t size)
{
	const char *text = header(r, name);

	out[0] = '\0';
	if (text && config_name_ok(text))
		snprintf(out, size, "%s", text);
}

/* Answers with a change's outcome; on the platform's loop. */
static void on_changed(struct admin_change *a)
{
	struct admin_request *r = a->ctx;

	r->version = a->version;
	admin_answer(r, change_status(a),
		     admin_view_change(a, r->secret[0] ? r->secret : NULL));
	sodium_memzero(r->secret, sizeof(r->secret));
	admin_resume(r);
}

/* The status that a change's outcome is told with. */
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

/* A header's value, or NULL. */
static const char *header(struct admin_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND,
					   name);
}
