#include "kernel/settings.h"

#include <ctype.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/address.h"

#define FILE_MAX_BYTES	  65536
#define HASH_HEX_BYTES	  64
#define VALUE_SHOWN_BYTES 80

enum setting_type {
	SETTING_NAME,
	SETTING_LISTEN,	 /* ip:port, port 0 for any */
	SETTING_ADDRESS, /* ip:port */
	SETTING_HASH,
	SETTING_PEERS, /* list of ip:port */
	SETTING_LEVEL,
	SETTING_FORM,
	SETTING_NUMBER,
	SETTING_SHARE,	 /* a fraction, kept in thousandths */
	SETTING_DOMAINS, /* object of failure domains and their regions */
};

/*
 * One key. Numbers have a default and bounds. Other keys are required, of all
 * VMs or of those of one form, unless they are marked optional.
 */
struct setting {
	const char *key;
	size_t offset; /* in struct settings */
	enum setting_type type;
	enum vm_form required_form; /* required by VMs of this form only */
	uint32_t min;
	uint32_t max;
	uint32_t default_value;
	bool optional;
};

#define TEXT(k, t)                                                             \
	{                                                                      \
		.key = #k, .type = (t), .offset = offsetof(struct settings, k) \
	}
#define NUMBER(k, lo, hi, def)                                            \
	{                                                                 \
		.key = #k, .type = SETTING_NUMBER,                        \
		.offset = offsetof(struct settings, k), .optional = true, \
		.min = (lo), .max = (hi), .default_value = (def)          \
	}

#define TEXT_FORM(k, t, f)                                    \
	{                                                     \
		.key = #k, .type = (t), .required_form = (f), \
		.offset = offsetof(struct settings, k)        \
	}

/* The form comes first, because it decides which other keys are required. */
static const struct setting table[] = {
	{ .key = "form",
	  .type = SETTING_FORM,
	  .offset = offsetof(struct settings, form),
	  .optional = true,
	  .default_value = FORM_HTTP },
	TEXT(vm, SETTING_NAME),
	TEXT(domain, SETTING_NAME),
	TEXT(region, SETTING_NAME),
	TEXT(caller_listen, SETTING_LISTEN),
	TEXT_FORM(admin_listen, SETTING_LISTEN, FORM_HTTP),
	TEXT_FORM(ready_listen, SETTING_LISTEN, FORM_SESSIONS),
	TEXT(peer_listen, SETTING_LISTEN),
	TEXT(platform, SETTING_ADDRESS),
	TEXT_FORM(metrics_listen, SETTING_LISTEN, FORM_SESSIONS),
	TEXT_FORM(promotion, SETTING_ADDRESS, FORM_SESSIONS),
	TEXT_FORM(operator_key_hash, SETTING_HASH, FORM_HTTP),
	{ .key = "peer_secret",
	  .type = SETTING_HASH,
	  .offset = offsetof(struct settings, peer_secret),
	  .optional = true },
	{ .key = "peers",
	  .type = SETTING_PEERS,
	  .offset = offsetof(struct settings, peers),
	  .optional = true },
	{ .key = "log_level",
	  .type = SETTING_LEVEL,
	  .offset = offsetof(struct settings, log_level),
	  .optional = true,
	  .default_value = LOG_INFO },
	NUMBER(shards, 1, 64, 8),
	NUMBER(caller_threads, 1, 64, 4),
	NUMBER(caller_connections, 16, 1000000, 10000),
	NUMBER(caller_idle_ms, 100, 3600000, 60000),
	NUMBER(body_max_bytes, 1024, 16777216, 65536),
	NUMBER(answer_max_bytes, 1024, 67108864, 1048576),
	NUMBER(deadline_default_ms, 10, 600000, 5000),
	NUMBER(deadline_max_ms, 10, 600000, 30000),
	NUMBER(transaction_max_ms, 100, 600000, 30000),
	NUMBER(queue_max, 1, 1000000, 1024),
	NUMBER(probe_ms, 5, 10000, 50),
	NUMBER(reply_timeout_ms, 10, 60000, 1000),
	NUMBER(suspect_ms, 20, 60000, 400),
	NUMBER(promote_stagger_ms, 10, 60000, 150),
	NUMBER(replica_fresh_ms, 10, 600000, 1000),
	NUMBER(platform_timeout_ms, 10, 60000, 2000),
	NUMBER(keys_fresh_ms, 100, 60000, 3000),
	NUMBER(gossip_ms, 10, 60000, 500),
	NUMBER(watchers_per_domain, 1, 64, 2),
	NUMBER(escrow_wait_ms, 0, 10000, 20),
	NUMBER(drain_notice_ms, 0, 600000, 2000),
	NUMBER(drain_max_ms, 0, 3600000, 30000),
	NUMBER(timeline_events, 16, 1000000, 4096),
	NUMBER(log_lines_per_s, 0, 1000000, 1000),
	NUMBER(grace_s, 0, 3600, 0),
	NUMBER(evacuate_ms, 0, 600000, 0),
	{ .key = "cold_overage",
	  .type = SETTING_SHARE,
	  .offset = offsetof(struct settings, cold_overage_milli),
	  .optional = true,
	  .min = 1,
	  .max = 1000000,
	  .default_value = 1000 },
	{ .key = "domains",
	  .type = SETTING_DOMAINS,
	  .offset = offsetof(struct settings, domains),
	  .optional = true },
	{ .key = "cpu_share",
	  .type = SETTING_SHARE,
	  .offset = offsetof(struct settings, cpu_milli),
	  .optional = true,
	  .min = 1,
	  .max = 1000000,
	  .default_value = 1000 },
};

