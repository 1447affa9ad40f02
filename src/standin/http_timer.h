#ifndef STANDIN_HTTP_TIMER_H
#define STANDIN_HTTP_TIMER_H

#include "standin/http_server.h"

/* A thread that resumes deferred requests when they are due. */
struct http_timer;

struct http_timer *http_timer_start(void);
void http_timer_stop(struct http_timer *t);
void http_timer_free(struct http_timer *t);
void http_timer_add(struct http_timer *t, struct http_request *r);
void http_timer_wake(struct http_timer *t);
uint64_t http_timer_n_wakes(struct http_timer *t);

#endif
