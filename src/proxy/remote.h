#ifndef PROXY_REMOTE_H
#define PROXY_REMOTE_H

#include <msgpack.h>

#include "proxy/proxy_internal.h"

/*
 * Execution of statements at the VM that owns the connections to a database
 * (decide/db_owner.h). A link is a TCP connection from one VM to another; it
 * carries streams, one for each session that has work there. A message is a
 * length of 4 bytes, most significant first, and a msgpack array.
 */

/* Types of messages; the first field of each. */
enum link_msg_type {
	LINK_MSG_RUN = 1, /* run a statement */
	/* the session no longer needs the stream; rolls back */
	LINK_MSG_RELEASE = 2,
	LINK_MSG_DONE = 3, /* result of a statement */
	LINK_MSG_LOST = 4, /* the stream's transaction was lost while idle */
	LINK_MSG_PING = 5,
	LINK_MSG_PONG = 6,
	LINK_MSG_COPY_REQUEST = 7, /* of the platform's data */
	LINK_MSG_COPY = 8,
};

/* Bits of the flags of LINK_MSG_RUN. */
enum run_flag {
	RUN_IN_TX = 1,
	RUN_TX_READ_ONLY = 2,
	RUN_TX_OPEN = 4, /* an earlier statement of the stream began it */
	RUN_WRITE = 8,
	RUN_COMMIT = 16,
	RUN_NEEDS_PRIMARY = 32,
};

/* Bits of the flags of LINK_MSG_DONE. */
enum done_flag {
	DONE_STREAM_OPEN = 1, /* the transaction continues */
	/* no other primary can have been promoted when the reply arrived */
	DONE_PROVED = 2,
	/* it can't be served now: the statement is not to be tried again */
	DONE_FINAL = 4,
	/* the owner knows another primary, or none */
	DONE_NOT_PRIMARY = 8,
	/* it could not start before its deadline */
	DONE_OVERLOADED = 16,
	/* the database's failure domain is evacuated */
	DONE_EVACUATED = 32,
};

/* One end of a link. */
struct peer_link {
	TAILQ_ENTRY(peer_link) entry;
	struct proxy *proxy;
	struct bufferevent *bev;
	/* name of the VM that the link was opened to; empty if accepted */
	char peer[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES]; /* of the peer, if accepted */
	bool is_open;
	bool closed; /* waits for peer_link_reap() */
	usec_t opened_at;
	usec_t heard_at;     /* last data received */
	usec_t active_since; /* time since which statements are running */
	usec_t pinged_at;    /* unanswered PING; 0: none */
	usec_t used_at;
	uint32_t n_running;		     /* statements without a result */
	TAILQ_HEAD(, remote_stream) streams; /* of an opened link */
	TAILQ_HEAD(, served_stream) served;  /* of an accepted link */
};

/* A session's work at another VM, as the session's VM sees it. */
struct remote_stream {
	TAILQ_ENTRY(remote_stream) entry;
	struct peer_link *link;
	struct session *session;
	uint64_t id;
	uint32_t db; /* index in the session's group */
	bool running;
	usec_t sent_at;
};

/* A stream at the VM that executes it. */
struct served_stream {
	TAILQ_ENTRY(served_stream) entry;
	struct peer_link *link;
	uint64_t id;
	/* stands for the caller's session; it has no connection of a caller */
	struct session session;
};

/* peer_link.c */
/* Returns a link to the peer, opened if there is none; NULL if that fails. */
struct peer_link *peer_link_get(struct proxy *p, const char *peer);
/* Begins a message with this number of fields, its type included. */
void peer_link_begin(msgpack_sbuffer *buf, msgpack_packer *p, uint32_t fields,
		     enum link_msg_type type);
/* Sends one message and frees its buffer. */
void peer_link_send(struct peer_link *l, msgpack_sbuffer *buf);

/* remote_client.c */
void remote_client_on_done(struct peer_link *l, struct wire_reader *r);
void remote_client_on_lost(struct peer_link *l, struct wire_reader *r);
void remote_client_on_link_closed(struct peer_link *l);

/* registry_copy.c */
void registry_copy_on_request(struct peer_link *l, struct wire_reader *r);
void registry_copy_on_copy(struct peer_link *l, struct wire_reader *r);

/* remote_server.c */
void remote_server_on_run(struct peer_link *l, struct wire_reader *r);
void remote_server_on_release(struct peer_link *l, struct wire_reader *r);
void remote_server_on_link_closed(struct peer_link *l);

#endif
