#ifndef DECIDE_FRESHNESS_H
#define DECIDE_FRESHNESS_H

#include "decide/error.h"

#define FRESHNESS_DOMAINS_MAX 32

/*
 * Freshness of this VM's copy of the platform's data (keys and shares). The age
 * of data from the platform is counted from when it was requested. Data from a
 * peer counts only if it came in a response to this VM's own request and all of
 * it was applied here; the age that the peer states is then added to the time
 * since this VM's request. The same holds for a peer's contacts.
 */
struct freshness {
	usec_t platform_at; /* time of the newest data; INT64_MIN: none */
	usec_t peer_at;	    /* newest response of any peer; INT64_MIN: none */
	usec_t max_age;	    /* keys_fresh of the last check; 0: none */
	bool has_other_vms; /* has_other_vms of the last check */
	uint32_t n; /* number of known failure domains, including this VM's */
	struct {
		char name[NAME_MAX_BYTES];
		usec_t at; /* newest contact, direct or through a peer */
	} domain[FRESHNESS_DOMAINS_MAX];
};

enum freshness_state {
	FRESH,	      /* the data is not older than keys_fresh */
	FRESH_OUTAGE, /* platform unavailable to all VMs; old data is used */
	FRESH_LAPSED, /* too old: requests are refused with STALE_KEYS */
};

void freshness_init(struct freshness *f, const char *own_domain);
/* Adds a failure domain of the fleet; returns false if the table is full. */
bool freshness_add_domain(struct freshness *f, const char *domain);
void freshness_on_platform_contact(struct freshness *f, usec_t asked_at);
/*
 * Takes in a peer's response. "data_age_us" is the age of the peer's data.
 * Negative: the peer has no usable data, and then it does not count as a
 * contact either, so that VMs that were partitioned or have just started can't
 * confirm each other.
 */
void freshness_on_peer_report(struct freshness *f, const char *domain,
			      usec_t asked_at, int64_t data_age_us);
/* Records a contact of a peer with a domain, "age_us" before "asked_at". */
void freshness_on_domain_contact(struct freshness *f, const char *domain,
				 usec_t asked_at, int64_t age_us);
/*
 * Returns the age of this VM's data for its responses to peers. Negative: there
 * is none, or it is expired by the limits of the last freshness_check().
 */
int64_t freshness_platform_age(const struct freshness *f, usec_t now);
/*
 * Returns whether the data may be used. The platform counts as unavailable to
 * all VMs if the data is old although a peer, and all failure domains but at
 * most one, were in contact within keys_fresh. A change is accepted only once
 * VMs of two domains have it, so none can have been accepted without reaching a
 * domain in contact. "has_other_vms": the fleet has other VMs.
 */
enum freshness_state freshness_check(struct freshness *f, usec_t now,
				     usec_t keys_fresh, bool has_other_vms);
/*
 * Returns true if more than half of the failure domains are in contact; a
 * recount requires it.
 */
bool freshness_has_majority(const struct freshness *f, usec_t now,
			    usec_t within);

#endif
