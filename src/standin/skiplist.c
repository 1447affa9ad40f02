#include "standin/skiplist.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LEVELS_MAX 20

/*
 * A node of a skip list. The number of levels derives from a hash of the key,
 * so that the shape of the list depends only on its keys.
 */
struct skiplist_node {
	char *key;
	void *value;
	int levels;
	struct skiplist_node *next[];
};

struct skiplist {
	void (*free_value)(void *value);
	size_t n_keys;
	struct skiplist_node *head;
};

static struct skiplist_node *node_create(const char *key, int levels);
static void node_destroy(struct skiplist *m, struct skiplist_node *n);
static int node_levels(const char *key);
static struct skiplist_node *find_lower_bound(const struct skiplist *m,
					      const char *key,
					      struct skiplist_node **prev);

/*
 * Returns an empty map. "free_value" frees a value that is replaced or
 * removed; it may be NULL.
 */
struct skiplist *skiplist_create(void (*free_value)(void *value))
{
	struct skiplist *m = xzalloc(sizeof(*m));

	m->free_value = free_value;
	m->head = node_create("", LEVELS_MAX);
	return m;
}

/* Frees the map and every value in it; NULL is allowed. */
void skiplist_destroy(struct skiplist *m)
{
	struct skiplist_node *n, *next;

	if (!m)
		return;
	for (n = m->head->next[0]; n; n = next) {
		next = n->next[0];
		node_destroy(m, n);
	}
	free(m->head->key);
	free(m->head);
	free(m);
}

/* Returns the value under a key, or NULL. */
void *skiplist_get(const struct skiplist *m, const char *key)
{
	struct skiplist_node *n = find_lower_bound(m, key, NULL);

	return n && strcmp(n->key, key) == 0 ? n->value : NULL;
}

/* Sets the value of a key and frees the previous value if it differs. */
void skiplist_put(struct skiplist *m, const char *key, void *value)
{
	struct skiplist_node *prev[LEVELS_MAX];
	struct skiplist_node *n = find_lower_bound(m, key, prev);
	int i;

	if (n && strcmp(n->key, key) == 0) {
		if (m->free_value && n->value != value)
			m->free_value(n->value);
		n->value = value;
		return;
	}
	n = node_create(key, node_levels(key));
	n->value = value;
	i = 0;
	do {
		n->next[i] = prev[i]->next[i];
		prev[i]->next[i] = n;
	} while (++i < n->levels);
	m->n_keys++;
}

/* Removes a key, if present, and frees its value. */
void skiplist_remove(struct skiplist *m, const char *key)
{
	struct skiplist_node *prev[LEVELS_MAX];
	struct skiplist_node *n = find_lower_bound(m, key, prev);
	int i;

	if (!n || strcmp(n->key, key) != 0)
		return;
	for (i = 0; i < n->levels; i++)
		prev[i]->next[i] = n->next[i];
	node_destroy(m, n);
	m->n_keys--;
}

/* Returns the number of keys. */
size_t skiplist_size(const struct skiplist *m)
{
	return m->n_keys;
}

/* Returns the first node whose key is not less than "key", or NULL. */
struct skiplist_node *skiplist_lower_bound(const struct skiplist *m,
					   const char *key)
{
	return find_lower_bound(m, key, NULL);
}

/* Returns the node with the next higher key, or NULL. */
struct skiplist_node *skiplist_next(const struct skiplist_node *n)
{
	return n->next[0];
}

/* Returns the key of a node. */
const char *skiplist_key(const struct skiplist_node *n)
{
	return n->key;
}

/* Returns the value of a node. */
void *skiplist_value(const struct skiplist_node *n)
{
	return n->value;
}

/* Returns zeroed memory; aborts the process if there is none. */
void *xzalloc(size_t bytes)
{
	void *p = calloc(1, bytes ? bytes : 1);

	if (!p) {
		fprintf(stderr, "out of memory\n");
		abort();
	}
	return p;
}

/* Returns a copy of a string; aborts the process if memory runs out. */
char *xstrdup(const char *s)
{
	size_t n = strlen(s) + 1;
	char *p = xzalloc(n);

	memcpy(p, s, n);
	return p;
}

/* Returns a node with a copy of the key and no value. */
static struct skiplist_node *node_create(const char *key, int levels)
{
	size_t size = (size_t)levels * sizeof(struct skiplist_node *);
	struct skiplist_node *n = xzalloc(sizeof(*n) + size);

	n->key = xstrdup(key);
	n->levels = levels;
	return n;
}

/* Frees a node and its value. */
static void node_destroy(struct skiplist *m, struct skiplist_node *n)
{
	if (m->free_value)
		m->free_value(n->value);
	free(n->key);
	free(n);
}

/*
 * Returns the number of levels of a key: each level holds a quarter of the
 * keys of the level below.
 */
static int node_levels(const char *key)
{
	uint64_t h = XXH3_64bits(key, strlen(key));
	int levels = 1;

	while (levels < LEVELS_MAX && (h & 3) == 0) {
		levels++;
		h >>= 2;
	}
	return levels;
}

/*
 * Returns the first node whose key is not less than "key". If "prev" is not
 * NULL, it gets the last node with a lower key on each level.
 */
static struct skiplist_node *find_lower_bound(const struct skiplist *m,
					      const char *key,
					      struct skiplist_node **prev)
{
	struct skiplist_node *n = m->head;
	int i;

	for (i = LEVELS_MAX - 1; i >= 0; i--) {
		while (n->next[i] && strcmp(n->next[i]->key, key) < 0)
			n = n->next[i];
		if (prev)
			prev[i] = n;
	}
	return n->next[0];
}
