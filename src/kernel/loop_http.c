#include "kernel/loop_internal.h"

#include <apr_portable.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define IDLE_HANDLES_MAX       256
#define CONNECTIONS_CACHED_MAX 4096L
#define REPLY_CAPACITY_MIN     1024
#define KEEPALIVE_S	       10L
#define USER_TIMEOUT_MS	       5000
/* Probes without an answer that close a connection with a keep-alive of its
 * own. */
#define KEEPALIVE_PROBES 1L

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *socket_ctx);
static int on_curl_timeout(CURLM *multi, long ms, void *ctx);
static void on_timer(void *ctx);
static size_t on_reply(char *data, size_t size, size_t n, void *ctx);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static void read_number(struct http_call *c, const char *data, size_t len);
static size_t on_body_read(char *buf, size_t size, size_t n, void *ctx);
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose);
static int on_socket_closed(void *ctx, curl_socket_t fd);
static CURL *acquire_handle(struct loop *l);
static void release_handle(struct loop *l, CURL *easy);
static int configure_handle(struct loop *l, struct http_call *c, CURL *easy);
static int set_body(struct http_call *c, CURL *easy);
static int add_header(struct http_call *c, const char *line);
static void complete_calls(struct loop *l);
static void finish(struct loop *l, struct http_call *c, CURLcode rc);
static long detach(struct loop *l, struct http_call *c);
static struct loop_socket *socket_of(struct loop *l, curl_socket_t fd);

/* Initialises the loop's HTTP client. */
int loop_http_open(struct loop *l, struct error *e)
{
	if (curl_global_init(CURL_GLOBAL_ALL))
		return error_set(e, ERR_SYSTEM, STEP_NONE, l->name,
				 "cannot initialise the HTTP library");
	l->multi = curl_multi_init();
	l->sockets = calloc(LOOP_FDS_MAX, sizeof(struct loop_socket *));
	l->idle_handles = calloc(IDLE_HANDLES_MAX, sizeof(CURL *));
	if (!l->multi || !l->sockets || !l->idle_handles)
		return error_set(e, ERR_SYSTEM, STEP_NONE, l->name,
				 "out of memory");
	l->curl_timer.fn = on_timer;
	l->curl_timer.ctx = l;
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERFUNCTION, on_curl_timeout);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_MAXCONNECTS,
			  CONNECTIONS_CACHED_MAX);
	curl_multi_setopt(l->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return 0;
}

/* Fails all calls in progress and frees the HTTP client. */
void loop_http_close(struct loop *l)
{
	uint32_t i;

	while (l->calls)
		finish(l, l->calls, CURLE_ABORTED_BY_CALLBACK);
	for (i = 0; i < l->n_idle_handles; i++)
		curl_easy_cleanup(l->idle_handles[i]);
	l->n_idle_handles = 0;
	if (l->multi)
		curl_multi_cleanup(l->multi);
	l->multi = NULL;
	for (i = 0; l->sockets && i < LOOP_FDS_MAX; i++)
		free(l->sockets[i]);
	free(l->sockets);
	l->sockets = NULL;
	free(l->idle_handles);
	l->idle_handles = NULL;
}

/*
 * Starts a call. done() is called later, never from within, except on a loop
 * that has ended or if the call cannot be started.
 */
void loop_http(struct loop *l, struct http_call *c)
{
	CURL *easy;

	c->status = 0;
	c->sent = false;
	c->timed_out = false;
	c->fell_silent = false;
	c->reply = NULL;
	c->reply_len = 0;
	c->reply_capacity = 0;
	c->body_sent = 0;
	c->headers = NULL;
	c->easy = NULL;
	c->etag[0] = '\0';
	c->header_number = 0;
	c->error_text[0] = '\0';
	c->next = l->calls;
	c->pprev = &l->calls;
	if (c->next)
		c->next->pprev = &c->next;
	l->calls = c;
	easy = l->multi ? acquire_handle(l) : NULL;
	if (!easy) {
		finish(l, c, CURLE_OUT_OF_MEMORY);
		return;
	}
	c->easy = easy;
	if (configure_handle(l, c, easy) ||
	    curl_multi_add_handle(l->multi, easy) != CURLM_OK)
		finish(l, c, CURLE_FAILED_INIT);
}

