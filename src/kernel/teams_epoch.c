#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/platform.h"
#include "kernel/object_store.h"
#include "kernel/teams_internal.h"

/* Delay before a VM that does not rank first creates a team's first epoch. */
#define CREATE_WAIT_US (200 * (usec_t)USEC_PER_MSEC)
/* Refusals must continue this long before a recount, plus a stagger by rank. */
#define RECOUNT_AFTER_US   (3 * (usec_t)USEC_PER_SEC)
#define RECOUNT_STAGGER_US ((usec_t)USEC_PER_SEC)
/* Time until the next claim: after a failed claim, and after a recount. */
#define CLAIM_RETRY_US	  ((usec_t)USEC_PER_SEC)
#define CLAIM_INTERVAL_US (60 * (usec_t)USEC_PER_SEC)
#define LIST_INTERVAL_US  ((usec_t)USEC_PER_SEC)
#define RECOUNT_MAX_US	  (300 * (usec_t)USEC_PER_SEC)
#define NONCE_BYTES	  16

/*
 * One operation at the platform on a team's epoch. A claim reads the object
 * and writes it with the next epoch. If the response to the write is lost, it
 * reads the object again to see whether it carries the claim's own nonce.
 */
struct claim {
	struct platform_call call;
	struct teams *teams;
	char team[NAME_MAX_BYTES];
	char nonce[2 * CLAIM_NONCE_BYTES + 1];
	uint64_t epoch; /* epoch to claim; 0: not known yet */
	usec_t asked_at;
	uint64_t lease_generation; /* this VM's lease generation when the claim
				      began */
	bool recount; /* claim the next epoch; false: only create the first */
	bool written;
};

enum due_claim {
	DUE_NONE,
	DUE_CREATE,
	DUE_RECOUNT,
};

#define OUTBOX_CALLS_MAX(box) (sizeof((box)->calls) / sizeof((box)->calls[0]))

static struct claim *claim_create(struct teams *t, const struct team *team);
static void claim_destroy(struct claim *c);
static enum due_claim due_claim(struct teams *t, struct team *team, usec_t now);
static bool has_object(const struct teams *t, const struct team *team);
static void start_claim(struct team *team, bool recount, usec_t now,
			struct teams_outbox *box);
static void prepare_read(struct claim *c);
static void submit_read(struct claim *c);
static void submit_write(struct claim *c, uint64_t version);
static void on_read(struct platform_call *call);
static void on_write(struct platform_call *call);
static void claim_succeeded(struct claim *c);
static void claim_failed(struct claim *c);
static void list_vms(const struct team *team, usec_t now,
		     struct teams_outbox *box);
static void on_list(struct platform_call *call);
static void read_list(struct reconciliation *r, const char *reply,
		      usec_t asked_at);
static void announce_epoch(struct teams *t, struct team *team, usec_t now);
static bool recount_is_complete(struct teams *t, struct team *team, usec_t now);
static void on_confirm(struct platform_call *call);
static bool has_nonce(const struct platform_call *call, const char *nonce);
static void add_missing(struct team *team, usec_t now);
static void end_recount(struct team_bucket *b, usec_t now);

/*
 * Starts a claim if one is due, or continues a recount. The shard's lock is
 * held.
 */
void teams_claim_tick(struct team *team, usec_t now, struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	enum due_claim due;

	if (b->claim_state == CLAIM_CALLING ||
	    b->claim_state == CLAIM_CONFIRMING ||
	    box->n_calls == OUTBOX_CALLS_MAX(box))
		return;
	if (b->claim_state == CLAIM_COUNTING) {
		if (b->escrow.epoch != b->recount.epoch ||
		    b->escrow.lease->generation != b->lease_generation ||
		    now - b->recount.claimed_at > RECOUNT_MAX_US) {
			end_recount(b, now);
		} else if (now >= b->next_list_at) {
			b->next_list_at = now + LIST_INTERVAL_US;
			list_vms(team, now, box);
		}
		return;
	}
	due = due_claim(box->teams, team, now);
	if (due != DUE_NONE)
		start_claim(team, due == DUE_RECOUNT, now, box);
}

/*
 * Returns whether the team has no epoch yet and this VM ranks first to create
 * it. The shard's lock is held.
 */
bool teams_needs_first_epoch(const struct teams *t, const struct team *team)
{
	return !has_object(t, team) && fleet_rank(t->kernel, team->name) == 0;
}

/*
 * Returns which claim, if any, this VM should make now. It creates the first
 * epoch if none is known here and the platform may have none. It claims the
 * next epoch, for a recount, if refusals continue and a majority of the failure
 * domains is in contact. The VM that ranks first for the team acts first; two
 * VMs that claim at the same time do no harm, as the update is conditional.
 */
