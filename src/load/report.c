#include "load/report.h"

#include <stdlib.h>

static const char *const end_names[END_KINDS] = {
	[END_DONE] = "done",	   [END_OVER_RATE] = "over_rate",
	[END_NOT_RUN] = "not_run", [END_UNKNOWN] = "unknown",
	[END_FAILED] = "failed",
};

static const double parts[] = { 0.5, 0.9, 0.99, 0.999 };
static const char *const part_names[] = { "p50", "p90", "p99", "p99.9" };
#define PARTS (sizeof(parts) / sizeof(parts[0]))

/* The figures that the brief asks for, over the whole run. */
struct summary {
	uint64_t offered;
	uint64_t end[END_KINDS];
	uint64_t refused_in_rate;
	uint64_t violations;
	double replica_share;
	uint32_t worst_team;
	double worst_share;
};

static struct summary summarize(const struct load_report *r);
static void print_times(const char *name, const struct histogram *h, FILE *out);
static json_t *times_json(const struct histogram *h);
static json_t *teams_json(const struct load_report *r);
static json_t *services_json(const struct load_report *r);

void report_fill(struct load_report *r, struct load_shared *s)
{
	r->options = *s->o;
	r->measures = s->measures;
	r->keys_read = s->keys_read;
	r->keys_unread = s->keys_unread;
	r->length = s->o->duration;
}

/* A key that could not be read back counts against the run. */
bool load_report_clean(const struct load_report *r)
{
	return summarize(r).violations == 0 && r->keys_unread == 0;
}

void load_report_print(const struct load_report *r, FILE *out)
{
	const struct measures *m = &r->measures;
	struct summary s = summarize(r);
	uint32_t i;

	fprintf(out, "offered %llu in %.1f s:", (unsigned long long)s.offered,
		(double)r->length / USEC_PER_SEC);
	for (i = 0; i < END_KINDS; i++)
		fprintf(out, " %s %llu", end_names[i],
			(unsigned long long)s.end[i]);
	fprintf(out,
		"\nattempts %llu, without an answer %llu, answered unknown "
		"%llu; arrivals without a free session %llu\n",
		(unsigned long long)m->attempts,
		(unsigned long long)m->attempts_no_answer,
		(unsigned long long)m->attempts_unknown,
		(unsigned long long)m->skipped);
	fprintf(out, "reads on replicas %.1f%% of %llu\n",
		100 * s.replica_share, (unsigned long long)m->reads_done);
	for (i = 0; i < r->options.n_services; i++)
		fprintf(out, "longest gap between writes, %s: %lld ms\n",
			r->options.service[i],
			(long long)(m->service[i].gap / USEC_PER_MSEC));
	fprintf(out, "worst-served team: %s, %.1f%% of its load within rate\n",
		r->options.team[s.worst_team].name, 100 * s.worst_share);
	fprintf(out, "refused within the team's rate: %llu (%.3f%%)\n",
		(unsigned long long)s.refused_in_rate,
		s.offered ? 100 * (double)s.refused_in_rate / (double)s.offered
			  : 0.0);
	print_times("reads", &m->reads, out);
	print_times("writes", &m->writes, out);
	fprintf(out, "keys read back %llu, not readable %llu\n",
		(unsigned long long)r->keys_read,
		(unsigned long long)r->keys_unread);
	for (i = VIOLATION_NONE + 1; i < VIOLATION_KINDS; i++)
		fprintf(out, "%s %llu%s", violation_name((enum violation)i),
			(unsigned long long)m->violations[i],
			i + 1 < VIOLATION_KINDS ? ", " : "\n");
	if (m->first_violation[0])
		fprintf(out, "first violation: %s\n", m->first_violation);
	fprintf(out, "load: %s\n", load_report_clean(r) ? "ok" : "VIOLATED");
}

