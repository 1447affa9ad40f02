#ifndef DECIDE_FRESHNESS_H
#define DECIDE_FRESHNESS_H

#include "decide/error.h"

#define FRESHNESS_DOMAINS_MAX 32

/*
 * How recent this VM's knowledge is. Word of the platform counts from when
 * it was asked for. Word of a peer counts only in an answer to this VM's own
 * question, with all that the peer had applied here: the peer's age is then
 * counted from when this VM asked. The same holds for a peer's contacts.
 */
struct freshness {
	usec_t word_at; /* newest word of the platform; INT64_MIN: none */
	usec_t peer_at; /* newest answer of any peer; INT64_MIN: none */
	usec_t limit;	/* of the last freshness_check(); 0: none yet */
	bool others;	/* likewise */
	uint32_t n;	/* failure domains known, this one included */
	struct {
		char name[NAME_MAX_BYTES];
		usec_t at; /* newest contact, directly or through others */
	} domain[FRESHNESS_DOMAINS_MAX];
};

enum freshness_state {
	FRESH,	      /* word of the platform within keys_fresh */
	FRESH_OUTAGE, /* platform down for all, as the peers agree */
	FRESH_LAPSED, /* refuse: STALE_KEYS */
};

void freshness_init(struct freshness *f, const char *own_domain);
/* Names a failure domain of the fleet; false if the table is full. */
bool freshness_domain(struct freshness *f, const char *domain);
void freshness_platform(struct freshness *f, usec_t asked_at);
/*
 * A peer's answer: the age of its word. Negative: it has none that may be
 * relied on, and is then no contact either, so that VMs that were cut off or
 * just started can't vouch for each other.
 */
void freshness_peer(struct freshness *f, const char *domain, usec_t asked_at,
		    int64_t word_age_us);
/* What a peer that answered said of a domain it is in contact with. */
void freshness_contact(struct freshness *f, const char *domain, usec_t asked_at,
		       int64_t age_us);
/*
 * Age of this VM's word for its answers to peers; negative if it has none or,
 * by the limits of the last freshness_check(), may not rely on it.
 */
int64_t freshness_word_age(const struct freshness *f, usec_t now);
/*
 * The platform is taken to be down for all when word of it is old although
 * all failure domains but at most one, and a peer, were in contact within
 * keys_fresh: a change is accepted only when VMs of two domains know it, so
 * none can have been accepted beyond reach. "others" is whether the fleet
 * has other VMs.
 */
enum freshness_state freshness_check(struct freshness *f, usec_t now,
				     usec_t keys_fresh, bool others);
/* Is this VM in contact with most failure domains? A recount needs that. */
bool freshness_majority(const struct freshness *f, usec_t now, usec_t within);

#endif
