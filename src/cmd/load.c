#include "cmd/cmd.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "load/load.h"

#define KEYS_LINE_BYTES 512 /* of the file given with --teams */

/* The command line; argtable2 reads the struct as an array of pointers. */
struct args {
	struct arg_str *targets;
	struct arg_str *direct;
	struct arg_str *keys;
	struct arg_str *key_file;
	struct arg_str *services;
	struct arg_str *workload;
	struct arg_dbl *rate;
	struct arg_dbl *duration;
	struct arg_int *seed;
	struct arg_str *surge;
	struct arg_str *hot_team;
	struct arg_dbl *team_rate;
	struct arg_dbl *team_burst;
	struct arg_int *max_age;
	struct arg_int *deadline;
	struct arg_int *give_up;
	struct arg_int *threads;
	struct arg_int *connections;
	struct arg_str *run;
	struct arg_lit *json;
	struct arg_lit *quiet;
	struct arg_end *end;
};

static int parse_arguments(struct load_options *o, struct args *a, int argc,
			   char **argv);
static int run_load(const struct load_options *o, bool json);
static void create_args(struct args *a);
static int fill_options(struct load_options *o, const struct args *a,
			struct error *e);
static int fill_targets(struct load_options *o, const struct args *a,
			struct error *e);
static int fill_numbers(struct load_options *o, const struct args *a,
			struct error *e);
static int add_team(struct load_options *o, const char *pair, struct error *e);
static int add_teams_from_file(struct load_options *o, const char *path,
			       struct error *e);
static int parse_surge(struct load_options *o, const char *text,
		       struct error *e);
static int parse_hot_team(struct load_options *o, const char *text,
			  struct error *e);
static int set_error(struct error *e, const char *what, const char *value);

/*
 * Generates load and checks every response. Returns 1 if there was a violation
 * or a key could not be read back.
 */
int cmd_load(int argc, char **argv)
{
	struct load_options *o = calloc(1, sizeof(*o));
	struct args a;
	void **table = (void **)&a;
	int rc = 1;

	if (!o)
		return 1;
	create_args(&a);
	if (arg_nullcheck(table) == 0)
		rc = parse_arguments(o, &a, argc, argv);
	if (rc == 0)
		rc = run_load(o, a.json->count > 0);
	arg_freetable(table, sizeof(a) / sizeof(void *));
	free(o);
	return rc;
}

/*
 * Parses the command line. Returns 0, or EX_USAGE after printing what is
 * wrong.
 */
static int parse_arguments(struct load_options *o, struct args *a, int argc,
			   char **argv)
{
	void **table = (void **)a;
	struct error e = { 0 };

	if (arg_parse(argc, argv, table) == 0 && fill_options(o, a, &e) == 0)
		return 0;
	arg_print_errors(stderr, a->end, "gypsumcleat load");
	if (e.code != ERR_NONE)
		fprintf(stderr, "gypsumcleat load: %s: %s\n", e.message,
			e.peer);
	fprintf(stderr, "usage: gypsumcleat load");
	arg_print_syntax(stderr, table, "\n");
	arg_print_glossary(stderr, table, "  %-24s %s\n");
	return EX_USAGE;
}

/* Runs the load and prints the report. Returns an exit code. */
static int run_load(const struct load_options *o, bool json)
{
	struct error e = { 0 };
	struct load_report *r;
	bool ok;

	curl_global_init(CURL_GLOBAL_ALL);
	r = load_run(o, &e);
	if (!r) {
		fprintf(stderr, "gypsumcleat load: %s %s\n", e.peer, e.message);
		return 1;
	}
	ok = load_report_is_clean(r);
	if (!json)
		load_report_print(r, stdout);
	else if (load_report_json(r, stdout))
		ok = false;
	load_report_free(r);
	curl_global_cleanup();
	return ok && fflush(stdout) == 0 ? 0 : 1;
}

