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

/* Ends the signal thread. */
#define SIGNAL_QUIT SIGUSR2

/* What the signal thread tells the main thread. */
static struct {
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *changed;
	bool stop;
	bool reload;
} signals;

static int open_process(struct kernel *k, struct error *e);
static void raise_file_limit(void);
static int open_signals(apr_pool_t *pool, apr_thread_t **thread,
			struct error *e);
static void *APR_THREAD_FUNC watch_signals(apr_thread_t *t, void *ctx);
static int on_signal(int signum);
static void wait_for_stop(struct settings *s, int argc, char **argv);
static void reload(struct settings *s, int argc, char **argv);
static int serve(struct kernel *k, apr_pool_t *pool, int argc, char **argv,
		 struct error *e);
static void print_ready(const struct settings *s);

/* Runs a VM until SIGTERM or SIGINT: 0 once drained, 1 if it cannot start. */
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
	if (open_process(&k, &e) == -1 ||
	    serve(&k, pool, argc, argv, &e) == -1) {
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

/* Opens what the whole process shares, before any thread starts. */
static int open_process(struct kernel *k, struct error *e)
{
	raise_file_limit();
	log_stream(k->settings.form == FORM_SESSIONS ? stdout : stderr,
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

/* Connections of callers need more descriptors than the usual soft limit. */
static void raise_file_limit(void)
{
	struct rlimit l;

	if (getrlimit(RLIMIT_NOFILE, &l) == -1)
		return;
	l.rlim_cur = l.rlim_max;
	(void)setrlimit(RLIMIT_NOFILE, &l);
}

/* Starts the plug-ins, serves, drains and stops. */
static int serve(struct kernel *k, apr_pool_t *pool, int argc, char **argv,
		 struct error *e)
{
	apr_thread_t *thread = NULL;
	apr_status_t ignored;

	if (open_signals(pool, &thread, e) == -1)
		return -1;
	if (kernel_start(k, e) == -1)
		return -1;
	print_ready(&k->settings);
	wait_for_stop(&k->settings, argc, argv);
	if (!kernel_drain(k))
		log_event(EV_VM_DRAIN, "phase=exit forced=true");
	kernel_stop(k);
	kill(getpid(), SIGNAL_QUIT);
	apr_thread_join(&ignored, thread);
	return 0;
}

/*
 * Blocks all signals in every thread started from here on and gives them to
 * one thread. A broken connection shows as an error of its call.
 */
static int open_signals(apr_pool_t *pool, apr_thread_t **thread,
			struct error *e)
{
	apr_signal(SIGPIPE, SIG_IGN);
	if (apr_thread_mutex_create(&signals.lock, APR_THREAD_MUTEX_DEFAULT,
				    pool) != APR_SUCCESS ||
	    apr_thread_cond_create(&signals.changed, pool) != APR_SUCCESS ||
	    apr_setup_signal_thread() != APR_SUCCESS ||
	    apr_thread_create(thread, NULL, watch_signals, NULL, pool) !=
		    APR_SUCCESS)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "no thread for signals");
	return 0;
}

/* Takes signals until on_signal() says that it is enough. */
static void *APR_THREAD_FUNC watch_signals(apr_thread_t *t, void *ctx)
{
	(void)t;
	(void)ctx;
	apr_signal_thread(on_signal);
	return NULL;
}

/*
 * The first SIGTERM or SIGINT begins the drain, further ones do nothing;
 * SIGHUP asks for a reload.
 */
static int on_signal(int signum)
{
	if (signum == SIGNAL_QUIT)
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

/* Waits until a signal asks the VM to stop; reloads when one asks for that. */
static void wait_for_stop(struct settings *s, int argc, char **argv)
{
	apr_thread_mutex_lock(signals.lock);
	while (!signals.stop) {
		if (signals.reload) {
			signals.reload = false;
			reload(s, argc, argv);
			continue;
		}
		apr_thread_cond_wait(signals.changed, signals.lock);
	}
	apr_thread_mutex_unlock(signals.lock);
}

/*
 * Reads the settings file again. What can change while the VM runs is taken:
 * the times of its shutdown. A file that is refused changes nothing.
 */
static void reload(struct settings *s, int argc, char **argv)
{
	static struct settings fresh;
	int rc = settings_from_arguments(argc, argv, &fresh);

	if (rc == 0) {
		s->grace_s = fresh.grace_s;
		s->drain_notice_ms = fresh.drain_notice_ms;
		s->drain_max_ms = fresh.drain_max_ms;
	}
	log_event(EV_SETTINGS_RELOADED, "taken=%d grace_s=%u", rc == 0,
		  s->grace_s);
}

/* Tells where the VM listens, for scripts; ports are the bound ones. */
static void print_ready(const struct settings *s)
{
	const char *other =
		s->form == FORM_HTTP ? s->admin_listen : s->ready_listen;
	const char *what = s->form == FORM_HTTP ? "admin" : "probes";

	log_event(EV_VM_READY, "callers=%s %s=%s peers=%s", s->caller_listen,
		  what, other, s->peer_listen);
	printf("ready %s callers\n", s->caller_listen);
	printf("ready %s %s\n", other, what);
	printf("ready %s peers\n", s->peer_listen);
	if (s->form == FORM_SESSIONS)
		printf("ready %s metrics\n", s->metrics_listen);
	fflush(stdout);
}
