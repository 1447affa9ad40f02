#ifndef LOAD_MEASURES_H
#define LOAD_MEASURES_H

#include "load/workload.h"

/* Counts and times of a run; the caller holds a lock. */
#define HISTOGRAM_BUCKETS 512

struct histogram {
	uint64_t n;
	uint64_t bucket[HISTOGRAM_BUCKETS];
	usec_t max;
};

/* How a request ended for its caller. */
enum load_end {
	END_DONE,
	END_OVER_RATE, /* 429 */
	END_NOT_RUN,   /* refused otherwise */
	END_UNKNOWN,   /* outcome never learned */
	END_FAILED,    /* 4xx: never to be expected */
	END_KINDS,
};

struct rate_bucket {
	double tokens;
	usec_t at; /* 0: still full */
};

struct team_measures {
	uint64_t offered;
	uint64_t offered_in_rate; /* by a token bucket of its rate */
	uint64_t end[END_KINDS];
	uint64_t refused_in_rate;
	struct rate_bucket arrivals;
	struct rate_bucket admitted;
};

struct service_measures {
	usec_t last_write; /* done; 0 before the first */
	usec_t gap;	   /* longest between two */
	usec_t gap_at;
};

struct measures {
	struct team_measures team[LOAD_TEAMS_MAX];
	struct service_measures service[LOAD_SERVICES_MAX];
	uint64_t kind[LOAD_KINDS][END_KINDS];
	uint64_t attempts;
	uint64_t attempts_unknown;
	uint64_t attempts_no_answer; /* connection failed or timed out */
	uint64_t skipped;	     /* arrivals without a free session */
	uint64_t reads_done;
	uint64_t reads_replica;
	struct histogram reads;
	struct histogram writes;
	uint64_t violations[VIOLATION_KINDS];
	char first_violation[256];
};

void histogram_add(struct histogram *h, usec_t t);
usec_t histogram_at(const struct histogram *h, double part);
/* Takes an arrival from the team's rate; true if it lies within that. */
bool measures_take(struct measures *m, const struct load_options *o,
		   uint32_t team, usec_t now);
/* Counts an arrival; "in_rate" is what measures_take() told of it. */
void measures_offer(struct measures *m, uint32_t team, bool in_rate);
/*
 * Charges an attempt to what its team has been admitted; a refusal gives that
 * back, and lay within the rate if what is admitted leaves room for it.
 */
void measures_charge(struct measures *m, const struct load_options *o,
		     uint32_t team, usec_t now);
bool measures_refuse(struct measures *m, const struct load_options *o,
		     uint32_t team, usec_t now);
/* Counts a request that was refused within its team's rate, once each. */
void measures_refused_in_rate(struct measures *m, uint32_t team);
void measures_end(struct measures *m, uint32_t team, enum load_kind kind,
		  enum load_end end);
void measures_write_done(struct measures *m, uint32_t service, usec_t now);
/* Counts the gap up to the end of the load. */
void measures_close(struct measures *m, const struct load_options *o,
		    usec_t now);
/* A team's done requests over those it was entitled to, at most 1. */
double measures_share(const struct measures *m, uint32_t team);

#endif
