#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"
#include "proxy/session_internal.h"

/* Limit for the prepared statements of a session, and for its variables. */
#define SESSION_NAMES_MAX 128
/* A caller's first message has to arrive within this time. */
#define START_TIMEOUT_US (10 * USEC_PER_SEC)
/*
 * A caller that has gone silently is closed after 12 s without data, or once
 * sent data was unacknowledged for 10 s: longer than the longest timeout of a
 * route. The probes of a VM's idle connections have to stay cheap.
 */
#define KEEPALIVE_IDLE_S     10
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES     1
#define UNACKED_MAX_MS	     10000
/* Sessions refused by the configuration that are logged in one second. */
#define REFUSED_LINES_PER_S 20
/*
 * An operation that begins within this time of a refusal is probably the one
 * that was refused. Callers wait 50 to 250 ms before they repeat one.
 */
#define REPEAT_MAX_US (500 * USEC_PER_MSEC)
/* Nothing more is read from a caller that leaves this much output unread. */
#define OUTPUT_MAX_BYTES (4 * MESSAGE_MAX_BYTES)

static void on_read(struct bufferevent *bev, void *ctx);
static void on_written(struct bufferevent *bev, void *ctx);
static void on_event(struct bufferevent *bev, short what, void *ctx);
static void on_timer(evutil_socket_t fd, short what, void *ctx);
static void handle_line(struct session *s, char *line, size_t len);
static void start_session(struct session *s, const struct caller_msg *m);
static void handle_query(struct session *s);
static void set_session_state(struct session *s, const struct statement *st);
static void begin_transaction(struct session *s);
static void handle_in_failed(struct session *s);
static void end_transaction(struct session *s);
static void open_transaction(struct session *s);
static void run_statement(struct session *s);
static bool key_is_withdrawn(const struct session *s);
static void dispatch_statement(struct session *s);
static void refuse_over_rate(struct session *s, usec_t retry_after);
static bool begin_operation(struct session *s);
static void note_operation(struct session *s);
static bool load_route(struct session *s, enum reply_error_code *code);
static enum reply_error_code unconfigured_code(const struct session *s,
					       enum reply_error_code code);
static const char *unconfigured_reason(enum reply_error_code code);
static void log_refused_session(const struct session *s,
				enum reply_error_code code);
static void fail_and_close(struct session *s, enum reply_error_code code,
			   const char *reason);
static void set_keepalive(int fd);

/* Accepts a caller's new connection. */
void session_accept(struct proxy *p, int fd)
{
	struct session *s = calloc(1, sizeof(*s));
	const int on = 1;

	if (s)
		s->bev = bufferevent_socket_new(p->base, fd,
						BEV_OPT_CLOSE_ON_FREE);
	if (s && s->bev)
		s->timer = evtimer_new(p->base, on_timer, s);
	if (!s || !s->bev || !s->timer) {
		if (s && s->bev)
			bufferevent_free(s->bev);
		else
			evutil_closesocket(fd);
		free(s);
		return;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	set_keepalive(fd);
	s->proxy = p;
	s->state = STATE_IDLE;
	s->exec.db = DB_NONE;
	TAILQ_INSERT_TAIL(&p->sessions, s, entry);
	p->n_sessions++;
	bufferevent_setcb(s->bev, on_read, on_written, on_event, s);
	bufferevent_setwatermark(s->bev, EV_READ, 0,
				 MESSAGE_MAX_BYTES + STATEMENT_ID_MAX);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
	session_set_timer(s, proxy_now() + START_TIMEOUT_US);
}

/* Lets the system close the connection of a caller that has gone silently. */
static void set_keepalive(int fd)
{
	const int on = 1;
	const int idle = KEEPALIVE_IDLE_S;
	const int interval = KEEPALIVE_INTERVAL_S;
	const int probes = KEEPALIVE_PROBES;
	const unsigned int unacked = UNACKED_MAX_MS;

	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
			 sizeof(interval));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
			 sizeof(unacked));
}

