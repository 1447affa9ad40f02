#include <arpa/inet.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/link_silence.h"
#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/remote.h"

/* Links between VMs: connections, message framing and liveness. */

/* A statement and a session's variables, or a reply, and their headers. */
#define FRAME_MAX_BYTES	  (4 * MESSAGE_MAX_BYTES)
#define FRAME_HEADER_SIZE 4
#define LISTEN_BACKLOG	  512

static struct peer_link *link_create(struct proxy *p, evutil_socket_t fd);
static struct peer_link *link_open(struct proxy *p, const char *peer);
static bool is_current(const struct peer_link *l);
static void close_beside(struct peer_link *l);
static void open_second(struct peer_link *first, usec_t now);
static void on_heard(struct peer_link *l);
static bool may_resume(const struct peer_link *l, short what);
static void on_broken(struct peer_link *l);
static void handle(struct peer_link *l, uint64_t type, struct wire_reader *r);
static bool handle_of_opener(struct peer_link *l, uint64_t type,
			     struct wire_reader *r);
static bool handle_of_acceptor(struct peer_link *l, uint64_t type,
			       struct wire_reader *r);
static struct link_silence silence_of(const struct peer_link *l);
static void tick_link(struct peer_link *l, usec_t now);
static void tick_accepted(struct peer_link *l, usec_t now);
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

/* Returns the link to a peer on which statements are sent, or opens one. */
struct peer_link *peer_link_get(struct proxy *p, const char *peer)
{
	struct peer_link *l;

	TAILQ_FOREACH(l, &p->links, entry)
	{
		if (strcmp(l->peer, peer) == 0 && is_current(l))
			return l;
	}
	return link_open(p, peer);
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

	if (!l->closed && !l->is_broken) {
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
		else
			tick_accepted(l, now);
		/* Closing a link may close the one beside it. */
		if (next && next->closed)
			next = TAILQ_FIRST(&p->links);
	}
}

/* Frees the links closed since the last call. */
void peer_link_reap(struct proxy *p)
{
	struct peer_link *l;

	while ((l = TAILQ_FIRST(&p->closed_links))) {
		TAILQ_REMOVE(&p->closed_links, l, entry);
		bufferevent_free(l->bev);
		stream_record_free(&l->record);
		free(l);
	}
}

/* Opens a link to a peer. Returns NULL if it has no address or no socket. */
static struct peer_link *link_open(struct proxy *p, const char *peer)
{
	struct sockaddr_storage to;
	struct peer_link *l;
	socklen_t len;

	if (!heartbeat_peer_address(p->heartbeat, peer, &to, &len))
		return NULL;
	l = link_create(p, -1);
	if (!l)
		return NULL;
	snprintf(l->peer, sizeof(l->peer), "%s", peer);
	l->id = p->next_stream_id++;
	if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&to,
				       (int)len) == -1)
		peer_link_close(l, "no socket");
	if (l->closed)
		return NULL;
	link_resume_send_hello(l);
	return l;
}

/*
 * True if statements are sent on the link: it has not been replaced, and is no
 * second link that has not replaced the first one.
 */
static bool is_current(const struct peer_link *l)
{
	return !l->is_replaced && (!l->first || l->first->is_replaced);
}

/*
 * Opens a second link beside a silent one. If that fails the first one goes on
 * as before.
 */
static void open_second(struct peer_link *first, usec_t now)
{
	struct peer_link *second = link_open(first->proxy, first->peer);

	first->second_at = now;
	if (!second)
		return;
	second->first = first;
	second->second_at = now;
	first->second = second;
	counter_add(CTR_LINKS_SECOND, 1);
	log_event(EV_LINK_SECOND, "peer=%s running=%u silent_us=%lld",
		  first->peer, first->n_running,
		  (long long)(now - first->heard_at));
}

/*
 * Closes the link beside a closed one if it has no use any more: the first of
 * a second that replaced it, or a second that did not replace the first.
 */
