#ifndef PROXY_STRMAP_H
#define PROXY_STRMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STRMAP_ENTRIES_MAX 256 /* entries of one map */

struct strmap_entry {
	char *name;
	char *value;
	bool flag;
};

/* A small map of strings to strings; all zeroes is an empty one. */
struct strmap {
	uint32_t n;
	uint32_t capacity;
	struct strmap_entry *entries;
};

/* Sets a value. Returns false if the map is full or memory is short. */
bool strmap_set(struct strmap *t, const char *name, size_t name_len,
		const char *value, size_t value_len, bool flag);
void strmap_remove(struct strmap *t, const char *name, size_t len);
const struct strmap_entry *strmap_find(const struct strmap *t, const char *name,
				       size_t len);
void strmap_clear(struct strmap *t);
/* True if "a" has a name that "b" lacks. */
bool strmap_has_extra(const struct strmap *a, const struct strmap *b);
/* Counts the names of "want" that are missing or differ in "have". */
uint32_t strmap_count_changes(const struct strmap *have,
			      const struct strmap *want);

#endif
