#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "decide/queue_order.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

TEST(QueueOrder, GoesBefore)
{
	const struct {
		const char *name;
		struct queue_order first, second;
	} cases[] = {
		{ "an open transaction",
		  { true, 2, 400, 200 },
		  { false, 0, 100, 100 } },
		{ "the higher priority",
		  { false, 1, 400, 200 },
		  { false, 2, 100, 100 } },
		{ "the shorter target",
		  { false, 2, 200, 200 },
		  { false, 2, 400, 100 } },
		{ "a target before none",
		  { false, 2, 400, 200 },
		  { false, 2, 0, 100 } },
		{ "the older one",
		  { false, 2, 200, 100 },
		  { false, 2, 200, 200 } },
	};
	for (const auto &c : cases) {
		EXPECT_TRUE(queue_order_goes_before(&c.first, &c.second))
			<< c.name;
		EXPECT_FALSE(queue_order_goes_before(&c.second, &c.first))
			<< c.name;
	}
}

TEST(QueueOrder, IsOnTime)
{
	const struct {
		const char *name;
		struct queue_order q;
		usec_t waited, work; // in ms
		bool is_on_time;
	} cases[] = {
		{ "new", { false, 2, 200, 0 }, 0, 15, true },
		{ "ends in time", { false, 2, 200, 0 }, 174, 15, true },
		{ "would end after its target",
		  { false, 2, 200, 0 },
		  175,
		  15,
		  false },
		{ "no target", { false, 2, 0, 0 }, 5000, 15, true },
		{ "open transaction", { true, 2, 200, 0 }, 5000, 15, true },
	};
	for (const auto &c : cases)
		EXPECT_EQ(queue_order_is_on_time(&c.q, c.work * kMs,
						 c.waited * kMs),
			  c.is_on_time)
			<< c.name;
}

// Guards against a primary that answers all reads late while its replicas lag:
// it gets 1.3 times what its slots can do. Of statements with a target of 200
// ms, which take 14 ms, most have to be in time; those with 400 ms, which take
// 22 ms and are a quarter of the work, get the rest.
TEST(QueueOrder, PrimaryWithTheReadsOfLaggingReplicas)
{
	const uint32_t slot_counts[] = { 2, 8, 64 };

	for (uint32_t slots : slot_counts) {
		std::mt19937_64 random(slots);
		std::vector<struct queue_order> queue;
		std::vector<usec_t> busy_until(slots, 0);
		double asked = 0, in_time = 0;
		const double per_ms = 1.3 * slots / 15.2;

		for (usec_t now = 0; now < 20 * USEC_PER_SEC; now += kMs) {
			std::poisson_distribution<int> arrivals(per_ms);

			for (int n = arrivals(random); n > 0; n--) {
				bool is_short = random() % 100 < 85;

				asked += is_short;
				queue.push_back({ false, 2,
						  is_short ? 200u : 400u,
						  now });
			}
			for (auto &until : busy_until) {
				size_t best = queue.size();
				bool best_on_time = false;

				if (until > now)
					continue;
				for (size_t i = 0; i < queue.size(); i++) {
					bool on_time = queue_order_is_on_time(
						&queue[i], 15 * kMs, now);

					if (best == queue.size() ||
					    on_time > best_on_time ||
					    (on_time == best_on_time &&
					     queue_order_goes_before(
						     &queue[i],
						     &queue[best]))) {
						best = i;
						best_on_time = on_time;
					}
				}
				if (best == queue.size())
					break;
				bool is_short =
					queue[best].latency_target_ms == 200;
				until = now + (is_short ? 14 : 22) * kMs;
				in_time += is_short &&
					   until - queue[best].began_at <
						   200 * kMs;
				queue.erase(queue.begin() + (long)best);
			}
			std::erase_if(queue, [&](const struct queue_order &q) {
				return now - q.began_at > 800 * kMs;
			});
		}
		EXPECT_GE(in_time, 0.9 * asked) << slots;
	}
}
} // namespace