/* Creates the option table. */
static void create_args(struct args *a)
{
	a->targets = arg_strn("a", "address", "IP:PORT", 0, LOAD_TARGETS_MAX,
			      "caller address of a VM");
	a->direct = arg_str0(NULL, "direct", "IP:PORT",
			     "primary of a database, without a proxy");
	a->keys = arg_strn("k", "key", "TEAM=KEY", 0, LOAD_TEAMS_MAX,
			   "a team and its key");
	a->key_file = arg_str0(NULL, "teams", "FILE",
			       "file of such pairs, one per line");
	a->services = arg_strn(NULL, "service", "S", 0, LOAD_SERVICES_MAX,
			       "service to call");
	a->workload = arg_str0(NULL, "workload", "W",
			       "quotes, returns or both (both)");
	a->rate = arg_dbl0(NULL, "rate", "N", "requests per second (100)");
	a->duration =
		arg_dbl0(NULL, "seconds", "N", "duration of the load (10)");
	a->seed = arg_int0(NULL, "seed", "N", "seed of the random numbers (1)");
	a->surge = arg_str0(NULL, "surge", "N:AT:LEN",
			    "N times the rate from second AT for LEN seconds");
	a->hot_team = arg_str0(NULL, "hot-team", "TEAM:N",
			       "a team that offers N times its share");
	a->team_rate = arg_dbl0(
		NULL, "team-rate", "N",
		"rate limit of each team, to count refusals within it");
	a->team_burst = arg_dbl0(NULL, "team-burst", "N",
				 "burst of each team (the rate)");
	a->max_age = arg_int0(NULL, "max-age-ms", "N",
			      "staleness allowed to reads (2000)");
	a->deadline = arg_int0(NULL, "deadline-ms", "N",
			       "deadline of each attempt (2000)");
	a->give_up = arg_int0(NULL, "give-up-ms", "N",
			      "stop retrying after this time (30000)");
	a->threads = arg_int0(NULL, "threads", "N", "number of threads (2)");
	a->connections = arg_int0(NULL, "connections", "N",
				  "connections per thread (128)");
	a->run = arg_str0(NULL, "run", "ID",
			  "prefix of the run's keys (from the clock)");
	a->json = arg_lit0(NULL, "json", "print the report as JSON");
	a->quiet = arg_lit0("q", "quiet", "print no progress");
	a->end = arg_end(16);
}

/*
 * Checks the arguments and fills in the options. Returns 0, or -1 with
 * ERR_SETTINGS.
 */
static int fill_options(struct load_options *o, const struct args *a,
			struct error *e)
{
	int i;

	if (fill_targets(o, a, e) || fill_numbers(o, a, e))
		return -1;
	for (i = 0; i < a->keys->count; i++) {
		if (add_team(o, a->keys->sval[i], e))
			return -1;
	}
	if (a->key_file->count &&
	    add_teams_from_file(o, a->key_file->sval[0], e))
		return -1;
	if (o->n_teams == 0 && o->direct && add_team(o, "team=none", e))
		return -1;
	if (o->n_teams == 0)
		return set_error(e, "no team given", "-k");
	if (a->surge->count && parse_surge(o, a->surge->sval[0], e))
		return -1;
	if (a->hot_team->count && parse_hot_team(o, a->hot_team->sval[0], e))
		return -1;
	if (a->run->count)
		snprintf(o->run, sizeof(o->run), "%s", a->run->sval[0]);
	else
		snprintf(o->run, sizeof(o->run), "%llx",
			 (unsigned long long)time(NULL));
	return 0;
}

/* Fills in the targets, the services and the workload. Returns 0 or -1. */
static int fill_targets(struct load_options *o, const struct args *a,
			struct error *e)
{
	const char *workload =
		a->workload->count ? a->workload->sval[0] : "both";
	int i;

	o->direct = a->direct->count > 0;
	if (o->direct == (a->targets->count > 0))
		return set_error(e, "give either -a or --direct", "");
	for (i = 0; i < a->targets->count; i++)
		snprintf(o->target[o->n_targets++], ADDR_MAX_BYTES, "%s",
			 a->targets->sval[i]);
	if (o->direct)
		snprintf(o->target[o->n_targets++], ADDR_MAX_BYTES, "%s",
			 a->direct->sval[0]);
	for (i = 0; i < a->services->count; i++)
		snprintf(o->service[o->n_services++], NAME_MAX_BYTES, "%s",
			 a->services->sval[i]);
	if (o->direct) {
		snprintf(o->service[0], NAME_MAX_BYTES, "direct");
		o->n_services = 1;
	}
	if (o->n_services == 0)
		return set_error(e, "no service given", "--service");
	if (strcmp(workload, "quotes") == 0)
		o->workload = WORKLOAD_QUOTES;
	else if (strcmp(workload, "returns") == 0)
		o->workload = WORKLOAD_RETURNS;
	else if (strcmp(workload, "both") == 0)
		o->workload = WORKLOAD_BOTH;
	else
		return set_error(e, "no such workload", workload);
	return 0;
}

