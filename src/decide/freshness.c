#include "decide/freshness.h"

#include <stdio.h>
#include <string.h>

#define NEVER INT64_MIN

static enum freshness_state judge(const struct freshness *f, usec_t now,
				  usec_t keys_fresh, bool others);
static uint32_t find(const struct freshness *f, const char *domain);
static uint32_t in_contact(const struct freshness *f, usec_t now,
			   usec_t within);
static bool recent(usec_t at, usec_t now, usec_t within);
static void raise_to(usec_t *at, usec_t to);

/* Begins with no word of anybody; this VM's own domain is always in contact. */
void freshness_init(struct freshness *f, const char *own_domain)
{
	memset(f, 0, sizeof(*f));
	f->word_at = NEVER;
	f->peer_at = NEVER;
	freshness_domain(f, own_domain);
}

/*
 * Names a failure domain of the fleet; naming it again changes nothing. False
 * if the table is full.
 */
bool freshness_domain(struct freshness *f, const char *domain)
{
	if (find(f, domain) < f->n)
		return true;
	if (f->n == FRESHNESS_DOMAINS_MAX)
		return false;
	snprintf(f->domain[f->n].name, NAME_MAX_BYTES, "%s", domain);
	f->domain[f->n].at = NEVER;
	f->n++;
	return true;
}

/* The platform answered a question asked at "asked_at", all of it applied. */
void freshness_platform(struct freshness *f, usec_t asked_at)
{
	raise_to(&f->word_at, asked_at);
}

/*
 * A peer answered a question that this VM asked at "asked_at", and all that
 * it knew is applied here. "word_age_us" is the age of its own word of the
 * platform; negative if it has none to rely on, and then it is no contact.
 */
void freshness_peer(struct freshness *f, const char *domain, usec_t asked_at,
		    int64_t word_age_us)
{
	if (word_age_us < 0)
		return;
	raise_to(&f->peer_at, asked_at);
	freshness_contact(f, domain, asked_at, 0);
	raise_to(&f->word_at, asked_at - word_age_us);
}

/*
 * A peer that answered a question of "asked_at" was in contact with a domain
 * "age_us" before. A domain that is not named yet is added.
 */
void freshness_contact(struct freshness *f, const char *domain, usec_t asked_at,
		       int64_t age_us)
{
	if (age_us < 0 || !freshness_domain(f, domain))
		return;
	raise_to(&f->domain[find(f, domain)].at, asked_at - age_us);
}

/*
 * Age of this VM's word, for its answers to peers; -1 if it has none, or may
 * not rely on it by the limits of the last check.
 */
int64_t freshness_word_age(const struct freshness *f, usec_t now)
{
	if (f->word_at == NEVER)
		return -1;
	if (f->limit && judge(f, now, f->limit, f->others) == FRESH_LAPSED)
		return -1;
	return now > f->word_at ? now - f->word_at : 0;
}

/*
 * Tells whether keys and shares may be relied on now. "others" is whether the
 * fleet has other VMs; without a peer's word an outage can then not be told
 * from this VM being cut off.
 */
enum freshness_state freshness_check(struct freshness *f, usec_t now,
				     usec_t keys_fresh, bool others)
{
	f->limit = keys_fresh;
	f->others = others;
	return judge(f, now, keys_fresh, others);
}

/* The rule itself. */
static enum freshness_state judge(const struct freshness *f, usec_t now,
				  usec_t keys_fresh, bool others)
{
	if (f->word_at == NEVER)
		return FRESH_LAPSED;
	if (recent(f->word_at, now, keys_fresh))
		return FRESH;
	if (others && !recent(f->peer_at, now, keys_fresh))
		return FRESH_LAPSED;
	if (in_contact(f, now, keys_fresh) + 1 < f->n)
		return FRESH_LAPSED;
	return FRESH_OUTAGE;
}

/* Was this VM in contact with more than half of the failure domains lately? */
bool freshness_majority(const struct freshness *f, usec_t now, usec_t within)
{
	return in_contact(f, now, within) * 2 > f->n;
}

/* The place of a domain, or n if it is not named yet. */
static uint32_t find(const struct freshness *f, const char *domain)
{
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		if (strcmp(f->domain[i].name, domain) == 0)
			break;
	}
	return i;
}

/* Counts the domains in contact, this VM's own, the first, always. */
static uint32_t in_contact(const struct freshness *f, usec_t now, usec_t within)
{
	uint32_t n = 1;
	uint32_t i;

	for (i = 1; i < f->n; i++) {
		if (recent(f->domain[i].at, now, within))
			n++;
	}
	return n;
}

static bool recent(usec_t at, usec_t now, usec_t within)
{
	return at != NEVER && now - at <= within;
}

static void raise_to(usec_t *at, usec_t to)
{
	if (to > *at)
		*at = to;
}
