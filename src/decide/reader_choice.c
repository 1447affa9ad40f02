#include "decide/reader_choice.h"

#include <stdlib.h>
#include <string.h>

static int compare(const void *a, const void *b);
static void choose_in_domain(struct reader_vm *vm, uint32_t n);

/* Chooses in each domain by itself; see the header. */
void reader_choice(struct reader_vm *vm, uint32_t n)
{
	uint32_t first;
	uint32_t i;

	/* qsort() takes no null pointer, also not for an empty list. */
	if (n == 0)
		return;
	qsort(vm, n, sizeof(*vm), compare);
	for (first = 0; first < n; first = i) {
		i = first + 1;
		while (i < n && strcmp(vm[i].domain, vm[first].domain) == 0)
			i++;
		choose_in_domain(vm + first, i - first);
	}
}

/* Chooses among the VMs of one domain, those that are answered first. */
static void choose_in_domain(struct reader_vm *vm, uint32_t n)
{
	uint32_t answered = 0;
	uint32_t failing;
	uint32_t most_answered;
	uint32_t most;
	uint32_t i;

	while (answered < n && !vm[answered].fails)
		answered++;
	failing = n - answered;
	most_answered = READER_CHOICE_MIN + READER_CHOICE_GROWTH * failing;
	if (most_answered > answered)
		most_answered = answered;
	most = READER_CHOICE_MIN + failing;
	if (most > READER_CHOICE_FAILING_MAX)
		most = READER_CHOICE_FAILING_MAX;
	for (i = 0; i < n; i++)
		vm[i].reads = vm[i].fails ? i < most : i < most_answered;
}

/* Orders VMs by domain, and in it by how well they can read. */
static int compare(const void *a, const void *b)
{
	const struct reader_vm *v = a;
	const struct reader_vm *w = b;
	int by_domain = strcmp(v->domain, w->domain);

	if (by_domain)
		return by_domain;
	if (v->fails != w->fails)
		return v->fails ? 1 : -1;
	if (v->capacity != w->capacity)
		return v->capacity > w->capacity ? -1 : 1;
	return v->hash > w->hash ? -1 : v->hash < w->hash;
}
