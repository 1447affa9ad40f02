#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * Reports entries of the platform that can't be used, as another writer may
 * leave them. They are listed again with each list, so each revision of one is
 * reported once.
 */

static bool is_new(struct registry_skipped *k, const char *list,
		   const char *name, uint64_t number);
static void copy_printable(char *out, const char *name);

/* Logs and counts the entries of a page that were skipped for the first time.
 */
void registry_note_skipped(struct registry *r, const char *list,
			   const struct registry_page *page)
{
	char name[NAME_MAX_BYTES];
	uint32_t i;

	for (i = 0; i < page->skipped && i < REGISTRY_SKIPS_MAX; i++) {
		const struct registry_skip *s = &page->skip[i];

		if (!is_new(&r->skipped, list, s->name, s->revision))
			continue;
		counter_add(CTR_ENTRIES_SKIPPED, 1);
		copy_printable(name, s->name);
		log_event(EV_ENTRY_SKIPPED,
			  "list=%s name=%s revision=%llu field=%s "
			  "reason=\"%s\"",
			  list, name[0] ? name : "-",
			  (unsigned long long)s->revision,
			  s->field ? s->field : "-", s->reason);
	}
	if (page->skipped > REGISTRY_SKIPS_MAX &&
	    is_new(&r->skipped, list, "", page->skipped))
		log_event(EV_ENTRY_SKIPPED,
			  "list=%s entries=%u reason=\"more than are listed\"",
			  list, page->skipped);
}

/* Returns true if this was not reported lately, and notes it. */
static bool is_new(struct registry_skipped *k, const char *list,
		   const char *name, uint64_t number)
{
	XXH64_hash_t h = XXH3_64bits(list, strlen(list));
	uint32_t i;

	h = XXH3_64bits_withSeed(name, strlen(name), h);
	h = XXH3_64bits_withSeed(&number, sizeof(number), h);
	for (i = 0; i < REGISTRY_SKIPS_REPORTED_MAX; i++) {
		if (k->reported[i] == h)
			return false;
	}
	k->reported[k->next] = h;
	k->next = (k->next + 1) % REGISTRY_SKIPS_REPORTED_MAX;
	return true;
}

/* Copies a name for a line of the log, which it may not end or quote. */
static void copy_printable(char *out, const char *name)
{
	size_t i;

	for (i = 0; i < NAME_MAX_BYTES - 1 && name[i]; i++) {
		unsigned char c = (unsigned char)name[i];

		out[i] = c <= ' ' || c == '"' || c >= 0x7f ? '_' : name[i];
	}
	out[i] = '\0';
}
