#include "plugins/caller_http.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/address.h"

#define BODY_INITIAL_BYTES 1024
/*
 * A chunked body over its limit is read and discarded up to this multiple of
 * the limit; then the connection is closed.
 */
#define BODY_DISCARD_FACTOR 4
/* A key checked longer ago is checked again before the request runs. */
#define KEY_RECHECK_US	(500L * USEC_PER_MSEC)
#define DRAIN_MESSAGE	"VM accepts no new requests"
#define ABANDON_MESSAGE "VM stopped before the answer"

static enum MHD_Result receive_headers(struct exchange *x, const char *url,
				       const char *method);
static enum MHD_Result receive_body(struct exchange *x, const char *data,
				    size_t *size);
static bool append_body(struct exchange *x, const char *data, size_t len);
static enum MHD_Result handle_complete(struct exchange *x);
static int read_body(struct exchange *x);
static int recheck(struct exchange *x);
static void on_done(struct request *r);
static int refuse(struct exchange *x, enum error_code code, enum step step,
		  const char *message);
static void start_caller_timer(struct exchange *x);
static void set_exchange(struct caller_conn *c, struct exchange *x);
static void release_exchange(struct exchange *x);

/* Creates an exchange when a request line arrives; NULL if memory is short. */
void *caller_request_begin(void *cls, const char *uri,
			   struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info;
	struct exchange *x;

	(void)uri;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	if (!info || !info->socket_context)
		return NULL;
	x = calloc(1, sizeof(*x));
	if (!x)
		return NULL;
	x->refcount = 1;
	x->http = cls;
	x->mhd = mhd;
	x->conn = info->socket_context;
	set_exchange(x->conn, x);
	start_caller_timer(x);
	return x;
}

/*
 * Access handler of the HTTP server. It is called after the headers, for each
 * part of the body, at the end of the body, and again when the connection is
 * resumed.
 */
enum MHD_Result caller_request_handle(void *cls, struct MHD_Connection *mhd,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *size, void **ctx)
{
	struct exchange *x = *ctx;

	(void)cls;
	(void)mhd;
	(void)version;
	if (!x)
		return MHD_NO;
	switch (__atomic_load_n(&x->phase, __ATOMIC_ACQUIRE)) {
	case EXCHANGE_HEADERS:
		return receive_headers(x, url, method);
	case EXCHANGE_BODY:
		if (*size > 0)
			return receive_body(x, data, size);
		return handle_complete(x);
	case EXCHANGE_RUNNING:
		return MHD_YES;
	case EXCHANGE_DONE:
	case EXCHANGE_ABANDONED:
		break;
	}
	start_caller_timer(x);
	return caller_respond(x);
}

/* Called when the server has completed or aborted a request. */
void caller_request_end(void *cls, struct MHD_Connection *mhd, void **ctx,
			enum MHD_RequestTerminationCode why)
{
	struct exchange *x = *ctx;

	(void)cls;
	(void)mhd;
	(void)why;
	if (!x)
		return;
	*ctx = NULL;
	start_caller_timer(x);
	set_exchange(x->conn, NULL);
	release_exchange(x);
}

/*
 * Responds to a running exchange with "unknown" while the engine still has the
 * request; the engine's later response is dropped. The stripe's lock is held.
 */
void caller_request_abandon(struct exchange *x)
{
	enum exchange_phase from = EXCHANGE_RUNNING;

	if (!__atomic_compare_exchange_n(&x->phase, &from, EXCHANGE_ABANDONED,
					 false, __ATOMIC_ACQ_REL,
					 __ATOMIC_ACQUIRE))
		return;
	error_set(&x->error, ERR_UNKNOWN, STEP_DRAIN, NULL, ABANDON_MESSAGE);
	MHD_resume_connection(x->mhd);
}

/*
 * Checks the headers. A refusal with intact framing is sent after the body has
 * been read, so that the connection can be kept; any other at once.
 */
static enum MHD_Result receive_headers(struct exchange *x, const char *url,
				       const char *method)
{
	start_caller_timer(x);
	__atomic_store_n(&x->phase, EXCHANGE_BODY, __ATOMIC_RELEASE);
	if (!caller_headers_check(x, url, method) && x->must_close)
		return caller_respond(x);
	return MHD_YES;
}

/*
 * Stores a part of the body, or discards it if the request is refused or its
 * route needs no key. A body over the limit refuses the request; one over
 * BODY_DISCARD_FACTOR times the limit ends the connection.
 */
static enum MHD_Result receive_body(struct exchange *x, const char *data,
				    size_t *size)
{
	const size_t body_max = x->http->kernel->settings.body_max_bytes;
	const size_t len = *size;

	*size = 0;
	if (x->len + len > body_max * BODY_DISCARD_FACTOR)
		return MHD_NO;
	if (x->refused || !x->request) {
		x->len += len;
		return MHD_YES;
	}
	if (x->len + len > body_max) {
		refuse(x, ERR_TOO_LARGE, STEP_PARSE, "body too large");
		x->must_close = true;
		x->len += len;
		return MHD_YES;
	}
	return append_body(x, data, len) ? MHD_YES : MHD_NO;
}

