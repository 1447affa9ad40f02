#include <string.h>

#include "decide/queue_order.h"
#include "decide/queue_wait.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/remote.h"

/* A log position older than this says little about how far a replica is now. */
#define POSITION_AGE_MAX_US (50 * USEC_PER_MSEC)
/* A forwarded read waits this long for a position that it may be read at. */
#define POSITION_WAIT_US (50 * USEC_PER_MSEC)
/* Replicas usually have applied a commit after this time. */
#define COMMIT_LAG_US (150 * USEC_PER_MSEC)
/* A read that this many replicas refused as lagging goes to the primary. */
#define LAGGING_TRIES_MAX 2
/* What a database's owner reported of its load is ignored after this time. */
#define REMOTE_LOAD_AGE_MAX_US (300 * USEC_PER_MSEC)
/* Delay before databases that refused a statement are tried again. */
#define RETRY_ROUND_DELAY_US (20 * USEC_PER_MSEC)

static bool try_start(struct session *s, usec_t now);
static bool try_start_served(struct session *s, usec_t now);
static bool continue_transaction(struct session *s, usec_t now);
static void refuse_outside_regions(struct session *s);
static bool start_at_primary(struct session *s, usec_t now);
static bool has_evacuated_primary(const struct db_group *g, usec_t now);
static bool is_lagging_everywhere(const struct stmt_exec *t);
static bool is_known_behind(const struct db_member *d, struct log_pos after,
			    usec_t now);
static bool start_at(struct session *s, uint32_t db);
static bool refuse_cold_read(struct session *s, struct db_member *d);
static uint32_t choose_database(struct session *s, usec_t now);
static bool set_min_position(struct session *s);
static bool is_usable(const struct db_member *db, usec_t now);
static void view_database(struct session *s, struct db_member *d, usec_t now,
			  struct load_balance_db *out);
static void start_waiting(struct db_group *g, bool is_on_time, usec_t now);
static struct queue_order order_of(const struct session *s);
static void note_room(struct db_group *g);
static struct db_member *slots_of(const struct session *s);
static void refuse_overloaded(struct session *s);
static bool meets_target(const struct session *s, usec_t now);
static bool is_too_late(const struct session *s, usec_t now);
static uint32_t count_ahead(const struct session *s, bool only_on_time,
			    usec_t now);
static void enqueue(struct session *s);
static void dequeue(struct session *s);
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
	s->exec.stage = EXEC_STARTING;
	if (s->remote) {
		if (db_member_may_execute(remote_client_database(s), s, now))
			remote_client_continue(s);
		else
			dispatch_abort_evacuated(s);
		return;
	}
	/* dispatch_waiting() starts queued ones when resources become free. */
	if (try_start(s, now))
		return;
	if (s->stream && !s->tx_at_database && is_too_late(s, now))
		remote_server_refuse_overloaded(s);
	else if (!s->exec.needs_primary || s->tx_at_database ||
		 !db_group_failover_overdue(s->group, now))
		enqueue(s);
	else if (s->stream)
		remote_server_refuse_unserved(s);
	else
		session_send_error(
			s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			"no primary can be used, not run, retry after "
			"1000 ms");
}

/*
 * Starts queued statements as far as databases and connections are available:
 * first those that can still meet their latency target, so that an overload
 * does not make all of them late.
 */
void dispatch_waiting(struct db_group *g)
{
	usec_t now = proxy_now();

	if (g->is_dispatching)
		return;
	g->is_dispatching = true;
	start_waiting(g, true, now);
	note_room(g);
	start_waiting(g, false, now);
	g->is_dispatching = false;
}

/*
 * Starts queued statements that can still meet the latency target of their
 * route, or the others. Gives those back that are overdue. One that can't be
 * started is queued again behind those of its age, so the number of steps is
 * bounded by the length of the queue.
 */
