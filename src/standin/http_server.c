#include "standin/http_server.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "standin/skiplist.h"
#include "standin/http_timer.h"

#define IDLE_TIMEOUT_S 600 /* of a connection without traffic */

struct http_server {
	struct MHD_Daemon *daemon;
	struct http_timer *timer;
	struct http_server_options options;
	atomic_uint n_connections; /* open, without uncounted ones */
	atomic_uint_fast64_t seq;  /* of the newest connection */
	char address[ADDR_MAX_BYTES];
};

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode reason);
static void on_connection(void *ctx, struct MHD_Connection *conn, void **state,
			  enum MHD_ConnectionNotificationCode event);
static enum MHD_Result on_accept(void *ctx, const struct sockaddr *from,
				 socklen_t len);
static struct http_request *request_create(struct http_server *w,
					   struct MHD_Connection *conn,
					   const char *url, const char *method);
static void append_body(struct http_request *r, const char *data, size_t len);
static enum MHD_Result send_reply(struct http_request *r);
static int store_bound_address(struct http_server *w,
			       const struct sockaddr_in *listen_addr,
			       struct error *e);

/* Starts a server. Returns NULL with an error of the listen step on failure. */
struct http_server *http_server_start(const struct http_server_options *o,
				      struct error *e)
{
	struct sockaddr_in addr;
	struct http_server *w;

	if (parse_listen_address(o->listen, &addr, e))
		return NULL;
	w = xzalloc(sizeof(*w));
	w->options = *o;
	w->timer = http_timer_start();
	w->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		on_accept, w, on_request, w, MHD_OPTION_SOCK_ADDR, &addr,
		MHD_OPTION_THREAD_POOL_SIZE, o->threads,
		MHD_OPTION_CONNECTION_LIMIT, o->connections,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, w,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, w, MHD_OPTION_END);
	if (!w->daemon) {
		error_set(e, ERR_SYSTEM, STEP_LISTEN, o->listen,
			  "cannot listen");
		http_timer_stop(w->timer);
		free(w);
		return NULL;
	}
	if (store_bound_address(w, &addr, e) == 0)
		return w;
	http_server_stop(w);
	return NULL;
}

/*
 * Stops the server and its threads. Deferred requests are dropped: their
 * connections close without a response.
 */
void http_server_stop(struct http_server *w)
{
	http_timer_stop(w->timer);
	MHD_stop_daemon(w->daemon);
	http_timer_free(w->timer);
	free(w);
}

/* Returns the bound address as "ip:port", with the actual port. */
const char *http_server_address(const struct http_server *w)
{
	return w->address;
}

/*
 * Returns the number of open connections, without those excluded by
 * http_request_uncount_conn().
 */
unsigned int http_server_n_connections(struct http_server *w)
{
	return atomic_load(&w->n_connections);
}

/* Returns the sequence number that the next connection will get. */
uint64_t http_server_next_conn_seq(struct http_server *w)
{
	return atomic_load(&w->seq) + 1;
}

/*
 * Excludes the connection of a request from the connection count. Used for
 * replication, whose connections are not subject to the connection limit.
 */
void http_request_uncount_conn(struct http_request *r)
{
	if (r->conn_state->is_uncounted)
		return;
	r->conn_state->is_uncounted = true;
	atomic_fetch_sub(&r->server->n_connections, 1);
}

/*
 * Sets a JSON document as the response and takes ownership of it. The handler
 * must then return.
 */
void http_reply_json(struct http_request *r, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	http_reply_text(r, text ? status : 500, text);
}

/*
 * Sets the response to a status and a body in malloc'ed memory (NULL: an empty
 * body); takes ownership of the body. The handler must then return.
 */
void http_reply_text(struct http_request *r, int status, char *body)
{
	r->status = status;
	r->reply_body = body ? body : xstrdup("");
	r->has_reply = true;
}

/* Closes the connection without a response. The handler must then return. */
void http_request_drop(struct http_request *r)
{
	r->closes_unanswered = true;
	r->has_reply = true;
}

/*
 * Defers a request: "resume" is called on the timer thread at "due"
 * (monotonic), or earlier at the next http_server_wake() if "can_wake" is set.
 * The connection occupies no thread meanwhile. The handler must then return.
 */
void http_request_defer(struct http_request *r, usec_t due, bool can_wake,
			http_handler resume)
{
	r->is_deferred = true;
	r->due = due;
	r->can_wake = can_wake;
	r->resume = resume;
}

/* Resumes now every deferred request that can be woken. */
void http_server_wake(struct http_server *w)
{
	http_timer_wake(w->timer);
}

/*
 * Tells whether the client of a deferred request has closed its end of the
 * connection.
 */
