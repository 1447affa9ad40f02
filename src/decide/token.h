#ifndef DECIDE_TOKEN_H
#define DECIDE_TOKEN_H

#include "decide/error.h"

#define TOKEN_ENTRIES_MAX  8
#define TOKEN_TEXT_BYTES   1024 /* including the terminating NUL */
#define TOKEN_SECRET_BYTES 32

/* Newest state that a session has seen or written at one service. */
struct token_entry {
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
	int64_t issued_us; /* wall clock */
	bool evicted;	   /* an entry was dropped to limit the size */
	uint32_t n;
	struct token_entry entry[TOKEN_ENTRIES_MAX];
};

/* Secrets for the MAC; the previous one is accepted during a rotation. */
struct token_keys {
	uint8_t current[TOKEN_SECRET_BYTES];
	uint8_t previous[TOKEN_SECRET_BYTES];
	bool has_previous;
};

enum token_result {
	TOKEN_OK,
	TOKEN_MALFORMED,
	TOKEN_BAD_MAC,
	TOKEN_OTHER_TEAM,
	TOKEN_EXPIRED,
	TOKEN_TOO_LARGE,
};

void token_init(struct session_token *t, const char *team);
int token_encode(const struct session_token *t, const struct token_keys *keys,
		 int64_t wall_us, char text[TOKEN_TEXT_BYTES]);
enum token_result token_decode(struct session_token *t, const char *text,
			       const char *team, const struct token_keys *keys,
			       int64_t wall_us, int64_t max_age_us);
const char *token_result_name(enum token_result r);

const struct token_entry *token_find(const struct session_token *t,
				     const char *service);
bool token_raise(struct session_token *t, const char *service,
		 struct log_pos seen);
void token_mark_unknown(struct session_token *t, const char *service,
			uint64_t term);
void token_settle(struct session_token *t, const char *service, uint64_t term);

#endif
