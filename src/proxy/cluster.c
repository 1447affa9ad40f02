#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "proxy/proxy_own.h"

/* Statements have been waiting for the primary if one was this lately. */
#define UNUSABLE_GAP_US (300 * USEC_PER_MSEC)
/* A change of primaries: silence, guard and promotion, up to a second each
 * at the users' databases. */
#define FAILOVER_MAX_US (3 * USEC_PER_SEC)
/* Least pause between two questions to one database. */
#define PROBE_INTERVAL_MIN_US (100 * USEC_PER_MSEC)
/*
 * A database that joined a group or started again may have missed a pause that
 * the others took: it proves nothing until any promotion of that pause is over.
 */
#define TRUST_DELAY_US (5 * USEC_PER_SEC)
/* Expected work of a database that has answered nothing yet. */
#define LATENCY_INITIAL_US (20 * USEC_PER_MSEC)

static struct pgroup *group_create(struct proxy *p, const char *service);
static void apply_database(struct pgroup *g, const struct registry_db *r);
static bool is_listed(const struct pdb *d, const struct registry_db *db,
		      uint32_t n);
static void remove_db(struct pdb *db, const char *why);
static void on_status(void *ctx, struct pdb *db, bool ok,
		      const struct db_report *report, usec_t asked_at);
static void tick_db(struct pdb *db, usec_t now);
static uint32_t member_index(const struct pdb *db);

/* Finds a service's group; NULL if the configuration has none. */
struct pgroup *cluster_group(struct proxy *p, const char *service)
{
	uint32_t i;

	for (i = 0; i < p->n_groups; i++) {
		if (strcmp(p->groups[i]->service, service) == 0)
			return p->groups[i];
	}
	return NULL;
}

/*
 * Brings a new catalogue into force: groups, limits of teams. Tells whether
 * there are services that were not known.
 */
bool cluster_apply_catalog(struct proxy *p, usec_t now)
{
	const struct catalog *c = p->catalog;
	uint32_t known = p->n_groups;
	struct pgroup *g;
	uint32_t i;

	for (i = 0; i < c->n_services; i++) {
		g = cluster_group(p, c->services[i].name);
		if (!g)
			g = group_create(p, c->services[i].name);
		if (g)
			g->max_connections = c->services[i].max_connections;
	}
	for (i = 0; i < c->n_teams; i++) {
		if (!quota_limit(p->quota, c->teams[i].name,
				 c->teams[i].rate_per_s, c->teams[i].burst,
				 now))
			log_event(EV_CONFIG_REFUSED,
				  "team=%s reason=\"no room for its limit\"",
				  c->teams[i].name);
	}
	return p->n_groups > known;
}

/*
 * Takes in the list of databases, asked for at "asked_at". Where many are
 * missing they are kept for a while; returns when another list will tell
 * whether they have left, else 0.
 */
usec_t cluster_apply_databases(struct proxy *p, const struct registry_db *db,
			       uint32_t n, usec_t asked_at)
{
	uint32_t missing = 0;
	uint32_t known = 0;
	uint32_t i;
	uint32_t j;
	bool left;

	for (i = 0; i < n; i++) {
		struct pgroup *g = cluster_group(p, db[i].service);

		if (g)
			apply_database(g, &db[i]);
	}
	for (i = 0; i < p->n_groups; i++) {
		for (j = 0; j < GROUP_DBS_MAX; j++) {
			struct pdb *d = &p->groups[i]->db[j];

			if (!d->present)
				continue;
			d->listed = is_listed(d, db, n);
			known += !d->departing;
			missing += !d->listed && !d->departing;
		}
	}
	left = absence_left(&p->absence, known, missing, asked_at,
			    BACK_WITHIN_US);
	for (i = 0; i < p->n_groups; i++) {
		for (j = 0; j < GROUP_DBS_MAX; j++) {
			struct pdb *d = &p->groups[i]->db[j];

			if (d->present && !d->listed && (left || d->departing))
				remove_db(d, "left the registry");
		}
	}
	for (i = 0; i < p->n_groups; i++)
		dispatch_pump(p->groups[i]);
	return left ? 0 : p->absence.since + BACK_WITHIN_US;
}

static bool is_listed(const struct pdb *d, const struct registry_db *db,
		      uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(db[i].id, d->id) == 0 &&
		    strcmp(db[i].service, d->group->service) == 0)
			return true;
	}
	return false;
}

/* Does what time brings: overdue replies, proofs, promotions, the queue. */
void cluster_tick(struct proxy *p, usec_t now)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < p->n_groups; i++) {
		struct pgroup *g = p->groups[i];

		for (j = 0; j < GROUP_DBS_MAX; j++)
			tick_db(&g->db[j], now);
		proofs_refresh(g, now);
		failover_tick(g, now);
		if (g->n_waiting > 0)
			dispatch_pump(g);
	}
}

