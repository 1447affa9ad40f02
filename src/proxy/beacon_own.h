#ifndef PROXY_BEACON_OWN_H
#define PROXY_BEACON_OWN_H

#include <event2/event.h>
#include <msgpack.h>
#include <sys/socket.h>

#include "proxy/proxy_own.h"

/* Between beacon.c, which knows the peers and sends, and beacon_wire.c, which
 * writes and reads what is sent. */

/* Groups of one beacon. */
#define HEARTBEAT_GROUPS_MAX 64
/* What a VM says of a primary that it can't say it hears. */
enum primary_suspicion {
	SUSPICION_NONE,
	SUSPICION_DOWN, /* would replace it */
	SUSPICION_SLOW, /* waits for an answer for longer than is usual */
};

struct heard_group {
	char service[NAME_MAX_BYTES];
	bool is_reachable;
	enum primary_suspicion suspicion;
	bool in_failover;
};

struct peer_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	struct sockaddr_storage addr;
	socklen_t addr_len;
	uint64_t incarnation;
	usec_t last_seen_at; /* 0: never */
	bool silent;
	bool no_return_path; /* it does not hear this VM, as it says */
	bool gone;
	bool draining;
	uint32_t n_groups;
	struct heard_group groups[HEARTBEAT_GROUPS_MAX];
};

struct heartbeat {
	struct proxy *proxy;
	evutil_socket_t fd;
	struct event *readable;
	uint32_t n;
	struct peer_vm **peers;
	usec_t next_send_at;
	usec_t minority_at; /* most others were not heard then */
	usec_t ticked_at;
	uint64_t owners_version; /* of who may keep something; see
				    beacon_first() */
	bool left;
};

/* This VM's beacon, as it is now. */
void beacon_pack(struct heartbeat *b, msgpack_sbuffer *buf, usec_t now);
/* Takes in one datagram of whatever kind. */
void beacon_take(struct heartbeat *b, const char *data, size_t len,
		 const struct sockaddr_storage *from, socklen_t from_len);
/* Finds a peer, or makes it; NULL if there is none. */
struct peer_vm *beacon_find(struct heartbeat *b, const char *name, bool make);
/* A peer was heard just now; "before" is when it was last, 0: never. */
void beacon_heard(struct heartbeat *b, struct peer_vm *v, usec_t before);

#endif
