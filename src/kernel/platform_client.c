#include "kernel/platform_client.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/kernel.h"
#include "kernel/log.h"

/*
 * Keep-alive of connections to a store: a silent one is closed after 2 s, also
 * if it only carries a watch or nothing. Unacknowledged data closes it
 * after 1.5 s, which also ends the probes at the second one.
 */
#define KEEPALIVE_S    1
#define UNACKED_MAX_US (1500 * USEC_PER_MSEC)
/*
 * Once a connection was found silent, the watches of the VM are renewed within
 * this time. It spreads the requests of a fleet whose connections fall silent
 * together.
 */
#define WATCH_RENEW_MAX_US (250 * USEC_PER_MSEC)
/* A watch is not sent again more often than this without a back-off. */
#define WATCH_SILENT_MIN_US USEC_PER_SEC
/* Shortest interval between two log lines about silent connections. */
#define SILENT_LOG_INTERVAL_US (5 * USEC_PER_SEC)

/* A platform call and the HTTP call that carries it. */
struct http_job {
	struct http_call http;
	struct platform_call *call;
	struct platform_client *client;
	char *body;
	/* Continuation of overdue calls; on the loop's thread: */
	struct loop_timer overdue; /* of a watch: when it is renewed */
	usec_t began_at;
	usec_t sent_at;	  /* on the present connection */
	usec_t limit;	  /* for an answer on the present connection */
	bool is_repeat;	  /* it is on its second connection */
	bool is_given_up; /* which does not tell that the store fails */
	struct http_job *next_watch;
	struct http_job **watch_pprev; /* NULL: not in the list */
};

static void submit(void *ctx, struct platform_call *c);
static bool is_up(void *ctx);
static void http_job_start(void *ctx);
static void http_job_send(struct http_job *j, usec_t timeout);
static void http_job_done(struct http_call *h);
static void complete(struct http_job *j);
static void on_overdue(void *ctx);
static enum call_retry_kind retry_kind(const struct http_job *j);
static void repeat(struct http_job *j);
static void note_silent(struct http_job *j);
static void note_answer(struct http_job *j);
static void add_watch(struct http_job *j);
static void remove_watch(struct http_job *j);
static void renew_watches(const struct http_job *found);
static void renew_watch(void *ctx);
static bool watch_fell_silent(const struct http_job *j);
static void fail_call(struct platform_call *c, const char *why);
static void update_availability(struct platform_client *p, bool up,
				const char *why);

/* Starts the loop and registers the client as the platform; see the header. */
int platform_client_start(struct platform_client *p, struct kernel *k,
			  const struct platform_protocol *wire, void *ctx,
			  struct error *e)
{
	memset(p, 0, sizeof(*p));
	p->wire = wire;
	p->ctx = ctx;
	snprintf(p->address, sizeof(p->address), "%s", k->settings.platform);
	p->timeout = (usec_t)k->settings.platform_timeout_ms * USEC_PER_MSEC;
	p->iface.submit = submit;
	p->iface.is_up = is_up;
	p->iface.ctx = p;
	p->iface.loop = loop_create("platform", e);
	if (!p->iface.loop)
		return -1;
	loop_set_coarse_timers(p->iface.loop);
	if (loop_start(p->iface.loop, e)) {
		loop_destroy(p->iface.loop);
		return -1;
	}
	k->platform = &p->iface;
	return 0;
}

/* Stops the loop and unregisters the client; see the header. */
void platform_client_stop(struct platform_client *p, struct kernel *k)
{
	__atomic_store_n(&p->stopping, true, __ATOMIC_RELEASE);
	loop_stop(p->iface.loop);
	k->platform = NULL;
	loop_destroy(p->iface.loop);
}

/* Builds the HTTP request of a platform call and posts it to the loop. */
static void submit(void *ctx, struct platform_call *c)
{
	struct platform_client *p = ctx;
	struct http_job *j = calloc(1, sizeof(*j));

	error_clear(&c->error);
	c->reply = NULL;
	c->replied = false;
	c->era = 0;
	if (!j) {
		fail_call(c, "out of memory");
		return;
	}
	j->call = c;
	j->client = p;
	j->http.done = http_job_done;
	j->http.ctx = j;
	j->http.timeout = p->timeout;
	if (c->timeout && c->timeout < p->timeout)
		j->http.timeout = c->timeout;
	j->http.new_connection = c->new_connection;
	if (p->wire->continues_overdue) {
		j->http.keepalive_s = KEEPALIVE_S;
		j->http.unacked_max = UNACKED_MAX_US;
	}
	if (p->wire->request(p->ctx, c, &j->http, &j->body)) {
		free(j->body);
		free(j);
		fail_call(c, "not supported by the platform");
		return;
	}
	counter_add(CTR_PLATFORM_CALLS, 1);
	if (c->op == PLATFORM_WATCH)
		counter_add(CTR_PLATFORM_WATCHES, 1);
	loop_post(p->iface.loop, http_job_start, j);
}

