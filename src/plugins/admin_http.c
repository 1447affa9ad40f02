#include "plugins/admin_http.h"

#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kernel/address.h"
#include "kernel/kernel.h"
#include "kernel/plugin.h"
#include "plugins/admin_view.h"

#define ADMIN_CONNECTIONS 64
#define IDLE_TIMEOUT_S	  30
#define MEMORY_BYTES	  32768
#define STOP_WAIT_STEP_US 10000
#define STOP_WAIT_STEPS	  1500
#define ETAG_BYTES	  32

struct admin_http {
	struct kernel *kernel;
	struct MHD_Daemon *daemon;
	uint32_t n_suspended; /* suspended requests; accessed with __atomic */
};

static struct admin_http admin;

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);
static int update_address(struct admin_http *a, struct error *e);
static enum MHD_Result on_request(void *cls, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_len, void **state);
static struct admin_request *
create_request(struct MHD_Connection *c, const char *url, const char *method);
static void append_body(struct admin_request *r, const char *data, size_t len);
static enum MHD_Result queue_response(struct admin_request *r);
static void on_completed(void *cls, struct MHD_Connection *c, void **state,
			 enum MHD_RequestTerminationCode code);

static struct plugin plugin = {
	.name = "admin_http",
	.rank = RANK_ADMIN,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Starts the operators' HTTP server; writes the bound port to the settings. */
static int start(struct kernel *k, struct error *e)
{
	struct admin_http *a = &admin;
	unsigned int flags =
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
	struct sockaddr_storage sa;
	socklen_t len;

	memset(a, 0, sizeof(*a));
	a->kernel = k;
	if (sodium_init() < 0)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "cannot initialise libsodium");
	if (!address_parse(k->settings.admin_listen, &sa, &len))
		return error_set(e, ERR_SETTINGS, STEP_LISTEN,
				 k->settings.admin_listen, "not an address");
	if (sa.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	a->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, a, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&sa, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)ADMIN_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, a, MHD_OPTION_END);
	if (!a->daemon)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN,
				 k->settings.admin_listen,
				 "cannot listen on this address");
	return update_address(a, e);
}

/*
 * Stops listening, waits for suspended requests, STOP_WAIT_STEPS times
 * STOP_WAIT_STEP_US at most, and stops the server.
 */
static void stop(struct kernel *k)
{
	struct admin_http *a = &admin;
	MHD_socket fd = MHD_quiesce_daemon(a->daemon);
	int i;

	(void)k;
	for (i = 0; i < STOP_WAIT_STEPS; i++) {
		if (__atomic_load_n(&a->n_suspended, __ATOMIC_ACQUIRE) == 0)
			break;
		usleep(STOP_WAIT_STEP_US);
	}
	MHD_stop_daemon(a->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

/* Sets the response of a request and frees "body". Any thread. */
void admin_respond(struct admin_request *r, int status, json_t *body)
{
	r->reply = body ? json_dumps(body, JSON_COMPACT) : NULL;
	r->status = r->reply ? status : MHD_HTTP_INTERNAL_SERVER_ERROR;
	r->has_response = true;
	json_decref(body);
}

/* Sets an error as the response of a request. */
void admin_respond_error(struct admin_request *r, const struct error *e)
{
	json_t *j = json_pack("{s:s,s:o}", "result", "refused", "error",
			      admin_view_error(e));

	admin_respond(r, error_http_status(e->code), j);
}

/* Suspends the connection until admin_resume(). */
void admin_suspend(struct admin_request *r)
{
	__atomic_fetch_add(&admin.n_suspended, 1, __ATOMIC_ACQ_REL);
	r->suspended = true;
	MHD_suspend_connection(r->connection);
}

/* Resumes the connection; the request may be freed as soon as this runs. */
void admin_resume(struct admin_request *r)
{
	MHD_resume_connection(r->connection);
	__atomic_fetch_sub(&admin.n_suspended, 1, __ATOMIC_ACQ_REL);
}

/* Writes the bound port to the settings. */
static int update_address(struct admin_http *a, struct error *e)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(a->daemon, MHD_DAEMON_INFO_BIND_PORT);

	if (!info)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "bound port unknown");
	address_set_port(a->kernel->settings.admin_listen, info->port);
	return 0;
}

