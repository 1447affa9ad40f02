#ifndef PROXY_REGISTRY_INTERNAL_H
#define PROXY_REGISTRY_INTERNAL_H

#include "decide/evacuated_set.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * Shared by registry.c, which sends the requests and registers this VM,
 * registry_catalog.c, which follows the configuration, registry_confirm.c,
 * which tells how long ago it was confirmed, and registry_list.c, which follows
 * the list of databases.
 */

/* Databases taken from one complete list. */
#define DATABASES_MAX 4096

/*
 * After a restoration of the store all VMs that read it do so at the same
 * moment: their requests are spread over this time, a small part of the 3 s
 * within which a configuration has to be in force.
 */
#define RESTORED_READ_MAX_US (250 * USEC_PER_MSEC)
/* Shortest interval between two requests for a copy. */
#define COPY_RETRY_US (100 * USEC_PER_MSEC)

/* What this VM knows to be outdated, and how it obtains a copy. */
struct outdated {
	usec_t since;	 /* 0: it is up to date as far as known */
	usec_t asked_at; /* time of the last request for a copy */
};

/* One kind of request that is sent repeatedly. */
struct poll {
	struct registry *registry;
	struct platform_call call;
	const char *name;
	void (*handle)(struct registry *r, struct poll *p);
	usec_t due_at;	 /* time of the next request; 0: none is planned */
	usec_t retry_at; /* not before, as the last request failed */
	usec_t requested_at;
	bool busy;
	uint32_t failures; /* failed requests in a row */
	char *reply;	   /* copy made on the platform's thread */
};

/* What this VM knows of evacuations; see registry_evacuation.c. */
struct evacuations {
	struct evacuated_set known;
	struct poll list;
	struct poll watch;
	/* the list in progress, and when its first page was requested */
	struct evacuated_set reading;
	usec_t reading_since;
	uint32_t n_pages; /* of the list in progress */
	/* a watch told of a change at this position */
	struct store_position changed_at;
	uint64_t watch_era; /* of the position that the watch began at */
	/* the store has no history from the known position on */
	bool history_gone;
	struct shared_poll poll; /* lists of this VM and its peers */
};

/* The entries that were last reported as skipped: a ring of hashes. */
#define REGISTRY_SKIPS_REPORTED_MAX 64
struct registry_skipped {
	uint64_t reported[REGISTRY_SKIPS_REPORTED_MAX];
	uint32_t next;
};

struct registry {
	struct proxy *proxy;
	struct poll read;  /* reads the whole catalogue */
	struct poll watch; /* waits for changes, once it was read */
	struct poll databases;
	struct poll vms;
	struct poll self; /* registers this VM */
	/* the next watch starts from here; of this VM's own replies only */
	struct store_position position;
	uint64_t watch_era;    /* of the position that the watch began at */
	uint64_t restored_era; /* of the newest restoration dealt with */
	uint64_t list_era;     /* of the first page of the list being read */
	/* of the list of databases, by lists of this VM and its peers */
	struct shared_poll list_poll;
	/* the databases are listed at the fast interval until this time */
	usec_t fast_until;
	/* when the newest complete list of databases was requested; 0: none */
	usec_t listed_at;
	/* the same, of the newest one not partial after a restoration */
	usec_t full_listed_at;
	/* the list counts as complete from this time on; 0: none read yet */
	usec_t complete_from;
	/* time of the first failed request since the last success; 0: none */
	usec_t failing_since;
	usec_t failed_at;   /* of the newest failed request */
	usec_t answer_took; /* time that the last answered one took */
	struct registry_db *list;
	uint64_t list_hash; /* hash_list() of the newest complete list */
	/* newest time as of which the platform or a peer had this list */
	usec_t list_confirmed_at;
	/* a peer has had a newer and different list since then; 0: none */
	usec_t newer_list_since;
	usec_t newer_listed_at;	  /* when that list was requested */
	uint64_t newer_list_hash; /* its hash_list() */
	char newer_list_peer[NAME_MAX_BYTES];
	struct outdated old_catalog;
	struct outdated old_databases;
	char *catalog_reply; /* of the newest catalogue, for copies */
	/* the newest version that a peer has told, and the last to tell it */
	uint64_t peer_version;
	char peer[NAME_MAX_BYTES];
	usec_t lacked_since; /* since when it has been lacked; 0: it is not */
	usec_t told_at; /* when a peer last told a version that is lacked */
	/* newest version of a peer that a read has not brought */
	uint64_t lacked_version;
	uint64_t refused_version; /* last older version logged; 0: none */
	/* of the configuration, by reads of this VM and its peers */
	struct shared_poll catalog_poll;
	struct confirmation confirmation; /* these reads */
	struct registry_page page;
	uint32_t n_list;
	/* list the databases again as soon as the list in progress is done */
	bool list_again_now;
	bool list_is_turn;   /* the list in progress is this VM's turn */
	bool was_reader;     /* this VM read for its domain at the last tick */
	bool is_unconfirmed; /* for too long; logged */
	struct evacuations evacuations;
	struct registry_skipped skipped;
};

