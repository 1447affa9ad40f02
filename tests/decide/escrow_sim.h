#ifndef TESTS_ESCROW_SIM_H
#define TESTS_ESCROW_SIM_H

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/escrow.h"
#include "decide/hash_index.h"
#include "decide/reconciliation.h"
}

// Reference token bucket of one limit: it starts full, and all admissions of
// the fleet are charged to it. It is never overdrawn if and only if at most
// rate * t + burst requests are admitted over any interval t.
class ReferenceBucket
{
      public:
	ReferenceBucket(struct escrow_limit l)
	    : limit(l), tokens(l.burst * kToken)
	{
	}
	bool take(usec_t now)
	{
		tokens += (now - accrued_at) * (int64_t)limit.rate_per_s;
		tokens = std::min(tokens, (int64_t)limit.burst * kToken);
		accrued_at = now;
		if (tokens < kToken)
			return false;
		tokens -= kToken;
		return true;
	}
	void raise(struct escrow_limit l)
	{
		tokens += ((int64_t)l.burst - limit.burst) * kToken;
		limit = l;
	}

      private:
	static constexpr int64_t kToken = 1000000;
	struct escrow_limit limit;
	int64_t tokens;
	usec_t accrued_at = 0;
};

// Probabilities of faults: the first three per message, the others per VM and
// step.
struct SimFaults {
	double lose = 0;
	double duplicate = 0;
	double late = 0; // the message is delayed by up to 3 s
	double pause = 0;
	double restart = 0;
	double drop_listed = 0; // the platform drops a live VM from its list
	double recount = 0;	// a VM starts a reconciliation
};

struct SimMsg {
	usec_t at;
	int from;
	uint64_t incarnation;
	int to;
	struct escrow_msg msg;
};

struct SimVm {
	struct escrow_lease lease;
	struct escrow bucket;
	uint64_t incarnation;
	usec_t paused_until = 0;
	usec_t unlisted_until = 0;
	usec_t ask_at = 0;
	int next_peer = 0;
	struct reconciliation recount = {};
	uint64_t reconciliation_generation = 0;
	uint64_t finished = 0; // epoch of its last complete reconciliation
	int reconciler = -1;   // VM that its report goes to
	usec_t report_at = 0;
	usec_t move_at = 0;
	std::deque<usec_t> waiting;
};

// Simulates a fleet in steps of a millisecond, on a network that loses,
// duplicates and delays messages.
class EscrowSim
{
      public:
	static constexpr usec_t kMs = USEC_PER_MSEC;
	static constexpr usec_t kVoidAfter = 200 * kMs;
	static constexpr usec_t kGoneAfter = 700 * kMs;
	static constexpr usec_t kListLag = 100 * kMs;
	static constexpr usec_t kWait = 20 * kMs;

	EscrowSim(int n, struct escrow_limit l, unsigned seed)
	    : limit(l), reference(l), central(l), rng(seed), vms(n)
	{
		for (auto &v : vms)
			start(v);
	}
	~EscrowSim()
	{
		for (auto &v : vms)
			reconciliation_end(&v.recount);
	}

	struct escrow_limit limit;
	ReferenceBucket reference; // charged with all admitted requests
	ReferenceBucket central;   // charged with all offered requests
	std::mt19937 rng;
	std::vector<SimVm> vms;
	SimFaults faults;
	usec_t now = 1000 * kMs;
	uint64_t platform_epoch = 0;
	int offered = 0, admitted = 0, over_limit = 0, wrongful = 0,
	    reconciliations = 0;
	int messages = 0;
	bool sum_is_valid = true; // the shares never exceeded the whole

	int injected = 0; // faults so far

	bool chance(double p)
	{
		return p > 0 && std::uniform_real_distribution<>(0, 1)(rng) < p;
	}

	bool inject(double p)
	{
		bool hit = chance(p);
		injected += hit;
		return hit;
	}

	void create(int i)
	{
		renew_lease(vms[i]);
		platform_epoch = 1;
		escrow_create(&vms[i].bucket, 1, now);
	}

	void set_limit(int i, struct escrow_limit l)
	{
		escrow_set_limit(&vms[i].bucket, &l, now);
	}

	bool runs(int i) const
	{
		return now >= vms[i].paused_until;
	}

