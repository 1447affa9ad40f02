#include "decide/evacuated_set.h"

#include <string.h>

static void unite(struct evacuated_set *s, const struct evacuated_set *other);

/* Adds a domain at its place in the order; one that is in the set stays. */
bool evacuated_set_add(struct evacuated_set *s, const char *domain)
{
	size_t len = strlen(domain);
	uint32_t i = s->n;

	if (len == 0 || len >= NAME_MAX_BYTES)
		return false;
	if (evacuated_set_contains(s, domain))
		return true;
	if (s->n == EVACUATED_DOMAINS_MAX)
		return false;
	for (; i > 0 && strcmp(s->domain[i - 1], domain) > 0; i--)
		memcpy(s->domain[i], s->domain[i - 1], NAME_MAX_BYTES);
	memset(s->domain[i], 0, NAME_MAX_BYTES);
	memcpy(s->domain[i], domain, len);
	s->n++;
	return true;
}

/* Searches the set for the domain. */
bool evacuated_set_contains(const struct evacuated_set *s, const char *domain)
{
	uint32_t i;

	for (i = 0; i < s->n; i++) {
		if (strcmp(s->domain[i], domain) == 0)
			return true;
	}
	return false;
}

/*
 * The set of the later position replaces the other, so that an older one never
 * does. Where one of the two may lack entries that the store gets back after a
 * restoration, the result has the domains of both: an evacuation that lasts too
 * long does less harm than one that is not known. It ends with the next settled
 * list.
 */
void evacuated_set_merge(struct evacuated_set *s,
			 const struct evacuated_set *other)
{
	bool is_known = s->is_known || other->is_known;
	int order = store_position_compare(&other->at, &s->at);

	if (s->is_settled) {
		if (order > 0 &&
		    (other->is_settled || other->at.era == s->at.era))
			*s = *other;
		else if (order > 0)
			unite(s, other);
	} else if (other->is_settled && order >= 0) {
		*s = *other;
	} else {
		unite(s, other);
	}
	s->is_known = is_known;
}

/*
 * Adds the domains of the other set, and takes the later of both positions. The
 * result is not settled.
 */
static void unite(struct evacuated_set *s, const struct evacuated_set *other)
{
	uint32_t i;

	for (i = 0; i < other->n; i++)
		(void)evacuated_set_add(s, other->domain[i]);
	if (store_position_compare(&other->at, &s->at) > 0)
		s->at = other->at;
	s->is_settled = false;
}