static enum due_claim due_claim(struct teams *t, struct team *team, usec_t now)
{
	struct team_bucket *b = team->bucket;
	usec_t window =
		(usec_t)t->kernel->settings.keys_fresh_ms * USEC_PER_MSEC;
	usec_t refused_for = now - b->refusals_since;

	if (now < b->next_claim_at || !fleet_self_listed(t->kernel) ||
	    escrow_is_expired(&b->escrow, now))
		return DUE_NONE;
	if (b->escrow.epoch == 0 && b->next_claim_at == 0) {
		if (teams_needs_first_epoch(t, team))
			return DUE_CREATE;
		b->next_claim_at = now + CREATE_WAIT_US;
		return DUE_NONE;
	}
	if (b->refusals_since == 0 || now - b->last_refused_at > CLAIM_RETRY_US)
		return b->escrow.epoch == 0 && !has_object(t, team) ? DUE_CREATE
								    : DUE_NONE;
	if (refused_for < RECOUNT_AFTER_US ||
	    refused_for < RECOUNT_AFTER_US +
				  RECOUNT_STAGGER_US *
					  fleet_rank(t->kernel, team->name))
		return DUE_NONE;
	return fleet_has_majority(t->kernel, now, window) ? DUE_RECOUNT
							  : DUE_NONE;
}

/*
 * Returns whether the platform has the team's epoch object, as far as this VM
 * knows.
 */
static bool has_object(const struct teams *t, const struct team *team)
{
	char name[OBJECT_NAME_BYTES];

	snprintf(name, sizeof(name), "escrow/%s", team->name);
	return store_version(t->kernel->store, name) != 0;
}

/* Starts a claim by reading the object. */
static void start_claim(struct team *team, bool recount, usec_t now,
			struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct claim *c = claim_create(box->teams, team);

	if (!c)
		return;
	c->recount = recount;
	c->lease_generation = b->escrow.lease->generation;
	b->claim_state = CLAIM_CALLING;
	b->next_claim_at = now + CLAIM_RETRY_US;
	prepare_read(c);
	box->calls[box->n_calls++] = &c->call;
}

/* Creates a claim with a random nonce; NULL if memory is short. */
static struct claim *claim_create(struct teams *t, const struct team *team)
{
	uint8_t nonce[CLAIM_NONCE_BYTES];
	struct claim *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->teams = t;
	snprintf(c->team, sizeof(c->team), "%s", team->name);
	randombytes_buf(nonce, sizeof(nonce));
	sodium_bin2hex(c->nonce, sizeof(c->nonce), nonce, sizeof(nonce));
	return c;
}

/* Frees a claim and the body of its call. */
static void claim_destroy(struct claim *c)
{
	free(c->call.body);
	free(c);
}

/* Prepares the read of the epoch's object. */
static void prepare_read(struct claim *c)
{
	free(c->call.body);
	memset(&c->call, 0, sizeof(c->call));
	c->call.op = PLATFORM_GET;
	c->call.done = on_read;
	c->call.ctx = c;
	snprintf(c->call.name, sizeof(c->call.name), "escrow/%s", c->team);
}

/* Reads the epoch's object. */
static void submit_read(struct claim *c)
{
	prepare_read(c);
	platform_submit(c->teams->kernel, &c->call);
}

/*
 * Writes the next epoch on the condition that the object is unchanged since it
 * was read.
 */
static void submit_write(struct claim *c, uint64_t version)
{
	struct kernel *k = c->teams->kernel;
	json_t *body =
		json_pack("{s:I,s:s,s:I,s:s}", "epoch", (json_int_t)c->epoch,
			  "by", k->settings.vm, "incarnation",
			  (json_int_t)k->incarnation, "nonce", c->nonce);

	memset(&c->call, 0, sizeof(c->call));
	c->call.op = PLATFORM_PUT;
	c->call.done = on_write;
	c->call.ctx = c;
	c->call.version = version;
	snprintf(c->call.name, sizeof(c->call.name), "escrow/%s", c->team);
	c->call.body = body ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	if (!c->call.body) {
		claim_failed(c);
		return;
	}
	platform_submit(k, &c->call);
}

/*
 * Handles the object that was read. If it carries the claim's nonce, the claim
 * has succeeded. It has failed if a write was already made, which then lost to
 * another claim, or if an epoch exists and only a first one was to be created.
 * Otherwise the next epoch is written.
 */
