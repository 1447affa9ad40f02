#ifndef PROXY_HEARTBEAT_INTERNAL_H
#define PROXY_HEARTBEAT_INTERNAL_H

#include <event2/event.h>
#include <msgpack.h>
#include <sys/socket.h>

#include "proxy/proxy_internal.h"

/*
 * Shared by heartbeat.c, which tracks the peers and sends, heartbeat_codec.c,
 * which encodes and decodes the datagrams, and heartbeat_view.c, which answers
 * questions about the fleet.
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
	uint32_t name_hash; /* stands for the name in heartbeats */
	char domain[NAME_MAX_BYTES];
	struct sockaddr_storage addr;
	socklen_t addr_len;
	uint64_t incarnation;
	usec_t last_seen_at;   /* time of the newest news of it; 0: never */
	usec_t direct_seen_at; /* time of its last heartbeat; 0: never */
	bool silent;
	/* it reports that it does not receive this VM's heartbeats */
	bool no_return_path;
	bool gone; /* silent for so long that it counts as removed */
	bool draining;
	/* it knows the configuration, the databases and the VMs */
	bool ready;
	bool is_reader;	     /* it reads the platform's data for its domain */
	bool platform_fails; /* the platform does not answer it */
	uint8_t capacity;    /* share of a core, in hundredths; 0: unknown */
	/* links to it failed: it owns no database until then; 0: they work */
	usec_t link_retry_at;
	/* states of groups in its last heartbeat; NULL: none */
	uint32_t n_groups;
	struct peer_group_state *groups;
};

/* What is passed on about a peer. */
struct peer_news {
	bool ready;
	bool draining;
	bool platform_fails;
	uint8_t capacity;
};

struct heartbeat {
	struct proxy *proxy;
	evutil_socket_t fd;
	struct event *readable;
	uint32_t n;
	struct peer_vm **peers;
	struct peer_vm **by_hash; /* ordered by name_hash */
	uint64_t members_hash;	  /* of the names of all VMs, in any order */
	uint32_t n_reporting;	  /* peers that report states of groups */
	usec_t next_send_at;
	/* last time when fewer than half of the peers were live; 0: never */
	usec_t minority_at;
	usec_t ticked_at;
	usec_t arrived_after; /* datagrams that are read arrived after this */
	bool reads_waiting;   /* reads those that waited for a suspended VM */
	uint64_t owners_version; /* changes with the result of
				    heartbeat_service_owner() */
	bool tell_domain;     /* the next heartbeat goes to the whole domain */
	bool tell_readers;    /* and to all readers of the fleet */
	bool is_reader;	      /* this VM reads for its domain */
	bool is_first_reader; /* and is one of the first by rank */
	uint32_t n_readers;   /* in the fleet */
	/* VMs of this VM's domain that the platform does not answer */
	uint32_t n_failing;
	bool own_platform_fails;   /* the platform does not answer this VM */
	uint64_t platform_version; /* changes with any platform_fails */
	/* owners_version + platform_version + 1 when computed */
	uint64_t readers_version;
	bool left; /* has left the rate limits, as this VM is draining */
};

/* Encodes this VM's current heartbeat. */
void heartbeat_encode(struct heartbeat *b, msgpack_sbuffer *buf, usec_t now);
/*
 * True if a failover of the group may be needed or in progress, so that the VMs
 * that take part in it have to hear of it at once.
 */
bool heartbeat_is_urgent(const struct heartbeat *b, struct db_group *g,
			 usec_t now);
/* Finds a peer by the hash of its name, or NULL. */
struct peer_vm *heartbeat_find_hash(const struct heartbeat *b, uint32_t hash);
uint32_t heartbeat_name_hash(const char *name);
/*
 * Finds the peers that begin a failover of the service first, by their indexes;
 * returns how many, at most FAILOVER_FIRST_RANKS.
 */
uint32_t heartbeat_first_ranks(const struct heartbeat *b, const char *service,
			       uint32_t out[FAILOVER_FIRST_RANKS]);
/* The rendezvous hash of a VM for a service. */
uint64_t heartbeat_rank_hash(const char *vm, const char *service);
/* Applies newer news of a peer that another one passed on. */
void heartbeat_on_news(struct heartbeat *b, struct peer_vm *v, usec_t seen_at,
		       const struct peer_news *n, usec_t now);
/* Chooses the readers of all domains anew if the live VMs have changed. */
void heartbeat_update_readers(struct heartbeat *b);
/* This VM's share of a core, in hundredths. */
uint8_t heartbeat_own_capacity(const struct heartbeat *b);
/* Handles one datagram of any type. */
void heartbeat_receive(struct heartbeat *b, const char *data, size_t len,
		       const struct sockaddr_storage *from, socklen_t from_len);
/* Encodes and decodes a read that a VM tells, without its data. */
void heartbeat_pack_read(msgpack_packer *p, const struct confirmation_told *t);
void heartbeat_unpack_read(const struct heartbeat *b, struct wire_reader *r,
			   struct confirmation_told *out);
/* Handles a datagram with a read. */
void heartbeat_on_read(struct heartbeat *b, struct wire_reader *r);
/*
 * Returns an age that a datagram tells, with the time that it may have waited
 * for a VM that was suspended.
 */
uint64_t heartbeat_arrived_age(const struct heartbeat *b, uint64_t age_ms);
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