bool http_request_client_is_gone(struct http_request *r)
{
	const union MHD_ConnectionInfo *info;
	char c;

	info = MHD_get_connection_info(r->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!info)
		return true;
	return recv(info->connect_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Returns a query parameter, or NULL. */
const char *http_request_query(struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

/*
 * Returns a query parameter as a number, or "absent" if it is missing or not a
 * number.
 */
uint64_t http_request_query_u64(struct http_request *r, const char *name,
				uint64_t absent)
{
	const char *text = http_request_query(r, name);
	char *end;
	uint64_t n;

	if (!text || *text < '0' || *text > '9')
		return absent;
	n = strtoull(text, &end, 10);
	return *end == '\0' ? n : absent;
}

/* Returns a request header, or NULL. */
const char *http_request_header(struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

/* Returns the monotonic time in microseconds. */
usec_t monotonic_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * (usec_t)USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Returns the wall clock in microseconds since the epoch. */
int64_t wall_clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * (int64_t)USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Parses an IPv4 "ip:port". Returns 0, or -1 with SETTINGS. */
int parse_listen_address(const char *text, struct sockaddr_in *out,
			 struct error *e)
{
	char ip[ADDR_MAX_BYTES];
	const char *colon = strrchr(text, ':');
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return error_set(e, ERR_SETTINGS, STEP_LISTEN, text,
				 "expected ip:port");
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	if (*end || end == colon + 1 || port > UINT16_MAX ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return error_set(e, ERR_SETTINGS, STEP_LISTEN, text,
				 "expected ip:port");
	return 0;
}

/*
 * Handles a callback of libmicrohttpd, which comes for the request head, for
 * each part of the body, at the end of the body and after a resume.
 */
static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct http_request *r = *state;
	struct http_server *w = ctx;

	(void)version;
	if (!r) {
		*state = request_create(w, conn, url, method);
		return MHD_YES;
	}
	if (*len) {
		append_body(r, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (r->has_reply)
		return r->closes_unanswered ? MHD_NO : send_reply(r);
	r->n_wakes = http_timer_n_wakes(w->timer);
	if (r->too_large)
		http_reply_text(r, 413, NULL);
	else
		w->options.handle(r);
	if (r->has_reply)
		return r->closes_unanswered ? MHD_NO : send_reply(r);
	MHD_suspend_connection(conn);
	http_timer_add(w->timer, r);
	return MHD_YES;
}

/* Frees a request after its response was sent or its connection closed. */
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode reason)
{
	struct http_request *r = *state;

	(void)ctx;
	(void)conn;
	(void)reason;
	if (!r)
		return;
	*state = NULL;
	if (r->free_handler_data)
		r->free_handler_data(r->handler_data);
	free(r->url);
	free(r->body);
	free(r->reply_body);
	free(r);
}

/* Counts and numbers a new connection, or frees the state of a closed one. */
static void on_connection(void *ctx, struct MHD_Connection *conn, void **state,
			  enum MHD_ConnectionNotificationCode event)
{
	struct http_server *w = ctx;
	struct http_conn *c;

	(void)conn;
	if (event == MHD_CONNECTION_NOTIFY_STARTED) {
		c = xzalloc(sizeof(*c));
		c->seq = atomic_fetch_add(&w->seq, 1) + 1;
		atomic_fetch_add(&w->n_connections, 1);
		*state = c;
		return;
	}
	c = *state;
	if (!c)
		return;
	if (!c->is_uncounted)
		atomic_fetch_sub(&w->n_connections, 1);
	free(c);
	*state = NULL;
}

/* Asks the accept callback of the options whether to accept a connection. */
static enum MHD_Result on_accept(void *ctx, const struct sockaddr *from,
				 socklen_t len)
{
	struct http_server *w = ctx;

	(void)from;
	(void)len;
	if (!w->options.accept)
		return MHD_YES;
	return w->options.accept(w->options.ctx, atomic_load(&w->n_connections))
		       ? MHD_YES
		       : MHD_NO;
}

/* Returns a request for the connection; on_completed() frees it. */
static struct http_request *request_create(struct http_server *w,
					   struct MHD_Connection *conn,
					   const char *url, const char *method)
{
	const union MHD_ConnectionInfo *info;
	struct http_request *r = xzalloc(sizeof(*r));

	info = MHD_get_connection_info(conn,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	r->server = w;
	r->ctx = w->options.ctx;
	r->conn = conn;
	r->conn_state = info ? info->socket_context : NULL;
	r->method = method;
	r->url = xstrdup(url);
	return r;
}

/* Appends a part to the request body, or marks the request as too large. */
static void append_body(struct http_request *r, const char *data, size_t len)
{
	char *grown;

	if (r->len + len > HTTP_SERVER_BODY_MAX_BYTES) {
		r->too_large = true;
		return;
	}
	if (r->len + len + 1 > r->body_capacity) {
		r->body_capacity = 2 * (r->len + len + 1);
		grown = realloc(r->body, r->body_capacity);
		if (!grown)
			abort();
		r->body = grown;
	}
	memcpy(r->body + r->len, data, len);
	r->len += len;
	r->body[r->len] = '\0';
}

/* Queues the response of a request. */
static enum MHD_Result send_reply(struct http_request *r)
{
	struct MHD_Response *resp;
	enum MHD_Result rc;

	resp = MHD_create_response_from_buffer(
		strlen(r->reply_body), r->reply_body, MHD_RESPMEM_MUST_COPY);
	if (!resp)
		return MHD_NO;
	(void)MHD_add_response_header(resp, "Content-Type", "application/json");
	if (r->etag[0])
		(void)MHD_add_response_header(resp, "ETag", r->etag);
	rc = MHD_queue_response(r->conn, (unsigned int)r->status, resp);
	MHD_destroy_response(resp);
	return rc;
}

/*
 * Stores the address with the port that the kernel chose. Returns 0, or -1
 * with SYSTEM.
 */
static int store_bound_address(struct http_server *w,
			       const struct sockaddr_in *listen_addr,
			       struct error *e)
{
	const union MHD_DaemonInfo *info;
	char ip[INET_ADDRSTRLEN];

	info = MHD_get_daemon_info(w->daemon, MHD_DAEMON_INFO_BIND_PORT);
	if (!info ||
	    !inet_ntop(AF_INET, &listen_addr->sin_addr, ip, sizeof(ip)))
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, w->options.listen,
				 "cannot determine the bound port");
	snprintf(w->address, sizeof(w->address), "%s:%u", ip, info->port);
	return 0;
}
