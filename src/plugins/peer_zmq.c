#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "kernel/counters.h"
#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/peer.h"
#include "kernel/plugin.h"
#include "plugins/peer_codec.h"
#include "plugins/peer_connections.h"

#define OUTBOX_MAX_BYTES (16UL * 1024 * 1024)
#define POLL_MS		 1000
/* Most messages received in a row before the outbox is sent again. */
#define RECEIVE_BATCH 256
#define SOCKETS_MAX   (PEER_CONNECTIONS_MAX + 16)
/* A peer's clock that is further ahead must not advance this VM's clock. */
#define CLOCK_AHEAD_MAX_US  (60 * (int64_t)USEC_PER_SEC)
#define BAD_LOG_INTERVAL_US ((usec_t)USEC_PER_SEC)

/* A message queued for the peer thread. */
struct outgoing_message {
	struct outgoing_message *next;
	char address[ADDR_MAX_BYTES];
	size_t len;
	char data[];
};

struct peer_zmq {
	struct kernel *kernel;
	apr_pool_t *pool;
	apr_thread_t *thread;
	void *zmq;
	void *router;
	struct peer_keys keys;
	struct peer_connections *connections; /* peer thread only */
	usec_t bad_logged_at;		      /* peer thread only */
	int wake_fd;		  /* eventfd that wakes the peer thread */
	bool stopping;		  /* accessed with __atomic */
	apr_thread_mutex_t *lock; /* guards the outbox */
	struct outgoing_message *first;
	struct outgoing_message *last;
	size_t queued_bytes;
};

static struct peer_zmq peers;

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);
static int open_all(struct peer_zmq *p, struct error *e);
static int derive_keys(struct peer_zmq *p, struct error *e);
static int bind_router(struct peer_zmq *p, struct error *e);
static void close_all(struct peer_zmq *p);
static void send_message(void *ctx, const char *to, enum peer_type type,
			 const void *body, size_t len);
static struct outgoing_message *encode_message(struct peer_zmq *p,
					       enum peer_type type,
					       const void *body, size_t len);
static bool enqueue(struct peer_zmq *p, struct outgoing_message *m);
static void *APR_THREAD_FUNC thread_main(apr_thread_t *thread, void *data);
static void send_outbox(struct peer_zmq *p);
static void receive_batch(struct peer_zmq *p);
static bool receive_payload(struct peer_zmq *p, zmq_msg_t *msg);
static void dispatch_message(struct peer_zmq *p, const void *data, size_t len);
static void log_bad_message(struct peer_zmq *p, const struct error *e);

static struct plugin plugin = {
	.name = "peer_zmq",
	.rank = RANK_PEER,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Binds peer_listen and starts the peer thread. */
static int start(struct kernel *k, struct error *e)
{
	struct peer_zmq *p = &peers;

	memset(p, 0, sizeof(*p));
	p->kernel = k;
	p->wake_fd = -1;
	if (open_all(p, e)) {
		close_all(p);
		return -1;
	}
	k->peer->ctx = p;
	k->peer->send = send_message;
	return 0;
}

/* Stops the peer thread; queued messages are dropped. */
static void stop(struct kernel *k)
{
	struct peer_zmq *p = &peers;
	uint64_t one = 1;
	apr_status_t rc;

	__atomic_store_n(&p->stopping, true, __ATOMIC_RELEASE);
	if (write(p->wake_fd, &one, sizeof(one)) == sizeof(one))
		apr_thread_join(&rc, p->thread);
	k->peer->send = NULL;
	close_all(p);
}

/*
 * Creates the lock, the sockets and the thread. On failure returns -1; the
 * caller then calls close_all().
 */
static int open_all(struct peer_zmq *p, struct error *e)
{
	if (apr_pool_create(&p->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&p->lock, APR_THREAD_MUTEX_DEFAULT,
				    p->pool) != APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "cannot create the lock");
	p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (p->wake_fd < 0)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "eventfd: %s", strerror(errno));
	if (derive_keys(p, e))
		return -1;
	p->zmq = zmq_ctx_new();
	if (!p->zmq || zmq_ctx_set(p->zmq, ZMQ_MAX_SOCKETS, SOCKETS_MAX))
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "cannot create the ZeroMQ context");
	if (bind_router(p, e))
		return -1;
	p->connections = peer_connections_create(p->zmq, &p->keys);
	if (!p->connections)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL, "no memory");
	if (apr_thread_create(&p->thread, NULL, thread_main, p, p->pool) !=
	    APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "cannot create the peer thread");
	return 0;
}

