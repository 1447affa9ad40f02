#include "decide/session_commits.h"

static struct session_commit *place_of(struct session_commits *c,
				       group_handle service);
static void drop_oldest(struct session_commits *c);

/*
 * The position is replaced, not raised: after a failover the log may go on from
 * an earlier position, in a later term.
 */
void session_commits_note(struct session_commits *c, group_handle service,
			  const struct log_pos *position, usec_t now)
{
	struct session_commit *e = place_of(c, service);

	*e = (struct session_commit){ .service = service,
				      .at = now,
				      .has_position = position != NULL };
	if (position)
		e->position = *position;
}

struct session_commit session_commits_find(const struct session_commits *c,
					   group_handle service)
{
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		if (c->entry[i].service == service)
			return c->entry[i];
	}
	return (struct session_commit){ .service = service,
					.at = c->dropped_at };
}

/*
 * A position sampled since the reply covers the commit, so the bound ends
 * there.
 */
usec_t session_commit_bound(const struct session_commit *c, usec_t began_at,
			    usec_t bound)
{
	usec_t age = began_at - c->at;

	if (c->at == 0 || c->has_position || age >= bound)
		return bound;
	return age > 0 ? age : 0;
}

/* Returns the service's entry, or a free one for it. */
static struct session_commit *place_of(struct session_commits *c,
				       group_handle service)
{
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		if (c->entry[i].service == service)
			return &c->entry[i];
	}
	if (c->n == SESSION_COMMITS_MAX)
		drop_oldest(c);
	return &c->entry[c->n++];
}

/*
 * Drops the oldest commit, which the staleness bound of a read is the most
 * likely to cover.
 */
static void drop_oldest(struct session_commits *c)
{
	uint32_t oldest = 0;
	uint32_t i;

	for (i = 1; i < c->n; i++) {
		if (c->entry[i].at < c->entry[oldest].at)
			oldest = i;
	}
	if (c->entry[oldest].at > c->dropped_at)
		c->dropped_at = c->entry[oldest].at;
	c->entry[oldest] = c->entry[--c->n];
}
