#include "standin/platform.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/fault_injection.h"
#include "standin/skiplist.h"
#include "standin/platform_store.h"
#include "standin/http_server.h"

#define PLATFORM_THREADS     4
#define PLATFORM_CONNECTIONS 16384
#define WATCH_MAX_MS	     60000 /* longest wait of a watch */

enum call_kind {
	CALL_GET,
	CALL_PUT,
	CALL_LIST,
	CALL_WATCH,
	CALL_VMS,
	CALL_ANNOUNCE,
	CALL_KINDS,
};

static const char *const kind_names[CALL_KINDS] = {
	[CALL_GET] = "get",   [CALL_PUT] = "put",
	[CALL_LIST] = "list", [CALL_WATCH] = "watch",
	[CALL_VMS] = "vms",   [CALL_ANNOUNCE] = "announce",
};

static const char objects_path[] = "/v1/objects/";

struct platform {
	struct http_server *server;
	struct http_server *control_server;
	atomic_llong latency_us;
	atomic_llong vm_lag_ms;
	atomic_llong lose_replies; /* responses still to drop */
	atomic_bool down;	   /* no call gets a response */
	atomic_llong calls[CALL_KINDS];
	pthread_mutex_t lock;
	struct platform_store *store; /* protected by the lock */
};

/* The state of a call across deferrals. */
struct call_state {
	enum call_kind kind;
	usec_t watch_deadline; /* monotonic; -1: not set yet */
};

static void handle_request(struct http_request *r);
static int classify_call(struct http_request *r);
static void run_call(struct http_request *r);
static void release_response(struct http_request *r);
static void handle_get(struct http_request *r);
static void handle_put(struct http_request *r);
static uint64_t expected_version(struct http_request *r, bool *given);
static void handle_list(struct http_request *r);
static void handle_watch(struct http_request *r);
static void handle_list_vms(struct http_request *r);
static void handle_announce(struct http_request *r);
static void handle_control(struct http_request *r);
static int apply_controls(struct platform *p, const json_t *j);
static json_t *controls_to_json(struct platform *p);
static void set_etag(struct http_request *r, uint64_t version);

/*
 * Starts the platform with its HTTP servers. Returns NULL with an error on
 * failure.
 */
struct platform *platform_start(const struct platform_options *o,
				struct error *e)
{
	struct platform *p = xzalloc(sizeof(*p));
	struct http_server_options server_options = {
		.listen = o->listen,
		.threads = PLATFORM_THREADS,
		.connections = PLATFORM_CONNECTIONS,
		.handle = handle_request,
		.ctx = p
	};
	struct http_server_options control_options = { .listen = o->control,
						       .threads = 1,
						       .connections = 64,
						       .handle = handle_control,
						       .ctx = p };

	pthread_mutex_init(&p->lock, NULL);
	atomic_store(&p->latency_us, o->latency_us);
	atomic_store(&p->vm_lag_ms, o->vm_lag_ms);
	p->store = platform_store_create(o->vm_expiry_ms * USEC_PER_MSEC);
	p->server = http_server_start(&server_options, e);
	if (p->server)
		p->control_server = http_server_start(&control_options, e);
	if (p->control_server)
		return p;
	platform_stop(p);
	return NULL;
}

/* Returns the address that serves the object API and the VM list. */
const char *platform_address(const struct platform *p)
{
	return http_server_address(p->server);
}

/* Returns the address of the fault control server. */
const char *platform_control_address(const struct platform *p)
{
	return http_server_address(p->control_server);
}

