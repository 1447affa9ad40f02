#include "matrix.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "decide/admit.h"
}

// The queue into a database, its callers and the database being fakes.
namespace
{
constexpr uint32_t kSeeds = 5;
constexpr int kSteps = 1000;
constexpr usec_t kStep = 1000;
constexpr usec_t kPatience = 300000;
constexpr usec_t kTimeLimit = 100000;
constexpr usec_t kHold = 150000;
constexpr uint32_t kSlots = 4;
constexpr int kTeams = 4; // the first two flood
const char *const kNames[kTeams] = { "large", "larger", "small", "smaller" };
const uint32_t kWeights[kTeams] = { 2, 1, 1, 1 };

enum Fate { WAITS, RAN, EXPIRED, GONE, TURNED_AWAY };

struct Request {
	int team;
	usec_t deadline;
	enum Fate fate = WAITS;
	admit_handle handle = 0;
	int passed = 0; // others that ran while it was its team's first
};

class QueueWorld
{
      public:
	explicit QueueWorld(const matrix_cell &c) : cell(c), rng(c.seed)
	{
		struct admit_limits l = { kSlots, 60, 0 };
		a = admit_create(&l);
		requests.reserve((size_t)kSteps * 8);
	}
	~QueueWorld()
	{
		admit_destroy(a);
	}
	std::string run()
	{
		for (int i = 0; i < kSteps && broke.empty(); i++) {
			now += kStep;
			strike(i);
			finish();
			arrive();
			serve();
		}
		end();
		return broke;
	}

      private:
	const matrix_cell &cell;
	std::mt19937 rng;
	struct admit *a;
	std::vector<Request> requests;
	std::set<size_t> waits[kTeams];	       // what must be in the queue
	std::multimap<usec_t, size_t> running; // by when it is through
	std::map<enum fault, int> struck;
	std::string broke;
	usec_t now = 0;
	usec_t held_until = 0;
	int ran = 0;

