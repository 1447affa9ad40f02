#ifndef KERNEL_STORE_H
#define KERNEL_STORE_H

#include "decide/error.h"

struct kernel;
struct store;

/*
 * The platform objects that this VM knows, each by its version, upwards only.
 * Watch, gossip and own accepted writes all end in store_offer(). An object
 * that fails its check is refused whole and the former one stays in force.
 */
typedef int (*store_check_fn)(void *ctx, const char *name, uint64_t version,
			      const char *body, struct error *e);
typedef void (*store_apply_fn)(void *ctx, const char *name, uint64_t version,
			       const char *body);

struct store *store_create(void);
void store_destroy(struct store *s);
/* Calls apply at once for what is known already; check may be NULL. */
void store_subscribe(struct store *s, const char *prefix, store_check_fn check,
		     store_apply_fn apply, void *ctx);
/* True if the object is newer than the one known and was applied. */
bool store_offer(struct store *s, const char *name, uint64_t version,
		 const char *body, struct error *e);
/* Calls fn for each object under a prefix, in no order; under the lock. */
typedef void (*store_each_fn)(void *ctx, const char *name, uint64_t version,
			      size_t body_len);
void store_each(struct store *s, const char *prefix, store_each_fn fn,
		void *ctx);
size_t store_count(struct store *s);
/* Bytes of the body known, 0 if none. */
size_t store_size(struct store *s, const char *name);
/* Version known, 0 if none. */
uint64_t store_version(struct store *s, const char *name);
/* A malloc'd copy of the body, or NULL. */
char *store_get(struct store *s, const char *name, uint64_t *version);

#endif
