// The load of a cell, and the promises by which it is judged.

#include "proxy.h"

namespace
{
constexpr usec_t kStart = 1000000;
constexpr usec_t kArm = kStart + 200000;
constexpr usec_t kTrigger = kStart + 260000;
constexpr usec_t kHeal = kStart + 1900000;
constexpr usec_t kLastAsk = kStart + 2900000;
constexpr usec_t kEnd = kStart + 4200000;
constexpr usec_t kThink = 15000;
constexpr usec_t kPatience = 1000000;
constexpr int kAsksAgain = 4;

struct Written {
	enum outcome outcome = OUTCOME_UNKNOWN;
	usec_t asked_at = 0;
	bool sent_again = false;
};

struct Load {
	World &w;
	std::vector<std::unique_ptr<Proxy>> vms;
	std::map<int, Written> written;
	int next_write = 1;
	int next_request = 1;
	int done_after_heal = 0;
	usec_t withdrawn_at = INT64_MAX;

	explicit Load(World &world) : w(world)
	{
		for (int i = 0; i < kVms; i++)
			vms.push_back(std::make_unique<Proxy>(w, i));
		vms[0]->start({ vms[1].get() });
		vms[1]->start({ vms[0].get() });
	}

	// Asks one VM; an answer that does not come is an unknown outcome.
	void ask(int vm, const Ask &a, std::function<void(const Told &)> done)
	{
		auto open = std::make_shared<bool>(true);
		auto once = [=](const Told &t) {
			if (!*open)
				return;
			*open = false;
			done(t);
		};
		w.after(1000, kFirstVm + vm, [=, this] {
			if (w.alive(kFirstVm + vm))
				vms[vm]->submit(a, once);
		});
		w.after(kPatience, kClient, [=] {
			Told t;
			t.token = a.token;
			once(t);
		});
	}

	// Asks again under the same id, through the other VM, while in doubt.
	void ask_again(int vm, Ask a, int left,
		       std::function<void(const Told &)> done)
	{
		ask(vm, a, [=, this](const Told &t) {
			bool doubt = t.outcome == OUTCOME_UNKNOWN && a.request;
			if (!doubt || left == 0) {
				done(t);
				return;
			}
			Ask next = a;
			next.token = t.token;
			for (int x : a.writes)
				written[x].sent_again = true;
			ask_again(1 - vm, next, left - 1, done);
		});
	}

	int new_write()
	{
		written[next_write].asked_at = w.now;
		return next_write++;
	}

	void told(int write, enum outcome o)
	{
		written[write].outcome = o;
		if (o == OUTCOME_DONE && w.now > kHeal)
			done_after_heal++;
	}
};

// A caller that writes, then reads what it wrote, through either VM.
struct Session {
	Load &l;
	World &w;
	bool with_id;
	int vm;
	std::string token;
	std::set<int> own;

	Session(Load &load, bool id, int first)
	    : l(load), w(load.w), with_id(id), vm(first)
	{
	}

	void write()
	{
		if (w.now > kLastAsk)
			return;
		Ask a;
		int x = l.new_write();
		a.kind = ONCE_WRITE;
		a.writes = { x };
		a.request = with_id ? l.next_request++ : 0;
		a.token = token;
		vm = 1 - vm;
		l.ask_again(vm, a, kAsksAgain, [=, this](const Told &t) {
			l.told(x, t.outcome);
			if (!t.token.empty())
				token = t.token;
			if (t.outcome == OUTCOME_DONE)
				own.insert(x);
			w.after(0, kClient, [this] { read(); });
		});
	}

	void read()
	{
		Ask a;
		a.kind = ONCE_READ;
		a.token = token;
		a.max_age_us = w.chance(80) ? 200000 : -1;
		vm = 1 - vm;
		l.ask(vm, a, [=, this](const Told &t) {
			if (!t.token.empty())
				token = t.token;
			for (int x : own) {
				if (t.outcome == OUTCOME_DONE &&
				    !t.seen.count(x))
					w.break_promise("own write not read");
			}
			w.after(kThink, kClient, [this] { write(); });
		});
	}
};

// A caller with transactions of two statements; the second one roams.
struct Transactions {
	Load &l;
	World &w;
	std::string token;

	explicit Transactions(Load &load) : l(load), w(load.w)
	{
	}

	void again()
	{
		w.after(kThink, kClient, [this] { begin(); });
	}

