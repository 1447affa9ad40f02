#include "kernel/database.h"

static const struct database_ops *database_ops;

/*
 * Registers the plug-in that executes database calls. Called before the first
 * call.
 */
void database_register(const struct database_ops *ops)
{
	database_ops = ops;
}

/* Resets the call's results and starts it. Loop thread. */
void database_submit(struct db_call *c)
{
	c->result = DB_NOT_SENT;
	c->refusal = REFUSAL_NONE;
	error_clear(&c->error);
	c->asked_at = clock_now();
	c->heard_at = 0;
	c->has_status = false;
	c->rows = NULL;
	c->replayed = false;
	c->found = false;
	c->at = (struct log_pos){ 0 };
	c->new_transaction[0] = '\0';
	c->body = NULL;
	database_ops->submit(c);
}

/*
 * Copies the status of a response into the view, unless the view has a later
 * one: responses on different connections may arrive out of order.
 */
void database_view_update(struct db_view *v, const struct db_call *c)
{
	if (!c->has_status)
		return;
	if (v->known && c->asked_at < v->requested_at)
		return;
	v->known = true;
	v->requested_at = c->asked_at;
	v->responded_at = c->heard_at;
	v->fence_term = c->status.fence_term;
	v->end = c->status.end;
	v->lineage = c->status.lineage;
	v->stamp_term = c->status.stamp_term;
	v->stamp_us = c->status.stamp_us;
	v->role = c->status.role;
}
