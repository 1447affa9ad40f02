#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/call_retry.h"
#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * Requests to the platform that promote a database. A VM first writes a claim,
 * an object of which there is one per service and era of the store, then marks
 * it as promoting, and then requests the promotion under the claim's fencing
 * token. Once the new primary leads, the claim is closed.
 */

/*
 * Longest time from marking a claim as promoting to the effect of the
 * promotion: the attempt lasts up to 3 s, and the platform takes up to a
 * second, longer when it is slow.
 */
#define PROMOTION_MAX_US (5 * USEC_PER_SEC)

/* With less time left, a write without an answer is not read back. */
#define READ_BACK_MIN_US (20 * USEC_PER_MSEC)

/* What a request about a claim is for. */
enum claim_purpose {
	CLAIM_READ,
	CLAIM_TAKE,  /* read it, then replace it by a claim */
	CLAIM_MARK,  /* write this VM's claim again, as promoting */
	CLAIM_CLOSE, /* read it, then close it */
};

/* One request about a claim, or a promotion. */
struct promotion_call {
	struct proxy *proxy;
	struct platform_call call;
	struct db_group *group;
	enum claim_purpose purpose;
	bool is_written; /* the write was sent */
	/* a write had no answer, and the call in progress reads the record */
	bool is_reading_back;
	bool is_unanswered; /* a write had no answer */
	usec_t written_at;  /* when the first write was sent */
	struct registry_claim_record written;
	registry_claim_done_fn fn;
	registry_promote_done_fn promote_fn;
	void *ctx;
	struct registry_claim_outcome outcome;
	char *reply;
};

static struct promotion_call *call_create(struct proxy *p, struct db_group *g,
					  enum platform_op op, void *ctx);
static void claim_request(struct proxy *p, struct db_group *g,
			  enum claim_purpose purpose, registry_claim_done_fn fn,
			  void *ctx);
static void claim_submit(struct promotion_call *d);
static void on_platform_reply(struct platform_call *c);
static void handle_reply(void *ctx);
static void finish_promotion(struct promotion_call *d);
static bool take_record(struct promotion_call *d);
static bool replace_claim(struct promotion_call *d);
static bool close_claim(struct promotion_call *d);
static bool is_own_promotion(const struct db_group *g,
			     const struct promotion_claim *found);
static void write_claim(struct promotion_call *d,
			const struct promotion_claim *claim);
static void submit_write(struct promotion_call *d);
static bool continue_write(struct promotion_call *d);
static bool read_back(struct promotion_call *d);
static bool judge_read_back(struct promotion_call *d);
static bool is_written_record(const struct promotion_call *d,
			      const struct registry_claim_record *found);
static void call_free(struct promotion_call *d);

/* Reads the current claim; handle_reply() then replaces it if it may. */
void registry_claim_promotion(struct proxy *p, struct db_group *g,
			      registry_claim_done_fn fn, void *ctx)
{
	claim_request(p, g, CLAIM_TAKE, fn, ctx);
}

/* Replaces this VM's own claim by one that is marked as promoting. */
void registry_mark_promoting(struct proxy *p, struct db_group *g,
			     registry_claim_done_fn fn, void *ctx)
{
	claim_request(p, g, CLAIM_MARK, fn, ctx);
}

/* Reads the current claim. */
void registry_read_claim(struct proxy *p, struct db_group *g,
			 registry_claim_done_fn fn, void *ctx)
{
	claim_request(p, g, CLAIM_READ, fn, ctx);
}

/* Reads the current claim; handle_reply() then closes it if it may. */
void registry_close_claim(struct proxy *p, struct db_group *g,
			  registry_claim_done_fn fn, void *ctx)
{
	claim_request(p, g, CLAIM_CLOSE, fn, ctx);
}

/* Requests a promotion under a fencing token. */
void registry_promote(struct proxy *p, struct db_group *g, const char *id,
		      uint64_t token, registry_promote_done_fn fn, void *ctx)
{
	struct promotion_call *d = call_create(p, g, PLATFORM_PROMOTE, ctx);

	if (!d) {
		fn(ctx, REGISTRY_PROMOTE_UNKNOWN);
		return;
	}
	d->promote_fn = fn;
	d->call.version = token;
	snprintf(d->call.name, sizeof(d->call.name), "%s", g->service);
	snprintf(d->call.from, sizeof(d->call.from), "%s", id);
	platform_submit(p->kernel, &d->call);
}

