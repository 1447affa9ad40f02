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
		// in ms
		usec_t began_at, sent_at, latency, answered_sent_at, now;
		bool is_likely;
	} cases[] = {
		{ "just sent", 1000, 1000, 20, 1100, 1200, false },
		{ "at the limit", 1000, 1000, 20, 1100, 1300, false },
		{ "overdue, others answer", 1000, 1000, 20, 1100, 1301, true },
		{ "overdue, others answered earlier requests", 1000, 1000, 20,
		  900, 1400, false },
		{ "overdue, nothing was ever answered", 1000, 1000, 20, 0, 1400,
		  false },
		{ "slow database", 1000, 1000, 150, 1100, 1600, false },
		{ "overdue at a slow database", 1000, 1000, 150, 1100, 1601,
		  true },
	};
	for (const auto &c : cases) {
		struct read_silence_view v = { c.began_at * kMs,
					       c.sent_at * kMs, c.latency * kMs,
					       c.answered_sent_at * kMs };
		EXPECT_EQ(read_silence_is_likely(&v, c.now * kMs), c.is_likely)
			<< c.name;
	}
}

// Guards against a long read that is taken from each connection in turn, runs
// again and again at all databases, and is never answered, while short ones on
// other connections are.
TEST(ReadSilence, LongReadIsAnsweredAmongShortOnes)
{
	const struct {
		usec_t takes; // in ms
		int runs;     // until one of them is answered
	} cases[] = {
		{ 20, 1 }, { 299, 1 }, { 400, 3 }, { 1000, 4 }, { 2000, 5 },
	};
	for (const auto &c : cases) {
		usec_t now = 1000;
		int runs = 0;
		bool is_answered = false;
		while (!is_answered && runs < 100) {
			usec_t sent_at = now;
			bool is_moved = false;
			runs++;
			while (!is_moved && now < sent_at + c.takes) {
				now++;
				struct read_silence_view v = {
					1000 * kMs, sent_at * kMs, 10 * kMs,
					(now - 10) * kMs
				};
				is_moved =
					read_silence_is_likely(&v, now * kMs);
			}
			is_answered = !is_moved;
		}
		EXPECT_EQ(runs, c.runs) << c.takes;
	}
}
} // namespace
