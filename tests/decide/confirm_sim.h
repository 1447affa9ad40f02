#ifndef TESTS_DECIDE_CONFIRM_SIM_H
#define TESTS_DECIDE_CONFIRM_SIM_H

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/confirmation.h"
#include "decide/peer_gossip.h"
#include "decide/reader_choice.h"
#include "decide/shared_poll.h"
}

// A large fleet without a network, in which VMs that read the configuration
// tell the others. Time runs in steps of 5 ms; each VM has its own phase.
namespace confirm_sim
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kStep = 5 * kMs;
constexpr usec_t kTick = 25 * kMs;
constexpr usec_t kCallMin = 3 * kMs;
constexpr usec_t kCallMax = 60 * kMs;
constexpr usec_t kTransitMin = 1 * kMs;
// With the step in which it is handled, the allowance of decide/confirmation.
constexpr usec_t kTransitMax = CONFIRMATION_TRANSIT_US - kStep;
constexpr usec_t kSlowMax = 300 * kMs;
constexpr usec_t kRetry = USEC_PER_SEC;
constexpr usec_t kWarmUp = 5 * USEC_PER_SEC;
// Within this time after a partition a domain has heard of a read again.
constexpr usec_t kHealed = USEC_PER_SEC;
constexpr confirmation_data kHeld = { 7, 0x1234 };
// The age at which VMs read again contains the allowance of a datagram.
constexpr shared_poll_policy kPolicy = { 800 * kMs + CONFIRMATION_TRANSIT_US,
					 700 * kMs };

struct Fleet {
	const char *name;
	uint32_t vms;
	uint32_t domains;
	double loss = 0.03; // part of the datagrams
	double slow = 0.02; // part of the datagrams that take up to kSlowMax
	uint32_t dead = 0;  // readers of each of these domains, the first ones,
	uint32_t dead_domains = 0;  // which nobody knows to be dead
	double turned_away = 0;	    // part of the VMs; all know which
	double differing_views = 0; // VMs that leave out the first readers
	// the first domain hears no other then, nor the store; no VM takes note
	usec_t cut_from = 0;
	usec_t cut_until = 0;
};

struct Outcome {
	usec_t oldest = 0;	   // age at any live VM
	uint64_t over = 0;	   // VMs whose age has passed 3 s, each time
	uint64_t reads = 0;	   // that the store has answered
	uint64_t datagrams = 0;	   // beside the heartbeats of the rounds
	uint32_t hops = 0;	   // most of a read that was taken
	uint64_t busiest = 0;	   // those of the busiest VM in any second
	usec_t most_too_young = 0; // error of an age to the dangerous side
};

// One VM's view of who reads.
struct View {
	std::vector<bool> reads;
	std::vector<uint32_t> place; // in its domain, the best reader first
	uint32_t readers = 0;
};

struct Message {
	uint32_t to;
	confirmation_told told;
};

struct Vm {
	uint32_t domain = 0;
	usec_t phase = 0;
	bool dead = false;
	bool turned_away = false;
	const View *view = nullptr;
	shared_poll poll = {};
	usec_t asked_at = 0; // the call in progress; 0: none
	usec_t answer_at = 0;
	usec_t retry_at = 0;
	confirmation known = {};
	bool was_over = false;
	usec_t second = 0; // in which it sent "in_second" datagrams
	uint64_t in_second = 0;
};

class Simulation
{
      public:
	Simulation(const Fleet &f, uint32_t seed)
	    : fleet_(f), random_(seed), vm_(f.vms)
	{
		set_up();
	}
	Outcome play(usec_t length);

      private:
	void set_up();
	View choose(bool leaves_first_out);
	void step(uint32_t i);
	void handle_answer(uint32_t i);
	void on_message(const Message &m);
	void send_round(uint32_t i);
	void send_read_on(uint32_t i);
	void send_datagram(uint32_t from, uint32_t to);
	void send(uint32_t from, uint32_t to, const confirmation_told &told);
	void check_age(Vm &v);
	bool is_cut() const
	{
		return now_ >= fleet_.cut_from && now_ < fleet_.cut_until;
	}
	double unit()
	{
		return std::uniform_real_distribution<>(0, 1)(random_);
	}
	usec_t between(usec_t least, usec_t most)
	{
		return least + (usec_t)(unit() * (double)(most - least));
	}
	static uint64_t draw(void *self)
	{
		return ((Simulation *)self)->random_();
	}

