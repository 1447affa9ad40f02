#ifndef PROXY_SESSION_OWN_H
#define PROXY_SESSION_OWN_H

#include "proxy/proxy_own.h"

/* Between session.c, which takes statements, and session_end.c, which ends
 * them. */

/* Takes lines of the caller while no statement is under way. */
void session_read_lines(struct session *s);
void session_reply_state(struct session *s, const struct log_pos *at);
void session_set_timer(struct session *s, usec_t at);
void session_close_after_output(struct session *s);
/* The operation is over: the session holds no connection any more. */
void session_end_operation(struct session *s);
/* Ends the statement under way; the reasons are for one not sent, and sent. */
void session_give_up(struct session *s, const char *unsent, const char *sent);
/* Ends a transaction that has been idle for too long. */
void session_end_idle(struct session *s, usec_t now);

#endif
