#include "load/driver.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FINAL_RETRY_US ((usec_t)200 * USEC_PER_MSEC)

static const char *const prefixes[] = { "quote", "orders", "credit", "price" };

static void start_list(struct driver *d, uint32_t team, uint32_t service,
		       const char *what);
static void check_all(struct load_shared *s, const struct task *t,
		      const struct attempt *a);
static void check_one(struct load_shared *s, uint32_t key,
		      const struct attempt *a);
static bool concerns(const struct load_shared *s, const struct task *t,
		     uint32_t key);

/* Lists every team's keys in every service; the threads share the work. */
void driver_final_start(struct driver *d)
{
	const struct load_options *o = d->shared->o;
	uint32_t n = 0;
	uint32_t team, service;
	size_t i;

	for (team = 0; team < o->n_teams; team++) {
		for (service = 0; service < o->n_services; service++) {
			for (i = 0; i < 4; i++) {
				if (n++ % o->threads == d->index)
					start_list(d, team, service,
						   prefixes[i]);
			}
		}
	}
}

/* Checks a list against the record, or asks for it again for a while. */
void driver_final_finish(struct driver *d, struct task *t,
			 const struct attempt *a)
{
	struct load_shared *s = d->shared;
	uint32_t i;

	if (a->outcome != OUTCOME_DONE && load_now() < t->give_up_at) {
		t->retry_at = load_now() + FINAL_RETRY_US;
		if (t->retry_after > FINAL_RETRY_US)
			t->retry_at = load_now() + t->retry_after;
		t->next = d->waiting;
		d->waiting = t;
		return;
	}
	pthread_mutex_lock(&s->lock);
	if (a->outcome == OUTCOME_DONE) {
		check_all(s, t, a);
	} else {
		for (i = 0; i < verify_count(s->verify); i++)
			s->keys_unread += concerns(s, t, i) ? 1 : 0;
	}
	pthread_mutex_unlock(&s->lock);
	free(t->session);
	driver_release(d, t);
}

/* The list is asked for without a token and without any age allowed. */
static void start_list(struct driver *d, uint32_t team, uint32_t service,
		       const char *what)
{
	const struct load_options *o = d->shared->o;
	struct task *t = driver_task(d);

	t->session = calloc(1, sizeof(*t->session));
	if (!t->session)
		abort();
	t->session->team = team;
	t->session->service = service;
	t->op.kind = LOAD_FINAL;
	t->key = HANDLE_NONE;
	t->arrived = load_now();
	t->give_up_at = t->arrived + FINAL_GIVE_UP_US;
	snprintf(t->name, sizeof(t->name), "%s-%s/%s/", o->run, what,
		 o->team[team].name);
	driver_start(d, t);
}

/* Lock held. */
static void check_all(struct load_shared *s, const struct task *t,
		      const struct attempt *a)
{
	uint32_t i;

	for (i = 0; i < verify_count(s->verify); i++) {
		if (concerns(s, t, i))
			check_one(s, i, a);
	}
}

static void check_one(struct load_shared *s, uint32_t key,
		      const struct attempt *a)
{
	const char *name = verify_name(s->verify, key);
	const struct verify_row *row = NULL;
	struct measures *m = &s->measures;
	enum violation bad;
	size_t i;

	for (i = 0; i < a->n_rows; i++) {
		if (strcmp(a->rows[i].key, name) == 0)
			row = &a->rows[i];
	}
	bad = verify_final(s->verify, key, row, row ? 1 : 0);
	s->keys_read++;
	m->violations[bad]++;
	if (bad != VIOLATION_NONE && !m->first_violation[0])
		snprintf(m->first_violation, sizeof(m->first_violation),
			 "%s: final %s, value %lld", violation_name(bad), name,
			 row ? (long long)row->value : -1LL);
}

/* Is the key one of those that the list tells, and was it written to? */
static bool concerns(const struct load_shared *s, const struct task *t,
		     uint32_t key)
{
	const struct key_home *home = &s->homes[key];

	return home->team == t->session->team &&
	       home->service == t->session->service &&
	       verify_touched(s->verify, key) &&
	       strncmp(verify_name(s->verify, key), t->name, strlen(t->name)) ==
		       0;
}
