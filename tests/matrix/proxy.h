#ifndef TESTS_MATRIX_PROXY_H
#define TESTS_MATRIX_PROXY_H

#include "world.h"

// What a caller asks and is told.
struct Ask {
	enum once_kind kind = ONCE_READ;
	std::vector<int> writes;
	int request = 0; // id; 0: none
	int tx = 0;	 // transaction at its VM, by number
	std::string token;
	int64_t max_age_us = 100000;
};

struct Told {
	enum outcome outcome = OUTCOME_UNKNOWN;
	std::set<int> seen; // rows of a read
	std::string token;
	int tx = 0;
};

// One VM: the decisions of src/decide with just the calls they ask for.
class Proxy
{
      public:
	Proxy(World &w, int index);
	void start(std::vector<Proxy *> peers);
	// A request arrives; done is called once, if the VM lives.
	void submit(const Ask &ask, std::function<void(const Told &)> done);
	int promotions = 0;

      private:
	struct Work {
		Ask ask;
		std::function<void(const Told &)> done;
		struct route_want want = {};
		struct session_token token = {};
		struct confirm confirm = {};
		usec_t deadline = 0;
		usec_t again_at = 0;
		uint32_t calls = 0;
		uint64_t sent_term = 0;
		bool maybe_ran = false;
		bool waiting = true; // to be routed
		bool confirming = false;
		bool over = false;
		Told told;
	};
	struct Held {
		struct transaction tx = {};
		int at_db = 0;
	};
	using work = std::shared_ptr<Work>;
	World &w;
	int me;
	std::vector<Proxy *> peers;
	struct group_view view = {};
	struct promote promoter;
	struct probe probes[kDbs] = {};
	struct retry_budget budget;
	bool connected[kDbs] = {};
	usec_t hold_until = 0;
	usec_t used_at = 0;
	std::vector<work> works;
	std::map<int, Held> held;
	int next_tx = 1;

	void tick();
	void probe_all(uint32_t confirms);
	void note(int i, const struct db_view &report, usec_t asked);
	struct db_view report(int i) const;
	struct promote_env env();
	void act(const struct promote_actions &out);
	void adopt(uint64_t term, uint32_t primary);
	void do_call(const struct promote_action &a, enum step step);
	void do_claim(uint64_t term);
	void do_publish(const struct promote_action &a);
	void ask_opinions(uint64_t term);
	uint32_t running() const;
	void drive(const work &k);
	void drive_tx(const work &k);
	void connect_and_send(const work &k, int i);
	void send(const work &k, int i);
	void ended(const work &k, int i, enum call_end end, enum refusal r);
	void check_confirm(const work &k);
	void finish(const work &k, enum outcome o);
};

#endif
