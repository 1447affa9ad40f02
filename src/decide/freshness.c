#include "decide/freshness.h"

#include <stdio.h>
#include <string.h>

#define NEVER INT64_MIN

static enum freshness_state evaluate(const struct freshness *f, usec_t now,
				     usec_t keys_fresh, bool has_other_vms);
static uint32_t find_domain(const struct freshness *f, const char *domain);
static uint32_t count_in_contact(const struct freshness *f, usec_t now,
				 usec_t within);
static bool is_recent(usec_t at, usec_t now, usec_t within);
static void raise_to(usec_t *at, usec_t to);

/* Initializes with no data. This VM's own domain is always in contact. */
void freshness_init(struct freshness *f, const char *own_domain)
{
	memset(f, 0, sizeof(*f));
	f->platform_at = NEVER;
	f->peer_at = NEVER;
	freshness_add_domain(f, own_domain);
}

/*
 * Adds a failure domain of the fleet unless it is known already. Returns false
 * if the table is full.
 */
bool freshness_add_domain(struct freshness *f, const char *domain)
{
	if (find_domain(f, domain) < f->n)
		return true;
	if (f->n == FRESHNESS_DOMAINS_MAX)
		return false;
	snprintf(f->domain[f->n].name, NAME_MAX_BYTES, "%s", domain);
	f->domain[f->n].at = NEVER;
	f->n++;
	return true;
}

/* Records a response of the platform to a request sent at "asked_at". */
void freshness_on_platform_contact(struct freshness *f, usec_t asked_at)
{
	raise_to(&f->platform_at, asked_at);
}

/*
 * Records a peer's response to a request that this VM sent at "asked_at", once
 * all its data is applied here. "data_age_us" is the age of the peer's data;
 * negative if it has no usable data, and then it does not count as a contact.
 */
void freshness_on_peer_report(struct freshness *f, const char *domain,
			      usec_t asked_at, int64_t data_age_us)
{
	if (data_age_us < 0)
		return;
	raise_to(&f->peer_at, asked_at);
	freshness_on_domain_contact(f, domain, asked_at, 0);
	raise_to(&f->platform_at, asked_at - data_age_us);
}

/*
 * Records that a peer that responded to a request sent at "asked_at" had
 * contact with a domain "age_us" before. An unknown domain is added.
 */
void freshness_on_domain_contact(struct freshness *f, const char *domain,
				 usec_t asked_at, int64_t age_us)
{
	if (age_us < 0 || !freshness_add_domain(f, domain))
		return;
	raise_to(&f->domain[find_domain(f, domain)].at, asked_at - age_us);
}

/*
 * Returns the age of this VM's data in microseconds, for its responses to
 * peers; -1 if there is none or it is expired by the limits of the last check.
 */
int64_t freshness_platform_age(const struct freshness *f, usec_t now)
{
	if (f->platform_at == NEVER)
		return -1;
	if (f->max_age &&
	    evaluate(f, now, f->max_age, f->has_other_vms) == FRESH_LAPSED)
		return -1;
	return now > f->platform_at ? now - f->platform_at : 0;
}

/*
 * Returns whether keys and shares may be used now, and keeps the limits for
 * freshness_platform_age(). "has_other_vms": the fleet has other VMs; a
 * platform outage then can't be told from a partition of this VM without a
 * peer's response.
 */
enum freshness_state freshness_check(struct freshness *f, usec_t now,
				     usec_t keys_fresh, bool has_other_vms)
{
	f->max_age = keys_fresh;
	f->has_other_vms = has_other_vms;
	return evaluate(f, now, keys_fresh, has_other_vms);
}

/* Implements the rule of freshness_check() without keeping the limits. */
static enum freshness_state evaluate(const struct freshness *f, usec_t now,
				     usec_t keys_fresh, bool has_other_vms)
{
	if (f->platform_at == NEVER)
		return FRESH_LAPSED;
	if (is_recent(f->platform_at, now, keys_fresh))
		return FRESH;
	if (has_other_vms && !is_recent(f->peer_at, now, keys_fresh))
		return FRESH_LAPSED;
	if (count_in_contact(f, now, keys_fresh) + 1 < f->n)
		return FRESH_LAPSED;
	return FRESH_OUTAGE;
}

/* Returns true if more than half of the domains were in contact recently. */
bool freshness_has_majority(const struct freshness *f, usec_t now,
			    usec_t within)
{
	return count_in_contact(f, now, within) * 2 > f->n;
}

/* Returns the index of a domain, or n if it is unknown. */
static uint32_t find_domain(const struct freshness *f, const char *domain)
{
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		if (strcmp(f->domain[i].name, domain) == 0)
			break;
	}
	return i;
}

/* Counts the domains in contact. This VM's own, index 0, always counts. */
static uint32_t count_in_contact(const struct freshness *f, usec_t now,
				 usec_t within)
{
	uint32_t n = 1;
	uint32_t i;

	for (i = 1; i < f->n; i++) {
		if (is_recent(f->domain[i].at, now, within))
			n++;
	}
	return n;
}

/* Returns true if "at" is set and not older than "within". */
static bool is_recent(usec_t at, usec_t now, usec_t within)
{
	return at != NEVER && now - at <= within;
}

/* Sets a time to the later of the two. */
static void raise_to(usec_t *at, usec_t to)
{
	if (to > *at)
		*at = to;
}
