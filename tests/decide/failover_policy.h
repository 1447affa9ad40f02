#ifndef TESTS_DECIDE_FAILOVER_POLICY_H
#define TESTS_DECIDE_FAILOVER_POLICY_H

extern "C" {
#include "decide/failover_fsm.h"
}

// The times of the failover in its tests.
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr struct failover_fsm_policy kPolicy = {
	.guard = 600 * kMs,
	.margin = 100 * kMs,
	.stagger = 250 * kMs,
	.phase_max = 2500 * kMs,
	.attempt_max = 3000 * kMs,
	.retry_interval = 60 * kMs,
	.back_off = 700 * kMs,
	.turn = 3000 * kMs,
	.catch_up_max = 400 * kMs,
	.ask_interval = 200 * kMs,
};

#endif
