#include "plugins/caller_http.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "kernel/address.h"

#define SERVICES_PATH "/v1/services/"
#define BEARER	      "Bearer "
#define KEY_MAX_BYTES 256

enum header {
	HEADER_AUTHORIZATION,
	HEADER_REQUEST_ID,
	HEADER_SESSION,
	HEADER_CONTENT_LENGTH,
	HEADER_TRANSFER_ENCODING,
	HEADER_HOST,
	HEADER_COUNT
};

static const char *const header_names[HEADER_COUNT] = {
	[HEADER_AUTHORIZATION] = "Authorization",
	[HEADER_REQUEST_ID] = "Idempotency-Key",
	[HEADER_SESSION] = "Gypsumcleat-Session",
	[HEADER_CONTENT_LENGTH] = "Content-Length",
	[HEADER_TRANSFER_ENCODING] = "Transfer-Encoding",
	[HEADER_HOST] = "Host",
};

/* The headers of interest; the HTTP server owns the values. */
struct headers {
	size_t bytes; /* size of the URL and all headers */
	const char *value[HEADER_COUNT];
	uint32_t count[HEADER_COUNT];
};

static enum MHD_Result add_header(void *cls, enum MHD_ValueKind kind,
				  const char *name, const char *value);
static int check_framing(struct exchange *x, const struct headers *h);
static int find_route(struct exchange *x, const char *url, const char *method);
static int find_keyless_route(struct exchange *x, const char *url);
static int find_service_route(struct exchange *x, const char *path,
			      struct request *r);
static int find_transaction_route(struct exchange *x, const char *path,
				  struct request *r);
static int check_method(struct exchange *x, const char *method);
static int check_key(struct exchange *x, const struct headers *h);
static int read_request_id(struct exchange *x, const struct headers *h);
static int read_session(struct exchange *x, const struct headers *h);
static bool copy_part(char *out, size_t size, const char *from, size_t len);
static bool has_name_characters(const char *s);
static int refuse(struct exchange *x, enum error_code code, enum step step,
		  const char *message);

/*
 * Checks a request's size, framing, route, method, key and headers. Returns
 * false with the exchange's error set on refusal. Sets "must_close" if the end
 * of the body is in doubt or the request is too large to wait for it.
 */
bool caller_headers_check(struct exchange *x, const char *url,
			  const char *method)
{
	struct headers h = { .bytes = strlen(url) };

	MHD_get_connection_values(x->mhd, MHD_HEADER_KIND, add_header, &h);
	if (check_framing(x, &h) == -1 || find_route(x, url, method) == -1 ||
	    check_method(x, method) == -1)
		return false;
	if (!x->request)
		return true;
	return check_key(x, &h) == 0 && read_request_id(x, &h) == 0 &&
	       read_session(x, &h) == 0;
}

/* Counts one header and its size; keeps the first value of a known one. */
static enum MHD_Result add_header(void *cls, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	struct headers *h = cls;
	int i;

	(void)kind;
	h->bytes += strlen(name) + (value ? strlen(value) : 0);
	for (i = 0; i < HEADER_COUNT; i++) {
		if (strcasecmp(name, header_names[i]) != 0)
			continue;
		if (h->count[i]++ == 0)
			h->value[i] = value ? value : "";
		break;
	}
	return MHD_YES;
}

/*
 * Checks the size of the headers, that none is repeated, and the length of the
 * body. A refusal here closes the connection, as the end of the body is in
 * doubt or not worth waiting for.
 */
