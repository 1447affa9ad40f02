#include "plugins/admin_view.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/engine.h"
#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/object_store.h"
#include "kernel/timeline.h"

#define EVENTS_MAX  512
#define MEMBERS_MAX 16384

static json_t *find_entry(const char *body, const char *list, const char *name);
static json_t *make_team(const json_t *team);
static void add_name(void *ctx, const char *name, uint64_t version,
		     size_t body_len);
static void add_teams(json_t *out, struct kernel *k, const char *name);
static json_t *make_member(const struct fleet_vm *vm);
static json_t *make_members(struct kernel *k);
static json_t *make_groups(struct kernel *k);
static const char *freshness_name(enum freshness_state s);
static json_t *make_event(const struct timeline_event *ev);
static const char *missing_text(enum gossip_missing m);

/* A growing list of object names. */
struct name_list {
	size_t n;
	size_t capacity;
	char (*name)[OBJECT_NAME_BYTES];
};

/* Returns an error as operators see it. */
json_t *admin_view_error(const struct error *e)
{
	return json_pack("{s:s,s:s,s:s,s:s}", "code", error_code_name(e->code),
			 "step", step_name(e->step), "peer", e->peer, "message",
			 e->message);
}

/* Returns a team without its keys' hashes; NULL with NOT_FOUND if absent. */
json_t *admin_view_team(const char *body, const char *team, struct error *e)
{
	json_t *t = find_entry(body, "teams", team);
	json_t *out;

	if (!t) {
		error_set(e, ERR_NOT_FOUND, STEP_NONE, NULL, "no team %s",
			  team);
		return NULL;
	}
	out = make_team(t);
	json_decref(t);
	json_object_set_new(out, "team", json_string(team));
	return out;
}

/* Returns an exception and its id; NULL with NOT_FOUND if absent. */
json_t *admin_view_exception(const char *body, const char *id, struct error *e)
{
	json_t *x = find_entry(body, "exceptions", id);
	json_t *out;

	if (!x) {
		error_set(e, ERR_NOT_FOUND, STEP_NONE, NULL, "no exception %s",
			  id);
		return NULL;
	}
	out = json_copy(x);
	json_decref(x);
	json_object_set_new(out, "id", json_string(id));
	return out;
}

/* Returns all exceptions by their ids. */
json_t *admin_view_exceptions(const char *body)
{
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	json_t *list = json_object_get(root, "exceptions");
	json_t *out = json_pack("{s:O?}", "exceptions", list);

	if (!list) {
		json_decref(out);
		out = json_pack("{s:{}}", "exceptions");
	}
	json_decref(root);
	return out;
}

/* Returns the defaults without the ids of changes. */
json_t *admin_view_defaults(const char *body, struct error *e)
{
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;

	if (!root) {
		error_set(e, ERR_NOT_FOUND, STEP_NONE, NULL,
			  "defaults are not set");
		return NULL;
	}
	json_object_del(root, "changes");
	return root;
}

/*
 * Returns all teams that this VM knows, by name. Collects the objects' names
 * first, as store_for_each() holds the store's lock and store_get() takes it.
 */
json_t *admin_view_teams(struct kernel *k)
{
	json_t *teams = json_object();
	struct name_list names = { 0 };
	size_t i;

	store_for_each(k->store, "teams/", add_name, &names);
	for (i = 0; i < names.n; i++)
		add_teams(teams, k, names.name[i]);
	free(names.name);
	return json_pack("{s:o}", "teams", teams);
}

/* Returns the status of this VM and what it knows of the other VMs. */
json_t *admin_view_status(struct kernel *k)
{
	const struct settings *s = &k->settings;
	usec_t now = clock_now();
	int64_t age = fleet_platform_data_age(k, now);

	return json_pack("{s:s,s:s,s:s,s:I,s:b,s:b,s:s,s:I,s:I,s:I,s:o,s:o*}",
			 "vm", s->vm, "domain", s->domain, "region", s->region,
			 "incarnation", (json_int_t)k->incarnation, "draining",
			 (int)__atomic_load_n(&k->draining, __ATOMIC_RELAXED),
			 "platform_up", (int)platform_is_up(k), "freshness",
			 freshness_name(fleet_freshness(k, now)), "word_age_ms",
			 (json_int_t)(age < 0 ? -1 : age / USEC_PER_MSEC),
			 "revision", (json_int_t)gossip_revision(), "objects",
			 (json_int_t)store_count(k->store), "members",
			 make_members(k), "groups", make_groups(k));
}

/* Returns at most EVENTS_MAX events of the timeline from number "since" on. */
json_t *admin_view_events(struct kernel *k, uint64_t since)
{
	struct timeline_event *ring = calloc(EVENTS_MAX, sizeof(*ring));
	json_t *list = json_array();
	uint64_t lost = 0, next = since ? since : 1;
	size_t n = 0, i;

	if (ring)
		n = timeline_read(since, ring, EVENTS_MAX, &lost);
	for (i = 0; i < n; i++) {
		json_array_append_new(list, make_event(&ring[i]));
		next = ring[i].number + 1;
	}
	free(ring);
	return json_pack("{s:s,s:s,s:I,s:I,s:o}", "vm", k->settings.vm,
			 "domain", k->settings.domain, "lost", (json_int_t)lost,
			 "next", (json_int_t)next, "events", list);
}

