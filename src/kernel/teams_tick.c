#include <string.h>

#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/teams_own.h"

/* Shares stay good for so many keys_fresh_ms after fresh word; see below. */
#define GOOD_FOR 1
/* How often word of the fleet is taken note of. */
#define EXTEND_US (50 * (usec_t)USEC_PER_MSEC)
/* Pause between offers of a share to peers while leaving. */
#define OFFER_US (50 * (usec_t)USEC_PER_MSEC)
/* Pause between reports that are not answered. */
#define REPORT_US (200 * (usec_t)USEC_PER_MSEC)
/* Buckets opened at once to create first epochs. */
#define OPEN_AT_ONCE 16

static void extend(struct teams *t, usec_t now);
static void open_new(struct teams *t, usec_t now);
static void tick_shard(struct teams *t, struct team_shard *s, usec_t now);
static bool tick_team(struct team *team, usec_t now, struct teams_outbox *box);
static void ask_again(struct team *team, usec_t now, struct teams_outbox *box);
static void report_again(struct team *team, usec_t now,
			 struct teams_outbox *box);
static void offer(struct teams *t, struct team *team, usec_t now,
		  struct teams_outbox *box);

/*
 * Notes word of the fleet, asks again what was not answered, claims epochs,
 * and gives back when leaving. On one thread.
 */
void teams_tick(struct kernel *k, usec_t now)
{
	struct teams *t = k->teams;
	bool leaving = __atomic_load_n(&t->leaving, __ATOMIC_RELAXED);
	uint32_t i;

	if (now - t->extended_at >= EXTEND_US) {
		extend(t, now);
		open_new(t, now);
	}
	for (i = 0; i < TEAM_SHARDS; i++) {
		struct team_shard *s = &t->shards[i];

		if (leaving || __atomic_load_n(&s->busy, __ATOMIC_RELAXED) > 0)
			tick_shard(t, s, now);
	}
}

/*
 * Extends the time for which shares are good, while word of the fleet is
 * fresh and the platform's list has this VM.
 */
static void extend(struct teams *t, usec_t now)
{
	usec_t good = (usec_t)t->kernel->settings.keys_fresh_ms *
		      USEC_PER_MSEC * GOOD_FOR;
	uint32_t i;

	t->extended_at = now;
	if (fleet_freshness(t->kernel, now) == FRESH_LAPSED ||
	    !fleet_self_listed(t->kernel))
		return;
	for (i = 0; i < TEAM_SHARDS; i++) {
		struct team_shard *s = &t->shards[i];

		apr_thread_mutex_lock(s->lock);
		escrow_vm_extend(&s->vm, now, now + good);
		apr_thread_mutex_unlock(s->lock);
	}
}

/*
 * Opens buckets of teams whose first epoch this VM, first for the team by
 * rank, may have to create before there are requests; some at a time.
 */
static void open_new(struct teams *t, usec_t now)
{
	uint32_t opened = 0;
	uint32_t i;
	uint32_t j;

	if (!fleet_self_listed(t->kernel))
		return;
	for (i = 0; i < TEAM_SHARDS && opened < OPEN_AT_ONCE; i++) {
		struct team_shard *s = &t->shards[i];

		apr_thread_mutex_lock(s->lock);
		for (j = 0; j < s->n && opened < OPEN_AT_ONCE; j++) {
			struct team *team = s->teams[j];

			if (!team || !team->create_due)
				continue;
			team->create_due = false;
			if (!teams_create_due(t, team))
				continue;
			opened += teams_bucket(s, team, now) != NULL;
		}
		apr_thread_mutex_unlock(s->lock);
	}
}

/* Ticks the busy buckets of a shard. */
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
			offer(t, team, now, &box);
		if (team->bucket->busy && !tick_team(team, now, &box)) {
			team->bucket->busy = false;
			__atomic_sub_fetch(&s->busy, 1, __ATOMIC_RELAXED);
		}
	}
	apr_thread_mutex_unlock(s->lock);
	teams_flush(&box);
}

/* Ticks one bucket; false if it needs no more ticks. */
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
	    escrow_short(&b->escrow, now)) {
		teams_ask_round(team, false, now, box);
		return true;
	}
	return open > 0 || b->claim != CLAIM_NONE || b->escrow.epoch == 0 ||
	       (escrow_uncounted(&b->escrow) && b->recounter[0]);
}

/* Asks once more what is due. */
static void ask_again(struct team *team, usec_t now, struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = { 0 };
	uint64_t peer;
	uint32_t i;

	while (escrow_ask_again(&b->escrow, now, &peer, &out)) {
		for (i = 0; i < b->n_peers; i++) {
			if (b->peers[i].hash == peer)
				teams_post(box, b->peers[i].name, team->name,
					   &out);
		}
	}
}

/* Reports to the recounter once more, until it has said that it counted. */
static void report_again(struct team *team, usec_t now,
			 struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = { 0 };

	if (!escrow_uncounted(&b->escrow) || !b->recounter[0] ||
	    now < b->report_at)
		return;
	b->report_at = now + REPORT_US;
	escrow_report(&b->escrow, &out);
	teams_post(box, b->recounter, team->name, &out);
}

/* Offers what this VM holds to the next peer, which then asks for it. */
static void offer(struct teams *t, struct team *team, usec_t now,
		  struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = {
		.type = ESCROW_OFFER,
		.epoch = b->escrow.epoch,
	};

	b->escrow.leaving = true;
	if (b->escrow.share == 0 || now < b->offer_at)
		return;
	teams_refresh_peers(t, team);
	b->offer_at = now + OFFER_US;
	if (b->n_peers > 0)
		teams_post(box, b->peers[b->next_peer++ % b->n_peers].name,
			   team->name, &out);
}