static int check_framing(struct exchange *x, const struct headers *h)
{
	const uint32_t body_max = x->http->kernel->settings.body_max_bytes;
	const char *length = h->value[HEADER_CONTENT_LENGTH];
	char text[80];
	int i;

	x->must_close = true;
	if (h->bytes > CALLER_HEADERS_MAX_BYTES)
		return refuse(x, ERR_TOO_LARGE, STEP_PARSE,
			      "headers larger than 8192 bytes");
	for (i = 0; i < HEADER_COUNT; i++) {
		if (h->count[i] <= 1)
			continue;
		snprintf(text, sizeof(text), "%s: given twice",
			 header_names[i]);
		return refuse(x, ERR_BAD_REQUEST, STEP_PARSE, text);
	}
	if (length && h->value[HEADER_TRANSFER_ENCODING])
		return refuse(x, ERR_BAD_REQUEST, STEP_PARSE,
			      "Content-Length and Transfer-Encoding given");
	if (length && strtoull(length, NULL, 10) > body_max) {
		snprintf(text, sizeof(text), "body larger than %u bytes",
			 body_max);
		return refuse(x, ERR_TOO_LARGE, STEP_PARSE, text);
	}
	x->must_close = false;
	return 0;
}

/* Finds the route of a path; creates the request for a service's route. */
static int find_route(struct exchange *x, const char *url, const char *method)
{
	size_t n = strlen(SERVICES_PATH);
	struct request *r;

	if (strncmp(url, SERVICES_PATH, n) != 0)
		return find_keyless_route(x, url);
	r = request_create();
	if (!r)
		return refuse(x, ERR_SYSTEM, STEP_PARSE, "no memory");
	x->request = r;
	r->arrived_at = clock_now();
	if (find_service_route(x, url + n, r) == -1)
		return -1;
	if (x->route == ROUTE_COMMIT && strcmp(method, "DELETE") == 0)
		x->route = ROUTE_ROLLBACK;
	return 0;
}

/* Finds the route of a path that needs no key. */
static int find_keyless_route(struct exchange *x, const char *url)
{
	static const struct {
		const char *url;
		enum caller_route route;
	} routes[] = {
		{ "/healthz", ROUTE_HEALTH },
		{ "/readyz", ROUTE_READY },
		{ "/metrics", ROUTE_METRICS },
	};
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(url, routes[i].url) != 0)
			continue;
		x->route = routes[i].route;
		return 0;
	}
	return refuse(x, ERR_NOT_FOUND, STEP_PARSE, "no such path");
}

/* Finds the route of SERVICE/statements and SERVICE/transactions... */
static int find_service_route(struct exchange *x, const char *path,
			      struct request *r)
{
	size_t n = strcspn(path, "/");

	if (!copy_part(r->service, sizeof(r->service), path, n) ||
	    !has_name_characters(r->service))
		return refuse(x, ERR_NOT_FOUND, STEP_PARSE, "no such service");
	path += n;
	if (strcmp(path, "/statements") == 0) {
		x->route = ROUTE_STATEMENT;
		return 0;
	}
	if (strcmp(path, "/transactions") == 0) {
		x->route = ROUTE_BEGIN;
		return 0;
	}
	if (strncmp(path, "/transactions/", strlen("/transactions/")) == 0)
		return find_transaction_route(
			x, path + strlen("/transactions/"), r);
	return refuse(x, ERR_NOT_FOUND, STEP_PARSE, "no such path");
}

/* Finds the route of a transaction's ID and ID/commit. */
static int find_transaction_route(struct exchange *x, const char *path,
				  struct request *r)
{
	size_t n = strcspn(path, "/");

	if (!copy_part(r->transaction, sizeof(r->transaction), path, n))
		return refuse(x, ERR_NOT_FOUND, STEP_PARSE,
			      "no such transaction");
	if (path[n] == '\0') {
		x->route = ROUTE_ROLLBACK;
		return 0;
	}
	if (strcmp(path + n, "/commit") == 0) {
		x->route = ROUTE_COMMIT;
		return 0;
	}
	return refuse(x, ERR_NOT_FOUND, STEP_PARSE, "no such path");
}

