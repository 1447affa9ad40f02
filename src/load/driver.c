#include "load/driver.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define POLL_MAX_US ((usec_t)50 * USEC_PER_MSEC)

static void arrive(struct driver *d);
static void start_due(struct driver *d);
static void turn(struct driver *d, usec_t until);
static void collect(struct driver *d);

/* Sets one thread's state up: 0, or -1 if libcurl fails. */
int driver_init(struct driver *d, struct load_shared *s, uint32_t index)
{
	const struct load_options *o = s->o;

	memset(d, 0, sizeof(*d));
	d->shared = s;
	d->index = index;
	d->random.seed = o->seed + index;
	d->next_target = index;
	d->all = calloc(o->n_teams * SESSIONS_PER_TEAM,
			sizeof(struct session *));
	d->multi = curl_multi_init();
	if (!d->multi || !d->all)
		return -1;
	curl_multi_setopt(d->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)o->connections);
	curl_multi_setopt(d->multi, CURLMOPT_MAXCONNECTS, (long)o->connections);
	return 0;
}

void driver_destroy(struct driver *d)
{
	struct task *t;
	uint32_t i;

	while (d->idle_tasks) {
		t = d->idle_tasks;
		d->idle_tasks = t->next;
		task_reset(t);
		curl_easy_cleanup(t->easy);
		free(t);
	}
	for (i = 0; i < d->sessions; i++)
		free(d->all[i]);
	free(d->all);
	if (d->multi)
		curl_multi_cleanup(d->multi);
}

/* Offers arrivals to the end, then waits for what is out or to be retried. */
void *driver_run(void *arg)
{
	struct driver *d = arg;
	struct load_shared *s = d->shared;
	double share = 1.0 / s->o->threads;
	usec_t now = load_now();
	usec_t next;

	d->next_arrival = workload_gap(s->o, 0, share, &d->random);
	while (now < s->end || d->in_flight || d->waiting) {
		next = s->start + (usec_t)d->next_arrival;
		while (next <= now && next < s->end) {
			arrive(d);
			d->next_arrival += workload_gap(s->o, next - s->start,
							share, &d->random);
			next = s->start + (usec_t)d->next_arrival;
		}
		start_due(d);
		turn(d, next < s->end ? next : s->end);
		now = load_now();
	}
	return NULL;
}

/* Reads back this thread's part of the keys. */
void *driver_run_final(void *arg)
{
	struct driver *d = arg;

	driver_final_start(d);
	while (d->in_flight || d->waiting) {
		start_due(d);
		turn(d, load_now() + POLL_MAX_US);
	}
	return NULL;
}

usec_t load_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * (usec_t)USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Lets a session of a chosen team ask its next question. */
static void arrive(struct driver *d)
{
	struct load_shared *s = d->shared;
	uint32_t team = workload_team(s->o, &d->random);
	struct session *u = driver_session(d, team);
	struct task *t;

	if (!u) {
		pthread_mutex_lock(&s->lock);
		s->measures.skipped++;
		pthread_mutex_unlock(&s->lock);
		return;
	}
	t = driver_task(d);
	t->session = u;
	t->op = workload_next(u, s->o, &d->random);
	t->key = u->key[t->op.slot];
	t->stage = t->op.kind == LOAD_CONFIRM_TX ? STAGE_BEGIN : STAGE_ONLY;
	t->arrived = s->start + (usec_t)d->next_arrival;
	t->give_up_at = t->arrived + s->o->give_up;
	if (load_kind_has_id(t->op.kind))
		snprintf(t->id, sizeof(t->id), "%s-%u-%llu", s->o->run,
			 d->index, (unsigned long long)++d->ids);
	pthread_mutex_lock(&s->lock);
	snprintf(t->name, sizeof(t->name), "%s",
		 verify_name(s->verify, t->key));
	if (load_kind_writes(t->op.kind))
		verify_begin(s->verify, t->key, t->op.amount);
	pthread_mutex_unlock(&s->lock);
	if (t->op.kind == LOAD_RECONCILE)
		*(strrchr(t->name, '/') + 1) = '\0';
	driver_start(d, t);
}

/* Starts again what has waited long enough. */
static void start_due(struct driver *d)
{
	struct task **at = &d->waiting;
	usec_t now = load_now();
	struct task *t;

	while (*at) {
		t = *at;
		if (t->retry_at > now) {
			at = &t->next;
			continue;
		}
		*at = t->next;
		driver_start(d, t);
	}
}

/* Moves transfers on, waiting until a time at most. */
static void turn(struct driver *d, usec_t until)
{
	usec_t left = until - load_now();
	int running;

	curl_multi_perform(d->multi, &running);
	collect(d);
	if (d->waiting && left > USEC_PER_MSEC)
		left = USEC_PER_MSEC;
	if (left > POLL_MAX_US)
		left = POLL_MAX_US;
	if (left > 0)
		curl_multi_poll(
			d->multi, NULL, 0,
			(int)((left + USEC_PER_MSEC - 1) / USEC_PER_MSEC),
			NULL);
}

static void collect(struct driver *d)
{
	struct task *t;
	CURLMsg *m;
	CURLcode rc;
	char *own;
	int left;

	while ((m = curl_multi_info_read(d->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		rc = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &own);
		t = (struct task *)(void *)own;
		curl_multi_remove_handle(d->multi, t->easy);
		d->in_flight--;
		driver_finish(d, t, rc);
	}
}
