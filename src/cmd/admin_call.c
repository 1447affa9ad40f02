#include "cmd/admin_call.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADER_BYTES 256

struct reply {
	char *text;
	size_t len;
	uint64_t version;
};

static struct curl_slist *add(struct curl_slist *list, const char *name,
			      const char *value);
static struct curl_slist *headers(const struct admin_client *c,
				  const struct admin_call *call);
static void run(CURL *easy, const struct admin_client *c,
		struct admin_call *call, struct reply *r);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static bool may_have_left(CURLcode rc);

/*
 * Makes one call to a VM's administration address. Without an answer the
 * status is 0, and "sent" tells whether the request may have got there.
 */
void admin_call(const struct admin_client *c, struct admin_call *call)
{
	struct reply r = { 0 };
	CURL *easy = curl_easy_init();

	call->status = 0;
	call->reply = NULL;
	if (!easy) {
		snprintf(call->failure, sizeof(call->failure),
			 "libcurl cannot be used");
		return;
	}
	run(easy, c, call, &r);
	if (call->status) {
		call->version = r.version;
		call->reply = json_loads(r.text ? r.text : "", 0, NULL);
	}
	free(r.text);
	curl_easy_cleanup(easy);
}

/* Sets up the call and waits for its end. */
static void run(CURL *easy, const struct admin_client *c,
		struct admin_call *call, struct reply *r)
{
	struct curl_slist *list = headers(c, call);
	char *body = call->body ? json_dumps(call->body, JSON_COMPACT) : NULL;
	char url[ADMIN_PATH_MAX + ADDR_MAX_BYTES + 32];
	long status = 0;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s/admin/v1/%s", c->address,
		 call->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT, (long)ADMIN_CALL_SECS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	if (strcmp(call->method, "GET") != 0)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body ? body : "");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	rc = curl_easy_perform(easy);
	if (rc == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		call->status = (int)status;
	} else {
		snprintf(call->failure, sizeof(call->failure), "%s: %s",
			 c->address, curl_easy_strerror(rc));
	}
	call->sent = may_have_left(rc);
	free(body);
	curl_slist_free_all(list);
}

/* The headers that say who calls, and on which condition. */
static struct curl_slist *headers(const struct admin_client *c,
				  const struct admin_call *call)
{
	char value[HEADER_BYTES];
	struct curl_slist *list = NULL;

	snprintf(value, sizeof(value), "Bearer %s", c->key);
	list = add(list, "Authorization", value);
	list = add(list, "Content-Type", "application/json");
	list = add(list, "Gypsumcleat-Operator", c->operator_name);
	if (strcmp(call->method, "GET") != 0)
		list = add(list, "Gypsumcleat-Change", c->change);
	if (call->has_version) {
		snprintf(value, sizeof(value), "\"%llu\"",
			 (unsigned long long)call->version);
		list = add(list, "If-Match", value);
	}
	return list;
}

/* Adds a header. */
static struct curl_slist *add(struct curl_slist *list, const char *name,
			      const char *value)
{
	char line[HEADER_BYTES * 2];
	struct curl_slist *longer;

	snprintf(line, sizeof(line), "%s: %s", name, value);
	longer = curl_slist_append(list, line);
	return longer ? longer : list;
}

/* Gathers the answer's body within its bound. */
static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct reply *r = ctx;
	size_t len = size * n;
	char *p;

	if (r->len + len > ADMIN_REPLY_BYTES)
		return 0;
	p = realloc(r->text, r->len + len + 1);
	if (!p)
		return 0;
	memcpy(p + r->len, data, len);
	r->text = p;
	r->len += len;
	r->text[r->len] = '\0';
	return len;
}

/* Takes the object's version from the ETag. */
static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	static const char name[] = "ETag: \"";
	struct reply *r = ctx;
	size_t len = size * n;
	char value[HEADER_BYTES];

	if (len >= sizeof(value) || len < strlen(name) ||
	    strncasecmp(data, name, strlen(name)) != 0)
		return len;
	memcpy(value, data, len);
	value[len] = '\0';
	errno = 0;
	r->version = strtoull(value + strlen(name), NULL, 10);
	if (errno)
		r->version = 0;
	return len;
}

/* Only a failure before the connection stood proves that nothing was sent. */
static bool may_have_left(CURLcode rc)
{
	return rc != CURLE_COULDNT_CONNECT &&
	       rc != CURLE_COULDNT_RESOLVE_HOST && rc != CURLE_URL_MALFORMAT &&
	       rc != CURLE_UNSUPPORTED_PROTOCOL;
}
