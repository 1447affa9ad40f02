#ifndef PLUGINS_PEER_LINKS_H
#define PLUGINS_PEER_LINKS_H

#include "decide/error.h"

/*
 * The outgoing connections of the peer thread: a DEALER socket for each VM to
 * which something was sent lately. Used by that thread alone.
 */
struct peer_links;

#define PEER_LINKS_MAX	   256
#define PEER_LINK_IDLE_US  (30 * (usec_t)USEC_PER_SEC)
#define PEER_SEND_HWM	   256 /* messages queued to one VM */
#define PEER_RECEIVE_HWM   4096
#define PEER_HEARTBEAT_MS  1000
#define PEER_SILENCE_MS	   3000
#define PEER_KEEPALIVE_S   10
#define PEER_CONNECT_MS	   3000
#define PEER_HANDSHAKE_MS  3000
#define PEER_RECONNECT_MS  100
#define PEER_RECONNECT_MAX 2000

/* Keys that authenticate and encrypt connections; absent if "set" is false. */
struct peer_keys {
	bool set;
	uint8_t public_key[32];
	uint8_t secret_key[32];
};

/* Bounds queues, finds dead connections and sets the keys of a socket. */
int peer_socket_prepare(void *socket, const char *address,
			const struct peer_keys *keys, bool server,
			struct error *e);

struct peer_links *peer_links_create(void *zmq, const struct peer_keys *keys);
void peer_links_destroy(struct peer_links *l);
/* Sends, connecting first if need be; false if the message was dropped. */
bool peer_links_send(struct peer_links *l, const char *address,
		     const void *data, size_t len, usec_t now);
void peer_links_close_idle(struct peer_links *l, usec_t now);
size_t peer_links_count(const struct peer_links *l);

#endif
