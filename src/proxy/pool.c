#include <string.h>

#include "proxy/proxy_own.h"

/* A limit that was lowered by a refusal rises by one after this. */
#define CONN_LIMIT_STEP_US (2 * USEC_PER_SEC)
/* The pause doubles so often at the most while refusals go on: a database
 * drops connections whose other end has died after three seconds. */
#define FULL_BACKOFF_DOUBLINGS_MAX 4
/* Connections to a database while the other VMs are not known. */
#define SHARE_FLEET_UNKNOWN_MAX 2
/* Connections being opened to one database. */
#define OPENING_MAX 2
/* A connection that has served nothing is left to its team for so long. */
#define UNUSED_PROTECT_US (300 * USEC_PER_MSEC)

static uint32_t fair_share(const struct pdb *db);
static struct backend *least_recently_used(struct pdb *db,
					   const struct session *s);
static uint32_t count_opening(const struct pdb *db);

/*
 * An idle connection of the session's team; the one that needs least to take
 * on the session's values. NULL if there is none.
 */
struct backend *pool_idle(struct pdb *db, const struct session *s)
{
	struct backend *best = NULL;
	uint32_t least = UINT32_MAX;
	struct backend *b;
	uint32_t cost;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->state != BACKEND_IDLE || strcmp(b->team, s->team) != 0)
			continue;
		cost = names_differ(&b->vars, &s->vars);
		if (b->needs_reset || names_exceed(&b->vars, &s->vars))
			cost += s->vars.n + 1;
		if (cost < least) {
			least = cost;
			best = b;
		}
	}
	return best;
}

/* How a connection for the session can be had at this database. */
enum place_way pool_way(struct pdb *db, const struct session *s)
{
	usec_t now = proxy_now();
	uint32_t share = fair_share(db);

	if (pool_idle(db, s))
		return PLACE_IDLE;
	if (db->conn_limit > share)
		db->conn_limit = share;
	while (db->conn_limit < share &&
	       now - db->conn_limit_changed_at >= CONN_LIMIT_STEP_US) {
		db->conn_limit++;
		db->conn_limit_changed_at += CONN_LIMIT_STEP_US;
	}
	if (count_opening(db) >= OPENING_MAX ||
	    !openings_allowed(&db->openings, now))
		return PLACE_NONE;
	if (db->n_conns < db->conn_limit)
		return PLACE_OPEN;
	return least_recently_used(db, s) ? PLACE_EVICT : PLACE_NONE;
}

/* Takes or begins a connection in that way; NULL if it can't be had. */
struct backend *pool_take(struct pdb *db, const struct session *s,
			  enum place_way way)
{
	struct backend *victim;

	if (way == PLACE_IDLE)
		return pool_idle(db, s);
	if (way == PLACE_NONE)
		return NULL;
	if (way == PLACE_EVICT) {
		victim = least_recently_used(db, s);
		if (!victim)
			return NULL;
		backend_close(victim, "another team needs one");
	}
	return backend_open(db, s->team);
}

/* The database has no room: this VM holds fewer for a while. */
void pool_refused(struct pdb *db)
{
	usec_t now = proxy_now();

	db->conn_limit = db->n_conns > 2 ? db->n_conns - 1 : 1;
	db->conn_limit_changed_at = now;
	if (db->full_refusals < FULL_BACKOFF_DOUBLINGS_MAX)
		db->full_refusals++;
	db->retry_at = now + (db->group->proxy->policy.full_backoff
			      << (db->full_refusals - 1));
}

/* A statement found no slot: no connections are opened for a while. */
void pool_busy(struct pdb *db)
{
	openings_busy(&db->openings, proxy_now(), proxy_draw(db->group->proxy));
}

/* A statement was answered. */
void pool_served(struct backend *b)
{
	b->has_served = true;
	openings_served(&b->db->openings);
}

/* Any idle connection, for questions of the VM's own. */
struct backend *pool_any(struct pdb *db)
{
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->state == BACKEND_IDLE)
			return b;
	}
	return NULL;
}

/* An even part of what the database takes, at least one. */
static uint32_t fair_share(const struct pdb *db)
{
	const struct proxy *p = db->group->proxy;
	uint32_t share = db->group->max_connections / proxy_fleet_size(p);

	if (!p->vms_known && share > SHARE_FLEET_UNKNOWN_MAX)
		return SHARE_FLEET_UNKNOWN_MAX;
	return share ? share : 1;
}

/* The idle connection of another team that was not used for longest. */
static struct backend *least_recently_used(struct pdb *db,
					   const struct session *s)
{
	struct backend *oldest = NULL;
	usec_t now = proxy_now();
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (!b->has_served && now - b->opened_at < UNUSED_PROTECT_US)
			continue;
		if (b->state == BACKEND_IDLE && strcmp(b->team, s->team) != 0 &&
		    (!oldest || b->used_at < oldest->used_at))
			oldest = b;
	}
	return oldest;
}

/* Connections that are being opened. */
static uint32_t count_opening(const struct pdb *db)
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
