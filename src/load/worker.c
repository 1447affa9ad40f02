#include "load/worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define POLL_MAX_US ((usec_t)50 * USEC_PER_MSEC)

static void start_arrival(struct worker *w);
static void start_due_retries(struct worker *w);
static void poll_transfers(struct worker *w, usec_t until);
static void finish_transfers(struct worker *w);

/*
 * Initialises a worker. Returns 0, or -1 if libcurl or memory fails; the
 * caller then still calls worker_destroy().
 */
int worker_init(struct worker *w, struct load_shared *s, uint32_t index)
{
	const struct load_options *o = s->o;

	memset(w, 0, sizeof(*w));
	w->shared = s;
	w->index = index;
	w->random.seed = o->seed + index;
	w->next_target = index;
	w->all_sessions = calloc(o->n_teams * SESSIONS_PER_TEAM_MAX,
				 sizeof(struct session *));
	w->multi = curl_multi_init();
	if (!w->multi || !w->all_sessions)
		return -1;
	curl_multi_setopt(w->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)o->connections);
	curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS, (long)o->connections);
	return 0;
}

/* Frees the requests and sessions of a worker. */
void worker_destroy(struct worker *w)
{
	struct load_request *r;
	uint32_t i;

	while (w->free_requests) {
		r = w->free_requests;
		w->free_requests = r->next;
		load_request_reset(r);
		curl_easy_cleanup(r->easy);
		free(r);
	}
	for (i = 0; i < w->n_sessions; i++)
		free(w->all_sessions[i]);
	free(w->all_sessions);
	if (w->multi)
		curl_multi_cleanup(w->multi);
}

/*
 * Thread function: starts requests at their arrival times, then waits until
 * all requests and retries have ended.
 */
void *worker_run(void *arg)
{
	struct worker *w = arg;
	struct load_shared *s = w->shared;
	double share = 1.0 / s->o->threads;
	usec_t now = load_now();
	usec_t next;

	w->next_arrival = workload_next_gap_us(s->o, 0, share, &w->random);
	while (now < s->end || w->in_flight || w->retry_list) {
		next = s->start + (usec_t)w->next_arrival;
		while (next <= now && next < s->end) {
			start_arrival(w);
			w->next_arrival += workload_next_gap_us(
				s->o, next - s->start, share, &w->random);
			next = s->start + (usec_t)w->next_arrival;
		}
		start_due_retries(w);
		poll_transfers(w, next < s->end ? next : s->end);
		now = load_now();
	}
	return NULL;
}

/* Thread function: reads back and checks this thread's share of the keys. */
void *worker_run_final(void *arg)
{
	struct worker *w = arg;

	worker_start_final_reads(w);
	while (w->in_flight || w->retry_list) {
		start_due_retries(w);
		poll_transfers(w, load_now() + POLL_MAX_US);
	}
	return NULL;
}

/* Returns the monotonic time in microseconds. */
usec_t load_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * (usec_t)USEC_PER_SEC + ts.tv_nsec / 1000;
}

/*
 * Starts the next request of a session of a randomly chosen team. The latency
 * counts from the scheduled arrival.
 */
static void start_arrival(struct worker *w)
{
	struct load_shared *s = w->shared;
	uint32_t team = workload_pick_team(s->o, &w->random);
	struct session *session = worker_acquire_session(w, team);
	struct load_request *r;

	if (!session) {
		pthread_mutex_lock(&s->lock);
		s->stats.skipped++;
		pthread_mutex_unlock(&s->lock);
		return;
	}
	r = worker_alloc_request(w);
	r->session = session;
	r->op = workload_next_op(session, s->o, &w->random);
	r->key = session->key[r->op.slot];
	r->stage = r->op.kind == LOAD_CONFIRM_TX ? STAGE_BEGIN : STAGE_SINGLE;
	r->arrived = s->start + (usec_t)w->next_arrival;
	r->give_up_at = r->arrived + s->o->give_up;
	if (load_kind_has_id(r->op.kind))
		snprintf(r->id, sizeof(r->id), "%s-%u-%llu", s->o->run,
			 w->index, (unsigned long long)++w->last_id);
	pthread_mutex_lock(&s->lock);
	snprintf(r->name, sizeof(r->name), "%s",
		 checker_key_name(s->checker, r->key));
	if (load_kind_writes(r->op.kind))
		checker_begin_write(s->checker, r->key, r->op.amount);
	pthread_mutex_unlock(&s->lock);
	if (r->op.kind == LOAD_RECONCILE)
		*(strrchr(r->name, '/') + 1) = '\0';
	worker_start_attempt(w, r);
}

/* Starts every retry whose time has come. */
static void start_due_retries(struct worker *w)
{
	struct load_request **at = &w->retry_list;
	usec_t now = load_now();
	struct load_request *r;

	while (*at) {
		r = *at;
		if (r->retry_at > now) {
			at = &r->next;
			continue;
		}
		*at = r->next;
		worker_start_attempt(w, r);
	}
}

/*
 * Drives the transfers and waits for activity, at most until a time. Waits no
 * longer than a millisecond if there are retries.
 */
static void poll_transfers(struct worker *w, usec_t until)
{
	usec_t left = until - load_now();
	int running;

	curl_multi_perform(w->multi, &running);
	finish_transfers(w);
	if (w->retry_list && left > USEC_PER_MSEC)
		left = USEC_PER_MSEC;
	if (left > POLL_MAX_US)
		left = POLL_MAX_US;
	if (left > 0)
		curl_multi_poll(
			w->multi, NULL, 0,
			(int)((left + USEC_PER_MSEC - 1) / USEC_PER_MSEC),
			NULL);
}

/* Processes all transfers that have ended. */
static void finish_transfers(struct worker *w)
{
	struct load_request *r;
	CURLMsg *m;
	CURLcode rc;
	char *priv;
	int left;

	while ((m = curl_multi_info_read(w->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		rc = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &priv);
		r = (struct load_request *)(void *)priv;
		curl_multi_remove_handle(w->multi, r->easy);
		w->in_flight--;
		worker_finish_attempt(w, r, rc);
	}
}
