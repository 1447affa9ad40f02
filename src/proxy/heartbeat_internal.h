#ifndef PROXY_HEARTBEAT_INTERNAL_H
#define PROXY_HEARTBEAT_INTERNAL_H

#include <event2/event.h>
#include <msgpack.h>
#include <sys/socket.h>

#include "proxy/proxy_internal.h"

/*
 * Shared by heartbeat.c, which tracks the peers and sends, and
 * heartbeat_codec.c, which encodes and decodes the datagrams.
 */

/* groups reported in one heartbeat */
#define HEARTBEAT_GROUPS_MAX 64
/* What a VM reports of a primary that it finds unresponsive. */
enum primary_suspicion {
	SUSPICION_NONE,
	SUSPICION_DOWN, /* counts as failed; the VM would replace it */
	SUSPICION_SLOW, /* a response takes longer than is usual */
};

struct peer_group_state {
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
	usec_t last_seen_at; /* time of its last heartbeat; 0: never */
	bool silent;
	/* it reports that it does not receive this VM's heartbeats */
	bool no_return_path;
	bool gone; /* silent for so long that it counts as removed */
	bool draining;
	/* it knows the configuration, the databases and the VMs */
	bool ready;
	uint32_t capacity; /* share of a core, in thousandths; 0: unknown */
	/* links to it failed: it owns no database until then; 0: they work */
	usec_t link_retry_at;
	uint32_t n_groups;
	struct peer_group_state groups[HEARTBEAT_GROUPS_MAX];
};

struct heartbeat {
	struct proxy *proxy;
	evutil_socket_t fd;
	struct event *readable;
	uint32_t n;
	struct peer_vm **peers;
	usec_t next_send_at;
	/* last time when fewer than half of the peers were live; 0: never */
	usec_t minority_at;
	usec_t ticked_at;
	uint64_t owners_version; /* changes with the result of
				    heartbeat_service_owner() */
	bool left; /* has left the rate limits, as this VM is draining */
};

/* Encodes this VM's current heartbeat. */
void heartbeat_encode(struct heartbeat *b, msgpack_sbuffer *buf, usec_t now);
/* Handles one datagram of any type. */
void heartbeat_receive(struct heartbeat *b, const char *data, size_t len,
		       const struct sockaddr_storage *from, socklen_t from_len);
/* Finds a peer by name, or adds it if "make" is set; NULL if that fails. */
struct peer_vm *heartbeat_find_peer(struct heartbeat *b, const char *name,
				    bool make);
/*
 * Called when a heartbeat was received from a peer; "prev_seen_at" is when the
 * previous one was, 0: never.
 */
void heartbeat_on_received(struct heartbeat *b, struct peer_vm *v,
			   usec_t prev_seen_at);

#endif
