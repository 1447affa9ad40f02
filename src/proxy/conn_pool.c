#include <string.h>

#include "decide/conn_evict.h"
#include "decide/conn_share.h"
#include "proxy/proxy_internal.h"

/*
 * A connection limit that was lowered by a refusal rises by one per interval.
 */
#define CONN_LIMIT_STEP_US (250 * USEC_PER_MSEC)
/*
 * The back-off doubles with each refusal in a row up to this many. A database
 * drops connections whose peer has died only after 3 s.
 */
#define FULL_REFUSALS_MAX 4
/* Limit of connections to a database while the number of VMs is unknown. */
#define SHARE_FLEET_UNKNOWN_MAX 2
/* Limit of connections being opened to one database at the same time. */
#define OPENING_MAX 2
/*
 * A connection that has not executed a statement yet is not evicted for another
 * team for this long.
 */
#define UNUSED_PROTECT_US (300 * USEC_PER_MSEC)
/* A VM that is no longer the owner closes its idle connections after this. */
#define TRIM_IDLE_US (500 * USEC_PER_MSEC)
/*
 * A VM that does not own a database's connections closes its last idle one as
 * well after this time: the successor of an owner that lost power needs them.
 */
#define TRIM_LAST_US (3 * USEC_PER_SEC)

static uint32_t fair_share(const struct db_member *db);
static struct backend *least_recently_used(struct db_member *db,
					   const struct session *s);
static uint32_t count_opening(const struct db_member *db);
static uint32_t count_preparing(const struct db_member *db);
static bool is_served_here(const struct db_member *db);

/*
 * Returns the idle connection of the session's team whose variables need the
 * fewest changes for the session, or NULL if there is none.
 */
struct backend *conn_pool_find_idle(struct db_member *db,
				    const struct session *s)
{
	struct backend *best = NULL;
	uint32_t least = UINT32_MAX;
	struct backend *b;
	uint32_t cost;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->state != BACKEND_IDLE || strcmp(b->team, s->team) != 0)
			continue;
		cost = strmap_count_changes(&b->vars, &s->vars);
		if (b->needs_reset || strmap_has_extra(&b->vars, &s->vars))
			cost += s->vars.n + 1;
		if (cost < least) {
			least = cost;
			best = b;
		}
	}
	return best;
}

/* Returns how a connection for the session is available at this database. */
enum load_balance_conn conn_pool_availability(struct db_member *db,
					      const struct session *s)
{
	usec_t now = proxy_now();
	uint32_t share = fair_share(db);

	if (conn_pool_find_idle(db, s))
		return LOAD_BALANCE_CONN_IDLE;
	if (db->conn_limit > share)
		db->conn_limit = share;
	while (db->conn_limit < share &&
	       now - db->conn_limit_changed_at >= CONN_LIMIT_STEP_US) {
		db->conn_limit++;
		db->conn_limit_changed_at += CONN_LIMIT_STEP_US;
	}
	if (count_opening(db) >= OPENING_MAX || now < db->open_retry_at ||
	    !connect_backoff_is_over(&db->connect_backoff, now))
		return LOAD_BALANCE_CONN_NONE;
	if (db->n_conns < db->conn_limit)
		return LOAD_BALANCE_CONN_NEW;
	return least_recently_used(db, s) ? LOAD_BALANCE_CONN_EVICT
					  : LOAD_BALANCE_CONN_NONE;
}

/*
 * Acquires a connection in the given way, or starts to open one. Returns NULL
 * if that fails.
 */
struct backend *conn_pool_acquire(struct db_member *db, const struct session *s,
				  enum load_balance_conn way)
{
	struct backend *victim;

	if (way == LOAD_BALANCE_CONN_IDLE)
		return conn_pool_find_idle(db, s);
	if (way == LOAD_BALANCE_CONN_NONE)
		return NULL;
	if (way == LOAD_BALANCE_CONN_EVICT) {
		victim = least_recently_used(db, s);
		if (!victim)
			return NULL;
		backend_close(victim, "evicted for another team");
	}
	return backend_open(db, s->team);
}

/*
 * Called when the database refused a connection as TOOMANY. Lowers this VM's
 * connection limit for a while and backs off.
 */
void conn_pool_on_full(struct db_member *db)
{
	usec_t now = proxy_now();

	db->conn_limit = db->n_conns > 2 ? db->n_conns - 1 : 1;
	db->conn_limit_changed_at = now;
	if (db->full_refusals < FULL_REFUSALS_MAX)
		db->full_refusals++;
	db->open_retry_at = now + (db->group->proxy->policy.full_backoff
				   << (db->full_refusals - 1));
}

