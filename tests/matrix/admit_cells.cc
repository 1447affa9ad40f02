#include "matrix.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "decide/admit.h"
}

// The admission queue of a database, with simulated callers and a simulated
// database.
namespace
{
constexpr uint32_t kSeeds = 5;
constexpr int kSteps = 1000;
constexpr usec_t kStep = 1000;
constexpr usec_t kRequestTime = 300000;
constexpr usec_t kCallTimeout = 100000;
constexpr usec_t kOutage = 150000;
constexpr uint32_t kSlots = 4;
constexpr int kTeams = 4; // the first two overload the queue
const char *const kNames[kTeams] = { "large", "larger", "small", "smaller" };
const uint32_t kWeights[kTeams] = { 2, 1, 1, 1 };

enum RequestState { WAITING, RAN, EXPIRED, CANCELLED, REFUSED };

struct Request {
	int team;
	usec_t deadline;
	enum RequestState state = WAITING;
	admit_handle handle = 0;
	int overtaken = 0; // other teams' requests run while it was first
};

class QueueSimulation
{
      public:
	explicit QueueSimulation(const matrix_cell &c) : cell(c), rng(c.seed)
	{
		struct admit_limits l = { kSlots, 60, 0 };
		a = admit_create(&l);
		requests.reserve((size_t)kSteps * 8);
	}
	~QueueSimulation()
	{
		admit_destroy(a);
	}
	std::string run()
	{
		for (int i = 0; i < kSteps && violation.empty(); i++) {
			now += kStep;
			inject_faults(i);
			finish();
			submit_all();
			dispatch();
		}
		check_coverage();
		return violation;
	}

      private:
	const matrix_cell &cell;
	std::mt19937 rng;
	struct admit *a;
	std::vector<Request> requests;
	std::set<size_t> queued[kTeams];       // expected content of the queue
	std::multimap<usec_t, size_t> running; // by time of completion
	std::map<enum fault, int> injected;
	std::string violation;
	usec_t now = 0;
	usec_t outage_ends = 0;
	int run_count = 0;

