#include <gtest/gtest.h>

extern "C" {
#include "decide/read_silence.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

// Guards against reads that wait on a silent connection until their deadline,
// and against closing connections of a database that is slow or stopped.
TEST(ReadSilence, NeedsALaterAnswerOnAnotherConnection)
{
	const struct {
		const char *name;
		usec_t sent_at, latency, answered_sent_at, now; // in ms
		bool is_likely;
	} cases[] = {
		{ "just sent", 1000, 20, 1100, 1200, false },
		{ "at the limit", 1000, 20, 1100, 1300, false },
		{ "overdue, others answer", 1000, 20, 1100, 1301, true },
		{ "overdue, others answered earlier requests", 1000, 20, 900,
		  1400, false },
		{ "overdue, nothing was ever answered", 1000, 20, 0, 1400,
		  false },
		{ "slow database", 1000, 150, 1100, 1600, false },
		{ "overdue at a slow database", 1000, 150, 1100, 1601, true },
	};
	for (const auto &c : cases) {
		struct read_silence_view v = { c.sent_at * kMs, c.latency * kMs,
					       c.answered_sent_at * kMs };
		EXPECT_EQ(read_silence_is_likely(&v, c.now * kMs), c.is_likely)
			<< c.name;
	}
}
} // namespace
