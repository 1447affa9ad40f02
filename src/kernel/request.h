#ifndef KERNEL_REQUEST_H
#define KERNEL_REQUEST_H

#include "decide/error.h"

#define REQUEST_ID_BYTES     128
#define TRANSACTION_ID_BYTES 96
#define TOKEN_MAX_BYTES	     1024
#define MAX_AGE_NONE	     (-1)

enum request_op {
	OP_STATEMENT,
	OP_BEGIN,
	OP_COMMIT,
	OP_ROLLBACK,
};

/* The response to the caller. */
struct answer {
	enum outcome outcome;
	struct error error;
	char *rows; /* JSON array, malloc'd; NULL if none */
	bool from_replica;
	struct log_pos at;
	int64_t age_us; /* age of the data; -1: unknown */
	int64_t retry_after_ms;
	char transaction[TRANSACTION_ID_BYTES];
	char token[TOKEN_MAX_BYTES]; /* empty if the session is unchanged */
};

/*
 * One request. Owned by its creator until it is submitted, then by the engine
 * until done() is called, exactly once and on any thread.
 */
struct request {
	struct request *next;
	enum request_op op;
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	uint32_t weight; /* of the team in a queue; 0 counts as 1 */
	char service[NAME_MAX_BYTES];
	enum statement_kind kind;
	char *statement;  /* malloc'd */
	char *parameters; /* JSON array, malloc'd; NULL if none */
	int64_t max_age_us;
	usec_t arrived_at;
	usec_t deadline;
	char request_id[REQUEST_ID_BYTES]; /* empty if none */
	char body_hash[33];
	char transaction[TRANSACTION_ID_BYTES];
	char token[TOKEN_MAX_BYTES];
	bool has_token;
	bool forwarded; /* by another VM; must not be forwarded again */
	struct answer answer;
	void (*done)(struct request *r);
	void *ctx;
	void *owner_shard; /* private to the engine */
};

struct request *request_create(void);
void request_destroy(struct request *r);

#endif
