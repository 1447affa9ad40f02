#include "load/load_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define URL_BYTES    512
#define HEADER_BYTES 1400

static void set_url(struct load_request *r, const struct load_options *o,
		    const char *target);
static void set_headers(struct load_request *r, const struct load_options *o);
static void set_body(struct load_request *r);
static size_t read_body(char *buf, size_t size, size_t n, void *ctx);
static void add_header(struct load_request *r, const char *name,
		       const char *value);
static json_t *statement_body(const struct load_request *r,
			      const struct load_options *o);
static void statement_text(const struct load_request *r, char *out,
			   size_t size);
static json_t *direct_body(const struct load_request *r, uint64_t term);
static size_t append_reply(char *data, size_t size, size_t n, void *ctx);
static size_t read_header(char *data, size_t size, size_t n, void *ctx);
static enum outcome outcome_of_response(int status, const json_t *body);
static void read_rows(struct attempt *a);

/*
 * Sets up the libcurl handle for the next attempt of the request's current
 * stage. "target" is an IP:PORT; "term" is the fencing term of a database that
 * is called directly.
 */
void load_request_prepare(struct load_request *r, const struct load_options *o,
			  const char *target, uint64_t term)
{
	json_t *body = NULL;

	load_request_reset(r);
	curl_easy_reset(r->easy);
	set_url(r, o, target);
	if (!o->direct)
		set_headers(r, o);
	if (r->stage == STAGE_BEGIN || r->stage == STAGE_COMMIT)
		body = json_pack("{s:I}", "deadline_ms",
				 (json_int_t)(o->deadline / USEC_PER_MSEC));
	else if (r->stage != STAGE_ROLLBACK)
		body = o->direct ? direct_body(r, term) : statement_body(r, o);
	if (body) {
		r->body = json_dumps(body, JSON_COMPACT);
		json_decref(body);
		set_body(r);
	} else {
		curl_easy_setopt(r->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
	}
	curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, r->headers);
	curl_easy_setopt(r->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(r->easy, CURLOPT_TIMEOUT_MS,
			 (long)(o->deadline / USEC_PER_MSEC) * 2);
	load_request_set_callbacks(r);
	curl_easy_setopt(r->easy, CURLOPT_PRIVATE, r);
	r->attempts++;
}

/* Makes libcurl append the response to the request. */
void load_request_set_callbacks(struct load_request *r)
{
	curl_easy_setopt(r->easy, CURLOPT_WRITEFUNCTION, append_reply);
	curl_easy_setopt(r->easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(r->easy, CURLOPT_HEADERDATA, r);
}

/*
 * Fills in "a" from the response, or from the failure "rc". An attempt without
 * a response may have run, unless the connection could not be established. The
 * caller ends with attempt_clear().
 */
void load_request_read_response(const struct load_request *r, CURLcode rc,
				struct attempt *a)
{
	const char *text;
	long status = 0;

	memset(a, 0, sizeof(*a));
	a->age = -1;
	if (rc != CURLE_OK) {
		a->outcome = rc == CURLE_COULDNT_CONNECT ? OUTCOME_NOT_RUN
							 : OUTCOME_UNKNOWN;
		return;
	}
	curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &status);
	a->status = (int)status;
	a->body = json_loadb(r->reply ? r->reply : "", r->reply_len, 0, NULL);
	a->outcome = outcome_of_response(a->status, a->body);
	text = json_string_value(json_object_get(a->body, "served_by"));
	a->from_replica = text && strcmp(text, "replica") == 0;
	if (json_is_integer(json_object_get(a->body, "age_ms")))
		a->age =
			json_integer_value(json_object_get(a->body, "age_ms")) *
			USEC_PER_MSEC;
	text = json_string_value(
		json_object_get(json_object_get(a->body, "error"), "code"));
	a->transaction_gone = text && strcmp(text, "transaction_gone") == 0;
	text = json_string_value(json_object_get(a->body, "transaction"));
	if (text)
		snprintf(a->transaction, sizeof(a->transaction), "%s", text);
	read_rows(a);
}

/* Frees what load_request_read_response() allocated. */
void attempt_clear(struct attempt *a)
{
	free(a->rows);
	json_decref(a->body);
}

/* Frees the state of the current attempt, except for the libcurl handle. */
void load_request_reset(struct load_request *r)
{
	curl_slist_free_all(r->headers);
	r->headers = NULL;
	free(r->body);
	r->body = NULL;
	r->body_sent = 0;
	free(r->reply);
	r->reply = NULL;
	r->reply_len = 0;
	r->reply_capacity = 0;
	r->token[0] = '\0';
	r->retry_after = -1;
}

/* Sets the URL of the request's current stage. */
static void set_url(struct load_request *r, const struct load_options *o,
		    const char *target)
{
	const char *service = o->service[r->session->service];
	char url[URL_BYTES];

	if (o->direct)
		snprintf(url, sizeof(url), "http://%s/v1/execute", target);
	else if (r->stage == STAGE_BEGIN)
		snprintf(url, sizeof(url),
			 "http://%s/v1/services/%s/transactions", target,
			 service);
	else if (r->stage == STAGE_COMMIT || r->stage == STAGE_ROLLBACK)
		snprintf(url, sizeof(url),
			 "http://%s/v1/services/%s/transactions/%s%s", target,
			 service, r->transaction,
			 r->stage == STAGE_COMMIT ? "/commit" : "");
	else
		snprintf(url, sizeof(url),
			 "http://%s/v1/services/%s/statements", target,
			 service);
	curl_easy_setopt(r->easy, CURLOPT_URL, url);
}

/*
 * Adds the headers that a VM expects. Only a single statement or a commit
 * carries the request id.
 */
static void set_headers(struct load_request *r, const struct load_options *o)
{
	char text[LOAD_SECRET_BYTES + 8];

	snprintf(text, sizeof(text), "Bearer %s",
		 o->team[r->session->team].secret);
	add_header(r, "Authorization", text);
	add_header(r, "Content-Type", "application/json");
	if (r->session->token[0])
		add_header(r, "Gypsumcleat-Session", r->session->token);
	if (r->id[0] && (r->stage == STAGE_SINGLE || r->stage == STAGE_COMMIT))
		add_header(r, "Idempotency-Key", r->id);
}

/*
 * Has the body read through a callback that cannot rewind. libcurl would
 * otherwise resend it on its own when a kept-alive connection breaks, which
 * could run a request twice.
 */
static void set_body(struct load_request *r)
{
	curl_easy_setopt(r->easy, CURLOPT_POST, 1L);
	r->body_len = strlen(r->body);
	curl_easy_setopt(r->easy, CURLOPT_POSTFIELDSIZE, (long)r->body_len);
	curl_easy_setopt(r->easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(r->easy, CURLOPT_READDATA, r);
}

/* Hands the next part of the body to libcurl. */
static size_t read_body(char *buf, size_t size, size_t n, void *ctx)
{
	struct load_request *r = ctx;
	size_t len = r->body_len - r->body_sent;

	if (len > size * n)
		len = size * n;
	memcpy(buf, r->body + r->body_sent, len);
	r->body_sent += len;
	return len;
}

/* Appends a header line to the request. */
static void add_header(struct load_request *r, const char *name,
		       const char *value)
{
	char line[HEADER_BYTES];
	struct curl_slist *grown;

	snprintf(line, sizeof(line), "%s: %s", name, value);
	grown = curl_slist_append(r->headers, line);
	if (!grown)
		abort();
	r->headers = grown;
}

/* Returns the body of a statement sent to a VM. */
static json_t *statement_body(const struct load_request *r,
			      const struct load_options *o)
{
	bool writes = load_kind_writes(r->op.kind);
	char text[CHECKER_NAME_BYTES + 64];
	json_t *j;

	statement_text(r, text, sizeof(text));
	j = json_pack("{s:s,s:s,s:[I],s:I}", "statement", text, "kind",
		      writes ? "write" : "read", "parameters",
		      (json_int_t)(r->op.kind == LOAD_DRAFT ? r->op.value
							    : r->op.amount),
		      "deadline_ms", (json_int_t)(o->deadline / USEC_PER_MSEC));
	if (!writes) {
		json_object_del(j, "parameters");
		json_object_set_new(
			j, "max_age_ms",
			json_integer(r->op.max_age / USEC_PER_MSEC));
	}
	if (r->stage == STAGE_STATEMENT)
		json_object_set_new(j, "transaction",
				    json_string(r->transaction));
	return j;
}

/*
 * Writes the statement: "list", "put", "increment" or "get" with the key or
 * prefix.
 */
static void statement_text(const struct load_request *r, char *out, size_t size)
{
	if (r->key == HANDLE_NONE || r->op.kind == LOAD_RECONCILE)
		snprintf(out, size, "list %s", r->name);
	else if (r->op.kind == LOAD_DRAFT)
		snprintf(out, size, "put %s ?", r->name);
	else if (load_kind_writes(r->op.kind))
		snprintf(out, size, "increment %s ?", r->name);
	else
		snprintf(out, size, "get %s", r->name);
}

/*
 * Returns the body of a statement sent directly to a database, which takes the
 * request id in the body.
 */
static json_t *direct_body(const struct load_request *r, uint64_t term)
{
	bool writes = load_kind_writes(r->op.kind);
	char text[CHECKER_NAME_BYTES + 64];
	json_t *j;

	statement_text(r, text, sizeof(text));
	j = json_pack("{s:s,s:s,s:[I],s:I}", "statement", text, "kind",
		      writes ? "write" : "read", "parameters",
		      (json_int_t)(r->op.kind == LOAD_DRAFT ? r->op.value
							    : r->op.amount),
		      "term", (json_int_t)term);
	if (!writes)
		json_object_del(j, "parameters");
	if (r->id[0]) {
		json_object_set_new(j, "request_id", json_string(r->id));
		json_object_set_new(j, "body_hash", json_string(r->id));
	}
	return j;
}

/*
 * Appends a part of the response's body; libcurl fails the transfer if it
 * grows too large.
 */
static size_t append_reply(char *data, size_t size, size_t n, void *ctx)
{
	struct load_request *r = ctx;
	size_t len = size * n;
	char *grown;

	if (r->reply_len + len > LOAD_REPLY_MAX_BYTES)
		return 0;
	if (r->reply_len + len > r->reply_capacity) {
		grown = realloc(r->reply, 2 * (r->reply_len + len));
		if (!grown)
			return 0;
		r->reply = grown;
		r->reply_capacity = 2 * (r->reply_len + len);
	}
	memcpy(r->reply + r->reply_len, data, len);
	r->reply_len += len;
	return len;
}

/* Keeps the session token and the Retry-After time of the response. */
static size_t read_header(char *data, size_t size, size_t n, void *ctx)
{
	static const char token[] = "Gypsumcleat-Session:";
	static const char retry[] = "Retry-After:";
	struct load_request *r = ctx;
	size_t len = size * n;
	char text[32];
	size_t skip;

	if (len > sizeof(token) &&
	    strncasecmp(data, token, sizeof(token) - 1) == 0) {
		skip = sizeof(token) - 1;
		while (skip < len && data[skip] == ' ')
			skip++;
		while (len > skip && strchr("\r\n ", data[len - 1]))
			len--;
		if (len - skip < sizeof(r->token)) {
			memcpy(r->token, data + skip, len - skip);
			r->token[len - skip] = '\0';
		}
	} else if (len > sizeof(retry) && len < sizeof(text) &&
		   strncasecmp(data, retry, sizeof(retry) - 1) == 0) {
		memcpy(text, data, len);
		text[len] = '\0';
		r->retry_after =
			(usec_t)(strtod(text + sizeof(retry) - 1, NULL) *
				 USEC_PER_SEC);
	}
	return size * n;
}

/*
 * Returns the outcome that the body states, else the one that the status
 * implies.
 */
static enum outcome outcome_of_response(int status, const json_t *body)
{
	const char *text = json_string_value(json_object_get(body, "outcome"));

	if (status == 200)
		return body ? OUTCOME_DONE : OUTCOME_UNKNOWN;
	if (text && strcmp(text, "not_run") == 0)
		return OUTCOME_NOT_RUN;
	if (text && strcmp(text, "unknown") == 0)
		return OUTCOME_UNKNOWN;
	if (status >= 400 && status < 500)
		return OUTCOME_NOT_RUN;
	return status == 503 ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}

/* Extracts the rows of the response; the keys point into the body. */
static void read_rows(struct attempt *a)
{
	const json_t *rows = json_object_get(a->body, "rows");
	const json_t *key;
	const json_t *value;
	size_t i;

	a->n_rows = json_array_size(rows);
	a->rows = calloc(a->n_rows + 1, sizeof(*a->rows));
	if (!a->rows)
		abort();
	for (i = 0; i < a->n_rows; i++) {
		key = json_object_get(json_array_get(rows, i), "key");
		value = json_object_get(json_array_get(rows, i), "value");
		a->rows[i].key =
			json_is_string(key) ? json_string_value(key) : "";
		a->rows[i].value = json_integer_value(value);
		a->rows[i].is_integer = json_is_integer(value);
	}
}
