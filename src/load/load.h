#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <stdio.h>

#include "decide/error.h"

/*
 * Open-loop load: requests start on a schedule that does not wait for answers,
 * over the VMs' caller addresses, and every answer is checked.
 */
#define LOAD_TARGETS_MAX  64
#define LOAD_TEAMS_MAX	  64
#define LOAD_SERVICES_MAX 16
#define LOAD_SECRET_BYTES 128

enum workload {
	WORKLOAD_QUOTES,
	WORKLOAD_RETURNS,
	WORKLOAD_BOTH,
};

struct load_team {
	char name[NAME_MAX_BYTES];
	char secret[LOAD_SECRET_BYTES];
	double weight; /* of the offered rate; a hot team has more */
};

struct load_options {
	size_t n_targets;
	char target[LOAD_TARGETS_MAX][ADDR_MAX_BYTES];
	bool direct; /* the one target is a database's primary */
	size_t n_teams;
	struct load_team team[LOAD_TEAMS_MAX];
	size_t n_services;
	char service[LOAD_SERVICES_MAX][NAME_MAX_BYTES];
	enum workload workload;
	double rate; /* requests a second, of all teams at weight 1 */
	usec_t duration;
	uint64_t seed;
	double surge_times; /* the rate's factor from surge_at on */
	usec_t surge_at;
	usec_t surge_length;
	double team_rate; /* a second; 0: not known */
	double team_burst;
	usec_t max_age;	 /* stated with lookups */
	usec_t deadline; /* of one attempt */
	usec_t give_up;	 /* until a request with an id is given up */
	uint32_t threads;
	uint32_t connections; /* per thread */
	char run[32];	      /* prefix that tells runs apart */
	bool quiet;
};

struct load_report;

/* Runs the load; NULL with an error if it could not start. */
struct load_report *load_run(const struct load_options *o, struct error *e);
void load_report_print(const struct load_report *r, FILE *out);
int load_report_json(const struct load_report *r, FILE *out);
/* Tells whether anything was lost, doubled, stale, mixed or another team's. */
bool load_report_clean(const struct load_report *r);
void load_report_free(struct load_report *r);

#endif