/*
 * Called when the database had no execution slot for a statement. Delays the
 * opening of connections to it.
 */
void conn_pool_on_busy(struct db_member *db)
{
	/* An owner knows the free slots itself. */
	if (is_served_here(db))
		return;
	connect_backoff_on_busy(&db->connect_backoff, proxy_now(),
				proxy_random_unit(db->group->proxy));
}

/* Notes that a statement was answered on the connection. */
void conn_pool_on_reply(struct backend *b)
{
	b->has_served = true;
	connect_backoff_on_success(&b->db->connect_backoff);
}

/*
 * Returns true if this VM may send one more statement to the database. Its
 * owner may use all slots, another VM one. A connection that is being opened
 * occupies a slot too. One more statement may wait for its connection to be
 * brought to the session's state, so that the slot does not idle meanwhile;
 * more would find the database full, and be overtaken by later ones.
 */
bool conn_pool_has_free_slot(const struct db_member *db)
{
	uint32_t most = is_served_here(db) && db->slots ? db->slots : 1;
	uint32_t taken = db->running + count_opening(db);

	return taken < most && taken + count_preparing(db) <= most;
}

/*
 * Closes the connection that has been idle for the longest time if this VM
 * holds more than its share, because it is no longer the owner.
 */
void conn_pool_trim(struct db_member *db, usec_t now)
{
	struct backend *oldest = NULL;
	usec_t most = TRIM_IDLE_US;
	struct backend *b;

	if (db->n_conns <= fair_share(db)) {
		if (db->n_conns == 0 || is_served_here(db))
			return;
		most = TRIM_LAST_US;
	}
	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->state == BACKEND_IDLE &&
		    (!oldest || b->used_at < oldest->used_at))
			oldest = b;
	}
	if (oldest && now - oldest->used_at > most)
		backend_close(oldest, "not the owner");
}

/* Returns any idle connection, for the proxy's own requests, or NULL. */
struct backend *conn_pool_any_idle(struct db_member *db)
{
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->state == BACKEND_IDLE)
			return b;
	}
	return NULL;
}

/* Returns how many connections to the database this VM may hold. */
static uint32_t fair_share(const struct db_member *db)
{
	const struct proxy *p = db->group->proxy;
	const struct conn_share_view v = {
		.max_connections = db->group->max_connections,
		.slots = db->slots,
		.fleet_size = proxy_fleet_size(p),
		.is_owner = is_served_here(db),
	};
	uint32_t share = conn_share(&v);

	if (!p->vms_known && share > SHARE_FLEET_UNKNOWN_MAX)
		return SHARE_FLEET_UNKNOWN_MAX;
	return share;
}

/*
 * Returns the idle connection of another team that has been unused for the
 * longest time, or NULL if there is none that may be closed for the session.
 */
static struct backend *least_recently_used(struct db_member *db,
					   const struct session *s)
{
	struct conn_evict_view v = { .latency = db->latency };
	struct backend *oldest = NULL;
	usec_t now = proxy_now();
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		v.has_own |= !b->is_overdue && strcmp(b->team, s->team) == 0;
		if (!b->has_served && now - b->opened_at < UNUSED_PROTECT_US)
			continue;
		if (b->state == BACKEND_IDLE && strcmp(b->team, s->team) != 0 &&
		    (!oldest || b->used_at < oldest->used_at))
			oldest = b;
	}
	if (!oldest)
		return NULL;
	v.idle = now - oldest->used_at;
	return conn_evict_is_worthwhile(&v) ? oldest : NULL;
}

/* True if this VM owns the database's connections or works as its owner. */
static bool is_served_here(const struct db_member *db)
{
	return db_member_is_served_here((struct db_member *)db, proxy_now());
}

/* Returns the number of statements that are sent after the session's state. */
static uint32_t count_preparing(const struct db_member *db)
{
	const struct backend *b;
	uint32_t n = 0;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		n += b->state == BACKEND_BUSY && b->session &&
		     b->session->exec.stage == EXEC_PREPARING;
	}
	return n;
}

/* Returns the number of connections being opened. */
static uint32_t count_opening(const struct db_member *db)
{
	const struct backend *b;
	uint32_t n = 0;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		n += b->state == BACKEND_CONNECTING ||
		     b->state == BACKEND_STARTING;
	}
	return n;
}
