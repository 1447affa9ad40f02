#include "proxy/strmap.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_INITIAL 4

static struct strmap_entry *find_entry(const struct strmap *t, const char *name,
				       size_t len);
static bool ensure_capacity(struct strmap *t);

/*
 * Adds a name or replaces its value. Returns false if the map is full or memory
 * is short.
 */
bool strmap_set(struct strmap *t, const char *name, size_t name_len,
		const char *value, size_t value_len, bool flag)
{
	struct strmap_entry *entry = find_entry(t, name, name_len);
	char *copy = strndup(value, value_len);

	if (!copy)
		return false;
	if (entry) {
		free(entry->value);
		entry->value = copy;
		entry->flag = flag;
		return true;
	}
	if (t->n < STRMAP_ENTRIES_MAX && ensure_capacity(t)) {
		entry = &t->entries[t->n];
		entry->name = strndup(name, name_len);
		if (entry->name) {
			entry->value = copy;
			entry->flag = flag;
			t->n++;
			return true;
		}
	}
	free(copy);
	return false;
}

/* Removes a name, if it is present. */
void strmap_remove(struct strmap *t, const char *name, size_t len)
{
	struct strmap_entry *entry = find_entry(t, name, len);

	if (!entry)
		return;
	free(entry->name);
	free(entry->value);
	*entry = t->entries[--t->n];
}

/* Finds a name; NULL if it is not present. */
const struct strmap_entry *strmap_find(const struct strmap *t, const char *name,
				       size_t len)
{
	return find_entry(t, name, len);
}

/* Frees all entries and leaves the map empty. */
void strmap_clear(struct strmap *t)
{
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		free(t->entries[i].name);
		free(t->entries[i].value);
	}
	free(t->entries);
	memset(t, 0, sizeof(*t));
}

/* Tells whether some name of "a" is missing in "b". */
bool strmap_has_extra(const struct strmap *a, const struct strmap *b)
{
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		if (!find_entry(b, a->entries[i].name,
				strlen(a->entries[i].name)))
			return true;
	}
	return false;
}

/* Counts the names that would have to be set in "have". */
uint32_t strmap_count_changes(const struct strmap *have,
			      const struct strmap *want)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < want->n; i++) {
		const struct strmap_entry *wanted = &want->entries[i];
		const struct strmap_entry *found =
			find_entry(have, wanted->name, strlen(wanted->name));

		if (!found || strcmp(found->value, wanted->value) != 0)
			n++;
	}
	return n;
}

/*
 * Finds a name, which need not end with a zero byte; NULL if it is not present.
 */
static struct strmap_entry *find_entry(const struct strmap *t, const char *name,
				       size_t len)
{
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		if (strncmp(t->entries[i].name, name, len) == 0 &&
		    t->entries[i].name[len] == '\0')
			return &t->entries[i];
	}
	return NULL;
}

/* Makes room for one more entry. Returns false if memory is short. */
static bool ensure_capacity(struct strmap *t)
{
	uint32_t capacity = t->capacity ? t->capacity * 2 : CAPACITY_INITIAL;
	struct strmap_entry *entries;

	if (t->n < t->capacity)
		return true;
	entries = realloc(t->entries, capacity * sizeof(*entries));
	if (!entries)
		return false;
	t->entries = entries;
	t->capacity = capacity;
	return true;
}
