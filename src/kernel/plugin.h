#ifndef KERNEL_PLUGIN_H
#define KERNEL_PLUGIN_H

#include "kernel/settings.h"

struct kernel;

/*
 * A plug-in registers itself before main(). Plug-ins are started in order of
 * "rank", and drained and stopped in reverse order. Callbacks may be NULL.
 * drain() is called once no request of a caller is left, to give back what the
 * VM holds. Until then drained() returns whether all requests have ended,
 * afterwards whether everything was given back. kernel->draining is set at the
 * start of the shutdown, before that.
 */
struct plugin {
	const char *name;
	int rank;
	int (*start)(struct kernel *k, struct error *e);
	void (*drain)(struct kernel *k); /* starts the drain; no blocking */
	bool (*drained)(struct kernel *k);
	void (*stop)(struct kernel *k);
	struct plugin *next;
	enum vm_form form; /* skipped by VMs of another form */
};

enum plugin_rank {
	RANK_STATE = 5, /* store and fleet; started first, freed last */
	RANK_PLATFORM = 10,
	RANK_PEER = 20,
	RANK_TEAMS = 22,
	RANK_DATABASE = 30,
	RANK_ENGINE = 40,
	RANK_CALLER = 60,
	/* From here on the addresses of all listeners are known. */
	RANK_GOSSIP = 70,
	RANK_CONFIG = 72,
	RANK_ADMIN = 80,
};

void plugin_register(struct plugin *p);
void plugin_set_form(enum vm_form form);
struct plugin *plugin_first(void);
int plugin_start_all(struct kernel *k, struct error *e);
void plugin_drain_all(struct kernel *k);
bool plugin_drained_all(struct kernel *k);
void plugin_stop_all(struct kernel *k);

#define PLUGIN_REGISTER(p)                                          \
	__attribute__((constructor)) static void register_##p(void) \
	{                                                           \
		plugin_register(&(p));                              \
	}

#endif
