#include "load/load.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "load/worker.h"
#include "load/report.h"

static int read_fence_term(struct load_shared *s, struct error *e);
static int run_threads(struct worker *workers, uint32_t n, void *(*fn)(void *),
		       struct load_shared *s);
static void print_progress(struct load_shared *s,
			   const struct load_stats *before, usec_t since);
static void shared_init(struct load_shared *s, const struct load_options *o);
static void shared_free(struct load_shared *s);

/*
 * Runs the load and the final read. Returns a report to free with
 * load_report_free(), or NULL with an error if the run could not start.
 */
struct load_report *load_run(const struct load_options *o, struct error *e)
{
	struct worker *workers = calloc(o->threads, sizeof(*workers));
	struct load_report *r = calloc(1, sizeof(*r));
	struct load_shared *s = calloc(1, sizeof(*s));
	uint32_t i;
	int rc;

	if (!workers || !r || !s)
		abort();
	shared_init(s, o);
	rc = o->direct ? read_fence_term(s, e) : 0;
	for (i = 0; rc == 0 && i < o->threads; i++)
		rc = worker_init(&workers[i], s, i);
	s->start = load_now();
	s->end = s->start + o->duration;
	if (rc == 0)
		rc = run_threads(workers, o->threads, worker_run, s);
	load_stats_finish(&s->stats, o, s->end);
	if (rc == 0)
		rc = run_threads(workers, o->threads, worker_run_final, s);
	report_fill(r, s);
	for (i = 0; i < o->threads; i++) {
		if (workers[i].shared)
			worker_destroy(&workers[i]);
	}
	shared_free(s);
	free(workers);
	if (rc == 0)
		return r;
	if (e->code == ERR_NONE)
		error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
			  "the load generator cannot start");
	load_report_free(r);
	return NULL;
}

/*
 * Reads the fencing term of a database that is called directly. Returns 0, or
 * -1 with an error if the database does not respond or is not a primary.
 */
static int read_fence_term(struct load_shared *s, struct error *e)
{
	struct load_request r = { 0 };
	char url[128];
	const char *role;
	json_t *j;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s/v1/status", s->o->target[0]);
	r.easy = curl_easy_init();
	if (!r.easy)
		return -1;
	curl_easy_setopt(r.easy, CURLOPT_URL, url);
	curl_easy_setopt(r.easy, CURLOPT_TIMEOUT_MS, 5000L);
	load_request_set_callbacks(&r);
	rc = curl_easy_perform(r.easy);
	j = json_loadb(r.reply ? r.reply : "", r.reply_len, 0, NULL);
	role = json_string_value(json_object_get(j, "role"));
	s->fence_term =
		(uint64_t)json_integer_value(json_object_get(j, "fence_term"));
	if (rc != CURLE_OK || !role || strcmp(role, "primary") != 0)
		error_set(e, ERR_NO_PRIMARY, STEP_CONNECT, s->o->target[0],
			  "does not respond or is not a primary");
	json_decref(j);
	load_request_reset(&r);
	curl_easy_cleanup(r.easy);
	return e->code == ERR_NONE ? 0 : -1;
}

/*
 * Runs all threads to their end and, unless told to be quiet, prints the
 * progress every second. Returns -1 if a thread could not be started.
 */
static int run_threads(struct worker *workers, uint32_t n, void *(*fn)(void *),
		       struct load_shared *s)
{
	struct load_stats before = s->stats;
	struct timespec until;
	uint32_t i, started = 0;
	uint32_t joined = 0;

	for (i = 0; i < n; i++) {
		if (pthread_create(&workers[i].thread, NULL, fn, &workers[i]) !=
		    0)
			break;
		started++;
	}
	clock_gettime(CLOCK_REALTIME, &until);
	while (joined < started) {
		until.tv_sec++;
		while (joined < started &&
		       pthread_timedjoin_np(workers[joined].thread, NULL,
					    &until) == 0)
			joined++;
		if (joined < started && !s->o->quiet) {
			pthread_mutex_lock(&s->lock);
			print_progress(s, &before, load_now() - s->start);
			before = s->stats;
			pthread_mutex_unlock(&s->lock);
		}
	}
	return started == n ? 0 : -1;
}

/*
 * Prints one line on what happened since "before"; "since" is the time since
 * the start of the run. The caller holds the lock.
 */
static void print_progress(struct load_shared *s,
			   const struct load_stats *before, usec_t since)
{
	const struct load_stats *stats = &s->stats;
	uint64_t results[RESULT_KINDS] = { 0 };
	uint64_t offered = 0;
	uint64_t violations = 0;
	size_t i, k;

	for (i = 0; i < s->o->n_teams; i++) {
		offered += stats->team[i].offered - before->team[i].offered;
		for (k = 0; k < RESULT_KINDS; k++)
			results[k] += stats->team[i].result[k] -
				      before->team[i].result[k];
	}
	for (k = VIOLATION_NONE + 1; k < VIOLATION_KINDS; k++)
		violations += stats->violations[k];
	fprintf(stderr,
		"%4lld s offered %llu done %llu over_rate %llu not_run %llu "
		"unknown %llu failed %llu violations %llu\n",
		(long long)(since / USEC_PER_SEC), (unsigned long long)offered,
		(unsigned long long)results[RESULT_DONE],
		(unsigned long long)results[RESULT_OVER_RATE],
		(unsigned long long)results[RESULT_NOT_RUN],
		(unsigned long long)results[RESULT_UNKNOWN],
		(unsigned long long)results[RESULT_FAILED],
		(unsigned long long)violations);
}

/* Initialises the shared state, which the caller has zeroed. */
static void shared_init(struct load_shared *s, const struct load_options *o)
{
	size_t n = shared_keys_count(o);

	s->o = o;
	pthread_mutex_init(&s->lock, NULL);
	s->checker = checker_create();
	s->shared_keys = malloc(n * sizeof(uint32_t));
	if (!s->shared_keys)
		abort();
	memset(s->shared_keys, 0xff, n * sizeof(uint32_t));
}

/* Frees the shared state. */
static void shared_free(struct load_shared *s)
{
	pthread_mutex_destroy(&s->lock);
	checker_destroy(s->checker);
	free(s->shared_keys);
	free(s->owners);
	free(s);
}
