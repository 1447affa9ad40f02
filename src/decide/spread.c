#include "decide/spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/hash_index.h"

#define ROOM_FIRST	64
#define REVISION_UNSEEN UINT64_MAX /* after all revisions */

struct entry {
	struct spread_object o;
	uint64_t hash;
};

/*
 * Entries stay at their handle. "order" holds the handles by revision and
 * then by hash; those without a revision come last.
 */
struct spread {
	struct entry *entries;
	uint32_t *order;
	uint32_t n;
	uint32_t n_order;
	uint32_t room;
	uint64_t complete;
	struct hash_index index;
};

struct answer_room {
	struct spread_object *out;
	size_t n;
	size_t max;
	size_t bytes;
	spread_size_fn size;
	void *ctx;
};

static uint32_t find(const struct spread *s, const char *name, uint64_t hash);
static uint32_t add(struct spread *s, const char *name, uint64_t hash);
static bool grow(struct spread *s);
static void unlink_entry(struct spread *s, uint32_t h);
static void link_entry(struct spread *s, uint32_t h);
static uint32_t place(const struct spread *s, uint64_t revision, uint64_t hash);
static uint64_t rank(const struct entry *t);
static bool named(const struct spread_ask *ask, const struct spread_object *o);
static bool fit(struct answer_room *r, const struct spread_object *o);

/* An empty table, complete to 0; NULL without memory. */
struct spread *spread_create(void)
{
	return calloc(1, sizeof(struct spread));
}

void spread_destroy(struct spread *s)
{
	if (!s)
		return;
	hash_index_free(&s->index);
	free(s->entries);
	free(s->order);
	free(s);
}

/*
 * An object came into force here. An older version is passed over; the same
 * version takes a revision if it had none. False without memory.
 */
bool spread_seen(struct spread *s, const char *name, uint64_t version,
		 uint64_t revision)
{
	uint64_t hash = hash_name(name);
	uint32_t h = find(s, name, hash);
	struct spread_object *o;

	if (h == HANDLE_NONE) {
		h = add(s, name, hash);
		if (h == HANDLE_NONE)
			return false;
	} else {
		o = &s->entries[h].o;
		if (version < o->version ||
		    (version == o->version && (o->revision || !revision)))
			return true;
		unlink_entry(s, h);
	}
	o = &s->entries[h].o;
	o->version = version;
	o->revision = revision;
	link_entry(s, h);
	return true;
}

/* All up to this revision has been applied here. */
void spread_complete_to(struct spread *s, uint64_t revision)
{
	if (revision > s->complete)
		s->complete = revision;
}

uint64_t spread_complete(const struct spread *s)
{
	return s->complete;
}

/* Fills in a question, to be begun anew at whichever peer it goes to. */
void spread_ask_fill(const struct spread *s, uint64_t id,
		     struct spread_ask *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->id = id;
	out->complete = s->complete;
	for (i = place(s, REVISION_UNSEEN, 0);
	     i < s->n_order && out->n < SPREAD_UNSEEN_MAX; i++)
		out->unseen[out->n++] = s->entries[s->order[i]].o;
}

/*
 * Chooses what to send to a peer that asked; see the header. What moves to a
 * later revision between two pieces is beyond the "upto" that the first one
 * fixed, so the asker is never told that it is complete to what it lacks.
 */
size_t spread_answer(const struct spread *s, const struct spread_ask *ask,
		     struct spread_object *out, size_t max, size_t bytes,
		     spread_size_fn size, void *ctx,
		     struct spread_cursor *cursor)
{
	struct answer_room r = {
		.out = out,
		.max = max,
		.bytes = bytes,
		.size = size,
		.ctx = ctx,
	};
	uint32_t i;

	*cursor = ask->cursor;
	cursor->ended = false;
	cursor->whole = false;
	if (cursor->revision == 0) {
		cursor->upto = s->complete;
		i = place(s, ask->complete + 1, 0);
	} else {
		i = place(s, cursor->revision, cursor->hash + 1);
	}
	for (; i < s->n_order; i++) {
		const struct entry *t = &s->entries[s->order[i]];

		if (!t->o.revision && named(ask, &t->o))
			continue;
		if (!fit(&r, &t->o))
			return r.n;
		cursor->revision = rank(t);
		cursor->hash = t->hash;
	}
	cursor->revision = 0;
	cursor->hash = 0;
	cursor->ended = true;
	cursor->whole = cursor->upto == s->complete;
	return r.n;
}

