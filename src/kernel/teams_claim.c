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
#include "kernel/store.h"
#include "kernel/teams_own.h"

/* A VM that is not first for a team waits before it creates the epoch. */
#define CREATE_WAIT_US (200 * (usec_t)USEC_PER_MSEC)
/* Refusals that go on for so long call for a recount, later by rank. */
#define RECOUNT_AFTER_US (3 * (usec_t)USEC_PER_SEC)
#define RECOUNT_RANK_US	 ((usec_t)USEC_PER_SEC)
/* Pauses between claims: when one failed, and when one came through. */
#define CLAIM_AGAIN_US	((usec_t)USEC_PER_SEC)
#define CLAIM_PAUSE_US	(60 * (usec_t)USEC_PER_SEC)
#define LIST_EVERY_US	((usec_t)USEC_PER_SEC)
#define RECOUNT_MOST_US (300 * (usec_t)USEC_PER_SEC)
#define NONCE_BYTES	16

/*
 * One call to the platform about a team's epoch. A claim reads the object,
 * writes it with the next epoch, and, if the reply to that is lost, reads
 * again to see whether its own nonce is there.
 */
struct claim {
	struct platform_call call;
	struct teams *teams;
	char team[NAME_MAX_BYTES];
	char nonce[2 * CLAIM_NONCE_BYTES + 1];
	uint64_t epoch; /* being claimed; 0: not known yet */
	usec_t asked_at;
	uint64_t life; /* of the VM, when the claim began */
	bool recount;  /* else only a first epoch is created */
	bool written;
};

enum claim_due {
	DUE_NOT,
	DUE_CREATE,
	DUE_RECOUNT,
};

#define CALLS_MAX(box) (sizeof((box)->calls) / sizeof((box)->calls[0]))

static struct claim *claim_create(struct teams *t, const struct team *team);
static void claim_destroy(struct claim *c);
static enum claim_due claim_due(struct teams *t, struct team *team, usec_t now);
static bool has_object(const struct teams *t, const struct team *team);
static void claim(struct team *team, bool recount, usec_t now,
		  struct teams_outbox *box);
static void prepare_read(struct claim *c);
static void submit_read(struct claim *c);
static void submit_write(struct claim *c, uint64_t version);
static void on_read(struct platform_call *call);
static void on_write(struct platform_call *call);
static void took_effect(struct claim *c);
static void failed(struct claim *c);
static void list_vms(const struct team *team, usec_t now,
		     struct teams_outbox *box);
static void on_list(struct platform_call *call);
static void read_list(struct recount *r, const char *reply, usec_t asked_at);
static void move_peers(struct teams *t, struct team *team, usec_t now);
static bool may_finish(struct teams *t, struct team *team, usec_t now);
static void on_confirm(struct platform_call *call);
static bool has_nonce(const struct platform_call *call, const char *nonce);
static void finish(struct team *team, usec_t now);
static void end_recount(struct team_bucket *b, usec_t now);

/* Starts a claim or goes on with a recount; the shard's lock is held. */
void teams_claim_tick(struct team *team, usec_t now, struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	enum claim_due due;

	if (b->claim == CLAIM_CALLING || b->claim == CLAIM_CONFIRMING ||
	    box->n_calls == CALLS_MAX(box))
		return;
	if (b->claim == CLAIM_COUNTING) {
		if (b->escrow.epoch != b->recount.epoch ||
		    b->escrow.vm->life != b->life ||
		    now - b->recount.claimed_at > RECOUNT_MOST_US) {
			end_recount(b, now);
		} else if (now >= b->list_at) {
			b->list_at = now + LIST_EVERY_US;
			list_vms(team, now, box);
		}
		return;
	}
	due = claim_due(box->teams, team, now);
	if (due != DUE_NOT)
		claim(team, due == DUE_RECOUNT, now, box);
}

/* Is a team's first epoch still to be created, and by this VM? */
bool teams_create_due(const struct teams *t, const struct team *team)
{
	return !has_object(t, team) && fleet_rank(t->kernel, team->name) == 0;
}

/*
 * Is it for this VM to claim now? The first epoch, if none is known here and
 * the platform may have none; the next one, if refusals go on. The first for
 * the team by rank goes first; two that claim at once do no harm.
 */
static enum claim_due claim_due(struct teams *t, struct team *team, usec_t now)
{
	struct team_bucket *b = team->bucket;
	usec_t within =
		(usec_t)t->kernel->settings.keys_fresh_ms * USEC_PER_MSEC;
	usec_t since = now - b->refused_first;

