#include "load/report.h"

#include <stdlib.h>

static const char *const result_names[RESULT_KINDS] = {
	[RESULT_DONE] = "done",	      [RESULT_OVER_RATE] = "over_rate",
	[RESULT_NOT_RUN] = "not_run", [RESULT_UNKNOWN] = "unknown",
	[RESULT_FAILED] = "failed",
};

static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
static const char *const quantile_names[] = { "p50", "p90", "p99", "p99.9" };
#define N_QUANTILES (sizeof(quantiles) / sizeof(quantiles[0]))

/* Totals over all teams and the whole run. */
struct summary {
	uint64_t offered;
	uint64_t result[RESULT_KINDS];
	uint64_t refused_in_rate;
	uint64_t violations;
	double replica_share;
	uint32_t worst_team;
	double worst_share;
};

static struct summary summarize(const struct load_report *r);
static void print_latency(const char *name, const struct histogram *h,
			  FILE *out);
static json_t *latency_json(const struct histogram *h);
static json_t *teams_json(const struct load_report *r);
static json_t *services_json(const struct load_report *r);

/* Copies the results out of the shared state once all threads have ended. */
void report_fill(struct load_report *r, struct load_shared *s)
{
	r->options = *s->o;
	r->stats = s->stats;
	r->keys_read = s->keys_read;
	r->keys_unread = s->keys_unread;
	r->duration = s->o->duration;
}

/*
 * Tells whether the run had no violation and every written key could be read
 * back.
 */
bool load_report_is_clean(const struct load_report *r)
{
	return summarize(r).violations == 0 && r->keys_unread == 0;
}

/* Prints the report as text. */
void load_report_print(const struct load_report *r, FILE *out)
{
	const struct load_stats *stats = &r->stats;
	struct summary s = summarize(r);
	uint32_t i;

	fprintf(out, "offered %llu in %.1f s:", (unsigned long long)s.offered,
		(double)r->duration / USEC_PER_SEC);
	for (i = 0; i < RESULT_KINDS; i++)
		fprintf(out, " %s %llu", result_names[i],
			(unsigned long long)s.result[i]);
	fprintf(out,
		"\nattempts %llu, without an answer %llu, answered unknown "
		"%llu; arrivals without a free session %llu\n",
		(unsigned long long)stats->attempts,
		(unsigned long long)stats->attempts_no_response,
		(unsigned long long)stats->attempts_unknown,
		(unsigned long long)stats->skipped);
	fprintf(out, "reads on replicas %.1f%% of %llu\n",
		100 * s.replica_share, (unsigned long long)stats->reads_done);
	for (i = 0; i < r->options.n_services; i++)
		fprintf(out, "longest gap between writes, %s: %lld ms\n",
			r->options.service[i],
			(long long)(stats->service[i].longest_gap /
				    USEC_PER_MSEC));
	fprintf(out, "worst-served team: %s, %.1f%% of its load within rate\n",
		r->options.team[s.worst_team].name, 100 * s.worst_share);
	fprintf(out, "refused within the team's rate: %llu (%.3f%%)\n",
		(unsigned long long)s.refused_in_rate,
		s.offered ? 100 * (double)s.refused_in_rate / (double)s.offered
			  : 0.0);
	print_latency("reads", &stats->read_latency, out);
	print_latency("writes", &stats->write_latency, out);
	fprintf(out, "keys read back %llu, not readable %llu\n",
		(unsigned long long)r->keys_read,
		(unsigned long long)r->keys_unread);
	for (i = VIOLATION_NONE + 1; i < VIOLATION_KINDS; i++)
		fprintf(out, "%s %llu%s", violation_name((enum violation)i),
			(unsigned long long)stats->violations[i],
			i + 1 < VIOLATION_KINDS ? ", " : "\n");
	if (stats->first_violation[0])
		fprintf(out, "first violation: %s\n", stats->first_violation);
	fprintf(out, "load: %s\n", load_report_is_clean(r) ? "ok" : "VIOLATED");
}

/*
 * Prints the report as one JSON document. Returns 0, or -1 if it cannot be
 * written.
 */
