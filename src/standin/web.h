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

#define WEB_BODY_MAX   1048576 /* bytes */
#define WEB_ETAG_BYTES 40

typedef void (*web_handler)(struct web_request *r);

/* What lives as long as a connection. */
struct web_conn {
	uint64_t seq;	  /* rises with each connection */
	bool seen;	  /* has carried a request */
	bool replication; /* not counted against the limit */
};

struct web_request {
	struct web *web;
	void *ctx; /* of the server */
	struct MHD_Connection *conn;
	struct web_conn *peer;
	const char *method;
	char *url; /* path, unescaped */
	char *body;
	size_t len;
	size_t room;
	bool too_large;
	/* The answer: a status with a JSON text, or a closed connection. */
	bool ready;
	bool drop;
	int status;
	char *reply;
	char etag[WEB_ETAG_BYTES];
	/* To be called again, by web_later(): */
	bool later;
	bool on_kick;
	uint64_t kicks;
	usec_t due;
	web_handler step;
	size_t slot;
	/* The handler's own, freed with free_own(): */
	void *own;
	void (*free_own)(void *own);
};

struct web_options {
	const char *listen; /* ip:port; port 0: any */
	unsigned int threads;
	unsigned int connections; /* hard limit of open ones */
	web_handler handle;
	/* May a connection be taken? NULL: always. */
	bool (*accept)(void *ctx, unsigned int open);
	void *ctx;
};

struct web *web_start(const struct web_options *o, struct error *e);
void web_stop(struct web *w);
const char *web_address(const struct web *w); /* ip:port, resolved */
unsigned int web_open(struct web *w);	      /* connections counted */
uint64_t web_next_seq(struct web *w);	      /* of the next connection */
/* No longer counts the request's connection. */
void web_uncount(struct web_request *r);

/* Each ends a handler's turn. */
void web_reply(struct web_request *r, int status, json_t *body); /* takes it */
void web_reply_text(struct web_request *r, int status, char *body); /* takes */
void web_drop(struct web_request *r);
void web_later(struct web_request *r, usec_t due, bool on_kick,
	       web_handler step);
/* Calls again now every waiting request that asked for it. */
void web_kick(struct web *w);
/* Has the client closed its end? For a request that waits. */
bool web_client_gone(struct web_request *r);
const char *web_argument(struct web_request *r, const char *name);
uint64_t web_number(struct web_request *r, const char *name, uint64_t absent);
const char *web_header(struct web_request *r, const char *name);

usec_t web_now(void);	   /* monotonic */
int64_t web_wall_us(void); /* since the epoch */
int web_parse_address(const char *text, struct sockaddr_in *out,
		      struct error *e);

#endif
