#ifndef STANDIN_WEB_TIMER_H
#define STANDIN_WEB_TIMER_H

#include "standin/web.h"

/* One thread that calls waiting requests again when they are due. */
struct http_timer;

struct http_timer *http_timer_start(void);
/* Drops all that wait, now and from here on, and joins the thread. */
void http_timer_stop(struct http_timer *t);
void http_timer_free(struct http_timer *t);
/* Takes a request whose connection is suspended. */
void http_timer_add(struct http_timer *t, struct web_request *r);
void http_timer_wake(struct http_timer *t);
/* Counts kicks; a request notes it before its handler looks at any state. */
uint64_t http_timer_n_wakes(struct http_timer *t);

#endif
