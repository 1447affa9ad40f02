#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/proxy_own.h"

/* A position older than this says little about a replica now. */
#define POSITION_FRESH_US (50 * USEC_PER_MSEC)
/* Pause before databases that refused a statement are asked again. */
#define ROUND_PAUSE_US (20 * USEC_PER_MSEC)

static bool place(struct session *s, usec_t now);
static bool place_at(struct session *s, uint32_t db);
static uint32_t choose(struct session *s, usec_t now);
static bool want_position(struct session *s);
static bool usable(const struct pdb *db, usec_t now);
static void enqueue(struct session *s);
static bool before(const struct session *a, const struct session *b);

/* Sends the session's statement on its way, at once or when it can. */
void dispatch_start(struct session *s)
{
	usec_t now = proxy_now();

	s->group->used_at = now;
	if (s->task.at_primary) {
		s->group->wanted_at = now;
		proofs_refresh(s->group, now);
	}
	s->task.stage = TASK_WAITING;
	if (s->held && s->tx_begun) {
		backend_run(s->held, s);
		return;
	}
	/* Who waits already goes first, if it may use what this one may. */
	if (place(s, now))
		return;
	if (s->task.at_primary && cluster_hopeless(s->group, now))
		session_refuse(s, s->tx ? REFUSE_ABORTED : REFUSE_BUSY,
			       "no primary can be used, not run, retry after "
			       "1000 ms");
	else
		enqueue(s);
}

/* Gives those that wait what has become free, in their order. */
void dispatch_pump(struct pgroup *g)
{
	usec_t now = proxy_now();
	struct session *next;
	struct session *s;

	if (g->pumping)
		return;
	g->pumping = true;
	for (s = TAILQ_FIRST(&g->waiting); s; s = next) {
		next = TAILQ_NEXT(s, wait);
		if (s->task.retry_at > now)
			continue;
		TAILQ_REMOVE(&g->waiting, s, wait);
		g->n_waiting--;
		if (!place(s, now))
			enqueue(s);
	}
	g->pumping = false;
}

/* The session needs its statement no more; one that runs is let run out. */
void dispatch_cancel(struct session *s)
{
	struct backend *b = s->held;

	if (s->task.stage == TASK_ADMITTING)
		limits_cancel(s->proxy->limits, s);
	if (s->task.stage == TASK_WAITING) {
		TAILQ_REMOVE(&s->group->waiting, s, wait);
		s->group->n_waiting--;
	}
	if (b &&
	    (s->task.stage == TASK_OPENING || b->state == BACKEND_CONNECTING ||
	     b->state == BACKEND_STARTING)) {
		b->holder = NULL;
		s->held = NULL;
	} else if (b) {
		backend_release(b);
	}
	s->task.stage = TASK_NONE;
}

/*
 * The statement was surely not run where it was sent, or not sent at all, and
 * may be tried elsewhere. One inside a transaction that has already run
 * something can't be.
 */
void dispatch_again(struct session *s, enum refusal_code code)
{
	struct pgroup *g = s->group;
	struct task *t = &s->task;
	usec_t now = proxy_now();

	if (code != REFUSE_NONE)
		t->last = code;
	t->attempts++;
	log_event(EV_STATEMENT_AGAIN,
		  "id=%s service=%s database=%s code=%s attempts=%u", t->id,
		  g->service, t->db < GROUP_DBS_MAX ? g->db[t->db].id : "-",
		  s->proxy->protocol->code_name(code), t->attempts);
	counter_add(CTR_RETRIES, 1);
	if (s->tx && s->tx_ran) {
		session_ended(s, END_REFUSED, REFUSE_ABORTED, NULL, NULL);
		return;
	}
	s->tx_begun = false;
	if (t->db < GROUP_DBS_MAX)
		t->tried |= 1U << t->db;
	if (code == REFUSE_BUSY && t->db < GROUP_DBS_MAX)
		pool_busy(&g->db[t->db]);
	if (code == REFUSE_READ_ONLY && t->db == g->primary)
		cluster_doubt(g, now);
	if (code == REFUSE_WRONG_DATABASE)
		registry_hurry(s->proxy->registry, now);
	t->stage = TASK_WAITING;
	if (!place(s, now)) {
		t->tried = 0;
		t->retry_at = now + ROUND_PAUSE_US;
		enqueue(s);
	}
}

