#include "decide/read_silence.h"

/*
 * Returns true if the connection is to be given up, where this is safe. A
 * statement that has waited elsewhere before waits here for at least as long:
 * among short ones a long one would else be taken from each connection in turn.
 */
bool read_silence_is_likely(const struct read_silence_view *v, usec_t now)
{
	usec_t limit = READ_SILENCE_LATENCIES * v->latency;
	usec_t waited = v->sent_at - v->began_at;

	if (limit < READ_SILENCE_MIN_US)
		limit = READ_SILENCE_MIN_US;
	if (limit < waited)
		limit = waited;
	return now - v->sent_at > limit && v->answered_sent_at > v->sent_at;
}