/* A database answered something asked at "asked_at"; its log is at "at". */
void cluster_heard(struct pdb *db, usec_t asked_at, const struct log_pos *at)
{
	struct pgroup *g = db->group;

	if (!at)
		return;
	db->position = *at;
	if (member_index(db) != g->primary) {
		if (proxy_now() >= db->trusted_from)
			lead_followed(&g->lead, *at);
		return;
	}
	if (lead_holds(&g->lead, asked_at, g->proxy->policy.guard))
		lead_sample(&g->lead, asked_at, *at);
}

/* A database leads the group from now on, in this term. */
void cluster_lead(struct pgroup *g, uint32_t db, uint64_t term,
		  const char *source)
{
	usec_t now = proxy_now();
	uint32_t i;

	if (g->primary == db && g->lead.term == term)
		return;
	log_event(EV_PROMOTE_VIEW,
		  "service=%s database=%s term=%llu former_term=%llu source=%s",
		  g->service, g->db[db].id, (unsigned long long)term,
		  (unsigned long long)g->lead.term, source);
	if (g->lead.term != term) {
		lead_begin(&g->lead, term);
		g->promoted_here = false;
		for (i = 0; i < GROUP_DBS_MAX; i++)
			g->db[i].paused_since = 0;
	}
	g->primary = db;
	g->primary_changed_at = now;
	g->db[db].reports_primary = true;
	g->db[db].primary_term = term;
	succession_superseded(&g->succession, now);
	proofs_refresh(g, now);
	dispatch_pump(g);
}

/* Finds out anew who leads. */
void cluster_doubt(struct pgroup *g, usec_t now)
{
	uint32_t i;

	if (g->primary != DB_NONE) {
		log_event(EV_PROMOTE_SUSPECT,
			  "service=%s database=%s cause=read_only", g->service,
			  g->db[g->primary].id);
		g->db[g->primary].reports_primary = false;
	}
	g->primary = DB_NONE;
	for (i = 0; i < GROUP_DBS_MAX; i++)
		cluster_probe(&g->db[i], now);
	registry_hurry(g->proxy->registry, now);
}

/* May statements that need the primary go to it now? */
bool cluster_primary_usable(struct pgroup *g, usec_t now)
{
	if (g->primary != DB_NONE &&
	    lead_holds(&g->lead, now, g->proxy->policy.guard)) {
		g->primary_unusable_since = 0;
		return true;
	}
	if (g->primary_unusable_since == 0 ||
	    now - g->primary_unusable_at > UNUSABLE_GAP_US)
		g->primary_unusable_since = now;
	g->primary_unusable_at = now;
	if (g->primary == DB_NONE)
		return false;
	proofs_missing(g, now);
	return false;
}

/*
 * Tells whether the primary could not be used for longer than a change of
 * primaries takes. Who comes now is told so at once: what could be done about
 * it within the time of a statement has not helped.
 */
bool cluster_hopeless(const struct pgroup *g, usec_t now)
{
	return g->primary_unusable_since &&
	       now - g->primary_unusable_at <= UNUSABLE_GAP_US &&
	       now - g->primary_unusable_since > FAILOVER_MAX_US;
}

/* Asks on an idle connection, or opens one for it. */
bool cluster_ask(struct pdb *db, enum control_verb verb, uint64_t term,
		 control_fn fn, void *ctx)
{
	const struct catalog *c = db->group->proxy->catalog;
	struct backend *b = pool_any(db);

	if (!b) {
		if (!c || c->n_teams == 0 || proxy_now() < db->retry_at)
			return false;
		b = backend_open(db, c->teams[0].name);
	}
	if (!b)
		return false;
	backend_control(b, verb, term, fn, ctx);
	return true;
}

/* Is it time to ask for the status? */
bool cluster_may_probe(const struct pdb *db, usec_t now)
{
	return db->present && !db->probing &&
	       now - db->probed_at >= PROBE_INTERVAL_MIN_US;
}

/* Asks for the status, but not too often. */
void cluster_probe(struct pdb *db, usec_t now)
{
	if (!cluster_may_probe(db, now))
		return;
	db->probed_at = now;
	db->probing = cluster_ask(db, CONTROL_STATUS, 0, on_status, NULL);
}

/* The index of a database by id; DB_NONE if it is not there. */
uint32_t cluster_find(const struct pgroup *g, const char *id)
{
	uint32_t i;

	for (i = 0; i < GROUP_DBS_MAX; i++) {
		if (g->db[i].present && strcmp(g->db[i].id, id) == 0)
			return i;
	}
	return DB_NONE;
}

static struct pgroup *group_create(struct proxy *p, const char *service)
{
	struct pgroup **more;
	struct pgroup *g = calloc(1, sizeof(*g));
	uint32_t i;