/* Ends a call in progress; see the header. */
void loop_http_cancel(struct loop *l, struct http_call *c)
{
	(void)detach(l, c);
	free(c->reply);
	c->reply = NULL;
	c->reply_len = 0;
}

/*
 * Shuts the idle connections down; curl finds them closed when it would use
 * them. It polls the sockets of calls in progress only.
 */
void loop_http_close_idle(struct loop *l)
{
	curl_socket_t fd;

	for (fd = 0; l->sockets && fd < LOOP_FDS_MAX; fd++) {
		const struct loop_socket *s = l->sockets[fd];

		if (s && s->is_open && !s->polled)
			(void)shutdown(fd, SHUT_RDWR);
	}
}

/* Tells curl which events a socket is ready for. */
void loop_http_ready(struct loop *l, const apr_pollfd_t *fd)
{
	struct loop_socket *s = fd->client_data;
	curl_socket_t d;
	int what = 0, running;

	apr_os_sock_get(&d, s->socket);
	if (fd->rtnevents & APR_POLLIN)
		what |= CURL_CSELECT_IN;
	if (fd->rtnevents & APR_POLLOUT)
		what |= CURL_CSELECT_OUT;
	if (fd->rtnevents & (APR_POLLERR | APR_POLLHUP))
		what |= CURL_CSELECT_ERR;
	curl_multi_socket_action(l->multi, d, what, &running);
	complete_calls(l);
}

/* Polls a socket for the events that curl asks for. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *socket_ctx)
{
	struct loop *l = ctx;
	struct loop_socket *s = socket_of(l, fd);
	apr_int16_t events = 0;

	(void)easy;
	(void)socket_ctx;
	if (!s)
		return -1;
	if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
		events |= APR_POLLIN;
	if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
		events |= APR_POLLOUT;
	if (s->polled)
		apr_pollset_remove(l->pollset, &s->poll);
	s->polled = false;
	if (what == CURL_POLL_REMOVE)
		return 0;
	s->poll.reqevents = events;
	s->polled = apr_pollset_add(l->pollset, &s->poll) == APR_SUCCESS;
	s->is_open = true;
	return s->polled ? 0 : -1;
}

/*
 * Returns the loop's record of a descriptor; NULL if it is out of range or
 * memory is short.
 */
static struct loop_socket *socket_of(struct loop *l, curl_socket_t fd)
{
	struct loop_socket *s;

	if (fd < 0 || fd >= LOOP_FDS_MAX)
		return NULL;
	s = l->sockets[fd];
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	if (apr_os_sock_put(&s->socket, &fd, l->pool) != APR_SUCCESS) {
		free(s);
		return NULL;
	}
	s->poll = (apr_pollfd_t){
		.p = l->pool,
		.desc_type = APR_POLL_SOCKET,
		.desc.s = s->socket,
		.client_data = s,
	};
	l->sockets[fd] = s;
	return s;
}

/* Sets the time when curl wants to be called next; -1 is never. */
static int on_curl_timeout(CURLM *multi, long ms, void *ctx)
{
	struct loop *l = ctx;

	(void)multi;
	if (ms < 0)
		loop_timer_clear(l, &l->curl_timer);
	else
		loop_timer_set(l, &l->curl_timer,
			       clock_now() + ms * USEC_PER_MSEC);
	return 0;
}

