#ifndef LOAD_CHECKER_H
#define LOAD_CHECKER_H

#include "decide/types.h"

/*
 * Checks the values read and written by the load generator for consistency.
 * It keeps what the clients know of each key and does no I/O: the caller
 * passes the time and holds a lock. Every key holds an integer that only
 * grows. A counter is incremented by many sessions; any other key is written
 * by one session, one write at a time.
 */
struct checker;

#define CHECKER_NAME_BYTES 128

enum violation {
	VIOLATION_NONE,
	VIOLATION_LOST,	   /* an acknowledged write is missing */
	VIOLATION_DOUBLED, /* a write ran twice, or despite "not_run" */
	VIOLATION_STALE, /* a read misses the session's writes, or is too old */
	VIOLATION_MIXED, /* the response belongs to another request */
	VIOLATION_TEAM,	 /* the response has another team's data */
	VIOLATION_KINDS,
};

/* One row of a response. */
struct checker_row {
	const char *key;
	int64_t value;
	bool is_integer; /* else the value is not valid */
};

struct checker *checker_create(void);
void checker_destroy(struct checker *c);
uint32_t checker_add_key(struct checker *c, const char *name, const char *team,
			 bool is_counter);
uint32_t checker_n_keys(const struct checker *c);
const char *checker_key_name(const struct checker *c, uint32_t key);
bool checker_key_is_written(const struct checker *c, uint32_t key);

/*
 * Every write is announced by checker_begin_write() and ends with one of the
 * other calls. "amount" is the increment of a counter, else the new value less
 * the old one. "min_value" is the lowest value that the session may read from
 * then on.
 */
void checker_begin_write(struct checker *c, uint32_t key, int64_t amount);
void checker_write_not_run(struct checker *c, uint32_t key, int64_t amount);
void checker_write_unknown(struct checker *c, uint32_t key, int64_t amount);
enum violation checker_write_done(struct checker *c, uint32_t key,
				  int64_t amount,
				  const struct checker_row *rows, size_t n,
				  usec_t now, int64_t *min_value);
void checker_write_done_no_value(struct checker *c, uint32_t key,
				 int64_t amount);
enum violation checker_read(struct checker *c, uint32_t key,
			    const struct checker_row *rows, size_t n,
			    usec_t sent, usec_t max_age, usec_t age,
			    int64_t *min_value);
enum violation checker_list(const char *prefix, const char *team,
			    const struct checker_row *rows, size_t n);
enum violation checker_final_read(struct checker *c, uint32_t key,
				  const struct checker_row *rows, size_t n);
const char *violation_name(enum violation kind);

#endif