/*
 * Appends to the stored body. The buffer grows by doubling, so that a slow
 * sender occupies little memory. Returns false if memory is short.
 */
static bool append_body(struct exchange *x, const char *data, size_t len)
{
	size_t capacity = x->capacity ? x->capacity : BODY_INITIAL_BYTES;
	char *grown;

	while (capacity < x->len + len)
		capacity *= 2;
	if (capacity > x->capacity) {
		grown = realloc(x->body, capacity);
		if (!grown)
			return false;
		x->body = grown;
		x->capacity = capacity;
	}
	memcpy(x->body + x->len, data, len);
	x->len += len;
	return true;
}

/* Handles a complete request: responds here or submits it to the engine. */
static enum MHD_Result handle_complete(struct exchange *x)
{
	struct request *r = x->request;

	if (x->refused || !r || read_body(x) == -1 || recheck(x) == -1) {
		start_caller_timer(x);
		return caller_respond(x);
	}
	r->done = on_done;
	r->ctx = x;
	__atomic_store_n(&x->conn->waiting_since, 0, __ATOMIC_RELAXED);
	__atomic_add_fetch(&x->refcount, 1, __ATOMIC_RELAXED);
	MHD_suspend_connection(x->mhd);
	__atomic_store_n(&x->phase, EXCHANGE_RUNNING, __ATOMIC_RELEASE);
	x->http->ops.submit(x->http->ops.ctx, r);
	return MHD_YES;
}

/* Fills in the request from its body; returns -1 if the body is refused. */
static int read_body(struct exchange *x)
{
	static const enum request_op ops[] = {
		[ROUTE_STATEMENT] = OP_STATEMENT,
		[ROUTE_BEGIN] = OP_BEGIN,
		[ROUTE_COMMIT] = OP_COMMIT,
		[ROUTE_ROLLBACK] = OP_ROLLBACK,
	};
	struct request *r = x->request;
	const struct caller_limits *l = &x->http->limits;
	struct error e;
	int rc;

	r->op = ops[x->route];
	if (r->op == OP_STATEMENT)
		rc = caller_body_statement(r, x->body, x->len, l, &e);
	else
		rc = caller_body_transaction(r, x->body, x->len, l, &e);
	free(x->body);
	x->body = NULL;
	if (rc == -1)
		return refuse(x, e.code, e.step, e.message);
	if (r->kind == KIND_READ && r->max_age_us == MAX_AGE_NONE &&
	    !r->transaction[0])
		r->max_age_us = x->read_staleness_us;
	if (r->request_id[0])
		caller_body_hash(r);
	return 0;
}

/*
 * Checks again what may have changed while the body arrived: the key, and
 * whether the VM still accepts new work. An open transaction may continue
 * during a drain. Returns -1 if the request is refused.
 */
static int recheck(struct exchange *x)
{
	const struct caller_ops *ops = &x->http->ops;
	struct kernel *k = x->http->kernel;
	struct request *r = x->request;

	if (clock_now() - x->key_checked_at > KEY_RECHECK_US &&
	    ops->recheck_key(ops->ctx, r->team, r->key_id, &x->error) == -1) {
		x->refused = true;
		return -1;
	}
	if (__atomic_load_n(&x->http->closing, __ATOMIC_SEQ_CST) ||
	    (!r->transaction[0] &&
	     __atomic_load_n(&k->refusing, __ATOMIC_RELAXED)))
		return refuse(x, ERR_DRAINING, STEP_DRAIN, DRAIN_MESSAGE);
	return 0;
}

/* Called when the engine has responded; any thread. */
static void on_done(struct request *r)
{
	struct exchange *x = r->ctx;
	enum exchange_phase from = EXCHANGE_RUNNING;

	if (__atomic_compare_exchange_n(&x->phase, &from, EXCHANGE_DONE, false,
					__ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
		MHD_resume_connection(x->mhd);
	release_exchange(x);
}

/*
 * Sets the error that the response reports, with the caller's address; returns
 * -1.
 */
static int refuse(struct exchange *x, enum error_code code, enum step step,
		  const char *message)
{
	const union MHD_ConnectionInfo *info;
	char caller_address[ADDR_MAX_BYTES] = "";

	info = MHD_get_connection_info(x->mhd,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (info)
		address_format(info->client_addr, caller_address);
	x->refused = true;
	return error_set(&x->error, code, step, caller_address, "%s", message);
}

/* Restarts the time limit, caller_idle_ms, for the caller's next step. */
static void start_caller_timer(struct exchange *x)
{
	__atomic_store_n(&x->conn->waiting_since, clock_now(),
			 __ATOMIC_RELAXED);
}

/* Sets the connection's current exchange. Takes its stripe's lock. */
static void set_exchange(struct caller_conn *c, struct exchange *x)
{
	apr_thread_mutex_lock(c->stripe->lock);
	c->exchange = x;
	apr_thread_mutex_unlock(c->stripe->lock);
}

/* Releases a reference; the last one frees the exchange and its request. */
static void release_exchange(struct exchange *x)
{
	if (__atomic_sub_fetch(&x->refcount, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	request_destroy(x->request);
	free(x->body);
	free(x);
}
