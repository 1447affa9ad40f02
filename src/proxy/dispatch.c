#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/* A log position older than this says little about how far a replica is now. */
#define POSITION_AGE_MAX_US (50 * USEC_PER_MSEC)
/* Delay before databases that refused a statement are tried again. */
#define RETRY_ROUND_DELAY_US (20 * USEC_PER_MSEC)

static bool try_start(struct session *s, usec_t now);
static bool start_at(struct session *s, uint32_t db);
static uint32_t choose_database(struct session *s, usec_t now);
static bool set_min_position(struct session *s);
static bool is_usable(const struct db_member *db, usec_t now);
static void enqueue(struct session *s);
static bool goes_before(const struct session *a, const struct session *b);

/*
 * Starts the session's statement, at once if possible; otherwise it is queued,
 * or refused if the primary has been unusable for too long.
 */
void dispatch_start(struct session *s)
{
	usec_t now = proxy_now();

	s->group->used_at = now;
	if (s->exec.needs_primary) {
		s->group->primary_used_at = now;
		db_group_proof_refresh(s->group, now);
	}
	s->exec.stage = EXEC_QUEUED;
	if (s->backend && s->tx_at_database) {
		backend_run(s->backend, s);
		return;
	}
	/* dispatch_waiting() starts queued ones when resources become free. */
	if (try_start(s, now))
		return;
	if (s->exec.needs_primary && db_group_failover_overdue(s->group, now))
		session_send_error(
			s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			"no primary can be used, not run, retry after "
			"1000 ms");
	else
		enqueue(s);
}

/*
 * Starts queued statements in order of priority and age, as far as databases
 * and connections are available.
 */
void dispatch_waiting(struct db_group *g)
{
	usec_t now = proxy_now();
	struct session *next;
	struct session *s;

	if (g->is_dispatching)
		return;
	g->is_dispatching = true;
	for (s = TAILQ_FIRST(&g->waiting); s; s = next) {
		next = TAILQ_NEXT(s, queue_entry);
		if (s->exec.retry_at > now)
			continue;
		TAILQ_REMOVE(&g->waiting, s, queue_entry);
		g->n_waiting--;
		if (!try_start(s, now))
			enqueue(s);
	}
	g->is_dispatching = false;
}

/*
 * Removes the session's statement. One that is executing continues at the
 * database without the session.
 */
void dispatch_cancel(struct session *s)
{
	struct backend *b = s->backend;

	if (s->exec.stage == EXEC_RATE_CHECK)
		rate_limit_client_cancel(s->proxy->rate_limiter, s);
	if (s->exec.stage == EXEC_QUEUED) {
		TAILQ_REMOVE(&s->group->waiting, s, queue_entry);
		s->group->n_waiting--;
	}
	if (b &&
	    (s->exec.stage == EXEC_CONNECTING ||
	     b->state == BACKEND_CONNECTING || b->state == BACKEND_STARTING)) {
		b->session = NULL;
		s->backend = NULL;
	} else if (b) {
		backend_release(b);
	}
	s->exec.stage = EXEC_NONE;
}

/*
 * Tries a statement again that was certainly not executed, or a read outside
 * transactions that failed or whose outcome is unknown. It goes to another
 * database, or is queued for any database if no other is available. In a
 * transaction that has already executed a statement this is not possible, and
 * the transaction is aborted.
 */
void dispatch_retry(struct session *s, enum reply_error_code code)
{
	struct db_group *g = s->group;
	struct stmt_exec *t = &s->exec;
	usec_t now = proxy_now();

	if (code != REPLY_ERR_NONE)
		t->last_refusal = code;
	t->attempts++;
	log_event(EV_STATEMENT_AGAIN,
		  "id=%s service=%s database=%s code=%s attempts=%u", t->id,
		  g->service,
		  t->db < DB_GROUP_MEMBERS_MAX ? g->db[t->db].id : "-",
		  s->proxy->protocol->code_name(code), t->attempts);
	counter_add(CTR_RETRIES, 1);
	if (s->in_tx && s->tx_answered) {
		session_on_result(s, RESULT_NOT_RUN, REPLY_ERR_ABORTED, NULL,
				  NULL);
		return;
	}
	s->tx_at_database = false;
	if (t->db < DB_GROUP_MEMBERS_MAX)
		t->tried_mask |= 1U << t->db;
	if (code == REPLY_ERR_BUSY && t->db < DB_GROUP_MEMBERS_MAX)
		conn_pool_on_busy(&g->db[t->db]);
	if (code == REPLY_ERR_READ_ONLY && t->db == g->primary)
		db_group_recheck_primary(g, now);
	if (code == REPLY_ERR_WRONG_DATABASE)
		registry_poll_fast(s->proxy->registry, now);
	t->stage = EXEC_QUEUED;
	if (!try_start(s, now)) {
		t->tried_mask = 0;
		t->retry_at = now + RETRY_ROUND_DELAY_US;
		enqueue(s);
	}
}

