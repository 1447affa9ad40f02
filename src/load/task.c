#include "load/task.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define URL_BYTES    512
#define HEADER_BYTES 1400

static void set_url(struct task *t, const struct load_options *o,
		    const char *target);
static void set_headers(struct task *t, const struct load_options *o);
static void set_body(struct task *t);
static size_t on_body(char *buf, size_t size, size_t n, void *ctx);
static void add_header(struct task *t, const char *name, const char *value);
static json_t *statement_body(const struct task *t,
			      const struct load_options *o);
static void statement_text(const struct task *t, char *out, size_t room);
static json_t *direct_body(const struct task *t, uint64_t term);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static enum outcome outcome_of(int status, const json_t *body);
static void read_rows(struct attempt *a);

void task_prepare(struct task *t, const struct load_options *o,
		  const char *target, uint64_t term)
{
	json_t *body = NULL;

	task_reset(t);
	curl_easy_reset(t->easy);
	set_url(t, o, target);
	if (!o->direct)
		set_headers(t, o);
	if (t->stage == STAGE_BEGIN || t->stage == STAGE_COMMIT)
		body = json_pack("{s:I}", "deadline_ms",
				 (json_int_t)(o->deadline / USEC_PER_MSEC));
	else if (t->stage != STAGE_ROLLBACK)
		body = o->direct ? direct_body(t, term) : statement_body(t, o);
	if (body) {
		t->body = json_dumps(body, JSON_COMPACT);
		json_decref(body);
		set_body(t);
	} else {
		curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
	}
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 (long)(o->deadline / USEC_PER_MSEC) * 2);
	task_collect(t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	t->tries++;
}

void task_collect(struct task *t)
{
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
}

/*
 * An attempt that got no answer may have run, unless no connection came
 * about.
 */
void task_result(const struct task *t, CURLcode rc, struct attempt *a)
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
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	a->status = (int)status;
	a->body = json_loadb(t->reply ? t->reply : "", t->reply_len, 0, NULL);
	a->outcome = outcome_of(a->status, a->body);
	text = json_string_value(json_object_get(a->body, "served_by"));
	a->replica = text && strcmp(text, "replica") == 0;
	if (json_is_integer(json_object_get(a->body, "age_ms")))
		a->age =
			json_integer_value(json_object_get(a->body, "age_ms")) *
			USEC_PER_MSEC;
	text = json_string_value(
		json_object_get(json_object_get(a->body, "error"), "code"));
	a->gone = text && strcmp(text, "transaction_gone") == 0;
	text = json_string_value(json_object_get(a->body, "transaction"));
	if (text)
		snprintf(a->transaction, sizeof(a->transaction), "%s", text);
	read_rows(a);
}

void attempt_clear(struct attempt *a)
{
	free(a->rows);
	json_decref(a->body);
}

void task_reset(struct task *t)
{
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	free(t->body);
	t->body = NULL;
	t->body_given = 0;
	free(t->reply);
	t->reply = NULL;
	t->reply_len = 0;
	t->reply_room = 0;
	t->token[0] = '\0';
	t->retry_after = -1;
}

static void set_url(struct task *t, const struct load_options *o,
		    const char *target)
{
	const char *service = o->service[t->session->service];
	char url[URL_BYTES];

	if (o->direct)
		snprintf(url, sizeof(url), "http://%s/v1/execute", target);
	else if (t->stage == STAGE_BEGIN)
		snprintf(url, sizeof(url),
			 "http://%s/v1/services/%s/transactions", target,
			 service);
	else if (t->stage == STAGE_COMMIT || t->stage == STAGE_ROLLBACK)
		snprintf(url, sizeof(url),
			 "http://%s/v1/services/%s/transactions/%s%s", target,
			 service, t->transaction,
			 t->stage == STAGE_COMMIT ? "/commit" : "");
	else
		snprintf(url, sizeof(url),
			 "http://%s/v1/services/%s/statements", target,
			 service);
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
}

static void set_headers(struct task *t, const struct load_options *o)
{
	char text[LOAD_SECRET_BYTES + 8];

	snprintf(text, sizeof(text), "Bearer %s",
		 o->team[t->session->team].secret);
	add_header(t, "Authorization", text);
	add_header(t, "Content-Type", "application/json");
	if (t->session->token[0])
		add_header(t, "Gypsumcleat-Session", t->session->token);
	if (t->id[0] && (t->stage == STAGE_ONLY || t->stage == STAGE_COMMIT))
		add_header(t, "Idempotency-Key", t->id);
}

/*
 * The body is read through a callback that cannot rewind: libcurl would
 * otherwise send it again by itself when a kept connection breaks.
 */