#define SETTINGS (sizeof(table) / sizeof(table[0]))

static const char *const level_names[] = {
	[LOG_ERROR] = "error",
	[LOG_WARN] = "warn",
	[LOG_INFO] = "info",
	[LOG_DEBUG] = "debug",
};

#define LEVELS (sizeof(level_names) / sizeof(level_names[0]))

/* The settings being checked, and the report for failures. */
struct parse_ctx {
	struct settings *settings;
	const char *file;
	struct settings_report *report;
};

static char *read_file(const char *path, size_t *len, struct error *e);
static json_t *parse_json(const struct parse_ctx *c, const char *json,
			  size_t len);
static void set_defaults(struct settings *s);
static void read_setting(const struct parse_ctx *c, const struct setting *t,
			 const json_t *v);
static void read_number(const struct parse_ctx *c, const struct setting *t,
			const json_t *v);
static void read_share(const struct parse_ctx *c, const struct setting *t,
		       const json_t *v);
static void read_text(const struct parse_ctx *c, const struct setting *t,
		      const json_t *v);
static void read_level(const struct parse_ctx *c, const struct setting *t,
		       const json_t *v);
static void read_form(const struct parse_ctx *c, const struct setting *t,
		      const json_t *v);
static void read_peers(const struct parse_ctx *c, const struct setting *t,
		       const json_t *v);
static void read_domains(const struct parse_ctx *c, const struct setting *t,
			 const json_t *v);
