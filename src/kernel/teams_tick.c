#include <string.h>

#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/teams_internal.h"

/* Shares are valid for this many keys_fresh_ms; see extend_validity(). */
#define VALIDITY_FACTOR 1
/* How often the validity of the shares is extended. */
#define EXTEND_INTERVAL_US (50 * (usec_t)USEC_PER_MSEC)
/* Time between offers of a share to peers while this VM drains. */
#define OFFER_INTERVAL_US (50 * (usec_t)USEC_PER_MSEC)
/* Time after which an unacknowledged report is sent again. */
#define REPORT_INTERVAL_US (200 * (usec_t)USEC_PER_MSEC)
/* Buckets opened in one tick to create first epochs. */
#define BUCKETS_OPENED_MAX 16

static void extend_validity(struct teams *t, usec_t now);
static void open_new_buckets(struct teams *t, usec_t now);
static void tick_shard(struct teams *t, struct team_shard *s, usec_t now);
static bool tick_team(struct team *team, usec_t now, struct teams_outbox *box);
static void ask_again(struct team *team, usec_t now, struct teams_outbox *box);
static void report_again(struct team *team, usec_t now,
			 struct teams_outbox *box);
static void offer_share(struct teams *t, struct team *team, usec_t now,
			struct teams_outbox *box);

/*
 * Extends the validity of shares, repeats unanswered requests, claims epochs,
 * and offers the shares to peers if this VM drains. Always called on the same
 * thread.
 */
void teams_tick(struct kernel *k, usec_t now)
{
	struct teams *t = k->teams;
	bool leaving = __atomic_load_n(&t->leaving, __ATOMIC_RELAXED);
	uint32_t i;

	if (now - t->validity_extended_at >= EXTEND_INTERVAL_US) {
		extend_validity(t, now);
		open_new_buckets(t, now);
	}
	for (i = 0; i < TEAM_SHARDS; i++) {
		struct team_shard *s = &t->shards[i];

		if (leaving ||
		    __atomic_load_n(&s->n_ticking, __ATOMIC_RELAXED) > 0)
			tick_shard(t, s, now);
	}
}

/*
 * Extends the validity of this VM's shares while its data is fresh and the
 * platform lists this VM.
 */
static void extend_validity(struct teams *t, usec_t now)
{
	usec_t validity = (usec_t)t->kernel->settings.keys_fresh_ms *
			  USEC_PER_MSEC * VALIDITY_FACTOR;
	uint32_t i;

	t->validity_extended_at = now;
	if (fleet_freshness(t->kernel, now) == FRESH_LAPSED ||
	    !fleet_self_listed(t->kernel))
		return;
	for (i = 0; i < TEAM_SHARDS; i++) {
		struct team_shard *s = &t->shards[i];

		apr_thread_mutex_lock(s->lock);
		escrow_lease_renew(&s->vm, now, now + validity);
		apr_thread_mutex_unlock(s->lock);
	}
}

/*
 * Opens buckets of teams whose first epoch this VM may have to create before
 * there are requests, because it ranks first for them. Limited to
 * BUCKETS_OPENED_MAX at a time.
 */
static void open_new_buckets(struct teams *t, usec_t now)
{
	uint32_t n_opened = 0;
	uint32_t i;
	uint32_t j;

	if (!fleet_self_listed(t->kernel))
		return;
	for (i = 0; i < TEAM_SHARDS && n_opened < BUCKETS_OPENED_MAX; i++) {
		struct team_shard *s = &t->shards[i];

		apr_thread_mutex_lock(s->lock);
		for (j = 0; j < s->n && n_opened < BUCKETS_OPENED_MAX; j++) {
			struct team *team = s->teams[j];

			if (!team || !team->create_due)
				continue;
			team->create_due = false;
			if (!teams_needs_first_epoch(t, team))
				continue;
			n_opened += teams_bucket(s, team, now) != NULL;
		}
		apr_thread_mutex_unlock(s->lock);
	}
}

/* Processes the buckets of a shard that need ticks. */
static void tick_shard(struct teams *t, struct team_shard *s, usec_t now)
{
	struct teams_outbox box = { .teams = t };
	uint32_t i;

	apr_thread_mutex_lock(s->lock);
	for (i = 0; i < s->n; i++) {
		struct team *team = s->teams[i];

		if (!team || !team->bucket)
			continue;
		if (__atomic_load_n(&t->leaving, __ATOMIC_RELAXED))
			offer_share(t, team, now, &box);
		if (team->bucket->needs_tick && !tick_team(team, now, &box)) {
			team->bucket->needs_tick = false;
			__atomic_sub_fetch(&s->n_ticking, 1, __ATOMIC_RELAXED);
		}
	}
	apr_thread_mutex_unlock(s->lock);
	teams_outbox_send(&box);
}

/* Processes one bucket; returns false if it needs no more ticks. */
static bool tick_team(struct team *team, usec_t now, struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	uint32_t open = 0;
	uint32_t i;

	ask_again(team, now, box);
	report_again(team, now, box);
	teams_claim_tick(team, now, box);
	for (i = 0; i < ESCROW_ASKS; i++)
		open += b->escrow.asks[i].id != 0;
	if (escrow_demand_per_s(&b->escrow, now) > 0 &&
	    escrow_needs_more(&b->escrow, now)) {
		teams_ask_peers(team, false, now, box);
		return true;
	}
	return open > 0 || b->claim_state != CLAIM_NONE ||
	       b->escrow.epoch == 0 ||
	       (escrow_report_pending(&b->escrow) && b->recount_vm_name[0]);
}

/* Sends again the unanswered requests that are due. */
static void ask_again(struct team *team, usec_t now, struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = { 0 };
	uint64_t peer;
	uint32_t i;

	while (escrow_retry_ask(&b->escrow, now, &peer, &out)) {
		for (i = 0; i < b->n_peers; i++) {
			if (b->peers[i].hash == peer)
				teams_outbox_add(box, b->peers[i].name,
						 team->name, &out);
		}
	}
}

/* Repeats the report for a recount until it is acknowledged. */
static void report_again(struct team *team, usec_t now,
			 struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = { 0 };

	if (!escrow_report_pending(&b->escrow) || !b->recount_vm_name[0] ||
	    now < b->next_report_at)
		return;
	b->next_report_at = now + REPORT_INTERVAL_US;
	escrow_report(&b->escrow, &out);
	teams_outbox_add(box, b->recount_vm_name, team->name, &out);
}

/* Offers this VM's share to the next peer, which then asks for it. */
static void offer_share(struct teams *t, struct team *team, usec_t now,
			struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = {
		.type = ESCROW_OFFER,
		.epoch = b->escrow.epoch,
	};

	b->escrow.draining = true;
	if (b->escrow.share == 0 || now < b->next_offer_at)
		return;
	teams_refresh_peers(t, team);
	b->next_offer_at = now + OFFER_INTERVAL_US;
	if (b->n_peers > 0)
		teams_outbox_add(box,
				 b->peers[b->next_peer++ % b->n_peers].name,
				 team->name, &out);
}
