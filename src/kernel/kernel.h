#ifndef KERNEL_KERNEL_H
#define KERNEL_KERNEL_H

#include "kernel/settings.h"

struct store;
struct fleet;
struct teams;
struct engine;
struct peer;
struct platform;

/* One VM: its settings and the parts that plug-ins put in at their start. */
struct kernel {
	struct settings settings;
	uint64_t incarnation; /* wall clock at start, microseconds */
	struct store *store;
	struct fleet *fleet;
	struct teams *teams;
	struct engine *engine;
	struct peer *peer;
	struct platform *platform;
	bool draining; /* read and written with __atomic */
};

#endif
