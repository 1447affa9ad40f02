#include "kernel/engine_internal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "kernel/platform.h"
#include "kernel/object_store.h"

/*
 * The update of a group's object that claims a term or publishes a primary,
 * and the read that settles its outcome if the response was lost.
 */
struct platform_update {
	struct platform_call call;
	struct shard *shard;
	char service[NAME_MAX_BYTES];
	bool publish;
	uint64_t term;
	uint32_t primary;
	char primary_name[NAME_MAX_BYTES];
	char change[CHANGE_ID_BYTES];
	char *body;
	bool is_reading_back; /* the PUT ended; GET in progress */
	bool put_unanswered;  /* it may have taken effect */
	enum call_result result;
	uint64_t claimed; /* highest claim known after the update */
};

static struct platform_update *update_create(struct group *g, uint64_t term);
static void update_submit(struct group *g, struct platform_update *o);
static char *new_body(const struct group *g, const struct platform_update *o,
		      const char *body);
static void on_platform(struct platform_call *c);
static void read_back(struct platform_update *o);
static void evaluate_read(struct platform_update *o);
static void complete_update(void *ctx);
static void report_to_promotion(struct group *g, struct platform_update *o);

/*
 * Claims a term for this VM by a conditional update of the group's object. The
 * shard's lock is held.
 */
void failover_claim(struct group *g, uint64_t term)
{
	struct platform_update *o = update_create(g, term);

	update_submit(g, o);
}

/*
 * Publishes a promoted database as primary by a conditional update of the
 * group's object. The shard's lock is held.
 */
void failover_publish(struct group *g, uint64_t term, uint32_t primary)
{
	struct platform_update *o = update_create(g, term);

	o->publish = true;
	o->primary = primary;
	memcpy(o->primary_name, g->db[primary]->name, sizeof(o->primary_name));
	update_submit(g, o);
}

/* Creates an update with a change id of its own. */
static struct platform_update *update_create(struct group *g, uint64_t term)
{
	struct platform_update *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->shard = g->shard;
	memcpy(o->service, g->service, sizeof(o->service));
	o->term = term;
	change_id_generate(g->shard->kernel, o->change);
	return o;
}

/*
 * Writes the object on the condition that its version is still the newest known
 * here.
 */
static void update_submit(struct group *g, struct platform_update *o)
{
	struct kernel *k = g->shard->kernel;
	char *body;

	o->call.op = PLATFORM_PUT;
	snprintf(o->call.name, sizeof(o->call.name), "groups/%s", o->service);
	o->call.done = on_platform;
	o->call.ctx = o;
	body = store_get(k->store, o->call.name, &o->call.version);
	o->body = body ? new_body(g, o, body) : NULL;
	free(body);
	if (!o->body) {
		o->result = CALL_REFUSED;
		loop_post(g->shard->loop, complete_update, o);
		return;
	}
	o->call.body = o->body;
	platform_submit(k, &o->call);
}

/*
 * Returns the object's body with the change made; NULL if it already has the
 * term or a higher one. Sets o->claimed to the highest claim known.
 */
static char *new_body(const struct group *g, const struct platform_update *o,
		      const char *body)
{
	struct platform_update *w = (struct platform_update *)o;
	struct group_config c;
	struct error e;
	json_t *j;
	char *text;

	if (config_group_parse(body, &c, &e))
		return NULL;
	w->claimed = c.claimed > c.term ? c.claimed : c.term;
	if (o->publish ? c.term >= o->term : w->claimed >= o->term)
		return NULL;
	j = json_loads(body, 0, NULL);
	if (o->publish) {
		json_object_set_new(j, "term",
				    json_integer((json_int_t)o->term));
		json_object_set_new(j, "primary", json_string(o->primary_name));
	}
	if (w->claimed < o->term) {
		json_object_set_new(j, "claimed",
				    json_integer((json_int_t)o->term));
		json_object_set_new(j, "claimed_by",
				    json_string(g->shard->kernel->settings.vm));
	}
	json_object_set_new(j, "change", json_string(o->change));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/* Handles the end of a call on the platform's loop. */
static void on_platform(struct platform_call *c)
{
	struct platform_update *o = c->ctx;

	if (o->is_reading_back) {
		evaluate_read(o);
		loop_post(o->shard->loop, complete_update, o);
		return;
	}
	switch (c->result) {
	case PLATFORM_OK:
		o->result = CALL_OK;
		o->claimed = o->term > o->claimed ? o->term : o->claimed;
		store_update(o->shard->kernel->store, c->name, c->version,
			     o->body, NULL);
		loop_post(o->shard->loop, complete_update, o);
		return;
	case PLATFORM_LOST:
		o->put_unanswered = true;
		read_back(o);
		return;
	case PLATFORM_CONFLICT:
	case PLATFORM_NOT_FOUND:
		read_back(o);
		return;
	case PLATFORM_DOWN:
		o->result = CALL_DOWN;
		loop_post(o->shard->loop, complete_update, o);
		return;
	}
}

/* Reads the object to learn whether the change took effect. */
static void read_back(struct platform_update *o)
{
	o->is_reading_back = true;
	o->call.op = PLATFORM_GET;
	o->call.body = NULL;
	platform_submit(o->shard->kernel, &o->call);
}

/*
 * Sets the result from the object that was read: CALL_OK if it carries this
 * update's change id. If the read failed, the outcome of an unanswered PUT
 * stays unknown.
 */
static void evaluate_read(struct platform_update *o)
{
	struct platform_call *c = &o->call;
	struct group_config g;
	struct error e = { 0 };

	o->result = o->put_unanswered ? CALL_LOST : CALL_REFUSED;
	if (c->result != PLATFORM_OK || !c->reply ||
	    config_group_parse(c->reply, &g, &e))
		return;
	o->claimed = g.claimed > g.term ? g.claimed : g.term;
	o->result = strcmp(g.change, o->change) == 0 ? CALL_OK : CALL_REFUSED;
	store_update(o->shard->kernel->store, c->name, c->version, c->reply,
		     NULL);
}

/*
 * Passes the result to the promotion and frees the update. Runs on the shard's
 * loop; takes the lock.
 */
static void complete_update(void *ctx)
{
	struct platform_update *o = ctx;
	struct group *g;

	shard_lock(o->shard);
	g = shard_group(o->shard, o->service);
	if (g)
		report_to_promotion(g, o);
	shard_unlock(o->shard);
	free(o->body);
	free(o);
}

/*
 * Passes the result to the promotion and executes the actions that follow. The
 * shard's lock is held.
 */
static void report_to_promotion(struct group *g, struct platform_update *o)
{
	struct promote_env env = group_promote_env(g, clock_now());
	struct promote_actions out = { 0 };

	if (o->publish) {
		promote_published(&g->promote, &env, o->term, o->result);
		if (o->result == CALL_OK)
			log_event(EV_PROMOTE_PUBLISH,
				  "service=%s term=%llu primary=%s", g->service,
				  (unsigned long long)o->term, o->primary_name);
	} else {
		promote_claimed(&g->promote, &env, o->term, o->result,
				o->claimed, &out);
		if (o->result == CALL_OK)
			log_event(EV_PROMOTE_CLAIM, "service=%s term=%llu",
				  g->service, (unsigned long long)o->term);
	}
	failover_execute(g, &out);
	group_tick_soon(g);
}
