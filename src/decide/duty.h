#ifndef DECIDE_DUTY_H
#define DECIDE_DUTY_H

#include "decide/types.h"

/*
 * When a VM may take over the duty of changing a group's primary. The holder
 * notes in the duty's record that it promotes, right before it does, on
 * condition that nobody has taken the duty over. A promotion takes effect some
 * time after its call, whoever holds the duty by then; a second one before
 * that would take the lead from a primary that VMs have just begun to use.
 */
struct duty_record {
	uint64_t revision; /* of the record; 0: there is none */
	bool promotes;
	uint64_t base; /* term that the promotion replaces */
};

/* What this VM has seen of it, and when it saw that first. */
struct duty_sight {
	uint64_t revision;
	usec_t since;
};

/*
 * Is no promotion of the record's holder under way any more? "term" is the
 * group's as known here; one lasts no longer than "lasts".
 */
bool duty_is_free(struct duty_sight *s, const struct duty_record *r,
		  uint64_t term, usec_t now, usec_t lasts);

#endif
