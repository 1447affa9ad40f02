#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "decide/shared_poll.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr shared_poll_policy kPolicy = { 800 * kMs, 700 * kMs };

TEST(SharedPoll, DueTime)
{
	const usec_t t = 100 * USEC_PER_SEC;
	const struct {
		const char *name;
		usec_t known;
		usec_t told;
		uint32_t vms;
		double unit;
		bool is_newer;
		usec_t due_min;
		usec_t due_max;
	} cases[] = {
		{ "first answer, shortest delay", 0, t, 9, 0, true,
		  t + 800 * kMs, t + 800 * kMs },
		{ "longest delay", 0, t, 9, 1, true, t + 1500 * kMs,
		  t + 1500 * kMs },
		{ "longest delay of a large fleet", 0, t, 7400, 1, true,
		  t + 1499 * kMs, t + 1500 * kMs },
		{ "half of the delays are near the longest", 0, t, 9, 0.5, true,
		  t + 1300 * kMs, t + 1400 * kMs },
		{ "a VM alone", 0, t, 1, 0.5, true, t + 1200 * kMs,
		  t + 1250 * kMs },
		{ "the same answer, told again", t, t + 90 * kMs, 9, 0, false,
		  t + 1500 * kMs, t + 1500 * kMs },
		{ "an older answer", t, t - USEC_PER_SEC, 9, 0, false,
		  t + 1500 * kMs, t + 1500 * kMs },
		{ "a newer answer", t, t + USEC_PER_SEC, 9, 0, true,
		  t + 1800 * kMs, t + 1800 * kMs },
	};
	for (const auto &c : cases) {
		shared_poll p = { c.known, 700 * kMs };
		EXPECT_EQ(shared_poll_answered(&p, &kPolicy, c.told, c.vms,
					       c.unit),
			  c.is_newer)
			<< c.name;
		EXPECT_GE(shared_poll_due_at(&p, &kPolicy), c.due_min)
			<< c.name;
		EXPECT_LE(shared_poll_due_at(&p, &kPolicy), c.due_max)
			<< c.name;
	}
}

TEST(SharedPoll, NeverDueWithoutAnAnswer)
{
	const shared_poll p = { 0, 0 };
	EXPECT_EQ(shared_poll_due_at(&p, &kPolicy), 0);
}

// A fleet of which some VMs reach the platform. A VM that asks hears after 5
// ms, or, if it is turned away, after "refused_after"; it tells the others, of
// which each hears after 1 to 40 ms unless the message is lost, and again with
// each heartbeat.
struct Load {
	const char *name;
	uint32_t vms;
	uint32_t reaching;
	usec_t refused_after;
	double loss;
	double calls_per_s; // bound of the calls of the VMs that reach it
};

struct Outcome {
	usec_t oldest = 0; // age of the newest answer before the next
	uint64_t answered = 0;
};

Outcome play(const Load &l, usec_t length, uint32_t seed)
{
	constexpr usec_t kTick = 25 * kMs;
	constexpr usec_t kHeartbeat = 150 * kMs;
	constexpr usec_t kCall = 5 * kMs;
	struct Vm {
		shared_poll poll = {};
		usec_t busy_until = 0;
		usec_t told = 0; // its newest own answer
	};
	struct Message {
		usec_t at;
		uint32_t to;
		usec_t asked_at;
	};
	std::mt19937 random(seed);
	std::uniform_real_distribution<double> unit(0, 1);
	std::vector<Vm> vm(l.vms);
	std::vector<Message> messages;
	Outcome out;
	usec_t newest = kTick;
	for (auto &v : vm)
		shared_poll_answered(&v.poll, &kPolicy, newest, l.vms,
				     unit(random));
	for (usec_t now = kTick; now < length; now += kTick) {
		for (size_t i = 0; i < messages.size();) {
			const Message m = messages[i];
			if (m.at > now) {
				i++;
				continue;
			}
			shared_poll_answered(&vm[m.to].poll, &kPolicy,
					     m.asked_at, l.vms, unit(random));
			messages[i] = messages.back();
			messages.pop_back();
		}
		for (uint32_t i = 0; i < l.vms; i++) {
			Vm &v = vm[i];
			bool asks =
				now >= v.busy_until &&
				now >= shared_poll_due_at(&v.poll, &kPolicy);
			if (asks && i >= l.reaching) {
				v.busy_until = now + l.refused_after;
			} else if (asks) {
				out.answered++;
				out.oldest = std::max(out.oldest,
						      now + kCall - newest);
				newest = now;
				v.told = now;
				shared_poll_answered(&v.poll, &kPolicy, now,
						     l.vms, unit(random));
			}
			if (v.told == 0 ||
			    (!asks &&
			     now / kHeartbeat == (now - kTick) / kHeartbeat))
				continue;
			for (uint32_t to = 0; to < l.vms; to++) {
				if (to == i || unit(random) < l.loss)
					continue;
				auto delay = (usec_t)(unit(random) * 40 * kMs);
				messages.push_back(
					{ now + kCall + delay, to, v.told });
			}
		}
	}
	return out;
}

// Guards against a configuration that comes into force late, as the VMs that
// reach the platform ask too seldom: the load pattern is a platform that turns
// most VMs away. Half of the 3 s within which a configuration has to be in
// force is left for spreading it.
TEST(SharedPoll, NewestAnswerStaysYoungThoughMostAreTurnedAway)
{
	const Load loads[] = {
		{ "a VM alone", 1, 1, 0, 0, 1.3 },
		{ "all of three", 3, 3, 0, 0, 2 },
		{ "all of nine", 9, 9, 0, 0, 2 },
		{ "nine, lossy", 9, 9, 0, 0.3, 3 },
		{ "two of nine, refused at once", 9, 2, 20 * kMs, 0, 2 },
		{ "two of nine, not answered", 9, 2, 1500 * kMs, 0, 2 },
		{ "one of nine, lossy", 9, 1, 1500 * kMs, 0.3, 2 },
		{ "38 readers of a large fleet", 38, 38, 0, 0.01, 3 },
		{ "one of 38", 38, 1, 1500 * kMs, 0.01, 2 },
	};
	constexpr usec_t kLength = 200 * USEC_PER_SEC;
	constexpr usec_t kBound = 1500 * kMs + 50 * kMs; // and two ticks
	for (const auto &l : loads) {
		for (uint32_t seed = 1; seed <= 3; seed++) {
			Outcome o = play(l, kLength, seed);
			EXPECT_LE(o.oldest, kBound) << l.name << " " << seed;
			EXPECT_LE((double)o.answered,
				  l.calls_per_s * kLength / USEC_PER_SEC)
				<< l.name << " " << seed;
		}
	}
}
} // namespace
