#ifndef PROXY_REGISTRY_H
#define PROXY_REGISTRY_H

#include "decide/error.h"
#include "proxy/catalog.h"

/*
 * What the platform knows, as the proxy takes it in: the configuration, the
 * databases, the VMs, and who may promote. The codec of the platform's
 * objects registers itself here; nothing else knows their form.
 */

/* Names by which calls of kernel/platform.h mean these. */
#define REGISTRY_CATALOG   "catalog"
#define REGISTRY_DATABASES "databases"
#define REGISTRY_VMS	   "vms"
#define REGISTRY_DUTY	   "duty"

/* A database as it registers itself. */
struct registry_db {
	char id[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint32_t slots;
	bool departing;
	bool primary;
	uint64_t incarnation; /* milliseconds; 0: not told */
	uint64_t sequence;
};

/* A VM as it registers itself. */
struct registry_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char peer[ADDR_MAX_BYTES];
	uint64_t incarnation;
};

/* Who last took it on to change a service's primary. */
struct registry_duty {
	char holder[NAME_MAX_BYTES];
	uint64_t incarnation;
	uint64_t claim_number; /* count of the VM's claims: no two are alike */
	uint64_t revision;     /* the fencing token: unique, rises with each */
	bool is_promoting;     /* its promotion may be under way: decide/duty */
	uint64_t base_term;    /* the term that it replaces */
};

/* One page of a list. */
struct registry_page {
	bool more;
	char last[NAME_MAX_BYTES];
	uint64_t revision;
	uint32_t skipped; /* entries that could not be read */
};

typedef void (*registry_db_fn)(void *ctx, const struct registry_db *db);
typedef void (*registry_vm_fn)(void *ctx, const struct registry_vm *vm);

struct registry_codec {
	/* A get, list or watch; NULL without error: it holds none. */
	struct catalog *(*catalog)(const char *reply, uint64_t *revision,
				   struct error *e);
	int (*databases)(const char *reply, registry_db_fn fn, void *ctx,
			 struct registry_page *page, struct error *e);
	int (*vms)(const char *reply, registry_vm_fn fn, void *ctx,
		   struct registry_page *page, struct error *e);
	int (*claim)(const char *reply, struct registry_duty *out);
	/* Bodies to be written; malloc'd. */
	char *(*vm_body)(const struct registry_vm *vm);
	char *(*claim_body)(const struct registry_duty *duty);
};

void registry_codec_register(const struct registry_codec *c);
const struct registry_codec *registry_codec(void);

struct proxy;
struct pgroup;
struct registry;

/*
 * Databases that lapsed while the platform was away are back within about 2 s
 * of its return, as the users' pages say.
 */
#define BACK_WITHIN_US (2500 * USEC_PER_MSEC)

/* Begins to follow the platform; all callbacks run on the proxy's thread. */
struct registry *registry_create(struct proxy *p);
void registry_begin(struct registry *r);
void registry_tick(struct registry *r, usec_t now);
/* The databases are wanted sooner than usual. */
void registry_hurry(struct registry *r, usec_t now);
/* Lists the databases now, or again once the list under way is there. */
void registry_list(struct registry *r, usec_t now);
/*
 * Have all databases that live had the time to register, since this VM began
 * to list them and since the platform came back? What it knows is whole then.
 */
bool registry_settled(const struct registry *r, usec_t now);
/* When the newest list of databases was asked for; 0: none yet. */
usec_t registry_listed_at(const struct registry *r);
/*
 * What this VM has taken in: the revision of the configuration, and hashes of
 * the databases and of the VMs. A peer that tells of others is a reason to ask
 * again.
 */
struct registry_news {
	uint64_t catalog;	   /* revision */
	uint64_t databases;	   /* hash */
	uint64_t databases_age_ms; /* of the list of databases */
	uint64_t vms;		   /* hash of the names of all VMs known */
};

struct registry_news registry_news(const struct registry *r, usec_t now);
void registry_peer_news(struct registry *r, const struct registry_news *n,
			usec_t now);

typedef void (*registry_claim_fn)(void *ctx, bool ok, uint64_t token);
/*
 * Takes on the duty for a group: reads who has it, and replaces that unless a
 * promotion may be under way. fn is called once, later.
 */
void registry_claim(struct proxy *p, struct pgroup *g, registry_claim_fn fn,
		    void *ctx);
/*
 * Notes that the holder of "token" promotes now; not if the duty has been
 * taken over. The token rises.
 */
void registry_commit(struct proxy *p, struct pgroup *g, uint64_t token,
		     registry_claim_fn fn, void *ctx);
/* Reads the token of the newest claim. */
void registry_verify(struct proxy *p, struct pgroup *g, registry_claim_fn fn,
		     void *ctx);

enum promote_answer {
	PROMOTE_ANSWER_OK,
	PROMOTE_ANSWER_REFUSED, /* not running, or superseded */
	PROMOTE_ANSWER_NONE,	/* may have taken effect */
};

/* Asks the platform to make a database the primary. */
typedef void (*registry_promote_fn)(void *ctx, enum promote_answer a);
void registry_promote(struct proxy *p, struct pgroup *g, const char *id,
		      uint64_t token, registry_promote_fn fn, void *ctx);

#endif
