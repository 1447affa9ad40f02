#ifndef LOAD_VERIFY_H
#define LOAD_VERIFY_H

#include "decide/types.h"

/*
 * What the answers must be, from a client's own record: pure state, the
 * caller passes the time and holds a lock. Every key holds an integer that
 * only rises. A counter takes increments of many sessions; any other key is
 * written by one session, one write at a time.
 */
struct verify;

#define VERIFY_NAME_BYTES 128

enum violation {
	VIOLATION_NONE,
	VIOLATION_LOST,	   /* a done write is missing */
	VIOLATION_DOUBLED, /* more than was ever sent, or a not_run that ran */
	VIOLATION_STALE,   /* own writes unseen, or older than stated */
	VIOLATION_MIXED,   /* the answer of another request */
	VIOLATION_TEAM,	   /* another team's data */
	VIOLATION_KINDS,
};

/* One row of an answer. */
struct verify_row {
	const char *key;
	int64_t value;
	bool integer;
};

struct verify *verify_create(void);
void verify_destroy(struct verify *v);
/* Adds a key, whose name must hold "/TEAM/", and returns its handle. */
uint32_t verify_add(struct verify *v, const char *name, const char *team,
		    bool counter);
uint32_t verify_count(const struct verify *v);
const char *verify_name(const struct verify *v, uint32_t key);
/* Was the key ever written to? */
bool verify_touched(const struct verify *v, uint32_t key);

/*
 * A write of "amount" (a counter's increment, else the new value less the old)
 * begins, and ends in one of three ways. "floor" is the least value that the
 * session may see from here on.
 */
void verify_begin(struct verify *v, uint32_t key, int64_t amount);
void verify_not_run(struct verify *v, uint32_t key, int64_t amount);
void verify_unknown(struct verify *v, uint32_t key, int64_t amount);
enum violation verify_done(struct verify *v, uint32_t key, int64_t amount,
			   const struct verify_row *rows, size_t n, usec_t now,
			   int64_t *floor);
/* A transaction's commit tells no value. */
void verify_done_blind(struct verify *v, uint32_t key, int64_t amount);
/*
 * A read sent at "sent" with a stated age; age_us is what the answer claims,
 * -1 if nothing.
 */
enum violation verify_read(struct verify *v, uint32_t key,
			   const struct verify_row *rows, size_t n, usec_t sent,
			   usec_t max_age, usec_t age, int64_t *floor);
/* Every row's key must begin with the prefix. */
enum violation verify_list(const char *prefix, const char *team,
			   const struct verify_row *rows, size_t n);
/* The last read of all, from the primary, with nothing in flight. */
enum violation verify_final(struct verify *v, uint32_t key,
			    const struct verify_row *rows, size_t n);
const char *violation_name(enum violation kind);

#endif
