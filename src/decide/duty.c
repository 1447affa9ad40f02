#include "decide/duty.h"

/*
 * A promotion is over once its term is known, or when it has had the time. The
 * record carries no time: clocks of VMs differ, so its age is counted from when
 * this VM saw it first.
 */
bool duty_is_free(struct duty_sight *s, const struct duty_record *r,
		  uint64_t term, usec_t now, usec_t lasts)
{
	if (s->since == 0 || s->revision != r->revision)
		*s = (struct duty_sight){ r->revision, now };
	if (!r->promotes || term > r->base)
		return true;
	return now - s->since >= lasts;
}