/* Calls curl after its timer has fired. */
static void on_timer(void *ctx)
{
	struct loop *l = ctx;
	int running;

	if (!l->multi)
		return;
	curl_multi_socket_action(l->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	complete_calls(l);
}

/* Returns an idle handle or creates one. */
static CURL *acquire_handle(struct loop *l)
{
	if (l->n_idle_handles)
		return l->idle_handles[--l->n_idle_handles];
	return curl_easy_init();
}

/* Keeps a handle for the next call, or frees it if enough are kept. */
static void release_handle(struct loop *l, CURL *easy)
{
	if (!l->idle_handles || l->n_idle_handles == IDLE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	l->idle_handles[l->n_idle_handles++] = easy;
}

/* Sets a handle's options for a call; -1 if one is rejected. */
static int configure_handle(struct loop *l, struct http_call *c, CURL *easy)
{
	char line[HTTP_AUTH_BYTES + 32];
	long ms = (long)(c->timeout / USEC_PER_MSEC);
	size_t i;

	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_reply);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, c);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_closed);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, l);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE,
			 c->keepalive_s ? c->keepalive_s : KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL,
			 c->keepalive_s ? c->keepalive_s : KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ms > 0 ? ms : 1L);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 c->new_connection ? 1L : 0L);
	if (curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http") ||
	    curl_easy_setopt(easy, CURLOPT_URL, c->url))
		return -1;
	if (c->if_match[0]) {
		snprintf(line, sizeof(line), "If-Match: \"%s\"", c->if_match);
		if (add_header(c, line))
			return -1;
	}
	if (c->if_none_match && add_header(c, "If-None-Match: *"))
		return -1;
	if (c->authorization[0]) {
		snprintf(line, sizeof(line), "Authorization: Bearer %s",
			 c->authorization);
		if (add_header(c, line))
			return -1;
	}
	for (i = 0; i < HTTP_EXTRA_HEADERS_MAX; i++) {
		if (c->extra_headers[i][0] &&
		    add_header(c, c->extra_headers[i]))
			return -1;
	}
	if (c->body && set_body(c, easy))
		return -1;
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, c->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, c->headers);
	return 0;
}

/*
 * Sets the body. Curl resends a request by itself when a reused connection
 * turns out to be closed, although the request may have been executed. A body
 * that is read through a callback and cannot be rewound prevents that.
 */
static int set_body(struct http_call *c, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)c->body_len);
	if (c->send_once) {
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_body_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, c);
	} else {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, c->body);
	}
	if (add_header(c, "Expect:"))
		return -1;
	return add_header(c, "Content-Type: application/json");
}

/* Adds a header line to a call; -1 if memory is short. */
static int add_header(struct http_call *c, const char *line)
{
	struct curl_slist *list = curl_slist_append(c->headers, line);

	if (!list)
		return -1;
	c->headers = list;
	return 0;
}

/*
 * Sets the time after which unacknowledged data, or with a keep-alive of the
 * call's own an unanswered probe, closes the connection.
 */
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const struct http_call *c = ctx;
	unsigned int ms = USER_TIMEOUT_MS;
	const int probes = KEEPALIVE_PROBES;

	(void)purpose;
	if (c->unacked_max)
		ms = (unsigned int)(c->unacked_max / USEC_PER_MSEC);
	if (setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms)))
		return CURL_SOCKOPT_ERROR;
	if (c->keepalive_s &&
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)))
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

/* Closes a socket for curl. */
static int on_socket_closed(void *ctx, curl_socket_t fd)
{
	struct loop *l = ctx;

	if (l->sockets && fd >= 0 && fd < LOOP_FDS_MAX && l->sockets[fd])
		l->sockets[fd]->is_open = false;
	return close(fd);
}

/* Passes the body to curl once. Once it is read, returns 0. */
static size_t on_body_read(char *buf, size_t size, size_t n, void *ctx)
{
	struct http_call *c = ctx;
	size_t left = c->body_len - c->body_sent;
	size_t capacity = size * n;
	size_t len = left < capacity ? left : capacity;

	if (len == 0)
		return 0;
	memcpy(buf, c->body + c->body_sent, len);
	c->body_sent += len;
	return len;
}