/* Writes one JSON document: 0, or -1. */
int load_report_json(const struct load_report *r, FILE *out)
{
	const struct measures *m = &r->measures;
	struct summary s = summarize(r);
	json_t *ends = json_object();
	json_t *bad = json_object();
	json_t *j;
	int rc;
	int i;

	for (i = 0; i < END_KINDS; i++)
		json_object_set_new(ends, end_names[i],
				    json_integer((json_int_t)s.end[i]));
	for (i = VIOLATION_NONE + 1; i < VIOLATION_KINDS; i++)
		json_object_set_new(bad, violation_name((enum violation)i),
				    json_integer((json_int_t)m->violations[i]));
	j = json_pack(
		"{s:I,s:f,s:o,s:I,s:I,s:I,s:I,s:f,s:I,s:s,s:f,s:I,s:o,s:o,s:o,"
		"s:o,s:o,s:I,s:I,s:s,s:b}",
		"offered", (json_int_t)s.offered, "seconds",
		(double)r->length / USEC_PER_SEC, "outcomes", ends, "attempts",
		(json_int_t)m->attempts, "attempts_without_answer",
		(json_int_t)m->attempts_no_answer, "attempts_unknown",
		(json_int_t)m->attempts_unknown, "skipped",
		(json_int_t)m->skipped, "replica_share", s.replica_share,
		"reads_done", (json_int_t)m->reads_done, "worst_team",
		r->options.team[s.worst_team].name, "worst_team_share",
		s.worst_share, "refused_within_rate",
		(json_int_t)s.refused_in_rate, "services", services_json(r),
		"teams", teams_json(r), "reads", times_json(&m->reads),
		"writes", times_json(&m->writes), "violations", bad,
		"keys_read", (json_int_t)r->keys_read, "keys_unread",
		(json_int_t)r->keys_unread, "first_violation",
		m->first_violation, "ok", (int)load_report_clean(r));
	rc = j ? json_dumpf(j, out, JSON_INDENT(1)) : -1;
	json_decref(j);
	return rc == 0 && fputc('\n', out) != EOF ? 0 : -1;
}

void load_report_free(struct load_report *r)
{
	free(r);
}

static struct summary summarize(const struct load_report *r)
{
	const struct measures *m = &r->measures;
	struct summary s = { .worst_share = 1 };
	uint32_t i, k;

	for (i = 0; i < r->options.n_teams; i++) {
		s.offered += m->team[i].offered;
		s.refused_in_rate += m->team[i].refused_in_rate;
		for (k = 0; k < END_KINDS; k++)
			s.end[k] += m->team[i].end[k];
		if (measures_share(m, i) < s.worst_share) {
			s.worst_share = measures_share(m, i);
			s.worst_team = i;
		}
	}
	for (k = VIOLATION_NONE + 1; k < VIOLATION_KINDS; k++)
		s.violations += m->violations[k];
	if (m->reads_done)
		s.replica_share =
			(double)m->reads_replica / (double)m->reads_done;
	return s;
}

static void print_times(const char *name, const struct histogram *h, FILE *out)
{
	size_t i;

	fprintf(out, "%s:", name);
	for (i = 0; i < PARTS; i++)
		fprintf(out, " %s %.2f ms", part_names[i],
			(double)histogram_at(h, parts[i]) / USEC_PER_MSEC);
	fprintf(out, " max %.2f ms\n", (double)h->max / USEC_PER_MSEC);
}

static json_t *times_json(const struct histogram *h)
{
	json_t *j = json_pack("{s:I,s:f}", "n", (json_int_t)h->n, "max_ms",
			      (double)h->max / USEC_PER_MSEC);
	size_t i;

	for (i = 0; i < PARTS; i++)
		json_object_set_new(
			j, part_names[i],
			json_real((double)histogram_at(h, parts[i]) /
				  USEC_PER_MSEC));
	return j;
}

static json_t *teams_json(const struct load_report *r)
{
	json_t *list = json_array();
	const struct team_measures *t;
	size_t i;

	for (i = 0; i < r->options.n_teams; i++) {
		t = &r->measures.team[i];
		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:I,s:I,s:f}", "team",
				  r->options.team[i].name, "offered",
				  (json_int_t)t->offered, "offered_in_rate",
				  (json_int_t)t->offered_in_rate, "done",
				  (json_int_t)t->end[END_DONE],
				  "refused_in_rate",
				  (json_int_t)t->refused_in_rate, "share",
				  measures_share(&r->measures, (uint32_t)i)));
	}
	return list;
}

static json_t *services_json(const struct load_report *r)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < r->options.n_services; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:f}", "service", r->options.service[i],
				  "longest_write_gap_ms",
				  (double)r->measures.service[i].gap /
					  USEC_PER_MSEC));
	return list;
}
