#include "cmd/admin_print.h"

#include <stdio.h>
#include <string.h>

static const char *text_field(const json_t *o, const char *key);
static long long number_field(const json_t *o, const char *key);
static void print_limit(const json_t *o, const char *key);
static void print_services(const json_t *team);
static size_t count_live_keys(const json_t *team);
static void print_error(const char *what, const struct admin_call *call);

/* Prints a response as indented JSON. */
void admin_print_json(const json_t *reply)
{
	json_dumpf(reply, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	putchar('\n');
}

/* Prints one line per team: weight, number of live keys, services. */
void admin_print_teams(const json_t *reply)
{
	json_t *teams = json_object_get(reply, "teams");
	const char *name;
	json_t *t;

	printf("%-24s %6s %4s  %s\n", "TEAM", "WEIGHT", "KEYS", "SERVICES");
	json_object_foreach(teams, name, t)
	{
		printf("%-24s %6lld %4zu  ", name, number_field(t, "weight"),
		       count_live_keys(t));
		print_services(t);
		putchar('\n');
	}
}

/* Prints one line per key: id and state. */
void admin_print_keys(const json_t *reply)
{
	json_t *keys = json_object_get(reply, "keys");
	const char *id;
	json_t *k;

	printf("%-32s %s\n", "KEY", "STATE");
	json_object_foreach(keys, id, k)
	{
		printf("%-32s %s\n", id, text_field(k, "state"));
	}
}

/* Prints the limits of one object and its version. */
void admin_print_limits(const json_t *reply)
{
	printf("rate_per_s        %lld\n", number_field(reply, "rate_per_s"));
	printf("burst             %lld\n", number_field(reply, "burst"));
	printf("read_staleness_ms %lld\n",
	       number_field(reply, "read_staleness_ms"));
	printf("version           %lld\n", number_field(reply, "version"));
}

/* Prints one line per exception; the reason comes last. */
void admin_print_exceptions(const json_t *reply)
{
	json_t *all = json_object_get(reply, "exceptions");
	const char *id;
	json_t *x;

	printf("%-16s %-24s %10s %10s %10s  %s\n", "EXCEPTION", "TEAM",
	       "RATE/S", "BURST", "STALE MS", "REASON");
	json_object_foreach(all, id, x)
	{
		printf("%-16s %-24s", id, text_field(x, "team"));
		print_limit(x, "rate_per_s");
		print_limit(x, "burst");
		print_limit(x, "read_staleness_ms");
		printf("  %s\n", text_field(x, "reason"));
	}
}

/* Prints the VM that was asked, then one line per VM that it knows. */
void admin_print_status(const json_t *reply)
{
	json_t *members = json_object_get(reply, "members");
	json_t *m;
	size_t i;

	printf("vm %s, domain %s: platform %s, knowledge %s (%lld ms), "
	       "revision %lld, %lld objects%s\n",
	       text_field(reply, "vm"), text_field(reply, "domain"),
	       json_is_true(json_object_get(reply, "platform_up")) ? "up"
								   : "down",
	       text_field(reply, "freshness"),
	       number_field(reply, "word_age_ms"),
	       number_field(reply, "revision"), number_field(reply, "objects"),
	       json_is_true(json_object_get(reply, "draining")) ? ", draining"
								: "");
	printf("%-20s %-12s %-10s %-22s %s\n", "VM", "DOMAIN", "STATE", "PEER",
	       "CALLERS");
	json_array_foreach(members, i, m)
	{
		printf("%-20s %-12s %-10s %-22s %s\n", text_field(m, "vm"),
		       text_field(m, "domain"), text_field(m, "state"),
		       text_field(m, "peer"), text_field(m, "caller"));
	}
}

/*
 * Prints the outcome of a change with its id, so that an unknown one can be
 * repeated. Returns the exit code.
 */
int admin_print_change(const struct admin_client *c,
		       const struct admin_call *call, bool json)
{
	const char *result = text_field(call->reply, "result");

	if (json && call->reply)
		admin_print_json(call->reply);
	if (strcmp(result, "accepted") == 0) {
		if (!json)
			printf("accepted %s: version %lld, known by %s\n",
			       c->change, number_field(call->reply, "version"),
			       json_object_get(call->reply, "known_by")
				       ? text_field(call->reply, "known_by")
				       : "this VM, the only one");
		return EXIT_ACCEPTED;
	}
	if (strcmp(result, "written") == 0) {
		if (!json)
			printf("written %s: version %lld, not accepted yet: "
			       "%s\n",
			       c->change, number_field(call->reply, "version"),
			       text_field(call->reply, "missing"));
		return EXIT_WRITTEN;
	}
	if (strcmp(result, "refused") == 0 || (!call->status && !call->sent)) {
		if (!json || !call->reply)
			print_error("refused", call);
		return EXIT_REFUSED;
	}
	if (!json || !call->reply) {
		fprintf(stderr, "unknown %s: ", c->change);
		print_error("outcome", call);
		fprintf(stderr, "repeat with --change %s\n", c->change);
	}
	return EXIT_UNKNOWN;
}

/* Prints why a read failed. Returns the exit code. */
int admin_print_failure(const struct admin_call *call)
{
	print_error("gypsumcleat", call);
	return EXIT_REFUSED;
}

/* Returns a text field, "" if it is absent. */
static const char *text_field(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

/* Returns a number field, 0 if it is absent. */
static long long number_field(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* Prints a limit, or a dash if the default applies. */
static void print_limit(const json_t *o, const char *key)
{
	if (json_object_get(o, key))
		printf(" %10lld", number_field(o, key));
	else
		printf(" %10s", "-");
}

/* Prints the services of a team, separated by commas. */
static void print_services(const json_t *team)
{
	json_t *list = json_object_get(team, "services");
	json_t *s;
	size_t i;

	json_array_foreach(list, i, s)
	{
		printf("%s%s", i ? "," : "", json_string_value(s));
	}
}

/* Returns the number of keys that are not withdrawn. */
static size_t count_live_keys(const json_t *team)
{
	json_t *keys = json_object_get(team, "keys");
	const char *id;
	json_t *k;
	size_t n = 0;

	json_object_foreach(keys, id, k)
	{
		n += strcmp(text_field(k, "state"), "live") == 0;
	}
	return n;
}

/* Prints the error in a response, or why there is no response. */
static void print_error(const char *what, const struct admin_call *call)
{
	const json_t *e = json_object_get(call->reply, "error");

	if (e)
		fprintf(stderr, "%s: %s: %s%s%s\n", what, text_field(e, "code"),
			text_field(e, "message"),
			text_field(e, "peer")[0] ? ": " : "",
			text_field(e, "peer"));
	else if (call->status)
		fprintf(stderr, "%s: status %d\n", what, call->status);
	else
		fprintf(stderr, "%s: %s\n", what, call->failure);
}
