#include "kernel/engine_own.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "kernel/platform.h"
#include "kernel/store.h"

/* A claim or a publication at the platform, and its reading back. */
struct platform_order {
	struct platform_call call;
	struct shard *shard;
	char service[NAME_MAX_BYTES];
	bool publish;
	uint64_t term;
	uint32_t primary;
	char primary_name[NAME_MAX_BYTES];
	char change[CHANGE_ID_BYTES];
	char *body;
	bool reading;  /* the PUT is over, the object is read */
	bool put_lost; /* the PUT may have taken effect */
	enum call_result result;
	uint64_t claimed; /* highest known after it */
};

static struct platform_order *order_create(struct group *g, uint64_t term);
static void order_start(struct group *g, struct platform_order *o);
static char *new_body(const struct group *g, const struct platform_order *o,
		      const char *body);
static void on_platform(struct platform_call *c);
static void read_back(struct platform_order *o);
static void judge_read(struct platform_order *o);
static void finish(void *ctx);
static void tell_promotion(struct group *g, struct platform_order *o);

/* Claims a term for this VM by a conditional update. Shard's lock. */
void failover_claim(struct group *g, uint64_t term)
{
	struct platform_order *o = order_create(g, term);

	order_start(g, o);
}

/* Publishes a promoted database by a conditional update. Shard's lock. */
void failover_publish(struct group *g, uint64_t term, uint32_t primary)
{
	struct platform_order *o = order_create(g, term);

	o->publish = true;
	o->primary = primary;
	memcpy(o->primary_name, g->db[primary]->name, sizeof(o->primary_name));
	order_start(g, o);
}

/* Makes an order with a change id of its own. */
static struct platform_order *order_create(struct group *g, uint64_t term)
{
	struct platform_order *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->shard = g->shard;
	memcpy(o->service, g->service, sizeof(o->service));
	o->term = term;
	change_id_make(g->shard->kernel, o->change);
	return o;
}

/* Writes the object over the newest version known here. */
static void order_start(struct group *g, struct platform_order *o)
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
		loop_post(g->shard->loop, finish, o);
		return;
	}
	o->call.body = o->body;
	platform_submit(k, &o->call);
}

/*
 * The object with the change made; NULL if it holds the term or a higher one
 * already. Sets the highest claim known.
 */
static char *new_body(const struct group *g, const struct platform_order *o,
		      const char *body)
{
	struct platform_order *w = (struct platform_order *)o;
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

/* The platform's loop: an order's call has ended. */
static void on_platform(struct platform_call *c)
{
	struct platform_order *o = c->ctx;

	if (o->reading) {
		judge_read(o);
		loop_post(o->shard->loop, finish, o);
		return;
	}
	switch (c->result) {
	case PLATFORM_OK:
		o->result = CALL_OK;
		o->claimed = o->term > o->claimed ? o->term : o->claimed;
		store_offer(o->shard->kernel->store, c->name, c->version,
			    o->body, NULL);
		loop_post(o->shard->loop, finish, o);
		return;
	case PLATFORM_LOST:
		o->put_lost = true;
		read_back(o);
		return;
	case PLATFORM_CONFLICT:
	case PLATFORM_ABSENT:
		read_back(o);
		return;
	case PLATFORM_DOWN:
		o->result = CALL_DOWN;
		loop_post(o->shard->loop, finish, o);
		return;
	}
}

/* Reads the object: did the change take effect, or what stands there? */
static void read_back(struct platform_order *o)
{
	o->reading = true;
	o->call.op = PLATFORM_GET;
	o->call.body = NULL;
	platform_submit(o->shard->kernel, &o->call);
}

/* Judges by the object that was read; without one the outcome stays open. */
static void judge_read(struct platform_order *o)
{
	struct platform_call *c = &o->call;
	struct group_config g;
	struct error e = { 0 };

	o->result = o->put_lost ? CALL_LOST : CALL_REFUSED;
	if (c->result != PLATFORM_OK || !c->reply ||
	    config_group_parse(c->reply, &g, &e))
		return;
	o->claimed = g.claimed > g.term ? g.claimed : g.term;
	o->result = strcmp(g.change, o->change) == 0 ? CALL_OK : CALL_REFUSED;
	store_offer(o->shard->kernel->store, c->name, c->version, c->reply,
		    NULL);
}

/* The shard's loop: tells the promotion and frees the order. */
static void finish(void *ctx)
{
	struct platform_order *o = ctx;
	struct group *g;

	shard_lock(o->shard);
	g = shard_group(o->shard, o->service);
	if (g)
		tell_promotion(g, o);
	shard_unlock(o->shard);
	free(o->body);
	free(o);
}

/* Shard's lock. */
static void tell_promotion(struct group *g, struct platform_order *o)
{
	struct promote_env env = group_env(g, clock_now());
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
	failover_act(g, &out);
	group_poke(g);
}
