#ifndef PLUGINS_GOSSIP_H
#define PLUGINS_GOSSIP_H

#include "decide/error.h"

struct kernel;

/*
 * Puts a version of an object into the store and into what is told to peers.
 * "revision" is the platform's, 0 if not known. Any thread. As store_offer(),
 * but a refusal is logged, too.
 */
bool gossip_offer(struct kernel *k, const char *name, uint64_t version,
		  uint64_t revision, const char *body, struct error *e);
/* A list, or a watch from gossip_revision() on, asked then, is applied. */
void gossip_complete(struct kernel *k, uint64_t revision, usec_t asked_at);
/* The platform's revision up to which all is applied here; 0: nothing yet. */
uint64_t gossip_revision(void);

/* What a change still lacks to be accepted. */
enum gossip_missing {
	MISSING_NOTHING,
	MISSING_PEER,	/* no other VM knows it yet */
	MISSING_DOMAIN, /* no VM of another failure domain knows it yet */
};

/*
 * Tells an object of the store to other VMs until one of another failure
 * domain knows it, or any one if the fleet has a single domain. done() runs
 * once, on the platform's loop; "known_by" is the VM, empty if there is none.
 */
struct gossip_confirm {
	char name[128];
	uint64_t version;
	usec_t timeout;
	void (*done)(struct gossip_confirm *c);
	void *ctx;
	enum gossip_missing missing;
	char known_by[NAME_MAX_BYTES];
	char known_domain[NAME_MAX_BYTES];
	void *own;
};

void gossip_confirm(struct kernel *k, struct gossip_confirm *c);

#endif
