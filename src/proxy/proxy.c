#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/platform.h"
#include "kernel/plugin.h"
#include "proxy/proxy_internal.h"

/*
 * Interval of the periodic work. Retries and timeouts are late by up to this
 * much.
 */
#define TICK_INTERVAL_US  (25 * USEC_PER_MSEC)
#define METRICS_MAX_BYTES 65536
#define LISTEN_BACKLOG	  512
/* A stopping VM replies to all open statements this long before its deadline.
 */
#define FINAL_REPLY_US (500 * USEC_PER_MSEC)

/* Work queued by other threads for the proxy's thread. */
struct proxy_job {
	void (*fn)(void *ctx);
	void *ctx;
	struct proxy_job *next;
};

struct proxy_inbox {
	apr_thread_mutex_t *lock;
	struct proxy_job *first;
	struct proxy_job **last;
	int fd;
	struct event *readable;
	apr_thread_t *thread;
	apr_pool_t *pool;
};

static struct proxy proxy;
static struct proxy_inbox inbox;

static int start(struct kernel *k, struct error *e);
static void drain(struct kernel *k);
static bool drained(struct kernel *k);
static void stop(struct kernel *k);
static int open_inbox(struct proxy *p, struct error *e);
static int open_listeners(struct proxy *p, struct error *e);
static struct evhttp *open_http(struct proxy *p, char *address,
				void (*fn)(struct evhttp_request *, void *),
				struct error *e);
static void *APR_THREAD_FUNC run_loop(apr_thread_t *t, void *ctx);
static void on_inbox(evutil_socket_t fd, short what, void *ctx);
static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx);
static void on_ready_probe(struct evhttp_request *req, void *ctx);
static void on_metrics(struct evhttp_request *req, void *ctx);
static void on_tick(evutil_socket_t fd, short what, void *ctx);
static void drain_sessions(struct proxy *p, usec_t now);
static void start_registry(void *ctx);
static void stop_loop(void *ctx);

