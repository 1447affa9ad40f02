#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/db_slot.h"
#include "decide/restored_list.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * Two checks that find the primary unusable belong to the same outage if they
 * are at most this far apart.
 */
#define UNUSABLE_GAP_US (300 * USEC_PER_MSEC)
/*
 * Longest duration of a failover: detection, guard and promotion take up to a
 * second each.
 */
#define FAILOVER_MAX_US (3 * USEC_PER_SEC)
/* Shortest interval between two status requests to one database. */
#define PROBE_INTERVAL_MIN_US (100 * USEC_PER_MSEC)
/*
 * A database that joined a group or restarted may have missed the PAUSE request
 * of a running failover. For this long, until that failover is over, its status
 * and log position are not used to prove that the primary is still the only one
 * (see db_group_proof.c).
 */
#define TRUST_DELAY_US (5 * USEC_PER_SEC)
/* Assumed response time of a database that has not responded yet. */
#define LATENCY_INITIAL_US (20 * USEC_PER_MSEC)
/*
 * A VM works as owner of a database for this long after a statement that was
 * forwarded to it: the VMs agree on the owner within a few heartbeats.
 */
#define SERVED_RECENTLY_US (2 * USEC_PER_SEC)
/*
 * A database that leaves requests unanswered for this long gets no more reads:
 * half the time in which statements have to end at the users' sites.
 */
#define SILENT_US (400 * USEC_PER_MSEC)

/* What was kept, while a list is partial, against what it says. */
struct held_back {
	uint32_t older;	    /* entries older than what is known */
	uint32_t departing; /* databases that depart, listed as staying */
	uint32_t absent;    /* databases that are not listed */
};

static void apply_service(struct db_group *g, const struct catalog_service *s);
static struct db_group *group_create(struct proxy *p, const char *service);
static void apply_entries(struct proxy *p, const struct registry_db *db,
			  uint32_t n, bool is_partial, struct held_back *held);
static enum restored_entry judge_entry(const struct db_group *g,
				       const struct registry_db *r);
static void apply_database(struct db_group *g, const struct registry_db *r);
static uint32_t find_free_slot(const struct db_group *g);
static void note_cold(struct proxy *p, const struct registry_db *r,
		      usec_t listed_at);
static bool is_listed(const struct db_member *d, const struct registry_db *db,
		      uint32_t n);
static void on_unlisted(struct db_member *d, usec_t now);
static void remove_db(struct db_member *db, const char *reason);
static void on_status(void *ctx, struct db_member *db, bool ok,
		      const struct db_status_report *report,
		      usec_t requested_at);
static void tick_db(struct db_member *db, usec_t now);
static void give_up_reads(struct db_member *db);
static struct backend *find_running_read(struct db_member *db);
static uint32_t member_index(const struct db_member *db);

/* Finds a service's group; NULL if the configuration has none. */
struct db_group *db_group_find(struct proxy *p, const char *service)
{
	uint32_t i;

	for (i = 0; i < p->n_groups; i++) {
		if (strcmp(p->groups[i]->service, service) == 0)
			return p->groups[i];
	}
	return NULL;
}

/*
 * Applies a new catalogue: creates groups and sets the rate limits of teams.
 * Returns true if there are new services.
 */
bool db_group_apply_catalog(struct proxy *p, usec_t now)
{
	const struct catalog *c = p->catalog;
	uint32_t known = p->n_groups;
	struct db_group *g;
	uint32_t i;

	for (i = 0; i < c->n_services; i++) {
		g = db_group_find(p, c->services[i].name);
		if (!g)
			g = group_create(p, c->services[i].name);
		if (g)
			apply_service(g, &c->services[i]);
	}
	rate_limit_begin(p->rate_limit);
	for (i = 0; i < c->n_teams; i++)
		rate_limit_keep(p->rate_limit, c->teams[i].name);
	/* Callers of public routes, if the configuration has no team. */
	if (c->n_teams == 0)
		(void)rate_limit_set(p->rate_limit, CATALOG_NO_TEAM, UINT32_MAX,
				     UINT32_MAX, now);
	for (i = 0; i < c->n_teams; i++) {
		if (!rate_limit_set(p->rate_limit, c->teams[i].name,
				    c->teams[i].rate_per_s, c->teams[i].burst,
				    now))
			log_event(EV_CONFIG_REFUSED,
				  "team=%s reason=\"too many team limits\"",
				  c->teams[i].name);
	}
	return p->n_groups > known;
}