/* Closes a session whose caller has gone or is to be disconnected. */
void session_close(struct session *s)
{
	if (s->closed)
		return;
	s->closed = true;
	if (s->exec.stage != EXEC_NONE || s->backend || s->remote)
		dispatch_cancel(s);
	event_del(s->timer);
	bufferevent_disable(s->bev, EV_READ | EV_WRITE);
	bufferevent_setcb(s->bev, NULL, NULL, NULL, NULL);
	TAILQ_REMOVE(&s->proxy->sessions, s, entry);
	s->proxy->n_sessions--;
	TAILQ_INSERT_TAIL(&s->proxy->closed_sessions, s, entry);
}

/* Frees the sessions closed since the last call. */
void session_reap(struct proxy *p)
{
	struct session *s;

	while ((s = TAILQ_FIRST(&p->closed_sessions))) {
		TAILQ_REMOVE(&p->closed_sessions, s, entry);
		bufferevent_free(s->bev);
		event_free(s->timer);
		strmap_clear(&s->vars);
		strmap_clear(&s->prepared);
		free(s->exec.line);
		free(s->host);
		free(s->key);
		free(s);
	}
}

/*
 * Closes a session that has no statement or transaction in progress, when the
 * VM stops.
 */
void session_close_if_idle(struct session *s)
{
	if (!s->closed && s->exec.stage == EXEC_NONE && !s->in_tx &&
	    evbuffer_get_length(bufferevent_get_input(s->bev)) == 0)
		session_close_after_flush(s);
}

/* Handles data from the caller. */
static void on_read(struct bufferevent *bev, void *ctx)
{
	(void)bev;
	session_read_lines(ctx);
}

/*
 * Called once all output was sent: closes a session that waited for that, or
 * continues to read from the caller.
 */
static void on_written(struct bufferevent *bev, void *ctx)
{
	struct session *s = ctx;

	(void)bev;
	if (s->closing)
		session_close(s);
	else
		session_read_lines(s);
}

/* Closes the session when the caller's connection has ended. */
static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	(void)what;
	session_close(ctx);
}

/*
 * Handles the session's timer: the deadline of a statement, the idle limit of a
 * transaction, or the time for the first message.
 */
static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct session *s = ctx;
	struct stmt_exec *t = &s->exec;
	usec_t now = proxy_now();

	(void)fd;
	(void)what;
	if (!s->started) {
		session_close(s);
		return;
	}
	if (t->stage == EXEC_NONE) {
		session_expire_transaction(s, now);
		return;
	}
	if (now < t->deadline) {
		session_set_timer(s, t->deadline);
		return;
	}
	session_abort_statement(s, "no database could take it in time, not run",
				"no answer of the database in time");
}

/* Handles received lines while no statement is executing. */
void session_read_lines(struct session *s)
{
	struct evbuffer *in = bufferevent_get_input(s->bev);
	char *line;
	size_t len;

	if (s->is_reading)
		return;
	s->is_reading = true;
	while (!s->closed && !s->closing && s->exec.stage == EXEC_NONE) {
		if (evbuffer_get_length(bufferevent_get_output(s->bev)) >
		    OUTPUT_MAX_BYTES)
			break;
		line = evbuffer_readln(in, &len, EVBUFFER_EOL_CRLF_STRICT);
		if (!line) {
			if (evbuffer_get_length(in) > MESSAGE_MAX_BYTES)
				fail_and_close(s, REPLY_ERR_TOO_BIG,
					       "message longer than 1 MiB");
			break;
		}
		handle_line(s, line, len);
	}
	s->is_reading = false;
}

/* Handles one message of the caller. */
static void handle_line(struct session *s, char *line, size_t len)
{
	struct stmt_exec *t = &s->exec;

	free(t->line);
	t->line = line;
	t->line_len = len;
	s->proxy->protocol->parse_caller(line, len, &t->msg);
	switch (t->msg.type) {
	case CALLER_START:
		if (s->started)
			fail_and_close(s, REPLY_ERR_MALFORMED,
				       "started already");
		else
			start_session(s, &t->msg);
		break;
	case CALLER_QUERY:
		if (!s->started) {
			fail_and_close(s, REPLY_ERR_MALFORMED, "not started");
			break;
		}
		handle_query(s);
		break;
	case CALLER_TERMINATE:
		session_close(s);
		break;
	default:
		fail_and_close(s, REPLY_ERR_MALFORMED,
			       "message not understood");
		break;
	}
}

