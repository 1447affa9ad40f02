#include "matrix.h"

#include <algorithm>
#include <map>
#include <random>

extern "C" {
#include "decide/drain.h"
}

// A VM that receives SIGTERM. drain_tick() is called only when something
// changes and at the time that drain_next_at() returns.
namespace
{
constexpr uint32_t kSeeds = 20;
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kSignalAt = 1000 * kMs;
constexpr struct drain_limits kLimits = { 2000 * kMs, 20000 * kMs, 1000 * kMs };

struct Work {
	usec_t ends_at;
	bool transaction;
};

class DrainSimulation
{
      public:
	explicit DrainSimulation(const matrix_cell &c) : cell(c), rng(c.seed)
	{
		drain_init(&d);
	}
	std::string run()
	{
		while (now < kSignalAt + 40000 * kMs && violation.empty() &&
		       d.phase != DRAIN_EXIT) {
			now += kMs;
			pause();
			signal();
			arrive();
			finish_work();
			transfer_shares();
			close_connections();
			if (changed || now >= drain_next_at(&d, &kLimits))
				tick();
		}
		check_exit();
		return violation;
	}

      private:
	const matrix_cell &cell;
	std::mt19937 rng;
	struct drain d;
	std::vector<Work> work;
	struct drain_load load = { 0, 0, 3, 5 };
	std::map<enum fault, int> injected;
	std::string violation;
	usec_t now = 0;
	usec_t paused_for = 0; // total time
	usec_t pause_at = INT64_MAX;
	bool changed = false;
	int accepted = 0;
	int finished = 0;
	int refused = 0;

	bool has_fault(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool inject(enum fault f)
	{
		if (!has_fault(f))
			return false;
		injected[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (violation.empty())
			violation = why;
	}
	void pause()
	{
		if (pause_at == INT64_MAX)
			pause_at = kSignalAt + (usec_t)(rng() % 2000) * kMs;
		if (now < pause_at || paused_for || !inject(FAULT_PAUSE))
			return;
		paused_for = kLimits.max + (usec_t)(rng() % 5000) * kMs;
		now += paused_for;
	}
	void signal()
	{
		if (now >= kSignalAt && d.phase == DRAIN_SERVING) {
			drain_begin(&d, now);
			if (drain_is_ready(&d))
				fail("ready after the signal");
			changed = true;
		}
		if (now % (700 * kMs) == 0 && d.phase > DRAIN_SERVING &&
		    inject(FAULT_DOUBLED)) {
			struct drain before = d;
			drain_begin(&d, now);
			if (before.began_at != d.began_at ||
			    before.phase != d.phase)
				fail("a second signal changed the shutdown");
		}
	}
	// Returns true while callers still send to the VM. The load balancer
	// moves them away within the notice period if it learns of the drain.
	bool callers_sending()
	{
		if (d.phase == DRAIN_SERVING)
			return true;
		if (inject(FAULT_PLATFORM_DOWN) || inject(FAULT_CUT_BOTH) ||
		    inject(FAULT_CUT_ONE_WAY))
			return true;
		if (now - d.began_at < 500 * kMs)
			return true;
		return now - d.began_at < 4000 * kMs &&
		       inject(FAULT_PLATFORM_SLOW);
	}
	usec_t duration()
	{
		if (rng() % 4 == 0 && inject(FAULT_DELAYED))
			return (usec_t)(rng() % 6000) * kMs;
		if (rng() % 4 == 0 && inject(FAULT_REPLY_LOST))
			return 5000 * kMs; // until its timeout
		if (rng() % 4 == 0 &&
		    (inject(FAULT_DIE_BEFORE) || inject(FAULT_DIE_AFTER)))
			return 8000 * kMs; // held during a failover
		if (inject(FAULT_REORDERED))
			return (usec_t)(rng() % 3000) * kMs;
		return (usec_t)(rng() % 200) * kMs;
	}
	void arrive()
	{
		if (rng() % 10 || !callers_sending())
			return;
		bool begin = rng() % 3 == 0;
		if (!(begin ? drain_accepts_transactions(&d)
			    : drain_accepts_statements(&d))) {
			refused++;
			if (d.phase <= DRAIN_NOTICE)
				fail("refused within the notice");
			return;
		}
		if (d.phase >= DRAIN_GIVE)
			fail("work was taken that can't be finished");
		accepted++;
		work.push_back({ now + duration(), begin });
		update_load();
	}
	void finish_work()
	{
		size_t before = work.size();
		std::erase_if(work, [this](const Work &w) {
			return w.ends_at <= now;
		});
		finished += (int)(before - work.size());
		if (before != work.size())
			update_load();
	}
	void update_load()
	{
		load.transactions = 0;
		for (const auto &w : work)
			load.transactions += w.transaction;
		load.running = (uint32_t)work.size() - load.transactions;
		changed = true;
	}
	// Transfers a share to a peer if peers are reachable.
	void transfer_shares()
	{
		if (d.phase != DRAIN_GIVE || load.shares == 0 || rng() % 50)
			return;
		if (inject(FAULT_CUT_BOTH) || inject(FAULT_CUT_ONE_WAY))
			return;
		load.shares--;
		changed = true;
	}
	void close_connections()
	{
		if (d.phase != DRAIN_CLOSE || load.connections == 0 ||
		    rng() % 20)
			return;
		if (load.connections == 1 && inject(FAULT_SILENT))
			return;
		load.connections--;
		changed = true;
	}
	void tick()
	{
		enum drain_phase before = d.phase;
		changed = false;
		drain_tick(&d, &kLimits, &load, now);
		if (d.phase < before)
			fail("the shutdown went back to an earlier phase");
		bool past_limit = now - d.began_at >= kLimits.max;
		bool work_left = load.running > 0 || load.transactions > 0;
		if (d.phase > DRAIN_REFUSE && work_left && !past_limit)
			fail("a request was interrupted");
		if (before <= DRAIN_NOTICE && d.phase > DRAIN_NOTICE &&
		    now - d.began_at < kLimits.notice)
			fail("the balancer had no time");
		if (before == DRAIN_NOTICE && d.phase == DRAIN_NOTICE &&
		    now - d.began_at > kLimits.notice + kMs)
			fail("the notice did not end");
		if (d.phase >= DRAIN_CLOSE && !past_limit && load.shares &&
		    !transfer_time_is_over())
			fail("shares were dropped");
		if (d.phase == DRAIN_EXIT && !past_limit && load.connections)
			fail("left with connections open");
		if (d.forced !=
		    (d.phase == DRAIN_EXIT && past_limit && work_left))
			fail("a forced exit is not reported, or is without need");
	}
	// With shares left, the VM may end the transfer phase only after its
	// time limit.
	bool transfer_time_is_over() const
	{
		return now - d.began_at >= kLimits.notice + kLimits.give_max;
	}
	void check_exit()
	{
		usec_t most = kSignalAt + kLimits.max + paused_for + 2 * kMs;
		if (d.phase != DRAIN_EXIT || now > most)
			fail("no exit within the limit");
		if (paused_for == 0 && (d.forced || finished != accepted))
			fail("a request was interrupted");
		if (accepted < 20)
			fail("the step was not reached");
		if ((has_fault(FAULT_PLATFORM_DOWN) ||
		     has_fault(FAULT_CUT_BOTH)) &&
		    paused_for == 0 && refused == 0)
			fail("nothing was refused");
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && injected[f] == 0)
				fail("the fault was not injected");
		}
	}
};

std::string run_drain(const matrix_cell &c)
{
	return DrainSimulation(c).run();
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
