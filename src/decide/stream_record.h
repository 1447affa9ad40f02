#ifndef DECIDE_STREAM_RECORD_H
#define DECIDE_STREAM_RECORD_H

#include <stddef.h>

#include "decide/types.h"

/*
 * What a VM remembers of the statements that arrived on one link of another
 * VM, so that it can tell on a second link what became of them. The other VM
 * numbers its statements; a number is never used twice by one incarnation, and
 * they rise on each link.
 */

/*
 * Results kept, in number and bytes: those of about 1,000 statements a second
 * of one VM in the time that it takes to notice that a link is silent, and with
 * 194 peers at most 16 MB.
 */
#define STREAM_RECORD_RESULTS_MAX 512
#define STREAM_RECORD_BYTES_MAX	  ((size_t)64 * 1024)
/* A statement is given up by its VM about half a second after the last data. */
#define STREAM_RECORD_KEPT_US (2 * USEC_PER_SEC)

struct stream_record_result {
	uint64_t number;
	usec_t at;
	void *data; /* the message with the result, as it was sent */
	size_t len;
};

struct stream_record {
	uint64_t highest; /* number received or asked for; 0: none */
	bool is_closed;	  /* nothing more is read from the link */
	/* ring of results, the oldest at "first" */
	struct stream_record_result *results;
	uint32_t first;
	uint32_t n_results;
	size_t n_bytes;
};

/* What became of a statement that the other VM asks for. */
enum stream_state {
	STREAM_RUNNING,	       /* its result follows */
	STREAM_DONE,	       /* its result is sent again */
	STREAM_NEVER_RECEIVED, /* it has not run and never will */
	STREAM_UNKNOWN,
	STREAM_OPEN, /* no statement waits; its transaction is open */
	STREAM_STATE_COUNT,
};

/*
 * Takes note of a statement that arrived. Returns false if it must not be
 * executed: the link is closed, or the number does not rise.
 */
bool stream_record_receive(struct stream_record *r, uint64_t number);
/* Keeps a copy of a result; older ones give way to it. */
void stream_record_keep(struct stream_record *r, uint64_t number,
			const void *data, size_t len, usec_t now);
/* Drops the results that are too old. */
void stream_record_expire(struct stream_record *r, usec_t now);
/*
 * Closes "old" for good and moves what it holds to "next", the record of the
 * second link, on which no statement has arrived yet.
 */
void stream_record_close(struct stream_record *old, struct stream_record *next);
/*
 * Tells what became of a statement of the closed record "old" and notes in
 * "next" that it was asked for. "is_running": it waits or is executed here.
 */
enum stream_state stream_record_ask(const struct stream_record *old,
				    struct stream_record *next, uint64_t number,
				    bool is_running);
/* The result kept for a number; NULL: none. */
const struct stream_record_result *
stream_record_find(const struct stream_record *r, uint64_t number);
void stream_record_free(struct stream_record *r);

#endif
