#include <stdio.h>

#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/proxy_own.h"
#include "proxy/session_own.h"

/* How statements and operations end: answers, refusals, what is in doubt. */

static void answer(struct session *s, struct evbuffer *reply,
		   const struct reply_msg *ready);
static void end_task(struct session *s);
static bool promised(enum refusal_code code);

/*
 * A statement has come to its end. A refusal that lets it be tried elsewhere
 * does so while there is time; all else is answered at once.
 */
void session_ended(struct session *s, enum task_end end, enum refusal_code code,
		   struct evbuffer *reply, const struct reply_msg *ready)
{
	struct task *t = &s->task;
	struct pgroup *g = s->group;
	usec_t now = proxy_now();

	if (end == END_ANSWER) {
		if (s->held)
			pool_served(s->held);
		if ((t->writes && !s->tx) || (t->commits && s->tx_wrote)) {
			if (!cluster_primary_usable(g, now)) {
				/* Another primary may lead already; whether
				 * this commit is in its log is not known. */
				log_event(EV_CALLER_UNKNOWN,
					  "id=%s service=%s reason=\"primary "
					  "not proved at its answer\" "
					  "proof_age_us=%lld",
					  t->id, g->service,
					  (long long)(now - g->lead.proved_at));
				evbuffer_drain(reply,
					       evbuffer_get_length(reply));
				session_refuse(s, REFUSE_IN_DOUBT,
					       "the primary may be superseded");
				return;
			}
			if (ready->has_position) {
				s->committed = ready->at;
				snprintf(s->committed_in,
					 sizeof(s->committed_in), "%s",
					 g->service);
			}
		}
		answer(s, reply, ready);
		return;
	}
	if (end == END_LOST) {
		if (t->commits && s->tx_wrote)
			code = REFUSE_IN_DOUBT;
		else if (s->tx)
			code = REFUSE_ABORTED;
		else if (t->writes)
			code = REFUSE_IN_DOUBT;
		else {
			dispatch_again(s, REFUSE_NONE);
			return;
		}
		session_refuse(s, code, "connection to the database lost");
		return;
	}
	if (end == END_FAILED) {
		if (!s->tx && !t->writes && t->attempts == 0) {
			backend_release(s->held);
			dispatch_again(s, code);
			return;
		}
		session_refuse(s, code, "failed at the database");
		return;
	}
	/* Not run. */
	if (s->tx && !s->tx_begun && !s->tx_ran && s->held)
		backend_release(s->held);
	if (s->tx && s->tx_begun && !s->tx_ran) {
		backend_release(s->held);
		dispatch_again(s, code);
		return;
	}
	if (s->tx && s->tx_begun) {
		session_refuse(s, REFUSE_ABORTED,
			       "transaction ended by the database");
		return;
	}
	if (!s->tx) {
		if (s->held)
			backend_release(s->held);
		dispatch_again(s, code);
		return;
	}
	session_refuse(s, promised(code) ? code : REFUSE_ABORTED,
		       "transaction not begun");
}

/* The database connection of an idle transaction is gone. */
void session_lost_backend(struct session *s)
{
	if (!s->tx || !s->tx_begun)
		return;
	s->state = STATE_FAILED;
	s->tx_begun = false;
	log_event(EV_TRANSACTION_LOST, "service=%s team=%s", s->group->service,
		  s->team);
}

/* Answers the statement under way with an error. */
void session_refuse(struct session *s, enum refusal_code code, const char *why)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);

	log_event(code == REFUSE_IN_DOUBT ? EV_CALLER_UNKNOWN
					  : EV_STATEMENT_REFUSED,
		  "id=%s team=%s service=%s database=%s code=%s attempts=%u "
		  "waited_us=%lld reason=\"%s\"",
		  s->task.id, s->team, s->group ? s->group->service : "-",
		  s->group && s->task.db < GROUP_DBS_MAX
			  ? s->group->db[s->task.db].id
			  : "-",
		  s->proxy->protocol->code_name(code), s->task.attempts,
		  (long long)(proxy_now() - s->task.began_at), why);
	counter_add(code == REFUSE_IN_DOUBT ? CTR_UNKNOWN : CTR_NOT_RUN, 1);
	s->proxy->protocol->put_error(out, code, why);
	if (s->tx && !s->task.commits) {
		if (s->held) {
			s->held->doomed |= s->task.stage == TASK_RUNNING &&
					   s->held->n_expect > 0;
			backend_release(s->held);
		}
		s->tx_begun = false;
		s->state = STATE_FAILED;
	} else {
		session_end_operation(s);
	}
	end_task(s);
	session_reply_state(s, NULL);
	session_read_lines(s);
}

