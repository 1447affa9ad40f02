#ifndef KERNEL_OBJECT_STORE_H
#define KERNEL_OBJECT_STORE_H

#include "decide/error.h"

struct kernel;
struct store;

/*
 * A cache of the platform's objects, each in the newest version known to this
 * VM. Watches, gossip and this VM's own writes all call store_update(). An
 * object that fails its check is refused as a whole and the previous version
 * stays in effect.
 */
typedef int (*store_check_fn)(void *ctx, const char *name, uint64_t version,
			      const char *body, struct error *e);
typedef void (*store_apply_fn)(void *ctx, const char *name, uint64_t version,
			       const char *body);

struct store *store_create(void);
void store_destroy(struct store *s);
/*
 * Subscribes to a prefix, and calls apply at once for the objects already
 * known. check may be NULL.
 */
void store_subscribe(struct store *s, const char *prefix, store_check_fn check,
		     store_apply_fn apply, void *ctx);
/* Returns true if the object is newer than the one known and was applied. */
bool store_update(struct store *s, const char *name, uint64_t version,
		  const char *body, struct error *e);
/* Called for each object under a prefix, in no order, with the lock held. */
typedef void (*store_visit_fn)(void *ctx, const char *name, uint64_t version,
			       size_t body_len);
void store_for_each(struct store *s, const char *prefix, store_visit_fn fn,
		    void *ctx);
size_t store_count(struct store *s);
/* Returns the size of the body in bytes; 0 if it is not known. */
size_t store_body_size(struct store *s, const char *name);
/* Returns the known version; 0 if there is none. */
uint64_t store_version(struct store *s, const char *name);
/* Returns a copy of the body for the caller to free, or NULL. */
char *store_get(struct store *s, const char *name, uint64_t *version);

#endif