/* Derives the fleet's key pair from peer_secret, if the settings have one. */
static int derive_keys(struct peer_zmq *p, struct error *e)
{
	const char *hex = p->kernel->settings.peer_secret;
	uint8_t seed[crypto_box_SEEDBYTES];
	size_t len;
	int rc;

	if (hex[0] == '\0')
		return 0;
	if (sodium_init() < 0 ||
	    sodium_hex2bin(seed, sizeof(seed), hex, strlen(hex), NULL, &len,
			   NULL) ||
	    len != sizeof(seed))
		return error_set(e, ERR_SETTINGS, STEP_SETTINGS, NULL,
				 "peer_secret: not 32 bytes in hex");
	if (!zmq_has("curve"))
		return error_set(e, ERR_SETTINGS, STEP_SETTINGS, NULL,
				 "peer_secret: ZeroMQ was built without CURVE");
	rc = crypto_box_seed_keypair(p->keys.public_key, p->keys.secret_key,
				     seed);
	sodium_memzero(seed, sizeof(seed));
	p->keys.is_set = true;
	return rc;
}

/* Binds the ROUTER socket and writes the bound address to the settings. */
static int bind_router(struct peer_zmq *p, struct error *e)
{
	char *address = p->kernel->settings.peer_listen;
	char endpoint[ADDR_MAX_BYTES + 8];
	size_t len = sizeof(endpoint);

	p->router = zmq_socket(p->zmq, ZMQ_ROUTER);
	if (!p->router)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, NULL,
				 "cannot create the ZeroMQ socket");
	if (peer_socket_set_options(p->router, address, &p->keys, true, e))
		return -1;
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(p->router, endpoint) ||
	    zmq_getsockopt(p->router, ZMQ_LAST_ENDPOINT, endpoint, &len))
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, address, "%s",
				 zmq_strerror(zmq_errno()));
	snprintf(address, ADDR_MAX_BYTES, "%.*s", ADDR_MAX_BYTES - 1,
		 endpoint + strlen("tcp://"));
	return 0;
}

/* Closes whatever open_all() opened, also after it failed half-way. */
static void close_all(struct peer_zmq *p)
{
	struct outgoing_message *m;

	while ((m = p->first)) {
		p->first = m->next;
		free(m);
	}
	peer_connections_destroy(p->connections);
	if (p->router)
		zmq_close(p->router);
	if (p->zmq)
		zmq_ctx_term(p->zmq);
	if (p->wake_fd >= 0)
		close(p->wake_fd);
	if (p->pool)
		apr_pool_destroy(p->pool);
	sodium_memzero(&p->keys, sizeof(p->keys));
	p->connections = NULL;
	p->router = NULL;
	p->zmq = NULL;
	p->pool = NULL;
}

/*
 * Queues a message for the peer thread; any thread. "to" is a VM's name, or
 * the ip:port of one whose name is not known yet.
 */
static void send_message(void *ctx, const char *to, enum peer_type type,
			 const void *body, size_t len)
{
	struct peer_zmq *p = ctx;
	struct fleet_vm vm;
	struct outgoing_message *m;
	uint64_t one = 1;

	if (fleet_find(p->kernel, to, &vm))
		to = vm.peer_address;
	if (!strchr(to, ':'))
		return;
	m = encode_message(p, type, body, len);
	if (!m)
		return;
	snprintf(m->address, sizeof(m->address), "%s", to);
	if (!enqueue(p, m)) {
		free(m);
		return;
	}
	/* Fails only if the eventfd's counter is full; it then wakes anyway. */
	(void)!write(p->wake_fd, &one, sizeof(one));
}

/* Encodes the frame of a message; returns NULL if memory is short. */
static struct outgoing_message *encode_message(struct peer_zmq *p,
					       enum peer_type type,
					       const void *body, size_t len)
{
	struct peer_frame f = {
		.type = type,
		.incarnation = p->kernel->incarnation,
		.at = timeline_stamp(),
		.body = body,
		.body_len = len,
	};
	msgpack_sbuffer buf;
	struct outgoing_message *m;

	snprintf(f.from, sizeof(f.from), "%s", p->kernel->settings.vm);
	msgpack_sbuffer_init(&buf);
	peer_encode(&buf, &f);
	m = malloc(sizeof(*m) + buf.size);
	if (m) {
		memset(m, 0, sizeof(*m));
		m->len = buf.size;
		memcpy(m->data, buf.data, buf.size);
	}
	msgpack_sbuffer_destroy(&buf);
	return m;
}

