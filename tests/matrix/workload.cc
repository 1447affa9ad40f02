// The workload of a cell and the guarantees that it is checked against.

#include "proxy.h"

namespace
{
constexpr usec_t kStartTime = 1000000;
constexpr usec_t kArmTime = kStartTime + 200000;
constexpr usec_t kFailoverTime = kStartTime + 260000;
constexpr usec_t kHealTime = kStartTime + 1900000;
constexpr usec_t kLastRequest = kStartTime + 2900000;
constexpr usec_t kEndTime = kStartTime + 4200000;
constexpr usec_t kThinkTime = 15000;
constexpr usec_t kCallerTimeout = 1000000;
constexpr int kRetriesMax = 4;

struct WriteRecord {
	enum outcome outcome = OUTCOME_UNKNOWN;
	usec_t sent_at = 0;
	bool is_retried = false;
};

struct Workload {
	Simulation &sim;
	std::vector<std::unique_ptr<Proxy>> vms;
	std::map<int, WriteRecord> written;
	int next_write = 1;
	int next_request = 1;
	int done_after_heal = 0;
	usec_t key_withdrawn_at = INT64_MAX;

	explicit Workload(Simulation &simulation) : sim(simulation)
	{
		for (int i = 0; i < kVms; i++)
			vms.push_back(std::make_unique<Proxy>(sim, i));
		vms[0]->start({ vms[1].get() });
		vms[1]->start({ vms[0].get() });
	}

	// Sends a request to a VM. A missing answer is an unknown outcome.
	void send(int vm, const CallerRequest &a,
		  std::function<void(const CallerResponse &)> done)
	{
		auto open = std::make_shared<bool>(true);
		auto answer_once = [=](const CallerResponse &t) {
			if (!*open)
				return;
			*open = false;
			done(t);
		};
		sim.after(1000, kFirstVm + vm, [=, this] {
			if (sim.alive(kFirstVm + vm))
				vms[vm]->submit(a, answer_once);
		});
		sim.after(kCallerTimeout, kCaller, [=] {
			CallerResponse t;
			t.token = a.token;
			answer_once(t);
		});
	}

	// Sends a request and, while its outcome is unknown, retries it with
	// the same id through the other VM.
	void send_retrying(int vm, CallerRequest a, int retries_left,
			   std::function<void(const CallerResponse &)> done)
	{
		send(vm, a, [=, this](const CallerResponse &t) {
			bool in_doubt =
				t.outcome == OUTCOME_UNKNOWN && a.request_id;
			if (!in_doubt || retries_left == 0) {
				done(t);
				return;
			}
			CallerRequest next = a;
			next.token = t.token;
			for (int x : a.writes)
				written[x].is_retried = true;
			send_retrying(1 - vm, next, retries_left - 1, done);
		});
	}

	int new_write()
	{
		written[next_write].sent_at = sim.now;
		return next_write++;
	}

	void record_outcome(int write, enum outcome o)
	{
		written[write].outcome = o;
		if (o == OUTCOME_DONE && sim.now > kHealTime)
			done_after_heal++;
	}
};

// A caller that writes, then reads what it wrote, through either VM.
struct Session {
	Workload &load;
	Simulation &sim;
	bool with_id;
	int vm;
	std::string token;
	std::set<int> own_writes;

	Session(Workload &load, bool id, int first_vm)
	    : load(load), sim(load.sim), with_id(id), vm(first_vm)
	{
	}

	void write()
	{
		if (sim.now > kLastRequest)
			return;
		CallerRequest a;
		int x = load.new_write();
		a.kind = IDEM_WRITE;
		a.writes = { x };
		a.request_id = with_id ? load.next_request++ : 0;
		a.token = token;
		vm = 1 - vm;
		load.send_retrying(
			vm, a, kRetriesMax, [=, this](const CallerResponse &t) {
				load.record_outcome(x, t.outcome);
				if (!t.token.empty())
					token = t.token;
				if (t.outcome == OUTCOME_DONE)
					own_writes.insert(x);
				sim.after(0, kCaller, [this] { read(); });
			});
	}

	void read()
	{
		CallerRequest a;
		a.kind = IDEM_READ;
		a.token = token;
		a.max_age_us = sim.chance(80) ? 200000 : -1;
		vm = 1 - vm;
		load.send(vm, a, [=, this](const CallerResponse &t) {
			if (!t.token.empty())
				token = t.token;
			for (int x : own_writes) {
				if (t.outcome == OUTCOME_DONE &&
				    !t.seen.count(x))
					sim.report_violation(
						"own write not read");
			}
			sim.after(kThinkTime, kCaller, [this] { write(); });
		});
	}
};

// A caller with transactions of two statements, the second through another VM.
struct Transactions {
	Workload &load;
	Simulation &sim;
	std::string token;

	explicit Transactions(Workload &load) : load(load), sim(load.sim)
	{
	}

	void begin_later()
	{
		sim.after(kThinkTime, kCaller, [this] { begin(); });
	}

	void begin()
	{
		if (sim.now > kLastRequest)
			return;
		CallerRequest a;
		a.kind = IDEM_TX_BEGIN;
		load.send(0, a, [=, this](const CallerResponse &t) {
			if (t.outcome != OUTCOME_DONE)
				begin_later();
			else
				first_statement(t.tx);
		});
	}

