#include "plugins/caller_http.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"

#define METRICS_MAX_BYTES      16384
#define MSEC_PER_SEC	       1000
#define RETRY_AFTER_DEFAULT_MS 1000
#define HTTP_OK		       200
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE       503
#define HTTP_GATEWAY_TIMEOUT   504
#define JSON_TYPE	       "application/json"
#define TEXT_TYPE	       "text/plain; charset=utf-8"
#define ROWS_KEY	       ",\"rows\":"

static enum MHD_Result respond_keyless(struct exchange *x);
static bool is_ready(const struct caller_http *h);
static enum MHD_Result respond_error(struct exchange *x, enum outcome outcome,
				     const struct error *e);
static enum MHD_Result respond_request(struct exchange *x);
static enum MHD_Result queue_response(struct exchange *x, int status,
				      const char *type, char *body,
				      const struct request *r,
				      int64_t retry_after_ms);
static void add_headers(struct exchange *x, struct MHD_Response *response,
			int status, const char *type, const struct request *r,
			int64_t retry_after_ms);
static void add_error(json_t *root, const struct error *e);
static json_t *ascii_string(const char *text);
static char *splice_rows(char *json, const char *rows);
static void count_outcome(enum outcome outcome);
static void log_refusal(const struct exchange *x, enum outcome outcome,
			const struct error *e);

/* Queues the response of an exchange that is refused, done or abandoned. */
enum MHD_Result caller_respond(struct exchange *x)
{
	if (x->refused)
		return respond_error(x, OUTCOME_NOT_RUN, &x->error);
	if (!x->request)
		return respond_keyless(x);
	if (__atomic_load_n(&x->phase, __ATOMIC_ACQUIRE) == EXCHANGE_ABANDONED)
		return respond_error(x, OUTCOME_UNKNOWN, &x->error);
	return respond_request(x);
}

/* Returns the body for the engine's response as malloc'd JSON. */
char *caller_response_json(const struct request *r)
{
	const struct answer *a = &r->answer;
	json_t *root;
	char *text;

	if (a->outcome != OUTCOME_DONE)
		return caller_error_json(a->outcome, &a->error,
					 a->retry_after_ms);
	root = json_pack("{s:s}", "outcome", outcome_name(a->outcome));
	if (r->op == OP_STATEMENT)
		json_object_set_new(
			root, "served_by",
			json_string(a->from_replica ? "replica" : "primary"));
	if (a->at.position > 0) {
		json_object_set_new(root, "term",
				    json_integer((json_int_t)a->at.term));
		json_object_set_new(root, "position",
				    json_integer((json_int_t)a->at.position));
	}
	if (a->age_us >= 0)
		json_object_set_new(root, "age_ms",
				    json_integer(a->age_us / USEC_PER_MSEC));
	if (a->transaction[0])
		json_object_set_new(root, "transaction",
				    ascii_string(a->transaction));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return splice_rows(text, a->rows);
}

/* Returns the body for an outcome other than done as malloc'd JSON. */
char *caller_error_json(enum outcome outcome, const struct error *e,
			int64_t retry_after_ms)
{
	json_t *root = json_pack("{s:s}", "outcome", outcome_name(outcome));
	char *text;

	add_error(root, e);
	if (retry_after_ms > 0)
		json_object_set_new(root, "retry_after_ms",
				    json_integer(retry_after_ms));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/*
 * Returns the HTTP status: 200 only for done, 504 only for unknown. For "not
 * run", an error code that maps to one of these two gives 503.
 */
int caller_response_status(enum outcome outcome, enum error_code code)
{
	int status;

	if (outcome == OUTCOME_DONE)
		return HTTP_OK;
	if (outcome == OUTCOME_UNKNOWN)
		return HTTP_GATEWAY_TIMEOUT;
	status = error_http_status(code);
	if (status == HTTP_OK || status == HTTP_GATEWAY_TIMEOUT)
		return HTTP_UNAVAILABLE;
	return status;
}

/*
 * Returns the time after which to retry, in milliseconds: for a 429 or 503 the
 * requested time or a default, for any other status 0.
 */
int64_t caller_retry_after_ms(int status, int64_t asked_ms)
{
	if (status != HTTP_TOO_MANY_REQUESTS && status != HTTP_UNAVAILABLE)
		return 0;
	return asked_ms > 0 ? asked_ms : RETRY_AFTER_DEFAULT_MS;
}

/* Responds on the routes that need no key. */
static enum MHD_Result respond_keyless(struct exchange *x)
{
	bool ready;
	bool draining =
		__atomic_load_n(&x->http->kernel->draining, __ATOMIC_RELAXED);
	char *text;

	switch (x->route) {
	case ROUTE_METRICS:
		text = malloc(METRICS_MAX_BYTES);
		if (!text)
			return MHD_NO;
		counters_print(text, METRICS_MAX_BYTES);
		return queue_response(x, HTTP_OK, TEXT_TYPE, text, NULL, 0);
	case ROUTE_READY:
		ready = !draining && is_ready(x->http);
		text = strdup(ready	 ? "ready\n"
			      : draining ? "draining\n"
					 : "starting\n");
		return queue_response(x, ready ? HTTP_OK : HTTP_UNAVAILABLE,
				      TEXT_TYPE, text, NULL, 0);
	default:
		return queue_response(x, HTTP_OK, TEXT_TYPE, strdup("ok\n"),
				      NULL, 0);
	}
}

/* Returns whether the VM can serve requests. */
static bool is_ready(const struct caller_http *h)
{
	return !h->ops.ready || h->ops.ready(h->ops.ctx);
}

/* Responds to a request that the engine never got or has not finished. */
static enum MHD_Result respond_error(struct exchange *x, enum outcome outcome,
				     const struct error *e)
{
	int status = caller_response_status(outcome, e->code);
	int64_t retry_ms = caller_retry_after_ms(status, 0);

	if (outcome == OUTCOME_NOT_RUN)
		counter_add(CTR_REQUESTS, 1);
	count_outcome(outcome);
	log_refusal(x, outcome, e);
	return queue_response(x, status, JSON_TYPE,
			      caller_error_json(outcome, e, retry_ms), NULL,
			      retry_ms);
}

/* Responds with the engine's response. */
static enum MHD_Result respond_request(struct exchange *x)
{
	struct request *r = x->request;
	struct answer *a = &r->answer;
	int status = caller_response_status(a->outcome, a->error.code);

	a->retry_after_ms = caller_retry_after_ms(status, a->retry_after_ms);
	log_refusal(x, a->outcome, &a->error);
	return queue_response(x, status, JSON_TYPE, caller_response_json(r), r,
			      a->retry_after_ms);
}

/* Queues a response with its headers; frees "body". */
static enum MHD_Result queue_response(struct exchange *x, int status,
				      const char *type, char *body,
				      const struct request *r,
				      int64_t retry_after_ms)
{
	struct MHD_Response *response;
	enum MHD_Result rc;

	if (!body)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(body), body,
						   MHD_RESPMEM_MUST_FREE);
	if (!response) {
		free(body);
		return MHD_NO;
	}
	add_headers(x, response, status, type, r, retry_after_ms);
	rc = MHD_queue_response(x->mhd, (unsigned int)status, response);
	MHD_destroy_response(response);
	return rc;
}

