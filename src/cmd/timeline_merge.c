#include "cmd/timeline_merge.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "kernel/timeline.h"

#define ROWS_INITIAL 256

struct timeline_row {
	struct hlc at;
	uint64_t number; /* of the event, per VM */
	int event;
	char vm[NAME_MAX_BYTES];
	char name[NAME_MAX_BYTES];
	char text[TIMELINE_TEXT_BYTES];
};

struct timeline_gap {
	char vm[NAME_MAX_BYTES];
	uint64_t lost; /* events overwritten before they were read */
};

static int add_row(struct timeline_merge *m, const char *vm, json_t *event);
static int add_gap(struct timeline_merge *m, const char *vm, uint64_t lost);
static struct timeline_row *append_row(struct timeline_merge *m);
static int compare_rows(const void *a, const void *b);
static void copy_sanitized(char *out, size_t size, const char *text);
static void print_row(const struct timeline_row *r, FILE *out);

/*
 * Adds a page of a VM's events, as returned by /admin/v1/events. Texts longer
 * than a row's fields are cut. Returns 0, or -1 if the page is malformed or
 * memory is exhausted.
 */
int timeline_merge_add(struct timeline_merge *m, const json_t *page)
{
	const char *vm;
	json_int_t lost;
	json_t *events;
	json_t *event;
	size_t i;

	if (json_unpack((json_t *)page, "{s:s,s:I,s:o}", "vm", &vm, "lost",
			&lost, "events", &events) == -1 ||
	    !json_is_array(events) || lost < 0)
		return -1;
	if (add_gap(m, vm, (uint64_t)lost) == -1)
		return -1;
	json_array_foreach(events, i, event)
	{
		if (add_row(m, vm, event) == -1)
			return -1;
	}
	return 0;
}

/* Sorts the events by their stamps; equal stamps by VM name, then by number. */
void timeline_merge_sort(struct timeline_merge *m)
{
	if (m->n > 0)
		qsort(m->rows, m->n, sizeof(m->rows[0]), compare_rows);
}

/*
 * Prints "# VM: N events lost" for each VM that lost events, then one line per
 * event.
 */
void timeline_merge_print(const struct timeline_merge *m, FILE *out)
{
	size_t i;

	for (i = 0; i < m->n_gaps; i++) {
		if (m->gaps[i].lost > 0)
			fprintf(out, "# %s: %llu events lost\n", m->gaps[i].vm,
				(unsigned long long)m->gaps[i].lost);
	}
	for (i = 0; i < m->n; i++)
		print_row(&m->rows[i], out);
}

/* Frees the rows and gaps collected from all pages and zeroes the struct. */
void timeline_merge_free(struct timeline_merge *m)
{
	free(m->rows);
	free(m->gaps);
	memset(m, 0, sizeof(*m));
}

/* Adds one event of a page. Returns 0 or -1. */
static int add_row(struct timeline_merge *m, const char *vm, json_t *event)
{
	json_int_t number;
	json_int_t wall;
	json_int_t count;
	json_int_t id;
	const char *name;
	const char *text;
	struct timeline_row *r;

	if (json_unpack(event, "{s:I,s:I,s:I,s:I,s:s,s:s}", "number", &number,
			"wall_us", &wall, "count", &count, "event", &id, "name",
			&name, "text", &text) == -1 ||
	    number < 0 || count < 0 || count > UINT32_MAX)
		return -1;
	r = append_row(m);
	if (!r)
		return -1;
	r->at = (struct hlc){ .wall_us = wall, .count = (uint32_t)count };
	r->number = (uint64_t)number;
	r->event = (int)id;
	copy_sanitized(r->vm, sizeof(r->vm), vm);
	copy_sanitized(r->name, sizeof(r->name), name);
	copy_sanitized(r->text, sizeof(r->text), text);
	return 0;
}

/*
 * Adds to the number of lost events of a VM. Returns 0, or -1 without memory.
 */
static int add_gap(struct timeline_merge *m, const char *vm, uint64_t lost)
{
	struct timeline_gap *grown;
	size_t i;

	for (i = 0; i < m->n_gaps; i++) {
		if (strcmp(m->gaps[i].vm, vm) != 0)
			continue;
		m->gaps[i].lost += lost;
		return 0;
	}
	grown = realloc(m->gaps, (m->n_gaps + 1) * sizeof(*grown));
	if (!grown)
		return -1;
	m->gaps = grown;
	copy_sanitized(grown[m->n_gaps].vm, sizeof(grown[m->n_gaps].vm), vm);
	grown[m->n_gaps].lost = lost;
	m->n_gaps++;
	return 0;
}

/* Returns a new row at the end, or NULL without memory. */
static struct timeline_row *append_row(struct timeline_merge *m)
{
	struct timeline_row *grown;
	size_t capacity = m->capacity ? 2 * m->capacity : ROWS_INITIAL;

	if (m->n == m->capacity) {
		grown = realloc(m->rows, capacity * sizeof(*grown));
		if (!grown)
			return NULL;
		m->rows = grown;
		m->capacity = capacity;
	}
	return &m->rows[m->n++];
}

/* Compares two rows for qsort(). */
static int compare_rows(const void *a, const void *b)
{
	const struct timeline_row *x = a;
	const struct timeline_row *y = b;
	int by_name;

	if (x->at.wall_us != y->at.wall_us)
		return x->at.wall_us < y->at.wall_us ? -1 : 1;
	if (x->at.count != y->at.count)
		return x->at.count < y->at.count ? -1 : 1;
	by_name = strcmp(x->vm, y->vm);
	if (by_name != 0)
		return by_name;
	return x->number < y->number ? -1 : x->number > y->number;
}

/*
 * Copies a text that came over the network: cuts it to the size and replaces
 * control characters.
 */
static void copy_sanitized(char *out, size_t size, const char *text)
{
	size_t i;

	for (i = 0; i < size - 1 && text[i]; i++)
		out[i] = (unsigned char)text[i] < ' ' ? '?' : text[i];
	out[i] = '\0';
}

/* Prints time, HLC counter, VM, number, event id, event name and fields. */
static void print_row(const struct timeline_row *r, FILE *out)
{
	const time_t seconds = (time_t)(r->at.wall_us / USEC_PER_SEC);
	char when[32] = "";
	struct tm tm;

	if (gmtime_r(&seconds, &tm))
		strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(out, "%s.%06lldZ+%u %s #%llu %d %s %s\n", when,
		(long long)(r->at.wall_us % USEC_PER_SEC), r->at.count, r->vm,
		(unsigned long long)r->number, r->event, r->name, r->text);
}
