#ifndef LOAD_WORKLOAD_H
#define LOAD_WORKLOAD_H

#include "load/load.h"
#include "load/verify.h"

/* The kinds of request that quoting and returns are made of. */
enum load_kind {
	LOAD_PRICE,	 /* read, some age allowed */
	LOAD_DRAFT,	 /* write of the session's own quote */
	LOAD_CONFIRM,	 /* counted once: a write with a request id */
	LOAD_CONFIRM_TX, /* the same by a transaction */
	LOAD_STATUS,	 /* read of the session's own quote */
	LOAD_REPRICE,	 /* write of a price */
	LOAD_LODGE,	 /* counted once */
	LOAD_BALANCE,	 /* read, some age allowed */
	LOAD_RECONCILE,	 /* list */
	LOAD_FINAL,	 /* the last read of a key */
	LOAD_KINDS,
};

#define SESSION_KEYS 4

/* Slots of a session's keys. */
enum session_key {
	KEY_QUOTE,  /* its own */
	KEY_ORDERS, /* its own counter */
	KEY_CREDIT, /* a counter that sessions share: a kiosk's */
	KEY_PRICE,  /* a counter that sessions share */
};

/* One estimator or driver: one request at a time, on any VM. */
struct session {
	uint32_t number;
	uint32_t team;
	uint32_t service;
	enum workload workload;
	uint32_t key[SESSION_KEYS];
	int64_t floor[SESSION_KEYS];
	int64_t quote; /* value of its quote */
	uint32_t requests;
	bool busy;
	char token[1100];
	struct session *next; /* among the idle */
};

/* What a session asks next. */
struct load_op {
	enum load_kind kind;
	enum session_key slot;
	int64_t amount; /* of a write */
	int64_t value;	/* that a draft puts */
	usec_t max_age;
};

/* A stream of numbers that follows from its seed. */
struct random {
	uint64_t seed;
	uint64_t drawn;
};

uint64_t random_next(struct random *r);
double random_unit(struct random *r); /* in (0, 1] */
uint32_t random_below(struct random *r, uint32_t bound);

/* Adds a session's keys to the record; those shared are found by "shared". */
void session_keys(struct session *s, const struct load_options *o,
		  struct verify *v, uint32_t *shared);
size_t shared_keys_count(const struct load_options *o);
struct load_op workload_next(const struct session *s,
			     const struct load_options *o, struct random *r);
uint32_t workload_team(const struct load_options *o, struct random *r);
/* Until the next arrival, in microseconds, at a time since the start. */
double workload_gap(const struct load_options *o, usec_t since, double share,
		    struct random *r);
double workload_weight(const struct load_options *o);
bool load_kind_writes(enum load_kind kind);
bool load_kind_has_id(enum load_kind kind);
const char *load_kind_name(enum load_kind kind);

#endif
