#ifndef DECIDE_ESCROW_H
#define DECIDE_ESCROW_H

#include "decide/error.h"

/*
 * Escrow: one limit of the whole fleet, divided into shares that the VMs hold
 * and transfer to each other on request.
 *
 * The shares of all VMs and of all messages in flight never sum to more than
 * the whole. A share of a rate is a token bucket with that fraction of the
 * rate and of the burst. Messages carry tokens as well as shares; both are
 * subtracted before the message is sent. The tokens of a share never exceed
 * its fraction of the burst. Over any interval t the fleet therefore admits at
 * most rate * t + burst, even if messages are lost, duplicated or delayed.
 *
 * Shares that were lost with a message or a VM are recovered by reconciliation,
 * which the log calls a recount. One VM starts a new epoch, collects reports of
 * the shares held from all VMs, and adds what is missing to its own share.
 */
#define ESCROW_WHOLE	    (1U << 24) /* the whole of a rate, as a share */
#define ESCROW_ASKS	    8	       /* open requests, each to another peer */
#define ESCROW_GRANTS_KEPT  8	       /* peers whose last grant is kept */
#define ESCROW_BUCKET_BYTES (NAME_MAX_BYTES + 8)

struct escrow_limit {
	uint32_t rate_per_s;
	uint32_t burst;
};

/*
 * The lease under which a VM holds the shares of all its buckets. When it
 * expires, at expires_at, the VM gives up all shares for good, because other
 * VMs may by then have declared it gone and distributed its shares again.
 */
struct escrow_lease {
	usec_t expires_at;
	uint64_t generation; /* incremented on expiry; voids older shares */
	uint64_t next_id;    /* of requests; starts from the incarnation */
};

/* A request of this VM that awaits its grant. */
struct escrow_ask {
	uint64_t id; /* 0: free */
	uint64_t peer;
	usec_t sent_at;	 /* first sent */
	usec_t retry_at; /* to be sent again if there is no grant by then */
};

/* The last grant to a peer, sent again if the peer repeats its request. */
struct escrow_grant {
	uint64_t peer; /* hash of its name; 0: free */
	uint64_t incarnation;
	uint64_t id;
	uint32_t share;
	uint64_t tokens;
	usec_t created_at;
};

struct escrow {
	struct escrow_lease *lease;
	struct escrow_limit limit;
	bool draining;	 /* the VM drains: grants everything it holds */
	bool is_units;	 /* indivisible units, such as connections */
	uint32_t whole;	 /* ESCROW_WHOLE, or the number of units */
	uint32_t in_use; /* units in use by this VM */
	uint64_t lease_generation; /* lease->generation when the share was
				      received */
	uint64_t epoch;		   /* 0: none known */
	uint32_t share;
	uint32_t reported;   /* share held on entering this epoch */
	bool report_acked;   /* the reconciling VM has that report */
	uint64_t tokens;     /* 1 token = whole * 1,000,000 */
	usec_t accrued_at;   /* tokens are accrued up to this time */
	usec_t no_refund_at; /* tokens taken before are not refunded: the
				tokens hit the cap, or were granted, then */
	/* Requests in the current and the last window, admitted or not. */
	usec_t window_at; /* start of the current window */
	usec_t demand_at; /* time of the newest request */
	uint32_t window;
	uint32_t last_window;
	struct escrow_ask asks[ESCROW_ASKS];
	struct escrow_grant grants[ESCROW_GRANTS_KEPT];
};

enum escrow_type {
	ESCROW_ASK = 1,	   /* share, tokens, demand: those of the requester */
	ESCROW_GRANT,	   /* share, tokens: granted, possibly none */
	ESCROW_OFFER,	   /* the sender gives up its share: request it */
	ESCROW_NEW_EPOCH,  /* a new epoch was claimed: enter it and report */
	ESCROW_REPORT,	   /* share: held on entering the epoch */
	ESCROW_REPORT_ACK, /* the report has arrived: grants are allowed */
	ESCROW_TYPE_COUNT
};

