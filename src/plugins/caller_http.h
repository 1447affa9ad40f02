#ifndef PLUGINS_CALLER_HTTP_H
#define PLUGINS_CALLER_HTTP_H

#include <apr_thread_mutex.h>
#include <microhttpd.h>

#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "kernel/request.h"
#include "kernel/teams.h"
#include "plugins/caller_body.h"

#define CALLER_STRIPES	      16
#define CALLER_HEAD_MAX_BYTES 8192

enum caller_route {
	ROUTE_STATEMENT,
	ROUTE_BEGIN,
	ROUTE_COMMIT,
	ROUTE_ROLLBACK,
	ROUTE_HEALTH, /* this and the following are open to all */
	ROUTE_READY,
	ROUTE_METRICS,
};

enum exchange_phase {
	EXCHANGE_HEAD,	    /* the request line has arrived */
	EXCHANGE_BODY,	    /* the head is checked, the body arrives */
	EXCHANGE_RUNNING,   /* the engine has it, the connection waits */
	EXCHANGE_DONE,	    /* the engine has answered */
	EXCHANGE_ABANDONED, /* the VM stops before the engine's answer */
};

struct caller_http;
struct exchange;

/* What requests are given to: the teams and the engine, or fakes of both. */
struct caller_ops {
	void *ctx;
	int (*check_key)(void *ctx, const char *secret, const char *service,
			 struct team_ref *out, struct error *e);
	int (*recheck_key)(void *ctx, const char *team, const char *key_id,
			   struct error *e);
	void (*submit)(void *ctx, struct request *r);
	/* Can requests be served now? NULL: always. */
	bool (*ready)(void *ctx);
};

/* One connection of a caller; its stripe's lock guards list and exchange. */
struct caller_conn {
	struct caller_conn *prev;
	struct caller_conn *next;
	struct caller_stripe *stripe;
	int fd;
	usec_t since; /* awaits the caller since then; 0: not; __atomic */
	struct exchange *exchange;
};

/* A part of the connections, with its own lock. */
struct caller_stripe {
	apr_thread_mutex_t *lock;
	struct caller_conn *first;
};

/*
 * One request and its answer. Held by the HTTP server until the request is
 * completed there, and by the engine from submission to done(); the last to
 * release it frees it.
 */
struct exchange {
	uint32_t holders;	   /* __atomic */
	enum exchange_phase phase; /* __atomic */
	struct caller_http *http;
	struct caller_conn *conn;
	struct MHD_Connection *mhd;
	enum caller_route route;
	struct request *request; /* NULL for routes open to all */
	usec_t key_checked;
	int64_t read_staleness_us; /* the team's default */
	bool refused;		   /* "error" is the answer */
	bool close;		   /* the connection ends with the answer */
	struct error error;
	const char *allow; /* methods, for METHOD */
	char *body;
	size_t len;
	size_t room;
};

struct caller_http {
	struct kernel *kernel;
	struct caller_ops ops;
	struct caller_limits limits;
	apr_pool_t *pool;
	struct MHD_Daemon *daemon;
	struct loop *loop; /* closes connections of slow callers */
	struct loop_timer sweep;
	uint32_t next_stripe; /* __atomic */
	bool closing;	      /* __atomic: takes nothing any more */
	struct caller_stripe stripes[CALLER_STRIPES];
};

/*
 * Listens at the settings' caller_listen, and writes the bound port there.
 * Closing answers what still runs with "unknown".
 */
struct caller_http *caller_http_open(struct kernel *k,
				     const struct caller_ops *ops,
				     struct error *e);
bool caller_http_idle(struct caller_http *h);
void caller_http_close(struct caller_http *h);

/* caller_http_head.c: checks a request's head; false if it was refused. */
bool caller_head_check(struct exchange *x, const char *url, const char *method);
/* caller_http_request.c: callbacks of the HTTP server. */
void *caller_request_begin(void *cls, const char *uri,
			   struct MHD_Connection *mhd);
enum MHD_Result caller_request_step(void *cls, struct MHD_Connection *mhd,
				    const char *url, const char *method,
				    const char *version, const char *data,
				    size_t *size, void **ctx);
void caller_request_end(void *cls, struct MHD_Connection *mhd, void **ctx,
			enum MHD_RequestTerminationCode why);
/* Answers a running exchange without the engine; stripe's lock held. */
void caller_request_abandon(struct exchange *x);
/* caller_http_answer.c: queues the answer of an exchange. */
enum MHD_Result caller_answer(struct exchange *x);
/* The answer's body: malloc'd JSON. */
char *caller_answer_json(const struct request *r);
char *caller_error_json(enum outcome outcome, const struct error *e,
			int64_t retry_after_ms);
int caller_answer_status(enum outcome outcome, enum error_code code);
int64_t caller_retry_after_ms(int status, int64_t asked_ms);

#endif
