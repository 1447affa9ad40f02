#include "decide/primary_proof.h"

#include <string.h>

/* Initializes the state: no term, no proof and no samples. */
void primary_proof_init(struct primary_proof *l)
{
	memset(l, 0, sizeof(*l));
	l->proved_at = INT64_MIN;
}

/* Begins a later term. Its primary is not proved yet. */
void primary_proof_begin_term(struct primary_proof *l, uint64_t term)
{
	l->term = term;
	l->proved_at = INT64_MIN;
	l->basis = PRIMARY_PROOF_NONE;
}

/*
 * Records the primary's log position as of a request sent at "asked_at". While
 * the newest sample is less than PRIMARY_PROOF_SAMPLE_GAP_US after the one
 * before it, it is replaced instead. The position only increases, so the
 * replacement covers at least as much.
 */
void primary_proof_sample(struct primary_proof *l, usec_t asked_at,
			  struct log_pos at)
{
	struct primary_proof_sample *last;
	struct primary_proof_sample *before;

	if (l->n > 0) {
		last = &l->samples[(l->next + PRIMARY_PROOF_SAMPLES_MAX - 1) %
				   PRIMARY_PROOF_SAMPLES_MAX];
		if (asked_at <= last->asked_at)
			return;
		if (l->n > 1) {
			before = &l->samples[(l->next +
					      PRIMARY_PROOF_SAMPLES_MAX - 2) %
					     PRIMARY_PROOF_SAMPLES_MAX];
			if (asked_at - before->asked_at <
			    PRIMARY_PROOF_SAMPLE_GAP_US) {
				*last = (struct primary_proof_sample){
					.asked_at = asked_at, .at = at
				};
				return;
			}
		}
	}
	l->samples[l->next] =
		(struct primary_proof_sample){ .asked_at = asked_at, .at = at };
	l->next = (l->next + 1) % PRIMARY_PROOF_SAMPLES_MAX;
	if (l->n < PRIMARY_PROOF_SAMPLES_MAX)
		l->n++;
}

/*
 * Uses a replica's log position as a proof. If it is beyond a sample of the
 * primary's log, the replica applied a commit made after that sample was
 * requested, and so was not paused at that time.
 */
void primary_proof_replica_position(struct primary_proof *l, struct log_pos at)
{
	uint32_t i;

	if (at.term != l->term)
		return;
	for (i = 0; i < l->n; i++) {
		const struct primary_proof_sample *s = &l->samples[i];

		if (s->at.term == l->term && s->at.position < at.position &&
		    s->asked_at > l->proved_at)
			primary_proof_add(l, s->asked_at, at.term,
					  PRIMARY_PROOF_POSITION);
	}
}

/* Records a proof as of time "at" if it is for the current term. */
void primary_proof_add(struct primary_proof *l, usec_t at, uint64_t term,
		       enum primary_proof_basis basis)
{
	if (term != l->term || at <= l->proved_at)
		return;
	l->proved_at = at;
	l->basis = basis;
}

/* Returns the name of a proof's basis for logs. */
const char *primary_proof_basis_name(enum primary_proof_basis basis)
{
	static const char *const names[] = {
		[PRIMARY_PROOF_NONE] = "none",
		[PRIMARY_PROOF_POSITION] = "position",
		[PRIMARY_PROOF_UNPAUSED] = "unpaused",
		[PRIMARY_PROOF_UNANIMOUS] = "unanimous",
		[PRIMARY_PROOF_PEER] = "peer",
		[PRIMARY_PROOF_PROMOTION] = "promotion",
		[PRIMARY_PROOF_CLAIM] = "claim",
	};

	return names[basis];
}

/*
 * Uses the report of a replica that was not paused as a proof, if the last
 * proof is still valid when it arrives. Later than that it proves nothing,
 * whenever it was requested: a promotion resumes the replicas, and one that is
 * slow or partitioned does not know the new term yet.
 */
void primary_proof_replica_unpaused(struct primary_proof *l, usec_t asked_at,
				    uint64_t term, usec_t now, usec_t guard)
{
	if (primary_proof_is_valid(l, now, guard))
		primary_proof_add(l, asked_at, term, PRIMARY_PROOF_UNPAUSED);
}

/*
 * Uses the reports of all other databases together as a proof. If none of them
 * is promoted or paused, no promotion had taken effect when the first of them
 * was asked, because the promoted database would report it. No promotion was in
 * progress either, because all of them would be paused. A database that
 * reports itself as primary of an earlier term has not learned of the current
 * term yet. It does not prevent the proof but adds nothing to it. One that is
 * unreachable prevents it, whatever it was: another VM may reach and promote
 * it.
 */
void primary_proof_check_unanimous(struct primary_proof *l,
				   const struct primary_proof_report *report,
				   uint32_t n)
{
	usec_t first = INT64_MAX;
	bool proved = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const struct primary_proof_report *r = &report[i];
		bool former = r->primary && r->term < l->term;

		if (r->is_unreachable || r->asked_at == 0 ||
		    r->term > l->term || (r->primary && !former) ||
		    r->held_term > l->term)
			return;
		proved |= r->can_prove && !former && r->term == l->term;
		if (r->asked_at < first)
			first = r->asked_at;
	}
	if (proved)
		primary_proof_add(l, first, l->term, PRIMARY_PROOF_UNANIMOUS);
}

/* Returns true if the newest proof of the term is younger than the guard. */
bool primary_proof_is_valid(const struct primary_proof *l, usec_t now,
			    usec_t guard)
{
	return l->term > 0 && l->proved_at != INT64_MIN &&
	       now - l->proved_at < guard;
}

/* Copies the newest sample; all zero if there is none. */
void primary_proof_newest_sample(const struct primary_proof *l,
				 struct primary_proof_sample *out)
{
	memset(out, 0, sizeof(*out));
	if (l->n > 0)
		*out = l->samples[(l->next + PRIMARY_PROOF_SAMPLES_MAX - 1) %
				  PRIMARY_PROOF_SAMPLES_MAX];
}

/* Finds the oldest sample that was requested at or after "since". */
bool primary_proof_position_after(const struct primary_proof *l, usec_t since,
				  struct log_pos *out)
{
	const struct primary_proof_sample *found = NULL;
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		const struct primary_proof_sample *s = &l->samples[i];

		if (s->asked_at >= since &&
		    (!found || s->asked_at < found->asked_at))
			found = s;
	}
	if (!found)
		return false;
	*out = found->at;
	return true;
}
