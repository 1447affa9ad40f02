#ifndef DECIDE_FAILOVER_FSM_INTERNAL_H
#define DECIDE_FAILOVER_FSM_INTERNAL_H

#include "decide/failover_fsm.h"

/*
 * Shared by failover_fsm.c, which runs the phases, and failover_choice.c, which
 * decides when they begin and which database is promoted.
 */

/* What keeps this VM from acting at all, whatever the databases are like. */
enum failover_fsm_hold failover_hold_of_vm(const struct failover_fsm *s,
					   const struct failover_fsm_env *env);
/* True once VMs of a lower rank have had their time to act. */
bool failover_rank_is_due(const struct failover_fsm *s,
			  const struct failover_fsm_env *env);
/* True if the database is known well enough to begin an attempt. */
bool failover_may_take_over(const struct failover_fsm_env *env, uint32_t i);
/* True if the database is registered, not primary and not departing. */
bool failover_is_eligible(const struct failover_fsm_env *env, uint32_t i);
/* True if it may be promoted when nothing better is left. */
bool failover_may_succeed(const struct failover_fsm_env *env, uint32_t i);
bool failover_caught_up(const struct failover_fsm *s,
			const struct failover_fsm_env *env);
uint32_t failover_choose_target(const struct failover_fsm *s,
				const struct failover_fsm_env *env);

#endif