/* Fills in the numeric options and checks their ranges. Returns 0 or -1. */
static int fill_numbers(struct load_options *o, const struct args *a,
			struct error *e)
{
	o->rate = a->rate->count ? a->rate->dval[0] : 100;
	o->duration =
		(usec_t)((a->duration->count ? a->duration->dval[0] : 10) *
			 USEC_PER_SEC);
	o->seed = a->seed->count ? (uint64_t)a->seed->ival[0] : 1;
	o->team_rate = a->team_rate->count ? a->team_rate->dval[0] : 0;
	o->team_burst =
		a->team_burst->count ? a->team_burst->dval[0] : o->team_rate;
	o->max_age = (a->max_age->count ? a->max_age->ival[0] : 2000) *
		     (usec_t)USEC_PER_MSEC;
	o->deadline = (a->deadline->count ? a->deadline->ival[0] : 2000) *
		      (usec_t)USEC_PER_MSEC;
	o->give_up = (a->give_up->count ? a->give_up->ival[0] : 30000) *
		     (usec_t)USEC_PER_MSEC;
	o->threads = a->threads->count ? (uint32_t)a->threads->ival[0] : 2;
	o->connections =
		a->connections->count ? (uint32_t)a->connections->ival[0] : 128;
	o->quiet = a->quiet->count > 0;
	o->surge_factor = 1;
	if (!(o->rate > 0) || o->duration <= 0 || o->max_age < 0 ||
	    o->deadline <= 0 || o->give_up < 0 || o->team_rate < 0)
		return set_error(e, "a number is out of range", "");
	if (o->threads < 1 || o->threads > 64 || o->connections < 1 ||
	    o->connections > 4096)
		return set_error(e, "threads or connections out of range", "");
	return 0;
}

/*
 * Adds a team from "TEAM=KEY". Returns 0 or -1; an error never contains the
 * key.
 */
static int add_team(struct load_options *o, const char *pair, struct error *e)
{
	const char *equals = strchr(pair, '=');
	struct load_team *t = &o->team[o->n_teams];
	size_t n = equals ? (size_t)(equals - pair) : 0;

	if (n == 0 || n >= sizeof(t->name) ||
	    strlen(equals + 1) >= sizeof(t->secret))
		return set_error(e, "not TEAM=KEY", "");
	if (o->n_teams == LOAD_TEAMS_MAX)
		return set_error(e, "too many teams", "");
	memcpy(t->name, pair, n);
	snprintf(t->secret, sizeof(t->secret), "%s", equals + 1);
	t->weight = 1;
	o->n_teams++;
	return 0;
}

/* Adds a team from every line that is not empty. Returns 0 or -1. */
static int add_teams_from_file(struct load_options *o, const char *path,
			       struct error *e)
{
	char line[KEYS_LINE_BYTES];
	FILE *f = fopen(path, "r");
	int rc = 0;

	if (!f)
		return set_error(e, "cannot be read", path);
	while (rc == 0 && fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\r\n")] = '\0';
		if (line[0])
			rc = add_team(o, line, e);
	}
	if (fclose(f) != 0 && rc == 0)
		rc = set_error(e, "cannot be read", path);
	return rc;
}

/* Parses "N:AT:LEN": a factor and two times in seconds. Returns 0 or -1. */
static int parse_surge(struct load_options *o, const char *text,
		       struct error *e)
{
	double factor, at, duration;
	char trailing;

	if (sscanf(text, "%lf:%lf:%lf%c", &factor, &at, &duration, &trailing) !=
		    3 ||
	    !(factor > 0) || at < 0 || duration < 0)
		return set_error(e, "not N:AT:LEN", text);
	o->surge_factor = factor;
	o->surge_at = (usec_t)(at * USEC_PER_SEC);
	o->surge_duration = (usec_t)(duration * USEC_PER_SEC);
	return 0;
}

/* Parses "TEAM:N" and sets the weight of that team. Returns 0 or -1. */
static int parse_hot_team(struct load_options *o, const char *text,
			  struct error *e)
{
	const char *colon = strrchr(text, ':');
	size_t n = colon ? (size_t)(colon - text) : 0;
	double factor = colon ? strtod(colon + 1, NULL) : 0;
	size_t i;

	for (i = 0; i < o->n_teams; i++) {
		if (strlen(o->team[i].name) == n && factor > 0 &&
		    memcmp(o->team[i].name, text, n) == 0) {
			o->team[i].weight = factor;
			return 0;
		}
	}
	return set_error(e, "not TEAM:N, or no such team", text);
}

/*
 * Sets the error with the offending value as its peer; the value is never a
 * key. Returns -1.
 */
static int set_error(struct error *e, const char *what, const char *value)
{
	return error_set(e, ERR_SETTINGS, STEP_SETTINGS, value, "%s", what);
}
