#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/remote.h"

/*
 * Executes the statements that other VMs forward, on this VM's connections. A
 * stream has a session of its own, which goes through the same queue as the
 * sessions of this VM's callers.
 */

/*
 * A statement that was not sent to the database is given back this long before
 * its deadline, so that its caller is told that it was not run.
 */
#define GIVE_BACK_US (30 * USEC_PER_MSEC)
/*
 * The same at a cold database, at which many statements wait to their end: with
 * 30 ms, which leave 5 ms after the tick that finds it, some writes that had
 * not run were answered in doubt on a busy machine.
 */
#define COLD_GIVE_BACK_US (55 * USEC_PER_MSEC)
/* Delay before a statement is sent again that found the database busy. */
#define BUSY_RETRY_US (5 * USEC_PER_MSEC)
/*
 * Longest time to a deadline and age of a statement; larger ones are malformed,
 * and sums with them could overflow.
 */
#define RUN_TIME_MAX_US (3600 * USEC_PER_SEC)
/* Streams of all links; one more is dropped, and times out at its VM. */
#define SERVED_MAX 8192

/* The fields of a LINK_MSG_RUN. */
struct run_msg {
	uint64_t stream;
	uint64_t number;
	char service[NAME_MAX_BYTES];
	char database[DB_ID_MAX_BYTES];
	char team[NAME_MAX_BYTES];
	uint64_t flags; /* enum run_flag */
	uint64_t time_left;
	uint64_t age;
	uint64_t operation_age;
	uint64_t consistency;
	uint64_t max_staleness_ms;
	uint64_t priority;
	uint64_t latency_target_ms;
	char commit_service[NAME_MAX_BYTES];
	struct log_pos commit;
	uint64_t term; /* the database is primary of this term; 0: is not */
	struct wire_reader variables;
	struct wire_reader prepared;
	const char *line;
	size_t line_len;
};

static void parse_run(struct wire_reader *r, struct run_msg *m);
static struct served_stream *open_stream(struct peer_link *l, uint64_t id);
static bool load_statement(struct session *s, const struct run_msg *m);
static bool load_names(struct session *s, const struct run_msg *m);
static void load_commit(struct session *s, const struct run_msg *m);
static void send_done(struct served_stream *v, enum exec_result result,
		      enum reply_error_code code, uint32_t flags,
		      struct evbuffer *reply, const struct reply_msg *ready);
static void log_served(const struct session *s, enum exec_result result,
		       enum reply_error_code code);
static void requeue(struct session *s);
static void free_stream(struct served_stream *v);

/* Handles a forwarded statement; remote_client.c lists its fields. */
void remote_server_on_run(struct peer_link *l, struct wire_reader *r)
{
	struct run_msg m;
	struct served_stream *v;
	struct db_group *g;
	uint32_t db;

	parse_run(r, &m);
	if (r->bad)
		return;
	if (!stream_record_receive(&l->record, m.number)) {
		r->bad = true;
		return;
	}
	v = remote_server_find(l, m.stream);
	if (v && v->session.exec.stage != EXEC_NONE) {
		r->bad = true;
		return;
	}
	if (!v)
		v = open_stream(l, m.stream);
	if (!v) {
		log_event(EV_VM_FAIL,
			  "reason=\"no room for a statement\" streams=%u",
			  l->proxy->n_served);
		return;
	}
	v->number = m.number;
	g = db_group_find(l->proxy, m.service);
	db = g ? db_group_find_member(g, m.database) : DB_NONE;
	if (!g || db == DB_NONE ||
	    !registry_evacuations_known(l->proxy->registry) ||
	    !load_statement(&v->session, &m)) {
		remote_server_refuse(&v->session, REPLY_ERR_WRONG_DATABASE, 0);
		return;
	}
	if ((m.flags & RUN_TX_OPEN) && !v->session.backend) {
		remote_server_refuse(&v->session, REPLY_ERR_ABORTED, 0);
		return;
	}
	v->session.group = g;
	load_commit(&v->session, &m);
	v->session.exec.db = db;
	g->db[db].served_at = proxy_now();
	if (m.term > g->proof.term)
		db_group_set_primary(g, db, m.term, "forwarded statement");
	dispatch_start(&v->session);
}

