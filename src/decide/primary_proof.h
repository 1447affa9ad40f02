#ifndef DECIDE_PRIMARY_PROOF_H
#define DECIDE_PRIMARY_PROOF_H

#include "decide/types.h"

/*
 * What one VM knows about a group's primary: the last time at which it was
 * proved to be the only primary, and samples of its log position over time. A
 * proof works like a leader lease: the primary may be used until the guard
 * interval has passed since the proof. All times are microseconds of the clock
 * that also runs during suspend.
 *
 * A promotion first pauses the replicas and then waits for the guard interval.
 * A replica that applied a commit after time T therefore proves that no
 * promotion can take effect before T plus the guard. A replica that reports
 * that it is not paused is weaker evidence: a promotion may have resumed it
 * before it learned of the new term. Such a report counts only while an earlier
 * proof is valid, because no promotion fits in between, or if no other database
 * reports that it was promoted.
 */

#define PRIMARY_PROOF_SAMPLES_MAX 64
/* A sample this close to the one before it is replaced by the next. */
#define PRIMARY_PROOF_SAMPLE_GAP_US (50 * USEC_PER_MSEC)

struct primary_proof_sample {
	usec_t asked_at; /* request time; the log reached "at" after it */
	struct log_pos at;
};

/* What a proof rests on. */
enum primary_proof_basis {
	PRIMARY_PROOF_NONE,
	PRIMARY_PROOF_POSITION,	 /* a replica applied a newer commit */
	PRIMARY_PROOF_UNPAUSED,	 /* a replica is not paused, soon after another
				    proof */
	PRIMARY_PROOF_UNANIMOUS, /* no other database is promoted or paused */
	PRIMARY_PROOF_PEER,	 /* the VM that keeps the proof told it */
	PRIMARY_PROOF_PROMOTION, /* this VM promoted it */
	PRIMARY_PROOF_CLAIM,	 /* no promotion is claimed at the platform */
};

struct primary_proof {
	uint64_t term;	  /* term of the primary; 0: no primary known */
	usec_t proved_at; /* time of the newest proof; INT64_MIN: none */
	enum primary_proof_basis basis; /* of the newest proof */
	uint32_t n;			/* number of samples in the ring */
	uint32_t next;			/* slot of the next sample */
	struct primary_proof_sample samples[PRIMARY_PROOF_SAMPLES_MAX];
};

void primary_proof_init(struct primary_proof *l);
/* Switches to the primary of a later term; samples stay valid for reads. */
void primary_proof_begin_term(struct primary_proof *l, uint64_t term);
/* Records the log end that the primary reported to a request of "asked_at". */
void primary_proof_sample(struct primary_proof *l, usec_t asked_at,
			  struct log_pos at);
/* Records that a replica holds the log up to "at". */
void primary_proof_replica_position(struct primary_proof *l, struct log_pos at);
/* Records a proof: no promotion takes effect before "at" plus the guard. */
void primary_proof_add(struct primary_proof *l, usec_t at, uint64_t term,
		       enum primary_proof_basis basis);
/*
 * Records that a replica of "term", asked at "asked_at", was not paused, as it
 * reports "now".
 */
void primary_proof_replica_unpaused(struct primary_proof *l, usec_t asked_at,
				    uint64_t term, usec_t now, usec_t guard);

/* The newest report of a database other than the group's primary. */
struct primary_proof_report {
	usec_t asked_at;     /* request time; 0: no report yet */
	bool primary;	     /* it reports that it is primary */
	bool can_prove;	     /* its report may count as a proof: it can't have
				missed the pause of a promotion in progress */
	bool is_unreachable; /* it leaves requests unanswered, or can't be
				connected to */
	uint64_t term;
	uint64_t held_term; /* term that paused it; 0: not paused */
};

/* Evaluates the newest reports of all other databases as a joint proof. */
void primary_proof_check_unanimous(struct primary_proof *l,
				   const struct primary_proof_report *report,
				   uint32_t n);
const char *primary_proof_basis_name(enum primary_proof_basis basis);
/* Returns true if the newest proof is still within the guard. */
bool primary_proof_is_valid(const struct primary_proof *l, usec_t now,
			    usec_t guard);
/* Copies the newest sample; all zero if there is none. */
void primary_proof_newest_sample(const struct primary_proof *l,
				 struct primary_proof_sample *out);
/*
 * Finds the lowest sampled position that covers every commit acknowledged
 * before "since". Returns false if there is no such sample.
 */
bool primary_proof_position_after(const struct primary_proof *l, usec_t since,
				  struct log_pos *out);

#endif
