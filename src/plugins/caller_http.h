#ifndef PLUGINS_CALLER_HTTP_H
#define PLUGINS_CALLER_HTTP_H

#include <apr_thread_mutex.h>
#include <microhttpd.h>

#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/request.h"
#include "kernel/teams.h"
#include "plugins/caller_body.h"

#define CALLER_STRIPES		 16
#define CALLER_HEADERS_MAX_BYTES 8192

enum caller_route {
	ROUTE_STATEMENT,
	ROUTE_BEGIN,
	ROUTE_COMMIT,
	ROUTE_ROLLBACK,
	ROUTE_HEALTH, /* this and the following need no key */
	ROUTE_READY,
	ROUTE_METRICS,
};

enum exchange_phase {
	EXCHANGE_HEADERS,   /* request line received, headers pending */
	EXCHANGE_BODY,	    /* headers checked, body pending */
	EXCHANGE_RUNNING,   /* submitted to the engine, connection suspended */
	EXCHANGE_DONE,	    /* the engine has responded */
	EXCHANGE_ABANDONED, /* the VM stops before the engine has responded */
};

struct caller_http;
struct exchange;

/* The teams and the engine, which a test may replace by fakes. */
struct caller_ops {
	void *ctx;
	int (*check_key)(void *ctx, const char *secret, const char *service,
			 struct team_auth *out, struct error *e);
	int (*recheck_key)(void *ctx, const char *team, const char *key_id,
			   struct error *e);
	void (*submit)(void *ctx, struct request *r);
	/* Returns whether requests can be served now; NULL: always. */
	bool (*ready)(void *ctx);
};

/*
 * One connection of a caller. The stripe's lock guards the list pointers and
 * "exchange".
 */
struct caller_conn {
	struct caller_conn *prev;
	struct caller_conn *next;
	struct caller_stripe *stripe;
	int fd;
	usec_t waiting_since; /* start of waiting for the caller; 0: not
				 waiting; __atomic */
	struct exchange *exchange;
};

/* A part of the connections with its own lock, to reduce contention. */
struct caller_stripe {
	apr_thread_mutex_t *lock;
	struct caller_conn *first;
};

/*
 * One request and its response. The HTTP server holds a reference until it has
 * completed the request, the engine from submission to done(); releasing the
 * last reference frees it.
 */
struct exchange {
	uint32_t refcount;	   /* __atomic */
	enum exchange_phase phase; /* __atomic */
	struct caller_http *http;
	struct caller_conn *conn;
	struct MHD_Connection *mhd;
	enum caller_route route;
	struct request *request; /* NULL for routes that need no key */
	usec_t key_checked_at;
	int64_t read_staleness_us; /* the team's default */
	bool refused;		   /* "error" is the response */
	bool must_close;	   /* close the connection after the response */
	struct error error;
	const char *allow; /* the Allow header, with the error METHOD */
	char *body;
	size_t len;
	size_t capacity;
};

struct caller_http {
	struct kernel *kernel;
	struct caller_ops ops;
	struct caller_limits limits;
	apr_pool_t *pool;
	struct MHD_Daemon *daemon;
	struct loop *loop; /* runs the timer that closes slow connections */
	struct loop_timer sweep;
	uint32_t next_stripe; /* __atomic */
	bool closing;	      /* __atomic: every new request is refused */
	struct caller_stripe stripes[CALLER_STRIPES];
};

/*
 * Opens the server at the settings' caller_listen and writes the bound port
 * there. Closing it responds to running requests with the outcome "unknown".
 */
struct caller_http *caller_http_open(struct kernel *k,
				     const struct caller_ops *ops,
				     struct error *e);
bool caller_http_idle(struct caller_http *h);
void caller_http_close(struct caller_http *h);

/* Checks the request line and headers; returns false on refusal. */
bool caller_headers_check(struct exchange *x, const char *url,
			  const char *method);
/* Callbacks of the HTTP server. */
void *caller_request_begin(void *cls, const char *uri,
			   struct MHD_Connection *mhd);
enum MHD_Result caller_request_handle(void *cls, struct MHD_Connection *mhd,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *size, void **ctx);
void caller_request_end(void *cls, struct MHD_Connection *mhd, void **ctx,
			enum MHD_RequestTerminationCode why);
/*
 * Responds to a running exchange without the engine. The stripe's lock is held.
 */
void caller_request_abandon(struct exchange *x);
/* Queues the response of an exchange. */
enum MHD_Result caller_respond(struct exchange *x);
/* Return the body of the response as malloc'd JSON. */
char *caller_response_json(const struct request *r);
char *caller_error_json(enum outcome outcome, const struct error *e,
			int64_t retry_after_ms);
int caller_response_status(enum outcome outcome, enum error_code code);
int64_t caller_retry_after_ms(int status, int64_t asked_ms);

#endif
