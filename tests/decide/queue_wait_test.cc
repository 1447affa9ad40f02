#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "decide/queue_wait.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

TEST(QueueWait, Predict)
{
	const struct {
		const char *name;
		struct queue_wait q;
		usec_t wait;
	} cases[] = {
		{ "idle", { 2, 0, 0, 10 * kMs }, 0 },
		{ "a slot is free", { 2, 1, 0, 10 * kMs }, 0 },
		{ "all busy: one has to end", { 2, 2, 0, 10 * kMs }, 5 * kMs },
		{ "behind others", { 2, 2, 9, 10 * kMs }, 50 * kMs },
		{ "one slot", { 1, 1, 4, 10 * kMs }, 50 * kMs },
		{ "slots unknown", { 0, 1, 0, 10 * kMs }, 10 * kMs },
	};
	for (const auto &c : cases)
		EXPECT_EQ(queue_wait_predict(&c.q), c.wait) << c.name;
}

// Statements with a deadline of 800 ms at a database of two slots that takes 14
// ms each, in order of arrival. Returns how many of them ended in time, and how
// many were held to their deadline without being started.
struct outcome {
	uint32_t served = 0;
	uint32_t held = 0;
	uint32_t refused = 0;
};

struct outcome simulate(double per_s, bool predicts)
{
	constexpr usec_t kService = 14 * kMs;
	constexpr usec_t kDeadline = 800 * kMs;
	std::mt19937_64 random(3);
	std::exponential_distribution<> gap(per_s / USEC_PER_SEC);
	std::exponential_distribution<> work(1.0 / kService);
	std::deque<usec_t> queue;
	std::vector<usec_t> ends(2, 0);
	struct outcome o;

	auto start_until = [&](usec_t now) {
		while (!queue.empty()) {
			auto slot = std::min_element(ends.begin(), ends.end());
			usec_t start = std::max(*slot, queue.front());
			if (start > now)
				return;
			if (start - queue.front() > kDeadline) {
				o.held++;
			} else {
				*slot = start + (usec_t)work(random);
				o.served += *slot - queue.front() <= kDeadline;
			}
			queue.pop_front();
		}
	};
	for (usec_t now = 0; now < 20 * USEC_PER_SEC;
	     now += (usec_t)gap(random)) {
		start_until(now);
		const struct queue_wait q = {
			.slots = 2,
			.running = (uint32_t)std::count_if(
				ends.begin(), ends.end(),
				[&](usec_t end) { return end > now; }),
			.ahead = (uint32_t)queue.size(),
			.service = kService,
		};
		if (predicts && queue_wait_is_too_long(&q, kDeadline))
			o.refused++;
		else
			queue.push_back(now);
	}
	return o;
}

// At three times of what the database can do, hardly any statement is held to
// its deadline in vain, and no fewer are served.
TEST(QueueWait, Overload)
{
	struct outcome before = simulate(430, false);
	struct outcome after = simulate(430, true);

	EXPECT_GT(before.held, 4000u);
	EXPECT_LT(after.held, before.held / 10);
	EXPECT_GE(after.served, before.served);
}

// Below its capacity nothing is refused.
TEST(QueueWait, NoOverload)
{
	struct outcome o = simulate(110, true);

	EXPECT_EQ(o.refused, 0u);
	EXPECT_EQ(o.held, 0u);
}
} // namespace
