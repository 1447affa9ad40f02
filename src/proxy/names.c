#include "proxy/names.h"

#include <stdlib.h>
#include <string.h>

#define ROOM_FIRST 4

static struct name *find(const struct names *t, const char *name, size_t len);
static bool grow(struct names *t);

/* Sets the value of a name, whether it was there or not. */
bool names_set(struct names *t, const char *name, size_t name_len,
	       const char *value, size_t value_len, bool flag)
{
	struct name *e = find(t, name, name_len);
	char *copy = strndup(value, value_len);

	if (!copy)
		return false;
	if (e) {
		free(e->value);
		e->value = copy;
		e->flag = flag;
		return true;
	}
	if (t->n < NAMES_MAX && grow(t)) {
		e = &t->at[t->n];
		e->name = strndup(name, name_len);
		if (e->name) {
			e->value = copy;
			e->flag = flag;
			t->n++;
			return true;
		}
	}
	free(copy);
	return false;
}

/* Removes a name, if it is there. */
void names_remove(struct names *t, const char *name, size_t len)
{
	struct name *e = find(t, name, len);

	if (!e)
		return;
	free(e->name);
	free(e->value);
	*e = t->at[--t->n];
}

/* Finds a name; NULL if it is not there. */
const struct name *names_find(const struct names *t, const char *name,
			      size_t len)
{
	return find(t, name, len);
}

/* Frees all that the table holds and leaves it empty. */
void names_clear(struct names *t)
{
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		free(t->at[i].name);
		free(t->at[i].value);
	}
	free(t->at);
	memset(t, 0, sizeof(*t));
}

/* Tells whether some name of "a" is missing in "b". */
bool names_exceed(const struct names *a, const struct names *b)
{
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		if (!find(b, a->at[i].name, strlen(a->at[i].name)))
			return true;
	}
	return false;
}

/* Counts what would have to be set. */
uint32_t names_differ(const struct names *have, const struct names *want)
{
	uint32_t differ = 0;
	uint32_t i;

	for (i = 0; i < want->n; i++) {
		const struct name *w = &want->at[i];
		const struct name *h = find(have, w->name, strlen(w->name));

		if (!h || strcmp(h->value, w->value) != 0)
			differ++;
	}
	return differ;
}

static struct name *find(const struct names *t, const char *name, size_t len)
{
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		if (strncmp(t->at[i].name, name, len) == 0 &&
		    t->at[i].name[len] == '\0')
			return &t->at[i];
	}
	return NULL;
}

/* Makes room for one more. */
static bool grow(struct names *t)
{
	uint32_t room = t->room ? t->room * 2 : ROOM_FIRST;
	struct name *at;

	if (t->n < t->room)
		return true;
	at = realloc(t->at, room * sizeof(*at));
	if (!at)
		return false;
	t->at = at;
	t->room = room;
	return true;
}
