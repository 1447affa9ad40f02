#include "decide/handover.h"

#include "decide/route.h"

#define BACKOFF_DOUBLINGS 6

static bool caught_up(const struct handover *h,
		      const struct handover_policy *policy,
		      const struct group_view *v);

/*
 * Returns the replica to take over from a departing primary: of the live
 * replicas that follow within fresh_us, the one whose log is furthest ahead.
 * DB_NONE if there is none.
 */
uint32_t handover_target(const struct group_view *v, usec_t fresh_us,
			 uint32_t clock_rate_ppm, usec_t now)
{
	uint32_t best = DB_NONE;
	uint32_t i;

	for (i = 0; i < v->n; i++) {
		if (v->db[i].state != DB_LIVE)
			continue;
		if (!route_follows(v, i, fresh_us, clock_rate_ppm, now))
			continue;
		if (best == DB_NONE ||
		    log_pos_cmp(v->db[i].end, v->db[best].end) > 0)
			best = i;
	}
	return best;
}

/* Returns true if the primary departs and the back-off has passed. */
bool handover_due(const struct handover *h, const struct group_view *v,
		  usec_t now)
{
	if (v->primary >= v->n || v->db[v->primary].state != DB_DEPARTING)
		return false;
	return h->state == HANDOVER_IDLE && now >= h->retry_at;
}

/* Starts to hold writes. The caller tells the peers to do the same. */
void handover_begin(struct handover *h, uint32_t target, usec_t now)
{
	h->state = HANDOVER_HOLDING;
	h->held_since = now;
	h->target = target;
}

/*
 * Advances the hand-over. Once settle_us has passed and this VM's writes have
 * ended, the target's log is compared with the primary's, using reports
 * requested after settle_us. Returns HANDOVER_READY if the logs are equal.
 * Returns HANDOVER_IDLE if it took too long and was abandoned; the caller then
 * releases the writes.
 */
enum handover_state handover_step(struct handover *h,
				  const struct handover_policy *policy,
				  const struct group_view *v, uint32_t running,
				  usec_t now)
{
	if (h->state == HANDOVER_IDLE)
		return h->state;
	if (now - h->held_since >= policy->hold_max_us) {
		handover_abandon(h, policy, now);
		return h->state;
	}
	if (h->state == HANDOVER_HOLDING && running == 0 &&
	    now - h->held_since >= policy->settle_us)
		h->state = HANDOVER_CATCHING_UP;
	if (h->state == HANDOVER_CATCHING_UP && caught_up(h, policy, v))
		h->state = HANDOVER_READY;
	return h->state;
}

/* Abandons the hand-over; the back-off doubles with each failure. */
void handover_abandon(struct handover *h, const struct handover_policy *policy,
		      usec_t now)
{
	usec_t wait = policy->retry_min_us;
	uint32_t n = h->failures;

	wait <<= n < BACKOFF_DOUBLINGS ? n : BACKOFF_DOUBLINGS;
	if (wait > policy->retry_max_us)
		wait = policy->retry_max_us;
	h->failures++;
	h->state = HANDOVER_IDLE;
	h->retry_at = now + wait;
}

/* Ends a successful hand-over and clears the failure count. */
void handover_end(struct handover *h)
{
	*h = (struct handover){ .state = HANDOVER_IDLE };
}

/*
 * Returns true if the primary's and the target's logs are equal, by reports of
 * the view's term that were requested after the hold had settled.
 */
static bool caught_up(const struct handover *h,
		      const struct handover_policy *policy,
		      const struct group_view *v)
{
	const struct db_view *p = &v->db[v->primary];
	const struct db_view *t = &v->db[h->target];
	usec_t settled = h->held_since + policy->settle_us;

	if (p->requested_at < settled || t->requested_at < settled)
		return false;
	if (p->fence_term != v->term || t->fence_term != v->term)
		return false;
	return log_pos_cmp(p->end, t->end) == 0;
}