/* Returns true once every promotion of an earlier era has taken effect. */
bool registry_era_is_settled(const struct proxy *p, usec_t now)
{
	return store_era_is_settled(&p->store_era, now, PROMOTION_MAX_US);
}

/* Starts a request about the claim of a group. */
static void claim_request(struct proxy *p, struct db_group *g,
			  enum claim_purpose purpose, registry_claim_done_fn fn,
			  void *ctx)
{
	static const struct registry_claim_outcome failed;
	struct promotion_call *d = call_create(p, g, PLATFORM_GET, ctx);

	if (!d) {
		fn(ctx, &failed);
		return;
	}
	d->fn = fn;
	d->purpose = purpose;
	/* A failover may not wait for a connection that fell silent. */
	d->call.new_connection = purpose == CLAIM_TAKE || purpose == CLAIM_MARK;
	d->call.object_era = p->store_era.era;
	d->outcome.asked_at = proxy_now();
	snprintf(d->call.name, sizeof(d->call.name), "%s/%s", REGISTRY_CLAIM,
		 g->service);
	if (purpose == CLAIM_MARK) {
		d->call.object_era = g->own_claim.at.era;
		write_claim(d, &(struct promotion_claim){
				       .state = PROMOTION_CLAIM_PROMOTING,
				       .at = g->own_claim.at,
				       .term = g->own_claim.term,
				       .is_term_certain =
					       g->own_claim.is_term_certain,
			       });
		return;
	}
	claim_submit(d);
}

/* Allocates a request; returns NULL if memory is short. */
static struct promotion_call *call_create(struct proxy *p, struct db_group *g,
					  enum platform_op op, void *ctx)
{
	struct promotion_call *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->proxy = p;
	d->ctx = ctx;
	d->call.op = op;
	d->call.done = on_platform_reply;
	d->call.ctx = d;
	d->group = g;
	return d;
}

/* Sends the call of a request about a claim. */
static void claim_submit(struct promotion_call *d)
{
	platform_submit(d->proxy->kernel, &d->call);
}

/* Copies the reply; runs on the platform's thread. */
static void on_platform_reply(struct platform_call *c)
{
	struct promotion_call *d = c->ctx;

	d->reply = c->reply ? strdup(c->reply) : NULL;
	proxy_post(d->proxy, handle_reply, d);
}

/*
 * Follows a read by the write that replaces or closes the claim, or reports the
 * outcome and frees the request. A write without an answer is read back.
 */
static void handle_reply(void *ctx)
{
	struct promotion_call *d = ctx;
	struct registry_claim_outcome *o = &d->outcome;

	if (d->promote_fn) {
		finish_promotion(d);
		return;
	}
	if (d->is_written && continue_write(d))
		return;
	if (!d->is_reading_back)
		o->ok = take_record(d);
	if (o->ok && !d->is_written &&
	    ((d->purpose == CLAIM_TAKE && replace_claim(d)) ||
	     (d->purpose == CLAIM_CLOSE && close_claim(d))))
		return;
	if (d->purpose == CLAIM_TAKE)
		o->ok = o->ok && d->is_written && o->token;
	else if (d->purpose == CLAIM_MARK)
		o->ok = o->ok && o->token;
	if (o->ok && (d->purpose == CLAIM_TAKE || d->purpose == CLAIM_MARK))
		d->group->own_claim = o->record.claim;
	if (!o->ok && !d->call.replied && d->purpose == CLAIM_TAKE)
		registry_claim_unanswered(d->proxy->registry, proxy_now());
	d->fn(d->ctx, o);
	call_free(d);
}

/* Reports the outcome of a promotion, and frees the request. */
static void finish_promotion(struct promotion_call *d)
{
	enum platform_result result = d->call.result;

	d->promote_fn(d->ctx, result == PLATFORM_OK ? REGISTRY_PROMOTE_OK
			      : result == PLATFORM_CONFLICT
				      ? REGISTRY_PROMOTE_REFUSED
				      : REGISTRY_PROMOTE_UNKNOWN);
	call_free(d);
}

/*
 * Takes the record from a reply. Returns false if there was none, if a write
 * failed, or if the reply is of another era of the store than the record: a
 * claim of an era that has ended is void.
 */
