#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "kernel/address.h"
#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * TCP closes the connection once sent data has been unacknowledged for this
 * long: twice the longest statement at the users' sites.
 */
#define TCP_UNACKED_MAX_MS 2000
/*
 * Keep-alive: the idle time, the interval and the number of probes together
 * find a dead peer within 4 s.
 */
#define KEEPALIVE_IDLE_S     2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
/* Longest wait for the reply to any request but a statement. */
#define CONTROL_REPLY_TIMEOUT_US (1500 * USEC_PER_MSEC)
/*
 * Longest wait for the reply to a statement. Its session has usually timed out
 * by then, but the connection can't be used before the reply.
 */
#define STATEMENT_REPLY_TIMEOUT_US (5 * USEC_PER_SEC)
/* Delay before the next connection to a database that refused one. */
#define RECONNECT_DELAY_US (100 * USEC_PER_MSEC)
/* Weight of one response in the moving average of the latency: 1/8. */
#define LATENCY_DIVISOR 8
/* A longer statement shape is prepared under its hash instead of its text. */
#define PLAIN_NAME_MAX_BYTES 40

static void on_read(struct bufferevent *bev, void *ctx);
static void on_event(struct bufferevent *bev, short what, void *ctx);
static void on_line(struct backend *b, char *line, size_t len);
static void on_ready(struct backend *b, const struct reply_msg *m);
static void on_started(struct backend *b);
static void on_statement(struct backend *b, const struct reply_msg *m);
static void note_answered(struct db_member *db, usec_t sent_at);
static void note_latency(struct db_member *db, usec_t took);
static void on_control(struct backend *b, usec_t requested_at);
static void send_session_state(struct backend *b, struct session *s);
static void send_prepare(struct backend *b, struct session *s);
static void send_if_allowed(struct backend *b, struct session *s);
static void send_statement(struct backend *b, struct session *s);
static void prepared_name(const struct strmap_entry *p, char *out, size_t size);
static void expect_reply(struct backend *b, enum expected_reply kind);
static void on_prepare_failed(struct backend *b, enum reply_error_code code);
static void send_control(struct backend *b);
static void make_idle(struct backend *b);

/*
 * Starts to open a connection for a team. Returns NULL if no socket is
 * available. Otherwise dispatch_on_connected() or dispatch_retry() is called
 * for the session that the caller sets, once the connection is open or has
 * failed.
 */
struct backend *backend_open(struct db_member *db, const char *team)
{
	struct proxy *p = db->group->proxy;
	struct backend *b = calloc(1, sizeof(*b));
	struct sockaddr_storage to;
	socklen_t len;

