#include "decide/config.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "decide/json_check.h"

static int parse_databases(const json_t *list, struct group_config *out,
			   struct error *e);
static int parse_database(const json_t *v, struct group_db_config *out,
			  struct error *e);
static int parse_primary(const json_t *root, struct group_config *out,
			 struct error *e);
static void copy_optional(const json_t *o, const char *key, char *out,
			  size_t size);

/* Parses and validates the body of "groups/SERVICE". */
int config_group_parse(const char *body, struct group_config *out,
		       struct error *e)
{
	json_t *root = json_check_load(body, "groups", e);
	int rc = -1;

	if (!root)
		return -1;
	memset(out, 0, sizeof(*out));
	if (json_check_text(root, "service", NAME_MAX_BYTES, "groups",
			    out->service, e) == 0 &&
	    parse_databases(json_object_get(root, "databases"), out, e) == 0 &&
	    parse_primary(root, out, e) == 0)
		rc = 0;
	if (rc == 0 && !config_name_is_valid(out->service))
		rc = json_check_fail(e, "groups", "service: not a name");
	json_decref(root);
	return rc;
}

/* Parses the databases: 1 to DB_MAX, with unique names and addresses. */
static int parse_databases(const json_t *list, struct group_config *out,
			   struct error *e)
{
	uint32_t i;
	uint32_t j;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > DB_MAX)
		return json_check_fail(e, out->service,
				       "databases: not from 1 to %d", DB_MAX);
	out->n = (uint32_t)json_array_size(list);
	for (i = 0; i < out->n; i++) {
		if (parse_database(json_array_get(list, i), &out->db[i], e))
			return -1;
		for (j = 0; j < i; j++) {
			if (strcmp(out->db[i].name, out->db[j].name) == 0 ||
			    strcmp(out->db[i].address, out->db[j].address) == 0)
				return json_check_fail(
					e, out->db[i].name,
					"same name or address as %s",
					out->db[j].name);
		}
	}
	return 0;
}

/* Parses one database. */
static int parse_database(const json_t *v, struct group_db_config *out,
			  struct error *e)
{
	const char *state = json_string_value(json_object_get(v, "state"));
	const char *at = out->name;
	bool has_slots;
	bool has_conns;

	if (json_check_text(v, "name", NAME_MAX_BYTES, "databases", out->name,
			    e) != 0 ||
	    json_check_text(v, "address", ADDR_MAX_BYTES, at, out->address,
			    e) != 0 ||
	    json_check_text(v, "domain", NAME_MAX_BYTES, at, out->domain, e) !=
		    0)
		return -1;
	if (!config_name_is_valid(out->name))
		return json_check_fail(e, "databases", "name: not a name");
	if (!state ||
	    (strcmp(state, "live") != 0 && strcmp(state, "departing") != 0))
		return json_check_fail(e, at, "state: not live or departing");
	out->state = strcmp(state, "live") == 0 ? DB_LIVE : DB_DEPARTING;
	if (json_check_uint(v, "slots", 1, SLOTS_MAX, at, &out->slots,
			    &has_slots, e) != 0 ||
	    json_check_uint(v, "connections", 1, CONNECTIONS_MAX, at,
			    &out->connections, &has_conns, e) != 0)
		return -1;
	if (!has_slots || !has_conns)
		return json_check_fail(e, at, "needs slots and connections");
	return 0;
}

/* Parses the published term, its primary, and the highest claimed term. */
static int parse_primary(const json_t *root, struct group_config *out,
			 struct error *e)
{
	const char *primary =
		json_string_value(json_object_get(root, "primary"));
	uint32_t i;

	if (json_check_u64(root, "term", out->service, &out->term, e) != 0)
		return -1;
	out->claimed = out->term;
	if (json_object_get(root, "claimed") &&
	    json_check_u64(root, "claimed", out->service, &out->claimed, e))
		return -1;
	if (out->claimed < out->term)
		return json_check_fail(e, out->service,
				       "claimed: below the term");
	copy_optional(root, "claimed_by", out->claimed_by,
		      sizeof(out->claimed_by));
	copy_optional(root, "change", out->change, sizeof(out->change));
	out->primary = DB_NONE;
	for (i = 0; primary && i < out->n; i++) {
		if (strcmp(out->db[i].name, primary) == 0)
			out->primary = i;
	}
	if (primary && *primary && out->primary == DB_NONE)
		return json_check_fail(e, out->service,
				       "primary: no database \"%.64s\"",
				       primary);
	return 0;
}

/* Copies an optional string, truncated to "size"; empty if there is none. */
static void copy_optional(const json_t *o, const char *key, char *out,
			  size_t size)
{
	const char *s = json_string_value(json_object_get(o, key));

	snprintf(out, size, "%s", s ? s : "");
}