/* Appends data to the reply. A reply over reply_max fails the call. */
static size_t on_reply(char *data, size_t size, size_t n, void *ctx)
{
	struct http_call *c = ctx;
	size_t len = size * n, capacity;
	char *p;

	if (len > c->reply_max - c->reply_len)
		return 0;
	if (c->reply_len + len + 1 > c->reply_capacity) {
		capacity = c->reply_capacity ? c->reply_capacity
					     : REPLY_CAPACITY_MIN;
		while (capacity < c->reply_len + len + 1)
			capacity *= 2;
		p = realloc(c->reply, capacity);
		if (!p)
			return 0;
		c->reply = p;
		c->reply_capacity = capacity;
	}
	memcpy(c->reply + c->reply_len, data, len);
	c->reply_len += len;
	c->reply[c->reply_len] = '\0';
	return len;
}

/* Extracts the entity tag and the requested number from the headers. */
static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct http_call *c = ctx;
	size_t len = size * n, i, k = 0;

	if (c->number_header)
		read_number(c, data, len);
	if (len < 5 || strncasecmp(data, "etag:", 5) != 0)
		return len;
	for (i = 5; i < len && k + 1 < sizeof(c->etag); i++) {
		if (data[i] >= '0' && data[i] <= '9')
			c->etag[k++] = data[i];
	}
	c->etag[k] = '\0';
	return len;
}

/*
 * Takes the number of the header line "data" if it is the requested header. A
 * value that is no decimal number, or too large, is taken as 0.
 */
static void read_number(struct http_call *c, const char *data, size_t len)
{
	size_t i = strlen(c->number_header);
	uint64_t number = 0;

	if (len <= i || data[i] != ':' ||
	    strncasecmp(data, c->number_header, i) != 0)
		return;
	for (i++; i < len && (data[i] == ' ' || data[i] == '\t'); i++)
		;
	for (; i < len && data[i] >= '0' && data[i] <= '9'; i++) {
		if (number > (UINT64_MAX - 9) / 10)
			return;
		number = number * 10 + (uint64_t)(data[i] - '0');
	}
	for (; i < len; i++) {
		if (data[i] != ' ' && data[i] != '\t' && data[i] != '\r' &&
		    data[i] != '\n')
			return;
	}
	c->header_number = number;
}

/* Completes the calls that curl has finished. */
static void complete_calls(struct loop *l)
{
	struct http_call *c;
	CURLMsg *m;
	CURLcode rc;
	int left;

	while (l->multi && (m = curl_multi_info_read(l->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		rc = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish(l, c, rc);
	}
}

/* Takes a call's result from curl and returns the call to its owner. */
static void finish(struct loop *l, struct http_call *c, CURLcode rc)
{
	long os_error = 0;
	long status;
	char *reply;

	if (c->easy)
		curl_easy_getinfo(c->easy, CURLINFO_OS_ERRNO, &os_error);
	status = detach(l, c);
	if (rc == CURLE_OK) {
		c->status = (int)status;
	} else {
		c->timed_out = rc == CURLE_OPERATION_TIMEDOUT;
		c->fell_silent = !c->timed_out && os_error == ETIMEDOUT;
		snprintf(c->error_text, sizeof(c->error_text), "%s",
			 curl_easy_strerror(rc));
	}
	reply = c->reply;
	c->done(c);
	free(reply);
}

/* Takes a call from curl and the list of calls; returns its HTTP status. */
static long detach(struct loop *l, struct http_call *c)
{
	long status = 0, size = 0;

	*c->pprev = c->next;
	if (c->next)
		c->next->pprev = c->pprev;
	if (c->easy) {
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &size);
		c->sent = c->send_once ? c->body_sent > 0 : size > 0;
		curl_multi_remove_handle(l->multi, c->easy);
		release_handle(l, c->easy);
		c->easy = NULL;
	}
	curl_slist_free_all(c->headers);
	c->headers = NULL;
	return status;
}