	bool listed(int i, usec_t at) const
	{
		const SimVm &v = vms[i];
		bool paused = at < v.paused_until && v.paused_until - at > 0 &&
			      at > paused_at(i);
		return !paused && at >= v.unlisted_until;
	}

	void offer(int i)
	{
		offered++;
		escrow_count_request(&vms[i].bucket, now);
		central_admits.push_back(central.take(now));
		if (vms[i].waiting.empty() && take(i))
			return;
		vms[i].waiting.push_back(now);
	}

	void step()
	{
		now += kMs;
		for (size_t i = 0; i < vms.size(); i++)
			inject_faults((int)i);
		deliver();
		for (int i = 0; i < (int)vms.size(); i++) {
			if (!runs(i))
				continue;
			renew_lease(vms[i]);
			serve(i);
			request(i);
			run_reconciliation(i);
		}
		check_sum();
	}

	uint64_t held() const
	{
		uint64_t sum = 0;
		for (const auto &v : vms) {
			if (v.bucket.lease_generation == v.lease.generation &&
			    now <= v.lease.expires_at)
				sum += v.bucket.share;
		}
		return sum;
	}

	void start_reconciliation(int i)
	{
		SimVm &v = vms[i];
		if (platform_epoch == 0 || v.recount.epoch != 0)
			return;
		platform_epoch++;
		reconciliations++;
		reconciliation_begin(&v.recount, platform_epoch, now);
		v.reconciliation_generation = v.lease.generation;
		escrow_enter_epoch(&v.bucket, platform_epoch, now);
		v.move_at = now;
	}

      private:
	std::vector<SimMsg> network;
	std::vector<bool> central_admits; // one per offered request
	std::map<int, usec_t> paused_from;

	usec_t paused_at(int i) const
	{
		auto it = paused_from.find(i);
		return it == paused_from.end() ? INT64_MAX : it->second;
	}

	static uint64_t hash(int i)
	{
		return hash_name(("vm" + std::to_string(i)).c_str());
	}

	void start(SimVm &v)
	{
		reconciliation_end(&v.recount);
		v.waiting.clear();
		v.reconciler = -1;
		v.finished = 0;
		v.incarnation = (uint64_t)now + 1000000;
		escrow_lease_init(&v.lease, v.incarnation);
		escrow_init(&v.bucket, &v.lease, &limit, now);
	}

	void renew_lease(SimVm &v)
	{
		int i = (int)(&v - vms.data());
		if (listed(i, now - kListLag))
			escrow_lease_renew(&v.lease, now, now + kVoidAfter);
	}

	void inject_faults(int i)
	{
		if (!runs(i))
			return;
		if (inject(faults.pause)) {
			paused_from[i] = now;
			vms[i].paused_until =
				now + (usec_t)(rng() % 2000) * kMs;
		}
		if (inject(faults.drop_listed))
			vms[i].unlisted_until =
				now + (usec_t)(rng() % 1500) * kMs;
		if (inject(faults.restart))
			start(vms[i]);
	}

	bool take(int i)
	{
		if (!escrow_take(&vms[i].bucket, now))
			return false;
		admitted++;
		if (!reference.take(now))
			over_limit++;
		return true;
	}

	void serve(int i)
	{
		auto &w = vms[i].waiting;
		while (!w.empty() && take(i))
			w.pop_front();
		while (!w.empty() && now - w.front() >= kWait) {
			refused++;
			w.pop_front();
		}
	}

	void send(int from, int to, const struct escrow_msg &m)
	{
		messages++;
		if (inject(faults.lose))
			return;
		for (int n = inject(faults.duplicate) ? 2 : 1; n > 0; n--) {
			usec_t delay = kMs + (usec_t)(rng() % 2000);
			if (inject(faults.late))
				delay += (usec_t)(rng() % 3000) * kMs;
			network.push_back({ now + delay, from,
					    vms[from].incarnation, to, m });
		}
	}

	void deliver()
	{
		std::vector<SimMsg> due;
		for (size_t i = 0; i < network.size();) {
			if (network[i].at > now) {
				i++;
				continue;
			}
			due.push_back(network[i]);
			network[i] = network.back();
			network.pop_back();
		}
		for (const auto &m : due) {
			if (!runs(m.to)) { // stays in the socket's buffer
				network.push_back(m);
				network.back().at = vms[m.to].paused_until;
				continue;
			}
			// A VM may handle messages that arrived during a
			// pause before it checks its clock.
			receive(m);
		}
	}