/* Handles the release of a stream: [stream]. */
void remote_server_on_release(struct peer_link *l, struct wire_reader *r)
{
	struct served_stream *v = remote_server_find(l, wire_u64(r));

	if (v)
		free_stream(v);
}

/* Cancels the statements of a closed link. */
void remote_server_on_link_closed(struct peer_link *l)
{
	struct served_stream *next;
	struct served_stream *v;

	for (v = TAILQ_FIRST(&l->served); v; v = next) {
		next = TAILQ_NEXT(v, entry);
		free_stream(v);
	}
}

/* Finds a stream by id; NULL if it is not open. */
struct served_stream *remote_server_find(struct peer_link *l, uint64_t id)
{
	struct served_stream *v;

	TAILQ_FOREACH(v, &l->served, entry)
	{
		if (v->id == id)
			return v;
	}
	return NULL;
}

/* Moves a stream to another link; its results are sent on that one. */
void remote_server_move(struct served_stream *v, struct peer_link *to)
{
	TAILQ_REMOVE(&v->link->served, v, entry);
	TAILQ_INSERT_TAIL(&to->served, v, entry);
	v->link = to;
}

/* Closes a stream; a transaction that is open on it is rolled back. */
void remote_server_close(struct served_stream *v)
{
	free_stream(v);
}

/* Ends the statement of a stream; see session_on_result(). */
void remote_server_on_result(struct session *s, enum exec_result result,
			     enum reply_error_code code, struct evbuffer *reply,
			     const struct reply_msg *ready)
{
	struct stmt_exec *t = &s->exec;
	bool is_usable = db_group_primary_is_usable(s->group, proxy_now());
	uint32_t flags = 0;

	if (result == RESULT_NOT_RUN && code == REPLY_ERR_BUSY && s->backend &&
	    (!s->in_tx || ready->state == STATE_OPEN)) {
		conn_pool_on_busy(&s->group->db[t->db]);
		if (!s->in_tx)
			backend_release(s->backend);
		requeue(s);
		return;
	}
	if (s->backend && result == RESULT_REPLY)
		conn_pool_on_reply(s->backend);
	if (is_usable)
		flags |= DONE_PROVED;
	if (result == RESULT_NOT_RUN && code == REPLY_ERR_READ_ONLY) {
		if (t->db == s->group->primary)
			db_group_recheck_primary(s->group, proxy_now());
		flags |= DONE_NOT_PRIMARY;
	}
	if (result == RESULT_REPLY && s->in_tx && !t->is_commit &&
	    ready->state == STATE_OPEN) {
		s->tx_answered = true;
		log_served(s, result, code);
		send_done(s->stream, result, code, flags | DONE_STREAM_OPEN,
			  reply, ready);
		t->stage = EXEC_NONE;
		return;
	}
	log_served(s, result, code);
	send_done(s->stream, result, code, flags, reply, ready);
	free_stream(s->stream);
}

/*
 * Handles a statement that was certainly not executed, because its connection
 * failed or was refused. One that found the database full waits for it; any
 * other goes back to its VM, which may choose another database.
 */
void remote_server_on_not_run(struct session *s, enum reply_error_code code)
{
	struct db_member *d = &s->group->db[s->exec.db];

	if (code != REPLY_ERR_NONE)
		s->exec.last_refusal = code;
	if (code == REPLY_ERR_BUSY)
		conn_pool_on_busy(d);
	if (code == REPLY_ERR_WRONG_DATABASE)
		registry_poll_fast(s->proxy->registry, proxy_now());
	s->tx_at_database = false;
	if (!s->tx_answered &&
	    (code == REPLY_ERR_BUSY || code == REPLY_ERR_TOO_MANY)) {
		requeue(s);
		return;
	}
	remote_server_refuse(s, s->tx_answered ? REPLY_ERR_ABORTED : code, 0);
}

