#ifndef LOAD_LOAD_REQUEST_H
#define LOAD_LOAD_REQUEST_H

#include <curl/curl.h>
#include <jansson.h>

#include "load/workload.h"

#define LOAD_REQUEST_ID_BYTES  64
#define LOAD_REPLY_MAX_BYTES   (4U << 20)
#define LOAD_TRANSACTION_BYTES 128

/* The HTTP calls of a transaction; any other request is a single call. */
enum load_stage {
	STAGE_SINGLE,
	STAGE_BEGIN,
	STAGE_STATEMENT,
	STAGE_COMMIT,
	STAGE_ROLLBACK,
};

/* One request of a session, over all its attempts. */
struct load_request {
	struct session *session;
	struct load_op op;
	uint32_t key;		       /* handle; HANDLE_NONE: a list */
	char name[CHECKER_NAME_BYTES]; /* key, or prefix of a list */
	enum load_stage stage;
	char id[LOAD_REQUEST_ID_BYTES]; /* empty: not idempotent */
	char transaction[LOAD_TRANSACTION_BYTES];
	bool may_have_run;    /* the outcome of an attempt is unknown */
	bool refusal_counted; /* counted as refused within the team's rate */
	uint32_t attempts;
	uint32_t target;
	usec_t arrived;
	usec_t sent; /* start of the current attempt */
	usec_t retry_at;
	usec_t give_up_at;
	/* State of the current attempt, cleared by load_request_reset(): */
	CURL *easy; /* not cleared, but reused */
	struct curl_slist *headers;
	char *body;
	size_t body_len;
	size_t body_sent; /* bytes handed to libcurl */
	char *reply;
	size_t reply_len;
	size_t reply_capacity;
	char token[sizeof(((struct session *)0)->token)];
	usec_t retry_after; /* from the response; -1: none */
	struct load_request *next;
};

/* The response to one attempt, or the lack of one. */
struct attempt {
	enum outcome outcome;
	int status; /* HTTP; 0: no response */
	bool from_replica;
	bool transaction_gone; /* the transaction no longer exists */
	usec_t age;	       /* of the data; -1: not stated */
	json_t *body;
	size_t n_rows;
	struct checker_row *rows; /* keys point into the body */
	char transaction[LOAD_TRANSACTION_BYTES];
};

void load_request_prepare(struct load_request *r, const struct load_options *o,
			  const char *target, uint64_t term);
void load_request_read_response(const struct load_request *r, CURLcode rc,
				struct attempt *a);
void attempt_clear(struct attempt *a);
void load_request_set_callbacks(struct load_request *r);
void load_request_reset(struct load_request *r);

#endif
