#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd/admin_client.h"
#include "cmd/admin_print.h"
#include "cmd/cmd.h"
#include "cmd/operator_key.h"

#define WORDS_MAX	       40
#define CHANGE_ID_RANDOM_BYTES 16
#define HELP_PRINTED	       (-1)

/* The command line; argtable2 reads the struct as an array of pointers. */
struct arguments {
	struct arg_str *address;
	struct arg_file *key_file;
	struct arg_lit *json;
	struct arg_str *operator_name;
	struct arg_str *change;
	struct arg_int *version;
	struct arg_int *weight;
	struct arg_int *rate;
	struct arg_int *burst;
	struct arg_int *staleness;
	struct arg_str *reason;
	struct arg_lit *help;
	struct arg_str *words; /* object, verb and operands */
	struct arg_end *end;
};

/* The action to run, with its operands and the connection to the VM. */
struct invocation {
	struct admin_client client;
	const struct arguments *args;
	const char **operand; /* the arguments after object and verb */
	size_t n_operands;
	bool json;
};

static int team_put(struct invocation *inv);
static int team_list(struct invocation *inv);
static int team_delete(struct invocation *inv);
static int key_issue(struct invocation *inv);
static int key_list(struct invocation *inv);
static int key_withdraw(struct invocation *inv);
static int defaults_get(struct invocation *inv);
static int defaults_put(struct invocation *inv);
static int exception_put(struct invocation *inv);
static int exception_list(struct invocation *inv);
static int exception_delete(struct invocation *inv);
static int show_status(struct invocation *inv);

static const struct action {
	const char *object;
	const char *verb;
	const char *operands; /* for the usage text */
	size_t min;
	size_t max;
	int (*run)(struct invocation *inv);
} actions[] = {
	{ "team", "put", "TEAM SERVICE... [--weight=N]", 2, WORDS_MAX - 2,
	  team_put },
	{ "team", "list", "", 0, 0, team_list },
	{ "team", "delete", "TEAM", 1, 1, team_delete },
	{ "key", "issue", "TEAM [KEY]", 1, 2, key_issue },
	{ "key", "list", "TEAM", 1, 1, key_list },
	{ "key", "withdraw", "TEAM KEY", 2, 2, key_withdraw },
	{ "defaults", "get", "", 0, 0, defaults_get },
	{ "defaults", "put", "[--rate=N] [--burst=N] [--staleness-ms=N]", 0, 0,
	  defaults_put },
	{ "exception", "put", "ID TEAM --reason=TEXT [limits]", 2, 2,
	  exception_put },
	{ "exception", "list", "", 0, 0, exception_list },
	{ "exception", "delete", "ID", 1, 1, exception_delete },
	{ "status", "", "", 0, 0, show_status },
};

static int parse_arguments(int argc, char **argv, struct arguments *a);
static int print_usage(const struct arguments *a, FILE *out);
static int run_action(const struct arguments *a);
static const struct action *find_action(const struct arguments *a);
static int init_client(const struct arguments *a, struct admin_client *c);
static int print_object(struct invocation *inv, const char *path,
			void (*print)(const json_t *reply));
static int change_object(struct invocation *inv, const char *method,
			 const char *path, json_t *body, bool conditional);
static bool resolve_version(struct invocation *inv, struct admin_call *call);
static void add_limits(const struct invocation *inv, json_t *body);

/*
 * Administers teams, keys and limits through one VM. Returns an exit code, see
 * enum admin_exit.
 */
int cmd_admin(int argc, char **argv)
{
	struct arguments a;
	int rc = parse_arguments(argc, argv, &a);

	if (rc == EX_OK) {
		curl_global_init(CURL_GLOBAL_ALL);
		rc = sodium_init() < 0 ? EX_SOFTWARE : run_action(&a);
		curl_global_cleanup();
	}
	arg_freetable((void **)&a, sizeof(a) / sizeof(void *));
	return rc == HELP_PRINTED ? EX_OK : rc;
}

/* Parses the command line. Returns HELP_PRINTED after --help. */
static int parse_arguments(int argc, char **argv, struct arguments *a)
{
	int errors;

	*a = (struct arguments){
		.address = arg_str0("a", "address", "IP:PORT",
				    "administration address of a VM"),
		.key_file = arg_file0(
			NULL, "operator-key-file", "FILE",
			"file with the operator key, else $" OPERATOR_KEY_VARIABLE),
		.json = arg_lit0(NULL, "json", "print responses as JSON"),
		.operator_name = arg_str0(NULL, "operator", "NAME",
					  "name for the audit log, else $USER"),
		.change = arg_str0(NULL, "change", "ID",
				   "repeat the change with this id"),
		.version = arg_int0(NULL, "if-version", "N",
				    "only if the current version is N"),
		.weight = arg_int0(NULL, "weight", "N", "weight of a team"),
		.rate = arg_int0(NULL, "rate", "N", "requests per second"),
		.burst = arg_int0(NULL, "burst", "N", "requests at once"),
		.staleness = arg_int0(NULL, "staleness-ms", "N",
				      "staleness allowed to reads"),
		.reason = arg_str0(NULL, "reason", "TEXT",
				   "reason for an exception"),
		.help = arg_lit0("h", "help", "print this help"),
		.words = arg_strn(NULL, NULL, "WORD", 0, WORDS_MAX, NULL),
		.end = arg_end(8),
	};
	if (arg_nullcheck((void **)a) != 0)
		return EX_OSERR;
	errors = arg_parse(argc, argv, (void **)a);
	if (a->help->count > 0) {
		print_usage(a, stdout);
		return HELP_PRINTED;
	}
	if (errors > 0) {
		arg_print_errors(stderr, a->end, "gypsumcleat admin");
		return print_usage(a, stderr);
	}
	return EX_OK;
}

