#ifndef KERNEL_PLUGIN_H
#define KERNEL_PLUGIN_H

#include "kernel/settings.h"

struct kernel;

/*
 * A plug-in registers itself before main() and is started in the order of
 * "rank", drained and stopped in the reverse order. Callbacks may be NULL.
 * drain() is called once no request of a caller is left, to give back what the
 * VM holds; until then drained() tells whether requests are left, afterwards
 * whether all is given back. Departing is told earlier, by kernel->draining.
 */
struct plugin {
	const char *name;
	int rank;
	int (*start)(struct kernel *k, struct error *e);
	void (*drain)(struct kernel *k); /* begins; must not block */
	bool (*drained)(struct kernel *k);
	void (*stop)(struct kernel *k);
	struct plugin *next;
	enum vm_form form; /* a VM of another form leaves it out */
};

enum plugin_rank {
	RANK_STATE = 5, /* store and fleet: there before all, freed last */
	RANK_PLATFORM = 10,
	RANK_PEER = 20,
	RANK_TEAMS = 22,
	RANK_DATABASE = 30,
	RANK_ENGINE = 40,
	RANK_CALLER = 60,
	/* From here on every listener's address is known. */
	RANK_GOSSIP = 70,
	RANK_CONFIG = 72,
	RANK_ADMIN = 80,
};

void plugin_register(struct plugin *p);
void plugin_select(enum vm_form form);
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
