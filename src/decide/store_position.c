#include "decide/store_position.h"

/* The part of a token that holds the revision. */
#define TOKEN_REVISION_BITS 40
#define TOKEN_ERA_MAX	    ((UINT64_C(1) << (63 - TOKEN_REVISION_BITS)) - 1)

/* Orders positions by era, then by revision. */
int store_position_compare(const struct store_position *a,
			   const struct store_position *b)
{
	if (a->era != b->era)
		return a->era < b->era ? -1 : 1;
	if (a->revision != b->revision)
		return a->revision < b->revision ? -1 : 1;
	return 0;
}

/*
 * Puts the era above the bits of the revision. The result stays below 2^63,
 * since receivers may keep it in a signed number.
 */
bool store_position_token(const struct store_position *p, uint64_t *token)
{
	if (p->revision == 0 || p->revision >> TOKEN_REVISION_BITS != 0 ||
	    p->era > TOKEN_ERA_MAX)
		return false;
	*token = p->era << TOKEN_REVISION_BITS | p->revision;
	return true;
}

/*
 * Takes note of an era that a reply or a peer told, known there since "since".
 * The first era heard of is no restoration, since nothing was read before it.
 */
enum store_era_view store_era_note(struct store_era *s, uint64_t era,
				   usec_t since)
{
	bool was_known = s->is_known;

	if (was_known && era < s->era)
		return STORE_ERA_PAST;
	if (was_known && era == s->era) {
		if (since < s->known_since)
			s->known_since = since;
		return STORE_ERA_CURRENT;
	}
	s->is_known = true;
	s->era = era;
	s->known_since = since;
	return was_known ? STORE_ERA_RESTORED : STORE_ERA_CURRENT;
}

/* Returns true if the era has been known for "lasts". */
bool store_era_is_settled(const struct store_era *s, usec_t now, usec_t lasts)
{
	return s->is_known && now - s->known_since >= lasts;
}
