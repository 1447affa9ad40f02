#ifndef TESTS_MATRIX_PROXY_H
#define TESTS_MATRIX_PROXY_H

#include "simulation.h"

// A request of a caller.
struct CallerRequest {
	enum idem_kind kind = IDEM_READ;
	std::vector<int> writes;
	int request_id = 0; // 0: none
	int tx = 0;	    // number of the transaction at its VM
	std::string token;
	int64_t max_age_us = 100000;
};

// The answer to a request.
struct CallerResponse {
	enum outcome outcome = OUTCOME_UNKNOWN;
	std::set<int> seen; // rows of a read
	std::string token;
	int tx = 0;
};

// One VM: runs the decisions of src/decide and the calls that they request.
class Proxy
{
      public:
	Proxy(Simulation &sim, int index);
	void start(std::vector<Proxy *> peers);
	// Accepts a request. Calls done once, unless the VM is down.
	void submit(const CallerRequest &request,
		    std::function<void(const CallerResponse &)> done);
	int promotions = 0;

      private:
	struct PendingRequest {
		CallerRequest request;
		std::function<void(const CallerResponse &)> done;
		struct route_requirements requirements = {};
		struct session_token token = {};
		struct write_quorum confirm = {};
		usec_t deadline = 0;
		usec_t retry_at = 0;
		uint32_t calls = 0;
		uint64_t sent_term = 0;
		bool maybe_ran = false;
		bool waiting = true; // to be routed
		bool confirming = false;
		bool is_answered = false;
		CallerResponse response;
	};
	struct HeldTransaction {
		struct transaction tx = {};
		int at_db = 0;
	};
	using pending_ref = std::shared_ptr<PendingRequest>;
	Simulation &sim;
	int self;
	std::vector<Proxy *> peers;
	struct group_view view = {};
	struct promote promoter;
	struct health_probe probes[kDbs] = {};
	struct retry_budget budget;
	bool connected[kDbs] = {};
	usec_t hold_until = 0;
	usec_t last_used_at = 0;
	std::vector<pending_ref> pending;
	std::map<int, HeldTransaction> transactions;
	int next_tx = 1;

	void tick();
	void probe_all(uint32_t confirms);
	void record_report(int i, const struct db_view &report, usec_t sent_at);
	struct db_view report(int i) const;
	struct promote_env env();
	void perform(const struct promote_actions &out);
	void adopt(uint64_t term, uint32_t primary);
	void do_call(const struct promote_action &a, enum step step);
	void do_claim(uint64_t term);
	void do_publish(const struct promote_action &a);
	void ask_opinions(uint64_t term);
	uint32_t running() const;
	void advance(const pending_ref &k);
	void advance_tx(const pending_ref &k);
	void connect_and_send(const pending_ref &k, int i);
	void send(const pending_ref &k, int i);
	void call_ended(const pending_ref &k, int i, enum call_end end,
			enum refusal r);
	void check_confirm(const pending_ref &k);
	void finish(const pending_ref &k, enum outcome o);
};

#endif
