#include <gtest/gtest.h>

extern "C" {
#include "decide/fleet_start.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

// Guards against a fleet that starts at once and whose VMs all probe all
// databases, and against a VM that is left alone and never does.
TEST(FleetStart, AllVmsStartAtOnce)
{
	const struct {
		const char *name;
		struct fleet_start f;
		bool is_settled;
	} cases[] = {
		{ "list not known yet", { false, 0, 0, 0 }, false },
		{ "only VM", { true, 0, 0, 0 }, true },
		{ "just listed, nobody heard", { true, 0, 67, 0 }, false },
		{ "few heard", { true, 100 * kMs, 67, 33 }, false },
		{ "half of them heard", { true, 100 * kMs, 67, 34 }, true },
		{ "small fleet, most heard", { true, 0, 2, 1 }, true },
		{ "left alone", { true, 299 * kMs, 7, 0 }, false },
		{ "left alone for a while", { true, 300 * kMs, 7, 0 }, true },
	};
	for (const auto &c : cases)
		EXPECT_EQ(fleet_start_is_settled(&c.f), c.is_settled) << c.name;
}
} // namespace