	bool has(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool strikes(enum fault f, int of)
	{
		if (!has(f) || rng() % of)
			return false;
		struck[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (broke.empty())
			broke = why;
	}
	size_t first_waiting(int team) const
	{
		const auto &w = waits[team];
		return w.empty() ? requests.size() : *w.begin();
	}
	void settle(Request &q, enum Fate fate)
	{
		if (q.fate != WAITS)
			fail("a request came out of the queue twice");
		q.fate = fate;
		waits[q.team].erase((size_t)(&q - requests.data()));
	}
	// The database is gone: what ran there ends, the rest is held.
	void hold(bool all_end)
	{
		if (held_until)
			return;
		admit_hold(a);
		held_until = now + kHold;
		while (all_end && !running.empty()) {
			running.erase(running.begin());
			admit_done(a, now, -1);
		}
	}
	// Is this the step of a fault that comes three times in a run?
	bool due(enum fault f, int i)
	{
		if (!has(f) || i % 333 != 20 + 15 * (int)f)
			return false;
		struck[f]++;
		return true;
	}
	void strike(int i)
	{
		if (due(FAULT_DIE_BEFORE, i) || due(FAULT_DIE_AFTER, i))
			hold(true);
		if (due(FAULT_CUT_ONE_WAY, i) || due(FAULT_CUT_BOTH, i))
			hold(false);
		if (due(FAULT_PAUSE, i))
			now += kPatience / 2 + (usec_t)(rng() % kPatience);
		if (due(FAULT_KEY_WITHDRAWN, i))
			withdraw((int)(rng() % 2));
		if (strikes(FAULT_DOUBLED, 10))
			leave(first_waiting((int)(rng() % 2)), true);
		if (held_until && now >= held_until) {
			held_until = 0;
			admit_release(a, 2);
		}
	}
	// A caller has gone; told twice, the second time must find nothing.
	void leave(size_t r, bool twice)
	{
		if (r >= requests.size())
			return;
		if (admit_remove(a, requests[r].handle) != &requests[r])
			fail("a request was lost in the queue");
		settle(requests[r], GONE);
		if (twice && admit_remove(a, requests[r].handle))
			fail("a request left the queue twice");
	}
	// All that a team has waiting is refused, and nothing else.
	void withdraw(int team)
	{
		while (!waits[team].empty())
			leave(first_waiting(team), false);
	}
	usec_t took()
	{
		usec_t t = 2000 + (usec_t)(rng() % 3) * 1000;
		if (strikes(FAULT_REPLY_LOST, 20) || strikes(FAULT_SILENT, 20))
			return kTimeLimit;
		if (strikes(FAULT_DELAYED, 20))
			return kTimeLimit / 2 + rng() % kTimeLimit;
		if (strikes(FAULT_REORDERED, 5))
			return 1000 + rng() % 20000;
		return t;
	}
	void start(size_t r)
	{
		Request &q = requests[r];
		settle(q, RAN);
		if (held_until)
			fail("a request ran while the database was held");
		ran++;
		usec_t t = took();
		running.insert({ now + t, r });
		if (admit_running(a) > kSlots || running.size() > kSlots)
			fail("more run than there are slots");
		for (int i = 0; i < kTeams; i++) {
			size_t f = first_waiting(i);
			if (i != q.team && f < requests.size() &&
			    ++requests[f].passed > 10)
				fail("a team was crowded out");
		}
	}
	void finish()
	{
		while (!running.empty() && running.begin()->first <= now) {
			running.erase(running.begin());
			admit_done(a, now, 3000);
		}
	}
	void arrive()
	{
		for (int t = 0; t < 2; t++) {
			for (int k = 0; k < 2; k++)
				offer(t);
		}
		for (int t = 2; t < kTeams; t++) {
			if (rng() % 20 == 0 &&
			    first_waiting(t) == requests.size())
				offer(t);
		}
	}
	void offer(int team)
	{
		struct error e = {};
		int64_t retry = 0;
		requests.push_back({ team, now + kPatience });
		size_t r = requests.size() - 1;
		waits[team].insert(r);
		Request &q = requests[r];
		switch (admit_push(a, kNames[team], kWeights[team], &q, now,
				   q.deadline, rng(), &q.handle, &retry, &e)) {
		case ADMIT_RUN:
			if (first_waiting(team) != r)
				fail("a team's order was changed");
			start(r);
			break;
		case ADMIT_REFUSED:
			settle(q, TURNED_AWAY);
			if (e.code != ERR_OVERLOAD || retry < 1)
				fail("a refusal without cause or time");
			if (team >= 2 && admit_waiting(a) < 60 && !slow())
				fail("a small team was refused");
			break;
		case ADMIT_QUEUED:
			break;
		}
	}
	// Could the wait of even a first one pass its deadline?
	bool slow() const
	{
		return has(FAULT_REPLY_LOST) || has(FAULT_SILENT) ||
		       has(FAULT_DELAYED);
	}
	// Answers those whose time is over, then runs what may run.
	void serve()
	{
		void *p;
		while ((p = admit_expire(a, now))) {
			Request &q = *static_cast<Request *>(p);
			if (q.deadline > now)
				fail("expired before its deadline");
			settle(q, EXPIRED);
		}
		while ((p = admit_pop(a, now))) {
			Request &q = *static_cast<Request *>(p);
			size_t r = (size_t)(&q - requests.data());
			if (first_waiting(q.team) != r)
				fail("a team's order was changed");
			if (q.deadline <= now)
				fail("one ran after its deadline");
			start(r);
		}
		usec_t next = INT64_MAX;
		uint32_t waiting = 0;
		for (const auto &w : waits) {
			waiting += (uint32_t)w.size();
			for (size_t r : w)
				next = std::min(next, requests[r].deadline);
		}
		if (waiting != admit_waiting(a))
			fail("a request was lost in the queue");
		if (next != admit_next_deadline(a) || next <= now)
			fail("a deadline was passed over");
		if (!held_until && waiting && running.size() == 0)
			fail("the queue stands still");
	}
	void end()
	{
		if (ran < 100)
			fail("the step was not reached");
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && struck[f] == 0)
				fail("the fault did not strike");
		}
	}
};

std::string run_queue(const matrix_cell &c)
{
	return QueueWorld(c).run();
}

struct matrix_register rows({
	{ STEP_QUEUE,
	  { FAULT_NONE, FAULT_DIE_BEFORE, FAULT_DIE_AFTER, FAULT_REPLY_LOST,
	    FAULT_DELAYED, FAULT_DOUBLED, FAULT_REORDERED, FAULT_SILENT,
	    FAULT_PAUSE, FAULT_CUT_ONE_WAY, FAULT_CUT_BOTH,
	    FAULT_KEY_WITHDRAWN },
	  true,
	  kSeeds,
	  run_queue },
});
} // namespace