	if (!b || !address_parse(db->address, &to, &len)) {
		free(b);
		return NULL;
	}
	b->proxy = p;
	b->db = db;
	snprintf(b->team, sizeof(b->team), "%s", team);
	b->state = BACKEND_CONNECTING;
	b->opened_at = proxy_now();
	b->reply = evbuffer_new();
	b->bev = bufferevent_socket_new(p->base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (!b->bev || !b->reply)
		goto fail;
	bufferevent_setcb(b->bev, on_read, NULL, on_event, b);
	TAILQ_INSERT_TAIL(&db->conns, b, link);
	db->n_conns++;
	counter_add(CTR_DB_CONNECTS, 1);
	if (bufferevent_socket_connect(b->bev, (struct sockaddr *)&to,
				       (int)len) == 0)
		return b;
	TAILQ_REMOVE(&db->conns, b, link);
	db->n_conns--;
fail:
	if (b->bev)
		bufferevent_free(b->bev);
	if (b->reply)
		evbuffer_free(b->reply);
	free(b);
	return NULL;
}

/*
 * Closes a connection. Its session's statement is tried elsewhere if it was not
 * sent; if it was sent, its outcome is unknown.
 */
void backend_close(struct backend *b, const char *reason)
{
	struct session *s = b->session;
	struct db_member *db = b->db;
	control_fn fn = b->control;
	bool was_running =
		b->n_expected > 0 && s && s->exec.stage == EXEC_RUNNING;
	uint32_t i;

	log_event(
		EV_BACKEND_CLOSED,
		"service=%s database=%s state=%d outstanding=%u reason=\"%s\"",
		db->group->service, db->id, (int)b->state, b->n_expected,
		reason);
	TAILQ_REMOVE(&db->conns, b, link);
	db->n_conns--;
	for (i = 0; i < b->n_expected; i++)
		db->running -= b->expected[i].kind == EXPECT_STATEMENT &&
			       !b->is_overdue;
	b->session = NULL;
	b->control = NULL;
	b->closed = true;
	bufferevent_disable(b->bev, EV_READ | EV_WRITE);
	bufferevent_setcb(b->bev, NULL, NULL, NULL, NULL);
	TAILQ_INSERT_TAIL(&b->proxy->closed_backends, b, link);
	if (fn)
		fn(b->control_ctx, db, false, NULL, 0);
	if (!s)
		return;
	s->backend = NULL;
	if (was_running)
		session_on_result(s, RESULT_UNKNOWN, REPLY_ERR_IN_DOUBT, NULL,
				  NULL);
	else if (s->exec.stage != EXEC_NONE)
		dispatch_retry(s, REPLY_ERR_NONE);
	else
		session_on_backend_lost(s);
}

/* Frees the connections closed since the last call. */
void backend_reap(struct proxy *p)
{
	struct backend *b;

	while ((b = TAILQ_FIRST(&p->closed_backends))) {
		TAILQ_REMOVE(&p->closed_backends, b, link);
		bufferevent_free(b->bev);
		evbuffer_free(b->reply);
		strmap_clear(&b->vars);
		strmap_clear(&b->prepared);
		free(b);
	}
}

/*
 * Executes the session's statement on an idle connection, or on the one that
 * the session holds.
 */
void backend_run(struct backend *b, struct session *s)
{
	b->session = s;
	b->state = BACKEND_BUSY;
	b->used_at = proxy_now();
	s->backend = b;
	s->exec.db = (uint32_t)(b->db - b->db->group->db);
	s->exec.stage = EXEC_PREPARING;
	send_session_state(b, s);
	placement_add_cold(b->db, b->n_expected, b->used_at);
	if (b->n_expected == 0)
		send_if_allowed(b, s);
}

/*
 * Takes a connection back from its session. A transaction still open at the
 * database is rolled back before the connection is used again.
 */
void backend_release(struct backend *b)
{
	struct session *s = b->session;

	if (s)
		s->backend = NULL;
	b->session = NULL;
	if (b->n_expected == 0)
		make_idle(b);
}

/*
 * Sends a control request on a connection that is idle or being opened. fn is
 * called once, also if the connection is lost.
 */
void backend_control(struct backend *b, enum control_verb verb, uint64_t term,
		     control_fn fn, void *ctx)
{
	b->control = fn;
	b->control_ctx = ctx;
	b->control_verb = verb;
	b->control_term = term;
	if (b->state == BACKEND_IDLE)
		send_control(b);
}

/* Sends the pending control request. */
static void send_control(struct backend *b)
{
	b->state = BACKEND_BUSY;
	b->used_at = proxy_now();
	b->proxy->protocol->put_control(bufferevent_get_output(b->bev),
					b->control_verb, b->control_term);
	if (b->control_verb == CONTROL_STATUS)
		counter_add(CTR_PROBES, 1);
	expect_reply(b, EXPECT_CONTROL);
}

/* Closes a connection whose reply is overdue. */
void backend_tick(struct backend *b, usec_t now)
{
	usec_t limit = CONTROL_REPLY_TIMEOUT_US;

	if (b->state == BACKEND_CONNECTING || b->state == BACKEND_STARTING) {
		if (now - b->opened_at < b->proxy->policy.connect_timeout)
			return;
		b->db->failures++;
		b->db->retry_at = now + b->proxy->policy.connect_timeout;
		if (b->db->unanswered_since == 0)
			b->db->unanswered_since = b->opened_at;
		backend_close(b, "connection timed out");
		return;
	}
	if (b->n_expected == 0)
		return;
	if (b->expected[0].kind == EXPECT_STATEMENT)
		limit = STATEMENT_REPLY_TIMEOUT_US;
	if (now - b->expected[0].sent_at > limit)
		backend_close(b, "reply overdue");
}

/*
 * Handles the complete lines received. Any data shows that the database is
 * alive.
 */
static void on_read(struct bufferevent *bev, void *ctx)
{
	struct backend *b = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	char *line;
	size_t len;

	b->db->last_seen_at = proxy_now();
	b->db->unanswered_since = 0;
	b->db->connect_failed_at = 0;
	b->db->failures = 0;
	while (!b->closed &&
	       (line = evbuffer_readln(in, &len, EVBUFFER_EOL_CRLF_STRICT))) {
		on_line(b, line, len);
		free(line);
	}
	if (!b->closed && evbuffer_get_length(in) > MESSAGE_MAX_BYTES)
		backend_close(b, "line too long");
}

/* Handles an opened, refused, closed or broken connection. */
static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct backend *b = ctx;
	struct db_member *db = b->db;
	usec_t now = proxy_now();

