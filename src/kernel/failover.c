#include "kernel/engine_internal.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"

/* A fence, promote or follow command in progress at a database. */
struct db_command {
	struct db_call call;
	struct group_db *db;
};

static void execute_action(struct group *g, const struct promote_action *a);
static void send_command(struct group *g, enum db_op op,
			 const struct promote_action *a);
static void on_command_done(struct db_call *c);
static enum call_result promote_result(const struct db_call *c);
static void db_view_of(struct db_view *v, const struct db_call *c);

/*
 * Executes the actions that a promotion decided on, in order. The shard's lock
 * is held.
 */
void failover_execute(struct group *g, const struct promote_actions *out)
{
	uint32_t i;

	for (i = 0; i < out->n; i++)
		execute_action(g, &out->a[i]);
}

/*
 * Passes a term learnt from the platform's object or a peer to the promotion,
 * which decides whether the view adopts it. The shard's lock is held.
 */
void failover_note_term(struct group *g, uint64_t term, uint32_t primary,
			bool published, uint64_t claimed)
{
	struct promote_env env = group_promote_env(g, clock_now());
	struct promote_actions out = { 0 };

	promote_heard(&g->promote, &env, term, primary, published, claimed,
		      &out);
	failover_execute(g, &out);
}

/* Executes one action. */
static void execute_action(struct group *g, const struct promote_action *a)
{
	usec_t now = clock_now();

	switch (a->act) {
	case ACT_CLAIM:
		failover_claim(g, a->term);
		return;
	case ACT_FENCE:
		send_command(g, DB_FENCE, a);
		return;
	case ACT_PROMOTE:
		log_event(EV_PROMOTE_FENCE, "service=%s term=%llu", g->service,
			  (unsigned long long)a->term);
		send_command(g, DB_PROMOTE, a);
		return;
	case ACT_FOLLOW:
		send_command(g, DB_FOLLOW, a);
		return;
	case ACT_PUBLISH:
		failover_publish(g, a->term, a->primary);
		return;
	case ACT_ASK_OPINION:
		log_event(EV_PROMOTE_SUSPECT, "service=%s term=%llu cause=%s",
			  g->service, (unsigned long long)a->term,
			  promote_cause_name(g->promote.cause));
		group_peer_ask_opinion(g, a->term);
		return;
	case ACT_HOLD_WRITES:
		g->hold_local = true;
		group_view_changed(g);
		return;
	case ACT_RELEASE_WRITES:
		g->hold_local = false;
		group_view_changed(g);
		return;
	case ACT_TELL_HOLD:
		log_event(EV_HANDOVER_START, "service=%s term=%llu", g->service,
			  (unsigned long long)g->view.term);
		group_peer_announce_hold(g, g->view.term, a->until - now);
		return;
	case ACT_TELL_RELEASE:
		group_peer_announce_hold(g, g->view.term, 0);
		return;
	case ACT_TELL_PEERS:
		group_peer_announce_primary(g, a->term, a->primary);
		return;
	case ACT_ADOPT:
		group_set_primary(g, a->term, a->primary);
		return;
	}
}

/* Sends a fence, promote or follow command to a database. */
static void send_command(struct group *g, enum db_op op,
			 const struct promote_action *a)
{
	struct db_command *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->db = g->db[a->db];
	o->call.op = op;
	o->call.loop = g->shard->loop;
	memcpy(o->call.address, o->db->address, sizeof(o->call.address));
	o->call.term = a->term;
	if (op == DB_FOLLOW)
		memcpy(o->call.primary, g->db[a->primary]->address,
		       sizeof(o->call.primary));
	o->call.timeout = g->promote.policy.retry_us;
	o->call.done = on_command_done;
	o->call.ctx = o;
	database_submit(&o->call);
}

/*
 * Handles the result of a command and passes it to the promotion. Takes the
 * lock.
 */
static void on_command_done(struct db_call *c)
{
	struct db_command *o = c->ctx;
	struct group_db *db = o->db;
	struct group *g = db->group;
	struct promote_actions out = { 0 };
	struct promote_env env;
	struct db_view view = { 0 };

	shard_lock(g->shard);
	group_note_response(db, c);
	if (db->index != DB_NONE) {
		env = group_promote_env(g, clock_now());
		db_view_of(&view, c);
		if (c->op == DB_FENCE) {
			promote_fenced(&g->promote, &env, db->index, c->term,
				       promote_result(c), &view, &out);
		} else if (c->op == DB_PROMOTE) {
			promote_promoted(&g->promote, &env, db->index, c->term,
					 promote_result(c), &out);
			if (c->result == DB_OK) {
				counter_add(CTR_PROMOTIONS, 1);
				log_event(EV_PROMOTE_DONE,
					  "service=%s term=%llu database=%s",
					  g->service,
					  (unsigned long long)c->term,
					  db->name);
			}
		}
		failover_execute(g, &out);
		group_tick_soon(g);
	}
	shard_unlock(g->shard);
	free(o);
}

/* Maps the result of a database call to that of the promotion module. */
static enum call_result promote_result(const struct db_call *c)
{
	switch (c->result) {
	case DB_OK:
		return CALL_OK;
	case DB_REFUSED:
		return CALL_REFUSED;
	case DB_NOT_SENT:
		return CALL_DOWN;
	case DB_LOST:
		break;
	}
	return CALL_LOST;
}

/*
 * Copies the status of a response into a view, which stays unknown if there was
 * none.
 */
static void db_view_of(struct db_view *v, const struct db_call *c)
{
	database_view_update(v, c);
}