/* Takes over what the configuration says of the databases of a service. */
static void apply_service(struct db_group *g, const struct catalog_service *s)
{
	g->max_connections = s->max_connections;
	g->sync_replicas = s->sync_replicas;
	g->cold_milli_per_s = s->cold_milli_per_s;
}

/*
 * Applies the list of databases that was requested at "requested_at". If many
 * databases are missing from it, they are kept for a while; after a restoration
 * of the platform's store, all that the list lacks or has as it was before is
 * kept. Returns when another list will tell whether they have left, or 0 if
 * none is needed.
 */
usec_t db_group_apply_databases(struct proxy *p, const struct registry_db *db,
				uint32_t n, usec_t requested_at)
{
	usec_t restored_at = registry_restored_at(p);
	bool is_partial = restored_list_is_partial(requested_at, restored_at,
						   REREGISTER_MAX_US);
	struct held_back held = { 0 };
	uint32_t missing = 0;
	uint32_t known = 0;
	uint32_t i;
	uint32_t j;
	bool left;

	apply_entries(p, db, n, is_partial, &held);
	for (i = 0; i < n; i++)
		note_cold(p, &db[i], requested_at);
	for (i = 0; i < p->n_groups; i++) {
		for (j = 0; j < DB_GROUP_MEMBERS_MAX; j++) {
			struct db_member *d = &p->groups[i]->db[j];

			if (!d->present)
				continue;
			d->listed = is_listed(d, db, n);
			held.absent += is_partial && !d->listed;
			if (d->announced_departure || d->unlisted_since)
				continue;
			known++;
			missing += !d->listed;
		}
	}
	left = member_expiry_confirmed(&p->absence, known, missing,
				       requested_at, REREGISTER_MAX_US);
	for (i = 0; i < p->n_groups; i++) {
		for (j = 0; j < DB_GROUP_MEMBERS_MAX; j++) {
			struct db_member *d = &p->groups[i]->db[j];

			if (d->present && !d->listed && !is_partial &&
			    (left || d->announced_departure))
				on_unlisted(d, proxy_now());
		}
	}
	for (i = 0; i < p->n_groups; i++)
		dispatch_waiting(p->groups[i]);
	if (held.absent + held.older + held.departing > 0) {
		log_event(EV_CONFIG_REFUSED,
			  "list=databases era=%llu kept_absent=%u "
			  "kept_newer=%u kept_departing=%u "
			  "reason=\"the store was restored\"",
			  (unsigned long long)p->store_era.era, held.absent,
			  held.older, held.departing);
		return restored_at + REREGISTER_MAX_US;
	}
	return left ? 0 : p->absence.many_missing_since + REREGISTER_MAX_US;
}

/* Applies the entries of a list; "held" counts what was kept instead. */
static void apply_entries(struct proxy *p, const struct registry_db *db,
			  uint32_t n, bool is_partial, struct held_back *held)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		struct db_group *g = db_group_find(p, db[i].service);
		enum restored_entry entry = RESTORED_ENTRY_TAKE;
		struct registry_db e = db[i];

		if (!g)
			continue;
		if (is_partial)
			entry = judge_entry(g, &e);
		held->older += entry == RESTORED_ENTRY_IGNORE;
		held->departing += entry == RESTORED_ENTRY_DEPARTS;
		e.departing |= entry == RESTORED_ENTRY_DEPARTS;
		if (entry != RESTORED_ENTRY_IGNORE)
			apply_database(g, &e);
	}
}

/* Takes over how long a listed database is cold. */
static void note_cold(struct proxy *p, const struct registry_db *r,
		      usec_t listed_at)
{
	struct db_group *g = db_group_find(p, r->service);
	uint32_t i = g ? db_group_find_member(g, r->id) : DB_NONE;

	if (i != DB_NONE && g->db[i].incarnation == r->incarnation)
		placement_note_cold(&g->db[i], r->cold_left_ms, listed_at);
}