/* The VM stops: no caller is left without an answer. */
void session_stop(struct session *s)
{
	if (s->task.stage != TASK_NONE)
		session_give_up(s, "this VM stops, not run", "this VM stops");
	session_close_after_output(s);
}

/* Ends a transaction that has been idle for too long. */
void session_end_idle(struct session *s, usec_t now)
{
	if (!s->tx || s->state != STATE_OPEN)
		return;
	if (now < s->tx_until) {
		/* The timer's clock may run a little ahead. */
		session_set_timer(s, s->tx_until + USEC_PER_MSEC);
		return;
	}
	if (!s->held)
		return;
	log_event(EV_TRANSACTION_IDLE, "service=%s team=%s idle_ms=%u",
		  s->group->service, s->team, s->tx_idle_ms);
	backend_release(s->held);
	s->tx_begun = false;
	s->state = STATE_FAILED;
}

/*
 * Ends the statement under way: one that was not sent was surely not run, one
 * that was may have been.
 */
void session_give_up(struct session *s, const char *unsent, const char *sent)
{
	struct task *t = &s->task;
	enum refusal_code code = REFUSE_TIMEOUT;

	if (t->stage != TASK_RUNNING) {
		dispatch_cancel(s);
		t->stage = TASK_WAITING;
		session_refuse(s, s->tx ? REFUSE_ABORTED : REFUSE_BUSY, unsent);
		return;
	}
	if ((t->commits && s->tx_wrote) || (t->writes && !s->tx))
		code = REFUSE_IN_DOUBT;
	else if (s->tx)
		code = REFUSE_ABORTED;
	if (s->held) {
		s->held->doomed = true;
		backend_release(s->held);
	}
	session_refuse(s, code, sent);
}

/* Passes on a whole reply. */
static void answer(struct session *s, struct evbuffer *reply,
		   const struct reply_msg *ready)
{
	struct task *t = &s->task;

	log_event(EV_STATEMENT_DONE,
		  "id=%s team=%s tx=%d service=%s database=%s took_us=%lld "
		  "attempts=%u after=%llu.%llu at=%llu.%llu",
		  t->id, s->team, s->tx, s->group->service,
		  s->group->db[t->db].id,
		  (long long)(proxy_now() - t->began_at), t->attempts,
		  (unsigned long long)(t->has_after ? t->after.term : 0),
		  (unsigned long long)(t->has_after ? t->after.position : 0),
		  (unsigned long long)ready->at.term,
		  (unsigned long long)ready->at.position);
	counter_add(CTR_DONE, 1);
	latency_add(LATENCY_STATEMENT, proxy_now() - t->began_at);
	if (!t->writes && !t->commits)
		counter_add(t->db == s->group->primary ? CTR_READS_PRIMARY
						       : CTR_READS_REPLICA,
			    1);
	bufferevent_write_buffer(s->bev, reply);
	if (!s->tx || t->commits) {
		session_end_operation(s);
	} else {
		s->tx_ran = true;
		if (ready->state != STATE_OPEN)
			s->state = STATE_FAILED;
	}
	end_task(s);
	session_reply_state(s, ready->has_position ? &ready->at : NULL);
	session_read_lines(s);
	/* The caller has its answer and can't have sent more yet. */
	if (s->proxy->letting_go)
		session_drain(s);
}

/* The operation is over: the session holds no connection any more. */
void session_end_operation(struct session *s)
{
	if (s->held)
		backend_release(s->held);
	s->tx = false;
	s->tx_begun = false;
	s->tx_wrote = false;
	s->tx_ran = false;
	s->state = STATE_IDLE;
}

/* No statement is under way; an open transaction may idle for a while. */
static void end_task(struct session *s)
{
	s->task.stage = TASK_NONE;
	event_del(s->timer);
	if (!s->tx || s->state != STATE_OPEN)
		return;
	s->tx_until = proxy_now() + (usec_t)s->tx_idle_ms * USEC_PER_MSEC;
	session_set_timer(s, s->tx_until);
}

/* Does the code promise that nothing is kept? */
static bool promised(enum refusal_code code)
{
	switch (code) {
	case REFUSE_BUSY:
	case REFUSE_ABORTED:
	case REFUSE_LAGGING:
	case REFUSE_READ_ONLY:
	case REFUSE_WRONG_DATABASE:
	case REFUSE_TOO_MANY:
		return true;
	default:
		return false;
	}
}
