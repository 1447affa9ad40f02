#ifndef DECIDE_ELECT_H
#define DECIDE_ELECT_H

#include "decide/promote.h"

/*
 * The election part of a promotion: claims a term, fences the databases to it
 * and chooses the one to promote.
 */
void elect_begin(struct promote *p, const struct promote_env *env,
		 struct promote_actions *out);
bool elect_has_reserved_term(const struct promote *p,
			     const struct promote_env *env);
uint64_t elect_next_term(const struct promote *p,
			 const struct promote_env *env);
void elect_choose(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out);
void elect_fence(struct promote *p, const struct promote_env *env,
		 struct promote_actions *out);

#endif