/* Does this VM have all that the asker named as unseen, or later ones? */
bool spread_has(const struct spread *s, const struct spread_ask *ask)
{
	uint32_t i;

	for (i = 0; i < ask->n; i++) {
		const struct spread_object *o = &ask->unseen[i];
		uint32_t h = find(s, o->name, hash_name(o->name));

		if (h == HANDLE_NONE || s->entries[h].o.version < o->version)
			return false;
	}
	return true;
}

static uint32_t find(const struct spread *s, const char *name, uint64_t hash)
{
	uint32_t cursor;
	uint32_t h;

	for (h = hash_index_first(&s->index, hash, &cursor); h != HANDLE_NONE;
	     h = hash_index_next(&s->index, hash, &cursor)) {
		if (strcmp(s->entries[h].o.name, name) == 0)
			break;
	}
	return h;
}

/* Adds an entry that is linked nowhere yet; HANDLE_NONE without memory. */
static uint32_t add(struct spread *s, const char *name, uint64_t hash)
{
	struct entry *t;

	if (s->n == s->room && !grow(s))
		return HANDLE_NONE;
	if (!hash_index_put(&s->index, hash, s->n))
		return HANDLE_NONE;
	t = &s->entries[s->n];
	memset(t, 0, sizeof(*t));
	t->hash = hash;
	snprintf(t->o.name, sizeof(t->o.name), "%s", name);
	return s->n++;
}

/* Doubles the room of both tables. */
static bool grow(struct spread *s)
{
	uint32_t room = s->room ? s->room * 2 : ROOM_FIRST;
	void *p;

	p = realloc(s->entries, room * sizeof(*s->entries));
	if (!p)
		return false;
	s->entries = p;
	p = realloc(s->order, room * sizeof(*s->order));
	if (!p)
		return false;
	s->order = p;
	s->room = room;
	return true;
}

/* Takes an entry out of the order. */
static void unlink_entry(struct spread *s, uint32_t h)
{
	const struct entry *t = &s->entries[h];
	uint32_t i = place(s, rank(t), t->hash);

	while (s->order[i] != h)
		i++;
	s->n_order--;
	memmove(&s->order[i], &s->order[i + 1],
		(s->n_order - i) * sizeof(*s->order));
}

/* Puts an entry where its revision belongs. */
static void link_entry(struct spread *s, uint32_t h)
{
	const struct entry *t = &s->entries[h];
	uint32_t i = place(s, rank(t), t->hash);

	memmove(&s->order[i + 1], &s->order[i],
		(s->n_order - i) * sizeof(*s->order));
	s->order[i] = h;
	s->n_order++;
}

/* The revision by which an entry is ordered. */
static uint64_t rank(const struct entry *t)
{
	return t->o.revision ? t->o.revision : REVISION_UNSEEN;
}

/* The first place in the order that is not before revision and hash. */
static uint32_t place(const struct spread *s, uint64_t revision, uint64_t hash)
{
	uint32_t from = 0;
	uint32_t to = s->n_order;

	while (from < to) {
		uint32_t mid = from + (to - from) / 2;
		const struct entry *t = &s->entries[s->order[mid]];

		if (rank(t) < revision ||
		    (rank(t) == revision && t->hash < hash))
			from = mid + 1;
		else
			to = mid;
	}
	return from;
}

/* Did the asker name this object as one it has, in this version or later? */
static bool named(const struct spread_ask *ask, const struct spread_object *o)
{
	uint32_t i;

	for (i = 0; i < ask->n; i++) {
		if (ask->unseen[i].version >= o->version &&
		    strcmp(ask->unseen[i].name, o->name) == 0)
			return true;
	}
	return false;
}

/* Adds an object to an answer if there is room; the first always has. */
static bool fit(struct answer_room *r, const struct spread_object *o)
{
	size_t need = r->size(r->ctx, o->name);

	if (r->n == r->max || (r->n > 0 && need > r->bytes))
		return false;
	r->bytes -= need < r->bytes ? need : r->bytes;
	r->out[r->n++] = *o;
	return true;
}
