#ifndef KERNEL_LOOP_H
#define KERNEL_LOOP_H

#include "decide/error.h"

/*
 * An event loop: one thread with a task queue, timers and HTTP calls. All
 * callbacks of a loop run on its thread.
 */
struct loop;

struct loop_timer {
	usec_t at;
	void (*fn)(void *ctx);
	void *ctx;
	uint32_t slot; /* index in the heap plus one; 0: not set */
};

#define HTTP_URL_BYTES	       640
#define HTTP_ETAG_BYTES	       40
#define HTTP_AUTH_BYTES	       160
#define HTTP_EXTRA_HEADERS_MAX 2

/*
 * One HTTP call. Its owner must keep it from loop_http() until done() is
 * called. A timeout closes the connection.
 */
struct http_call {
	const char *method;
	char url[HTTP_URL_BYTES];
	const char *body; /* request body or NULL; owned by the owner */
	size_t body_len;  /* bytes */
	bool send_once;	  /* the body must not be sent a second time */
	char if_match[HTTP_ETAG_BYTES];	     /* sent as If-Match: "..." */
	bool if_none_match;		     /* sent as If-None-Match: * */
	char authorization[HTTP_AUTH_BYTES]; /* bearer token or empty */
	char extra_headers[HTTP_EXTRA_HEADERS_MAX]
			  [HTTP_AUTH_BYTES]; /* further header lines */
	usec_t timeout;			     /* of the whole call */
	size_t reply_max;    /* bytes; a larger reply fails the call */
	bool new_connection; /* use a new connection */
	/* of a connection that the call opens: after so many seconds without
	 * data it is probed, and closed if it is silent for as long again;
	 * unacknowledged data closes it after unacked_max; 0: the defaults */
	long keepalive_s;
	usec_t unacked_max;
	const char *number_header; /* reply header to take a number from; NULL:
				      none */
	void (*done)(struct http_call *call);
	void *ctx;
	/* Filled in before done(): */
	int status; /* HTTP status; 0 if none */
	bool sent;  /* a part of the request may have been sent */
	bool timed_out;
	bool fell_silent; /* its connection was closed as silent */
	char *reply;	  /* NUL-terminated; freed after done(); NULL if none */
	size_t reply_len;
	char etag[HTTP_ETAG_BYTES]; /* without quotes */
	uint64_t header_number;	    /* of number_header; 0: none or malformed */
	char error_text[128];	    /* why there is no status */
	/* Private to the loop: */
	void *easy;
	void *headers;
	size_t reply_capacity;
	size_t body_sent;
	struct http_call *next;
	struct http_call **pprev;
};

struct loop *loop_create(const char *name, struct error *e);
/*
 * Lets timers fire up to 1 ms late, to avoid busy polling before they are due.
 */
void loop_set_coarse_timers(struct loop *l);
int loop_start(struct loop *l, struct error *e);
void loop_stop(struct loop *l); /* ends and joins the thread */
void loop_destroy(struct loop *l);
void loop_post(struct loop *l, void (*fn)(void *ctx), void *ctx);
void loop_timer_set(struct loop *l, struct loop_timer *t, usec_t at);
void loop_timer_clear(struct loop *l, struct loop_timer *t);
/* Starts an HTTP call. Loop thread only. */
void loop_http(struct loop *l, struct http_call *call);
/*
 * Ends a call in progress without done(), and closes its connection. Sets
 * "sent"; the reply is dropped. Loop thread only.
 */
void loop_http_cancel(struct loop *l, struct http_call *call);
/* Lets no later call use one of the idle connections. Loop thread only. */
void loop_http_close_idle(struct loop *l);
bool loop_is_current(const struct loop *l);

usec_t clock_now(void);	     /* monotonic */
int64_t clock_wall_us(void); /* since the Unix epoch, for stamps and logs */

#endif