static void report_unknown(const struct parse_ctx *c, json_t *root);
static void check_combinations(const struct parse_ctx *c);
static const struct setting *find_setting(const char *key);
static bool is_name(const char *s);
static bool is_address(const char *s, bool any_port);
static bool is_hash(const char *s);
static void report_failure(const struct parse_ctx *c, const char *key,
			   const json_t *v, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
static void format_value(const json_t *v, char *buf, size_t size);

/*
 * Reads and checks a settings file. Returns -1 with "e" if it cannot be read or
 * the report contains a failure.
 */
int settings_load(struct settings *s, const char *path,
		  struct settings_report *report, struct error *e)
{
	size_t len;
	char *json;
	int rc;

	memset(report, 0, sizeof(*report));
	json = read_file(path, &len, e);
	if (!json)
		return -1;
	rc = settings_parse(s, json, len, path, report);
	free(json);
	if (rc == -1)
		return error_set(e, ERR_SETTINGS, STEP_SETTINGS, NULL,
				 "%s: %u settings refused", path, report->n);
	return 0;
}

/*
 * Checks settings given as JSON; "file" is used only in the report. Returns -1
 * if the report contains a failure; it contains every failure found.
 */
int settings_parse(struct settings *s, const char *json, size_t len,
		   const char *file, struct settings_report *report)
{
	struct parse_ctx c = { .settings = s, .file = file, .report = report };
	json_t *root;
	size_t i;

	memset(s, 0, sizeof(*s));
	memset(report, 0, sizeof(*report));
	set_defaults(s);
	root = parse_json(&c, json, len);
	if (!root)
		return -1;
	for (i = 0; i < SETTINGS; i++)
		read_setting(&c, &table[i],
			     json_object_get(root, table[i].key));
	report_unknown(&c, root);
	check_combinations(&c);
	json_decref(root);
	return report->n ? -1 : 0;
}

/* Finds a failure domain in the table; a VM also knows its own region. */
const char *settings_region(const struct settings *s, const char *domain)
{
	uint32_t i;

	for (i = 0; i < s->domains.n; i++) {
		if (strcmp(s->domains.e[i].domain, domain) == 0)
			return s->domains.e[i].region;
	}
	return strcmp(s->domain, domain) == 0 ? s->region : NULL;
}

/* Returns the name of key i, or NULL after the last one. */
const char *settings_key(size_t i)
{
	return i < SETTINGS ? table[i].key : NULL;
}

/*
 * Returns the content of a file of at most FILE_MAX_BYTES, NUL-terminated, for
 * the caller to free.
 */
static char *read_file(const char *path, size_t *len, struct error *e)
{
	FILE *f = fopen(path, "re");
	char *buf;

	if (!f) {
		error_set(e, ERR_SETTINGS, STEP_SETTINGS, NULL,
			  "%s: cannot be opened: %m", path);
		return NULL;
	}
	buf = malloc(FILE_MAX_BYTES + 2);
	if (!buf) {
		fclose(f);
		error_set(e, ERR_SYSTEM, STEP_SETTINGS, NULL, "out of memory");
		return NULL;
	}
	*len = fread(buf, 1, FILE_MAX_BYTES + 1, f);
	if (ferror(f) || *len > FILE_MAX_BYTES) {
		error_set(e, ERR_SETTINGS, STEP_SETTINGS, NULL,
			  "%s: %s (at most %d bytes)", path,
			  ferror(f) ? "cannot be read" : "too large",
			  FILE_MAX_BYTES);
		fclose(f);
		free(buf);
		return NULL;
	}
	fclose(f);
	buf[*len] = '\0';
	return buf;
}

/*
 * Parses the file's JSON. A duplicate key is reported and the check continues;
 * invalid JSON ends it.
 */
static json_t *parse_json(const struct parse_ctx *c, const char *json,
			  size_t len)
{
	json_error_t why;
	json_t *root;

	root = json_loadb(json, len, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL,
			  &why);
	if (!root && json_error_code(&why) == json_error_duplicate_key) {
		report_failure(c, "line", NULL, "%d: %s: each key at most once",
			       why.line, why.text);
		root = json_loadb(json, len, JSON_ALLOW_NUL, &why);
	}
	if (!root) {
		report_failure(c, "line", NULL, "%d: %s: must be JSON",
			       why.line, why.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		report_failure(c, "line", NULL, "1: must be one JSON object");
		json_decref(root);
		return NULL;
	}
	return root;
}

/* Sets the default of every number. */
static void set_defaults(struct settings *s)
{
	size_t i;

	s->form = FORM_HTTP;
	s->log_level = LOG_INFO;
	for (i = 0; i < SETTINGS; i++) {
		if (table[i].type == SETTING_NUMBER ||
		    table[i].type == SETTING_SHARE)
			memcpy((char *)s + table[i].offset,
			       &table[i].default_value,
			       sizeof(table[i].default_value));
	}
}

/* Checks one key's value and stores it. */
static void read_setting(const struct parse_ctx *c, const struct setting *t,
			 const json_t *v)
{
	if (!v) {
		if (!t->optional && (t->required_form == FORM_ANY ||
				     t->required_form == c->settings->form))
			report_failure(c, t->key, NULL,
				       "missing: must be given");
		return;
	}
	switch (t->type) {
	case SETTING_SHARE:
		read_share(c, t, v);
		break;
	case SETTING_NUMBER:
		read_number(c, t, v);
		break;
	case SETTING_LEVEL:
		read_level(c, t, v);
		break;
	case SETTING_FORM:
		read_form(c, t, v);
		break;
	case SETTING_PEERS:
		read_peers(c, t, v);
		break;
	case SETTING_DOMAINS:
		read_domains(c, t, v);
		break;
	default:
		read_text(c, t, v);
		break;
	}
}

/* Stores an integer within the key's bounds. */
static void read_number(const struct parse_ctx *c, const struct setting *t,
			const json_t *v)
{
	json_int_t n = json_integer_value(v);
	uint32_t value;

	if (!json_is_integer(v) || n < t->min || n > t->max) {
		report_failure(c, t->key, v,
			       "must be a whole number from %u to %u", t->min,
			       t->max);
		return;
	}
	value = (uint32_t)n;
	memcpy((char *)c->settings + t->offset, &value, sizeof(value));
}

/* Stores a fraction in thousandths. */
static void read_share(const struct parse_ctx *c, const struct setting *t,
		       const json_t *v)
{
	double milli = json_number_value(v) * 1000;
	uint32_t value;

	if (!json_is_number(v) || milli < t->min || milli > t->max) {
		report_failure(c, t->key, v, "must be a number from %g to %g",
			       t->min / 1000.0, t->max / 1000.0);
		return;
	}
	value = (uint32_t)(milli + 0.5);
	memcpy((char *)c->settings + t->offset, &value, sizeof(value));
}

/* Stores a name, an address or a hash. */
static void read_text(const struct parse_ctx *c, const struct setting *t,
		      const json_t *v)
{
	const char *text = json_string_value(v);
	char *field = (char *)c->settings + t->offset;

	if (text && strlen(text) != json_string_length(v))
		text = NULL;
	switch (t->type) {
	case SETTING_NAME:
		if (text && is_name(text))
			snprintf(field, NAME_MAX_BYTES, "%s", text);
		else
			report_failure(
				c, t->key, v,
				"must be 1 to %d letters, digits, \".\", \"_\" "
				"or \"-\", a letter or digit first",
				NAME_MAX_BYTES - 1);
		break;
	case SETTING_HASH:
		if (text && is_hash(text))
			snprintf(field, HASH_HEX_BYTES + 1, "%s", text);
		else
			report_failure(
				c, t->key, NULL,
				"(not shown): must be %d lower-case hex digits",
				HASH_HEX_BYTES);
		break;
	default:
		if (text && is_address(text, t->type == SETTING_LISTEN))
			snprintf(field, ADDR_MAX_BYTES, "%s", text);
		else
			report_failure(
				c, t->key, v,
				"must be ip:port by IP number, port %d to 65535",
				t->type == SETTING_LISTEN ? 0 : 1);
		break;
	}
}

/* Stores the log level. */
static void read_level(const struct parse_ctx *c, const struct setting *t,
		       const json_t *v)
{
	const char *text = json_string_value(v);
	size_t i;

	for (i = 0; text && i < LEVELS; i++) {
		if (strcmp(text, level_names[i]) == 0) {
			c->settings->log_level = (enum log_level)i;
			return;
		}
	}
	report_failure(c, t->key, v,
		       "must be \"error\", \"warn\", \"info\" or \"debug\"");
}

/* Stores the addresses of other VMs. */
static void read_peers(const struct parse_ctx *c, const struct setting *t,
		       const json_t *v)
{
	struct settings *s = c->settings;
	const char *text;
	size_t n = json_array_size(v);
	size_t i;

	if (!json_is_array(v) || n > SEED_PEERS_MAX) {
		report_failure(c, t->key, v,
			       "must be a list of at most %d addresses",
			       SEED_PEERS_MAX);
		return;
	}
	for (i = 0; i < n; i++) {
		text = json_string_value(json_array_get(v, i));
		if (!text || !is_address(text, false)) {
			report_failure(
				c, t->key, json_array_get(v, i),
				"must be ip:port by IP number, port 1 to 65535");
			return;
		}
		snprintf(s->peers.address[i], ADDR_MAX_BYTES, "%s", text);
	}
	s->peers.n = (uint32_t)n;
}

/* Stores the region of each failure domain. */
static void read_domains(const struct parse_ctx *c, const struct setting *t,
			 const json_t *v)
{
	struct settings *s = c->settings;
	const char *domain;
	const char *region;
	json_t *value;

	if (!json_is_object(v) || json_object_size(v) > DOMAINS_MAX) {
		report_failure(c, t->key, v,
			       "must be an object of at most %d failure "
			       "domains and their regions",
			       DOMAINS_MAX);
		return;
	}
	json_object_foreach((json_t *)v, domain, value)
	{
		region = json_string_value(value);
		if (!is_name(domain) || !region || !is_name(region)) {
			report_failure(c, t->key, value,
				       "must be names of failure domains and "
				       "regions");
			return;
		}
		snprintf(s->domains.e[s->domains.n].domain, NAME_MAX_BYTES,
			 "%s", domain);
		snprintf(s->domains.e[s->domains.n].region, NAME_MAX_BYTES,
			 "%s", region);
		s->domains.n++;
	}
}

/* Reports every key that is not in the table. */
static void report_unknown(const struct parse_ctx *c, json_t *root)
{
	const char *key;
	json_t *v;

	json_object_foreach(root, key, v)
	{
		if (!find_setting(key))
			report_failure(c, key, v, "must be a known key");
	}
}

/* Stores the VM's form. */
static void read_form(const struct parse_ctx *c, const struct setting *t,
		      const json_t *v)
{
	static const char *const names[] = {
		[FORM_HTTP] = "http",
		[FORM_SESSIONS] = "sessions",
	};
	const char *text = json_string_value(v);
	uint32_t i;

	for (i = FORM_HTTP; text && i <= FORM_SESSIONS; i++) {
		if (strcmp(text, names[i]) == 0) {
			c->settings->form = (enum vm_form)i;
			return;
		}
	}
	report_failure(c, t->key, v, "must be \"http\" or \"sessions\"");
}

/* Checks the conditions that involve two settings. */
static void check_combinations(const struct parse_ctx *c)
{
	const struct settings *s = c->settings;

	if (s->deadline_default_ms > s->deadline_max_ms)
		report_failure(c, "deadline_default_ms", NULL,
			       "%u: must be at most deadline_max_ms, %u",
			       s->deadline_default_ms, s->deadline_max_ms);
	if (s->probe_ms >= s->suspect_ms)
		report_failure(c, "probe_ms", NULL,
			       "%u: must be less than suspect_ms, %u",
			       s->probe_ms, s->suspect_ms);
	if (s->gossip_ms >= s->keys_fresh_ms)
		report_failure(c, "gossip_ms", NULL,
			       "%u: must be less than keys_fresh_ms, %u",
			       s->gossip_ms, s->keys_fresh_ms);
	if (s->drain_notice_ms > s->drain_max_ms)
		report_failure(c, "drain_notice_ms", NULL,
			       "%u: must be at most drain_max_ms, %u",
			       s->drain_notice_ms, s->drain_max_ms);
}

/* Returns a key's entry in the table, or NULL. */
static const struct setting *find_setting(const char *key)
{
	size_t i;

	for (i = 0; i < SETTINGS; i++) {
		if (strcmp(table[i].key, key) == 0)
			return &table[i];
	}
	return NULL;
}

/*
 * Returns whether a name is valid. Names are used unchanged in object names,
 * messages and logs.
 */
static bool is_name(const char *s)
{
	size_t n = strlen(s);
	size_t i;

	if (n == 0 || n >= NAME_MAX_BYTES || !isalnum((unsigned char)s[0]))
		return false;
	for (i = 0; i < n; i++) {
		if (!isalnum((unsigned char)s[i]) && !strchr("._-", s[i]))
			return false;
	}
	return true;
}

/*
 * Returns whether the text is a numeric IP address and a port; port 0 only if
 * any port will do.
 */
static bool is_address(const char *s, bool any_port)
{
	struct sockaddr_storage sa;
	socklen_t len;

	if (!address_parse(s, &sa, &len))
		return false;
	return any_port || strtol(strrchr(s, ':') + 1, NULL, 10) != 0;
}

/* Returns whether the text is a 256-bit hash in lower-case hex. */
static bool is_hash(const char *s)
{
	return strlen(s) == HASH_HEX_BYTES &&
	       strspn(s, "0123456789abcdef") == HASH_HEX_BYTES;
}

/* Adds "file: key: value: bound" to the report, if there is space. */
static void report_failure(const struct parse_ctx *c, const char *key,
			   const json_t *v, const char *fmt, ...)
{
	struct settings_report *r = c->report;
	size_t used = strlen(r->text);
	char bound[VALUE_SHOWN_BYTES * 4];
	char value[VALUE_SHOWN_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(bound, sizeof(bound), fmt, ap);
	va_end(ap);
	format_value(v, value, sizeof(value));
	snprintf(r->text + used, sizeof(r->text) - used, "%s: %.*s: %s%s%s\n",
		 c->file, VALUE_SHOWN_BYTES, key, value, v ? ": " : "", bound);
	r->n++;
}

/* Writes a value as JSON, truncated to the size; empty if there is none. */
static void format_value(const json_t *v, char *buf, size_t size)
{
	char *text = v ? json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	snprintf(buf, size, "%s", text ? text : "");
	free(text);
}
