#ifndef KERNEL_ENGINE_H
#define KERNEL_ENGINE_H

#include "kernel/request.h"

struct kernel;

/*
 * Takes ownership of a request until its done() is called, which happens
 * exactly once and on any thread.
 */
void engine_submit(struct kernel *k, struct request *r);
/*
 * Returns the state of all groups as a JSON object for the status page; the
 * caller frees it.
 */
char *engine_status(struct kernel *k);

#endif