	void begin()
	{
		if (w.now > kLastAsk)
			return;
		Ask a;
		a.kind = ONCE_TX_BEGIN;
		l.ask(0, a, [=, this](const Told &t) {
			if (t.outcome != OUTCOME_DONE)
				again();
			else
				first(t.tx);
		});
	}

	void first(int tx)
	{
		Ask a;
		int x = l.new_write();
		a.kind = ONCE_TX_STATEMENT;
		a.tx = tx;
		a.writes = { x };
		l.ask(0, a, [=, this](const Told &t) {
			if (t.outcome == OUTCOME_DONE)
				second(tx, x);
			else
				roll_back(tx, x, 0);
		});
	}

	// Enters at VM 1, which forwards it to VM 0, that holds it.
	void second(int tx, int x)
	{
		Ask a;
		int y = l.new_write();
		a.kind = ONCE_TX_STATEMENT;
		a.tx = tx;
		a.writes = { y };
		auto open = std::make_shared<bool>(true);
		auto next = [=, this](bool ok) {
			if (!*open)
				return;
			*open = false;
			if (ok && !w.chance(20))
				commit(tx, x, y);
			else
				roll_back(tx, x, y);
		};
		w.call(
			kFirstVm + 1, kFirstVm, STEP_FORWARD,
			[=, this]() -> std::function<void()> {
				l.vms[0]->submit(a, [=](const Told &t) {
					next(t.outcome == OUTCOME_DONE);
				});
				return [] {};
			},
			[] {}, kPatience);
		w.after(kPatience, kClient, [=] { next(false); });
	}

	void commit(int tx, int x, int y)
	{
		Ask a;
		a.kind = ONCE_TX_COMMIT;
		a.tx = tx;
		a.writes = { x, y };
		a.request = l.next_request++;
		l.ask(0, a, [=, this](const Told &t) {
			l.told(x, t.outcome);
			l.told(y, t.outcome);
			again();
		});
	}

	void roll_back(int tx, int x, int y)
	{
		Ask a;
		a.kind = ONCE_TX_ROLLBACK;
		a.tx = tx;
		l.ask(0, a, [=, this](const Told &) {
			// Never committed by anyone: it has not run.
			l.told(x, OUTCOME_NOT_RUN);
			if (y)
				l.told(y, OUTCOME_NOT_RUN);
			again();
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

// The promises, against the log of the group's primary at the end.
void judge(Load &l, World &w)
{
	const Database &d = w.db[w.top_db];
	for (const auto &[x, it] : l.written) {
		int n = d.count(x);
		std::string name = "write " + std::to_string(x);
		if (n > 1)
			w.break_promise(name + " ran twice");
		if (it.outcome == OUTCOME_DONE && n != 1)
			w.break_promise(name + " confirmed and lost");
		if (it.outcome == OUTCOME_NOT_RUN && n != 0 && !it.sent_again)
			w.break_promise(name + " ran, though \"not run\"");
		if (it.asked_at - 2000 > l.withdrawn_at && n != 0)
			w.break_promise(name + " ran without a key");
	}
	if (!w.key_withdrawn && l.done_after_heal == 0)
		w.break_promise("service did not come back");
	if (!w.struck)
		w.break_promise("the fault never struck");
}
} // namespace

std::string world_run(const struct matrix_cell &c)
{
	World w(c);
	Load l(w);
	Session a(l, true, 0);
	Session b(l, false, 1);
	Transactions t(l);
	std::function<void()> replicate = [&] {
		for (int i = 0; i < kDbs; i++) {
			// Database 2 lags some 25 ms behind the others.
			if (!w.chance(i == 2 ? 96 : 30))
				w.replicate(i);
		}
		if (w.key_withdrawn && l.withdrawn_at == INT64_MAX)
			l.withdrawn_at = w.now;
		w.after(1000, kClient, replicate);
	};
	w.after(0, kClient, replicate);
	w.after(20000, kClient, [&] { a.write(); });
	w.after(25000, kClient, [&] { b.write(); });
	w.after(30000, kClient, [&] { t.begin(); });
	if (c.step == STEP_RESOLVE || c.step == STEP_TX_COMMIT)
		w.loss = 10;
	w.armed = c.step == STEP_CONNECT || c.step == STEP_CLAIM;
	w.run_until(kArm);
	w.armed = true;
	w.run_until(kTrigger);
	if (needs_failover(c))
		w.kill(0, kTrigger + 900000);
	w.departing = needs_handover(c);
	w.run_until(kHeal);
	w.heal();
	w.loss = 0;
	w.run_until(kEnd);
	judge(l, w);
	return w.broken;
}
