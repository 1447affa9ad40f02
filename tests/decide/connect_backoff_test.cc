#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

extern "C" {
#include "decide/connect_backoff.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

TEST(ConnectBackoff, DoublesUpToTheCapAndEnds)
{
	const struct {
		const char *name;
		int refused, served; // in this order
		int again;	     // refused after that
		usec_t min, max;     // back-off for a draw of 0 and of 1
	} cases[] = {
		{ "never refused", 0, 0, 0, 0, 0 },
		{ "once", 1, 0, 0, 25 * kMs, 50 * kMs },
		{ "three times", 3, 0, 0, 100 * kMs, 200 * kMs },
		{ "many times", 40, 0, 0, 400 * kMs, 800 * kMs },
		{ "served in between", 40, 1, 1, 25 * kMs, 50 * kMs },
	};
	for (const auto &c : cases) {
		for (double draw : { 0.0, 1.0 }) {
			struct connect_backoff o = {};
			for (int i = 0; i < c.refused; i++)
				connect_backoff_on_busy(&o, 0, draw);
			for (int i = 0; i < c.served; i++)
				connect_backoff_on_success(&o);
			for (int i = 0; i < c.again; i++)
				connect_backoff_on_busy(&o, 0, draw);
			usec_t pause = draw > 0 ? c.max : c.min;
			EXPECT_TRUE(connect_backoff_is_over(&o, pause))
				<< c.name;
			if (pause > 0) {
				EXPECT_FALSE(
					connect_backoff_is_over(&o, pause - 1))
					<< c.name;
			}
		}
	}
}

// Simulates a reconnect storm. Many VMs and teams share a database with few
// connections, so nearly every statement needs a new connection. After a surge
// of one second, handshakes can occupy all slots, so that statements time out
// after a second and the next ones again need handshakes. Returns how many
// statements are answered in time in the ten seconds after the surge.
class Storm
{
      public:
	explicit Storm(bool backoff) : backoff_(backoff), vms_(66)
	{
	}
	int run()
	{
		int answered = 0;
		for (now_ = 0; now_ < 16 * USEC_PER_SEC; now_ += kMs) {
			bool surge = now_ > 4 * USEC_PER_SEC &&
				     now_ < 5 * USEC_PER_SEC;
			arrive(surge ? 0.6 : 0.08);
			for (auto &v : vms_)
				open(v);
			int done = serve();
			if (now_ >= 6 * USEC_PER_SEC)
				answered += done;
		}
		return answered;
	}
	// Statements offered in the ten seconds after the surge.
	static constexpr int kOffered = 800;

      private:
	struct Vm {
		std::deque<usec_t> waiting; // arrival times
		int opening = 0;
		struct connect_backoff o = {};
	};
	struct Work {
		usec_t since; // arrival; of a handshake: its start
		size_t vm;
		bool handshake;
		usec_t left;
	};
	void arrive(double per_ms)
	{
		for (; per_ms > 0; per_ms -= 1) {
			if (uniform() < per_ms)
				vms_[rng_() % vms_.size()].waiting.push_back(
					now_);
		}
	}
	void open(Vm &v)
	{
		while (!v.waiting.empty() &&
		       now_ - v.waiting.front() > USEC_PER_SEC)
			v.waiting.pop_front();
		while (v.opening < 2 && v.opening < (int)v.waiting.size() &&
		       (!backoff_ || connect_backoff_is_over(&v.o, now_))) {
			v.opening++;
			queue_.push_back({ now_, (size_t)(&v - &vms_[0]), true,
					   12 * kMs });
		}
	}
	// Serves five slots. 40 more statements may wait; others are refused.
	int serve()
	{
		int done = 0;
		for (size_t i = 0; i < 5 && i < queue_.size();) {
			Work &w = queue_[i];
			w.left -= kMs;
			if (w.left > 0) {
				i++;
				continue;
			}
			Work ended = w;
			queue_.erase(queue_.begin() + (long)i);
			done += finish(ended);
		}
		return done;
	}
	bool finish(const Work &w)
	{
		Vm &v = vms_[w.vm];
		if (!w.handshake) {
			connect_backoff_on_success(&v.o);
			return now_ - w.since <= USEC_PER_SEC;
		}
		v.opening--;
		if (v.waiting.empty())
			return false;
		if (queue_.size() >= 45) {
			// Another team uses its connection meanwhile.
			connect_backoff_on_busy(&v.o, now_, uniform());
			return false;
		}
		queue_.push_back({ v.waiting.front(), w.vm, false, 24 * kMs });
		v.waiting.pop_front();
		return false;
	}
	double uniform()
	{
		return (double)rng_() / 4294967296.0;
	}
	bool backoff_;
	std::vector<Vm> vms_;
	std::deque<Work> queue_;
	usec_t now_ = 0;
	std::mt19937 rng_{ 11 };
};

TEST(ConnectBackoff, EndsAStormAfterASurge)
{
	EXPECT_GE(Storm(true).run(), Storm::kOffered * 9 / 10);
	// Without back-off the database is occupied by handshakes.
	EXPECT_LE(Storm(false).run(), Storm::kOffered / 2);
}
} // namespace