/* Appends to the outbox; returns false if it is full. Takes the lock. */
static bool enqueue(struct peer_zmq *p, struct outgoing_message *m)
{
	bool fits;

	apr_thread_mutex_lock(p->lock);
	fits = p->queued_bytes + m->len <= OUTBOX_MAX_BYTES;
	if (fits) {
		p->queued_bytes += m->len;
		if (p->last)
			p->last->next = m;
		else
			p->first = m;
		p->last = m;
	}
	apr_thread_mutex_unlock(p->lock);
	return fits;
}

/* Runs the peer thread: sends the outbox, receives, closes idle connections. */
static void *APR_THREAD_FUNC thread_main(apr_thread_t *thread, void *data)
{
	struct peer_zmq *p = data;
	zmq_pollitem_t items[] = {
		{ .socket = p->router, .events = ZMQ_POLLIN },
		{ .fd = p->wake_fd, .events = ZMQ_POLLIN },
	};
	usec_t swept_at = clock_now();
	uint64_t count;

	while (!__atomic_load_n(&p->stopping, __ATOMIC_ACQUIRE)) {
		zmq_poll(items, 2, POLL_MS);
		if (items[1].revents)
			(void)!read(p->wake_fd, &count, sizeof(count));
		send_outbox(p);
		receive_batch(p);
		if (clock_now() - swept_at > POLL_MS * (usec_t)USEC_PER_MSEC) {
			swept_at = clock_now();
			peer_connections_close_idle(p->connections, swept_at);
		}
	}
	(void)thread;
	return NULL;
}

/* Sends every message of the outbox. Takes the lock. */
static void send_outbox(struct peer_zmq *p)
{
	struct outgoing_message *m, *next;
	usec_t now = clock_now();

	apr_thread_mutex_lock(p->lock);
	m = p->first;
	p->first = NULL;
	p->last = NULL;
	p->queued_bytes = 0;
	apr_thread_mutex_unlock(p->lock);
	for (; m; m = next) {
		next = m->next;
		if (peer_connections_send(p->connections, m->address, m->data,
					  m->len, now)) {
			counter_add(CTR_PEER_SENT, 1);
			counter_add(CTR_PEER_SENT_BYTES, m->len);
		}
		free(m);
	}
}

/* Receives at most RECEIVE_BATCH messages, so that sending is not starved. */
static void receive_batch(struct peer_zmq *p)
{
	zmq_msg_t msg;
	int i;

	for (i = 0; i < RECEIVE_BATCH; i++) {
		zmq_msg_init(&msg);
		if (!receive_payload(p, &msg)) {
			zmq_msg_close(&msg);
			return;
		}
		dispatch_message(p, zmq_msg_data(&msg), zmq_msg_size(&msg));
		zmq_msg_close(&msg);
	}
}

/*
 * Receives the last part of the next multipart message and drops the others.
 * Returns false if no message is waiting.
 */
static bool receive_payload(struct peer_zmq *p, zmq_msg_t *msg)
{
	do {
		if (zmq_msg_recv(msg, p->router, ZMQ_DONTWAIT) < 0)
			return false;
	} while (zmq_msg_more(msg));
	return true;
}

/*
 * Decodes a message and dispatches its body, unless it is malformed, from this
 * VM itself or from an earlier incarnation of its sender.
 */
static void dispatch_message(struct peer_zmq *p, const void *data, size_t len)
{
	struct kernel *k = p->kernel;
	struct peer_frame f;
	struct error e;
	msgpack_unpacked u;
	bool is_self;

	counter_add(CTR_PEER_RECEIVED, 1);
	counter_add(CTR_PEER_RECEIVED_BYTES, len);
	msgpack_unpacked_init(&u);
	error_clear(&e);
	if (peer_decode(&u, data, len, &f, &e)) {
		log_bad_message(p, &e);
		msgpack_unpacked_destroy(&u);
		return;
	}
	is_self = strcmp(f.from, k->settings.vm) == 0;
	if (!is_self &&
	    fleet_note_message(k, f.from, f.incarnation, clock_now())) {
		/* One wrong clock must not advance the clocks of all VMs. */
		if (f.at.wall_us < clock_wall_us() + CLOCK_AHEAD_MAX_US)
			timeline_observe(f.at);
		peer_dispatch(k, f.type, f.from, f.incarnation, f.body,
			      f.body_len);
	}
	msgpack_unpacked_destroy(&u);
}

/* Counts a malformed message; logs at most one every BAD_LOG_INTERVAL_US. */
static void log_bad_message(struct peer_zmq *p, const struct error *e)
{
	usec_t now = clock_now();

	counter_add(CTR_PEER_BAD, 1);
	if (p->bad_logged_at && now - p->bad_logged_at < BAD_LOG_INTERVAL_US)
		return;
	p->bad_logged_at = now;
	log_error(EV_PEER_BAD_MESSAGE, e);
}
