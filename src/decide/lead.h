#ifndef DECIDE_LEAD_H
#define DECIDE_LEAD_H

#include "decide/types.h"

/*
 * What one VM knows of a group's primary: how recently it was surely the only
 * one, and how far its log had come at which time. All times are of the
 * suspend-aware clock, in microseconds.
 *
 * A promotion first pauses the replicas and then waits out the guard. So a
 * replica that took a commit after some time shows that no promotion can take
 * effect before the guard has passed since then. One that says that it is not
 * paused may have been let go by a promotion that it has not heard of yet. Its
 * word counts only within the guard of an earlier proof, as no promotion fits
 * in between, or if no other database says that it was promoted.
 */

#define LEAD_SAMPLES 64
/* Samples closer together than this replace each other. */
#define LEAD_SAMPLE_US (50 * USEC_PER_MSEC)

struct lead_sample {
	usec_t asked_at; /* the primary's log had come to "at" after this */
	struct log_pos at;
};

struct lead {
	uint64_t term;	  /* of the primary; 0: none known */
	usec_t proved_at; /* newest time of a proof; INT64_MIN: none */
	uint32_t n;	  /* samples, a ring */
	uint32_t next;
	struct lead_sample samples[LEAD_SAMPLES];
};

void lead_init(struct lead *l);
/* Another primary leads from now on; older samples stay good for reads. */
void lead_begin(struct lead *l, uint64_t term);
/* The primary answered a question of "asked_at" with its log's end. */
void lead_sample(struct lead *l, usec_t asked_at, struct log_pos at);
/* A replica holds the log up to "at". */
void lead_followed(struct lead *l, struct log_pos at);
/* No promotion of another can take effect before the guard after "at". */
void lead_proved(struct lead *l, usec_t at, uint64_t term);
/* A replica of this term, asked at "asked_at", was not paused. */
void lead_unpaused(struct lead *l, usec_t asked_at, uint64_t term,
		   usec_t guard);

/* The newest word of a database of the group that is not its primary. */
struct lead_word {
	usec_t asked_at; /* 0: it has not said anything */
	bool primary;	 /* it says that it leads */
	bool vouches;	 /* no fence of this time can have passed it over */
	uint64_t term;
	uint64_t held_term; /* it was paused by this term; 0: by none */
};

/* The newest words of all others: together they may be a proof. */
void lead_unanimous(struct lead *l, const struct lead_word *word, uint32_t n);
/* May the primary be used now? */
bool lead_holds(const struct lead *l, usec_t now, usec_t guard);
/* The newest sample; all zero if there is none. */
void lead_newest(const struct lead *l, struct lead_sample *out);
/*
 * The least position that holds all that was acknowledged before "before";
 * false if none is known.
 */
bool lead_position(const struct lead *l, usec_t before, struct log_pos *out);

#endif
