#include "decide/anti_entropy.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/hash_index.h"

#define CAPACITY_MIN	64
#define REVISION_UNSEEN UINT64_MAX /* sorts after all revisions */

struct entry {
	struct anti_entropy_object o;
	uint64_t hash;
};

/*
 * Entries keep their handle, the index into entries[]. "order" holds the
 * handles sorted by revision, then by hash; unseen objects come last.
 */
struct anti_entropy {
	struct entry *entries;
	uint32_t *order;
	uint32_t n;	   /* entries used */
	uint32_t n_order;  /* handles in order[] */
	uint32_t capacity; /* of entries[] and order[] */
	uint64_t complete; /* all objects up to this revision are applied */
	struct hash_index index; /* from a name's hash to the handle */
};

/* A response being filled. */
struct response_buffer {
	struct anti_entropy_object *out;
	size_t n;
	size_t max;
	size_t bytes; /* that still fit */
	anti_entropy_size_fn object_size;
	void *ctx;
};

static uint32_t find(const struct anti_entropy *s, const char *name,
		     uint64_t hash);
static uint32_t add(struct anti_entropy *s, const char *name, uint64_t hash);
static bool grow(struct anti_entropy *s);
static void unlink_entry(struct anti_entropy *s, uint32_t h);
static void link_entry(struct anti_entropy *s, uint32_t h);
static uint32_t lower_bound(const struct anti_entropy *s, uint64_t revision,
			    uint64_t hash);
static uint64_t sort_revision(const struct entry *t);
static bool is_listed(const struct anti_entropy_request *ask,
		      const struct anti_entropy_object *o);
static bool append(struct response_buffer *r,
		   const struct anti_entropy_object *o);

/* Creates an empty table, complete to 0; NULL if memory is short. */
struct anti_entropy *anti_entropy_create(void)
{
	return calloc(1, sizeof(struct anti_entropy));
}

/* Frees the table; NULL is allowed. */
void anti_entropy_destroy(struct anti_entropy *s)
{
	if (!s)
		return;
	hash_index_free(&s->index);
	free(s->entries);
	free(s->order);
	free(s);
}

/*
 * Records an object that took effect here. An older version is ignored; the
 * same version gets the revision if it had none. False if memory is short.
 */