/* Gives a statement back that was not executed. */
void remote_server_refuse(struct session *s, enum reply_error_code code,
			  uint32_t flags)
{
	const struct db_group *g = s->group;

	log_event(EV_STATEMENT_RETURNED,
		  "id=%s service=%s database=%s from=%s code=%s flags=%u "
		  "waited_us=%lld load=%u",
		  s->exec.id, g ? g->service : "-",
		  g ? g->db[s->exec.db].id : "-", s->stream->link->address,
		  s->proxy->protocol->code_name(code), flags,
		  (long long)(proxy_now() - s->exec.arrived_at),
		  g ? db_member_load(&g->db[s->exec.db]) : 0);
	send_done(s->stream, RESULT_NOT_RUN, code, flags, NULL, NULL);
	free_stream(s->stream);
}

/* Gives a statement back that no database can execute now. */
void remote_server_refuse_unserved(struct session *s)
{
	remote_server_refuse(s, REPLY_ERR_BUSY, DONE_FINAL);
}

/* Gives a statement back that could not start before its deadline. */
void remote_server_refuse_overloaded(struct session *s)
{
	remote_server_refuse(s, REPLY_ERR_BUSY, DONE_OVERLOADED);
}

/* Gives a statement back whose database is not the primary. */
void remote_server_refuse_not_primary(struct session *s)
{
	remote_server_refuse(s, REPLY_ERR_READ_ONLY, DONE_NOT_PRIMARY);
}

/*
 * Gives a statement back whose database is in an evacuated domain; its VM
 * chooses another database or waits for one.
 */
void remote_server_refuse_evacuated(struct session *s)
{
	remote_server_refuse(s, REPLY_ERR_WRONG_DATABASE, DONE_EVACUATED);
}

/* Tells the stream's VM that its transaction was lost while it was idle. */
void remote_server_on_lost(struct session *s)
{
	struct served_stream *v = s->stream;
	msgpack_sbuffer buf;
	msgpack_packer p;

	peer_link_begin(&buf, &p, 2, LINK_MSG_LOST);
	msgpack_pack_uint64(&p, v->id);
	peer_link_send(v->link, &buf);
	free_stream(v);
}

/* Returns true if the statement has to be given back now. */
bool remote_server_is_overdue(const struct session *s, usec_t now)
{
	const struct db_member *d = &s->group->db[s->exec.db];

	if (placement_is_cold(d, now))
		return now >= s->exec.deadline - COLD_GIVE_BACK_US;
	return now >= s->exec.deadline - GIVE_BACK_US;
}

/* Decodes a LINK_MSG_RUN. */
static void parse_run(struct wire_reader *r, struct run_msg *m)
{
	m->stream = wire_u64(r);
	m->number = wire_u64(r);
	wire_str(r, m->service, sizeof(m->service));
	wire_str(r, m->database, sizeof(m->database));
	wire_str(r, m->team, sizeof(m->team));
	m->flags = wire_u64(r);
	m->time_left = wire_u64(r);
	m->age = wire_u64(r);
	m->operation_age = wire_u64(r);
	m->consistency = wire_u64(r);
	m->max_staleness_ms = wire_u64(r);
	m->priority = wire_u64(r);
	m->latency_target_ms = wire_u64(r);
	wire_str(r, m->commit_service, sizeof(m->commit_service));
	m->commit.term = wire_u64(r);
	m->commit.position = wire_u64(r);
	m->term = wire_u64(r);
	m->variables = wire_nested_array(r, 2 * STRMAP_ENTRIES_MAX);
	m->prepared = wire_nested_array(r, 3);
	m->line = wire_bin(r, MESSAGE_MAX_BYTES, &m->line_len);
	if (m->consistency > READ_YOUR_WRITES || !m->line ||
	    m->time_left > RUN_TIME_MAX_US || m->age > RUN_TIME_MAX_US ||
	    m->operation_age > RUN_TIME_MAX_US)
		r->bad = true;
}