/* registry.c */
/* Returns a random time from a tenth of "max" to "max". */
uint64_t registry_random_delay(const struct registry *r, uint64_t max);
/* Sends one request; the reply arrives on the proxy's thread. */
void registry_poll_send(struct poll *p, enum platform_op op, usec_t now);
/* True if a call has been in progress for longer than is usual. */
bool registry_is_overdue(const struct registry *r, const struct poll *p,
			 usec_t now);
/* Obtains what is outdated, from a VM of this failure domain if possible. */
void registry_refresh_outdated(struct registry *r, struct outdated *o,
			       enum registry_copy kind, struct poll *p,
			       usec_t now);

/* registry_catalog.c */
void registry_handle_catalog_list(struct registry *r, struct poll *p);
void registry_handle_catalog_watch(struct registry *r, struct poll *p);
/* Requests a copy of a version that a read has not brought in time. */
void registry_catalog_tick(struct registry *r, usec_t now);
/* Obtains the version of the configuration that a peer told, if newer. */
void registry_on_peer_version(struct registry *r, const char *peer,
			      uint64_t version, usec_t now);

/* Finds out which contents are in force, if a peer has others. */
void registry_on_peer_contents(struct registry *r,
			       const struct registry_digest *n, usec_t now);

/* Returns the version of the configuration in force; 0: none. */
uint64_t registry_known_version(const struct registry *r);

/* registry_confirm.c */
/* Takes note of a reply to a read of the configuration. */
void registry_confirm(struct registry *r, usec_t asked_at);
/* Returns the read of the configuration that this VM's heartbeats tell. */
struct confirmation_told registry_told_read(const struct registry *r,
					    usec_t now);
/*
 * Reads the configuration when it was not for a while, here or at a peer. Logs
 * when it has been unconfirmed for too long.
 */
void registry_confirm_tick(struct registry *r, usec_t now);

/* registry_evacuation.c */
void registry_handle_evacuation_list(struct registry *r, struct poll *p);
void registry_handle_evacuation_watch(struct registry *r, struct poll *p);
/* Lists and watches the evacuations when it is due. */
void registry_evacuation_tick(struct registry *r, usec_t now);

/* registry_skipped.c */
/* Reports the entries of a page of this list that can't be used. */
void registry_note_skipped(struct registry *r, const char *list,
			   const struct registry_page *page);

/* registry_list.c */
void registry_request_databases(struct registry *r, const char *after_id,
				usec_t now);
void registry_handle_databases(struct registry *r, struct poll *p);
/* Compares a peer's list of databases with this VM's. */
void registry_on_peer_list(struct registry *r, const char *peer,
			   const struct registry_digest *n, usec_t now);
/* Lists the databases when no VM has for a while. */
void registry_list_tick(struct registry *r, usec_t now);

#endif