	bool has_fault(enum fault f) const
	{
		return cell.fault == f || cell.second == f;
	}
	bool inject(enum fault f, int one_in)
	{
		if (!has_fault(f) || rng() % one_in)
			return false;
		injected[f]++;
		return true;
	}
	void fail(const char *why)
	{
		if (violation.empty())
			violation = why;
	}
	size_t first_queued(int team) const
	{
		const auto &w = queued[team];
		return w.empty() ? requests.size() : *w.begin();
	}
	void set_state(Request &q, enum RequestState state)
	{
		if (q.state != WAITING)
			fail("a request came out of the queue twice");
		q.state = state;
		queued[q.team].erase((size_t)(&q - requests.data()));
	}
	// Simulates the loss of the database: queued requests are held and,
	// with "all_end", running requests end.
	void hold(bool all_end)
	{
		if (outage_ends)
			return;
		admit_hold(a);
		outage_ends = now + kOutage;
		while (all_end && !running.empty()) {
			running.erase(running.begin());
			admit_done(a, now, -1);
		}
	}
	// Returns true at the three steps of a run at which a periodic fault is
	// injected.
	bool inject_periodic(enum fault f, int i)
	{
		if (!has_fault(f) || i % 333 != 20 + 15 * (int)f)
			return false;
		injected[f]++;
		return true;
	}
	void inject_faults(int i)
	{
		if (inject_periodic(FAULT_DIE_BEFORE, i) ||
		    inject_periodic(FAULT_DIE_AFTER, i))
			hold(true);
		if (inject_periodic(FAULT_CUT_ONE_WAY, i) ||
		    inject_periodic(FAULT_CUT_BOTH, i))
			hold(false);
		if (inject_periodic(FAULT_PAUSE, i))
			now += kRequestTime / 2 +
			       (usec_t)(rng() % kRequestTime);
		if (inject_periodic(FAULT_KEY_WITHDRAWN, i))
			cancel_team((int)(rng() % 2));
		if (inject(FAULT_DOUBLED, 10))
			cancel(first_queued((int)(rng() % 2)), true);
		if (outage_ends && now >= outage_ends) {
			outage_ends = 0;
			admit_release(a, 2);
		}
	}
	// Removes the request of a caller that disconnected. A second removal
	// must find nothing.
	void cancel(size_t r, bool twice)
	{
		if (r >= requests.size())
			return;
		if (admit_remove(a, requests[r].handle) != &requests[r])
			fail("a request was lost in the queue");
		set_state(requests[r], CANCELLED);
		if (twice && admit_remove(a, requests[r].handle))
			fail("a request left the queue twice");
	}
	// Removes all waiting requests of a team, whose key was withdrawn.
	void cancel_team(int team)
	{
		while (!queued[team].empty())
			cancel(first_queued(team), false);
	}
	usec_t service_time()
	{
		usec_t t = 2000 + (usec_t)(rng() % 3) * 1000;
		if (inject(FAULT_REPLY_LOST, 20) || inject(FAULT_SILENT, 20))
			return kCallTimeout;
		if (inject(FAULT_DELAYED, 20))
			return kCallTimeout / 2 + rng() % kCallTimeout;
		if (inject(FAULT_REORDERED, 5))
			return 1000 + rng() % 20000;
		return t;
	}
	void start(size_t r)
	{
		Request &q = requests[r];
		set_state(q, RAN);
		if (outage_ends)
			fail("a request ran while the database was held");
		run_count++;
		usec_t t = service_time();
		running.insert({ now + t, r });
		if (admit_running(a) > kSlots || running.size() > kSlots)
			fail("more requests run than there are slots");
		for (int i = 0; i < kTeams; i++) {
			size_t f = first_queued(i);
			if (i != q.team && f < requests.size() &&
			    ++requests[f].overtaken > 10)
				fail("a team was starved");
		}
	}
	void finish()
	{
		while (!running.empty() && running.begin()->first <= now) {
			running.erase(running.begin());
			admit_done(a, now, 3000);
		}
	}
	void submit_all()
	{
		for (int t = 0; t < 2; t++) {
			for (int k = 0; k < 2; k++)
				submit(t);
		}
		for (int t = 2; t < kTeams; t++) {
			if (rng() % 20 == 0 &&
			    first_queued(t) == requests.size())
				submit(t);
		}
	}
	void submit(int team)
	{
		struct error e = {};
		int64_t retry = 0;
		requests.push_back({ team, now + kRequestTime });
		size_t r = requests.size() - 1;
		queued[team].insert(r);
		Request &q = requests[r];
		switch (admit_push(a, kNames[team], kWeights[team], &q, now,
				   q.deadline, rng(), &q.handle, &retry, &e)) {
		case ADMIT_RUN:
			if (first_queued(team) != r)
				fail("a team's order was changed");
			start(r);
			break;
		case ADMIT_REFUSED:
			set_state(q, REFUSED);
			if (e.code != ERR_OVERLOAD || retry < 1)
				fail("a refusal without cause or retry time");
			if (team >= 2 && admit_waiting(a) < 60 && !may_expire())
				fail("a small team was refused");
			break;
		case ADMIT_QUEUED:
			break;
		}
	}
	// Returns true if the fault can delay even the first request of a team
	// past its deadline.
	bool may_expire() const
	{
		return has_fault(FAULT_REPLY_LOST) || has_fault(FAULT_SILENT) ||
		       has_fault(FAULT_DELAYED);
	}
	// Expires requests past their deadline, then runs those that the queue
	// admits.
	void dispatch()
	{
		void *p;
		while ((p = admit_expire(a, now))) {
			Request &q = *static_cast<Request *>(p);
			if (q.deadline > now)
				fail("expired before its deadline");
			set_state(q, EXPIRED);
		}
		while ((p = admit_pop(a, now))) {
			Request &q = *static_cast<Request *>(p);
			size_t r = (size_t)(&q - requests.data());
			if (first_queued(q.team) != r)
				fail("a team's order was changed");
			if (q.deadline <= now)
				fail("a request ran after its deadline");
			start(r);
		}
		usec_t next = INT64_MAX;
		uint32_t waiting = 0;
		for (const auto &w : queued) {
			waiting += (uint32_t)w.size();
			for (size_t r : w)
				next = std::min(next, requests[r].deadline);
		}
		if (waiting != admit_waiting(a))
			fail("a request was lost in the queue");
		if (next != admit_next_deadline(a) || next <= now)
			fail("a deadline was missed");
		if (!outage_ends && waiting && running.size() == 0)
			fail("the queue makes no progress");
	}
	void check_coverage()
	{
		if (run_count < 100)
			fail("the step was not reached");
		for (enum fault f : { cell.fault, cell.second }) {
			if (f != FAULT_NONE && injected[f] == 0)
				fail("the fault was not injected");
		}
	}
};

std::string run_queue(const matrix_cell &c)
{
	return QueueSimulation(c).run();
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
