#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/registry_internal.h"

/*
 * The era of the platform's store, from its replies and from peers. A later era
 * tells that the store was restored from an older copy: see
 * decide/store_position.h.
 */

/* A longer age of an era is taken as this one: it makes no difference. */
#define ERA_AGE_MAX_MS INT32_MAX

static void note_restored(struct proxy *p, uint64_t former, const char *from);

/*
 * Takes note of the era of a reply. Returns false if the reply must not be
 * used, as it is of an earlier era. An error that tells no era may not be the
 * store's own, so it says nothing of the era.
 */
bool registry_note_era(struct proxy *p, const struct platform_call *c)
{
	uint64_t former = p->store_era.era;

	if (c->era == 0 &&
	    (c->result == PLATFORM_DOWN || c->result == PLATFORM_LOST))
		return true;
	switch (store_era_note(&p->store_era, c->era, proxy_now())) {
	case STORE_ERA_PAST:
		counter_add(CTR_STORE_PAST, 1);
		log_event(EV_STORE_PAST, "name=%s era=%llu known=%llu", c->name,
			  (unsigned long long)c->era,
			  (unsigned long long)p->store_era.era);
		return false;
	case STORE_ERA_RESTORED:
		note_restored(p, former, "platform");
		break;
	case STORE_ERA_CURRENT:
		break;
	}
	return true;
}

/* Takes note of the era that a peer has known for "age_ms". */
void registry_note_peer_era(struct proxy *p, const char *peer, uint64_t era,
			    uint64_t age_ms)
{
	uint64_t former = p->store_era.era;
	usec_t age;

	if (age_ms > ERA_AGE_MAX_MS)
		age_ms = ERA_AGE_MAX_MS;
	age = (usec_t)age_ms * USEC_PER_MSEC;
	if (store_era_note(&p->store_era, era, proxy_now() - age) ==
	    STORE_ERA_RESTORED)
		note_restored(p, former, peer);
}

/*
 * Returns when the newest restoration was first heard of, by this VM or a peer;
 * 0: the store was not restored since this VM knows its era.
 */
usec_t registry_restored_at(const struct proxy *p)
{
	return p->was_restored ? p->store_era.known_since : 0;
}

/*
 * Records that the store was restored, as "from" told, and tells the peers.
 * registry_tick() does the rest.
 */
static void note_restored(struct proxy *p, uint64_t former, const char *from)
{
	p->was_restored = true;
	counter_add(CTR_STORE_RESTORED, 1);
	log_event(EV_STORE_RESTORED, "era=%llu former=%llu from=%s age_us=%lld",
		  (unsigned long long)p->store_era.era,
		  (unsigned long long)former, from,
		  (long long)(proxy_now() - p->store_era.known_since));
	heartbeat_tell_domain(p->heartbeat);
}
