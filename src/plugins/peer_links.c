#include "plugins/peer_links.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "plugins/peer_codec.h"

struct link {
	char address[ADDR_MAX_BYTES];
	void *socket;
	usec_t used_at;
};

struct peer_links {
	void *zmq;
	struct peer_keys keys;
	apr_pool_t *pool;
	apr_hash_t *table; /* by address */
};

static int set_int(void *socket, int option, int value);
static int set_keys(void *socket, const struct peer_keys *keys, bool server);
static struct link *link_open(struct peer_links *l, const char *address);
static void link_close(struct peer_links *l, struct link *k);
static void close_oldest(struct peer_links *l);

/*
 * Sets up a socket before it is bound or connected. Heartbeats find a
 * connection that something between the two ends has forgotten; nothing is
 * kept for a socket that is closed.
 */
int peer_socket_prepare(void *socket, const char *address,
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
		{ ZMQ_HEARTBEAT_TIMEOUT, PEER_SILENCE_MS },
		{ ZMQ_HEARTBEAT_TTL, PEER_SILENCE_MS },
		{ ZMQ_CONNECT_TIMEOUT, PEER_CONNECT_MS },
		{ ZMQ_HANDSHAKE_IVL, PEER_HANDSHAKE_MS },
		{ ZMQ_RECONNECT_IVL, PEER_RECONNECT_MS },
		{ ZMQ_RECONNECT_IVL_MAX, PEER_RECONNECT_MAX },
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
	    (keys->set && set_keys(socket, keys, server)))
		return error_set(e, ERR_SYSTEM, STEP_CONNECT, NULL,
				 "socket option: %s",
				 zmq_strerror(zmq_errno()));
	return 0;
}

/* Makes an empty table of connections; NULL if memory is short. */
struct peer_links *peer_links_create(void *zmq, const struct peer_keys *keys)
{
	struct peer_links *l = calloc(1, sizeof(*l));

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

/* Closes every connection; what is queued on them is dropped. */
void peer_links_destroy(struct peer_links *l)
{
	if (!l)
		return;
	while (apr_hash_count(l->table))
		close_oldest(l);
	apr_pool_destroy(l->pool);
	free(l);
}

/* Sends without waiting; a full queue drops the message. */
bool peer_links_send(struct peer_links *l, const char *address,
		     const void *data, size_t len, usec_t now)
{
	struct link *k = apr_hash_get(l->table, address, APR_HASH_KEY_STRING);

	if (!k)
		k = link_open(l, address);
	if (!k)
		return false;
	k->used_at = now;
	return zmq_send(k->socket, data, len, ZMQ_DONTWAIT) >= 0;
}

/* Closes the connections that nothing was sent on lately. */
void peer_links_close_idle(struct peer_links *l, usec_t now)
{
	apr_hash_index_t *i;
	void *value;

	for (i = apr_hash_first(l->pool, l->table); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		if (now - ((struct link *)value)->used_at > PEER_LINK_IDLE_US)
			link_close(l, value);
	}
}

/* Returns how many connections are open. */
size_t peer_links_count(const struct peer_links *l)
{
	return apr_hash_count(l->table);
}

/* Sets one integer option. */
static int set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

/*
 * All VMs share one key pair, which they derive from the fleet's secret. Who
 * does not know the secret does not know the server key either, without which
 * no handshake can be begun.
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

/* Opens a connection, over the one unused for longest if there are many. */
static struct link *link_open(struct peer_links *l, const char *address)
{
	char endpoint[ADDR_MAX_BYTES + 8];
	struct link *k;

	if (apr_hash_count(l->table) >= PEER_LINKS_MAX)
		close_oldest(l);
	k = calloc(1, sizeof(*k));
	if (!k)
		return NULL;
	snprintf(k->address, sizeof(k->address), "%s", address);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	k->socket = zmq_socket(l->zmq, ZMQ_DEALER);
	if (!k->socket) {
		free(k);
		return NULL;
	}
	if (peer_socket_prepare(k->socket, address, &l->keys, false, NULL) ||
	    zmq_connect(k->socket, endpoint)) {
		zmq_close(k->socket);
		free(k);
		return NULL;
	}
	apr_hash_set(l->table, k->address, APR_HASH_KEY_STRING, k);
	return k;
}

/* Closes a connection and forgets it. */
static void link_close(struct peer_links *l, struct link *k)
{
	apr_hash_set(l->table, k->address, APR_HASH_KEY_STRING, NULL);
	zmq_close(k->socket);
	free(k);
}

/* Closes the connection that was used least recently. */
static void close_oldest(struct peer_links *l)
{
	struct link *oldest = NULL;
	apr_hash_index_t *i;
	struct link *k;
	void *value;

	for (i = apr_hash_first(l->pool, l->table); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		k = value;
		if (!oldest || k->used_at < oldest->used_at)
			oldest = k;
	}
	if (oldest)
		link_close(l, oldest);
}