static bool take_record(struct promotion_call *d)
{
	struct registry_claim_outcome *o = &d->outcome;
	struct platform_call *c = &d->call;
	bool is_absent =
		c->result == PLATFORM_NOT_FOUND && c->op == PLATFORM_GET;

	if (c->replied && !registry_note_era(d->proxy, c))
		return false;
	memset(&o->record, 0, sizeof(o->record));
	if (c->result != PLATFORM_OK && !is_absent)
		return false;
	if (c->era != c->object_era) {
		log_event(EV_SUCCESSION,
			  "service=%s phase=claim era=%llu wanted=%llu "
			  "reason=\"the store was restored\"",
			  d->group->service, (unsigned long long)c->era,
			  (unsigned long long)c->object_era);
		return false;
	}
	if (!is_absent &&
	    (!d->reply || registry_codec()->claim(d->reply, &o->record) != 0))
		return false;
	o->record.claim.at.era = c->object_era;
	if (!store_position_token(&o->record.claim.at, &o->token)) {
		o->token = 0;
		if (!is_absent)
			log_event(EV_PROMOTE_GIVE_UP,
				  "service=%s era=%llu revision=%llu "
				  "reason=\"too large for a fencing token\"",
				  d->group->service,
				  (unsigned long long)c->object_era,
				  (unsigned long long)
					  o->record.claim.at.revision);
	}
	return true;
}

/*
 * Replaces the claim that was read, unless its holder may be promoting. Returns
 * false if it was not replaced.
 */
static bool replace_claim(struct promotion_call *d)
{
	const struct registry_claim_record *found = &d->outcome.record;
	struct db_group *g = d->group;
	usec_t now = proxy_now();
	enum promotion_claim_verdict v;

	v = promotion_claim_check(&g->claim_seen, &found->claim, g->proof.term,
				  registry_era_is_settled(d->proxy, now), now,
				  PROMOTION_MAX_US);
	if (v != PROMOTION_CLAIM_FREE && v != PROMOTION_CLAIM_FREE_CERTAIN) {
		log_event(EV_SUCCESSION,
			  "service=%s phase=claim holder=%s era=%llu "
			  "token=%llu base=%llu seen_us=%lld reason=\"%s\"",
			  g->service, found->holder,
			  (unsigned long long)found->claim.at.era,
			  (unsigned long long)d->outcome.token,
			  (unsigned long long)found->claim.term,
			  (long long)(now - g->claim_seen.first_seen_at),
			  promotion_claim_verdict_name(v));
		if (v == PROMOTION_CLAIM_OUTDATED)
			db_group_on_claim(g, &d->outcome);
		return false;
	}
	d->outcome.is_term_certain = v == PROMOTION_CLAIM_FREE_CERTAIN;
	write_claim(d, &(struct promotion_claim){
			       .state = PROMOTION_CLAIM_HELD,
			       .at = found->claim.at,
			       .term = g->proof.term,
			       .is_term_certain = d->outcome.is_term_certain,
		       });
	return true;
}

/*
 * Closes the claim that was read, if no promotion is in progress and this VM
 * has a proof of the primary: it promoted it under this very claim, or has one
 * from the databases. Returns false if it was not closed.
 */
static bool close_claim(struct promotion_call *d)
{
	const struct promotion_claim *found = &d->outcome.record.claim;
	struct db_group *g = d->group;
	usec_t now = proxy_now();

	if (g->primary == DB_NONE)
		return false;
	if (!is_own_promotion(g, found) &&
	    (!primary_proof_is_valid(&g->proof, now, d->proxy->policy.guard) ||
	     !promotion_claim_may_close(
		     &g->claim_seen, found, g->proof.term,
		     registry_era_is_settled(d->proxy, g->proof.proved_at), now,
		     PROMOTION_MAX_US)))
		return false;
	d->outcome.asked_at = now;
	write_claim(d, &(struct promotion_claim){
			       .state = PROMOTION_CLAIM_CLOSED,
			       .at = found->at,
			       .term = g->proof.term,
		       });
	return true;
}

/* Returns true if this VM promoted the group's primary under the claim. */
static bool is_own_promotion(const struct db_group *g,
			     const struct promotion_claim *found)
{
	return g->promoted_here && found->state == PROMOTION_CLAIM_PROMOTING &&
	       store_position_compare(&found->at, &g->own_claim.at) == 0;
}

/*
 * Writes a claim of this VM over the one at the position claim->at; revision 0
 * creates it.
 */
