#include "matrix.h"

#include "../decide/escrow_sim.h"

namespace
{
constexpr uint32_t kSeeds = 20;
constexpr int kSteps = 1500;

void add_fault(SimFaults *f, enum fault fault)
{
	switch (fault) {
	case FAULT_DIE_BEFORE:
	case FAULT_DIE_AFTER: // restarts at any time cover both
		f->restart = 0.002;
		break;
	case FAULT_REPLY_LOST:
		f->lose = 0.2;
		break;
	case FAULT_DELAYED:
		f->late = 0.2;
		break;
	case FAULT_DOUBLED:
		f->duplicate = 0.3;
		break;
	case FAULT_PAUSE:
		f->pause = 0.003;
		break;
	default:
		break;
	}
}

// Starts a reconciliation at the first running VM.
void start_recount(EscrowSim *sim)
{
	int i = 0;
	while (i < 3 && !sim->runs(i))
		i++;
	sim->start_reconciliation(i);
}

// Runs VMs between which the load moves. At most rate * t + burst requests may
// be admitted in any interval, and the sum of the shares must not exceed the
// limit.
std::string run_shares(const matrix_cell &c)
{
	EscrowSim sim(4, { 2000, 40 }, (unsigned)c.seed);
	bool recounts = c.step == STEP_RECOUNT_CLAIM ||
			c.step == STEP_RECOUNT_REPORT ||
			c.step == STEP_RECOUNT_SHARE;
	sim.create(0);
	add_fault(&sim.faults, c.fault);
	add_fault(&sim.faults, c.second);
	sim.faults.recount = recounts ? 0.003 : 0;
	for (int t = 0; t < kSteps; t++) {
		int hot = (t / 300) % 4;
		for (int k = 0; k < 3; k++) {
			int i = k ? hot : (int)(sim.rng() % 4);
			if (sim.runs(i))
				sim.offer(i);
		}
		sim.step();
		if (recounts && t % 400 == 200)
			start_recount(&sim);
	}
	if (sim.over_limit > 0)
		return "admitted over rate * t + burst";
	if (!sim.sum_is_valid)
		return "the shares exceed the limit";
	if (sim.admitted == 0)
		return "nothing was admitted";
	if (sim.messages == 0 || (recounts && sim.reconciliations == 0))
		return "the step was not reached";
	if (c.fault != FAULT_NONE && sim.injected == 0)
		return "the fault was not injected";
	return "";
}

struct matrix_row row(enum step step)
{
	return { step,
		 { FAULT_NONE, FAULT_DIE_BEFORE, FAULT_DIE_AFTER,
		   FAULT_REPLY_LOST, FAULT_DELAYED, FAULT_DOUBLED,
		   FAULT_PAUSE },
		 false,
		 kSeeds,
		 run_shares };
}

struct matrix_register rows({
	row(STEP_ESCROW_ASK),
	row(STEP_ESCROW_GIVE),
	row(STEP_RECOUNT_CLAIM),
	row(STEP_RECOUNT_REPORT),
	row(STEP_RECOUNT_SHARE),
});
} // namespace
