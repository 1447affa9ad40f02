#include <gtest/gtest.h>

extern "C" {
#include "decide/late_queue.h"
}

namespace
{
// Guards against late statements that wait until their deadline, in a lasting
// overload, for a slot that others always get, and against refusals where the
// overload is short or nothing is started at all, as during a failover.
TEST(LateQueue, LastingOverload)
{
	const struct {
		const char *name;
		// W: a late one waits, P: one on time is started, R: room
		const char *events;
		uint32_t repeat;
		uint32_t slots;
		bool refuses;
	} cases[] = {
		{ "no late ones", "P", 1000, 2, false },
		{ "short overload", "WP", 31, 2, false },
		{ "lasting overload", "WP", 32, 2, true },
		{ "lasting overload, many slots", "WP", 1023, 64, false },
		{ "longer overload, many slots", "WP", 1024, 64, true },
		{ "nothing is started", "W", 10000, 2, false },
		{ "late ones are started at times", "WPPPPR", 100, 2, false },
		{ "number of slots not known", "WP", 16, 0, true },
	};
	for (const auto &c : cases) {
		struct late_queue q = {};

		for (uint32_t i = 0; i < c.repeat; i++) {
			for (const char *at = c.events; *at; at++) {
				if (*at == 'W')
					late_queue_on_waiting(&q);
				else if (*at == 'P')
					late_queue_on_passed(&q, c.slots);
				else
					late_queue_on_room(&q);
			}
		}
		EXPECT_EQ(q.refuses, c.refuses) << c.name;
		late_queue_on_room(&q);
		EXPECT_FALSE(q.refuses) << c.name;
	}
}
} // namespace
