#include "cmd/cmd.h"

#include <apr_general.h>
#include <apr_signal.h>
#include <apr_thread_cond.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "cmd/settings_file.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/timeline.h"

/* Sent to itself by the process to end the signal thread. */
#define SIGNAL_END_THREAD SIGUSR2

/* Passes signals from the signal thread to the main thread. */
static struct {
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *changed;
	bool stop;
	bool reload;
} signals;

static int init_process(struct kernel *k, struct error *e);
static void raise_fd_limit(void);
static int start_signal_thread(apr_pool_t *pool, apr_thread_t **thread,
			       struct error *e);
static void *APR_THREAD_FUNC run_signal_thread(apr_thread_t *t, void *ctx);
static int on_signal(int signum);
static void wait_for_stop(struct settings *s, int argc, char **argv);
static void reload_settings(struct settings *s, int argc, char **argv);
static int run_vm(struct kernel *k, apr_pool_t *pool, int argc, char **argv,
		  struct error *e);
static void print_ready(const struct settings *s);

/*
 * Runs a VM until SIGTERM or SIGINT. Returns 0 after the drain, 1 if the VM
 * cannot start.
 */
int cmd_serve(int argc, char **argv)
{
	static struct kernel k;
	apr_pool_t *pool;
	struct error e;
	int rc = settings_from_arguments(argc, argv, &k.settings);

	if (rc != 0)
		return rc;
	error_clear(&e);
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return 1;
	if (init_process(&k, &e) == -1 ||
	    run_vm(&k, pool, argc, argv, &e) == -1) {
		log_error(EV_VM_FAIL, &e);
		fprintf(stderr, "gypsumcleat: %s %s: %s\n", step_name(e.step),
			e.peer, e.message);
		rc = 1;
	}
	log_close();
	timeline_close();
	curl_global_cleanup();
	apr_terminate();
	return rc;
}

/*
 * Initialises what the whole process shares. Must run before any thread
 * starts.
 */
static int init_process(struct kernel *k, struct error *e)
{
	raise_fd_limit();
	log_set_output(k->settings.form == FORM_SESSIONS ? stdout : stderr,
		       k->settings.log_lines_per_s);
	if (log_open(k->settings.vm, k->settings.log_level, e) == -1)
		return -1;
	if (timeline_open(k->settings.timeline_events, e) == -1)
		return -1;
	if (sodium_init() == -1)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "libsodium cannot be used");
	if (curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "libcurl cannot be used");
	return 0;
}

/*
 * Raises the soft limit of file descriptors to the hard one, since caller
 * connections need more than the usual soft limit.
 */
static void raise_fd_limit(void)
{
	struct rlimit l;

	if (getrlimit(RLIMIT_NOFILE, &l) == -1)
		return;
	l.rlim_cur = l.rlim_max;
	(void)setrlimit(RLIMIT_NOFILE, &l);
}

/* Starts the kernel, serves until a signal, then drains and stops. */
static int run_vm(struct kernel *k, apr_pool_t *pool, int argc, char **argv,
		  struct error *e)
{
	apr_thread_t *thread = NULL;
	apr_status_t ignored;

	if (start_signal_thread(pool, &thread, e) == -1)
		return -1;
	if (kernel_start(k, e) == -1)
		return -1;
	print_ready(&k->settings);
	wait_for_stop(&k->settings, argc, argv);
	if (!kernel_drain(k))
		log_event(EV_VM_DRAIN, "phase=exit forced=true");
	kernel_stop(k);
	kill(getpid(), SIGNAL_END_THREAD);
	apr_thread_join(&ignored, thread);
	return 0;
}

/*
 * Blocks all signals in the threads started from here on and handles them on
 * one thread. SIGPIPE is ignored: a broken connection shows as an error of the
 * call that uses it.
 */
static int start_signal_thread(apr_pool_t *pool, apr_thread_t **thread,
			       struct error *e)
{
	apr_signal(SIGPIPE, SIG_IGN);
	if (apr_thread_mutex_create(&signals.lock, APR_THREAD_MUTEX_DEFAULT,
				    pool) != APR_SUCCESS ||
	    apr_thread_cond_create(&signals.changed, pool) != APR_SUCCESS ||
	    apr_setup_signal_thread() != APR_SUCCESS ||
	    apr_thread_create(thread, NULL, run_signal_thread, NULL, pool) !=
		    APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "cannot start the signal thread");
	return 0;
}

/* Thread function: handles signals until on_signal() returns 1. */
static void *APR_THREAD_FUNC run_signal_thread(apr_thread_t *t, void *ctx)
{
	(void)t;
	(void)ctx;
	apr_signal_thread(on_signal);
	return NULL;
}

/*
 * Handles a signal. The first SIGTERM or SIGINT starts the drain and further
 * ones have no effect; SIGHUP reloads the settings. Returns 1 to end the
 * thread.
 */
static int on_signal(int signum)
{
	if (signum == SIGNAL_END_THREAD)
		return 1;
	if (signum != SIGTERM && signum != SIGINT && signum != SIGHUP)
		return 0;
	apr_thread_mutex_lock(signals.lock);
	if (signum == SIGHUP)
		signals.reload = true;
	else
		signals.stop = true;
	apr_thread_cond_signal(signals.changed);
	apr_thread_mutex_unlock(signals.lock);
	return 0;
}

/*
 * Waits for the signal to stop, and reloads the settings on SIGHUP meanwhile.
 */
static void wait_for_stop(struct settings *s, int argc, char **argv)
{
	apr_thread_mutex_lock(signals.lock);
	while (!signals.stop) {
		if (signals.reload) {
			signals.reload = false;
			reload_settings(s, argc, argv);
			continue;
		}
		apr_thread_cond_wait(signals.changed, signals.lock);
	}
	apr_thread_mutex_unlock(signals.lock);
}

/*
 * Reads the settings file again and applies the settings that can change at
 * run time, the shutdown times. A refused file changes nothing.
 */
static void reload_settings(struct settings *s, int argc, char **argv)
{
	static struct settings reloaded;
	int rc = settings_from_arguments(argc, argv, &reloaded);

	if (rc == 0) {
		s->grace_s = reloaded.grace_s;
		s->drain_notice_ms = reloaded.drain_notice_ms;
		s->drain_max_ms = reloaded.drain_max_ms;
	}
	log_event(EV_SETTINGS_RELOADED, "taken=%d grace_s=%u", rc == 0,
		  s->grace_s);
}

/*
 * Prints and logs the addresses with the bound ports, for scripts that wait
 * for the VM.
 */
static void print_ready(const struct settings *s)
{
	const char *second_address =
		s->form == FORM_HTTP ? s->admin_listen : s->ready_listen;
	const char *second_name = s->form == FORM_HTTP ? "admin" : "probes";

	log_event(EV_VM_READY, "callers=%s %s=%s peers=%s", s->caller_listen,
		  second_name, second_address, s->peer_listen);
	printf("ready %s callers\n", s->caller_listen);
	printf("ready %s %s\n", second_address, second_name);
	printf("ready %s peers\n", s->peer_listen);
	if (s->form == FORM_SESSIONS)
		printf("ready %s metrics\n", s->metrics_listen);
	fflush(stdout);
}
