#include "plugins/admin_change.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/kernel.h"
#include "kernel/log.h"

#define READ_TRIES	   3
#define CONFLICT_TRIES	   8
#define CONFIRM_TIMEOUT_US (2 * (usec_t)USEC_PER_SEC)

static void read_object(void *ctx);
static void on_read(struct platform_call *c);
static void on_absent_or_found(struct admin_change *a, const char *body,
			       uint64_t version);
static bool condition_holds(struct admin_change *a, const char *body,
			    uint64_t version);
static bool target_exists(const struct admin_change *a, const char *body);
static void write_object(struct admin_change *a);
static void on_written(struct platform_call *c);
static void written(struct admin_change *a, const char *body, uint64_t version);
static void on_confirmed(struct gossip_confirm *c);
static void conflict(struct admin_change *a, uint64_t current);
static void read_later(struct admin_change *a);
static void end(struct admin_change *a, enum admin_result result);
static void audit(const struct admin_change *a);
static void clean(const char *text, char *out, size_t size);

/* Begins a change; any thread. */
void admin_change_start(struct admin_change *a)
{
	error_clear(&a->error);
	if (change_object(&a->change, a->object, &a->error)) {
		end(a, ADMIN_REFUSED);
		return;
	}
	a->deadline = clock_now() + a->timeout;
	a->timer.fn = read_object;
	a->timer.ctx = a;
	read_object(a);
}

