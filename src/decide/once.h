#ifndef DECIDE_ONCE_H
#define DECIDE_ONCE_H

#include "decide/error.h"

/* What became of one call to a database. */
enum call_end {
	CALL_END_DONE,	   /* answered; a write still needs its confirmation */
	CALL_END_NOT_SENT, /* nothing left this VM */
	CALL_END_REFUSED,  /* the database answered "not run" */
	CALL_END_NO_REPLY, /* sent in whole or part, answer overdue or cut */
	CALL_END_LOST,	   /* executed, but superseded for good */
	CALL_END_UNSURE,   /* executed, not confirmed by the deadline */
};

enum refusal {
	REFUSAL_NONE,
	REFUSAL_STALE_TERM,
	REFUSAL_NOT_PRIMARY,
	REFUSAL_TERM_AHEAD,
	REFUSAL_BUSY,
	REFUSAL_TX_GONE,
	REFUSAL_ID_REUSED,
	REFUSAL_BAD_STATEMENT,
	REFUSAL_OTHER,
};

enum once_kind {
	ONCE_READ,
	ONCE_WRITE,
	ONCE_TX_BEGIN,
	ONCE_TX_STATEMENT,
	ONCE_TX_COMMIT,
	ONCE_TX_ROLLBACK,
};

struct once_call {
	enum once_kind kind;
	bool has_id;	/* a request id travels with it */
	bool maybe_ran; /* an earlier call of the same request got no answer */
	bool retry_ok;	/* the budget and the attempts allow one more */
	enum call_end end;
	enum refusal refusal;
	usec_t now;
	usec_t deadline;
};

enum once_next {
	ONCE_ANSWER,	  /* with outcome and why */
	ONCE_CONFIRM,	  /* wait for the majority */
	ONCE_RETRY,	  /* route again and send again, after a back-off */
	ONCE_RETRY_VIEW,  /* the same, once the view has changed or aged */
	ONCE_RETRY_OTHER, /* a read, at another database */
	ONCE_RESEND_ID,	  /* send again with the same id: gets its outcome */
};

struct once_verdict {
	enum once_next next;
	enum outcome outcome; /* ANSWER; else what is true if nothing follows */
	enum error_code why;
	bool close_connection; /* never pooled again */
};

struct once_verdict once_decide(const struct once_call *c);
enum refusal refusal_from_name(const char *name);

/* What a look-up of a request id at a primary tells. */
struct once_lookup {
	bool found;
	bool same_body;
	uint64_t sent_term;   /* highest term the request was sent with */
	uint64_t answer_term; /* of the primary that looked */
	bool term_settled;    /* confirm_settled() for that term */
};

/* DONE: now confirm it. NOT_RUN: it can no longer run. Else UNKNOWN. */
enum outcome once_resolve(const struct once_lookup *l, enum error_code *why);

#endif