int load_report_json(const struct load_report *r, FILE *out)
{
	const struct load_stats *stats = &r->stats;
	struct summary s = summarize(r);
	json_t *results = json_object();
	json_t *violations = json_object();
	json_t *j;
	int rc;
	int i;

	for (i = 0; i < RESULT_KINDS; i++)
		json_object_set_new(results, result_names[i],
				    json_integer((json_int_t)s.result[i]));
	for (i = VIOLATION_NONE + 1; i < VIOLATION_KINDS; i++)
		json_object_set_new(
			violations, violation_name((enum violation)i),
			json_integer((json_int_t)stats->violations[i]));
	j = json_pack(
		"{s:I,s:f,s:o,s:I,s:I,s:I,s:I,s:f,s:I,s:s,s:f,s:I,s:o,s:o,s:o,"
		"s:o,s:o,s:I,s:I,s:s,s:b}",
		"offered", (json_int_t)s.offered, "seconds",
		(double)r->duration / USEC_PER_SEC, "outcomes", results,
		"attempts", (json_int_t)stats->attempts,
		"attempts_without_answer",
		(json_int_t)stats->attempts_no_response, "attempts_unknown",
		(json_int_t)stats->attempts_unknown, "skipped",
		(json_int_t)stats->skipped, "replica_share", s.replica_share,
		"reads_done", (json_int_t)stats->reads_done, "worst_team",
		r->options.team[s.worst_team].name, "worst_team_share",
		s.worst_share, "refused_within_rate",
		(json_int_t)s.refused_in_rate, "services", services_json(r),
		"teams", teams_json(r), "reads",
		latency_json(&stats->read_latency), "writes",
		latency_json(&stats->write_latency), "violations", violations,
		"keys_read", (json_int_t)r->keys_read, "keys_unread",
		(json_int_t)r->keys_unread, "first_violation",
		stats->first_violation, "ok", (int)load_report_is_clean(r));
	rc = j ? json_dumpf(j, out, JSON_INDENT(1)) : -1;
	json_decref(j);
	return rc == 0 && fputc('\n', out) != EOF ? 0 : -1;
}

/* Frees the report; NULL is allowed. */
void load_report_free(struct load_report *r)
{
	free(r);
}

/* Sums up all teams and finds the one with the lowest share served. */
static struct summary summarize(const struct load_report *r)
{
	const struct load_stats *stats = &r->stats;
	struct summary s = { .worst_share = 1 };
	uint32_t i, k;

	for (i = 0; i < r->options.n_teams; i++) {
		s.offered += stats->team[i].offered;
		s.refused_in_rate += stats->team[i].refused_in_rate;
		for (k = 0; k < RESULT_KINDS; k++)
			s.result[k] += stats->team[i].result[k];
		if (load_stats_share_served(stats, i) < s.worst_share) {
			s.worst_share = load_stats_share_served(stats, i);
			s.worst_team = i;
		}
	}
	for (k = VIOLATION_NONE + 1; k < VIOLATION_KINDS; k++)
		s.violations += stats->violations[k];
	if (stats->reads_done)
		s.replica_share = (double)stats->reads_replica /
				  (double)stats->reads_done;
	return s;
}

/* Prints the quantiles of a histogram in milliseconds. */
static void print_latency(const char *name, const struct histogram *h,
			  FILE *out)
{
	size_t i;

	fprintf(out, "%s:", name);
	for (i = 0; i < N_QUANTILES; i++)
		fprintf(out, " %s %.2f ms", quantile_names[i],
			(double)histogram_quantile(h, quantiles[i]) /
				USEC_PER_MSEC);
	fprintf(out, " max %.2f ms\n", (double)h->max / USEC_PER_MSEC);
}

/* Returns the quantiles of a histogram in milliseconds as a JSON object. */
static json_t *latency_json(const struct histogram *h)
{
	json_t *j = json_pack("{s:I,s:f}", "n", (json_int_t)h->n, "max_ms",
			      (double)h->max / USEC_PER_MSEC);
	size_t i;

	for (i = 0; i < N_QUANTILES; i++)
		json_object_set_new(
			j, quantile_names[i],
			json_real((double)histogram_quantile(h, quantiles[i]) /
				  USEC_PER_MSEC));
	return j;
}

/* Returns a JSON array with one object per team. */
static json_t *teams_json(const struct load_report *r)
{
	json_t *list = json_array();
	const struct team_stats *t;
	size_t i;

	for (i = 0; i < r->options.n_teams; i++) {
		t = &r->stats.team[i];
		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:I,s:I,s:f}", "team",
				  r->options.team[i].name, "offered",
				  (json_int_t)t->offered, "offered_in_rate",
				  (json_int_t)t->offered_in_rate, "done",
				  (json_int_t)t->result[RESULT_DONE],
				  "refused_in_rate",
				  (json_int_t)t->refused_in_rate, "share",
				  load_stats_share_served(&r->stats,
							  (uint32_t)i)));
	}
	return list;
}

/* Returns a JSON array with one object per service. */
static json_t *services_json(const struct load_report *r)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < r->options.n_services; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:f}", "service", r->options.service[i],
				  "longest_write_gap_ms",
				  (double)r->stats.service[i].longest_gap /
					  USEC_PER_MSEC));
	return list;
}
