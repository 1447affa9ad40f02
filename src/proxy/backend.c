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
#include "proxy/proxy_own.h"

/* Bytes that the other end has not acknowledged for so long: it is gone.
 * Twice the longest statement of the sites, in milliseconds. */
#define USER_TIMEOUT_MS 2000
/* Keep-alive probes, in seconds and tries: a silent end shows in 4 s. */
#define KEEP_IDLE_S	2
#define KEEP_INTERVAL_S 1
#define KEEP_TRIES	2
/* Longest wait for a reply to the VM's own question. */
#define OWN_REPLY_US (1500 * USEC_PER_MSEC)
/* Longest wait for a reply that no session waits for any more. */
#define ORPHAN_REPLY_US (5 * USEC_PER_SEC)
/* Pause before a database that refused a connection is tried again. */
#define RETRY_AFTER_REFUSED_US (100 * USEC_PER_MSEC)
/* One answer in so many makes up the average latency. */
#define LATENCY_WEIGHT 8
/* Names longer than this are prepared under a hash. */
#define SHAPE_PLAIN_MAX 40

static void on_read(struct bufferevent *bev, void *ctx);
static void on_event(struct bufferevent *bev, short what, void *ctx);
static void on_line(struct backend *b, char *line, size_t len);
static void on_ready(struct backend *b, const struct reply_msg *m);
static void on_started(struct backend *b);
static void on_statement(struct backend *b, const struct reply_msg *m);
static void on_control(struct backend *b, usec_t asked_at);
static void bring(struct backend *b, struct session *s);
static void bring_prepared(struct backend *b, struct session *s);
static void send_statement(struct backend *b, struct session *s);
static void prepared_name(const struct name *p, char *out, size_t size);
static void expect(struct backend *b, enum expect kind);
static void prepare_failed(struct backend *b, enum refusal_code code);
static void send_control(struct backend *b);
static void go_idle(struct backend *b);
static void set_options(evutil_socket_t fd);

/*
 * Begins to open a connection for a team. Returns NULL if no socket can be
 * had; otherwise the holder, set by the caller, is told by dispatch_ready() or
 * dispatch_again().
 */
struct backend *backend_open(struct pdb *db, const char *team)
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
 * Closes a connection. A statement that was not sent is tried elsewhere; one
 * that was may have run.
 */
void backend_close(struct backend *b, const char *why)
{
	struct session *s = b->holder;
	struct pdb *db = b->db;
	control_fn fn = b->control;
	bool was_running =
		b->n_expect > 0 && s && s->task.stage == TASK_RUNNING;
	uint32_t i;

	log_event(
		EV_BACKEND_CLOSED,
		"service=%s database=%s state=%d outstanding=%u reason=\"%s\"",
		db->group->service, db->id, (int)b->state, b->n_expect, why);
	TAILQ_REMOVE(&db->conns, b, link);
	db->n_conns--;
	for (i = 0; i < b->n_expect; i++)
		db->running -= b->expect[i].kind == EXPECT_STATEMENT;
	b->holder = NULL;
	b->control = NULL;
	b->closed = true;
	bufferevent_disable(b->bev, EV_READ | EV_WRITE);
	bufferevent_setcb(b->bev, NULL, NULL, NULL, NULL);
	TAILQ_INSERT_TAIL(&b->proxy->closed, b, link);
	if (fn)
		fn(b->control_ctx, db, false, NULL, 0);
	if (!s)
		return;
	s->held = NULL;
	if (was_running)
		session_ended(s, END_LOST, REFUSE_IN_DOUBT, NULL, NULL);
	else if (s->task.stage != TASK_NONE)
		dispatch_again(s, REFUSE_NONE);
	else
		session_lost_backend(s);
}

/* Frees the connections closed since the last call. */
void backend_reap(struct proxy *p)
{
	struct backend *b;

	while ((b = TAILQ_FIRST(&p->closed))) {
		TAILQ_REMOVE(&p->closed, b, link);
		bufferevent_free(b->bev);
		evbuffer_free(b->reply);
		names_clear(&b->values);
		names_clear(&b->prepared);
		free(b);
	}
}

/* Runs the session's statement on a connection that is idle or its own. */
void backend_run(struct backend *b, struct session *s)
{
	b->holder = s;
	b->state = BACKEND_BUSY;
	b->used_at = proxy_now();
	s->held = b;
	s->task.db = (uint32_t)(b->db - b->db->group->db);
	s->task.stage = TASK_PREPARING;
	bring(b, s);
	if (b->n_expect == 0)
		send_statement(b, s);
}

