#ifndef PROXY_REMOTE_H
#define PROXY_REMOTE_H

#include <msgpack.h>

#include "decide/stream_record.h"
#include "proxy/proxy_internal.h"

/*
 * Execution of statements at the VM that owns the connections to a database
 * (decide/db_owner.h). A link is a TCP connection from one VM to another; it
 * carries streams, one for each session that has work there. A message is a
 * length of 4 bytes, most significant first, and a msgpack array. The VM that
 * opened a link sends HELLO first, and if the link replaces a silent one RESUME
 * second. A message that is malformed or from the wrong side closes its link.
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
	LINK_MSG_HELLO = 9,    /* who opened the link, and the link's id */
	LINK_MSG_RESUME = 10,  /* asks for the streams of an earlier link */
	LINK_MSG_RESUMED = 11, /* what became of each of them */
};

/* Bits of the flags of LINK_MSG_RUN. */
enum run_flag {
	RUN_IN_TX = 1,
	RUN_TX_READ_ONLY = 2,
	RUN_TX_OPEN = 4, /* an earlier statement of the stream began it */
	RUN_WRITE = 8,
	RUN_COMMIT = 16,
	RUN_NEEDS_PRIMARY = 32,
	RUN_NO_CHOICE = 64, /* no other database can run it */
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
	/* the database is cold and can take no more reads now */
	DONE_COLD = 32,
	/* the database's failure domain is evacuated */
	DONE_EVACUATED = 64,
};

/* A cold database that could take no more reads is not chosen for this long. */
#define COLD_RETRY_US (500 * USEC_PER_MSEC)

/* One end of a link. */
struct peer_link {
	TAILQ_ENTRY(peer_link) entry;
	struct proxy *proxy;
	struct bufferevent *bev;
	/* name of the VM that the link was opened to; empty if accepted */
	char peer[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES]; /* of the peer, if accepted */
	/* name and incarnation of the VM that opened it, if accepted */
	char opener[NAME_MAX_BYTES];
	uint64_t opener_incarnation;
	uint64_t id;	     /* unique among the links of its opener */
	uint64_t n_received; /* messages */
	bool is_open;
	bool closed; /* waits for peer_link_reap() */
	usec_t opened_at;
	usec_t heard_at;     /* last data received */
	usec_t active_since; /* time since which statements are running */
	usec_t pinged_at;    /* unanswered PING; 0: none */
	usec_t used_at;
	usec_t second_at; /* when a link beside it was last opened; 0: never */
	/*
	 * A second link beside a silent one: each knows the other until one of
	 * them is closed. The first is replaced once RESUME was sent on the
	 * second, and its streams are then those of the second.
	 */
	struct peer_link *first;
	struct peer_link *second;
	bool is_replaced;
	/* it broke; the VM that opened it asks for its streams on another one
	 */
	bool is_broken;
	usec_t broken_at;
	bool is_resuming;		     /* RESUMED is outstanding */
	struct stream_record record;	     /* of an accepted link */
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
	uint64_t number; /* of its last statement */
	uint32_t db;	 /* index in the session's group */
	bool running;
	bool is_resuming; /* asked for on a second link, not answered yet */
	usec_t sent_at;
};

/* A stream at the VM that executes it. */
struct served_stream {
	TAILQ_ENTRY(served_stream) entry;
	struct peer_link *link;
	uint64_t id;
	uint64_t number; /* of its last statement */
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
/* Closes a link; what is still buffered on it is not handled any more. */
void peer_link_close(struct peer_link *l, const char *reason);

/* link_resume.c */
void link_resume_send_hello(struct peer_link *l);
void link_resume_on_hello(struct peer_link *l, struct wire_reader *r);
/* Moves the streams of the first link to the second one and asks for them. */
void link_resume_start(struct peer_link *second);
void link_resume_on_resume(struct peer_link *l, struct wire_reader *r);
void link_resume_on_resumed(struct peer_link *l, struct wire_reader *r);

/* remote_client.c */
void remote_client_on_done(struct peer_link *l, struct wire_reader *r);
void remote_client_on_lost(struct peer_link *l, struct wire_reader *r);
void remote_client_on_link_closed(struct peer_link *l);
/* Finds a stream of a link, or of the one that replaced it. */
struct remote_stream *remote_client_find(struct peer_link *l, uint64_t id);
/* Sends a statement again that the other VM never received. */
void remote_client_send_again(struct remote_stream *r);
/* Ends a stream whose statement or transaction the other VM doesn't know. */
void remote_client_end_unknown(struct remote_stream *r);

/* registry_copy.c */
void registry_copy_on_request(struct peer_link *l, struct wire_reader *r);
void registry_copy_on_copy(struct peer_link *l, struct wire_reader *r);

/* remote_server.c */
void remote_server_on_run(struct peer_link *l, struct wire_reader *r);
void remote_server_on_release(struct peer_link *l, struct wire_reader *r);
void remote_server_on_link_closed(struct peer_link *l);
struct served_stream *remote_server_find(struct peer_link *l, uint64_t id);
/* Moves a stream to another link. */
void remote_server_move(struct served_stream *v, struct peer_link *to);
/* Closes a stream; a transaction that is open on it is rolled back. */
void remote_server_close(struct served_stream *v);

#endif