	void first_statement(int tx)
	{
		CallerRequest a;
		int x = load.new_write();
		a.kind = IDEM_TX_STATEMENT;
		a.tx = tx;
		a.writes = { x };
		load.send(0, a, [=, this](const CallerResponse &t) {
			if (t.outcome == OUTCOME_DONE)
				second_statement(tx, x);
			else
				rollback(tx, x, 0);
		});
	}

	// Sends the second statement to VM 1, which forwards it to VM 0, the
	// holder of the transaction.
	void second_statement(int tx, int x)
	{
		CallerRequest a;
		int y = load.new_write();
		a.kind = IDEM_TX_STATEMENT;
		a.tx = tx;
		a.writes = { y };
		auto open = std::make_shared<bool>(true);
		auto next = [=, this](bool ok) {
			if (!*open)
				return;
			*open = false;
			if (ok && !sim.chance(20))
				commit(tx, x, y);
			else
				rollback(tx, x, y);
		};
		sim.call(
			kFirstVm + 1, kFirstVm, STEP_FORWARD,
			[=, this]() -> std::function<void()> {
				load.vms[0]->submit(
					a, [=](const CallerResponse &t) {
						next(t.outcome == OUTCOME_DONE);
					});
				return [] {};
			},
			[] {}, kCallerTimeout);
		sim.after(kCallerTimeout, kCaller, [=] { next(false); });
	}

	void commit(int tx, int x, int y)
	{
		CallerRequest a;
		a.kind = IDEM_TX_COMMIT;
		a.tx = tx;
		a.writes = { x, y };
		a.request_id = load.next_request++;
		load.send(0, a, [=, this](const CallerResponse &t) {
			load.record_outcome(x, t.outcome);
			load.record_outcome(y, t.outcome);
			begin_later();
		});
	}

	void rollback(int tx, int x, int y)
	{
		CallerRequest a;
		a.kind = IDEM_TX_ROLLBACK;
		a.tx = tx;
		load.send(0, a, [=, this](const CallerResponse &) {
			// Nobody commits the transaction, so it has not run.
			load.record_outcome(x, OUTCOME_NOT_RUN);
			if (y)
				load.record_outcome(y, OUTCOME_NOT_RUN);
			begin_later();
		});
	}
};

bool needs_failover(const struct matrix_cell &c)
{
	switch (c.step) {
	case STEP_OPINION:
	case STEP_CLAIM:
	case STEP_FENCE:
	case STEP_PROMOTE:
	case STEP_FOLLOW:
	case STEP_PUBLISH:
		return true;
	case STEP_HANDOVER_HOLD:
	case STEP_HANDOVER_CATCH_UP:
		return false;
	default:
		return c.seed % 2 == 1;
	}
}

bool needs_handover(const struct matrix_cell &c)
{
	return c.step == STEP_HANDOVER_HOLD || c.step == STEP_HANDOVER_CATCH_UP;
}

// Checks the guarantees against the final log of the group's primary.
void check_invariants(Workload &load, Simulation &sim)
{
	const Database &d = sim.db[sim.newest_primary];
	for (const auto &[x, it] : load.written) {
		int n = d.count(x);
		std::string name = "write " + std::to_string(x);
		if (n > 1)
			sim.report_violation(name + " ran twice");
		if (it.outcome == OUTCOME_DONE && n != 1)
			sim.report_violation(name + " confirmed and lost");
		if (it.outcome == OUTCOME_NOT_RUN && n != 0 && !it.is_retried)
			sim.report_violation(name + " ran, though \"not run\"");
		if (it.sent_at - 2000 > load.key_withdrawn_at && n != 0)
			sim.report_violation(name + " ran without a key");
	}
	if (!sim.key_withdrawn && load.done_after_heal == 0)
		sim.report_violation("service did not recover");
	if (!sim.injected)
		sim.report_violation("the fault was not injected");
}
} // namespace

std::string simulation_run(const struct matrix_cell &c)
{
	Simulation sim(c);
	Workload load(sim);
	Session a(load, true, 0);
	Session b(load, false, 1);
	Transactions t(load);
	std::function<void()> replicate = [&] {
		for (int i = 0; i < kDbs; i++) {
			// Database 2 lags some 25 ms behind the others.
			if (!sim.chance(i == 2 ? 96 : 30))
				sim.replicate(i);
		}
		if (sim.key_withdrawn && load.key_withdrawn_at == INT64_MAX)
			load.key_withdrawn_at = sim.now;
		sim.after(1000, kCaller, replicate);
	};
	sim.after(0, kCaller, replicate);
	sim.after(20000, kCaller, [&] { a.write(); });
	sim.after(25000, kCaller, [&] { b.write(); });
	sim.after(30000, kCaller, [&] { t.begin(); });
	if (c.step == STEP_RESOLVE || c.step == STEP_TX_COMMIT)
		sim.reply_loss_percent = 10;
	sim.armed = c.step == STEP_CONNECT || c.step == STEP_CLAIM;
	sim.run_until(kArmTime);
	sim.armed = true;
	sim.run_until(kFailoverTime);
	if (needs_failover(c))
		sim.crash(0, kFailoverTime + 900000);
	sim.departing = needs_handover(c);
	sim.run_until(kHealTime);
	sim.heal();
	sim.reply_loss_percent = 0;
	sim.run_until(kEndTime);
	check_invariants(load, sim);
	return sim.violation;
}
