#include "load/worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FINAL_READ_RETRY_US ((usec_t)200 * USEC_PER_MSEC)

static const char *const key_prefixes[] = { "quote", "orders", "credit",
					    "price" };

static void start_list_read(struct worker *w, uint32_t team, uint32_t service,
			    const char *kind);
static void check_keys(struct load_shared *s, const struct load_request *r,
		       const struct attempt *a);
static void check_key(struct load_shared *s, uint32_t key,
		      const struct attempt *a);
static bool is_listed(const struct load_shared *s, const struct load_request *r,
		      uint32_t key);

/*
 * Starts listing every team's keys in every service; the threads share the
 * work.
 */
void worker_start_final_reads(struct worker *w)
{
	const struct load_options *o = w->shared->o;
	uint32_t n = 0;
	uint32_t team, service;
	size_t i;

	for (team = 0; team < o->n_teams; team++) {
		for (service = 0; service < o->n_services; service++) {
			for (i = 0; i < 4; i++) {
				if (n++ % o->threads == w->index)
					start_list_read(w, team, service,
							key_prefixes[i]);
			}
		}
	}
}

/*
 * Checks the rows of a list, or retries a failed one until its timeout. Keys
 * of a list that never succeeds count as unread.
 */
void worker_finish_final_read(struct worker *w, struct load_request *r,
			      const struct attempt *a)
{
	struct load_shared *s = w->shared;
	uint32_t i;

	if (a->outcome != OUTCOME_DONE && load_now() < r->give_up_at) {
		r->retry_at = load_now() + FINAL_READ_RETRY_US;
		if (r->retry_after > FINAL_READ_RETRY_US)
			r->retry_at = load_now() + r->retry_after;
		r->next = w->retry_list;
		w->retry_list = r;
		return;
	}
	pthread_mutex_lock(&s->lock);
	if (a->outcome == OUTCOME_DONE) {
		check_keys(s, r, a);
	} else {
		for (i = 0; i < checker_n_keys(s->checker); i++)
			s->keys_unread += is_listed(s, r, i) ? 1 : 0;
	}
	pthread_mutex_unlock(&s->lock);
	free(r->session);
	worker_release_request(w, r);
}

/*
 * Starts listing the keys of one kind, without a session token and with no
 * staleness allowed.
 */
static void start_list_read(struct worker *w, uint32_t team, uint32_t service,
			    const char *kind)
{
	const struct load_options *o = w->shared->o;
	struct load_request *r = worker_alloc_request(w);

	r->session = calloc(1, sizeof(*r->session));
	if (!r->session)
		abort();
	r->session->team = team;
	r->session->service = service;
	r->op.kind = LOAD_FINAL;
	r->key = HANDLE_NONE;
	r->arrived = load_now();
	r->give_up_at = r->arrived + FINAL_READ_TIMEOUT_US;
	snprintf(r->name, sizeof(r->name), "%s-%s/%s/", o->run, kind,
		 o->team[team].name);
	worker_start_attempt(w, r);
}

/* Checks every written key that the list covers. The caller holds the lock. */
static void check_keys(struct load_shared *s, const struct load_request *r,
		       const struct attempt *a)
{
	uint32_t i;

	for (i = 0; i < checker_n_keys(s->checker); i++) {
		if (is_listed(s, r, i))
			check_key(s, i, a);
	}
}

/*
 * Checks one key; without a row it counts as absent. The caller holds the
 * lock.
 */
static void check_key(struct load_shared *s, uint32_t key,
		      const struct attempt *a)
{
	const char *name = checker_key_name(s->checker, key);
	const struct checker_row *row = NULL;
	struct load_stats *stats = &s->stats;
	enum violation violation;
	size_t i;

	for (i = 0; i < a->n_rows; i++) {
		if (strcmp(a->rows[i].key, name) == 0)
			row = &a->rows[i];
	}
	violation = checker_final_read(s->checker, key, row, row ? 1 : 0);
	s->keys_read++;
	stats->violations[violation]++;
	if (violation != VIOLATION_NONE && !stats->first_violation[0])
		snprintf(stats->first_violation, sizeof(stats->first_violation),
			 "%s: final %s, value %lld", violation_name(violation),
			 name, row ? (long long)row->value : -1LL);
}

/* Tells whether the list covers the key and a write to the key has begun. */
static bool is_listed(const struct load_shared *s, const struct load_request *r,
		      uint32_t key)
{
	const struct key_owner *owner = &s->owners[key];

	return owner->team == r->session->team &&
	       owner->service == r->session->service &&
	       checker_key_is_written(s->checker, key) &&
	       strncmp(checker_key_name(s->checker, key), r->name,
		       strlen(r->name)) == 0;
}