static struct plugin plugin = {
	.name = "proxy",
	.rank = RANK_CALLER,
	.form = FORM_SESSIONS,
	.start = start,
	.drain = drain,
	.drained = drained,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

static const struct proxy_policy policy = {
	/*
	 * Validity of a proof of the primary: see db_group_proof.c. Under load
	 * the log positions in replies renew the proof several times in 100 ms.
	 * A promotion waits for this time once.
	 */
	.guard = 600 * USEC_PER_MSEC,
	/*
	 * The handshake occupies one of the database's execution slots for 12
	 * ms, and first waits for a slot if all are busy.
	 */
	.connect_timeout = USEC_PER_SEC,
	/*
	 * A full database usually stays full for about the duration of a
	 * statement.
	 */
	.full_backoff = 50 * USEC_PER_MSEC,
	.silence_timeout = 600 * USEC_PER_MSEC,
	.registry_fast_interval = 200 * USEC_PER_MSEC,
	/*
	 * A configuration has to be in force within 3 s: half of that for
	 * finding it, half for reading and spreading it.
	 */
	.catalog_poll = {
		.min_age = 800 * USEC_PER_MSEC,
		.spread = 700 * USEC_PER_MSEC,
	},
	/*
	 * The failover of a departing primary has to begin within 0.7 s, and
	 * takes up to 0.2 s from the list that tells of the departure. VMs
	 * count on hearing of a list without a lapsed entry within 2 s.
	 */
	.list_poll = {
		.min_age = 200 * USEC_PER_MSEC,
		.spread = 300 * USEC_PER_MSEC,
	},
	/*
	 * In a large fleet more VMs list before they hear of the first: with
	 * the times above 63 VMs made 246 calls more on a calm day, of 665.
	 */
	.list_poll_large = {
		.min_age = 400 * USEC_PER_MSEC,
		.spread = 600 * USEC_PER_MSEC,
	},
	.costs = {
		/* The handshake in a slot, and three one-way network delays. */
		.open = 16 * USEC_PER_MSEC,
		.evict = 24 * USEC_PER_MSEC,
		.remote = 6 * USEC_PER_MSEC,
		.behind = 20 * USEC_PER_MSEC,
		/*
		 * Only the primary runs writes, so a read goes there when the
		 * replicas' queues are longer by several statements.
		 */
		.primary_latencies = 4,
	},
};

/*
 * Returns the time of a clock that also runs while the VM is suspended, in
 * microseconds.
 */
usec_t proxy_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Returns a random number. Several are drawn at a time. */
uint64_t proxy_random(struct proxy *p)
{
	if (p->random_left == 0) {
		randombytes_buf(p->random, sizeof(p->random));
		p->random_left = sizeof(p->random) / sizeof(p->random[0]);
	}
	return p->random[--p->random_left];
}

/*
 * Returns a number from 0 to 1 with 53 random bits, as many as a double holds.
 */
double proxy_random_unit(struct proxy *p)
{
	return (double)(proxy_random(p) >> 11) / 9007199254740992.0;
}

/* Returns true if this VM can serve new callers. */
bool proxy_is_ready(const struct proxy *p)
{
	return !p->draining && proxy_can_execute(p) && p->limits_known &&
	       registry_evacuations_known(p->registry);
}

/*
 * Returns true if this VM knows the configuration, the databases and the VMs.
 * Others take it for an owner then. That does not wait for the evacuations:
 * after a start of all VMs each would take itself for the owner of all proofs
 * meanwhile, and open a connection to each database.
 */
bool proxy_can_execute(const struct proxy *p)
{
	return p->catalog && p->databases_known && p->vms_known;
}

/*
 * Returns the number of VMs that share the databases' connections, this one
 * included.
 */
uint32_t proxy_fleet_size(const struct proxy *p)
{
	return heartbeat_n_peers(p->heartbeat) + 1;
}

/*
 * Queues work for the proxy's thread. If memory is short, the work is lost and
 * that is logged.
 */
void proxy_post(struct proxy *p, void (*fn)(void *ctx), void *ctx)
{
	struct proxy_inbox *in = p->inbox;
	struct proxy_job *j = calloc(1, sizeof(*j));
	const uint64_t one = 1;

	if (!j) {
		log_event(EV_VM_FAIL, "reason=\"no memory for an answer\"");
		return;
	}
	j->fn = fn;
	j->ctx = ctx;
	apr_thread_mutex_lock(in->lock);
	*in->last = j;
	in->last = &j->next;
	apr_thread_mutex_unlock(in->lock);
	if (write(in->fd, &one, sizeof(one)) == -1)
		log_event(EV_VM_FAIL, "reason=\"wake-up failed: %m\"");
}

/* Opens the listeners and starts the event loop's thread. */
static int start(struct kernel *k, struct error *e)
{
	struct proxy *p = &proxy;

	memset(p, 0, sizeof(*p));
	p->kernel = k;
	p->policy = policy;
	p->protocol = protocol_get();
	TAILQ_INIT(&p->sessions);
	TAILQ_INIT(&p->closed_sessions);
	TAILQ_INIT(&p->closed_backends);
	TAILQ_INIT(&p->links);
	TAILQ_INIT(&p->closed_links);
	p->next_stream_id = 1;
	if (!p->protocol || !registry_codec())
		return error_set(e, ERR_INTERNAL, STEP_NONE, NULL,
				 "built without a protocol for sessions");
	p->base = event_base_new();
	p->rate_limit = rate_limit_create(k->settings.vm);
	p->rate_limiter = rate_limit_client_create(p);
	p->registry = registry_create(p);
	if (!p->base || !p->rate_limit || !p->rate_limiter || !p->registry)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "no memory for the proxy");
	p->heartbeat = heartbeat_create(p, e);
	if (!p->heartbeat || open_inbox(p, e) || open_listeners(p, e))
		return -1;
	p->tick = event_new(p->base, -1, EV_PERSIST, on_tick, p);
	if (!p->tick ||
	    event_add(p->tick,
		      &(struct timeval){ .tv_usec = TICK_INTERVAL_US }) ||
	    apr_thread_create(&inbox.thread, NULL, run_loop, p, inbox.pool) !=
		    APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "no thread for the proxy");
	proxy_post(p, start_registry, p);
	return 0;
}

