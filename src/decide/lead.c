#include "decide/lead.h"

#include <string.h>

/* Starts with no knowledge. */
void lead_init(struct lead *l)
{
	memset(l, 0, sizeof(*l));
	l->proved_at = INT64_MIN;
}

/* Begins a later term, whose primary has been proved by nothing yet. */
void lead_begin(struct lead *l, uint64_t term)
{
	l->term = term;
	l->proved_at = INT64_MIN;
}

/*
 * Notes how far the primary's log had come. The newest sample is replaced
 * while it is too close to the one before it; the position only rises, so the
 * replacement promises no less.
 */
void lead_sample(struct lead *l, usec_t asked_at, struct log_pos at)
{
	struct lead_sample *last;
	struct lead_sample *before;

	if (l->n > 0) {
		last = &l->samples[(l->next + LEAD_SAMPLES - 1) % LEAD_SAMPLES];
		if (asked_at <= last->asked_at)
			return;
		if (l->n > 1) {
			before = &l->samples[(l->next + LEAD_SAMPLES - 2) %
					     LEAD_SAMPLES];
			if (asked_at - before->asked_at < LEAD_SAMPLE_US) {
				*last = (struct lead_sample){ .asked_at =
								      asked_at,
							      .at = at };
				return;
			}
		}
	}
	l->samples[l->next] =
		(struct lead_sample){ .asked_at = asked_at, .at = at };
	l->next = (l->next + 1) % LEAD_SAMPLES;
	if (l->n < LEAD_SAMPLES)
		l->n++;
}

/*
 * A replica that has more than the primary had when it answered took a commit
 * made after that answer was asked for, and was not paused then.
 */
void lead_followed(struct lead *l, struct log_pos at)
{
	uint32_t i;

	if (at.term != l->term)
		return;
	for (i = 0; i < l->n; i++) {
		const struct lead_sample *s = &l->samples[i];

		if (s->at.term == l->term && s->at.position < at.position &&
		    s->asked_at > l->proved_at)
			l->proved_at = s->asked_at;
	}
}

/* Notes a proof of whatever kind. */
void lead_proved(struct lead *l, usec_t at, uint64_t term)
{
	if (term == l->term && at > l->proved_at)
		l->proved_at = at;
}

/*
 * Notes the answer of a replica that was not paused. Long after the last proof
 * it proves nothing: a promotion lets the replicas go, and one that is late or
 * cut off does not know the new term yet.
 */
void lead_unpaused(struct lead *l, usec_t asked_at, uint64_t term, usec_t guard)
{
	if (l->proved_at != INT64_MIN && asked_at - l->proved_at < guard)
		lead_proved(l, asked_at, term);
}

/*
 * Where all others say that they are neither promoted nor paused, no promotion
 * had taken effect when the first of them was asked: the promoted one would
 * say so. Nor is one under way, for which they would all be paused. A primary
 * of an earlier term has not heard of this one yet.
 */
void lead_unanimous(struct lead *l, const struct lead_word *word, uint32_t n)
{
	usec_t first = INT64_MAX;
	bool vouched = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const struct lead_word *w = &word[i];
		bool former = w->primary && w->term < l->term;

		if (w->asked_at == 0 || w->term > l->term ||
		    (w->primary && !former) || w->held_term > l->term)
			return;
		vouched |= w->vouches && !former && w->term == l->term;
		if (w->asked_at < first)
			first = w->asked_at;
	}
	if (vouched)
		lead_proved(l, first, l->term);
}

/* Tells whether the newest proof is younger than the guard. */
bool lead_holds(const struct lead *l, usec_t now, usec_t guard)
{
	return l->term > 0 && l->proved_at != INT64_MIN &&
	       now - l->proved_at < guard;
}

/* Gives the newest sample. */
void lead_newest(const struct lead *l, struct lead_sample *out)
{
	memset(out, 0, sizeof(*out));
	if (l->n > 0)
		*out = l->samples[(l->next + LEAD_SAMPLES - 1) % LEAD_SAMPLES];
}

/* Finds the oldest sample that was asked for at or after "before". */
bool lead_position(const struct lead *l, usec_t before, struct log_pos *out)
{
	const struct lead_sample *found = NULL;
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		const struct lead_sample *s = &l->samples[i];

		if (s->asked_at >= before &&
		    (!found || s->asked_at < found->asked_at))
			found = s;
	}
	if (!found)
		return false;
	*out = found->at;
	return true;
}