static void on_read(struct platform_call *call)
{
	struct claim *c = call->ctx;
	uint64_t version = call->version;
	uint64_t epoch = 0;
	bool own = false;
	json_t *o;

	if (call->result == PLATFORM_OK && call->reply) {
		const char *nonce;

		o = json_loads(call->reply, 0, NULL);
		epoch = (uint64_t)json_integer_value(
			json_object_get(o, "epoch"));
		nonce = json_string_value(json_object_get(o, "nonce"));
		own = nonce && strcmp(nonce, c->nonce) == 0;
		json_decref(o);
		if (epoch == 0) {
			claim_failed(c);
			return;
		}
	} else if (call->result != PLATFORM_NOT_FOUND) {
		claim_failed(c);
		return;
	} else {
		version = 0;
	}
	if (c->written && own) {
		claim_succeeded(c);
		return;
	}
	if (c->written || (epoch != 0 && !c->recount)) {
		claim_failed(c);
		return;
	}
	c->epoch = epoch + 1;
	c->written = true;
	submit_write(c, version);
}

/*
 * Handles the result of the write. If the response was lost, the object is read
 * again.
 */
static void on_write(struct platform_call *call)
{
	struct claim *c = call->ctx;

	if (call->result == PLATFORM_OK)
		claim_succeeded(c);
	else if (call->result == PLATFORM_LOST)
		submit_read(c);
	else
		claim_failed(c);
}

/*
 * Takes the whole share of a first epoch, or starts a recount in a later one.
 */
static void claim_succeeded(struct claim *c)
{
	struct team_shard *s = teams_shard(c->teams, c->team);
	usec_t now = c->teams->clock();
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, c->team);
	if (team && team->bucket) {
		struct team_bucket *b = team->bucket;

		b->claim_state = CLAIM_NONE;
		if (c->epoch == 1) {
			/* If this VM's shares expired meanwhile, a recount may
			 * have redistributed them, so it holds nothing. */
			if (c->lease_generation == b->escrow.lease->generation)
				escrow_create(&b->escrow, 1, now);
		} else {
			escrow_enter_epoch(&b->escrow, c->epoch, now);
			escrow_report_acked(&b->escrow, c->epoch);
			snprintf(b->nonce, sizeof(b->nonce), "%s", c->nonce);
			reconciliation_begin(&b->recount, c->epoch, now);
			b->lease_generation = b->escrow.lease->generation;
			b->claim_state = CLAIM_COUNTING;
			b->next_list_at = now;
			teams_schedule_tick(s, b);
		}
	}
	apr_thread_mutex_unlock(s->lock);
	claim_destroy(c);
}

/* Ends a claim without effect. It is repeated later if it is still due. */
static void claim_failed(struct claim *c)
{
	struct team_shard *s = teams_shard(c->teams, c->team);
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, c->team);
	if (team && team->bucket && team->bucket->claim_state == CLAIM_CALLING)
		team->bucket->claim_state = CLAIM_NONE;
	apr_thread_mutex_unlock(s->lock);
	claim_destroy(c);
}

/* Requests the list of VMs from the platform. */
static void list_vms(const struct team *team, usec_t now,
		     struct teams_outbox *box)
{
	struct claim *c = claim_create(box->teams, team);

	if (!c)
		return;
	c->call.op = PLATFORM_VMS;
	c->call.done = on_list;
	c->call.ctx = c;
	c->asked_at = now;
	box->calls[box->n_calls++] = &c->call;
}

/*
 * Handles the list: asks the VMs on it to move to the epoch and report. Once
 * all are accounted for, reads the epoch again to confirm it.
 */
static void on_list(struct platform_call *call)
{
	struct claim *c = call->ctx;
	struct team_shard *s = teams_shard(c->teams, c->team);
	usec_t now = c->teams->clock();
	bool confirm = false;
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, c->team);
	if (call->result == PLATFORM_OK && call->reply && team &&
	    team->bucket && team->bucket->claim_state == CLAIM_COUNTING) {
		read_list(&team->bucket->recount, call->reply, c->asked_at);
		announce_epoch(c->teams, team, now);
		confirm = recount_is_complete(c->teams, team, now);
		if (confirm)
			team->bucket->claim_state = CLAIM_CONFIRMING;
	}
	apr_thread_mutex_unlock(s->lock);
	if (!confirm) {
		claim_destroy(c);
		return;
	}
	prepare_read(c);
	c->call.done = on_confirm;
	platform_submit(c->teams->kernel, &c->call);
}

/*
 * Handles the epoch that was read after the recount. The missing share may be
 * added only if the epoch is still this recount's. Otherwise a VM may have
 * moved to a later epoch, given its share away there, and ended.
 */