static void close_beside(struct peer_link *l)
{
	struct peer_link *second = l->second;
	struct peer_link *first = l->first;

	l->first = NULL;
	l->second = NULL;
	if (first) {
		first->second = NULL;
		if (first->is_broken && !first->is_replaced)
			heartbeat_on_link_failed(l->proxy->heartbeat,
						 first->peer, proxy_now());
		if (first->is_replaced || first->is_broken)
			peer_link_close(first, "replaced");
	}
	if (second) {
		second->first = NULL;
		if (!l->is_replaced)
			peer_link_close(second, "not needed");
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
void peer_link_close(struct peer_link *l, const char *reason)
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
	close_beside(l);
	remote_client_on_link_closed(l);
	remote_server_on_link_closed(l);
}

/* What the decisions on a link that this VM opened rest on. */
static struct link_silence silence_of(const struct peer_link *l)
{
	return (struct link_silence){
		.is_open = l->is_open,
		.is_resuming = l->is_resuming,
		.has_second = l->second != NULL,
		.n_running = l->n_running,
		.has_streams = !TAILQ_EMPTY(&l->streams),
		.opened_at = l->opened_at,
		.heard_at = l->heard_at,
		.active_since = l->active_since,
		.pinged_at = l->pinged_at,
		.second_at = l->second_at,
		.used_at = l->used_at,
	};
}

/* Does the periodic work of a link that this VM opened. */
static void tick_link(struct peer_link *l, usec_t now)
{
	const struct link_silence view = silence_of(l);
	bool is_needed = is_current(l);

	if (l->is_replaced)
		return;
	switch (link_silence_next(&view, now)) {
	case LINK_SILENCE_NONE:
		break;
	case LINK_SILENCE_PING:
		l->pinged_at = now;
		send_empty(l, LINK_MSG_PING);
		break;
	case LINK_SILENCE_OPEN_SECOND:
		open_second(l, now);
		break;
	case LINK_SILENCE_GIVE_UP:
		heartbeat_on_link_failed(l->proxy->heartbeat, l->peer, now);
		peer_link_close(l, "no answer");
		break;
	case LINK_SILENCE_CONNECT_FAILED:
		if (is_needed)
			heartbeat_on_link_failed(l->proxy->heartbeat, l->peer,
						 now);
		peer_link_close(l, "connection timed out");
		break;
	case LINK_SILENCE_CLOSE_IDLE:
		peer_link_close(l, "idle");
		break;
	}
}

/* Does the periodic work of a link that another VM opened. */
static void tick_accepted(struct peer_link *l, usec_t now)
{
	stream_record_expire(&l->record, now);
	if (l->is_broken && now - l->broken_at > LINK_BROKEN_KEPT_US)
		peer_link_close(l, "connection broken");
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

	on_heard(l);
	while (!l->closed &&
	       evbuffer_copyout(in, &size, sizeof(size)) == sizeof(size)) {
		size = ntohl(size);
		if (size > FRAME_MAX_BYTES) {
			peer_link_close(l, "message too long");
			return;
		}
		if (evbuffer_get_length(in) < FRAME_HEADER_SIZE + size)
			return;
		evbuffer_drain(in, FRAME_HEADER_SIZE);
		on_message(l, evbuffer_pullup(in, size), size);
		evbuffer_drain(in, size);
	}
}

/*
 * Takes note of data on a link. If a second one is being opened beside it, that
 * is given up, as long as no statements were asked for there. After that the
 * second one stays, and what still arrives on the first shows that the VM
 * answers.
 */
static void on_heard(struct peer_link *l)
{
	l->heard_at = proxy_now();
	l->pinged_at = 0;
	if (!l->second)
		return;
	if (!l->is_replaced) {
		peer_link_close(l->second, "the first link answers");
		return;
	}
	l->second->heard_at = l->heard_at;
	l->second->pinged_at = 0;
}

/* Handles an opened, refused, closed or broken link. */
static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct peer_link *l = ctx;

	if (what & BEV_EVENT_CONNECTED) {
		l->is_open = true;
		l->heard_at = proxy_now();
		backend_set_socket_options(bufferevent_getfd(bev));
		if (l->first)
			link_resume_start(l);
		return;
	}
	if (may_resume(l, what)) {
		on_broken(l);
		return;
	}
	if (l->peer[0] && !(what & BEV_EVENT_EOF) && is_current(l))
		heartbeat_on_link_failed(l->proxy->heartbeat, l->peer,
					 proxy_now());
	peer_link_close(l, what & BEV_EVENT_EOF ? "closed by the peer"
						: "connection broken");
}

