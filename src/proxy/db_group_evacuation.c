#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * What the evacuation of failure domains means for statements, transactions and
 * connections of this VM; the rules are in decide/evacuation.h. The hand-over
 * of a primary is in failover_handover.c.
 */

/*
 * Another VM's word that a domain is evacuated counts for this long: until the
 * news itself arrives, a statement is not returned more often than five times a
 * second. If the other VM was wrong, statements wait for no longer: with 500 ms
 * they did so in trials where an evacuation was withdrawn at once.
 */
#define TOLD_US (200 * USEC_PER_MSEC)
/*
 * An idle connection that has run no statement is kept for this long, so that
 * status requests in a row need not open one each.
 */
#define CONTROL_IDLE_US (1 * USEC_PER_SEC)
/* Connection attempts that failed in a row when a database counts as down. */
#define FAILURES_MAX 2
/*
 * The store answers some VM if a read of any VM was newer: VMs that are
 * answered read the configuration at least each 1.5 s.
 */
#define STORE_READ_MAX_US (2 * USEC_PER_SEC)

static bool ends_transactions(const struct db_member *d, usec_t now);
static usec_t known_since(const struct db_member *d, usec_t now);
static bool is_outside(const struct db_member *d, usec_t now);
static bool store_answers(const struct proxy *p, usec_t now);
static void tick_database(struct db_member *d, usec_t now);
static struct backend *find_open_transaction(struct db_member *d);
static void end_remote_transactions(struct proxy *p, usec_t now);
static void log_ended(const struct session *s, const struct db_member *d,
		      usec_t now);
static bool is_open_and_idle(const struct session *s);

/*
 * Takes over which failure domains are evacuated, for all databases. The news
 * may have waited for as long as "waited", as this VM stood still.
 */
void db_group_apply_evacuations(struct proxy *p, usec_t waited, usec_t now)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < p->n_groups; i++) {
		for (j = 0; j < DB_GROUP_MEMBERS_MAX; j++) {
			struct db_member *d = &p->groups[i]->db[j];

			if (d->present)
				db_member_note_evacuation(d, waited, now);
		}
	}
	for (i = 0; i < p->n_groups; i++)
		dispatch_waiting(p->groups[i]);
}

/*
 * Notes whether a database's failure domain is evacuated, which may have become
 * known here "waited" ago, and logs changes.
 */
void db_member_note_evacuation(struct db_member *d, usec_t waited, usec_t now)
{
	struct db_group *g = d->group;
	bool was_evacuated = d->evacuated_since != 0;
	bool is_evacuated =
		registry_domain_is_evacuated(g->proxy->registry, d->domain);

	if (is_evacuated == was_evacuated)
		return;
	d->evacuated_since = is_evacuated ? now : 0;
	d->evacuation_waited = waited;
	d->evacuation_told_at = 0;
	if (!is_evacuated)
		placement_on_evacuation_end(d, now);
	log_event(EV_DB_EVACUATED,
		  "service=%s database=%s domain=%s evacuated=%d primary=%d "
		  "connections=%u",
		  g->service, d->id, d->domain, is_evacuated,
		  g->primary != DB_NONE && d == &g->db[g->primary], d->n_conns);
}

/*
 * Returns true if the database's domain is evacuated, as this VM knows or as
 * the owner of the database has just said.
 */
bool db_member_is_evacuated(const struct db_member *d, usec_t now)
{
	return known_since(d, now) != 0;
}

/*
 * Returns true if the session's next statement may be sent to the database: a
 * new statement only if its domain is not evacuated, one of a transaction that
 * is open there for a while longer.
 */
bool db_member_may_execute(const struct db_member *d, const struct session *s,
			   usec_t now)
{
	if (!s->in_tx || !s->tx_answered)
		return !db_member_is_evacuated(d, now);
	return !ends_transactions(d, now);
}

/*
 * Returns what becomes of a statement that was not sent yet, as far as
 * evacuations decide on it.
 */
enum evacuation_verdict db_group_check_statement(struct db_group *g,
						 bool needs_primary, usec_t now)
{
	struct evacuation_view v = {
		.now = now,
		.needs_primary = needs_primary,
	};
	uint32_t i;

	if (g->proxy->kernel->settings.evacuate_ms == 0)
		return EVACUATION_PROCEED;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		if (!d->present)
			continue;
		v.any_inside |= db_member_is_evacuated(d, now);
		v.any_outside |= is_outside(d, now);
	}
	if (!v.any_inside)
		return EVACUATION_PROCEED;
	if (g->primary != DB_NONE)
		v.primary_since = known_since(&g->db[g->primary], now);
	v.store_answers = store_answers(g->proxy, now);
	return evacuation_check_statement(&v);
}