	void receive(const SimMsg &m)
	{
		SimVm &v = vms[m.to];
		struct escrow_msg out = {};
		switch (m.msg.type) {
		case ESCROW_ASK:
			escrow_on_ask(&v.bucket, hash(m.from), m.incarnation,
				      &m.msg, now, &out);
			send(m.to, m.from, out);
			break;
		case ESCROW_GRANT:
			if (escrow_on_grant(&v.bucket, hash(m.from), &m.msg,
					    now) == ESCROW_NEWER_EPOCH)
				v.ask_at = now;
			break;
		case ESCROW_NEW_EPOCH:
			escrow_enter_epoch(&v.bucket, m.msg.epoch, now);
			escrow_report(&v.bucket, &out);
			send(m.to, m.from, out);
			v.reconciler = m.from;
			break;
		case ESCROW_REPORT:
			reconciliation_report(
				&v.recount,
				("vm" + std::to_string(m.from)).c_str(),
				m.incarnation, m.msg.epoch, m.msg.share);
			break;
		default:
			break;
		}
	}

	void request(int i)
	{
		SimVm &v = vms[i];
		struct escrow_msg out = {};
		uint64_t peer;
		if (escrow_report_pending(&v.bucket) && v.reconciler >= 0 &&
		    now >= v.report_at) {
			v.report_at = now + 20 * kMs;
			escrow_report(&v.bucket, &out);
			send(i, v.reconciler, out);
		}
		while (escrow_retry_ask(&v.bucket, now, &peer, &out)) {
			for (int j = 0; j < (int)vms.size(); j++) {
				if (hash(j) == peer)
					send(i, j, out);
			}
		}
		if (now < v.ask_at || !escrow_needs_more(&v.bucket, now) ||
		    !listed(i, now - kListLag) ||
		    escrow_demand_per_s(&v.bucket, now) == 0)
			return;
		v.ask_at = now + 5 * kMs;
		for (int k = 0; k < 8 && k < (int)vms.size(); k++) {
			v.next_peer = (v.next_peer + 1) % (int)vms.size();
			if (v.next_peer != i &&
			    escrow_ask(&v.bucket, hash(v.next_peer), now, &out))
				send(i, v.next_peer, out);
		}
	}

	void run_reconciliation(int i)
	{
		SimVm &v = vms[i];
		uint32_t missing;
		if (chance(faults.recount))
			start_reconciliation(i);
		if (v.recount.epoch == 0)
			return;
		if (v.bucket.epoch > v.recount.epoch ||
		    v.reconciliation_generation != v.lease.generation) {
			reconciliation_end(&v.recount);
			return;
		}
		if (now < v.move_at)
			return;
		v.move_at = now + 20 * kMs;
		reconciliation_list_begin(&v.recount, now);
		for (int j = 0; j < (int)vms.size(); j++) {
			if (listed(j, now - kListLag))
				reconciliation_list_add(
					&v.recount,
					("vm" + std::to_string(j)).c_str(),
					vms[j].incarnation);
		}
		reconciliation_list_end(&v.recount);
		for (int j = 0; j < (int)vms.size(); j++) {
			struct escrow_msg m = {};
			m.type = ESCROW_NEW_EPOCH;
			m.epoch = v.recount.epoch;
			if (j != i)
				send(i, j, m);
		}
		struct escrow_msg own = {};
		escrow_report(&v.bucket, &own);
		escrow_report_acked(&v.bucket, v.recount.epoch);
		reconciliation_report(&v.recount,
				      ("vm" + std::to_string(i)).c_str(),
				      v.incarnation, own.epoch, own.share);
		if (reconciliation_is_complete(&v.recount, now, kGoneAfter,
					       ESCROW_WHOLE, &missing) &&
		    platform_epoch == v.recount.epoch) {
			v.finished = v.recount.epoch;
			escrow_add_missing(&v.bucket, v.recount.epoch, missing,
					   now);
			reconciliation_end(&v.recount);
		}
	}

	void check_sum()
	{
		if (held() > ESCROW_WHOLE)
			sum_is_valid = false;
	}

      public:
	int refused = 0;
	int central_refusals() const
	{
		return (int)std::count(central_admits.begin(),
				       central_admits.end(), false);
	}
};

#endif
