#include "plugins/admin_change.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/kernel.h"
#include "kernel/log.h"

#define READ_ATTEMPTS_MAX  3
#define WRITE_ATTEMPTS_MAX 8
#define CONFIRM_TIMEOUT_US (2 * (usec_t)USEC_PER_SEC)

static void read_object(void *ctx);
static void on_read(struct platform_call *c);
static void decide(struct admin_change *a, const char *body, uint64_t version);
static bool condition_holds(struct admin_change *a, const char *body,
			    uint64_t version);
static bool target_exists(const struct admin_change *a, const char *body);
static void write_object(struct admin_change *a);
static void on_written(struct platform_call *c);
static void on_change_written(struct admin_change *a, const char *body,
			      uint64_t version);
static void on_confirmed(struct gossip_confirm *c);
static void end_conflict(struct admin_change *a, uint64_t current);
static void retry_read(struct admin_change *a);
static void end_change(struct admin_change *a, enum admin_result result);
static void audit(const struct admin_change *a);
static void sanitize(const char *text, char *out, size_t size);

/* Starts a change; any thread. An invalid one calls done() at once. */
void admin_change_start(struct admin_change *a)
{
	error_clear(&a->error);
	if (change_object(&a->change, a->object, &a->error)) {
		end_change(a, ADMIN_REFUSED);
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

/* Handles the result of a read. */
static void on_read(struct platform_call *c)
{
	struct admin_change *a = c->ctx;

	if (c->result == PLATFORM_OK) {
		decide(a, c->reply, c->version);
		return;
	}
	if (c->result == PLATFORM_NOT_FOUND) {
		decide(a, NULL, 0);
		return;
	}
	/* After a lost reply the outcome has to be found out: keep reading. */
	if (a->reply_lost || ++a->failed_reads < READ_ATTEMPTS_MAX) {
		retry_read(a);
		return;
	}
	a->error = c->error;
	end_change(a, ADMIN_REFUSED);
}

/*
 * Decides what to do from the current object; "body" is NULL if it does not
 * exist. A change whose reply was lost has taken effect if its id is among the
 * object's last CHANGES_KEPT changes. If the id is missing and the version has
 * risen, the write can no longer take effect, because it was conditional on the
 * version. If the version is the same the write may still arrive, so the same
 * write is sent again.
 */
static void decide(struct admin_change *a, const char *body, uint64_t version)
{
	struct error why;

	if (body && change_took_effect(body, a->change.id)) {
		a->already_applied = a->body == NULL;
		on_change_written(a, body, version);
		return;
	}
	if (a->reply_lost && version == a->base_version) {
		write_object(a);
		return;
	}
	if (a->reply_lost && version - a->base_version > CHANGES_KEPT) {
		error_set(&a->error, ERR_UNKNOWN, STEP_CONFIG_WRITE, a->object,
			  "reply lost, and too many changes since");
		end_change(a, ADMIN_UNKNOWN);
		return;
	}
	if (a->reply_lost && body && !change_is_readable(body, &why)) {
		error_set(&a->error, ERR_UNKNOWN, STEP_CONFIG_WRITE, a->object,
			  "reply lost, and another writer has written what "
			  "cannot be read: %s",
			  why.message);
		end_change(a, ADMIN_UNKNOWN);
		return;
	}
	a->reply_lost = false;
	if (!condition_holds(a, body, version))
		return;
	free(a->body);
	a->body = change_apply(&a->change, body, &a->error);
	if (!a->body) {
		a->version = version;
		end_change(a, ADMIN_REFUSED);
		return;
	}
	a->base_version = version;
	write_object(a);
}

/* Checks the change's precondition; ends the change if it does not hold. */
static bool condition_holds(struct admin_change *a, const char *body,
			    uint64_t version)
{
	if (a->condition.has_version && a->condition.version != version) {
		end_conflict(a, version);
		return false;
	}
	if (a->condition.absent && body && target_exists(a, body)) {
		end_conflict(a, version);
		return false;
	}
	return true;
}

/* Returns whether the team or exception to be put exists already. */
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

/* Writes the new object, conditionally on the version that was read. */
static void write_object(struct admin_change *a)
{
	struct platform_call *c = &a->call;

	memset(c, 0, sizeof(*c));
	c->op = PLATFORM_PUT;
	snprintf(c->name, sizeof(c->name), "%s", a->object);
	c->body = a->body;
	c->version = a->base_version;
	c->done = on_written;
	c->ctx = a;
	platform_submit(a->kernel, c);
}

/* Handles the result of a write. */
static void on_written(struct platform_call *c)
{
	struct admin_change *a = c->ctx;

	switch (c->result) {
	case PLATFORM_OK:
		on_change_written(a, a->body, c->version);
		return;
	case PLATFORM_LOST:
		a->reply_lost = true;
		retry_read(a);
		return;
	case PLATFORM_CONFLICT:
		if (a->reply_lost || (!a->condition.has_version &&
				      ++a->conflicts < WRITE_ATTEMPTS_MAX)) {
			read_object(a);
			return;
		}
		end_conflict(a, c->version);
		return;
	default:
		break;
	}
	if (a->reply_lost) {
		retry_read(a);
		return;
	}
	a->error = c->error;
	end_change(a, ADMIN_REFUSED);
}

/*
 * Handles a change that is known to be in the object: applies the object here
 * and pushes it to other VMs for confirmation.
 */
static void on_change_written(struct admin_change *a, const char *body,
			      uint64_t version)
{
	struct gossip_confirm *c = &a->confirm;
	struct error e;

	a->version = version;
	gossip_apply_object(a->kernel, a->object, version, 0, body, &e);
	memset(c, 0, sizeof(*c));
	snprintf(c->name, sizeof(c->name), "%s", a->object);
	c->version = version;
	c->timeout = CONFIRM_TIMEOUT_US;
	c->done = on_confirmed;
	c->ctx = a;
	gossip_confirm(a->kernel, c);
}

/* Ends a written change as accepted if it was confirmed in time. */
static void on_confirmed(struct gossip_confirm *c)
{
	struct admin_change *a = c->ctx;

	end_change(a, c->missing == MISSING_NOTHING ? ADMIN_ACCEPTED
						    : ADMIN_WRITTEN);
}

/* Ends the change as refused, because the object has another version. */
static void end_conflict(struct admin_change *a, uint64_t current)
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
	end_change(a, ADMIN_REFUSED);
}

/*
 * Schedules another read, or ends the change if its deadline has passed: as
 * unknown if a write's reply was lost, else as refused.
 */
static void retry_read(struct admin_change *a)
{
	if (clock_now() < a->deadline) {
		loop_timer_set(a->kernel->platform->loop, &a->timer,
			       clock_now() + a->retry_backoff);
		return;
	}
	a->error = a->call.error;
	if (a->reply_lost)
		error_set(&a->error, ERR_UNKNOWN, STEP_CONFIG_WRITE, a->object,
			  "reply lost: %s", a->call.error.message);
	end_change(a, a->reply_lost ? ADMIN_UNKNOWN : ADMIN_REFUSED);
}

/* Sets the result, logs the audit event and calls done(). */
static void end_change(struct admin_change *a, enum admin_result result)
{
	a->result = result;
	free(a->body);
	a->body = NULL;
	audit(a);
	a->done(a);
}

/* Logs the audit event of a change: who, what, result, version and reason. */
static void audit(const struct admin_change *a)
{
	const struct change *c = &a->change;
	char reason[REASON_MAX_BYTES];

	sanitize(c->reason, reason, sizeof(reason));
	log_event(EV_AUDIT,
		  "by=%s what=%s result=%s%s%s team=%s key=%s exception=%s "
		  "object=%s version=%llu change=%s reason=\"%s\"",
		  c->by, change_kind_name(c->kind),
		  admin_result_name(a->result), a->error.code ? " error=" : "",
		  a->error.code ? error_code_name(a->error.code) : "", c->team,
		  c->key_id, c->exception_id, a->object,
		  (unsigned long long)a->version, c->id, reason);
}

/* Copies a text; replaces control characters and quotes for the log. */
static void sanitize(const char *text, char *out, size_t size)
{
	size_t i;

	for (i = 0; text[i] != '\0' && i + 1 < size; i++)
		out[i] = (unsigned char)text[i] < ' ' || text[i] == '"'
				 ? ' '
				 : text[i];
	out[i] = '\0';
}
