#include "kernel/peer.h"

#include <stdlib.h>

#include "kernel/kernel.h"

/* Makes an empty table of handlers; NULL if memory is short. */
struct peer *peer_create(void)
{
	return calloc(1, sizeof(struct peer));
}

/* Frees the table; the plug-in that carries messages has stopped. */
void peer_destroy(struct peer *p)
{
	free(p);
}

/* Sets the handler of a type; messages that came before are lost. */
void peer_handle(struct kernel *k, enum peer_type type, peer_handle_fn fn,
		 void *ctx)
{
	struct peer_handler *h = &k->peer->handlers[type];

	h->ctx = ctx;
	/* The peer thread reads fn first, then ctx. */
	__atomic_store_n(&h->fn, fn, __ATOMIC_RELEASE);
}

/* Hands a body to its type's handler; a type without one is dropped. */
void peer_dispatch(struct kernel *k, enum peer_type type, const char *from,
		   uint64_t incarnation, const void *body, size_t len)
{
	struct peer_handler *h = &k->peer->handlers[type];
	peer_handle_fn fn = __atomic_load_n(&h->fn, __ATOMIC_ACQUIRE);

	if (fn)
		fn(h->ctx, from, incarnation, body, len);
}

/* Sends a message if there is a plug-in that can; else it is lost. */
void peer_send(struct kernel *k, const char *to, enum peer_type type,
	       const void *body, size_t len)
{
	if (k->peer && k->peer->send && len <= PEER_BODY_MAX_BYTES)
		k->peer->send(k->peer->ctx, to, type, body, len);
}
