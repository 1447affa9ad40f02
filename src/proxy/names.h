#ifndef PROXY_NAMES_H
#define PROXY_NAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NAMES_MAX 256 /* entries of one table */

struct strmap_entry {
	char *name;
	char *value;
	bool flag;
};

/* A small table of names and values; all zeroes is an empty one. */
struct strmap {
	uint32_t n;
	uint32_t capacity;
	struct strmap_entry *entries;
};

/* Sets a name; false if the table is full or memory is short. */
bool names_set(struct strmap *t, const char *name, size_t name_len,
	       const char *value, size_t value_len, bool flag);
void names_remove(struct strmap *t, const char *name, size_t len);
const struct strmap_entry *names_find(const struct strmap *t, const char *name,
				      size_t len);
void names_clear(struct strmap *t);
/* Has "a" a name that "b" lacks? */
bool names_exceed(const struct strmap *a, const struct strmap *b);
/* How many names of "want" are missing in "have" or have another value. */
uint32_t names_differ(const struct strmap *have, const struct strmap *want);

#endif
