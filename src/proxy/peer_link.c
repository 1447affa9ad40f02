#include <arpa/inet.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/remote.h"

/* Links between VMs: connections, message framing and liveness. */

/* A SYN that is lost is sent again after a second; another VM is tried first.
 */
#define CONNECT_TIMEOUT_US (300 * USEC_PER_MSEC)
/* A link with statements outstanding is pinged after this long without data. */
#define PING_AFTER_US (100 * USEC_PER_MSEC)
/* An unanswered PING fails the link after this long. */
#define PONG_TIMEOUT_US (400 * USEC_PER_MSEC)
/* A link that nobody uses is closed after this long. */
#define IDLE_MAX_US (60 * USEC_PER_SEC)
/* A statement and a session's variables, or a reply, and their headers. */
#define FRAME_MAX_BYTES	  (4 * MESSAGE_MAX_BYTES)
#define FRAME_HEADER_SIZE 4
#define LISTEN_BACKLOG	  512

static struct peer_link *link_create(struct proxy *p, evutil_socket_t fd);
static void link_close(struct peer_link *l, const char *reason);
static void tick_link(struct peer_link *l, usec_t now);
static void send_empty(struct peer_link *l, enum link_msg_type type);
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx);
static void on_read(struct bufferevent *bev, void *ctx);
static void on_event(struct bufferevent *bev, short what, void *ctx);
static void on_message(struct peer_link *l, const void *data, size_t len);

/*
 * Listens for links of other VMs on the port of the heartbeats. Returns -1 if
 * the port is taken.
 */
int peer_link_listen(struct proxy *p, const struct sockaddr *at, socklen_t len)
{
	p->link_listener = evconnlistener_new_bind(
		p->base, on_accept, p,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, at, (int)len);
	return p->link_listener ? 0 : -1;
}

/* Returns the open link to a peer, or opens one. */
struct peer_link *peer_link_get(struct proxy *p, const char *peer)
{
	struct sockaddr_storage to;
	struct peer_link *l;
	socklen_t len;

	TAILQ_FOREACH(l, &p->links, entry)
	{
		if (strcmp(l->peer, peer) == 0)
			return l;
	}
	if (!heartbeat_peer_address(p->heartbeat, peer, &to, &len))
		return NULL;
	l = link_create(p, -1);
	if (!l)
		return NULL;
	snprintf(l->peer, sizeof(l->peer), "%s", peer);
	if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&to,
				       (int)len) == 0)
		return l;
	link_close(l, "no socket");
	return NULL;
}

/* Begins a message with this number of fields, its type included. */
void peer_link_begin(msgpack_sbuffer *buf, msgpack_packer *p, uint32_t fields,
		     enum link_msg_type type)
{
	msgpack_sbuffer_init(buf);
	msgpack_packer_init(p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(p, fields);
	msgpack_pack_uint32(p, type);
}

/* Sends one message and frees its buffer. */
void peer_link_send(struct peer_link *l, msgpack_sbuffer *buf)
{
	struct evbuffer *out = bufferevent_get_output(l->bev);
	uint32_t size = htonl((uint32_t)buf->size);

	if (!l->closed) {
		evbuffer_add(out, &size, sizeof(size));
		evbuffer_add(out, buf->data, buf->size);
		counter_add(CTR_PEER_SENT, 1);
		counter_add(CTR_PEER_SENT_BYTES, buf->size + FRAME_HEADER_SIZE);
	}
	msgpack_sbuffer_destroy(buf);
}

/* Pings links that keep statements waiting, and closes dead and idle ones. */
void peer_link_tick(struct proxy *p, usec_t now)
{
	struct peer_link *next;
	struct peer_link *l;

	for (l = TAILQ_FIRST(&p->links); l; l = next) {
		next = TAILQ_NEXT(l, entry);
		if (l->peer[0])
			tick_link(l, now);
	}
}

/* Frees the links closed since the last call. */
void peer_link_reap(struct proxy *p)
{
	struct peer_link *l;

	while ((l = TAILQ_FIRST(&p->closed_links))) {
		TAILQ_REMOVE(&p->closed_links, l, entry);
		bufferevent_free(l->bev);
		free(l);
	}
}

/* Creates a link; fd is -1 if it is to be connected. */
static struct peer_link *link_create(struct proxy *p, evutil_socket_t fd)
{
	struct peer_link *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->proxy = p;
	l->bev = bufferevent_socket_new(p->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!l->bev) {
		free(l);
		return NULL;
	}
	l->opened_at = proxy_now();
	l->heard_at = l->opened_at;
	l->used_at = l->opened_at;
	TAILQ_INIT(&l->streams);
	TAILQ_INIT(&l->served);
	TAILQ_INSERT_TAIL(&p->links, l, entry);
	bufferevent_setcb(l->bev, on_read, NULL, on_event, l);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	return l;
}

/*
 * Closes a link. Statements that were sent on it end as unknown, and those of
 * other VMs are cancelled.
 */
static void link_close(struct peer_link *l, const char *reason)
{
	if (l->closed)
		return;
	l->closed = true;
	log_event(EV_LINK_CLOSED, "peer=%s open=%d running=%u reason=\"%s\"",
		  l->peer[0] ? l->peer : l->address, l->is_open, l->n_running,
		  reason);
	bufferevent_disable(l->bev, EV_READ | EV_WRITE);
	bufferevent_setcb(l->bev, NULL, NULL, NULL, NULL);
	TAILQ_REMOVE(&l->proxy->links, l, entry);
	TAILQ_INSERT_TAIL(&l->proxy->closed_links, l, entry);
	remote_client_on_link_closed(l);
	remote_server_on_link_closed(l);
}

/* Does the periodic work of a link that this VM opened. */
static void tick_link(struct peer_link *l, usec_t now)
{
	usec_t quiet_since =
		l->heard_at > l->active_since ? l->heard_at : l->active_since;

	if (!l->is_open && now - l->opened_at > CONNECT_TIMEOUT_US) {
		heartbeat_on_link_failed(l->proxy->heartbeat, l->peer, now);
		link_close(l, "connection timed out");
	} else if (l->pinged_at && now - l->pinged_at > PONG_TIMEOUT_US) {
		heartbeat_on_link_failed(l->proxy->heartbeat, l->peer, now);
		link_close(l, "no answer");
	} else if (l->is_open && l->n_running > 0 && l->pinged_at == 0 &&
		   now - quiet_since > PING_AFTER_US) {
		l->pinged_at = now;
		send_empty(l, LINK_MSG_PING);
	} else if (TAILQ_EMPTY(&l->streams) && now - l->used_at > IDLE_MAX_US) {
		link_close(l, "idle");
	}
}

/* Sends a message that has only a type. */
static void send_empty(struct peer_link *l, enum link_msg_type type)
{
	msgpack_sbuffer buf;
	msgpack_packer p;

	peer_link_begin(&buf, &p, 1, type);
	peer_link_send(l, &buf);
}

/* Accepts a link of another VM. */
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx)
{
	struct peer_link *l = link_create(ctx, fd);

	(void)listener;
	(void)len;
	if (!l) {
		evutil_closesocket(fd);
		return;
	}
	l->is_open = true;
	address_format(from, l->address);
	backend_set_socket_options(fd);
}