static void on_confirm(struct platform_call *call)
{
	struct claim *c = call->ctx;
	struct team_shard *s = teams_shard(c->teams, c->team);
	usec_t now = c->teams->clock();
	struct team_bucket *b;
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, c->team);
	b = team ? team->bucket : NULL;
	if (b && b->claim_state == CLAIM_CONFIRMING) {
		if (call->result == PLATFORM_OK && has_nonce(call, b->nonce))
			add_missing(team, now);
		else if (call->result == PLATFORM_OK)
			end_recount(b, now);
		else
			b->claim_state = CLAIM_COUNTING;
	}
	apr_thread_mutex_unlock(s->lock);
	claim_destroy(c);
}

/* Returns whether the object that was read carries this nonce. */
static bool has_nonce(const struct platform_call *call, const char *nonce)
{
	json_t *o = call->reply ? json_loads(call->reply, 0, NULL) : NULL;
	const char *have = json_string_value(json_object_get(o, "nonce"));
	bool same = have && strcmp(have, nonce) == 0;

	json_decref(o);
	return same;
}

/* Reads a list of VMs; one that is malformed is ignored. */
static void read_list(struct reconciliation *r, const char *reply,
		      usec_t asked_at)
{
	json_t *o = json_loads(reply, 0, NULL);
	json_t *vms = json_object_get(o, "vms");
	size_t i;

	if (!json_is_array(vms)) {
		json_decref(o);
		return;
	}
	reconciliation_list_begin(r, asked_at);
	for (i = 0; i < json_array_size(vms); i++) {
		json_t *v = json_array_get(vms, i);
		const char *name =
			json_string_value(json_object_get(v, "name"));
		json_int_t inc =
			json_integer_value(json_object_get(v, "incarnation"));

		if (name &&
		    reconciliation_list_add(r, name, (uint64_t)inc) != 0)
			reconciliation_end(r);
	}
	if (r->epoch != 0)
		reconciliation_list_end(r);
	json_decref(o);
}

/*
 * Asks all VMs that have not reported to move to the epoch, and records this
 * VM's own report.
 */
static void announce_epoch(struct teams *t, struct team *team, usec_t now)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg move = {
		.type = ESCROW_NEW_EPOCH,
		.epoch = b->recount.epoch,
	};
	struct escrow_msg own = { 0 };
	uint32_t i;

	escrow_report(&b->escrow, &own);
	if (reconciliation_report(&b->recount, t->kernel->settings.vm,
				  t->kernel->incarnation, own.epoch,
				  own.share) != 0) {
		reconciliation_end(&b->recount);
		return;
	}
	snprintf(move.bucket, sizeof(move.bucket), "%s", team->name);
	for (i = 0; i < b->recount.n && t->send; i++) {
		if (reconciliation_waits_for(&b->recount, &b->recount.vms[i],
					     now,
					     teams_share_expiry(t->kernel)))
			t->send(t->send_ctx, b->recount.vms[i].name, &move);
	}
}

/*
 * Returns whether every VM is accounted for, so that the missing share is
 * known. Ends a recount that has run out of memory.
 */
static bool recount_is_complete(struct teams *t, struct team *team, usec_t now)
{
	usec_t window =
		(usec_t)t->kernel->settings.keys_fresh_ms * USEC_PER_MSEC;
	struct team_bucket *b = team->bucket;

	if (b->recount.epoch == 0) {
		end_recount(b, now);
		return false;
	}
	return b->escrow.lease->generation == b->lease_generation &&
	       reconciliation_is_complete(&b->recount, now,
					  teams_share_expiry(t->kernel),
					  b->escrow.whole, &b->missing_share) &&
	       fleet_has_majority(t->kernel, now, window);
}

/*
 * Adds the missing share to this VM's, unless this VM's shares expired or it
 * moved to another epoch in the meantime.
 */
static void add_missing(struct team *team, usec_t now)
{
	struct team_bucket *b = team->bucket;
	uint64_t epoch = b->recount.epoch;

	if (b->escrow.lease->generation == b->lease_generation &&
	    escrow_add_missing(&b->escrow, epoch, b->missing_share, now)) {
		b->finished_epoch = epoch;
		log_event(EV_ESCROW_RECOUNT,
			  "team=%s epoch=%" PRIu64 " missing_ppm=%" PRIu64,
			  team->name, epoch,
			  (uint64_t)b->missing_share * 1000000 /
				  b->escrow.whole);
	}
	end_recount(b, now);
}

/* Ends the recount and delays the next claim. */
static void end_recount(struct team_bucket *b, usec_t now)
{
	reconciliation_end(&b->recount);
	b->claim_state = CLAIM_NONE;
	b->next_claim_at = now + CLAIM_INTERVAL_US;
}