/* Does nothing: on_tick() drains the sessions. */
static void drain(struct kernel *k)
{
	(void)k;
}

/* Returns true if all sessions are closed, and the streams of other VMs. */
static bool drained(struct kernel *k)
{
	(void)k;
	return __atomic_load_n(&proxy.n_sessions, __ATOMIC_RELAXED) == 0 &&
	       __atomic_load_n(&proxy.n_served, __ATOMIC_RELAXED) == 0;
}

/*
 * Stops the event loop and waits for its thread. Its memory is freed with the
 * process.
 */
static void stop(struct kernel *k)
{
	apr_status_t ignored;

	(void)k;
	proxy_post(&proxy, stop_loop, &proxy);
	apr_thread_join(&ignored, inbox.thread);
}

/* Creates the queue for work of other threads. */
static int open_inbox(struct proxy *p, struct error *e)
{
	memset(&inbox, 0, sizeof(inbox));
	inbox.last = &inbox.first;
	inbox.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	p->inbox = &inbox;
	if (inbox.fd == -1 ||
	    apr_pool_create(&inbox.pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&inbox.lock, APR_THREAD_MUTEX_DEFAULT,
				    inbox.pool) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "no inbox for the proxy");
	inbox.readable =
		event_new(p->base, inbox.fd, EV_READ | EV_PERSIST, on_inbox, p);
	if (!inbox.readable || event_add(inbox.readable, NULL))
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "no event for the proxy's inbox");
	return 0;
}

/* Listens for callers, readiness probes and metrics requests. */
static int open_listeners(struct proxy *p, struct error *e)
{
	struct settings *s = &p->kernel->settings;
	struct sockaddr_storage at;
	socklen_t len;

	if (!address_parse(s->caller_listen, &at, &len))
		return error_set(e, ERR_SETTINGS, STEP_LISTEN, s->caller_listen,
				 "not an address");
	p->listener = evconnlistener_new_bind(
		p->base, on_accept, p,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, (struct sockaddr *)&at, (int)len);
	if (!p->listener)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, s->caller_listen,
				 "%m");
	if (getsockname(evconnlistener_get_fd(p->listener),
			(struct sockaddr *)&at, &len) == 0)
		address_format((struct sockaddr *)&at, s->caller_listen);
	p->ready = open_http(p, s->ready_listen, on_ready_probe, e);
	if (!p->ready)
		return -1;
	p->metrics = open_http(p, s->metrics_listen, on_metrics, e);
	if (!p->metrics)
		return -1;
	return 0;
}

/*
 * Serves all paths of an address with one handler. Replaces "address" by the
 * bound one, whose port the system may have chosen.
 */
static struct evhttp *open_http(struct proxy *p, char *address,
				void (*fn)(struct evhttp_request *, void *),
				struct error *e)
{
	struct evhttp *http = evhttp_new(p->base);
	struct evhttp_bound_socket *bound = NULL;
	char *colon = strrchr(address, ':');
	struct sockaddr_storage at;
	socklen_t len = sizeof(at);

	if (http && colon) {
		*colon = '\0';
		bound = evhttp_bind_socket_with_handle(
			http, address, (uint16_t)strtoul(colon + 1, NULL, 10));
		*colon = ':';
	}
	if (!bound) {
		error_set(e, ERR_SYSTEM, STEP_LISTEN, address, "%m");
		if (http)
			evhttp_free(http);
		return NULL;
	}
	if (getsockname(evhttp_bound_socket_get_fd(bound),
			(struct sockaddr *)&at, &len) == 0)
		address_format((struct sockaddr *)&at, address);
	evhttp_set_gencb(http, fn, p);
	return http;
}