/*
 * Adds the headers. While the VM drains, "Connection: close" makes callers
 * connect to another VM.
 */
static void add_headers(struct exchange *x, struct MHD_Response *response,
			int status, const char *type, const struct request *r,
			int64_t retry_after_ms)
{
	char seconds[24];

	(void)MHD_add_response_header(response, "Content-Type", type);
	if (r && r->answer.token[0])
		(void)MHD_add_response_header(response, "Gypsumcleat-Session",
					      r->answer.token);
	if (retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
			 (long long)((retry_after_ms + MSEC_PER_SEC - 1) /
				     MSEC_PER_SEC));
		(void)MHD_add_response_header(response, "Retry-After", seconds);
	}
	if (status == error_http_status(ERR_KEY_UNKNOWN))
		(void)MHD_add_response_header(response, "WWW-Authenticate",
					      "Bearer");
	if (x->allow)
		(void)MHD_add_response_header(response, "Allow", x->allow);
	if (x->must_close ||
	    __atomic_load_n(&x->http->kernel->draining, __ATOMIC_RELAXED))
		(void)MHD_add_response_header(response, "Connection", "close");
}

/* Adds the error as {"code","step","peer","message"}. */
static void add_error(json_t *root, const struct error *e)
{
	json_t *error = json_pack("{s:s,s:s}", "code", error_code_name(e->code),
				  "step", step_name(e->step));

	json_object_set_new(error, "peer", ascii_string(e->peer));
	json_object_set_new(error, "message", ascii_string(e->message));
	json_object_set_new(root, "error", error);
}

/*
 * Returns a JSON string with other bytes than ASCII replaced by '?'. A
 * truncated text may end inside a UTF-8 sequence, which JSON does not allow.
 */
static json_t *ascii_string(const char *text)
{
	char clean[ERROR_MESSAGE_BYTES];
	size_t i;

	for (i = 0; i < sizeof(clean) - 1 && text[i]; i++)
		clean[i] = (signed char)text[i] < 0 ? '?' : text[i];
	clean[i] = '\0';
	return json_string(clean);
}

/*
 * Inserts the rows, which are JSON text, before the object's closing brace.
 * Takes over "json" and returns the new text, NULL if memory is short.
 */
static char *splice_rows(char *json, const char *rows)
{
	size_t len;
	size_t extra;
	char *grown;

	if (!json || !rows)
		return json;
	len = strlen(json) - 1;
	extra = strlen(ROWS_KEY) + strlen(rows) + sizeof("}");
	grown = realloc(json, len + extra);
	if (!grown) {
		free(json);
		return NULL;
	}
	snprintf(grown + len, extra, ROWS_KEY "%s}", rows);
	return grown;
}

/* Counts the outcome of a request that the engine does not count itself. */
static void count_outcome(enum outcome outcome)
{
	counter_add(outcome == OUTCOME_UNKNOWN ? CTR_UNKNOWN : CTR_NOT_RUN, 1);
}

/* Logs a response with an outcome other than done. */
static void log_refusal(const struct exchange *x, enum outcome outcome,
			const struct error *e)
{
	const struct request *r = x->request;

	if (outcome == OUTCOME_DONE)
		return;
	log_event(outcome == OUTCOME_UNKNOWN ? EV_CALLER_UNKNOWN
					     : EV_CALLER_REFUSED,
		  "code=%s step=%s peer=%s team=%s service=%s",
		  error_code_name(e->code), step_name(e->step), e->peer,
		  r ? r->team : "", r ? r->service : "");
}