/* Starts a session for a database name and a key. */
static void start_session(struct session *s, const struct caller_msg *m)
{
	enum reply_error_code code = REPLY_ERR_NONE;

	s->host = strndup(m->database.ptr, m->database.len);
	s->key = strndup(m->key.ptr, m->key.len);
	if (!s->host || !s->key || m->key.len > SESSION_KEY_MAX) {
		fail_and_close(s, REPLY_ERR_NO_AUTH, "key too long");
		return;
	}
	if (!s->proxy->catalog) {
		fail_and_close(s, REPLY_ERR_BUSY, "no configuration yet");
		return;
	}
	if (!registry_evacuations_known(s->proxy->registry)) {
		fail_and_close(s, REPLY_ERR_BUSY,
			       "evacuated domains not known yet");
		return;
	}
	if (!load_route(s, &code)) {
		code = unconfigured_code(s, code);
		log_refused_session(s, code);
		fail_and_close(s, code, unconfigured_reason(code));
		return;
	}
	s->started = true;
	event_del(s->timer);
	session_send_ready(s, NULL);
}

/* Handles a statement. */
static void handle_query(struct session *s)
{
	struct stmt_exec *t = &s->exec;
	const struct statement *st = &t->msg.statement;
	struct evbuffer *out = bufferevent_get_output(s->bev);

	counter_add(CTR_REQUESTS, 1);
	memcpy(t->id, t->msg.id.ptr, t->msg.id.len);
	t->id[t->msg.id.len] = '\0';
	t->began_at = proxy_now();
	t->arrived_at = t->began_at;
	t->attempts = 0;
	t->tried_mask = 0;
	t->retry_at = 0;
	t->was_held = false;
	t->db = DB_NONE;
	t->last_refusal = REPLY_ERR_BUSY;
	t->is_commit = false;
	t->is_write = false;
	t->is_proved = false;
	t->via = NULL;
	if (s->state == STATE_FAILED) {
		handle_in_failed(s);
		return;
	}
	switch (st->verb) {
	case VERB_SET:
	case VERB_PREPARE:
	case VERB_CLOSE:
		set_session_state(s, st);
		return;
	case VERB_BEGIN:
	case VERB_BEGIN_READ:
		begin_transaction(s);
		return;
	case VERB_COMMIT:
	case VERB_ROLLBACK:
		if (s->in_tx && (st->verb == VERB_COMMIT)) {
			t->is_commit = true;
			run_statement(s);
			return;
		}
		end_transaction(s);
		return;
	case VERB_EXECUTE: {
		const struct strmap_entry *p =
			strmap_find(&s->prepared, st->name.ptr, st->name.len);

		if (!p) {
			s->proxy->protocol->put_error(
				out, REPLY_ERR_NO_STATEMENT, "no such name");
			session_send_ready(s, NULL);
			return;
		}
		t->is_write = p->flag;
		run_statement(s);
		return;
	}
	case VERB_WRITE:
		t->is_write = true;
		run_statement(s);
		return;
	case VERB_READ:
		run_statement(s);
		return;
	case VERB_BAD:
		break;
	}
	s->proxy->protocol->put_error(out, REPLY_ERR_MALFORMED,
				      "statement not understood");
	session_send_ready(s, NULL);
}

/*
 * Sets variables and prepared statements in the session. They are sent to a
 * connection when a statement needs them.
 */
static void set_session_state(struct session *s, const struct statement *st)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);
	struct strmap *table = st->verb == VERB_SET ? &s->vars : &s->prepared;
	bool ok = true;

	if (st->verb == VERB_CLOSE)
		strmap_remove(table, st->name.ptr, st->name.len);
	else
		ok = (table->n < SESSION_NAMES_MAX ||
		      strmap_find(table, st->name.ptr, st->name.len)) &&
		     strmap_set(table, st->name.ptr, st->name.len,
				st->value.ptr, st->value.len, st->is_write);
	if (ok)
		s->proxy->protocol->put_complete(out);
	else
		s->proxy->protocol->put_error(out, REPLY_ERR_TOO_BIG,
					      "too many names in the session");
	session_send_ready(s, NULL);
}

