#include "plugins/caller_http.h"

#include <apr_general.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kernel/address.h"

/* The HTTP server's buffer for the headers of one request. */
#define CONNECTION_MEMORY_BYTES 32768
#define SWEEP_MIN_MS		20
#define SWEEP_MAX_MS		1000
/* The longest time that closing waits for responses to be sent. */
#define FLUSH_MS      500
#define FLUSH_STEP_US 1000

static int open_stripes(struct caller_http *h, struct error *e);
static int open_daemon(struct caller_http *h, struct error *e);
static int start_sweep(struct caller_http *h, struct error *e);
static void destroy(struct caller_http *h);
static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code);
static void *open_connection(struct caller_http *h, struct MHD_Connection *mhd);
static void close_connection(struct caller_conn *c);
static void set_socket_options(const struct caller_http *h, int fd);
static void sweep(void *ctx);
static usec_t sweep_interval_us(const struct caller_http *h);
static void each_connection(struct caller_http *h,
			    void (*fn)(struct caller_conn *c, void *ctx),
			    void *ctx);
static void shutdown_if_slow(struct caller_conn *c, void *ctx);
static void count_exchange(struct caller_conn *c, void *ctx);
static void abandon_exchange(struct caller_conn *c, void *ctx);
static uint32_t count_exchanges(struct caller_http *h);
static void discard_log(void *cls, const char *fmt, va_list ap);

/*
 * Opens the callers' HTTP server and writes the bound port to the settings;
 * returns NULL on failure.
 */
struct caller_http *caller_http_open(struct kernel *k,
				     const struct caller_ops *ops,
				     struct error *e)
{
	struct caller_http *h = calloc(1, sizeof(*h));

	if (!h) {
		error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL, "no memory");
		return NULL;
	}
	h->kernel = k;
	h->ops = *ops;
	h->limits = (struct caller_limits){
		.deadline_default_ms = k->settings.deadline_default_ms,
		.deadline_max_ms = k->settings.deadline_max_ms,
	};
	if (open_stripes(h, e) == -1 || start_sweep(h, e) == -1 ||
	    open_daemon(h, e) == -1) {
		destroy(h);
		return NULL;
	}
	return h;
}

/* Returns whether no request is being handled. */
bool caller_http_idle(struct caller_http *h)
{
	return count_exchanges(h) == 0;
}

/*
 * Refuses new requests, responds to running ones with "unknown" and closes all
 * connections once the responses were sent or FLUSH_MS has passed. It does not
 * stop listening first with MHD_quiesce_daemon(): that races with the server's
 * threads over their epoll sets, which ends the process.
 */
void caller_http_close(struct caller_http *h)
{
	int waited_us;

	__atomic_store_n(&h->closing, true, __ATOMIC_SEQ_CST);
	for (waited_us = 0; waited_us < FLUSH_MS * USEC_PER_MSEC;
	     waited_us += FLUSH_STEP_US) {
		each_connection(h, abandon_exchange, NULL);
		if (count_exchanges(h) == 0)
			break;
		usleep(FLUSH_STEP_US);
	}
	loop_stop(h->loop);
	destroy(h);
}

/* Creates the locks of the stripes. */
static int open_stripes(struct caller_http *h, struct error *e)
{
	int i;

	if (apr_initialize() != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "cannot initialise APR");
	if (apr_pool_create(&h->pool, NULL) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL, "no memory");
	for (i = 0; i < CALLER_STRIPES; i++) {
		if (apr_thread_mutex_create(&h->stripes[i].lock,
					    APR_THREAD_MUTEX_DEFAULT,
					    h->pool) != APR_SUCCESS)
			return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
					 "cannot create a lock");
	}
	return 0;
}

/* Starts the HTTP server: a pool of threads, each with its own epoll set. */
static int open_daemon(struct caller_http *h, struct error *e)
{
	struct settings *s = &h->kernel->settings;
	const unsigned int idle_s = s->caller_idle_ms / 1000 + 1;
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
	const union MHD_DaemonInfo *info;
	struct sockaddr_storage sa;
	socklen_t len;

	if (!address_parse(s->caller_listen, &sa, &len))
		return error_set(e, ERR_SETTINGS, STEP_LISTEN, s->caller_listen,
				 "not an address");
	if (sa.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	h->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, caller_request_handle, h,
		MHD_OPTION_EXTERNAL_LOGGER, discard_log, NULL,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
		MHD_OPTION_THREAD_POOL_SIZE,
		s->caller_threads > 1 ? s->caller_threads : 0,
		MHD_OPTION_CONNECTION_LIMIT, s->caller_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
		caller_request_begin, h, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, h, MHD_OPTION_NOTIFY_COMPLETED,
		caller_request_end, h, MHD_OPTION_END);
	if (!h->daemon)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, s->caller_listen,
				 "cannot listen for callers: %m");
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT);
	if (!info)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, s->caller_listen,
				 "bound port unknown");
	address_set_port(s->caller_listen, info->port);
	return 0;
}

