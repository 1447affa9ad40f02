#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "proxy/remote.h"

/*
 * Forwards statements to the VM that owns the connections to a database. That
 * VM queues and executes them, and checks the proof of the primary.
 */

/* Weight of one response in the moving average of the latency: 1/8. */
#define LATENCY_DIVISOR 8
/* A statement that was refused this close to its deadline is not tried again.
 */
#define RETRY_MIN_US (60 * USEC_PER_MSEC)
/* A database that its owner could not use is not chosen for this long. */
#define UNUSABLE_US (100 * USEC_PER_MSEC)
/* A replica that lacked a position is avoided for this long. */
#define LAGGING_US (100 * USEC_PER_MSEC)

/* Result of a statement as the owner reports it. */
struct done_msg {
	uint64_t number; /* of the statement */
	enum exec_result result;
	enum reply_error_code code;
	uint64_t flags; /* enum done_flag */
	struct reply_msg ready;
	uint64_t load;	    /* statements running and queued there */
	uint64_t proof_age; /* microseconds; UINT64_MAX: no proof */
	uint64_t term;
	char primary[DB_ID_MAX_BYTES]; /* of that term; empty: unknown */
	const char *reply;
	size_t reply_len;
};

static void send_run(struct remote_stream *r);
static uint32_t run_flags(const struct session *s);
static void pack_variables(msgpack_packer *p, const struct session *s);
static void pack_prepared(msgpack_packer *p, const struct session *s);
static bool parse_done(struct wire_reader *r, struct done_msg *m);
static void note_result(struct remote_stream *r, const struct done_msg *m);
static void finish(struct session *s, const struct done_msg *m);
static bool is_owners_reason(const struct done_msg *m);
static void set_idle(struct remote_stream *r);
static void free_stream(struct remote_stream *r);

/*
 * Sends the session's statement to the owner of a database. Returns false if
 * no link to it can be opened.
 */
bool remote_client_start(struct session *s, uint32_t db, const char *owner)
{
	struct peer_link *l = peer_link_get(s->proxy, owner);
	struct remote_stream *r;

	if (!l)
		return false;
	r = calloc(1, sizeof(*r));
	if (!r)
		return false;
	r->link = l;
	r->session = s;
	r->id = s->proxy->next_stream_id++;
	r->db = db;
	TAILQ_INSERT_TAIL(&l->streams, r, entry);
	s->remote = r;
	s->exec.via = owner;
	counter_add(CTR_FORWARDS, 1);
	send_run(r);
	return true;
}

/* Sends the next statement of the session's transaction. */
void remote_client_continue(struct session *s)
{
	send_run(s->remote);
}

/*
 * Takes the stream from its session. Its transaction is rolled back, and a
 * statement that still waits there is not executed.
 */
void remote_client_release(struct session *s)
{
	struct remote_stream *r = s->remote;
	msgpack_sbuffer buf;
	msgpack_packer p;

	peer_link_begin(&buf, &p, 2, LINK_MSG_RELEASE);
	msgpack_pack_uint64(&p, r->id);
	peer_link_send(r->link, &buf);
	free_stream(r);
}

/* Returns the database that the session's stream is for. */
struct db_member *remote_client_database(const struct session *s)
{
	return &s->group->db[s->remote->db];
}

/*
 * Handles a result: [stream, number, ...], see remote_server.c. It may arrive
 * on a link and once more on the one that replaced it; only the first is taken.
 */
void remote_client_on_done(struct peer_link *l, struct wire_reader *r)
{
	struct remote_stream *stream = remote_client_find(l, wire_u64(r));
	struct done_msg m = { 0 };
	struct session *s;

	if (!parse_done(r, &m) || !stream || !stream->running ||
	    m.number != stream->number)
		return;
	s = stream->session;
	set_idle(stream);
	note_result(stream, &m);
	if (m.flags & DONE_STREAM_OPEN)
		s->tx_at_database = true;
	else
		free_stream(stream);
	finish(s, &m);
}