	if (what & BEV_EVENT_CONNECTED) {
		backend_set_socket_options(bufferevent_getfd(bev));
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		b->state = BACKEND_STARTING;
		b->proxy->protocol->put_start(bufferevent_get_output(bev),
					      db->group->service, b->team,
					      db->id);
		expect_reply(b, EXPECT_START);
		return;
	}
	if (b->state == BACKEND_CONNECTING || b->state == BACKEND_STARTING) {
		db->failures++;
		db->connect_failed_at = now;
		db->retry_at = now + RECONNECT_DELAY_US;
		placement_on_connect_failed(db, now);
	}
	backend_close(b, what & BEV_EVENT_EOF ? "closed by the database"
					      : "connection broken");
}

/* Handles one line of a reply. */
static void on_line(struct backend *b, char *line, size_t len)
{
	struct reply_msg m;

	b->proxy->protocol->parse_reply(line, len, &m);
	if (m.type == REPLY_BAD || b->n_expected == 0) {
		backend_close(b, "malformed or unexpected reply");
		return;
	}
	switch (m.type) {
	case REPLY_ROW:
		if (b->expected[0].kind == EXPECT_CONTROL && !b->has_status)
			b->has_status = b->proxy->protocol->parse_status_reply(
				m.body, &b->status);
		if (b->expected[0].kind == EXPECT_STATEMENT) {
			evbuffer_add(b->reply, line, len);
			evbuffer_add(b->reply, "\r\n", 2);
		}
		break;
	case REPLY_COMPLETE:
		b->complete = true;
		evbuffer_add(b->reply, line, len);
		evbuffer_add(b->reply, "\r\n", 2);
		break;
	case REPLY_ERROR:
		b->failed = true;
		b->code = m.code;
		if (b->expected[0].kind == EXPECT_START) {
			if (m.code == REPLY_ERR_TOO_MANY)
				conn_pool_on_full(b->db);
			else
				b->db->retry_at =
					proxy_now() + RECONNECT_DELAY_US;
			backend_close(b, "start refused");
		}
		break;
	default:
		on_ready(b, &m);
		break;
	}
	if (!b->closed && evbuffer_get_length(b->reply) > MESSAGE_MAX_BYTES)
		backend_close(b, "reply too large");
}

/*
 * Handles the READY that ends a reply. Replies arrive in the order of the
 * requests.
 */