/*
 * Access handler of the HTTP server. It is called after the headers, for each
 * part of the body, at the end of the body and after admin_resume().
 */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_len, void **state)
{
	struct admin_request *r = *state;

	(void)cls;
	(void)version;
	if (!r) {
		r = create_request(c, url, method);
		if (!r)
			return MHD_NO;
		*state = r;
		if (r->error.code == ERR_NONE)
			return MHD_YES;
		/* Respond without waiting for the body. */
		admin_respond_error(r, &r->error);
		return queue_response(r);
	}
	if (*upload_len) {
		append_body(r, upload, *upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (!r->has_response && r->error.code != ERR_NONE)
		admin_respond_error(r, &r->error);
	if (r->has_response)
		return queue_response(r);
	admin_handle(r);
	/* A suspended request belongs to the thread that will resume it. */
	return r->suspended ? MHD_YES : queue_response(r);
}

/* Allocates a request; checks its key and path before the body is read. */
static struct admin_request *create_request(struct MHD_Connection *c,
					    const char *url, const char *method)
{
	struct admin_request *r = calloc(1, sizeof(*r));
	const char *authorization = MHD_lookup_connection_value(
		c, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);

	if (!r)
		return NULL;
	r->kernel = admin.kernel;
	r->connection = c;
	if (!admin_key_matches(authorization,
			       r->kernel->settings.operator_key_hash))
		error_set(&r->error, ERR_KEY_UNKNOWN, STEP_KEY, NULL,
			  "not the operators' key");
	else
		admin_target_parse(method, url, &r->target, &r->error);
	return r;
}

/* Appends a part of the body; sets the error if it is too large. */
static void append_body(struct admin_request *r, const char *data, size_t len)
{
	char *p;

	if (r->error.code != ERR_NONE)
		return;
	if (r->len + len > ADMIN_BODY_MAX_BYTES) {
		error_set(&r->error, ERR_TOO_LARGE, STEP_PARSE, NULL,
			  "body over %d bytes", ADMIN_BODY_MAX_BYTES);
		return;
	}
	p = realloc(r->body, r->len + len + 1);
	if (!p) {
		error_set(&r->error, ERR_SYSTEM, STEP_PARSE, NULL, "no memory");
		return;
	}
	memcpy(p + r->len, data, len);
	r->body = p;
	r->len += len;
	r->body[r->len] = '\0';
}

/* Queues the response with its headers. */
static enum MHD_Result queue_response(struct admin_request *r)
{
	static const char failed[] = "{\"result\":\"unknown\"}";
	const char *text = r->reply ? r->reply : failed;
	struct MHD_Response *response;
	enum MHD_Result rc;
	char etag[ETAG_BYTES];

	response = MHD_create_response_from_buffer(strlen(text), (void *)text,
						   MHD_RESPMEM_MUST_COPY);
	if (!response)
		return MHD_NO;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	MHD_add_response_header(response, MHD_HTTP_HEADER_CACHE_CONTROL,
				"no-store");
	if (r->version) {
		snprintf(etag, sizeof(etag), "\"%llu\"",
			 (unsigned long long)r->version);
		MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, etag);
	}
	rc = MHD_queue_response(r->connection, (unsigned int)r->status,
				response);
	MHD_destroy_response(response);
	return rc;
}

/* Frees a request; clears its response first, which may contain a secret. */
static void on_completed(void *cls, struct MHD_Connection *c, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct admin_request *r = *state;

	(void)cls;
	(void)c;
	(void)code;
	if (!r)
		return;
	if (r->reply) {
		sodium_memzero(r->reply, strlen(r->reply));
		free(r->reply);
	}
	free(r->body);
	free(r);
	*state = NULL;
}
