#ifndef PLUGINS_GOSSIP_H
#define PLUGINS_GOSSIP_H

#include "decide/error.h"

struct kernel;

/*
 * Adds a version of an object to the store and to the table that gossip reads.
 * "revision" is the platform's, 0 if unknown. Any thread. Returns what
 * store_update() returns; an object that fails its check is logged, too.
 */
bool gossip_apply_object(struct kernel *k, const char *name, uint64_t version,
			 uint64_t revision, const char *body, struct error *e);
/*
 * Records that a list, or a watch that began at gossip_revision(), has been
 * applied up to "revision"; it reflects the platform's state at "sent_at".
 */
void gossip_mark_complete(struct kernel *k, uint64_t revision, usec_t sent_at);
/*
 * Returns the platform revision up to which this VM has applied all objects; 0
 * if there is no such revision yet.
 */
uint64_t gossip_revision(void);

/* The acknowledgement that a change still needs to be accepted. */
enum gossip_missing {
	MISSING_NOTHING,
	MISSING_PEER,	/* no other VM knows it yet */
	MISSING_DOMAIN, /* no VM of another failure domain knows it yet */
};

/*
 * Pushes an object of the store to other VMs until one in another failure
 * domain acknowledges it, or any VM if the fleet has a single domain. done()
 * runs once, on the platform's loop. "known_by" is the VM that acknowledged,
 * empty if none did.
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