static void on_ready(struct backend *b, const struct reply_msg *m)
{
	const struct expected e = b->expected[0];
	bool failed = b->failed;
	enum reply_error_code code = b->code;

	if (e.kind != EXPECT_START && !b->complete && !b->failed) {
		backend_close(b, "reply without COMPLETE or ERROR");
		return;
	}
	b->n_expected--;
	memmove(b->expected, b->expected + 1,
		b->n_expected * sizeof(*b->expected));
	b->complete = false;
	b->failed = false;
	b->remote_state = m->state;
	db_group_note_position(b->db, e.sent_at,
			       m->has_position ? &m->at : NULL);
	switch (e.kind) {
	case EXPECT_START:
		on_started(b);
		return;
	case EXPECT_STATE:
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		if (failed) {
			on_prepare_failed(b, code);
			return;
		}
		break;
	case EXPECT_BEGIN:
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		if (failed) {
			on_prepare_failed(b, code);
			return;
		}
		b->in_tx = true;
		if (b->session)
			b->session->tx_at_database = true;
		break;
	case EXPECT_STATEMENT:
		b->failed = failed;
		note_answered(b->db, e.sent_at);
		on_statement(b, m);
		return;
	case EXPECT_CONTROL:
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		b->failed = failed;
		on_control(b, e.sent_at);
		return;
	}
	if (b->n_expected > 0)
		return;
	if (b->session && b->session->exec.stage == EXEC_PREPARING)
		send_if_allowed(b, b->session);
	else if (!b->session)
		make_idle(b);
}

/*
 * Called when the database has accepted the START of the connection. Sends the
 * pending control request or statement, or makes the connection idle.
 */
static void on_started(struct backend *b)
{
	usec_t took = proxy_now() - b->opened_at;

	latency_add(LATENCY_CONNECT, took);
	b->db->full_refusals = 0;
	log_event(EV_BACKEND_OPENED,
		  "service=%s database=%s team=%s took_us=%lld",
		  b->db->group->service, b->db->id, b->team, (long long)took);
	if (b->control) {
		send_control(b);
		return;
	}
	if (b->session) {
		b->state = BACKEND_BUSY;
		dispatch_on_connected(b->session, b);
		return;
	}
	make_idle(b);
}

/*
 * Handles the complete reply to a caller's statement. If its session has gone,
 * the reply is dropped.
 */
static void on_statement(struct backend *b, const struct reply_msg *m)
{
	struct session *s = b->session;
	bool failed = b->failed;
	usec_t took;

	b->failed = false;
	b->db->running -= !b->is_overdue;
	b->is_overdue = false;
	b->in_tx = m->state != STATE_IDLE;
	if (!s) {
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		make_idle(b);
		return;
	}
	took = proxy_now() - s->exec.sent_at;
	latency_add(LATENCY_DATABASE, took);
	note_latency(b->db, took);
	if (failed) {
		enum exec_result end = RESULT_NOT_RUN;

		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		if (b->code == REPLY_ERR_FAILED || b->code == REPLY_ERR_TIMEOUT)
			end = RESULT_FAILED;
		session_on_result(s, end, b->code, NULL, m);
		return;
	}
	session_on_result(s, RESULT_REPLY, REPLY_ERR_NONE, b->reply, m);
}

/* Notes that the database has answered what was sent at this time. */
static void note_answered(struct db_member *db, usec_t sent_at)
{
	if (sent_at > db->answered_sent_at)
		db->answered_sent_at = sent_at;
}

/* Adds a response time to the average, and to the mean deviation from it. */
static void note_latency(struct db_member *db, usec_t took)
{
	usec_t off = took - db->latency;

	db->deviation +=
		((off < 0 ? -off : off) - db->deviation) / LATENCY_DIVISOR;
	db->latency += off / LATENCY_DIVISOR;
}

