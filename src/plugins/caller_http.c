#include "plugins/caller_http.h"

#include <apr_general.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kernel/address.h"

/* What the HTTP server may hold of one request's head. */
#define CONNECTION_MEMORY_BYTES 32768
#define SWEEP_MIN_MS		20
#define SWEEP_MAX_MS		1000
/* How long a stop waits for answers to be handed to the sockets. */
#define FLUSH_MS      500
#define FLUSH_STEP_US 1000

static int open_stripes(struct caller_http *h, struct error *e);
static int open_daemon(struct caller_http *h, struct error *e);
static int open_sweep(struct caller_http *h, struct error *e);
static void destroy(struct caller_http *h);
static void note_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			    enum MHD_ConnectionNotificationCode code);
static void *open_connection(struct caller_http *h, struct MHD_Connection *mhd);
static void close_connection(struct caller_conn *c);
static void set_socket_options(const struct caller_http *h, int fd);
static void sweep(void *ctx);
static usec_t sweep_interval(const struct caller_http *h);
static void each_connection(struct caller_http *h,
			    void (*fn)(struct caller_conn *c, void *ctx),
			    void *ctx);
static void shut_if_slow(struct caller_conn *c, void *ctx);
static void count_exchange(struct caller_conn *c, void *ctx);
static void abandon_exchange(struct caller_conn *c, void *ctx);
static uint32_t exchanges(struct caller_http *h);
static void quiet(void *cls, const char *fmt, va_list ap);

/* Listens for callers and writes the bound address into the settings. */
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
	if (open_stripes(h, e) == -1 || open_sweep(h, e) == -1 ||
	    open_daemon(h, e) == -1) {
		destroy(h);
		return NULL;
	}
	return h;
}

/* Tells whether no request of a caller is under way. */
bool caller_http_idle(struct caller_http *h)
{
	return exchanges(h) == 0;
}

/*
 * Refuses what arrives, answers what still runs with "unknown", and closes all
 * connections once the answers have left or FLUSH_MS has passed. The server's
 * own way to stop listening first, MHD_quiesce_daemon(), is not used: it races
 * with the server's threads over their epoll sets and then ends the process.
 */
void caller_http_close(struct caller_http *h)
{
	int waited_us;

	__atomic_store_n(&h->closing, true, __ATOMIC_SEQ_CST);
	for (waited_us = 0; waited_us < FLUSH_MS * USEC_PER_MSEC;
	     waited_us += FLUSH_STEP_US) {
		each_connection(h, abandon_exchange, NULL);
		if (exchanges(h) == 0)
			break;
		usleep(FLUSH_STEP_US);
	}
	loop_stop(h->loop);
	destroy(h);
}

/* Makes the parts among which the connections are divided. */
static int open_stripes(struct caller_http *h, struct error *e)
{
	int i;

	if (apr_initialize() != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "APR cannot be used");
	if (apr_pool_create(&h->pool, NULL) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL, "no memory");
	for (i = 0; i < CALLER_STRIPES; i++) {
		if (apr_thread_mutex_create(&h->stripes[i].lock,
					    APR_THREAD_MUTEX_DEFAULT,
					    h->pool) != APR_SUCCESS)
			return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
					 "no lock");
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
		flags, 0, NULL, NULL, caller_request_step, h,
		MHD_OPTION_EXTERNAL_LOGGER, quiet, NULL, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&sa, MHD_OPTION_THREAD_POOL_SIZE,
		s->caller_threads > 1 ? s->caller_threads : 0,
		MHD_OPTION_CONNECTION_LIMIT, s->caller_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
		caller_request_begin, h, MHD_OPTION_NOTIFY_CONNECTION,
		note_connection, h, MHD_OPTION_NOTIFY_COMPLETED,
		caller_request_end, h, MHD_OPTION_END);
	if (!h->daemon)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, s->caller_listen,
				 "cannot listen for callers: %m");
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT);
	if (!info)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, s->caller_listen,
				 "no port");
	address_set_port(s->caller_listen, info->port);
	return 0;
}

