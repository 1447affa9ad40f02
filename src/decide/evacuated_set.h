#ifndef DECIDE_EVACUATED_SET_H
#define DECIDE_EVACUATED_SET_H

#include "decide/store_position.h"

/*
 * The failure domains that the operator has evacuated, as a list of the
 * platform's store told them, and how the sets of several lists are merged.
 */

/* More than three times the failure domains that a fleet is planned to have. */
#define EVACUATED_DOMAINS_MAX 64

struct evacuated_set {
	/* enough to execute statements: no evacuation may be missing */
	bool is_known;
	/*
	 * The list was requested when the store, if it was restored from an
	 * older copy, had all entries back. Only such a list ends evacuations.
	 */
	bool is_settled;
	struct store_position at; /* position of the store at the list */
	uint32_t n;
	char domain[EVACUATED_DOMAINS_MAX][NAME_MAX_BYTES]; /* ascending */
};

/*
 * Adds a domain. Returns false if the name is empty or too long, or if the set
 * is full.
 */
bool evacuated_set_add(struct evacuated_set *s, const char *domain);
/* Returns true if the domain is in the set. */
bool evacuated_set_contains(const struct evacuated_set *s, const char *domain);
/* Merges a set that was read by this VM or another into the known one. */
void evacuated_set_merge(struct evacuated_set *s,
			 const struct evacuated_set *other);

#endif
