#include "kernel/latency.h"

#include <stdio.h>

#define BOUNDS	      (sizeof(bounds_us) / sizeof(bounds_us[0]))
#define METRIC_PREFIX "gypsumcleat_"

/* Upper bounds of the buckets: about three per decade, from 1 ms to 10 s. */
static const usec_t bounds_us[] = {
	1000,	2000,	5000,	 10000,	  20000,   50000,    100000,
	200000, 500000, 1000000, 2000000, 5000000, 10000000,
};

static const struct {
	const char *name;
	const char *help;
} histograms[LATENCY_COUNT] = {
#define X(id, text, about) \
	[LATENCY_##id] = { .name = METRIC_PREFIX text, .help = (about) },
	LATENCY_TABLE(X)
#undef X
};

/* The last bucket counts latencies above all bounds. All with __atomic. */
static uint64_t buckets[LATENCY_COUNT][BOUNDS + 1];
static uint64_t sums_us[LATENCY_COUNT];

static size_t print_histogram(int l, char *buf, size_t size);

/* Adds a latency to the first bucket whose bound it does not exceed. */
void latency_add(enum latency l, usec_t took)
{
	size_t i = 0;

	if (took < 0)
		took = 0;
	while (i < BOUNDS && took > bounds_us[i])
		i++;
	__atomic_fetch_add(&buckets[l][i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&sums_us[l], (uint64_t)took, __ATOMIC_RELAXED);
}

/*
 * Writes every histogram; those that do not fit whole into "size" bytes are
 * left out. Returns the length without the final NUL.
 */
size_t latencies_print(char *buf, size_t size)
{
	size_t len = 0;
	size_t n;
	int l;

	if (size == 0)
		return 0;
	for (l = 0; l < LATENCY_COUNT; l++) {
		n = print_histogram(l, buf + len, size - len);
		if (n >= size - len)
			break;
		len += n;
	}
	buf[len] = '\0';
	return len;
}

/*
 * Writes one histogram and returns its length; returns "size" if it did not
 * fit.
 */
static size_t print_histogram(int l, char *buf, size_t size)
{
	const char *name = histograms[l].name;
	uint64_t count = 0;
	size_t len;
	size_t i;
	int n;

	n = snprintf(buf, size, "# HELP %s %s\n# TYPE %s histogram\n", name,
		     histograms[l].help, name);
	if (n < 0 || (size_t)n >= size)
		return size;
	len = (size_t)n;
	for (i = 0; i <= BOUNDS; i++) {
		count += __atomic_load_n(&buckets[l][i], __ATOMIC_RELAXED);
		if (i < BOUNDS)
			n = snprintf(buf + len, size - len,
				     "%s_bucket{le=\"%g\"} %llu\n", name,
				     (double)bounds_us[i] / USEC_PER_SEC,
				     (unsigned long long)count);
		else
			n = snprintf(buf + len, size - len,
				     "%s_bucket{le=\"+Inf\"} %llu\n"
				     "%s_sum %g\n%s_count %llu\n",
				     name, (unsigned long long)count, name,
				     (double)__atomic_load_n(&sums_us[l],
							     __ATOMIC_RELAXED) /
					     USEC_PER_SEC,
				     name, (unsigned long long)count);
		if (n < 0 || (size_t)n >= size - len)
			return size;
		len += (size_t)n;
	}
	return len;
}
