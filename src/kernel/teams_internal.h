#ifndef KERNEL_TEAMS_INTERNAL_H
#define KERNEL_TEAMS_INTERNAL_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "decide/config.h"
#include "decide/escrow.h"
#include "decide/hash_index.h"
#include "decide/keyring.h"
#include "decide/reconciliation.h"
#include "kernel/platform.h"
#include "kernel/teams.h"

#define TEAM_SHARDS	  64
#define KEY_SHARDS	  16
#define CLAIM_NONCE_BYTES 16

struct team_key {
	char id[NAME_MAX_BYTES];
	bool withdrawn;
};

struct team_peer {
	uint64_t hash;
	char name[NAME_MAX_BYTES];
};

enum claim_state {
	CLAIM_NONE,
	CLAIM_CALLING,	  /* a claim is in progress at the platform */
	CLAIM_COUNTING,	  /* the epoch is claimed; VMs report their shares */
	CLAIM_CONFIRMING, /* reading the epoch again after the recount */
};

/* This VM's share of a team's rate limit; created on first use. */
struct team_bucket {
	struct escrow escrow;
	bool needs_tick; /* counted in its team_shard's n_ticking */
	uint32_t n_peers;
	uint32_t next_peer;
	struct team_peer peers[ESCROW_ASKS];
	usec_t next_ask_at;	/* earliest next round of requests to peers */
	usec_t ask_interval;	/* between rounds; doubles while they fail */
	uint32_t peers_asked;	/* in the current round */
	uint32_t empty_replies; /* from peers that had no tokens to give */
	usec_t empty_until;	/* no peer has anything to give */
	usec_t refusals_since;	/* start of the continuing refusals */
	usec_t last_refused_at;
	usec_t next_offer_at;
	/* Creating the first epoch, or recounting. */
	enum claim_state claim_state;
	usec_t next_claim_at; /* earliest time of the next claim */
	usec_t next_list_at;  /* when a recount requests the VM list again */
	uint64_t lease_generation; /* this VM's lease generation at the claim */
	struct reconciliation recount;
	/* Identifies this VM's recount. */
	char nonce[2 * CLAIM_NONCE_BYTES + 1];
	uint32_t missing_share;	 /* added once the epoch is confirmed */
	uint64_t finished_epoch; /* epoch of this VM's last completed recount */
	char recount_vm_name[NAME_MAX_BYTES]; /* VM that asked for a report last
					       */
	usec_t next_report_at;
};

struct team {
	char name[NAME_MAX_BYTES];
	uint32_t object_number; /* BB of its object "teams/BB" */
	uint32_t generation;	/* of the last update that included the team */
	uint32_t weight;
	uint32_t n_services;
	char (*services)[NAME_MAX_BYTES];
	uint32_t n_keys;
	struct team_key *keys;
	struct limits limits;
	bool create_due; /* the team's first epoch may not exist yet */
	struct team_bucket *bucket;
};

/* A part of the teams. All teams of one object are in the same shard. */
struct team_shard {
	apr_thread_mutex_t *lock;
	struct hash_index index;
	struct team **teams; /* entries may be NULL */
	uint32_t n;
	uint32_t capacity;
	uint32_t n_ticking; /* buckets to tick; __atomic */
	struct escrow_lease vm;
};

struct key_shard {
	apr_thread_mutex_t *lock;
	struct keyring *ring;
};

struct exception_entry {
	char team[NAME_MAX_BYTES];
	struct limits_patch patch;
};

/* Sends an escrow message to a VM; must not block. */
typedef void (*teams_send_fn)(void *ctx, const char *to,
			      const struct escrow_msg *msg);

struct teams {
	struct kernel *kernel;
	apr_pool_t *pool;
	struct team_shard shards[TEAM_SHARDS];
	struct key_shard keys[KEY_SHARDS];
	usec_t (*clock)(void); /* clock_now() except in tests */
	teams_send_fn send;
	void *send_ctx;
	/* Changed only while an object is applied, one at a time. */
	bool has_defaults;
	struct limits defaults;
	struct exception_entry *exceptions;
	uint32_t n_exceptions;
	struct hash_index exception_index;
	uint32_t generation;
	/* Under secret_lock: */
	apr_thread_mutex_t *secret_lock;
	bool has_secret;
	bool has_previous;
	uint8_t secret[32];
	uint8_t previous[32];
	/* The cached result of fleet_freshness(); both with __atomic. */
	int64_t freshness_checked_at;
	int freshness;
	bool leaving;		     /* with __atomic */
	usec_t validity_extended_at; /* last extension of the shares' validity
				      */
};

/*
 * Collects messages and platform calls under a shard's lock and sends them
 * after it is released. Messages beyond its capacity are sent at once; calls
 * beyond its capacity are left for a later tick.
 */
struct teams_outbox {
	struct teams *teams;
	uint32_t n;
	uint32_t n_calls;
	struct platform_call *calls[4];
	struct {
		char to[NAME_MAX_BYTES];
		struct escrow_msg msg;
	} out[ESCROW_ASKS * 2];
};

struct team_shard *teams_shard(struct teams *t, const char *team);
/* In all of these but teams_outbox_send() the shard's lock is held. */
struct team *teams_find(struct team_shard *s, const char *team);
struct team_bucket *teams_bucket(struct team_shard *s, struct team *t,
				 usec_t now);
void teams_schedule_tick(struct team_shard *s, struct team_bucket *b);
void teams_refresh_peers(struct teams *t, struct team *team);
void teams_ask_peers(struct team *team, bool all, usec_t now,
		     struct teams_outbox *box);
void teams_outbox_add(struct teams_outbox *box, const char *to,
		      const char *bucket, const struct escrow_msg *msg);
void teams_outbox_send(struct teams_outbox *box);
usec_t teams_share_expiry(const struct kernel *k);
void teams_claim_tick(struct team *team, usec_t now, struct teams_outbox *box);
bool teams_needs_first_epoch(const struct teams *t, const struct team *team);

#endif