/* Stops the servers and frees the platform. Deferred calls are dropped. */
void platform_stop(struct platform *p)
{
	if (p->control_server)
		http_server_stop(p->control_server);
	if (p->server)
		http_server_stop(p->server);
	platform_store_destroy(p->store);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

/* Counts an API call and runs it, now or after the configured latency. */
static void handle_request(struct http_request *r)
{
	struct platform *p = r->ctx;
	long long latency = atomic_load(&p->latency_us);
	struct call_state *call;
	int kind = classify_call(r);

	if (kind == CALL_KINDS) {
		http_reply_text(r, 404, NULL);
		return;
	}
	atomic_fetch_add(&p->calls[kind], 1);
	call = xzalloc(sizeof(*call));
	call->kind = (enum call_kind)kind;
	call->watch_deadline = -1;
	r->handler_data = call;
	r->free_handler_data = free;
	if (latency > 0)
		http_request_defer(r, monotonic_us() + latency, false,
				   run_call);
	else
		run_call(r);
}

/*
 * Returns the kind of an API call, or CALL_KINDS if the path and method match
 * none.
 */
static int classify_call(struct http_request *r)
{
	bool get = strcmp(r->method, "GET") == 0;
	bool object =
		strncmp(r->url, objects_path, sizeof(objects_path) - 1) == 0 &&
		r->url[sizeof(objects_path) - 1];

	if (object && get)
		return CALL_GET;
	if (object && strcmp(r->method, "PUT") == 0)
		return CALL_PUT;
	if (get && strcmp(r->url, "/v1/objects") == 0)
		return CALL_LIST;
	if (get && strcmp(r->url, "/v1/watch") == 0)
		return CALL_WATCH;
	if (get && strcmp(r->url, "/v1/vms") == 0)
		return CALL_VMS;
	if (strcmp(r->method, "POST") == 0 && strcmp(r->url, "/v1/vms") == 0)
		return CALL_ANNOUNCE;
	return CALL_KINDS;
}

/*
 * Runs an API call. While the platform is down the connection closes without a
 * response.
 */
static void run_call(struct http_request *r)
{
	static const http_handler handlers[CALL_KINDS] = {
		[CALL_GET] = handle_get,      [CALL_PUT] = handle_put,
		[CALL_LIST] = handle_list,    [CALL_WATCH] = handle_watch,
		[CALL_VMS] = handle_list_vms, [CALL_ANNOUNCE] = handle_announce,
	};
	struct platform *p = r->ctx;
	const struct call_state *call = r->handler_data;

	if (atomic_load(&p->down)) {
		http_request_drop(r);
		return;
	}
	handlers[call->kind](r);
	if (r->has_reply)
		release_response(r);
}

/*
 * Sends a finished response, or drops it if the "lose_replies" fault has some
 * left. The call has taken effect in either case.
 */
static void release_response(struct http_request *r)
{
	struct platform *p = r->ctx;

	if (faults_consume(&p->lose_replies))
		http_request_drop(r);
}

/* Responds with an object and its version as the ETag. */
static void handle_get(struct http_request *r)
{
	struct platform *p = r->ctx;
	const char *name = r->url + sizeof(objects_path) - 1;
	uint64_t version;
	json_t *body;

	pthread_mutex_lock(&p->lock);
	body = json_incref(
		(json_t *)platform_store_get(p->store, name, &version));
	pthread_mutex_unlock(&p->lock);
	if (!body) {
		http_reply_text(r, 404, NULL);
		return;
	}
	set_etag(r, version);
	http_reply_json(r, 200, body);
}

/*
 * Writes an object on the condition of the request header and wakes the
 * watches. Responds with 412 if the version differs, 428 without a condition
 * and 507 if there are too many objects.
 */
static void handle_put(struct http_request *r)
{
	struct platform *p = r->ctx;
	const char *name = r->url + sizeof(objects_path) - 1;
	json_t *body = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	enum put_result rc;
	uint64_t expected, version;
	bool given;

	expected = expected_version(r, &given);
	if (!json_is_object(body) || !given) {
		json_decref(body);
		http_reply_text(r, given ? 400 : 428, NULL);
		return;
	}
	pthread_mutex_lock(&p->lock);
	rc = platform_store_put(p->store, name, expected, body, &version);
	pthread_mutex_unlock(&p->lock);
	json_decref(body);
	if (version)
		set_etag(r, version);
	if (rc == PUT_OK)
		http_server_wake(p->server);
	http_reply_text(r,
			rc == PUT_OK	 ? 200
			: rc == PUT_FULL ? 507
					 : 412,
			NULL);
}

/*
 * Returns the version in If-Match, or 0 for "If-None-Match: *". Sets "given"
 * to false if there is no valid condition.
 */
static uint64_t expected_version(struct http_request *r, bool *given)
{
	const char *match = http_request_header(r, "If-Match");
	const char *none = http_request_header(r, "If-None-Match");
	uint64_t n;
	char *end;

	*given = false;
	if (none && strcmp(none, "*") == 0) {
		*given = !match;
		return 0;
	}
	if (!match || match[0] != '"')
		return 0;
	n = strtoull(match + 1, &end, 10);
	*given = end != match + 1 && strcmp(end, "\"") == 0 && n > 0;
	return n;
}

/* Responds with the objects whose name has the prefix. */
static void handle_list(struct http_request *r)
{
	struct platform *p = r->ctx;
	const char *prefix = http_request_query(r, "prefix");
	json_t *j;

	pthread_mutex_lock(&p->lock);
	j = platform_store_list(p->store, prefix ? prefix : "", 0);
	pthread_mutex_unlock(&p->lock);
	http_reply_json(r, 200, j);
}

/*
 * Responds with the changed objects once there is a change, or when the wait
 * is over; otherwise defers the call.
 */
static void handle_watch(struct http_request *r)
{
	struct platform *p = r->ctx;
	struct call_state *call = r->handler_data;
	const char *prefix = http_request_query(r, "prefix");
	uint64_t after = http_request_query_u64(r, "after", 0);
	uint64_t wait = http_request_query_u64(r, "wait_ms", 0);
	json_t *j = NULL;

	if (wait > WATCH_MAX_MS)
		wait = WATCH_MAX_MS;
	if (call->watch_deadline < 0)
		call->watch_deadline =
			monotonic_us() + (usec_t)wait * USEC_PER_MSEC;
	if (!prefix)
		prefix = "";
	pthread_mutex_lock(&p->lock);
	if (monotonic_us() >= call->watch_deadline ||
	    platform_store_has_changes(p->store, prefix, after))
		j = platform_store_list(p->store, prefix, after);
	pthread_mutex_unlock(&p->lock);
	if (j)
		http_reply_json(r, 200, j);
	else
		http_request_defer(r, call->watch_deadline, true, run_call);
}

/* Responds with the VM list as it was before the configured lag. */
static void handle_list_vms(struct http_request *r)
{
	struct platform *p = r->ctx;
	usec_t lag = atomic_load(&p->vm_lag_ms) * USEC_PER_MSEC;
	json_t *j;

	pthread_mutex_lock(&p->lock);
	j = platform_store_list_vms(p->store, monotonic_us(), lag);
	pthread_mutex_unlock(&p->lock);
	http_reply_json(r, 200, j);
}

/* Stores a VM's announcement of itself. */
static void handle_announce(struct http_request *r)
{
	struct platform *p = r->ctx;
	json_t *record = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	struct error e = { 0 };
	int rc;

	pthread_mutex_lock(&p->lock);
	rc = platform_store_announce(p->store, record, monotonic_us(), &e);
	pthread_mutex_unlock(&p->lock);
	json_decref(record);
	if (rc)
		http_reply_json(r, error_http_status(e.code),
				json_pack("{s:s}", "message", e.message));
	else
		http_reply_text(r, 200, NULL);
}

/*
 * Handles a request to the control server: GET returns the fault controls and
 * the call counts; POST sets fault controls first.
 */
static void handle_control(struct http_request *r)
{
	struct platform *p = r->ctx;
	json_t *j;
	int rc;

	if (strcmp(r->url, "/control") != 0) {
		http_reply_text(r, 404, NULL);
		return;
	}
	if (strcmp(r->method, "POST") == 0) {
		j = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
		rc = apply_controls(p, j);
		json_decref(j);
		if (rc) {
			http_reply_text(r, 400, NULL);
			return;
		}
		http_server_wake(p->server);
	}
	http_reply_json(r, 200, controls_to_json(p));
}

/*
 * Sets every control in a document. Returns 0, or -1 with nothing changed if
 * one is unknown or invalid.
 */
static int apply_controls(struct platform *p, const json_t *j)
{
	const json_t *down = json_object_get(j, "down");
	const struct {
		const char *name;
		atomic_llong *value;
	} numbers[] = {
		{ "latency_us", &p->latency_us },
		{ "vm_lag_ms", &p->vm_lag_ms },
		{ "lose_replies", &p->lose_replies },
	};
	size_t known = down ? 1 : 0;
	const json_t *v;
	size_t i;

	if (down && !json_is_boolean(down))
		return -1;
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		v = json_object_get(j, numbers[i].name);
		if (v && (!json_is_integer(v) || json_integer_value(v) < 0))
			return -1;
		known += v ? 1 : 0;
	}
	if (!json_is_object(j) || known != json_object_size(j))
		return -1;
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		v = json_object_get(j, numbers[i].name);
		if (v)
			atomic_store(numbers[i].value, json_integer_value(v));
	}
	if (down)
		atomic_store(&p->down, json_is_true(down));
	return 0;
}

/*
 * Returns the fault controls and the number of calls of each kind as a new
 * JSON object.
 */
static json_t *controls_to_json(struct platform *p)
{
	json_t *calls = json_object();
	int i;

	for (i = 0; i < CALL_KINDS; i++)
		json_object_set_new(calls, kind_names[i],
				    json_integer(atomic_load(&p->calls[i])));
	return json_pack("{s:I,s:I,s:I,s:b,s:o}", "latency_us",
			 (json_int_t)atomic_load(&p->latency_us), "vm_lag_ms",
			 (json_int_t)atomic_load(&p->vm_lag_ms), "lose_replies",
			 (json_int_t)atomic_load(&p->lose_replies), "down",
			 (int)atomic_load(&p->down), "calls", calls);
}

/* Sets the ETag of the response to a version. */
static void set_etag(struct http_request *r, uint64_t version)
{
	snprintf(r->etag, sizeof(r->etag), "\"%llu\"",
		 (unsigned long long)version);
}