/* Handles the complete messages received. */
static void on_read(struct bufferevent *bev, void *ctx)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct peer_link *l = ctx;
	uint32_t size;

	l->heard_at = proxy_now();
	l->pinged_at = 0;
	while (!l->closed &&
	       evbuffer_copyout(in, &size, sizeof(size)) == sizeof(size)) {
		size = ntohl(size);
		if (size > FRAME_MAX_BYTES) {
			link_close(l, "message too long");
			return;
		}
		if (evbuffer_get_length(in) < FRAME_HEADER_SIZE + size)
			return;
		evbuffer_drain(in, FRAME_HEADER_SIZE);
		on_message(l, evbuffer_pullup(in, size), size);
		evbuffer_drain(in, size);
	}
}

/* Handles an opened, refused, closed or broken link. */
static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct peer_link *l = ctx;

	if (what & BEV_EVENT_CONNECTED) {
		l->is_open = true;
		l->heard_at = proxy_now();
		backend_set_socket_options(bufferevent_getfd(bev));
		return;
	}
	if (l->peer[0] && !(what & BEV_EVENT_EOF))
		heartbeat_on_link_failed(l->proxy->heartbeat, l->peer,
					 proxy_now());
	link_close(l, what & BEV_EVENT_EOF ? "closed by the peer"
					   : "connection broken");
}

/* Handles one message. */
static void on_message(struct peer_link *l, const void *data, size_t len)
{
	struct wire_reader r = { .bad = true };
	msgpack_unpacked u;

	counter_add(CTR_PEER_RECEIVED, 1);
	counter_add(CTR_PEER_RECEIVED_BYTES, len + FRAME_HEADER_SIZE);
	msgpack_unpacked_init(&u);
	if (data && wire_unpack(&u, data, len))
		r = wire_array(&u.data, 1);
	switch (wire_u64(&r)) {
	case LINK_MSG_RUN:
		remote_server_on_run(l, &r);
		break;
	case LINK_MSG_RELEASE:
		remote_server_on_release(l, &r);
		break;
	case LINK_MSG_DONE:
		remote_client_on_done(l, &r);
		break;
	case LINK_MSG_LOST:
		remote_client_on_lost(l, &r);
		break;
	case LINK_MSG_PING:
		send_empty(l, LINK_MSG_PONG);
		break;
	case LINK_MSG_PONG:
		break;
	case LINK_MSG_COPY_REQUEST:
		registry_copy_on_request(l, &r);
		break;
	case LINK_MSG_COPY:
		registry_copy_on_copy(l, &r);
		break;
	default:
		r.bad = true;
		break;
	}
	msgpack_unpacked_destroy(&u);
	if (r.bad) {
		counter_add(CTR_PEER_BAD, 1);
		link_close(l, "malformed message");
	}
}