/* The connection opened for this session is there. */
void dispatch_ready(struct session *s, struct backend *b)
{
	if (s->task.stage == TASK_OPENING) {
		backend_run(b, s);
		return;
	}
	backend_release(b);
}

/* Finds a database and a connection; false if the statement has to wait. */
static bool place(struct session *s, usec_t now)
{
	struct pgroup *g = s->group;
	struct task *t = &s->task;
	uint32_t db;

	t->has_after = false;
	if (t->at_primary) {
		if (g->held || !cluster_primary_usable(g, now) ||
		    !usable(&g->db[g->primary], now) ||
		    (t->tried & (1U << g->primary)))
			return false;
		return place_at(s, g->primary);
	}
	proofs_position(g, now);
	if (!want_position(s)) {
		/* Only the primary surely has what the session may ask for. */
		if (g->held || !cluster_primary_usable(g, now) ||
		    !usable(&g->db[g->primary], now))
			return false;
		return place_at(s, g->primary);
	}
	db = choose(s, now);
	if (db == DB_NONE)
		return false;
	/* The primary that surely leads lacks nothing. */
	t->has_after = db != g->primary || !cluster_primary_usable(g, now);
	return place_at(s, db);
}

/* Runs the statement there, if a connection can be had. */
static bool place_at(struct session *s, uint32_t db)
{
	struct pdb *d = &s->group->db[db];
	enum place_way way = pool_way(d, s);
	struct backend *b;

	if (way == PLACE_NONE)
		return false;
	s->task.db = db;
	b = pool_take(d, s, way);
	if (!b)
		return false;
	if (way == PLACE_IDLE) {
		backend_run(b, s);
		return true;
	}
	b->holder = s;
	s->held = b;
	s->task.stage = TASK_OPENING;
	return true;
}

/* Chooses among all databases for a read. */
static uint32_t choose(struct session *s, usec_t now)
{
	struct pgroup *g = s->group;
	struct place_db view[GROUP_DBS_MAX] = { 0 };
	const char *domain = s->proxy->kernel->settings.domain;
	uint32_t i;

	for (i = 0; i < GROUP_DBS_MAX; i++) {
		struct pdb *d = &g->db[i];

		if (!usable(d, now) || (s->task.tried & (1U << i)))
			continue;
		view[i] = (struct place_db){
			.usable = true,
			.primary = i == g->primary,
			.local = strcmp(d->domain, domain) == 0,
			.way = pool_way(d, s),
			.running = d->running,
			.slots = d->slots,
			.latency = d->latency,
			.behind = log_pos_cmp(d->at, s->task.after) < 0 &&
				  now - d->heard_at < POSITION_FRESH_US,
		};
	}
	return place_read(view, GROUP_DBS_MAX, &s->proxy->policy.costs,
			  proxy_random(s->proxy));
}

/*
 * Works out the position that a read must see at the least, by the age that
 * its route allows and the session's own commits. False if none is known.
 */
static bool want_position(struct session *s)
{
	struct task *t = &s->task;
	usec_t age = (usec_t)s->staleness_ms * USEC_PER_MSEC;

	if (s->freshness == READ_PRIMARY ||
	    !lead_position(&s->group->lead, t->began_at - age, &t->after))
		return false;
	if (s->freshness == READ_OWN &&
	    strcmp(s->committed_in, s->group->service) == 0 &&
	    log_pos_cmp(s->committed, t->after) > 0)
		t->after = s->committed;
	return true;
}

/* May a statement be sent there now? */
static bool usable(const struct pdb *db, usec_t now)
{
	return db->present && !db->departing && now >= db->retry_at;
}

/* Puts the session into its group's queue, by priority and age. */
static void enqueue(struct session *s)
{
	struct pgroup *g = s->group;
	struct session *at;

	g->n_waiting++;
	TAILQ_FOREACH_REVERSE(at, &g->waiting, session_list, wait)
	{
		if (!before(s, at)) {
			TAILQ_INSERT_AFTER(&g->waiting, at, s, wait);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&g->waiting, s, wait);
}

static bool before(const struct session *a, const struct session *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->task.began_at < b->task.began_at;
}
