#include "matrix.h"

#include <algorithm>
#include <map>
#include <random>

extern "C" {
#include "decide/drain.h"
}

// A VM that gets SIGTERM. It is ticked when something changes and when
// drain_next() says, and at no other time.
namespace
{
constexpr uint32_t kSeeds = 20;
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kSignal = 1000 * kMs;
constexpr struct drain_limits kLimits = { 2000 * kMs, 20000 * kMs, 1000 * kMs };

struct Work {
	usec_t ends; // INT64_MAX: never, as its reply is lost
	bool transaction;
};

class DrainWorld
{
      public:
	explicit DrainWorld(const matrix_cell &c) : cell(c), rng(c.seed)
	{
		drain_init(&d);
	}
	std::string run()
	{
		while (now < kSignal + 40000 * kMs && broke.empty() &&
		       d.phase != DRAIN_EXIT) {
			now += kMs;
			pause();
			signal();
			arrive();
			end_work();
			give();
			close();
			if (dirty || now >= drain_next(&d, &kLimits))
				tick();
		}
		judge_exit();
		return broke;
	}

      private:
	const matrix_cell &cell;
	std::mt19937 rng;
	struct drain d;
	std::vector<Work> work;
	struct drain_load load = { 0, 0, 3, 5 };
	std::map<enum fault, int> struck;
	std::string broke;
	usec_t now = 0;
	usec_t paused = 0; // in all
	usec_t asleep_at = INT64_MAX;
	bool dirty = false;
	int accepted = 0;
	int finished = 0;
	int refused = 0;