/*
 * Opens a stream of a link. Returns NULL if memory is short or too many are
 * open.
 */
static struct served_stream *open_stream(struct peer_link *l, uint64_t id)
{
	struct served_stream *v;

	if (l->proxy->n_served >= SERVED_MAX)
		return NULL;
	v = calloc(1, sizeof(*v));
	if (!v)
		return NULL;
	v->link = l;
	v->id = id;
	v->session.proxy = l->proxy;
	v->session.stream = v;
	TAILQ_INSERT_TAIL(&l->served, v, entry);
	l->proxy->n_served++;
	return v;
}

/* Fills in the stream's session. Returns false if the line is no statement. */
static bool load_statement(struct session *s, const struct run_msg *m)
{
	struct stmt_exec *t = &s->exec;
	usec_t now = proxy_now();

	free(t->line);
	t->line = strndup(m->line, m->line_len);
	if (!t->line || strlen(t->line) != m->line_len)
		return false;
	t->line_len = m->line_len;
	s->proxy->protocol->parse_caller(t->line, t->line_len, &t->msg);
	if (t->msg.type != CALLER_QUERY || !load_names(s, m))
		return false;
	memcpy(t->id, t->msg.id.ptr, t->msg.id.len);
	t->id[t->msg.id.len] = '\0';
	snprintf(s->team, sizeof(s->team), "%s", m->team);
	s->consistency = (enum read_consistency)m->consistency;
	s->max_staleness_ms = (uint32_t)m->max_staleness_ms;
	s->priority = (uint32_t)m->priority;
	s->latency_target_ms = (uint32_t)m->latency_target_ms;
	s->in_tx = (m->flags & RUN_IN_TX) != 0;
	s->tx_read_only = (m->flags & RUN_TX_READ_ONLY) != 0;
	t->is_write = (m->flags & RUN_WRITE) != 0;
	t->is_commit = (m->flags & RUN_COMMIT) != 0;
	t->needs_primary = (m->flags & RUN_NEEDS_PRIMARY) != 0;
	t->has_no_choice = (m->flags & RUN_NO_CHOICE) != 0;
	t->has_after = false;
	t->tried_mask = 0;
	t->attempts = 0;
	t->retry_at = 0;
	t->was_held = false;
	t->last_refusal = REPLY_ERR_BUSY;
	t->began_at = now - (usec_t)m->age;
	s->operation_began_at = now - (usec_t)m->operation_age;
	t->arrived_at = now;
	t->deadline = now + (usec_t)m->time_left;
	return true;
}

/* Replaces the commit that the session has to see. */
static void load_commit(struct session *s, const struct run_msg *m)
{
	s->commits.n = 0;
	/* A VM of an earlier version may name a commit at another service. */
	if (strcmp(m->commit_service, s->group->service) == 0)
		session_commits_note(&s->commits, s->group->handle, &m->commit,
				     proxy_now());
}

/* Replaces the session's variables and prepared statement. */
static bool load_names(struct session *s, const struct run_msg *m)
{
	struct wire_reader variables = m->variables;
	struct wire_reader prepared = m->prepared;
	const char *value;
	const char *name;
	size_t value_len;
	size_t name_len;
	bool ok = true;
	bool writes;

	strmap_clear(&s->vars);
	strmap_clear(&s->prepared);
	while (variables.left > 0 && !variables.bad && ok) {
		name = wire_bin(&variables, MESSAGE_MAX_BYTES, &name_len);
		value = wire_bin(&variables, MESSAGE_MAX_BYTES, &value_len);
		ok = name && value &&
		     strmap_set(&s->vars, name, name_len, value, value_len,
				false);
	}
	if (prepared.left > 0 && ok) {
		name = wire_bin(&prepared, MESSAGE_MAX_BYTES, &name_len);
		writes = wire_u64(&prepared) != 0;
		value = wire_bin(&prepared, MESSAGE_MAX_BYTES, &value_len);
		ok = name && value &&
		     strmap_set(&s->prepared, name, name_len, value, value_len,
				writes);
	}
	return ok && !variables.bad && !prepared.bad;
}

