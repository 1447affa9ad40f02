#ifndef STANDIN_SKIPLIST_H
#define STANDIN_SKIPLIST_H

#include <stddef.h>

/*
 * An ordered map from strings to pointers. It has no lock of its own; the
 * caller serializes access.
 */
struct skiplist;
struct skiplist_node;

struct skiplist *skiplist_create(void (*free_value)(void *value));
void skiplist_destroy(struct skiplist *m);
void *skiplist_get(const struct skiplist *m, const char *key);
void skiplist_put(struct skiplist *m, const char *key, void *value);
void skiplist_remove(struct skiplist *m, const char *key);
size_t skiplist_size(const struct skiplist *m);
struct skiplist_node *skiplist_lower_bound(const struct skiplist *m,
					   const char *key);
struct skiplist_node *skiplist_next(const struct skiplist_node *n);
const char *skiplist_key(const struct skiplist_node *n);
void *skiplist_value(const struct skiplist_node *n);

void *xzalloc(size_t bytes);
char *xstrdup(const char *s);

#endif