	if (now < b->claim_at || !fleet_self_listed(t->kernel) ||
	    escrow_lapsed_now(&b->escrow, now))
		return DUE_NOT;
	if (b->escrow.epoch == 0 && b->claim_at == 0) {
		if (teams_create_due(t, team))
			return DUE_CREATE;
		b->claim_at = now + CREATE_WAIT_US;
		return DUE_NOT;
	}
	if (b->refused_first == 0 || now - b->refused_last > CLAIM_AGAIN_US)
		return b->escrow.epoch == 0 && !has_object(t, team) ? DUE_CREATE
								    : DUE_NOT;
	if (since < RECOUNT_AFTER_US ||
	    since < RECOUNT_AFTER_US +
			    RECOUNT_RANK_US * fleet_rank(t->kernel, team->name))
		return DUE_NOT;
	return fleet_majority(t->kernel, now, within) ? DUE_RECOUNT : DUE_NOT;
}

/* Does the platform have the team's epoch, as far as this VM knows? */
static bool has_object(const struct teams *t, const struct team *team)
{
	char name[OBJECT_NAME_BYTES];

	snprintf(name, sizeof(name), "escrow/%s", team->name);
	return store_version(t->kernel->store, name) != 0;
}

/* Begins a claim with a read of the object. */
static void claim(struct team *team, bool recount, usec_t now,
		  struct teams_outbox *box)
{
	struct team_bucket *b = team->bucket;
	struct claim *c = claim_create(box->teams, team);

	if (!c)
		return;
	c->recount = recount;
	c->life = b->escrow.vm->life;
	b->claim = CLAIM_CALLING;
	b->claim_at = now + CLAIM_AGAIN_US;
	prepare_read(c);
	box->calls[box->n_calls++] = &c->call;
}

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

static void claim_destroy(struct claim *c)
{
	free(c->call.body);
	free(c);
}

/* Prepares to read the epoch's object. */
static void prepare_read(struct claim *c)
{
	free(c->call.body);
	memset(&c->call, 0, sizeof(c->call));
	c->call.op = PLATFORM_GET;
	c->call.done = on_read;
	c->call.ctx = c;
	snprintf(c->call.name, sizeof(c->call.name), "escrow/%s", c->team);
}

static void submit_read(struct claim *c)
{
	prepare_read(c);
	platform_submit(c->teams->kernel, &c->call);
}

/* Writes the next epoch on the condition that the object is as it was read. */
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
		failed(c);
		return;
	}
	platform_submit(k, &c->call);
}

/*
 * The object as it is: this claim's own if its nonce is there; else the epoch
 * to go on from, unless something was written already and lost to another.
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
			failed(c);
			return;
		}
	} else if (call->result != PLATFORM_ABSENT) {
		failed(c);
		return;
	} else {
		version = 0;
	}
	if (c->written && own) {
		took_effect(c);
		return;
	}
	if (c->written || (epoch != 0 && !c->recount)) {
		failed(c);
		return;
	}
	c->epoch = epoch + 1;
	c->written = true;
	submit_write(c, version);
}

/* The write's outcome; one that is not known is read back. */
static void on_write(struct platform_call *call)
{
	struct claim *c = call->ctx;

	if (call->result == PLATFORM_OK)
		took_effect(c);
	else if (call->result == PLATFORM_LOST)
		submit_read(c);
	else
		failed(c);
}

/* The epoch is this VM's: it has the whole of a first one, or recounts. */
static void took_effect(struct claim *c)
{
	struct team_shard *s = teams_shard(c->teams, c->team);
	usec_t now = c->teams->clock();
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, c->team);
	if (team && team->bucket) {
		struct team_bucket *b = team->bucket;

		b->claim = CLAIM_NONE;
		if (c->epoch == 1) {
			/* A VM that was taken for gone since, by a recount
			 * that found all of it missing, has nothing. */
			if (c->life == b->escrow.vm->life)
				escrow_create(&b->escrow, 1, now);
		} else {
			escrow_move(&b->escrow, c->epoch, now);
			escrow_counted(&b->escrow, c->epoch);
			snprintf(b->nonce, sizeof(b->nonce), "%s", c->nonce);
			recount_begin(&b->recount, c->epoch, now);
			b->life = b->escrow.vm->life;
			b->claim = CLAIM_COUNTING;
			b->list_at = now;
			teams_busy(s, b);
		}
	}
	apr_thread_mutex_unlock(s->lock);
	claim_destroy(c);
}

/* Nothing was claimed; it is tried again later if it is still due. */
static void failed(struct claim *c)
{
	struct team_shard *s = teams_shard(c->teams, c->team);
	struct team *team;

	apr_thread_mutex_lock(s->lock);
	team = teams_find(s, c->team);
	if (team && team->bucket && team->bucket->claim == CLAIM_CALLING)
		team->bucket->claim = CLAIM_NONE;
	apr_thread_mutex_unlock(s->lock);
	claim_destroy(c);
}