/* Handles the loss of a transaction that was idle: [stream]. */
void remote_client_on_lost(struct peer_link *l, struct wire_reader *r)
{
	struct remote_stream *stream = remote_client_find(l, wire_u64(r));
	struct session *s;

	/* The result of a running statement tells of the loss too. */
	if (!stream || stream->running)
		return;
	s = stream->session;
	free_stream(stream);
	session_on_backend_lost(s);
}

/* Finds a stream of a link, or of the one that replaced it; NULL: none. */
struct remote_stream *remote_client_find(struct peer_link *l, uint64_t id)
{
	struct remote_stream *r;

	if (l->is_replaced && l->second)
		l = l->second;
	TAILQ_FOREACH(r, &l->streams, entry)
	{
		if (r->id == id)
			return r;
	}
	return NULL;
}

/* Sends a statement again, which certainly was not executed, as a new one. */
void remote_client_send_again(struct remote_stream *r)
{
	set_idle(r);
	send_run(r);
}

/*
 * Ends a stream that the other VM does not know, or whose statement may have
 * been executed: as a closed link does.
 */
void remote_client_end_unknown(struct remote_stream *r)
{
	struct session *s = r->session;
	bool was_running = r->running;

	free_stream(r);
	if (was_running)
		session_on_result(s, RESULT_UNKNOWN, REPLY_ERR_IN_DOUBT, NULL,
				  NULL);
	else
		session_on_backend_lost(s);
}

/* Ends all streams of a closed link. */
void remote_client_on_link_closed(struct peer_link *l)
{
	struct remote_stream *next;
	struct remote_stream *r;

	for (r = TAILQ_FIRST(&l->streams); r; r = next) {
		struct session *s = r->session;

		next = TAILQ_NEXT(r, entry);
		if (l->is_open || !r->running) {
			remote_client_end_unknown(r);
			continue;
		}
		free_stream(r);
		dispatch_retry(s, REPLY_ERR_NONE);
	}
}

/*
 * Sends [type, stream, number, service, database, team, flags, time to the
 * deadline, age, age of the operation, consistency, staleness bound, priority,
 * latency target, own commit there (service, term, position; no service: none
 * of a known position), term if the database is known as primary, variables,
 * prepared statement, line]; times in microseconds, but the bound and the
 * target in milliseconds. The bound covers a commit of unknown position.
 */
static void send_run(struct remote_stream *r)
{
	struct session *s = r->session;
	struct stmt_exec *t = &s->exec;
	struct db_group *g = s->group;
	const struct session_commit own = session_own_commit(s);
	usec_t now = proxy_now();
	usec_t bound;
	msgpack_sbuffer buf;
	msgpack_packer p;

	bound = session_commit_bound(
		&own, t->began_at, (usec_t)s->max_staleness_ms * USEC_PER_MSEC);
	r->number = s->proxy->next_stream_id++;
	peer_link_begin(&buf, &p, 21, LINK_MSG_RUN);
	msgpack_pack_uint64(&p, r->id);
	msgpack_pack_uint64(&p, r->number);
	wire_put_str(&p, g->service);
	wire_put_str(&p, g->db[r->db].id);
	wire_put_str(&p, s->team);
	msgpack_pack_uint32(&p, run_flags(s));
	msgpack_pack_uint64(
		&p, t->deadline > now ? (uint64_t)(t->deadline - now) : 0);
	msgpack_pack_uint64(&p, (uint64_t)(now - t->began_at));
	msgpack_pack_uint64(&p, (uint64_t)(now - s->operation_began_at));
	msgpack_pack_uint32(&p, s->consistency);
	msgpack_pack_uint32(&p, (uint32_t)(bound / USEC_PER_MSEC));
	msgpack_pack_uint32(&p, s->priority);
	msgpack_pack_uint32(&p, s->latency_target_ms);
	wire_put_str(&p, own.has_position ? g->service : "");
	msgpack_pack_uint64(&p, own.position.term);
	msgpack_pack_uint64(&p, own.position.position);
	msgpack_pack_uint64(&p, r->db == g->primary ? g->proof.term : 0);
	pack_variables(&p, s);
	pack_prepared(&p, s);
	wire_put_bin(&p, t->line, t->line_len);
	t->stage = EXEC_RUNNING;
	t->db = r->db;
	t->sent_at = now;
	if (t->is_write && s->in_tx)
		s->tx_wrote = true;
	r->running = true;
	r->sent_at = now;
	if (r->link->n_running++ == 0)
		r->link->active_since = now;
	r->link->used_at = now;
	g->db[r->db].n_remote++;
	peer_link_send(r->link, &buf);
}

