#ifndef TESTS_MATRIX_WORLD_H
#define TESTS_MATRIX_WORLD_H

// One group of three databases, the platform and two VMs, with an injected
// clock and seeded messages, under which the code of src/decide runs.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "matrix.h"

extern "C" {
#include "decide/confirm.h"
#include "decide/once.h"
#include "decide/probe.h"
#include "decide/promote.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/token.h"
#include "decide/transaction.h"
}

constexpr int kDbs = 3;
constexpr int kVms = 2;
constexpr int kPlatform = kDbs;
constexpr int kFirstVm = kPlatform + 1;
constexpr int kClient = kFirstVm + kVms;
constexpr int kPeers = kClient + 1;

struct Entry {
	uint64_t term;
	std::vector<int> writes;
	int request; // id; 0: none
};

// A database by the rules of docs/PROTOCOLS.md.
struct Database {
	std::vector<Entry> log;
	struct lineage lineage = { 1, { { 1, 0 } } };
	uint64_t fence = 1;
	uint64_t primary_of = 0;
	uint64_t follows = 1;
	uint64_t stamp_term = 1;
	int64_t stamp = 0;
	std::map<int, std::vector<int>> open; // transactions
	int next_tx = 1;

	struct log_pos end() const
	{
		return { lineage.start[lineage.n - 1].term, log.size() };
	}
	bool holds(int write) const;
	int count(int write) const;
	void begin_term(uint64_t term);
	void cut(uint64_t size);
};

struct Platform {
	uint64_t term = 1;
	uint32_t primary = 0;
	uint64_t claimed = 1;
};

class World
{
      public:
	World(const struct matrix_cell &c);
	usec_t now = 1000000;
	std::mt19937_64 rng;
	Database db[kDbs];
	Platform platform;
	uint64_t top_term = 1; // highest ever promoted
	int top_db = 0;
	std::string broken; // the first promise that broke
	bool struck = false;
	bool key_withdrawn = false;
	bool armed = false;
	bool departing = false;
	int loss = 0; // percent of lost answers to statements
	usec_t slow_until = 0;

	// Runs fn later, as "who" unless it is dead; a paused one runs it late.
	void after(usec_t us, int who, std::function<void()> fn);
	void run_until(usec_t t);
	// What the peer does, and with it the answer's arrival; or nothing.
	// With "once" the sender never hands the body to the network twice, as
	// database_http.c does for statements without an id; a doubled call is
	// then a doubled answer.
	using effect = std::function<std::function<void()>()>;
	void call(int from, int to, enum step step, effect run,
		  std::function<void()> overdue, usec_t timeout,
		  bool once = false);
	// A decision without a message.
	void local(int who, enum step step);
	void break_promise(const std::string &what);
	bool alive(int who) const;
	void close(int vm, int to);
	void heal();
	void kill(int who, usec_t until);
	void replicate(int i);
	bool chance(int percent);

      private:
	struct Event {
		usec_t at;
		uint64_t order;
		int who;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return at != o.at ? at > o.at : order > o.order;
		}
	};
	struct Strike {
		bool drop_request = false;
		bool drop_reply = false;
		bool twice = false;
		bool die_after = false;
		usec_t delay = 0;
	};
	struct matrix_cell cell;
	std::priority_queue<Event> events;
	uint64_t order = 0;
	usec_t down_until[kPeers] = {};
	usec_t paused_until[kPeers] = {};
	usec_t cut_until[kPeers][kPeers] = {};
	bool silent[kPeers][kPeers] = {};
	int lose_platform = 0;
	int skip = 0;
	Strike strike(int from, int to, enum step step);
	void apply(enum fault f, int from, int to, Strike &s);
	bool passes(int from, int to) const;
	usec_t latency();
};

// Runs the load with a failover or a hand-over around the cell's fault, heals
// and judges. Returns what broke.
std::string world_run(const struct matrix_cell &c);

#endif
