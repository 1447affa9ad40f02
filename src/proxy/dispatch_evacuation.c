#include <stdio.h>

#include "kernel/counters.h"
#include "proxy/proxy_internal.h"

/*
 * How statements end or wait that a database may not get: an evacuated one, or
 * a cold one that another VM owns.
 */

/*
 * Takes a statement back that was not sent to its database, as the database's
 * failure domain is evacuated: it goes to another one. A transaction that other
 * statements have begun there ends.
 */
void dispatch_return_evacuated(struct session *s)
{
	if (s->tx_answered) {
		dispatch_abort_evacuated(s);
		return;
	}
	s->tx_at_database = false;
	if (s->backend)
		backend_release(s->backend);
	if (s->stream)
		remote_server_refuse_evacuated(s);
	else
		dispatch_retry(s, REPLY_ERR_NONE);
}

/*
 * Notes that a statement waits until the evacuated primary was handed over to
 * another database, and goes on asking for that one.
 */
void dispatch_wait_for_hand_over(struct session *s, usec_t now)
{
	struct db_group *g = s->group;

	g->primary_used_at = now;
	(void)db_group_primary_is_usable(g, now);
	if (!s->exec.was_held)
		counter_add(CTR_EVACUATION_HELD, 1);
	s->exec.was_held = true;
}

/* Refuses a statement that no database outside evacuated domains can run. */
void dispatch_refuse_evacuated(struct session *s)
{
	char reason[96];

	counter_add(CTR_EVACUATION_REFUSED, 1);
	snprintf(reason, sizeof(reason),
		 "failure domain evacuated, not run, retry after %lld ms",
		 (long long)(EVACUATION_RETRY_US / USEC_PER_MSEC));
	session_send_error(s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			   reason);
}

/*
 * Ends a transaction before its next statement is sent, as it had its time at
 * the evacuated database.
 */
void dispatch_abort_evacuated(struct session *s)
{
	counter_add(CTR_EVACUATION_ABORTED, 1);
	if (s->stream)
		remote_server_refuse(s, REPLY_ERR_ABORTED, 0);
	else
		session_send_error(s, REPLY_ERR_ABORTED,
				   "failure domain evacuated, not run, "
				   "transaction rolled back");
}

/*
 * Takes a statement back that waits for a cold database which another VM owns
 * now, since only the owner may send to it. A transaction that other statements
 * have begun there ends.
 */
void dispatch_return_cold(struct session *s)
{
	bool is_begun = s->tx_answered;

	if (is_begun) {
		/* A roll-back would be sent to the database too. */
		s->backend->must_close = true;
	} else {
		s->tx_at_database = false;
		backend_release(s->backend);
	}
	if (s->stream)
		remote_server_refuse(s,
				     is_begun ? REPLY_ERR_ABORTED
					      : REPLY_ERR_WRONG_DATABASE,
				     0);
	else if (is_begun)
		session_send_error(s, REPLY_ERR_ABORTED,
				   "another VM owns the cold database, not "
				   "run, transaction rolled back");
	else
		dispatch_retry(s, REPLY_ERR_NONE);
}