/* Starts the thread that closes connections of slow callers. */
static int open_sweep(struct caller_http *h, struct error *e)
{
	h->loop = loop_create("callers", e);
	if (!h->loop)
		return -1;
	h->sweep = (struct loop_timer){ .fn = sweep, .ctx = h };
	loop_timer_set(h->loop, &h->sweep, clock_now() + sweep_interval(h));
	return loop_start(h->loop, e);
}

/* Frees what was opened; the server first, since its callbacks use the rest. */
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

/* The server tells of a connection's start and end. */
static void note_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			    enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*ctx = open_connection(cls, mhd);
	else if (*ctx)
		close_connection(*ctx);
}

/* Puts a new connection on a stripe's list; NULL without memory. */
static void *open_connection(struct caller_http *h, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info;
	struct caller_conn *c = calloc(1, sizeof(*c));
	uint32_t turn =
		__atomic_fetch_add(&h->next_stripe, 1, __ATOMIC_RELAXED);

	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!c || !info) {
		free(c);
		return NULL;
	}
	c->fd = info->connect_fd;
	c->since = clock_now();
	c->stripe = &h->stripes[turn % CALLER_STRIPES];
	set_socket_options(h, c->fd);
	apr_thread_mutex_lock(c->stripe->lock);
	c->next = c->stripe->first;
	if (c->next)
		c->next->prev = c;
	c->stripe->first = c;
	apr_thread_mutex_unlock(c->stripe->lock);
	return c;
}

/* Takes a connection off its list, before the server closes its socket. */
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

/* Lets the system notice callers that are gone without a word. */
static void set_socket_options(const struct caller_http *h, int fd)
{
	const int on = 1;
	const unsigned int limit_ms = h->kernel->settings.caller_idle_ms;

	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
			 sizeof(limit_ms));
}

/* Shuts connections whose caller sends or takes too slowly. Loop thread. */
static void sweep(void *ctx)
{
	struct caller_http *h = ctx;
	usec_t now = clock_now();
	usec_t oldest = now - (usec_t)h->kernel->settings.caller_idle_ms *
				      USEC_PER_MSEC;

	each_connection(h, shut_if_slow, &oldest);
	loop_timer_set(h->loop, &h->sweep, now + sweep_interval(h));
}

/* A quarter of the idle time, within bounds. */
static usec_t sweep_interval(const struct caller_http *h)
{
	uint32_t ms = h->kernel->settings.caller_idle_ms / 4;

	if (ms < SWEEP_MIN_MS)
		ms = SWEEP_MIN_MS;
	if (ms > SWEEP_MAX_MS)
		ms = SWEEP_MAX_MS;
	return (usec_t)ms * USEC_PER_MSEC;
}

/* Calls fn for each connection, its stripe's lock held. */
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

/* The server then reads the end of the stream and closes the connection. */
static void shut_if_slow(struct caller_conn *c, void *ctx)
{
	const usec_t *oldest = ctx;
	usec_t since = __atomic_load_n(&c->since, __ATOMIC_RELAXED);

	if (since && since < *oldest)
		(void)shutdown(c->fd, SHUT_RDWR);
}

/* Counts the connections that have a request whose head has arrived. */
static void count_exchange(struct caller_conn *c, void *ctx)
{
	uint32_t *n = ctx;

	if (c->exchange && __atomic_load_n(&c->exchange->phase,
					   __ATOMIC_ACQUIRE) != EXCHANGE_HEAD)
		(*n)++;
}

/* Ends the wait for the engine. */
static void abandon_exchange(struct caller_conn *c, void *ctx)
{
	(void)ctx;
	if (c->exchange)
		caller_request_abandon(c->exchange);
}

/* Returns how many requests are under way. */
static uint32_t exchanges(struct caller_http *h)
{
	uint32_t n = 0;

	each_connection(h, count_exchange, &n);
	return n;
}

/* The server's own messages are about single callers; counters tell those. */
static void quiet(void *cls, const char *fmt, va_list ap)
{
	(void)cls;
	(void)fmt;
	(void)ap;
}
