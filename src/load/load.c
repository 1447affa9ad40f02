#include "load/load.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "load/driver.h"
#include "load/report.h"

static int find_term(struct load_shared *s, struct error *e);
static int run_threads(struct driver *d, uint32_t n, void *(*fn)(void *),
		       struct load_shared *s);
static void progress(struct load_shared *s, const struct measures *before,
		     usec_t since);
static void shared_init(struct load_shared *s, const struct load_options *o);
static void shared_free(struct load_shared *s);

struct load_report *load_run(const struct load_options *o, struct error *e)
{
	struct driver *d = calloc(o->threads, sizeof(*d));
	struct load_report *r = calloc(1, sizeof(*r));
	struct load_shared *s = calloc(1, sizeof(*s));
	uint32_t i;
	int rc;

	if (!d || !r || !s)
		abort();
	shared_init(s, o);
	rc = o->direct ? find_term(s, e) : 0;
	for (i = 0; rc == 0 && i < o->threads; i++)
		rc = driver_init(&d[i], s, i);
	s->start = load_now();
	s->end = s->start + o->duration;
	if (rc == 0)
		rc = run_threads(d, o->threads, driver_run, s);
	measures_close(&s->measures, o, s->end);
	if (rc == 0)
		rc = run_threads(d, o->threads, driver_run_final, s);
	report_fill(r, s);
	for (i = 0; i < o->threads; i++) {
		if (d[i].shared)
			driver_destroy(&d[i]);
	}
	shared_free(s);
	free(d);
	if (rc == 0)
		return r;
	if (e->code == ERR_NONE)
		error_set(e, ERR_SYSTEM, STEP_NONE, NULL, "cannot start");
	load_report_free(r);
	return NULL;
}

/* Asks the database for its term; it must be a primary. */
static int find_term(struct load_shared *s, struct error *e)
{
	struct task t = { 0 };
	char url[128];
	const char *role;
	json_t *j;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s/v1/status", s->o->target[0]);
	t.easy = curl_easy_init();
	if (!t.easy)
		return -1;
	curl_easy_setopt(t.easy, CURLOPT_URL, url);
	curl_easy_setopt(t.easy, CURLOPT_TIMEOUT_MS, 5000L);
	task_collect(&t);
	rc = curl_easy_perform(t.easy);
	j = json_loadb(t.reply ? t.reply : "", t.reply_len, 0, NULL);
	role = json_string_value(json_object_get(j, "role"));
	s->term =
		(uint64_t)json_integer_value(json_object_get(j, "fence_term"));
	if (rc != CURLE_OK || !role || strcmp(role, "primary") != 0)
		error_set(e, ERR_NO_PRIMARY, STEP_CONNECT, s->o->target[0],
			  "is no primary that answers");
	json_decref(j);
	task_reset(&t);
	curl_easy_cleanup(t.easy);
	return e->code == ERR_NONE ? 0 : -1;
}

/* Runs all threads to their end; tells how it goes each second. */
static int run_threads(struct driver *d, uint32_t n, void *(*fn)(void *),
		       struct load_shared *s)
{
	struct measures before = s->measures;
	struct timespec until;
	uint32_t i, started = 0;
	uint32_t joined = 0;

	for (i = 0; i < n; i++) {
		if (pthread_create(&d[i].thread, NULL, fn, &d[i]) != 0)
			break;
		started++;
	}
	clock_gettime(CLOCK_REALTIME, &until);
	while (joined < started) {
		until.tv_sec++;
		while (joined < started &&
		       pthread_timedjoin_np(d[joined].thread, NULL, &until) ==
			       0)
			joined++;
		if (joined < started && !s->o->quiet) {
			pthread_mutex_lock(&s->lock);
			progress(s, &before, load_now() - s->start);
			before = s->measures;
			pthread_mutex_unlock(&s->lock);
		}
	}
	return started == n ? 0 : -1;
}

/* One line for what happened since "before"; lock held. */
static void progress(struct load_shared *s, const struct measures *before,
		     usec_t since)
{
	const struct measures *m = &s->measures;
	uint64_t end[END_KINDS] = { 0 };
	uint64_t offered = 0;
	uint64_t bad = 0;
	size_t i, k;

	for (i = 0; i < s->o->n_teams; i++) {
		offered += m->team[i].offered - before->team[i].offered;
		for (k = 0; k < END_KINDS; k++)
			end[k] += m->team[i].end[k] - before->team[i].end[k];
	}
	for (k = VIOLATION_NONE + 1; k < VIOLATION_KINDS; k++)
		bad += m->violations[k];
	fprintf(stderr,
		"%4lld s offered %llu done %llu over_rate %llu not_run %llu "
		"unknown %llu failed %llu violations %llu\n",
		(long long)(since / USEC_PER_SEC), (unsigned long long)offered,
		(unsigned long long)end[END_DONE],
		(unsigned long long)end[END_OVER_RATE],
		(unsigned long long)end[END_NOT_RUN],
		(unsigned long long)end[END_UNKNOWN],
		(unsigned long long)end[END_FAILED], (unsigned long long)bad);
}

static void shared_init(struct load_shared *s, const struct load_options *o)
{
	size_t n = shared_keys_count(o);

	s->o = o;
	pthread_mutex_init(&s->lock, NULL);
	s->verify = verify_create();
	s->shared_keys = malloc(n * sizeof(uint32_t));
	if (!s->shared_keys)
		abort();
	memset(s->shared_keys, 0xff, n * sizeof(uint32_t));
}

static void shared_free(struct load_shared *s)
{
	pthread_mutex_destroy(&s->lock);
	verify_destroy(s->verify);
	free(s->shared_keys);
	free(s->homes);
	free(s);
}
