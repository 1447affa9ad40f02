#include "decide/types.h"

/* Returns the name of an outcome as it is reported to callers. */
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
 * Compares two log ends by term, then by position. Returns a negative value,
 * zero or a positive value as strcmp() does. Of two logs, the one with the
 * greater end holds every confirmed write.
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
 * Returns true if a log with the given term history and end contains the entry
 * "want". Positions keep increasing across terms, so the log contains an entry
 * of an older term only if it does not lie beyond the start of the next term.
 * Returns false for a term that is not in the history; the caller then falls
 * back to the primary. Position 0 means that no entry is required.
 */
bool lineage_contains(const struct lineage *l, struct log_pos end,
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
