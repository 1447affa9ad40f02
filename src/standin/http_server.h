#ifndef STANDIN_HTTP_SERVER_H
#define STANDIN_HTTP_SERVER_H

#include <jansson.h>
#include <microhttpd.h>

#include "decide/error.h"

/*
 * A small HTTP server that serves its connections with a pool of epoll
 * threads. A handler either responds at once or defers the request, which is
 * then resumed on the server's timer thread; a deferred request occupies no
 * thread.
 */
struct http_server;
struct http_request;

#define HTTP_SERVER_BODY_MAX_BYTES 1048576
#define HTTP_SERVER_ETAG_BYTES	   40

typedef void (*http_handler)(struct http_request *r);

/* The state of a connection across its requests. */
struct http_conn {
	uint64_t seq; /* increases with each connection */
	bool has_sent_request;
	bool is_uncounted; /* not subject to the connection limit */
};

struct http_request {
	struct http_server *server;
	void *ctx; /* ctx of the server's options */
	struct MHD_Connection *conn;
	struct http_conn *conn_state;
	const char *method;
	char *url; /* path, unescaped */
	char *body;
	size_t len; /* bytes of the body */
	size_t body_capacity;
	bool too_large;
	/* The response: a status with a JSON text, or a closed connection. */
	bool has_reply;
	bool closes_unanswered;
	int status;
	char *reply_body;
	char etag[HTTP_SERVER_ETAG_BYTES];
	/* Set by http_request_defer(): */
	bool is_deferred;
	bool can_wake;
	uint64_t n_wakes; /* http_timer_n_wakes() as the handler started */
	usec_t due;
	http_handler resume;
	size_t heap_index; /* index in the timer's heap */
	/* Private to the handler, freed with free_handler_data(): */
	void *handler_data;
	void (*free_handler_data)(void *data);
};

struct http_server_options {
	const char *listen; /* ip:port; port 0: any free port */
	unsigned int threads;
	/* Limit of open connections, enforced by libmicrohttpd. */
	unsigned int connections;
	http_handler handle;
	/* Tells whether to accept a connection; NULL: always. */
	bool (*accept)(void *ctx, unsigned int open);
	void *ctx; /* passed to the callbacks */
};

struct http_server *http_server_start(const struct http_server_options *o,
				      struct error *e);
void http_server_stop(struct http_server *w);
const char *http_server_address(const struct http_server *w);
unsigned int http_server_n_connections(struct http_server *w);
uint64_t http_server_next_conn_seq(struct http_server *w);
void http_request_uncount_conn(struct http_request *r);
/* Each of these four sets the result of a handler, which must then return. */
void http_reply_json(struct http_request *r, int status, json_t *body);
void http_reply_text(struct http_request *r, int status, char *body);
void http_request_drop(struct http_request *r);
void http_request_defer(struct http_request *r, usec_t due, bool can_wake,
			http_handler resume);
void http_server_wake(struct http_server *w);
bool http_request_client_is_gone(struct http_request *r);
const char *http_request_query(struct http_request *r, const char *name);
uint64_t http_request_query_u64(struct http_request *r, const char *name,
				uint64_t absent);
const char *http_request_header(struct http_request *r, const char *name);

usec_t monotonic_us(void);
int64_t wall_clock_us(void);
int parse_listen_address(const char *text, struct sockaddr_in *out,
			 struct error *e);

#endif