	Fleet fleet_;
	std::mt19937_64 random_;
	std::vector<Vm> vm_;
	std::vector<std::vector<Message>> arriving_; // by step
	std::vector<usec_t> began_at_ = { 0 }; // of each read, by its number
	View usual_;
	View other_;
	usec_t now_ = USEC_PER_SEC;
	Outcome out_;
};

inline void Simulation::set_up()
{
	for (uint32_t i = 0; i < fleet_.vms; i++) {
		Vm &v = vm_[i];
		v.domain = i % fleet_.domains;
		v.phase = between(0, peer_gossip_interval(fleet_.vms - 1)) /
			  kStep * kStep;
		v.turned_away = unit() < fleet_.turned_away;
	}
	usual_ = choose(false);
	other_ = choose(true);
	for (uint32_t i = 0; i < fleet_.vms; i++) {
		Vm &v = vm_[i];
		v.dead = v.domain < fleet_.dead_domains &&
			 usual_.place[i] < fleet_.dead;
		v.view = unit() < fleet_.differing_views ? &other_ : &usual_;
		shared_poll_answered(&v.poll, &kPolicy, now_, v.view->readers,
				     unit());
	}
}

inline View Simulation::choose(bool leaves_first_out)
{
	std::vector<std::string> name;
	std::vector<reader_vm> of(fleet_.vms);
	View w = { std::vector<bool>(fleet_.vms),
		   std::vector<uint32_t>(fleet_.vms, fleet_.vms), 0 };
	std::map<std::string, uint32_t> seen;

	for (uint32_t d = 0; d < fleet_.domains; d++)
		name.push_back("z-" + std::to_string(d));
	for (uint32_t i = 0; i < fleet_.vms; i++) {
		of[i].domain = name[vm_[i].domain].c_str();
		of[i].hash = (i + 1) * UINT64_C(0x9e3779b97f4a7c15);
		of[i].capacity = 25;
		of[i].id = i;
		of[i].fails = vm_[i].turned_away;
	}
	if (leaves_first_out) {
		for (auto &r : of)
			r.fails |= usual_.place[r.id] == 0;
	}
	reader_choice(of.data(), fleet_.vms);
	for (const auto &r : of) {
		w.place[r.id] = seen[r.domain]++;
		w.reads[r.id] = r.reads;
		w.readers += r.reads;
	}
	return w;
}

inline Outcome Simulation::play(usec_t length)
{
	const usec_t begun_at = now_;
	size_t at;

	arriving_.resize((size_t)(length / kStep));
	for (at = 0; at < arriving_.size(); at++, now_ += kStep) {
		for (const auto &m : arriving_[at])
			on_message(m);
		arriving_[at].clear();
		for (uint32_t i = 0; i < fleet_.vms; i++) {
			if (!vm_[i].dead)
				step(i);
			if (!vm_[i].dead && now_ - begun_at > kWarmUp)
				check_age(vm_[i]);
		}
	}
	return out_;
}

// What a VM does in a step: answers, its tick and its round of heartbeats.
inline void Simulation::step(uint32_t i)
{
	Vm &v = vm_[i];
	usec_t due_at = shared_poll_due_at(&v.poll, &kPolicy);

	if (v.asked_at && now_ >= v.answer_at)
		handle_answer(i);
	if ((now_ - v.phase) % kTick == 0 && v.view->reads[i] && !v.asked_at &&
	    now_ >= due_at && now_ >= v.retry_at) {
		v.asked_at = now_;
		v.answer_at = now_ + between(kCallMin, kCallMax);
	}
	if ((now_ - v.phase) % peer_gossip_interval(fleet_.vms - 1) == 0)
		send_round(i);
}

inline void Simulation::handle_answer(uint32_t i)
{
	Vm &v = vm_[i];
	usec_t asked_at = v.asked_at;

	v.asked_at = 0;
	if (v.turned_away || (is_cut() && v.domain == 0)) {
		v.retry_at = now_ + kRetry;
		return;
	}
	out_.reads++;
	const confirmation_read read = {
		.id = { .vm = i, .number = (uint32_t)began_at_.size() },
		.data = kHeld,
		.began_at = asked_at,
		.hops = 0,
	};
	began_at_.push_back(asked_at);
	if (!confirmation_add_own(&v.known, &read))
		return;
	shared_poll_answered(&v.poll, &kPolicy, asked_at, v.view->readers,
			     unit());
	send_read_on(i);
}

