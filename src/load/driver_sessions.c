#include "load/driver.h"

#include <stdlib.h>

static struct session *create(struct driver *d, uint32_t team);
static void set_homes(struct load_shared *s, const struct session *u);

/* Takes an idle session of a team, or makes one; NULL if all are busy. */
struct session *driver_session(struct driver *d, uint32_t team)
{
	struct session *u = d->idle_head[team];

	if (!u)
		u = d->team_sessions[team] < SESSIONS_PER_TEAM ? create(d, team)
							       : NULL;
	else
		d->idle_head[team] = u->next;
	if (!u)
		return NULL;
	if (!d->idle_head[team])
		d->idle_tail[team] = NULL;
	u->busy = true;
	u->next = NULL;
	return u;
}

/*
 * Puts a session back, half of the time to come next, so that some read at
 * once what they wrote, and others come back after a while.
 */
void driver_session_idle(struct driver *d, struct session *s)
{
	uint32_t team = s->team;

	s->busy = false;
	if (!d->idle_head[team]) {
		s->next = NULL;
		d->idle_head[team] = s;
		d->idle_tail[team] = s;
	} else if (random_below(&d->random, 2)) {
		s->next = d->idle_head[team];
		d->idle_head[team] = s;
	} else {
		s->next = NULL;
		d->idle_tail[team]->next = s;
		d->idle_tail[team] = s;
	}
}

static struct session *create(struct driver *d, uint32_t team)
{
	struct load_shared *s = d->shared;
	const struct load_options *o = s->o;
	struct session *u = calloc(1, sizeof(*u));
	uint32_t nth = d->team_sessions[team]++;

	if (!u)
		abort();
	u->number = d->index * SESSIONS_PER_TEAM + nth;
	u->team = team;
	u->service = (uint32_t)(nth % o->n_services);
	u->workload = o->workload;
	if (o->workload == WORKLOAD_BOTH)
		u->workload = nth / o->n_services % 2 ? WORKLOAD_RETURNS
						      : WORKLOAD_QUOTES;
	pthread_mutex_lock(&s->lock);
	session_keys(u, o, s->verify, s->shared_keys);
	set_homes(s, u);
	pthread_mutex_unlock(&s->lock);
	d->all[d->sessions++] = u;
	return u;
}

/* Notes whose the session's keys are; lock held. */
static void set_homes(struct load_shared *s, const struct session *u)
{
	struct key_home *more;
	int i;

	if (verify_count(s->verify) > s->homes_room) {
		s->homes_room = 2 * verify_count(s->verify);
		more = realloc(s->homes, s->homes_room * sizeof(*more));
		if (!more)
			abort();
		s->homes = more;
	}
	for (i = 0; i < SESSION_KEYS; i++) {
		if (u->key[i] == HANDLE_NONE)
			continue;
		s->homes[u->key[i]].team = u->team;
		s->homes[u->key[i]].service = u->service;
	}
}
