#ifndef KERNEL_TEAMS_H
#define KERNEL_TEAMS_H

#include "decide/error.h"

struct kernel;
struct teams;
struct escrow_msg;

struct team_ref {
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	uint32_t weight;
	int64_t read_staleness_us; /* the team's default stated age */
};

enum team_admission {
	TEAM_ADMITTED,
	TEAM_WAIT, /* call again at *again_at, no later than the deadline */
	TEAM_OVER_RATE,
};

/*
 * Finds the team of a caller's key for a service: 0, or -1 with KEY_UNKNOWN,
 * FORBIDDEN or STALE_KEYS. Any thread.
 */
int teams_check_key(struct kernel *k, const char *secret, const char *service,
		    struct team_ref *out, struct error *e);
/* Is the key, found earlier by teams_check_key(), still good? */
int teams_recheck(struct kernel *k, const char *team, const char *key_id,
		  struct error *e);
/*
 * Takes one token of the team's rate. On TEAM_WAIT nothing was taken and a
 * transfer has been asked for; "first_tried" is when this request first asked.
 */
enum team_admission teams_admit(struct kernel *k, const char *team, usec_t now,
				usec_t first_tried, usec_t *again_at,
				int64_t *retry_after_ms);
/*
 * Gives a taken token back for a request that was refused before it ran.
 * "admitted_at" is the "now" of the call of teams_admit() that took it: a
 * token that the bucket could not have kept until now is not given back.
 */
void teams_refund(struct kernel *k, const char *team, usec_t admitted_at);
/* Key that authenticates session tokens; 32 bytes each; false if not known. */
bool teams_session_secret(struct kernel *k, uint8_t current[32],
			  uint8_t previous[32], bool *has_previous);

/* NULL if memory is short. Subscribes to k->store, which must be there. */
struct teams *teams_create(struct kernel *k);
void teams_destroy(struct teams *t);
/* How escrow messages reach a VM; for the plug-in that carries them. */
void teams_carry(struct teams *t,
		 void (*send)(void *ctx, const char *to,
			      const struct escrow_msg *msg),
		 void *ctx);
/* A peer's message. Any thread. */
void teams_receive(struct kernel *k, const char *from, uint64_t incarnation,
		   const struct escrow_msg *msg, usec_t now);
/* Asks again, claims, gives back; called every TEAMS_TICK_MS. */
#define TEAMS_TICK_MS 5
void teams_tick(struct kernel *k, usec_t now);
/* Begins to give all shares back to peers. */
void teams_leave(struct kernel *k);
/* How many limits this VM still holds a share of. */
uint32_t teams_shares(struct kernel *k);

#endif
