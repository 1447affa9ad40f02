#include "cmd/cmd.h"

#include <apr_general.h>
#include <apr_thread_proc.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "cmd/admin_client.h"
#include "cmd/operator_key.h"
#include "cmd/timeline_merge.h"

#define VMS_MAX	  256
#define PAGES_MAX 10000 /* per VM */

/* The command line. */
struct arguments {
	struct arg_file *key_file;
	struct arg_str *vms;
	struct arg_end *end;
};

/* Fetches the events of one VM on a thread of its own. */
struct fetch {
	struct admin_client client;
	apr_thread_t *thread;
	json_t *pages; /* array; pages fetched before a failure are kept */
	char failure[ADMIN_FAILURE_BYTES]; /* empty on success */
};

static int fetch_and_print(const struct arguments *a);
static int fetch_all(struct fetch *all, size_t n);
static void *APR_THREAD_FUNC fetch_pages(apr_thread_t *t, void *ctx);
static bool fetch_page(struct fetch *f, uint64_t *since);
static int merge_and_print(struct fetch *all, size_t n);

/*
 * Prints the merged timeline of the VMs whose administration addresses are
 * given. Returns 1 if a VM could not be reached; the events of the others are
 * printed nevertheless.
 */
int cmd_timeline(int argc, char **argv)
{
	struct arguments a = {
		.key_file = arg_file0(
			NULL, "operator-key-file", "FILE",
			"file with the operator key, else $" OPERATOR_KEY_VARIABLE),
		.vms = arg_strn(NULL, NULL, "VM", 1, VMS_MAX,
				"administration address, ip:port"),
		.end = arg_end(4),
	};
	void *table[] = { a.key_file, a.vms, a.end };
	int rc = EX_USAGE;

	if (arg_nullcheck(table))
		return 1;
	if (arg_parse(argc, argv, table) == 0) {
		curl_global_init(CURL_GLOBAL_ALL);
		apr_initialize();
		rc = fetch_and_print(&a);
		apr_terminate();
		curl_global_cleanup();
	} else {
		arg_print_errors(stderr, a.end, argv[0]);
		fprintf(stderr, "usage: gypsumcleat %s", argv[0]);
		arg_print_syntax(stderr, table, "\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

/*
 * Fetches the events of all VMs in parallel and prints them merged. Returns an
 * exit code.
 */
static int fetch_and_print(const struct arguments *a)
{
	static struct fetch all[VMS_MAX];
	const size_t n = (size_t)a->vms->count;
	char key[ADMIN_KEY_BYTES];
	const char *file;
	size_t i;
	int rc;

	file = a->key_file->count > 0 ? a->key_file->filename[0] : NULL;
	rc = operator_key_read(file, key, sizeof(key));
	if (rc != 0)
		return rc;
	for (i = 0; i < n; i++) {
		struct admin_client *c = &all[i].client;

		snprintf(c->address, sizeof(c->address), "%s", a->vms->sval[i]);
		snprintf(c->key, sizeof(c->key), "%s", key);
		snprintf(c->operator_name, sizeof(c->operator_name),
			 "timeline");
		all[i].pages = json_array();
	}
	if (fetch_all(all, n) == -1) {
		fprintf(stderr, "gypsumcleat: cannot create threads\n");
		return 1;
	}
	rc = merge_and_print(all, n);
	for (i = 0; i < n; i++)
		json_decref(all[i].pages);
	return rc;
}

/*
 * Runs one thread per VM, so that a VM that does not respond does not delay
 * the others. Returns 0, or -1 if a thread could not be created.
 */
static int fetch_all(struct fetch *all, size_t n)
{
	apr_status_t ignored;
	apr_pool_t *pool;
	int rc = 0;
	size_t i;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return -1;
	for (i = 0; i < n && rc == 0; i++) {
		if (apr_thread_create(&all[i].thread, NULL, fetch_pages,
				      &all[i], pool) == APR_SUCCESS)
			continue;
		all[i].thread = NULL;
		rc = -1;
	}
	for (i = 0; i < n; i++) {
		if (all[i].thread)
			apr_thread_join(&ignored, all[i].thread);
	}
	apr_pool_destroy(pool);
	return rc;
}

/* Thread function: fetches a VM's events page by page up to the newest. */
static void *APR_THREAD_FUNC fetch_pages(apr_thread_t *t, void *ctx)
{
	struct fetch *f = ctx;
	uint64_t since = 0;
	int pages;

	(void)t;
	for (pages = 0; pages < PAGES_MAX; pages++) {
		if (!fetch_page(f, &since))
			break;
	}
	return NULL;
}

/* Fetches one page. Returns false if it is the last one or the call failed. */
static bool fetch_page(struct fetch *f, uint64_t *since)
{
	struct admin_call call = { .method = "GET" };
	json_int_t next = 0;
	size_t n;

	snprintf(call.path, sizeof(call.path), "events?since=%llu",
		 (unsigned long long)*since);
	admin_call(&f->client, &call);
	if (call.status != 200 || !call.reply) {
		if (call.status)
			snprintf(f->failure, sizeof(f->failure),
				 "%s: status %d", f->client.address,
				 call.status);
		else
			snprintf(f->failure, sizeof(f->failure), "%s",
				 call.failure);
		json_decref(call.reply);
		return false;
	}
	n = json_array_size(json_object_get(call.reply, "events"));
	if (json_unpack(call.reply, "{s:I}", "next", &next) == 0)
		*since = (uint64_t)next;
	json_array_append_new(f->pages, call.reply);
	return n > 0 && next > 0;
}

/*
 * Merges and prints the events, and names the VMs that could not be reached.
 * Returns an exit code.
 */
static int merge_and_print(struct fetch *all, size_t n)
{
	struct timeline_merge m = { 0 };
	json_t *page;
	size_t i;
	size_t j;
	int rc = 0;

	for (i = 0; i < n; i++) {
		json_array_foreach(all[i].pages, j, page)
		{
			if (timeline_merge_add(&m, page) == 0)
				continue;
			snprintf(all[i].failure, sizeof(all[i].failure),
				 "%s: not a page of events",
				 all[i].client.address);
		}
		if (all[i].failure[0] == '\0')
			continue;
		fprintf(stderr, "gypsumcleat: not reached: %s\n",
			all[i].failure);
		rc = 1;
	}
	timeline_merge_sort(&m);
	timeline_merge_print(&m, stdout);
	timeline_merge_free(&m);
	return rc;
}
