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
	bool is_reading_back; /* the PUT has ended; a GET is in progress */
	bool put_unanswered;  /* the PUT may have taken effect */
	enum call_result result;
	uint64_t claimed; /* highest claim known after the update */
};

static struct platform_update *update_create(struct group *g, uint64_t term);
static void update_submit(struct group *g, struct platform_update *update);
static char *new_body(const struct group *g,
		      const struct platform_update *update, const char *body);
static void on_platform(struct platform_call *c);
static void read_back(struct platform_update *update);
static void evaluate_read(struct platform_update *update);
static void complete_update(void *ctx);
static void report_to_promotion(struct group *g,
				struct platform_update *update);

/*
 * Claims a term for this VM by a conditional update of the group's object. The
 * shard's lock is held.
 */
void failover_claim(struct group *g, uint64_t term)
{
	struct platform_update *update = update_create(g, term);

	update_submit(g, update);
}

/*
 * Publishes a promoted database as primary by a conditional update of the
 * group's object. The shard's lock is held.
 */
void failover_publish(struct group *g, uint64_t term, uint32_t primary)
{
	struct platform_update *update = update_create(g, term);

	update->publish = true;
	update->primary = primary;
	memcpy(update->primary_name, g->db[primary]->name,
	       sizeof(update->primary_name));
	update_submit(g, update);
}

/* Creates an update with a change id of its own. */
static struct platform_update *update_create(struct group *g, uint64_t term)
{
	struct platform_update *update = calloc(1, sizeof(*update));

	if (!update)
		abort();
	update->shard = g->shard;
	memcpy(update->service, g->service, sizeof(update->service));
	update->term = term;
	change_id_generate(g->shard->kernel, update->change);
	return update;
}

/*
 * Writes the object on the condition that its version is still the newest known
 * here.
 */
static void update_submit(struct group *g, struct platform_update *update)
{
	struct kernel *k = g->shard->kernel;
	char *body;

	update->call.op = PLATFORM_PUT;
	snprintf(update->call.name, sizeof(update->call.name), "groups/%s",
		 update->service);
	update->call.done = on_platform;
	update->call.ctx = update;
	body = store_get(k->store, update->call.name, &update->call.version);
	update->body = body ? new_body(g, update, body) : NULL;
	free(body);
	if (!update->body) {
		update->result = CALL_REFUSED;
		loop_post(g->shard->loop, complete_update, update);
		return;
	}
	update->call.body = update->body;
	platform_submit(k, &update->call);
}

/*
 * Returns the object's body with the change made; NULL if it already has the
 * term or a higher one. Sets update->claimed to the highest claim known.
 */
static char *new_body(const struct group *g,
		      const struct platform_update *update, const char *body)
{
	struct platform_update *writable = (struct platform_update *)update;
	struct group_config c;
	struct error e;
	json_t *j;
	char *text;

	if (config_group_parse(body, &c, &e))
		return NULL;
	writable->claimed = c.claimed > c.term ? c.claimed : c.term;
	if (update->publish ? c.term >= update->term
			    : writable->claimed >= update->term)
		return NULL;
	j = json_loads(body, 0, NULL);
	if (update->publish) {
		json_object_set_new(j, "term",
				    json_integer((json_int_t)update->term));
		json_object_set_new(j, "primary",
				    json_string(update->primary_name));
	}
	if (writable->claimed < update->term) {
		json_object_set_new(j, "claimed",
				    json_integer((json_int_t)update->term));
		json_object_set_new(j, "claimed_by",
				    json_string(g->shard->kernel->settings.vm));
	}
	json_object_set_new(j, "change", json_string(update->change));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/* Handles the end of a call on the platform's loop. */
static void on_platform(struct platform_call *c)
{
	struct platform_update *update = c->ctx;

	if (update->is_reading_back) {
		evaluate_read(update);
		loop_post(update->shard->loop, complete_update, update);
		return;
	}
	switch (c->result) {
	case PLATFORM_OK:
		update->result = CALL_OK;
		update->claimed = update->term > update->claimed
					  ? update->term
					  : update->claimed;
		store_update(update->shard->kernel->store, c->name, c->version,
			     update->body, NULL);
		loop_post(update->shard->loop, complete_update, update);
		return;
	case PLATFORM_LOST:
		update->put_unanswered = true;
		read_back(update);
		return;
	case PLATFORM_CONFLICT:
	case PLATFORM_NOT_FOUND:
		read_back(update);
		return;
	case PLATFORM_DOWN:
		update->result = CALL_DOWN;
		loop_post(update->shard->loop, complete_update, update);
		return;
	}
}

/* Reads the object to learn whether the change took effect. */
static void read_back(struct platform_update *update)
{
	update->is_reading_back = true;
	update->call.op = PLATFORM_GET;
	update->call.body = NULL;
	platform_submit(update->shard->kernel, &update->call);
}

/*
 * Sets the result from the object that was read: CALL_OK if it carries this
 * update's change id. If the read failed, the outcome of an unanswered PUT
 * stays unknown.
 */
static void evaluate_read(struct platform_update *update)
{
	struct platform_call *c = &update->call;
	struct group_config g;
	struct error e = { 0 };

	update->result = update->put_unanswered ? CALL_LOST : CALL_REFUSED;
	if (c->result != PLATFORM_OK || !c->reply ||
	    config_group_parse(c->reply, &g, &e))
		return;
	update->claimed = g.claimed > g.term ? g.claimed : g.term;
	update->result =
		strcmp(g.change, update->change) == 0 ? CALL_OK : CALL_REFUSED;
	store_update(update->shard->kernel->store, c->name, c->version,
		     c->reply, NULL);
}

/*
 * Passes the result to the promotion and frees the update. Runs on the shard's
 * loop; takes the lock.
 */
static void complete_update(void *ctx)
{
	struct platform_update *update = ctx;
	struct group *g;

	shard_lock(update->shard);
	g = shard_group(update->shard, update->service);
	if (g)
		report_to_promotion(g, update);
	shard_unlock(update->shard);
	free(update->body);
	free(update);
}

/*
 * Passes the result to the promotion and executes the actions that follow. The
 * shard's lock is held.
 */
static void report_to_promotion(struct group *g, struct platform_update *update)
{
	struct promote_env env = group_promote_env(g, clock_now());
	struct promote_actions out = { 0 };

	if (update->publish) {
		promote_published(&g->promote, &env, update->term,
				  update->result);
		if (update->result == CALL_OK)
			log_event(EV_PROMOTE_PUBLISH,
				  "service=%s term=%llu primary=%s", g->service,
				  (unsigned long long)update->term,
				  update->primary_name);
	} else {
		promote_claimed(&g->promote, &env, update->term, update->result,
				update->claimed, &out);
		if (update->result == CALL_OK)
			log_event(EV_PROMOTE_CLAIM, "service=%s term=%llu",
				  g->service, (unsigned long long)update->term);
	}
	failover_execute(g, &out);
	group_tick_soon(g);
}
