#ifndef LOAD_WORKLOAD_H
#define LOAD_WORKLOAD_H

#include "load/load.h"
#include "load/checker.h"

/* The kinds of request in the two workloads, quotes and returns. */
enum load_kind {
	LOAD_PRICE,	 /* read of a price, stale data allowed */
	LOAD_DRAFT,	 /* write of the session's own quote, no request id */
	LOAD_CONFIRM,	 /* increment with a request id */
	LOAD_CONFIRM_TX, /* the same increment in a transaction */
	LOAD_STATUS,	 /* read of the session's own quote */
	LOAD_REPRICE,	 /* increment of a price with a request id */
	LOAD_LODGE,	 /* increment of a credit with a request id */
	LOAD_BALANCE,	 /* read of a credit, stale data allowed */
	LOAD_RECONCILE,	 /* list of all credits of the team */
	LOAD_FINAL,	 /* list that reads keys back after the run */
	LOAD_KINDS,
};

#define SESSION_KEYS 4

/* Index into a session's keys. */
enum session_key {
	KEY_QUOTE,  /* written by this session only */
	KEY_ORDERS, /* a counter of this session only */
	KEY_CREDIT, /* a counter shared by sessions of a team and service */
	KEY_PRICE,  /* a counter shared by sessions of a team and service */
};

/* One simulated client: one request at a time, to any target. */
struct session {
	uint32_t number;
	uint32_t team;
	uint32_t service;
	enum workload workload;
	uint32_t key[SESSION_KEYS];	 /* handles */
	int64_t min_value[SESSION_KEYS]; /* lowest that a read may return */
	int64_t quote;			 /* last value written to KEY_QUOTE */
	uint32_t requests;
	bool busy;
	char token[1100];     /* session token of the last response */
	struct session *next; /* in the idle list */
};

/* The next operation of a session. */
struct load_op {
	enum load_kind kind;
	enum session_key slot;
	int64_t amount; /* of a write */
	int64_t value;	/* new value of the quote, for LOAD_DRAFT only */
	usec_t max_age;
};

/* A pseudo-random sequence; the same seed gives the same numbers. */
struct random {
	uint64_t seed;
	uint64_t counter;
};

uint64_t random_next(struct random *r);
double random_unit(struct random *r);
uint32_t random_below(struct random *r, uint32_t bound);

void session_keys(struct session *s, const struct load_options *o,
		  struct checker *c, uint32_t *shared);
size_t shared_keys_count(const struct load_options *o);
struct load_op workload_next_op(const struct session *s,
				const struct load_options *o, struct random *r);
uint32_t workload_pick_team(const struct load_options *o, struct random *r);
double workload_next_gap_us(const struct load_options *o, usec_t since,
			    double share, struct random *r);
double workload_total_weight(const struct load_options *o);
bool load_kind_writes(enum load_kind kind);
bool load_kind_has_id(enum load_kind kind);
const char *load_kind_name(enum load_kind kind);

#endif