bool anti_entropy_record(struct anti_entropy *s, const char *name,
			 uint64_t version, uint64_t revision)
{
	uint64_t hash = hash_name(name);
	uint32_t h = find(s, name, hash);
	struct anti_entropy_object *o;

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

/* Declares that all objects up to this revision have been applied here. */
void anti_entropy_set_complete(struct anti_entropy *s, uint64_t revision)
{
	if (revision > s->complete)
		s->complete = revision;
}

/* Returns the revision to which this VM is complete. */
uint64_t anti_entropy_complete(const struct anti_entropy *s)
{
	return s->complete;
}

/* Fills in a request with an empty cursor, which any peer can respond to. */
void anti_entropy_fill_request(const struct anti_entropy *s, uint64_t id,
			       struct anti_entropy_request *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->id = id;
	out->complete = s->complete;
	for (i = lower_bound(s, REVISION_UNSEEN, 0);
	     i < s->n_order && out->n < ANTI_ENTROPY_UNSEEN_MAX; i++)
		out->unseen[out->n++] = s->entries[s->order[i]].o;
}

/*
 * Selects the objects to send in response; see the header. complete_to is set
 * by the first partial response. An object that gets a later revision before
 * the next one lies beyond complete_to, so a requester never becomes complete
 * to a revision whose objects it lacks.
 */
size_t anti_entropy_respond(const struct anti_entropy *s,
			    const struct anti_entropy_request *ask,
			    struct anti_entropy_object *out, size_t max,
			    size_t bytes, anti_entropy_size_fn object_size,
			    void *ctx, struct anti_entropy_cursor *cursor)
{
	struct response_buffer r = {
		.out = out,
		.max = max,
		.bytes = bytes,
		.object_size = object_size,
		.ctx = ctx,
	};
	uint32_t i;

	*cursor = ask->cursor;
	cursor->is_last = false;
	cursor->is_up_to_date = false;
	if (cursor->revision == 0) {
		cursor->complete_to = s->complete;
		i = lower_bound(s, ask->complete + 1, 0);
	} else {
		i = lower_bound(s, cursor->revision, cursor->hash + 1);
	}
	for (; i < s->n_order; i++) {
		const struct entry *t = &s->entries[s->order[i]];

		if (!t->o.revision && is_listed(ask, &t->o))
			continue;
		if (!append(&r, &t->o))
			return r.n;
		cursor->revision = sort_revision(t);
		cursor->hash = t->hash;
	}
	cursor->revision = 0;
	cursor->hash = 0;
	cursor->is_last = true;
	cursor->is_up_to_date = cursor->complete_to == s->complete;
	return r.n;
}

/*
 * Returns true if this VM has all unseen objects that a request lists, in the
 * same or a later version.
 */
bool anti_entropy_has_all(const struct anti_entropy *s,
			  const struct anti_entropy_request *ask)
{
	uint32_t i;

	for (i = 0; i < ask->n; i++) {
		const struct anti_entropy_object *o = &ask->unseen[i];
		uint32_t h = find(s, o->name, hash_name(o->name));

		if (h == HANDLE_NONE || s->entries[h].o.version < o->version)
			return false;
	}
	return true;
}

/* Returns an entry's handle by its name; HANDLE_NONE if there is none. */
static uint32_t find(const struct anti_entropy *s, const char *name,
		     uint64_t hash)
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

/* Adds an entry, not yet in the order; HANDLE_NONE if memory is short. */
static uint32_t add(struct anti_entropy *s, const char *name, uint64_t hash)
{
	struct entry *t;

	if (s->n == s->capacity && !grow(s))
		return HANDLE_NONE;
	if (!hash_index_put(&s->index, hash, s->n))
		return HANDLE_NONE;
	t = &s->entries[s->n];
	memset(t, 0, sizeof(*t));
	t->hash = hash;
	snprintf(t->o.name, sizeof(t->o.name), "%s", name);
	return s->n++;
}

/* Doubles the capacity of both tables; false if memory is short. */
static bool grow(struct anti_entropy *s)
{
	uint32_t capacity = s->capacity ? s->capacity * 2 : CAPACITY_MIN;
	void *p;

	p = realloc(s->entries, capacity * sizeof(*s->entries));
	if (!p)
		return false;
	s->entries = p;
	p = realloc(s->order, capacity * sizeof(*s->order));
	if (!p)
		return false;
	s->order = p;
	s->capacity = capacity;
	return true;
}

/* Removes an entry from the order. */
static void unlink_entry(struct anti_entropy *s, uint32_t h)
{
	const struct entry *t = &s->entries[h];
	uint32_t i = lower_bound(s, sort_revision(t), t->hash);

	while (s->order[i] != h)
		i++;
	s->n_order--;
	memmove(&s->order[i], &s->order[i + 1],
		(s->n_order - i) * sizeof(*s->order));
}

/* Inserts an entry into the order. */
static void link_entry(struct anti_entropy *s, uint32_t h)
{
	const struct entry *t = &s->entries[h];
	uint32_t i = lower_bound(s, sort_revision(t), t->hash);

	memmove(&s->order[i + 1], &s->order[i],
		(s->n_order - i) * sizeof(*s->order));
	s->order[i] = h;
	s->n_order++;
}

/* Returns the revision by which an entry is sorted. */
static uint64_t sort_revision(const struct entry *t)
{
	return t->o.revision ? t->o.revision : REVISION_UNSEEN;
}

/* Returns the first index in the order not before (revision, hash). */
static uint32_t lower_bound(const struct anti_entropy *s, uint64_t revision,
			    uint64_t hash)
{
	uint32_t low = 0;
	uint32_t high = s->n_order;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;
		const struct entry *t = &s->entries[s->order[mid]];

		if (sort_revision(t) < revision ||
		    (sort_revision(t) == revision && t->hash < hash))
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Returns true if a request lists an object, in this or a later version. */
static bool is_listed(const struct anti_entropy_request *ask,
		      const struct anti_entropy_object *o)
{
	uint32_t i;

	for (i = 0; i < ask->n; i++) {
		if (ask->unseen[i].version >= o->version &&
		    strcmp(ask->unseen[i].name, o->name) == 0)
			return true;
	}
	return false;
}

/*
 * Appends an object to a response and returns true, unless it exceeds the
 * limits; the size limit does not apply to the first object.
 */
static bool append(struct response_buffer *r,
		   const struct anti_entropy_object *o)
{
	size_t need = r->object_size(r->ctx, o->name);

	if (r->n == r->max || (r->n > 0 && need > r->bytes))
		return false;
	r->bytes -= need < r->bytes ? need : r->bytes;
	r->out[r->n++] = *o;
	return true;
}