struct escrow_msg {
	enum escrow_type type;
	char bucket[ESCROW_BUCKET_BYTES]; /* name of the limit */
	uint64_t epoch;
	uint64_t id;
	uint32_t share;
	uint64_t tokens;
	uint32_t demand; /* requests per second, or units wanted */
};

void escrow_lease_init(struct escrow_lease *lease, uint64_t incarnation);
/* Renews the lease; the VM was in contact with the fleet at "now". */
void escrow_lease_renew(struct escrow_lease *lease, usec_t now, usec_t until);

/* Initializes a rate limit without a share. */
void escrow_init(struct escrow *b, struct escrow_lease *lease,
		 const struct escrow_limit *limit, usec_t now);
/* Initializes a limit of indivisible units, without a share. */
void escrow_init_units(struct escrow *b, struct escrow_lease *lease,
		       uint32_t units, usec_t now);
void escrow_set_limit(struct escrow *b, const struct escrow_limit *limit,
		      usec_t now);
/* Counts a request towards the demand; once each, admitted or not. */
void escrow_count_request(struct escrow *b, usec_t now);
/* Takes one token, or one unit; false if there is none. */
bool escrow_take(struct escrow *b, usec_t now);
/* Refunds what a request that did not run took at "taken_at". */
void escrow_refund(struct escrow *b, usec_t taken_at, usec_t now);
/* Returns true if this VM should request more before it runs out. */
bool escrow_needs_more(struct escrow *b, usec_t now);
/* Returns true if the lease has expired, so that the VM holds nothing. */
bool escrow_is_expired(const struct escrow *b, usec_t now);
/* Returns when this share alone will yield a token; INT64_MAX if never. */
usec_t escrow_next_token_at(const struct escrow *b, usec_t now);
/* Returns the recent requests per second. */
uint32_t escrow_demand_per_s(const struct escrow *b, usec_t now);

/*
 * Fills in a request to a peer. Returns false if a request to that peer is
 * open, which escrow_retry_ask() repeats with the same id, or if the lease has
 * expired.
 */
bool escrow_ask(struct escrow *b, uint64_t peer, usec_t now,
		struct escrow_msg *out);
/* Fills in the next open request that is due for a retry; false if none. */
bool escrow_retry_ask(struct escrow *b, usec_t now, uint64_t *peer,
		      struct escrow_msg *out);
/* Handles a peer's request: fills in the grant, already subtracted here. */
void escrow_on_ask(struct escrow *b, uint64_t peer, uint64_t incarnation,
		   const struct escrow_msg *msg, usec_t now,
		   struct escrow_msg *out);
/* Result of receiving a grant. */
enum escrow_result {
	ESCROW_IGNORED,	    /* not added: this VM's lease has expired, no
			       request with this id to this peer is open, or
			       the grant is too late, of an older epoch, or
			       would raise the share above the whole */
	ESCROW_EMPTY,	    /* the peer has nothing to grant */
	ESCROW_NEWER_EPOCH, /* from an epoch not known here: send a new request
			     */
	ESCROW_RECEIVED,    /* share and tokens were added */
};

enum escrow_result escrow_on_grant(struct escrow *b, uint64_t peer,
				   const struct escrow_msg *msg, usec_t now);
/* Enters a later epoch. The share is kept, and is what gets reported. */
void escrow_enter_epoch(struct escrow *b, uint64_t epoch, usec_t now);
/* Fills in the report of the share held on entering the epoch. */
void escrow_report(const struct escrow *b, struct escrow_msg *out);
/*
 * The VM that reconciles this epoch has the report. Nothing is granted before
 * that: this VM could fail without having reported, and the share it granted
 * would be counted as missing although the grantee holds it.
 */
void escrow_report_acked(struct escrow *b, uint64_t epoch);
/* Returns true while a report has yet to reach the reconciling VM. */
bool escrow_report_pending(const struct escrow *b);
/* Takes the whole limit with all tokens; for the creator of its first epoch. */
void escrow_create(struct escrow *b, uint64_t epoch, usec_t now);
/* Adds the share that reconciliation found missing, without tokens. */
bool escrow_add_missing(struct escrow *b, uint64_t epoch, uint32_t share,
			usec_t now);

#endif
