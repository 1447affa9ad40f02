#ifndef KERNEL_TEAMS_H
#define KERNEL_TEAMS_H

#include "decide/error.h"

struct kernel;
struct teams;
struct escrow_msg;

/* The team and key that a caller was authenticated as. */
struct team_auth {
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	uint32_t weight;
	int64_t read_staleness_us; /* default maximum age of the team's reads */
};

enum team_admission {
	TEAM_ADMITTED,
	TEAM_WAIT, /* call teams_admit() again at its *again_at, if that is
		    * before the request's deadline */
	TEAM_OVER_RATE,
};

/*
 * Authenticates a caller by its key and checks that its team may use the
 * service. Returns 0, or -1 with KEY_UNKNOWN, FORBIDDEN or STALE_KEYS. Any
 * thread.
 */
int teams_check_key(struct kernel *k, const char *secret, const char *service,
		    struct team_auth *out, struct error *e);
/*
 * Returns 0 if a key that teams_check_key() accepted is still valid, else -1
 * with KEY_UNKNOWN or STALE_KEYS.
 */
int teams_recheck_key(struct kernel *k, const char *team, const char *key_id,
		      struct error *e);
/*
 * Takes one token of the team's rate limit. On TEAM_WAIT nothing was taken and
 * a transfer from peers has been requested; "first_tried_at" is the
 * time of the first call for this request.
 */
enum team_admission teams_admit(struct kernel *k, const char *team, usec_t now,
				usec_t first_tried_at, usec_t *again_at,
				int64_t *retry_after_ms);
/*
 * Returns the token of a request that was refused before it ran. "admitted_at"
 * is the "now" of the call of teams_admit() that took it: a token that the
 * bucket could not have kept until now is not returned.
 */
void teams_return_token(struct kernel *k, const char *team, usec_t admitted_at);
/*
 * Copies the 32-byte keys that authenticate session tokens; false if none is
 * known.
 */
bool teams_session_secret(struct kernel *k, uint8_t current[32],
			  uint8_t previous[32], bool *has_previous);

/* Returns NULL if memory is short. Subscribes to k->store, which must exist. */
struct teams *teams_create(struct kernel *k);
void teams_destroy(struct teams *t);
/*
 * Sets the function that sends escrow messages to a VM, for the plug-in that
 * transports them.
 */
void teams_set_transport(struct teams *t,
			 void (*send)(void *ctx, const char *to,
				      const struct escrow_msg *msg),
			 void *ctx);
/* Handles a peer's message. Any thread. */
void teams_handle_message(struct kernel *k, const char *from,
			  uint64_t incarnation, const struct escrow_msg *msg,
			  usec_t now);
/*
 * Sends unanswered requests again, claims epochs and returns shares. Called
 * every TEAMS_TICK_MS.
 */
#define TEAMS_TICK_MS 5
void teams_tick(struct kernel *k, usec_t now);
/* Starts returning all shares to peers. */
void teams_release_shares(struct kernel *k);
/* Returns how many limits this VM still holds a share of. */
uint32_t teams_shares_held(struct kernel *k);

#endif