/* Returns the flags of a session's statement. */
static uint32_t run_flags(const struct session *s)
{
	uint32_t flags = 0;

	if (s->in_tx)
		flags |= RUN_IN_TX;
	if (s->tx_read_only)
		flags |= RUN_TX_READ_ONLY;
	if (s->tx_at_database)
		flags |= RUN_TX_OPEN;
	if (s->exec.is_write)
		flags |= RUN_WRITE;
	if (s->exec.is_commit)
		flags |= RUN_COMMIT;
	if (s->exec.needs_primary)
		flags |= RUN_NEEDS_PRIMARY;
	if (placement_has_no_choice(s, s->remote->db, proxy_now()))
		flags |= RUN_NO_CHOICE;
	return flags;
}

/* Encodes the session's variables: [name, value, ...]. */
static void pack_variables(msgpack_packer *p, const struct session *s)
{
	uint32_t i;

	msgpack_pack_array(p, (size_t)2 * s->vars.n);
	for (i = 0; i < s->vars.n; i++) {
		const struct strmap_entry *v = &s->vars.entries[i];

		wire_put_bin(p, v->name, strlen(v->name));
		wire_put_bin(p, v->value, strlen(v->value));
	}
}

/* Encodes the prepared statement to be executed: [name, writes, shape]. */
static void pack_prepared(msgpack_packer *p, const struct session *s)
{
	const struct statement *st = &s->exec.msg.statement;
	const struct strmap_entry *e = NULL;

	if (st->verb == VERB_EXECUTE)
		e = strmap_find(&s->prepared, st->name.ptr, st->name.len);
	if (!e) {
		msgpack_pack_array(p, 0);
		return;
	}
	msgpack_pack_array(p, 3);
	wire_put_bin(p, e->name, strlen(e->name));
	msgpack_pack_uint32(p, e->flag);
	wire_put_bin(p, e->value, strlen(e->value));
}

/* Decodes a result; returns false if it is malformed. */
static bool parse_done(struct wire_reader *r, struct done_msg *m)
{
	uint64_t number = wire_u64(r);
	uint64_t result = wire_u64(r);
	uint64_t code = wire_u64(r);

	m->number = number;
	m->flags = wire_u64(r);
	m->ready.type = REPLY_READY;
	m->ready.state = (char)wire_u64(r);
	m->ready.has_position = wire_u64(r) != 0;
	m->ready.at.term = wire_u64(r);
	m->ready.at.position = wire_u64(r);
	m->load = wire_u64(r);
	m->proof_age = wire_u64(r);
	m->term = wire_u64(r);
	wire_str(r, m->primary, sizeof(m->primary));
	m->reply = wire_bin(r, 2 * MESSAGE_MAX_BYTES, &m->reply_len);
	if (result > RESULT_UNKNOWN || code >= REPLY_ERR_COUNT)
		r->bad = true;
	m->result = (enum exec_result)result;
	m->code = (enum reply_error_code)code;
	return !r->bad;
}

/*
 * Records what the result tells of the database: log position, proof and load.
 * Ages count from the time at which the statement was sent, as that is the
 * earliest time at which the owner can have sent the result.
 */
