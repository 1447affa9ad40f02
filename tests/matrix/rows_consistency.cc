// Rows of the steps of requests, transactions, promotion and hand-over.

#include "simulation.h"

namespace
{
const std::vector<enum fault> kCall = {
	FAULT_DIE_BEFORE,    FAULT_DIE_AFTER,	  FAULT_REPLY_LOST,
	FAULT_DELAYED,	     FAULT_DOUBLED,	  FAULT_REORDERED,
	FAULT_SILENT,	     FAULT_PAUSE,	  FAULT_CUT_ONE_WAY,
	FAULT_CUT_BOTH,	     FAULT_PLATFORM_DOWN, FAULT_PLATFORM_SLOW,
	FAULT_PLATFORM_LOST, FAULT_KEY_WITHDRAWN,
};
const std::vector<enum fault> kDecision = {
	FAULT_PAUSE,	     FAULT_PLATFORM_DOWN, FAULT_PLATFORM_SLOW,
	FAULT_PLATFORM_LOST, FAULT_KEY_WITHDRAWN,
};
constexpr uint32_t kSeeds = 2;

struct matrix_row row(enum step step, bool pairs)
{
	return { step, step == STEP_ROUTE ? kDecision : kCall, pairs, kSeeds,
		 simulation_run };
}

struct matrix_register rows({
	row(STEP_ROUTE, false),		row(STEP_CONNECT, false),
	row(STEP_EXECUTE, true),	row(STEP_CONFIRM, true),
	row(STEP_RESOLVE, false),	row(STEP_ANSWER, false),
	row(STEP_FORWARD, false),	row(STEP_TX_BEGIN, false),
	row(STEP_TX_STATEMENT, false),	row(STEP_TX_COMMIT, true),
	row(STEP_TX_ROLLBACK, false),	row(STEP_PROBE, false),
	row(STEP_OPINION, false),	row(STEP_CLAIM, false),
	row(STEP_FENCE, true),		row(STEP_PROMOTE, true),
	row(STEP_FOLLOW, false),	row(STEP_PUBLISH, false),
	row(STEP_HANDOVER_HOLD, false), row(STEP_HANDOVER_CATCH_UP, false),
});
} // namespace