static void write_claim(struct promotion_call *d,
			const struct promotion_claim *claim)
{
	struct proxy *p = d->proxy;
	const struct db_group *g = d->group;
	struct registry_claim_record record = {
		.incarnation = p->kernel->incarnation,
		.claim_number = ++p->n_claims,
		.claim = *claim,
	};

	snprintf(record.holder, sizeof(record.holder), "%s",
		 p->kernel->settings.vm);
	if (claim->state == PROMOTION_CLAIM_CLOSED)
		snprintf(record.primary, sizeof(record.primary), "%s",
			 g->db[g->primary].id);
	d->is_written = true;
	d->written_at = proxy_now();
	d->written = record;
	d->call.body = registry_codec()->claim_body(&record);
	if (!d->call.body)
		log_event(EV_VM_FAIL, "reason=\"no memory for a claim\"");
	submit_write(d);
}

/* Sends the write, the first time or again under the same condition. */
static void submit_write(struct promotion_call *d)
{
	free(d->reply);
	d->reply = NULL;
	d->is_reading_back = false;
	d->call.op = PLATFORM_PUT;
	d->call.version = d->written.claim.at.revision;
	claim_submit(d);
}

/*
 * Continues a write without an answer, or one that failed after such a one: its
 * record is read and, if it is still the one to replace, written again. Returns
 * false if the outcome is known, or will not be.
 */
static bool continue_write(struct promotion_call *d)
{
	const struct platform_call *c = &d->call;

	if (d->is_reading_back)
		return judge_read_back(d);
	if (c->result == PLATFORM_LOST ||
	    (c->result == PLATFORM_DOWN && !c->replied)) {
		d->is_unanswered = true;
		return read_back(d);
	}
	return d->is_unanswered && c->result == PLATFORM_CONFLICT &&
	       read_back(d);
}

/*
 * Reads the record on a new connection, within the time of the write. Returns
 * false if none is left.
 */
static bool read_back(struct promotion_call *d)
{
	usec_t all = (usec_t)d->proxy->kernel->settings.platform_timeout_ms *
		     USEC_PER_MSEC;
	usec_t left = all - (proxy_now() - d->written_at);

	if (left < READ_BACK_MIN_US)
		return false;
	free(d->reply);
	d->reply = NULL;
	d->is_reading_back = true;
	d->call.op = PLATFORM_GET;
	d->call.new_connection = true;
	d->call.timeout = left;
	counter_add(CTR_PLATFORM_REPEATED, 1);
	claim_submit(d);
	return true;
}

/*
 * Sets the outcome by the record that was read back; the token is that of the
 * store. Returns true if the write was sent again instead.
 */
static bool judge_read_back(struct promotion_call *d)
{
	struct registry_claim_outcome *o = &d->outcome;
	struct call_retry_object found;
	enum call_retry_verdict v;
	usec_t all = (usec_t)d->proxy->kernel->settings.platform_timeout_ms *
		     USEC_PER_MSEC;
	usec_t left = all - (proxy_now() - d->written_at);

	o->ok = take_record(d);
	if (!o->ok)
		return false;
	found = (struct call_retry_object){
		.is_ours = is_written_record(d, &o->record),
		.revision = o->record.claim.at.revision,
	};
	v = call_retry_read_back(&found, d->written.claim.at.revision);
	log_event(EV_SUCCESSION,
		  "service=%s phase=claim holder=%s revision=%llu "
		  "reason=\"a write had no answer, read back\" verdict=%d",
		  d->group->service, o->record.holder,
		  (unsigned long long)found.revision, (int)v);
	if (v == CALL_RETRY_WRITE_AGAIN && left >= READ_BACK_MIN_US) {
		d->call.timeout = left;
		counter_add(CTR_PLATFORM_REPEATED, 1);
		submit_write(d);
		return true;
	}
	o->ok = v == CALL_RETRY_DONE;
	return false;
}

/* True if a record is the one that this request wrote. */
static bool is_written_record(const struct promotion_call *d,
			      const struct registry_claim_record *found)
{
	return strcmp(found->holder, d->written.holder) == 0 &&
	       found->incarnation == d->written.incarnation &&
	       found->claim_number == d->written.claim_number;
}

/* Frees a request. */
static void call_free(struct promotion_call *d)
{
	free(d->call.body);
	free(d->reply);
	free(d);
}