static void note_result(struct remote_stream *r, const struct done_msg *m)
{
	struct db_group *g = r->session->group;
	struct db_member *d = &g->db[r->db];
	usec_t now = proxy_now();
	uint32_t primary;

	d->remote_load =
		(uint32_t)(m->load < UINT32_MAX ? m->load : UINT32_MAX);
	d->remote_load_at = now;
	primary = db_group_find_member(g, m->primary);
	if (primary != DB_NONE && m->term > g->proof.term)
		db_group_set_primary(g, primary, m->term, r->link->peer);
	if (m->term == g->proof.term && m->proof_age < USEC_PER_SEC)
		primary_proof_add(&g->proof, r->sent_at - (usec_t)m->proof_age,
				  m->term, PRIMARY_PROOF_PEER);
	if (m->result != RESULT_REPLY)
		return;
	/* Else a wait for the limit would outlast it in the estimate. */
	if (!placement_is_cold(d, now))
		d->latency += (now - r->sent_at - d->latency) / LATENCY_DIVISOR;
	db_group_note_position(d, r->sent_at,
			       m->ready.has_position ? &m->ready.at : NULL);
}

/* Ends the statement as the result says, or tries it again. */
static void finish(struct session *s, const struct done_msg *m)
{
	struct evbuffer *reply;

	if (m->result == RESULT_NOT_RUN && (m->flags & DONE_OVERLOADED) &&
	    (s->exec.needs_primary || !dispatch_has_choice(s))) {
		const struct db_member *d = &s->group->db[s->exec.db];

		session_refuse_overloaded(
			s, d->latency * (usec_t)d->remote_load /
				   (usec_t)(d->slots ? d->slots : 1));
		return;
	}
	if (m->result == RESULT_NOT_RUN && (m->flags & DONE_FINAL)) {
		session_send_error(
			s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			"no primary can be used, not run, retry after "
			"1000 ms");
		return;
	}
	if (m->result == RESULT_NOT_RUN) {
		if (m->flags & DONE_COLD)
			s->group->db[s->exec.db].cold_retry_at =
				proxy_now() + COLD_RETRY_US;
		if (m->code == REPLY_ERR_LAGGING)
			s->group->db[s->exec.db].behind_until =
				proxy_now() + LAGGING_US;
		if (m->flags & DONE_EVACUATED)
			s->group->db[s->exec.db].evacuation_told_at =
				proxy_now();
		else if (m->code == REPLY_ERR_NONE ||
			 m->code == REPLY_ERR_WRONG_DATABASE)
			s->group->db[s->exec.db].retry_at =
				proxy_now() + UNUSABLE_US;
		if (s->exec.deadline - proxy_now() < RETRY_MIN_US &&
		    !(s->in_tx && s->tx_answered))
			session_refuse_overdue(s);
		else
			dispatch_retry(s, is_owners_reason(m) ? REPLY_ERR_NONE
							      : m->code);
		return;
	}
	reply = evbuffer_new();
	if (!reply || evbuffer_add(reply, m->reply, m->reply_len) == -1) {
		log_event(EV_VM_FAIL, "reason=\"no memory for a reply\"");
		if (reply)
			evbuffer_free(reply);
		session_on_result(s, RESULT_UNKNOWN, REPLY_ERR_IN_DOUBT, NULL,
				  NULL);
		return;
	}
	latency_add(LATENCY_DATABASE, proxy_now() - s->exec.sent_at);
	s->exec.is_proved = (m->flags & DONE_PROVED) != 0;
	session_on_result(s, m->result, m->code, reply, &m->ready);
	evbuffer_free(reply);
}

/*
 * True if the refusal concerns the owner's view of the group, of which it has
 * taken care itself.
 */
static bool is_owners_reason(const struct done_msg *m)
{
	return (m->flags & DONE_NOT_PRIMARY) ||
	       m->code == REPLY_ERR_WRONG_DATABASE;
}

/* Records that the stream's statement has its result. */
static void set_idle(struct remote_stream *r)
{
	struct db_member *d = &r->session->group->db[r->db];

	if (!r->running)
		return;
	r->running = false;
	r->link->n_running--;
	if (d->n_remote > 0)
		d->n_remote--;
}

/* Detaches a stream from its session and frees it. */
static void free_stream(struct remote_stream *r)
{
	set_idle(r);
	r->session->remote = NULL;
	TAILQ_REMOVE(&r->link->streams, r, entry);
	free(r);
}