/*
 * Executes the statement on the connection opened for it. If the session no
 * longer needs it, the connection becomes idle.
 */
void dispatch_on_connected(struct session *s, struct backend *b)
{
	if (s->exec.stage == EXEC_CONNECTING) {
		backend_run(b, s);
		return;
	}
	backend_release(b);
}

/*
 * Starts the statement if a database and a connection are available. Returns
 * false if it has to wait.
 */
static bool try_start(struct session *s, usec_t now)
{
	struct db_group *g = s->group;
	struct stmt_exec *t = &s->exec;
	uint32_t db;

	t->has_after = false;
	if (t->needs_primary) {
		if (g->in_handover || !db_group_primary_is_usable(g, now) ||
		    !is_usable(&g->db[g->primary], now) ||
		    (t->tried_mask & (1U << g->primary)))
			return false;
		return start_at(s, g->primary);
	}
	db_group_proof_refresh_position(g, now);
	if (!set_min_position(s)) {
		/* Only the primary is known to have what the read may need. */
		if (g->in_handover || !db_group_primary_is_usable(g, now) ||
		    !is_usable(&g->db[g->primary], now))
			return false;
		return start_at(s, g->primary);
	}
	db = choose_database(s, now);
	if (db == DB_NONE)
		return false;
	/* A primary with a valid proof has every position: none is sent. */
	t->has_after = db != g->primary || !db_group_primary_is_usable(g, now);
	return start_at(s, db);
}

/* Executes the statement at this database if a connection is available. */
static bool start_at(struct session *s, uint32_t db)
{
	struct db_member *d = &s->group->db[db];
	enum load_balance_conn way = conn_pool_availability(d, s);
	struct backend *b;

	if (way == LOAD_BALANCE_CONN_NONE)
		return false;
	s->exec.db = db;
	b = conn_pool_acquire(d, s, way);
	if (!b)
		return false;
	if (way == LOAD_BALANCE_CONN_IDLE) {
		backend_run(b, s);
		return true;
	}
	b->session = s;
	s->backend = b;
	s->exec.stage = EXEC_CONNECTING;
	return true;
}

/* Chooses the database for a read. */
static uint32_t choose_database(struct session *s, usec_t now)
{
	struct db_group *g = s->group;
	struct load_balance_db view[DB_GROUP_MEMBERS_MAX] = { 0 };
	const char *domain = s->proxy->kernel->settings.domain;
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		struct db_member *d = &g->db[i];

		if (!is_usable(d, now) || (s->exec.tried_mask & (1U << i)))
			continue;
		view[i] = (struct load_balance_db){
			.usable = true,
			.primary = i == g->primary,
			.local = strcmp(d->domain, domain) == 0,
			.conn = conn_pool_availability(d, s),
			.running = d->running,
			.slots = d->slots,
			.latency = d->latency,
			.behind = log_pos_cmp(d->position, s->exec.after) < 0 &&
				  now - d->last_seen_at < POSITION_AGE_MAX_US,
		};
	}
	return load_balance_pick(view, DB_GROUP_MEMBERS_MAX,
				 &s->proxy->policy.costs,
				 proxy_random(s->proxy));
}

/*
 * Computes the lowest log position that a read has to see, from the staleness
 * bound of its route and the session's own commits. Returns false if no
 * position is known.
 */
static bool set_min_position(struct session *s)
{
	struct stmt_exec *t = &s->exec;
	usec_t age = (usec_t)s->max_staleness_ms * USEC_PER_MSEC;

	if (s->consistency == READ_PRIMARY ||
	    !primary_proof_position_after(&s->group->proof, t->began_at - age,
					  &t->after))
		return false;
	if (s->consistency == READ_YOUR_WRITES &&
	    strcmp(s->last_commit_service, s->group->service) == 0 &&
	    log_pos_cmp(s->last_commit, t->after) > 0)
		t->after = s->last_commit;
	return true;
}

/* True if statements may be sent to the database now. */
static bool is_usable(const struct db_member *db, usec_t now)
{
	return db->present && !db->departing && now >= db->retry_at;
}

/* Adds the session to its group's queue, ordered by priority and age. */
static void enqueue(struct session *s)
{
	struct db_group *g = s->group;
	struct session *at;

	g->n_waiting++;
	TAILQ_FOREACH_REVERSE(at, &g->waiting, session_list, queue_entry)
	{
		if (!goes_before(s, at)) {
			TAILQ_INSERT_AFTER(&g->waiting, at, s, queue_entry);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&g->waiting, s, queue_entry);
}

/* True if session "a" is served before "b". */
static bool goes_before(const struct session *a, const struct session *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->exec.began_at < b->exec.began_at;
}