/* Decides on an entry of a list that may be older than what is known. */
static enum restored_entry judge_entry(const struct db_group *g,
				       const struct registry_db *r)
{
	uint32_t i = db_group_find_member(g, r->id);
	const struct db_member *d;

	if (i == DB_NONE)
		return RESTORED_ENTRY_TAKE;
	d = &g->db[i];
	return restored_list_entry(
		&(struct restored_member){ .incarnation = d->incarnation,
					   .departing = d->announced_departure,
					   .has_same_address = true },
		&(struct restored_member){
			.incarnation = r->incarnation,
			.departing = r->departing,
			.has_same_address =
				strcmp(d->address, r->address) == 0 });
}

/* Tells whether a database is in the list. */
static bool is_listed(const struct db_member *d, const struct registry_db *db,
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

/*
 * Does the periodic work of all groups: overdue replies, proofs, failover and
 * the queues.
 */
void db_group_tick(struct proxy *p, usec_t now)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < p->n_groups; i++) {
		struct db_group *g = p->groups[i];

		for (j = 0; j < DB_GROUP_MEMBERS_MAX; j++)
			tick_db(&g->db[j], now);
		db_group_proof_refresh(g, now);
		failover_tick(g, now);
		if (g->n_waiting > 0)
			dispatch_waiting(g);
	}
	db_group_evacuation_tick(p, now);
}

/*
 * Notes the log position "at" that a database reported in its response to a
 * request of "requested_at"; "at" may be NULL.
 */
void db_group_note_position(struct db_member *db, usec_t requested_at,
			    const struct log_pos *at)
{
	struct db_group *g = db->group;

	if (!at)
		return;
	db->position = *at;
	if (member_index(db) != g->primary) {
		if (proxy_now() >= db->trusted_from && !db->unlisted_since &&
		    registry_list_is_current(g->proxy->registry, proxy_now()))
			primary_proof_replica_position(&g->proof, *at);
		return;
	}
	if (primary_proof_is_valid(&g->proof, requested_at,
				   g->proxy->policy.guard))
		primary_proof_sample(&g->proof, requested_at, *at);
}

/*
 * Sets the group's primary for a term. "source" is logged: it names where this
 * VM learned of the primary.
 */
void db_group_set_primary(struct db_group *g, uint32_t db, uint64_t term,
			  const char *source)
{
	usec_t now = proxy_now();
	uint32_t i;

	if (g->primary == db && g->proof.term == term)
		return;
	log_event(EV_PROMOTE_VIEW,
		  "service=%s database=%s term=%llu former_term=%llu source=%s",
		  g->service, g->db[db].id, (unsigned long long)term,
		  (unsigned long long)g->proof.term, source);
	if (g->proof.term != term) {
		if (g->proof.term > 0) {
			g->term_known_at = now;
			failover_replica_promoted(&g->db[db], term);
		}
		primary_proof_begin_term(&g->proof, term);
		g->promoted_here = false;
		for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++)
			g->db[i].paused_since = 0;
	}
	g->primary = db;
	g->primary_changed_at = now;
	g->db[db].reports_primary = true;
	g->db[db].primary_term = term;
	failover_fsm_superseded(&g->succession, now, db, term);
	db_group_proof_refresh(g, now);
	dispatch_waiting(g);
}

/*
 * Forgets the primary after it refused a write as read-only, and asks all
 * databases and the registry for the current one.
 */
void db_group_recheck_primary(struct db_group *g, usec_t now)
{
	uint32_t i;

	if (g->primary != DB_NONE) {
		log_event(EV_PROMOTE_SUSPECT,
			  "service=%s database=%s cause=read_only", g->service,
			  g->db[g->primary].id);
		g->db[g->primary].reports_primary = false;
	}
	g->primary = DB_NONE;
	if (!db_group_proof_is_local(g, now)) {
		db_group_proof_require(g, now);
		return;
	}
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++)
		db_member_probe(&g->db[i], now);
	registry_poll_fast(g->proxy->registry, now);
}

