#ifndef PROXY_REGISTRY_H
#define PROXY_REGISTRY_H

#include "decide/confirmation.h"
#include "decide/error.h"
#include "decide/promotion_claim.h"
#include "kernel/platform.h"
#include "kernel/wire.h"
#include "proxy/catalog.h"

/*
 * The platform's data as the proxy uses it: the configuration, the registered
 * databases and VMs, and the promotion claims. The codec of the platform's
 * objects registers itself here; nothing else depends on their format.
 */

/* Names of these collections in calls of kernel/platform.h. */
#define REGISTRY_CATALOG     "catalog"
#define REGISTRY_DATABASES   "databases"
#define REGISTRY_VMS	     "vms"
#define REGISTRY_CLAIM	     "duty"
#define REGISTRY_EVACUATIONS "evacuations"

/* A database's entry in the registry. */
struct registry_db {
	char id[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	uint32_t slots;
	bool departing;
	bool primary;
	/* start time of its process in milliseconds; 0: unknown */
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t cold_left_ms; /* how much longer it is slow after its start */
};

/* A VM's entry in the registry. */
struct registry_vm {
	char name[NAME_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	char peer[ADDR_MAX_BYTES];
	uint64_t incarnation;
};

/*
 * The claim of a VM to promote a database of a service, as stored at the
 * platform. One per service and era; replaced by compare-and-swap on its
 * revision.
 */
struct registry_claim_record {
	char holder[NAME_MAX_BYTES]; /* VM that wrote it */
	uint64_t incarnation;
	/* increases with each write by the VM, so no two are equal */
	uint64_t claim_number;
	/* see decide/promotion_claim.h; a decoder leaves the era to its caller
	 */
	struct promotion_claim claim;
	char primary[NAME_MAX_BYTES]; /* closed: the database that leads */
};

/* An entry that names nothing to use. */
struct registry_skip {
	char name[NAME_MAX_BYTES]; /* cut to this size; empty: it has none */
	uint64_t revision;	   /* of the entry; 0: unknown */
	const char *reason;
	const char *field; /* the field at fault, or NULL */
};

/* Of the entries that are skipped, so many are described in a page. */
#define REGISTRY_SKIPS_MAX 8

/* One page of a list. */
struct registry_page {
	bool more;
	/* the list continues after this name; empty: it can't be continued */
	char last[OBJECT_NAME_BYTES];
	uint64_t revision;
	uint32_t skipped; /* entries that can't be used */
	struct registry_skip skip[REGISTRY_SKIPS_MAX];
};

typedef void (*registry_db_fn)(void *ctx, const struct registry_db *db);
typedef void (*registry_vm_fn)(void *ctx, const struct registry_vm *vm);
/* Returns false if the entry can't be taken; it counts as skipped then. */
typedef bool (*registry_domain_fn)(void *ctx, const char *domain);

struct registry_codec {
	/*
	 * Parsers of the replies to get, list and watch. "catalog" returns NULL
	 * without an error if the reply holds no configuration.
	 */
	struct catalog *(*catalog)(const char *reply, uint64_t *revision,
				   struct error *e);
	/*
	 * A reply with only the newest configuration of another one, for peers;
	 * malloc'd. NULL if it holds none or memory is short.
	 */
	char *(*catalog_copy)(const char *reply);
	int (*databases)(const char *reply, registry_db_fn fn, void *ctx,
			 struct registry_page *page, struct error *e);
	int (*vms)(const char *reply, registry_vm_fn fn, void *ctx,
		   struct registry_page *page, struct error *e);
	int (*evacuations)(const char *reply, registry_domain_fn fn, void *ctx,
			   struct registry_page *page, struct error *e);
	int (*claim)(const char *reply, struct registry_claim_record *out);
	/*
	 * The number of changes in the reply to a watch of any collection, and
	 * the revision up to which it tells them; -1: it is malformed.
	 */
	int (*changes)(const char *reply, uint64_t *revision, struct error *e);
	/* Writers of object bodies; the result is malloc'd. */
	char *(*vm_body)(const struct registry_vm *vm);
	char *(*claim_body)(const struct registry_claim_record *duty);
};

void registry_codec_register(const struct registry_codec *c);
const struct registry_codec *registry_codec(void);

struct proxy;
struct db_group;
struct registry;

/*
 * Databases whose entries expired while the platform was unreachable register
 * again within about 2 s of its return, as the platform's documentation states.
 */
#define REREGISTER_MAX_US (2500 * USEC_PER_MSEC)

/* What VMs copy from each other. */
enum registry_copy {
	REGISTRY_COPY_CATALOG = 1,
	REGISTRY_COPY_DATABASES = 2,
};

/*
 * A copy that is under way for longer than this counts as younger than it is.
 * Links fail sooner.
 */
#define REGISTRY_COPY_DELAY_MAX_US (500 * USEC_PER_MSEC)

/* Starts to follow the platform. All callbacks run on the proxy's thread. */
struct registry *registry_create(struct proxy *p);
void registry_start(struct registry *r);
void registry_tick(struct registry *r, usec_t now);
/* True if the platform does not answer this VM. */
bool registry_platform_fails(const struct registry *r, usec_t now);
/* The platform did not answer this VM's claim: its peers are told at once. */
void registry_claim_unanswered(struct registry *r, usec_t now);
/*
 * The age of the newest read of the configuration that this VM knows of, its
 * own or a peer's; -1: none.
 */
usec_t registry_confirm_age(const struct registry *r, usec_t now);
/*
 * True if all that was written longer ago than a configuration may take to be
 * in force is in force here. What the configuration lacks does not exist then.
 */
bool registry_is_confirmed(const struct registry *r, usec_t now);
/* Lists the databases more often for a while. */
void registry_poll_fast(struct registry *r, usec_t now);
/*
 * This VM's copies, for other VMs: a reply of the platform that holds only the
 * newest configuration (NULL: none yet), and the newest list of databases.
 */
const char *registry_catalog_reply(const struct registry *r);
const struct registry_db *registry_list(const struct registry *r, uint32_t *n);
/* Applies a copy of a peer: a reply of the platform, or a list of databases. */
void registry_apply_catalog_copy(struct registry *r, const char *reply);
void registry_apply_list_copy(struct registry *r, const struct registry_db *db,
			      uint32_t n, usec_t listed_at, bool is_settled);
/*
 * True if the operator has evacuated the failure domain, as far as this VM
 * knows: no statement may be sent to its databases.
 */
bool registry_domain_is_evacuated(const struct registry *r, const char *domain);
/*
 * True if this VM has learned which domains are evacuated, or if the platform
 * has no evacuations (setting evacuate_ms).
 */
bool registry_evacuations_known(const struct registry *r);
/* Encodes the newest known evacuations for a heartbeat; nil if there are none.
 */
void registry_pack_evacuations(const struct registry *r, msgpack_packer *p,
			       usec_t now);
/*
 * Decodes what a peer encoded so. Returns false if it is malformed; "waited" is
 * how long the message may have waited here.
 */
bool registry_on_peer_evacuations(struct registry *r, const char *peer,
				  struct wire_reader *in, usec_t waited,
				  usec_t now);
/* Obtains the newest list of databases, from a peer if possible. */
void registry_refresh_databases(struct registry *r, usec_t now);
/* Lists the databases now, or right after the list in progress. */
void registry_list_now(struct registry *r, usec_t now);
/*
 * True if all live databases have had the time to register since this VM first
 * listed them, since the platform was last unreachable and since its store was
 * last restored. The list is complete then.
 */
bool registry_is_settled(const struct registry *r, usec_t now);
/* True if the databases of the list may prove a primary. */
bool registry_list_is_current(struct registry *r, usec_t now);
/*
 * When the newest list of databases was requested that lacks none, and has none
 * as it was before the store was restored; 0: none yet.
 */
usec_t registry_listed_at(const struct registry *r);
/* When the newest list of databases was requested; 0: none yet. */
usec_t registry_list_requested_at(const struct registry *r);
/*
 * Digest of what this VM knows, sent to peers in heartbeats: the version of the
 * configuration, hashes of the databases and the VMs, and the era of the
 * platform's store. If a peer has a newer configuration, a different and newer
 * list of databases, or knows other VMs, this VM requests these from the
 * platform again. What rests on the store does not count if the peer's era is
 * an earlier one.
 */
struct registry_digest {
	uint64_t catalog;	   /* version */
	uint64_t contents;	   /* hash of that configuration */
	uint64_t databases;	   /* hash of the list */
	uint64_t databases_age_ms; /* age of the list */
	uint64_t vms;		   /* hash of the names of all known VMs */
	bool knows_era;		   /* the store has replied */
	uint64_t era;
	uint64_t era_age_ms; /* how long the era has been known */
	/* a read that confirms the configuration; see decide/confirmation.h */
	struct confirmation_told read;
};

struct registry_digest registry_digest(const struct registry *r, usec_t now);
void registry_on_peer_digest(struct registry *r, const char *peer,
			     const struct registry_digest *n, usec_t now);
/* Takes note of a read of the configuration by another VM. */
void registry_on_peer_read(struct registry *r,
			   const struct confirmation_told *told, usec_t now);

/* How a request about a claim ended. */
struct registry_claim_outcome {
	bool ok;
	uint64_t token; /* fencing token of the record; 0: none */
	/* nobody has promoted since the term that the claim would end */
	bool is_term_certain;
	/* the record read; its state is PROMOTION_CLAIM_NONE if there is none
	 */
	struct registry_claim_record record;
	usec_t asked_at; /* when the record was requested */
};

typedef void (*registry_claim_done_fn)(void *ctx,
				       const struct registry_claim_outcome *o);
/*
 * Claims the promotion for a group: reads the current claim and replaces it,
 * unless its holder may be promoting. fn is called once, later.
 */
void registry_claim_promotion(struct proxy *p, struct db_group *g,
			      registry_claim_done_fn fn, void *ctx);
/*
 * Marks this VM's claim as promoting. Fails if another VM has replaced the
 * claim. The token increases.
 */
void registry_mark_promoting(struct proxy *p, struct db_group *g,
			     registry_claim_done_fn fn, void *ctx);
/* Reads the newest claim; "ok" tells that the platform has answered. */
void registry_read_claim(struct proxy *p, struct db_group *g,
			 registry_claim_done_fn fn, void *ctx);
/*
 * Closes the claim with the group's term and primary, if no promotion is in
 * progress. The outcome has the record as it is then.
 */
void registry_close_claim(struct proxy *p, struct db_group *g,
			  registry_claim_done_fn fn, void *ctx);
/*
 * True if every promotion of an earlier era of the store is over at "now".
 */
bool registry_era_is_settled(const struct proxy *p, usec_t now);

enum registry_promote_result {
	REGISTRY_PROMOTE_OK,
	REGISTRY_PROMOTE_REFUSED, /* not running, or the token was superseded */
	REGISTRY_PROMOTE_UNKNOWN, /* no response; may have taken effect */
};

/* Asks the platform to promote a database. */
typedef void (*registry_promote_done_fn)(void *ctx,
					 enum registry_promote_result a);
void registry_promote(struct proxy *p, struct db_group *g, const char *id,
		      uint64_t token, registry_promote_done_fn fn, void *ctx);

#endif
