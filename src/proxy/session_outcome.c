#include <stdio.h>

#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"
#include "proxy/session_internal.h"

/* How statements and operations end: replies, errors and unknown outcomes. */

static void send_reply(struct session *s, struct evbuffer *reply,
		       const struct reply_msg *ready);
static void end_statement(struct session *s);
static bool means_not_run(enum reply_error_code code);

/*
 * Handles the result of a statement. One that was not executed is tried
 * elsewhere while its deadline allows; any other result is sent to the caller.
 */
void session_on_result(struct session *s, enum exec_result end,
		       enum reply_error_code code, struct evbuffer *reply,
		       const struct reply_msg *ready)
{
	struct stmt_exec *t = &s->exec;
	struct db_group *g = s->group;
	usec_t now = proxy_now();

	if (s->stream) {
		remote_server_on_result(s, end, code, reply, ready);
		return;
	}
	if (end == RESULT_REPLY) {
		if (s->backend)
			conn_pool_on_reply(s->backend);
		if ((t->is_write && !s->in_tx) ||
		    (t->is_commit && s->tx_wrote)) {
			if (!t->is_proved &&
			    !db_group_primary_is_usable(g, now)) {
				/*
				 * There may already be another primary, and
				 * whether this commit is in its log is unknown.
				 */
				log_event(
					EV_CALLER_UNKNOWN,
					"id=%s service=%s reason=\"no valid "
					"proof of the primary at its answer\" "
					"proof_age_us=%lld",
					t->id, g->service,
					(long long)(now - g->proof.proved_at));
				evbuffer_drain(reply,
					       evbuffer_get_length(reply));
				session_send_error(
					s, REPLY_ERR_IN_DOUBT,
					"the primary may be superseded");
				return;
			}
			session_commits_note(
				&s->commits, g->handle,
				ready->has_position ? &ready->at : NULL, now);
		}
		send_reply(s, reply, ready);
		return;
	}
	if (end == RESULT_UNKNOWN) {
		if (t->is_commit && s->tx_wrote)
			code = REPLY_ERR_IN_DOUBT;
		else if (s->in_tx)
			code = REPLY_ERR_ABORTED;
		else if (t->is_write)
			code = REPLY_ERR_IN_DOUBT;
		else {
			dispatch_retry(s, REPLY_ERR_NONE);
			return;
		}
		session_send_error(s, code, "connection to the database lost");
		return;
	}
	if (end == RESULT_FAILED) {
		if (!s->in_tx && !t->is_write && t->attempts == 0) {
			dispatch_release(s);
			dispatch_retry(s, code);
			return;
		}
		session_send_error(s, code, "failed at the database");
		return;
	}
	/* Not executed. */
	if (s->in_tx && !s->tx_at_database && !s->tx_answered && s->backend)
		backend_release(s->backend);
	if (s->in_tx && s->tx_at_database && !s->tx_answered) {
		backend_release(s->backend);
		dispatch_retry(s, code);
		return;
	}
	if (s->in_tx && s->tx_at_database) {
		session_send_error(s, REPLY_ERR_ABORTED,
				   "transaction ended by the database");
		return;
	}
	if (!s->in_tx) {
		if (s->backend)
			backend_release(s->backend);
		dispatch_retry(s, code);
		return;
	}
	session_send_error(s, means_not_run(code) ? code : REPLY_ERR_ABORTED,
			   "transaction not begun");
}

/* Returns the newest commit of the session at the service of its route. */
struct session_commit session_own_commit(const struct session *s)
{
	if (s->consistency != READ_YOUR_WRITES)
		return (struct session_commit){ 0 };
	return session_commits_find(&s->commits, s->group->handle);
}

/*
 * Fails the transaction, as its database connection was lost while it was idle.
 */
void session_on_backend_lost(struct session *s)
{
	if (s->stream) {
		remote_server_on_lost(s);
		return;
	}
	if (!s->in_tx || !s->tx_at_database)
		return;
	s->state = STATE_FAILED;
	s->tx_loss_untold = true;
	s->tx_at_database = false;
	log_event(EV_TRANSACTION_LOST, "service=%s team=%s", s->group->service,
		  s->team);
}

/* Ends the statement in progress with an error. */
void session_send_error(struct session *s, enum reply_error_code code,
			const char *reason)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);

	log_event(code == REPLY_ERR_IN_DOUBT ? EV_CALLER_UNKNOWN
					     : EV_STATEMENT_REFUSED,
		  "id=%s team=%s service=%s database=%s via=%s code=%s "
		  "attempts=%u "
		  "waited_us=%lld reason=\"%s\"",
		  s->exec.id, s->team, s->group ? s->group->service : "-",
		  s->group && s->exec.db < DB_GROUP_MEMBERS_MAX
			  ? s->group->db[s->exec.db].id
			  : "-",
		  s->exec.via ? s->exec.via : "-",
		  s->proxy->protocol->code_name(code), s->exec.attempts,
		  (long long)(proxy_now() - s->exec.began_at), reason);
	counter_add(code == REPLY_ERR_IN_DOUBT ? CTR_UNKNOWN : CTR_NOT_RUN, 1);
	if (code != REPLY_ERR_IN_DOUBT)
		s->refused_at = proxy_now();
	s->proxy->protocol->put_error(out, code, reason);
	if (s->in_tx && !s->exec.is_commit) {
		if (s->backend) {
			s->backend->must_close |=
				s->exec.stage == EXEC_RUNNING &&
				s->backend->n_expected > 0;
		}
		dispatch_release(s);
		s->tx_at_database = false;
		s->state = STATE_FAILED;
	} else {
		session_end_operation(s);
	}
	end_statement(s);
	session_send_ready(s, NULL);
	session_read_lines(s);
}

