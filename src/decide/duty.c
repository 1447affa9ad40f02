#include "decide/duty.h"

/*
 * Returns true if the record's promotion is over: a later term is known, or the
 * longest duration of a promotion has passed. The record has no timestamp
 * because the clocks of VMs differ; its age is counted from when this VM first
 * saw its revision, which is recorded in "s".
 */
bool duty_is_free(struct duty_sight *s, const struct duty_record *r,
		  uint64_t term, usec_t now, usec_t lasts)
{
	if (s->first_seen_at == 0 || s->revision != r->revision)
		*s = (struct duty_sight){ r->revision, now };
	if (!r->is_promoting || term > r->base_term)
		return true;
	return now - s->first_seen_at >= lasts;
}