static void start_waiting(struct db_group *g, bool is_on_time, usec_t now)
{
	uint32_t left = g->n_waiting;
	struct session *next;
	struct db_member *d;
	struct session *s;

	for (s = TAILQ_FIRST(&g->waiting); s && left > 0; s = next) {
		left--;
		next = TAILQ_NEXT(s, queue_entry);
		if (s->stream && remote_server_is_overdue(s, now)) {
			dequeue(s);
			remote_server_refuse(s, s->exec.last_refusal, 0);
			continue;
		}
		if (s->exec.retry_at > now ||
		    meets_target(s, now) != is_on_time)
			continue;
		dequeue(s);
		d = slots_of(s);
		if (d && !is_on_time && d->late.refuses) {
			refuse_overloaded(s);
			continue;
		}
		if (!try_start(s, now)) {
			enqueue(s);
			if (d && !is_on_time && !conn_pool_has_free_slot(d))
				late_queue_on_waiting(&d->late);
		} else if (d && is_on_time) {
			late_queue_on_passed(&d->late, d->slots);
		} else if (d) {
			late_queue_on_room(&d->late);
		}
	}
}

/* Notes which databases have room after the statements that are on time. */
static void note_room(struct db_group *g)
{
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		if (g->db[i].present && conn_pool_has_free_slot(&g->db[i]))
			late_queue_on_room(&g->db[i].late);
	}
}

/*
 * Returns the database whose slots the statement waits for at this VM; NULL if
 * it may go to several.
 */
static struct db_member *slots_of(const struct session *s)
{
	struct db_group *g = s->group;

	if (s->stream)
		return &g->db[s->exec.db];
	if (s->exec.needs_primary && g->primary != DB_NONE)
		return &g->db[g->primary];
	return NULL;
}

/* Refuses a statement that waits for slots that others take. */
static void refuse_overloaded(struct session *s)
{
	const struct db_member *d = slots_of(s);

	if (s->stream)
		remote_server_refuse_overloaded(s);
	else
		session_refuse_overloaded(
			s, d->latency * (usec_t)db_member_load(d) /
				   (usec_t)(d->slots ? d->slots : 1));
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
	if (s->exec.stage == EXEC_QUEUED)
		dequeue(s);
	if (s->remote)
		remote_client_release(s);
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

	/* A transaction that waits for a slot may lose its connection. */
	if (t->stage == EXEC_QUEUED)
		dequeue(s);
	if (s->stream) {
		remote_server_on_not_run(s, code);
		return;
	}
	if (code != REPLY_ERR_NONE)
		t->last_refusal = code;
	t->attempts++;
	log_event(EV_STATEMENT_AGAIN,
		  "id=%s service=%s database=%s via=%s code=%s attempts=%u",
		  t->id, g->service,
		  t->db < DB_GROUP_MEMBERS_MAX ? g->db[t->db].id : "-",
		  t->via ? t->via : "-", s->proxy->protocol->code_name(code),
		  t->attempts);
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
	t->stage = EXEC_STARTING;
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
	if (s->exec.stage != EXEC_CONNECTING)
		backend_release(b);
	else if (db_member_may_execute(b->db, s, proxy_now()))
		backend_run(b, s);
	else
		dispatch_return_evacuated(s);
}

/*
 * Returns true if a database is left that has not refused the statement, the
 * one that it was last sent to included, and is not known to lag.
 */
bool dispatch_has_choice(const struct session *s)
{
	const struct db_group *g = s->group;
	uint32_t refused = s->exec.tried_mask;
	usec_t now = proxy_now();
	uint32_t i;

	if (s->exec.db < DB_GROUP_MEMBERS_MAX)
		refused |= 1U << s->exec.db;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		if (is_usable(&g->db[i], now) && !(refused & (1U << i)) &&
		    (i == g->primary || now >= g->db[i].behind_until) &&
		    placement_allows_db(s, &g->db[i]))
			return true;
	}
	return false;
}

/* Queues a statement that has to wait for its database. */
void dispatch_requeue(struct session *s)
{
	enqueue(s);
}

/* Takes the connection or stream from a session. */
void dispatch_release(struct session *s)
{
	if (s->backend)
		backend_release(s->backend);
	if (s->remote)
		remote_client_release(s);
}

/*
 * Starts the statement if a database and a connection are available. Returns
 * false if it has to wait.
 */
