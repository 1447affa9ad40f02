#include "kernel/peer.h"

#include <stdlib.h>

#include "kernel/kernel.h"

/* Creates an empty table of handlers; NULL if memory is short. */
struct peer *peer_create(void)
{
	return calloc(1, sizeof(struct peer));
}

/* Frees the table. The plug-in that transports messages must have stopped. */
void peer_destroy(struct peer *p)
{
	free(p);
}

/* Sets the handler of a type. Earlier messages of that type were dropped. */
void peer_set_handler(struct kernel *k, enum peer_type type, peer_handler_fn fn,
		      void *ctx)
{
	struct peer_handler *h = &k->peer->handlers[type];

	h->ctx = ctx;
	/* The peer thread reads fn before ctx, so ctx is set first. */
	__atomic_store_n(&h->fn, fn, __ATOMIC_RELEASE);
}

/* Passes a body to its type's handler; drops it if there is none. */
void peer_dispatch(struct kernel *k, enum peer_type type, const char *from,
		   uint64_t incarnation, const void *body, size_t len)
{
	struct peer_handler *h = &k->peer->handlers[type];
	peer_handler_fn fn = __atomic_load_n(&h->fn, __ATOMIC_ACQUIRE);

	if (fn)
		fn(h->ctx, from, incarnation, body, len);
}

/* Sends a message if there is a plug-in for it; otherwise drops it. */
void peer_send(struct kernel *k, const char *to, enum peer_type type,
	       const void *body, size_t len)
{
	if (k->peer && k->peer->send && len <= PEER_BODY_MAX_BYTES)
		k->peer->send(k->peer->ctx, to, type, body, len);
}