/* Starts the loop thread and timer that close connections of slow callers. */
static int start_sweep(struct caller_http *h, struct error *e)
{
	h->loop = loop_create("callers", e);
	if (!h->loop)
		return -1;
	h->sweep = (struct loop_timer){ .fn = sweep, .ctx = h };
	loop_timer_set(h->loop, &h->sweep, clock_now() + sweep_interval_us(h));
	return loop_start(h->loop, e);
}

/* Stops the server, whose callbacks use the other members; then frees those. */
static void destroy(struct caller_http *h)
{
	if (h->daemon)
		MHD_stop_daemon(h->daemon);
	if (h->loop) {
		loop_stop(h->loop);
		loop_destroy(h->loop);
	}
	if (h->pool)
		apr_pool_destroy(h->pool);
	free(h);
}

/* Connection callback of the HTTP server, at a connection's start and end. */
static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*ctx = open_connection(cls, mhd);
	else if (*ctx)
		close_connection(*ctx);
}

/* Adds a new connection to a stripe; returns NULL if memory is short. */
static void *open_connection(struct caller_http *h, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info;
	struct caller_conn *c = calloc(1, sizeof(*c));
	uint32_t index =
		__atomic_fetch_add(&h->next_stripe, 1, __ATOMIC_RELAXED);

	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!c || !info) {
		free(c);
		return NULL;
	}
	c->fd = info->connect_fd;
	c->waiting_since = clock_now();
	c->stripe = &h->stripes[index % CALLER_STRIPES];
	set_socket_options(h, c->fd);
	apr_thread_mutex_lock(c->stripe->lock);
	c->next = c->stripe->first;
	if (c->next)
		c->next->prev = c;
	c->stripe->first = c;
	apr_thread_mutex_unlock(c->stripe->lock);
	return c;
}

/* Removes a connection from its stripe before the server closes its socket. */
static void close_connection(struct caller_conn *c)
{
	apr_thread_mutex_lock(c->stripe->lock);
	if (c->prev)
		c->prev->next = c->next;
	else
		c->stripe->first = c->next;
	if (c->next)
		c->next->prev = c->prev;
	apr_thread_mutex_unlock(c->stripe->lock);
	free(c);
}

/* Makes the operating system detect callers that vanished without closing. */
static void set_socket_options(const struct caller_http *h, int fd)
{
	const int on = 1;
	const unsigned int limit_ms = h->kernel->settings.caller_idle_ms;

	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
			 sizeof(limit_ms));
}

/* Closes connections whose caller sends or receives too slowly; loop thread. */
static void sweep(void *ctx)
{
	struct caller_http *h = ctx;
	usec_t now = clock_now();
	usec_t oldest = now - (usec_t)h->kernel->settings.caller_idle_ms *
				      USEC_PER_MSEC;

	each_connection(h, shutdown_if_slow, &oldest);
	loop_timer_set(h->loop, &h->sweep, now + sweep_interval_us(h));
}

/* Returns the time between sweeps: 1/4 of the idle time, within bounds. */
static usec_t sweep_interval_us(const struct caller_http *h)
{
	uint32_t ms = h->kernel->settings.caller_idle_ms / 4;

	if (ms < SWEEP_MIN_MS)
		ms = SWEEP_MIN_MS;
	if (ms > SWEEP_MAX_MS)
		ms = SWEEP_MAX_MS;
	return (usec_t)ms * USEC_PER_MSEC;
}

/* Calls "fn" for each connection, with the lock of its stripe held. */
static void each_connection(struct caller_http *h,
			    void (*fn)(struct caller_conn *c, void *ctx),
			    void *ctx)
{
	struct caller_conn *c;
	int i;

	for (i = 0; i < CALLER_STRIPES; i++) {
		apr_thread_mutex_lock(h->stripes[i].lock);
		for (c = h->stripes[i].first; c; c = c->next)
			fn(c, ctx);
		apr_thread_mutex_unlock(h->stripes[i].lock);
	}
}

/*
 * Shuts a slow connection down; the server then reads the end of the stream and
 * closes it.
 */
static void shutdown_if_slow(struct caller_conn *c, void *ctx)
{
	const usec_t *oldest = ctx;
	usec_t waiting_since =
		__atomic_load_n(&c->waiting_since, __ATOMIC_RELAXED);

	if (waiting_since && waiting_since < *oldest)
		(void)shutdown(c->fd, SHUT_RDWR);
}

/* Counts a connection if it has a request whose headers have arrived. */
static void count_exchange(struct caller_conn *c, void *ctx)
{
	uint32_t *n = ctx;

	if (c->exchange &&
	    __atomic_load_n(&c->exchange->phase, __ATOMIC_ACQUIRE) !=
		    EXCHANGE_HEADERS)
		(*n)++;
}

/* Ends a connection's wait for the engine. */
static void abandon_exchange(struct caller_conn *c, void *ctx)
{
	(void)ctx;
	if (c->exchange)
		caller_request_abandon(c->exchange);
}

/* Returns the number of requests being handled. */
static uint32_t count_exchanges(struct caller_http *h)
{
	uint32_t n = 0;

	each_connection(h, count_exchange, &n);
	return n;
}

/*
 * Discards the HTTP server's own log messages: they concern single callers,
 * which the counters cover.
 */
static void discard_log(void *cls, const char *fmt, va_list ap)
{
	(void)cls;
	(void)fmt;
	(void)ap;
}