/*
 * Takes a connection back from its session. A transaction that is still open
 * at the database is rolled back before anybody else gets it.
 */
void backend_release(struct backend *b)
{
	struct session *s = b->holder;

	if (s)
		s->held = NULL;
	b->holder = NULL;
	if (b->n_expect == 0)
		go_idle(b);
}

/*
 * Asks a question of the VM's own, on a connection that is idle or being
 * opened. fn is called once, also if the connection is lost.
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

/* Sends the question that waits. */
static void send_control(struct backend *b)
{
	b->state = BACKEND_BUSY;
	b->used_at = proxy_now();
	b->proxy->protocol->put_control(bufferevent_get_output(b->bev),
					b->control_verb, b->control_term);
	if (b->control_verb == CONTROL_STATUS)
		counter_add(CTR_PROBES, 1);
	expect(b, EXPECT_CONTROL);
}

/* Closes a connection whose replies are overdue. */
void backend_tick(struct backend *b, usec_t now)
{
	usec_t limit = OWN_REPLY_US;

	if (b->state == BACKEND_CONNECTING || b->state == BACKEND_STARTING) {
		if (now - b->opened_at < b->proxy->policy.connect_timeout)
			return;
		b->db->failures++;
		b->db->retry_at = now + b->proxy->policy.connect_timeout;
		if (b->db->silent_since == 0)
			b->db->silent_since = b->opened_at;
		backend_close(b, "no connection in time");
		return;
	}
	if (b->n_expect == 0)
		return;
	if (b->expect[0].kind == EXPECT_STATEMENT)
		limit = ORPHAN_REPLY_US;
	if (now - b->expect[0].asked_at > limit)
		backend_close(b, "reply overdue");
}

/* Reads whole lines; what is not a reply of the protocol ends it. */
static void on_read(struct bufferevent *bev, void *ctx)
{
	struct backend *b = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	char *line;
	size_t len;

	b->db->heard_at = proxy_now();
	b->db->silent_since = 0;
	b->db->refused_at = 0;
	b->db->failures = 0;
	while (!b->closed &&
	       (line = evbuffer_readln(in, &len, EVBUFFER_EOL_CRLF))) {
		on_line(b, line, len);
		free(line);
	}
	if (!b->closed && evbuffer_get_length(in) > MESSAGE_MAX_BYTES)
		backend_close(b, "line too long");
}

/* A connection that is there, refused, or broken. */
static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct backend *b = ctx;
	struct pdb *db = b->db;
	usec_t now = proxy_now();

	if (what & BEV_EVENT_CONNECTED) {
		set_options(bufferevent_getfd(bev));
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		b->state = BACKEND_STARTING;
		b->proxy->protocol->put_start(bufferevent_get_output(bev),
					      db->group->service, b->team,
					      db->id);
		expect(b, EXPECT_START);
		return;
	}
	if (b->state == BACKEND_CONNECTING || b->state == BACKEND_STARTING) {
		db->failures++;
		db->refused_at = now;
		db->retry_at = now + RETRY_AFTER_REFUSED_US;
	}
	backend_close(b, what & BEV_EVENT_EOF ? "closed by the database"
					      : "connection broken");
}

