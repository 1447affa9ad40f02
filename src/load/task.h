#ifndef LOAD_TASK_H
#define LOAD_TASK_H

#include <curl/curl.h>
#include <jansson.h>

#include "load/workload.h"

#define TASK_ID_BYTES	       64
#define TASK_REPLY_MAX	       (4U << 20) /* bytes */
#define TASK_TRANSACTION_BYTES 128

/* The calls that a transaction is made of; others have but one. */
enum task_stage {
	STAGE_ONLY,
	STAGE_BEGIN,
	STAGE_STATEMENT,
	STAGE_COMMIT,
	STAGE_ROLLBACK,
};

/* One request of a session, over all its attempts. */
struct task {
	struct session *session;
	struct load_op op;
	uint32_t key;		      /* HANDLE_NONE: a list */
	char name[VERIFY_NAME_BYTES]; /* the key, or a list's prefix */
	enum task_stage stage;
	char id[TASK_ID_BYTES];
	char transaction[TASK_TRANSACTION_BYTES];
	bool maybe_ran; /* an attempt's outcome is unknown */
	bool counted;	/* as refused within the rate */
	uint32_t tries;
	uint32_t target;
	usec_t arrived;
	usec_t sent;
	usec_t retry_at;
	usec_t give_up_at;
	/* One attempt's: */
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t body_len;
	size_t body_given; /* to libcurl */
	char *reply;
	size_t reply_len;
	size_t reply_room;
	char token[sizeof(((struct session *)0)->token)];
	usec_t retry_after; /* -1: not told */
	struct task *next;
};

/* What one attempt came to. */
struct attempt {
	enum outcome outcome;
	int status; /* HTTP; 0: no answer */
	bool replica;
	bool gone;  /* the transaction no longer is */
	usec_t age; /* -1: not told */
	json_t *body;
	size_t n_rows;
	struct verify_row *rows; /* keys borrowed from the body */
	char transaction[TASK_TRANSACTION_BYTES];
};

/* Sets the handle up for the task's stage, towards one target. */
void task_prepare(struct task *t, const struct load_options *o,
		  const char *target, uint64_t term);
/* Reads what came back; end with attempt_clear(). */
void task_result(const struct task *t, CURLcode rc, struct attempt *a);
void attempt_clear(struct attempt *a);
/* Has the handle's answer gathered into the task. */
void task_collect(struct task *t);
/* Frees what belongs to the attempt, but for the handle. */
void task_reset(struct task *t);

#endif