/* Handles the reply to a control request. */
static void on_control(struct backend *b, usec_t requested_at)
{
	control_fn fn = b->control;
	bool ok = !b->failed && b->has_status;
	struct db_status_report report = b->status;
	struct db_member *db = b->db;
	void *ctx = b->control_ctx;

	b->failed = false;
	b->has_status = false;
	b->control = NULL;
	if (ok) {
		db->status = report;
		db->status_requested_at = requested_at;
		note_answered(db, requested_at);
	}
	make_idle(b);
	if (fn)
		fn(ctx, db, ok, ok ? &report : NULL, requested_at);
}

/*
 * Sends what the connection lacks of the session's state: variables, prepared
 * statements and the transaction. The statement itself is sent once all of this
 * was acknowledged.
 */
static void send_session_state(struct backend *b, struct session *s)
{
	struct evbuffer *out = bufferevent_get_output(b->bev);
	const struct protocol *proto = b->proxy->protocol;
	uint32_t i;

	if (!b->in_tx &&
	    (b->needs_reset || strmap_has_extra(&b->vars, &s->vars) ||
	     b->prepared.n >= PREPARED_MAX)) {
		proto->put_control(out, CONTROL_RESET, 0);
		expect_reply(b, EXPECT_STATE);
		strmap_clear(&b->vars);
		strmap_clear(&b->prepared);
		b->needs_reset = false;
	}
	for (i = 0; i < s->vars.n; i++) {
		const struct strmap_entry *v = &s->vars.entries[i];
		const struct strmap_entry *have =
			strmap_find(&b->vars, v->name, strlen(v->name));

		if (have && strcmp(have->value, v->value) == 0)
			continue;
		if (b->n_expected + 3 >= PENDING_REPLIES_MAX)
			break;
		proto->put_set(out, v->name, v->value);
		expect_reply(b, EXPECT_STATE);
		strmap_set(&b->vars, v->name, strlen(v->name), v->value,
			   strlen(v->value), false);
		if (b->in_tx)
			b->needs_reset = true;
	}
	send_prepare(b, s);
	if (s->in_tx && !s->tx_at_database) {
		proto->put_begin(out, s->tx_read_only,
				 s->exec.has_after ? &s->exec.after : NULL);
		expect_reply(b, EXPECT_BEGIN);
	}
}

/* Prepares the statement's shape unless the connection already has it. */
static void send_prepare(struct backend *b, struct session *s)
{
	const struct statement *st = &s->exec.msg.statement;
	const struct strmap_entry *p;
	char name[NAME_MAX_BYTES];

	if (st->verb != VERB_EXECUTE)
		return;
	p = strmap_find(&s->prepared, st->name.ptr, st->name.len);
	if (!p)
		return;
	prepared_name(p, name, sizeof(name));
	if (strmap_find(&b->prepared, name, strlen(name)))
		return;
	b->proxy->protocol->put_prepare(bufferevent_get_output(b->bev), name,
					p->flag, p->value);
	expect_reply(b, EXPECT_STATE);
	strmap_set(&b->prepared, name, strlen(name), p->value, strlen(p->value),
		   p->flag);
	if (b->in_tx)
		b->needs_reset = true;
}

/*
 * Sends the statement, unless the database's failure domain was evacuated while
 * the session's state was being sent.
 */
static void send_if_allowed(struct backend *b, struct session *s)
{
	if (db_member_may_execute(b->db, s, proxy_now()))
		send_statement(b, s);
	else
		dispatch_return_evacuated(s);
}

/* Sends the statement itself. */
static void send_statement(struct backend *b, struct session *s)
{
	const struct statement *st = &s->exec.msg.statement;
	const struct strmap_entry *p = NULL;
	char name[NAME_MAX_BYTES] = "";

	if (st->verb == VERB_EXECUTE) {
		p = strmap_find(&s->prepared, st->name.ptr, st->name.len);
		if (p)
			prepared_name(p, name, sizeof(name));
	}
	s->exec.stage = EXEC_RUNNING;
	s->exec.sent_at = proxy_now();
	latency_add(LATENCY_WAIT, s->exec.sent_at - s->exec.began_at);
	if (s->exec.is_write && s->in_tx)
		s->tx_wrote = true;
	b->db->running++;
	counter_add(CTR_DB_CALLS, 1);
	b->proxy->protocol->put_statement(
		bufferevent_get_output(b->bev), s->exec.id, st, name,
		s->exec.has_after && !s->in_tx ? &s->exec.after : NULL);
	expect_reply(b, EXPECT_STATEMENT);
}