/*
 * Returns true if statements that need the primary may be sent to it now. If
 * they may not, a proof is requested.
 */
bool db_group_primary_is_usable(struct db_group *g, usec_t now)
{
	if (g->primary != DB_NONE &&
	    primary_proof_is_valid(&g->proof, now, g->proxy->policy.guard)) {
		if (g->primary_unusable_since)
			db_group_proof_log(g, now);
		g->primary_unusable_since = 0;
		return true;
	}
	if (g->primary_unusable_since == 0 ||
	    now - g->primary_unusable_at > UNUSABLE_GAP_US)
		g->primary_unusable_since = now;
	g->primary_unusable_at = now;
	db_group_proof_require(g, now);
	return false;
}

/*
 * Returns true if the primary has been unusable for longer than a failover
 * takes. New statements are then refused at once, since the primary did not
 * become usable within the time that a statement waits.
 */
bool db_group_failover_overdue(const struct db_group *g, usec_t now)
{
	return g->primary_unusable_since &&
	       now - g->primary_unusable_at <= UNUSABLE_GAP_US &&
	       now - g->primary_unusable_since > FAILOVER_MAX_US;
}

/*
 * Sends a control request on an idle connection, or opens one for it. Returns
 * false if neither is possible; fn is called once otherwise.
 */
bool db_member_send_control(struct db_member *db, enum control_verb verb,
			    uint64_t term, control_fn fn, void *ctx)
{
	const struct catalog *c = db->group->proxy->catalog;
	struct backend *b = conn_pool_any_idle(db);

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

/* Returns the VM that owns the database's connections, or NULL: this VM. */
const char *db_member_owner(struct db_member *db)
{
	const struct heartbeat *b = db->group->proxy->heartbeat;

	if (db->owner_version != heartbeat_owners_version(b) + 1) {
		db->owner = heartbeat_database_owner(b, db->id, db->domain);
		db->owner_version = heartbeat_owners_version(b) + 1;
	}
	return db->owner;
}

/*
 * Returns true if this VM owns the database's connections, or if other VMs have
 * lately taken it for the owner.
 */
bool db_member_is_served_here(struct db_member *db, usec_t now)
{
	return !db_member_owner(db) ||
	       (db->served_at && now - db->served_at < SERVED_RECENTLY_US);
}

/*
 * Returns true if nothing came from the database for a while although requests
 * are outstanding. Reads then go to other databases.
 */
bool db_member_is_silent(const struct db_member *db, usec_t now)
{
	return db->unanswered_since && now - db->unanswered_since > SILENT_US;
}

/* Returns how many statements run and wait at this VM for the database. */
uint32_t db_member_load(const struct db_member *db)
{
	return db->running + db->n_queued;
}

/* Returns true if a status request may be sent now. */
bool db_member_can_probe(const struct db_member *db, usec_t now)
{
	return db->present && !db->probing &&
	       now - db->probed_at >= PROBE_INTERVAL_MIN_US;
}

/* Requests the status, but not more often than PROBE_INTERVAL_MIN_US. */
void db_member_probe(struct db_member *db, usec_t now)
{
	if (!db_member_can_probe(db, now))
		return;
	db->probed_at = now;
	db->probing =
		db_member_send_control(db, CONTROL_STATUS, 0, on_status, NULL);
}

/* Returns the index of a database by id, or DB_NONE. */
uint32_t db_group_find_member(const struct db_group *g, const char *id)
{
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		if (g->db[i].present && strcmp(g->db[i].id, id) == 0)
			return i;
	}
	return DB_NONE;
}

/* Creates the group of a service. Returns NULL if memory is short. */
static struct db_group *group_create(struct proxy *p, const char *service)
{
	struct db_group **grown;
	struct db_group *g = calloc(1, sizeof(*g));
	uint32_t i;

