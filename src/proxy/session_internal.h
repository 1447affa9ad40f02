#ifndef PROXY_SESSION_INTERNAL_H
#define PROXY_SESSION_INTERNAL_H

#include "proxy/proxy_internal.h"

/*
 * Shared by session.c, which receives statements, and session_outcome.c, which
 * ends them.
 */

/* Handles lines of the caller while no statement is executing. */
void session_read_lines(struct session *s);
void session_send_ready(struct session *s, const struct log_pos *at);
void session_set_timer(struct session *s, usec_t at);
void session_close_after_flush(struct session *s);
/* Ends the operation: the session holds no connection afterwards. */
void session_end_operation(struct session *s);
/*
 * Ends the statement in progress with an error. The texts are the reasons for a
 * statement not yet sent, and for one that was sent.
 */
void session_abort_statement(struct session *s, const char *unsent,
			     const char *sent);
/* Ends a transaction that has been idle for too long. */
void session_expire_transaction(struct session *s, usec_t now);

#endif
