#ifndef KERNEL_PEER_H
#define KERNEL_PEER_H

#include "decide/error.h"

struct kernel;

#define PEER_BODY_MAX_BYTES 1179648 /* an object of 1 MB and its envelope */

/* Message types between VMs; each module has its own codec for its bodies. */
enum peer_type {
	PEER_GOSSIP = 1,   /* digests, versions and members */
	PEER_GOSSIP_REPLY, /* objects, and requests for others in return */
	PEER_ESCROW,	   /* transfers and recounts of team limits */
	PEER_FORWARD,	   /* a request for the VM that holds its transaction */
	PEER_FORWARD_REPLY,
	PEER_OPINION, /* asks whether the peer hears from the primary */
	PEER_OPINION_REPLY,
	PEER_GROUP_VIEW,  /* announces a new primary, or a hold on writes */
	PEER_OBJECT_PUSH, /* pushes an object that was just written */
	PEER_OBJECT_ACK,  /* acknowledges the version now known */
	PEER_TYPE_COUNT
};

/* Runs on the peer thread. The body is valid only during the call. */
typedef void (*peer_handler_fn)(void *ctx, const char *from,
				uint64_t incarnation, const void *body,
				size_t len);

struct peer_handler {
	peer_handler_fn fn;
	void *ctx;
};

/* The handlers of all types, and the plug-in that transports messages. */
struct peer {
	struct peer_handler handlers[PEER_TYPE_COUNT];
	void (*send)(void *ctx, const char *to, enum peer_type type,
		     const void *body, size_t len); /* NULL: no plug-in */
	void *ctx;
};

struct peer *peer_create(void);
void peer_destroy(struct peer *p);
/* Sets the one handler of a type, before its first message is expected. */
void peer_set_handler(struct kernel *k, enum peer_type type, peer_handler_fn fn,
		      void *ctx);
/*
 * Passes a received body to the type's handler, if there is one. For the
 * plug-in.
 */
void peer_dispatch(struct kernel *k, enum peer_type type, const char *from,
		   uint64_t incarnation, const void *body, size_t len);
/*
 * Sends a message; the body is copied. Any thread. Delivery is not guaranteed:
 * a loss is not reported, and a full queue drops messages. "to" is a VM's name,
 * or the ip:port of a VM whose name is not known yet.
 */
void peer_send(struct kernel *k, const char *to, enum peer_type type,
	       const void *body, size_t len);

#endif
