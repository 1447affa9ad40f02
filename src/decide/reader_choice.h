#ifndef DECIDE_READER_CHOICE_H
#define DECIDE_READER_CHOICE_H

#include "decide/types.h"

/*
 * Chooses the VMs of a large fleet that read the platform's data for their
 * failure domain; the others copy it from them. Each VM chooses by itself from
 * what it knows of the others, so all that know the same choose the same.
 *
 * Two VMs of a domain read. For each VM of the domain that the platform does
 * not answer, further ones read that it is not known not to answer: so their
 * number quadruples with each round of calls that are not answered, and the VMs
 * that are answered are found after a number of rounds that grows with the
 * logarithm of the domain. VMs that are not answered read only if too few
 * others are left.
 */

/* VMs that read for a failure domain, all of which the platform answers. */
#define READER_CHOICE_MIN 2
/* Further ones for each VM of the domain that it does not answer. */
#define READER_CHOICE_GROWTH 3
/* VMs that read for a domain although the platform does not answer them. */
#define READER_CHOICE_FAILING_MAX 8

/* One live VM. */
struct reader_vm {
	const char *domain;
	uint64_t hash; /* decides between VMs of the same capacity */
	uint32_t capacity;
	uint32_t id; /* the caller's */
	bool fails;  /* the platform does not answer it */
	bool reads;  /* out */
};

/*
 * Sets "reads" for each of these VMs, and orders them by domain, the best of
 * each first.
 */
void reader_choice(struct reader_vm *vm, uint32_t n);

#endif
