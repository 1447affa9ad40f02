#include "cmd/admin_client.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADER_BYTES 256

/* The parts of the response that are kept. */
struct reply {
	char *text;
	size_t len;
	uint64_t version;
};

static struct curl_slist *add_header(struct curl_slist *list, const char *name,
				     const char *value);
static struct curl_slist *build_headers(const struct admin_client *c,
					const struct admin_call *call);
static void perform(CURL *easy, const struct admin_client *c,
		    struct admin_call *call, struct reply *r);
static size_t append_reply(char *data, size_t size, size_t n, void *ctx);
static size_t read_etag(char *data, size_t size, size_t n, void *ctx);
static bool may_have_been_sent(CURLcode rc);

/*
 * Sends one request to a VM's administration address and waits for the
 * response. Without one the status is 0, and "sent" tells whether the request
 * may have reached the VM.
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
	perform(easy, c, call, &r);
	if (call->status) {
		call->version = r.version;
		call->reply = json_loads(r.text ? r.text : "", 0, NULL);
	}
	free(r.text);
	curl_easy_cleanup(easy);
}

/* Sets up the request, sends it and reads the response. */
static void perform(CURL *easy, const struct admin_client *c,
		    struct admin_call *call, struct reply *r)
{
	struct curl_slist *list = build_headers(c, call);
	char *body = call->body ? json_dumps(call->body, JSON_COMPACT) : NULL;
	char url[ADMIN_PATH_BYTES + ADDR_MAX_BYTES + 32];
	long status = 0;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s/admin/v1/%s", c->address,
		 call->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT, (long)ADMIN_CALL_TIMEOUT_S);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_reply);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_etag);
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
	call->sent = may_have_been_sent(rc);
	free(body);
	curl_slist_free_all(list);
}

/*
 * Returns the headers, which name the operator, the change and the condition.
 * The caller frees the list.
 */
static struct curl_slist *build_headers(const struct admin_client *c,
					const struct admin_call *call)
{
	char value[HEADER_BYTES];
	struct curl_slist *list = NULL;

	snprintf(value, sizeof(value), "Bearer %s", c->key);
	list = add_header(list, "Authorization", value);
	list = add_header(list, "Content-Type", "application/json");
	list = add_header(list, "Gypsumcleat-Operator", c->operator_name);
	if (strcmp(call->method, "GET") != 0)
		list = add_header(list, "Gypsumcleat-Change", c->change);
	if (call->has_version) {
		snprintf(value, sizeof(value), "\"%llu\"",
			 (unsigned long long)call->version);
		list = add_header(list, "If-Match", value);
	}
	return list;
}

/* Appends a header; without memory the header is missing. */
static struct curl_slist *add_header(struct curl_slist *list, const char *name,
				     const char *value)
{
	char line[HEADER_BYTES * 2];
	struct curl_slist *extended;

	snprintf(line, sizeof(line), "%s: %s", name, value);
	extended = curl_slist_append(list, line);
	return extended ? extended : list;
}

/*
 * Appends a part of the response's body; libcurl fails the transfer if it
 * grows too large.
 */
static size_t append_reply(char *data, size_t size, size_t n, void *ctx)
{
	struct reply *r = ctx;
	size_t len = size * n;
	char *p;

	if (r->len + len > ADMIN_REPLY_MAX_BYTES)
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
static size_t read_etag(char *data, size_t size, size_t n, void *ctx)
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

/*
 * Tells whether the request may have reached the VM. Only a failure to connect
 * proves that it did not.
 */
static bool may_have_been_sent(CURLcode rc)
{
	return rc != CURLE_COULDNT_CONNECT &&
	       rc != CURLE_COULDNT_RESOLVE_HOST && rc != CURLE_URL_MALFORMAT &&
	       rc != CURLE_UNSUPPORTED_PROTOCOL;
}