	more = realloc(p->groups, (p->n_groups + 1) * sizeof(struct pgroup *));
	if (more)
		p->groups = more;
	if (!g || !more) {
		free(g);
		return NULL;
	}
	g->proxy = p;
	/* No other incarnation of this VM has asked under these. */
	g->proof_request_id = p->kernel->incarnation << 16;
	snprintf(g->service, sizeof(g->service), "%s", service);
	g->primary = DB_NONE;
	lead_init(&g->lead);
	TAILQ_INIT(&g->waiting);
	for (i = 0; i < GROUP_DBS_MAX; i++) {
		g->db[i].group = g;
		TAILQ_INIT(&g->db[i].conns);
	}
	failover_init(g);
	p->groups[p->n_groups++] = g;
	return g;
}

/* Takes in one database: a new one, or what has changed. */
static void apply_database(struct pgroup *g, const struct registry_db *r)
{
	uint32_t i = cluster_find(g, r->id);
	struct pdb *d;

	if (i != DB_NONE && (strcmp(g->db[i].address, r->address) != 0 ||
			     (r->incarnation && g->db[i].incarnation &&
			      r->incarnation != g->db[i].incarnation))) {
		remove_db(&g->db[i], "started again");
		i = DB_NONE;
	}
	if (i == DB_NONE) {
		for (i = 0; i < GROUP_DBS_MAX; i++) {
			if (!g->db[i].present && TAILQ_EMPTY(&g->db[i].conns))
				break;
		}
		if (i == GROUP_DBS_MAX) {
			log_event(EV_CONFIG_REFUSED,
				  "service=%s database=%s reason=\"group is "
				  "full\"",
				  g->service, r->id);
			return;
		}
		d = &g->db[i];
		memset(d, 0, sizeof(*d));
		d->group = g;
		TAILQ_INIT(&d->conns);
		d->present = true;
		snprintf(d->id, sizeof(d->id), "%s", r->id);
		snprintf(d->address, sizeof(d->address), "%s", r->address);
		snprintf(d->domain, sizeof(d->domain), "%s", r->domain);
		if (g->lead.term > 0)
			d->trusted_from = proxy_now() + TRUST_DELAY_US;
		d->conn_limit = UINT32_MAX;
		d->latency = LATENCY_INITIAL_US;
		log_event(EV_DB_JOINED,
			  "service=%s database=%s address=%s domain=%s "
			  "primary=%d",
			  g->service, d->id, d->address, d->domain, r->primary);
	}
	d = &g->db[i];
	if (d->departing != r->departing)
		log_event(EV_DB_DEPARTS, "service=%s database=%s departing=%d",
			  g->service, d->id, r->departing);
	d->incarnation = r->incarnation;
	d->slots = r->slots;
	d->departing = r->departing;
	d->reports_primary = r->primary;
	d->listed_primary = r->primary;
}

/* A database has left, or is another one under the same id. */
static void remove_db(struct pdb *db, const char *why)
{
	struct pgroup *g = db->group;
	struct backend *next;
	struct backend *b;

	log_event(EV_DB_LEFT, "service=%s database=%s reason=\"%s\"",
		  g->service, db->id, why);
	db->present = false;
	if (member_index(db) == g->primary)
		g->primary = DB_NONE;
	for (b = TAILQ_FIRST(&db->conns); b; b = next) {
		next = TAILQ_NEXT(b, link);
		if (b->state == BACKEND_IDLE)
			backend_close(b, why);
	}
}

/* Takes in what a database says of itself. */
static void on_status(void *ctx, struct pdb *db, bool ok,
		      const struct db_report *report, usec_t asked_at)
{
	struct pgroup *g = db->group;
	uint32_t i = member_index(db);

	(void)ctx;
	db->probing = false;
	if (!ok || !db->present)
		return;
	if (report->is_primary) {
		if (report->term > g->lead.term ||
		    (report->term == g->lead.term && g->primary == DB_NONE))
			cluster_lead(g, i, report->term, "status");
		return;
	}
	db->reports_primary = false;
	if (i == g->primary && report->term >= g->lead.term) {
		cluster_doubt(g, proxy_now());
		return;
	}
	proofs_weigh(g, proxy_now());
	if (proxy_now() < db->trusted_from)
		return;
	if (report->paused_term <= g->lead.term) {
		lead_unpaused(&g->lead, asked_at, report->term,
			      g->proxy->policy.guard);
		db->paused_since = 0;
	} else if (db->paused_since == 0) {
		db->paused_since = proxy_now();
	}
	if (report->term > g->lead.term && g->lead.term > 0)
		registry_hurry(g->proxy->registry, proxy_now());
	dispatch_pump(g);
}

/* Closes what is overdue or of no more use at one database. */
static void tick_db(struct pdb *db, usec_t now)
{
	struct backend *next;
	struct backend *b;

	for (b = TAILQ_FIRST(&db->conns); b; b = next) {
		next = TAILQ_NEXT(b, link);
		if (b->state == BACKEND_IDLE && (db->departing || !db->present))
			backend_close(b, "database leaves");
		else
			backend_tick(b, now);
	}
	if (db->present && db->reports_primary &&
	    member_index(db) != db->group->primary)
		cluster_probe(db, now);
}

static uint32_t member_index(const struct pdb *db)
{
	return (uint32_t)(db - db->group->db);
}
