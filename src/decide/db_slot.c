#include "decide/db_slot.h"

/* Returns true once nothing refers to the database that was there. */
bool db_slot_is_free(const struct db_slot *s)
{
	return !s->is_present && !s->has_conns && s->n_queued == 0 &&
	       s->n_remote == 0;
}