/* Begins a transaction; at the database it begins with its first statement. */
static void begin_transaction(struct session *s)
{
	if (s->in_tx) {
		s->proxy->protocol->put_error(bufferevent_get_output(s->bev),
					      REPLY_ERR_MALFORMED,
					      "in a transaction already");
		session_send_ready(s, NULL);
		return;
	}
	if (begin_operation(s))
		open_transaction(s);
}

/* Marks the session as in a transaction, and replies to its BEGIN. */
static void open_transaction(struct session *s)
{
	s->in_tx = true;
	s->tx_read_only = s->exec.msg.statement.verb == VERB_BEGIN_READ;
	s->tx_at_database = false;
	s->tx_wrote = false;
	s->tx_loss_untold = false;
	s->tx_answered = false;
	s->state = STATE_OPEN;
	s->proxy->protocol->put_complete(bufferevent_get_output(s->bev));
	session_send_ready(s, NULL);
}

/*
 * Handles a statement in a failed transaction: only COMMIT and ROLLBACK are
 * accepted, and both roll back. The first statement after a loss that the
 * caller has not been told of gets the promise that nothing is kept.
 */
static void handle_in_failed(struct session *s)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);
	enum verb verb = s->exec.msg.statement.verb;

	if (verb == VERB_ROLLBACK) {
		session_end_operation(s);
		s->proxy->protocol->put_complete(out);
	} else if (verb == VERB_COMMIT) {
		session_end_operation(s);
		s->proxy->protocol->put_error(out, REPLY_ERR_ABORTED,
					      "transaction rolled back");
	} else if (s->tx_loss_untold) {
		s->tx_loss_untold = false;
		s->proxy->protocol->put_error(out, REPLY_ERR_ABORTED,
					      "transaction rolled back");
	} else {
		s->proxy->protocol->put_error(out, REPLY_ERR_MALFORMED,
					      "transaction has failed");
	}
	session_send_ready(s, NULL);
}

/* Handles a rollback, or a commit without a transaction. */
static void end_transaction(struct session *s)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);

	if (s->exec.msg.statement.verb == VERB_COMMIT) {
		s->proxy->protocol->put_error(out, REPLY_ERR_MALFORMED,
					      "no transaction");
	} else {
		session_end_operation(s);
		s->proxy->protocol->put_complete(out);
	}
	session_send_ready(s, NULL);
}

/*
 * Executes a statement. If it is an operation of its own, the rate limit is
 * checked first.
 */
static void run_statement(struct session *s)
{
	if (s->in_tx && key_is_withdrawn(s)) {
		session_send_error(s, REPLY_ERR_ABORTED,
				   "key withdrawn, transaction rolled back");
		return;
	}
	if (s->in_tx || begin_operation(s))
		dispatch_statement(s);
}

/*
 * Returns true if the key of the session's operation was withdrawn, or belongs
 * to another team by now. A change to the route applies to the next operation
 * only, but a withdrawn key ends a transaction too.
 */
static bool key_is_withdrawn(const struct session *s)
{
	const struct catalog_team *team;

	if (!s->needs_key)
		return false;
	team = catalog_team(s->proxy->catalog, s->key);
	return !team || strcmp(team->name, s->team) != 0;
}

/* Sets the statement's deadline and starts it. */
static void dispatch_statement(struct session *s)
{
	struct stmt_exec *t = &s->exec;

	if (s->in_tx && s->tx_read_only && t->is_write) {
		session_send_error(s, REPLY_ERR_READ_ONLY,
				   "the transaction reads");
		return;
	}
	t->needs_primary = t->is_write || s->consistency == READ_PRIMARY ||
			   (s->in_tx && !s->tx_read_only);
	t->deadline = t->began_at + (usec_t)s->timeout_ms * USEC_PER_MSEC;
	session_set_timer(s, t->deadline);
	dispatch_start(s);
}

/*
 * Begins an operation: looks up the current route and key, and takes a token of
 * the team's rate limit. If it returns false, the caller was refused, or
 * session_on_rate_result() continues.
 */
