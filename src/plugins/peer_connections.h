#ifndef PLUGINS_PEER_CONNECTIONS_H
#define PLUGINS_PEER_CONNECTIONS_H

#include "decide/error.h"

/*
 * The outgoing connections of the peer thread: one ZeroMQ DEALER socket for
 * each address that a message was sent to recently. Used only by that thread.
 */
struct peer_connections;

#define PEER_CONNECTIONS_MAX	  256
#define PEER_CONNECTION_IDLE_US	  (30 * (usec_t)USEC_PER_SEC)
#define PEER_SEND_HWM		  256  /* messages queued to one VM */
#define PEER_RECEIVE_HWM	  4096 /* messages queued from one VM */
#define PEER_HEARTBEAT_MS	  1000
#define PEER_HEARTBEAT_TIMEOUT_MS 3000
#define PEER_KEEPALIVE_S	  10
#define PEER_CONNECT_TIMEOUT_MS	  3000
#define PEER_HANDSHAKE_TIMEOUT_MS 3000
#define PEER_RECONNECT_MS	  100
#define PEER_RECONNECT_MAX_MS	  2000

/* CURVE keys; connections are unencrypted if "is_set" is false. */
struct peer_keys {
	bool is_set;
	uint8_t public_key[32];
	uint8_t secret_key[32];
};

/* Sets queue limits, heartbeats and keys of a socket before it is used. */
int peer_socket_set_options(void *socket, const char *address,
			    const struct peer_keys *keys, bool server,
			    struct error *e);

struct peer_connections *peer_connections_create(void *zmq,
						 const struct peer_keys *keys);
void peer_connections_destroy(struct peer_connections *l);
/* Sends, connecting first if necessary; false if the message was dropped. */
bool peer_connections_send(struct peer_connections *l, const char *address,
			   const void *data, size_t len, usec_t now);
void peer_connections_close_idle(struct peer_connections *l, usec_t now);
size_t peer_connections_count(const struct peer_connections *l);

#endif
