#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd/admin_call.h"
#include "cmd/admin_print.h"
#include "cmd/cmd.h"
#include "cmd/operator_key.h"

#define WORDS_MAX     40
#define CHANGE_RANDOM 16
#define NOT_GIVEN     (-1)

/* The arguments, as argtable2 keeps them. */
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
	struct arg_str *words;
	struct arg_end *end;
};

/* One run of the command. */
struct run {
	struct admin_client client;
	const struct arguments *args;
	const char **word; /* after the object and the verb */
	size_t n;
	bool json;
};

static int team_put(struct run *r);
static int team_list(struct run *r);
static int team_delete(struct run *r);
static int key_issue(struct run *r);
static int key_list(struct run *r);
static int key_withdraw(struct run *r);
static int defaults_get(struct run *r);
static int defaults_put(struct run *r);
static int exception_put(struct run *r);
static int exception_list(struct run *r);
static int exception_delete(struct run *r);
static int status(struct run *r);

static const struct action {
	const char *object;
	const char *verb;
	const char *words;
	size_t min;
	size_t max;
	int (*run)(struct run *r);
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
	{ "status", "", "", 0, 0, status },
};

static int parse(int argc, char **argv, struct arguments *a);
static int usage(const struct arguments *a, FILE *out);
static int run(const struct arguments *a);
static const struct action *find_action(const struct arguments *a);
static int prepare_client(const struct arguments *a, struct admin_client *c);
static int read_object(struct run *r, const char *path,
		       void (*print)(const json_t *reply));
static int change_object(struct run *r, const char *method, const char *path,
			 json_t *body, bool conditional);
static bool find_version(struct run *r, struct admin_call *call);
static void add_limits(const struct run *r, json_t *body);

/* Administers teams, keys and limits through one VM. */
int cmd_admin(int argc, char **argv)
{
	struct arguments a;
	int rc = parse(argc, argv, &a);

	if (rc == EX_OK) {
		curl_global_init(CURL_GLOBAL_ALL);
		rc = sodium_init() < 0 ? EX_SOFTWARE : run(&a);
		curl_global_cleanup();
	}
	arg_freetable((void **)&a, sizeof(a) / sizeof(void *));
	return rc == NOT_GIVEN ? EX_OK : rc;
}

/* Reads the arguments; NOT_GIVEN after --help. */
static int parse(int argc, char **argv, struct arguments *a)
{
	int errors;

	*a = (struct arguments){
		.address = arg_str0("a", "address", "IP:PORT",
				    "administration address of a VM"),
		.key_file = arg_file0(NULL, "operator-key-file", "FILE",
				      "else " OPERATOR_KEY_VARIABLE),
		.json = arg_lit0(NULL, "json", "print answers as JSON"),
		.operator_name = arg_str0(NULL, "operator", "NAME",
					  "for the audit; else $USER"),
		.change = arg_str0(NULL, "change", "ID",
				   "repeat the change of this id"),
		.version = arg_int0(NULL, "if-version", "N",
				    "only if it is the current one"),
		.weight = arg_int0(NULL, "weight", "N", "of a team"),
		.rate = arg_int0(NULL, "rate", "N", "requests a second"),
		.burst = arg_int0(NULL, "burst", "N", "requests at once"),
		.staleness = arg_int0(NULL, "staleness-ms", "N", "of reads"),
		.reason = arg_str0(NULL, "reason", "TEXT", "of an exception"),
		.help = arg_lit0("h", "help", "print this"),
		.words = arg_strn(NULL, NULL, "WORD", 0, WORDS_MAX, NULL),
		.end = arg_end(8),
	};
	if (arg_nullcheck((void **)a) != 0)
		return EX_OSERR;
	errors = arg_parse(argc, argv, (void **)a);
	if (a->help->count > 0) {
		usage(a, stdout);
		return NOT_GIVEN;
	}
	if (errors > 0) {
		arg_print_errors(stderr, a->end, "gypsumcleat admin");
		return usage(a, stderr);
	}
	return EX_OK;
}

/* Lists the actions and the options. */
static int usage(const struct arguments *a, FILE *out)
{
	size_t i;

	fprintf(out, "usage: gypsumcleat admin -a IP:PORT [options] ACTION\n");
	for (i = 0; i < sizeof(actions) / sizeof(actions[0]); i++)
		fprintf(out, "  %s %s %s\n", actions[i].object, actions[i].verb,
			actions[i].words);
	arg_print_glossary(out, (void **)a, "  %-26s %s\n");
	return EX_USAGE;
}

/* Finds the action and runs it. */
static int run(const struct arguments *a)
{
	const struct action *act = find_action(a);
	size_t used = act && act->verb[0] ? 2 : 1;
	struct run r = { .args = a, .json = a->json->count > 0 };
	size_t n;
	int rc;

	if (!act)
		return usage(a, stderr);
	n = (size_t)a->words->count - used;
	if (n < act->min || n > act->max)
		return usage(a, stderr);
	rc = prepare_client(a, &r.client);
	if (rc != EX_OK)
		return rc;
	r.word = a->words->sval + used;
	r.n = n;
	rc = act->run(&r);
	sodium_memzero(r.client.key, sizeof(r.client.key));
	return rc;
}

/* Finds the action that the first words name. */
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