/*
 * True if the streams of a link that broke can go on on another one. A link
 * that was closed in order has none: its VM has given them up or stops.
 */
static bool may_resume(const struct peer_link *l, short what)
{
	const struct link_silence view = silence_of(l);

	if (what & BEV_EVENT_EOF)
		return false;
	if (!l->peer[0])
		return l->opener[0] != '\0';
	return !l->is_replaced && link_silence_may_resume(&view);
}

/*
 * Keeps a broken link as the record of its streams. At the VM that opened it
 * they move to a second link once that is open; if it can't be opened the first
 * one is closed with it. At the other VM they go on for a moment.
 */
static void on_broken(struct peer_link *l)
{
	usec_t now = proxy_now();

	l->is_broken = true;
	l->broken_at = now;
	bufferevent_disable(l->bev, EV_READ | EV_WRITE);
	bufferevent_setcb(l->bev, NULL, NULL, NULL, NULL);
	if (!l->peer[0])
		return;
	if (!l->pinged_at)
		l->pinged_at = now;
	if (!l->second)
		open_second(l, now);
	if (!l->second) {
		heartbeat_on_link_failed(l->proxy->heartbeat, l->peer, now);
		peer_link_close(l, "connection broken");
	}
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
	l->n_received++;
	handle(l, wire_u64(&r), &r);
	msgpack_unpacked_destroy(&u);
	if (r.bad) {
		counter_add(CTR_PEER_BAD, 1);
		peer_link_close(l, "malformed message");
	}
}

/*
 * Handles a message of this type, the fields of which follow. The first of a
 * link that another VM opened must be HELLO.
 */
static void handle(struct peer_link *l, uint64_t type, struct wire_reader *r)
{
	if (l->peer[0])
		r->bad |= !handle_of_acceptor(l, type, r);
	else if ((l->n_received == 1) == (type == LINK_MSG_HELLO))
		r->bad |= !handle_of_opener(l, type, r);
	else
		r->bad = true;
}

/* Handles a message of the VM that opened the link; false: it sends no such. */
static bool handle_of_opener(struct peer_link *l, uint64_t type,
			     struct wire_reader *r)
{
	switch (type) {
	case LINK_MSG_HELLO:
		link_resume_on_hello(l, r);
		return true;
	case LINK_MSG_RESUME:
		link_resume_on_resume(l, r);
		return true;
	case LINK_MSG_RUN:
		remote_server_on_run(l, r);
		return true;
	case LINK_MSG_RELEASE:
		remote_server_on_release(l, r);
		return true;
	case LINK_MSG_PING:
		send_empty(l, LINK_MSG_PONG);
		return true;
	case LINK_MSG_COPY_REQUEST:
		registry_copy_on_request(l, r);
		return true;
	default:
		return false;
	}
}

/* Handles a message of the VM that accepted the link; false: as above. */
static bool handle_of_acceptor(struct peer_link *l, uint64_t type,
			       struct wire_reader *r)
{
	switch (type) {
	case LINK_MSG_RESUMED:
		link_resume_on_resumed(l, r);
		return true;
	case LINK_MSG_DONE:
		remote_client_on_done(l, r);
		return true;
	case LINK_MSG_LOST:
		remote_client_on_lost(l, r);
		return true;
	case LINK_MSG_PONG:
		return true;
	case LINK_MSG_COPY:
		registry_copy_on_copy(l, r);
		return true;
	default:
		return false;
	}
}