/* Returns whether the call that ended last was answered. */
static bool is_up(void *ctx)
{
	struct platform_client *p = ctx;

	return __atomic_load_n(&p->up, __ATOMIC_RELAXED);
}

/* Starts the HTTP call. Loop thread. */
static void http_job_start(void *ctx)
{
	struct http_job *j = ctx;

	j->began_at = clock_now();
	j->overdue.ctx = j;
	if (j->client->wire->continues_overdue && j->call->op == PLATFORM_WATCH)
		add_watch(j);
	http_job_send(j, j->http.timeout);
}

/*
 * Sends the HTTP call, and plans what is done if it is overdue. A watch has no
 * time at which an answer is due. Loop thread.
 */
static void http_job_send(struct http_job *j, usec_t timeout)
{
	struct platform_client *p = j->client;

	j->sent_at = clock_now();
	j->limit = call_retry_limit(&p->retry);
	j->http.timeout = timeout;
	if (retry_kind(j) != CALL_RETRY_NEVER) {
		j->overdue.fn = on_overdue;
		loop_timer_set(p->iface.loop, &j->overdue,
			       j->sent_at + j->limit);
	}
	loop_http(p->iface.loop, &j->http);
}

/*
 * Completes the call with its reply. A watch whose connection was closed as
 * silent is sent again first, once. Once the client is stopping, calls are
 * dropped. Loop thread.
 */
static void http_job_done(struct http_call *h)
{
	struct http_job *j = h->ctx;
	struct platform_client *p = j->client;
	bool is_stopping = __atomic_load_n(&p->stopping, __ATOMIC_ACQUIRE);

	loop_timer_clear(p->iface.loop, &j->overdue);
	if (!is_stopping && watch_fell_silent(j)) {
		note_silent(j);
		renew_watch(j);
		return;
	}
	if (h->status != 0 && retry_kind(j) != CALL_RETRY_NEVER)
		note_answer(j);
	complete(j);
}

/*
 * Translates the reply, completes the platform call and frees the job. A
 * promotion does not change the platform's availability, because it may be
 * served at another address.
 */
static void complete(struct http_job *j)
{
	struct http_call *h = &j->http;
	struct platform_call *c = j->call;
	struct platform_client *p = j->client;

	remove_watch(j);
	if (!__atomic_load_n(&p->stopping, __ATOMIC_ACQUIRE)) {
		p->wire->result(h, c);
		if (c->op != PLATFORM_PROMOTE && !j->is_given_up)
			update_availability(p,
					    h->status != 0 && h->status < 500,
					    c->error.message);
		/* The HTTP call keeps the reply and frees it later. */
		c->reply = h->reply;
		c->done(c);
	}
	free(j->body);
	free(j);
}

/*
 * Continues a call that is overdue: a read is made again on a new connection, a
 * conditional write ends as lost and is read back by its submitter. Idle
 * connections may be silent as well, so they are not used any more.
 */
static void on_overdue(void *ctx)
{
	struct http_job *j = ctx;
	struct platform_client *p = j->client;
	enum call_retry_act act;

	act = call_retry_on_overdue(&p->retry, retry_kind(j), j->is_repeat);
	if (act == CALL_RETRY_ACT_WAIT)
		return;
	note_silent(j);
	loop_http_cancel(p->iface.loop, &j->http);
	loop_http_close_idle(p->iface.loop);
	if (act == CALL_RETRY_ACT_REPEAT) {
		repeat(j);
		return;
	}
	j->http.status = 0;
	snprintf(j->http.error_text, sizeof(j->http.error_text), "overdue");
	j->is_given_up = true;
	renew_watches(j);
	complete(j);
}

/* Returns what may be done with the job's call if it is overdue. */
static enum call_retry_kind retry_kind(const struct http_job *j)
{
	if (!j->client->wire->continues_overdue)
		return CALL_RETRY_NEVER;
	switch (j->call->op) {
	case PLATFORM_GET:
	case PLATFORM_LIST:
	case PLATFORM_VMS:
		return CALL_RETRY_REPEAT;
	case PLATFORM_PUT:
		return CALL_RETRY_READ_BACK;
	default:
		return CALL_RETRY_NEVER;
	}
}