/*
 * Ends the session because the VM stops. The statement in progress still gets a
 * reply.
 */
void session_stop(struct session *s)
{
	if (s->exec.stage != EXEC_NONE)
		session_abort_statement(s, "this VM stops, not run",
					"this VM stops");
	session_close_after_flush(s);
}

/* Ends a transaction that has been idle for too long. */
void session_expire_transaction(struct session *s, usec_t now)
{
	if (!s->in_tx || s->state != STATE_OPEN)
		return;
	if (now < s->tx_idle_until) {
		/* The timer can fire slightly early. */
		session_set_timer(s, s->tx_idle_until + USEC_PER_MSEC);
		return;
	}
	if (!s->backend && !s->remote)
		return;
	log_event(EV_TRANSACTION_IDLE, "service=%s team=%s idle_ms=%u",
		  s->group->service, s->team, s->tx_idle_ms);
	dispatch_release(s);
	s->tx_at_database = false;
	s->state = STATE_FAILED;
	s->tx_loss_untold = true;
}

/*
 * Ends the statement in progress. One that was not sent was certainly not
 * executed; one that was sent may have been.
 */
void session_abort_statement(struct session *s, const char *unsent,
			     const char *sent)
{
	struct stmt_exec *t = &s->exec;
	enum reply_error_code code = REPLY_ERR_TIMEOUT;

	if (t->stage != EXEC_RUNNING) {
		dispatch_cancel(s);
		t->stage = EXEC_STARTING;
		session_send_error(
			s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			unsent);
		return;
	}
	if ((t->is_commit && s->tx_wrote) || (t->is_write && !s->in_tx))
		code = REPLY_ERR_IN_DOUBT;
	else if (s->in_tx)
		code = REPLY_ERR_ABORTED;
	if (s->backend)
		s->backend->must_close = true;
	dispatch_release(s);
	session_send_error(s, code, sent);
}

/* Refuses a statement whose database has more work than it can do in time. */
void session_refuse_overloaded(struct session *s, usec_t retry_after)
{
	char reason[96];

	snprintf(reason, sizeof(reason),
		 "database overloaded, not run, retry after %lld ms",
		 (long long)(retry_after / USEC_PER_MSEC) + 1);
	session_send_error(s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			   reason);
}

/* Refuses a statement that was not executed and has too little time left. */
void session_refuse_overdue(struct session *s)
{
	s->exec.stage = EXEC_STARTING;
	session_abort_statement(s, "no database could take it in time, not run",
				"no answer of the database in time");
}

/* Sends a complete reply to the caller. */
static void send_reply(struct session *s, struct evbuffer *reply,
		       const struct reply_msg *ready)
{
	const struct session_commit own = session_own_commit(s);
	struct stmt_exec *t = &s->exec;

	log_event(EV_STATEMENT_DONE,
		  "id=%s team=%s tx=%d service=%s database=%s via=%s "
		  "took_us=%lld "
		  "attempts=%u after=%llu.%llu own=%llu.%llu at=%llu.%llu",
		  t->id, s->team, s->in_tx, s->group->service,
		  s->group->db[t->db].id, t->via ? t->via : "-",
		  (long long)(proxy_now() - t->began_at), t->attempts,
		  (unsigned long long)(t->has_after ? t->after.term : 0),
		  (unsigned long long)(t->has_after ? t->after.position : 0),
		  (unsigned long long)own.position.term,
		  (unsigned long long)own.position.position,
		  (unsigned long long)ready->at.term,
		  (unsigned long long)ready->at.position);
	counter_add(CTR_DONE, 1);
	latency_add(LATENCY_STATEMENT, proxy_now() - t->began_at);
	if (!t->is_write && !t->is_commit)
		counter_add(t->db == s->group->primary ? CTR_READS_PRIMARY
						       : CTR_READS_REPLICA,
			    1);
	bufferevent_write_buffer(s->bev, reply);
	if (!s->in_tx || t->is_commit) {
		session_end_operation(s);
	} else {
		s->tx_answered = true;
		if (ready->state != STATE_OPEN)
			s->state = STATE_FAILED;
	}
	end_statement(s);
	session_send_ready(s, ready->has_position ? &ready->at : NULL);
	session_read_lines(s);
	/*
	 * The caller has just received its reply, so it is unlikely to have
	 * sent another statement yet.
	 */
	if (s->proxy->closing_idle)
		session_close_if_idle(s);
}

/* Ends the operation: the session holds no connection afterwards. */
void session_end_operation(struct session *s)
{
	dispatch_release(s);
	s->in_tx = false;
	s->tx_at_database = false;
	s->tx_wrote = false;
	s->tx_answered = false;
	s->state = STATE_IDLE;
}

/* Ends the statement. An open transaction may now be idle for a while. */
static void end_statement(struct session *s)
{
	s->exec.stage = EXEC_NONE;
	event_del(s->timer);
	if (!s->in_tx || s->state != STATE_OPEN)
		return;
	s->tx_idle_until = proxy_now() + (usec_t)s->tx_idle_ms * USEC_PER_MSEC;
	session_set_timer(s, s->tx_idle_until);
}

/* True if the error code means that nothing was executed. */
static bool means_not_run(enum reply_error_code code)
{
	switch (code) {
	case REPLY_ERR_BUSY:
	case REPLY_ERR_ABORTED:
	case REPLY_ERR_LAGGING:
	case REPLY_ERR_READ_ONLY:
	case REPLY_ERR_WRONG_DATABASE:
	case REPLY_ERR_TOO_MANY:
		return true;
	default:
		return false;
	}
}