/*
 * Sends [type, stream, number, result, code, flags, state, has position, term,
 * position, load, age of the proof, term, primary, reply], and keeps it for the
 * case that it does not arrive.
 */
static void send_done(struct served_stream *v, enum exec_result result,
		      enum reply_error_code code, uint32_t flags,
		      struct evbuffer *reply, const struct reply_msg *ready)
{
	const struct session *s = &v->session;
	const struct db_group *g = s->group;
	size_t len = reply ? evbuffer_get_length(reply) : 0;
	uint64_t proof_age = UINT64_MAX;
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (g && g->proof.proved_at != INT64_MIN)
		proof_age = (uint64_t)(proxy_now() - g->proof.proved_at);
	peer_link_begin(&buf, &p, 15, LINK_MSG_DONE);
	msgpack_pack_uint64(&p, v->id);
	msgpack_pack_uint64(&p, v->number);
	msgpack_pack_uint32(&p, result);
	msgpack_pack_uint32(&p, code);
	msgpack_pack_uint32(&p, flags);
	msgpack_pack_uint32(&p, ready ? (uint8_t)ready->state : STATE_IDLE);
	msgpack_pack_uint32(&p, ready && ready->has_position);
	msgpack_pack_uint64(&p, ready ? ready->at.term : 0);
	msgpack_pack_uint64(&p, ready ? ready->at.position : 0);
	msgpack_pack_uint32(&p, g ? db_member_load(&g->db[s->exec.db]) : 0);
	msgpack_pack_uint64(&p, proof_age);
	msgpack_pack_uint64(&p, g ? g->proof.term : 0);
	wire_put_str(&p,
		     g && g->primary != DB_NONE ? g->db[g->primary].id : "");
	wire_put_bin(&p, len ? evbuffer_pullup(reply, -1) : NULL, len);
	stream_record_keep(&v->link->record, v->number, buf.data, buf.size,
			   proxy_now());
	peer_link_send(v->link, &buf);
	if (reply)
		evbuffer_drain(reply, len);
}

/* Logs a statement that was sent to the database. */
static void log_served(const struct session *s, enum exec_result result,
		       enum reply_error_code code)
{
	const struct stmt_exec *t = &s->exec;
	usec_t proved_at = s->group->proof.proved_at;
	usec_t now = proxy_now();

	log_event(EV_STATEMENT_SERVED,
		  "id=%s service=%s database=%s from=%s result=%d code=%s "
		  "waited_us=%lld took_us=%lld proof_age_us=%lld",
		  t->id, s->group->service, s->group->db[t->db].id,
		  s->stream->link->address, (int)result,
		  s->proxy->protocol->code_name(code),
		  (long long)(t->sent_at - t->arrived_at),
		  (long long)(now - t->sent_at),
		  (long long)(proved_at == INT64_MIN ? -1 : now - proved_at));
}

/* Queues the statement again after a short delay. */
static void requeue(struct session *s)
{
	s->exec.retry_at = proxy_now() + BUSY_RETRY_US;
	dispatch_requeue(s);
}

/* Closes a stream; a transaction that is open on it is rolled back. */
static void free_stream(struct served_stream *v)
{
	struct session *s = &v->session;

	if (s->backend && s->exec.stage == EXEC_RUNNING)
		s->backend->must_close |=
			s->backend->n_expected > 0 && s->in_tx;
	if (s->exec.stage != EXEC_NONE || s->backend)
		dispatch_cancel(s);
	strmap_clear(&s->vars);
	strmap_clear(&s->prepared);
	free(s->exec.line);
	TAILQ_REMOVE(&v->link->served, v, entry);
	v->link->proxy->n_served--;
	free(v);
}
