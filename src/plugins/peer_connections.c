#include "plugins/peer_connections.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "plugins/peer_codec.h"

/* One outgoing connection. */
struct connection {
	char address[ADDR_MAX_BYTES];
	void *socket;
	usec_t used_at;
};

struct peer_connections {
	void *zmq;
	struct peer_keys keys;
	apr_pool_t *pool;
	apr_hash_t *table; /* by address */
};

static int set_int(void *socket, int option, int value);
static int set_keys(void *socket, const struct peer_keys *keys, bool server);
static struct connection *connection_open(struct peer_connections *l,
					  const char *address);
static void connection_close(struct peer_connections *l, struct connection *c);
static void close_least_recent(struct peer_connections *l);

/*
 * Sets the options of a socket before it is bound or connected. Heartbeats
 * detect a connection whose state a device on the path has dropped. With a
 * linger time of 0, closing a socket discards what is queued on it. Returns -1
 * with "e" set on failure.
 */
int peer_socket_set_options(void *socket, const char *address,
			    const struct peer_keys *keys, bool server,
			    struct error *e)
{
	static const struct {
		int option;
		int value;
	} options[] = {
		{ ZMQ_LINGER, 0 },
		{ ZMQ_SNDHWM, PEER_SEND_HWM },
		{ ZMQ_RCVHWM, PEER_RECEIVE_HWM },
		{ ZMQ_TCP_KEEPALIVE, 1 },
		{ ZMQ_TCP_KEEPALIVE_IDLE, PEER_KEEPALIVE_S },
		{ ZMQ_TCP_KEEPALIVE_INTVL, PEER_KEEPALIVE_S },
		{ ZMQ_HEARTBEAT_IVL, PEER_HEARTBEAT_MS },
		{ ZMQ_HEARTBEAT_TIMEOUT, PEER_HEARTBEAT_TIMEOUT_MS },
		{ ZMQ_HEARTBEAT_TTL, PEER_HEARTBEAT_TIMEOUT_MS },
		{ ZMQ_CONNECT_TIMEOUT, PEER_CONNECT_TIMEOUT_MS },
		{ ZMQ_HANDSHAKE_IVL, PEER_HANDSHAKE_TIMEOUT_MS },
		{ ZMQ_RECONNECT_IVL, PEER_RECONNECT_MS },
		{ ZMQ_RECONNECT_IVL_MAX, PEER_RECONNECT_MAX_MS },
	};
	int64_t max = PEER_FRAME_MAX_BYTES;
	size_t i;

	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
		if (set_int(socket, options[i].option, options[i].value))
			return error_set(e, ERR_SYSTEM, STEP_CONNECT, NULL,
					 "socket option %d: %s",
					 options[i].option,
					 zmq_strerror(zmq_errno()));
	}
	if (zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max)) ||
	    set_int(socket, ZMQ_IPV6, address[0] == '[') ||
	    (keys->is_set && set_keys(socket, keys, server)))
		return error_set(e, ERR_SYSTEM, STEP_CONNECT, NULL,
				 "socket option: %s",
				 zmq_strerror(zmq_errno()));
	return 0;
}

/* Creates an empty table of connections; returns NULL if memory is short. */
struct peer_connections *peer_connections_create(void *zmq,
						 const struct peer_keys *keys)
{
	struct peer_connections *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&l->pool, NULL) != APR_SUCCESS) {
		free(l);
		return NULL;
	}
	l->zmq = zmq;
	l->keys = *keys;
	l->table = apr_hash_make(l->pool);
	return l;
}

/* Closes every connection and frees the table; queued messages are dropped. */
void peer_connections_destroy(struct peer_connections *l)
{
	if (!l)
		return;
	while (apr_hash_count(l->table))
		close_least_recent(l);
	apr_pool_destroy(l->pool);
	free(l);
}

/*
 * Sends without blocking, over a new connection if none to the address is open.
 * Returns false if the message was dropped because no connection could be
 * opened or its queue is full.
 */
bool peer_connections_send(struct peer_connections *l, const char *address,
			   const void *data, size_t len, usec_t now)
{
	struct connection *c =
		apr_hash_get(l->table, address, APR_HASH_KEY_STRING);

	if (!c)
		c = connection_open(l, address);
	if (!c)
		return false;
	c->used_at = now;
	return zmq_send(c->socket, data, len, ZMQ_DONTWAIT) >= 0;
}

/* Closes connections on which nothing was sent for PEER_CONNECTION_IDLE_US. */
void peer_connections_close_idle(struct peer_connections *l, usec_t now)
{
	apr_hash_index_t *i;
	void *value;

	for (i = apr_hash_first(l->pool, l->table); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		if (now - ((struct connection *)value)->used_at >
		    PEER_CONNECTION_IDLE_US)
			connection_close(l, value);
	}
}

/* Returns the number of open connections. */
size_t peer_connections_count(const struct peer_connections *l)
{
	return apr_hash_count(l->table);
}

/* Sets an integer option of a socket; returns -1 on failure. */
static int set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

/*
 * Sets the CURVE keys of a socket. All VMs share one key pair, derived from the
 * fleet's secret: a peer without the secret does not know the server key, which
 * it needs to begin a handshake. Returns -1 on failure.
 */
static int set_keys(void *socket, const struct peer_keys *keys, bool server)
{
	size_t n = sizeof(keys->public_key);

	if (zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key, n))
		return -1;
	if (server)
		return set_int(socket, ZMQ_CURVE_SERVER, 1);
	if (zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key, n))
		return -1;
	return zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, keys->public_key, n);
}

/*
 * Opens a connection; a full table closes the least recently used one first.
 * Returns NULL on failure.
 */
static struct connection *connection_open(struct peer_connections *l,
					  const char *address)
{
	char endpoint[ADDR_MAX_BYTES + 8];
	struct connection *c;

	if (apr_hash_count(l->table) >= PEER_CONNECTIONS_MAX)
		close_least_recent(l);
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	snprintf(c->address, sizeof(c->address), "%s", address);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	c->socket = zmq_socket(l->zmq, ZMQ_DEALER);
	if (!c->socket) {
		free(c);
		return NULL;
	}
	if (peer_socket_set_options(c->socket, address, &l->keys, false,
				    NULL) ||
	    zmq_connect(c->socket, endpoint)) {
		zmq_close(c->socket);
		free(c);
		return NULL;
	}
	apr_hash_set(l->table, c->address, APR_HASH_KEY_STRING, c);
	return c;
}

/* Closes a connection and removes it from the table. */
static void connection_close(struct peer_connections *l, struct connection *c)
{
	apr_hash_set(l->table, c->address, APR_HASH_KEY_STRING, NULL);
	zmq_close(c->socket);
	free(c);
}

/* Closes the least recently used connection. */
static void close_least_recent(struct peer_connections *l)
{
	struct connection *oldest = NULL;
	apr_hash_index_t *i;
	struct connection *c;
	void *value;

	for (i = apr_hash_first(l->pool, l->table); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		c = value;
		if (!oldest || c->used_at < oldest->used_at)
			oldest = c;
	}
	if (oldest)
		connection_close(l, oldest);
}
