#ifndef KERNEL_FLEET_INTERNAL_H
#define KERNEL_FLEET_INTERNAL_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "decide/freshness.h"
#include "decide/membership.h"
#include "kernel/fleet.h"

/*
 * Internals, for the plug-ins that update the fleet's state. The lock protects
 * everything but the pool.
 */
struct fleet {
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct membership *members;
	struct freshness fresh;
};

void fleet_lock(struct fleet *f);
void fleet_unlock(struct fleet *f);

#endif