/* Fills in where, as whom and under which id calls are made. */
static int prepare_client(const struct arguments *a, struct admin_client *c)
{
	uint8_t raw[CHANGE_RANDOM];
	const char *user = getenv("USER");

	if (a->address->count == 0) {
		fprintf(stderr, "gypsumcleat admin: -a IP:PORT is needed\n");
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

static int team_put(struct run *r)
{
	json_t *body = json_pack("{s:[]}", "services");
	char path[ADMIN_PATH_MAX];
	size_t i;

	for (i = 1; i < r->n; i++)
		json_array_append_new(json_object_get(body, "services"),
				      json_string(r->word[i]));
	if (r->args->weight->count > 0)
		json_object_set_new(body, "weight",
				    json_integer(r->args->weight->ival[0]));
	snprintf(path, sizeof(path), "teams/%s", r->word[0]);
	return change_object(r, "PUT", path, body, true);
}

static int team_list(struct run *r)
{
	return read_object(r, "teams", admin_print_teams);
}

static int team_delete(struct run *r)
{
	char path[ADMIN_PATH_MAX];

	snprintf(path, sizeof(path), "teams/%s", r->word[0]);
	return change_object(r, "DELETE", path, NULL, true);
}

static int key_issue(struct run *r)
{
	json_t *body = json_object();
	char path[ADMIN_PATH_MAX];

	if (r->n > 1)
		json_object_set_new(body, "key_id", json_string(r->word[1]));
	snprintf(path, sizeof(path), "teams/%s/keys", r->word[0]);
	return change_object(r, "POST", path, body, false);
}

static int key_list(struct run *r)
{
	char path[ADMIN_PATH_MAX];

	snprintf(path, sizeof(path), "teams/%s", r->word[0]);
	return read_object(r, path, admin_print_keys);
}

static int key_withdraw(struct run *r)
{
	char path[ADMIN_PATH_MAX];

	snprintf(path, sizeof(path), "teams/%s/keys/%s", r->word[0],
		 r->word[1]);
	return change_object(r, "DELETE", path, NULL, false);
}

static int defaults_get(struct run *r)
{
	return read_object(r, "defaults", admin_print_limits);
}

static int defaults_put(struct run *r)
{
	json_t *body = json_object();

	add_limits(r, body);
	return change_object(r, "PUT", "defaults", body, true);
}

static int exception_put(struct run *r)
{
	json_t *body = json_pack("{s:s}", "team", r->word[1]);
	char path[ADMIN_PATH_MAX];

	if (r->args->reason->count > 0)
		json_object_set_new(body, "reason",
				    json_string(r->args->reason->sval[0]));
	add_limits(r, body);
	snprintf(path, sizeof(path), "exceptions/%s", r->word[0]);
	return change_object(r, "PUT", path, body, true);
}

static int exception_list(struct run *r)
{
	return read_object(r, "exceptions", admin_print_exceptions);
}

static int exception_delete(struct run *r)
{
	char path[ADMIN_PATH_MAX];

	snprintf(path, sizeof(path), "exceptions/%s", r->word[0]);
	return change_object(r, "DELETE", path, NULL, true);
}

static int status(struct run *r)
{
	return read_object(r, "status", admin_print_status);
}

/* Reads an object and prints it. */
static int read_object(struct run *r, const char *path,
		       void (*print)(const json_t *reply))
{
	struct admin_call call = { .method = "GET" };
	int rc = EX_OK;

	snprintf(call.path, sizeof(call.path), "%s", path);
	admin_call(&r->client, &call);
	if (call.status != 200 || !call.reply)
		rc = admin_print_failure(&call);
	else if (r->json)
		admin_print_json(call.reply);
	else
		print(call.reply);
	json_decref(call.reply);
	return rc;
}

/*
 * Makes a change, on condition of the version that is current now or that was
 * given, and prints its outcome. Takes over the body.
 */
static int change_object(struct run *r, const char *method, const char *path,
			 json_t *body, bool conditional)
{
	struct admin_call call = { .method = method, .body = body };
	const char *secret;
	int rc;

	snprintf(call.path, sizeof(call.path), "%s", path);
	if ((conditional || r->args->version->count > 0) &&
	    !find_version(r, &call)) {
		json_decref(body);
		return EXIT_REFUSED;
	}
	admin_call(&r->client, &call);
	rc = admin_print_change(&r->client, &call, r->json);
	secret = json_string_value(json_object_get(call.reply, "secret"));
	if (secret && !r->json)
		printf("key %s\nsecret %s\n",
		       json_string_value(json_object_get(call.reply, "key_id")),
		       secret);
	json_decref(call.reply);
	json_decref(body);
	return rc;
}

/* Finds the version that the change is on condition of; false: no answer. */
static bool find_version(struct run *r, struct admin_call *call)
{
	struct admin_call read = { .method = "GET" };

	call->has_version = true;
	if (r->args->version->count > 0) {
		call->version = (uint64_t)r->args->version->ival[0];
		return true;
	}
	snprintf(read.path, sizeof(read.path), "%s", call->path);
	admin_call(&r->client, &read);
	call->version = read.version;
	if (read.status != 200 && read.status != 404)
		admin_print_failure(&read);
	json_decref(read.reply);
	return read.status == 200 || read.status == 404;
}

/* Adds the limits that were given. */
static void add_limits(const struct run *r, json_t *body)
{
	const struct arguments *a = r->args;

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