static bool try_start(struct session *s, usec_t now)
{
	struct db_group *g = s->group;
	struct stmt_exec *t = &s->exec;
	struct db_member *d;
	const char *owner;
	uint32_t db;

	if (s->backend && s->tx_at_database)
		return continue_transaction(s, now);
	if (s->stream)
		return try_start_served(s, now);
	if (!placement_has_db(s, now)) {
		refuse_outside_regions(s);
		return true;
	}
	switch (db_group_check_statement(g, t->needs_primary, now)) {
	case EVACUATION_WAIT:
		dispatch_wait_for_hand_over(s, now);
		return false;
	case EVACUATION_REFUSE:
		dispatch_refuse_evacuated(s);
		return true;
	default:
		break;
	}
	t->has_after = false;
	db = t->needs_primary || s->consistency == READ_PRIMARY ||
			     (is_lagging_everywhere(t) &&
			      !has_evacuated_primary(g, now))
		     ? g->primary
		     : choose_database(s, now);
	if (db == DB_NONE) {
		/* Asks for the primary if none is known. */
		(void)db_group_primary_is_usable(g, now);
		return false;
	}
	d = &g->db[db];
	if (!is_usable(d, now) || (t->tried_mask & (1U << db)) ||
	    !placement_allows_db(s, d))
		return false;
	owner = db_member_owner(d);
	if (owner && placement_allows_peer(s, owner) &&
	    remote_client_start(s, db, owner))
		return true;
	if (!t->needs_primary)
		db_group_proof_refresh_position(g, now);
	if (t->needs_primary || !set_min_position(s))
		return start_at_primary(s, now);
	/* A primary with a valid proof has every position: none is sent. */
	t->has_after = db != g->primary || !db_group_primary_is_usable(g, now);
	return start_at(s, db);
}

/*
 * Refuses a statement that no database can run in the regions of its route and
 * team.
 */
static void refuse_outside_regions(struct session *s)
{
	session_send_error(s, s->in_tx ? REPLY_ERR_ABORTED : REPLY_ERR_BUSY,
			   "no database in a region of its route and team, "
			   "not run, retry after 1000 ms");
}

/*
 * Starts a statement at the primary, which has what every statement needs, if
 * that is in a region that is allowed.
 */
static bool start_at_primary(struct session *s, usec_t now)
{
	struct db_group *g = s->group;

	if (!db_group_primary_is_usable(g, now) ||
	    !is_usable(&g->db[g->primary], now) ||
	    !placement_allows_db(s, &g->db[g->primary]))
		return false;
	return start_at(s, g->primary);
}

/*
 * Starts a statement of another VM at the database that this VM chose for it,
 * or gives it back if it can't be executed there.
 */
static bool try_start_served(struct session *s, usec_t now)
{
	struct db_group *g = s->group;
	struct stmt_exec *t = &s->exec;
	struct db_member *d = &g->db[t->db];
	bool is_primary = t->db == g->primary;

	t->has_after = false;
	if (db_member_is_evacuated(d, now)) {
		remote_server_refuse_evacuated(s);
		return true;
	}
	if (!is_usable(d, now)) {
		remote_server_refuse(s, REPLY_ERR_WRONG_DATABASE, 0);
		return true;
	}
	if (!t->needs_primary && db_member_is_silent(d, now)) {
		remote_server_refuse(s, REPLY_ERR_NONE, 0);
		return true;
	}
	if (placement_is_cold(d, now) && db_member_owner(d)) {
		remote_server_refuse(s, REPLY_ERR_WRONG_DATABASE, 0);
		return true;
	}
	if (!t->needs_primary) {
		db_group_proof_refresh_position(g, now);
		t->has_after = set_min_position(s);
	}
	if (t->has_after && is_primary && db_group_primary_is_usable(g, now))
		t->has_after = false;
	if (!is_primary && t->needs_primary && g->primary != DB_NONE) {
		remote_server_refuse_not_primary(s);
		return true;
	}
	if (!is_primary && !t->needs_primary &&
	    (t->has_after ? is_known_behind(d, t->after, now)
			  : now - t->arrived_at > POSITION_WAIT_US)) {
		remote_server_refuse(s, REPLY_ERR_LAGGING, 0);
		return true;
	}
	if (!t->has_after &&
	    (!is_primary || !db_group_primary_is_usable(g, now)))
		return false;
	return start_at(s, t->db);
}

/*
 * True if the statement waits for a slot of the database chosen for it, and is
 * not expected to get one before it is given back.
 */
