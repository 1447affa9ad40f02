#ifndef LOAD_LOAD_STATS_H
#define LOAD_LOAD_STATS_H

#include "load/workload.h"

/*
 * Counters and latencies of a run. The caller holds the lock that guards them.
 */
#define HISTOGRAM_BUCKETS 512

struct histogram {
	uint64_t n;
	uint64_t bucket[HISTOGRAM_BUCKETS];
	usec_t max;
};

/* The final result of a request, over all its attempts. */
enum load_result {
	RESULT_DONE,
	RESULT_OVER_RATE, /* status 429 */
	RESULT_NOT_RUN,	  /* status 503 or no connection */
	RESULT_UNKNOWN,	  /* the request may or may not have run */
	RESULT_FAILED,	  /* any other status; none is expected */
	RESULT_KINDS,
};

struct token_bucket {
	double tokens;
	usec_t refilled_at; /* 0: never used, still full */
};

struct team_stats {
	uint64_t offered;
	uint64_t offered_in_rate; /* arrivals that found a token */
	uint64_t result[RESULT_KINDS];
	uint64_t refused_in_rate;
	struct token_bucket arrivals;
	struct token_bucket admitted;
};

struct service_stats {
	usec_t last_write_at; /* 0 before the first one */
	usec_t longest_gap;   /* between two successful writes */
	usec_t longest_gap_start;
};

struct load_stats {
	struct team_stats team[LOAD_TEAMS_MAX];
	struct service_stats service[LOAD_SERVICES_MAX];
	uint64_t kind[LOAD_KINDS][RESULT_KINDS];
	uint64_t attempts;
	uint64_t attempts_unknown;
	uint64_t attempts_no_response; /* connection failed or timed out */
	uint64_t skipped;	       /* arrivals without an idle session */
	uint64_t reads_done;
	uint64_t reads_replica;
	struct histogram read_latency;
	struct histogram write_latency;
	uint64_t violations[VIOLATION_KINDS];
	char first_violation[256];
};

void histogram_add(struct histogram *h, usec_t t);
usec_t histogram_quantile(const struct histogram *h, double quantile);
bool load_stats_take_token(struct load_stats *stats,
			   const struct load_options *o, uint32_t team,
			   usec_t now);
void load_stats_count_offered(struct load_stats *stats, uint32_t team,
			      bool in_rate);
void load_stats_charge_attempt(struct load_stats *stats,
			       const struct load_options *o, uint32_t team,
			       usec_t now);
bool load_stats_refund_attempt(struct load_stats *stats,
			       const struct load_options *o, uint32_t team,
			       usec_t now);
void load_stats_count_refused_in_rate(struct load_stats *stats, uint32_t team);
void load_stats_count_result(struct load_stats *stats, uint32_t team,
			     enum load_kind kind, enum load_result result);
void load_stats_write_done(struct load_stats *stats, uint32_t service,
			   usec_t now);
void load_stats_finish(struct load_stats *stats, const struct load_options *o,
		       usec_t now);
double load_stats_share_served(const struct load_stats *stats, uint32_t team);

#endif