	grown = realloc(p->groups,
			(p->n_groups + 1) * sizeof(struct db_group *));
	if (grown)
		p->groups = grown;
	if (!g || !grown) {
		free(g);
		return NULL;
	}
	g->proxy = p;
	/* Ids are not reused after a restart of this VM. */
	g->proof_request_id = p->kernel->incarnation << 16;
	snprintf(g->service, sizeof(g->service), "%s", service);
	g->primary = DB_NONE;
	primary_proof_init(&g->proof);
	TAILQ_INIT(&g->waiting);
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		g->db[i].group = g;
		TAILQ_INIT(&g->db[i].conns);
	}
	failover_init(g);
	g->handle = p->n_groups;
	p->groups[p->n_groups++] = g;
	return g;
}

/*
 * Adds a database of the list, or updates a known one. If the address or the
 * incarnation differs, the known database is removed and the listed one takes
 * over its id.
 */
static void apply_database(struct db_group *g, const struct registry_db *r)
{
	uint32_t i = db_group_find_member(g, r->id);
	struct db_member *d;

	if (i != DB_NONE && (strcmp(g->db[i].address, r->address) != 0 ||
			     (r->incarnation && g->db[i].incarnation &&
			      r->incarnation != g->db[i].incarnation))) {
		remove_db(&g->db[i], "restarted");
		i = DB_NONE;
	}
	if (i == DB_NONE) {
		i = find_free_slot(g);
		if (i == DB_GROUP_MEMBERS_MAX) {
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
		d->joined_at = proxy_now();
		if (g->proof.term > 0)
			d->trusted_from = proxy_now() + TRUST_DELAY_US;
		d->incarnation = r->incarnation;
		failover_replica_joined(d);
		d->conn_limit = UINT32_MAX;
		d->latency = LATENCY_INITIAL_US;
		d->deviation = LATENCY_INITIAL_US;
		log_event(EV_DB_JOINED,
			  "service=%s database=%s address=%s domain=%s "
			  "primary=%d",
			  g->service, d->id, d->address, d->domain, r->primary);
	}
	d = &g->db[i];
	if (d->departing != r->departing || d->unlisted_since)
		log_event(EV_DB_DEPARTS, "service=%s database=%s departing=%d",
			  g->service, d->id, r->departing);
	d->incarnation = r->incarnation;
	d->slots = r->slots;
	d->departing = r->departing;
	d->announced_departure = r->departing;
	d->unlisted_since = 0;
	d->reports_primary = r->primary;
	db_member_note_evacuation(d, 0, proxy_now());
}

/* Returns a place for another database, or DB_GROUP_MEMBERS_MAX. */
static uint32_t find_free_slot(const struct db_group *g)
{
	uint32_t i;

	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];
		const struct db_slot slot = {
			.is_present = d->present,
			.has_conns = !TAILQ_EMPTY(&d->conns),
			.n_queued = d->n_queued,
			.n_remote = d->n_remote,
		};

		if (db_slot_is_free(&slot))
			break;
	}
	return i;
}

/*
 * Handles a database without an entry: keeps it as a departing one or drops it.
 * See decide/unlisted_db.h.
 */
static void on_unlisted(struct db_member *d, usec_t now)
{
	struct unlisted_db u = {
		.is_departing = d->announced_departure,
		.answers = d->failures == 0 && !db_member_is_silent(d, now),
		.since = d->unlisted_since ? d->unlisted_since : now,
	};

	switch (unlisted_db_check(&u, now)) {
	case UNLISTED_DB_KEEP:
		if (d->unlisted_since)
			return;
		d->unlisted_since = now;
		d->departing = true;
		log_event(EV_DB_DEPARTS,
			  "service=%s database=%s departing=1 "
			  "reason=\"its entry lapsed, it answers\"",
			  d->group->service, d->id);
		return;
	case UNLISTED_DB_DROP_AND_WAIT:
		d->group->dropped_at = now;
		remove_db(d, "its entry lapsed");
		return;
	case UNLISTED_DB_DROP:
		remove_db(d, "left the registry");
		return;
	}
}

/*
 * Removes a database that has left or was replaced under the same id. Its busy
 * connections close later.
 */