/* Checks the method: each route has one, and HEAD is allowed like GET. */
static int check_method(struct exchange *x, const char *method)
{
	static const char *const methods[] = {
		[ROUTE_STATEMENT] = "POST", [ROUTE_BEGIN] = "POST",
		[ROUTE_COMMIT] = "POST",    [ROUTE_ROLLBACK] = "DELETE",
		[ROUTE_HEALTH] = "GET",	    [ROUTE_READY] = "GET",
		[ROUTE_METRICS] = "GET",
	};
	const char *want = methods[x->route];

	if (strcmp(method, want) == 0)
		return 0;
	if (strcmp(want, "GET") == 0 && strcmp(method, "HEAD") == 0)
		return 0;
	x->allow = want;
	return refuse(x, ERR_METHOD, STEP_PARSE, "method not allowed here");
}

/* Finds the team of the request's key and whether it may use the service. */
static int check_key(struct exchange *x, const struct headers *h)
{
	const struct caller_ops *ops = &x->http->ops;
	const char *auth = h->value[HEADER_AUTHORIZATION];
	struct request *r = x->request;
	struct team_auth team;

	if (!auth || strncasecmp(auth, BEARER, strlen(BEARER)) != 0)
		return refuse(x, ERR_KEY_UNKNOWN, STEP_KEY,
			      "Authorization: Bearer KEY is missing");
	auth += strlen(BEARER);
	if (*auth == '\0' || strlen(auth) > KEY_MAX_BYTES)
		return refuse(x, ERR_KEY_UNKNOWN, STEP_KEY, "unknown key");
	if (ops->check_key(ops->ctx, auth, r->service, &team, &x->error) ==
	    -1) {
		x->refused = true;
		return -1;
	}
	x->key_checked_at = clock_now();
	x->read_staleness_us = team.read_staleness_us;
	r->weight = team.weight;
	memcpy(r->team, team.team, sizeof(r->team));
	memcpy(r->key_id, team.key_id, sizeof(r->key_id));
	return 0;
}

/* Reads the idempotency key, which must be visible ASCII characters. */
static int read_request_id(struct exchange *x, const struct headers *h)
{
	const char *id = h->value[HEADER_REQUEST_ID];
	size_t i;

	if (!id)
		return 0;
	if (!copy_part(x->request->request_id, sizeof(x->request->request_id),
		       id, strlen(id)))
		return refuse(x, ERR_BAD_REQUEST, STEP_PARSE,
			      "Idempotency-Key: must be 1 to 127 bytes");
	for (i = 0; id[i]; i++) {
		if (!isgraph((unsigned char)id[i]))
			return refuse(x, ERR_BAD_REQUEST, STEP_PARSE,
				      "Idempotency-Key: must be visible ASCII");
	}
	return 0;
}

/* Reads the session token; the engine verifies it. */
static int read_session(struct exchange *x, const struct headers *h)
{
	const char *token = h->value[HEADER_SESSION];

	if (!token)
		return 0;
	if (!copy_part(x->request->token, sizeof(x->request->token), token,
		       strlen(token)))
		return refuse(x, ERR_BAD_TOKEN, STEP_PARSE,
			      "Gypsumcleat-Session: must be 1 to 1023 bytes");
	x->request->has_token = true;
	return 0;
}

/* Copies "len" bytes and adds a NUL; returns false if empty or too long. */
static bool copy_part(char *out, size_t size, const char *from, size_t len)
{
	if (len == 0 || len >= size)
		return false;
	memcpy(out, from, len);
	out[len] = '\0';
	return true;
}

/* Returns whether a string has only characters that service names may have. */
static bool has_name_characters(const char *s)
{
	for (; *s; s++) {
		if (!isalnum((unsigned char)*s) && !strchr("._-", *s))
			return false;
	}
	return true;
}

/*
 * Sets the error that the response reports, with the caller's address; returns
 * -1.
 */
static int refuse(struct exchange *x, enum error_code code, enum step step,
		  const char *message)
{
	const union MHD_ConnectionInfo *info;
	char caller_address[ADDR_MAX_BYTES] = "";

	info = MHD_get_connection_info(x->mhd,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (info)
		address_format(info->client_addr, caller_address);
	x->refused = true;
	return error_set(&x->error, code, step, caller_address, "%s", message);
}
