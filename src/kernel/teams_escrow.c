#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/teams_internal.h"

/* Retry-After for a team that is not known here yet. */
#define RETRY_UNKNOWN_TEAM_MS 1000
/* A request that waits for a transfer checks for it at this interval. */
#define WAIT_POLL_US (2 * (usec_t)USEC_PER_MSEC)
/* Time between rounds of requests to peers; doubles while they fail. */
#define ASK_INTERVAL_MIN_US (4 * (usec_t)USEC_PER_MSEC)
#define ASK_INTERVAL_MAX_US (64 * (usec_t)USEC_PER_MSEC)
/* Multiple of keys_fresh_ms; see teams_share_expiry(). */
#define EXPIRY_FACTOR 4
/* Refusals further apart than this don't count as continuing. */
#define REFUSAL_GAP_MAX_US ((usec_t)USEC_PER_SEC)

static enum team_admission refuse_request(struct team_bucket *b, usec_t now,
					  int64_t *retry_after_ms);
static void send_messages(struct teams_outbox *box);
static void note_refusal(struct team_bucket *b, usec_t now);
static void on_grant(struct team *team, uint64_t peer,
		     const struct escrow_msg *msg, usec_t now,
		     struct teams_outbox *box);
static bool on_report(struct team_bucket *b, const char *from,
		      uint64_t incarnation, const struct escrow_msg *msg,
		      usec_t now);

/*
 * Takes one token of the team's rate limit; see the header. Without a token the
 * request waits while peers are asked for one. It is refused at once if all
 * peers have replied that they have none and this VM's own share yields none in
 * time.
 */
enum team_admission teams_admit(struct kernel *k, const char *team_name,
				usec_t now, usec_t first_tried_at,
				usec_t *again_at, int64_t *retry_after_ms)
{
	struct teams *t = k->teams;
	struct team_shard *s = teams_shard(t, team_name);
	usec_t wait = (usec_t)k->settings.escrow_wait_ms * USEC_PER_MSEC;
	enum team_admission result = TEAM_WAIT;
	struct teams_outbox box = { .teams = t };
	struct team_bucket *b = NULL;
	struct team *team;
	usec_t next;

	*retry_after_ms = RETRY_UNKNOWN_TEAM_MS;
	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, team_name);
	if (team)
		b = teams_bucket(s, team, now);
	if (!b) {
		apr_thread_mutex_unlock(s->lock);
		return TEAM_OVER_RATE;
	}
	if (first_tried_at >= now)
		escrow_count_request(&b->escrow, now);
	if (escrow_take(&b->escrow, now)) {
		result = TEAM_ADMITTED;
		if (escrow_needs_more(&b->escrow, now)) {
			teams_schedule_tick(s, b);
			teams_ask_peers(team, false, now, &box);
		}
	} else {
		teams_schedule_tick(s, b);
		teams_ask_peers(team, true, now, &box);
		next = escrow_next_token_at(&b->escrow, now);
		if (now - first_tried_at >= wait ||
		    (now < b->empty_until && next > first_tried_at + wait))
			result = refuse_request(b, now, retry_after_ms);
		*again_at = now + WAIT_POLL_US;
		if (next > now && next < *again_at)
			*again_at = next;
	}
	apr_thread_mutex_unlock(s->lock);
	teams_outbox_send(&box);
	return result;
}

/* Returns a token that was taken; see the header. */
void teams_return_token(struct kernel *k, const char *team_name,
			usec_t admitted_at)
{
	struct team_shard *s = teams_shard(k->teams, team_name);
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, team_name);
	if (team && team->bucket)
		escrow_refund(&team->bucket->escrow, admitted_at,
			      k->teams->clock());
	apr_thread_mutex_unlock(s->lock);
}

