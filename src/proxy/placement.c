#include "proxy/proxy_internal.h"

/*
 * Where a session's statements may run: in the regions that its route and its
 * team name (decide/homes.h), and at a cold database no more than that is made
 * for (decide/cold_limit.h).
 */

/*
 * Longest wait for a list after a connection that failed: some VM lists the
 * databases at least once a second.
 */
#define RELIST_MAX_US (1500 * USEC_PER_MSEC)

static bool awaits_list(const struct db_member *d, usec_t now);
static const char *region_of(const struct proxy *p, const char *domain);
static struct cold_limit_policy cold_policy(const struct db_member *d);

/* Returns true if the statement may run at the database. */
bool placement_allows_db(const struct session *s, const struct db_member *d)
{
	if (!s->homes.is_bound)
		return true;
	return homes_allow(&s->homes, region_of(s->proxy, d->domain));
}

/*
 * Returns true if the peer may get the statement's text. The VM to which the
 * caller connected has it anyway.
 */
bool placement_allows_peer(const struct session *s, const char *peer)
{
	const char *domain;

	if (!s->homes.is_bound)
		return true;
	domain = heartbeat_peer_domain(s->proxy->heartbeat, peer);
	return domain && homes_allow(&s->homes, region_of(s->proxy, domain));
}

/*
 * Returns true if a database in a region that is allowed may run the session's
 * statement, now or later. What needs the primary does not wait for one that
 * leads in another region, since only a failover would change that.
 */
bool placement_has_db(const struct session *s, usec_t now)
{
	const struct db_group *g = s->group;
	uint32_t i;

	if (!s->homes.is_bound)
		return true;
	if (s->exec.needs_primary && g->primary != DB_NONE &&
	    !placement_allows_db(s, &g->db[g->primary]))
		return false;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		if (d->present && !db_member_is_evacuated(d, now) &&
		    placement_allows_db(s, d))
			return true;
	}
	return false;
}

/*
 * Notes the end of the time for which a database is cold, as the list tells
 * that was requested at "listed_at". An entry is up to a check-in older than
 * the list, so the end is late rather than early.
 */
void placement_note_cold(struct db_member *d, uint32_t cold_left_ms,
			 usec_t listed_at)
{
	d->cold_until =
		cold_left_ms ? listed_at + (usec_t)cold_left_ms * USEC_PER_MSEC
			     : 0;
	if (listed_at >= d->relisted_from)
		d->relisted_from = 0;
}

/* Lets a list requested from now on tell whether the database is cold. */
void placement_on_evacuation_end(struct db_member *d, usec_t now)
{
	if (d->group->cold_milli_per_s == 0)
		return;
	d->relisted_from = now;
	d->relisted_by = 0;
	registry_poll_fast(d->group->proxy->registry, now);
}

/*
 * A database that refuses connections may be about to start, and the list from
 * before then does not tell that it is cold. If no list comes, the limit ends:
 * a store that is away may not keep it up for good.
 */
void placement_on_connect_failed(struct db_member *d, usec_t now)
{
	bool awaited = awaits_list(d, now);

	if (d->group->cold_milli_per_s == 0)
		return;
	if (!awaited)
		registry_poll_fast(d->group->proxy->registry, now);
	if (!awaited || d->relisted_by)
		d->relisted_by = now + RELIST_MAX_US;
	d->relisted_from = now;
}

/*
 * Returns true if statements to the database are limited. After an evacuation
 * or a connection that failed the list from before does not tell whether it is
 * cold, so it counts as cold.
 */
bool placement_is_cold(const struct db_member *d, usec_t now)
{
	return d->group->cold_milli_per_s &&
	       (awaits_list(d, now) || now < d->cold_until);
}

/* Returns true if the newest list does not tell whether it is cold. */
static bool awaits_list(const struct db_member *d, usec_t now)
{
	return d->relisted_from && (!d->relisted_by || now < d->relisted_by);
}

/*
 * Returns true if a read had better go elsewhere: the owner has told so lately,
 * or this VM is the owner and has just sent a statement.
 */
bool placement_is_exhausted(const struct db_member *d, usec_t now)
{
	return placement_is_cold(d, now) &&
	       (now < d->cold_retry_at ||
		(d->cold.owner_since && now < d->cold.next_at));
}

/*
 * Returns true if the session's statement, which is at the cold database "at",
 * can run at no other one: those are in other regions, gone or cold too. One
 * that can't be connected to is gone only when its entry is.
 */
bool placement_has_no_choice(const struct session *s, uint32_t at, usec_t now)
{
	const struct db_group *g = s->group;
	uint32_t i;

	if (!placement_is_cold(&g->db[at], now))
		return false;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		if (i != at && d->present && !d->departing &&
		    !db_member_is_evacuated(d, now) &&
		    !placement_is_exhausted(d, now) &&
		    placement_allows_db(s, d))
			return false;
	}
	return true;
}

/* Returns true if one statement may be sent now, and counts it. */
bool placement_take_cold(struct db_member *d, usec_t now)
{
	const struct cold_limit_policy policy = cold_policy(d);

	if (!placement_is_cold(d, now)) {
		cold_limit_set_owner(&d->cold, false, now);
		return true;
	}
	cold_limit_set_owner(&d->cold, !db_member_owner(d), now);
	return cold_limit_take(&d->cold, &policy, now);
}

/*
 * Returns how long a statement waits for the limit of a database if "ahead"
 * others go first. This VM owns the database.
 */
usec_t placement_cold_wait(const struct db_member *d, uint32_t ahead,
			   usec_t now)
{
	const struct cold_limit_policy policy = cold_policy(d);

	return cold_limit_wait(&d->cold, &policy, ahead, now);
}

/* Counts requests that are sent to a database along with a statement. */
void placement_add_cold(struct db_member *d, uint32_t n, usec_t now)
{
	const struct cold_limit_policy policy = cold_policy(d);

	if (n > 0 && placement_is_cold(d, now))
		cold_limit_add(&d->cold, &policy, n);
}

/* Returns the limit of a cold database. */
static struct cold_limit_policy cold_policy(const struct db_member *d)
{
	const struct settings *s = &d->group->proxy->kernel->settings;

	return (struct cold_limit_policy){
		.milli_per_s = d->group->cold_milli_per_s,
		.overage_milli = s->cold_overage_milli,
	};
}

/* Returns the region of a failure domain; NULL if the settings lack it. */
static const char *region_of(const struct proxy *p, const char *domain)
{
	return settings_region(&p->kernel->settings, domain);
}