/* Returns the result's name as operators see it. */
const char *admin_result_name(enum admin_result r)
{
	switch (r) {
	case ADMIN_ACCEPTED:
		return "accepted";
	case ADMIN_WRITTEN:
		return "written";
	case ADMIN_REFUSED:
		return "refused";
	case ADMIN_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

/* Reads the object that is to be changed. */
static void read_object(void *ctx)
{
	struct admin_change *a = ctx;
	struct platform_call *c = &a->call;

	memset(c, 0, sizeof(*c));
	c->op = PLATFORM_GET;
	snprintf(c->name, sizeof(c->name), "%s", a->object);
	c->done = on_read;
	c->ctx = a;
	platform_submit(a->kernel, c);
}

/* Goes on with what was read. */
static void on_read(struct platform_call *c)
{
	struct admin_change *a = c->ctx;

	if (c->result == PLATFORM_OK) {
		on_absent_or_found(a, c->reply, c->version);
		return;
	}
	if (c->result == PLATFORM_ABSENT) {
		on_absent_or_found(a, NULL, 0);
		return;
	}
	/* A lost write has to be resolved; else a few tries are enough. */
	if (a->maybe_done || ++a->reads < READ_TRIES) {
		read_later(a);
		return;
	}
	a->error = c->error;
	end(a, ADMIN_REFUSED);
}

/*
 * Decides by the current object. A change whose reply was lost has taken
 * effect if its id is among the object's changes; if it is not, although the
 * version has risen, it never will, as it was on condition of the version. If
 * the version is the same it may still arrive: the same write is made again.
 */
static void on_absent_or_found(struct admin_change *a, const char *body,
			       uint64_t version)
{
	struct error why;

	if (body && change_took_effect(body, a->change.id)) {
		a->already = a->body == NULL;
		written(a, body, version);
		return;
	}
	if (a->maybe_done && version == a->base) {
		write_object(a);
		return;
	}
	if (a->maybe_done && version - a->base > CHANGES_KEPT) {
		error_set(&a->error, ERR_UNKNOWN, STEP_CONFIG_WRITE, a->object,
			  "reply lost, and too many changes since");
		end(a, ADMIN_UNKNOWN);
		return;
	}
	if (a->maybe_done && body && !change_readable(body, &why)) {
		error_set(&a->error, ERR_UNKNOWN, STEP_CONFIG_WRITE, a->object,
			  "reply lost, and another writer has left what can't "
			  "be read: %s",
			  why.message);
		end(a, ADMIN_UNKNOWN);
		return;
	}
	a->maybe_done = false;
	if (!condition_holds(a, body, version))
		return;
	free(a->body);
	a->body = change_apply(&a->change, body, &a->error);
	if (!a->body) {
		a->version = version;
		end(a, ADMIN_REFUSED);
		return;
	}
	a->base = version;
	write_object(a);
}

/* Ends the change with a conflict if its condition does not hold. */
static bool condition_holds(struct admin_change *a, const char *body,
			    uint64_t version)
{
	if (a->condition.has_version && a->condition.version != version) {
		conflict(a, version);
		return false;
	}
	if (a->condition.absent && body && target_exists(a, body)) {
		conflict(a, version);
		return false;
	}
	return true;
}

/* Is the team, or the exception, there already? */
static bool target_exists(const struct admin_change *a, const char *body)
{
	const char *list = "teams";
	const char *name = a->change.team;
	bool exists;
	json_t *root;

	if (a->change.kind == CHANGE_PUT_DEFAULTS)
		return true;
	if (a->change.kind == CHANGE_PUT_EXCEPTION) {
		list = "exceptions";
		name = a->change.exception_id;
	}
	root = json_loads(body, 0, NULL);
	exists = json_object_get(json_object_get(root, list), name) != NULL;
	json_decref(root);
	return exists;
}

/* Writes the new object on condition of the version that was read. */
static void write_object(struct admin_change *a)
{
	struct platform_call *c = &a->call;

	memset(c, 0, sizeof(*c));
	c->op = PLATFORM_PUT;
	snprintf(c->name, sizeof(c->name), "%s", a->object);
	c->body = a->body;
	c->version = a->base;
	c->done = on_written;
	c->ctx = a;
	platform_submit(a->kernel, c);
}

/* Goes on with what came of the write. */
static void on_written(struct platform_call *c)
{
	struct admin_change *a = c->ctx;

	switch (c->result) {
	case PLATFORM_OK:
		written(a, a->body, c->version);
		return;
	case PLATFORM_LOST:
		a->maybe_done = true;
		read_later(a);
		return;
	case PLATFORM_CONFLICT:
		if (a->maybe_done || (!a->condition.has_version &&
				      ++a->tries < CONFLICT_TRIES)) {
			read_object(a);
			return;
		}
		conflict(a, c->version);
		return;
	default:
		break;
	}
	if (a->maybe_done) {
		read_later(a);
		return;
	}
	a->error = c->error;
	end(a, ADMIN_REFUSED);
}

/* The change is in the object: takes it into force here, makes it known. */
static void written(struct admin_change *a, const char *body, uint64_t version)
{
	struct gossip_confirm *c = &a->confirm;
	struct error e;

	a->version = version;
	gossip_offer(a->kernel, a->object, version, 0, body, &e);
	memset(c, 0, sizeof(*c));
	snprintf(c->name, sizeof(c->name), "%s", a->object);
	c->version = version;
	c->timeout = CONFIRM_TIMEOUT_US;
	c->done = on_confirmed;
	c->ctx = a;
	gossip_confirm(a->kernel, c);
}

/* Accepted once it is known to another VM; else it is only written. */
static void on_confirmed(struct gossip_confirm *c)
{
	struct admin_change *a = c->ctx;

	end(a, c->missing == MISSING_NOTHING ? ADMIN_ACCEPTED : ADMIN_WRITTEN);
}

/* Another change was first. */
static void conflict(struct admin_change *a, uint64_t current)
{
	a->version = current;
	if (a->condition.has_version)
		error_set(&a->error, ERR_CONFLICT, STEP_CONFIG_WRITE, a->object,
			  "version %llu expected, %llu found",
			  (unsigned long long)a->condition.version,
			  (unsigned long long)current);
	else
		error_set(&a->error, ERR_CONFLICT, STEP_CONFIG_WRITE, a->object,
			  a->condition.absent
				  ? "exists already, version %llu"
				  : "changed meanwhile, version %llu",
			  (unsigned long long)current);
	end(a, ADMIN_REFUSED);
}

/* Reads again after a pause, or gives up at the deadline. */
static void read_later(struct admin_change *a)
{
	if (clock_now() < a->deadline) {
		loop_timer_set(a->kernel->platform->loop, &a->timer,
			       clock_now() + a->pause);
		return;
	}
	a->error = a->call.error;
	if (a->maybe_done)
		error_set(&a->error, ERR_UNKNOWN, STEP_CONFIG_WRITE, a->object,
			  "reply lost: %s", a->call.error.message);
	end(a, a->maybe_done ? ADMIN_UNKNOWN : ADMIN_REFUSED);
}

/* Records the outcome and hands the change back. */
static void end(struct admin_change *a, enum admin_result result)
{
	a->result = result;
	free(a->body);
	a->body = NULL;
	audit(a);
	a->done(a);
}

/* Every change is an audit event: who, what, which version, why. */
static void audit(const struct admin_change *a)
{
	const struct change *c = &a->change;
	char reason[REASON_MAX_BYTES];

	clean(c->reason, reason, sizeof(reason));
	log_event(EV_AUDIT,
		  "by=%s what=%s result=%s%s%s team=%s key=%s exception=%s "
		  "object=%s version=%llu change=%s reason=\"%s\"",
		  c->by, change_kind_name(c->kind),
		  admin_result_name(a->result), a->error.code ? " error=" : "",
		  a->error.code ? error_code_name(a->error.code) : "", c->team,
		  c->key_id, c->exception_id, a->object,
		  (unsigned long long)a->version, c->id, reason);
}

/* Copies a text for one line of the log. */
static void clean(const char *text, char *out, size_t size)
{
	size_t i;

	for (i = 0; text[i] != '\0' && i + 1 < size; i++)
		out[i] = (unsigned char)text[i] < ' ' || text[i] == '"'
				 ? ' '
				 : text[i];
	out[i] = '\0';
}
