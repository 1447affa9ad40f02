#ifndef DECIDE_SESSION_TOKEN_H
#define DECIDE_SESSION_TOKEN_H

#include "decide/error.h"

#define SESSION_TOKEN_ENTRIES_MAX  8
#define SESSION_TOKEN_TEXT_BYTES   1024 /* including the terminating NUL */
#define SESSION_TOKEN_SECRET_BYTES 32

/* Newest state that a session has seen or written at one service. */
struct session_token_entry {
	char service[NAME_MAX_BYTES];
	struct log_pos seen;
	uint64_t unknown_term; /* term of a write of unknown outcome; 0: none */
};

/*
 * State of a session, which the caller sends with each request. Entries are in
 * order of use, the most recently used last.
 */
struct session_token {
	char team[NAME_MAX_BYTES];
	int64_t issued_us; /* wall-clock time of the encoding */
	bool evicted;	   /* an entry was dropped to limit the size */
	uint32_t n;	   /* number of entries */
	struct session_token_entry entry[SESSION_TOKEN_ENTRIES_MAX];
};

/* Secrets for the MAC; the previous one is accepted during a rotation. */
struct session_token_keys {
	uint8_t current[SESSION_TOKEN_SECRET_BYTES];
	uint8_t previous[SESSION_TOKEN_SECRET_BYTES];
	bool has_previous;
};

enum session_token_result {
	SESSION_TOKEN_OK,
	SESSION_TOKEN_MALFORMED,
	SESSION_TOKEN_BAD_MAC,
	SESSION_TOKEN_OTHER_TEAM,
	SESSION_TOKEN_EXPIRED,
	SESSION_TOKEN_TOO_LARGE,
};

void session_token_init(struct session_token *t, const char *team);
int session_token_encode(const struct session_token *t,
			 const struct session_token_keys *keys, int64_t wall_us,
			 char text[SESSION_TOKEN_TEXT_BYTES]);
enum session_token_result
session_token_decode(struct session_token *t, const char *text,
		     const char *team, const struct session_token_keys *keys,
		     int64_t wall_us, int64_t max_age_us);
const char *session_token_result_name(enum session_token_result r);

const struct session_token_entry *
session_token_find(const struct session_token *t, const char *service);
bool session_token_raise(struct session_token *t, const char *service,
			 struct log_pos seen);
void session_token_mark_unknown(struct session_token *t, const char *service,
				uint64_t term);
void session_token_settle(struct session_token *t, const char *service,
			  uint64_t term);

#endif
