#ifndef STANDIN_WEB_H
#define STANDIN_WEB_H

#include <jansson.h>
#include <microhttpd.h>

#include "decide/error.h"

/*
 * A small HTTP server of threads over epoll. A handler answers at once or asks
 * to be called again later, on the server's timer thread; meanwhile the
 * connection holds no thread.
 */
struct web;
struct web_request;

#define HTTP_SERVER_BODY_MAX_BYTES 1048576 /* bytes */
#define HTTP_SERVER_ETAG_BYTES	   40

typedef void (*http_handler)(struct web_request *r);

/* What lives as long as a connection. */
struct http_conn {
	uint64_t seq;	       /* rises with each connection */
	bool has_sent_request; /* has carried a request */
	bool is_uncounted;     /* not counted against the limit */
};

struct web_request {
	struct web *server;
	void *ctx; /* of the server */
	struct MHD_Connection *conn;
	struct http_conn *conn_state;
	const char *method;
	char *url; /* path, unescaped */
	char *body;
	size_t len;
	size_t body_capacity;
	bool too_large;
	/* The answer: a status with a JSON text, or a closed connection. */
	bool has_reply;
	bool closes_unanswered;
	int status;
	char *reply_body;
	char etag[HTTP_SERVER_ETAG_BYTES];
	/* To be called again, by web_later(): */
	bool is_deferred;
	bool can_wake;
	uint64_t n_wakes;
	usec_t due;
	http_handler resume;
	size_t heap_index;
	/* The handler's own, freed with free_own(): */
	void *handler_data;
	void (*free_handler_data)(void *data);
};

struct web_options {
	const char *listen; /* ip:port; port 0: any */
	unsigned int threads;
	unsigned int connections; /* hard limit of open ones */
	http_handler handle;
	/* May a connection be taken? NULL: always. */
	bool (*accept)(void *ctx, unsigned int open);
	void *ctx;
};

struct web *web_start(const struct web_options *o, struct error *e);
void web_stop(struct web *w);
const char *web_address(const struct web *w);	       /* ip:port, resolved */
unsigned int http_server_n_connections(struct web *w); /* connections counted */
uint64_t http_server_next_conn_seq(struct web *w); /* of the next connection */
/* No longer counts the request's connection. */
void http_request_uncount_conn(struct web_request *r);

/* Each ends a handler's turn. */
void web_reply(struct web_request *r, int status, json_t *body); /* takes it */
void http_reply_text(struct web_request *r, int status, char *body); /* takes */
void http_request_drop(struct web_request *r);
void http_request_defer(struct web_request *r, usec_t due, bool on_kick,
			http_handler step);
/* Calls again now every waiting request that asked for it. */
void http_server_wake(struct web *w);
/* Has the client closed its end? For a request that waits. */
bool http_request_client_is_gone(struct web_request *r);
const char *http_request_query(struct web_request *r, const char *name);
uint64_t http_request_query_u64(struct web_request *r, const char *name,
				uint64_t absent);
const char *web_header(struct web_request *r, const char *name);

usec_t monotonic_us(void);   /* monotonic */
int64_t wall_clock_us(void); /* since the epoch */
int parse_listen_address(const char *text, struct sockaddr_in *out,
			 struct error *e);

#endif
