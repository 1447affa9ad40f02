#include <gtest/gtest.h>

#include "tests/decide/confirm_sim.h"

namespace
{
using confirm_sim::Fleet;
using confirm_sim::Outcome;
using confirm_sim::Simulation;

// A VM refuses an unknown key for good only while a read of at most this age
// confirms its configuration.
constexpr usec_t kInForce = 3 * USEC_PER_SEC;

// Guards against callers that get BUSY on a calm day, as VMs of a large fleet
// hear of a read by chance and later than 3 s after the one before.
TEST(Confirmation, AgeStaysBelowThreeSeconds)
{
	const Fleet fleets[] = {
		{ .name = "18 VMs", .vms = 18, .domains = 3 },
		{ .name = "63 VMs", .vms = 63, .domains = 3 },
		{ .name = "90 VMs", .vms = 90, .domains = 5 },
		{ .name = "195 VMs", .vms = 195, .domains = 5 },
		{ .name = "300 VMs", .vms = 300, .domains = 5 },
	};
	for (const auto &f : fleets) {
		for (uint32_t seed = 1; seed <= 3; seed++) {
			Outcome o = Simulation(f, seed).play(60 * USEC_PER_SEC);
			EXPECT_LE(o.oldest, kInForce)
				<< f.name << ", seed " << seed << ": passed "
				<< o.over << " times";
		}
	}
}
} // namespace
