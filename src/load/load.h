#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <stdio.h>

#include "decide/error.h"

/*
 * An open-loop load generator: requests start on a schedule that does not
 * depend on responses, go to the VMs' caller addresses, and every response is
 * checked for consistency.
 */
#define LOAD_TARGETS_MAX  64
#define LOAD_TEAMS_MAX	  64
#define LOAD_SERVICES_MAX 16
#define LOAD_SECRET_BYTES 128

/* The mix of requests; see workload.c. */
enum workload {
	WORKLOAD_QUOTES,
	WORKLOAD_RETURNS,
	WORKLOAD_BOTH, /* half of the sessions each */
};

struct load_team {
	char name[NAME_MAX_BYTES];
	char secret[LOAD_SECRET_BYTES]; /* the team's key */
	double weight; /* share of the offered rate; above 1 for a hot team */
};

struct load_options {
	size_t n_targets;
	char target[LOAD_TARGETS_MAX][ADDR_MAX_BYTES];
	bool direct; /* the only target is the primary of a database */
	size_t n_teams;
	struct load_team team[LOAD_TEAMS_MAX];
	size_t n_services;
	char service[LOAD_SERVICES_MAX][NAME_MAX_BYTES];
	enum workload workload;
	double rate; /* requests per second of all teams if all weigh 1 */
	usec_t duration;
	uint64_t seed;
	double surge_factor; /* multiplies the rate during the surge */
	usec_t surge_at;     /* time from the start of the run to the surge */
	usec_t surge_duration;
	double team_rate; /* each team's rate limit per second; 0: unknown */
	double team_burst;
	usec_t max_age;	 /* staleness allowed to reads */
	usec_t deadline; /* time allowed for one attempt */
	usec_t give_up;	 /* time since arrival after which nothing is retried */
	uint32_t threads;
	uint32_t connections; /* per thread */
	char run[32];	      /* key prefix, unique to the run */
	bool quiet;	      /* print no progress */
};

struct load_report;

struct load_report *load_run(const struct load_options *o, struct error *e);
void load_report_print(const struct load_report *r, FILE *out);
int load_report_json(const struct load_report *r, FILE *out);
bool load_report_is_clean(const struct load_report *r);
void load_report_free(struct load_report *r);

#endif
