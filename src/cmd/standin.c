#include "cmd/cmd.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "standin/database.h"
#include "standin/platform.h"

#define TRANSACTION_IDLE_MS 10000
#define VM_EXPIRY_MS	    5000

static int run_platform(int argc, char **argv);
static int run_database(int argc, char **argv);
static int parse(int argc, char **argv, void **table, struct arg_end *end);
static int usage(const char *name, void **table);
static int serve_until_signal(const char *address, const char *control);
static int fail(const struct error *e);
static int64_t number(const struct arg_int *a, int64_t absent);
static const char *text(const struct arg_str *a, const char *absent);

/* Runs a stand-in until SIGTERM or SIGINT. */
int cmd_standin(int argc, char **argv)
{
	sigset_t set;

	/* Blocked before any thread starts, so that sigwait() gets them. */
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (argc >= 2 && strcmp(argv[1], "platform") == 0)
		return run_platform(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "database") == 0)
		return run_database(argc - 1, argv + 1);
	fprintf(stderr, "usage: gypsumcleat standin platform|database "
			"[options]\n");
	return EX_USAGE;
}

static int run_platform(int argc, char **argv)
{
	struct arg_str *l = arg_str1("l", "listen", "IP:PORT", "serve here");
	struct arg_str *c =
		arg_str1("c", "control", "IP:PORT", "fault control");
	struct arg_int *latency =
		arg_int0(NULL, "latency-us", "N", "of a call");
	struct arg_int *lag = arg_int0(NULL, "vm-lag-ms", "N", "of the list");
	struct arg_int *expiry =
		arg_int0(NULL, "vm-expiry-ms", "N", "gone after this silence");
	struct arg_end *end = arg_end(8);
	void *table[] = { l, c, latency, lag, expiry, end };
	struct platform_options o = { 0 };
	struct error e = { 0 };
	struct platform *p;
	int rc = parse(argc, argv, table, end);

	if (rc)
		return rc;
	o.listen = l->sval[0];
	o.control = c->sval[0];
	o.latency_us = number(latency, 0);
	o.vm_lag_ms = number(lag, 0);
	o.vm_expiry_ms = number(expiry, VM_EXPIRY_MS);
	p = platform_start(&o, &e);
	if (!p)
		return fail(&e);
	rc = serve_until_signal(platform_address(p), platform_control(p));
	platform_stop(p);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

static int run_database(int argc, char **argv)
{
	struct arg_str *n = arg_str1("n", "name", "NAME", "of the database");
	struct arg_str *l = arg_str1("l", "listen", "IP:PORT", "serve here");
	struct arg_str *c =
		arg_str1("c", "control", "IP:PORT", "fault control");
	struct arg_str *domain =
		arg_str0(NULL, "domain", "D", "failure domain");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "statements at a time");
	struct arg_int *conns =
		arg_int0(NULL, "connections", "N", "open at a time");
	struct arg_int *connect =
		arg_int0(NULL, "connect-us", "N", "of a new connection");
	struct arg_int *latency =
		arg_int0(NULL, "latency-us", "N", "of a statement");
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "N", "of replication");
	struct arg_int *idle =
		arg_int0(NULL, "transaction-idle-ms", "N", "then rolled back");
	struct arg_int *log =
		arg_int0(NULL, "log-entries", "N", "kept in memory");
	struct arg_int *term = arg_int0(NULL, "term", "T", "first term");
	struct arg_str *primary =
		arg_str0(NULL, "primary", "IP:PORT", "to follow in that term");
	struct arg_lit *first =
		arg_lit0(NULL, "first", "be primary of that term");
	struct arg_end *end = arg_end(8);
	void *table[] = { n,	 l,	  c,	   domain, slots,
			  conns, connect, latency, lag,	   idle,
			  log,	 term,	  primary, first,  end };
	struct database_options o = { 0 };
	struct error e = { 0 };
	struct database *d;
	int rc = parse(argc, argv, table, end);

	if (rc)
		return rc;
	if ((term->count > 0) != (primary->count + first->count == 1))
		return usage("database", table);
	o.name = n->sval[0];
	o.listen = l->sval[0];
	o.control = c->sval[0];
	o.domain = text(domain, "");
	o.log_max = (size_t)number(log, 0);
	o.transaction_idle = number(idle, TRANSACTION_IDLE_MS) * USEC_PER_MSEC;
	o.faults.slots = number(slots, 0);
	o.faults.connections = number(conns, 0);
	o.faults.connect_us = number(connect, 0);
	o.faults.latency_us = number(latency, 0);
	o.faults.lag_ms = number(lag, 0);
	o.term = (uint64_t)number(term, 0);
	o.primary = text(primary, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	d = database_start(&o, &e);
	if (!d)
		return fail(&e);
	rc = serve_until_signal(database_address(d), database_control(d));
	database_stop(d);
	curl_global_cleanup();
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

/* Returns 0, or EX_USAGE with the mistakes told. */
static int parse(int argc, char **argv, void **table, struct arg_end *end)
{
	if (arg_nullcheck(table) == 0 && arg_parse(argc, argv, table) == 0)
		return 0;
	arg_print_errors(stderr, end, argv[0]);
	return usage(argv[0], table);
}

static int usage(const char *name, void **table)
{
	fprintf(stderr, "usage: gypsumcleat standin %s", name);
	arg_print_syntax(stderr, table, "\n");
	arg_print_glossary(stderr, table, "  %-26s %s\n");
	return EX_USAGE;
}

/* Tells the addresses and waits; the servers' threads do the work. */
static int serve_until_signal(const char *address, const char *control)
{
	sigset_t set;
	int sig;

	printf("ready %s %s\n", address, control);
	if (fflush(stdout) != 0)
		return 1;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	return sigwait(&set, &sig) == 0 ? 0 : 1;
}

static int fail(const struct error *e)
{
	fprintf(stderr, "gypsumcleat standin: %s: %s\n", e->peer, e->message);
	return 1;
}

static int64_t number(const struct arg_int *a, int64_t absent)
{
	return a->count ? a->ival[0] : absent;
}

static const char *text(const struct arg_str *a, const char *absent)
{
	return a->count ? a->sval[0] : absent;
}
