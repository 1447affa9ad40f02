#ifndef KERNEL_TEAMS_OWN_H
#define KERNEL_TEAMS_OWN_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "decide/config.h"
#include "decide/escrow.h"
#include "decide/hash_index.h"
#include "decide/keyring.h"
#include "decide/recount.h"
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
	CLAIM_CALLING, /* a call to the platform is under way */
	CLAIM_COUNTING,
	CLAIM_CONFIRMING, /* the platform is asked for the epoch again */
};

/* A team's part of its limit on this VM; made when it is first used. */
struct team_bucket {
	struct escrow escrow;
	bool busy; /* on the shard's list of buckets that are ticked */
	uint32_t n_peers;
	uint32_t next_peer;
	struct team_peer peers[ESCROW_ASKS];
	usec_t ask_at;	  /* next round of questions */
	usec_t interval;  /* between rounds; grows while all are empty */
	uint32_t asked;	  /* peers asked in this round */
	uint32_t empties; /* of them, who have nothing */
	usec_t empty_until;
	usec_t refused_first; /* of the refusals that go on */
	usec_t refused_last;
	usec_t offer_at;
	/* Creating the first epoch, or recounting. */
	enum claim_state claim;
	usec_t claim_at; /* earliest next claim */
	usec_t list_at;	 /* next list of a recount */
	uint64_t life;	 /* of the VM when it claimed */
	struct recount recount;
	char nonce[2 * CLAIM_NONCE_BYTES + 1]; /* of this VM's recount */
	uint32_t missing;  /* may be added once the epoch is confirmed */
	uint64_t finished; /* epoch of this VM's last whole recount */
	char recounter[NAME_MAX_BYTES]; /* who asked for a report last */
	usec_t report_at;
};

struct team {
	char name[NAME_MAX_BYTES];
	uint32_t object;
	uint32_t mark; /* run of teams_apply that last had it */
	uint32_t weight;
	uint32_t n_services;
	char (*services)[NAME_MAX_BYTES];
	uint32_t n_keys;
	struct team_key *keys;
	struct limits limits;
	bool create_due; /* its first epoch may have to be created */
	struct team_bucket *bucket;
};

/* All teams of an object are in one shard. */
struct team_shard {
	apr_thread_mutex_t *lock;
	struct hash_index index;
	struct team **teams; /* with gaps */
	uint32_t n;
	uint32_t room;
	uint32_t busy; /* buckets to tick; read without the lock too */
	struct escrow_vm vm;
};

struct key_shard {
	apr_thread_mutex_t *lock;
	struct keyring *ring;
};

struct exception_entry {
	char team[NAME_MAX_BYTES];
	struct limits_patch patch;
};

/* Carries an escrow message to a VM; must not block. */
typedef void (*teams_send_fn)(void *ctx, const char *to,
			      const struct escrow_msg *msg);

struct teams {
	struct kernel *kernel;
	apr_pool_t *pool;
	struct team_shard shards[TEAM_SHARDS];
	struct key_shard keys[KEY_SHARDS];
	usec_t (*clock)(void); /* clock_now(), but in tests */
	teams_send_fn send;
	void *send_ctx;
	/* Changed only while an object is applied, of which there is one at
	 * a time. */
	bool has_defaults;
	struct limits defaults;
	struct exception_entry *exceptions;
	uint32_t n_exceptions;
	struct hash_index exception_index;
	uint32_t mark;
	/* Under secret_lock: */
	apr_thread_mutex_t *secret_lock;
	bool has_secret;
	bool has_previous;
	uint8_t secret[32];
	uint8_t previous[32];
	/* The last judgement of freshness; both with __atomic. */
	int64_t fresh_at;
	int fresh;
	bool leaving; /* with __atomic */
	usec_t extended_at;
};

/*
 * Messages and calls made under a shard's lock, sent once it is released;
 * messages beyond its room are sent at once, calls are left for a later tick.
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
/* These with the shard's lock held. */
struct team *teams_find(struct team_shard *s, const char *team);
struct team_bucket *teams_bucket(struct team_shard *s, struct team *t,
				 usec_t now);
void teams_busy(struct team_shard *s, struct team_bucket *b);
/* The peers to ask for a team, by rank. */
void teams_refresh_peers(struct teams *t, struct team *team);
void teams_ask_round(struct team *team, bool all, usec_t now,
		     struct teams_outbox *box);
void teams_post(struct teams_outbox *box, const char *to, const char *bucket,
		const struct escrow_msg *msg);
void teams_flush(struct teams_outbox *box);
usec_t teams_gone_after(const struct kernel *k);
/* Starts creating or recounting if that is due; the lock is held. */
void teams_claim_tick(struct team *team, usec_t now, struct teams_outbox *box);
/* Is a team's first epoch still to be created? The lock is held. */
bool teams_create_due(const struct teams *t, const struct team *team);

#endif
