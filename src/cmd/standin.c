#include "cmd/cmd.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "standin/database.h"
#include "standin/platform.h"

#define TRANSACTION_IDLE_MS 10000 /* default */
#define VM_EXPIRY_MS	    5000  /* default */

static int run_platform(int argc, char **argv);
static int run_database(int argc, char **argv);
static int parse_arguments(int argc, char **argv, void **table,
			   struct arg_end *end);
static int print_usage(const char *name, void **table);
static int serve_until_signal(const char *address, const char *control);
static int print_failure(const struct error *e);
static int64_t int_value(const struct arg_int *a, int64_t fallback);
static const char *str_value(const struct arg_str *a, const char *fallback);

/* Runs a stand-in of the platform or of a database until SIGTERM or SIGINT. */
int cmd_standin(int argc, char **argv)
{
	sigset_t set;

	/* Blocked before any thread starts, for sigwait(). */
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

/* Runs a stand-in of the platform. Returns an exit code. */
static int run_platform(int argc, char **argv)
{
	struct arg_str *listen_addr =
		arg_str1("l", "listen", "IP:PORT", "address to serve on");
	struct arg_str *control_addr = arg_str1("c", "control", "IP:PORT",
						"address for fault control");
	struct arg_int *latency =
		arg_int0(NULL, "latency-us", "N", "latency of each call");
	struct arg_int *lag =
		arg_int0(NULL, "vm-lag-ms", "N", "lag of the list of VMs");
	struct arg_int *expiry =
		arg_int0(NULL, "vm-expiry-ms", "N",
			 "drop a VM after this time unannounced");
	struct arg_end *end = arg_end(8);
	void *table[] = {
		listen_addr, control_addr, latency, lag, expiry, end
	};
	struct platform_options o = { 0 };
	struct error e = { 0 };
	struct platform *p;
	int rc = parse_arguments(argc, argv, table, end);

	if (rc)
		return rc;
	o.listen = listen_addr->sval[0];
	o.control = control_addr->sval[0];
	o.latency_us = int_value(latency, 0);
	o.vm_lag_ms = int_value(lag, 0);
	o.vm_expiry_ms = int_value(expiry, VM_EXPIRY_MS);
	p = platform_start(&o, &e);
	if (!p)
		return print_failure(&e);
	rc = serve_until_signal(platform_address(p),
				platform_control_address(p));
	platform_stop(p);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

/*
 * Runs a stand-in of a database. A term requires either a primary to follow or
 * --first. Returns an exit code.
 */
static int run_database(int argc, char **argv)
{
	struct arg_str *name =
		arg_str1("n", "name", "NAME", "name of the database");
	struct arg_str *listen_addr =
		arg_str1("l", "listen", "IP:PORT", "address to serve on");
	struct arg_str *control_addr = arg_str1("c", "control", "IP:PORT",
						"address for fault control");
	struct arg_str *domain =
		arg_str0(NULL, "domain", "D", "failure domain");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "statements at a time");
	struct arg_int *connections = arg_int0(NULL, "connections", "N",
					       "connections open at a time");
	struct arg_int *connect = arg_int0(NULL, "connect-us", "N",
					   "latency of a new connection");
	struct arg_int *latency =
		arg_int0(NULL, "latency-us", "N", "latency of each statement");
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "N", "replication lag");
	struct arg_int *idle =
		arg_int0(NULL, "transaction-idle-ms", "N",
			 "roll back transactions idle this long");
	struct arg_int *log = arg_int0(NULL, "log-entries", "N",
				       "log entries kept in memory");
	struct arg_int *term = arg_int0(NULL, "term", "T", "first term");
	struct arg_str *primary = arg_str0(NULL, "primary", "IP:PORT",
					   "primary to follow in that term");
	struct arg_lit *first =
		arg_lit0(NULL, "first", "start as primary of that term");
	struct arg_end *end = arg_end(8);
	void *table[] = { name,	       listen_addr, control_addr, domain, slots,
			  connections, connect,	    latency,	  lag,	  idle,
			  log,	       term,	    primary,	  first,  end };
	struct database_options o = { 0 };
	struct error e = { 0 };
	struct database *d;
	int rc = parse_arguments(argc, argv, table, end);

	if (rc)
		return rc;
	if ((term->count > 0) != (primary->count + first->count == 1))
		return print_usage("database", table);
	o.name = name->sval[0];
	o.listen = listen_addr->sval[0];
	o.control = control_addr->sval[0];
	o.domain = str_value(domain, "");
	o.log_max = (size_t)int_value(log, 0);
	o.tx_idle_timeout =
		int_value(idle, TRANSACTION_IDLE_MS) * USEC_PER_MSEC;
	o.faults.slots = int_value(slots, 0);
	o.faults.connections = int_value(connections, 0);
	o.faults.connect_us = int_value(connect, 0);
	o.faults.latency_us = int_value(latency, 0);
	o.faults.lag_ms = int_value(lag, 0);
	o.term = (uint64_t)int_value(term, 0);
	o.primary = str_value(primary, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	d = database_start(&o, &e);
	if (!d)
		return print_failure(&e);
	rc = serve_until_signal(database_address(d),
				database_control_address(d));
	database_stop(d);
	curl_global_cleanup();
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

/*
 * Parses the command line. Returns 0, or EX_USAGE after printing what is
 * wrong.
 */
static int parse_arguments(int argc, char **argv, void **table,
			   struct arg_end *end)
{
	if (arg_nullcheck(table) == 0 && arg_parse(argc, argv, table) == 0)
		return 0;
	arg_print_errors(stderr, end, argv[0]);
	return print_usage(argv[0], table);
}

/* Prints the options. Returns EX_USAGE. */
static int print_usage(const char *name, void **table)
{
	fprintf(stderr, "usage: gypsumcleat standin %s", name);
	arg_print_syntax(stderr, table, "\n");
	arg_print_glossary(stderr, table, "  %-26s %s\n");
	return EX_USAGE;
}

/*
 * Prints the addresses and waits for a signal; the servers' threads do the
 * work.
 */
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

/* Prints why a stand-in cannot start. Returns 1. */
static int print_failure(const struct error *e)
{
	fprintf(stderr, "gypsumcleat standin: %s: %s\n", e->peer, e->message);
	return 1;
}

/* Returns the value of an option, or the fallback if it is not given. */
static int64_t int_value(const struct arg_int *a, int64_t fallback)
{
	return a->count ? a->ival[0] : fallback;
}

/* Returns the value of an option, or the fallback if it is not given. */
static const char *str_value(const struct arg_str *a, const char *fallback)
{
	return a->count ? a->sval[0] : fallback;
}
