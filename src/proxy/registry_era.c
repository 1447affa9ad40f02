#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * The era of the platform's store, from its replies and from peers. A later era
 * tells that the store was restored from an older copy: see
 * decide/store_position.h.
 */

static void note_restored(struct proxy *p, uint64_t former, const char *from,
			  usec_t since);

/* Takes note of the era of a reply. */
void registry_note_era(struct proxy *p, const struct platform_call *c)
{
	uint64_t former = p->store_era.era;
	usec_t now = proxy_now();

	switch (store_era_note(&p->store_era, c->era, now)) {
	case STORE_ERA_PAST:
		counter_add(CTR_STORE_PAST, 1);
		log_event(EV_STORE_PAST, "name=%s era=%llu known=%llu", c->name,
			  (unsigned long long)c->era,
			  (unsigned long long)p->store_era.era);
		break;
	case STORE_ERA_RESTORED:
		note_restored(p, former, "platform", now);
		break;
	case STORE_ERA_CURRENT:
		break;
	}
}

/* Records that the store was restored, as "from" told. */
static void note_restored(struct proxy *p, uint64_t former, const char *from,
			  usec_t since)
{
	counter_add(CTR_STORE_RESTORED, 1);
	log_event(EV_STORE_RESTORED, "era=%llu former=%llu from=%s age_us=%lld",
		  (unsigned long long)p->store_era.era,
		  (unsigned long long)former, from,
		  (long long)(proxy_now() - since));
}