/* Asks the platform which VMs there are. */
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

/* The list: who is on it has to move and report; then perhaps all is known. */
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
	    team->bucket && team->bucket->claim == CLAIM_COUNTING) {
		read_list(&team->bucket->recount, call->reply, c->asked_at);
		move_peers(c->teams, team, now);
		confirm = may_finish(c->teams, team, now);
		if (confirm)
			team->bucket->claim = CLAIM_CONFIRMING;
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
 * The platform's epoch, after all was counted: only if it is still this
 * recount's can nobody have gone on in a later one, given there, and be gone.
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
	if (b && b->claim == CLAIM_CONFIRMING) {
		if (call->result == PLATFORM_OK && has_nonce(call, b->nonce))
			finish(team, now);
		else if (call->result == PLATFORM_OK)
			end_recount(b, now);
		else
			b->claim = CLAIM_COUNTING;
	}
	apr_thread_mutex_unlock(s->lock);
	claim_destroy(c);
}

/* Does the object that was read carry this nonce? */
static bool has_nonce(const struct platform_call *call, const char *nonce)
{
	json_t *o = call->reply ? json_loads(call->reply, 0, NULL) : NULL;
	const char *have = json_string_value(json_object_get(o, "nonce"));
	bool same = have && strcmp(have, nonce) == 0;

	json_decref(o);
	return same;
}

/* Reads a whole list; one that can't be read counts as none. */
static void read_list(struct recount *r, const char *reply, usec_t asked_at)
{
	json_t *o = json_loads(reply, 0, NULL);
	json_t *vms = json_object_get(o, "vms");
	size_t i;

	if (!json_is_array(vms)) {
		json_decref(o);
		return;
	}
	recount_list_begin(r, asked_at);
	for (i = 0; i < json_array_size(vms); i++) {
		json_t *v = json_array_get(vms, i);
		const char *name =
			json_string_value(json_object_get(v, "name"));
		json_int_t inc =
			json_integer_value(json_object_get(v, "incarnation"));

		if (name && recount_list_add(r, name, (uint64_t)inc) != 0)
			recount_end(r);
	}
	if (r->epoch != 0)
		recount_list_end(r);
	json_decref(o);
}

/* Tells all who are waited for to move; reports this VM's own. */
static void move_peers(struct teams *t, struct team *team, usec_t now)
{
	struct team_bucket *b = team->bucket;
	struct escrow_msg move = {
		.type = ESCROW_MOVE,
		.epoch = b->recount.epoch,
	};
	struct escrow_msg own = { 0 };
	uint32_t i;

	escrow_report(&b->escrow, &own);
	if (recount_report(&b->recount, t->kernel->settings.vm,
			   t->kernel->incarnation, own.epoch, own.share) != 0) {
		recount_end(&b->recount);
		return;
	}
	snprintf(move.bucket, sizeof(move.bucket), "%s", team->name);
	for (i = 0; i < b->recount.n && t->send; i++) {
		if (recount_waits_for(&b->recount, &b->recount.vms[i], now,
				      teams_gone_after(t->kernel)))
			t->send(t->send_ctx, b->recount.vms[i].name, &move);
	}
}

/* Is all counted, so that what is missing is known? */
static bool may_finish(struct teams *t, struct team *team, usec_t now)
{
	usec_t within =
		(usec_t)t->kernel->settings.keys_fresh_ms * USEC_PER_MSEC;
	struct team_bucket *b = team->bucket;

	if (b->recount.epoch == 0) {
		end_recount(b, now);
		return false;
	}
	return b->escrow.vm->life == b->life &&
	       recount_done(&b->recount, now, teams_gone_after(t->kernel),
			    b->escrow.whole, &b->missing) &&
	       fleet_majority(t->kernel, now, within);
}

/* Takes what is missing; nothing if this VM lapsed or moved on since. */
static void finish(struct team *team, usec_t now)
{
	struct team_bucket *b = team->bucket;
	uint64_t epoch = b->recount.epoch;

	if (b->escrow.vm->life == b->life &&
	    escrow_add_missing(&b->escrow, epoch, b->missing, now)) {
		b->finished = epoch;
		log_event(EV_ESCROW_RECOUNT,
			  "team=%s epoch=%" PRIu64 " missing_ppm=%" PRIu64,
			  team->name, epoch,
			  (uint64_t)b->missing * 1000000 / b->escrow.whole);
	}
	end_recount(b, now);
}

static void end_recount(struct team_bucket *b, usec_t now)
{
	recount_end(&b->recount);
	b->claim = CLAIM_NONE;
	b->claim_at = now + CLAIM_PAUSE_US;
}