inline void Simulation::on_message(const Message &m)
{
	Vm &v = vm_[m.to];
	usec_t began_at;

	if (v.dead ||
	    !confirmation_add_told(&v.known, &m.told, &kHeld, true, now_))
		return;
	began_at = v.known.newest.began_at;
	shared_poll_answered(&v.poll, &kPolicy, began_at, v.view->readers,
			     unit());
	out_.most_too_young = std::max(out_.most_too_young,
				       began_at - began_at_[m.told.id.number]);
	out_.hops = std::max(out_.hops, v.known.newest.hops);
	send_read_on(m.to);
}

// A heartbeat to the targets of this round.
inline void Simulation::send_round(uint32_t i)
{
	std::vector<uint32_t> picked(fleet_.vms);
	std::vector<uint32_t> id;
	bool is_local[1024];
	uint32_t n;

	for (uint32_t j = 0; j < fleet_.vms; j++) {
		if (j == i)
			continue;
		is_local[id.size()] = vm_[j].domain == vm_[i].domain;
		id.push_back(j);
	}
	n = peer_gossip_pick(is_local, (uint32_t)id.size(), draw, this,
			     picked.data());
	for (uint32_t k = 0; k < n; k++)
		send(i, id[picked[k]],
		     confirmation_tell_held(&vm_[i].known, &kHeld, true, now_));
}

// Sends the newest read on to those to whom this VM tells it at once.
inline void Simulation::send_read_on(uint32_t i)
{
	Vm &v = vm_[i];
	const confirmation_view view = {
		.is_large = true,
		.is_relay = v.view->place[i] < CONFIRMATION_RELAYS,
		.is_read_in_domain =
			vm_[v.known.newest.id.vm].domain == v.domain,
	};
	confirmation_audience to = confirmation_send(&v.known, &view, now_);

	for (uint32_t j = 0; j < fleet_.vms; j++) {
		bool is_local = vm_[j].domain == v.domain;
		bool is_told = (to != CONFIRMATION_TO_NOBODY && is_local) ||
			       (to == CONFIRMATION_TO_DOMAIN_AND_READERS &&
				v.view->reads[j]);
		if (j != i && is_told)
			send_datagram(i, j);
	}
}

// Sends a datagram with the newest read, and counts it.
inline void Simulation::send_datagram(uint32_t from, uint32_t to)
{
	Vm &v = vm_[from];

	out_.datagrams++;
	v.in_second = now_ / USEC_PER_SEC == v.second ? v.in_second : 0;
	v.second = now_ / USEC_PER_SEC;
	out_.busiest = std::max(out_.busiest, ++v.in_second);
	send(from, to, confirmation_tell(&v.known, now_));
}

// Delivers what a VM tells, in a datagram or a heartbeat, unless it is lost.
inline void Simulation::send(uint32_t from, uint32_t to,
			     const confirmation_told &told)
{
	usec_t transit = unit() < fleet_.slow
				 ? between(kTransitMax, kSlowMax)
				 : between(kTransitMin, kTransitMax);
	size_t at = (size_t)((now_ - USEC_PER_SEC + transit) / kStep) + 1;

	if (is_cut() && (vm_[from].domain == 0) != (vm_[to].domain == 0))
		return;
	if (told.id.number == 0 || unit() < fleet_.loss ||
	    at >= arriving_.size())
		return;
	arriving_[at].push_back({ to, told });
}

inline void Simulation::check_age(Vm &v)
{
	usec_t age = now_ - v.poll.asked_at;

	if (v.domain == 0 && now_ >= fleet_.cut_from &&
	    now_ < fleet_.cut_until + kHealed)
		return;
	out_.oldest = std::max(out_.oldest, age);
	out_.over += age > 3 * USEC_PER_SEC && !v.was_over;
	v.was_over = age > 3 * USEC_PER_SEC;
}
} // namespace confirm_sim

#endif
