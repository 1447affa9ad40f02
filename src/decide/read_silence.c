#include "decide/read_silence.h"

/* Returns true if the connection is to be given up, where this is safe. */
bool read_silence_is_likely(const struct read_silence_view *v, usec_t now)
{
	usec_t limit = READ_SILENCE_LATENCIES * v->latency;

	if (limit < READ_SILENCE_MIN_US)
		limit = READ_SILENCE_MIN_US;
	return now - v->sent_at > limit && v->answered_sent_at > v->sent_at;
}
