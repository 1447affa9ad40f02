#include "load/worker.h"

#include <stdlib.h>

static struct session *create_session(struct worker *w, uint32_t team);
static void set_owners(struct load_shared *s, const struct session *session);

/*
 * Takes an idle session of a team, or creates one. Returns NULL if
 * SESSIONS_PER_TEAM_MAX sessions are busy.
 */
struct session *worker_acquire_session(struct worker *w, uint32_t team)
{
	struct session *session = w->idle_head[team];

	if (!session)
		session = w->n_team_sessions[team] < SESSIONS_PER_TEAM_MAX
				  ? create_session(w, team)
				  : NULL;
	else
		w->idle_head[team] = session->next;
	if (!session)
		return NULL;
	if (!w->idle_head[team])
		w->idle_tail[team] = NULL;
	session->busy = true;
	session->next = NULL;
	return session;
}

/*
 * Returns a session to the idle list, at random to the front or the back. Thus
 * some sessions read at once what they wrote, and others come back after a
 * while.
 */
void worker_release_session(struct worker *w, struct session *s)
{
	uint32_t team = s->team;

	s->busy = false;
	if (!w->idle_head[team]) {
		s->next = NULL;
		w->idle_head[team] = s;
		w->idle_tail[team] = s;
	} else if (random_below(&w->random, 2)) {
		s->next = w->idle_head[team];
		w->idle_head[team] = s;
	} else {
		s->next = NULL;
		w->idle_tail[team]->next = s;
		w->idle_tail[team] = s;
	}
}

/* Creates a session and registers its keys. */
static struct session *create_session(struct worker *w, uint32_t team)
{
	struct load_shared *s = w->shared;
	const struct load_options *o = s->o;
	struct session *session = calloc(1, sizeof(*session));
	uint32_t nth = w->n_team_sessions[team]++;

	if (!session)
		abort();
	session->number = w->index * SESSIONS_PER_TEAM_MAX + nth;
	session->team = team;
	session->service = (uint32_t)(nth % o->n_services);
	session->workload = o->workload;
	if (o->workload == WORKLOAD_BOTH)
		session->workload = nth / o->n_services % 2 ? WORKLOAD_RETURNS
							    : WORKLOAD_QUOTES;
	pthread_mutex_lock(&s->lock);
	session_keys(session, o, s->checker, s->shared_keys);
	set_owners(s, session);
	pthread_mutex_unlock(&s->lock);
	w->all_sessions[w->n_sessions++] = session;
	return session;
}

/*
 * Records the team and service of the session's keys. The caller holds the
 * lock.
 */
static void set_owners(struct load_shared *s, const struct session *session)
{
	struct key_owner *grown;
	int i;

	if (checker_n_keys(s->checker) > s->owners_capacity) {
		s->owners_capacity = 2 * checker_n_keys(s->checker);
		grown = realloc(s->owners, s->owners_capacity * sizeof(*grown));
		if (!grown)
			abort();
		s->owners = grown;
	}
	for (i = 0; i < SESSION_KEYS; i++) {
		if (session->key[i] == HANDLE_NONE)
			continue;
		s->owners[session->key[i]].team = session->team;
		s->owners[session->key[i]].service = session->service;
	}
}
