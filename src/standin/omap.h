#ifndef STANDIN_OMAP_H
#define STANDIN_OMAP_H

#include <stddef.h>

/* An ordered map from strings to pointers; the caller holds the lock. */
struct omap;
struct omap_node;

/* "drop" frees a value that is replaced or removed; may be NULL. */
struct omap *omap_create(void (*drop)(void *value));
void omap_destroy(struct omap *m);
void *omap_get(const struct omap *m, const char *key);
void omap_put(struct omap *m, const char *key, void *value);
void omap_remove(struct omap *m, const char *key);
size_t omap_size(const struct omap *m);
/* The first node whose key is not below "key". */
struct omap_node *omap_from(const struct omap *m, const char *key);
struct omap_node *omap_next(const struct omap_node *n);
const char *omap_key(const struct omap_node *n);
void *omap_value(const struct omap_node *n);

/* Allocation that ends the process when memory does. */
void *must_alloc(size_t bytes);
char *must_strdup(const char *s);

#endif