/* Runs the event loop's thread. */
static void *APR_THREAD_FUNC run_loop(apr_thread_t *t, void *ctx)
{
	struct proxy *p = ctx;

	(void)t;
	event_base_dispatch(p->base);
	return NULL;
}

/* Runs the queued work of other threads, in order. */
static void on_inbox(evutil_socket_t fd, short what, void *ctx)
{
	struct proxy_job *next;
	struct proxy_job *j;
	uint64_t ignored;

	(void)what;
	(void)ctx;
	if (read(fd, &ignored, sizeof(ignored)) == -1)
		return;
	apr_thread_mutex_lock(inbox.lock);
	j = inbox.first;
	inbox.first = NULL;
	inbox.last = &inbox.first;
	apr_thread_mutex_unlock(inbox.lock);
	for (; j; j = next) {
		next = j->next;
		j->fn(j->ctx);
		free(j);
	}
}

/* Accepts a caller's connection. */
static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx)
{
	(void)l;
	(void)from;
	(void)len;
	session_accept(ctx, fd);
}

/* Answers the readiness probe of the load balancer, on any path. */
static void on_ready_probe(struct evhttp_request *req, void *ctx)
{
	if (proxy_is_ready(ctx))
		evhttp_send_reply(req, HTTP_OK, "OK", NULL);
	else
		evhttp_send_reply(req, HTTP_SERVUNAVAIL, "not ready", NULL);
}

/* Serves the VM's counters and latencies. */
static void on_metrics(struct evhttp_request *req, void *ctx)
{
	static char text[METRICS_MAX_BYTES];
	struct evbuffer *out = evhttp_request_get_output_buffer(req);

	(void)ctx;
	evbuffer_add(out, text, counters_print(text, sizeof(text)));
	evbuffer_add(out, text, latencies_print(text, sizeof(text)));
	evhttp_send_reply(req, HTTP_OK, "OK", NULL);
}

/* Does the periodic work. */
static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct proxy *p = ctx;
	usec_t now = proxy_now();

	(void)fd;
	(void)what;
	registry_tick(p->registry, now);
	heartbeat_tick(p->heartbeat, now);
	rate_limit_client_tick(p->rate_limiter, now);
	p->limits_known |= rate_limit_is_warm(p->rate_limit, now);
	peer_link_tick(p, now);
	db_group_tick(p, now);
	if (__atomic_load_n(&p->kernel->draining, __ATOMIC_ACQUIRE))
		drain_sessions(p, now);
	session_reap(p);
	backend_reap(p);
	peer_link_reap(p);
}

/*
 * Drains the sessions of a VM that stops. It first reports itself as not ready,
 * so that the load balancer removes it, and then closes idle sessions, a few
 * per tick so that they don't reconnect elsewhere all at once.
 */
static void drain_sessions(struct proxy *p, usec_t now)
{
	usec_t notice = kernel_drain_notice(&p->kernel->settings);
	uint32_t most = 1 + p->n_sessions / 16;
	struct session *next;
	struct session *x;

	if (!p->draining) {
		p->draining = true;
		p->drain_at = now;
	}
	if (now - p->drain_at < notice)
		return;
	p->closing_idle = true;
	if (now - p->drain_at >
	    kernel_drain_max(&p->kernel->settings) - FINAL_REPLY_US) {
		for (x = TAILQ_FIRST(&p->sessions); x; x = next) {
			next = TAILQ_NEXT(x, entry);
			session_stop(x);
		}
		return;
	}
	for (x = TAILQ_FIRST(&p->sessions); x && most > 0; x = next) {
		next = TAILQ_NEXT(x, entry);
		if (x->exec.stage != EXEC_NONE || x->in_tx)
			continue;
		session_close_if_idle(x);
		most--;
	}
}

/* Starts the registry on the proxy's thread. */
static void start_registry(void *ctx)
{
	struct proxy *p = ctx;

	registry_start(p->registry);
}

/* Ends the event loop. */
static void stop_loop(void *ctx)
{
	struct proxy *p = ctx;

	event_base_loopbreak(p->base);
}
