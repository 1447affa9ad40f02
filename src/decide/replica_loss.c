#include "decide/replica_loss.h"

#include <stdio.h>
#include <string.h>

static void remove_entry(struct replica_loss *l, uint32_t i);

/*
 * If the table is full the oldest entry is given up: the number of those that
 * are away stays what it is, and only the return of that one is not noticed.
 */
void replica_loss_note(struct replica_loss *l, const char *id,
		       uint64_t incarnation, const struct log_pos *end,
		       usec_t now)
{
	struct replica_loss_entry *e;

	replica_loss_joined(l, id, incarnation);
	if (l->n == REPLICA_LOSS_MAX)
		remove_entry(l, 0);
	e = &l->entry[l->n++];
	*e = (struct replica_loss_entry){ .incarnation = incarnation,
					  .since = now,
					  .has_end = end != NULL };
	if (end)
		e->end = *end;
	snprintf(e->id, sizeof(e->id), "%s", id);
}

/* What replicas held of the log before counts no more. */
void replica_loss_promoted(struct replica_loss *l, const char *id,
			   uint64_t incarnation, const struct log_pos *end,
			   usec_t now)
{
	l->n = 0;
	replica_loss_note(l, id, incarnation, end, now);
}

void replica_loss_joined(struct replica_loss *l, const char *id,
			 uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		if (l->entry[i].incarnation == incarnation &&
		    strcmp(l->entry[i].id, id) == 0) {
			remove_entry(l, i);
			return;
		}
	}
}

void replica_loss_primary_end(struct replica_loss *l, usec_t asked_at,
			      struct log_pos end)
{
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		struct replica_loss_entry *e = &l->entry[i];

		if (e->has_end || asked_at < e->since)
			continue;
		e->has_end = true;
		e->end = end;
	}
}

void replica_loss_replica_end(struct replica_loss *l, struct log_pos end)
{
	uint32_t i = 0;

	while (i < l->n) {
		const struct replica_loss_entry *e = &l->entry[i];

		if (e->has_end && log_pos_cmp(end, e->end) >= 0)
			remove_entry(l, i);
		else
			i++;
	}
}

bool replica_loss_needs_end(const struct replica_loss *l)
{
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		if (!l->entry[i].has_end)
			return true;
	}
	return false;
}

bool replica_loss_may_hide(const struct replica_loss *l, uint32_t sync_replicas)
{
	return sync_replicas > 0 && l->n >= sync_replicas;
}

/* Removes an entry and keeps the order of the others. */
static void remove_entry(struct replica_loss *l, uint32_t i)
{
	l->n--;
	memmove(&l->entry[i], &l->entry[i + 1],
		(l->n - i) * sizeof(l->entry[0]));
}
