#include "standin/omap.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LEVELS_MAX 20

/* A skip list; a node's level follows from the hash of its key. */
struct omap_node {
	char *key;
	void *value;
	int levels;
	struct omap_node *next[];
};

struct omap {
	void (*drop)(void *value);
	size_t n;
	struct omap_node *head;
};

static struct omap_node *node_create(const char *key, int levels);
static void node_destroy(struct omap *m, struct omap_node *n);
static int key_levels(const char *key);
static struct omap_node *seek(const struct omap *m, const char *key,
			      struct omap_node **before);

/* Makes an empty map. */
struct omap *omap_create(void (*drop)(void *value))
{
	struct omap *m = must_alloc(sizeof(*m));

	m->drop = drop;
	m->head = node_create("", LEVELS_MAX);
	return m;
}

/* Frees the map, dropping each value; NULL is allowed. */
void omap_destroy(struct omap *m)
{
	struct omap_node *n, *next;

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
void *omap_get(const struct omap *m, const char *key)
{
	struct omap_node *n = seek(m, key, NULL);

	return n && strcmp(n->key, key) == 0 ? n->value : NULL;
}

/* Sets the value under a key; a former, other one is dropped. */
void omap_put(struct omap *m, const char *key, void *value)
{
	struct omap_node *before[LEVELS_MAX];
	struct omap_node *n = seek(m, key, before);
	int i;

	if (n && strcmp(n->key, key) == 0) {
		if (m->drop && n->value != value)
			m->drop(n->value);
		n->value = value;
		return;
	}
	n = node_create(key, key_levels(key));
	n->value = value;
	i = 0;
	do {
		n->next[i] = before[i]->next[i];
		before[i]->next[i] = n;
	} while (++i < n->levels);
	m->n++;
}

/* Takes a key out, dropping its value. */
void omap_remove(struct omap *m, const char *key)
{
	struct omap_node *before[LEVELS_MAX];
	struct omap_node *n = seek(m, key, before);
	int i;

	if (!n || strcmp(n->key, key) != 0)
		return;
	for (i = 0; i < n->levels; i++)
		before[i]->next[i] = n->next[i];
	node_destroy(m, n);
	m->n--;
}

/* Returns the number of keys. */
size_t omap_size(const struct omap *m)
{
	return m->n;
}

/* Returns the first node at or after a key, or NULL. */
struct omap_node *omap_from(const struct omap *m, const char *key)
{
	return seek(m, key, NULL);
}

/* Returns the following node, or NULL. */
struct omap_node *omap_next(const struct omap_node *n)
{
	return n->next[0];
}

/* Returns a node's key. */
const char *omap_key(const struct omap_node *n)
{
	return n->key;
}

/* Returns a node's value. */
void *omap_value(const struct omap_node *n)
{
	return n->value;
}

/* Allocates zeroed bytes, or aborts. */
void *must_alloc(size_t bytes)
{
	void *p = calloc(1, bytes ? bytes : 1);

	if (!p) {
		fprintf(stderr, "out of memory\n");
		abort();
	}
	return p;
}

/* Copies a string, or aborts. */
char *must_strdup(const char *s)
{
	size_t n = strlen(s) + 1;
	char *p = must_alloc(n);

	memcpy(p, s, n);
	return p;
}

static struct omap_node *node_create(const char *key, int levels)
{
	size_t room = (size_t)levels * sizeof(struct omap_node *);
	struct omap_node *n = must_alloc(sizeof(*n) + room);

	n->key = must_strdup(key);
	n->levels = levels;
	return n;
}

static void node_destroy(struct omap *m, struct omap_node *n)
{
	if (m->drop)
		m->drop(n->value);
	free(n->key);
	free(n);
}

/* A quarter of the keys reach each further level. */
static int key_levels(const char *key)
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
 * Finds the first node not below "key". With "before" also fills in, per
 * level, the last node below it.
 */
static struct omap_node *seek(const struct omap *m, const char *key,
			      struct omap_node **before)
{
	struct omap_node *n = m->head;
	int i;

	for (i = LEVELS_MAX - 1; i >= 0; i--) {
		while (n->next[i] && strcmp(n->next[i]->key, key) < 0)
			n = n->next[i];
		if (before)
			before[i] = n;
	}
	return n->next[0];
}