/*
 * Ends the transactions that had their time at evacuated databases, while they
 * are idle, and closes idle connections to these.
 */
void db_group_evacuation_tick(struct proxy *p, usec_t now)
{
	bool any = false;
	uint32_t i;
	uint32_t j;

	if (p->kernel->settings.evacuate_ms == 0)
		return;
	for (i = 0; i < p->n_groups; i++) {
		for (j = 0; j < DB_GROUP_MEMBERS_MAX; j++) {
			struct db_member *d = &p->groups[i]->db[j];

			if (!d->present || !d->evacuated_since)
				continue;
			any = true;
			tick_database(d, now);
		}
	}
	if (any)
		end_remote_transactions(p, now);
}

/*
 * Returns true if open transactions of the database have to end. Their time
 * counts from when this VM would have known of the evacuation, had it not stood
 * still; otherwise they would go on after all statements must have stopped.
 */
static bool ends_transactions(const struct db_member *d, usec_t now)
{
	const struct settings *settings = &d->group->proxy->kernel->settings;

	return d->evacuated_since &&
	       evacuation_ends_transaction(
		       d->evacuated_since - d->evacuation_waited,
		       (usec_t)settings->evacuate_ms * USEC_PER_MSEC, now);
}

/* Returns since when the database is known to be evacuated; 0: it is not. */
static usec_t known_since(const struct db_member *d, usec_t now)
{
	if (d->evacuated_since)
		return d->evacuated_since;
	return d->evacuation_told_at && now - d->evacuation_told_at < TOLD_US
		       ? d->evacuation_told_at
		       : 0;
}

/* True if the database can serve or lead outside the evacuated domains. */
static bool is_outside(const struct db_member *d, usec_t now)
{
	return !d->departing && d->failures < FAILURES_MAX &&
	       !db_member_is_silent(d, now) && !db_member_is_evacuated(d, now);
}

/* True if the store answers this VM, or has lately answered another. */
static bool store_answers(const struct proxy *p, usec_t now)
{
	usec_t age = registry_confirm_age(p->registry, now);

	return platform_is_up(p->kernel) ||
	       (age >= 0 && age <= STORE_READ_MAX_US);
}

/*
 * Ends the transactions on this VM's connections to an evacuated database, and
 * closes connections that are idle.
 */
static void tick_database(struct db_member *d, usec_t now)
{
	struct backend *next;
	struct backend *b;

	/* The list may change whenever a transaction ends. */
	while (ends_transactions(d, now) && (b = find_open_transaction(d))) {
		struct session *s = b->session;

		log_ended(s, d, now);
		if (!s->stream)
			backend_release(b);
		session_on_backend_lost(s);
	}
	for (b = TAILQ_FIRST(&d->conns); b; b = next) {
		next = TAILQ_NEXT(b, link);
		if (b->state == BACKEND_IDLE &&
		    (b->has_served || now - b->used_at > CONTROL_IDLE_US))
			backend_close(b, "domain is evacuated");
	}
}

/* Returns a connection that an idle transaction holds, or NULL. */
static struct backend *find_open_transaction(struct db_member *d)
{
	struct backend *b;

	TAILQ_FOREACH(b, &d->conns, link)
	{
		if (b->session && is_open_and_idle(b->session))
			return b;
	}
	return NULL;
}

/*
 * Ends the transactions of this VM's callers on evacuated databases that other
 * VMs own. An owner that knows of the evacuation has ended them itself.
 */
static void end_remote_transactions(struct proxy *p, usec_t now)
{
	struct session *s;

	TAILQ_FOREACH(s, &p->sessions, entry)
	{
		const struct db_member *d;

		if (!s->remote || !is_open_and_idle(s))
			continue;
		d = remote_client_database(s);
		if (!ends_transactions(d, now))
			continue;
		log_ended(s, d, now);
		dispatch_release(s);
		session_on_backend_lost(s);
	}
}

/* Counts and logs a transaction that ends because of an evacuation. */
static void log_ended(const struct session *s, const struct db_member *d,
		      usec_t now)
{
	counter_add(CTR_EVACUATION_ABORTED, 1);
	log_event(EV_TRANSACTION_ENDED,
		  "service=%s database=%s team=%s domain=%s known_us=%lld",
		  d->group->service, d->id, s->team, d->domain,
		  (long long)(now - d->evacuated_since));
}

/* True if the session has a transaction open at a database and runs nothing. */
static bool is_open_and_idle(const struct session *s)
{
	return s->exec.stage == EXEC_NONE && s->in_tx && s->tx_at_database;
}
