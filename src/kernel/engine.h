#ifndef KERNEL_ENGINE_H
#define KERNEL_ENGINE_H

#include "kernel/request.h"

struct kernel;

/* Takes over the request; its done() is called once, from any thread. */
void engine_submit(struct kernel *k, struct request *r);
/* Writes the groups' state as a JSON object for the status page; malloc'd. */
char *engine_status(struct kernel *k);

#endif