static bool begin_operation(struct session *s)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);
	enum reply_error_code code = REPLY_ERR_NONE;
	usec_t retry_after = 0;

	if (!load_route(s, &code)) {
		code = unconfigured_code(s, code);
		log_event(EV_STATEMENT_REFUSED,
			  "id=%s code=%s version=%llu confirmed_us=%lld "
			  "reason=\"route or key not configured\"",
			  s->exec.id, s->proxy->protocol->code_name(code),
			  (unsigned long long)s->proxy->catalog->version,
			  (long long)registry_confirm_age(s->proxy->registry,
							  proxy_now()));
		s->proxy->protocol->put_error(out, code,
					      unconfigured_reason(code));
		session_send_ready(s, NULL);
		return false;
	}
	note_operation(s);
	if (!s->team[0])
		return true;
	switch (rate_limit_client_acquire(s->proxy->rate_limiter, s,
					  &retry_after)) {
	case RATE_LIMIT_CLIENT_GRANTED:
		return true;
	case RATE_LIMIT_CLIENT_REFUSED:
		refuse_over_rate(s, retry_after);
		return false;
	case RATE_LIMIT_CLIENT_PENDING:
		break;
	}
	s->exec.stage = EXEC_RATE_CHECK;
	s->exec.deadline =
		s->exec.began_at + (usec_t)s->timeout_ms * USEC_PER_MSEC;
	session_set_timer(s, s->exec.deadline);
	return false;
}

/*
 * Notes when the operation began. A caller repeats what was refused on the same
 * session after a while, with a new id.
 */
static void note_operation(struct session *s)
{
	usec_t now = s->exec.began_at;

	if (s->refused_at == 0 || now - s->refused_at > REPEAT_MAX_US ||
	    now - s->operation_began_at > (usec_t)s->timeout_ms * USEC_PER_MSEC)
		s->operation_began_at = now;
	s->refused_at = 0;
}

/*
 * Returns how the session's operation ranks among those of its team. One that
 * was refused before has to run yet, so it counts as late after half of the
 * latency target.
 */
enum rate_limit_rank session_rank(const struct session *s, usec_t now)
{
	const struct catalog *c = s->proxy->catalog;

	if (s->latency_target_ms &&
	    2 * (now - s->operation_began_at) >=
		    (usec_t)s->latency_target_ms * USEC_PER_MSEC)
		return RATE_LIMIT_LATE;
	return c && s->priority <= c->top_priority ? RATE_LIMIT_URGENT
						   : RATE_LIMIT_ON_TIME;
}

/* Continues an operation whose token was granted, or refuses it. */
void session_on_rate_result(struct session *s, bool granted, usec_t retry_after)
{
	s->exec.stage = EXEC_NONE;
	event_del(s->timer);
	if (!granted)
		refuse_over_rate(s, retry_after);
	else if (s->exec.msg.statement.verb == VERB_BEGIN ||
		 s->exec.msg.statement.verb == VERB_BEGIN_READ)
		open_transaction(s);
	else
		dispatch_statement(s);
	session_read_lines(s);
}

/* Refuses an operation that is over its team's rate. */
static void refuse_over_rate(struct session *s, usec_t retry_after)
{
	long long ms = (long long)(retry_after / USEC_PER_MSEC) + 1;
	const char *keeper = rate_limit_keeper(s->proxy->rate_limit, s->team);
	char reason[96];

	s->refused_at = proxy_now();
	counter_add(CTR_OVER_RATE, 1);
	log_event(EV_STATEMENT_REFUSED,
		  "id=%s team=%s code=BUSY keeper=%s retry_ms=%lld "
		  "reason=\"over the team's rate\"",
		  s->exec.id, s->team,
		  keeper ? keeper : s->proxy->kernel->settings.vm, ms);
	snprintf(reason, sizeof(reason),
		 "over the team's rate, not run, retry after %lld ms", ms);
	s->proxy->protocol->put_error(bufferevent_get_output(s->bev),
				      REPLY_ERR_BUSY, reason);
	session_send_ready(s, NULL);
}

/*
 * Copies the settings of the session's route from the configuration in force.
 * Returns false and an error code if the route or key is unknown.
 */