static bool is_too_late(const struct session *s, usec_t now)
{
	const struct db_member *d = &s->group->db[s->exec.db];
	usec_t time_left = s->exec.deadline - now;
	struct queue_wait q = {
		.slots = d->slots,
		.running = d->running,
		.service = d->latency,
	};

	if (placement_is_cold(d, now))
		return placement_cold_wait(d, count_ahead(s, false, now), now) >
		       time_left;
	if (conn_pool_has_free_slot(d))
		return false;
	if (d->late.refuses && !meets_target(s, now))
		return true;
	q.ahead = count_ahead(s, true, now);
	return queue_wait_is_too_long(&q, time_left);
}

/*
 * Counts the forwarded statements that wait for the same database and go before
 * this one: all, or only those that can still meet their latency target.
 */
static uint32_t count_ahead(const struct session *s, bool only_on_time,
			    usec_t now)
{
	const struct session *at;
	uint32_t n = 0;

	TAILQ_FOREACH(at, &s->group->waiting, queue_entry)
	{
		if (goes_before(s, at))
			break;
		n += at->stream && at->exec.db == s->exec.db &&
		     (!only_on_time || meets_target(at, now));
	}
	return n;
}

/* Describes the session's statement for its place in the queue. */
static struct queue_order order_of(const struct session *s)
{
	return (struct queue_order){
		.is_in_tx = s->tx_at_database,
		.priority = s->priority,
		.latency_target_ms = s->latency_target_ms,
		.began_at = s->in_tx ? s->exec.began_at : s->operation_began_at,
	};
}

/* True if the statement can still meet its route's latency target. */
static bool meets_target(const struct session *s, usec_t now)
{
	const struct queue_order q = order_of(s);
	uint32_t db = s->exec.db;
	usec_t work = db < DB_GROUP_MEMBERS_MAX ? s->group->db[db].latency : 0;

	return queue_order_is_on_time(&q, work, now);
}

/* True if several databases lacked the position that the read needs. */
static bool is_lagging_everywhere(const struct stmt_exec *t)
{
	return t->last_refusal == REPLY_ERR_LAGGING &&
	       t->attempts >= LAGGING_TRIES_MAX;
}

/* True if the database reported an earlier position a moment ago. */
static bool is_known_behind(const struct db_member *d, struct log_pos after,
			    usec_t now)
{
	return log_pos_cmp(d->position, after) < 0 &&
	       now - d->last_seen_at < POSITION_AGE_MAX_US;
}

/* True if the group's primary is known and in an evacuated domain. */
static bool has_evacuated_primary(const struct db_group *g, usec_t now)
{
	return g->primary != DB_NONE &&
	       db_member_is_evacuated(&g->db[g->primary], now);
}

/* Executes the next statement of a transaction once a slot is free. */
static bool continue_transaction(struct session *s, usec_t now)
{
	if (!db_member_may_execute(s->backend->db, s, now)) {
		dispatch_return_evacuated(s);
		return true;
	}
	if (placement_is_cold(s->backend->db, now) &&
	    db_member_owner(s->backend->db)) {
		dispatch_return_cold(s);
		return true;
	}
	if (!conn_pool_has_free_slot(s->backend->db) ||
	    !placement_take_cold(s->backend->db, now))
		return false;
	backend_run(s->backend, s);
	return true;
}

/*
 * Executes the statement at this database if a slot and a connection are free.
 */
static bool start_at(struct session *s, uint32_t db)
{
	struct db_member *d = &s->group->db[db];
	enum load_balance_conn way;
	struct backend *b;

	if (!conn_pool_has_free_slot(d))
		return false;
	way = conn_pool_availability(d, s);
	if (way == LOAD_BALANCE_CONN_NONE)
		return false;
	if (!placement_take_cold(d, proxy_now()))
		return refuse_cold_read(s, d);
	s->exec.db = db;
	if (!s->stream)
		s->exec.via = NULL;
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

/*
 * A read that another VM forwarded to a cold database goes back, as it may find
 * another one; what only this one can run waits. Returns true if it was given
 * back.
 */
static bool refuse_cold_read(struct session *s, struct db_member *d)
{
	if (!s->stream || s->exec.needs_primary || s->exec.has_no_choice ||
	    s->tx_at_database)
		return false;
	d->cold_retry_at = proxy_now() + COLD_RETRY_US;
	remote_server_refuse(s, REPLY_ERR_BUSY, DONE_COLD);
	return true;
}

/* Chooses the database for a read. */
static uint32_t choose_database(struct session *s, usec_t now)
{
	struct db_group *g = s->group;
	struct load_balance_db view[DB_GROUP_MEMBERS_MAX] = { 0 };
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		struct db_member *d = &g->db[i];

		/* A replica that lacked a position costs a round trip. */
		if (i != g->primary && now < d->behind_until)
			continue;
		if (is_usable(d, now) && !db_member_is_silent(d, now) &&
		    !placement_is_exhausted(d, now) &&
		    placement_allows_db(s, d) &&
		    !(s->exec.tried_mask & (1U << i)))
			view_database(s, d, now, &view[i]);
	}
	return load_balance_pick(view, DB_GROUP_MEMBERS_MAX,
				 &s->proxy->policy.costs,
				 proxy_random(s->proxy));
}

