#ifndef TESTS_MATRIX_SIMULATION_H
#define TESTS_MATRIX_SIMULATION_H

// Simulates a group of three databases, the platform and two VMs that run the
// decisions of src/decide, with a simulated clock and a seeded network.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "matrix.h"

extern "C" {
#include "decide/write_quorum.h"
#include "decide/idempotency.h"
#include "decide/health_probe.h"
#include "decide/promote.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/session_token.h"
#include "decide/transaction.h"
}

constexpr int kDbs = 3;
constexpr int kVms = 2;
constexpr int kPlatform = kDbs;
constexpr int kFirstVm = kPlatform + 1;
constexpr int kCaller = kFirstVm + kVms;
constexpr int kNodes = kCaller + 1;

struct Entry {
	uint64_t term;
	std::vector<int> writes;
	int request_id; // 0: none
};

// A database that follows the rules of docs/PROTOCOLS.md.
struct Database {
	std::vector<Entry> log;
	struct lineage lineage = { 1, { { 1, 0 } } };
	uint64_t fence = 1;
	uint64_t primary_of = 0; // term it is primary of; 0: replica
	uint64_t follows = 1;	 // term whose primary it follows; 0: none
	uint64_t stamp_term = 1;
	int64_t stamp = 0;
	std::map<int, std::vector<int>> open; // transactions
	int next_tx = 1;

	struct log_pos end() const
	{
		return { lineage.start[lineage.n - 1].term, log.size() };
	}
	bool contains(int write) const;
	int count(int write) const;
	void begin_term(uint64_t term);
	void truncate(uint64_t size);
};

struct Platform {
	uint64_t term = 1;
	uint32_t primary = 0;
	uint64_t claimed = 1;
};

class Simulation
{
      public:
	Simulation(const struct matrix_cell &c);
	usec_t now = 1000000;
	std::mt19937_64 rng;
	Database db[kDbs];
	Platform platform;
	uint64_t newest_term = 1; // highest term with a promotion
	int newest_primary = 0;
	std::string violation; // the first violated guarantee
	bool injected = false;
	bool key_withdrawn = false;
	bool armed = false; // the fault may be injected from now on
	bool departing = false;
	int reply_loss_percent = 0; // of replies to statements
	usec_t slow_until = 0;

	// Runs fn after a delay at a node, unless that is down. A paused node
	// runs it when it resumes.
	void after(usec_t us, int node, std::function<void()> fn);
	void run_until(usec_t t);
	// Executes a request at the receiver and returns what the sender does
	// when the reply arrives.
	using request_handler = std::function<std::function<void()>()>;
	// Sends a request. Calls on_timeout if no reply arrives in time. With
	// "send_once" only the reply is ever duplicated, not the request, as
	// database_http.c never sends a statement without an id twice.
	void call(int from, int to, enum step step, request_handler run,
		  std::function<void()> on_timeout, usec_t timeout,
		  bool send_once = false);
	// Injects the fault of a step that sends no message.
	void local_step(int node, enum step step);
	void report_violation(const std::string &what);
	bool alive(int node) const;
	void close(int vm, int to);
	void heal();
	void crash(int node, usec_t until);
	void replicate(int i);
	bool chance(int percent);

      private:
	struct Event {
		usec_t at;
		uint64_t order;
		int node;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return at != o.at ? at > o.at : order > o.order;
		}
	};
	struct Injection {
		bool drop_request = false;
		bool drop_reply = false;
		bool twice = false; // request and reply are duplicated
		// The receiver handles the request and goes down without a
		// reply. In a call to the caller, the sender goes down.
		bool dies_after_handling = false;
		usec_t delay = 0;
	};
	struct matrix_cell cell;
	std::priority_queue<Event> events;
	uint64_t order = 0;
	usec_t down_until[kNodes] = {};
	usec_t paused_until[kNodes] = {};
	usec_t cut_until[kNodes][kNodes] = {};
	bool silent[kNodes][kNodes] = {};
	int platform_replies_to_lose = 0;
	int skip = 0; // messages of the step before the injection
	Injection inject(int from, int to, enum step step);
	void apply(enum fault f, int from, int to, Injection &s);
	bool can_reach(int from, int to) const;
	usec_t message_delay();
};

// Runs the workload with the cell's fault and, depending on the step, a
// failover or a hand-over, ends the faults and checks the guarantees. Returns
// the first violation, or an empty string.
std::string simulation_run(const struct matrix_cell &c);

#endif
