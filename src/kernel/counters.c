#include "kernel/counters.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define CACHE_LINE_BYTES 64
#define SHARD_NONE	 UINT32_MAX
#define METRIC_PREFIX	 "gypsumcleat_"

/* The counters of one shard, on cache lines that no other shard uses. */
struct counter_shard {
	_Alignas(CACHE_LINE_BYTES) uint64_t value[CTR_COUNT];
};

static struct counter_shard shards[COUNTER_SHARDS];
static uint32_t next_thread_shard;
static __thread uint32_t thread_shard = SHARD_NONE;

static const struct {
	const char *name;
	const char *help;
} counters[CTR_COUNT] = {
#define X(id, text, about) \
	[CTR_##id] = { .name = METRIC_PREFIX text, .help = (about) },
	COUNTER_TABLE(X)
#undef X
};

static uint32_t shard_of_thread(void);
static const char *unit_of(const char *name);
static size_t print_counter(int c, char *buf, size_t size);

/* Adds to a counter in the calling thread's shard. Any thread, no lock. */
void counter_add(enum counter c, uint64_t n)
{
	uint64_t *v = &shards[shard_of_thread()].value[c];

	__atomic_fetch_add(v, n, __ATOMIC_RELAXED);
}

/* Sums a counter over the shards; concurrent additions may be missed. */
uint64_t counter_sum(enum counter c)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < COUNTER_SHARDS; i++)
		sum += __atomic_load_n(&shards[i].value[c], __ATOMIC_RELAXED);
	return sum;
}

/*
 * Writes every counter with its HELP, TYPE and UNIT lines in the text format
 * that metrics collectors read. Counters that do not fit whole into "size"
 * bytes are left out. Returns the length without the final NUL.
 */
size_t counters_print(char *buf, size_t size)
{
	size_t len = 0;
	size_t n;
	int c;

	if (size == 0)
		return 0;
	buf[0] = '\0';
	for (c = 0; c < CTR_COUNT; c++) {
		n = print_counter(c, buf + len, size - len);
		if (n >= size - len)
			break;
		len += n;
	}
	buf[len] = '\0';
	return len;
}

/* Returns the calling thread's shard, assigned round-robin on first use. */
static uint32_t shard_of_thread(void)
{
	if (thread_shard == SHARD_NONE)
		thread_shard = __atomic_fetch_add(&next_thread_shard, 1,
						  __ATOMIC_RELAXED) %
			       COUNTER_SHARDS;
	return thread_shard;
}

/* Returns the unit that a counter's name contains before "_total". */
static const char *unit_of(const char *name)
{
	if (strstr(name, "_bytes_total"))
		return "bytes";
	if (strstr(name, "_microseconds_total"))
		return "microseconds";
	return "count";
}

/* Writes one counter and returns its length, also if it did not fit. */
static size_t print_counter(int c, char *buf, size_t size)
{
	const char *name = counters[c].name;
	int n;

	n = snprintf(buf, size,
		     "# HELP %s %s\n# TYPE %s counter\n# UNIT %s %s\n"
		     "%s %llu\n",
		     name, counters[c].help, name, name, unit_of(name), name,
		     (unsigned long long)counter_sum((enum counter)c));
	return n < 0 ? size : (size_t)n;
}
