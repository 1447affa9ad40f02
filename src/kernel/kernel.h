#ifndef KERNEL_KERNEL_H
#define KERNEL_KERNEL_H

#include "kernel/settings.h"

struct store;
struct fleet;
struct teams;
struct engine;
struct peer;
struct platform;

/* The state of this VM: its settings and the modules that plug-ins register. */
struct kernel {
	struct settings settings;
	uint64_t incarnation; /* wall clock at start, microseconds */
	struct store *store;
	struct fleet *fleet;
	struct teams *teams;
	struct engine *engine;
	struct peer *peer;
	struct platform *platform;
	/* Both with __atomic: */
	bool draining; /* reported as not ready; still accepts all work */
	bool refusing; /* accepts no new statement and no new transaction */
};

/* Starts the plug-ins; if one fails, stops those that were started. */
int kernel_start(struct kernel *k, struct error *e);
/*
 * Drains the VM and returns when it may stop: false if drain_max_ms ran out
 * with work unfinished. Blocks.
 */
bool kernel_drain(struct kernel *k);
void kernel_stop(struct kernel *k);
/* Times of a graceful shutdown; see "grace_s" in the settings. */
usec_t kernel_drain_notice(const struct settings *s);
usec_t kernel_drain_max(const struct settings *s);

#endif
