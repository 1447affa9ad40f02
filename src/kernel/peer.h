#ifndef KERNEL_PEER_H
#define KERNEL_PEER_H

#include "decide/error.h"

struct kernel;

#define PEER_BODY_MAX_BYTES 1179648 /* an object of 1 MB and its frame */

/* Message types between VMs; each module has its own codec for its bodies. */
enum peer_type {
	PEER_GOSSIP = 1,   /* digests, versions and members */
	PEER_GOSSIP_REPLY, /* objects and what is asked for in return */
	PEER_ESCROW,	   /* ask, grant, recount: the escrow's codec */
	PEER_FORWARD,	   /* a request for a VM that holds connections */
	PEER_FORWARD_REPLY,
	PEER_OPINION, /* what do you hear of this database? */
	PEER_OPINION_REPLY,
	PEER_GROUP_VIEW, /* a new primary, told at once */
	PEER_TELL,	 /* an object just written, told at once */
	PEER_TOLD,	 /* the version of it that is now known */
	PEER_TYPE_COUNT
};

/* Runs on the peer thread; the bytes are valid only during the call. */
typedef void (*peer_handle_fn)(void *ctx, const char *from,
			       uint64_t incarnation, const void *body,
			       size_t len);

struct peer_handler {
	peer_handle_fn fn;
	void *ctx;
};

/* The handlers of all types, and the plug-in that carries messages. */
struct peer {
	struct peer_handler handlers[PEER_TYPE_COUNT];
	void (*send)(void *ctx, const char *to, enum peer_type type,
		     const void *body, size_t len); /* NULL: none yet */
	void *ctx;
};

struct peer *peer_create(void);
void peer_destroy(struct peer *p);
/* One handler a type, set before the first message is expected. */
void peer_handle(struct kernel *k, enum peer_type type, peer_handle_fn fn,
		 void *ctx);
/* For the plug-in: hands a received body to the type's handler, if any. */
void peer_dispatch(struct kernel *k, enum peer_type type, const char *from,
		   uint64_t incarnation, const void *body, size_t len);
/*
 * Any thread; the body is copied. Loss is silent, a full queue drops. "to" is
 * a VM's name, or the ip:port of one whose name is not known yet.
 */
void peer_send(struct kernel *k, const char *to, enum peer_type type,
	       const void *body, size_t len);

#endif