/* Handles a peer's message. A message about an unknown team is dropped. */
void teams_handle_message(struct kernel *k, const char *from,
			  uint64_t incarnation, const struct escrow_msg *msg,
			  usec_t now)
{
	struct teams *t = k->teams;
	struct team_shard *s = teams_shard(t, msg->bucket);
	struct teams_outbox box = { .teams = t };
	struct escrow_msg out = { 0 };
	struct team_bucket *b = NULL;
	struct team *team;
	uint64_t peer = hash_name(from);

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, msg->bucket);
	if (team)
		b = teams_bucket(s, team, now);
	if (!b) {
		apr_thread_mutex_unlock(s->lock);
		return;
	}
	switch (msg->type) {
	case ESCROW_ASK:
		escrow_on_ask(&b->escrow, peer, incarnation, msg, now, &out);
		if (out.share || out.tokens)
			counter_add(CTR_ESCROW_GIVES, 1);
		teams_outbox_add(&box, from, team->name, &out);
		break;
	case ESCROW_GRANT:
		on_grant(team, peer, msg, now, &box);
		break;
	case ESCROW_OFFER:
		if (!__atomic_load_n(&t->leaving, __ATOMIC_RELAXED) &&
		    fleet_self_listed(k) &&
		    escrow_ask(&b->escrow, peer, now, &out)) {
			teams_schedule_tick(s, b);
			teams_outbox_add(&box, from, team->name, &out);
		}
		break;
	case ESCROW_NEW_EPOCH:
		escrow_enter_epoch(&b->escrow, msg->epoch, now);
		escrow_report(&b->escrow, &out);
		teams_outbox_add(&box, from, team->name, &out);
		snprintf(b->recount_vm_name, sizeof(b->recount_vm_name), "%s",
			 from);
		if (escrow_report_pending(&b->escrow))
			teams_schedule_tick(s, b);
		break;
	case ESCROW_REPORT:
		if (on_report(b, from, incarnation, msg, now)) {
			out.type = ESCROW_REPORT_ACK;
			out.epoch = msg->epoch;
			teams_outbox_add(&box, from, team->name, &out);
		}
		break;
	case ESCROW_REPORT_ACK:
		escrow_report_acked(&b->escrow, msg->epoch);
		break;
	case ESCROW_TYPE_COUNT:
		break;
	}
	apr_thread_mutex_unlock(s->lock);
	teams_outbox_send(&box);
}

/* Starts returning all shares to peers. */
void teams_release_shares(struct kernel *k)
{
	__atomic_store_n(&k->teams->leaving, true, __ATOMIC_RELAXED);
}

/* Returns how many limits this VM still holds a share of. */
uint32_t teams_shares_held(struct kernel *k)
{
	struct teams *t = k->teams;
	uint32_t n = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < TEAM_SHARDS; i++) {
		struct team_shard *s = &t->shards[i];

		apr_thread_mutex_lock(s->lock);
		for (j = 0; j < s->n; j++) {
			if (s->teams[j] && s->teams[j]->bucket &&
			    s->teams[j]->bucket->escrow.share > 0)
				n++;
		}
		apr_thread_mutex_unlock(s->lock);
	}
	return n;
}

/* Returns a team's bucket, created on first use; NULL if memory is short. */
struct team_bucket *teams_bucket(struct team_shard *s, struct team *t,
				 usec_t now)
{
	struct escrow_limit l = {
		.rate_per_s = t->limits.rate_per_s,
		.burst = t->limits.burst,
	};

	if (t->bucket)
		return t->bucket;
	t->bucket = calloc(1, sizeof(*t->bucket));
	if (!t->bucket)
		return NULL;
	escrow_init(&t->bucket->escrow, &s->vm, &l, now);
	t->bucket->ask_interval = ASK_INTERVAL_MIN_US;
	teams_schedule_tick(s, t->bucket);
	return t->bucket;
}

/* Has teams_tick() process a bucket. */
void teams_schedule_tick(struct team_shard *s, struct team_bucket *b)
{
	if (b->needs_tick)
		return;
	b->needs_tick = true;
	__atomic_add_fetch(&s->n_ticking, 1, __ATOMIC_RELAXED);
}

/*
 * Asks all peers, or the next one, for a transfer if a round is due. The
 * interval doubles until a transfer arrives.
 */
void teams_ask_peers(struct team *team, bool all, usec_t now,
		     struct teams_outbox *box)
{
	struct teams *t = box->teams;
	struct team_bucket *b = team->bucket;
	struct escrow_msg out = { 0 };
	uint32_t i;
	uint32_t n;

	if (now < b->next_ask_at || !fleet_self_listed(t->kernel) ||
	    __atomic_load_n(&t->leaving, __ATOMIC_RELAXED))
		return;
	teams_refresh_peers(t, team);
	n = all ? b->n_peers : (b->n_peers > 0);
	b->peers_asked = 0;
	b->empty_replies = 0;
	for (i = 0; i < n; i++) {
		struct team_peer *p = &b->peers[b->next_peer++ % b->n_peers];

		if (!escrow_ask(&b->escrow, p->hash, now, &out))
			continue;
		b->peers_asked++;
		counter_add(CTR_ESCROW_ASKS, 1);
		teams_outbox_add(box, p->name, team->name, &out);
	}
	b->next_ask_at = now + b->ask_interval;
	if (b->ask_interval < ASK_INTERVAL_MAX_US)
		b->ask_interval *= 2;
}

/* Adds a message to be sent after the lock is released. */
void teams_outbox_add(struct teams_outbox *box, const char *to,
		      const char *bucket, const struct escrow_msg *msg)
{
	if (box->n == sizeof(box->out) / sizeof(box->out[0]))
		send_messages(box);
	snprintf(box->out[box->n].to, NAME_MAX_BYTES, "%s", to);
	box->out[box->n].msg = *msg;
	snprintf(box->out[box->n].msg.bucket, ESCROW_BUCKET_BYTES, "%s",
		 bucket);
	box->n++;
}

