#ifndef DECIDE_READ_SILENCE_H
#define DECIDE_READ_SILENCE_H

#include "decide/types.h"

/*
 * Whether a connection to a database may have fallen silent: a request waits on
 * it for much longer than is usual, and the database has answered one on
 * another connection that was sent later. A database that answers nobody is
 * dealt with as a whole, and a slow one has a longer usual time.
 */
struct read_silence_view {
	usec_t began_at; /* of the statement that waits */
	usec_t sent_at;	 /* of the oldest request without an answer */
	usec_t latency;	 /* moving average of the database's answers */
	/* when the newest statement was sent that was answered; 0: none */
	usec_t answered_sent_at;
};

/* A request is not overdue before this time, nor before several usual ones. */
#define READ_SILENCE_MIN_US    (300 * USEC_PER_MSEC)
#define READ_SILENCE_LATENCIES 4

bool read_silence_is_likely(const struct read_silence_view *v, usec_t now);

#endif
