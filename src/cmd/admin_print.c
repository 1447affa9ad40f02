#include "cmd/admin_print.h"

#include <stdio.h>
#include <string.h>

static const char *text(const json_t *o, const char *key);
static long long number(const json_t *o, const char *key);
static void print_limit(const json_t *o, const char *key);
static void print_services(const json_t *team);
static size_t live_keys(const json_t *team);
static void print_error(const char *what, const struct admin_call *call);

/* Prints the answer as it came, indented. */
void admin_print_json(const json_t *reply)
{
	json_dumpf(reply, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	putchar('\n');
}

/* A line a team: its weight, its live keys, its services. */
void admin_print_teams(const json_t *reply)
{
	json_t *teams = json_object_get(reply, "teams");
	const char *name;
	json_t *t;

	printf("%-24s %6s %4s  %s\n", "TEAM", "WEIGHT", "KEYS", "SERVICES");
	json_object_foreach(teams, name, t)
	{
		printf("%-24s %6lld %4zu  ", name, number(t, "weight"),
		       live_keys(t));
		print_services(t);
		putchar('\n');
	}
}

/* A line a key: its id and its state. */
void admin_print_keys(const json_t *reply)
{
	json_t *keys = json_object_get(reply, "keys");
	const char *id;
	json_t *k;

	printf("%-32s %s\n", "KEY", "STATE");
	json_object_foreach(keys, id, k)
	{
		printf("%-32s %s\n", id, text(k, "state"));
	}
}

/* The limits of one object. */
void admin_print_limits(const json_t *reply)
{
	printf("rate_per_s        %lld\n", number(reply, "rate_per_s"));
	printf("burst             %lld\n", number(reply, "burst"));
	printf("read_staleness_ms %lld\n", number(reply, "read_staleness_ms"));
	printf("version           %lld\n", number(reply, "version"));
}

/* A line an exception, its reason last. */
void admin_print_exceptions(const json_t *reply)
{
	json_t *all = json_object_get(reply, "exceptions");
	const char *id;
	json_t *x;

	printf("%-16s %-24s %10s %10s %10s  %s\n", "EXCEPTION", "TEAM",
	       "RATE/S", "BURST", "STALE MS", "REASON");
	json_object_foreach(all, id, x)
	{
		printf("%-16s %-24s", id, text(x, "team"));
		print_limit(x, "rate_per_s");
		print_limit(x, "burst");
		print_limit(x, "read_staleness_ms");
		printf("  %s\n", text(x, "reason"));
	}
}

/* The VM asked, then a line a VM that it knows. */
void admin_print_status(const json_t *reply)
{
	json_t *members = json_object_get(reply, "members");
	json_t *m;
	size_t i;

	printf("vm %s, domain %s: platform %s, knowledge %s (%lld ms), "
	       "revision %lld, %lld objects%s\n",
	       text(reply, "vm"), text(reply, "domain"),
	       json_is_true(json_object_get(reply, "platform_up")) ? "up"
								   : "down",
	       text(reply, "freshness"), number(reply, "word_age_ms"),
	       number(reply, "revision"), number(reply, "objects"),
	       json_is_true(json_object_get(reply, "draining")) ? ", draining"
								: "");
	printf("%-20s %-12s %-10s %-22s %s\n", "VM", "DOMAIN", "STATE", "PEER",
	       "CALLERS");
	json_array_foreach(members, i, m)
	{
		printf("%-20s %-12s %-10s %-22s %s\n", text(m, "vm"),
		       text(m, "domain"), text(m, "state"), text(m, "peer"),
		       text(m, "caller"));
	}
}

/* See the header. */
int admin_print_change(const struct admin_client *c,
		       const struct admin_call *call, bool json)
{
	const char *result = text(call->reply, "result");

	if (json && call->reply)
		admin_print_json(call->reply);
	if (strcmp(result, "accepted") == 0) {
		if (!json)
			printf("accepted %s: version %lld, known by %s\n",
			       c->change, number(call->reply, "version"),
			       json_object_get(call->reply, "known_by")
				       ? text(call->reply, "known_by")
				       : "this VM, the only one");
		return EXIT_ACCEPTED;
	}
	if (strcmp(result, "written") == 0) {
		if (!json)
			printf("written %s: version %lld, not accepted yet: "
			       "%s\n",
			       c->change, number(call->reply, "version"),
			       text(call->reply, "missing"));
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
		fprintf(stderr, "ask again with --change %s\n", c->change);
	}
	return EXIT_UNKNOWN;
}

/* See the header. */
int admin_print_failure(const struct admin_call *call)
{
	print_error("gypsumcleat", call);
	return EXIT_REFUSED;
}

/* A text field; empty if it is not there. */
static const char *text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

/* A number field; 0 if it is not there. */
static long long number(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* A limit, or a dash where the default holds. */
static void print_limit(const json_t *o, const char *key)
{
	if (json_object_get(o, key))
		printf(" %10lld", number(o, key));
	else
		printf(" %10s", "-");
}

/* The services of a team, with commas. */
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

/* Counts the keys that are not withdrawn. */
static size_t live_keys(const json_t *team)
{
	json_t *keys = json_object_get(team, "keys");
	const char *id;
	json_t *k;
	size_t n = 0;

	json_object_foreach(keys, id, k)
	{
		n += strcmp(text(k, "state"), "live") == 0;
	}
	return n;
}

/* Prints an answer's error, or why there is no answer. */
static void print_error(const char *what, const struct admin_call *call)
{
	const json_t *e = json_object_get(call->reply, "error");

	if (e)
		fprintf(stderr, "%s: %s: %s%s%s\n", what, text(e, "code"),
			text(e, "message"), text(e, "peer")[0] ? ": " : "",
			text(e, "peer"));
	else if (call->status)
		fprintf(stderr, "%s: status %d\n", what, call->status);
	else
		fprintf(stderr, "%s: %s\n", what, call->failure);
}