/*
 * Sends the collected messages and starts the collected calls. No lock may be
 * held.
 */
void teams_outbox_send(struct teams_outbox *box)
{
	uint32_t i;

	send_messages(box);
	for (i = 0; i < box->n_calls; i++)
		platform_submit(box->teams->kernel, box->calls[i]);
	box->n_calls = 0;
}

/*
 * Returns how long a VM must be off the platform's list before its shares may
 * be redistributed. Its own shares have expired by then: the data that extends
 * them is at most keys_fresh_ms old, and they are valid for keys_fresh_ms after
 * it.
 */
usec_t teams_share_expiry(const struct kernel *k)
{
	return (usec_t)k->settings.keys_fresh_ms * USEC_PER_MSEC *
	       EXPIRY_FACTOR;
}

/* Passes the messages to the transport, which does not block. */
static void send_messages(struct teams_outbox *box)
{
	struct teams *t = box->teams;
	uint32_t i;

	for (i = 0; i < box->n && t->send; i++)
		t->send(t->send_ctx, box->out[i].to, &box->out[i].msg);
	box->n = 0;
}

/*
 * Refuses a request. Sets Retry-After to the time when a token is expected,
 * plus jitter.
 */
static enum team_admission refuse_request(struct team_bucket *b, usec_t now,
					  int64_t *retry_after_ms)
{
	uint32_t rate = b->escrow.limit.rate_per_s;
	usec_t next = escrow_next_token_at(&b->escrow, now);
	int64_t ms;

	if (next == INT64_MAX)
		next = now + (rate ? USEC_PER_SEC / rate : USEC_PER_SEC);
	ms = (next - now) / USEC_PER_MSEC + 1;
	*retry_after_ms = ms + randombytes_uniform(
				       (uint32_t)(ms < 1000 ? ms : 1000) + 10);
	note_refusal(b, now);
	return TEAM_OVER_RATE;
}

/*
 * Records how long refusals have been continuing. If they continue, a share may
 * have been lost with a VM and a recount is due.
 */
static void note_refusal(struct team_bucket *b, usec_t now)
{
	if (b->refusals_since == 0 ||
	    now - b->last_refused_at > REFUSAL_GAP_MAX_US)
		b->refusals_since = now;
	b->last_refused_at = now;
}

/*
 * Selects the peers to ask: the VMs that rank first for the team, because idle
 * shares are returned to them.
 */
void teams_refresh_peers(struct teams *t, struct team *team)
{
	struct fleet_vm top[ESCROW_ASKS + 1];
	struct team_bucket *b = team->bucket;
	size_t n =
		fleet_top_ranked(t->kernel, team->name, top, ESCROW_ASKS + 1);
	size_t i;

	b->n_peers = 0;
	for (i = 0; i < n && b->n_peers < ESCROW_ASKS; i++) {
		struct team_peer *p = &b->peers[b->n_peers];

		if (strcmp(top[i].name, t->kernel->settings.vm) == 0)
			continue;
		memcpy(p->name, top[i].name, sizeof(p->name));
		p->hash = hash_name(p->name);
		b->n_peers++;
	}
}

/*
 * Handles a peer's reply to a request for a transfer, and adjusts when to ask
 * next.
 */
static void on_grant(struct team *team, uint64_t peer,
		     const struct escrow_msg *msg, usec_t now,
		     struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;

	switch (escrow_on_grant(&b->escrow, peer, msg, now)) {
	case ESCROW_RECEIVED:
		b->ask_interval = ASK_INTERVAL_MIN_US;
		b->empty_until = 0;
		break;
	case ESCROW_NEWER_EPOCH:
		b->next_ask_at = now;
		teams_ask_peers(team, true, now, box);
		break;
	case ESCROW_EMPTY:
		if (++b->empty_replies == b->peers_asked &&
		    b->peers_asked == b->n_peers)
			b->empty_until = now + ASK_INTERVAL_MAX_US;
		break;
	case ESCROW_IGNORED:
		break;
	}
}

/*
 * Handles a report for this VM's recount; also a repeated one, because the
 * reply to the first may have been lost. A report of a later epoch ends the
 * recount. Returns true if the report is counted.
 */
static bool on_report(struct team_bucket *b, const char *from,
		      uint64_t incarnation, const struct escrow_msg *msg,
		      usec_t now)
{
	escrow_enter_epoch(&b->escrow, msg->epoch, now);
	if (msg->epoch == b->finished_epoch)
		return true;
	if (b->claim_state != CLAIM_COUNTING || msg->epoch != b->recount.epoch)
		return false;
	if (reconciliation_report(&b->recount, from, incarnation, msg->epoch,
				  msg->share) == 0)
		return true;
	reconciliation_end(&b->recount);
	return false;
}