/* Takes one line of a reply. */
static void on_line(struct backend *b, char *line, size_t len)
{
	struct reply_msg m;

	b->proxy->protocol->parse_reply(line, len, &m);
	if (m.type == REPLY_BAD || b->n_expect == 0) {
		backend_close(b, "reply not understood or not asked for");
		return;
	}
	switch (m.type) {
	case REPLY_ROW:
		if (b->expect[0].kind == EXPECT_CONTROL && !b->has_report)
			b->has_report = b->proxy->protocol->parse_report(
				m.body, &b->report);
		if (b->expect[0].kind == EXPECT_STATEMENT) {
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
		if (b->expect[0].kind == EXPECT_START) {
			if (m.code == REFUSE_TOO_MANY)
				pool_refused(b->db);
			else
				b->db->retry_at =
					proxy_now() + RETRY_AFTER_REFUSED_US;
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

/* Ends one reply; what it answers is the oldest question. */
static void on_ready(struct backend *b, const struct reply_msg *m)
{
	const struct expected e = b->expect[0];
	bool failed = b->failed;
	enum refusal_code code = b->code;

	if (e.kind != EXPECT_START && !b->complete && !b->failed) {
		backend_close(b, "reply without an end");
		return;
	}
	b->n_expect--;
	memmove(b->expect, b->expect + 1, b->n_expect * sizeof(*b->expect));
	b->complete = false;
	b->failed = false;
	b->remote_state = m->state;
	cluster_heard(b->db, e.asked_at, m->has_position ? &m->at : NULL);
	switch (e.kind) {
	case EXPECT_START:
		on_started(b);
		return;
	case EXPECT_STATE:
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		if (failed) {
			prepare_failed(b, code);
			return;
		}
		break;
	case EXPECT_BEGIN:
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		if (failed) {
			prepare_failed(b, code);
			return;
		}
		b->in_tx = true;
		if (b->holder)
			b->holder->tx_begun = true;
		break;
	case EXPECT_STATEMENT:
		b->failed = failed;
		on_statement(b, m);
		return;
	case EXPECT_CONTROL:
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		b->failed = failed;
		on_control(b, e.asked_at);
		return;
	}
	if (b->n_expect > 0)
		return;
	if (b->holder && b->holder->task.stage == TASK_PREPARING)
		send_statement(b, b->holder);
	else if (!b->holder)
		go_idle(b);
}

/* The database has taken the connection. */
static void on_started(struct backend *b)
{
	usec_t took = proxy_now() - b->opened_at;

	latency_add(LATENCY_CONNECT, took);
	b->db->refusals = 0;
	log_event(EV_BACKEND_OPENED,
		  "service=%s database=%s team=%s took_us=%lld",
		  b->db->group->service, b->db->id, b->team, (long long)took);
	if (b->control) {
		send_control(b);
		return;
	}
	if (b->holder) {
		b->state = BACKEND_BUSY;
		dispatch_ready(b->holder, b);
		return;
	}
	go_idle(b);
}

/* The reply to a caller's statement is whole. */
static void on_statement(struct backend *b, const struct reply_msg *m)
{
	struct session *s = b->holder;
	bool failed = b->failed;
	usec_t took;

	b->failed = false;
	b->db->running--;
	b->in_tx = m->state != STATE_IDLE;
	if (!s) {
		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		go_idle(b);
		return;
	}
	took = proxy_now() - s->task.sent_at;
	latency_add(LATENCY_DATABASE, took);
	b->db->latency += (took - b->db->latency) / LATENCY_WEIGHT;
	if (failed) {
		enum task_end end = END_REFUSED;

		evbuffer_drain(b->reply, evbuffer_get_length(b->reply));
		if (b->code == REFUSE_FAILED || b->code == REFUSE_TIMEOUT)
			end = END_FAILED;
		session_ended(s, end, b->code, NULL, m);
		return;
	}
	session_ended(s, END_ANSWER, REFUSE_NONE, b->reply, m);
}

/* A question of the VM's own is answered. */
static void on_control(struct backend *b, usec_t asked_at)
{
	control_fn fn = b->control;
	bool ok = !b->failed && b->has_report;
	struct db_report report = b->report;
	struct pdb *db = b->db;
	void *ctx = b->control_ctx;

	b->failed = false;
	b->has_report = false;
	b->control = NULL;
	if (ok) {
		db->report = report;
		db->report_at = asked_at;
	}
	go_idle(b);
	if (fn)
		fn(ctx, db, ok, ok ? &report : NULL, asked_at);
}

/*
 * Sends what makes the connection's state that of the session: values,
 * prepared names, the transaction. The statement follows once all of it was
 * acknowledged.
 */
static void bring(struct backend *b, struct session *s)
{
	struct evbuffer *out = bufferevent_get_output(b->bev);
	const struct protocol *proto = b->proxy->protocol;
	uint32_t i;

	if (!b->in_tx &&
	    (b->reset_due || names_exceed(&b->values, &s->values) ||
	     b->prepared.n >= PREPARED_MAX)) {
		proto->put_control(out, CONTROL_RESET, 0);
		expect(b, EXPECT_STATE);
		names_clear(&b->values);
		names_clear(&b->prepared);
		b->reset_due = false;
	}
	for (i = 0; i < s->values.n; i++) {
		const struct name *v = &s->values.at[i];
		const struct name *have =
			names_find(&b->values, v->name, strlen(v->name));

		if (have && strcmp(have->value, v->value) == 0)
			continue;
		if (b->n_expect + 3 >= EXPECT_MAX)
			break;
		proto->put_set(out, v->name, v->value);
		expect(b, EXPECT_STATE);
		names_set(&b->values, v->name, strlen(v->name), v->value,
			  strlen(v->value), false);
		if (b->in_tx)
			b->reset_due = true;
	}
	bring_prepared(b, s);
	if (s->tx && !s->tx_begun) {
		proto->put_begin(out, s->tx_reads,
				 s->task.has_after ? &s->task.after : NULL);
		expect(b, EXPECT_BEGIN);
	}
}

/* Prepares the statement's shape unless the connection has it. */
static void bring_prepared(struct backend *b, struct session *s)
{
	const struct statement *st = &s->task.msg.statement;
	const struct name *p;
	char name[NAME_MAX_BYTES];

	if (st->verb != VERB_EXECUTE)
		return;
	p = names_find(&s->prepared, st->name.at, st->name.len);
	if (!p)
		return;
	prepared_name(p, name, sizeof(name));
	if (names_find(&b->prepared, name, strlen(name)))
		return;
	b->proxy->protocol->put_prepare(bufferevent_get_output(b->bev), name,
					p->flag, p->value);
	expect(b, EXPECT_STATE);
	names_set(&b->prepared, name, strlen(name), p->value, strlen(p->value),
		  p->flag);
	if (b->in_tx)
		b->reset_due = true;
}

/* Sends the statement itself. */
static void send_statement(struct backend *b, struct session *s)
{
	const struct statement *st = &s->task.msg.statement;
	const struct name *p = NULL;
	char name[NAME_MAX_BYTES] = "";

	if (st->verb == VERB_EXECUTE) {
		p = names_find(&s->prepared, st->name.at, st->name.len);
		if (p)
			prepared_name(p, name, sizeof(name));
	}
	s->task.stage = TASK_RUNNING;
	s->task.sent_at = proxy_now();
	latency_add(LATENCY_WAIT, s->task.sent_at - s->task.began_at);
	if (s->task.writes && s->tx)
		s->tx_wrote = true;
	b->db->running++;
	counter_add(CTR_DB_CALLS, 1);
	b->proxy->protocol->put_statement(
		bufferevent_get_output(b->bev), s->task.id, st, name,
		s->task.has_after && !s->tx ? &s->task.after : NULL);
	expect(b, EXPECT_STATEMENT);
}

/*
 * The name under which a shape is prepared on connections: the same for all
 * sessions, so that names of callers never collide.
 */
static void prepared_name(const struct name *p, char *out, size_t size)
{
	XXH128_hash_t h;

	if (strlen(p->value) <= SHAPE_PLAIN_MAX && !strchr(p->value, ' ')) {
		snprintf(out, size, "%c_%s", p->flag ? 'w' : 'r', p->value);
		return;
	}
	h = XXH3_128bits(p->value, strlen(p->value));
	snprintf(out, size, "%cx%016llx%016llx", p->flag ? 'w' : 'r',
		 (unsigned long long)h.high64, (unsigned long long)h.low64);
}

/* Notes that one more reply is due. */
static void expect(struct backend *b, enum expect kind)
{
	usec_t now = proxy_now();

	b->expect[b->n_expect++] =
		(struct expected){ .kind = kind, .asked_at = now };
	if (b->db->silent_since == 0)
		b->db->silent_since = now;
}

/* The connection could not be brought to the session's state. */
static void prepare_failed(struct backend *b, enum refusal_code code)
{
	struct session *s = b->holder;

	b->holder = NULL;
	b->doomed = true;
	if (s) {
		s->held = NULL;
		s->tx_begun = false;
	}
	if (b->n_expect == 0 && code != REFUSE_FAILED && code != REFUSE_NONE &&
	    b->remote_state == STATE_IDLE) {
		b->doomed = false;
		b->reset_due = true;
		go_idle(b);
	} else {
		backend_close(b, "session state not taken");
	}
	if (s && s->task.stage != TASK_NONE)
		dispatch_again(s, code);
}

/* Nothing is outstanding: rolls back what is left open, or waits for work. */
static void go_idle(struct backend *b)
{
	struct pgroup *g = b->db->group;

	if (b->doomed || !b->db->present) {
		backend_close(b, "no longer wanted");
		return;
	}
	if (b->in_tx || b->remote_state != STATE_IDLE) {
		b->in_tx = false;
		b->remote_state = STATE_IDLE;
		b->proxy->protocol->put_control(bufferevent_get_output(b->bev),
						CONTROL_ROLLBACK, 0);
		b->state = BACKEND_BUSY;
		expect(b, EXPECT_STATE);
		return;
	}
	b->state = BACKEND_IDLE;
	b->used_at = proxy_now();
	dispatch_pump(g);
}

/* Finds out in a few seconds that the other end is gone. */
static void set_options(evutil_socket_t fd)
{
	const int on = 1;
	const int idle = KEEP_IDLE_S;
	const int interval = KEEP_INTERVAL_S;
	const int tries = KEEP_TRIES;
	const unsigned int unacked = USER_TIMEOUT_MS;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
			 sizeof(interval));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &tries, sizeof(tries));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
			 sizeof(unacked));
}