/*
 * Describes a database for the choice. One whose connections another VM owns is
 * always available there, and busy as that VM last reported.
 */
static void view_database(struct session *s, struct db_member *d, usec_t now,
			  struct load_balance_db *out)
{
	const struct session_commit own = session_own_commit(s);
	const char *domain = s->proxy->kernel->settings.domain;
	uint32_t load = d->n_remote;

	*out = (struct load_balance_db){
		.usable = true,
		.primary = (uint32_t)(d - s->group->db) == s->group->primary,
		.local = strcmp(d->domain, domain) == 0,
		.slots = d->slots,
		.latency = d->latency,
		.conn = LOAD_BALANCE_CONN_IDLE,
		.behind = now < d->behind_until ||
			  (own.has_position && now - own.at < COMMIT_LAG_US &&
			   log_pos_cmp(d->position, own.position) < 0),
	};
	if (!db_member_owner(d)) {
		out->running = db_member_load(d);
		out->conn = conn_pool_has_free_slot(d)
				    ? conn_pool_availability(d, s)
				    : LOAD_BALANCE_CONN_NONE;
		return;
	}
	if (now - d->remote_load_at < REMOTE_LOAD_AGE_MAX_US &&
	    d->remote_load > load)
		load = d->remote_load;
	out->running = load;
}

/*
 * Computes the lowest log position that a read has to see, from the staleness
 * bound of its route and the session's own commits. Returns false if no
 * position is known.
 */
static bool set_min_position(struct session *s)
{
	const struct session_commit own = session_own_commit(s);
	struct stmt_exec *t = &s->exec;
	usec_t age = session_commit_bound(
		&own, t->began_at, (usec_t)s->max_staleness_ms * USEC_PER_MSEC);

	if (s->consistency == READ_PRIMARY ||
	    !primary_proof_position_after(&s->group->proof, t->began_at - age,
					  &t->after))
		return false;
	if (own.has_position && log_pos_cmp(own.position, t->after) > 0)
		t->after = own.position;
	return true;
}

/* True if statements may be sent to the database now. */
static bool is_usable(const struct db_member *db, usec_t now)
{
	return db->present && !db->departing && now >= db->retry_at &&
	       !db_member_is_evacuated(db, now);
}

/* Adds the session to its group's queue. */
static void enqueue(struct session *s)
{
	struct db_group *g = s->group;
	struct session *at;

	s->exec.stage = EXEC_QUEUED;
	g->n_waiting++;
	if (s->stream)
		g->db[s->exec.db].n_queued++;
	TAILQ_FOREACH_REVERSE(at, &g->waiting, session_list, queue_entry)
	{
		if (!goes_before(s, at)) {
			TAILQ_INSERT_AFTER(&g->waiting, at, s, queue_entry);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&g->waiting, s, queue_entry);
}

/* Takes the session from its group's queue. */
static void dequeue(struct session *s)
{
	struct db_group *g = s->group;

	s->exec.stage = EXEC_STARTING;
	TAILQ_REMOVE(&g->waiting, s, queue_entry);
	g->n_waiting--;
	if (s->stream)
		g->db[s->exec.db].n_queued--;
}

/* True if session "a" is served before "b". */
static bool goes_before(const struct session *a, const struct session *b)
{
	const struct queue_order first = order_of(a);
	const struct queue_order second = order_of(b);

	return queue_order_goes_before(&first, &second);
}
