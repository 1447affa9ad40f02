#ifndef DECIDE_LINK_SILENCE_H
#define DECIDE_LINK_SILENCE_H

#include "decide/types.h"

/*
 * What becomes of a link between two VMs that carries no data. A link can be
 * silent because its VM stands still or is slow, because the VM is gone, or
 * because this connection alone has stopped to carry data. The first must cost
 * nothing, so a link is not closed early: a second one is opened beside it, on
 * which the VM asks what became of its statements.
 */

/*
 * A link with statements waiting is probed after this long without data. Most
 * statements take less, so that few probes are sent.
 */
#define LINK_PING_WAITING_US (75 * USEC_PER_MSEC)
/*
 * A link in use on which nothing waits is probed once in this time: with links
 * to tens of VMs that is tens of messages of 6 bytes a second.
 */
#define LINK_PING_IDLE_US (1 * USEC_PER_SEC)
/* A link counts as in use for this long after a statement was sent on it. */
#define LINK_IN_USE_US (5 * USEC_PER_SEC)
/*
 * A probe without an answer for this long opens a second link: with the time
 * above and a tick of 25 ms before each step, 150 to 200 ms after the last
 * data, within the smallest latency target of callers of 200 ms. A VM that
 * runs in slices of 100 ms may miss it; the second link then costs some bytes.
 */
#define LINK_SECOND_AFTER_US (75 * USEC_PER_MSEC)
/*
 * Least time between two second links to a VM, so that a slow one is not asked
 * again before it can have answered.
 */
#define LINK_SECOND_INTERVAL_US (300 * USEC_PER_MSEC)
/*
 * Statements are given up after waiting this long without any data, counted
 * from no earlier than LINK_PING_WAITING_US before the probe: a VM that stood
 * still itself has sent none, and learns nothing from the silence.
 */
#define LINK_GIVE_UP_US (500 * USEC_PER_MSEC)
/* A SYN that is lost is sent again after a second; another VM is tried first.
 */
#define LINK_CONNECT_TIMEOUT_US (300 * USEC_PER_MSEC)
/*
 * The VM that executes keeps the streams of a broken link for this long, for
 * the other VM to ask for them: a connection's time-out and a slice of 100 ms.
 */
#define LINK_BROKEN_KEPT_US (400 * USEC_PER_MSEC)
/* A link that nobody uses is closed after this long. */
#define LINK_IDLE_MAX_US (60 * USEC_PER_SEC)

struct link_silence {
	bool is_open;
	bool is_resuming;   /* it asked for statements and has no answer yet */
	bool has_second;    /* a second link is being opened beside it */
	uint32_t n_running; /* statements without a result */
	bool has_streams;   /* some of them may be open transactions */
	usec_t opened_at;
	usec_t heard_at;     /* last data received */
	usec_t active_since; /* time since which statements wait */
	usec_t pinged_at;    /* unanswered PING; 0: none */
	usec_t second_at; /* when the last second link was opened; 0: never */
	usec_t used_at;	  /* last statement or request sent */
};

enum link_silence_step {
	LINK_SILENCE_NONE,
	LINK_SILENCE_PING,
	LINK_SILENCE_OPEN_SECOND,
	LINK_SILENCE_GIVE_UP,
	LINK_SILENCE_CONNECT_FAILED,
	LINK_SILENCE_CLOSE_IDLE,
};

enum link_silence_step link_silence_next(const struct link_silence *l,
					 usec_t now);
/* True if a second link may ask for the streams of this one, which broke. */
bool link_silence_may_resume(const struct link_silence *l);

#endif