static void set_body(struct task *t)
{
	curl_easy_setopt(t->easy, CURLOPT_POST, 1L);
	t->body_len = strlen(t->body);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE, (long)t->body_len);
	curl_easy_setopt(t->easy, CURLOPT_READFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_READDATA, t);
}

static size_t on_body(char *buf, size_t size, size_t n, void *ctx)
{
	struct task *t = ctx;
	size_t len = t->body_len - t->body_given;

	if (len > size * n)
		len = size * n;
	memcpy(buf, t->body + t->body_given, len);
	t->body_given += len;
	return len;
}

static void add_header(struct task *t, const char *name, const char *value)
{
	char line[HEADER_BYTES];
	struct curl_slist *more;

	snprintf(line, sizeof(line), "%s: %s", name, value);
	more = curl_slist_append(t->headers, line);
	if (!more)
		abort();
	t->headers = more;
}

static json_t *statement_body(const struct task *t,
			      const struct load_options *o)
{
	bool writes = load_kind_writes(t->op.kind);
	char text[VERIFY_NAME_BYTES + 64];
	json_t *j;

	statement_text(t, text, sizeof(text));
	j = json_pack("{s:s,s:s,s:[I],s:I}", "statement", text, "kind",
		      writes ? "write" : "read", "parameters",
		      (json_int_t)(t->op.kind == LOAD_DRAFT ? t->op.value
							    : t->op.amount),
		      "deadline_ms", (json_int_t)(o->deadline / USEC_PER_MSEC));
	if (!writes) {
		json_object_del(j, "parameters");
		json_object_set_new(
			j, "max_age_ms",
			json_integer(t->op.max_age / USEC_PER_MSEC));
	}
	if (t->stage == STAGE_STATEMENT)
		json_object_set_new(j, "transaction",
				    json_string(t->transaction));
	return j;
}

static void statement_text(const struct task *t, char *out, size_t room)
{
	if (t->key == HANDLE_NONE || t->op.kind == LOAD_RECONCILE)
		snprintf(out, room, "list %s", t->name);
	else if (t->op.kind == LOAD_DRAFT)
		snprintf(out, room, "put %s ?", t->name);
	else if (load_kind_writes(t->op.kind))
		snprintf(out, room, "increment %s ?", t->name);
	else
		snprintf(out, room, "get %s", t->name);
}

/* The same for a database itself, which takes the request id in the body. */
static json_t *direct_body(const struct task *t, uint64_t term)
{
	bool writes = load_kind_writes(t->op.kind);
	char text[VERIFY_NAME_BYTES + 64];
	json_t *j;

	statement_text(t, text, sizeof(text));
	j = json_pack("{s:s,s:s,s:[I],s:I}", "statement", text, "kind",
		      writes ? "write" : "read", "parameters",
		      (json_int_t)(t->op.kind == LOAD_DRAFT ? t->op.value
							    : t->op.amount),
		      "term", (json_int_t)term);
	if (!writes)
		json_object_del(j, "parameters");
	if (t->id[0]) {
		json_object_set_new(j, "request_id", json_string(t->id));
		json_object_set_new(j, "body_hash", json_string(t->id));
	}
	return j;
}

static size_t on_data(char *data, size_t size, size_t n, void *ctx)
{
	struct task *t = ctx;
	size_t len = size * n;
	char *more;

	if (t->reply_len + len > TASK_REPLY_MAX)
		return 0;
	if (t->reply_len + len > t->reply_room) {
		more = realloc(t->reply, 2 * (t->reply_len + len));
		if (!more)
			return 0;
		t->reply = more;
		t->reply_room = 2 * (t->reply_len + len);
	}
	memcpy(t->reply + t->reply_len, data, len);
	t->reply_len += len;
	return len;
}

/* Keeps the session's token and when to come back. */
static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	static const char token[] = "Gypsumcleat-Session:";
	static const char retry[] = "Retry-After:";
	struct task *t = ctx;
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
		if (len - skip < sizeof(t->token)) {
			memcpy(t->token, data + skip, len - skip);
			t->token[len - skip] = '\0';
		}
	} else if (len > sizeof(retry) && len < sizeof(text) &&
		   strncasecmp(data, retry, sizeof(retry) - 1) == 0) {
		memcpy(text, data, len);
		text[len] = '\0';
		t->retry_after =
			(usec_t)(strtod(text + sizeof(retry) - 1, NULL) *
				 USEC_PER_SEC);
	}
	return size * n;
}

/* The body's word goes first; without one the status tells. */
static enum outcome outcome_of(int status, const json_t *body)
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
		a->rows[i].integer = json_is_integer(value);
	}
}