/* Sends a read again on a new connection, for the rest of its time. */
static void repeat(struct http_job *j)
{
	usec_t left = j->http.timeout - (clock_now() - j->sent_at);

	j->is_repeat = true;
	j->http.new_connection = true;
	counter_add(CTR_PLATFORM_CALLS, 1);
	counter_add(CTR_PLATFORM_REPEATED, 1);
	http_job_send(j, left > USEC_PER_MSEC ? left : USEC_PER_MSEC);
}

/* Logs that a connection did not answer, at a low rate. */
static void note_silent(struct http_job *j)
{
	struct platform_client *p = j->client;
	usec_t now = clock_now();

	p->n_silent++;
	if (p->silent_logged_at &&
	    now - p->silent_logged_at < SILENT_LOG_INTERVAL_US)
		return;
	p->silent_logged_at = now;
	log_event(EV_PLATFORM_SILENT,
		  "platform=%s call=%s waited_us=%lld limit_us=%lld n=%u",
		  p->address, j->call->name, (long long)(now - j->sent_at),
		  (long long)j->limit, p->n_silent);
	p->n_silent = 0;
}

/*
 * Takes note of an answer. One in time on a second connection shows that the
 * first one was silent: watches probably wait on such ones, too.
 */
static void note_answer(struct http_job *j)
{
	struct platform_client *p = j->client;
	usec_t took = clock_now() - j->sent_at;

	call_retry_answered(&p->retry, took, j->is_repeat);
	if (j->is_repeat && took < j->limit)
		renew_watches(j);
}

/* Adds a watch to the list of those in progress. */
static void add_watch(struct http_job *j)
{
	struct platform_client *p = j->client;

	j->next_watch = p->watches;
	j->watch_pprev = &p->watches;
	if (j->next_watch)
		j->next_watch->watch_pprev = &j->next_watch;
	p->watches = j;
}

/* Removes a watch from the list, if it is in it. */
static void remove_watch(struct http_job *j)
{
	if (!j->watch_pprev)
		return;
	*j->watch_pprev = j->next_watch;
	if (j->next_watch)
		j->next_watch->watch_pprev = j->watch_pprev;
	j->watch_pprev = NULL;
}

/* Plans to renew the watches that were sent before the call found silent. */
static void renew_watches(const struct http_job *found)
{
	struct platform_client *p = found->client;
	usec_t now = clock_now();
	struct http_job *j;

	for (j = p->watches; j; j = j->next_watch) {
		if (j->overdue.slot || j->sent_at > found->began_at)
			continue;
		j->overdue.fn = renew_watch;
		loop_timer_set(
			p->iface.loop, &j->overdue,
			now + (usec_t)randombytes_uniform(WATCH_RENEW_MAX_US));
	}
}

/* Sends a watch again on a new connection, from where it began. */
static void renew_watch(void *ctx)
{
	struct http_job *j = ctx;

	if (j->http.easy)
		loop_http_cancel(j->client->iface.loop, &j->http);
	j->is_repeat = true;
	j->http.new_connection = true;
	counter_add(CTR_PLATFORM_CALLS, 1);
	counter_add(CTR_PLATFORM_WATCHES, 1);
	counter_add(CTR_PLATFORM_REPEATED, 1);
	http_job_send(j, j->http.timeout);
}

/*
 * True if a watch ended because its connection was closed as silent. One that
 * was sent a moment ago is left to the back-off of its submitter.
 */
static bool watch_fell_silent(const struct http_job *j)
{
	return j->watch_pprev && j->http.fell_silent &&
	       clock_now() - j->sent_at >= WATCH_SILENT_MIN_US;
}

/* Fails a call that was never sent. Runs on the submitter's thread. */
static void fail_call(struct platform_call *c, const char *why)
{
	c->result = PLATFORM_DOWN;
	error_set(&c->error, ERR_INTERNAL, STEP_CONNECT, NULL, "%s", why);
	c->done(c);
}

/* Records whether the platform answers, and logs each change. */
static void update_availability(struct platform_client *p, bool up,
				const char *why)
{
	bool changed = up != p->up || !p->availability_known;

	p->availability_known = true;
	__atomic_store_n(&p->up, up, __ATOMIC_RELAXED);
	if (!changed)
		return;
	if (up)
		log_event(EV_PLATFORM_BACK, "platform=%s", p->address);
	else
		log_event(EV_PLATFORM_DOWN, "platform=%s reason=\"%s\"",
			  p->address, why);
}