/*
 * Prints the actions and the options. Returns the exit code of a usage error.
 */
static int print_usage(const struct arguments *a, FILE *out)
{
	size_t i;

	fprintf(out, "usage: gypsumcleat admin -a IP:PORT [options] ACTION\n");
	for (i = 0; i < sizeof(actions) / sizeof(actions[0]); i++)
		fprintf(out, "  %s %s %s\n", actions[i].object, actions[i].verb,
			actions[i].operands);
	arg_print_glossary(out, (void **)a, "  %-26s %s\n");
	return EX_USAGE;
}

/* Finds the action, checks the number of its operands and runs it. */
static int run_action(const struct arguments *a)
{
	const struct action *act = find_action(a);
	size_t n_action_words = act && act->verb[0] ? 2 : 1;
	struct invocation inv = { .args = a, .json = a->json->count > 0 };
	size_t n;
	int rc;

	if (!act)
		return print_usage(a, stderr);
	n = (size_t)a->words->count - n_action_words;
	if (n < act->min || n > act->max)
		return print_usage(a, stderr);
	rc = init_client(a, &inv.client);
	if (rc != EX_OK)
		return rc;
	inv.operand = a->words->sval + n_action_words;
	inv.n_operands = n;
	rc = act->run(&inv);
	sodium_memzero(inv.client.key, sizeof(inv.client.key));
	return rc;
}

/* Returns the action named by the first words, or NULL. */
static const struct action *find_action(const struct arguments *a)
{
	const char *object = a->words->count > 0 ? a->words->sval[0] : "";
	const char *verb = a->words->count > 1 ? a->words->sval[1] : "";
	size_t i;

	for (i = 0; i < sizeof(actions) / sizeof(actions[0]); i++) {
		if (strcmp(object, actions[i].object) == 0 &&
		    strcmp(verb, actions[i].verb) == 0)
			return &actions[i];
	}
	return NULL;
}

/*
 * Sets the VM's address, the operator's name and key and the id of the change.
 * Returns an exit code.
 */
static int init_client(const struct arguments *a, struct admin_client *c)
{
	uint8_t raw[CHANGE_ID_RANDOM_BYTES];
	const char *user = getenv("USER");

	if (a->address->count == 0) {
		fprintf(stderr, "gypsumcleat admin: -a IP:PORT is required\n");
		return EX_USAGE;
	}
	snprintf(c->address, sizeof(c->address), "%s", a->address->sval[0]);
	if (a->operator_name->count > 0)
		user = a->operator_name->sval[0];
	snprintf(c->operator_name, sizeof(c->operator_name), "%s",
		 user && user[0] ? user : "operator");
	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(c->change, sizeof(c->change), raw, sizeof(raw));
	if (a->change->count > 0)
		snprintf(c->change, sizeof(c->change), "%s",
			 a->change->sval[0]);
	return operator_key_read(a->key_file->count ? a->key_file->filename[0]
						    : NULL,
				 c->key, sizeof(c->key));
}

/* Creates or replaces a team. */
static int team_put(struct invocation *inv)
{
	json_t *body = json_pack("{s:[]}", "services");
	char path[ADMIN_PATH_BYTES];
	size_t i;

	for (i = 1; i < inv->n_operands; i++)
		json_array_append_new(json_object_get(body, "services"),
				      json_string(inv->operand[i]));
	if (inv->args->weight->count > 0)
		json_object_set_new(body, "weight",
				    json_integer(inv->args->weight->ival[0]));
	snprintf(path, sizeof(path), "teams/%s", inv->operand[0]);
	return change_object(inv, "PUT", path, body, true);
}

/* Prints all teams. */
static int team_list(struct invocation *inv)
{
	return print_object(inv, "teams", admin_print_teams);
}

/* Deletes a team. */
static int team_delete(struct invocation *inv)
{
	char path[ADMIN_PATH_BYTES];

	snprintf(path, sizeof(path), "teams/%s", inv->operand[0]);
	return change_object(inv, "DELETE", path, NULL, true);
}

/* Issues a key for a team and prints its secret. */
static int key_issue(struct invocation *inv)
{
	json_t *body = json_object();
	char path[ADMIN_PATH_BYTES];

	if (inv->n_operands > 1)
		json_object_set_new(body, "key_id",
				    json_string(inv->operand[1]));
	snprintf(path, sizeof(path), "teams/%s/keys", inv->operand[0]);
	return change_object(inv, "POST", path, body, false);
}