	bool has(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool strikes(enum fault f)
	{
		if (!has(f))
			return false;
		struck[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (broke.empty())
			broke = why;
	}
	void pause()
	{
		if (asleep_at == INT64_MAX)
			asleep_at = kSignal + (usec_t)(rng() % 2000) * kMs;
		if (now < asleep_at || paused || !strikes(FAULT_PAUSE))
			return;
		paused = kLimits.most + (usec_t)(rng() % 5000) * kMs;
		now += paused;
	}
	void signal()
	{
		if (now >= kSignal && d.phase == DRAIN_SERVING) {
			drain_signal(&d, now);
			if (drain_ready(&d))
				fail("ready after the signal");
			dirty = true;
		}
		if (now % (700 * kMs) == 0 && d.phase > DRAIN_SERVING &&
		    strikes(FAULT_DOUBLED)) {
			struct drain was = d;
			drain_signal(&d, now);
			if (was.began_at != d.began_at || was.phase != d.phase)
				fail("a second signal changed the shutdown");
		}
	}
	// The balancer moves callers away within the notice, if it learns of
	// it.
	bool callers_left()
	{
		if (d.phase == DRAIN_SERVING)
			return true;
		if (strikes(FAULT_PLATFORM_DOWN) || strikes(FAULT_CUT_BOTH) ||
		    strikes(FAULT_CUT_ONE_WAY))
			return true;
		if (now - d.began_at < 500 * kMs)
			return true;
		return now - d.began_at < 4000 * kMs &&
		       strikes(FAULT_PLATFORM_SLOW);
	}
	usec_t length()
	{
		if (rng() % 4 == 0 && strikes(FAULT_DELAYED))
			return (usec_t)(rng() % 6000) * kMs;
		if (rng() % 4 == 0 && strikes(FAULT_REPLY_LOST))
			return 5000 * kMs; // until it is given up
		if (rng() % 4 == 0 &&
		    (strikes(FAULT_DIE_BEFORE) || strikes(FAULT_DIE_AFTER)))
			return 8000 * kMs; // held over a failover
		if (strikes(FAULT_REORDERED))
			return (usec_t)(rng() % 3000) * kMs;
		return (usec_t)(rng() % 200) * kMs;
	}
	void arrive()
	{
		if (rng() % 10 || !callers_left())
			return;
		bool begin = rng() % 3 == 0;
		if (!(begin ? drain_takes_begin(&d) : drain_takes_work(&d))) {
			refused++;
			if (d.phase <= DRAIN_NOTICE)
				fail("refused within the notice");
			return;
		}
		if (d.phase >= DRAIN_GIVE)
			fail("work taken that can't be ended");
		accepted++;
		work.push_back({ now + length(), begin });
		count();
	}
	void end_work()
	{
		size_t was = work.size();
		std::erase_if(work,
			      [this](const Work &w) { return w.ends <= now; });
		finished += (int)(was - work.size());
		if (was != work.size())
			count();
	}
	void count()
	{
		load.transactions = 0;
		for (const auto &w : work)
			load.transactions += w.transaction;
		load.running = (uint32_t)work.size() - load.transactions;
		dirty = true;
	}
	// Shares go to peers, if these can be reached.
	void give()
	{
		if (d.phase != DRAIN_GIVE || load.shares == 0 || rng() % 50)
			return;
		if (strikes(FAULT_CUT_BOTH) || strikes(FAULT_CUT_ONE_WAY))
			return;
		load.shares--;
		dirty = true;
	}
	void close()
	{
		if (d.phase != DRAIN_CLOSE || load.connections == 0 ||
		    rng() % 20)
			return;
		if (load.connections == 1 && strikes(FAULT_SILENT))
			return;
		load.connections--;
		dirty = true;
	}
	void tick()
	{
		enum drain_phase was = d.phase;
		dirty = false;
		drain_tick(&d, &kLimits, &load, now);
		if (d.phase < was)
			fail("the shutdown went back");
		bool late = now - d.began_at >= kLimits.most;
		bool left = load.running > 0 || load.transactions > 0;
		if (d.phase > DRAIN_REFUSE && left && !late)
			fail("a request was interrupted");
		if (was <= DRAIN_NOTICE && d.phase > DRAIN_NOTICE &&
		    now - d.began_at < kLimits.notice)
			fail("the balancer had no time");
		if (was == DRAIN_NOTICE && d.phase == DRAIN_NOTICE &&
		    now - d.began_at > kLimits.notice + kMs)
			fail("the notice did not end");
		if (d.phase >= DRAIN_CLOSE && !late && load.shares &&
		    !gave_long_enough())
			fail("shares were dropped");
		if (d.phase == DRAIN_EXIT && !late && load.connections)
			fail("left with connections open");
		if (d.forced != (d.phase == DRAIN_EXIT && late && left))
			fail("does not tell that work was left");
	}
	// With shares left it may move on from giving only after its limit.
	bool gave_long_enough() const
	{
		return now - d.began_at >= kLimits.notice + kLimits.give;
	}
	void judge_exit()
	{
		usec_t most = kSignal + kLimits.most + paused + 2 * kMs;
		if (d.phase != DRAIN_EXIT || now > most)
			fail("no exit within the limit");
		if (paused == 0 && (d.forced || finished != accepted))
			fail("a request was interrupted");
		if (accepted < 20)
			fail("the step was not reached");
		if ((has(FAULT_PLATFORM_DOWN) || has(FAULT_CUT_BOTH)) &&
		    paused == 0 && refused == 0)
			fail("nothing was refused");
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && struck[f] == 0)
				fail("the fault did not strike");
		}
	}
};

std::string run_drain(const matrix_cell &c)
{
	return DrainWorld(c).run();
}

struct matrix_register rows({
	{ STEP_DRAIN,
	  { FAULT_NONE, FAULT_DIE_BEFORE, FAULT_DIE_AFTER, FAULT_REPLY_LOST,
	    FAULT_DELAYED, FAULT_DOUBLED, FAULT_REORDERED, FAULT_SILENT,
	    FAULT_PAUSE, FAULT_CUT_ONE_WAY, FAULT_CUT_BOTH, FAULT_PLATFORM_DOWN,
	    FAULT_PLATFORM_SLOW },
	  false,
	  kSeeds,
	  run_drain },
});
} // namespace