/* Returns the outcome of a change; "secret" is a new key's, else NULL. */
json_t *admin_view_change(const struct admin_change *a, const char *secret)
{
	json_t *out = json_pack("{s:s,s:s,s:s,s:I}", "result",
				admin_result_name(a->result), "change",
				a->change.id, "object", a->object, "version",
				(json_int_t)a->version);

	if (a->result == ADMIN_ACCEPTED && a->confirm.known_by[0] != '\0') {
		json_object_set_new(out, "known_by",
				    json_string(a->confirm.known_by));
		json_object_set_new(out, "known_in_domain",
				    json_string(a->confirm.known_domain));
	}
	if (a->result == ADMIN_WRITTEN)
		json_object_set_new(
			out, "missing",
			json_string(missing_text(a->confirm.missing)));
	if (a->error.code != ERR_NONE)
		json_object_set_new(out, "error", admin_view_error(&a->error));
	if (a->error.code == ERR_CONFLICT && a->condition.has_version)
		json_object_set_new(
			out, "expected",
			json_integer((json_int_t)a->condition.version));
	if (a->change.kind == CHANGE_ADD_KEY && a->result != ADMIN_REFUSED) {
		json_object_set_new(out, "key_id",
				    json_string(a->change.key_id));
		if (secret && !a->already_applied)
			json_object_set_new(out, "secret", json_string(secret));
	}
	return out;
}

/*
 * Returns a new reference to the member "name" of the JSON map "list" in a
 * stored object's body; NULL if there is none.
 */
static json_t *find_entry(const char *body, const char *list, const char *name)
{
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	json_t *entry = json_object_get(json_object_get(root, list), name);

	json_incref(entry);
	json_decref(root);
	return entry;
}

/* Returns a team with the ids and states of its keys but not their hashes. */
static json_t *make_team(const json_t *team)
{
	json_t *out = json_deep_copy(team);
	json_t *key;
	const char *id;

	json_object_foreach(json_object_get(out, "keys"), id, key)
	{
		json_object_del(key, "hash");
	}
	return out;
}

/* Adds an object's name to the list; the store's lock is held. */
static void add_name(void *ctx, const char *name, uint64_t version,
		     size_t body_len)
{
	struct name_list *l = ctx;
	size_t capacity = l->capacity ? l->capacity * 2 : 32;
	void *p;

	(void)version;
	(void)body_len;
	if (l->n == l->capacity) {
		p = realloc(l->name, capacity * sizeof(*l->name));
		if (!p)
			return;
		l->name = p;
		l->capacity = capacity;
	}
	memset(l->name[l->n], 0, sizeof(l->name[0]));
	memcpy(l->name[l->n++], name, strlen(name) + 1);
}

/* Adds the teams of the stored object "name" to the JSON object "out". */
static void add_teams(json_t *out, struct kernel *k, const char *name)
{
	char *body = store_get(k->store, name, NULL);
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	json_t *team;
	const char *key;

	json_object_foreach(json_object_get(root, "teams"), key, team)
	{
		json_object_set_new(out, key, make_team(team));
	}
	json_decref(root);
	free(body);
}

/* Returns a VM as JSON. */
static json_t *make_member(const struct fleet_vm *vm)
{
	const char *state = "live";

	if (vm->departing)
		state = "departing";
	else if (!vm->alive)
		state = "silent";
	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:s}", "vm", vm->name, "domain",
			 vm->domain, "peer", vm->peer_address, "caller",
			 vm->caller_address, "incarnation",
			 (json_int_t)vm->incarnation, "state", state);
}

/* Returns all known VMs as JSON, MEMBERS_MAX at most. */
static json_t *make_members(struct kernel *k)
{
	size_t max = fleet_size(k) + 16;
	struct fleet_vm *vms;
	json_t *list = json_array();
	size_t n, i;

	if (max > MEMBERS_MAX)
		max = MEMBERS_MAX;
	vms = calloc(max, sizeof(*vms));
	if (!vms)
		return list;
	n = fleet_snapshot(k, vms, max);
	for (i = 0; i < n; i++)
		json_array_append_new(list, make_member(&vms[i]));
	free(vms);
	return list;
}

/* Returns the groups' state from the engine; NULL if there is no engine. */
static json_t *make_groups(struct kernel *k)
{
	char *text = k->engine ? engine_status(k) : NULL;
	json_t *j = text ? json_loads(text, 0, NULL) : NULL;

	free(text);
	return j;
}

/* Returns the name of a freshness state. */
static const char *freshness_name(enum freshness_state s)
{
	switch (s) {
	case FRESH:
		return "fresh";
	case FRESH_OUTAGE:
		return "outage";
	case FRESH_LAPSED:
		return "lapsed";
	}
	return "lapsed";
}

/* Returns an event of the timeline as JSON. */
static json_t *make_event(const struct timeline_event *ev)
{
	return json_pack("{s:I,s:I,s:I,s:i,s:s,s:s}", "number",
			 (json_int_t)ev->number, "wall_us",
			 (json_int_t)ev->at.wall_us, "count",
			 (json_int_t)ev->at.count, "event", (int)ev->event,
			 "name", event_name(ev->event), "text", ev->text);
}

/* Returns the text that says which acknowledgement a change still needs. */
static const char *missing_text(enum gossip_missing m)
{
	switch (m) {
	case MISSING_NOTHING:
		return "nothing";
	case MISSING_PEER:
		return "no other VM knows it yet";
	case MISSING_DOMAIN:
		return "no VM of another failure domain knows it yet";
	}
	return "nothing";
}