static void remove_db(struct db_member *db, const char *reason)
{
	struct db_group *g = db->group;
	struct backend *next;
	struct backend *b;

	log_event(EV_DB_LEFT, "service=%s database=%s reason=\"%s\"",
		  g->service, db->id, reason);
	failover_replica_left(db);
	db->present = false;
	if (member_index(db) == g->primary)
		g->primary = DB_NONE;
	for (b = TAILQ_FIRST(&db->conns); b; b = next) {
		next = TAILQ_NEXT(b, link);
		if (b->state == BACKEND_IDLE)
			backend_close(b, reason);
	}
}

/* Handles the response to a status request: role, term and pause. */
static void on_status(void *ctx, struct db_member *db, bool ok,
		      const struct db_status_report *report,
		      usec_t requested_at)
{
	struct db_group *g = db->group;
	uint32_t i = member_index(db);

	(void)ctx;
	db->probing = false;
	if (!ok || !db->present)
		return;
	failover_replica_reported(db, report, requested_at);
	if (report->is_primary) {
		if (report->term > g->proof.term ||
		    (report->term == g->proof.term && g->primary == DB_NONE))
			db_group_set_primary(g, i, report->term, "status");
		return;
	}
	db->reports_primary = false;
	if (i == g->primary && report->term >= g->proof.term) {
		db_group_recheck_primary(g, proxy_now());
		return;
	}
	db_group_proof_evaluate(g, proxy_now());
	if (proxy_now() < db->trusted_from)
		return;
	if (report->paused_term <= g->proof.term) {
		if (!db->unlisted_since &&
		    registry_list_is_current(g->proxy->registry, proxy_now()))
			primary_proof_replica_unpaused(
				&g->proof, requested_at, report->term,
				proxy_now(), g->proxy->policy.guard);
		db->paused_since = 0;
	} else if (db->paused_since == 0 ||
		   db->paused_for != report->paused_term) {
		db->paused_since = proxy_now();
		db->paused_for = report->paused_term;
	}
	if (report->term > g->proof.term && g->proof.term > 0)
		registry_poll_fast(g->proxy->registry, proxy_now());
	dispatch_waiting(g);
}

/*
 * Closes connections whose replies are overdue or that are no longer needed,
 * and probes a database that is silent or reports itself as another primary.
 */
static void tick_db(struct db_member *db, usec_t now)
{
	struct backend *next;
	struct backend *b;

	for (b = TAILQ_FIRST(&db->conns); b; b = next) {
		next = TAILQ_NEXT(b, link);
		if (b->state == BACKEND_IDLE && (db->departing || !db->present))
			backend_close(b, "database is departing");
		else
			backend_tick(b, now);
	}
	backend_check_answers(db, now);
	if (db->present && db_member_is_silent(db, now)) {
		give_up_reads(db);
		db_member_probe(db, now);
	}
	if (db->present && db->unlisted_since) {
		if (db_group_proof_is_local(db->group, now))
			db_member_probe(db, now);
		on_unlisted(db, now);
	}
	conn_pool_trim(db, now);
	if (db->present && db->reports_primary &&
	    member_index(db) != db->group->primary &&
	    db_group_proof_is_local(db->group, now))
		db_member_probe(db, now);
}

/*
 * Ends the reads that a silent database has not answered, so that they are
 * tried at another one. Their connections are closed when they answer at last.
 */
static void give_up_reads(struct db_member *db)
{
	struct backend *b;

	/* The list may change whenever a session goes on. */
	while ((b = find_running_read(db))) {
		struct session *s = b->session;

		b->must_close = true;
		backend_release(b);
		session_on_result(s, RESULT_UNKNOWN, REPLY_ERR_IN_DOUBT, NULL,
				  NULL);
	}
}

/* Returns a connection on which a read outside transactions runs, or NULL. */
static struct backend *find_running_read(struct db_member *db)
{
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		const struct session *s = b->session;

		if (s && s->exec.stage == EXEC_RUNNING && !s->in_tx &&
		    !s->exec.is_write)
			return b;
	}
	return NULL;
}

/* Returns the database's index in its group. */
static uint32_t member_index(const struct db_member *db)
{
	return (uint32_t)(db - db->group->db);
}
