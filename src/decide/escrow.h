#ifndef DECIDE_ESCROW_H
#define DECIDE_ESCROW_H

#include "decide/error.h"

/*
 * One limit of the whole fleet, held by shares. The shares of all VMs and of
 * all messages under way never sum to more than the whole. A share of a rate
 * is a token bucket of its own: that part of the rate, that part of the
 * burst. Tokens move with messages as shares do, are subtracted before they
 * are sent, and never exceed the burst of the share that holds them. So over
 * any interval t the fleet admits at most rate * t + burst, whatever is lost,
 * doubled or late.
 */
#define ESCROW_ONE    (1U << 24) /* the whole of a rate */
#define ESCROW_ASKS   8		 /* open questions, each to another peer */
#define ESCROW_PEERS  8		 /* askers whose last answer is kept */
#define ESCROW_BUCKET (NAME_MAX_BYTES + 8)

struct escrow_limit {
	uint32_t rate_per_s;
	uint32_t burst;
};

/*
 * What all buckets of a VM have in common. A VM that has had no word of the
 * fleet until "good_until" gives up all shares for good: others may by then
 * have taken it for gone and handed them out anew.
 */
struct escrow_vm {
	usec_t good_until;
	uint64_t life;	  /* raised when it lapsed: older shares are void */
	uint64_t next_id; /* of questions; starts from the incarnation */
};

/* A question that this VM asked, until its answer is in. */
struct escrow_ask {
	uint64_t id; /* 0: free */
	uint64_t peer;
	usec_t at;	/* first asked */
	usec_t next_at; /* to be asked again, if not answered by then */
};

/* The last answer to an asker, to be sent again if it asks again. */
struct escrow_given {
	uint64_t peer; /* hash of its name; 0: free */
	uint64_t incarnation;
	uint64_t id;
	uint32_t share;
	uint64_t tokens;
	usec_t at;
};

struct escrow {
	struct escrow_vm *vm;
	struct escrow_limit limit;
	bool leaving;	 /* the VM drains: it keeps nothing */
	bool units;	 /* whole units, such as connections; no tokens */
	uint32_t whole;	 /* ESCROW_ONE, or how many units there are */
	uint32_t in_use; /* units that this VM uses */
	uint64_t life;	 /* of the VM, when the share was held */
	uint64_t epoch;	 /* 0: none known */
	uint32_t share;
	uint32_t reported; /* share held on moving to this epoch */
	bool counted;	   /* the recounter has that report */
	uint64_t tokens;   /* in parts: whole * 1,000,000 to a token */
	usec_t at;	   /* tokens are counted up to here */
	usec_t cut_at;	   /* tokens were last cut to the cap, or given */
	/* Requests of the current and the last window, admitted or not. */
	usec_t window_at;
	usec_t demand_at;
	uint32_t window;
	uint32_t last_window;
	struct escrow_ask asks[ESCROW_ASKS];
	struct escrow_given given[ESCROW_PEERS];
};

enum escrow_type {
	ESCROW_ASK = 1, /* share, tokens, demand: what the asker has */
	ESCROW_GRANT,	/* share, tokens: given, maybe none */
	ESCROW_OFFER,	/* take over what I have: ask me */
	ESCROW_MOVE,	/* a new epoch was claimed: move to it and report */
	ESCROW_REPORT,	/* share: held on moving to the epoch */
	ESCROW_COUNTED, /* the recounter has the report: the VM may give */
	ESCROW_TYPE_COUNT
};

struct escrow_msg {
	enum escrow_type type;
	char bucket[ESCROW_BUCKET];
	uint64_t epoch;
	uint64_t id;
	uint32_t share;
	uint64_t tokens;
	uint32_t demand; /* requests a second, or units wanted */
};

void escrow_vm_init(struct escrow_vm *vm, uint64_t incarnation);
/* There was word of the fleet at "now", so the shares are good until then. */
void escrow_vm_extend(struct escrow_vm *vm, usec_t now, usec_t until);

void escrow_init(struct escrow *b, struct escrow_vm *vm,
		 const struct escrow_limit *limit, usec_t now);
/* A bucket of whole units, as of connections. */
void escrow_init_units(struct escrow *b, struct escrow_vm *vm, uint32_t units,
		       usec_t now);
void escrow_set_limit(struct escrow *b, const struct escrow_limit *limit,
		      usec_t now);
/* A request came; counted once each, admitted or not. */
void escrow_demand(struct escrow *b, usec_t now);
/* Takes one token, or one unit. */
bool escrow_take(struct escrow *b, usec_t now);
/* Gives back what a request that did not run took at "taken_at". */
void escrow_put_back(struct escrow *b, usec_t taken_at, usec_t now);
/* Should this VM ask for more, so that requests need not wait? */
bool escrow_short(struct escrow *b, usec_t now);
/* Has the VM had no word of the fleet, so that it holds nothing now? */
bool escrow_lapsed_now(const struct escrow *b, usec_t now);
/* When one token will be there from this share alone; INT64_MAX if never. */
usec_t escrow_next_at(const struct escrow *b, usec_t now);
/* Requests a second lately. */
uint32_t escrow_demand_per_s(const struct escrow *b, usec_t now);

/*
 * Fills in a question to a peer. False if one to that peer is open already:
 * it is asked again, with the same id, by escrow_ask_again(). False also for a
 * VM that has had no word of the fleet.
 */
bool escrow_ask(struct escrow *b, uint64_t peer, usec_t now,
		struct escrow_msg *out);
/* The next open question that is due to be asked again; false if none. */
bool escrow_ask_again(struct escrow *b, usec_t now, uint64_t *peer,
		      struct escrow_msg *out);
/* A peer asked: fills in the answer, already subtracted here. */
void escrow_on_ask(struct escrow *b, uint64_t peer, uint64_t incarnation,
		   const struct escrow_msg *msg, usec_t now,
		   struct escrow_msg *out);
/* What an answer brought. */
enum escrow_result {
	ESCROW_NOTHING, /* it does not count */
	ESCROW_EMPTY,	/* the peer has nothing to give */
	ESCROW_NEWER,	/* an epoch that was not known here: ask again */
	ESCROW_GOT,
};

enum escrow_result escrow_on_grant(struct escrow *b, uint64_t peer,
				   const struct escrow_msg *msg, usec_t now);
/* Moves to a later epoch; what it held counts on, and is reported. */
void escrow_move(struct escrow *b, uint64_t epoch, usec_t now);
void escrow_report(const struct escrow *b, struct escrow_msg *out);
/*
 * The recounter has the report of this epoch. Until then nothing is given: the
 * VM could be gone before it reports, and what it gave be counted as missing.
 */
void escrow_counted(struct escrow *b, uint64_t epoch);
bool escrow_uncounted(const struct escrow *b);
/* The whole, for who created the limit's first epoch; tokens are full. */
void escrow_create(struct escrow *b, uint64_t epoch, usec_t now);
/* What a recount found missing, for who claimed the epoch; without tokens. */
bool escrow_add_missing(struct escrow *b, uint64_t epoch, uint32_t share,
			usec_t now);

#endif
