#include "decide/types.h"

/* Returns the name of an outcome as callers see it. */
const char *outcome_name(enum outcome o)
{
	switch (o) {
	case OUTCOME_DONE:
		return "done";
	case OUTCOME_NOT_RUN:
		return "not_run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

/*
 * Orders two log ends by term, then position: negative, zero or positive as
 * strcmp() does. Of two logs the greater end holds every confirmed write.
 */
int log_pos_cmp(struct log_pos a, struct log_pos b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.position != b.position)
		return a.position < b.position ? -1 : 1;
	return 0;
}

/*
 * Tells whether a log with the given lineage and end holds the entry "want".
 * Positions go on rising from term to term, so an entry of an older term is
 * held only if it lies before the start of the term that followed. A term
 * that is not in the lineage gives false: the caller then falls back to the
 * primary.
 */
bool lineage_covers(const struct lineage *l, struct log_pos end,
		    struct log_pos want)
{
	uint32_t i;

	if (want.position == 0)
		return true;
	for (i = 0; i < l->n; i++) {
		if (l->start[i].term != want.term)
			continue;
		if (want.position <= l->start[i].position)
			return false;
		if (i + 1 < l->n)
			return want.position <= l->start[i + 1].position;
		return want.position <= end.position;
	}
	return false;
}