/*
 * Builds the name under which a shape is prepared on connections. It is the
 * same for all sessions, so that names chosen by callers can't collide.
 */
static void prepared_name(const struct strmap_entry *p, char *out, size_t size)
{
	XXH128_hash_t h;

	if (strlen(p->value) <= PLAIN_NAME_MAX_BYTES &&
	    !strchr(p->value, ' ')) {
		snprintf(out, size, "%c_%s", p->flag ? 'w' : 'r', p->value);
		return;
	}
	h = XXH3_128bits(p->value, strlen(p->value));
	snprintf(out, size, "%cx%016llx%016llx", p->flag ? 'w' : 'r',
		 (unsigned long long)h.high64, (unsigned long long)h.low64);
}

/* Records that a reply is expected. */
static void expect_reply(struct backend *b, enum expected_reply kind)
{
	usec_t now = proxy_now();

	b->expected[b->n_expected++] =
		(struct expected){ .kind = kind, .sent_at = now };
	if (b->db->unanswered_since == 0)
		b->db->unanswered_since = now;
}

/*
 * Called when the database refused the session's state. Tries the statement
 * again. The connection is kept for a RESET if it has no outstanding reply and
 * no transaction and the error is known and not FAILED; otherwise it is closed.
 */
static void on_prepare_failed(struct backend *b, enum reply_error_code code)
{
	struct session *s = b->session;

	b->session = NULL;
	b->must_close = true;
	if (s) {
		s->backend = NULL;
		s->tx_at_database = false;
	}
	if (b->n_expected == 0 && code != REPLY_ERR_FAILED &&
	    code != REPLY_ERR_NONE && b->remote_state == STATE_IDLE) {
		b->must_close = false;
		b->needs_reset = true;
		make_idle(b);
	} else {
		backend_close(b, "session state not taken");
	}
	if (s && s->exec.stage != EXEC_NONE)
		dispatch_retry(s, code);
}

/*
 * Makes a connection without outstanding replies idle. If a transaction is
 * still open, it is rolled back first.
 */
static void make_idle(struct backend *b)
{
	struct db_group *g = b->db->group;

	if (b->must_close || !b->db->present) {
		backend_close(b, "no longer needed");
		return;
	}
	/* A ROLLBACK would be a statement that reaches the domain. */
	if (b->in_tx && b->db->evacuated_since) {
		backend_close(b, "domain is evacuated");
		return;
	}
	if (b->in_tx || b->remote_state != STATE_IDLE) {
		b->in_tx = false;
		b->remote_state = STATE_IDLE;
		b->proxy->protocol->put_control(bufferevent_get_output(b->bev),
						CONTROL_ROLLBACK, 0);
		b->state = BACKEND_BUSY;
		expect_reply(b, EXPECT_STATE);
		return;
	}
	b->state = BACKEND_IDLE;
	b->used_at = proxy_now();
	dispatch_waiting(g);
}

/* Disables Nagle's algorithm and detects a dead peer within a few seconds. */
void backend_set_socket_options(evutil_socket_t fd)
{
	const int on = 1;
	const int idle = KEEPALIVE_IDLE_S;
	const int interval = KEEPALIVE_INTERVAL_S;
	const int tries = KEEPALIVE_PROBES;
	const unsigned int unacked = TCP_UNACKED_MAX_MS;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
			 sizeof(interval));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &tries, sizeof(tries));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
			 sizeof(unacked));
}
