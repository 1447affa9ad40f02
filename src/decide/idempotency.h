#ifndef DECIDE_IDEMPOTENCY_H
#define DECIDE_IDEMPOTENCY_H

#include "decide/error.h"

/* Result of one call to a database. */
enum call_end {
	CALL_END_DONE,	      /* executed; a write still needs confirmation */
	CALL_END_NOT_SENT,    /* nothing was sent */
	CALL_END_REFUSED,     /* the database replied "not run" */
	CALL_END_NO_REPLY,    /* sent in whole or part; no complete reply */
	CALL_END_LOST,	      /* executed, but discarded by a later term */
	CALL_END_UNCONFIRMED, /* executed, not confirmed by the deadline */
};

/* Why a database refused a call. */
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

enum idem_kind {
	IDEM_READ,
	IDEM_WRITE,
	IDEM_TX_BEGIN,
	IDEM_TX_STATEMENT,
	IDEM_TX_COMMIT,
	IDEM_TX_ROLLBACK,
};

/* The end of one call of a request, and the request's history. */
struct idem_call {
	enum idem_kind kind;
	bool has_id;	/* has a request id (idempotency key) */
	bool maybe_ran; /* an earlier call of the request got no reply */
	bool retry_ok;	/* retry budget and attempt limit allow a retry */
	enum call_end end;
	enum refusal refusal;
	usec_t now;
	usec_t deadline;
};

enum idem_next {
	IDEM_ANSWER,	  /* respond with outcome and why */
	IDEM_CONFIRM,	  /* wait until a majority holds the write */
	IDEM_RETRY,	  /* route and send again after a back-off */
	IDEM_RETRY_VIEW,  /* IDEM_RETRY once the view has changed or aged */
	IDEM_RETRY_OTHER, /* send a read to another database */
	IDEM_RESEND_ID,	  /* send again with the id; gets the first reply */
};

struct idem_verdict {
	enum idem_next next;
	enum outcome outcome; /* of the request, if no further call is made */
	enum error_code why;
	bool close_connection; /* the connection must not return to the pool */
};

struct idem_verdict idem_decide(const struct idem_call *c);
enum refusal refusal_from_name(const char *name);

/* Result of a look-up of a request id at a primary. */
struct idem_lookup {
	bool found;
	bool same_body;
	uint64_t sent_term;   /* highest term the request was sent with */
	uint64_t answer_term; /* term of the primary that replied */
	bool term_settled;    /* write_quorum_term_is_settled() for that term */
};

/*
 * Returns the outcome of a request by the look-up of its id. DONE must still be
 * confirmed; NOT_RUN means that the request can no longer run.
 */
enum outcome idem_resolve(const struct idem_lookup *l, enum error_code *why);

#endif
