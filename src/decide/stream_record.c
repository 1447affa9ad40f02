#include "decide/stream_record.h"

#include <stdlib.h>
#include <string.h>

static void drop_oldest(struct stream_record *r);

/* Takes note of a statement that arrived; see the header. */
bool stream_record_receive(struct stream_record *r, uint64_t number)
{
	if (r->is_closed || number <= r->highest)
		return false;
	r->highest = number;
	return true;
}

/*
 * Keeps a copy of a result. One that is too large, or for which memory is
 * short, is not kept: asked for, its outcome is unknown.
 */
void stream_record_keep(struct stream_record *r, uint64_t number,
			const void *data, size_t len, usec_t now)
{
	struct stream_record_result *kept;
	void *copy;

	stream_record_expire(r, now);
	if (len == 0 || len > STREAM_RECORD_BYTES_MAX)
		return;
	if (!r->results)
		r->results =
			calloc(STREAM_RECORD_RESULTS_MAX, sizeof(*r->results));
	copy = malloc(len);
	if (!r->results || !copy) {
		free(copy);
		return;
	}
	while (r->n_results == STREAM_RECORD_RESULTS_MAX ||
	       r->n_bytes + len > STREAM_RECORD_BYTES_MAX)
		drop_oldest(r);
	memcpy(copy, data, len);
	kept = &r->results[(r->first + r->n_results) %
			   STREAM_RECORD_RESULTS_MAX];
	*kept = (struct stream_record_result){
		.number = number,
		.at = now,
		.data = copy,
		.len = len,
	};
	r->n_results++;
	r->n_bytes += len;
}

/* Drops the results that are too old. */
void stream_record_expire(struct stream_record *r, usec_t now)
{
	while (r->n_results > 0 &&
	       now - r->results[r->first].at > STREAM_RECORD_KEPT_US)
		drop_oldest(r);
}

/*
 * Closes a record for good. The second one takes over its results and its
 * highest number, so that on it, too, no number that arrived counts as never
 * received.
 */
void stream_record_close(struct stream_record *old, struct stream_record *next)
{
	old->is_closed = true;
	stream_record_free(next);
	next->results = old->results;
	next->first = old->first;
	next->n_results = old->n_results;
	next->n_bytes = old->n_bytes;
	if (old->highest > next->highest)
		next->highest = old->highest;
	old->results = NULL;
	old->first = 0;
	old->n_results = 0;
	old->n_bytes = 0;
}

/*
 * Tells what became of a statement. That it was never received is said only if
 * the link is closed, so that it can't arrive any more, and its number is above
 * all that arrived there.
 */
enum stream_state stream_record_ask(const struct stream_record *old,
				    struct stream_record *next, uint64_t number,
				    bool is_running)
{
	if (number > next->highest)
		next->highest = number;
	if (is_running)
		return STREAM_RUNNING;
	if (stream_record_find(next, number))
		return STREAM_DONE;
	if (old->is_closed && number > old->highest)
		return STREAM_NEVER_RECEIVED;
	return STREAM_UNKNOWN;
}

/* Finds the result kept for a number; NULL if there is none. */
const struct stream_record_result *
stream_record_find(const struct stream_record *r, uint64_t number)
{
	uint32_t i;

	for (i = 0; i < r->n_results; i++) {
		const struct stream_record_result *k =
			&r->results[(r->first + i) % STREAM_RECORD_RESULTS_MAX];

		if (k->number == number)
			return k;
	}
	return NULL;
}

/* Frees all results. */
void stream_record_free(struct stream_record *r)
{
	while (r->n_results > 0)
		drop_oldest(r);
	free(r->results);
	r->results = NULL;
	r->first = 0;
}

/* Drops the oldest result, of which there must be one. */
static void drop_oldest(struct stream_record *r)
{
	struct stream_record_result *k = &r->results[r->first];

	r->n_bytes -= k->len;
	free(k->data);
	k->data = NULL;
	r->first = (r->first + 1) % STREAM_RECORD_RESULTS_MAX;
	r->n_results--;
}
