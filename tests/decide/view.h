#ifndef TESTS_DECIDE_VIEW_H
#define TESTS_DECIDE_VIEW_H

extern "C" {
#include "decide/route.h"
}

// Returns a group of n databases in term 5. Its log starts with term 1 at
// position 0; term 5 starts at position 100. Database 0 is primary at position
// 200. All databases were queried and responded at "now" and are up to date.
inline struct group_view test_view(uint32_t n, usec_t now)
{
	struct group_view v = {};

	v.term = 5;
	v.primary = 0;
	v.n = n;
	for (uint32_t i = 0; i < n; i++) {
		struct db_view *d = &v.db[i];
		d->known = true;
		d->requested_at = now;
		d->responded_at = now;
		d->fence_term = 5;
		d->end = { 5, 200 };
		d->lineage = { 2, { { 1, 0 }, { 5, 100 } } };
		d->stamp_term = 5;
		d->stamp_us = 1000000;
		d->role = i == 0 ? ROLE_PRIMARY : ROLE_REPLICA;
		d->slots = 4;
	}
	return v;
}

#endif