/* Prints the keys of a team. */
static int key_list(struct invocation *inv)
{
	char path[ADMIN_PATH_BYTES];

	snprintf(path, sizeof(path), "teams/%s", inv->operand[0]);
	return print_object(inv, path, admin_print_keys);
}

/* Withdraws a key of a team. */
static int key_withdraw(struct invocation *inv)
{
	char path[ADMIN_PATH_BYTES];

	snprintf(path, sizeof(path), "teams/%s/keys/%s", inv->operand[0],
		 inv->operand[1]);
	return change_object(inv, "DELETE", path, NULL, false);
}

/* Prints the default limits. */
static int defaults_get(struct invocation *inv)
{
	return print_object(inv, "defaults", admin_print_limits);
}

/* Changes the default limits. */
static int defaults_put(struct invocation *inv)
{
	json_t *body = json_object();

	add_limits(inv, body);
	return change_object(inv, "PUT", "defaults", body, true);
}

/* Creates or replaces an exception to the default limits. */
static int exception_put(struct invocation *inv)
{
	json_t *body = json_pack("{s:s}", "team", inv->operand[1]);
	char path[ADMIN_PATH_BYTES];

	if (inv->args->reason->count > 0)
		json_object_set_new(body, "reason",
				    json_string(inv->args->reason->sval[0]));
	add_limits(inv, body);
	snprintf(path, sizeof(path), "exceptions/%s", inv->operand[0]);
	return change_object(inv, "PUT", path, body, true);
}

/* Prints all exceptions. */
static int exception_list(struct invocation *inv)
{
	return print_object(inv, "exceptions", admin_print_exceptions);
}

/* Deletes an exception. */
static int exception_delete(struct invocation *inv)
{
	char path[ADMIN_PATH_BYTES];

	snprintf(path, sizeof(path), "exceptions/%s", inv->operand[0]);
	return change_object(inv, "DELETE", path, NULL, true);
}

/* Prints the VM's status. */
static int show_status(struct invocation *inv)
{
	return print_object(inv, "status", admin_print_status);
}

/* Reads an object and prints it. Returns an exit code. */
static int print_object(struct invocation *inv, const char *path,
			void (*print)(const json_t *reply))
{
	struct admin_call call = { .method = "GET" };
	int rc = EX_OK;

	snprintf(call.path, sizeof(call.path), "%s", path);
	admin_call(&inv->client, &call);
	if (call.status != 200 || !call.reply)
		rc = admin_print_failure(&call);
	else if (inv->json)
		admin_print_json(call.reply);
	else
		print(call.reply);
	json_decref(call.reply);
	return rc;
}

/*
 * Makes a change and prints its outcome. A conditional change applies only to
 * the version given with --if-version, else to the current one. Takes
 * ownership of the body. Returns an exit code.
 */
static int change_object(struct invocation *inv, const char *method,
			 const char *path, json_t *body, bool conditional)
{
	struct admin_call call = { .method = method, .body = body };
	const char *secret;
	int rc;

	snprintf(call.path, sizeof(call.path), "%s", path);
	if ((conditional || inv->args->version->count > 0) &&
	    !resolve_version(inv, &call)) {
		json_decref(body);
		return EXIT_REFUSED;
	}
	admin_call(&inv->client, &call);
	rc = admin_print_change(&inv->client, &call, inv->json);
	secret = json_string_value(json_object_get(call.reply, "secret"));
	if (secret && !inv->json)
		printf("key %s\nsecret %s\n",
		       json_string_value(json_object_get(call.reply, "key_id")),
		       secret);
	json_decref(call.reply);
	json_decref(body);
	return rc;
}

/*
 * Sets the version that the change is conditional on. Returns false if it
 * cannot be read.
 */
static bool resolve_version(struct invocation *inv, struct admin_call *call)
{
	struct admin_call read = { .method = "GET" };

	call->has_version = true;
	if (inv->args->version->count > 0) {
		call->version = (uint64_t)inv->args->version->ival[0];
		return true;
	}
	snprintf(read.path, sizeof(read.path), "%s", call->path);
	admin_call(&inv->client, &read);
	call->version = read.version;
	if (read.status != 200 && read.status != 404)
		admin_print_failure(&read);
	json_decref(read.reply);
	return read.status == 200 || read.status == 404;
}

/* Adds the limits given on the command line to the body. */
static void add_limits(const struct invocation *inv, json_t *body)
{
	const struct arguments *a = inv->args;

	if (a->rate->count > 0)
		json_object_set_new(body, "rate_per_s",
				    json_integer(a->rate->ival[0]));
	if (a->burst->count > 0)
		json_object_set_new(body, "burst",
				    json_integer(a->burst->ival[0]));
	if (a->staleness->count > 0)
		json_object_set_new(body, "read_staleness_ms",
				    json_integer(a->staleness->ival[0]));
}
