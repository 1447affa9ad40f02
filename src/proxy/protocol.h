#ifndef PROXY_PROTOCOL_H
#define PROXY_PROTOCOL_H

#include <event2/buffer.h>

#include "decide/types.h"

/*
 * The line protocol between callers, VMs and databases as typed messages. The
 * codec that registers itself here converts them from and to bytes.
 */

#define MESSAGE_MAX_BYTES (1024UL * 1024) /* longest line of the protocol */
#define STATEMENT_ID_MAX  128		  /* bytes of a statement's id */
#define SESSION_KEY_MAX	  256		  /* bytes of a caller's key */

/* Bytes inside a message; valid as long as the message's line. */
struct str_view {
	const char *ptr;
	size_t len;
};

enum verb {
	VERB_BEGIN,
	VERB_BEGIN_READ,
	VERB_COMMIT,
	VERB_ROLLBACK,
	VERB_READ,
	VERB_WRITE,
	VERB_SET,
	VERB_PREPARE,
	VERB_EXECUTE,
	VERB_CLOSE,
	VERB_BAD, /* not a statement of the protocol */
};

/* A statement; fields that its verb does not have are empty. */
struct statement {
	enum verb verb;
	struct str_view text;  /* as the caller sent it */
	struct str_view name;  /* SET, PREPARE, EXECUTE, CLOSE */
	struct str_view value; /* SET: the value; PREPARE: the shape */
	struct str_view args;  /* EXECUTE: all after the name */
	bool is_write;	       /* PREPARE: the shape writes */
};

enum caller_type {
	CALLER_START,
	CALLER_QUERY,
	CALLER_TERMINATE,
	CALLER_BAD,
};

struct caller_msg {
	enum caller_type type;
	/* START: the name by which a route is found */
	struct str_view database;
	struct str_view key; /* START: empty if none was sent */
	struct str_view id;  /* QUERY */
	struct statement statement;
};

/* The protocol's error codes. */
enum reply_error_code {
	REPLY_ERR_NONE,
	REPLY_ERR_BUSY,
	REPLY_ERR_LAGGING,
	REPLY_ERR_READ_ONLY,
	REPLY_ERR_WRONG_DATABASE,
	REPLY_ERR_TOO_MANY,
	REPLY_ERR_FAILED, /* executed, with an error; also any unknown code */
	REPLY_ERR_NO_STATEMENT,
	REPLY_ERR_TIMEOUT,
	REPLY_ERR_NO_AUTH,
	REPLY_ERR_NO_DATABASE,
	REPLY_ERR_TOO_BIG,
	REPLY_ERR_MALFORMED,
	REPLY_ERR_ABORTED,
	REPLY_ERR_IN_DOUBT,
	REPLY_ERR_COUNT
};

enum reply_type {
	REPLY_READY,
	REPLY_ROW,
	REPLY_COMPLETE,
	REPLY_ERROR,
	REPLY_BAD,
};

/*
 * States of a session or connection: idle, in a transaction, failed
 * transaction.
 */
#define STATE_IDLE   'I'
#define STATE_OPEN   'T'
#define STATE_FAILED 'E'

struct reply_msg {
	enum reply_type type;
	char state;		    /* READY */
	bool has_position;	    /* READY */
	struct log_pos at;	    /* READY */
	enum reply_error_code code; /* ERROR */
	struct str_view body; /* ROW, COMPLETE: all after the first word */
};

/* A database's reply to a status request. */
struct db_status_report {
	bool is_primary;
	uint64_t term;
	struct log_pos received;
	uint64_t paused_term; /* newest term it was paused for; 0: none */
};

/* Requests that the proxy itself sends to a database. */
enum control_verb {
	CONTROL_STATUS,
	CONTROL_PAUSE,
	CONTROL_RESUME,
	CONTROL_STEP_DOWN,
	CONTROL_RESET,
	CONTROL_ROLLBACK,
};

/*
 * The codec. Lines come without their line end. A parser reports a malformed
 * line by a type ending in _BAD. Writers append complete messages; "after" may
 * be NULL.
 */
struct protocol {
	void (*parse_caller)(const char *line, size_t len,
			     struct caller_msg *out);
	void (*parse_reply)(const char *line, size_t len,
			    struct reply_msg *out);
	bool (*parse_status_reply)(struct str_view row,
				   struct db_status_report *out);
	/* To callers: */
	void (*put_ready)(struct evbuffer *b, char state,
			  const struct log_pos *at);
	void (*put_complete)(struct evbuffer *b);
	void (*put_error)(struct evbuffer *b, enum reply_error_code code,
			  const char *reason);
	/* To databases: */
	void (*put_start)(struct evbuffer *b, const char *service,
			  const char *team, const char *instance);
	void (*put_begin)(struct evbuffer *b, bool read_only,
			  const struct log_pos *after);
	void (*put_set)(struct evbuffer *b, const char *name,
			const char *value);
	void (*put_prepare)(struct evbuffer *b, const char *name, bool writes,
			    const char *shape);
	/*
	 * The caller's statement under its own id. "name" replaces the name of
	 * a prepared statement.
	 */
	void (*put_statement)(struct evbuffer *b, const char *id,
			      const struct statement *st, const char *name,
			      const struct log_pos *after);
	void (*put_control)(struct evbuffer *b, enum control_verb verb,
			    uint64_t term);
	const char *(*code_name)(enum reply_error_code code);
};

void protocol_register(const struct protocol *p);
const struct protocol *protocol_get(void);

#endif
