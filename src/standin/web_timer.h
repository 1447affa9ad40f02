#ifndef STANDIN_WEB_TIMER_H
#define STANDIN_WEB_TIMER_H

#include "standin/web.h"

/* One thread that calls waiting requests again when they are due. */
struct web_timer;

struct web_timer *web_timer_start(void);
/* Drops all that wait, now and from here on, and joins the thread. */
void web_timer_stop(struct web_timer *t);
void web_timer_free(struct web_timer *t);
/* Takes a request whose connection is suspended. */
void web_timer_add(struct web_timer *t, struct web_request *r);
void web_timer_kick(struct web_timer *t);
/* Counts kicks; a request notes it before its handler looks at any state. */
uint64_t web_timer_kicks(struct web_timer *t);

#endif
