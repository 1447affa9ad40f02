#ifndef PROXY_BEACON_OWN_H
#define PROXY_BEACON_OWN_H

#include <event2/event.h>
#include <msgpack.h>
#include <sys/socket.h>

#include "proxy/proxy_own.h"

/* Between beacon.c, which knows the peers and sends, and beacon_wire.c, which
 * writes and reads what is sent. */

/* Groups of one beacon. */
#define GROUPS_MAX 64
/* What a VM says of a primary that it can't say it hears. */
enum doubt {
	DOUBT_NONE,
	DOUBT_MISS,  /* would replace it */
	DOUBT_WAITS, /* waits for an answer for longer than is usual */
};

struct heard_group {
	char service[NAME_MAX_BYTES];
	bool hear;
	enum doubt doubt;
	bool at_work;
};

struct peer_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	struct sockaddr_storage to;
	socklen_t to_len;
	uint64_t incarnation;
	usec_t heard_at; /* 0: never */
	bool silent;
	bool deaf; /* it does not hear this VM, as it says */
	bool gone;
	bool draining;
	uint32_t n_groups;
	struct heard_group groups[GROUPS_MAX];
};

struct beacon {
	struct proxy *proxy;
	evutil_socket_t fd;
	struct event *readable;
	uint32_t n;
	struct peer_vm **peers;
	usec_t due;
	usec_t alone_at; /* most others were not heard then */
	usec_t ticked_at;
	uint64_t changes; /* of who may keep something; see beacon_first() */
	bool left;
};

/* This VM's beacon, as it is now. */
void beacon_pack(struct beacon *b, msgpack_sbuffer *buf, usec_t now);
/* Takes in one datagram of whatever kind. */
void beacon_take(struct beacon *b, const char *data, size_t len,
		 const struct sockaddr_storage *from, socklen_t from_len);
/* Finds a peer, or makes it; NULL if there is none. */
struct peer_vm *beacon_find(struct beacon *b, const char *name, bool make);
/* A peer was heard just now; "before" is when it was last, 0: never. */
void beacon_heard(struct beacon *b, struct peer_vm *v, usec_t before);

#endif