static bool load_route(struct session *s, enum reply_error_code *code)
{
	const struct catalog *c = s->proxy->catalog;
	const struct catalog_route *r = catalog_route(c, s->host);
	const struct catalog_team *team;

	if (!r) {
		*code = REPLY_ERR_NO_DATABASE;
		return false;
	}
	team = s->key[0] ? catalog_team(c, s->key) : NULL;
	if (!team && !r->is_public) {
		*code = REPLY_ERR_NO_AUTH;
		return false;
	}
	s->needs_key = !r->is_public;
	if (!team)
		team = c->n_teams ? &c->teams[0] : NULL;
	snprintf(s->team, sizeof(s->team), "%s",
		 team ? team->name : CATALOG_NO_TEAM);
	s->group = db_group_find(s->proxy, r->service);
	if (!s->group) {
		*code = REPLY_ERR_NO_DATABASE;
		return false;
	}
	s->consistency = r->consistency;
	s->timeout_ms = r->timeout_ms;
	s->priority = r->priority;
	s->max_staleness_ms = r->max_staleness_ms;
	s->latency_target_ms = r->latency_target_ms;
	s->tx_idle_ms = c->transaction_idle_ms;
	s->homes = r->homes;
	if (team)
		s->homes = homes_both(&r->homes, &team->homes);
	return true;
}

/* Sends the READY that ends a reply. */
void session_send_ready(struct session *s, const struct log_pos *at)
{
	s->proxy->protocol->put_ready(bufferevent_get_output(s->bev), s->state,
				      at);
}

/* Sets the session's only timer. */
void session_set_timer(struct session *s, usec_t at)
{
	usec_t wait = at - proxy_now();
	struct timeval tv;

	if (wait < 0)
		wait = 0;
	tv.tv_sec = wait / USEC_PER_SEC;
	tv.tv_usec = wait % USEC_PER_SEC;
	evtimer_add(s->timer, &tv);
}

/*
 * Returns the code for a route or key that the configuration lacks. A refusal
 * for good needs a configuration that is known to be the newest; until then the
 * caller may try another VM.
 */
static enum reply_error_code unconfigured_code(const struct session *s,
					       enum reply_error_code code)
{
	return registry_is_confirmed(s->proxy->registry, proxy_now())
		       ? code
		       : REPLY_ERR_BUSY;
}

/* Returns the reason that goes with unconfigured_code(). */
static const char *unconfigured_reason(enum reply_error_code code)
{
	return code == REPLY_ERR_BUSY
		       ? "configuration may be outdated, not run, retry elsewhere"
		       : "no such database or key";
}

/*
 * Logs which configuration refused a session, and when that was last known to
 * be the newest. Lines beyond a number per second are counted in the next one.
 */
static void log_refused_session(const struct session *s,
				enum reply_error_code code)
{
	struct refused_lines *l = &s->proxy->refused_lines;
	usec_t now = proxy_now();

	if (now - l->since >= USEC_PER_SEC) {
		l->since = now;
		l->n = 0;
	}
	if (l->n == REFUSED_LINES_PER_S) {
		l->left_out++;
		return;
	}
	l->n++;
	log_event(EV_SESSION_REFUSED,
		  "host=%.64s code=%s version=%llu confirmed_us=%lld "
		  "left_out=%u",
		  s->host, s->proxy->protocol->code_name(code),
		  (unsigned long long)s->proxy->catalog->version,
		  (long long)registry_confirm_age(s->proxy->registry, now),
		  l->left_out);
	l->left_out = 0;
}

/* Sends an error and closes the session. */
static void fail_and_close(struct session *s, enum reply_error_code code,
			   const char *reason)
{
	log_event(EV_CALLER_REFUSED, "code=%s reason=\"%s\"",
		  s->proxy->protocol->code_name(code), reason);
	s->proxy->protocol->put_error(bufferevent_get_output(s->bev), code,
				      reason);
	session_close_after_flush(s);
}

/* Closes the session once all output was sent. */
void session_close_after_flush(struct session *s)
{
	if (s->closing || s->closed)
		return;
	s->closing = true;
	if (evbuffer_get_length(bufferevent_get_output(s->bev)) == 0)
		session_close(s);
}
